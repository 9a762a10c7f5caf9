use std::{collections::BTreeMap, time::Duration};

/// Results of an app's questions, as the app counts them.
#[derive(Debug, Default)]
pub struct Records {
    /// Number of questions asked.
    pub asked: u64,
    /// Number of complete and correct answers.
    pub answered: u64,
    /// Questions whose answer has a text that does not belong to them.
    pub wrong_text: Vec<String>,
    /// Questions with a complete HTTP response whose answer is too short or too long, lacks
    /// its end, or is malformed.
    pub incomplete: Vec<String>,
    /// Number of error responses and of streams that ended with an error, by their `code`
    /// and `ran`.
    pub refusals: BTreeMap<(String, String), u64>,
    /// Number of calls without a complete response, as when the connection was lost.
    pub lost_connections: u64,
    /// Tokens in the complete and correct answers.
    pub tokens: u64,
    /// Time from question to complete answer, for each correct one.
    pub latencies: Vec<Duration>,
}

impl Records {
    /// Returns the latency that a share of the answers, from 0 to 1, did not exceed, or
    /// `None` if there are no answers.
    #[must_use]
    pub fn latency(&self, share: f64) -> Option<Duration> {
        let mut sorted = self.latencies.clone();
        sorted.sort_unstable();
        let last = u32::try_from(sorted.len().checked_sub(1)?).ok()?;
        let index = Duration::from_secs(u64::from(last)).mul_f64(share.clamp(0.0, 1.0)).as_secs();
        sorted.get(usize::try_from(index).ok()?).copied()
    }
}
