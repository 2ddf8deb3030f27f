//! Typed names. Each kind is a type of its own with a limited length and character set, which keeps
//! names of different kinds from being confused.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::fmt;
use std::str::FromStr;

/// Longest accepted name, in bytes.
pub const NAME_MAX_BYTES: usize = 64;
/// Longest accepted route prefix, in bytes.
pub const ROUTE_MAX_BYTES: usize = 256;

/// The error for a text that is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ParseNameError {
    /// The text is empty.
    Empty,
    /// The text is longer than this limit in bytes.
    TooLong(usize),
    /// The text contains this character, which the kind of name does not allow.
    BadCharacter(char),
    /// The text is to be a route prefix and does not start with a slash.
    NoLeadingSlash,
}

impl fmt::Display for ParseNameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => write!(f, "expected a name, found an empty string"),
            Self::TooLong(limit) => write!(f, "expected at most {limit} bytes"),
            Self::BadCharacter(found) => {
                write!(f, "expected letters, digits, '-', '_' or '.', found {found:?}")
            }
            Self::NoLeadingSlash => write!(f, "expected a route that starts with '/'"),
        }
    }
}

impl std::error::Error for ParseNameError {}

fn check_name(text: &str) -> Result<(), ParseNameError> {
    if text.is_empty() {
        return Err(ParseNameError::Empty);
    }
    if text.len() > NAME_MAX_BYTES {
        return Err(ParseNameError::TooLong(NAME_MAX_BYTES));
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    match text.chars().find(|c| !allowed(*c)) {
        Some(found) => Err(ParseNameError::BadCharacter(found)),
        None => Ok(()),
    }
}

fn check_route(text: &str) -> Result<(), ParseNameError> {
    if !text.starts_with('/') {
        return Err(ParseNameError::NoLeadingSlash);
    }
    if text.len() > ROUTE_MAX_BYTES {
        return Err(ParseNameError::TooLong(ROUTE_MAX_BYTES));
    }
    match text.chars().find(|c| !c.is_ascii_graphic()) {
        Some(found) => Err(ParseNameError::BadCharacter(found)),
        None => Ok(()),
    }
}

macro_rules! text_name {
    ($(#[$doc:meta])* $name:ident, $check:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "SmolStr", into = "SmolStr")]
        pub struct $name(SmolStr);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseNameError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                $check(text)?;
                Ok(Self(SmolStr::new(text)))
            }
        }

        impl TryFrom<SmolStr> for $name {
            type Error = ParseNameError;

            fn try_from(text: SmolStr) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$name> for SmolStr {
            fn from(name: $name) -> Self {
                name.0
            }
        }
    };
}

text_name!(
    /// Name of a service.
    ServiceName, check_name
);
text_name!(
    /// Name of a backend server, unique within its service.
    ServerName, check_name
);
text_name!(
    /// Name of an instance.
    InstanceName, check_name
);
text_name!(
    /// Name of a data centre.
    DataCentre, check_name
);
text_name!(
    /// Name of a team, whose callers prove by a key that they belong to it.
    TeamName, check_name
);
text_name!(
    /// Name of a caller. Waiting requests are served fairly between callers.
    CallerName, check_name
);
text_name!(
    /// Id of a configuration change, chosen by the operator. The outcome of the change can be
    /// looked up by it after a lost reply.
    ChangeId, check_name
);
text_name!(
    /// Id of a request, the same in all processes that handle it.
    RequestId, check_name
);
text_name!(
    /// Prefix of the request paths to which a rule applies; starts with a slash.
    RoutePrefix, check_route
);
