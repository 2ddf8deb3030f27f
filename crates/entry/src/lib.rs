//! An entry instance: the data path between callers and backend servers, the operators' port and
//! the port for other instances, around the control state.

mod answer;
mod call;
mod caller_port;
mod control_thread;
mod headers;
mod idempotent;
mod instance;
mod local;
mod logging;
mod metrics;
mod once;
mod operator_port;
mod peer_port;
mod prober;
mod refuse;
mod report;
mod service;
mod traffic;

pub use instance::EntryInstance;
pub use logging::start_logging;
pub use traffic::TrafficState;
