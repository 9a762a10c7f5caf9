//! The settings of a process, and the shared configuration of a deployment. See
//! `docs/design.md`, section 4.

pub mod accept;
pub mod deployment;
pub mod propagate;
pub mod reachability;
pub mod reader;
pub mod settings;
pub mod version;

pub use deployment::Deployment;
pub use settings::Settings;
