//! Structured log lines on standard output, and metrics. `docs/OPERATIONS.md`
//! shows how to follow a request through them.

use std::{
    io::{self, Write as _},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder, core::Collector,
};
use slog::{Drain, Logger, o};

/// Log bytes that are kept while standard output takes none.
const MAX_BACKLOG: usize = 256 * 1024;
/// Time between writes of the log.
const FLUSH_INTERVAL: Duration = Duration::from_millis(100);
/// Upper bounds of the latency histograms in seconds.
const LATENCY_BUCKETS: [f64; 10] = [0.005, 0.02, 0.05, 0.1, 0.15, 0.3, 0.6, 1.5, 4.0, 10.0];

#[derive(Debug, Default)]
struct Backlog {
    bytes: Vec<u8>,
    dropped: u64,
}

/// The lines that are not written yet. Lines beyond the bound are counted and dropped.
#[derive(Debug, Clone, Default)]
pub struct Output(Arc<Mutex<Backlog>>);

impl Output {
    fn backlog(&self) -> MutexGuard<'_, Backlog> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes the root logger, whose lines are JSON.
    pub fn logger(&self) -> Logger {
        let json = slog_json::Json::new(self.clone()).add_default_keys().build();
        Logger::root(Mutex::new(json).ignore_res(), o!())
    }

    /// Writes what standard output takes without blocking.
    pub fn flush_now(&self) {
        let mut backlog = self.backlog();
        let mut stdout = io::stdout().lock();
        match stdout.write(&backlog.bytes) {
            Ok(count) => drop(backlog.bytes.drain(..count)),
            // The reader is slow; the lines stay and the bound applies.
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            // Nobody reads the log any more.
            Err(_) => backlog.bytes.clear(),
        }
        // Standard output is line buffered, and ends with a whole line or the next write.
        let _ = stdout.flush();
    }

    /// Writes the log at intervals for ever.
    pub(crate) async fn run(self, dropped: IntCounter) {
        if let Err(error) = set_nonblocking() {
            slog::warn!(self.logger(), "log: standard output may block"; "error" => %error);
        }
        loop {
            monoio::time::sleep(FLUSH_INTERVAL).await;
            self.flush_now();
            dropped.inc_by(std::mem::take(&mut self.backlog().dropped));
        }
    }
}

fn set_nonblocking() -> io::Result<()> {
    let stdout = rustix::stdio::stdout();
    let flags = rustix::fs::fcntl_getfl(stdout)?;
    Ok(rustix::fs::fcntl_setfl(stdout, flags | rustix::fs::OFlags::NONBLOCK)?)
}

impl io::Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut backlog = self.backlog();
        if backlog.bytes.len() + bytes.len() <= MAX_BACKLOG {
            backlog.bytes.extend_from_slice(bytes);
        } else {
            backlog.dropped += u64::from(bytes.ends_with(b"\n"));
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Counters and histograms of a node.
pub(crate) struct Metrics {
    registry: Registry,
    /// Answered calls by kind and status.
    pub(crate) calls: IntCounterVec,
    /// Time from the head of a call to its answer.
    pub(crate) call_seconds: Histogram,
    /// Attempts on targets by outcome.
    pub(crate) attempts: IntCounterVec,
    /// Connections opened to targets by service.
    pub(crate) connections: IntCounterVec,
    /// Runs of batch items by outcome.
    pub(crate) runs: IntCounterVec,
    /// Time from the acceptance of a batch job to a listed result.
    pub(crate) result_seconds: Histogram,
    /// Failed calls to the store by kind of call.
    pub(crate) store_failures: IntCounterVec,
    /// Orders and reports by kind and outcome.
    pub(crate) orders: IntCounterVec,
    /// Batch jobs that this node runs.
    pub(crate) jobs: IntGauge,
    /// Version of the configuration in force.
    pub(crate) deployment: IntGauge,
    /// Log lines dropped because standard output was slow.
    pub(crate) log_dropped: IntCounter,
}

impl Metrics {
    pub(crate) fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let metrics = Self {
            calls: vec(&registry, "calls", "Answered calls.", &["kind", "status"])?,
            call_seconds: histogram(&registry, "call_seconds", "Time to answer a call.")?,
            attempts: vec(&registry, "attempts", "Attempts on targets.", &["outcome"])?,
            connections: vec(
                &registry,
                "connections",
                "Connections opened to targets.",
                &["service"],
            )?,
            runs: vec(&registry, "item_runs", "Runs of batch items.", &["outcome"])?,
            result_seconds: histogram(&registry, "result_seconds", "Age of a job at a result.")?,
            store_failures: vec(&registry, "store_failures", "Failed store calls.", &["call"])?,
            orders: vec(&registry, "orders", "Orders and reports.", &["kind", "outcome"])?,
            jobs: add(&registry, IntGauge::new("tamarackdock_jobs", "Batch jobs run here.")?)?,
            deployment: add(
                &registry,
                IntGauge::new("tamarackdock_deployment_version", "Configuration in force.")?,
            )?,
            log_dropped: add(
                &registry,
                IntCounter::new("tamarackdock_log_dropped_total", "Log lines dropped.")?,
            )?,
            registry,
        };
        Ok(metrics)
    }

    /// Returns all metrics as text.
    pub(crate) fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            Ok(()) => text,
            Err(error) => format!("# {error}\n").into_bytes(),
        }
    }
}

fn add<T: Collector + Clone + 'static>(registry: &Registry, metric: T) -> prometheus::Result<T> {
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn vec(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> prometheus::Result<IntCounterVec> {
    let opts = Opts::new(format!("tamarackdock_{name}_total"), help);
    add(registry, IntCounterVec::new(opts, labels)?)
}

fn histogram(registry: &Registry, name: &str, help: &str) -> prometheus::Result<Histogram> {
    let opts = HistogramOpts::new(format!("tamarackdock_{name}"), help);
    add(registry, Histogram::with_opts(opts.buckets(LATENCY_BUCKETS.into()))?)
}
