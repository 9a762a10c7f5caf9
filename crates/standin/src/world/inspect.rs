//! State that nodes and rows of the platform's table show.

use std::{
    io::{Read as _, Write as _},
    net::TcpStream,
};

use serde_json::Value;

use super::World;

impl World {
    /// Returns the state dump of a node, or `None` if the node does not answer.
    #[must_use]
    pub fn debug_state(&self, node: usize) -> Option<Value> {
        serde_json::from_str(&self.get(node, "/debug/state")?).ok()
    }

    /// Returns the value of a metric without labels, or `None` if the node does not answer
    /// or has no such metric with a help text.
    #[must_use]
    pub fn metric(&self, node: usize, name: &str) -> Option<u64> {
        let text = self.get(node, "/metrics")?;
        let help = format!("# HELP {name} ");
        text.lines().find(|line| line.starts_with(&help) && line.len() > help.len())?;
        let mut pairs = text.lines().filter_map(|line| line.split_once(' '));
        pairs.find(|(key, _)| *key == name)?.1.parse().ok()
    }

    /// Returns the body of the response to a request to a node's operators' port.
    fn get(&self, node: usize, path: &str) -> Option<String> {
        let address = self.nodes.get(node)?.addresses().operators;
        let request = format!("GET {path} HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n");
        let mut answer = String::new();
        let mut stream = TcpStream::connect(address).ok()?;
        stream.write_all(request.as_bytes()).ok()?;
        stream.read_to_string(&mut answer).ok()?;
        Some(answer.split_once("\r\n\r\n")?.1.to_owned())
    }

    /// Returns the index of the node that holds a lease and the lease's epoch, as its row
    /// says; `None` if there is no such row or holder.
    #[must_use]
    pub fn lease_holder(&self, lease: &str) -> Option<(usize, u64)> {
        let state = self.platform.state();
        let row: Value =
            serde_json::from_str(&state.table.get(&format!("lease/{lease}"))?.value).ok()?;
        let node = row["holder"].as_str()?.strip_prefix('n')?.parse().ok()?;
        Some((node, row["epoch"].as_u64()?))
    }
}
