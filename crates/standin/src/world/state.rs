//! What nodes and the table tell of their state.

use std::{
    io::{Read as _, Write as _},
    net::TcpStream,
};

use serde_json::Value;

use super::World;

impl World {
    /// Returns the state dump of a node, or `None` if it does not answer.
    #[must_use]
    pub fn debug_state(&self, node: usize) -> Option<Value> {
        let address = self.hosts.get(node)?.addresses().operators;
        let request = b"GET /debug/state HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n";
        let mut answer = String::new();
        let mut stream = TcpStream::connect(address).ok()?;
        stream.write_all(request).ok()?;
        stream.read_to_string(&mut answer).ok()?;
        serde_json::from_str(answer.split_once("\r\n\r\n")?.1).ok()
    }

    /// Returns the index of the node that the row of a lease names, and the epoch.
    #[must_use]
    pub fn holder(&self, lease: &str) -> Option<(usize, u64)> {
        let state = self.platform.state();
        let row: Value =
            serde_json::from_str(&state.table.get(&format!("lease/{lease}"))?.value).ok()?;
        let node = row["holder"].as_str()?.strip_prefix('n')?.parse().ok()?;
        Some((node, row["epoch"].as_u64()?))
    }
}
