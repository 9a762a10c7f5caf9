use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};
use tamarackdock_types::{fence::Epoch, weight::Version};

use super::{Entry, Error, Manifest};
use crate::request::Request;

/// The manifest as its row stores it. Samples refer to object names by index,
/// since an object contains many samples.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Row {
    epoch: Epoch,
    writes: u32,
    newest: Version,
    acknowledged: u32,
    objects: Vec<Arc<str>>,
    /// Slot, index of the object, offset, length, oldest and newest version.
    samples: Vec<(u32, usize, u32, u32, Version, Version)>,
    pages: Vec<Vec<u32>>,
}

impl Row {
    pub(super) fn from_manifest(manifest: &Manifest) -> Self {
        let mut objects = Vec::new();
        let mut object_numbers = BTreeMap::new();
        let mut samples = Vec::new();
        for (slot, entry) in &manifest.entries {
            let object_number =
                *object_numbers.entry(Arc::clone(&entry.object)).or_insert_with(|| {
                    objects.push(Arc::clone(&entry.object));
                    objects.len() - 1
                });
            samples.push((
                *slot,
                object_number,
                entry.offset,
                entry.length,
                entry.oldest,
                entry.newest,
            ));
        }
        Self {
            epoch: manifest.epoch,
            writes: manifest.writes,
            newest: manifest.newest,
            acknowledged: manifest.acknowledged,
            objects,
            samples,
            pages: manifest.pages.clone(),
        }
    }

    pub(super) fn into_manifest(self, request: &Request) -> Result<Manifest, Error> {
        let mut manifest = Manifest::new(request);
        manifest.epoch = self.epoch;
        manifest.writes = self.writes;
        manifest.newest = self.newest;
        manifest.acknowledged = self.acknowledged;
        for (slot, object, offset, length, oldest, newest) in self.samples {
            let object = self.objects.get(object).filter(|_| slot < request.samples());
            let object = Arc::clone(object.ok_or(Error::Slot { slot })?);
            manifest.record(slot, Entry { object, offset, length, oldest, newest });
        }
        for page in self.pages {
            for group in &page {
                check_group(request, &manifest, *group)?;
            }
            manifest.append_page(page);
        }
        Ok(manifest)
    }
}

fn check_group(request: &Request, manifest: &Manifest, group: u32) -> Result<(), Error> {
    let exists = group < request.groups() && !manifest.is_placed(group);
    if exists && request.slots_of(group).all(|slot| manifest.contains(slot)) {
        Ok(())
    } else {
        Err(Error::Group { group })
    }
}
