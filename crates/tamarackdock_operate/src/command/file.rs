use std::fs;

use tamarackdock_config::{Deployment, reader};

use crate::Error;

/// Returns the bytes of a file.
pub(crate) fn read(path: &str) -> Result<Vec<u8>, Error> {
    fs::read(path).map_err(|source| Error::File { path: path.into(), source })
}

/// Reads a deployment file and returns its bytes and its parsed content.
pub(crate) fn read_deployment(path: &str) -> Result<(Vec<u8>, Deployment), Error> {
    let bytes = read(path)?;
    let deployment = reader::deployment(path, &bytes)?;
    Ok((bytes, deployment))
}
