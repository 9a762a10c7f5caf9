use derive_more::{Display, Error};

use super::Position;

/// What is wrong at one position of a file.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum ProblemKind {
    /// The file is larger than [`super::MAX_FILE_BYTES`].
    #[display("the file has {bytes} bytes; a file has at most {max}")]
    FileSize {
        /// Size of the file in bytes.
        bytes: usize,
        /// Largest allowed size in bytes.
        max: usize,
    },
    /// The file isn't UTF-8.
    #[display("the file is not UTF-8 here")]
    Encoding,
    /// The file isn't valid JSON with comments.
    #[display("the file is not JSON: {detail}")]
    Syntax {
        /// Error message of the parser.
        detail: String,
    },
    /// A value of another JSON type is required.
    #[display("{expected} is required here")]
    Type {
        /// Required type, with its article.
        expected: &'static str,
    },
    /// A value doesn't fit its field.
    #[display("the value does not fit: {detail}")]
    Value {
        /// Error message of the field's type.
        detail: String,
    },
    /// A required field is missing.
    #[display("the field `{field}` is missing")]
    Missing {
        /// Name of the field.
        field: &'static str,
    },
    /// The field doesn't exist.
    #[display("the field `{field}` is unknown")]
    Unknown {
        /// Name as written in the file.
        field: String,
        /// Names of the fields that exist.
        known: Vec<&'static str>,
    },
    /// The field is given more than once.
    #[display("the field `{field}` is given more than once")]
    Repeated {
        /// Name of the field.
        field: String,
    },
    /// A name is used twice in its list.
    #[display("the name `{name}` is already used at `{first}`")]
    DuplicateName {
        /// Name that is used twice.
        name: String,
        /// Path of the first use.
        first: String,
    },
    /// A key hash is listed twice, so that the account of a call would be ambiguous.
    #[display("the same key hash is already listed at `{first}`")]
    DuplicateKey {
        /// Path of the first use.
        first: String,
    },
    /// A name refers to an element that does not exist.
    #[display("`{name}` is not listed in `{list}`")]
    Reference {
        /// Name as written in the file.
        name: String,
        /// List that should contain the name.
        list: &'static str,
    },
    /// A number must not be zero.
    #[display("the value must not be 0")]
    Zero,
    /// A ratio is not between 0 and 1.
    #[display("the ratio must be between 0 and 1")]
    Ratio,
    /// A target would get more calls when cold than when warm.
    #[display("`cold_capacity` is larger than `capacity`")]
    ColdAboveWarm,
    /// A target's address has port 0.
    #[display("the port must not be 0")]
    PortZero,
    /// Two addresses to listen on have the same port.
    #[display("port {port} is already used by `{first}`")]
    EqualPorts {
        /// Port that is used twice.
        port: u16,
        /// Field that uses the port first.
        first: &'static str,
    },
}

impl ProblemKind {
    /// Returns what the operator can do to correct the problem.
    #[must_use]
    pub fn remedy(&self) -> String {
        match self {
            Self::FileSize { .. } => "check the path of the file".into(),
            Self::Encoding => "save the file as UTF-8".into(),
            Self::Syntax { .. } => {
                "correct the syntax; comments and trailing commas are allowed".into()
            }
            Self::Type { expected } => format!("write {expected}"),
            Self::Value { .. } => "correct the value".into(),
            Self::Missing { field } => format!("add `{field}`"),
            Self::Unknown { known, .. } => {
                format!("remove it or use one of `{}`", known.join("`, `"))
            }
            Self::Repeated { .. } => "remove all but one".into(),
            Self::DuplicateName { .. } => "choose another name".into(),
            Self::DuplicateKey { .. } => "issue a new key for one of the two".into(),
            Self::Reference { name, list } => {
                format!("add `{name}` to `{list}` or correct the name")
            }
            Self::Zero => "use 1 or more".into(),
            Self::Ratio => "use a number from 0 to 1, such as 0.1".into(),
            Self::ColdAboveWarm => "lower `cold_capacity` or raise `capacity`".into(),
            Self::PortZero => "write the port on which the target listens".into(),
            Self::EqualPorts { .. } => "use a different port for each address".into(),
        }
    }
}

/// One problem with its position in the file.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{position}: {}", printable(&format!("{}{kind}; {}", prefix(path), kind.remedy())))]
pub struct Problem {
    /// Position of the value, of the field's name, or of the object that lacks a field.
    pub position: Position,
    /// Path of the value, such as `targets[2].service`, or empty for the whole file.
    pub path: String,
    /// What is wrong.
    pub kind: ProblemKind,
}

fn prefix(path: &str) -> String {
    if path.is_empty() { String::new() } else { format!("`{path}`: ") }
}

/// Replaces control characters, which names from the file may contain and which
/// would break the lines of the report.
fn printable(text: &str) -> String {
    text.chars().map(|c| if c.is_control() { char::REPLACEMENT_CHARACTER } else { c }).collect()
}
