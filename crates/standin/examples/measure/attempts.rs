use std::collections::BTreeSet;

use standin::{trainer, world::World};

use crate::{finished_run::float, profile::TRAINERS, workload::Workload};

/// Numbers of starts at engines, and of the calls and samples that they belong to.
/// Samples of steps in progress are left out.
#[derive(Debug, Default)]
pub(crate) struct Attempts {
    app_starts: u64,
    app_calls: u64,
    sample_starts: u64,
    samples: u64,
    tokens_generated: u64,
    tokens_delivered: u64,
}

impl Attempts {
    /// Counts from the records of engines and trainers.
    pub(crate) fn count(world: &World, workload: &Workload) -> Self {
        let mut attempts = Self::default();
        let completed_steps: Vec<u64> = workload
            .trainers
            .iter()
            .map(|trainer| {
                trainer.read(|records| {
                    attempts.samples += records.whole_step_samples;
                    attempts.tokens_delivered += records.whole_step_tokens;
                    records.steps
                })
            })
            .collect();
        let mut app_ids = BTreeSet::new();
        for engine in &world.engines {
            engine.read(|records| {
                for id in &records.started {
                    if let Some(step) = Step::from_attempt_id(id) {
                        attempts.sample_starts += u64::from(step.is_completed(&completed_steps));
                    } else {
                        attempts.app_starts += 1;
                        app_ids.insert(id.clone());
                    }
                }
                let generated = records.tokens.iter().filter(|((id, _), _)| {
                    Step::from_attempt_id(id)
                        .is_some_and(|step| step.is_completed(&completed_steps))
                });
                attempts.tokens_generated += generated.map(|(_, tokens)| tokens).sum::<u64>();
            });
        }
        attempts.app_calls = app_ids.len() as u64;
        attempts
    }

    pub(crate) fn per_call(&self) -> Option<f64> {
        ratio(self.app_starts + self.sample_starts, self.app_calls + self.samples)
    }

    pub(crate) fn per_app_call(&self) -> Option<f64> {
        ratio(self.app_starts, self.app_calls)
    }

    pub(crate) fn per_sample(&self) -> Option<f64> {
        ratio(self.sample_starts, self.samples)
    }

    /// Returns the tokens that were generated for completed steps and not delivered, per
    /// token delivered. A resumed attempt goes on after the tokens that were received
    /// before, so these are generated only once.
    pub(crate) fn unused_token_share(&self) -> Option<f64> {
        ratio(self.tokens_generated, self.tokens_delivered).map(|share| share - 1.0)
    }
}

/// The step that an attempt at a sample belongs to.
struct Step {
    /// Index in `TRAINERS`.
    trainer: usize,
    step: u64,
}

impl Step {
    /// Parses an id `{trainer}-{step}-{attempt}`, which nodes send with attempts at
    /// samples. Returns `None` for ids of app calls.
    fn from_attempt_id(id: &str) -> Option<Self> {
        let (name, rest) = id.split_once('-')?;
        let trainer = TRAINERS.iter().position(|trainer| *trainer == name)?;
        Some(Self { trainer, step: rest.split_once('-')?.0.parse().ok()? })
    }

    /// Returns whether the trainer has completed the step.
    fn is_completed(&self, completed_steps: &[u64]) -> bool {
        self.step < trainer::Options::default().first_step + completed_steps[self.trainer]
    }
}

fn ratio(part: u64, whole: u64) -> Option<f64> {
    (whole > 0).then(|| float(part) / float(whole))
}
