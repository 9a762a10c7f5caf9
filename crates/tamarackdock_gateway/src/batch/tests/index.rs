use tamarackdock_platform::table::{Batch, Change};

use super::{head, route};
use crate::{
    batch::{
        index::{JobIndex, VersionedHead},
        rows::{self, JobHead, Terms},
    },
    deployment::{Deployment, Name, Route},
};

fn entry(revision: u64) -> VersionedHead {
    VersionedHead { head: head(1), revision }
}

fn known(index: &JobIndex, job: &str) -> Option<u64> {
    index.entry(job).map(|entry| entry.revision)
}

/// Guards against a job that is known again for good, because a message about it arrives after
/// the feed has told of its removal.
#[test]
fn a_late_head_of_a_removed_job_is_ignored() {
    let (index, job) = (JobIndex::default(), Name::from("j"));
    assert!(index.update_head(&job, entry(5)));
    assert!(index.remove_head(&job, 7));
    index.set_revision(7);
    assert!(!index.update_head(&job, entry(6)));
    assert_eq!(known(&index, &job), None);
    // The id is in use again.
    assert!(index.update_head(&job, entry(8)));
    assert_eq!(known(&index, &job), Some(8));
}

/// Guards against the loss of a job by the removal of an earlier one of the same id.
#[test]
fn an_old_removal_leaves_a_newer_head() {
    let (index, job) = (JobIndex::default(), Name::from("j"));
    index.update_head(&job, entry(9));
    assert!(!index.remove_head(&job, 8));
    assert_eq!(known(&index, &job), Some(9));
    assert!(index.remove_head(&job, 9));
    assert_eq!(known(&index, &job), None);
}

/// Guards against removed jobs that stay known after the history of changes was lost, and against
/// the loss of those that are newer than the snapshot or in another part.
#[test]
fn a_snapshot_drops_what_it_covers() {
    let index = JobIndex::default();
    let part = rows::part("a");
    let ids = (0..).map(|number| Name::from(format!("j{number}")));
    let mut own = ids.clone().filter(|id| rows::part(id) == part);
    let other = ids.clone().find(|id| rows::part(id) != part).unwrap();
    let (removed, kept, newer) = (own.next().unwrap(), own.next().unwrap(), own.next().unwrap());
    for (id, revision) in [(&removed, 3), (&kept, 4), (&newer, 11), (&other, 5)] {
        index.update_head(id, entry(revision));
    }
    let row = Change { key: kept.to_string(), revision: 4, value: Some(String::new()) };
    let snapshot = Batch { changes: vec![row], revision: 10 };
    assert_eq!(index.missing(&part, &snapshot), [removed]);
}

/// Guards against loads that hurry for steps which have ended or whose oldest version is not known.
#[test]
fn open_steps_name_the_oldest_version_that_they_accept() {
    let index = JobIndex::default();
    let heads = [(false, Some(4)), (false, Some(6)), (true, Some(7)), (false, None)];
    for (number, (ended, min_version)) in heads.into_iter().enumerate() {
        let head = JobHead { ended, min_version, ..head(1) };
        index.update_head(
            &format!("j{number}").as_str().into(),
            VersionedHead { head, revision: 1 },
        );
    }
    assert_eq!(index.open_steps(), [("m".into(), vec![4, 6])].into());
}

/// Guards against loads in the order of names where trainers have ranks, and against the rank of a
/// job that has ended.
#[test]
fn a_model_has_the_highest_rank_of_its_open_jobs() {
    let index = JobIndex::default();
    let mut deployment = Deployment::default();
    deployment.add_route(Route { rank: 3, ..route() });
    deployment.account_ranks = [("first".into(), 0), ("second".into(), 1)].into();
    let heads = [(None, false), (Some("second"), false), (Some("first"), true)];
    let mut ranks = Vec::new();
    for (number, (account, ended)) in heads.into_iter().enumerate() {
        let head = JobHead { account: account.map(Into::into), ended, ..head(1) };
        let id = format!("j{number}").as_str().into();
        index.update_head(&id, VersionedHead { head, revision: 1 });
        ranks.push(index.ranks(&deployment).remove("m"));
    }
    assert_eq!(ranks, [Some(3), Some(1), Some(1)]);
}

/// Guards against reads of a job while its rows are being removed.
#[test]
fn a_job_that_is_being_removed_counts_as_removed() {
    let (index, job) = (JobIndex::default(), Name::from("j"));
    index.update_head(&job, entry(5));
    assert!(index.head(&job).is_some());
    let head = JobHead { ended: true, removing: true, ..head(1) };
    index.update_head(&job, VersionedHead { head, revision: 6 });
    assert!(index.head(&job).is_none());
    assert_eq!(known(&index, &job), Some(6));
}

/// Guards against a target that is kept for a trainer which has left without ending its job.
#[test]
fn a_model_is_open_until_its_jobs_end_or_their_items_are_out_of_time() {
    let index = JobIndex::default();
    let lifetime = i64::try_from(super::LIFETIME.as_millis()).unwrap();
    let terms = Some(Terms::of(&route()));
    let open = JobHead { accepted_ms: 1_000, terms, ..head(1) };
    let job = |model: &str, ended| JobHead { model: Some(model.into()), ended, ..open.clone() };
    for (revision, head) in [(1, job("open", false)), (2, job("ended", true))] {
        let id = format!("j{revision}").as_str().into();
        index.update_head(&id, VersionedHead { head, revision });
    }
    assert_eq!(index.open_models(Some(1_000 + lifetime)), ["open".into()].into());
    assert_eq!(index.open_models(None), ["open".into()].into());
    assert_eq!(index.open_models(Some(1_001 + lifetime)), [].into());
}
