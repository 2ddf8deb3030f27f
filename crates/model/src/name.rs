//! Typed names. Each is a short text with its own alphabet, so that one cannot stand for another.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::fmt;
use std::str::FromStr;

/// Longest accepted name, in bytes.
pub const NAME_MAX_BYTES: usize = 64;
/// Longest accepted route prefix, in bytes.
pub const ROUTE_MAX_BYTES: usize = 256;

/// Why a text is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ParseNameError {
    /// The text is empty.
    Empty,
    /// The text is longer than the limit, given in bytes.
    TooLong(usize),
    /// The character is not allowed in this kind of name.
    BadCharacter(char),
    /// A route prefix must start with a slash.
    NoLeadingSlash,
}

impl fmt::Display for ParseNameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => write!(f, "expected a name, found an empty text"),
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
            /// The name as text.
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
    /// Names a service that operators created.
    ServiceName, check_name
);
text_name!(
    /// Names a backend server within its service.
    ServerName, check_name
);
text_name!(
    /// Names an entry instance.
    InstanceName, check_name
);
text_name!(
    /// Names a data centre.
    DataCentre, check_name
);
text_name!(
    /// Names a caller, the unit of equal treatment.
    CallerName, check_name
);
text_name!(
    /// Identifies one change of the configuration, also after a lost reply.
    ChangeId, check_name
);
text_name!(
    /// Identifies one request over all processes that handle it.
    RequestId, check_name
);
text_name!(
    /// The first part of a request's path, to which a rule applies.
    RoutePrefix, check_route
);
