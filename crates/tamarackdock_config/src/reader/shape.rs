use serde::de::DeserializeOwned;
use serde_json::Value;

/// Form of a value. Schemas are constants of fixed depth, which bounds the
/// recursion over a file.
pub(crate) enum Shape {
    /// A value that its own type checks.
    Leaf(fn(Value) -> Result<(), serde_json::Error>),
    /// An object.
    Object(&'static [Field]),
    /// A list of values of one form.
    List(&'static Shape),
}

/// A field of an object.
pub(crate) struct Field {
    /// Name.
    pub(crate) name: &'static str,
    /// Whether the field must be given.
    pub(crate) required: bool,
    /// Form of the value.
    pub(crate) shape: Shape,
}

/// Checks that a value can be read as `T`.
pub(crate) fn check<T: DeserializeOwned>(value: Value) -> Result<(), serde_json::Error> {
    serde_json::from_value::<T>(value).map(drop)
}

/// Makes a required field with a value of type `T`.
pub(crate) const fn required<T: DeserializeOwned>(name: &'static str) -> Field {
    Field { name, required: true, shape: Shape::Leaf(check::<T>) }
}

/// Makes a field with a default.
pub(crate) const fn optional<T: DeserializeOwned>(name: &'static str) -> Field {
    Field { name, required: false, shape: Shape::Leaf(check::<T>) }
}

/// Makes a field with a default and a value of the given form.
pub(crate) const fn nested(name: &'static str, shape: Shape) -> Field {
    Field { name, required: false, shape }
}
