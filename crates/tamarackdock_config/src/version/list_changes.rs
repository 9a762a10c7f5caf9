use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::deployment::{Account, DataCentre, Service, Target, Trainer};

/// An element of a list that is identified by its name.
pub trait Named {
    /// Returns the name, unique in its list.
    fn name(&self) -> &str;
}

macro_rules! named {
    ($($type:ident),*) => {
        $(impl Named for $type {
            fn name(&self) -> &str {
                self.name.as_str()
            }
        })*
    };
}

named!(Account, DataCentre, Service, Target, Trainer);

/// The changes of one list of a configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListChanges<T> {
    /// Elements that were added or changed.
    #[serde(default = "Vec::new", skip_serializing_if = "Vec::is_empty")]
    pub set: Vec<T>,
    /// Names of the elements that were removed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub removed: Vec<String>,
}

impl<T> Default for ListChanges<T> {
    fn default() -> Self {
        Self { set: Vec::new(), removed: Vec::new() }
    }
}

impl<T: Named + Clone + PartialEq> ListChanges<T> {
    /// Computes the changes between two lists.
    pub(crate) fn between(old: &[T], new: &[T]) -> Self {
        let before = by_name(old);
        let after = by_name(new);
        let changed = new.iter().filter(|item| before.get(item.name()) != Some(item));
        let removed = old.iter().map(Named::name).filter(|name| !after.contains_key(name));
        Self { set: changed.cloned().collect(), removed: removed.map(Into::into).collect() }
    }

    /// Applies the changes to a list. The caller brings the list into canonical order.
    pub(crate) fn apply(&self, list: &mut Vec<T>) {
        let set = by_name(&self.set);
        list.retain(|item| {
            let name = item.name();
            !set.contains_key(name) && !self.removed.iter().any(|removed| removed == name)
        });
        list.extend(self.set.iter().cloned());
    }
}

fn by_name<T: Named>(list: &[T]) -> BTreeMap<&str, &T> {
    list.iter().map(|item| (item.name(), item)).collect()
}
