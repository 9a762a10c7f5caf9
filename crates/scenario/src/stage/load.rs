//! Trainers, apps and single callers.

use std::{net::SocketAddr, time::Duration};

use standin::{
    app::{self, App},
    engine,
    proxy::Proxy,
    trainer::{self, Trainer},
};

use super::{Stage, TIMEOUT, until};
use crate::{Error, call, live::Live};

const GROUPS: usize = 16;
const GROUP_SIZE: usize = 4;
/// Length of a stream that outlasts every scenario, in tokens.
const LONG_ANSWER: u64 = 20_000;

impl Stage {
    /// Starts a trainer.
    pub(crate) fn trainer(&mut self, name: &str, steps: u64) -> Result<(), Error> {
        let options = trainer::Options {
            name: name.into(),
            key: format!("{name}-key"),
            nodes: self.callers(),
            seed: self.seed,
            steps,
            groups: GROUPS,
            group_size: GROUP_SIZE,
            ..trainer::Options::default()
        };
        let trainer = Trainer::spawn(options, self.watch.clone())?;
        self.trainers.insert(name.into(), trainer);
        Ok(())
    }

    /// Starts an app that asks until the scenario stops it.
    pub(crate) fn app(&mut self, name: &str, callers: u64) -> Result<(), Error> {
        let options = app::Options {
            name: name.into(),
            key: format!("{name}-key"),
            nodes: self.callers(),
            questions: u64::MAX,
            callers,
            pause: Duration::from_millis(20),
            ..app::Options::default()
        };
        self.apps.insert(name.into(), App::spawn(options)?);
        Ok(())
    }

    /// Starts a long stream and waits for its first bytes.
    pub(crate) fn stream(&mut self, node: i64, account: &str) -> Result<bool, Error> {
        let options = engine::Options { seed: self.seed, ..engine::Options::default() };
        let mut prompts = (0..).map(|index| format!("{account} {index}"));
        let prompt = prompts.find(|prompt| options.output_tokens(prompt, 0) >= LONG_ANSWER);
        let live = Live::spawn(self.caller(node)?, account.into(), prompt.unwrap_or_default());
        self.live = Some(live.clone());
        Ok(until(TIMEOUT, || live.last_served().is_some()))
    }

    /// Makes one call and returns its outcome.
    pub(crate) fn call(&self, node: i64, account: &str, prompt: &str) -> Result<String, Error> {
        Ok(call::outcome(self.caller(node)?, account, prompt))
    }

    /// Waits until a trainer has read so many samples.
    pub(crate) fn wait_samples(&self, name: &str, samples: u64) -> Result<bool, Error> {
        let trainer = self.find_trainer(name)?;
        Ok(until(TIMEOUT, || trainer.read(|records| records.samples >= samples)))
    }

    /// Waits until all trainers are done, and returns whether each slot of
    /// each step came exactly once, was fresh and named possible versions.
    pub(crate) fn finish(&self, steps: u64) -> bool {
        let per_step = u64::try_from(GROUPS * GROUP_SIZE).unwrap_or(u64::MAX);
        let done = until(TIMEOUT, || self.trainers.values().all(Trainer::is_finished));
        let whole = |(name, trainer): (&String, &Trainer)| {
            trainer.read(|records| {
                eprintln!("{name}: {} steps, {:?}", records.steps, records.violations);
                eprintln!("{name}: {} samples, lag {}", records.samples, records.max_lag);
                let counts = (records.steps, records.samples);
                records.violations.is_empty() && counts == (steps, steps * per_step)
            })
        };
        // Not `all` alone, so that the figures of every trainer are shown.
        let failed = self.trainers.iter().filter(|trainer| !whole(*trainer)).count();
        done && failed == 0
    }

    /// Stops all apps and returns whether every call got its own whole answer.
    pub(crate) fn stop_apps(&mut self) -> bool {
        self.apps.values_mut().for_each(App::stop);
        let sound = |(name, app): (&String, &App)| {
            app.read(|records| {
                eprintln!("{name}: {} asked, {} answered", records.asked, records.answered);
                eprintln!("{name}: {:?}, {} broken", records.refusals, records.broken);
                let wrong = records.foreign.len() + records.incomplete.len();
                let failed = records.refusals.values().sum::<u64>() + records.broken;
                (wrong, failed) == (0, 0) && records.answered > 0
            })
        };
        self.apps.iter().filter(|app| !sound(*app)).count() == 0
    }

    /// Returns whether a further answer comes to each app within a time.
    pub(crate) fn apps_go_on(&self, bound: Duration) -> bool {
        let answered = |app: &App| app.read(|records| records.answered);
        let before: Vec<_> = self.apps.values().map(answered).collect();
        until(bound, || self.apps.values().zip(&before).all(|(app, count)| answered(app) > *count))
    }

    fn callers(&self) -> Vec<SocketAddr> {
        self.fronts.iter().map(Proxy::address).collect()
    }

    fn caller(&self, node: i64) -> Result<SocketAddr, Error> {
        let front = usize::try_from(node).ok().and_then(|index| self.fronts.get(index));
        Ok(front.ok_or_else(|| Error::unknown("node", &node))?.address())
    }

    fn find_trainer(&self, name: &str) -> Result<&Trainer, Error> {
        self.trainers.get(name).ok_or_else(|| Error::unknown("trainer", name))
    }
}
