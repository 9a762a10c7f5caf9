use jsonc_parser::{CollectOptions, ParseOptions, ast, parse_to_ast};
use serde_json::Value;

use super::{Fault, MAX_FILE_BYTES, Place, Problem};

/// Options for strict JSON with comments and trailing commas. The parser
/// itself refuses more than 512 levels of nesting.
const OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

fn problem(place: Place, fault: Fault) -> Problem {
    Problem { place, path: String::new(), fault }
}

/// Checks the size and the encoding of a file and returns its text.
pub(crate) fn decode(bytes: &[u8]) -> Result<&str, Problem> {
    if bytes.len() > MAX_FILE_BYTES {
        let fault = Fault::FileSize { bytes: bytes.len(), max: MAX_FILE_BYTES };
        return Err(problem(Place::default(), fault));
    }
    std::str::from_utf8(bytes).map_err(|error| {
        let valid = String::from_utf8_lossy(&bytes[..error.valid_up_to()]);
        let place = Place::find(&valid, &Place::line_starts(&valid), valid.len());
        problem(place, Fault::Encoding)
    })
}

/// Parses the text of a file.
pub(crate) fn parse(text: &str) -> Result<ast::Value<'_>, Problem> {
    let parsed = parse_to_ast(text, &CollectOptions::default(), &OPTIONS).map_err(|error| {
        let place = Place { line: error.line_display(), column: error.column_display() };
        problem(place, Fault::Syntax { detail: error.kind().to_string() })
    })?;
    let missing = || problem(Place::default(), Fault::Type { expected: "an object" });
    parsed.value.ok_or_else(missing)
}

/// Converts a parsed value. The parser bounds the depth of the recursion.
pub(crate) fn to_json(value: &ast::Value<'_>) -> Value {
    match value {
        ast::Value::StringLit(text) => Value::String(text.value.as_ref().into()),
        ast::Value::NumberLit(number) => serde_json::from_str(number.value)
            .unwrap_or_else(|_| Value::String(number.value.into())),
        ast::Value::BooleanLit(boolean) => Value::Bool(boolean.value),
        ast::Value::Object(object) => {
            let fields = object.properties.iter();
            Value::Object(fields.map(|f| (f.name.as_str().into(), to_json(&f.value))).collect())
        }
        ast::Value::Array(array) => Value::Array(array.elements.iter().map(to_json).collect()),
        ast::Value::NullKeyword(_) => Value::Null,
    }
}
