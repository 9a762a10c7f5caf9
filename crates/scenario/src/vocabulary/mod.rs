//! The functions that scripts call.

mod faults;
mod load;
mod nodes;

use std::{cell::RefCell, rc::Rc, thread, time::Duration};

use rhai::{Engine, EvalAltResult, INT, Map};

use crate::{Error, stage::Stage};

type Outcome<T> = Result<T, Box<EvalAltResult>>;

/// The stage that a script's functions act on.
#[derive(Clone, Default)]
struct Shared(Rc<RefCell<Option<Stage>>>);

impl Shared {
    fn with<T>(&self, act: impl FnOnce(&mut Stage) -> Result<T, Error>) -> Outcome<T> {
        let mut stage = self.0.borrow_mut();
        Ok(act(stage.as_mut().ok_or(Error::NoWorld)?)?)
    }
}

/// Adds all functions.
pub(crate) fn register(engine: &mut Engine, output: &Rc<RefCell<String>>, seed: u64) {
    let shared = Shared::default();
    let stage = shared.clone();
    engine.register_fn("world", move |sizes: Map| -> Outcome<()> {
        stage.0.replace(Some(Stage::start(seed, &sizes)?));
        Ok(())
    });
    engine.register_fn("wait", |millis: INT| thread::sleep(duration(millis)));
    let printed = output.clone();
    engine.register_fn("check", move |holds: bool, what: &str| {
        let verdict = if holds { "held" } else { "BROKEN" };
        printed.borrow_mut().extend([verdict, ": ", what, "\n"]);
    });
    engine.register_fn("figure", |what: &str, figure: INT| eprintln!("{what}: {figure}"));
    load::register(engine, &shared);
    faults::register(engine, &shared);
    nodes::register(engine, &shared);
}

fn duration(millis: INT) -> Duration {
    Duration::from_millis(count(millis))
}

fn count(number: INT) -> u64 {
    u64::try_from(number).unwrap_or_default()
}

fn int(count: u64) -> INT {
    INT::try_from(count).unwrap_or(INT::MAX)
}
