/// What is known about a data centre when a plan is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Centre {
    /// Measured demand, in tokens per second.
    pub demand: u64,
    /// Capacity of one target, in tokens per second. Not zero.
    pub capacity: u64,
    /// Most targets that may run, 0 if the data centre is out.
    pub limit: u32,
}
