//! Structured log lines on standard output, and metrics. `docs/OPERATIONS.md`
//! shows how to follow a request through them.

use std::{
    fmt::Display,
    io::{self, Write as _},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder, core::Collector,
};
use slog::{Drain, Logger, o};

/// Most bytes of log lines that are buffered while standard output accepts none.
const MAX_BACKLOG: usize = 256 * 1024;
/// Time between writes of the log.
const FLUSH_INTERVAL: Duration = Duration::from_millis(100);
/// The same while there is nothing to write.
const IDLE_FLUSH_INTERVAL: Duration = Duration::from_millis(300);
/// Upper bounds of the buckets of latency histograms, in seconds.
const LATENCY_BUCKETS: [f64; 10] = [0.005, 0.02, 0.05, 0.1, 0.15, 0.3, 0.6, 1.5, 4.0, 10.0];

#[derive(Debug, Default)]
struct Backlog {
    bytes: Vec<u8>,
    dropped: u64,
}

/// Buffer of log lines that are not written yet. Lines that don't fit are
/// dropped and counted.
#[derive(Debug, Clone, Default)]
pub struct Output(Arc<Mutex<Backlog>>);

impl Output {
    fn backlog(&self) -> MutexGuard<'_, Backlog> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Creates the root logger, whose lines are JSON.
    pub fn logger(&self) -> Logger {
        let json = slog_json::Json::new(self.clone()).add_default_keys().build();
        Logger::root(Mutex::new(json).ignore_res(), o!())
    }

    /// Writes as much of the buffer as standard output accepts without blocking.
    pub fn flush_now(&self) {
        let mut backlog = self.backlog();
        let mut stdout = io::stdout().lock();
        match stdout.write(&backlog.bytes) {
            Ok(count) => drop(backlog.bytes.drain(..count)),
            // The reader is slow. The lines stay in the buffer.
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            // The reader has closed standard output.
            Err(_) => backlog.bytes.clear(),
        }
        // Standard output is line buffered: an incomplete line is written with the next
        // write.
        let _ = stdout.flush();
    }

    /// Writes the buffer at intervals, and adds the dropped lines to a counter. Never
    /// returns.
    pub(crate) async fn run(self, dropped: IntCounter) {
        if let Err(error) = set_nonblocking() {
            slog::warn!(self.logger(), "log: standard output may block"; "error" => %error);
        }
        loop {
            let idle = self.backlog().bytes.is_empty();
            monoio::time::sleep(if idle { IDLE_FLUSH_INTERVAL } else { FLUSH_INTERVAL }).await;
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

/// Most characters of an error's text in a log line.
const EXCERPT_CHARS: usize = 240;

/// Returns the beginning of an error's text. Errors of decoders repeat parts of the message that
/// another writer has made, which can be large.
pub(crate) fn excerpt(error: &impl Display) -> String {
    let text = error.to_string();
    match text.char_indices().nth(EXCERPT_CHARS) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text,
    }
}

/// Metrics of a node.
pub(crate) struct Metrics {
    registry: Registry,
    /// Answered calls by kind and status.
    pub(crate) calls: IntCounterVec,
    /// Time in seconds from the head of a call to its response.
    pub(crate) call_seconds: Histogram,
    /// Attempts on targets by outcome.
    pub(crate) attempts: IntCounterVec,
    /// Calls refused as not run since no target has room, by reason and by whether any target was
    /// asked.
    pub(crate) refusals: IntCounterVec,
    /// Connections opened to targets by service.
    pub(crate) connections: IntCounterVec,
    /// Connections to targets that could not be opened, by service.
    pub(crate) failed_connections: IntCounterVec,
    /// Runs of batch items, by outcome.
    pub(crate) runs: IntCounterVec,
    /// Runs of batch items that ended without a first event.
    pub(crate) silent_runs: IntCounter,
    /// Runs moved to another target, by reason.
    pub(crate) moves: IntCounterVec,
    /// Expected gain in seconds of the moves.
    pub(crate) move_gain_seconds: Histogram,
    /// Scoring calls by outcome.
    pub(crate) scores: IntCounterVec,
    /// Time in seconds from the acceptance of a batch job to each listed result.
    pub(crate) result_seconds: Histogram,
    /// Failed calls to the store by kind of call.
    pub(crate) store_failures: IntCounterVec,
    /// Orders and reports sent by the holder of the duties, by kind and outcome.
    pub(crate) orders: IntCounterVec,
    /// Loads of weights that this node has ordered and that are in progress.
    pub(crate) loads: IntGauge,
    /// Most loads that it lets be in progress, 0 while it does not hold the duties.
    pub(crate) loads_limit: IntGauge,
    /// Whether the paths to all targets are lost.
    pub(crate) paths_lost: IntGauge,
    /// Targets to which few requests are sent as they have started or recovered.
    pub(crate) ramping_targets: IntGauge,
    /// Reports of observations to other nodes, by outcome.
    pub(crate) reports_sent: IntCounterVec,
    /// Reports of observations of other nodes, by outcome.
    pub(crate) reports_received: IntCounterVec,
    /// Connections of callers.
    pub(crate) callers: CallerMetrics,
    /// Batch jobs that this node runs.
    pub(crate) jobs: IntGauge,
    /// Bytes that their items take.
    pub(crate) job_bytes: IntGauge,
    /// Version of the configuration in force.
    pub(crate) deployment: IntGauge,
    /// Log lines dropped because standard output was slow.
    pub(crate) log_dropped: IntCounter,
}

/// Metrics of the callers' listener.
pub(crate) struct CallerMetrics {
    /// Open connections.
    pub(crate) connections: IntGauge,
    /// Bytes of requests that these hold.
    pub(crate) request_bytes: IntGauge,
    /// Bytes of their responses that are not written.
    pub(crate) response_bytes: IntGauge,
    /// Connections that were closed by limits, by reason.
    pub(crate) closed: IntCounterVec,
}

impl CallerMetrics {
    fn new(registry: &Registry) -> prometheus::Result<Self> {
        Ok(Self {
            connections: gauge(registry, "caller_connections", "Open connections of callers.")?,
            request_bytes: gauge(
                registry,
                "caller_request_bytes",
                "Bytes of requests that connections of callers hold.",
            )?,
            response_bytes: gauge(
                registry,
                "caller_response_bytes",
                "Bytes of responses to callers that are not written.",
            )?,
            closed: counter_vec(
                registry,
                "caller_connections_closed",
                "Connections of callers closed by limits.",
                &["reason"],
            )?,
        })
    }
}

impl Metrics {
    pub(crate) fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let metrics = Self {
            calls: counter_vec(&registry, "calls", "Answered calls.", &["kind", "status"])?,
            call_seconds: histogram(&registry, "call_seconds", "Time to answer a call.")?,
            attempts: counter_vec(&registry, "attempts", "Attempts on targets.", &["outcome"])?,
            refusals: counter_vec(
                &registry,
                "refusals",
                "Calls refused because no target has room.",
                &["reason", "when"],
            )?,
            connections: counter_vec(
                &registry,
                "connections",
                "Connections opened to targets.",
                &["service"],
            )?,
            failed_connections: counter_vec(
                &registry,
                "failed_connections",
                "Connections to targets that could not be opened.",
                &["service"],
            )?,
            runs: counter_vec(&registry, "item_runs", "Runs of batch items.", &["outcome"])?,
            silent_runs: register(
                &registry,
                IntCounter::new("tamarackdock_silent_runs_total", "Runs without a first event.")?,
            )?,
            moves: counter_vec(&registry, "item_moves", "Moves of runs.", &["reason"])?,
            move_gain_seconds: histogram(
                &registry,
                "item_move_gain_seconds",
                "Expected gain of the moves of runs.",
            )?,
            scores: counter_vec(
                &registry,
                "scoring_calls",
                "Scoring calls of batch items.",
                &["outcome"],
            )?,
            result_seconds: histogram(&registry, "result_seconds", "Age of a job at a result.")?,
            store_failures: counter_vec(
                &registry,
                "store_failures",
                "Failed store calls.",
                &["call"],
            )?,
            orders: counter_vec(&registry, "orders", "Orders and reports.", &["kind", "outcome"])?,
            loads: register(
                &registry,
                IntGauge::new("tamarackdock_loads", "Loads of weights in progress.")?,
            )?,
            loads_limit: register(
                &registry,
                IntGauge::new("tamarackdock_loads_limit", "Most loads of weights in progress.")?,
            )?,
            paths_lost: register(
                &registry,
                IntGauge::new("tamarackdock_paths_lost", "Whether no target can be reached.")?,
            )?,
            ramping_targets: register(
                &registry,
                IntGauge::new("tamarackdock_ramping_targets", "Targets that ramp.")?,
            )?,
            reports_sent: counter_vec(
                &registry,
                "reports_sent",
                "Reports to other nodes.",
                &["outcome"],
            )?,
            reports_received: counter_vec(
                &registry,
                "reports_received",
                "Reports of other nodes.",
                &["outcome"],
            )?,
            callers: CallerMetrics::new(&registry)?,
            jobs: register(&registry, IntGauge::new("tamarackdock_jobs", "Batch jobs run here.")?)?,
            job_bytes: gauge(&registry, "job_bytes", "Memory of batch jobs run here, in bytes.")?,
            deployment: register(
                &registry,
                IntGauge::new("tamarackdock_deployment_version", "Configuration in force.")?,
            )?,
            log_dropped: register(
                &registry,
                IntCounter::new("tamarackdock_log_dropped_total", "Log lines dropped.")?,
            )?,
            registry,
        };
        Ok(metrics)
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            Ok(()) => text,
            Err(error) => format!("# {error}\n").into_bytes(),
        }
    }
}

fn register<T: Collector + Clone + 'static>(
    registry: &Registry,
    metric: T,
) -> prometheus::Result<T> {
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn gauge(registry: &Registry, name: &str, help: &str) -> prometheus::Result<IntGauge> {
    register(registry, IntGauge::new(format!("tamarackdock_{name}"), help)?)
}

fn counter_vec(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> prometheus::Result<IntCounterVec> {
    let opts = Opts::new(format!("tamarackdock_{name}_total"), help);
    register(registry, IntCounterVec::new(opts, labels)?)
}

fn histogram(registry: &Registry, name: &str, help: &str) -> prometheus::Result<Histogram> {
    let opts = HistogramOpts::new(format!("tamarackdock_{name}"), help);
    register(registry, Histogram::with_opts(opts.buckets(LATENCY_BUCKETS.into()))?)
}
