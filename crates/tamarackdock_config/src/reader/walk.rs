use jsonc_parser::{
    ast::{Object, Value},
    common::Ranged,
};

use super::{
    Fault, Place, Problem,
    shape::{Field, Shape},
    syntax,
};

/// Compares a parsed file with a schema and collects all faults.
pub(crate) struct Walk<'a> {
    text: &'a str,
    starts: Vec<usize>,
    problems: Vec<Problem>,
}

/// A value with its path.
pub(crate) struct Item<'a, 'b> {
    pub(crate) path: String,
    pub(crate) value: &'b Value<'a>,
}

impl<'a> Walk<'a> {
    pub(crate) fn new(text: &'a str) -> Self {
        Self { text, starts: Place::starts(text), problems: Vec::new() }
    }

    pub(crate) fn finish(self) -> Vec<Problem> {
        self.problems
    }

    /// Records a fault at a byte offset.
    pub(crate) fn fault(&mut self, offset: usize, path: impl Into<String>, fault: Fault) {
        let place = Place::find(self.text, &self.starts, offset);
        self.problems.push(Problem { place, path: path.into(), fault });
    }

    /// Records a fault of an item.
    pub(crate) fn fault_at(&mut self, item: &Item<'_, '_>, fault: Fault) {
        self.fault(item.value.start(), item.path.clone(), fault);
    }

    /// Checks an object against its fields.
    pub(crate) fn object(&mut self, value: &Value<'_>, path: &str, fields: &'static [Field]) {
        let Value::Object(object) = value else {
            return self.fault(value.start(), path, Fault::Type { expected: "an object" });
        };
        self.names(object, path, fields);
        for field in fields {
            match object.get(field.name) {
                Some(found) => self.value(&found.value, &join(path, field.name), &field.shape),
                None if field.required => {
                    self.fault(object.range.start, path, Fault::Missing { field: field.name });
                }
                None => {}
            }
        }
    }

    fn names(&mut self, object: &Object<'_>, path: &str, fields: &'static [Field]) {
        let mut seen = std::collections::BTreeSet::new();
        for property in &object.properties {
            let (name, at) = (property.name.as_str(), property.name.start());
            if !fields.iter().any(|field| field.name == name) {
                let known = fields.iter().map(|field| field.name).collect();
                self.fault(at, join(path, name), Fault::Unknown { field: name.into(), known });
            } else if !seen.insert(name) {
                self.fault(at, join(path, name), Fault::Repeated { field: name.into() });
            }
        }
    }

    fn value(&mut self, value: &Value<'_>, path: &str, shape: &Shape) {
        match (shape, value) {
            (Shape::Object(fields), _) => self.object(value, path, fields),
            (Shape::List(element), Value::Array(array)) => {
                for (index, item) in array.elements.iter().enumerate() {
                    self.value(item, &format!("{path}[{index}]"), element);
                }
            }
            (Shape::List(_), _) => {
                self.fault(value.start(), path, Fault::Type { expected: "a list" });
            }
            (Shape::Leaf(check), _) => {
                if let Err(error) = check(syntax::json(value)) {
                    self.fault(value.start(), path, Fault::Value { detail: error.to_string() });
                }
            }
        }
    }
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() { name.into() } else { format!("{path}.{name}") }
}

/// Returns the elements of a list field, or none if there is no such list.
pub(crate) fn list<'a, 'b>(value: &'b Value<'a>, path: &str, name: &str) -> Vec<Item<'a, 'b>> {
    let Some(Item { path, value: Value::Array(array) }) = field(value, path, name) else {
        return Vec::new();
    };
    let elements = array.elements.iter().enumerate();
    elements.map(|(index, value)| Item { path: format!("{path}[{index}]"), value }).collect()
}

/// Returns a field of an object.
pub(crate) fn field<'a, 'b>(value: &'b Value<'a>, path: &str, name: &str) -> Option<Item<'a, 'b>> {
    let found = value.as_object()?.get(name)?;
    Some(Item { path: join(path, name), value: &found.value })
}

impl<'a, 'b> Item<'a, 'b> {
    /// Returns a field of the item.
    pub(crate) fn field(&self, name: &str) -> Option<Item<'a, 'b>> {
        field(self.value, &self.path, name)
    }

    /// Returns the text of a string.
    pub(crate) fn text(&self) -> Option<&'b str> {
        Some(self.value.as_string_lit()?.value.as_ref())
    }

    /// Returns the value of a number.
    pub(crate) fn number<T: std::str::FromStr>(&self) -> Option<T> {
        self.value.as_number_lit()?.value.parse().ok()
    }
}
