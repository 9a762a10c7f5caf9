use standin::{engine::Options, stand_ins::StandIns};

use super::support::{SEED, call, request, run};

/// Guards against a set of stand-ins that share addresses or names, and against engines
/// with different seeds, which would answer one prompt with different lengths.
#[test]
fn stand_ins_differ_in_names_and_share_the_seed() {
    run(async {
        let stand_ins = StandIns::spawn(SEED, &["d1", "d2"], 3, &Options::default(), 1).unwrap();
        let mut names = Vec::new();
        for engine in &stand_ins.engines {
            let answer = call(engine.address(), request("GET", "/load", "")).await.unwrap();
            let value: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
            names.push(value["restart_id"].as_str().unwrap().to_owned());
            engine.configure(|options| assert_eq!(options.seed, SEED));
        }
        assert_eq!(names, ["e0-1", "e1-1", "e2-1"]);
        assert_ne!(stand_ins.platform.address("d1"), stand_ins.platform.address("d2"));
        assert!(call(stand_ins.plain_services[0].address(), request("GET", "/", "")).await.is_ok());
    });
}
