use std::collections::HashSet;

use tamarackdock_types::{HostName, clock::Instant};

use super::{Grant, Request, Timing};

/// Granting side of one target's credits. Every node has one, but only the
/// node that [`granter`](super::granter()) chooses grants.
#[derive(Debug, Clone)]
pub struct Granter {
    timing: Timing,
    limit: u32,
    role: Option<GrantingRole>,
    outstanding: Vec<Outstanding>,
}

#[derive(Debug, Clone, Copy)]
struct GrantingRole {
    since: Instant,
    confirmed_at: Instant,
}

/// A grant that can still be in force at its holder.
#[derive(Debug, Clone)]
struct Outstanding {
    holder: HostName,
    number: u64,
    credits: u32,
    expires_at: Instant,
}

impl Granter {
    /// Creates a granter without the role. `limit` bounds the sum of credits in
    /// force and starts at the target's cold capacity.
    #[must_use]
    pub fn new(limit: u32, timing: Timing) -> Self {
        Self { timing, limit, role: None, outstanding: Vec::new() }
    }

    /// Changes the bound on the sum of credits. Grants above a lower limit are
    /// not revoked but expire.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
    }

    /// Records whether this node is the granter in a confirmed set of live
    /// nodes. Without a confirmation within [`Timing::view_lag`] it stops
    /// granting, since another node may have taken over. A later confirmation
    /// starts the wait of [`Timing::takeover`] again.
    pub fn confirm(&mut self, is_granter: bool, now: Instant) {
        let fresh = self.role.filter(|role| self.is_fresh(*role, now));
        let since = fresh.map_or(now, |role| role.since);
        self.role = is_granter.then_some(GrantingRole { since, confirmed_at: now });
    }

    /// Grants the free credits. Returns `None` if this node is not the granter or
    /// its confirmation is older than [`Timing::view_lag`], if there are no free
    /// credits, for a repeated request, and while grants of a former granter can
    /// still be in force.
    pub fn request(&mut self, holder: &HostName, request: Request, now: Instant) -> Option<Grant> {
        let role = self.role.filter(|role| self.is_fresh(*role, now))?;
        if now.since(role.since) < self.timing.takeover() {
            return None;
        }
        self.outstanding.retain(|grant| now < grant.expires_at);
        let number = request.number;
        if self.outstanding.iter().any(|grant| grant.holder == *holder && grant.number == number) {
            // A repeated message. If the reply to the first one was lost, the holder
            // sends a new request.
            return None;
        }
        let used: u32 = self.outstanding.iter().map(|grant| grant.credits).sum();
        let credits = request.wanted.min(self.limit.saturating_sub(used)).min(self.max_grant());
        if credits == 0 {
            return None;
        }
        let expires_at = now + self.timing.validity + self.timing.margin;
        self.outstanding.push(Outstanding { holder: holder.clone(), number, credits, expires_at });
        Some(Grant { number, credits })
    }

    /// Returns the largest size of one grant, so that several nodes get credits.
    fn max_grant(&self) -> u32 {
        let holders: HashSet<&HostName> = self.outstanding.iter().map(|g| &g.holder).collect();
        let count = u32::try_from(holders.len()).unwrap_or(u32::MAX).saturating_add(1);
        self.limit.div_ceil(count)
    }

    fn is_fresh(&self, role: GrantingRole, now: Instant) -> bool {
        now.since(role.confirmed_at) < self.timing.view_lag
    }
}
