use std::{collections::BTreeMap, fmt};

use serde::Serialize;
use serde_json::{Map, Value};
use tamarackdock_config::Deployment;

/// Lists of a deployment whose items have names.
const LISTS: [&str; 5] = ["services", "accounts", "trainers", "data_centres", "targets"];

/// How a named item differs between two configurations.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ChangeKind {
    Added,
    Removed,
    Changed,
}

/// A field with its values before and after. Lists are compared without regard to their order,
/// since the order of keys and services has no meaning.
#[derive(Debug, PartialEq, Serialize)]
pub(crate) struct FieldChange {
    name: String,
    old: Value,
    new: Value,
}

/// The difference of one named item, or of `limits`.
#[derive(Debug, PartialEq, Serialize)]
pub(crate) struct Difference {
    change: ChangeKind,
    list: &'static str,
    /// Name of the item; empty for `limits`.
    name: String,
    fields: Vec<FieldChange>,
}

impl Difference {
    /// Returns the differences between two configurations. Defaults are filled in before the
    /// comparison.
    pub(crate) fn between(old: &Deployment, new: &Deployment) -> Vec<Self> {
        let to_json = |deployment| serde_json::to_value(deployment).unwrap_or_default();
        let (old, new) = (to_json(old), to_json(new));
        let mut differences: Vec<_> =
            LISTS.iter().flat_map(|list| compare_lists(list, &old, &new)).collect();
        let fields = compare_fields(&old["limits"], &new["limits"]);
        if !fields.is_empty() {
            differences.push(Self {
                change: ChangeKind::Changed,
                list: "limits",
                name: String::new(),
                fields,
            });
        }
        differences
    }
}

fn compare_lists(list: &'static str, old: &Value, new: &Value) -> Vec<Difference> {
    let (old, new) = (by_name(&old[list]), by_name(&new[list]));
    let difference =
        |change, name: &&str, fields| Difference { change, list, name: (*name).into(), fields };
    let removed = old.iter().filter(|(name, _)| !new.contains_key(*name));
    let mut differences: Vec<_> =
        removed.map(|(name, _)| difference(ChangeKind::Removed, name, Vec::new())).collect();
    for (name, item) in &new {
        match old.get(name).map(|before| compare_fields(before, item)) {
            None => differences.push(difference(
                ChangeKind::Added,
                name,
                compare_fields(&Value::Null, item),
            )),
            Some(fields) if fields.is_empty() => {}
            Some(fields) => differences.push(difference(ChangeKind::Changed, name, fields)),
        }
    }
    differences
}

fn by_name(list: &Value) -> BTreeMap<&str, &Value> {
    let items = list.as_array().into_iter().flatten();
    items.filter_map(|item| Some((item["name"].as_str()?, item))).collect()
}

fn compare_fields(old: &Value, new: &Value) -> Vec<FieldChange> {
    let empty = Map::new();
    let before = old.as_object().unwrap_or(&empty);
    let after = new.as_object().unwrap_or(&empty);
    let candidates = after.iter().filter(|(name, _)| *name != "name");
    let changed =
        candidates.filter(|(name, value)| sorted(before.get(*name)) != sorted(Some(value)));
    changed
        .map(|(name, value)| FieldChange {
            name: name.clone(),
            old: before.get(name).cloned().unwrap_or_default(),
            new: value.clone(),
        })
        .collect()
}

fn sorted(value: Option<&Value>) -> Value {
    let mut value = value.cloned().unwrap_or_default();
    if let Some(list) = value.as_array_mut() {
        list.sort_by_key(Value::to_string);
    }
    value
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mark = match self.change {
            ChangeKind::Added => '+',
            ChangeKind::Removed => '-',
            ChangeKind::Changed => '~',
        };
        write!(f, "{mark} {}", self.list)?;
        if !self.name.is_empty() {
            write!(f, " `{}`", self.name)?;
        }
        self.fields.iter().try_for_each(|field| write!(f, "\n    {field}"))
    }
}

impl fmt::Display for FieldChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.old, &self.new) {
            (Value::Array(old), Value::Array(new)) => {
                write!(f, "{}:", self.name)?;
                let removed = old.iter().filter(|item| !new.contains(item));
                removed.into_iter().try_for_each(|item| write!(f, " -{item}"))?;
                let added = new.iter().filter(|item| !old.contains(item));
                added.into_iter().try_for_each(|item| write!(f, " +{item}"))
            }
            (Value::Null, new) => write!(f, "{}: {new}", self.name),
            (old, new) => write!(f, "{}: {old} -> {new}", self.name),
        }
    }
}
