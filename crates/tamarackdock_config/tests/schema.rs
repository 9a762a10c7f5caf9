//! Comparison of the JSON Schemas in `docs/schema/` with the reader.

use std::collections::BTreeMap;

use serde_json::{Value, json};
use tamarackdock_config::reader::{self, FieldDescription, Problem, ProblemKind, Report};

/// A file format with its schema, the reader's fields, and a valid file with all lists, in which
/// only the required fields are given.
struct Format {
    schema: Value,
    fields: Vec<FieldDescription>,
    base: Value,
    read: fn(&[u8]) -> Result<Value, Report>,
}

fn schema(text: &str) -> Value {
    serde_json::from_str(text).unwrap()
}

fn deployment() -> Format {
    Format {
        schema: schema(include_str!("../../../docs/schema/deployment.schema.json")),
        fields: reader::deployment_fields(),
        base: json!({
            "services": [{"name": "m", "kind": "model"}],
            "accounts": [{"name": "a", "keys": ["00".repeat(32)], "services": ["m"]}],
            "trainers": [{"name": "t", "account": "a", "service": "m", "staleness_bound": 1}],
            "data_centres": [{"name": "d", "region": "r"}],
            "targets": [{"name": "e", "service": "m", "data_centre": "d", "address": "10.0.0.9:9000"}],
            "limits": {},
        }),
        read: |bytes| {
            reader::deployment("d", bytes).map(|read| serde_json::to_value(read).unwrap())
        },
    }
}

fn settings() -> Format {
    Format {
        schema: schema(include_str!("../../../docs/schema/settings.schema.json")),
        fields: reader::settings_fields(),
        base: json!({
            "host": "h", "data_centre": "d", "caller_address": "10.0.0.9:1", "log": {},
            "operator_address": "10.0.0.9:2", "peer_address": "10.0.0.9:3",
            "platform_address": "10.0.0.9:4", "policy": {},
        }),
        read: |bytes| reader::settings("s", bytes).map(|read| serde_json::to_value(read).unwrap()),
    }
}

impl Format {
    fn resolve(&self, node: &Value) -> Value {
        let Some(name) = node["$ref"].as_str() else { return node.clone() };
        self.schema.pointer(name.trim_start_matches('#')).unwrap().clone()
    }

    /// Returns the fields of the schema, each with its own schema.
    fn schema_fields(&self) -> BTreeMap<FieldDescription, Value> {
        let mut all = BTreeMap::new();
        self.collect_object(&self.schema, "", &mut all);
        all
    }

    fn collect_object(
        &self,
        node: &Value,
        path: &str,
        all: &mut BTreeMap<FieldDescription, Value>,
    ) {
        assert_eq!(node["additionalProperties"], false, "`{path}` admits unknown fields");
        for (name, property) in node["properties"].as_object().unwrap() {
            let required =
                node["required"].as_array().is_some_and(|list| list.contains(&json!(name)));
            let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
            self.collect_value(property, path, required, all);
        }
    }

    fn collect_value(
        &self,
        node: &Value,
        path: String,
        required: bool,
        all: &mut BTreeMap<FieldDescription, Value>,
    ) {
        let node = self.resolve(node);
        let is_leaf = node["type"] != "object" && node["type"] != "array";
        match node["type"].as_str() {
            Some("object") => self.collect_object(&node, &path, all),
            Some("array") => self.collect_value(&node["items"], format!("{path}[]"), false, all),
            _ => {}
        }
        all.insert(FieldDescription { path, required, is_leaf }, node);
    }

    /// Returns the problem that the reader reports at a field with the given value, if any.
    fn problem(&self, path: &str, value: &Value) -> Option<String> {
        let path = path.replace("[]", "[0]");
        let pointer = format!("/{}", path.replace('[', "/").replace(']', "").replace('.', "/"));
        let mut file = self.base.clone();
        let (parent, name) = pointer.rsplit_once('/').unwrap();
        match file.pointer_mut(parent).unwrap() {
            Value::Array(list) => list[name.parse::<usize>().unwrap()] = value.clone(),
            parent => parent[name] = value.clone(),
        }
        let report = (self.read)(file.to_string().as_bytes()).err()?;
        let is_own = |problem: &&Problem| {
            // A schema can't express rules between fields.
            let between = matches!(
                problem.kind,
                ProblemKind::Reference { .. } | ProblemKind::EqualPorts { .. }
            );
            problem.path == path && !between
        };
        report.problems().iter().find(is_own).map(ToString::to_string)
    }

    fn accepts(&self, path: &str, value: &Value) {
        assert_eq!(self.problem(path, value), None, "the reader refuses {value}");
    }

    fn refuses(&self, path: &str, value: &Value) {
        assert!(self.problem(path, value).is_some(), "the reader accepts {value} for `{path}`");
    }

    fn compare_leaf(&self, path: &str, leaf: &Value) {
        match leaf["type"].as_str() {
            None => self.compare_variants(path, leaf["enum"].as_array().unwrap()),
            Some("boolean") => {
                self.accepts(path, &json!(true));
                self.refuses(path, &json!(1));
            }
            Some("string") => self.compare_text(path, leaf),
            Some(kind) => self.compare_number(path, leaf, kind == "integer"),
        }
    }

    fn compare_variants(&self, path: &str, variants: &[Value]) {
        let problem = self.problem(path, &json!("~")).unwrap();
        let listed = problem.split_once("expected ").unwrap().1.split_once(';').unwrap().0;
        let known: Vec<_> = listed.split('`').skip(1).step_by(2).collect();
        assert_eq!(json!(known), json!(variants), "variants of `{path}`");
    }

    fn compare_text(&self, path: &str, leaf: &Value) {
        self.refuses(path, &json!(1));
        let examples = leaf["examples"].as_array().into_iter().flatten();
        examples.for_each(|example| self.accepts(path, example));
        if leaf["pattern"].is_string() {
            self.refuses(path, &json!("Not valid!"));
        } else {
            self.accepts(path, &json!("Not valid!"));
        }
    }

    fn compare_number(&self, path: &str, leaf: &Value, is_integer: bool) {
        let least = leaf["minimum"].as_i64().unwrap();
        self.refuses(path, &json!("1"));
        self.accepts(path, &json!(least));
        self.refuses(path, &json!(least - 1));
        match leaf["maximum"].as_i64() {
            Some(most) => {
                self.accepts(path, &json!(most));
                self.refuses(path, &json!(most + 1));
            }
            None => self.accepts(path, &json!(1_u64 << 40)),
        }
        if is_integer {
            self.refuses(path, &json!(1.5));
        } else {
            self.accepts(path, &json!(0.5));
        }
    }

    fn compare(&self) {
        let schema_fields = self.schema_fields();
        let mut fields = self.fields.clone();
        fields.sort();
        assert_eq!(schema_fields.keys().cloned().collect::<Vec<_>>(), fields);
        let defaults = (self.read)(self.base.to_string().as_bytes()).unwrap();
        for (entry, leaf) in schema_fields.iter().filter(|(entry, _)| entry.is_leaf) {
            self.compare_leaf(&entry.path, leaf);
            let pointer = format!("/{}", entry.path.replace("[]", "/0").replace('.', "/"));
            if !entry.required && !entry.path.ends_with(']') {
                assert_eq!(Some(&leaf["default"]), defaults.pointer(&pointer), "{}", entry.path);
            }
        }
    }
}

/// Guards against a published schema that lacks a field of the reader or describes it
/// with other values, bounds or defaults.
#[test]
fn schemas_describe_what_the_reader_accepts() {
    deployment().compare();
    settings().compare();
}
