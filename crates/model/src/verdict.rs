//! The verdict on a request: whether a backend server may have run it.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// Whether a backend server ran a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunVerdict {
    /// A backend server ran the request and sent a complete response.
    Ran,
    /// No backend server ran the request, and none will.
    NotRun,
    /// It is unknown whether a backend server ran the request; the request is not sent again.
    MayHaveRun,
}

impl RunVerdict {
    /// Returns the text of the verdict in headers and reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
        }
    }
}

impl fmt::Display for RunVerdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The error for a text that is none of the three verdicts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseVerdictError;

impl fmt::Display for ParseVerdictError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("expected ran, not-run or may-have-run")
    }
}

impl std::error::Error for ParseVerdictError {}

impl FromStr for RunVerdict {
    type Err = ParseVerdictError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "ran" => Ok(Self::Ran),
            "not-run" => Ok(Self::NotRun),
            "may-have-run" => Ok(Self::MayHaveRun),
            _ => Err(ParseVerdictError),
        }
    }
}
