use std::net::SocketAddr;

use jsonc_parser::ast::Value;

use super::{
    Fault,
    walk::{Item, Walk, field, list},
};
use crate::deployment;

const LIMITS: [&str; 3] = ["body_bytes", "first_byte_ms", "between_bytes_ms"];

/// Reports zero weights, capacities and limits, ratios out of range and target
/// addresses without a port.
pub(crate) fn check(walk: &mut Walk<'_>, root: &Value<'_>) {
    for account in list(root, "", "accounts") {
        nonzero(walk, account.field("weight"));
    }
    for target in list(root, "", "targets") {
        self::target(walk, &target);
    }
    let Some(limits) = field(root, "", "limits") else { return };
    for name in LIMITS {
        nonzero(walk, limits.field(name));
    }
    let Some(ratio) = limits.field("retry_ratio") else { return };
    if ratio.number::<f64>().is_some_and(|value| !(0.0..=1.0).contains(&value)) {
        walk.fault_at(&ratio, Fault::Ratio);
    }
}

fn nonzero(walk: &mut Walk<'_>, item: Option<Item<'_, '_>>) {
    let Some(item) = item else { return };
    if item.number::<u64>() == Some(0) {
        walk.fault_at(&item, Fault::Zero);
    }
}

fn target(walk: &mut Walk<'_>, item: &Item<'_, '_>) {
    nonzero(walk, item.field("capacity"));
    nonzero(walk, item.field("cold_capacity"));
    let number = |name| item.field(name).and_then(|field| field.number::<u32>());
    let warm = number("capacity").unwrap_or_else(deployment::warm);
    let cold = number("cold_capacity").unwrap_or_else(deployment::cold);
    if warm > 0 && cold > warm {
        walk.fault_at(item, Fault::ColdAboveWarm);
    }
    let Some(address) = item.field("address") else { return };
    let parsed = address.text().and_then(|text| text.parse::<SocketAddr>().ok());
    if parsed.is_some_and(|parsed| parsed.port() == 0) {
        walk.fault_at(&address, Fault::PortZero);
    }
}
