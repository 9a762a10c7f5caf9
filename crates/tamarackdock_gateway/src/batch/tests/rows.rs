use proptest::prelude::*;
use tamarackdock_platform::table::Row;

use super::{head, route};
use crate::batch::{
    ItemOutcome, ItemResult,
    commit::join_rows,
    end,
    rows::{self, JobHead, Terms},
};

fn row(key: String, value: &str) -> Row {
    Row { key, revision: 1, value: value.into(), operation: String::new() }
}

fn listed(id: &str) -> String {
    let result = ItemResult {
        id: id.into(),
        state: ItemOutcome::Completed,
        text: "é\n".repeat(20),
        versions: vec![1],
        score: None,
    };
    serde_json::to_string(&result).unwrap()
}

fn stored(position: usize, id: &str, row_bytes: usize) -> Vec<Row> {
    let text = listed(id);
    let pieces = rows::split_text(&text, row_bytes);
    let key = rows::result_key("j", Some(position));
    pieces.iter().enumerate().map(|(piece, text)| row(format!("{key}/{piece:02}"), text)).collect()
}

fn ids(results: &[ItemResult]) -> Vec<&str> {
    results.iter().map(|result| result.id.as_str()).collect()
}

/// Guards against a result of which an answer of the store holds only the first rows, and
/// which would be taken as complete or as missing for good.
#[test]
fn results_are_joined_from_their_rows() {
    let mut all = stored(3, "a", 40);
    all.extend(stored(4, "b", 40));
    assert_eq!(ids(&join_rows(&all, 3)), ["a", "b"]);
    all.pop();
    assert_eq!(ids(&join_rows(&all, 3)), ["a"]);
}

/// Guards against results that are read at other positions than those they were committed
/// at.
#[test]
fn a_gap_ends_the_results() {
    let mut all = stored(3, "a", 4000);
    all.extend(stored(5, "c", 4000));
    assert_eq!(ids(&join_rows(&all, 3)), ["a"]);
    assert_eq!(ids(&join_rows(&all, 2)), Vec::<&str>::new());
}

/// Guards against ids that would form keys of other jobs' rows.
#[test]
fn ids_that_could_leave_their_key_are_refused() {
    for id in ["", "a/b", "a b", "../x", "a@b", &"x".repeat(65)] {
        assert!(!rows::is_valid_id(id), "{id:?}");
    }
    assert!(rows::is_valid_id("7c41e09b52d6a3f8"));
}

proptest! {
    /// Guards against pieces that lose bytes or don't fit into a row.
    #[test]
    fn pieces_join_to_the_text(text in ".{0,300}", row_bytes in 8_usize..64) {
        let pieces = rows::split_text(&text, row_bytes);
        prop_assert_eq!(pieces.concat(), text.clone());
        prop_assert!(pieces.iter().all(|piece| piece.len() <= row_bytes));
    }
}

/// Guards against heads that earlier releases read in another way, and against theirs that are
/// not read.
#[test]
fn a_mark_of_removal_is_left_out_unless_set() {
    let text = head(1).encode();
    assert!(!text.contains("removing"), "{text}");
    assert_eq!(serde_json::from_str::<JobHead>(&text).unwrap(), head(1));
    let marked = JobHead { removing: true, terms: Some(Terms::of(&route())), ..head(1) };
    assert_eq!(serde_json::from_str::<JobHead>(&marked.encode()).unwrap(), marked);
}

/// Guards against items that are given up early because an earlier release accepted their job
/// without knowing the store's time, or because this node does not know it.
#[test]
fn a_job_of_unknown_age_counts_as_new() {
    let age = |accepted_ms, store_ms| JobHead { accepted_ms, ..head(1) }.age(store_ms).as_millis();
    assert_eq!(age(0, Some(3_600_000)), 0);
    assert_eq!(age(3_500_000, None), 0);
    assert_eq!(age(3_500_000, Some(3_499_000)), 0);
    assert_eq!(age(3_500_000, Some(3_600_000)), 100_000);
}

/// Guards against transactions that the store refuses: of a job in many small rows or few large ones.
#[test]
fn transactions_are_bounded_by_rows_and_bytes() {
    let sizes = |rows: usize, bytes: usize| {
        let batches = end::split(vec![bytes; rows], |bytes| *bytes);
        batches.iter().map(Vec::len).collect::<Vec<_>>()
    };
    assert_eq!(sizes(200, 512), [90, 90, 20]);
    assert_eq!(sizes(30, 32 * 1024), [12, 12, 6]);
    assert_eq!(sizes(2, 1024 * 1024), [1, 1]);
    assert_eq!(sizes(0, 1), [0; 0]);
}
