use std::{net::SocketAddr, rc::Rc};

use tamarackdock_platform::{Client, host, object, order, report, table, weight};
use tamarackdock_wire::client::Pool;

/// The platform's services, one trait object for each, so that a task depends only on
/// the services that it uses.
#[derive(Clone)]
pub(crate) struct Platform {
    pub(crate) table: Rc<dyn table::Table>,
    pub(crate) objects: Rc<dyn object::Store>,
    pub(crate) orders: Rc<dyn order::Orders>,
    pub(crate) reports: Rc<dyn report::Reports>,
    pub(crate) hosts: Rc<dyn host::Hosts>,
    pub(crate) weights: Rc<dyn weight::Store>,
}

impl Platform {
    pub(crate) fn new(address: SocketAddr, pool: Rc<Pool>) -> Self {
        let client = Rc::new(Client::new(address, pool));
        Self {
            table: client.clone(),
            objects: client.clone(),
            orders: client.clone(),
            reports: client.clone(),
            hosts: client.clone(),
            weights: client,
        }
    }
}
