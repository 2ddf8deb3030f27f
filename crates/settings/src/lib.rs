//! Reads the settings of a process from an INI file. Each key is typed and checked. All errors are
//! reported at once, each with file, line, key and the expected value.

pub mod daemon;
pub mod reader;

pub use daemon::{DaemonSettings, IsolationPolicy, LogFormat};
pub use reader::{SettingError, SettingsErrors, SettingsReader};
