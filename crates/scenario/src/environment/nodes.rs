//! Stops, kills and adds nodes.

use standin::{node::Node, proxy::Proxy, world};

use super::{Environment, TIMEOUT, options, wait_until};
use crate::Error;

impl Environment {
    /// Kills a node and redirects its callers to another one.
    pub(crate) fn kill_node(&mut self, index: i64) -> Result<(), Error> {
        let index = self.node_index(index)?;
        self.world.nodes[index].kill();
        // When a process ends, the system closes its sockets. The end of a node's
        // thread leaves them open, so the proxies close the connections.
        let address = self.world.nodes[index].addresses().callers;
        for proxy in self.load_balancers.iter().filter(|proxy| proxy.target() == address) {
            proxy.faults().cut_off = true;
            wait_until(TIMEOUT, || proxy.counts().open_connections == 0);
            proxy.faults().cut_off = false;
        }
        self.redirect_callers(index)
    }

    /// Shuts a node down, redirects its callers to another one once its health
    /// check fails, and returns whether the check failed and the node ended in time.
    pub(crate) fn stop_node(&mut self, index: i64) -> Result<bool, Error> {
        let index = self.node_index(index)?;
        let node = &self.world.nodes[index];
        let address = node.addresses().callers;
        node.shut_down();
        let is_unhealthy = wait_until(TIMEOUT, || !world::is_healthy(address));
        self.redirect_callers(index)?;
        let node = &self.world.nodes[index];
        Ok(is_unhealthy && wait_until(TIMEOUT, || node.is_finished()))
    }

    /// Adds a node. Callers of nodes that have ended are redirected to it too.
    pub(crate) fn add_node(&mut self, data_centre: &str) -> Result<(), Error> {
        self.world.start_node(options::data_centre(data_centre)?)?;
        let Some(added) = self.world.nodes.last().map(Node::addresses) else {
            return Ok(());
        };
        let ended = self
            .world
            .nodes
            .iter()
            .zip(&self.load_balancers)
            .filter(|(node, _)| node.is_finished());
        ended.for_each(|(_, proxy)| proxy.set_target(added.callers));
        self.load_balancers.push(Proxy::spawn(added.callers)?);
        Ok(())
    }

    /// Redirects the callers of a node to another one that runs.
    fn redirect_callers(&self, index: usize) -> Result<(), Error> {
        let mut others = self.world.nodes.iter().enumerate();
        let other = others.find(|(other, node)| *other != index && !node.is_finished());
        let (_, other) = other.ok_or_else(|| Error::unknown("other node than", &index))?;
        let old_address = self.world.nodes[index].addresses().callers;
        let load_balancers =
            self.load_balancers.iter().filter(|proxy| proxy.target() == old_address);
        load_balancers.for_each(|proxy| proxy.set_target(other.addresses().callers));
        Ok(())
    }

    fn node_index(&self, index: i64) -> Result<usize, Error> {
        let valid = usize::try_from(index).ok().filter(|index| *index < self.world.nodes.len());
        valid.ok_or_else(|| Error::unknown("node", &index))
    }
}
