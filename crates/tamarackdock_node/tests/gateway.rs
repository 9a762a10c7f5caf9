//! The real program as separate processes between stand-ins of the platform.

#[path = "gateway/calm.rs"]
mod calm;
#[path = "gateway/soak.rs"]
mod soak;
#[path = "gateway/world.rs"]
mod world;
