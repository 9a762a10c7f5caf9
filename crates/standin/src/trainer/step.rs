use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use futures_util::{FutureExt, future::select};
use http::Method;
use serde_json::{Value, json};
use tamarackdock_types::weight::Version;
use tamarackdock_wire::client::BufferedResponse;

use super::{Options, Records, Violation, WeightVersions, check::StepCheck, sample::Page};
use crate::{
    client::{Client, error_fields},
    thread::Control,
};

/// State of the trainer's task, which runs its steps.
struct Steps {
    client: Client,
    options: Options,
    weight_versions: WeightVersions,
    records: Arc<Mutex<Records>>,
}

/// Runs all steps, until the thread must stop.
pub(super) async fn run(
    options: Options,
    weight_versions: WeightVersions,
    records: Arc<Mutex<Records>>,
    control: Arc<Control>,
) {
    let client = Client::new(options.nodes.clone(), options.key.clone());
    let steps = Steps { client, options, weight_versions, records };
    select(steps.run().boxed_local(), control.wait_until_stopped().boxed_local()).await;
}

impl Steps {
    async fn run(&self) {
        let first = self.options.first_step;
        for step in first..first + self.options.steps {
            let start = Instant::now();
            self.request(step).await;
            let cursor = self.read(step).await;
            self.records().step_wait_times.push(start.elapsed());
            self.acknowledge(step, cursor).await;
            self.count_whole_step();
            monoio::time::sleep(self.options.compute_time).await;
            self.records().compute_time += self.options.compute_time;
        }
    }

    fn records(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn count_whole_step(&self) {
        let mut records = self.records();
        records.steps += 1;
        records.whole_step_samples = records.samples;
        records.whole_step_tokens = records.tokens;
    }

    /// Submits the step and repeats this until a node accepts it.
    async fn request(&self, step: u64) {
        let body = json!({
            "trainer": self.options.name,
            "step": step,
            "prompts": self.options.prompts(step),
            "group_size": self.options.group_size,
            "max_tokens": self.options.max_tokens,
            "staleness_bound": self.options.staleness_bound,
        });
        while self.call(Method::POST, "/v1/steps", Some(&body)).await.is_none() {
            monoio::time::sleep(self.options.retry_pause).await;
        }
    }

    /// Reads the step until it is complete and returns the last cursor.
    async fn read(&self, step: u64) -> u64 {
        let mut check = StepCheck::new(&self.options, step);
        let mut cursor = 0;
        for read in 0.. {
            let known = self.weight_versions.known();
            let page = self.page(step, cursor).await;
            self.check_page(&mut check, &page, known);
            if self.options.is_repeated(step, read) {
                self.compare_reads(step, cursor, &page).await;
            }
            cursor = page.next_cursor;
            if page.complete {
                break;
            }
        }
        self.records().violations.extend(check.check_complete());
        cursor
    }

    fn check_page(&self, check: &mut StepCheck<'_>, page: &Page, known: Version) {
        let mut records = self.records();
        for sample in &page.samples {
            let result = check.check_sample(sample, known, self.weight_versions.published());
            records.samples += 1;
            let oldest = sample.spans.iter().map(|span| span.weight_version).min();
            let published = self.weight_versions.published();
            records.ages.extend(oldest.map(|oldest| oldest.lag_behind(published)));
            records.tokens += u64::try_from(sample.token_ids.len()).unwrap_or(u64::MAX);
            records.max_lag = records.max_lag.max(result.lag);
            records.violations.extend(result.violations);
        }
    }

    /// Reads from a cursor again and checks that the result starts with the samples of the
    /// first read. Samples that were generated in between may follow.
    async fn compare_reads(&self, step: u64, cursor: u64, first: &Page) {
        let second = self.page(step, cursor).await;
        let mut records = self.records();
        records.compared_reads += 1;
        if !second.samples.starts_with(&first.samples) {
            records.violations.push(Violation::ChangedPage { step, cursor });
        }
    }

    /// Reads from a cursor and repeats this until a valid response arrives.
    async fn page(&self, step: u64, cursor: u64) -> Page {
        let wait = self.options.read_wait.as_millis();
        let name = &self.options.name;
        let path = format!("/v1/steps/{name}/{step}/samples?cursor={cursor}&wait_ms={wait}");
        loop {
            let answer = self.call(Method::GET, &path, None).await;
            let page = answer.and_then(|answer| serde_json::from_slice(&answer.body).ok());
            if let Some(page) = page {
                return page;
            }
            self.records().repeated_reads += 1;
            monoio::time::sleep(self.options.retry_pause).await;
        }
    }

    /// Acknowledges the step and repeats this until a node accepts it.
    async fn acknowledge(&self, step: u64, cursor: u64) {
        let path = format!("/v1/steps/{}/{step}/ack", self.options.name);
        let body = json!({"cursor": cursor});
        while self.call(Method::POST, &path, Some(&body)).await.is_none() {
            monoio::time::sleep(self.options.retry_pause).await;
        }
    }

    /// Makes one call and returns its response if it succeeds. Otherwise counts the failure
    /// and switches to the next node.
    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Option<BufferedResponse> {
        match self.client.call(method, path, body).await {
            Ok(answer) if answer.status.is_success() => return Some(answer),
            Ok(answer) => self.records().refusals.push(error_fields(&answer.body).0),
            Err(_) => self.records().lost_responses += 1,
        }
        self.client.switch_node();
        None
    }
}
