//! Decides where and when a request runs: the load picture of the backend servers, placing, queueing,
//! refusing, and the retry budget that all instances share.
//!
//! Pure: no sockets, no clock. The decisions answer the load that the project is for: at any moment
//! a part of the backend servers works several times slower, and which ones changes twice a second.

mod budget;
mod check_pace;
mod crowding;
mod picture;
mod placing;
mod queue;
mod work;

pub use budget::{BudgetPolicy, RetryWindow};
pub use check_pace::check_span;
pub use crowding::CrowdingCurve;
pub use picture::{BackendState, ExchangeOutcome, LoadPicture, LoadReport};
pub use placing::{BlindRule, ExpectedFinish, PlacingInputs, PlacingRule, PlacingVerdict};
pub use queue::{
    Placement, QueueDecision, QueuePolicy, RequestPlace, RequestQueue, RequestSpec, TurnAway,
    TurnAwayCause,
};
pub use work::{WorkMemory, WorkSample};
