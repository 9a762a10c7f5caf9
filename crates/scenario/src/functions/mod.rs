//! The functions that scripts can call.

mod faults;
mod load;
mod nodes;

use std::{cell::RefCell, rc::Rc, thread, time::Duration};

use rhai::{Engine, EvalAltResult, INT, Map};

use crate::{Error, environment::Environment};

/// Result of a script function; an error ends the script.
type ScriptResult<T> = Result<T, Box<EvalAltResult>>;

/// The environment that the functions of one script share. It is empty until
/// the script calls `world`.
#[derive(Clone, Default)]
struct Shared(Rc<RefCell<Option<Environment>>>);

impl Shared {
    fn with<T>(
        &self,
        action: impl FnOnce(&mut Environment) -> Result<T, Error>,
    ) -> ScriptResult<T> {
        let mut environment = self.0.borrow_mut();
        Ok(action(environment.as_mut().ok_or(Error::NoWorld)?)?)
    }
}

/// Registers all functions. Lines of checks are appended to `output`.
pub(crate) fn register(engine: &mut Engine, output: &Rc<RefCell<String>>, seed: u64) {
    let shared = Shared::default();
    let environment = shared.clone();
    engine.register_fn("world", move |options: Map| -> ScriptResult<()> {
        environment.0.replace(Some(Environment::start(seed, &options)?));
        Ok(())
    });
    engine.register_fn("wait", |millis: INT| thread::sleep(duration(millis)));
    let printed = output.clone();
    engine.register_fn("check", move |holds: bool, description: &str| {
        let status = if holds { "held" } else { "BROKEN" };
        printed.borrow_mut().extend([status, ": ", description, "\n"]);
    });
    engine.register_fn("figure", |name: &str, value: INT| eprintln!("{name}: {value}"));
    load::register(engine, &shared);
    faults::register(engine, &shared);
    nodes::register(engine, &shared);
}

fn duration(millis: INT) -> Duration {
    Duration::from_millis(to_u64(millis))
}

fn to_u64(number: INT) -> u64 {
    u64::try_from(number).unwrap_or_default()
}

fn to_int(count: u64) -> INT {
    INT::try_from(count).unwrap_or(INT::MAX)
}
