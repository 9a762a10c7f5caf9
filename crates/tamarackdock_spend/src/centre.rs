/// Demand and limits of a data centre, from which a plan is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DataCentreLoad {
    /// Measured demand, in the unit of `capacity`, for example tokens per second.
    pub demand: u64,
    /// Capacity of one target, in the unit of `demand`. Not zero.
    pub capacity: u64,
    /// Largest number of targets that may run, 0 if the data centre is out.
    pub limit: u32,
}
