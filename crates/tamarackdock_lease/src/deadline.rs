use tamarackdock_types::{clock::Instant, fence::Epoch};

/// The time until which a recorded order may be sent, on the recorder's clock.
///
/// It counts from before the record was sent. The next holder waits for the same span
/// from its later acquisition, so the deadline has passed before that wait ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Deadline {
    /// Epoch under which the order was recorded.
    pub epoch: Epoch,
    /// First instant at which the order must no longer be sent.
    pub until: Instant,
}
