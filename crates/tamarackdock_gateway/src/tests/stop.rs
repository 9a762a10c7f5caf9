use std::time::Duration;

use crate::stop::waiting_time;

/// Guards against a planned stop that cuts calls before the last sixth of the time until the
/// process is killed, or that has no time left to end by itself.
#[test]
fn a_planned_stop_waits_until_the_last_sixth() {
    for millis in (1_000..60_000).step_by(500) {
        let kill_after = Duration::from_millis(millis);
        let waits = waiting_time(kill_after);
        assert!(waits >= kill_after * 5 / 6, "{millis}: {waits:?}");
        assert!(waits + Duration::from_millis(100) <= kill_after, "{millis}: {waits:?}");
    }
    assert_eq!(waiting_time(Duration::from_secs(8)), Duration::from_millis(7_450));
}
