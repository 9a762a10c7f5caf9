use std::{collections::BTreeSet, rc::Rc};

use super::{at, head, item};
use crate::{
    batch::{
        Item, ItemOutcome, ItemResult, Submission,
        job::{Job, RunOutcome},
        part::{self, Collector, Memory, Part},
    },
    call::fingerprint,
};

const MB: usize = 1024 * 1024;

fn outline() -> Submission {
    Submission { model: None, step: 1, min_version: 0, wanted_groups: 1, items: Vec::new() }
}

fn ids(part: &Part) -> Vec<&str> {
    part.submission.items.iter().map(|item| &*item.id).collect()
}

/// Offers items named by their numbers from `from` on, and returns the part.
fn collect(memory: &Memory, from: usize, items: usize, finished: BTreeSet<u64>) -> Part {
    let allowance = memory.allowance(32 * MB).expect("there is memory");
    let mut collector = Collector::new(memory, allowance, from, finished);
    (from..items).for_each(|number| collector.offer(item(&format!("i{number}"), "g", 1)));
    collector.finish(outline())
}

/// Guards against a large job that takes the memory which small ones need, and against jobs that
/// begin although there is none.
#[test]
fn large_jobs_leave_memory_to_small_ones() {
    let memory = Memory::new(32 * MB);
    assert_eq!(memory.allowance(MB), Some(32 * MB));
    assert_eq!(memory.allowance(200 * MB), Some(28 * MB));
    let mut reservation = memory.reservation();
    assert!(reservation.grow(27 * MB));
    assert_eq!(memory.allowance(200 * MB), None);
    assert!(memory.is_scarce());
    assert_eq!(memory.allowance(MB), Some(5 * MB));
    assert!(reservation.grow(4 * MB + MB / 2));
    assert_eq!(memory.allowance(MB), None);
    drop(reservation);
    assert_eq!(memory.used(), 0);
}

/// Guards against a process that runs out of memory by the heads of very many small jobs.
#[test]
fn the_number_of_jobs_is_bounded() {
    let memory = Memory::new(32 * MB);
    assert!(memory.has_room_for_head(8_000));
    assert!(!memory.has_room_for_head(8_192));
}

/// Guards against steps of trainers that wait for jobs of very many items, and against large steps
/// that wait for small ones.
#[test]
fn only_jobs_with_far_more_items_than_slots_are_bulk() {
    assert!(part::is_bulk(2_048, 36));
    assert!(!part::is_bulk(2_048, 7_800));
    assert!(!part::is_bulk(208, 36));
}

/// Guards against items that are in no part or in two, and against parts without an end.
#[test]
fn parts_follow_each_other() {
    let memory = Memory::new(32 * MB);
    let (mut next, mut seen) = (0, Vec::new());
    while next < 10_000 {
        let part = collect(&memory, next, 10_000, BTreeSet::new());
        assert!((1..=part::MAX_ITEMS).contains(&part.submission.items.len()));
        assert!(memory.used() > part.submission.items.len() * size_of::<Item>());
        seen.extend(ids(&part).into_iter().map(str::to_owned));
        next = part.next;
    }
    assert_eq!(seen, (0..10_000).map(|number| format!("i{number}")).collect::<Vec<_>>());
    assert_eq!(memory.used(), 0, "memory of parts that are dropped");
}

/// Guards against items with results that run again after a take-over.
#[test]
fn parts_leave_out_items_with_results() {
    let memory = Memory::new(32 * MB);
    let finished = ["i0", "i2"].map(|id| fingerprint(id.as_bytes())).into();
    let part = collect(&memory, 0, 4, finished);
    assert_eq!((ids(&part), part.next), (vec!["i1", "i3"], 4));
}

/// Guards against a small item that overtakes a large one which would never run.
#[test]
fn an_item_without_memory_ends_the_part() {
    let memory = Memory::new(MB);
    let large = Item { body: vec![0; 900 * 1024].into(), ..item("large", "g", 1) };
    let mut collector = Collector::new(&memory, 512 * 1024, 0, BTreeSet::new());
    for item in [item("first", "g", 1), large, item("last", "g", 1)] {
        collector.offer(item);
    }
    assert!(collector.is_full());
    let part = collector.finish(outline());
    assert_eq!((ids(&part), part.next), (vec!["first"], 1));
}

fn result(id: &str, bytes: usize) -> ItemResult {
    let text = "x".repeat(bytes);
    ItemResult {
        id: id.into(),
        state: ItemOutcome::Completed,
        text,
        versions: vec![1],
        score: None,
    }
}

/// Guards against a job whose first part counts as the whole job, and against results that are
/// numbered anew by the next part.
#[test]
fn a_job_is_complete_after_its_last_part() {
    let memory = Memory::new(32 * MB);
    let part = |from, to| {
        let part = collect(&memory, from, to, BTreeSet::new());
        let mut job = Job::new("j".into(), head(3), 1, Rc::new(part.submission), at(0), 3);
        job.next_item = part.next;
        job
    };
    let mut first = part(0, 2);
    for index in 0..2 {
        assert!(!first.is_part_done());
        first.start(index, "t".into());
        first.end_run(index, RunOutcome::Completed, at(1));
        first.mark_committed(1);
    }
    assert!(first.is_part_done() && !first.is_complete());
    let ended = first.end_part();
    assert!(first.closed && !first.is_part_done());
    assert_eq!((ended.next_item, ended.first, ended.results.len()), (2, 0, 2));
    let mut last = part(ended.next_item, 3);
    last.continue_listing(ended.first, ended.results);
    assert_eq!(last.listed(), 2);
    assert!(!last.is_part_done() && !last.is_complete());
    last.start(0, "t".into());
    last.end_run(0, RunOutcome::Completed, at(2));
    last.mark_committed(1);
    assert!(last.is_complete() && !last.is_part_done());
}

/// Guards against results that take all memory, and against positions that move when old ones are
/// dropped.
#[test]
fn old_results_are_dropped_from_memory() {
    let results: Vec<ItemResult> = (0..10).map(|n| result(&n.to_string(), 1_000)).collect();
    let bytes = results.iter().map(ItemResult::memory).sum();
    assert_eq!(part::surplus(bytes, bytes, &results), 0);
    let dropped = part::surplus(bytes, bytes - 1, &results);
    assert_eq!(dropped, 6, "at most half of what is allowed is kept");
    assert_eq!(part::surplus(bytes, 0, &results), 9, "the newest one is kept");
    let mut job = super::job(vec![item("a", "g", 1)]);
    job.max_result_bytes = bytes - 1;
    job.continue_listing(7, results.into_iter().map(Rc::new).collect());
    assert_eq!((job.first_result, job.listed()), (13, 17));
    assert_eq!(job.results[0].id, "6");
}

/// Guards against an item that runs again because its result is no longer in memory.
#[test]
fn items_with_results_are_finished() {
    let mut job = super::job(vec![item("a", "g", 1), item("b", "g", 1)]);
    job.mark_listed(&[fingerprint(b"a")].into());
    let waiting: Vec<usize> = job.startable(at(10)).map(|(index, _)| index).collect();
    assert_eq!(waiting, [1]);
}
