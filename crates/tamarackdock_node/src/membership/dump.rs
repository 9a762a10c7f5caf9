use serde_json::{Value, json};

use super::Peers;

impl Peers {
    /// Returns the state as JSON for `/debug/state`.
    pub(crate) fn dump(&self) -> Value {
        let own = self.with(|members| members.own_entry().clone());
        json!({ "own": own, "revision": self.revision(), "members": self.all() })
    }
}
