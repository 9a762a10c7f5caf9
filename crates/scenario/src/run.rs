use std::{cell::RefCell, rc::Rc};

use rhai::Engine;

use crate::{Error, functions};

/// Runs a scenario and returns what it printed, one line for each `print` and `check`.
///
/// A check that fails prints a line that begins with `BROKEN`, and the scenario
/// continues, so that one run shows all failed checks. Values that differ between
/// runs go to standard error.
///
/// # Errors
///
/// Returns [`Error::Script`] if the script is not valid or one of its function calls fails.
pub fn run(script: &str, seed: u64) -> Result<String, Error> {
    let output = Rc::new(RefCell::new(String::new()));
    let mut engine = Engine::new();
    let printed = output.clone();
    engine.on_print(move |line| {
        let mut text = printed.borrow_mut();
        text.push_str(line);
        text.push('\n');
    });
    functions::register(&mut engine, &output, seed);
    engine.run(script)?;
    Ok(output.take())
}
