use std::fs;

use tamarackdock_config::{Deployment, reader};

use crate::Error;

/// Reads the bytes of a file.
pub(crate) fn bytes(path: &str) -> Result<Vec<u8>, Error> {
    fs::read(path).map_err(|source| Error::File { path: path.into(), source })
}

/// Reads a deployment file and returns it with its bytes.
pub(crate) fn deployment(path: &str) -> Result<(Vec<u8>, Deployment), Error> {
    let bytes = bytes(path)?;
    let deployment = reader::deployment(path, &bytes)?;
    Ok((bytes, deployment))
}
