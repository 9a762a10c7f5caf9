use std::{collections::BTreeMap, time::Duration};

/// What an app saw, counted on its own side.
#[derive(Debug, Default)]
pub struct Records {
    /// Questions asked.
    pub asked: u64,
    /// Whole answers to the app's own questions.
    pub answered: u64,
    /// Questions whose answer was of another question.
    pub foreign: Vec<String>,
    /// Questions whose answer was called complete and is not.
    pub incomplete: Vec<String>,
    /// Refusals by code and `ran`.
    pub refusals: BTreeMap<(String, String), u64>,
    /// Connections that broke before the answer was whole.
    pub broken: u64,
    /// Tokens in these answers.
    pub tokens: u64,
    /// Time from question to whole answer.
    pub latencies: Vec<Duration>,
}

impl Records {
    /// Returns the latency that a share of the answers, from 0 to 1, did not exceed.
    #[must_use]
    pub fn latency(&self, share: f64) -> Option<Duration> {
        let mut sorted = self.latencies.clone();
        sorted.sort_unstable();
        let last = u32::try_from(sorted.len().checked_sub(1)?).ok()?;
        let index = Duration::from_secs(u64::from(last)).mul_f64(share.clamp(0.0, 1.0)).as_secs();
        sorted.get(usize::try_from(index).ok()?).copied()
    }
}
