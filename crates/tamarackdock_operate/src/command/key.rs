use std::io::Read as _;

use serde_json::json;
use tamarackdock_types::key::Hash;

use crate::{Console, Error, Exit, arguments::Arguments, random};

const KEY_BYTES: usize = 32;
/// Longest key in bytes.
const MAX_KEY_BYTES: u64 = 4096;

/// Generates a key and prints it with its hash. The key isn't stored.
pub(crate) fn new(arguments: &Arguments, console: &mut Console<'_>) -> Result<Exit, Error> {
    let key = random::hex(KEY_BYTES)?;
    let hash = Hash::of(key.as_bytes());
    if arguments.wants_json() {
        console.print_json(&json!({"key": key, "hash": hash}))?;
    } else {
        console.print_line(format_args!("key  {key}"))?;
        console.print_line(format_args!("hash {hash}"))?;
    }
    Ok(Exit::Done)
}

/// Prints the hash of a key from standard input. The key isn't an argument, since arguments
/// are visible to other users of the host.
pub(crate) fn hash(arguments: &Arguments, console: &mut Console<'_>) -> Result<Exit, Error> {
    let mut text = String::new();
    // One more byte and a line break show that the key is longer.
    let read = console.input.take(MAX_KEY_BYTES + 3).read_to_string(&mut text);
    read.map_err(|_| Error::Key)?;
    let key = text.trim();
    let is_long = u64::try_from(key.len()).is_ok_and(|bytes| bytes > MAX_KEY_BYTES);
    if key.is_empty() || is_long || !key.chars().all(|c| c.is_ascii_graphic()) {
        return Err(Error::Key);
    }
    let hash = Hash::of(key.as_bytes());
    if arguments.wants_json() {
        console.print_json(&json!({"hash": hash}))?;
    } else {
        console.print_line(hash)?;
    }
    Ok(Exit::Done)
}
