use std::time::Duration;

use crate::pace::Turn;

/// Guards against hosts that probe a target at the same time, and against hosts that wait for each
/// other in a row: the last of thirty would wait for thirty probes.
#[test]
fn the_number_of_probes_doubles_with_each_probe_time() {
    let hosts: Vec<String> = (0..30).map(|host| format!("edge-{host}")).collect();
    let usual = Some(Duration::from_millis(100));
    for target in ["a", "b", "c"] {
        let delay = |host: &String| {
            Turn::new(target, host, hosts.iter().map(String::as_str), usual).delay().as_millis()
        };
        let mut delays: Vec<u128> = hosts.iter().map(delay).collect();
        delays.sort_unstable();
        let at = |delay: u128| delays.iter().filter(|other| **other == delay).count();
        let probes = [0, 300, 600, 900, 1200, 1500].map(at);
        assert_eq!(probes, [1, 1, 2, 4, 8, 14]);
    }
    let alone = Turn::new("a", "edge-1", ["edge-1"].into_iter(), None);
    assert_eq!(alone.delay(), Duration::ZERO);
}
