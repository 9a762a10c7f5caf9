//! Schemas of the files. A test compares them with the Rust types.

use std::net::SocketAddr;

use tamarackdock_types::{
    AccountName, DataCentreName, HostName, ServiceName, TargetName, TrainerName, key::Hash,
};

use super::shape::{Field, Shape, check, nested, optional, required};
use crate::{deployment, settings};

pub(crate) const SETTINGS: &[Field] = &[
    required::<HostName>("host"),
    required::<DataCentreName>("data_centre"),
    required::<SocketAddr>("caller_address"),
    required::<SocketAddr>("operator_address"),
    required::<SocketAddr>("peer_address"),
    required::<SocketAddr>("platform_address"),
    optional::<u64>("balancer_grace_ms"),
    optional::<u64>("drain_timeout_ms"),
    nested("log", Shape::Object(LOG)),
    nested("policy", Shape::Object(POLICY)),
];

const POLICY: &[Field] = &[
    optional::<settings::Routing>("routing"),
    optional::<settings::Admission>("admission"),
    optional::<settings::Stragglers>("stragglers"),
    optional::<settings::Loading>("loading"),
    optional::<settings::Spending>("spending"),
];

const LOG: &[Field] =
    &[optional::<settings::Format>("format"), optional::<settings::Level>("level")];

pub(crate) const DEPLOYMENT: &[Field] = &[
    nested("services", Shape::List(&Shape::Object(SERVICE))),
    nested("accounts", Shape::List(&Shape::Object(ACCOUNT))),
    nested("trainers", Shape::List(&Shape::Object(TRAINER))),
    nested("data_centres", Shape::List(&Shape::Object(DATA_CENTRE))),
    nested("targets", Shape::List(&Shape::Object(TARGET))),
    nested("limits", Shape::Object(LIMITS)),
];

const SERVICE: &[Field] = &[
    required::<ServiceName>("name"),
    required::<deployment::Kind>("kind"),
    optional::<deployment::Access>("access"),
    optional::<bool>("idempotent"),
];

const ACCOUNT: &[Field] = &[
    required::<AccountName>("name"),
    optional::<u32>("weight"),
    nested("keys", Shape::List(&Shape::Leaf(check::<Hash>))),
    nested("services", Shape::List(&Shape::Leaf(check::<ServiceName>))),
];

const TRAINER: &[Field] = &[
    required::<TrainerName>("name"),
    required::<AccountName>("account"),
    required::<ServiceName>("service"),
    required::<u64>("staleness_bound"),
];

const DATA_CENTRE: &[Field] = &[
    required::<DataCentreName>("name"),
    required::<String>("region"),
    optional::<deployment::DataCentreState>("state"),
];

const TARGET: &[Field] = &[
    required::<TargetName>("name"),
    required::<ServiceName>("service"),
    required::<DataCentreName>("data_centre"),
    required::<SocketAddr>("address"),
    optional::<deployment::Class>("class"),
    optional::<deployment::Role>("role"),
    optional::<bool>("checks_epoch"),
    optional::<u32>("capacity"),
    optional::<u32>("cold_capacity"),
];

const LIMITS: &[Field] = &[
    optional::<u64>("body_bytes"),
    optional::<u64>("first_byte_ms"),
    optional::<u64>("between_bytes_ms"),
    optional::<f64>("retry_ratio"),
];
