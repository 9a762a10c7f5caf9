use tamarackdock_platform::weight::Latest;
use tamarackdock_types::{ServiceName, TargetName};
use tamarackdock_weights::loader::Input;

use super::candidacy::Seen;
use crate::{engine::Load, lease::Event};

/// A message to the task of a data centre.
pub(super) enum Message {
    /// The lease was acquired or lost.
    Lease(Event),
    /// The lease row was read.
    Row(Seen),
    /// An engine gave a load report, or none. `is_settled` tells whether no order
    /// of an earlier epoch could arrive any more when it was asked.
    Reported { target: TargetName, load: Option<Load>, is_settled: bool },
    /// The weight store gave its newest version.
    Latest { service: ServiceName, latest: Latest },
    /// The ordering interface or the table answered.
    Ordered { service: ServiceName, input: tamarackdock_spend::Input },
    /// An ordered load ended.
    Settled { service: ServiceName, input: Input },
}
