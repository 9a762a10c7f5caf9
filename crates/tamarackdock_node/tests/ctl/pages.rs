//! Runs the commands on the pages of `docs/operators/`, and compares these pages
//! with the code.

use std::{
    fs,
    os::unix::fs::symlink,
    path::{Path, PathBuf},
    process::Command,
};

use serde_json::Value;
use tamarackdock_config::reader;

use crate::{
    fake::{FakeNode, FakeStore},
    nodes,
};

/// Pages in the order in which their commands run.
const PAGES: [&str; 8] = [
    "install",
    "keys",
    "data-centre-out",
    "reports-and-metrics",
    "state-dump",
    "alarms",
    "replace-hosts",
    "store-outage",
];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..").canonicalize().unwrap()
}

fn page(name: &str) -> String {
    fs::read_to_string(root().join(format!("docs/operators/{name}.md"))).unwrap()
}

/// Returns the lines of all code blocks in a language.
fn blocks(page: &str, language: &str) -> String {
    let open = format!("```{language}");
    let mut inside = false;
    let mut text = String::new();
    for line in page.lines() {
        match line.trim() {
            fence if fence.starts_with("```") => inside = fence == open,
            _ if inside => text.extend([line, "\n"]),
            _ => {}
        }
    }
    text
}

/// Returns the parts of a text that are in backticks.
fn quoted(text: &str) -> impl Iterator<Item = &str> {
    text.split('`').skip(1).step_by(2)
}

/// Makes a directory that contains only a link to `operators`, as the commands
/// expect it in their working directory.
fn scratch(name: &str) -> PathBuf {
    let name = format!("pages-{name}-{}", std::process::id());
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::create_dir_all(&directory).unwrap();
    symlink(root().join("operators"), directory.join("operators")).unwrap();
    directory
}

/// Runs the commands of all pages and checks that they succeed.
fn run_pages(test: &str, nodes: &str) {
    let directory = scratch(test);
    fs::write(directory.join("settings.jsonc"), blocks(&page("install"), "jsonc")).unwrap();
    let programs = Path::new(env!("CARGO_BIN_EXE_tamarackctl")).parent().unwrap();
    let path = format!("{}:{}", programs.display(), std::env::var("PATH").unwrap());
    for name in PAGES {
        let script = blocks(&page(name), "sh");
        let run = Command::new("sh")
            .args(["-euxc", &script])
            .current_dir(&directory)
            .env("PATH", &path)
            .env("PYTHONDONTWRITEBYTECODE", "1")
            .env("NODES", nodes)
            .output()
            .unwrap();
        assert!(run.status.success(), "{name}: {}", String::from_utf8_lossy(&run.stderr));
    }
    fs::remove_dir_all(&directory).unwrap();
}

/// Guards against pages with commands that fail or do not exist.
#[test]
fn commands_of_the_pages_succeed_in_order() {
    let store = FakeStore::shared();
    let (first, second) = (FakeNode::spawn(&store), FakeNode::spawn(&store));
    run_pages("fake", &format!("--node {} --node {}", first.node(), second.node()));
    // The first configuration, a roll-forward, two key changes and two data centre changes.
    assert_eq!(store.lock().unwrap().version, 6);
}

/// Guards against pages whose commands succeed on fake nodes only.
#[test]
fn commands_of_the_pages_succeed_on_real_nodes() {
    let world = nodes::world();
    let ports: Vec<_> = world.nodes.iter().map(|node| node.addresses().operators).collect();
    run_pages("real", &format!("--node {} --node {}", ports[0], ports[1]));
    let version =
        world.send_operator_request(1, "GET", "/config", "").unwrap().body["version"].clone();
    // Version 1 is the initial configuration of the nodes; the pages make six changes.
    assert_eq!(version, 7);
}

/// Guards against a settings file on the page that lacks a field or shows a value
/// other than the default.
#[test]
fn settings_page_shows_every_field_with_its_default() {
    let text = blocks(&page("install"), "jsonc");
    let shown = reader::settings("page", text.as_bytes()).unwrap();
    for field in reader::settings_fields() {
        let name = field.path.rsplit('.').next().unwrap();
        assert!(text.contains(&format!("\"{name}\":")), "`{}` is missing", field.path);
    }
    let mut minimal = serde_json::to_value(&shown).unwrap();
    let is_top_level = |path: &str| !path.contains('.');
    for field in reader::settings_fields().iter().filter(|f| !f.required && is_top_level(&f.path)) {
        minimal.as_object_mut().unwrap().remove(&field.path);
    }
    let defaults = reader::settings("defaults", minimal.to_string().as_bytes()).unwrap();
    assert_eq!(shown, defaults);
}

fn append_sources(directory: &Path, text: &mut String) {
    for entry in fs::read_dir(directory).unwrap().map(Result::unwrap) {
        match entry.path() {
            path if path.is_dir() => append_sources(&path, text),
            path => text.push_str(&fs::read_to_string(path).unwrap()),
        }
    }
}

/// Guards against alarms for metrics, codes or log lines that the node doesn't have,
/// and against links to pages that don't exist.
#[test]
fn pages_name_metrics_log_lines_and_pages_that_exist() {
    let mut code = String::new();
    append_sources(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src"), &mut code);
    let alarms = page("alarms");
    let (metrics, lines) = alarms.split_once("## Log lines").unwrap();
    let metrics = format!("{metrics}{}", page("reports-and-metrics"));
    let names = quoted(&metrics).filter_map(|text| text.strip_prefix("tamarackdock_"));
    for name in names.map(|name| name.split('{').next().unwrap()) {
        assert!(code.contains(&format!("\"tamarackdock_{name}\"")), "no metric `{name}`");
    }
    let codes = metrics.split("code=\"").skip(1).filter_map(|rest| rest.split('"').next());
    for known in codes.map(|code| Value::String(code.into())) {
        let code = serde_json::from_value::<tamarackdock_types::refusal::Code>(known.clone());
        assert!(code.is_ok(), "no code {known}");
    }
    let rows = lines.lines().filter(|line| line.starts_with("| `") || line.starts_with("| step"));
    let found = rows.filter_map(|row| quoted(row.split('|').nth(1)?).last());
    let count = found.inspect(|line| assert!(code.contains(*line), "no line `{line}`")).count();
    assert!(count > 3, "the table of log lines has another form");
    for name in PAGES.into_iter().chain(["README"]) {
        let text = page(name);
        for link in text.split("](").skip(1).filter_map(|rest| rest.split(')').next()) {
            assert!(root().join("docs/operators").join(link).exists(), "{name}: {link}");
        }
    }
}
