use std::{
    error::Error,
    sync::atomic::Ordering,
    thread,
    time::{Duration, Instant},
};

use standin::{
    app::{self, App},
    engine,
    trainer::{self, Trainer, Violation, WeightVersions},
    world::{self, World},
};
use tamarackdock_config::deployment::DataCentreState;
use tamarackdock_types::weight::Version;

use crate::{
    plain_service_caller::PlainServiceCaller, streaming_caller::StreamingCaller, summary::Summary,
};

const STEPS: u64 = 6;
const GROUPS: usize = 16;
const GROUP_SIZE: usize = 4;
const TRAINERS: u32 = 2;
/// Longest time for which the trainers may run.
const MAX_RUN_TIME: Duration = Duration::from_secs(50);
/// Tokens of an answer that takes longer than the demo.
const LONG_ANSWER_TOKENS: u64 = 20_000;

/// Starts the callers, injects the faults in a fixed order and returns what the
/// stand-ins counted.
pub(crate) fn run(seed: u64) -> Result<Summary, Box<dyn Error>> {
    let begin = Instant::now();
    let log = |text: &str| eprintln!("{:6.2} s  {text}", begin.elapsed().as_secs_f64());
    let mut world = World::spawn(world::Options { seed, ..world::Options::default() })?;
    log("three nodes, two data centres, six engines and one plain service are up");
    let weight_versions = WeightVersions::new(Version(1));
    let trainers = ["t1", "t2"].map(|name| spawn_trainer(&world, name, seed, &weight_versions));
    let trainers: Vec<Trainer> = trainers.into_iter().collect::<Result<_, _>>()?;
    let app = spawn_app(&world)?;
    let plain_caller = PlainServiceCaller::spawn(world.caller_addresses());
    let courier =
        StreamingCaller::spawn(world.caller_addresses()[0], "courier-key", long_prompt(seed));
    log("two trainers, an app and a courier with a long stream have started to call");
    sleep_ms(2000);
    world.publish_weights(Version(2), &weight_versions);
    log("weights 2 are published");
    sleep_ms(1500);
    world.engines[0].crash();
    log("engine e0 is killed while it streams");
    sleep_ms(1500);
    world.engines[0].restart();
    log("engine e0 starts again, cold");
    sleep_ms(500);
    world.set_data_centre("d2", DataCentreState::Out)?;
    log("data centre d2 is taken out");
    sleep_ms(3000);
    let before = world.calls_started_in("d2");
    sleep_ms(1500);
    let out_served_late = world.calls_started_in("d2") - before;
    world.set_data_centre("d2", DataCentreState::In)?;
    log("data centre d2 comes back");
    sleep_ms(1000);
    world.publish_weights(Version(3), &weight_versions);
    log("weights 3 are published");
    sleep_ms(500);
    world.withdraw_key("courier", "courier-key")?;
    let withdrawn_at = Instant::now();
    log("the courier's key is withdrawn while its stream runs");
    while !trainers.iter().all(Trainer::is_finished) && begin.elapsed() < MAX_RUN_TIME {
        sleep_ms(100);
    }
    while withdrawn_at.elapsed() < Duration::from_secs(4) {
        sleep_ms(100);
    }
    log("the trainers are done");
    courier.stop();
    let mut summary = Summary { out_served_late, ..Summary::default() };
    count_trainers(&trainers, &mut summary);
    count_app(app, &mut summary);
    count_plain_calls(&world, plain_caller, &mut summary);
    summary.usage_received_tokens += world::received_tokens(&trainers);
    summary.keys_seen_by_targets += world.requests_with_key();
    // Without any received byte the check would prove nothing, so it must fail.
    summary.withdrawn_key_served_after_ms = courier.last_received().map_or(u64::MAX, |at| {
        let after = at.saturating_duration_since(withdrawn_at).as_millis();
        u64::try_from(after).unwrap_or(u64::MAX)
    });
    world.shut_down();
    log("all nodes have shut down");
    summary.usage_reported_tokens = world.reported_tokens();
    summary.usage_true_tokens = world.generated_tokens();
    summary.seconds = begin.elapsed().as_secs_f64();
    Ok(summary)
}

fn sleep_ms(millis: u64) {
    thread::sleep(Duration::from_millis(millis));
}

fn spawn_trainer(
    world: &World,
    name: &str,
    seed: u64,
    weight_versions: &WeightVersions,
) -> std::io::Result<Trainer> {
    let options = trainer::Options {
        name: name.into(),
        key: format!("{name}-key"),
        nodes: world.caller_addresses(),
        seed,
        steps: STEPS,
        groups: GROUPS,
        group_size: GROUP_SIZE,
        max_tokens: 400,
        staleness_bound: 1,
        compute_time: Duration::from_millis(300),
        ..trainer::Options::default()
    };
    Trainer::spawn(options, weight_versions.clone())
}

fn spawn_app(world: &World) -> std::io::Result<App> {
    App::spawn(app::Options {
        name: "shop".into(),
        key: "shop-key".into(),
        nodes: world.caller_addresses(),
        questions: u64::MAX,
        callers: 4,
        pause: Duration::from_millis(20),
        ..app::Options::default()
    })
}

/// Returns a prompt whose answer has at least `LONG_ANSWER_TOKENS` tokens.
fn long_prompt(seed: u64) -> String {
    let options = engine::Options { seed, ..engine::Options::default() };
    let prompts = (0..).map(|index| format!("courier {index}"));
    let mut long = prompts.filter(|prompt| options.output_tokens(prompt, 0) >= LONG_ANSWER_TOKENS);
    long.next().unwrap_or_default()
}

fn count_trainers(trainers: &[Trainer], summary: &mut Summary) {
    let samples_per_step = (GROUPS * GROUP_SIZE) as u64;
    summary.samples_expected = samples_per_step * STEPS * trainers.len() as u64;
    let mut idle = 0.0;
    for trainer in trainers {
        trainer.read(|records| {
            summary.steps += records.steps;
            summary.samples_delivered += records.samples;
            idle += records.idle_share();
            for violation in &records.violations {
                eprintln!("violation: {violation}");
                match violation {
                    Violation::Missing { missing, .. } => summary.lost += *missing as u64,
                    Violation::Duplicate { .. } => summary.doubled += 1,
                    Violation::Stale { .. } => summary.stale += 1,
                    Violation::InvalidSpans { .. } => summary.wrong_version += 1,
                    Violation::UnknownSlot { .. }
                    | Violation::WrongText { .. }
                    | Violation::ChangedPage { .. } => {
                        summary.wrong_sample += 1;
                    }
                }
            }
        });
    }
    summary.trainer_idle_share = idle / f64::from(TRAINERS);
}

fn count_app(mut app: App, summary: &mut Summary) {
    app.stop();
    app.read(|records| {
        summary.app_calls = records.asked;
        summary.app_wrong_answer = (records.wrong_text.len() + records.incomplete.len()) as u64;
        summary.app_failed = records.refusals.values().sum::<u64>() + records.lost_connections;
        for ((code, ran), count) in &records.refusals {
            eprintln!("app refused: {code}, ran {ran}: {count}");
        }
    });
}

fn count_plain_calls(world: &World, plain_caller: PlainServiceCaller, summary: &mut Summary) {
    let counts = plain_caller.stop();
    summary.app_calls += counts.calls.load(Ordering::Relaxed);
    summary.app_failed += counts.failed.load(Ordering::Relaxed);
    for service in &world.plain_services {
        let state = service.state();
        summary.plain_doubled += state.repeated().len() as u64;
        summary.keys_seen_by_targets += state.authorized_requests;
    }
}
