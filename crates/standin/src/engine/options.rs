use std::time::Duration;

/// Behaviour of an engine that stays the same while it runs.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name, sent as `x-target` with refusals.
    pub name: String,
    /// Seed of output lengths and failures. Engines with equal seeds give a
    /// prompt the same length, so that one can resume another's stream.
    pub seed: u64,
    /// Calls that run at the same time; others wait.
    pub capacity: usize,
    /// Calls that may wait; more are refused without being run.
    pub queue: usize,
    /// Time for one token of a call that runs alone.
    pub token_interval: Duration,
    /// Factor by which the interval has grown when all slots are taken.
    pub full_load_factor: f64,
    /// Time to the first token for each block of the prompt that is not cached.
    pub prefill_per_block: Duration,
    /// Blocks of prompt prefixes that the cache holds.
    pub cache_blocks: usize,
    /// Smallest output length in tokens.
    pub min_tokens: u64,
    /// Exponent of the Pareto distribution of output lengths; smaller is heavier.
    pub tail_exponent: f64,
    /// Time for which the engine is cold after a start or a reset.
    pub cold_time: Duration,
    /// Calls that may run while cold; one more crashes the engine.
    pub cold_capacity: usize,
    /// Time for a load of weights.
    pub load_time: Duration,
    /// Share of loads that fail, from 0 to 1.
    pub load_failure_share: f64,
    /// Whether load orders with an old epoch are refused.
    pub checks_epoch: bool,
    /// Time after which a change is shown by `GET /load`.
    pub report_lag: Duration,
    /// Text in a prompt that crashes the engine that runs it.
    pub crash_marker: String,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            name: "engine".into(),
            seed: 1,
            capacity: 16,
            queue: 256,
            token_interval: Duration::from_millis(2),
            full_load_factor: 2.0,
            prefill_per_block: Duration::from_millis(1),
            cache_blocks: 4096,
            min_tokens: 8,
            tail_exponent: 1.2,
            cold_time: Duration::ZERO,
            cold_capacity: 2,
            load_time: Duration::from_millis(50),
            load_failure_share: 0.0,
            checks_epoch: true,
            report_lag: Duration::ZERO,
            crash_marker: "<crash>".into(),
        }
    }
}

impl Options {
    /// Returns the length of the answer to a prompt in tokens, without the
    /// caller's own bound. A call's `seed` field tells apart the samples of a group.
    #[must_use]
    pub fn output_tokens(&self, prompt: &str, call_seed: u64) -> u64 {
        let hash = super::text::hash(prompt.as_bytes());
        let bits = super::text::mix(hash ^ self.seed ^ super::text::mix(call_seed));
        let [high, low, ..] = bits.to_le_bytes();
        let uniform = (f64::from(u16::from_le_bytes([high, low])) + 1.0) / 65_536.0;
        scale(self.min_tokens, uniform.powf(-1.0 / self.tail_exponent))
    }

    /// Returns the time for one token while `running` calls run.
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
