use std::collections::HashSet;

use tamarackdock_types::{HostName, clock::Instant};

use super::{Grant, Request, Terms};

/// The granting side for one target, on each node.
#[derive(Debug, Clone)]
pub struct Granter {
    terms: Terms,
    limit: u32,
    role: Option<Role>,
    outstanding: Vec<Outstanding>,
}

#[derive(Debug, Clone, Copy)]
struct Role {
    since: Instant,
    confirmed: Instant,
}

#[derive(Debug, Clone)]
struct Outstanding {
    holder: HostName,
    number: u64,
    credits: u32,
    until: Instant,
}

impl Granter {
    /// Makes a granter without the role. `limit` is the sum of credits in
    /// force, at first the target's cold capacity.
    #[must_use]
    pub fn new(limit: u32, terms: Terms) -> Self {
        Self { terms, limit, role: None, outstanding: Vec::new() }
    }

    /// Changes the sum of credits. Grants above a lower limit end by expiry.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
    }

    /// Takes whether a confirmed set of live nodes makes this node the
    /// granter. Without a confirmation for the view lag it stops granting,
    /// since another node may have taken over, and begins anew later.
    pub fn confirm(&mut self, is_granter: bool, now: Instant) {
        let fresh = self.role.filter(|role| self.is_fresh(*role, now));
        let since = fresh.map_or(now, |role| role.since);
        self.role = is_granter.then_some(Role { since, confirmed: now });
    }

    /// Grants what is free, or nothing while grants of a former granter can be in force.
    pub fn request(&mut self, holder: &HostName, request: Request, now: Instant) -> Option<Grant> {
        let role = self.role.filter(|role| self.is_fresh(*role, now))?;
        if now.since(role.since) < self.terms.takeover() {
            return None;
        }
        self.outstanding.retain(|grant| now < grant.until);
        let number = request.number;
        if self.outstanding.iter().any(|grant| grant.holder == *holder && grant.number == number) {
            // A repeated message. The answer may be lost, then the holder asks again.
            return None;
        }
        let used: u32 = self.outstanding.iter().map(|grant| grant.credits).sum();
        let credits = request.wanted.min(self.limit.saturating_sub(used)).min(self.share());
        if credits == 0 {
            return None;
        }
        let until = now + self.terms.validity + self.terms.margin;
        self.outstanding.push(Outstanding { holder: holder.clone(), number, credits, until });
        Some(Grant { number, credits })
    }

    /// Returns the most that one grant takes, so that several nodes get some.
    fn share(&self) -> u32 {
        let holders: HashSet<&HostName> = self.outstanding.iter().map(|g| &g.holder).collect();
        let count = u32::try_from(holders.len()).unwrap_or(u32::MAX).saturating_add(1);
        self.limit.div_ceil(count)
    }

    fn is_fresh(&self, role: Role, now: Instant) -> bool {
        now.since(role.confirmed) < self.terms.view_lag
    }
}
