//! Settings of a process from an INI file. Each key is typed and checked, and all errors are told
//! at once with file, line, key and what was expected.

pub mod daemon;
pub mod reader;

pub use daemon::{DaemonSettings, IsolationPolicy, LogFormat};
pub use reader::{SettingError, SettingsErrors, SettingsReader};
