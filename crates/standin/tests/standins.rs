//! Drives each stand-in over loopback and shows that its fault switches work.

#[path = "standins/engine.rs"]
mod engine;
#[path = "standins/plain.rs"]
mod plain;
#[path = "standins/platform.rs"]
mod platform;
#[path = "standins/proxy.rs"]
mod proxy;
#[path = "standins/support.rs"]
mod support;
