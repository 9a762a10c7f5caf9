use std::time::Duration;

use slog::{Discard, Logger, o};
use tamarackdock_platform::table::{Batch, Change};

use super::at;
use crate::{
    batch::takeover,
    duty::lease,
    forward,
    members::{MemberTable, NodeRun, Row},
};

fn row(host: &str, number: u64, revision: u64, wall_offset_ms: i64) -> Change {
    renewed(host, number, revision, wall_offset_ms, 450)
}

fn renewed(host: &str, number: u64, revision: u64, wall_offset_ms: i64, renewal: u64) -> Change {
    let row = Row {
        number,
        peers: "127.0.0.1:1".parse().unwrap(),
        data_centre: "x".into(),
        wall_offset_ms,
        leaving: false,
        paths_lost: false,
        renewal: Duration::from_millis(renewal),
        millicores: None,
        limits: Vec::new(),
    };
    Change { key: host.into(), revision, value: serde_json::to_string(&row).ok() }
}

fn log() -> Logger {
    Logger::root(Discard, o!())
}

fn batch(rows: impl IntoIterator<Item = Change>) -> Batch {
    Batch { changes: rows.into_iter().collect(), revision: 0 }
}

fn run(host: &str, number: u64) -> NodeRun {
    NodeRun { host: host.into(), number }
}

/// Reads the rows every 400 ms and returns the time at which `a` counts as gone.
fn gone_at(revision_at: impl Fn(u64) -> u64) -> Option<u64> {
    let mut table = MemberTable::default();
    (0..20).map(|read| read * 400).find(|now| {
        table.update(&batch([row("a", 1, revision_at(*now), 0)]), at(*now), &log());
        table.address(&run("a", 1)).is_none()
    })
}

/// Guards against a failed node that counts as live, and against a node that counts as gone
/// although it renews.
#[test]
fn a_node_that_stops_renewing_is_gone() {
    assert_eq!(gone_at(|_| 1), Some(2_000));
    assert_eq!(gone_at(|now| now / 800), None);
}

/// Guards against nodes that count as gone although they renew as announced, which is
/// rarely in large deployments, and against a failed owner of jobs that is detected as
/// late as an idle node.
#[test]
fn a_node_is_gone_by_the_renewals_that_it_announced() {
    let gone_at = [450, 3_000].map(|renewal| {
        let mut table = MemberTable::default();
        (0..40).map(|read| read * 400).find(|now| {
            table.update(&batch([renewed("a", 1, 1, 0, renewal)]), at(*now), &log());
            table.address(&run("a", 1)).is_none()
        })
    });
    assert_eq!(gone_at, [Some(2_000), Some(9_600)]);
}

/// Guards against nodes that renew more and more often while the store is too busy to
/// accept renewals: each would count the others as gone and expect less load.
#[test]
fn nodes_that_seem_gone_count_for_intervals() {
    let mut table = MemberTable::default();
    for read in 0..20 {
        table.update(&batch([row("a", 1, 1, 0), row("b", 1, 1, 0)]), at(read * 400), &log());
    }
    assert_eq!((table.live(), table.count("a")), (Vec::new(), 2));
}

/// Reads changed rows at intervals, by those of the host `own` and of `gone` others that renewed
/// their rows once, and returns the table after a time.
fn table_with_gone(gone: u64, interval: u64, until: u64) -> MemberTable {
    let mut table = MemberTable::default();
    let others = (0..gone).map(|number| row(&format!("gone-{number}"), number, number + 1, 0));
    let own = |revision| row("own", 1, revision, 0);
    table.update(&batch(others.chain([own(1_000)])), at(0), &log());
    for now in (interval..=until).step_by(usize::try_from(interval).unwrap()) {
        table.plan_read(Duration::from_millis(interval));
        table.apply(&batch([own(1_000 + now)]), at(now), &log());
    }
    table
}

/// Guards against periodic calls that become rarer with each host that is replaced: the rows of hosts
/// that are gone count for a short time only.
#[test]
fn replaced_hosts_do_not_count_for_intervals() {
    let count = |until| table_with_gone(660, 400, until).count("own");
    assert_eq!([count(0), count(8_000), count(12_000)], [661, 661, 1]);
}

/// Guards against hosts that stay live for good because each read counts as the first after a gap,
/// once there are so many that reads are rarer than the longest gap.
#[test]
fn hosts_that_fail_are_gone_where_reads_are_rare() {
    let live = |interval| table_with_gone(3, interval, 3 * interval).live().len();
    assert_eq!([400, 1_000, 2_200, 5_000].map(live), [4, 1, 1, 1]);
    let is_recent = |delay: u64| {
        let mut table = MemberTable::default();
        table.update(&batch([row("a", 1, 1, 0)]), at(0), &log());
        table.plan_read(Duration::from_millis(2_200));
        table.apply(&batch([]), at(2_200 + delay), &log());
        table.live().is_empty()
    };
    assert_eq!([900, 1_100].map(is_recent), [true, false], "a read that is late says nothing");
}

/// Guards against the removal of rows that are in use: only hosts that were silent for the given time
/// lose theirs, and none while the store accepts no renewals at all.
#[test]
fn only_rows_of_silent_hosts_are_removed() {
    let keep = Duration::from_secs(130);
    let silent = |until| table_with_gone(2, 2_000, until).silent_for(keep, "own");
    assert_eq!(silent(130_000), []);
    assert_eq!(silent(132_000), [("gone-0".into(), 1), ("gone-1".into(), 2)]);
    let mut table = table_with_gone(2, 2_000, 2_000);
    for now in (4_000..400_000).step_by(2_000) {
        table.apply(&batch([]), at(now), &log());
    }
    assert_eq!(table.silent_for(keep, "own"), []);
    assert_eq!(table.silent_for(keep, "unknown"), []);
}

/// Guards against rows of an earlier release that can't be decoded.
#[test]
fn a_row_without_renewal_is_renewed_often() {
    let text = r#"{"number":1,"peers":"127.0.0.1:1","data_centre":"x","wall_offset_ms":0,
        "leaving":false}"#;
    let row: Row = serde_json::from_str(text).unwrap();
    assert_eq!(row.renewal, Duration::from_millis(450));
}

/// Guards against a store that is polled for the lease by all nodes.
#[test]
fn few_nodes_poll_the_lease() {
    let live: Vec<NodeRun> = (0..300).map(|n| run(&format!("edge-north-{n}"), n)).collect();
    let candidates = |established: usize| {
        let established = &live[..established];
        let is_candidate = |own: &&NodeRun| lease::is_candidate(own, &live, established);
        let found: Vec<_> = live.iter().filter(is_candidate).collect();
        (found.len(), found.iter().filter(|run| established.contains(run)).count())
    };
    // Of none, some and all that are known to renew their rows.
    assert_eq!([0, 3, 8, 300].map(candidates), [(8, 0), (8, 3), (8, 8), (8, 8)]);
    assert!(lease::is_candidate(&live[0], &[], &[]), "a node that knows no other one");
}

/// Guards against hosts that wait for many others which wrote one row and ended: only those that
/// renew theirs come first.
#[test]
fn hosts_that_never_renewed_come_last() {
    let table = table_with_gone(300, 400, 1_200);
    let live = table.live();
    assert_eq!(live.len(), 301);
    assert_eq!(table.established(&live), [run("own", 1)]);
    let mut restarted = table_with_gone(1, 400, 400);
    restarted.apply(&batch([row("own", 2, 9_000, 0)]), at(800), &log());
    assert_eq!(restarted.established(&restarted.live()), [], "a run that has one row so far");
}

/// Guards against a restarted process that is taken for its previous run.
#[test]
fn another_run_of_a_host_is_another_node() {
    let mut table = MemberTable::default();
    table.update(&batch([row("a", 2, 1, 0)]), at(0), &log());
    assert!(table.address(&run("a", 1)).is_none());
    assert!(table.address(&run("a", 2)).is_some());
}

/// Guards against a takeover of all jobs after an outage of the store in which no
/// node could renew its row.
#[test]
fn nodes_stay_live_after_an_outage_of_the_store() {
    let mut table = MemberTable::default();
    table.update(&batch([row("a", 1, 1, 0)]), at(0), &log());
    table.update(&batch([row("a", 1, 1, 0)]), at(9_000), &log());
    assert!(table.address(&run("a", 1)).is_some());
}

/// Guards against usage windows that follow a few hosts with wrong clocks.
#[test]
fn a_minority_of_wrong_clocks_is_ignored() {
    let mut table = MemberTable::default();
    let offsets = [100, 101, 99, 5_000, -7_000];
    let rows = offsets.iter().zip(1_u64..).map(|(offset, n)| row(&format!("h{n}"), n, n, *offset));
    table.update(&batch(rows), at(0), &log());
    assert_eq!(table.wall_offset(), Some(100));
}

/// Guards against an invalid row of another writer that makes all rows unreadable.
#[test]
fn an_invalid_row_is_ignored() {
    let mut table = MemberTable::default();
    let broken = Change { key: "b".into(), revision: 1, value: Some("{".into()) };
    table.update(&batch([broken, row("a", 1, 1, 0)]), at(0), &log());
    assert_eq!(table.live(), [run("a", 1)]);
}

/// Guards against jobs that no node or several nodes take over, as would happen with
/// gaps or ties in the ranks.
#[test]
fn ranks_are_a_permutation() {
    let live: Vec<NodeRun> = (0..40).map(|n| run(&format!("edge-north-{n}"), n)).collect();
    for job in ["a", "b", "c"] {
        let mut ranks: Vec<_> = live.iter().map(|own| takeover::rank(job, own, &live)).collect();
        ranks.sort_unstable();
        assert_eq!(ranks, (0..40).collect::<Vec<_>>());
    }
}

/// Guards against a job that nobody takes at first: its owner is live but could not
/// read it when it was accepted, and the other candidates wait for the owner.
#[test]
fn an_owner_takes_its_own_job_at_once() {
    let live: Vec<NodeRun> = (0..12).map(|n| run(&format!("edge-north-{n}"), n)).collect();
    let pauses: Vec<_> = live
        .iter()
        .map(|own| takeover::takeover_delay("job", Some(own), own, &live, &live).as_millis())
        .collect();
    assert_eq!(pauses, [0; 12]);
    let mut pauses: Vec<_> = live
        .iter()
        .map(|own| takeover::takeover_delay("job", None, own, &live, &live).as_millis())
        .collect();
    pauses.sort_unstable();
    insta::assert_debug_snapshot!(pauses);
}

/// Guards against a job that is taken from an owner that has just started and has no row yet.
#[test]
fn a_run_without_a_row_is_new_unless_a_later_row_replaced_it() {
    let mut table = MemberTable::default();
    table.update(&batch([row("a", 1, 5, 0)]), at(0), &log());
    let is_new = |host, number, named| table.may_be_new(&run(host, number), named);
    assert!(is_new("b", 1, 3));
    assert!(is_new("a", 2, 6), "the row is older than what names the run");
    assert!(!is_new("a", 2, 4), "the row is newer");
    assert!(!is_new("a", 1, 6), "the run has a row");
}

/// Guards against a hash that gives all jobs to a few hosts with similar names.
#[test]
fn trainers_are_spread_over_hosts() {
    let live: Vec<NodeRun> = (0..9).map(|n| run(&format!("edge-hobart-{n}"), n)).collect();
    let mut counts = [0; 9];
    for key in 0..900 {
        let candidates = takeover::candidates(&format!("trainer-{key}"), &live);
        counts[usize::try_from(candidates[0].number).unwrap()] += 1;
    }
    assert!(counts.iter().all(|count| (60..150).contains(count)), "{counts:?}");
}

/// Guards against a node that counts as gone or live wrongly because only changed rows are read.
#[test]
fn changed_rows_are_enough_to_tell_who_is_live() {
    let mut table = MemberTable::default();
    table.update(&batch([row("a", 1, 1, 0), row("b", 1, 2, 0), row("c", 1, 3, 0)]), at(0), &log());
    let removed = Change { key: "c".into(), revision: 4, value: None };
    table.apply(&batch([removed]), at(400), &log());
    for now in [800, 1_200, 1_600, 2_000] {
        table.apply(&batch([row("a", 1, now, 0)]), at(now), &log());
    }
    let live: Vec<_> = table.live().into_iter().map(|run| run.host.to_string()).collect();
    assert_eq!((live, table.count("a")), (vec!["a".to_owned()], 2));
}

/// Guards against taking over the jobs of all nodes after an outage of the store, in which
/// none of them could renew its row.
#[test]
fn changed_rows_after_an_outage_leave_all_nodes_live() {
    let mut table = MemberTable::default();
    table.update(&batch([row("a", 1, 1, 0), row("b", 1, 2, 0)]), at(0), &log());
    table.apply(&batch([row("a", 1, 3, 0)]), at(9_000), &log());
    assert_eq!(table.live().len(), 2);
}

/// Guards against nodes that are no candidates for the lease and yet wake up 200 times a second,
/// which was most of the processor time of 295 hosts.
#[test]
fn a_lease_with_nothing_to_do_rests() {
    let pauses = [None, Some(at(0)), Some(at(10_060)), Some(at(60_000))]
        .map(|wake| lease::pause(wake, at(10_000)).as_millis());
    assert_eq!(pauses, [150, 5, 60, 150]);
}

/// Guards against nodes that disagree on who forwards the calls for a target, and against one
/// node that forwards those for all targets.
#[test]
fn nodes_agree_on_who_forwards_the_calls_for_a_target() {
    let live: Vec<NodeRun> = (0..60).map(|host| run(&format!("edge-{host}"), host)).collect();
    let mut forwarders = std::collections::BTreeSet::new();
    for target in 0..20 {
        let target = format!("i-{target}");
        let chosen: Vec<_> =
            live.iter().map(|own| forward::ask::choose(&target, own, &live)).collect();
        let own: Vec<_> = live.iter().zip(&chosen).filter(|(_, run)| run.is_none()).collect();
        assert_eq!(own.len(), 1, "only the forwarding node itself sends directly");
        assert!(chosen.iter().flatten().all(|run| run == own[0].0));
        forwarders.insert(own[0].0.host.clone());
    }
    assert!(forwarders.len() > 10, "{}", forwarders.len());
    assert_eq!(forward::ask::choose("i-1", &live[0], &[]), None);
}

/// Guards against a node that stays live by an old row after it wrote one that can't be read, by
/// either kind of read.
#[test]
fn a_row_that_becomes_invalid_drops_its_node() {
    let invalid = Change { key: "a".into(), revision: 2, value: Some("{}".into()) };
    for read in [MemberTable::update, MemberTable::apply] {
        let mut table = MemberTable::default();
        table.update(&batch([row("a", 1, 1, 0)]), at(0), &log());
        read(&mut table, &batch([invalid.clone()]), at(400), &log());
        assert_eq!(table.count("a"), 0);
    }
}

/// Guards against steps whose items start late because a host with little processor time reads the
/// submission, and against deployments in which hosts do not announce their cores.
#[test]
fn jobs_are_left_to_the_hosts_with_most_cores() {
    let with_cores = |host: &str, millicores: Option<u32>| {
        let change = row(host, 1, 1, 0);
        let row: Row = serde_json::from_str(change.value.as_deref().unwrap()).unwrap();
        Change { value: serde_json::to_string(&Row { millicores, ..row }).ok(), ..change }
    };
    let owners = |cores: &[(&str, Option<u32>)]| {
        let mut table = MemberTable::default();
        let rows = cores.iter().map(|(host, cores)| with_cores(host, *cores));
        table.update(&batch(rows), at(0), &log());
        table.owners().iter().map(|run| run.host.to_string()).collect::<String>()
    };
    let (large, small) = (Some(500), Some(120));
    assert_eq!(owners(&[("a", large), ("b", small), ("c", large), ("d", large)]), "acd");
    assert_eq!(owners(&[("a", large), ("b", Some(250)), ("c", large)]), "abc");
    assert_eq!(owners(&[("a", large), ("b", small), ("c", large)]), "abc");
    assert_eq!(owners(&[("a", None), ("b", None)]), "ab");
    assert_eq!(owners(&[("a", large), ("b", None), ("c", large), ("d", large)]), "acd");
}

/// Guards against hosts with little processor time that take a job over before the others do, and
/// against a job that nobody takes over because the others can't.
#[test]
fn hosts_with_little_processor_time_take_jobs_over_last() {
    let live: Vec<NodeRun> = (0..30).map(|host| run(&format!("host-{host}"), 1)).collect();
    let (owners, others) = live.split_at(10);
    let rank = |own| takeover::takeover_rank("job", own, &live, owners);
    let mut ranks: Vec<_> = owners.iter().map(rank).collect();
    ranks.sort_unstable();
    assert_eq!(ranks, (0..10).collect::<Vec<_>>());
    let mut ranks: Vec<_> = others.iter().map(rank).collect();
    ranks.sort_unstable();
    assert_eq!(ranks, (4..24).collect::<Vec<_>>());
    let without_cores = |own| takeover::takeover_rank("job", own, &live, &live);
    let all: Vec<_> = live.iter().map(without_cores).collect();
    assert_eq!(all, live.iter().map(|own| takeover::rank("job", own, &live)).collect::<Vec<_>>());
}
