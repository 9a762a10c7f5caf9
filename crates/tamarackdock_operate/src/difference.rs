use std::{collections::BTreeMap, fmt};

use serde::Serialize;
use serde_json::{Map, Value};
use tamarackdock_config::Deployment;

const LISTS: [&str; 5] = ["services", "accounts", "trainers", "data_centres", "targets"];

/// What happens to a named item.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Change {
    Added,
    Removed,
    Changed,
}

/// A field with the values before and after. Lists are compared as sets,
/// since the order of keys and services has no meaning.
#[derive(Debug, PartialEq, Serialize)]
pub(crate) struct Field {
    name: String,
    old: Value,
    new: Value,
}

/// The change of one named item, or of `limits`.
#[derive(Debug, PartialEq, Serialize)]
pub(crate) struct Difference {
    change: Change,
    list: &'static str,
    name: String,
    fields: Vec<Field>,
}

impl Difference {
    /// Compares two configurations, with defaults filled in.
    pub(crate) fn between(old: &Deployment, new: &Deployment) -> Vec<Self> {
        let value = |deployment| serde_json::to_value(deployment).unwrap_or_default();
        let (old, new) = (value(old), value(new));
        let mut all: Vec<_> = LISTS.iter().flat_map(|list| items(list, &old, &new)).collect();
        let fields = fields(&old["limits"], &new["limits"]);
        if !fields.is_empty() {
            all.push(Self { change: Change::Changed, list: "limits", name: String::new(), fields });
        }
        all
    }
}

fn items(list: &'static str, old: &Value, new: &Value) -> Vec<Difference> {
    let (old, new) = (by_name(&old[list]), by_name(&new[list]));
    let make =
        |change, name: &&str, fields| Difference { change, list, name: (*name).into(), fields };
    let gone = old.iter().filter(|(name, _)| !new.contains_key(*name));
    let mut all: Vec<_> = gone.map(|(name, _)| make(Change::Removed, name, Vec::new())).collect();
    for (name, item) in &new {
        match old.get(name).map(|before| fields(before, item)) {
            None => all.push(make(Change::Added, name, fields(&Value::Null, item))),
            Some(fields) if fields.is_empty() => {}
            Some(fields) => all.push(make(Change::Changed, name, fields)),
        }
    }
    all
}

fn by_name(list: &Value) -> BTreeMap<&str, &Value> {
    let items = list.as_array().into_iter().flatten();
    items.filter_map(|item| Some((item["name"].as_str()?, item))).collect()
}

fn fields(old: &Value, new: &Value) -> Vec<Field> {
    let empty = Map::new();
    let before = old.as_object().unwrap_or(&empty);
    let after = new.as_object().unwrap_or(&empty);
    let names = after.iter().filter(|(name, _)| *name != "name");
    let changed = names.filter(|(name, value)| sorted(before.get(*name)) != sorted(Some(value)));
    changed
        .map(|(name, value)| Field {
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
            Change::Added => '+',
            Change::Removed => '-',
            Change::Changed => '~',
        };
        write!(f, "{mark} {}", self.list)?;
        if !self.name.is_empty() {
            write!(f, " `{}`", self.name)?;
        }
        self.fields.iter().try_for_each(|field| write!(f, "\n    {field}"))
    }
}

impl fmt::Display for Field {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.old, &self.new) {
            (Value::Array(old), Value::Array(new)) => {
                write!(f, "{}:", self.name)?;
                let gone = old.iter().filter(|item| !new.contains(item));
                gone.into_iter().try_for_each(|item| write!(f, " -{item}"))?;
                let added = new.iter().filter(|item| !old.contains(item));
                added.into_iter().try_for_each(|item| write!(f, " +{item}"))
            }
            (Value::Null, new) => write!(f, "{}: {new}", self.name),
            (old, new) => write!(f, "{}: {old} -> {new}", self.name),
        }
    }
}
