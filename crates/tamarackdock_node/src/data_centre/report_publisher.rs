use std::{collections::BTreeMap, time::Duration};

use tamarackdock_types::{
    DataCentreName, TargetName,
    clock::{BootClock, Clock, Instant},
    fence::Epoch,
};
use tamarackdock_wire::client::Timeouts;

use crate::{
    context::Context,
    peer::Message,
    targets::{Report, Update},
};

/// Time between checks for changed reports.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time between full updates. Each one repairs the effect of lost updates.
const FULL_UPDATE_INTERVAL: Duration = Duration::from_secs(10);

/// Sends the reports of a data centre's engines to the other nodes.
pub(super) struct ReportPublisher {
    context: Context,
    data_centre: DataCentreName,
    epoch: Epoch,
    number: u64,
    sent: BTreeMap<TargetName, Report>,
    next_check: Instant,
    next_full_update: Instant,
}

impl ReportPublisher {
    pub(super) fn new(context: &Context, data_centre: &DataCentreName, epoch: Epoch) -> Self {
        Self {
            context: context.clone(),
            data_centre: data_centre.clone(),
            epoch,
            number: 0,
            sent: BTreeMap::new(),
            next_check: Instant::default(),
            next_full_update: Instant::default(),
        }
    }

    /// Sends the reports that have changed since the last check, or all reports if
    /// a full update is due or an engine is gone.
    pub(super) fn tick(&mut self) {
        let now = BootClock.now();
        if now < self.next_check {
            return;
        }
        self.next_check = now + CHECK_INTERVAL;
        let reports = self.context.targets.reports(&self.data_centre);
        let is_gone = self.sent.keys().any(|target| !reports.contains_key(target));
        let is_whole = is_gone || now >= self.next_full_update;
        let is_changed = |target: &TargetName, report: &Report| {
            let sent = self.sent.get(target);
            is_whole || sent.is_none_or(|sent| !sent.has_same_state(report))
        };
        let changed = reports.iter().filter(|(target, report)| is_changed(target, report));
        let changed: BTreeMap<_, _> = changed.map(|(t, r)| (t.clone(), r.clone())).collect();
        if is_whole {
            self.next_full_update = now + FULL_UPDATE_INTERVAL;
        }
        if is_whole || !changed.is_empty() {
            self.send(is_whole, changed);
        }
        self.sent = reports;
    }

    fn send(&mut self, is_whole: bool, reports: BTreeMap<TargetName, Report>) {
        self.number += 1;
        let number = (self.epoch, self.number);
        self.context.targets.record_update(&self.data_centre, number);
        let data_centre = self.data_centre.clone();
        let update = Update { data_centre, number, is_whole, reports };
        for address in self.context.peers.addresses() {
            let client = self.context.peer_client.clone();
            let message = Message::Targets(update.clone());
            monoio::spawn(async move {
                let _ = client.call(address, &message, Timeouts::default()).await;
            });
        }
    }
}
