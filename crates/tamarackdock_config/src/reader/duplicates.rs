use std::collections::BTreeMap;

use jsonc_parser::ast::Value;

use super::{
    Fault,
    walk::{Walk, list},
};

const LISTS: [&str; 5] = ["services", "accounts", "trainers", "data_centres", "targets"];

/// Reports names used twice in a list and key hashes listed twice.
pub(crate) fn check(walk: &mut Walk<'_>, root: &Value<'_>) {
    for name in LISTS {
        names(walk, root, name);
    }
    keys(walk, root);
}

fn names(walk: &mut Walk<'_>, root: &Value<'_>, name: &str) {
    let mut first = BTreeMap::new();
    for item in list(root, "", name).iter().filter_map(|item| item.field("name")) {
        let Some(text) = item.text() else { continue };
        match first.get(text) {
            Some(path) => {
                let fault = Fault::DuplicateName { name: text.into(), first: String::clone(path) };
                walk.fault_at(&item, fault);
            }
            None => drop(first.insert(text, item.path)),
        }
    }
}

fn keys(walk: &mut Walk<'_>, root: &Value<'_>) {
    let mut first = BTreeMap::new();
    for account in list(root, "", "accounts") {
        for key in list(account.value, &account.path, "keys") {
            // The hash is read without regard to the case of its digits.
            let Some(text) = key.text().map(str::to_ascii_lowercase) else { continue };
            match first.get(&text) {
                Some(path) => {
                    walk.fault_at(&key, Fault::DuplicateKey { first: String::clone(path) });
                }
                None => drop(first.insert(text, key.path)),
            }
        }
    }
}
