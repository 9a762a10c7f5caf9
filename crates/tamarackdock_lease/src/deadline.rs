use tamarackdock_types::{clock::Instant, fence::Epoch};

/// The time until which a recorded order may be sent, on the recorder's clock.
///
/// It is counted from before the record was sent, so that the next holder, which
/// waits for the same span after its acquisition, waits longer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Deadline {
    /// Epoch under which the order was recorded.
    pub epoch: Epoch,
    /// First instant at which the order must no longer be sent.
    pub until: Instant,
}
