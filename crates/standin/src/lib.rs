//! Stand-ins for external systems in tests, benches and the demo: the platform's key-value service
//! and a backend server, both with faults that can be switched on.

pub mod backend;
pub mod ledger;
pub mod store;
pub mod store_state;

pub use backend::{BackendSettings, BackendSettingsBuilder, StandinBackend};
pub use ledger::{LedgerReport, RunLedger};
pub use store::StandinStore;
pub use store_state::StoreFaults;
