//! Script functions that change targets, keys, weights and data centres, and that
//! inject faults into targets and the store.

use rhai::{Engine, INT};
use tamarackdock_config::deployment::DataCentreState;
use tamarackdock_types::weight::Version;

use super::{ScriptResult, Shared, duration, to_u64};
use crate::{Error, environment::Environment};

/// Registers the functions.
pub(super) fn register(engine: &mut Engine, shared: &Shared) {
    register_targets(engine, shared);
    register_store(engine, shared);
    let environment = shared.clone();
    engine.register_fn("publish", move |version: INT| -> ScriptResult<()> {
        environment.with(|environment| {
            let weight_versions = environment.weight_versions.clone();
            environment.world.publish_weights(Version(to_u64(version)), &weight_versions);
            Ok(())
        })
    });
    let environment = shared.clone();
    engine.register_fn("known", move |version: INT| -> ScriptResult<()> {
        environment.with(|environment| {
            environment.weight_versions.set_known(Version(to_u64(version)));
            Ok(())
        })
    });
    let environment = shared.clone();
    engine.register_fn("withdraw", move |account: &str| -> ScriptResult<()> {
        environment.with(|environment| environment.withdraw(account))
    });
    for (name, state) in [("take_out", DataCentreState::Out), ("take_in", DataCentreState::In)] {
        let environment = shared.clone();
        engine.register_fn(name, move |data_centre: &str| -> ScriptResult<()> {
            environment
                .with(|environment| Ok(environment.world.set_data_centre(data_centre, state)?))
        });
    }
}

fn register_targets(engine: &mut Engine, shared: &Shared) {
    type EngineAction = fn(&standin::engine::Engine);
    let actions: [(&str, EngineAction); 4] = [
        ("crash", standin::engine::Engine::crash),
        ("restart", standin::engine::Engine::restart),
        ("reset", standin::engine::Engine::make_cold),
        ("warm", standin::engine::Engine::make_warm),
    ];
    for (name, action) in actions {
        let environment = shared.clone();
        engine.register_fn(name, move |index: INT| -> ScriptResult<()> {
            environment.with(|environment| environment.engine(index).map(action))
        });
    }
    let environment = shared.clone();
    engine.register_fn("restart_all", move || -> ScriptResult<()> {
        environment.with(|environment| {
            environment.world.engines.iter().for_each(standin::engine::Engine::restart);
            Ok(())
        })
    });
}

fn register_store(engine: &mut Engine, shared: &Shared) {
    type StoreAction = fn(&Environment);
    type StoreSetting = fn(&Environment, INT);
    let actions: [(&str, StoreAction); 2] = [
        ("store_down", |environment| environment.world.platform.set_down(true)),
        ("store_up", |environment| environment.world.platform.set_down(false)),
    ];
    for (name, action) in actions {
        let environment = shared.clone();
        engine.register_fn(name, move || -> ScriptResult<()> {
            environment.with(|environment| {
                action(environment);
                Ok(())
            })
        });
    }
    let actions: [(&str, StoreSetting); 2] = [
        ("store_slow", |environment, millis| {
            environment.world.platform.state().faults.delay = duration(millis);
        }),
        ("store_lossy", |environment, interval| {
            environment.world.platform.state().faults.lose_every = to_u64(interval);
        }),
    ];
    for (name, action) in actions {
        let environment = shared.clone();
        engine.register_fn(name, move |number: INT| -> ScriptResult<()> {
            environment.with(|environment| {
                action(environment, number);
                Ok(())
            })
        });
    }
    for (name, is_cut_off) in [("cut_store", true), ("heal_store", false)] {
        let environment = shared.clone();
        engine.register_fn(name, move |data_centre: &str| -> ScriptResult<()> {
            environment.with(|environment| set_cut_off(environment, data_centre, is_cut_off))
        });
    }
}

/// Cuts a data centre off from the store, or ends the cut.
fn set_cut_off(
    environment: &Environment,
    data_centre: &str,
    is_cut_off: bool,
) -> Result<(), Error> {
    let address = environment.world.platform.address(data_centre);
    address.ok_or_else(|| Error::unknown("data centre", data_centre))?;
    environment.world.platform.set_cut_off(data_centre, is_cut_off);
    Ok(())
}
