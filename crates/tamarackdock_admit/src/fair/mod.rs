//! Weighted fair admission with two priority levels.

mod options;
mod queue;

use std::{collections::HashMap, time::Duration};

use tamarackdock_types::clock::Instant;

pub use options::Options;

use self::queue::Queue;
use crate::{Action, Admission, Call, Level, rate::DrainRate};

const MIN_RETRY_AFTER: Duration = Duration::from_millis(1);

/// Start-time fair queueing over token capacity, see [`Options`].
#[derive(Debug, Clone)]
pub struct Fair {
    options: Options,
    app: Queue,
    batch: Queue,
    running: HashMap<u64, u64>,
    used: u64,
    /// Tokens that batch calls may start before waiting app calls, times 100.
    batch_credit: u64,
    rate: DrainRate,
}

impl Fair {
    /// Creates an admission control without calls.
    #[must_use]
    pub fn new(options: Options) -> Self {
        let rate = DrainRate::new(options.expected_rate);
        Self {
            options,
            app: Queue::default(),
            batch: Queue::default(),
            running: HashMap::new(),
            used: 0,
            batch_credit: 0,
            rate,
        }
    }

    /// Returns the sum of tokens of the calls that are running.
    #[must_use]
    pub fn used(&self) -> u64 {
        self.used
    }

    fn queue(&mut self, level: Level) -> &mut Queue {
        match level {
            Level::App => &mut self.app,
            Level::Batch => &mut self.batch,
        }
    }

    fn limit(&self, level: Level) -> u64 {
        match level {
            Level::App => self.options.capacity,
            Level::Batch => {
                let free = 100_u64.saturating_sub(self.options.buffer_percent);
                self.options.capacity * free / 100
            }
        }
    }

    /// Returns the part of the limit that calls can use. While calls wait, the
    /// free part is too small for the next one.
    fn usable_limit(&self, level: Level) -> u64 {
        let limit = self.limit(level);
        let is_waiting = !self.app.is_empty() || !self.batch.is_empty();
        if is_waiting { limit.min(self.used) } else { limit }
    }

    /// Estimates how long a call waits that has `tokens` tokens of its level
    /// before it, its own included.
    fn estimated_wait(&self, level: Level, tokens: u64) -> Duration {
        let percent = self.options.batch_percent;
        let ahead = match level {
            Level::App if self.batch.is_empty() => tokens,
            Level::App => tokens + tokens * percent / (100 - percent).max(1),
            Level::Batch => tokens + self.app.tokens_before(u64::MAX),
        };
        self.rate.drain_time((self.used + ahead).saturating_sub(self.usable_limit(level)))
    }

    /// Returns the time after which a refused call would be served in time. In
    /// a fair queue, the wait of a new call stays the same while others wait, so
    /// the whole queue must drain first, except for what drains within the
    /// call's slack.
    fn retry_after(&self, level: Level, tokens: u64, slack: Duration) -> Duration {
        let waiting = self.app.tokens_before(u64::MAX) + self.batch.tokens_before(u64::MAX);
        let needed = (self.used + waiting + tokens).saturating_sub(self.usable_limit(level));
        self.rate.drain_time(needed).saturating_sub(slack).max(MIN_RETRY_AFTER)
    }

    /// Refuses the waiting calls of a level that can't start in time. Their
    /// tokens no longer count for the calls behind them.
    fn refuse_late(&mut self, level: Level, now: Instant) -> Vec<Action> {
        let waiting = self.queue(level).iter();
        let mut waiting: Vec<(u64, u64, u64, Instant)> =
            waiting.map(|w| (w.virtual_start, w.call.id, w.call.tokens, w.call.deadline)).collect();
        waiting.sort_unstable();
        let mut ahead = 0;
        let mut actions = Vec::new();
        for (_, id, tokens, deadline) in waiting {
            let slack = deadline.since(now);
            if now < deadline && self.estimated_wait(level, ahead + tokens) <= slack {
                ahead += tokens;
                continue;
            }
            self.queue(level).remove(id);
            let retry_after = self.retry_after(level, tokens, slack);
            actions.push(Action::Refuse { id, retry_after });
        }
        actions
    }

    /// Starts the waiting calls that fit, in order, and refuses those that are
    /// past their deadline.
    fn start_waiting(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(level) = self.next_level() {
            let Some(call) = self.queue(level).pop() else { break };
            if now > call.deadline {
                actions.push(Action::Refuse { id: call.id, retry_after: MIN_RETRY_AFTER });
                continue;
            }
            self.update_batch_credit(level, call.tokens);
            self.used += call.tokens;
            self.running.insert(call.id, call.tokens);
            actions.push(Action::Start { id: call.id });
        }
        actions
    }

    /// Returns the level whose first call starts now. A first call that doesn't
    /// fit blocks all others, since large calls would starve otherwise.
    fn next_level(&self) -> Option<Level> {
        let app_limit = self.limit(Level::App);
        let fits = |call: &Call, limit: u64| self.used == 0 || self.used + call.tokens <= limit;
        match (self.app.head(), self.batch.head()) {
            (Some(_), Some(batch)) if self.batch_credit >= 100 * batch.tokens => {
                fits(batch, app_limit).then_some(Level::Batch)
            }
            (Some(app), _) => fits(app, app_limit).then_some(Level::App),
            (None, Some(batch)) => fits(batch, self.limit(Level::Batch)).then_some(Level::Batch),
            (None, None) => None,
        }
    }

    /// Counts a started call in the batch credit. While batch calls wait, they
    /// earn their share of the tokens that app calls start.
    fn update_batch_credit(&mut self, level: Level, tokens: u64) {
        match level {
            Level::App if self.batch.is_empty() => self.batch_credit = 0,
            Level::App => {
                let percent = self.options.batch_percent;
                self.batch_credit += 100 * tokens * percent / (100 - percent).max(1);
            }
            Level::Batch => self.batch_credit = self.batch_credit.saturating_sub(100 * tokens),
        }
    }
}

impl Admission for Fair {
    fn offer(&mut self, mut call: Call, now: Instant) -> Vec<Action> {
        self.rate.advance(self.used > 0, now);
        // A call larger than the capacity runs alone.
        call.tokens = call.tokens.clamp(1, self.limit(call.level).max(1));
        let virtual_start = self.queue(call.level).next_start(&call.account);
        let ahead = self.queue(call.level).tokens_before(virtual_start);
        let wait = self.estimated_wait(call.level, ahead + call.tokens);
        let slack = call.deadline.since(now);
        let is_full = self.queue(call.level).length(&call.account) >= self.options.max_queued;
        if wait > slack || is_full {
            // A full queue accepts a call again when its first call has started.
            let queue_wait =
                if is_full { self.rate.drain_time(call.tokens) } else { Duration::ZERO };
            let retry_after = self.retry_after(call.level, call.tokens, slack).max(queue_wait);
            return vec![Action::Refuse { id: call.id, retry_after }];
        }
        let weight = self.options.weights.get(&call.account).copied().unwrap_or(1);
        self.queue(call.level).push(call, weight);
        self.start_waiting(now)
    }

    fn finish(&mut self, id: u64, now: Instant) -> Vec<Action> {
        self.rate.advance(self.used > 0, now);
        if let Some(tokens) = self.running.remove(&id) {
            self.rate.finish(tokens);
            self.used -= tokens;
        } else if !self.app.remove(id) {
            self.batch.remove(id);
        }
        // Calls that can't start in time are refused early only by `tick`: while a
        // burst of calls ends, the measured rate is too low until the last of them
        // has been counted.
        self.start_waiting(now)
    }

    fn tick(&mut self, now: Instant) -> Vec<Action> {
        self.rate.advance(self.used > 0, now);
        let mut actions = self.start_waiting(now);
        for level in [Level::App, Level::Batch] {
            actions.extend(self.refuse_late(level, now));
        }
        actions.extend(self.start_waiting(now));
        actions
    }

    fn set_capacity(&mut self, capacity: u64, now: Instant) -> Vec<Action> {
        self.options.capacity = capacity;
        self.tick(now)
    }
}
