//! An entry instance: the data path between callers and backend servers, the operators' port, the
//! port for other instances, and the thread that runs the control state.

mod caller_port;
mod control_thread;
mod headers;
mod idempotent;
mod instance;
mod local;
mod logging;
mod metrics;
mod non_idempotent;
mod operator_port;
mod peer_port;
mod prober;
mod refuse;
mod report;
mod request;
mod response;
mod service;
mod traffic;

pub use instance::EntryInstance;
pub use logging::start_logging;
pub use traffic::TrafficState;
