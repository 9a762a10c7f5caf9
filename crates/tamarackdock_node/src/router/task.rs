use std::{collections::BTreeMap, rc::Rc, time::Duration};

use futures_channel::mpsc;
use futures_util::StreamExt;
use serde_json::json;
use tamarackdock_config::deployment::{DataCentreState, Role, Target};
use tamarackdock_types::{
    ServiceName, TargetName,
    refusal::{Code, Refusal},
};

use super::{Capacity, Handle, Message, Outcome, Permit, Query};
use crate::active::Active;

const RETRY_HINT: Duration = Duration::from_secs(1);

/// Starts the router task.
pub(crate) fn spawn() -> Handle {
    let (sender, receiver) = mpsc::unbounded();
    let router = Router { targets: BTreeMap::new(), sender: sender.clone() };
    monoio::spawn(router.run(receiver));
    Handle::new(sender)
}

struct Entry {
    target: Rc<Target>,
    in_flight: u32,
    failures: u64,
    is_in: bool,
}

struct Router {
    targets: BTreeMap<TargetName, Entry>,
    sender: mpsc::UnboundedSender<Message>,
}

impl Router {
    async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<Message>) {
        while let Some(message) = receiver.next().await {
            match message {
                Message::Configure(active) => self.configure(&active),
                Message::Choose { query, reply } => {
                    let _ = reply.send(self.choose(&query));
                }
                Message::Done { target, outcome } => self.done(&target, outcome),
                Message::Capacity { service, reply } => {
                    let _ = reply.send(self.capacity(&service));
                }
                Message::Dump { reply } => {
                    let _ = reply.send(self.dump());
                }
            }
        }
    }

    fn configure(&mut self, active: &Active) {
        let mut former = std::mem::take(&mut self.targets);
        for target in active.targets() {
            let centre = active.deployment.data_centres.iter();
            let is_in = centre
                .filter(|centre| centre.name == target.data_centre)
                .all(|centre| centre.state == DataCentreState::In);
            let kept = former.remove(&target.name);
            let (in_flight, failures) = kept.map_or((0, 0), |e| (e.in_flight, e.failures));
            let entry = Entry { target: target.clone(), in_flight, failures, is_in };
            self.targets.insert(target.name.clone(), entry);
        }
    }

    fn choose(&mut self, query: &Query) -> Result<Permit, Refusal> {
        let usable = self.targets.values_mut().filter(|entry| {
            entry.is_in
                && entry.target.service == query.service
                && !query.tried.contains(&entry.target.name)
        });
        let Some(entry) = usable.min_by_key(|e| (e.target.role != query.role, e.in_flight)) else {
            let message = format!("no target of `{}` can take the call", query.service);
            return Err(Refusal::not_run(Code::NoTarget, message).retry_after(RETRY_HINT));
        };
        entry.in_flight += 1;
        Ok(Permit::new(entry.target.clone(), self.sender.clone()))
    }

    fn done(&mut self, target: &TargetName, outcome: Outcome) {
        if let Some(entry) = self.targets.get_mut(target) {
            entry.in_flight = entry.in_flight.saturating_sub(1);
            entry.failures += u64::from(outcome == Outcome::Failed);
        }
    }

    fn capacity(&self, service: &ServiceName) -> Capacity {
        let usable = self
            .targets
            .values()
            .filter(|e| e.is_in && e.target.service == *service && e.target.role == Role::Training);
        usable.fold(Capacity::default(), |sum, entry| Capacity {
            total: sum.total + entry.target.capacity as usize,
            free: sum.free + entry.target.capacity.saturating_sub(entry.in_flight) as usize,
        })
    }

    fn dump(&self) -> serde_json::Value {
        let targets = self.targets.values().map(|entry| {
            json!({
                "name": entry.target.name,
                "in_flight": entry.in_flight,
                "failures": entry.failures,
                "in": entry.is_in,
            })
        });
        json!({ "targets": targets.collect::<Vec<_>>() })
    }
}
