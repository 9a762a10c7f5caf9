//! A set of stand-ins that are started together.

use std::io;

use crate::{
    engine::{self, Engine},
    plain::PlainService,
    platform::Platform,
};

/// Stand-ins for the outside systems that share a seed.
#[derive(Debug)]
pub struct StandIns {
    /// Platform, with one address for each data centre.
    pub platform: Platform,
    /// Engines, named `e0`, `e1` and so on.
    pub engines: Vec<Engine>,
    /// Plain services, named `s0`, `s1` and so on.
    pub plain_services: Vec<PlainService>,
}

impl StandIns {
    /// Starts a platform with one address for each data centre, and engines
    /// with the given options except their names. Engines share the seed, so that
    /// one can resume another's streams.
    ///
    /// # Errors
    ///
    /// Returns the error of the first stand-in that can't be started.
    pub fn spawn(
        seed: u64,
        data_centres: &[&str],
        engines: usize,
        options: &engine::Options,
        plain_services: usize,
    ) -> io::Result<Self> {
        let engine = |index| {
            let name = format!("e{index}");
            Engine::spawn(engine::Options { name, seed, ..options.clone() })
        };
        Ok(Self {
            platform: Platform::spawn(seed, data_centres)?,
            engines: (0..engines).map(engine).collect::<io::Result<_>>()?,
            plain_services: (0..plain_services)
                .map(|index| PlainService::spawn(&format!("s{index}")))
                .collect::<io::Result<_>>()?,
        })
    }
}
