//! Decides where and when a request runs: the load picture of the backend servers, placing, queueing,
//! refusing, and the retry budget that all instances share.
//!
//! Pure: no sockets, no clock. The decisions answer the load that the project is for: at any moment
//! a part of the backend servers works several times slower, and which ones changes twice a second.

mod budget;
mod check_interval;
mod contention;
mod estimates;
mod placement;
mod processing;
mod queue;

pub use budget::{BudgetPolicy, RetryWindow};
pub use check_interval::check_interval;
pub use contention::ContentionCurve;
pub use estimates::{BackendState, ExchangeOutcome, LoadEstimates, LoadReport};
pub use placement::{
    ExpectedFinish, PlacementDecision, PlacementInputs, PlacementPolicy, RandomPlacement,
};
pub use processing::{ProcessingSample, ProcessingTimes};
pub use queue::{
    Placement, QueueDecision, QueueId, QueuePolicy, QueueRefusal, RefusalCause, RequestQueue,
    RequestSpec,
};
