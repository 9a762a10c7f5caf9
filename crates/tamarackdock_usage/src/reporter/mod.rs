mod write;

use tamarackdock_platform::{
    Error,
    table::{Condition, Row},
};
use tamarackdock_types::{clock::Instant, fence::Epoch};

use crate::{
    Action, Input, Settings, State, WindowRow,
    keys::{head_key, node_prefix, window_key},
    report::digest as digest_of,
    rows::decode,
};

/// The result that the reporter waits for.
#[derive(Debug)]
enum Awaited {
    Rows,
    Scan,
    Commit,
    /// The value is the digest of the report.
    Report(String),
}

/// Closes, seals and reports the windows of a shard in order, under one epoch of
/// the lease `usage/{shard}`.
///
/// All progress is stored in the table. Each request follows from the rows as read,
/// so that a new reporter continues where the previous one stopped.
#[derive(Debug)]
pub struct Reporter {
    shard: u32,
    shards: u32,
    epoch: Epoch,
    fence: Condition,
    settings: Settings,
    /// Next window to report.
    window: u64,
    /// First window that must not be closed yet.
    closable: u64,
    head_revision: u64,
    window_revision: u64,
    last_request: u64,
    awaited: Option<Awaited>,
    stopped: bool,
    /// Time of the next read.
    next: Instant,
}

impl Reporter {
    /// Creates the reporter of an epoch, with the commit condition that holds as long as
    /// the epoch is the newest. `first` is the window to start with if the shard
    /// has never been reported.
    #[must_use]
    pub fn new(
        (shard, shards): (u32, u32),
        (epoch, fence): (Epoch, Condition),
        settings: Settings,
        first: u64,
    ) -> Self {
        Self {
            shard,
            shards,
            epoch,
            fence,
            settings,
            window: first,
            closable: first,
            head_revision: 0,
            window_revision: 0,
            last_request: 0,
            awaited: None,
            stopped: false,
            next: Instant::default(),
        }
    }

    /// Returns the next window to report.
    #[must_use]
    pub fn window(&self) -> u64 {
        self.window
    }

    /// Allows windows below `window` to be closed.
    pub fn set_closable(&mut self, window: u64) {
        self.closable = self.closable.max(window);
    }

    /// Handles an input at the time `now`.
    pub fn step(&mut self, now: Instant, input: Input) -> Vec<Action> {
        let mut actions = Vec::new();
        let awaited = match &input {
            Input::Rows { request, .. } | Input::Done { request, .. }
                if *request == self.last_request =>
            {
                self.awaited.take()
            }
            _ => None,
        };
        self.next = self.next.max(now);
        actions.extend(awaited.and_then(|awaited| self.on_result(now, awaited, input)));
        match () {
            () if self.stopped || self.awaited.is_some() => {}
            () if now < self.next => actions.push(Action::Wake(self.next)),
            () => actions.push(self.read()),
        }
        actions
    }

    fn on_result(&mut self, now: Instant, awaited: Awaited, input: Input) -> Option<Action> {
        self.next = now;
        let action = match (awaited, input) {
            (Awaited::Rows, Input::Rows { result: Ok(rows), .. }) => self.on_rows(&rows),
            (Awaited::Scan, Input::Rows { result: Ok(rows), .. }) => self.seal(&rows),
            (Awaited::Report(digest), Input::Done { result: Ok(()), .. }) => {
                Some(self.mark_sent(digest))
            }
            (Awaited::Commit, Input::Done { result: Ok(()), .. }) => Some(self.read()),
            (Awaited::Commit, Input::Done { result: Err(Error::Conflict { key }), .. })
                if key == self.fence.key =>
            {
                self.stopped = true;
                Some(Action::Stopped)
            }
            // The next read of the rows shows whether a write took effect.
            _ => None,
        };
        if action.is_none() {
            self.next = now + self.settings.retry;
        }
        action
    }

    fn start_request(&mut self, awaited: Awaited) -> u64 {
        self.last_request += 1;
        self.awaited = Some(awaited);
        self.last_request
    }

    fn read(&mut self) -> Action {
        let keys = vec![head_key(self.shard), window_key(self.window, self.shard)];
        Action::Read { request: self.start_request(Awaited::Rows), keys }
    }

    fn on_rows(&mut self, rows: &[Row]) -> Option<Action> {
        let find = |key: String| rows.iter().find(|row| row.key == key);
        let head = find(head_key(self.shard));
        self.head_revision = head.map_or(0, |row| row.revision);
        let next = head.map_or(Some(self.window), |row| decode(&row.value))?;
        if next != self.window {
            self.window = next;
            return Some(self.read());
        }
        let row = find(window_key(self.window, self.shard));
        self.window_revision = row.map_or(0, |row| row.revision);
        match row {
            Some(row) => self.on_state(decode::<WindowRow>(&row.value)?.state),
            None => (self.window < self.closable).then(|| self.close()),
        }
    }

    fn on_state(&mut self, state: State) -> Option<Action> {
        match state {
            State::Closed => Some(Action::Scan {
                request: self.start_request(Awaited::Scan),
                prefix: node_prefix(self.window, self.shard),
            }),
            State::Sealed { report, digest } if digest == digest_of(&report) => {
                Some(self.report(report, digest))
            }
            // The rows were changed by hand: the digest does not match, or the head names a window
            // that is already sent.
            State::Sealed { .. } | State::Sent { .. } => None,
        }
    }
}
