use std::io::Read as _;

use serde_json::json;
use tamarackdock_types::key::Hash;

use crate::{Console, Error, Exit, arguments::Arguments, operation};

const KEY_BYTES: usize = 32;
/// Longest key that is read from standard input.
const MAX_KEY_BYTES: u64 = 4096;

/// Prints a new key and its hash. The key is stored nowhere.
pub(crate) fn new(arguments: &Arguments, console: &mut Console<'_>) -> Result<Exit, Error> {
    let key = operation::random(KEY_BYTES)?;
    let hash = Hash::of(key.as_bytes());
    if arguments.json() {
        console.json(&json!({"key": key, "hash": hash}))?;
    } else {
        console.line(format_args!("key  {key}"))?;
        console.line(format_args!("hash {hash}"))?;
    }
    Ok(Exit::Done)
}

/// Prints the hash of a key from standard input. Arguments are visible to
/// other users of the host, which is why the key isn't one.
pub(crate) fn hash(arguments: &Arguments, console: &mut Console<'_>) -> Result<Exit, Error> {
    let mut text = String::new();
    let read = console.input.take(MAX_KEY_BYTES).read_to_string(&mut text);
    read.map_err(|_| Error::Key)?;
    let key = text.trim();
    if key.is_empty() || !key.chars().all(|c| c.is_ascii_graphic()) {
        return Err(Error::Key);
    }
    let hash = Hash::of(key.as_bytes());
    if arguments.json() {
        console.json(&json!({"hash": hash}))?;
    } else {
        console.line(hash)?;
    }
    Ok(Exit::Done)
}
