use tamarackdock_types::clock::Instant;

use super::Health;

/// Guards against calls that keep going to a target that can't be connected to,
/// and against a target that stays paused after it can be reached again.
#[test]
fn failures_pause_a_target_and_one_probe_brings_it_back() {
    let at = Instant::from_millis;
    let mut health = Health::default();
    health.fail(at(0));
    health.fail(at(0));
    health.succeed();
    health.fail(at(0));
    health.fail(at(0));
    assert!(health.is_up() && health.try_call(at(0)));
    health.fail(at(0));
    health.fail(at(500));
    assert!(!health.is_up() && !health.try_call(at(999)));
    assert!(health.try_call(at(1000)));
    assert!(!health.try_call(at(1000)), "one probe at a time");
    health.fail(at(1000));
    assert!(!health.try_call(at(2999)) && health.try_call(at(3000)));
    health.cancel_probe();
    assert!(health.try_call(at(3000)));
    health.succeed();
    assert!(health.is_up() && health.try_call(at(3000)) && health.try_call(at(3000)));
}
