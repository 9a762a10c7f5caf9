//! Nodes that stop, are killed and are added.

use standin::{node::Node, proxy::Proxy, world};

use super::{Stage, TIMEOUT, options, until};
use crate::Error;

impl Stage {
    /// Kills a node and sends its callers to another one.
    pub(crate) fn kill_node(&mut self, index: i64) -> Result<(), Error> {
        let index = self.node(index)?;
        self.world.hosts[index].kill();
        // Unlike the end of a process, the end of a node's thread leaves its
        // sockets open.
        let address = self.world.hosts[index].addresses().callers;
        for front in self.fronts.iter().filter(|front| front.target() == address) {
            front.faults().cut = true;
            until(TIMEOUT, || front.counts().open == 0);
            front.faults().cut = false;
        }
        self.divert(index)
    }

    /// Shuts a node down, sends its callers to another one once its health
    /// check fails, and returns whether it ended.
    pub(crate) fn stop_node(&mut self, index: i64) -> Result<bool, Error> {
        let index = self.node(index)?;
        let node = &self.world.hosts[index];
        let address = node.addresses().callers;
        node.shut_down();
        let noticed = until(TIMEOUT, || !world::is_healthy(address));
        self.divert(index)?;
        let node = &self.world.hosts[index];
        Ok(noticed && until(TIMEOUT, || node.is_finished()))
    }

    /// Adds a node, to which callers of ended nodes are sent too.
    pub(crate) fn add_node(&mut self, data_centre: &str) -> Result<(), Error> {
        self.world.start_node(options::data_centre(data_centre)?)?;
        let Some(added) = self.world.hosts.last().map(Node::addresses) else {
            return Ok(());
        };
        let ended =
            self.world.hosts.iter().zip(&self.fronts).filter(|(node, _)| node.is_finished());
        ended.for_each(|(_, front)| front.set_target(added.callers));
        self.fronts.push(Proxy::spawn(added.callers)?);
        Ok(())
    }

    fn divert(&self, index: usize) -> Result<(), Error> {
        let mut others = self.world.hosts.iter().enumerate();
        let other = others.find(|(other, node)| *other != index && !node.is_finished());
        let (_, other) = other.ok_or_else(|| Error::unknown("other node than", &index))?;
        let former = self.world.hosts[index].addresses().callers;
        let fronts = self.fronts.iter().filter(|front| front.target() == former);
        fronts.for_each(|front| front.set_target(other.addresses().callers));
        Ok(())
    }

    fn node(&self, index: i64) -> Result<usize, Error> {
        let found = usize::try_from(index).ok().filter(|index| *index < self.world.hosts.len());
        found.ok_or_else(|| Error::unknown("node", &index))
    }
}
