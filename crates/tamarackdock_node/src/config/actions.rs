use std::{rc::Rc, time::Duration};

use slog::{debug, info};
use tamarackdock_config::{
    propagate::{Action, Message},
    version::Snapshot,
};
use tamarackdock_types::HostName;
use tamarackdock_wire::client::Timeouts;

use super::Service;
use crate::peer::{self, Reply};

const TIMEOUTS: Timeouts = Timeouts {
    connect: Duration::from_millis(300),
    first_byte: Duration::from_secs(1),
    between_bytes: Duration::from_secs(1),
};

impl Service {
    /// Performs the actions. Messages to `waiting`, a peer that is waiting for a reply, are
    /// returned instead of sent.
    pub(super) fn perform(
        self: &Rc<Self>,
        actions: Vec<Action>,
        waiting: Option<&HostName>,
    ) -> Vec<Message> {
        let mut replies = Vec::new();
        for action in actions {
            let service = self.clone();
            match action {
                Action::Activate(snapshot) => self.activate(&snapshot),
                Action::Send { to, message } if Some(&to) == waiting => replies.push(message),
                Action::Send { to, message } => drop(monoio::spawn(service.send(to, message))),
                Action::ReadHead => drop(monoio::spawn(service.poll_head())),
                Action::ReadDeltas { after, last } => {
                    drop(monoio::spawn(service.read_deltas(after, last)));
                }
                Action::ReadCopy { checksum, .. } => {
                    drop(monoio::spawn(service.read_copy(checksum)));
                }
            }
        }
        replies
    }

    fn activate(&self, snapshot: &Snapshot) {
        let number = snapshot.number();
        if !self.context.active.advance(number.0, snapshot.deployment().clone()) {
            return;
        }
        self.context.router.configure(self.context.active.get());
        self.context.gate.with(|state| state.on_activated(number));
        self.context.metrics.config_version.set(i64::try_from(number.0).unwrap_or(i64::MAX));
        info!(self.log, "configuration active"; "version" => number.0);
    }

    async fn send(self: Rc<Self>, to: HostName, message: Message) {
        let Some(address) = self.context.peers.address(&to) else { return };
        let from = self.context.settings.host.clone();
        let message = peer::Message::Config { from, message };
        let replies = match self.context.peer_client.call(address, &message, TIMEOUTS).await {
            Ok(Reply::Config(replies)) => replies,
            Ok(_) => return debug!(self.log, "unexpected reply"; "host" => %to),
            Err(error) => {
                return debug!(self.log, "send failed"; "host" => %to, "error" => %error);
            }
        };
        for reply in replies {
            let actions = self.propagation().receive(&to, reply);
            self.perform(actions, None);
        }
    }
}
