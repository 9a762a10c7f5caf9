//! Tests each stand-in over loopback, and that its switches for faults work.

#[path = "standins/app.rs"]
mod app;
#[path = "standins/engine.rs"]
mod engine;
#[path = "standins/engine_calls.rs"]
mod engine_calls;
#[path = "standins/engine_faults.rs"]
mod engine_faults;
#[path = "standins/fake_node.rs"]
mod fake_node;
#[path = "standins/plain.rs"]
mod plain;
#[path = "standins/platform.rs"]
mod platform;
#[path = "standins/proxy.rs"]
mod proxy;
#[path = "standins/resource.rs"]
mod resource;
#[path = "standins/stand_ins.rs"]
mod stand_ins;
#[path = "standins/support.rs"]
mod support;
#[path = "standins/trainer.rs"]
mod trainer;
