use jsonc_parser::{
    ast::{Object, Value},
    common::Ranged,
};

use super::{
    Position, Problem, ProblemKind,
    shape::{Field, Shape},
    syntax,
};

/// Checks a parsed file against a schema and collects all problems.
pub(crate) struct Validator<'a> {
    text: &'a str,
    /// Byte offsets at which lines start.
    line_starts: Vec<usize>,
    problems: Vec<Problem>,
}

/// A value and its path in the file.
pub(crate) struct Item<'a, 'b> {
    pub(crate) path: String,
    pub(crate) value: &'b Value<'a>,
}

impl<'a> Validator<'a> {
    pub(crate) fn new(text: &'a str) -> Self {
        Self { text, line_starts: Position::line_starts(text), problems: Vec::new() }
    }

    pub(crate) fn finish(self) -> Vec<Problem> {
        self.problems
    }

    /// Records a problem at a byte offset.
    pub(crate) fn add_problem_at(
        &mut self,
        offset: usize,
        path: impl Into<String>,
        kind: ProblemKind,
    ) {
        let position = Position::find(self.text, &self.line_starts, offset);
        self.problems.push(Problem { position, path: path.into(), kind });
    }

    /// Records a problem of an item.
    pub(crate) fn add_problem(&mut self, item: &Item<'_, '_>, kind: ProblemKind) {
        self.add_problem_at(item.value.start(), item.path.clone(), kind);
    }

    /// Checks an object against the schema of its fields.
    pub(crate) fn check_object(&mut self, value: &Value<'_>, path: &str, fields: &'static [Field]) {
        let Value::Object(object) = value else {
            return self.add_problem_at(
                value.start(),
                path,
                ProblemKind::Type { expected: "an object" },
            );
        };
        self.check_field_names(object, path, fields);
        for field in fields {
            match object.get(field.name) {
                Some(prop) => self.check_value(&prop.value, &join(path, field.name), &field.shape),
                None if field.required => {
                    self.add_problem_at(
                        object.range.start,
                        path,
                        ProblemKind::Missing { field: field.name },
                    );
                }
                None => {}
            }
        }
    }

    fn check_field_names(&mut self, object: &Object<'_>, path: &str, fields: &'static [Field]) {
        let mut seen = std::collections::BTreeSet::new();
        for property in &object.properties {
            let (name, at) = (property.name.as_str(), property.name.start());
            if !fields.iter().any(|field| field.name == name) {
                let known = fields.iter().map(|field| field.name).collect();
                self.add_problem_at(
                    at,
                    join(path, name),
                    ProblemKind::Unknown { field: name.into(), known },
                );
            } else if !seen.insert(name) {
                self.add_problem_at(
                    at,
                    join(path, name),
                    ProblemKind::Repeated { field: name.into() },
                );
            }
        }
    }

    fn check_value(&mut self, value: &Value<'_>, path: &str, shape: &Shape) {
        match (shape, value) {
            (Shape::Object(fields), _) => self.check_object(value, path, fields),
            (Shape::List(element), Value::Array(array)) => {
                for (index, item) in array.elements.iter().enumerate() {
                    self.check_value(item, &format!("{path}[{index}]"), element);
                }
            }
            (Shape::List(_), _) => {
                self.add_problem_at(value.start(), path, ProblemKind::Type { expected: "a list" });
            }
            (Shape::Leaf(check), _) => {
                if let Err(error) = check(syntax::to_json(value)) {
                    self.add_problem_at(
                        value.start(),
                        path,
                        ProblemKind::Value { detail: error.to_string() },
                    );
                }
            }
        }
    }
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() { name.into() } else { format!("{path}.{name}") }
}

/// Returns the elements of a list in the field `name`, or none if there is no such list.
pub(crate) fn list<'a, 'b>(value: &'b Value<'a>, path: &str, name: &str) -> Vec<Item<'a, 'b>> {
    let Some(Item { path, value: Value::Array(array) }) = field(value, path, name) else {
        return Vec::new();
    };
    let elements = array.elements.iter().enumerate();
    elements.map(|(index, value)| Item { path: format!("{path}[{index}]"), value }).collect()
}

/// Returns the field `name` of an object, or `None` if there is none.
pub(crate) fn field<'a, 'b>(value: &'b Value<'a>, path: &str, name: &str) -> Option<Item<'a, 'b>> {
    let found = value.as_object()?.get(name)?;
    Some(Item { path: join(path, name), value: &found.value })
}

impl<'a, 'b> Item<'a, 'b> {
    /// Returns the field `name` of the item.
    pub(crate) fn field(&self, name: &str) -> Option<Item<'a, 'b>> {
        field(self.value, &self.path, name)
    }

    /// Returns the text, if the item is a string.
    pub(crate) fn text(&self) -> Option<&'b str> {
        Some(self.value.as_string_lit()?.value.as_ref())
    }

    /// Returns the number, if the item is a number of type `T`.
    pub(crate) fn number<T: std::str::FromStr>(&self) -> Option<T> {
        self.value.as_number_lit()?.value.parse().ok()
    }
}
