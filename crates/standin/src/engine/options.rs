use std::time::Duration;

/// Behaviour of an engine, which [`super::Engine::configure`] can change while it runs.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name, sent in the header `x-target` when a call is refused.
    pub name: String,
    /// Seed of output lengths and of failed loads. Engines with equal seeds generate outputs
    /// of equal length for a prompt, so that one can resume another's stream.
    pub seed: u64,
    /// Number of calls that run at the same time; others wait.
    pub capacity: usize,
    /// Number of calls that may wait; more are refused without being run.
    pub max_queued: usize,
    /// Time for one token of a call that runs alone.
    pub token_interval: Duration,
    /// Factor by which the interval is longer when all slots are taken.
    pub full_load_factor: f64,
    /// Time to the first token for each block of the prompt that is not cached.
    pub prefill_per_block: Duration,
    /// Number of blocks of prompt prefixes that the cache holds.
    pub cache_blocks: usize,
    /// Smallest output length in tokens.
    pub min_tokens: u64,
    /// Exponent of the Pareto distribution of output lengths. The smaller it is, the heavier
    /// the tail.
    pub tail_exponent: f64,
    /// Time for which the engine is cold after a start or after it was made cold.
    pub cold_time: Duration,
    /// Number of calls that may run while the engine is cold; one more crashes it.
    pub cold_capacity: usize,
    /// Time that a load of weights takes.
    pub weight_load_time: Duration,
    /// Share of loads of weights that fail, from 0 to 1.
    pub weight_load_failure_share: f64,
    /// Whether load orders with an epoch older than the newest accepted one are refused.
    pub checks_epoch: bool,
    /// Time after which `GET /load` reports a change.
    pub report_lag: Duration,
    /// Text that crashes the engine when it runs a prompt that contains it.
    pub crash_marker: String,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            name: "engine".into(),
            seed: 1,
            capacity: 16,
            max_queued: 256,
            token_interval: Duration::from_millis(2),
            full_load_factor: 2.0,
            prefill_per_block: Duration::from_millis(1),
            cache_blocks: 4096,
            min_tokens: 8,
            tail_exponent: 1.2,
            cold_time: Duration::ZERO,
            cold_capacity: 2,
            weight_load_time: Duration::from_millis(50),
            weight_load_failure_share: 0.0,
            checks_epoch: true,
            report_lag: Duration::ZERO,
            crash_marker: "<crash>".into(),
        }
    }
}

impl Options {
    /// Returns the length of the output for a prompt in tokens, before the call's
    /// `max_tokens` limits it. The call's `seed` makes the samples of a group differ.
    #[must_use]
    pub fn output_tokens(&self, prompt: &str, call_seed: u64) -> u64 {
        let hash = super::text::hash(prompt.as_bytes());
        let bits = super::text::mix(hash ^ self.seed ^ super::text::mix(call_seed));
        let [high, low, ..] = bits.to_le_bytes();
        let uniform = (f64::from(u16::from_le_bytes([high, low])) + 1.0) / 65_536.0;
        scale(self.min_tokens, uniform.powf(-1.0 / self.tail_exponent))
    }

    /// Returns the time for one token of each call while `running` calls run.
    #[must_use]
    pub fn interval(&self, running: usize) -> Duration {
        let share = ratio(running.saturating_sub(1), self.capacity.saturating_sub(1).max(1));
        self.token_interval.mul_f64(1.0 + (self.full_load_factor - 1.0) * share)
    }
}

fn ratio(part: usize, whole: usize) -> f64 {
    let [part, whole] = [part, whole].map(|count| u32::try_from(count).unwrap_or(u32::MAX));
    f64::from(part) / f64::from(whole)
}

/// Scales a count by a factor of at least 1.
fn scale(count: u64, factor: f64) -> u64 {
    let thousandths = Duration::from_secs(1).mul_f64(factor.min(1e6)).as_millis();
    count.saturating_mul(u64::try_from(thousandths).unwrap_or(u64::MAX)) / 1000
}
