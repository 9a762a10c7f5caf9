use std::{collections::BTreeMap, time::Duration};

use tamarackdock_types::{
    DataCentreName, TargetName,
    clock::{BootClock, Clock, Instant},
    fence::Epoch,
};
use tamarackdock_wire::client::Deadlines;

use crate::{
    context::Context,
    peer::Message,
    targets::{Report, Update},
};

/// Time between looks for changes.
const INTERVAL: Duration = Duration::from_millis(500);
/// Time between whole updates, after which a lost one has no more effect.
const WHOLE_INTERVAL: Duration = Duration::from_secs(10);

/// Sends the reports of a data centre's engines to the other nodes.
pub(super) struct Share {
    context: Context,
    centre: DataCentreName,
    epoch: Epoch,
    number: u64,
    sent: BTreeMap<TargetName, Report>,
    next: Instant,
    next_whole: Instant,
}

impl Share {
    pub(super) fn new(context: &Context, centre: &DataCentreName, epoch: Epoch) -> Self {
        Self {
            context: context.clone(),
            centre: centre.clone(),
            epoch,
            number: 0,
            sent: BTreeMap::new(),
            next: Instant::default(),
            next_whole: Instant::default(),
        }
    }

    /// Sends what has changed since the last update, and all reports now and then.
    pub(super) fn tick(&mut self) {
        let now = BootClock.now();
        if now < self.next {
            return;
        }
        self.next = now + INTERVAL;
        let reports = self.context.targets.reports(&self.centre);
        let is_gone = self.sent.keys().any(|target| !reports.contains_key(target));
        let is_whole = is_gone || now >= self.next_whole;
        let is_news = |target: &TargetName, report: &Report| {
            let sent = self.sent.get(target);
            is_whole || sent.is_none_or(|sent| !sent.is_same_state(report))
        };
        let news = reports.iter().filter(|(target, report)| is_news(target, report));
        let news: BTreeMap<_, _> = news.map(|(t, r)| (t.clone(), r.clone())).collect();
        if is_whole {
            self.next_whole = now + WHOLE_INTERVAL;
        }
        if is_whole || !news.is_empty() {
            self.send(is_whole, news);
        }
        self.sent = reports;
    }

    fn send(&mut self, is_whole: bool, reports: BTreeMap<TargetName, Report>) {
        self.number += 1;
        let number = (self.epoch, self.number);
        self.context.targets.note(&self.centre, number);
        let data_centre = self.centre.clone();
        let update = Update { data_centre, number, is_whole, reports };
        for address in self.context.peers.addresses() {
            let client = self.context.peer_client.clone();
            let message = Message::Targets(update.clone());
            monoio::spawn(async move {
                let _ = client.call(address, &message, Deadlines::default()).await;
            });
        }
    }
}
