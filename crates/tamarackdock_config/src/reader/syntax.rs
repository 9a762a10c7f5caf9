use jsonc_parser::{CollectOptions, ParseOptions, ast, parse_to_ast};
use serde_json::Value;

use super::{MAX_FILE_BYTES, Position, Problem, ProblemKind};

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

fn problem(position: Position, kind: ProblemKind) -> Problem {
    Problem { position, path: String::new(), kind }
}

/// Checks the size and the encoding of a file and returns its text.
pub(crate) fn decode(bytes: &[u8]) -> Result<&str, Problem> {
    if bytes.len() > MAX_FILE_BYTES {
        let kind = ProblemKind::FileSize { bytes: bytes.len(), max: MAX_FILE_BYTES };
        return Err(problem(Position::default(), kind));
    }
    std::str::from_utf8(bytes).map_err(|error| {
        let valid = String::from_utf8_lossy(&bytes[..error.valid_up_to()]);
        let position = Position::find(&valid, &Position::line_starts(&valid), valid.len());
        problem(position, ProblemKind::Encoding)
    })
}

/// Parses the text of a file.
pub(crate) fn parse(text: &str) -> Result<ast::Value<'_>, Problem> {
    let parsed = parse_to_ast(text, &CollectOptions::default(), &OPTIONS).map_err(|error| {
        let position = Position { line: error.line_display(), column: error.column_display() };
        problem(position, ProblemKind::Syntax { detail: error.kind().to_string() })
    })?;
    let missing = || problem(Position::default(), ProblemKind::Type { expected: "an object" });
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
