use std::collections::BTreeSet;

use tamarackdock_rollout::{attempt::Attempt, sample::Sample};
use tamarackdock_types::weight::Version;

/// The fake engines. Every generated token has a unique id, so that each token
/// of a sample can be traced to the weight version that produced it.
#[derive(Default)]
pub(super) struct Engines {
    versions: Vec<Version>,
    ends: BTreeSet<u32>,
    pub(super) cancelled: BTreeSet<Attempt>,
}

impl Engines {
    pub(super) fn generate(&mut self, version: Version, end: bool) -> u32 {
        let token = u32::try_from(self.versions.len()).expect("few tokens");
        self.versions.push(version);
        if end {
            self.ends.insert(token);
        }
        token
    }

    /// Checks that a sample is complete and that its spans name the versions that
    /// produced it.
    pub(super) fn check(&self, sample: &Sample, max_tokens: u32) {
        let spans = sample.spans.iter().flat_map(|s| (0..s.tokens).map(|_| s.version));
        let used = sample.tokens.iter().map(|token| self.versions[*token as usize]);
        assert!(spans.eq(used), "spans differ from the versions that the engine used");
        let ends = sample.tokens.iter().filter(|token| self.ends.contains(token)).count();
        let last = sample.tokens.last().expect("a sample has tokens");
        assert!(ends == 1 && self.ends.contains(last), "a sample is truncated or mixes attempts");
        assert!(sample.tokens.len() <= max_tokens as usize, "a sample is too long");
        let text = text_of(&sample.tokens);
        assert_eq!(sample.text, text, "the text differs from the tokens");
    }
}

/// Returns the text that the fake engines send with tokens.
pub(super) fn text_of(tokens: &[u32]) -> String {
    tokens.iter().map(u32::to_string).collect::<Vec<_>>().concat()
}
