//! Answers of the operators' port.

use crate::name::{ChangeId, InstanceName};
use crate::quantity::ConfigVersion;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Path to which operators post a batch of commands.
pub const COMMANDS_PATH: &str = "/v1/commands";
/// Path of the time line of one process.
pub const TIMELINE_PATH: &str = "/v1/timeline";
/// Path of the metrics.
pub const METRICS_PATH: &str = "/metrics";
/// Header with the id of a change, so that it can be sent again and asked for later.
pub const CHANGE_HEADER: &str = "lacewing-change-id";

/// Rows for a person or a program.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportTable {
    /// What the rows are.
    pub title: SmolStr,
    /// Names of the columns.
    pub columns: Vec<SmolStr>,
    /// Values, one for each column.
    pub rows: Vec<Vec<SmolStr>>,
}

/// What became of a batch of commands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum CommandAnswer {
    /// The answers to queries.
    Report {
        /// One for each query.
        tables: Vec<ReportTable>,
    },
    /// The text is no batch; nothing changed.
    Invalid {
        /// Where and why.
        error: SmolStr,
    },
    /// The change is not in the store and never will be.
    NotAccepted {
        /// Its id.
        id: ChangeId,
        /// Why.
        error: SmolStr,
    },
    /// The change is in the store; some instances did not confirm that it is in force there.
    Accepted {
        /// Its id.
        id: ChangeId,
        /// The version that holds it.
        version: ConfigVersion,
        /// Instances without confirmation.
        unconfirmed: Vec<InstanceName>,
    },
    /// The change is in force at every instance.
    InForceEverywhere {
        /// Its id.
        id: ChangeId,
        /// The version that holds it.
        version: ConfigVersion,
    },
    /// The store does not tell whether the change was written. Sending the batch again under the
    /// same id is safe.
    Undetermined {
        /// Its id.
        id: ChangeId,
        /// The last error.
        error: SmolStr,
    },
}
