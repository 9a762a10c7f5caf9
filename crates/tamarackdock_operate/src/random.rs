use std::fmt::Write as _;

use rand::{TryRngCore, rngs::OsRng};

use crate::Error;

const OPERATION_BYTES: usize = 16;

/// Returns random bytes of the operating system in hexadecimal form.
pub(crate) fn hex(bytes: usize) -> Result<String, Error> {
    let mut buffer = vec![0; bytes];
    OsRng.try_fill_bytes(&mut buffer).map_err(|_| Error::Random)?;
    let mut text = String::with_capacity(2 * bytes);
    for byte in buffer {
        let _ = write!(text, "{byte:02x}");
    }
    Ok(text)
}

/// Generates an operation id, by which nodes recognise a repeated request.
pub(crate) fn operation_id() -> Result<String, Error> {
    hex(OPERATION_BYTES)
}
