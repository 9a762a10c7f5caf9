use std::{collections::HashMap, time::Duration};

use tamarackdock_config::settings::Routing;
use tamarackdock_route::{
    Key, State,
    credit::{self, Grant, Request, Timing},
};
use tamarackdock_types::{HostName, TargetName, clock::Instant};
use tamarackdock_wire::client::Timeouts;

use super::{Message, state::Router};
use crate::peer::{self, Reply};

/// The validity is longer than most calls on a cold target take, since a call is
/// stopped when its credit expires.
pub(super) const CREDIT_TIMING: Timing = Timing {
    validity: Duration::from_secs(5),
    view_lag: Duration::from_secs(2),
    margin: Duration::from_millis(100),
};
/// Time between two choices of the granting nodes. Rendezvous hashing over 420
/// nodes and 650 targets takes about 3 ms. Below half of the view lag, so that a
/// granter is confirmed again in time.
const GRANTER_CHOICE_INTERVAL: Duration = Duration::from_millis(900);
const CREDIT_REQUEST_INTERVAL: Duration = Duration::from_millis(250);
const TIMEOUTS: Timeouts = Timeouts {
    connect: Duration::from_millis(300),
    first_byte: Duration::from_secs(1),
    between_bytes: Duration::from_secs(1),
};

/// The nodes that grant credits for cold targets, and when they are chosen next.
#[derive(Debug)]
pub(super) struct Granters {
    host: HostName,
    /// Granting node of each target, by the last choice.
    by_target: HashMap<Key, HostName>,
    next_choice: Instant,
}

impl Granters {
    pub(super) fn new(host: HostName) -> Self {
        Self { host, by_target: HashMap::new(), next_choice: Instant::default() }
    }
}

impl Router {
    /// Returns whether cold targets get calls without credits, as the round-robin baseline sends
    /// them.
    pub(super) fn credits_disabled(&self) -> bool {
        self.dependencies.settings.policy.routing == Routing::RoundRobin
    }

    /// Confirms the granting role, drops expired credits and requests new ones.
    pub(super) fn tick_credits(&mut self, now: Instant) {
        if self.credits_disabled() {
            return;
        }
        if now >= self.granters.next_choice {
            self.granters.next_choice = now + GRANTER_CHOICE_INTERVAL;
            self.choose_granters(now);
        }
        let keys: Vec<Key> = self.records.keys().copied().collect();
        for key in keys {
            let Some(record) = self.records.get_mut(&key) else { continue };
            let excess = record.holder.expire(now);
            self.stop_excess(key, excess);
            let is_cold = self.table.get(key).is_some_and(|target| target.state == State::Cold);
            if is_cold {
                self.request_credits(key, now);
            }
            self.refresh_credits(key, now);
        }
    }

    /// Chooses the granting node of each target from the live members.
    fn choose_granters(&mut self, now: Instant) {
        let mut live: Vec<HostName> =
            self.dependencies.peers.live().into_iter().map(|entry| entry.status.host).collect();
        live.push(self.granters.host.clone());
        self.granters.by_target.clear();
        for (key, record) in &mut self.records {
            let Some(granter) = credit::granter(&record.target.name, &live) else { continue };
            record.granter.confirm(*granter == self.granters.host, now);
            self.granters.by_target.insert(*key, granter.clone());
        }
    }

    /// Grants credits to a node, or returns `None` if this node may not grant any.
    pub(super) fn grant(
        &mut self,
        target: &TargetName,
        holder: &HostName,
        request: Request,
        now: Instant,
    ) -> Option<Grant> {
        let key = self.table.key(target)?;
        self.records.get_mut(&key)?.granter.request(holder, request, now)
    }

    /// Adds granted credits and places attempts that wait for them.
    pub(super) fn apply_grant(&mut self, key: Key, grant: Grant, now: Instant) {
        if let Some(record) = self.records.get_mut(&key) {
            record.holder.accept(grant, now);
        }
        self.refresh_credits(key, now);
        self.place_pending(now);
    }

    fn refresh_credits(&mut self, key: Key, now: Instant) {
        let credits = self.records.get(&key).map_or(0, |record| record.holder.in_force(now));
        self.table.set_credits(key, credits);
    }

    /// Stops calls whose credits have expired.
    fn stop_excess(&mut self, key: Key, excess: u32) {
        let running = self.attempts.values().filter(|a| a.key == key && a.has_credit);
        let running = running.filter(|a| !a.credit_expired.is_set());
        for attempt in running.take(excess as usize) {
            attempt.credit_expired.set();
        }
    }

    fn request_credits(&mut self, key: Key, now: Instant) {
        let Some(record) = self.records.get_mut(&key) else { return };
        let Some(granter) = self.granters.by_target.get(&key) else { return };
        let has_demand = self.pending.iter().any(|p| p.query.service == record.target.service);
        if now < record.next_credit_request || !has_demand {
            return;
        }
        record.next_credit_request = now + CREDIT_REQUEST_INTERVAL;
        let request = record.holder.ask(record.target.cold_capacity, now);
        let target = record.target.name.clone();
        if *granter == self.granters.host {
            let host = self.granters.host.clone();
            if let Some(grant) = record.granter.request(&host, request, now) {
                record.holder.accept(grant, now);
            }
            return;
        }
        let Some(address) = self.dependencies.peers.address(granter) else { return };
        let holder = self.granters.host.clone();
        let message = peer::Message::Credit { target, holder, request };
        let (client, sender) = (self.dependencies.peer_client.clone(), self.sender.clone());
        monoio::spawn(async move {
            if let Ok(Reply::Credit(Some(grant))) = client.call(address, &message, TIMEOUTS).await {
                let _ = sender.unbounded_send(Message::CreditGrant { key, grant });
            }
        });
    }
}
