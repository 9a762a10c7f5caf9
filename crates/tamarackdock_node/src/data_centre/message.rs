use tamarackdock_platform::weight::LatestWeights;
use tamarackdock_types::{ServiceName, TargetName};
use tamarackdock_weights::loader::Input;

use super::candidacy::ObservedRow;
use crate::{engine::LoadReport, lease::Event};

/// A message to the task of a data centre.
pub(super) enum Message {
    /// The lease was acquired or lost.
    Lease(Event),
    /// The lease row was read from the table.
    LeaseRow(ObservedRow),
    /// A load poll of an engine ended, with `None` if it failed.
    /// `excludes_old_orders` tells whether no order of an earlier epoch could
    /// still arrive when the poll began.
    Reported { target: TargetName, load: Option<LoadReport>, excludes_old_orders: bool },
    /// The weight store returned its newest version.
    Latest { service: ServiceName, latest: LatestWeights },
    /// A request to the ordering interface or to the table ended.
    OrderInput { service: ServiceName, input: tamarackdock_spend::Input },
    /// An ordered load ended.
    LoadEnded { service: ServiceName, input: Input },
}
