use super::Name;

/// A target that is assigned to a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Id of the target.
    pub id: Name,
    /// Model that it serves.
    pub model: Name,
    /// Version of this model that it has, 0 if it has none.
    pub version: u64,
    /// Whether an order is in progress.
    pub state: State,
}

/// What a target does with regard to orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It can get an order.
    Idle,
    /// It can get an order, but did not carry out the last one.
    Failing,
    /// It is loading this version.
    Loading(u64),
    /// It gets no order for some time, since its last one has failed.
    Paused,
}

impl Target {
    /// Returns the version that it has, or will have when its order is carried out.
    pub(super) fn expected_version(&self) -> u64 {
        match self.state {
            State::Loading(version) => version.max(self.version),
            State::Idle | State::Failing | State::Paused => self.version,
        }
    }
}
