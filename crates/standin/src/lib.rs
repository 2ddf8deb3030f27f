//! Small stand-ins for the outside systems, for tests, benches and the demo: the platform's
//! key-value service and a backend server, both with switches for the faults they can have.

pub mod backend;
pub mod ledger;
pub mod store;
pub mod store_state;

pub use backend::{BackendSettings, BackendSettingsBuilder, StandinBackend};
pub use ledger::{LedgerReport, RunLedger};
pub use store::StandinStore;
pub use store_state::StoreFaults;
