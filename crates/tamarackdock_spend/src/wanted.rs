/// Targets that a data centre should have.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Wanted {
    /// Ordinary targets.
    pub ordinary: u32,
    /// Cheap targets.
    pub cheap: u32,
}
