//! Load, and what came of it.

use rhai::{Engine, INT};
use tamarackdock_types::weight::Version;

use super::{Outcome, Shared, count, duration, int};
use crate::stage::until;

/// Adds the functions.
pub(super) fn register(engine: &mut Engine, shared: &Shared) {
    let stage = shared.clone();
    engine.register_fn("trainer", move |name: &str, steps: INT| -> Outcome<()> {
        stage.with(|stage| stage.trainer(name, count(steps)))
    });
    let stage = shared.clone();
    engine.register_fn("app", move |name: &str, callers: INT| -> Outcome<()> {
        stage.with(|stage| stage.app(name, count(callers)))
    });
    let stage = shared.clone();
    engine.register_fn("stream", move |node: INT, account: &str| -> Outcome<bool> {
        stage.with(|stage| stage.stream(node, account))
    });
    let stage = shared.clone();
    engine.register_fn("ask", move |node: INT, account: &str, prompt: &str| -> Outcome<String> {
        stage.with(|stage| stage.call(node, account, prompt))
    });
    let stage = shared.clone();
    engine.register_fn("wait_samples", move |name: &str, samples: INT| -> Outcome<bool> {
        stage.with(|stage| stage.wait_samples(name, count(samples)))
    });
    let stage = shared.clone();
    engine.register_fn("finish", move |steps: INT| -> Outcome<bool> {
        stage.with(|stage| Ok(stage.finish(count(steps))))
    });
    let stage = shared.clone();
    engine.register_fn("stop_apps", move || -> Outcome<bool> {
        stage.with(|stage| Ok(stage.stop_apps()))
    });
    let stage = shared.clone();
    engine.register_fn("apps_go_on", move |millis: INT| -> Outcome<bool> {
        stage.with(|stage| Ok(stage.apps_go_on(duration(millis))))
    });
    register_counts(engine, shared);
}

fn register_counts(engine: &mut Engine, shared: &Shared) {
    let stage = shared.clone();
    engine.register_fn("served_after", move || -> Outcome<INT> {
        stage.with(|stage| Ok(stage.served_after()))
    });
    let stage = shared.clone();
    engine.register_fn("started", move |data_centre: &str| -> Outcome<INT> {
        stage.with(|stage| Ok(int(stage.world.started_in(data_centre))))
    });
    let stage = shared.clone();
    engine.register_fn("starts_again", move |data_centre: &str, millis: INT| -> Outcome<bool> {
        stage.with(|stage| {
            let before = stage.world.started_in(data_centre);
            let started = || stage.world.started_in(data_centre) > before;
            Ok(until(duration(millis), started))
        })
    });
    let stage = shared.clone();
    engine.register_fn("crashes", move || -> Outcome<INT> {
        stage.with(|stage| Ok(stage.crashes()))
    });
    let stage = shared.clone();
    engine.register_fn("keys_seen", move || -> Outcome<INT> {
        stage.with(|stage| Ok(int(stage.world.keys_seen())))
    });
    let stage = shared.clone();
    engine.register_fn("engines_load", move |version: INT, millis: INT| -> Outcome<bool> {
        stage.with(|stage| {
            Ok(until(duration(millis), || stage.have_loaded(Version(count(version)))))
        })
    });
}
