use std::{collections::BTreeMap, net::SocketAddr};

use jsonc_parser::ast::Value;

use super::{
    ProblemKind,
    validator::{Validator, field},
};

/// Fields with the addresses on which the process listens.
const LISTENERS: [&str; 3] = ["caller_address", "operator_address", "peer_address"];

/// Reports equal ports. Port 0 is left out, since it lets the kernel choose.
pub(crate) fn check(validator: &mut Validator<'_>, root: &Value<'_>) {
    let mut first = BTreeMap::<u16, &'static str>::new();
    for name in LISTENERS {
        let Some(item) = field(root, "", name) else { continue };
        let parsed = item.text().and_then(|text| text.parse::<SocketAddr>().ok());
        let Some(port) = parsed.map(|address| address.port()).filter(|port| *port != 0) else {
            continue;
        };
        match first.get(&port) {
            Some(&first) => validator.add_problem(&item, ProblemKind::EqualPorts { port, first }),
            None => drop(first.insert(port, name)),
        }
    }
}
