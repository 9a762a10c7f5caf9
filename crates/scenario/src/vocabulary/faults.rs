//! Changes and faults of targets, keys, weights and the store.

use rhai::{Engine, INT};
use tamarackdock_config::deployment::DataCentreState;
use tamarackdock_types::weight::Version;

use super::{Outcome, Shared, count, duration};
use crate::{Error, stage::Stage};

/// Adds the functions.
pub(super) fn register(engine: &mut Engine, shared: &Shared) {
    register_targets(engine, shared);
    register_store(engine, shared);
    let stage = shared.clone();
    engine.register_fn("publish", move |version: INT| -> Outcome<()> {
        stage.with(|stage| {
            let watch = stage.watch.clone();
            stage.world.publish_weights(Version(count(version)), &watch);
            Ok(())
        })
    });
    let stage = shared.clone();
    engine.register_fn("known", move |version: INT| -> Outcome<()> {
        stage.with(|stage| {
            stage.watch.set_known(Version(count(version)));
            Ok(())
        })
    });
    let stage = shared.clone();
    engine.register_fn("withdraw", move |account: &str| -> Outcome<()> {
        stage.with(|stage| stage.withdraw(account))
    });
    for (name, state) in [("take_out", DataCentreState::Out), ("take_in", DataCentreState::In)] {
        let stage = shared.clone();
        engine.register_fn(name, move |data_centre: &str| -> Outcome<()> {
            stage.with(|stage| Ok(stage.world.set_data_centre(data_centre, state)?))
        });
    }
}

fn register_targets(engine: &mut Engine, shared: &Shared) {
    type Act = fn(&standin::engine::Engine);
    let acts: [(&str, Act); 4] = [
        ("crash", standin::engine::Engine::crash),
        ("restart", standin::engine::Engine::restart),
        ("reset", standin::engine::Engine::reset),
        ("warm", standin::engine::Engine::warm),
    ];
    for (name, act) in acts {
        let stage = shared.clone();
        engine.register_fn(name, move |index: INT| -> Outcome<()> {
            stage.with(|stage| stage.engine(index).map(act))
        });
    }
    let stage = shared.clone();
    engine.register_fn("restart_all", move || -> Outcome<()> {
        stage.with(|stage| {
            stage.world.engines.iter().for_each(standin::engine::Engine::restart);
            Ok(())
        })
    });
}

fn register_store(engine: &mut Engine, shared: &Shared) {
    type Act = fn(&Stage);
    type ActWith = fn(&Stage, INT);
    let acts: [(&str, Act); 2] = [
        ("store_down", |stage| stage.world.platform.set_down(true)),
        ("store_up", |stage| stage.world.platform.set_down(false)),
    ];
    for (name, act) in acts {
        let stage = shared.clone();
        engine.register_fn(name, move || -> Outcome<()> {
            stage.with(|stage| {
                act(stage);
                Ok(())
            })
        });
    }
    let acts: [(&str, ActWith); 2] = [
        ("store_slow", |stage, millis| {
            stage.world.platform.state().faults.delay = duration(millis);
        }),
        ("store_lossy", |stage, every| {
            stage.world.platform.state().faults.lose_every = count(every);
        }),
    ];
    for (name, act) in acts {
        let stage = shared.clone();
        engine.register_fn(name, move |number: INT| -> Outcome<()> {
            stage.with(|stage| {
                act(stage, number);
                Ok(())
            })
        });
    }
    for (name, is_cut) in [("cut_store", true), ("heal_store", false)] {
        let stage = shared.clone();
        engine.register_fn(name, move |data_centre: &str| -> Outcome<()> {
            stage.with(|stage| cut(stage, data_centre, is_cut))
        });
    }
}

fn cut(stage: &Stage, data_centre: &str, is_cut: bool) -> Result<(), Error> {
    let known = stage.world.platform.address(data_centre);
    known.ok_or_else(|| Error::unknown("data centre", data_centre))?;
    stage.world.platform.cut(data_centre, is_cut);
    Ok(())
}
