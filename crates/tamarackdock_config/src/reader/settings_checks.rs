use std::{collections::BTreeMap, net::SocketAddr};

use jsonc_parser::ast::Value;

use super::{
    Fault,
    walk::{Walk, field},
};

/// Addresses on which the process listens.
const LISTENERS: [&str; 3] = ["caller_address", "operator_address", "peer_address"];

/// Reports listeners with equal ports; port 0 lets the kernel choose.
pub(crate) fn check(walk: &mut Walk<'_>, root: &Value<'_>) {
    let mut first = BTreeMap::<u16, &'static str>::new();
    for name in LISTENERS {
        let Some(item) = field(root, "", name) else { continue };
        let parsed = item.text().and_then(|text| text.parse::<SocketAddr>().ok());
        let Some(port) = parsed.map(|address| address.port()).filter(|port| *port != 0) else {
            continue;
        };
        match first.get(&port) {
            Some(&first) => walk.fault_at(&item, Fault::EqualPorts { port, first }),
            None => drop(first.insert(port, name)),
        }
    }
}
