use super::{Item, Step, is_late, order};

const STEP: Step =
    Step { trainer: 0, rank: 1, needed: 100.0, received: 0.0, running: 0, is_late: false };

fn item(step: usize, work: f64) -> Item {
    Item { step, carried: false, work }
}

/// Returns the steps of the items in their order.
fn steps_in_order(steps: &[Step], items: &[Item]) -> Vec<usize> {
    order(steps, items).into_iter().map(|index| items[index].step).collect()
}

/// Guards against a single step whose items start in another order than without this module.
#[test]
fn carried_groups_and_long_items_of_one_step_go_first() {
    let carried = Item { carried: true, ..item(0, 1.0) };
    let items = [item(0, 3.0), carried, item(0, 9.0), item(0, 3.0)];
    assert_eq!(order(&[STEP], &items), [1, 2, 0, 3]);
}

/// Guards against a small step that waits for all items of a large one, and against a rank that
/// has no effect.
#[test]
fn steps_get_equal_fractions_by_rank() {
    let large = Step { needed: 1_000.0, ..STEP };
    let small = Step { trainer: 1, needed: 20.0, ..STEP };
    let items: Vec<Item> =
        (0..20).map(|_| item(0, 50.0)).chain((0..2).map(|_| item(1, 10.0))).collect();
    let mixed = steps_in_order(&[large, small], &items);
    assert_eq!(mixed.iter().position(|step| *step == 1), Some(1));
    assert_eq!(mixed.iter().rposition(|step| *step == 1), Some(12));
    let first = Step { rank: 0, ..small };
    assert_eq!(steps_in_order(&[large, first], &items)[..3], [1, 1, 0]);
}

/// Guards against a trainer whose next step delays the one that it waits for, and against a step
/// for which nobody waits any more that delays the next one.
#[test]
fn a_trainer_gets_its_steps_in_order() {
    let earlier = Step { received: 90.0, ..STEP };
    let items = [item(0, 5.0), item(0, 5.0), item(1, 5.0)];
    assert_eq!(steps_in_order(&[earlier, STEP], &items), [0, 0, 1]);
    let served = Step { received: 100.0, ..STEP };
    assert_eq!(steps_in_order(&[served, STEP], &items), [1, 0, 0]);
}

/// Guards against steps that become late because of one that is late anyway, and against one that
/// makes no progress at all.
#[test]
fn late_steps_come_later_and_keep_a_fifth() {
    let late = Step { is_late: true, ..STEP };
    let other = Step { trainer: 1, ..STEP };
    let items: Vec<Item> = (0..20).map(|index| item(index / 10, 5.0)).collect();
    let mixed = steps_in_order(&[late, other], &items);
    assert_eq!(mixed[..10], [1, 0, 1, 1, 1, 1, 1, 1, 1, 0]);
    let running = Step { running: 8, ..other };
    assert_eq!(steps_in_order(&[late, running], &items)[0], 0);
}

/// Guards against steps that count as late while they can meet their due times, or the reverse.
#[test]
fn a_step_is_late_if_its_targets_are_too_slow_for_it() {
    assert!(!is_late(100.0, 0.1, 1_000.0, 1_000.0));
    assert!(is_late(130.0, 0.1, 1_000.0, 1_000.0));
    assert!(is_late(10.0, 0.1, 1_300.0, 1_000.0));
    assert!(!is_late(10.0, 0.0, 1_300.0, 1_000.0));
}
