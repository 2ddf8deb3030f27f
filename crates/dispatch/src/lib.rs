//! Decides when a request runs and on which backend server: the queue of a service, the slots of
//! its servers, one-shot tickets, hedges, the retry budget and the rate of probes.
//!
//! The crate does no I/O and starts no threads. Callers pass the time as [`model::MonoTime`] and
//! get decisions as values.

pub mod budget;
pub mod fair;
pub mod hedge;
pub mod probe;
pub mod queue;
pub mod route_times;
pub mod rules;
pub mod slots;
pub mod ticket;

pub use budget::RetryBudget;
pub use hedge::{HedgeTiming, hedge_timing};
pub use probe::ProbePacer;
pub use queue::{
    QueueCounters, QueueEffect, QueueId, QueuedRequest, RefusalCause, ServiceQueue, SlotReport,
};
pub use route_times::RouteTimes;
pub use rules::RuleName;
pub use slots::{
    DispatchRule, LateBinding, ServerSlots, ServerState, ServerView, SlotOutcome, SlotTable,
};
pub use ticket::{
    BeginOutcome, KeyOutcome, StoredResponse, TicketEnd, TicketError, TicketKey, TicketLimits,
    TicketSerial, TicketTable, TicketText,
};
