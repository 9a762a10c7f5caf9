use std::collections::BTreeMap;

use jsonc_parser::ast::Value;

use super::{
    ProblemKind,
    validator::{Validator, list},
};

const LISTS: [&str; 5] = ["services", "accounts", "trainers", "data_centres", "targets"];

/// Reports names that are used twice in a list and key hashes that are listed twice.
pub(crate) fn check(validator: &mut Validator<'_>, root: &Value<'_>) {
    for name in LISTS {
        check_names(validator, root, name);
    }
    check_keys(validator, root);
}

fn check_names(validator: &mut Validator<'_>, root: &Value<'_>, name: &str) {
    let mut first = BTreeMap::new();
    for item in list(root, "", name).iter().filter_map(|item| item.field("name")) {
        let Some(text) = item.text() else { continue };
        match first.get(text) {
            Some(path) => {
                let kind =
                    ProblemKind::DuplicateName { name: text.into(), first: String::clone(path) };
                validator.add_problem(&item, kind);
            }
            None => drop(first.insert(text, item.path)),
        }
    }
}

fn check_keys(validator: &mut Validator<'_>, root: &Value<'_>) {
    let mut first = BTreeMap::new();
    for account in list(root, "", "accounts") {
        for key in list(account.value, &account.path, "keys") {
            // The hash is parsed without regard to the case of its digits.
            let Some(text) = key.text().map(str::to_ascii_lowercase) else { continue };
            match first.get(&text) {
                Some(path) => {
                    validator.add_problem(
                        &key,
                        ProblemKind::DuplicateKey { first: String::clone(path) },
                    );
                }
                None => drop(first.insert(text, key.path)),
            }
        }
    }
}
