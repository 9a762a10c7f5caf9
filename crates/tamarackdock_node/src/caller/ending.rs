use futures_util::{
    future::{Either, select},
    pin_mut,
};
use tamarackdock_types::refusal::{Code, Refusal};
use tamarackdock_wire::flag::Flag;

/// What ends a call in progress from outside.
pub(super) struct Ending {
    withdrawn: Flag,
    cut_off: Flag,
}

impl Ending {
    /// Makes the ending of a call with a key, from the key's flag and the gate's.
    pub(super) fn keyed(withdrawn: Flag, cut_off: Flag) -> Self {
        Self { withdrawn, cut_off }
    }

    /// Makes the ending of a call of an open service, which comes never.
    pub(super) fn never() -> Self {
        Self { withdrawn: Flag::new(), cut_off: Flag::new() }
    }

    /// Waits until the call must end, and returns what its caller is told.
    pub(super) async fn wait(&self) -> Refusal {
        let (withdrawn, cut_off) = (self.withdrawn.wait(), self.cut_off.wait());
        pin_mut!(withdrawn, cut_off);
        match select(withdrawn, cut_off).await {
            Either::Left(_) => {
                let message = "the key was withdrawn while the call ran";
                Refusal::unknown(Code::Unauthorized, message)
            }
            Either::Right(_) => {
                let message = "the node lost contact while the call ran; ask another node";
                Refusal::unknown(Code::CutOff, message)
            }
        }
    }
}
