//! Starts trainers, apps and single calls, and checks what the callers received.

use std::{net::SocketAddr, time::Duration};

use standin::{
    app::{self, App},
    engine,
    proxy::Proxy,
    trainer::{self, Trainer},
};

use super::{Environment, TIMEOUT, wait_until};
use crate::{Error, background_stream::BackgroundStream, call};

const GROUPS: usize = 16;
const GROUP_SIZE: usize = 4;
/// Tokens of a stream that lasts longer than every scenario.
const LONG_ANSWER_TOKENS: u64 = 20_000;

impl Environment {
    /// Starts a trainer that requests `steps` steps.
    pub(crate) fn start_trainer(&mut self, name: &str, steps: u64) -> Result<(), Error> {
        let options = trainer::Options {
            name: name.into(),
            key: format!("{name}-key"),
            nodes: self.proxy_addresses(),
            seed: self.seed,
            steps,
            groups: GROUPS,
            group_size: GROUP_SIZE,
            ..trainer::Options::default()
        };
        let trainer = Trainer::spawn(options, self.weight_versions.clone())?;
        self.trainers.insert(name.into(), trainer);
        Ok(())
    }

    /// Starts an app that makes calls until the scenario stops it.
    pub(crate) fn start_app(&mut self, name: &str, callers: u64) -> Result<(), Error> {
        let options = app::Options {
            name: name.into(),
            key: format!("{name}-key"),
            nodes: self.proxy_addresses(),
            questions: u64::MAX,
            callers,
            pause: Duration::from_millis(20),
            ..app::Options::default()
        };
        self.apps.insert(name.into(), App::spawn(options)?);
        Ok(())
    }

    /// Starts a long stream and returns whether its first bytes arrived in time.
    pub(crate) fn start_stream(&mut self, node: i64, account: &str) -> Result<bool, Error> {
        let options = engine::Options { seed: self.seed, ..engine::Options::default() };
        let mut prompts = (0..).map(|index| format!("{account} {index}"));
        let prompt = prompts.find(|prompt| options.output_tokens(prompt, 0) >= LONG_ANSWER_TOKENS);
        let stream = BackgroundStream::spawn(
            self.proxy_address(node)?,
            account.into(),
            prompt.unwrap_or_default(),
        );
        self.stream = Some(stream.clone());
        Ok(wait_until(TIMEOUT, || stream.last_received().is_some()))
    }

    /// Makes one call and returns its outcome.
    pub(crate) fn call(&self, node: i64, account: &str, prompt: &str) -> Result<String, Error> {
        Ok(call::outcome(self.proxy_address(node)?, account, prompt))
    }

    /// Waits until a trainer has read at least `samples` samples.
    pub(crate) fn wait_samples(&self, name: &str, samples: u64) -> Result<bool, Error> {
        let trainer = self.find_trainer(name)?;
        Ok(wait_until(TIMEOUT, || trainer.read(|records| records.samples >= samples)))
    }

    /// Waits until all trainers are done. Returns whether all steps finished without a
    /// violation and with the expected number of samples.
    pub(crate) fn finish(&self, steps: u64) -> bool {
        let samples_per_step = u64::try_from(GROUPS * GROUP_SIZE).unwrap_or(u64::MAX);
        let all_finished = wait_until(TIMEOUT, || self.trainers.values().all(Trainer::is_finished));
        let is_complete = |(name, trainer): (&String, &Trainer)| {
            trainer.read(|records| {
                eprintln!("{name}: {} steps, {:?}", records.steps, records.violations);
                eprintln!("{name}: {} samples, lag {}", records.samples, records.max_lag);
                let counts = (records.steps, records.samples);
                records.violations.is_empty() && counts == (steps, steps * samples_per_step)
            })
        };
        // `all` would stop at the first failure and not print the counts of the rest.
        let failed = self.trainers.iter().filter(|trainer| !is_complete(*trainer)).count();
        all_finished && failed == 0
    }

    /// Stops all apps. Returns whether each app got answers, and every call got the
    /// complete answer to its own question.
    pub(crate) fn stop_apps(&mut self) -> bool {
        self.apps.values_mut().for_each(App::stop);
        let is_ok = |(name, app): (&String, &App)| {
            app.read(|records| {
                eprintln!("{name}: {} asked, {} answered", records.asked, records.answered);
                eprintln!(
                    "{name}: refusals {:?}, {} without a complete response",
                    records.refusals, records.lost_connections
                );
                let wrong = records.wrong_text.len() + records.incomplete.len();
                let failed = records.refusals.values().sum::<u64>() + records.lost_connections;
                (wrong, failed) == (0, 0) && records.answered > 0
            })
        };
        self.apps.iter().filter(|app| !is_ok(*app)).count() == 0
    }

    /// Returns whether each app gets a further answer within `timeout`.
    pub(crate) fn apps_get_answers(&self, timeout: Duration) -> bool {
        let answered = |app: &App| app.read(|records| records.answered);
        let before: Vec<_> = self.apps.values().map(answered).collect();
        wait_until(timeout, || {
            self.apps.values().zip(&before).all(|(app, count)| answered(app) > *count)
        })
    }

    fn proxy_addresses(&self) -> Vec<SocketAddr> {
        self.load_balancers.iter().map(Proxy::address).collect()
    }

    fn proxy_address(&self, node: i64) -> Result<SocketAddr, Error> {
        let proxy = usize::try_from(node).ok().and_then(|index| self.load_balancers.get(index));
        Ok(proxy.ok_or_else(|| Error::unknown("node", &node))?.address())
    }

    fn find_trainer(&self, name: &str) -> Result<&Trainer, Error> {
        self.trainers.get(name).ok_or_else(|| Error::unknown("trainer", name))
    }
}
