//! Unit tests of decisions on calls, targets, keys and members, without a network.

mod answer;
mod balance;
mod clear;
mod clock;
mod codec;
mod continuation;
mod crash;
mod deployment;
mod event;
mod explain;
mod forward;
mod freshness;
mod grace;
mod limit;
mod malformed;
mod members;
mod pace;
mod periodic;
mod relay;
mod settings;
mod silence;
mod stop;
mod target;

use std::time::Duration;

use tamarackdock_types::clock::Instant;

use crate::target::{Registration, TargetList};

pub(crate) fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

pub(crate) fn registration(id: &str, data_centre: &str) -> Registration {
    Registration {
        id: id.into(),
        service: "app".into(),
        software_version: "v1".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: data_centre.into(),
        slots: 4,
        draining: false,
        cold_left: Duration::ZERO,
        versions: [("m".into(), 3)].into(),
        started: None,
        reclaimable: false,
    }
}

pub(crate) fn list(registrations: impl IntoIterator<Item = Registration>) -> TargetList {
    let mut list = TargetList::default();
    registrations.into_iter().for_each(|entry| list.register(entry, at(0)));
    list
}
