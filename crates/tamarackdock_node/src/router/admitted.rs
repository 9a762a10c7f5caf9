use futures_channel::mpsc;

use super::Message;

/// Keeps a call admitted. Dropping it ends the call and frees its capacity.
pub(crate) struct Admitted {
    call: u64,
    router: mpsc::UnboundedSender<Message>,
}

impl Admitted {
    pub(super) fn new(call: u64, router: mpsc::UnboundedSender<Message>) -> Self {
        Self { call, router }
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        let _ = self.router.unbounded_send(Message::Finish { call: self.call });
    }
}
