//! The HTTP gateway: an instance that accepts requests of callers, selects their route and backend
//! server, and serves a directory of the addresses where callers should connect. Does the I/O
//! around the pure crates `routing`, `fleet` and `balance`.
//!
//! All tasks run on one thread: an instance has a fifth of a core, and its memory is scarce.

mod binding;
mod caller_port;
mod caller_stream;
mod change_relay;
mod decision_log;
mod exchange;
mod fleet_state;
mod gateway;
mod health_check;
mod heartbeats;
mod limit_reports;
mod metrics;
mod notices;
mod peer_link;
mod peer_port;
mod port;
mod preview;
mod quota_reports;
mod records;
mod registration;
mod repeat_limit;
mod serve;
mod settings_file;
mod side_port;
mod slots;
mod state;
mod stop;
mod store_sync;
mod supervise;
mod teams;
mod trips;

pub use binding::{HeaderNames, WireBinding};
pub use gateway::{GatewayParts, gateway_runtime, run_gateway, run_gateway_until};
pub use repeat_limit::RepeatLimit;
pub use settings_file::{GatewaySettings, read_settings};
pub use stop::{ProcessSignals, StopPlan};
