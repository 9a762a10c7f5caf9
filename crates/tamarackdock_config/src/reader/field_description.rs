use super::shape::{Field, Shape};

/// The description of one field of a file, for tools that document the files.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct FieldDescription {
    /// Path of the field, such as `targets[].name`; `accounts[].keys[]` is an element of a list.
    pub path: String,
    /// Whether the field must be given.
    pub required: bool,
    /// Whether the field holds a single value instead of an object or list.
    pub is_leaf: bool,
}

/// Lists fields and the fields nested within them.
pub(crate) fn entries(fields: &'static [Field]) -> Vec<FieldDescription> {
    let mut all = Vec::new();
    for field in fields {
        add(&mut all, field.name, field.required, &field.shape);
    }
    all
}

fn add(all: &mut Vec<FieldDescription>, path: &str, required: bool, shape: &'static Shape) {
    let is_leaf = matches!(shape, Shape::Leaf(_));
    all.push(FieldDescription { path: path.into(), required, is_leaf });
    match shape {
        Shape::Leaf(_) => {}
        Shape::Object(fields) => {
            for field in *fields {
                add(all, &format!("{path}.{}", field.name), field.required, &field.shape);
            }
        }
        Shape::List(element) => add(all, &format!("{path}[]"), false, element),
    }
}
