use std::{rc::Rc, time::Duration};

use futures_util::future::join_all;
use slog::{Logger, debug, info};
use tamarackdock_membership::{Action, Content, Host, Message, Peer};
use tamarackdock_platform::host::State;
use tamarackdock_types::clock::{BootClock, Clock};
use tamarackdock_wire::client::Timeouts;

use crate::{
    context::Context,
    peer::{self, Reply},
    telemetry::log,
};

/// Shorter than one probe period, so that an unresponsive connection fails only one probe.
const TIMEOUTS: Timeouts = Timeouts {
    connect: Duration::from_millis(300),
    first_byte: Duration::from_millis(600),
    between_bytes: Duration::from_millis(300),
};
/// Number of members that are notified directly of a planned leave. The others learn of it
/// from digests.
const LEAVE_FANOUT: usize = 32;
/// How long [`Service::refresh_hosts`] waits for the newest host list.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(500);
/// Probe number of the messages that announce a leave. Other probes are numbered from 1.
const LEAVE_PROBE: u64 = 0;

/// Exchanges the messages of the membership state machine with other nodes.
pub(crate) struct Service {
    context: Context,
    log: Logger,
}

impl Service {
    pub(crate) fn new(context: Context) -> Self {
        let log = log::part(&context.log, "membership");
        Self { context, log }
    }

    /// Handles a message of a member and returns the messages to send back.
    pub(crate) fn receive(self: &Rc<Self>, message: Message) -> Vec<Message> {
        let sender = message.sender.status.host.clone();
        let now = BootClock.now();
        let members = &self.context.peers;
        let actions = members.with(|members| members.receive(now, message, rand::random()));
        let mut replies = Vec::new();
        for action in actions.unwrap_or_default() {
            match action {
                Action::Send { to, message } if to.host == sender => replies.push(message),
                action => self.perform(action),
            }
        }
        replies
    }

    /// Performs the actions that are due, such as probes.
    pub(super) fn tick(self: &Rc<Self>) {
        let now = BootClock.now();
        let actions = self.context.peers.with(|members| members.tick(now, rand::random()));
        actions.into_iter().flatten().for_each(|action| self.perform(action));
    }

    /// Reads the platform's host list and updates the members. A failure is only logged.
    pub(super) async fn poll_hosts(&self) {
        let hosts = match self.context.platform.hosts.list().await {
            Ok(hosts) => hosts,
            Err(error) => return debug!(self.log, "host poll failed"; "error" => %error),
        };
        let hosts = hosts.into_iter().map(|host| Host {
            leaving: host.state == State::Leaving,
            peer: Peer { host: host.name, address: host.address, data_centre: host.data_centre },
        });
        let hosts = hosts.collect();
        self.context.peers.with(|members| members.set_hosts(BootClock.now(), hosts));
        self.context.peers.increment_revision();
    }

    /// Reads the platform's host list, but waits for at most [`REFRESH_TIMEOUT`].
    pub(crate) async fn refresh_hosts(&self) {
        let _ = monoio::time::timeout(REFRESH_TIMEOUT, self.poll_hosts()).await;
    }

    /// Announces that this node leaves. Waits until the members that are notified directly
    /// have answered or their calls have failed.
    pub(crate) async fn announce_leave(self: &Rc<Self>) {
        // The last poll may be older than the start of some nodes, or than that of this one.
        self.refresh_hosts().await;
        let own = self.context.peers.with(|members| {
            members.set_leaving();
            members.own_entry().clone()
        });
        let Some(sender) = own else { return };
        let content = Content::Probe(LEAVE_PROBE);
        let message = Message { content, sender, digest: Vec::new() };
        let notified = self.context.peers.live().into_iter().take(LEAVE_FANOUT);
        let calls = notified.map(|entry| self.clone().send(entry.peer(), message.clone()));
        let notified = join_all(calls).await.len();
        info!(self.log, "leave announced"; "members" => notified);
    }

    fn perform(self: &Rc<Self>, action: Action) {
        match action {
            Action::Send { to, message } => drop(monoio::spawn(self.clone().send(to, message))),
            Action::Changed { host, health } => {
                self.context.peers.increment_revision();
                info!(self.log, "member changed"; "host" => %host, "health" => ?health);
            }
        }
    }

    async fn send(self: Rc<Self>, to: Peer, message: Message) {
        let message = peer::Message::Membership(message);
        match self.context.peer_client.call(to.address, &message, TIMEOUTS).await {
            Ok(Reply::Membership(replies)) => {
                for reply in replies {
                    // An answer is not answered, so there are no messages to send back.
                    self.receive(reply);
                }
            }
            Ok(_) => debug!(self.log, "unexpected reply"; "host" => %to.host),
            Err(error) => debug!(self.log, "send failed"; "host" => %to.host, "error" => %error),
        }
    }
}
