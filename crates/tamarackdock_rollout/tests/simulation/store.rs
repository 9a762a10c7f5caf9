use std::collections::BTreeMap;

use bytes::Bytes;
use tamarackdock_rollout::{manifest::Manifest, request::Request, sample::Sample, step};
use tamarackdock_types::weight::Version;

/// The fake store of the platform. It checks each accepted row against the one
/// before.
pub(super) struct Store {
    pub(super) objects: BTreeMap<String, Bytes>,
    /// Accepted rows; the revision is the position plus one.
    pub(super) rows: Vec<String>,
}

impl Store {
    pub(super) fn row(&self) -> Option<step::Row> {
        let revision = self.rows.len() as u64;
        self.rows.last().map(|value| step::Row { revision, value: value.clone() })
    }

    pub(super) fn manifest(&self, request: &Request) -> Manifest {
        match self.rows.last() {
            Some(value) => Manifest::decode(request, value).expect("the row decodes"),
            None => Manifest::new(request),
        }
    }

    pub(super) fn put(&mut self, name: String, bytes: &Bytes) {
        let stored = self.objects.entry(name).or_insert_with(|| bytes.clone());
        assert_eq!(stored, bytes, "an object was written twice with different bytes");
    }

    /// Applies a commit if its precondition holds, and returns whether it did.
    pub(super) fn commit(&mut self, request: &Request, revision: u64, value: String) -> bool {
        if revision != self.rows.len() as u64 {
            return false;
        }
        let old = self.manifest(request);
        let new = Manifest::decode(request, &value).expect("the row decodes");
        for slot in 0..request.samples() {
            let group = slot / request.fields().group_size;
            let replaced = old.contains(slot) && new.entry(slot) != old.entry(slot);
            let stale = old.entry(slot).is_some_and(|e| is_stale(request, e.oldest, new.newest));
            assert!(!old.is_placed(group) || new.is_placed(group), "a placed group was removed");
            assert!(!replaced || !old.is_placed(group), "a placed sample was replaced");
            assert!(!replaced || stale, "the first recorded sample was replaced");
        }
        let mut cursor = 0;
        while let Some(page) = old.read(cursor) {
            assert_eq!(new.read(cursor), Some(page.clone()), "a page was changed");
            cursor += u32::try_from(page.len()).expect("pages are small");
        }
        self.rows.push(value);
        true
    }

    /// Returns the encoded samples that a read at a cursor must deliver.
    pub(super) fn page(&self, request: &Request, cursor: u32) -> Option<Vec<Bytes>> {
        let manifest = self.manifest(request);
        let body = |e: &tamarackdock_rollout::manifest::Entry| {
            let start = e.offset as usize;
            self.objects[e.object.as_ref()].slice(start..start + e.length as usize)
        };
        Some(manifest.read(cursor)?.into_iter().map(body).collect())
    }

    /// Returns the samples that a row adds to the delivery order of the row before it.
    pub(super) fn newly_placed(
        &self,
        request: &Request,
        revision: u64,
        value: &str,
    ) -> Vec<Sample> {
        let before = usize::try_from(revision).expect("revisions are small");
        let old = match before.checked_sub(1) {
            Some(index) => Manifest::decode(request, &self.rows[index]).expect("decodes"),
            None => Manifest::new(request),
        };
        let new = Manifest::decode(request, value).expect("decodes");
        let mut placed = Vec::new();
        for group in (0..request.groups()).filter(|g| new.is_placed(*g) && !old.is_placed(*g)) {
            for slot in request.slots_of(group) {
                let entry = new.entry(slot).expect("a placed group is complete");
                let object = self.objects.get(entry.object.as_ref()).expect("object is stored");
                let start = entry.offset as usize;
                let body = &object[start..start + entry.length as usize];
                let sample: Sample = serde_json::from_slice(body).expect("sample decodes");
                assert_eq!(sample.slot, request.slot(slot), "a sample is in a wrong slot");
                placed.push(sample);
            }
        }
        placed
    }
}

pub(super) fn oldest(sample: &Sample) -> Version {
    sample.spans.iter().map(|span| span.version).min().expect("a sample has spans")
}

/// The staleness rule, independent of the code under test.
pub(super) fn is_stale(request: &Request, oldest: Version, newest: Version) -> bool {
    oldest.0 + request.fields().staleness_bound < newest.0
}
