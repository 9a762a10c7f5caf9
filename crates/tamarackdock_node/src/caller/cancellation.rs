use futures_util::{
    future::{Either, select},
    pin_mut,
};
use tamarackdock_types::refusal::{Code, Refusal};
use tamarackdock_wire::flag::Flag;

/// Cancels a call in progress when its key is withdrawn or the node is cut off.
pub(super) struct Cancellation {
    withdrawn: Flag,
    cut_off: Flag,
}

impl Cancellation {
    /// Makes the cancellation of a call with a key, from the flags of the key and of the
    /// gate.
    pub(super) fn keyed(withdrawn: Flag, cut_off: Flag) -> Self {
        Self { withdrawn, cut_off }
    }

    /// Makes the cancellation of a call to an open service, which never occurs.
    pub(super) fn never() -> Self {
        Self { withdrawn: Flag::new(), cut_off: Flag::new() }
    }

    /// Waits until the call is cancelled, and returns the refusal for its caller.
    pub(super) async fn wait(&self) -> Refusal {
        let (withdrawn, cut_off) = (self.withdrawn.wait(), self.cut_off.wait());
        pin_mut!(withdrawn, cut_off);
        match select(withdrawn, cut_off).await {
            Either::Left(_) => {
                let message = "the key was withdrawn while the call ran";
                Refusal::unknown(Code::Unauthorized, message)
            }
            Either::Right(_) => {
                let message =
                    "while the call ran, the node lost proof that keys are valid; ask another node";
                Refusal::unknown(Code::CutOff, message)
            }
        }
    }
}
