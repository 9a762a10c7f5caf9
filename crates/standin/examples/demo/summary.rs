use std::fmt;

use serde::Serialize;

/// What the stand-ins counted.
#[derive(Debug, Default, Serialize)]
pub(crate) struct Summary {
    /// Steps that trainers received completely.
    pub(crate) steps: u64,
    /// Samples that trainers requested.
    pub(crate) samples_expected: u64,
    /// Samples that trainers read.
    pub(crate) samples_delivered: u64,
    /// Slots without a sample.
    pub(crate) lost: u64,
    /// Slots that were delivered twice.
    pub(crate) doubled: u64,
    /// Samples older than the staleness bound.
    pub(crate) stale: u64,
    /// Samples whose spans do not match their tokens or name a weight version that
    /// does not exist.
    pub(crate) wrong_version: u64,
    /// Samples with the text of another prompt or of an unknown slot, and pages whose
    /// bytes differ when they are read again.
    pub(crate) wrong_sample: u64,
    /// Calls of the app and of the caller of the plain service.
    pub(crate) app_calls: u64,
    /// Calls that failed although no engine that ran them was killed.
    pub(crate) app_failed: u64,
    /// Answers that belong to another call or are incomplete.
    pub(crate) app_wrong_answer: u64,
    /// Plain calls that ran more than once.
    pub(crate) plain_doubled: u64,
    /// Requests with a key that reached a target.
    pub(crate) keys_seen_by_targets: u64,
    /// Time from the acceptance of a withdrawal to the last byte that a caller with the
    /// withdrawn key received, in ms.
    pub(crate) withdrawn_key_served_after_ms: u64,
    /// Calls that targets of a data centre started later than 3 s after it was taken out.
    pub(crate) out_served_late: u64,
    /// Share of time in which trainers waited for samples, from 0 to 1.
    pub(crate) trainer_idle_share: f64,
    /// Tokens in the usage reports.
    pub(crate) usage_reported_tokens: u64,
    /// Tokens that engines generated. Those on lost connections need not reach a node.
    pub(crate) usage_true_tokens: u64,
    /// Tokens in complete answers that callers received; the reports must not show fewer.
    pub(crate) usage_received_tokens: u64,
    /// Run time of the whole example.
    pub(crate) seconds: f64,
}

/// Longest time for which a withdrawn key may work, in ms.
const MAX_WITHDRAWAL_MS: u64 = 3000;

impl Summary {
    /// Returns the fields whose value violates a guarantee of the service.
    pub(crate) fn violated(&self) -> Vec<&'static str> {
        let checks = [
            (self.samples_delivered == self.samples_expected, "samples_delivered"),
            (self.lost == 0, "lost"),
            (self.doubled == 0, "doubled"),
            (self.stale == 0, "stale"),
            (self.wrong_version == 0, "wrong_version"),
            (self.wrong_sample == 0, "wrong_sample"),
            (self.app_calls > 0, "app_calls"),
            (self.app_failed == 0, "app_failed"),
            (self.app_wrong_answer == 0, "app_wrong_answer"),
            (self.plain_doubled == 0, "plain_doubled"),
            (self.keys_seen_by_targets == 0, "keys_seen_by_targets"),
            (
                self.withdrawn_key_served_after_ms <= MAX_WITHDRAWAL_MS,
                "withdrawn_key_served_after_ms",
            ),
            (self.out_served_late == 0, "out_served_late"),
            (self.usage_reported_tokens <= self.usage_true_tokens, "usage_true_tokens"),
            (self.usage_reported_tokens >= self.usage_received_tokens, "usage_received_tokens"),
        ];
        checks.into_iter().filter(|(holds, _)| !holds).map(|(_, name)| name).collect()
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let rows = [
            ("steps", self.steps),
            ("samples expected", self.samples_expected),
            ("samples delivered", self.samples_delivered),
            ("lost", self.lost),
            ("doubled", self.doubled),
            ("stale", self.stale),
            ("wrong version", self.wrong_version),
            ("wrong sample", self.wrong_sample),
            ("app calls", self.app_calls),
            ("app calls failed", self.app_failed),
            ("app answers wrong", self.app_wrong_answer),
            ("plain calls run twice", self.plain_doubled),
            ("keys seen by targets", self.keys_seen_by_targets),
            ("withdrawn key served after, ms", self.withdrawn_key_served_after_ms),
            ("late starts in a data centre out", self.out_served_late),
            ("tokens reported", self.usage_reported_tokens),
            ("tokens generated", self.usage_true_tokens),
            ("tokens received", self.usage_received_tokens),
        ];
        for (name, value) in rows {
            writeln!(f, "{name:<36}{value:>10}")?;
        }
        writeln!(f, "{:<36}{:>10.3}", "trainer idle share", self.trainer_idle_share)?;
        writeln!(f, "{:<36}{:>10.1}", "seconds", self.seconds)?;
        match self.violated().as_slice() {
            [] => write!(f, "all checks passed"),
            violated => write!(f, "BROKEN: {}", violated.join(", ")),
        }
    }
}
