//! CPU time and memory of processes and threads, and nodes that run as separate processes
//! so that these can be measured.

mod cpu;
mod memory;
mod node;

pub use cpu::{Threads, cpu_time};
pub use memory::resident_bytes;
pub use node::Node;
