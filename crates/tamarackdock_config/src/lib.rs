//! Settings of a process and the shared configuration of a deployment. See
//! `docs/design.md`, section 4.

pub mod deployment;
pub mod reader;
pub mod settings;

pub use deployment::Deployment;
pub use settings::Settings;
