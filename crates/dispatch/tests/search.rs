//! Exhaustive search of the ticket protocol: all orders, up to a depth, of repeated requests,
//! results, broken connections, passing time and the end of the owner's process.

use bytes::Bytes;
use dispatch::{BeginOutcome, StoredResponse, TicketEnd, TicketLimits, TicketSerial, TicketTable};
use model::{MonoTime, RunVerdict};
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of times that the request arrives.
const ARRIVALS_MAX: u32 = 3;
/// Number of steps in one order of events.
const DEPTH: u32 = 9;
/// Time that passes in one step.
const STEP: Duration = Duration::from_secs(40);

const LIMITS: TicketLimits = TicketLimits {
    capacity: 2,
    valid: Duration::from_secs(60),
    retention: Duration::from_secs(60),
    response_ttl: Duration::from_secs(80),
    response_bytes_max: 100,
};

/// State of the single exchange with a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ExchangeState {
    None,
    /// The owner has not sent the request yet.
    Queued,
    /// The request was sent; the backend server may or may not run it.
    Sent {
        ran: bool,
    },
}

#[derive(Debug, Clone)]
struct SearchState {
    /// The owner's table; `None` after its process ended.
    table: Option<TicketTable>,
    serial: TicketSerial,
    now: MonoTime,
    /// Number of times that the request arrived.
    arrivals: u32,
    /// Number of arrivals waiting for the ticket's end.
    waiting: u32,
    exchange: ExchangeState,
    /// Number of times that the backend server ran the request.
    runs: u32,
    /// Verdicts reported to the caller.
    verdicts: Vec<RunVerdict>,
}

#[derive(Debug, Clone, Copy)]
enum SearchStep {
    RequestArrives,
    RequestArrivesElsewhere,
    QueueRefuses,
    Send,
    RequestRuns,
    ResponseArrives,
    ShedArrives,
    ConnectionBreaks,
    TimePasses,
    OwnerEnds,
}

const STEPS: [SearchStep; 10] = [
    SearchStep::RequestArrives,
    SearchStep::RequestArrivesElsewhere,
    SearchStep::QueueRefuses,
    SearchStep::Send,
    SearchStep::RequestRuns,
    SearchStep::ResponseArrives,
    SearchStep::ShedArrives,
    SearchStep::ConnectionBreaks,
    SearchStep::TimePasses,
    SearchStep::OwnerEnds,
];

impl SearchState {
    fn start() -> Self {
        let mut table = TicketTable::new(LIMITS);
        let serial = table.issue(MonoTime(0)).unwrap();
        Self {
            table: Some(table),
            serial,
            now: MonoTime(0),
            arrivals: 0,
            waiting: 0,
            exchange: ExchangeState::None,
            runs: 0,
            verdicts: Vec::new(),
        }
    }

    fn end(&mut self, end: TicketEnd) {
        if let Some(table) = &mut self.table {
            let end = table.end(self.serial, end);
            self.verdicts.extend((0..self.waiting).map(|_| end.verdict()));
            self.waiting = 0;
            self.exchange = ExchangeState::None;
        }
    }

    fn request_arrives(&mut self) {
        self.arrivals += 1;
        let Some(table) = &mut self.table else {
            // No instance can prove that the request did not run.
            self.verdicts.push(RunVerdict::MayHaveRun);
            return;
        };
        match table.begin(self.now, self.serial) {
            BeginOutcome::Start => {
                self.exchange = ExchangeState::Queued;
                self.waiting += 1;
            }
            BeginOutcome::Join => self.waiting += 1,
            BeginOutcome::Ended(end) => self.verdicts.push(end.verdict()),
        }
    }

    /// Returns the state after a step, or `None` if the step is impossible in this state.
    fn take(&self, step: SearchStep) -> Option<Self> {
        let mut next = self.clone();
        let is_alive = self.table.is_some();
        match step {
            SearchStep::RequestArrives | SearchStep::RequestArrivesElsewhere
                if self.arrivals >= ARRIVALS_MAX =>
            {
                return None;
            }
            // Another instance forwards the request to the owner or finds its process ended.
            SearchStep::RequestArrives | SearchStep::RequestArrivesElsewhere => {
                next.request_arrives()
            }
            SearchStep::QueueRefuses if self.exchange == ExchangeState::Queued && is_alive => {
                next.end(TicketEnd::NotRun);
            }
            SearchStep::Send if self.exchange == ExchangeState::Queued && is_alive => {
                next.exchange = ExchangeState::Sent { ran: false };
            }
            SearchStep::RequestRuns if self.exchange == (ExchangeState::Sent { ran: false }) => {
                next.runs += 1;
                next.exchange = ExchangeState::Sent { ran: true };
            }
            SearchStep::ResponseArrives
                if is_alive && self.exchange == (ExchangeState::Sent { ran: true }) =>
            {
                next.end(TicketEnd::Ran(Some(Arc::new(StoredResponse {
                    status: 200,
                    headers: Vec::new(),
                    server: "s1".into(),
                    queue_micros: 0,
                    body: Bytes::from_static(b"ok"),
                }))));
            }
            // A backend server that sheds the request never runs it, so the owner may send it to
            // another one.
            SearchStep::ShedArrives
                if is_alive && self.exchange == (ExchangeState::Sent { ran: false }) =>
            {
                next.exchange = ExchangeState::Queued;
            }
            SearchStep::ConnectionBreaks
                if is_alive && matches!(self.exchange, ExchangeState::Sent { .. }) =>
            {
                // The backend server may still run the request after this.
                let exchange = self.exchange;
                next.end(TicketEnd::MayHaveRun);
                next.exchange = exchange;
            }
            SearchStep::TimePasses => {
                next.now = self.now.plus(STEP);
                if let Some(table) = &mut next.table {
                    table.issue(next.now);
                }
            }
            SearchStep::OwnerEnds if is_alive => {
                next.table = None;
                next.verdicts.extend((0..self.waiting).map(|_| RunVerdict::MayHaveRun));
                next.waiting = 0;
                if self.exchange == ExchangeState::Queued {
                    next.exchange = ExchangeState::None;
                }
            }
            _ => return None,
        }
        Some(next)
    }

    fn assert_guarantees(&self) {
        assert!(self.runs <= 1, "{self:?}");
        if self.verdicts.contains(&RunVerdict::NotRun) {
            assert_eq!(self.runs, 0, "{self:?}");
        }
        if self.verdicts.contains(&RunVerdict::Ran) {
            assert_eq!(self.runs, 1, "{self:?}");
        }
    }
}

fn search(state: &SearchState, depth: u32) -> u64 {
    state.assert_guarantees();
    if depth == 0 {
        return 1;
    }
    STEPS
        .iter()
        .filter_map(|step| state.take(*step))
        .map(|next| search(&next, depth - 1))
        .sum::<u64>()
        + 1
}

#[test]
fn no_order_of_events_breaks_a_guarantee() {
    let states = search(&SearchState::start(), DEPTH);
    println!("{states} states searched");
    assert!(states > 100_000, "{states}");
}
