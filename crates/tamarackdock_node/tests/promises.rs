//! Compares `docs/promises.md` with the tests in the repository.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    path::{Path, PathBuf},
};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read(path: &str) -> String {
    fs::read_to_string(root().join(path)).unwrap()
}

/// Adds the name of each function that follows a `#[test]`.
fn tests_of(source: &str, names: &mut BTreeSet<String>) {
    for rest in source.split("#[test]\n").skip(1) {
        let function = rest.lines().find_map(|line| line.trim_start().strip_prefix("fn "));
        let name = function.and_then(|function| function.split('(').next());
        names.extend(name.map(str::to_owned));
    }
}

fn collect_tests(directory: &Path, names: &mut BTreeSet<String>) {
    for path in fs::read_dir(directory).unwrap().map(|entry| entry.unwrap().path()) {
        if path.is_dir() {
            collect_tests(&path, names);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            tests_of(&fs::read_to_string(path).unwrap(), names);
        }
    }
}

fn tests() -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    collect_tests(&root().join("crates"), &mut names);
    names
}

/// Returns the names in backticks that can be functions, so no paths, files or crates.
fn functions(text: &str) -> impl Iterator<Item = &str> {
    let quoted = text.split('`').skip(1).step_by(2);
    let is_name =
        |text: &&str| text.chars().all(|c| c.is_ascii_lowercase() || "_0123456789".contains(c));
    let is_crate = |text: &str| root().join("crates").join(text).exists();
    quoted.filter(is_name).filter(move |text| !is_crate(text) && *text != "open")
}

/// Returns the cells of the table rows in the section under a heading.
fn rows<'a>(page: &'a str, heading: &str) -> impl Iterator<Item = Vec<&'a str>> {
    let section = page.split_once(&format!("## {heading}\n")).expect(heading).1;
    let section = section.split("\n## ").next().unwrap();
    let rows = section.lines().filter_map(|line| line.strip_prefix("| ")?.strip_suffix(" |"));
    let rows = rows.map(|row| row.split(" | ").collect::<Vec<_>>());
    rows.filter(|row| row[0] != "---" && row[0] != "short name" && row[0] != "promise")
}

/// Returns the tests of each short name. A star is part of the name.
fn short_names(page: &str) -> BTreeMap<&str, Vec<&str>> {
    rows(page, "Tests").map(|row| (row[0], functions(row[1]).collect())).collect()
}

/// Guards against cells that name a test that was renamed, removed or never written.
#[test]
fn every_named_test_exists() {
    let (page, tests) = (read("docs/promises.md"), tests());
    assert!(tests.contains("every_named_test_exists"), "tests are not found");
    let missing: Vec<_> = functions(&page).filter(|name| !tests.contains(*name)).collect();
    assert_eq!(missing, Vec::<&str>::new(), "no such tests");
    for (short, tests) in short_names(&page) {
        assert!(!tests.is_empty(), "`{short}` names no test");
    }
}

/// Guards against cells that are empty or use a name that the page does not explain.
#[test]
fn every_cell_is_explained() {
    let page = read("docs/promises.md");
    let names = short_names(&page);
    let mut cells = 0;
    for row in rows(&page, "Matrix") {
        for cell in &row[1..] {
            cells += 1;
            let known =
                |name: &str| name == "open" || name.starts_with('–') || names.contains_key(name);
            let parts = cell.split(',').map(|part| part.trim().trim_matches(['(', ')']));
            let unknown: Vec<_> = parts.filter(|part| !known(part)).collect();
            assert_eq!(unknown, Vec::<&str>::new(), "{}", row[0]);
        }
    }
    assert_eq!(cells, 16 * 13);
}

/// Guards against a known failure that the page shows without a star, and against a
/// star of a test that is not a known failure.
#[test]
fn stars_agree_with_the_known_failures() {
    let (page, known) = (read("docs/promises.md"), read("KNOWN-RED.txt"));
    let known_failures: Vec<_> =
        known.lines().filter_map(|line| line.strip_prefix("test: ")).collect();
    let known_failures: Vec<_> =
        known_failures.iter().filter_map(|test| test.rsplit("::").next()).collect();
    for (short, tests) in short_names(&page) {
        let fails = tests.iter().any(|test| known_failures.contains(test));
        assert_eq!(short.ends_with('*'), fails, "{short}");
    }
}
