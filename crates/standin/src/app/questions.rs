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
    answer::{Verdict, streamed, whole},
};
use crate::{
    caller::{Caller, refusal},
    thread::Switches,
};

/// The app's task.
struct Questions {
    caller: Caller,
    options: Options,
    records: Arc<Mutex<Records>>,
}

/// Asks all questions, until the thread must stop.
pub(super) async fn run(options: Options, records: Arc<Mutex<Records>>, switches: Arc<Switches>) {
    let caller = Caller::new(options.nodes.clone(), options.key.clone());
    let questions = Questions { caller, options, records };
    let callers = (0..questions.options.callers).map(|caller| questions.ask_all(caller));
    select(join_all(callers).boxed_local(), switches.stopped().boxed_local()).await;
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
        let begin = Instant::now();
        self.caller.rotate();
        let answer = self.caller.call(Method::POST, "/v1/completions", Some(&body)).await;
        match answer {
            Ok(answer) if answer.status.is_success() => {
                let judge = if self.options.stream { streamed } else { whole };
                let verdict = judge(prompt, self.options.max_tokens, &answer.body);
                self.count(prompt, verdict, begin);
            }
            Ok(answer) => {
                let refusal = refusal(&answer.body);
                *self.records().refusals.entry(refusal).or_default() += 1;
            }
            Err(_) => {
                self.records().broken += 1;
            }
        }
    }

    fn count(&self, prompt: &str, verdict: Verdict, begin: Instant) {
        let mut records = self.records();
        match verdict {
            Verdict::Own(tokens) => {
                records.answered += 1;
                records.tokens += tokens;
                records.latencies.push(begin.elapsed());
            }
            Verdict::Foreign => records.foreign.push(prompt.into()),
            Verdict::Incomplete => records.incomplete.push(prompt.into()),
            Verdict::Refused(code, ran) => {
                *records.refusals.entry((code, ran)).or_default() += 1;
            }
        }
    }
}
