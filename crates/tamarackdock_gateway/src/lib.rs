//! A gateway node. Its targets register themselves in the platform's store, and
//! operators and trainers write their orders there. The wire format of the
//! platform is behind [`wire_format::WireFormat`] and
//! [`Watch`](tamarackdock_platform::table::Watch); `docs/platform-system.md`
//! describes the design.

pub mod batch;
pub mod clock;
pub mod deployment;
pub mod freshness;
pub mod http;
pub mod periodic;
pub mod settings;
pub mod target;
pub mod telemetry;
pub mod wire_format;

mod balance;
mod call;
mod callers;
mod codec;
mod continuation;
mod counter;
mod crash;
mod dispatch;
mod dump;
mod duty;
mod event;
mod explain;
mod forward;
mod gate;
mod grace;
mod hedge;
mod limit;
mod members;
mod node;
mod notify;
mod observed;
mod origin;
mod outlook;
mod pace;
mod path;
mod peer;
mod pool;
mod reading;
mod relay;
mod reply;
mod server;
mod shutdown;
mod silence;
mod stop;
mod stream;
mod turn;
mod view;

pub use node::{Node, StartError};

#[cfg(test)]
mod tests;
