//! A flag that is set once and wakes every task that waits for it.

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
    when_set: Shared<LocalBoxFuture<'static, ()>>,
}

impl Flag {
    /// Creates a flag that is not set.
    #[must_use]
    pub fn new() -> Self {
        let (sender, receiver) = oneshot::channel();
        let when_set = receiver.map(|_| ()).boxed_local().shared();
        Self { sender: Rc::new(RefCell::new(Some(sender))), when_set }
    }

    /// Sets the flag. Setting it again has no effect.
    pub fn set(&self) {
        if let Some(sender) = self.sender.borrow_mut().take() {
            let _ = sender.send(());
        }
    }

    /// Returns whether the flag is set.
    #[must_use]
    pub fn is_set(&self) -> bool {
        self.sender.borrow().is_none()
    }

    /// Waits until the flag is set.
    pub async fn wait(&self) {
        self.when_set.clone().await;
    }
}

impl Default for Flag {
    fn default() -> Self {
        Self::new()
    }
}
