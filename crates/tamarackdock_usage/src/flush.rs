use tamarackdock_platform::{
    Error,
    table::{Commit, Condition, Row, Write},
};

use crate::{
    Action, Batch, Counts, Cursor, Input, NodeRow, NodeRun,
    rows::{decode, encode},
};

/// Writes the batches of one node's run to the table.
///
/// It runs on the node itself and, if the node seems dead, on the peer with the copies.
/// Both may flush at the same time: each commit advances the cursor only if the cursor row
/// still has the revision that was read, so every batch is added only once.
#[derive(Debug)]
pub(crate) struct Flush {
    node_run: NodeRun,
    /// Unflushed batches, in the order of their numbers.
    batches: Vec<Batch>,
    /// Lowest window that may still be open.
    window: u64,
    /// Keeps the operation ids distinct from those of another process with the same batches.
    random: u64,
    last_request: u64,
    in_flight: bool,
}

impl Flush {
    pub(crate) fn new(node_run: NodeRun, window: u64, random: u64) -> Self {
        let batches = Vec::new();
        Self { node_run, batches, window, random, last_request: 0, in_flight: false }
    }

    pub(crate) fn node_run(&self) -> &NodeRun {
        &self.node_run
    }

    pub(crate) fn batches(&self) -> &[Batch] {
        &self.batches
    }

    pub(crate) fn push(&mut self, batch: Batch) {
        self.batches.push(batch);
    }

    pub(crate) fn set_window(&mut self, window: u64) {
        self.window = self.window.max(window);
    }

    pub(crate) fn window(&self) -> u64 {
        self.window
    }

    pub(crate) fn is_idle(&self) -> bool {
        !self.in_flight
    }

    /// Starts a flush by reading the cursor and the rows of the window.
    pub(crate) fn start(&mut self) -> Action {
        self.last_request += 1;
        self.in_flight = true;
        let window = self.window;
        let keys = vec![
            self.node_run.cursor_key(),
            self.node_run.window_key(window),
            self.node_run.node_key(window),
        ];
        Action::Read { request: self.last_request, keys }
    }

    /// Handles a result and returns the next request, if one follows immediately.
    pub(crate) fn step(&mut self, input: Input) -> Option<Action> {
        match input {
            Input::Rows { request, result } if self.accepts(request) => self.on_rows(&result.ok()?),
            Input::Done { request, result } if self.accepts(request) => self.on_done(&result),
            Input::Tick | Input::Rows { .. } | Input::Done { .. } => None,
        }
    }

    fn accepts(&mut self, request: u64) -> bool {
        let expected = self.in_flight && request == self.last_request;
        self.in_flight &= !expected;
        expected
    }

    /// Starts the next flush after a commit that succeeded or conflicted. After a commit with an
    /// unknown outcome, the next read of the cursor tells whether it took effect.
    fn on_done(&mut self, result: &Result<(), Error>) -> Option<Action> {
        match result {
            Ok(()) | Err(Error::Conflict { .. }) if !self.batches.is_empty() => Some(self.start()),
            _ => None,
        }
    }

    fn on_rows(&mut self, rows: &[Row]) -> Option<Action> {
        let cursor = rows.iter().find(|row| row.key == self.node_run.cursor_key());
        let flushed = cursor.map_or(Some(Cursor::default()), |row| decode(&row.value))?.flushed;
        self.batches.retain(|batch| batch.number > flushed);
        if rows.iter().any(|row| row.key == self.node_run.window_key(self.window)) {
            self.window += 1;
            return Some(self.start());
        }
        // A copy that lacks the batch after the cursor must not advance it.
        let is_contiguous = self.batches.first().is_some_and(|batch| batch.number == flushed + 1);
        is_contiguous.then(|| self.commit(rows, cursor))?
    }

    fn commit(&mut self, rows: &[Row], cursor: Option<&Row>) -> Option<Action> {
        let node_key = self.node_run.node_key(self.window);
        let node = rows.iter().find(|row| row.key == node_key);
        let mut row: NodeRow = node.map_or(Some(NodeRow::default()), |row| decode(&row.value))?;
        self.sum().iter().for_each(|(window, account, totals)| {
            row.counts.add(window, account.clone(), totals);
        });
        let flushed = self.batches.last()?.number;
        let condition =
            |key, row: Option<&Row>| Condition { key, revision: row.map_or(0, |row| row.revision) };
        let conditions = vec![
            condition(self.node_run.window_key(self.window), None),
            condition(self.node_run.cursor_key(), cursor),
            condition(node_key.clone(), node),
        ];
        let writes = vec![
            Write { key: self.node_run.cursor_key(), value: Some(encode(&Cursor { flushed })) },
            Write { key: node_key, value: Some(encode(&row)) },
        ];
        self.last_request += 1;
        self.in_flight = true;
        let operation = format!("{}-{:016x}-{}", self.node_run, self.random, self.last_request);
        let commit = Commit { operation, conditions, writes };
        Some(Action::Commit { request: self.last_request, commit })
    }

    fn sum(&self) -> Counts {
        let mut sum = Counts::default();
        self.batches.iter().for_each(|batch| sum.add_all(&batch.counts));
        sum
    }
}
