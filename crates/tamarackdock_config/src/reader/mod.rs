//! Reads settings and deployment files: JSON with comments and trailing
//! commas. All problems of a file are reported together, except that a file with
//! a syntax error leads to that error only.

mod duplicates;
mod field_description;
mod position;
mod problem;
mod references;
mod report;
mod schema;
mod settings_checks;
mod shape;
mod syntax;
mod validator;
mod values;

#[cfg(test)]
mod tests;

use serde::de::DeserializeOwned;

pub use field_description::FieldDescription;
pub use position::Position;
pub use problem::{Problem, ProblemKind};
pub use report::Report;

use crate::{Deployment, Settings};
use validator::Validator;

/// Size in bytes of the largest file that is read, so that a wrong path can't exhaust
/// the memory of the process.
pub const MAX_FILE_BYTES: usize = 16 << 20;

/// Reads the shared configuration of a deployment.
///
/// # Errors
///
/// Returns a [`Report`] with every problem that was found.
pub fn deployment(file: &str, bytes: &[u8]) -> Result<Deployment, Report> {
    read(file, bytes, schema::DEPLOYMENT, |validator, root| {
        duplicates::check(validator, root);
        references::check(validator, root);
        values::check(validator, root);
    })
}

/// Reads the settings of one process.
///
/// # Errors
///
/// Returns a [`Report`] with every problem that was found.
pub fn settings(file: &str, bytes: &[u8]) -> Result<Settings, Report> {
    read(file, bytes, schema::SETTINGS, settings_checks::check)
}

/// Lists the fields of a deployment file.
#[must_use]
pub fn deployment_fields() -> Vec<FieldDescription> {
    field_description::entries(schema::DEPLOYMENT)
}

/// Lists the fields of a settings file.
#[must_use]
pub fn settings_fields() -> Vec<FieldDescription> {
    field_description::entries(schema::SETTINGS)
}

fn read<T: DeserializeOwned>(
    file: &str,
    bytes: &[u8],
    fields: &'static [shape::Field],
    checks: impl FnOnce(&mut Validator<'_>, &jsonc_parser::ast::Value<'_>),
) -> Result<T, Report> {
    let fail = |problems| Report::new(file, problems);
    let text = syntax::decode(bytes).map_err(|problem| fail(vec![problem]))?;
    let root = syntax::parse(text).map_err(|problem| fail(vec![problem]))?;
    let mut validator = Validator::new(text);
    validator.check_object(&root, "", fields);
    checks(&mut validator, &root);
    let problems = validator.finish();
    if !problems.is_empty() {
        return Err(fail(problems));
    }
    serde_json::from_value(syntax::to_json(&root)).map_err(|error| {
        let kind = ProblemKind::Value { detail: error.to_string() };
        fail(vec![Problem { position: Position::default(), path: String::new(), kind }])
    })
}
