use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use futures_channel::oneshot;
use slog::{info, warn};
use tamarackdock_config::{
    Deployment,
    accept::{Accepted, Action, Event, Rejection, Row, Submission},
    version::{Snapshot, VersionNumber},
};
use tamarackdock_platform::{Error, table};
use tamarackdock_types::clock::{BootClock, Clock};

use super::Service;

const SUBMISSION_TIMEOUT: Duration = Duration::from_secs(10);

impl Service {
    /// Submits a configuration that is based on the version `base`. The submission runs in a
    /// task of its own and continues if the caller drops this future, so that its result
    /// isn't unknown to this node for longer than needed.
    pub(crate) async fn submit(
        self: &Rc<Self>,
        operation: String,
        base: VersionNumber,
        deployment: Deployment,
    ) -> Result<Accepted, Rejection> {
        if base > self.active().number() {
            // If this fails, the submission itself finds out whether the base exists.
            let _ = self.catch_up().await;
        }
        let runner = Runner::new(self.clone(), &operation, base, deployment);
        let (sender, receiver) = oneshot::channel();
        monoio::spawn(async move {
            let _ = sender.send(runner.run().await);
        });
        receiver.await.unwrap_or(Err(Rejection::Unresolved { operation }))
    }
}

/// Runs one submission against the store.
struct Runner {
    service: Rc<Service>,
    submission: Submission,
    /// Whether the base is the active version of this node. If not, the content of the base
    /// isn't known. A submission that is repeated after its version became active only has to
    /// find its own row and doesn't need that content.
    is_base_active: bool,
}

impl Runner {
    fn new(
        service: Rc<Service>,
        operation: &str,
        base: VersionNumber,
        deployment: Deployment,
    ) -> Self {
        let active = service.active();
        let is_base_active = active.number() == base;
        let base = if is_base_active { active } else { Snapshot::new(base, Deployment::default()) };
        let origin = service.context.settings.host.clone();
        let deadline = BootClock.now() + SUBMISSION_TIMEOUT;
        let submission = Submission::new(operation, origin, base, deployment, deadline);
        Self { service, submission, is_base_active }
    }

    async fn run(mut self) -> Result<Accepted, Rejection> {
        let mut action = self.submission.start();
        loop {
            if let Action::Done(result) = action {
                return self.finish(result);
            }
            let sent_at = BootClock.now();
            let event = self.perform(action).await;
            if event == Event::Committed {
                let number = self.submission.snapshot().number();
                self.service.context.gate.with(|state| state.on_head(sent_at, number));
            }
            action = self.submission.handle(BootClock.now(), event);
            self.report_unsettled();
        }
    }

    /// Reports to the cut-off rule that the result of a commit is not known. Called before the
    /// commit is sent.
    fn report_unsettled(&self) {
        let delta = self.submission.delta();
        // Names the version too, since the same operation id may be in use on another base.
        let name = format!("{}@{}", delta.operation, delta.number);
        let until = self.submission.unsettled_until();
        self.service.context.gate.with(|state| state.set_unsettled(&name, until));
    }

    async fn perform(&self, action: Action) -> Event {
        let platform = &self.service.context.platform;
        match action {
            Action::Read(keys) => platform.table.read(keys).await.map_or(Event::Lost, |rows| {
                let row = |row: table::Row| Row { revision: row.revision, value: row.value };
                Event::Read(rows.into_iter().map(|(key, value)| (key, row(value))).collect())
            }),
            Action::Put { name, bytes } => {
                let put = platform.objects.put(name, Bytes::from(bytes)).await;
                put.map_or(Event::Lost, |()| Event::Stored)
            }
            Action::Commit { operation, conditions, writes } => {
                let commit = commit(operation, conditions, writes);
                match platform.table.commit(commit).await {
                    Ok(_) => Event::Committed,
                    Err(Error::Conflict { .. }) => Event::Refused,
                    Err(_) => Event::Lost,
                }
            }
            Action::Wait(span) => {
                monoio::time::sleep(span).await;
                Event::Waited
            }
            // Not reached: `run` returns on `Done` instead of performing it.
            Action::Done(_) => Event::Lost,
        }
    }

    fn finish(&self, result: Result<Accepted, Rejection>) -> Result<Accepted, Rejection> {
        let service = &self.service;
        let operation = &self.submission.delta().operation;
        match &result {
            Ok(accepted) => {
                info!(service.log, "configuration accepted";
                    "version" => accepted.number.0, "operation" => operation);
                self.activate();
            }
            Err(error) => warn!(service.log, "submission refused"; "error" => %error),
        }
        result
    }

    /// Activates the accepted version, or reads the head if the content of the base isn't
    /// known here.
    fn activate(&self) {
        let service = &self.service;
        if self.is_base_active {
            let (snapshot, delta) = (self.submission.snapshot(), self.submission.delta());
            let actions = service.propagation().on_accepted(snapshot, delta.clone());
            service.perform(actions, None);
        } else {
            monoio::spawn(service.clone().poll_head());
        }
    }
}

fn commit(
    operation: String,
    conditions: Vec<tamarackdock_config::accept::Condition>,
    writes: Vec<tamarackdock_config::accept::Write>,
) -> table::Commit {
    let conditions = conditions.into_iter();
    let writes = writes.into_iter();
    table::Commit {
        operation,
        conditions: conditions
            .map(|c| table::Condition { key: c.key, revision: c.revision })
            .collect(),
        writes: writes.map(|w| table::Write { key: w.key, value: Some(w.value) }).collect(),
    }
}
