/// Sizes and faults of one schedule.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Plan {
    pub(crate) seed: u64,
    pub(crate) groups: usize,
    pub(crate) group_size: u32,
    pub(crate) max_tokens: u32,
    pub(crate) max_running: usize,
    pub(crate) hedged: bool,
    /// Chance of each fault in percent, until `faults_end_ms`.
    pub(crate) fault_percent: u32,
    /// Numbers of the events after which the holder is killed or paused; 0 for none.
    pub(crate) interrupted_at: [usize; 3],
    pub(crate) faults_end_ms: u64,
}

/// What happened in a schedule.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Counts {
    pub(crate) holders: usize,
    pub(crate) hedges: usize,
    pub(crate) resumes: usize,
    pub(crate) commits: usize,
    pub(crate) accepted_commits: usize,
    pub(crate) loads: usize,
    pub(crate) end_ms: u64,
}
