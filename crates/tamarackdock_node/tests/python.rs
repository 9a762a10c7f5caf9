//! Runs the operators' Python package, which requires `python3` 3.11 or later.

use std::{
    path::PathBuf,
    process::{Command, Output},
};

use tamarackdock_config::{
    Deployment,
    deployment::{Role, Target},
    reader,
};

fn package() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../operators/python")
}

fn python(arguments: &[&str]) -> Output {
    let mut command = Command::new("python3");
    command.args(arguments).current_dir(package()).env("PYTHONPATH", ".");
    command.env("PYTHONDONTWRITEBYTECODE", "1");
    command.output().expect("`python3` is required; install it and put it on the path")
}

/// Runs an example, checks its output with `tamarackctl check`, and returns the
/// deployment.
fn example(name: &str) -> Deployment {
    let printed = python(&[&format!("examples/{name}.py")]);
    assert!(printed.status.success(), "{printed:?}");
    let run = std::process::id();
    let path = format!("{}/{run}-{name}.jsonc", env!("CARGO_TARGET_TMPDIR"));
    std::fs::write(&path, &printed.stdout).unwrap();
    let mut check = Command::new(env!("CARGO_BIN_EXE_tamarackctl"));
    let checked = check.args(["check", &path]).output().unwrap();
    assert!(checked.status.success(), "{checked:?}");
    assert!(String::from_utf8_lossy(&printed.stdout).contains(&format!("// {name}.py:")));
    reader::deployment(name, &printed.stdout).unwrap()
}

fn count(targets: &[Target], service: &str, role: Role) -> usize {
    let is_counted = |target: &&Target| target.service.as_str() == service && target.role == role;
    targets.iter().filter(is_counted).count()
}

/// Guards against examples that are invalid or whose sizes differ from those in
/// `docs/design.md`, section 1.
#[test]
fn examples_are_valid_and_have_the_stated_sizes() {
    for (name, model, training) in
        [("knotwise", "route-planner", 10), ("derwent", "body-planner", 12)]
    {
        let deployment = example(name);
        assert_eq!(deployment.data_centres.len(), 3);
        assert_eq!(deployment.accounts.len(), 8);
        assert!(deployment.accounts.iter().all(|account| account.keys.len() == 1));
        assert_eq!(deployment.accounts.iter().filter(|account| account.weight > 1).count(), 4);
        assert!(deployment.trainers.len() > 1);
        assert_eq!(count(&deployment.targets, model, Role::Training), training);
        assert_eq!(count(&deployment.targets, model, Role::App), 3);
    }
}

/// Guards against faults in the package that its own tests find, and against a run
/// that finds none of these tests.
#[test]
fn unit_tests_of_the_package_pass() {
    let run = python(&["-m", "unittest", "discover", "-t", ".", "-s", "tests"]);
    let report = String::from_utf8_lossy(&run.stderr);
    assert!(run.status.success() && !report.contains("Ran 0 tests"), "{report}");
}
