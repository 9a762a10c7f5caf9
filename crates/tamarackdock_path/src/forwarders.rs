use std::{collections::BTreeMap, rc::Rc, time::Duration};

use tamarackdock_types::clock::Instant;

/// Time for which a host that did not respond gets no requests to forward.
const FAILED_FOR: Duration = Duration::from_secs(5);
/// Time for which a host that has no paths itself gets none. Paths come back within seconds.
const LOST_FOR: Duration = Duration::from_secs(1);
/// Time for which a host that forwards as many requests as it can bear gets none.
const FULL_FOR: Duration = Duration::from_millis(200);
/// Time for which no host is asked after none could forward a request.
const EXHAUSTED_FOR: Duration = Duration::from_millis(150);
/// Most hosts in the data centre of the sender that are asked for one request. If that has lost
/// its paths as a whole, hosts in others must be asked.
const MAX_ASKED_NEAR: usize = 2;
/// Most hosts in other data centres that are asked for one request.
const MAX_ASKED_FAR: usize = 3;

/// Why a host has not forwarded a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refusal {
    /// It did not respond.
    Failed,
    /// It has lost its own paths to the targets.
    Lost,
    /// It forwards as many requests as it can bear.
    Full,
    /// It does not send this request on, for a reason of its own: it does not know the target, or
    /// knows that the target or the caller's key must not be used any more.
    Declined,
}

/// The hosts that have not forwarded a request, and why.
#[derive(Debug, Clone, Default)]
pub struct Forwarders {
    avoided_until: BTreeMap<Rc<str>, Instant>,
    exhausted_until: Instant,
}

impl Forwarders {
    /// Records that a host has not forwarded a request.
    pub fn refused(&mut self, host: &Rc<str>, refusal: Refusal, now: Instant) {
        let pause = match refusal {
            Refusal::Failed => FAILED_FOR,
            Refusal::Lost => LOST_FOR,
            Refusal::Full => FULL_FOR,
            Refusal::Declined => return,
        };
        self.avoided_until.retain(|_, until| now < *until);
        self.avoided_until.insert(host.clone(), now + pause);
    }

    /// Returns whether a host is not to be asked now.
    #[must_use]
    pub fn is_avoided(&self, host: &str, now: Instant) -> bool {
        self.avoided_until.get(host).is_some_and(|until| now < *until)
    }

    /// Returns the hosts to ask in turn for one request, of hosts in the order of preference that
    /// are in the sender's data centre (`near`) or in others.
    pub fn choose<T>(
        &self,
        hosts: impl IntoIterator<Item = T>,
        near: bool,
        name: impl Fn(&T) -> &str,
        now: Instant,
    ) -> Vec<T> {
        let usable = hosts.into_iter().filter(|host| !self.is_avoided(name(host), now));
        usable.take(if near { MAX_ASKED_NEAR } else { MAX_ASKED_FAR }).collect()
    }

    /// Returns whether no host could forward a request a short time ago, so that others need not
    /// ask in vain.
    #[must_use]
    pub fn are_exhausted(&self, now: Instant) -> bool {
        now < self.exhausted_until
    }

    /// Records that hosts were asked and none could forward a request.
    pub fn exhausted(&mut self, now: Instant) {
        self.exhausted_until = now + EXHAUSTED_FOR;
    }
}
