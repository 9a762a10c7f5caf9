use std::{cmp::Reverse, collections::BTreeMap};

use super::{Load, Model, Name, Need, State, Target};

/// The targets that wait for a load, by model.
///
/// A step accepts the version before its own. So at most half of a model's targets move to the
/// newest version while the others serve, and targets that are two or more versions behind, which
/// the next step can't use, load in any case.
#[derive(Debug)]
pub struct Backlog {
    queues: BTreeMap<Name, Queue>,
}

/// The next target of a model that is due to load.
#[derive(Debug)]
pub struct Candidate<'a> {
    /// Model whose weights it loads.
    pub model: &'a Name,
    /// Target that loads.
    pub target: &'a Name,
    /// Number of versions by which the target is behind.
    pub lag: u64,
    /// Number of the model's targets that are up to date or loading.
    pub usable: usize,
    /// Newest version that one of the model's targets has or loads.
    pub newest_expected: u64,
}

#[derive(Debug, Default)]
struct Queue {
    published: u64,
    targets: usize,
    usable: usize,
    newest_expected: u64,
    /// Targets that are behind, the next one first.
    waiting: Vec<Waiting>,
}

/// A target that is behind, in the order of loads: targets that did not carry out their last order
/// come last, so that they take no loads from others, and of the rest those furthest behind first.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Waiting {
    is_failing: bool,
    lag: Reverse<u64>,
    target: Name,
}

impl Backlog {
    /// Sorts targets by model. `published` returns the newest version of a model; targets of
    /// others are left out.
    #[must_use]
    pub fn new(targets: &[Target], published: impl Fn(&Name) -> Option<u64>) -> Self {
        let mut queues: BTreeMap<Name, Queue> = BTreeMap::new();
        for target in targets {
            let Some(published) = published(&target.model) else { continue };
            let queue = queues.entry(target.model.clone()).or_default();
            queue.published = published;
            queue.add(target);
        }
        for queue in queues.values_mut() {
            queue.waiting.sort_unstable();
        }
        Self { queues }
    }

    /// Returns at most `room` loads. Of the models' candidates, that with the smallest key comes
    /// next, where loads that were chosen before it count as in progress.
    #[must_use]
    pub fn loads<K: Ord>(mut self, room: usize, key: impl Fn(&Candidate<'_>) -> K) -> Vec<Load> {
        let mut loads = Vec::new();
        while loads.len() < room {
            let candidates = self.queues.iter().filter_map(|(model, queue)| queue.next(model));
            let next = candidates.min_by_key(&key).map(|candidate| candidate.model.clone());
            let Some(model) = next else { break };
            loads.extend(self.queues.get_mut(&model).and_then(|queue| queue.take(&model)));
        }
        loads
    }

    pub(super) fn needs(&self, models: &BTreeMap<Name, Model>) -> Vec<Need> {
        let need = |(model, queue): (&Name, &Queue)| Need {
            model: model.clone(),
            published: queue.published,
            usable: queue.usable,
            targets: queue.targets,
            is_blocked: models[model].is_blocked(queue.newest_expected),
        };
        self.queues.iter().map(need).collect()
    }
}

impl Queue {
    fn add(&mut self, target: &Target) {
        let lag = self.published.saturating_sub(target.version);
        self.targets += 1;
        self.newest_expected = self.newest_expected.max(target.expected_version());
        match target.state {
            State::Loading(_) => self.usable += 1,
            State::Idle | State::Failing | State::Paused if lag == 0 => self.usable += 1,
            State::Idle | State::Failing => self.waiting.push(Waiting {
                is_failing: target.state == State::Failing,
                lag: Reverse(lag),
                target: target.id.clone(),
            }),
            State::Paused => {}
        }
    }

    /// Returns the place of the next target that is due.
    fn next_place(&self) -> Option<usize> {
        let has_half = self.usable >= self.targets.div_ceil(2);
        self.waiting.iter().position(|waiting| waiting.lag.0 >= 2 || !has_half)
    }

    fn next<'a>(&'a self, model: &'a Name) -> Option<Candidate<'a>> {
        let Waiting { lag, target, .. } = &self.waiting[self.next_place()?];
        let Self { usable, newest_expected, .. } = *self;
        Some(Candidate { model, target, lag: lag.0, usable, newest_expected })
    }

    fn take(&mut self, model: &Name) -> Option<Load> {
        let Waiting { target, .. } = self.waiting.remove(self.next_place()?);
        self.usable += 1;
        self.newest_expected = self.newest_expected.max(self.published);
        Some(Load { target, model: model.clone(), version: self.published })
    }
}
