use super::step_end_ms;
use super::{Group, Move, Reason, Run, RunningStep, Speed, Target, Waiting, assign, plan};

/// No run.
const NONE: [usize; 0] = [];
const FAST: Target =
    Target { event_ms: 30.0, samples: 99, running: 1, open: 5, is_local: true, decisive: 0 };
const SLOW: Target = Target { event_ms: 90.0, ..FAST };

fn waiting(events: f64) -> Waiting {
    Waiting { events, read_tokens: 100.0, step_end_ms: 3_000.0 }
}

fn run(group: usize, target: usize, events: f64) -> Run {
    Run { group, target, events, read_tokens: 100.0, moves: 0 }
}

fn step(runs: Vec<Run>) -> RunningStep {
    let groups = vec![Group::default(); runs.iter().map(|run| run.group + 1).max().unwrap()];
    RunningStep { wanted: groups.len(), groups, due_ms: None, runs }
}

fn moved(step: &RunningStep, targets: &[Target]) -> Vec<usize> {
    let moves = plan(step, &mut targets.to_vec(), |_, _| true);
    moves.iter().map(|planned| planned.run).collect()
}

/// Guards against a step whose end is taken from groups that the trainer does not wait for, or
/// not from those that were carried over.
#[test]
fn the_last_groups_do_not_count_unless_they_were_carried_over() {
    let group = |end_ms: f64, carried| Group { end_ms, carried };
    let mut groups = vec![group(9.0, false), group(2.0, false), group(4.0, false)];
    assert!((step_end_ms(&groups, 2) - 4.0).abs() < 1e-9);
    groups[0].carried = true;
    assert!((step_end_ms(&groups, 2) - 9.0).abs() < 1e-9);
    assert!(step_end_ms(&[], 2).abs() < 1e-9);
}

/// Guards against short items on the fast targets, and long ones on the slow ones.
#[test]
fn items_with_slack_leave_the_fast_targets() {
    let mut targets = [SLOW, Target { open: 1, ..FAST }];
    let placed = assign(&[waiting(3.0), waiting(95.0)], &mut targets, |_, _| true);
    assert_eq!(placed, [Some(0), Some(1)]);
    assert_eq!((targets[0].decisive, targets[1].decisive), (0, 1));
}

/// Guards against an item that waits for a faster target while one has room, and against starts
/// on a target without room.
#[test]
fn items_start_wherever_there_is_room() {
    let mut targets = [Target { open: 1, ..SLOW }, Target { open: 0, ..FAST }];
    let placed = assign(&[waiting(95.0), waiting(95.0)], &mut targets, |_, _| true);
    assert_eq!(placed, [Some(0), None]);
}

/// Guards against moves of runs that don't decide when the step ends, of those whose step ends
/// hardly sooner, and of those of groups that the trainer does not wait for.
#[test]
fn only_runs_that_decide_the_end_move() {
    let targets = [SLOW, FAST];
    assert_eq!(moved(&step(vec![run(0, 0, 20.0), run(1, 1, 90.0)]), &targets), NONE);
    assert_eq!(moved(&step(vec![run(0, 0, 1.5), run(1, 1, 1.5)]), &targets), NONE);
    assert_eq!(moved(&step(vec![run(0, 0, 40.0), run(1, 1, 50.0)]), &targets), [0]);
    let spare = RunningStep { wanted: 1, ..step(vec![run(0, 0, 40.0), run(1, 1, 20.0)]) };
    assert_eq!(moved(&spare, &targets), NONE);
}

/// Guards against a slow target that keeps its runs because none of them alone decides the end.
#[test]
fn runs_that_decide_the_end_together_move_together() {
    let together = step(vec![run(0, 0, 60.0), run(1, 0, 60.0), run(2, 0, 3.0), run(3, 1, 9.0)]);
    assert_eq!(moved(&together, &[SLOW, FAST]), [0, 1]);
    assert_eq!(moved(&together, &[SLOW, Target { open: 1, ..FAST }]), NONE);
}

/// Guards against moves for speeds of too few samples, and against endless moves of an item.
#[test]
fn moves_need_measured_speeds_and_are_bounded() {
    let long = step(vec![run(0, 0, 60.0)]);
    assert_eq!(moved(&long, &[SLOW, FAST]), [0]);
    assert_eq!(moved(&long, &[Target { samples: 5, ..SLOW }, FAST]), NONE);
    assert_eq!(moved(&long, &[SLOW, Target { samples: 5, ..FAST }]), NONE);
    let often = step(vec![Run { moves: 3, ..run(0, 0, 60.0) }]);
    assert_eq!(moved(&often, &[SLOW, FAST]), NONE);
}

/// Guards against an item that misses the due time although another target meets it.
#[test]
fn an_item_moves_if_it_meets_the_due_time_elsewhere() {
    // The other group decides the end of the step.
    let runs = vec![run(0, 0, 5.0), run(1, 1, 60.0)];
    let due = |due_ms| RunningStep { due_ms: Some(due_ms), ..step(runs.clone()) };
    let moves = plan(&due(400.0), &mut [SLOW, FAST], |_, _| true);
    assert!(matches!(moves[..], [Move { run: 0, to: 1, reason: Reason::Due, .. }]));
    assert_eq!(moved(&due(500.0), &[SLOW, FAST]), NONE);
    assert_eq!(moved(&due(100.0), &[SLOW, FAST]), NONE);
}

/// Guards against a speed that depends on the load at which it was measured, and against one that
/// does not follow a target that turns slow.
#[test]
fn a_speed_follows_the_target() {
    let mut speed = Speed::default();
    assert_eq!(speed.event_ms(), None);
    (0..200).for_each(|_| speed.record(48.5, 8));
    assert!((speed.event_ms().unwrap() - 46.5).abs() < 0.1);
    // Eight runs at three times the interval, for one second.
    (0..55).for_each(|_| speed.record(145.5, 8));
    assert!(speed.event_ms().unwrap() > 80.0);
}
