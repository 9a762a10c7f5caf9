//! A flag that is raised once and wakes every task that waits for it.

use std::{cell::RefCell, rc::Rc};

use futures_channel::oneshot;
use futures_util::{
    FutureExt,
    future::{LocalBoxFuture, Shared},
};

/// A flag shared by the tasks of one thread.
#[derive(Clone, Debug)]
pub struct Flag {
    sender: Rc<RefCell<Option<oneshot::Sender<()>>>>,
    raised: Shared<LocalBoxFuture<'static, ()>>,
}

impl Flag {
    /// Creates a flag that is not raised.
    #[must_use]
    pub fn new() -> Self {
        let (sender, receiver) = oneshot::channel();
        let raised = receiver.map(|_| ()).boxed_local().shared();
        Self { sender: Rc::new(RefCell::new(Some(sender))), raised }
    }

    /// Raises the flag. Raising it again has no effect.
    pub fn raise(&self) {
        if let Some(sender) = self.sender.borrow_mut().take() {
            let _ = sender.send(());
        }
    }

    /// Returns whether the flag is raised.
    #[must_use]
    pub fn is_raised(&self) -> bool {
        self.sender.borrow().is_none()
    }

    /// Waits until the flag is raised.
    pub async fn wait(&self) {
        self.raised.clone().await;
    }
}

impl Default for Flag {
    fn default() -> Self {
        Self::new()
    }
}
