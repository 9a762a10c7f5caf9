/// Number of targets that a data centre should have, by class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetCounts {
    /// Targets that run until they are stopped.
    pub ordinary: u32,
    /// Targets that cost less and can be reclaimed at any time.
    pub cheap: u32,
}
