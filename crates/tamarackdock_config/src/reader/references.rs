use std::collections::BTreeSet;

use jsonc_parser::ast::Value;

use super::{
    ProblemKind,
    validator::{Item, Validator, field, list},
};

/// Fields that name an element of another list, as list, field and referenced list.
const REFERENCES: [(&str, &str, &str); 4] = [
    ("trainers", "account", "accounts"),
    ("trainers", "service", "services"),
    ("targets", "service", "services"),
    ("targets", "data_centre", "data_centres"),
];

/// Reports references to services, accounts and data centres that don't exist.
pub(crate) fn check(validator: &mut Validator<'_>, root: &Value<'_>) {
    for (from, name, to) in REFERENCES {
        let items = list(root, "", from);
        let found = items.iter().filter_map(|item| item.field(name));
        check_references(validator, root, found, to);
    }
    let accounts = list(root, "", "accounts");
    let services = accounts.iter().flat_map(|item| list(item.value, &item.path, "services"));
    check_references(validator, root, services, "services");
}

fn check_references<'a, 'b>(
    validator: &mut Validator<'_>,
    root: &Value<'_>,
    found: impl Iterator<Item = Item<'a, 'b>>,
    to: &'static str,
) where
    'a: 'b,
{
    // If the field isn't a list, that is reported already; failed references would only repeat
    // it.
    if field(root, "", to).is_some_and(|item| item.value.as_array().is_none()) {
        return;
    }
    let items = list(root, "", to);
    let names: BTreeSet<_> =
        items.iter().filter_map(|item| item.field("name")?.text().map(str::to_owned)).collect();
    for item in found {
        let Some(name) = item.text() else { continue };
        if !names.contains(name) {
            validator.add_problem(&item, ProblemKind::Reference { name: name.into(), list: to });
        }
    }
}
