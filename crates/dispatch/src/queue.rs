//! The queue of a service at its home: late binding, short work first, long work ages.

use crate::fair::FairQueue;
use crate::slots::{DispatchRule, ServerSlots, ServerView, SlotGrant, SlotOutcome, SlotTable};
use model::{CallerName, IncarnationId, Millis, MonoTime, ServerName, WorkClass};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// Requests that may wait at once.
const QUEUE_MAX: usize = 4_096;

/// Identifies a request within a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueId(pub u64);

/// A request that waits for a slot.
#[derive(Debug, Clone)]
pub struct QueuedRequest {
    /// Its id, unique within the queue.
    pub id: QueueId,
    /// Who sent it.
    pub caller: CallerName,
    /// Its class.
    pub class: WorkClass,
    /// When its answer is due.
    pub deadline: MonoTime,
    /// Servers that already failed it.
    pub avoid: Vec<ServerName>,
}

/// Why a request is refused without having run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalCause {
    /// The predicted wait passes the deadline.
    WouldMissDeadline,
    /// The deadline passed in the queue.
    DeadlinePassed,
    /// Too many requests wait.
    QueueFull,
    /// No backend server takes work.
    NoServers,
}

impl RefusalCause {
    /// The cause as it stands in metrics and error texts.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::WouldMissDeadline => "would_miss_deadline",
            Self::DeadlinePassed => "deadline_passed",
            Self::QueueFull => "queue_full",
            Self::NoServers => "no_servers",
        }
    }
}

/// A decision of the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QueueEffect {
    /// Send the request to this backend server now.
    Dispatch {
        /// The request.
        id: QueueId,
        /// Its slot.
        grant: SlotGrant,
    },
    /// Refuse the request; it did not run.
    Refuse {
        /// The request.
        id: QueueId,
        /// Why.
        cause: RefusalCause,
        /// When a retry may succeed.
        retry_after: Millis,
    },
}

/// How a dispatched request fared.
#[derive(Debug, Clone)]
pub struct SlotReport {
    /// The request.
    pub id: QueueId,
    /// The slot it held.
    pub grant: SlotGrant,
    /// How it ended.
    pub outcome: SlotOutcome,
    /// Requests in progress at the server by its own report.
    pub reported: Option<u32>,
}

/// Counts of what a queue did.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct QueueCounters {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests sent to a backend server.
    pub dispatched: u64,
    /// Requests refused.
    pub refused: u64,
}

/// The queue of one service.
pub struct ServiceQueue {
    slots: SlotTable,
    short: FairQueue<QueueId>,
    long: FairQueue<QueueId>,
    waiting: HashMap<QueueId, QueuedRequest>,
    /// Waiting requests of each class; the lines may also hold cancelled ones.
    waiting_short: usize,
    waiting_long: usize,
    deadlines: BTreeSet<(MonoTime, QueueId)>,
    long_yield: Duration,
    long_micros: f64,
    counters: QueueCounters,
}

impl ServiceQueue {
    /// Starts empty, with a rule that picks servers.
    pub fn new(rule: Box<dyn DispatchRule>) -> Self {
        Self {
            slots: SlotTable::new(rule),
            short: FairQueue::default(),
            long: FairQueue::default(),
            waiting: HashMap::new(),
            waiting_short: 0,
            waiting_long: 0,
            deadlines: BTreeSet::new(),
            long_yield: Duration::from_millis(500),
            long_micros: 0.0,
            counters: QueueCounters::default(),
        }
    }

    /// What the queue did so far.
    pub fn counters(&self) -> QueueCounters {
        self.counters
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Requests in slots.
    pub fn in_flight(&self) -> usize {
        self.slots.in_flight()
    }

    /// Mean service time of short work over all servers, zero if unknown.
    pub fn typical_service_time(&self) -> Duration {
        self.slots.typical_service_time()
    }

    /// What the rule sees now.
    pub fn views(&self, now: MonoTime) -> Vec<(ServerName, ServerView)> {
        self.slots.views(now)
    }

    /// Takes over servers and the ageing of long work from the configuration.
    pub fn configure(
        &mut self,
        now: MonoTime,
        servers: Vec<ServerSlots>,
        long_yield: Duration,
    ) -> Vec<QueueEffect> {
        self.long_yield = long_yield;
        self.slots.set_servers(servers);
        self.advance(now)
    }

    /// Gives a server no new work any more.
    pub fn mark_leaving(&mut self, name: &ServerName, incarnation: IncarnationId) {
        self.slots.mark_leaving(name, incarnation);
    }

    /// Takes note of whether a server answered a probe.
    pub fn record_probe(
        &mut self,
        now: MonoTime,
        name: &ServerName,
        incarnation: IncarnationId,
        answered: bool,
    ) {
        self.slots.record_probe(now, name, incarnation, answered);
    }

    /// Adds a request. A request that already waited keeps its place by `arrived`.
    pub fn arrive(
        &mut self,
        now: MonoTime,
        arrived: MonoTime,
        request: QueuedRequest,
    ) -> Vec<QueueEffect> {
        self.counters.arrived += 1;
        if let Some(cause) = self.refusal_on_arrival(now, &request) {
            return vec![self.refuse(now, request.id, cause)];
        }
        let line = match request.class {
            WorkClass::Short => &mut self.short,
            WorkClass::Long => &mut self.long,
        };
        if arrived < now {
            line.push_front(&request.caller, arrived, request.id);
        } else {
            line.push(&request.caller, arrived, request.id);
        }
        self.deadlines.insert((request.deadline, request.id));
        *self.waiting_of(request.class) += 1;
        self.waiting.insert(request.id, request);
        self.advance(now)
    }

    /// Forgets a request whose caller is gone. Its place in line is skipped later.
    pub fn cancel(&mut self, id: QueueId) {
        if let Some(gone) = self.waiting.remove(&id) {
            self.deadlines.remove(&(gone.deadline, id));
            *self.waiting_of(gone.class) -= 1;
        }
    }

    /// Frees the slot of a request that ended.
    pub fn finish(&mut self, now: MonoTime, report: &SlotReport) -> Vec<QueueEffect> {
        let outcome = report.outcome;
        let span = self.slots.release(now, report.id.0, &report.grant, outcome, report.reported);
        if let (Some(span), SlotOutcome::Answered) = (span, outcome) {
            self.learn_long(span);
        }
        self.advance(now)
    }

    /// Refuses what expired and fills free slots.
    pub fn advance(&mut self, now: MonoTime) -> Vec<QueueEffect> {
        let mut effects = Vec::new();
        self.refuse_expired(now, &mut effects);
        if !self.slots.has_servers() {
            self.refuse_all(now, &mut effects);
            return effects;
        }
        while let Some(effect) = self.dispatch_next(now) {
            effects.push(effect);
        }
        effects
    }

    /// The earliest deadline of a waiting request.
    pub fn next_deadline(&self) -> Option<MonoTime> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    fn waiting_of(&mut self, class: WorkClass) -> &mut usize {
        match class {
            WorkClass::Short => &mut self.waiting_short,
            WorkClass::Long => &mut self.waiting_long,
        }
    }

    fn refusal_on_arrival(&self, now: MonoTime, request: &QueuedRequest) -> Option<RefusalCause> {
        if request.deadline <= now {
            return Some(RefusalCause::DeadlinePassed);
        }
        if !self.slots.has_servers() {
            return Some(RefusalCause::NoServers);
        }
        if self.waiting.len() >= QUEUE_MAX {
            return Some(RefusalCause::QueueFull);
        }
        let due = self.predicted_wait(now, request.class) + self.slots.typical_service_time();
        (now.plus(due) > request.deadline).then_some(RefusalCause::WouldMissDeadline)
    }

    /// Wait before a slot, from the work ahead and the slots that serve it.
    fn predicted_wait(&self, now: MonoTime, class: WorkClass) -> Duration {
        let typical = self.slots.typical_service_time().as_micros() as f64;
        let slots = f64::from(self.slots.usable_slots(now).max(1));
        let short_ahead = self.waiting_short as f64 * typical;
        let long_ahead = match class {
            WorkClass::Short => 0.0,
            WorkClass::Long => self.waiting_long as f64 * self.long_micros.max(typical),
        };
        Duration::from_micros(((short_ahead + long_ahead) / slots) as u64)
    }

    fn learn_long(&mut self, span: Duration) {
        let micros = span.as_micros() as f64;
        let typical = self.slots.typical_service_time().as_micros() as f64;
        if micros > typical * 4.0 {
            self.long_micros += 0.1 * (micros - self.long_micros);
        }
    }

    fn dispatch_next(&mut self, now: MonoTime) -> Option<QueueEffect> {
        loop {
            let class = self.next_class()?;
            let line = match class {
                WorkClass::Short => &mut self.short,
                WorkClass::Long => &mut self.long,
            };
            let id = *line.peek()?;
            let Some(waiting) = self.waiting.get(&id) else {
                line.pop();
                continue;
            };
            let is_short = class == WorkClass::Short;
            let grant = self.slots.take(now, id.0, is_short, &waiting.avoid)?;
            line.pop();
            self.cancel(id);
            self.counters.dispatched += 1;
            return Some(QueueEffect::Dispatch { id, grant });
        }
    }

    /// Short work goes first until a long request has waited `long_yield` longer.
    fn next_class(&self) -> Option<WorkClass> {
        match (self.short.next_arrival(), self.long.next_arrival()) {
            (None, None) => None,
            (Some(_), None) => Some(WorkClass::Short),
            (None, Some(_)) => Some(WorkClass::Long),
            (Some(short), Some(long)) if long.plus(self.long_yield) < short => {
                Some(WorkClass::Long)
            }
            _ => Some(WorkClass::Short),
        }
    }

    fn refuse_expired(&mut self, now: MonoTime, effects: &mut Vec<QueueEffect>) {
        // A request that can no longer be answered in time would only hold a slot.
        let horizon = now.plus(self.slots.typical_service_time());
        while let Some((deadline, id)) = self.deadlines.first().copied() {
            if deadline > horizon {
                return;
            }
            self.cancel(id);
            effects.push(self.refuse(now, id, RefusalCause::DeadlinePassed));
        }
    }

    fn refuse_all(&mut self, now: MonoTime, effects: &mut Vec<QueueEffect>) {
        let ids: Vec<QueueId> = self.deadlines.iter().map(|(_, id)| *id).collect();
        for id in ids {
            self.cancel(id);
            effects.push(self.refuse(now, id, RefusalCause::NoServers));
        }
    }

    fn refuse(&mut self, now: MonoTime, id: QueueId, cause: RefusalCause) -> QueueEffect {
        self.counters.refused += 1;
        let wait =
            self.predicted_wait(now, WorkClass::Short).max(self.slots.typical_service_time());
        QueueEffect::Refuse { id, cause, retry_after: Millis(Millis::from(wait).0.max(1)) }
    }
}
