use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use futures_util::{
    FutureExt,
    future::{join_all, select},
};
use http::Method;
use serde_json::json;

use super::{
    Options, Records,
    answer::{Check, check_body, check_stream},
};
use crate::{
    client::{Client, error_fields},
    thread::Control,
};

/// State that the tasks of all callers share.
struct Questions {
    client: Client,
    options: Options,
    records: Arc<Mutex<Records>>,
}

/// Asks all questions, until the thread must stop.
pub(super) async fn run(options: Options, records: Arc<Mutex<Records>>, control: Arc<Control>) {
    let client = Client::new(options.nodes.clone(), options.key.clone());
    let questions = Questions { client, options, records };
    let callers = (0..questions.options.callers).map(|caller| questions.ask_all(caller));
    select(join_all(callers).boxed_local(), control.wait_until_stopped().boxed_local()).await;
}

impl Questions {
    fn records(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn ask_all(&self, caller: u64) {
        for question in 0..self.options.questions {
            let Options { prefix, name, .. } = &self.options;
            let prompt = format!("{prefix}{name} {caller} {question}");
            self.ask(&prompt).await;
            monoio::time::sleep(self.options.pause).await;
        }
    }

    async fn ask(&self, prompt: &str) {
        let body = json!({
            "model": self.options.model,
            "prompt": prompt,
            "max_tokens": self.options.max_tokens,
            "stream": self.options.stream,
        });
        self.records().asked += 1;
        let start = Instant::now();
        self.client.switch_node();
        let answer = self.client.call(Method::POST, "/v1/completions", Some(&body)).await;
        match answer {
            Ok(answer) if answer.status.is_success() => {
                let check = if self.options.stream { check_stream } else { check_body };
                let outcome = check(prompt, self.options.max_tokens, &answer.body);
                self.count(prompt, outcome, start);
            }
            Ok(answer) => {
                let fields = error_fields(&answer.body);
                *self.records().refusals.entry(fields).or_default() += 1;
            }
            Err(_) => {
                self.records().lost_connections += 1;
            }
        }
    }

    fn count(&self, prompt: &str, outcome: Check, start: Instant) {
        let mut records = self.records();
        match outcome {
            Check::Correct(tokens) => {
                records.answered += 1;
                records.tokens += tokens;
                records.latencies.push(start.elapsed());
            }
            Check::WrongText => records.wrong_text.push(prompt.into()),
            Check::Incomplete => records.incomplete.push(prompt.into()),
            Check::Failed(code, ran) => {
                *records.refusals.entry((code, ran)).or_default() += 1;
            }
        }
    }
}
