use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::future::join_all;
use hdrhistogram::Histogram;
use http::{Method, Request, header};
use monoio::{LegacyDriver, RuntimeBuilder};
use serde_json::json;
use tamarackdock_wire::{
    client::{Connection, Error, Timeouts},
    validation::Limits,
};

use crate::{call_schedule::CallSchedule, setup::KEY};

/// Threads that run the callers; several, so that the callers are not the bottleneck.
const THREADS: usize = 2;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Concurrent callers. Each makes one call after the other on its own connection.
#[derive(Debug, Clone)]
pub(crate) struct Load {
    pub(crate) addresses: Vec<SocketAddr>,
    pub(crate) calls_at_once: usize,
    pub(crate) duration: Duration,
    /// Calls per second of all callers together, or `None` for calls without a pause.
    pub(crate) rate: Option<u32>,
}

/// Latencies and failures that the callers counted.
pub(crate) struct Outcome {
    /// Times from call to complete answer, in ns.
    pub(crate) latencies: Histogram<u64>,
    /// Calls that got no complete answer with a success status such as 200.
    pub(crate) failed: u64,
}

impl Default for Outcome {
    fn default() -> Self {
        let latencies = Histogram::new(SIGNIFICANT_DIGITS).expect("a valid number of digits");
        Self { latencies, failed: 0 }
    }
}

impl Outcome {
    pub(crate) fn add(&mut self, other: &Self) {
        self.failed += other.failed;
        self.latencies.add(&other.latencies).expect("an automatically resized histogram");
    }

    /// Returns the latency at a quantile from 0 to 1, in µs.
    pub(crate) fn latency_micros(&self, quantile: f64) -> f64 {
        let nanos = self.latencies.value_at_quantile(quantile);
        Duration::from_nanos(nanos).as_secs_f64() * 1e6
    }
}

impl Load {
    /// Makes calls for the duration and returns what all callers counted.
    pub(crate) fn run(&self) -> Outcome {
        let threads = THREADS.min(self.calls_at_once);
        let spawned: Vec<_> = (0..threads)
            .map(|first| {
                let load = self.clone();
                thread::spawn(move || load.run_thread(first, threads))
            })
            .collect();
        let mut sum = Outcome::default();
        for thread in spawned {
            sum.add(&thread.join().expect("callers don't panic"));
        }
        sum
    }

    fn run_thread(&self, first: usize, step: usize) -> Outcome {
        let runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build();
        runtime.expect("a runtime needs one epoll descriptor").block_on(async {
            let begin = Instant::now();
            let callers = (first..self.calls_at_once).step_by(step);
            let outcomes = join_all(callers.map(|caller| self.run_caller(caller, begin))).await;
            let mut sum = Outcome::default();
            for outcome in &outcomes {
                sum.add(outcome);
            }
            sum
        })
    }

    async fn run_caller(&self, caller: usize, begin: Instant) -> Outcome {
        let mut outcome = Outcome::default();
        let address = self.addresses[caller % self.addresses.len()];
        let opened = Connection::open(address, Limits::default(), Timeouts::default()).await;
        let Ok(mut connection) = opened else {
            outcome.failed += 1;
            return outcome;
        };
        let mut schedule = CallSchedule::new(self.rate, caller, self.calls_at_once);
        for number in 0_u64.. {
            let due = schedule.next().await;
            if due.duration_since(begin) >= self.duration {
                break;
            }
            if call(&mut connection, &format!("{caller} {number}")).await != Ok(true) {
                outcome.failed += 1;
                break;
            }
            let nanos = u64::try_from(due.elapsed().as_nanos()).unwrap_or(u64::MAX);
            outcome.latencies.record(nanos).expect("an automatically resized histogram");
        }
        outcome
    }
}

/// Makes one call and returns whether it succeeded.
async fn call(connection: &mut Connection, prompt: &str) -> Result<bool, Error> {
    let response = connection.send(request(prompt, false)).await?;
    let is_success = response.status().is_success();
    response.read_to_end().await?;
    Ok(is_success)
}

/// Builds a completion request.
pub(crate) fn request(prompt: &str, stream: bool) -> Request<Bytes> {
    let body = json!({"model": "m", "prompt": prompt, "max_tokens": 100_000, "stream": stream});
    Request::builder()
        .method(Method::POST)
        .uri("/v1/completions")
        .header(header::HOST, "bench")
        .header(header::AUTHORIZATION, format!("Bearer {KEY}"))
        .header("x-request-id", prompt)
        .body(body.to_string().into())
        .expect("constant parts")
}
