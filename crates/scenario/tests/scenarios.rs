//! Runs the scenario files and compares their output with snapshots. The first line of
//! each file describes the situation; its `check` lines state what must still hold.

/// Seed of the stand-ins in every scenario.
const SEED: u64 = 0x5eed;

fn run_and_compare(name: &str, script: &str) {
    println!("seed {SEED:#x}");
    let output = scenario::run(script, SEED).unwrap();
    insta::assert_snapshot!(name, output);
}

#[test]
fn data_centre_out_and_in() {
    run_and_compare(
        "data_centre_out_and_in",
        include_str!("../scenarios/data_centre_out_and_in.rhai"),
    );
}

#[test]
fn cheap_targets_reclaimed() {
    run_and_compare(
        "cheap_targets_reclaimed",
        include_str!("../scenarios/cheap_targets_reclaimed.rhai"),
    );
}

/// Guards against samples that are never placed again because targets crashed under them.
#[test]
fn samples_outlive_a_burst_of_crashes() {
    run_and_compare(
        "samples_outlive_a_burst_of_crashes",
        include_str!("../scenarios/samples_outlive_a_burst_of_crashes.rhai"),
    );
}

#[test]
fn key_withdrawn() {
    run_and_compare("key_withdrawn", include_str!("../scenarios/key_withdrawn.rhai"));
}

#[test]
fn rolling_replacement() {
    run_and_compare("rolling_replacement", include_str!("../scenarios/rolling_replacement.rhai"));
}

#[test]
fn engine_crash_in_a_store_outage() {
    run_and_compare(
        "engine_crash_in_a_store_outage",
        include_str!("../scenarios/engine_crash_in_a_store_outage.rhai"),
    );
}

#[test]
fn node_killed_on_a_slow_and_lossy_store() {
    run_and_compare(
        "node_killed_on_a_slow_and_lossy_store",
        include_str!("../scenarios/node_killed_on_a_slow_and_lossy_store.rhai"),
    );
}

#[test]
fn store_down_for_a_weight_change() {
    run_and_compare(
        "store_down_for_a_weight_change",
        include_str!("../scenarios/store_down_for_a_weight_change.rhai"),
    );
}

#[test]
fn key_withdrawn_at_a_cut_off_data_centre() {
    run_and_compare(
        "key_withdrawn_at_a_cut_off_data_centre",
        include_str!("../scenarios/key_withdrawn_at_a_cut_off_data_centre.rhai"),
    );
}

#[test]
fn request_that_crashes_targets() {
    run_and_compare(
        "request_that_crashes_targets",
        include_str!("../scenarios/request_that_crashes_targets.rhai"),
    );
}

#[test]
fn warm_engine_turns_cold() {
    run_and_compare(
        "warm_engine_turns_cold",
        include_str!("../scenarios/warm_engine_turns_cold.rhai"),
    );
}
