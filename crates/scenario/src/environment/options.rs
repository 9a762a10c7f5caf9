//! Options of a world as a script gives them.

use std::time::Duration;

use rhai::{Array, Dynamic, Map};
use standin::{engine, world::Options};

use crate::Error;

/// Data centres that a script can use.
const DATA_CENTRES: [&str; 3] = ["d1", "d2", "d3"];

/// Reads the options. Those that the script leaves out keep their defaults, which
/// describe a small world.
pub(super) fn read(seed: u64, script_options: &Map) -> Result<Options, Error> {
    let mut options = Options { seed, ..Options::default() };
    options.engine.token_interval = Duration::from_millis(10);
    for (name, value) in script_options {
        match name.as_str() {
            "nodes" => options.nodes = data_centres(value)?,
            "training" => replace_engines(&mut options, value, true)?,
            "app" => replace_engines(&mut options, value, false)?,
            "cheap" => {
                let indexes = list(value).into_iter();
                options.cheap_engines =
                    indexes.map(|index| number(&index)).collect::<Result<_, _>>()?;
            }
            _ => set_engine_option(&mut options.engine, name, value)?,
        }
    }
    Ok(options)
}

/// Checks the name of a data centre and returns it as a constant.
pub(super) fn data_centre(name: &str) -> Result<&'static str, Error> {
    let known = DATA_CENTRES.into_iter().find(|known| *known == name);
    known.ok_or_else(|| Error::unknown("data centre", name))
}

fn set_engine_option(
    engine: &mut engine::Options,
    name: &str,
    value: &Dynamic,
) -> Result<(), Error> {
    let millis =
        || number(value).map(|millis| Duration::from_millis(millis.try_into().unwrap_or(u64::MAX)));
    match name {
        "capacity" => engine.capacity = number(value)?,
        "cold_capacity" => engine.cold_capacity = number(value)?,
        "cold_ms" => engine.cold_time = millis()?,
        "token_ms" => engine.token_interval = millis()?,
        "load_ms" => engine.weight_load_time = millis()?,
        _ => return Err(Error::unknown("option", name)),
    }
    Ok(())
}

/// Replaces the engines of one role by one in each listed data centre.
fn replace_engines(options: &mut Options, value: &Dynamic, training: bool) -> Result<(), Error> {
    options.engines.retain(|(_, role)| *role != training);
    let data_centres = data_centres(value)?.into_iter();
    options.engines.extend(data_centres.map(|data_centre| (data_centre, training)));
    Ok(())
}

fn data_centres(value: &Dynamic) -> Result<Vec<&'static str>, Error> {
    list(value).iter().map(|name| data_centre(&name.to_string())).collect()
}

/// Returns the items of an array. A value that isn't an array counts as an empty list.
fn list(value: &Dynamic) -> Array {
    value.clone().try_cast::<Array>().unwrap_or_default()
}

fn number(value: &Dynamic) -> Result<usize, Error> {
    let number = value.as_int().ok().and_then(|number| usize::try_from(number).ok());
    number.ok_or_else(|| Error::unknown("number", value))
}
