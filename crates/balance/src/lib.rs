//! Decides when and where a request runs: load estimates of the backend servers, placement,
//! queueing, refusal, and the retry budget that all instances share.
//!
//! The crate uses no sockets and no clock. At any moment some backend servers are several times
//! slower than the rest, and a server's slowdown changes about twice a second; the decisions take
//! both into account.

mod budget;
mod check_interval;
mod contention;
mod demand;
mod estimates;
mod fair_share;
mod outflow;
mod placement;
mod processing;
mod queue;
mod quota;
mod rate_limit;
mod reach;
mod shared_rate;

pub use budget::{BudgetPolicy, ExtraAccount, RetryWindow, ShareClaim};
pub use check_interval::check_interval;
pub use contention::ContentionCurve;
pub use demand::DemandTable;
pub use estimates::{BackendState, ExchangeOutcome, LimitStatement, LoadEstimates, LoadReport};
pub use fair_share::TeamShare;
pub use outflow::{BorderPrice, OutflowQuote, OutflowTable, centre_pressure};
pub use placement::{
    ExpectedFinish, PlacementDecision, PlacementInputs, PlacementPolicy, RandomPlacement,
    ServerCost, ServerExclusion, ServerView,
};
pub use processing::{ProcessingSample, ProcessingTimes};
pub use queue::{
    Placement, PlannedDecision, QueueDecision, QueueId, QueuePolicy, QueuePreview, QueueRefusal,
    QueueStop, RefusalCause, RequestQueue, RequestSpec,
};
pub use quota::{QuotaLedger, QuotaRefusal, TeamUse};
pub use rate_limit::RateAllowance;
pub use reach::{ReachPlan, ServerReach};
pub use shared_rate::{AccountUse, PeerIndex, PeerRegister, SharedAccount, SharedLimit};
