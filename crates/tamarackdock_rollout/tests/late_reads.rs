//! A trainer that reads long after the samples were generated.

use std::time::Duration;

use tamarackdock_rollout::{
    attempt::Attempt,
    policy::Hedged,
    request::{Fields, Request},
    step::{Action, Input, Step},
};
use tamarackdock_types::{ServiceName, TrainerName, clock::Instant, fence::Epoch, weight::Version};

fn request() -> Request {
    let fields = Fields {
        trainer: TrainerName::new("t1").unwrap(),
        step: 1,
        service: ServiceName::new("m").unwrap(),
        prompts: vec!["p".into()],
        group_size: 1,
        max_tokens: 4,
        staleness_bound: 0,
    };
    Request::new(fields).unwrap()
}

/// A step with a fake store and a fake engine that respond at once.
struct Harness {
    step: Step,
    now: Instant,
    version: Version,
    started: u32,
    delivered: Vec<String>,
}

impl Harness {
    fn handle(&mut self, input: Input) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for action in self.step.handle(self.now, input) {
                inputs.extend(self.respond(action));
            }
        }
    }

    fn respond(&mut self, action: Action) -> Vec<Input> {
        match action {
            Action::Start { attempt, .. } => {
                self.started += 1;
                self.generate(attempt)
            }
            Action::StoreObject { name, .. } => vec![Input::ObjectStored(name)],
            Action::CommitManifest { operation, revision, .. } => {
                vec![Input::ManifestCommitted { operation, revision: revision + 1 }]
            }
            Action::Deliver { samples, .. } => {
                let texts = samples.iter().map(|sample| String::from_utf8_lossy(sample).into());
                self.delivered.extend(texts);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// Returns the inputs of a whole attempt in reverse order.
    fn generate(&self, attempt: Attempt) -> Vec<Input> {
        let version = self.version;
        let (tokens, text) = (vec![1], "x".to_owned());
        vec![
            Input::Finished { attempt, tokens: 1 },
            Input::TokensGenerated { attempt, position: 0, tokens, text, version },
        ]
    }

    fn run(&mut self, ticks: u32) {
        for _ in 0..ticks {
            self.now = self.now + Duration::from_millis(100);
            self.handle(Input::Tick);
        }
    }
}

/// Guards against a sample that is placed in the delivery order long before the
/// trainer reads it, and exceeds the staleness bound by then.
#[test]
fn sample_that_aged_before_its_read_is_generated_again() {
    let (now, version) = (Instant::from_millis(0), Version(1));
    let step = Step::new(now, request(), Epoch(1), version, Box::new(Hedged), None).unwrap();
    let mut harness = Harness { step, now, version, started: 0, delivered: Vec::new() };
    harness.handle(Input::AttemptLimit(1));
    harness.run(100);
    assert_eq!(harness.started, 1);
    harness.version = Version(2);
    harness.handle(Input::WeightsChanged(Version(2)));
    harness.handle(Input::Read { cursor: 0 });
    harness.run(100);
    assert_eq!(harness.started, 2, "the sample of version 1 is too old");
    assert_eq!(harness.delivered.len(), 1);
    assert!(harness.delivered[0].contains(r#""weight_version":2"#), "{:?}", harness.delivered);
}
