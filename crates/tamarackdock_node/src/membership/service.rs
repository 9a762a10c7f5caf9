use std::{rc::Rc, time::Duration};

use futures_util::future::join_all;
use slog::{Logger, debug, info};
use tamarackdock_membership::{Action, Content, Host, Message, Peer};
use tamarackdock_platform::host::State;
use tamarackdock_types::clock::{BootClock, Clock};
use tamarackdock_wire::client::Deadlines;

use crate::{
    context::Context,
    peer::{self, Reply},
    telemetry::log,
};

/// Within one probe period, so that a silent connection fails only one probe.
const DEADLINES: Deadlines = Deadlines {
    connect: Duration::from_millis(300),
    first_byte: Duration::from_millis(600),
    between_bytes: Duration::from_millis(300),
};
/// Members that are told directly of a planned leave; digests reach the others.
const LEAVE_FANOUT: usize = 32;
/// How long a caller waits for the newest host list.
const REFRESH: Duration = Duration::from_millis(500);
/// Number of the probes that announce a leave. Numbers of other probes begin with 1.
const LEAVE_PROBE: u64 = 0;

/// Carries messages between the membership state and other nodes.
pub(crate) struct Service {
    context: Context,
    log: Logger,
}

impl Service {
    pub(crate) fn new(context: Context) -> Self {
        let log = log::part(&context.log, "membership");
        Self { context, log }
    }

    /// Takes a message of a member and returns the messages for it.
    pub(crate) fn receive(self: &Rc<Self>, message: Message) -> Vec<Message> {
        let sender = message.sender.status.host.clone();
        let now = BootClock.now();
        let members = &self.context.peers;
        let actions = members.with(|members| members.receive(now, message, rand::random()));
        let mut replies = Vec::new();
        for action in actions.unwrap_or_default() {
            match action {
                Action::Send { to, message } if to.host == sender => replies.push(message),
                action => self.act(action),
            }
        }
        replies
    }

    /// Does what is due.
    pub(super) fn tick(self: &Rc<Self>) {
        let now = BootClock.now();
        let actions = self.context.peers.with(|members| members.tick(now, rand::random()));
        actions.into_iter().flatten().for_each(|action| self.act(action));
    }

    /// Reads the platform's host list.
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
        self.context.peers.changed();
    }

    /// Reads the platform's host list, but waits only a short time for it.
    pub(crate) async fn refresh_hosts(&self) {
        let _ = monoio::time::timeout(REFRESH, self.poll_hosts()).await;
    }

    /// Announces that this node leaves, and waits until the members that are
    /// told directly have answered or failed to.
    pub(crate) async fn announce_leave(self: &Rc<Self>) {
        // The last poll may be older than the start of some nodes, or of this one.
        self.refresh_hosts().await;
        let own = self.context.peers.with(|members| {
            members.leave();
            members.own().clone()
        });
        let Some(sender) = own else { return };
        let content = Content::Probe(LEAVE_PROBE);
        let message = Message { content, sender, digest: Vec::new() };
        let told = self.context.peers.live().into_iter().take(LEAVE_FANOUT);
        let told = told.map(|entry| self.clone().send(entry.peer(), message.clone()));
        let told = join_all(told).await.len();
        info!(self.log, "leave announced"; "members" => told);
    }

    fn act(self: &Rc<Self>, action: Action) {
        match action {
            Action::Send { to, message } => drop(monoio::spawn(self.clone().send(to, message))),
            Action::Changed { host, health } => {
                self.context.peers.changed();
                info!(self.log, "member changed"; "host" => %host, "health" => ?health);
            }
        }
    }

    async fn send(self: Rc<Self>, to: Peer, message: Message) {
        let message = peer::Message::Membership(message);
        match self.context.peer_client.call(to.address, &message, DEADLINES).await {
            Ok(Reply::Membership(replies)) => {
                for reply in replies {
                    // An answer has no answer, so that nothing remains to be sent back.
                    self.receive(reply);
                }
            }
            Ok(_) => debug!(self.log, "unexpected reply"; "host" => %to.host),
            Err(error) => debug!(self.log, "send failed"; "host" => %to.host, "error" => %error),
        }
    }
}
