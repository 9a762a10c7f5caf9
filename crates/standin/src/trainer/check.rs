use std::collections::BTreeSet;

use tamarackdock_types::weight::Version;

use super::{Options, Violation, sample::Sample};
use crate::engine::{expected_text, expected_token_ids};

/// Checks the samples of one step as they are read.
pub(super) struct StepCheck<'a> {
    options: &'a Options,
    step: u64,
    prompts: Vec<String>,
    /// Group and index of each sample read so far.
    seen_slots: BTreeSet<(usize, usize)>,
}

/// Result of the check of a sample.
pub(super) struct SampleCheck {
    /// Number of versions by which the oldest span is behind the newest known version.
    pub(super) lag: u64,
    pub(super) violations: Vec<Violation>,
}

impl<'a> StepCheck<'a> {
    pub(super) fn new(options: &'a Options, step: u64) -> Self {
        Self { options, step, prompts: options.prompts(step), seen_slots: BTreeSet::new() }
    }

    /// Checks a sample. `known` is the newest version that nodes knew when the sample was
    /// requested, and `published` the newest that existed when it arrived.
    pub(super) fn check_sample(
        &mut self,
        sample: &Sample,
        known: Version,
        published: Version,
    ) -> SampleCheck {
        let (step, group, index) = (self.step, sample.group, sample.index);
        let versions = sample.spans.iter().map(|span| span.weight_version);
        let lag = versions.min().map_or(0, |oldest| oldest.lag_behind(known));
        let has_slot = index < self.options.group_size;
        let prompt = self.prompts.get(group).filter(|_| has_slot);
        // A slot that does not exist is not recorded, since it would make up for a missing
        // one in the count at the end of the step.
        let is_new = prompt.is_none() || self.seen_slots.insert((group, index));
        let is_fresh = lag <= self.options.staleness_bound;
        let checks = [
            (prompt.is_some(), Violation::UnknownSlot { step, group, index }),
            (self.matches_prompt(sample, prompt), Violation::WrongText { step, group, index }),
            (has_valid_spans(sample, published), Violation::InvalidSpans { step, group, index }),
            (is_fresh, Violation::Stale { step, group, index, lag }),
            (is_new, Violation::Duplicate { step, group, index }),
        ];
        let failed = checks.into_iter().filter(|(holds, _)| !holds);
        SampleCheck { lag, violations: failed.map(|(_, violation)| violation).collect() }
    }

    /// Checks at the end of the step that no slot is missing.
    pub(super) fn check_complete(&self) -> Option<Violation> {
        let expected = self.options.groups * self.options.group_size;
        let missing = expected.saturating_sub(self.seen_slots.len());
        (missing > 0).then_some(Violation::Missing { step: self.step, missing })
    }

    fn matches_prompt(&self, sample: &Sample, prompt: Option<&String>) -> bool {
        let Some(prompt) = prompt else { return false };
        let tokens = token_count(sample);
        let has_valid_length = tokens > 0 && tokens <= self.options.max_tokens;
        has_valid_length
            && sample.token_ids == expected_token_ids(prompt, tokens)
            && sample.text == expected_text(prompt, tokens)
    }
}

fn token_count(sample: &Sample) -> u64 {
    u64::try_from(sample.token_ids.len()).unwrap_or(u64::MAX)
}

fn has_valid_spans(sample: &Sample, published: Version) -> bool {
    let covered: u64 = sample.spans.iter().map(|span| span.tokens).sum();
    let exists = |version: Version| version > Version(0) && version <= published;
    covered == token_count(sample)
        && sample.spans.iter().all(|span| span.tokens > 0 && exists(span.weight_version))
}
