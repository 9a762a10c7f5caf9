use tamarackdock_types::{HostName, clock::Instant};

use crate::{
    Action, Content, DEAD_PROBES, Health, INDIRECT_AFTER, INDIRECT_PROBES, Membership,
    PROBE_PERIOD, Peer, SUSPECT_FOR, membership::rotated,
};

/// The probe of the current period.
#[derive(Debug, Clone)]
pub(crate) struct Probe {
    pub(crate) host: HostName,
    pub(crate) number: u64,
    sent: Instant,
    /// Whether other members have been asked to probe.
    indirect: bool,
}

/// A probe that this node sends on behalf of another member.
#[derive(Debug, Clone)]
pub(crate) struct Relay {
    pub(crate) to: HostName,
    /// Number that the requesting member expects in the answer.
    pub(crate) number: u64,
    since: Instant,
}

impl Relay {
    pub(crate) const fn new(to: HostName, number: u64, since: Instant) -> Self {
        Self { to, number, since }
    }
}

impl Membership {
    /// Starts and ends probes that are due. `random` chooses members.
    ///
    /// Call this about every 100 ms.
    pub fn tick(&mut self, now: Instant, random: u64) -> Vec<Action> {
        self.relays.retain(|_, relay| now < relay.since + PROBE_PERIOD);
        let mut actions = self.declare_dead(now);
        if now >= self.next_probe {
            self.next_probe = now + PROBE_PERIOD;
            actions.extend(self.end_period(now));
            actions.extend(self.start_period(now, random));
        }
        actions.extend(self.probe_indirectly(now, random));
        actions
    }

    fn declare_dead(&mut self, now: Instant) -> Vec<Action> {
        let expired = |member: &&crate::member::Member| {
            member.entry.status.health == Health::Suspect && now >= member.since + SUSPECT_FOR
        };
        let expired: Vec<_> = self.members.values().filter(expired).collect();
        let names: Vec<_> = expired.iter().map(|member| member.entry.status.host.clone()).collect();
        names.iter().flat_map(|host| self.set_health(now, host, Health::Dead)).collect()
    }

    /// Marks the probed member as suspect if no answer arrived, directly or through others.
    fn end_period(&mut self, now: Instant) -> Vec<Action> {
        let Some(Probe { host, .. }) = self.probe.take() else { return Vec::new() };
        match self.health(&host) {
            Some(Health::Alive) => self.set_health(now, &host, Health::Suspect),
            _ => Vec::new(),
        }
    }

    fn start_period(&mut self, now: Instant, random: u64) -> Vec<Action> {
        if self.unprobed.is_empty() {
            self.unprobed = shuffled(self.members.keys().cloned().collect(), random);
        }
        let mut actions = Vec::new();
        // Dead members are probed in each round too, so that they are found alive
        // when a partition ends. They don't use up the period, but their number is bounded.
        while let Some(host) = self.unprobed.pop() {
            let Some(health) = self.health(&host) else { continue };
            let number = self.next_number();
            actions.extend(self.send(&host, Content::Probe(number), random));
            if health != Health::Dead {
                self.probe = Some(Probe { host, number, sent: now, indirect: false });
                break;
            }
            if actions.len() >= DEAD_PROBES {
                break;
            }
        }
        actions
    }

    fn probe_indirectly(&mut self, now: Instant, random: u64) -> Vec<Action> {
        let Some(probe) = &mut self.probe else { return Vec::new() };
        if probe.indirect || now < probe.sent + INDIRECT_AFTER {
            return Vec::new();
        }
        probe.indirect = true;
        let Probe { host, number, .. } = probe.clone();
        let usable = |name: &HostName, health| *name != host && health == Health::Alive;
        let helpers: Vec<_> = rotated(&self.members, random)
            .filter(|(name, member)| usable(name, member.entry.status.health))
            .take(INDIRECT_PROBES)
            .map(|(name, _)| name.clone())
            .collect();
        let content = || Content::ProbeFor { host: host.clone(), number };
        helpers.iter().filter_map(|helper| self.send(helper, content(), random)).collect()
    }

    pub(crate) fn send(&mut self, to: &HostName, content: Content, random: u64) -> Option<Action> {
        let peer: Peer = self.members.get(to)?.entry.peer();
        let message = self.message(to, content, random);
        Some(Action::Send { to: peer, message })
    }
}

/// Shuffles names, deterministically for a given random value.
fn shuffled(mut names: Vec<HostName>, random: u64) -> Vec<HostName> {
    let mut state = random;
    for index in (1..names.len()).rev() {
        state =
            state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let bound = u64::try_from(index).unwrap_or_default() + 1;
        names.swap(index, usize::try_from((state >> 33) % bound).unwrap_or_default());
    }
    names
}
