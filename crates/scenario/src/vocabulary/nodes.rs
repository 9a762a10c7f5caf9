//! Nodes that stop, are killed and are added.

use rhai::{Engine, INT};

use super::{Outcome, Shared};

/// Adds the functions.
pub(super) fn register(engine: &mut Engine, shared: &Shared) {
    let stage = shared.clone();
    engine.register_fn("kill_node", move |index: INT| -> Outcome<()> {
        stage.with(|stage| stage.kill_node(index))
    });
    let stage = shared.clone();
    engine.register_fn("stop_node", move |index: INT| -> Outcome<bool> {
        stage.with(|stage| stage.stop_node(index))
    });
    let stage = shared.clone();
    engine.register_fn("add_node", move |data_centre: &str| -> Outcome<()> {
        stage.with(|stage| stage.add_node(data_centre))
    });
}
