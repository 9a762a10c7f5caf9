use proptest::prelude::*;
use tamarackdock_platform::table::Row;

use super::{event, item};
use crate::{
    batch::{
        Item,
        progress::{Progress, join_segments},
        rows,
    },
    target::Software,
};

fn software(version: &str) -> Software {
    Software { service: "llm".into(), version: version.into() }
}

fn text(data: &[(&str, u64)]) -> Progress {
    let mut progress = Progress::default();
    assert!(progress.continue_with(&software("v1")));
    for (id, (data, version)) in (1..).zip(data) {
        progress.append(&event(id, data), Some(*version)).unwrap();
    }
    progress
}

/// Saves new events to `store`, as the owner with the number `epoch` does.
fn save(progress: &mut Progress, store: &mut Vec<Row>, epoch: u64) {
    let prefix = rows::progress_key("j", "i");
    for write in progress.segments(&prefix, epoch) {
        store.retain(|row| row.key != write.key);
        let value = write.value.unwrap();
        store.push(Row { key: write.key, revision: 1, value, operation: String::new() });
    }
    store.sort_by(|left, right| left.key.cmp(&right.key));
    progress.mark_saved(progress.extent());
}

fn read(store: &[Row]) -> Option<(String, Option<u64>, Vec<u64>)> {
    let progress = join_segments("j", store).remove("i")?;
    Some((progress.text(), progress.last_event(), progress.versions()))
}

/// Guards against a text that lacks events, has some twice, or mixes two runs.
#[test]
fn events_must_follow_each_other() {
    let mut progress = text(&[("a", 5)]);
    assert!(progress.append(&event(3, "c"), None).is_err());
    assert!(progress.append(&event(1, "a"), None).is_err());
    assert!(progress.append(&event(2, "b"), Some(6)).is_ok());
    assert_eq!((progress.text(), progress.versions()), ("a\nb".into(), vec![5, 6]));
    assert!(Progress::default().append(&event(2, "b"), None).is_err());
}

/// Guards against a text that loses events or versions when it is saved in several
/// segments.
#[test]
fn saved_segments_join() {
    let mut store = Vec::new();
    let mut progress = text(&[("a", 5), ("b", 5)]);
    save(&mut progress, &mut store, 1);
    progress.append(&event(3, "c"), Some(6)).unwrap();
    save(&mut progress, &mut store, 1);
    assert_eq!(read(&store), Some(("a\nb\nc".into(), Some(3), vec![5, 6])));
}

/// Guards against a restarted text that is continued with a segment of the discarded one:
/// both texts have a segment that begins at the same event.
#[test]
fn a_restarted_text_does_not_join_the_old_one() {
    let mut store = Vec::new();
    let mut progress = text(&[("a", 5), ("b", 5)]);
    save(&mut progress, &mut store, 1);
    progress.append(&event(3, "old"), Some(5)).unwrap();
    save(&mut progress, &mut store, 1);
    progress.restart();
    progress.append(&event(1, "A"), Some(6)).unwrap();
    progress.append(&event(2, "B"), Some(6)).unwrap();
    save(&mut progress, &mut store, 1);
    assert_eq!(read(&store), Some(("A\nB".into(), Some(2), vec![6])));
}

/// Guards against a text with a gap, and against versions that belong only to text behind
/// the gap.
#[test]
fn a_lost_segment_ends_the_text() {
    let mut store = Vec::new();
    let mut progress = text(&[("a", 5)]);
    save(&mut progress, &mut store, 1);
    progress.append(&event(2, "b"), Some(6)).unwrap();
    save(&mut progress, &mut store, 1);
    progress.append(&event(3, "c"), Some(7)).unwrap();
    save(&mut progress, &mut store, 1);
    store.remove(1);
    assert_eq!(read(&store), Some(("a".into(), Some(1), vec![5])));
}

/// Guards against a text that targets of two software versions have made: the next owner
/// does not know the version, or a text that was begun again is bound to the old one.
#[test]
fn only_the_software_that_began_a_text_continues_it() {
    let mut store = Vec::new();
    let mut progress = text(&[("a", 5)]);
    assert!(!progress.continue_with(&software("v2")) && progress.continue_with(&software("v1")));
    save(&mut progress, &mut store, 1);
    let mut stored = join_segments("j", &store).remove("i").unwrap();
    assert_eq!(stored.made_by(), Some(&software("v1")));
    assert!(!stored.continue_with(&software("v2")));
    stored.restart();
    assert_eq!(stored.made_by(), None);
    assert!(stored.continue_with(&software("v2")));
    stored.append(&event(1, "b"), Some(5)).unwrap();
    save(&mut stored, &mut store, 2);
    let stored = join_segments("j", &store).remove("i").unwrap();
    assert_eq!(stored.made_by(), Some(&software("v2")));
}

/// Guards against a complete text that the next owner generates again: its scoring call may
/// have been sent.
#[test]
fn a_complete_text_is_read_back_as_complete() {
    let mut store = Vec::new();
    let mut progress = text(&[("a", 5), ("b", 5)]);
    save(&mut progress, &mut store, 1);
    let stored = |store: &[Row]| join_segments("j", store).remove("i").unwrap();
    assert!(!stored(&store).is_complete());
    progress.mark_complete();
    assert!(!progress.is_saved_complete());
    save(&mut progress, &mut store, 1);
    assert!(progress.is_saved_complete());
    assert_eq!((stored(&store).text(), stored(&store).is_saved_complete()), ("a\nb".into(), true));
    assert_eq!(progress.segments("p", 1), []);
}

/// Guards against a save that failed but takes effect later, in place of newer rows: the text
/// would end early although its scoring call was sent.
#[test]
fn a_late_write_of_a_failed_save_does_not_shorten_the_text() {
    let mut progress = text(&[("a", 5)]);
    let late = progress.segments(&rows::progress_key("j", "i"), 1);
    progress.save_anew();
    progress.append(&event(2, "b"), Some(5)).unwrap();
    progress.mark_complete();
    let mut store = Vec::new();
    save(&mut progress, &mut store, 1);
    for write in late {
        store.retain(|row| row.key != write.key);
        let value = write.value.unwrap();
        store.push(Row { key: write.key, revision: 1, value, operation: String::new() });
    }
    store.sort_by(|left, right| left.key.cmp(&right.key));
    let stored = join_segments("j", &store).remove("i").unwrap();
    assert_eq!((stored.text(), stored.is_saved_complete()), ("a\nb".into(), true));
}

proptest! {
    /// Guards against a take-over that changes the text: each of several owners continues
    /// what it reads from the store, and some of them restart the text.
    #[test]
    fn owners_continue_what_was_saved(
        owners in prop::collection::vec((1_u64..5, 0_u64..3, any::<bool>()), 1..8),
    ) {
        let mut store = Vec::new();
        let mut expected = Progress::default();
        for (epoch, (saved, unsaved, restarts)) in (1..).zip(owners) {
            let mut own = join_segments("j", &store).remove("i").unwrap_or_default();
            prop_assert_eq!(own.text(), expected.text());
            if restarts {
                own.restart();
            }
            let append = |own: &mut Progress, count| {
                for _ in 0..count {
                    let id = own.last_event().map_or(1, |last| last + 1);
                    own.append(&event(id, &format!("{epoch}.{id}")), Some(epoch)).unwrap();
                }
            };
            append(&mut own, saved);
            save(&mut own, &mut store, epoch);
            expected = own.clone();
            append(&mut own, unsaved);
        }
    }
}

/// Guards against texts that are taken to be shorter than they are, after they were read from the
/// store, and so go on without end.
#[test]
fn the_memory_of_a_text_is_known_after_a_takeover() {
    let mut progress = text(&[("abc", 5), ("d", 5)]);
    let mut store = Vec::new();
    save(&mut progress, &mut store, 1);
    assert!(progress.memory() > "abcd".len());
    assert_eq!(join_segments("j", &store)["i"].memory(), progress.memory());
    progress.restart();
    assert_eq!(progress.memory(), 0);
}

/// Guards against sound texts that are taken for endless, and against a bound that a job of many
/// items does not keep within the memory of a host.
#[test]
fn texts_may_take_memory_by_their_tokens() {
    let bytes = |tokens| Item { tokens, ..item("a", "g", 1) }.max_text_bytes();
    assert_eq!([0, 1_000, 100_000, u64::MAX].map(bytes), [65_536, 129_536, 1_048_576, 1_048_576]);
}
