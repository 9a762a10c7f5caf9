use serde::de::DeserializeOwned;
use serde_json::Value;

/// The schema of a value. Schemas are constants of fixed depth, which bounds the
/// recursion over a file.
pub(crate) enum Shape {
    /// A single value, checked by deserializing its type.
    Leaf(fn(Value) -> Result<(), serde_json::Error>),
    /// An object with these fields.
    Object(&'static [Field]),
    /// A list of values with the same schema.
    List(&'static Shape),
}

/// The schema of a field of an object.
pub(crate) struct Field {
    pub(crate) name: &'static str,
    pub(crate) required: bool,
    pub(crate) shape: Shape,
}

/// Checks that a value can be deserialized as `T`.
pub(crate) fn check<T: DeserializeOwned>(value: Value) -> Result<(), serde_json::Error> {
    serde_json::from_value::<T>(value).map(drop)
}

/// Creates a required field with a value of type `T`.
pub(crate) const fn required<T: DeserializeOwned>(name: &'static str) -> Field {
    Field { name, required: true, shape: Shape::Leaf(check::<T>) }
}

/// Creates a field with a value of type `T` and a default.
pub(crate) const fn optional<T: DeserializeOwned>(name: &'static str) -> Field {
    Field { name, required: false, shape: Shape::Leaf(check::<T>) }
}

/// Creates a field with an object or list and a default.
pub(crate) const fn nested(name: &'static str, shape: Shape) -> Field {
    Field { name, required: false, shape }
}
