//! Paths, headers and response bodies of the operators' port.

use crate::name::{ChangeId, InstanceName};
use crate::quantity::ConfigVersion;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Path for posting a batch of commands.
pub const COMMANDS_PATH: &str = "/v1/commands";
/// Path of the timeline of one process.
pub const TIMELINE_PATH: &str = "/v1/timeline";
/// Path of the metrics in the Prometheus text format.
pub const METRICS_PATH: &str = "/metrics";
/// Header with the id of a change. Under this id the change can be sent again and its outcome
/// looked up.
pub const CHANGE_HEADER: &str = "lacewing-change-id";

/// A table of a report, readable by people and programs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportTable {
    /// Heading of the table.
    pub title: SmolStr,
    /// Names of the columns.
    pub columns: Vec<SmolStr>,
    /// Rows, each with one value for each column.
    pub rows: Vec<Vec<SmolStr>>,
}

/// The outcome of a batch of commands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum CommandResponse {
    /// The results of the queries.
    Report {
        /// One table for each query.
        tables: Vec<ReportTable>,
    },
    /// The text is not a valid batch; nothing was changed.
    Invalid {
        /// Position and reason of the error.
        error: SmolStr,
    },
    /// The change was rejected; it is not in the store and will not be written.
    NotAccepted {
        /// Id of the change.
        id: ChangeId,
        /// Reason of the rejection.
        error: SmolStr,
    },
    /// The change is in the store, but some instances have not confirmed that it is in force there.
    Accepted {
        /// Id of the change.
        id: ChangeId,
        /// First configuration version that contains the change.
        version: ConfigVersion,
        /// Instances that have not confirmed the version.
        unconfirmed: Vec<InstanceName>,
    },
    /// The change is in force at every instance.
    InForceEverywhere {
        /// Id of the change.
        id: ChangeId,
        /// First configuration version that contains the change.
        version: ConfigVersion,
    },
    /// It is unknown whether the store wrote the change. The batch can safely be sent again under
    /// the same id.
    Undetermined {
        /// Id of the change.
        id: ChangeId,
        /// Last error of the attempts to write the change.
        error: SmolStr,
    },
}
