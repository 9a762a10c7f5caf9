//! Script functions that stop, kill and add nodes.

use rhai::{Engine, INT};

use super::{ScriptResult, Shared};

/// Registers the functions.
pub(super) fn register(engine: &mut Engine, shared: &Shared) {
    let environment = shared.clone();
    engine.register_fn("kill_node", move |index: INT| -> ScriptResult<()> {
        environment.with(|environment| environment.kill_node(index))
    });
    let environment = shared.clone();
    engine.register_fn("stop_node", move |index: INT| -> ScriptResult<bool> {
        environment.with(|environment| environment.stop_node(index))
    });
    let environment = shared.clone();
    engine.register_fn("add_node", move |data_centre: &str| -> ScriptResult<()> {
        environment.with(|environment| environment.add_node(data_centre))
    });
}
