//! Script functions that start trainers, apps and calls, and that return counts.

use rhai::{Engine, INT};
use tamarackdock_types::weight::Version;

use super::{ScriptResult, Shared, duration, to_int, to_u64};
use crate::environment::wait_until;

/// Registers the functions.
pub(super) fn register(engine: &mut Engine, shared: &Shared) {
    let environment = shared.clone();
    engine.register_fn("trainer", move |name: &str, steps: INT| -> ScriptResult<()> {
        environment.with(|environment| environment.start_trainer(name, to_u64(steps)))
    });
    let environment = shared.clone();
    engine.register_fn("app", move |name: &str, callers: INT| -> ScriptResult<()> {
        environment.with(|environment| environment.start_app(name, to_u64(callers)))
    });
    let environment = shared.clone();
    engine.register_fn("stream", move |node: INT, account: &str| -> ScriptResult<bool> {
        environment.with(|environment| environment.start_stream(node, account))
    });
    let environment = shared.clone();
    engine.register_fn(
        "ask",
        move |node: INT, account: &str, prompt: &str| -> ScriptResult<String> {
            environment.with(|environment| environment.call(node, account, prompt))
        },
    );
    let environment = shared.clone();
    engine.register_fn("wait_samples", move |name: &str, samples: INT| -> ScriptResult<bool> {
        environment.with(|environment| environment.wait_samples(name, to_u64(samples)))
    });
    let environment = shared.clone();
    engine.register_fn("finish", move |steps: INT| -> ScriptResult<bool> {
        environment.with(|environment| Ok(environment.finish(to_u64(steps))))
    });
    let environment = shared.clone();
    engine.register_fn("stop_apps", move || -> ScriptResult<bool> {
        environment.with(|environment| Ok(environment.stop_apps()))
    });
    let environment = shared.clone();
    engine.register_fn("apps_go_on", move |millis: INT| -> ScriptResult<bool> {
        environment.with(|environment| Ok(environment.apps_get_answers(duration(millis))))
    });
    register_counts(engine, shared);
}

fn register_counts(engine: &mut Engine, shared: &Shared) {
    let environment = shared.clone();
    engine.register_fn("served_after", move || -> ScriptResult<INT> {
        environment.with(|environment| Ok(environment.served_after_ms()))
    });
    let environment = shared.clone();
    engine.register_fn("started", move |data_centre: &str| -> ScriptResult<INT> {
        environment.with(|environment| Ok(to_int(environment.world.calls_started_in(data_centre))))
    });
    let environment = shared.clone();
    engine.register_fn(
        "starts_again",
        move |data_centre: &str, millis: INT| -> ScriptResult<bool> {
            environment.with(|environment| {
                let before = environment.world.calls_started_in(data_centre);
                let started = || environment.world.calls_started_in(data_centre) > before;
                Ok(wait_until(duration(millis), started))
            })
        },
    );
    let environment = shared.clone();
    engine.register_fn("crashes", move || -> ScriptResult<INT> {
        environment.with(|environment| Ok(environment.crashes()))
    });
    let environment = shared.clone();
    engine.register_fn("keys_seen", move || -> ScriptResult<INT> {
        environment.with(|environment| Ok(to_int(environment.world.requests_with_key())))
    });
    let environment = shared.clone();
    engine.register_fn("engines_load", move |version: INT, millis: INT| -> ScriptResult<bool> {
        environment.with(|environment| {
            Ok(wait_until(duration(millis), || environment.have_loaded(Version(to_u64(version)))))
        })
    });
}
