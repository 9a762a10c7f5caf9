//! Loading of new weights on the engines of a service, in waves that keep to the
//! weight store's rate. See `docs/design.md`, section 6.

pub mod loader;
pub mod policy;
pub mod wave;
