use std::net::SocketAddr;

use jsonc_parser::ast::Value;

use super::{
    ProblemKind,
    validator::{Item, Validator, field, list},
};
use crate::deployment;

const LIMITS: [&str; 3] = ["body_bytes", "first_byte_ms", "between_bytes_ms"];

/// Reports zero weights, capacities and limits, ratios out of range and target
/// addresses without a port.
pub(crate) fn check(validator: &mut Validator<'_>, root: &Value<'_>) {
    for account in list(root, "", "accounts") {
        check_nonzero(validator, account.field("weight"));
    }
    for target in list(root, "", "targets") {
        check_target(validator, &target);
    }
    let Some(limits) = field(root, "", "limits") else { return };
    for name in LIMITS {
        check_nonzero(validator, limits.field(name));
    }
    let Some(ratio) = limits.field("retry_ratio") else { return };
    if ratio.number::<f64>().is_some_and(|value| !(0.0..=1.0).contains(&value)) {
        validator.add_problem(&ratio, ProblemKind::Ratio);
    }
}

fn check_nonzero(validator: &mut Validator<'_>, item: Option<Item<'_, '_>>) {
    let Some(item) = item else { return };
    if item.number::<u64>() == Some(0) {
        validator.add_problem(&item, ProblemKind::Zero);
    }
}

fn check_target(validator: &mut Validator<'_>, item: &Item<'_, '_>) {
    check_nonzero(validator, item.field("capacity"));
    check_nonzero(validator, item.field("cold_capacity"));
    let number = |name| item.field(name).and_then(|field| field.number::<u32>());
    let warm = number("capacity").unwrap_or_else(deployment::default_capacity);
    let cold = number("cold_capacity").unwrap_or_else(deployment::default_cold_capacity);
    if warm > 0 && cold > warm {
        validator.add_problem(item, ProblemKind::ColdAboveWarm);
    }
    let Some(address) = item.field("address") else { return };
    let parsed = address.text().and_then(|text| text.parse::<SocketAddr>().ok());
    if parsed.is_some_and(|parsed| parsed.port() == 0) {
        validator.add_problem(&address, ProblemKind::PortZero);
    }
}
