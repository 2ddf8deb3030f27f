//! Decides which request runs on which backend server and when: the queue of a service, the slots
//! of its backend servers, one-shot tickets and the retry budget.
//!
//! The crate is pure. Time comes in as [`model::MonoTime`], decisions go out as values, and nothing
//! here knows sockets, threads or the store.

pub mod budget;
pub mod fair;
pub mod probe;
pub mod queue;
pub mod route_times;
pub mod rules;
pub mod slots;
pub mod ticket;

pub use budget::RetryBudget;
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
