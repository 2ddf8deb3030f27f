//! An exhaustive search of the ticket protocol: all orders of copies, results, losses, passing time
//! and the owner's end, up to a depth.

use bytes::Bytes;
use dispatch::{BeginOutcome, StoredResponse, TicketEnd, TicketLimits, TicketSerial, TicketTable};
use model::{MonoTime, RunVerdict};
use std::sync::Arc;
use std::time::Duration;

/// Copies of the request that may arrive.
const COPIES: u32 = 3;
/// Steps in one order of events.
const DEPTH: u32 = 9;
/// How far time moves in one step.
const STEP: Duration = Duration::from_secs(40);

const LIMITS: TicketLimits = TicketLimits {
    capacity: 2,
    valid: Duration::from_secs(60),
    retention: Duration::from_secs(60),
    answer_span: Duration::from_secs(80),
    answer_bytes: 100,
};

/// Where the one exchange with a backend server stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ExchangeState {
    None,
    /// The owner is about to send.
    Queued,
    /// Bytes were written; the backend server may or may not run the work.
    Sent {
        ran: bool,
    },
}

#[derive(Debug, Clone)]
struct SearchState {
    /// The owner's table, or none after its end.
    table: Option<TicketTable>,
    serial: TicketSerial,
    now: MonoTime,
    copies: u32,
    waiting: u32,
    exchange: ExchangeState,
    runs: u32,
    told: Vec<RunVerdict>,
}

#[derive(Debug, Clone, Copy)]
enum SearchStep {
    CopyArrives,
    CopyArrivesElsewhere,
    QueueRefuses,
    Send,
    WorkRuns,
    AnswerArrives,
    ShedArrives,
    ConnectionBreaks,
    TimePasses,
    OwnerEnds,
}

const STEPS: [SearchStep; 10] = [
    SearchStep::CopyArrives,
    SearchStep::CopyArrivesElsewhere,
    SearchStep::QueueRefuses,
    SearchStep::Send,
    SearchStep::WorkRuns,
    SearchStep::AnswerArrives,
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
            copies: 0,
            waiting: 0,
            exchange: ExchangeState::None,
            runs: 0,
            told: Vec::new(),
        }
    }

    fn end(&mut self, end: TicketEnd) {
        if let Some(table) = &mut self.table {
            let end = table.end(self.serial, end);
            self.told.extend((0..self.waiting).map(|_| end.verdict()));
            self.waiting = 0;
            self.exchange = ExchangeState::None;
        }
    }

    fn copy_arrives(&mut self) {
        self.copies += 1;
        let Some(table) = &mut self.table else {
            // Nobody can show that the work did not run.
            self.told.push(RunVerdict::MayHaveRun);
            return;
        };
        match table.begin(self.now, self.serial) {
            BeginOutcome::Start => {
                self.exchange = ExchangeState::Queued;
                self.waiting += 1;
            }
            BeginOutcome::Join => self.waiting += 1,
            BeginOutcome::Ended(end) => self.told.push(end.verdict()),
        }
    }

    /// Takes a step, or gives none if it cannot happen now.
    fn take(&self, step: SearchStep) -> Option<Self> {
        let mut next = self.clone();
        let is_alive = self.table.is_some();
        match step {
            SearchStep::CopyArrives | SearchStep::CopyArrivesElsewhere if self.copies >= COPIES => {
                return None;
            }
            // Another instance passes a copy on to the owner, or tells that the owner is gone.
            SearchStep::CopyArrives | SearchStep::CopyArrivesElsewhere => next.copy_arrives(),
            SearchStep::QueueRefuses if self.exchange == ExchangeState::Queued && is_alive => {
                next.end(TicketEnd::NotRun);
            }
            SearchStep::Send if self.exchange == ExchangeState::Queued && is_alive => {
                next.exchange = ExchangeState::Sent { ran: false };
            }
            SearchStep::WorkRuns if self.exchange == (ExchangeState::Sent { ran: false }) => {
                next.runs += 1;
                next.exchange = ExchangeState::Sent { ran: true };
            }
            SearchStep::AnswerArrives
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
            // A backend server that sheds has not run the work and never will; the owner may send
            // it elsewhere.
            SearchStep::ShedArrives
                if is_alive && self.exchange == (ExchangeState::Sent { ran: false }) =>
            {
                next.exchange = ExchangeState::Queued;
            }
            SearchStep::ConnectionBreaks
                if is_alive && matches!(self.exchange, ExchangeState::Sent { .. }) =>
            {
                // The work may still run after this.
                let late = self.exchange;
                next.end(TicketEnd::MayHaveRun);
                next.exchange = late;
            }
            SearchStep::TimePasses => {
                next.now = self.now.plus(STEP);
                if let Some(table) = &mut next.table {
                    table.issue(next.now);
                }
            }
            SearchStep::OwnerEnds if is_alive => {
                next.table = None;
                next.told.extend((0..self.waiting).map(|_| RunVerdict::MayHaveRun));
                next.waiting = 0;
                if self.exchange == ExchangeState::Queued {
                    next.exchange = ExchangeState::None;
                }
            }
            _ => return None,
        }
        Some(next)
    }

    fn assert_promises(&self) {
        assert!(self.runs <= 1, "{self:?}");
        if self.told.contains(&RunVerdict::NotRun) {
            assert_eq!(self.runs, 0, "{self:?}");
        }
        if self.told.contains(&RunVerdict::Ran) {
            assert_eq!(self.runs, 1, "{self:?}");
        }
    }
}

fn search(state: &SearchState, depth: u32) -> u64 {
    state.assert_promises();
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
fn no_order_of_events_breaks_a_promise() {
    let states = search(&SearchState::start(), DEPTH);
    println!("{states} states searched");
    assert!(states > 100_000, "{states}");
}
