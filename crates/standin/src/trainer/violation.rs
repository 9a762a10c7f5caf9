use derive_more::Display;

/// A broken promise of a node to a trainer.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Violation {
    /// The sample's slot does not exist in the step.
    #[display("step {step}: slot {group}/{index} does not exist")]
    UnknownSlot {
        /// Number of the step.
        step: u64,
        /// Index of the group in the step.
        group: usize,
        /// Index of the sample in its group.
        index: usize,
    },
    /// The sample is empty or too long, or its text or token ids do not belong to its prompt.
    #[display(
        "step {step}: the text or token ids of slot {group}/{index} do not belong to its prompt"
    )]
    WrongText {
        /// Number of the step.
        step: u64,
        /// Index of the group in the step.
        group: usize,
        /// Index of the sample in its group.
        index: usize,
    },
    /// The spans do not cover the tokens, one is empty, or one names a version that does not
    /// exist.
    #[display("step {step}: the version spans of slot {group}/{index} are not valid")]
    InvalidSpans {
        /// Number of the step.
        step: u64,
        /// Index of the group in the step.
        group: usize,
        /// Index of the sample in its group.
        index: usize,
    },
    /// The sample is older than the staleness bound allows.
    #[display("step {step}: slot {group}/{index} is {lag} versions old")]
    Stale {
        /// Number of the step.
        step: u64,
        /// Index of the group in the step.
        group: usize,
        /// Index of the sample in its group.
        index: usize,
        /// Number of versions by which the sample is behind the newest that nodes knew.
        lag: u64,
    },
    /// The slot was delivered before, for example under another cursor.
    #[display("step {step}: slot {group}/{index} was delivered twice")]
    Duplicate {
        /// Number of the step.
        step: u64,
        /// Index of the group in the step.
        group: usize,
        /// Index of the sample in its group.
        index: usize,
    },
    /// The node reported the step as complete before all of its slots were delivered.
    #[display("step {step}: {missing} slots are missing")]
    Missing {
        /// Number of the step.
        step: u64,
        /// Number of slots without a sample.
        missing: usize,
    },
    /// A second read from a cursor gave other samples than the first.
    #[display("step {step}: a second read from cursor {cursor} gave other samples")]
    ChangedPage {
        /// Number of the step.
        step: u64,
        /// Cursor that both reads started from.
        cursor: u64,
    },
}
