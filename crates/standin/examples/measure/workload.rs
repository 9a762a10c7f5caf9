use std::{io, time::Duration};

use standin::{
    app::{self, App},
    trainer::{self, Trainer, WeightVersions},
    world::World,
};

use crate::profile::{APPS, FLOODING_ACCOUNT, Profile, STALENESS_BOUND, TRAINERS};

/// Steps or questions that a run has no time to finish.
const UNLIMITED: u64 = 1 << 32;
const PROMPT_BYTES: usize = 640;
const PREFIX_BYTES: usize = 640;
const MAX_TOKENS: u64 = 200;
const APP_MAX_TOKENS: u64 = 48;
const APP_PAUSE: Duration = Duration::from_millis(20);
const FLOOD_CALLERS: u64 = 160;
const COMPUTE_TIME: Duration = Duration::from_millis(500);

/// The trainers and apps that call the nodes in a run.
pub(crate) struct Workload {
    pub(crate) trainers: Vec<Trainer>,
    pub(crate) apps: Vec<(&'static str, App)>,
}

impl Workload {
    /// Starts trainers and apps.
    pub(crate) fn spawn(
        world: &World,
        profile: &Profile,
        seed: u64,
        weight_versions: &WeightVersions,
    ) -> io::Result<Self> {
        let trainer = |name: &&str| {
            let options = trainer::Options {
                name: (*name).into(),
                key: format!("{name}-key"),
                nodes: world.caller_addresses(),
                seed,
                steps: UNLIMITED,
                groups: profile.groups,
                group_size: profile.group_size,
                prompt_bytes: PROMPT_BYTES,
                max_tokens: MAX_TOKENS,
                staleness_bound: STALENESS_BOUND,
                compute_time: COMPUTE_TIME,
                ..trainer::Options::default()
            };
            Trainer::spawn(options, weight_versions.clone())
        };
        let app = |(name, _, callers): &(&'static str, u32, u64)| {
            Ok((*name, App::spawn(options(world, name, name, *callers))?))
        };
        Ok(Self {
            trainers: TRAINERS.iter().map(trainer).collect::<io::Result<_>>()?,
            apps: APPS.iter().map(app).collect::<io::Result<_>>()?,
        })
    }

    /// Stops all callers.
    pub(crate) fn stop(&mut self) {
        self.trainers.iter_mut().for_each(Trainer::stop);
        self.apps.iter_mut().for_each(|(_, app)| app.stop());
    }
}

/// Starts an app that floods the nodes with calls of a large account. These are not
/// counted among the calls of that account.
pub(crate) fn spawn_flood(world: &World) -> io::Result<App> {
    App::spawn(app::Options {
        pause: Duration::ZERO,
        ..options(world, "flood", FLOODING_ACCOUNT, FLOOD_CALLERS)
    })
}

fn options(world: &World, name: &str, account: &str, callers: u64) -> app::Options {
    app::Options {
        name: name.into(),
        key: format!("{account}-key"),
        nodes: world.caller_addresses(),
        prefix: format!("{:.<PREFIX_BYTES$}", format!("instructions of {account} ")),
        questions: UNLIMITED,
        callers,
        max_tokens: APP_MAX_TOKENS,
        pause: APP_PAUSE,
        ..app::Options::default()
    }
}
