use std::sync::Arc;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

const MAX_NAME_BYTES: usize = 64;

/// The reason why a string is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum NameError {
    /// The string has no characters.
    #[display("a name must not be empty")]
    Empty,
    /// The string is longer than a name may be.
    #[display("a name has at most {MAX_NAME_BYTES} bytes, this one has {bytes}")]
    TooLong {
        /// Length of the rejected string in bytes.
        bytes: usize,
    },
    /// The string has a character that names exclude, since names appear in
    /// URL paths and table keys.
    #[display("`{found}` is not allowed in a name; use a-z, 0-9, `-`, `_` and `.`")]
    Character {
        /// First character that is not allowed.
        found: char,
    },
}

fn check(value: &str) -> Result<(), NameError> {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
    match value.chars().find(|c| !allowed(*c)) {
        _ if value.is_empty() => Err(NameError::Empty),
        _ if value.len() > MAX_NAME_BYTES => Err(NameError::TooLong { bytes: value.len() }),
        Some(found) => Err(NameError::Character { found }),
        None => Ok(()),
    }
}

macro_rules! name {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $type(Arc<str>);

        impl $type {
            /// Creates a name after checking the string.
            ///
            /// # Errors
            ///
            /// Returns [`NameError`] if the string is empty, too long or
            /// has a character that names exclude.
            pub fn new(value: &str) -> Result<Self, NameError> {
                check(value)?;
                Ok(Self(value.into()))
            }

            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $type {
            type Error = NameError;

            fn try_from(value: String) -> Result<Self, NameError> {
                Self::new(&value)
            }
        }

        impl From<$type> for String {
            fn from(name: $type) -> Self {
                name.0.as_ref().into()
            }
        }
    };
}

name!(
    /// Name of a client account, the tenant to which a key belongs.
    AccountName
);
name!(
    /// Name of a target: a model engine or an instance of a plain service.
    TargetName
);
name!(
    /// Name of a data centre.
    DataCentreName
);
name!(
    /// Name of a trainer.
    TrainerName
);
name!(
    /// Name of a service: a model or a plain service, with several targets.
    ServiceName
);
name!(
    /// Name of a host that runs a node.
    HostName
);
