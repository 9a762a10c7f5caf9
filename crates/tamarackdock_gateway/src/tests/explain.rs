use super::{at, list, registration};
use crate::{
    balance::{LeftOut, LimitState, NodeRank, Requirements, TargetLoads, choose, left_out},
    batch::placement::{PlacementTarget, WaitingItem},
    deployment::Service,
    explain::{ExplainError, Query, reason_to_wait},
    target::{Registration, Software},
};

/// Guards against a query that is answered for something else than was asked.
#[test]
fn a_query_names_a_call_or_a_job() {
    let call = Query::Call { host: "a.example:80", path: "/app/%20" };
    assert_eq!(Query::parse("host=a.example:80&path=/app/%20"), Ok(call));
    assert_eq!(Query::parse("job=t-1"), Ok(Query::Job("t-1")));
    assert_eq!(Query::parse("host=a&path=app/"), Err(ExplainError::Path));
    for query in [
        "",
        "job=",
        "host=a",
        "path=/",
        "host=a&path=/&job=j",
        "job=a&job=b",
        "job=a&x=1",
        "host=&path=/",
    ] {
        assert_eq!(Query::parse(query), Err(ExplainError::Query), "{query}");
    }
}

/// Guards against an explanation that gives a reason for a target that is chosen, or none for one
/// that is not.
#[test]
fn each_target_is_chosen_or_left_out_for_a_reason() {
    let tried = ["tried".into()];
    let requirements = Requirements {
        service: "app",
        data_centre: "x",
        software: None,
        can_go_on: false,
        tried: &tried,
        reserved_slots: 0,
        node_rank: &|_| NodeRank { rank: 0, nodes: 1 },
        limit: &|_| LimitState::default(),
    };
    let cold_left = std::time::Duration::from_secs(9);
    let cases = [
        (registration("usable", "x"), None),
        (registration("tried", "x"), Some(LeftOut::Tried)),
        (registration("away", "out"), Some(LeftOut::Evacuated)),
        (Registration { draining: true, ..registration("a", "x") }, Some(LeftOut::Draining)),
        (Registration { cold_left, ..registration("a", "x") }, Some(LeftOut::Cold)),
        (Registration { service: "b".into(), ..registration("a", "x") }, Some(LeftOut::Service)),
    ];
    // Less than one call a second.
    let service = Service { cold_rate: 1.0, ..Service::default() };
    let (loads, is_out) = (TargetLoads::default(), |data_centre: &str| data_centre == "out");
    for (entry, expected) in cases {
        let targets = list([entry]);
        let target = targets.iter().next().unwrap();
        let reason = left_out(&requirements, target, &loads, &service, is_out, at(0));
        assert_eq!(reason, expected);
        let chosen = choose(&requirements, targets.iter(), &loads, &service, is_out, at(0));
        assert_eq!(chosen.is_none(), expected.is_some(), "{expected:?}");
    }
}

fn placement_target(version: &str, running: u32, allowed_starts: u32) -> PlacementTarget {
    PlacementTarget {
        id: "e".into(),
        software: Software { service: "llm".into(), version: version.into() },
        running,
        slots: 8,
        event_interval_ms: None,
        samples: 0,
        allowed_starts,
        is_avoided: false,
        refuses: false,
        is_local: true,
        fitting_jobs: vec![0],
    }
}

/// Guards against a reason that sends an operator to the wrong cause.
#[test]
fn a_waiting_item_names_its_cause() {
    let target = placement_target;
    let item = |job, made_by: Option<&str>| WaitingItem {
        job,
        item: 0,
        carried: false,
        remaining_tokens: 1,
        made_by: made_by.map(|version| Software { service: "llm".into(), version: version.into() }),
        refusals: 0,
        is_unfit: false,
        is_bulk: false,
    };
    let avoided = PlacementTarget { is_avoided: true, ..target("v1", 8, 9) };
    let targets = [target("v1", 8, 9), target("v1", 0, 0), avoided];
    let reason = |item: &WaitingItem| reason_to_wait(item, &targets);
    assert_eq!(
        reason(&item(0, None)),
        "room: of 3 targets, 1 are full with the items that start before it, 1 are avoided after \
         a failure or refusal, and 1 may start no more requests now (cold, limited or probed)"
    );
    assert_eq!(reason(&item(1, None)), "a target with the weights for its job");
    let other = "a target of the software of its text; 3 run another one";
    assert_eq!(reason(&item(0, Some("v0"))), other);
}
