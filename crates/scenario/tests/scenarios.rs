//! Scenario files, whose output is compared with snapshots. Each file begins
//! with the fault that it guards against.

/// Seed of every scenario.
const SEED: u64 = 0x5eed;

fn check(name: &str, script: &str) {
    println!("seed {SEED:#x}");
    let output = scenario::run(script, SEED).unwrap();
    insta::assert_snapshot!(name, output);
}

#[test]
fn data_centre_out_and_in() {
    check("data_centre_out_and_in", include_str!("../scenarios/data_centre_out_and_in.rhai"));
}

#[test]
fn cheap_targets_reclaimed() {
    check("cheap_targets_reclaimed", include_str!("../scenarios/cheap_targets_reclaimed.rhai"));
}

#[test]
fn key_withdrawn() {
    check("key_withdrawn", include_str!("../scenarios/key_withdrawn.rhai"));
}

#[test]
fn rolling_replacement() {
    check("rolling_replacement", include_str!("../scenarios/rolling_replacement.rhai"));
}

#[test]
fn engine_crash_in_a_store_outage() {
    check(
        "engine_crash_in_a_store_outage",
        include_str!("../scenarios/engine_crash_in_a_store_outage.rhai"),
    );
}

#[test]
fn node_killed_on_a_slow_and_lossy_store() {
    check(
        "node_killed_on_a_slow_and_lossy_store",
        include_str!("../scenarios/node_killed_on_a_slow_and_lossy_store.rhai"),
    );
}

#[test]
fn store_down_for_a_weight_change() {
    check(
        "store_down_for_a_weight_change",
        include_str!("../scenarios/store_down_for_a_weight_change.rhai"),
    );
}

#[test]
fn key_withdrawn_at_a_cut_off_data_centre() {
    check(
        "key_withdrawn_at_a_cut_off_data_centre",
        include_str!("../scenarios/key_withdrawn_at_a_cut_off_data_centre.rhai"),
    );
}

#[test]
fn request_that_crashes_targets() {
    check(
        "request_that_crashes_targets",
        include_str!("../scenarios/request_that_crashes_targets.rhai"),
    );
}

#[test]
fn warm_engine_turns_cold() {
    check("warm_engine_turns_cold", include_str!("../scenarios/warm_engine_turns_cold.rhai"));
}
