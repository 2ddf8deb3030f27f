//! The queue of a service at its home.
//!
//! A request waits until a backend server has a free slot (late binding). Short work goes before
//! long work; ageing keeps long work from waiting forever.

use crate::fair::FairQueue;
use crate::slots::{DispatchRule, ServerSlots, ServerView, SlotGrant, SlotOutcome, SlotTable};
use model::{CallerName, IncarnationId, Millis, MonoTime, ServerName, WorkClass};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// Maximum number of waiting requests; more are refused.
const QUEUE_MAX: usize = 4_096;

/// Identifies a request; unique within one queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueId(pub u64);

/// A request that waits for a slot.
#[derive(Debug, Clone)]
pub struct QueuedRequest {
    /// Unique within the queue.
    pub id: QueueId,
    /// The caller; callers share the slots equally.
    pub caller: CallerName,
    /// Whether the work is short or long.
    pub class: WorkClass,
    /// Time by which the caller needs the response.
    pub deadline: MonoTime,
    /// Backend servers that already failed this request; used only if no other is left.
    pub avoid: Vec<ServerName>,
}

/// Why a request is refused without having run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalCause {
    /// The predicted wait and service time end after the deadline.
    WouldMissDeadline,
    /// The deadline passed, or is too close for a response in time.
    DeadlinePassed,
    /// The queue is at its maximum length.
    QueueFull,
    /// No backend server is configured, or all are leaving.
    NoServers,
    /// The instance stops and might have to break the request off.
    Stopping,
}

impl RefusalCause {
    /// Returns the token used in metrics and error texts.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::WouldMissDeadline => "would_miss_deadline",
            Self::DeadlinePassed => "deadline_passed",
            Self::QueueFull => "queue_full",
            Self::NoServers => "no_servers",
            Self::Stopping => "stopping",
        }
    }
}

/// A decision of the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QueueEffect {
    /// Send the request to this backend server now.
    Dispatch {
        /// Identifies the request.
        id: QueueId,
        /// The slot to send it to.
        grant: SlotGrant,
    },
    /// Refuse the request without having sent it.
    Refuse {
        /// Identifies the request.
        id: QueueId,
        /// Reason of the refusal.
        cause: RefusalCause,
        /// Delay after which a retry may succeed; at least 1 ms.
        retry_after: Millis,
    },
}

/// The result of a dispatched request.
#[derive(Debug, Clone)]
pub struct SlotReport {
    /// Identifies the request.
    pub id: QueueId,
    /// The slot to free.
    pub grant: SlotGrant,
    /// How the exchange with the backend server ended.
    pub outcome: SlotOutcome,
    /// Number of requests in progress that the server reported, if it did.
    pub reported: Option<u32>,
}

/// Counts of requests since the queue was created.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct QueueCounters {
    /// Arrivals, including refused ones. A request arrives again for each further attempt.
    pub arrived: u64,
    /// Requests given a slot of a backend server.
    pub dispatched: u64,
    /// Requests refused on arrival or while waiting.
    pub refused: u64,
}

/// The waiting requests of one service and the slots of its backend servers.
pub struct ServiceQueue {
    slots: SlotTable,
    short: FairQueue<QueueId>,
    long: FairQueue<QueueId>,
    waiting: HashMap<QueueId, QueuedRequest>,
    /// Number of waiting requests of each class. `short` and `long` may also contain ids of
    /// cancelled requests.
    waiting_short: usize,
    waiting_long: usize,
    deadlines: BTreeSet<(MonoTime, QueueId)>,
    long_yield: Duration,
    long_mean_micros: f64,
    counters: QueueCounters,
    /// Set while the instance stops: the time at which it answers requests in progress itself.
    answer_at: Option<MonoTime>,
}

impl ServiceQueue {
    /// Creates an empty queue without servers; `rule` picks the server of each request.
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
            long_mean_micros: 0.0,
            counters: QueueCounters::default(),
            answer_at: None,
        }
    }

    /// Refuses from now on each request whose deadline is later than `answer_at`, the time at which a
    /// stopping instance answers requests in progress itself. Those that wait are refused by the next
    /// [`Self::advance`].
    pub fn begin_stop(&mut self, answer_at: MonoTime) {
        self.answer_at = Some(answer_at);
    }

    /// Returns the counts since the queue was created.
    pub fn counters(&self) -> QueueCounters {
        self.counters
    }

    /// Number of requests waiting for a slot.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Number of dispatched requests whose slot is not yet freed.
    pub fn in_flight(&self) -> usize {
        self.slots.in_flight()
    }

    /// Mean service time of short work over all servers; zero if unknown.
    pub fn typical_service_time(&self) -> Duration {
        self.slots.typical_service_time()
    }

    /// Returns the state of each server as the dispatch rule sees it.
    pub fn views(&self, now: MonoTime) -> Vec<(ServerName, ServerView)> {
        self.slots.views(now)
    }

    /// Applies a configuration. `long_yield` is how much longer than short work a long request
    /// waits before it goes first.
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

    /// Sends no further requests to this incarnation of a server.
    pub fn mark_leaving(&mut self, name: &ServerName, incarnation: IncarnationId) {
        self.slots.mark_leaving(name, incarnation);
    }

    /// Records whether a server answered a probe.
    pub fn record_probe(
        &mut self,
        now: MonoTime,
        name: &ServerName,
        incarnation: IncarnationId,
        answered: bool,
    ) {
        self.slots.record_probe(now, name, incarnation, answered);
    }

    /// Adds a request or refuses it. One that arrived before `now` was dispatched before and goes to
    /// the front of its caller's queue.
    pub fn submit(
        &mut self,
        now: MonoTime,
        arrived: MonoTime,
        request: QueuedRequest,
    ) -> Vec<QueueEffect> {
        self.counters.arrived += 1;
        if let Some(cause) = self.refusal_on_arrival(now, &request) {
            return vec![self.refuse(now, request.id, cause)];
        }
        let queue = match request.class {
            WorkClass::Short => &mut self.short,
            WorkClass::Long => &mut self.long,
        };
        if arrived < now {
            queue.push_front(&request.caller, arrived, request.id);
        } else {
            queue.push(&request.caller, arrived, request.id);
        }
        self.deadlines.insert((request.deadline, request.id));
        *self.waiting_count(request.class) += 1;
        self.waiting.insert(request.id, request);
        self.advance(now)
    }

    /// Removes a waiting request, for example because its caller disconnected. Its id in the fair
    /// queue is skipped when it comes up.
    pub fn cancel(&mut self, id: QueueId) {
        if let Some(removed) = self.waiting.remove(&id) {
            self.deadlines.remove(&(removed.deadline, id));
            *self.waiting_count(removed.class) -= 1;
        }
    }

    /// Frees the slot of a dispatched request and fills the free slots.
    pub fn finish(&mut self, now: MonoTime, report: &SlotReport) -> Vec<QueueEffect> {
        let outcome = report.outcome;
        let elapsed = self.slots.release(now, report.id.0, &report.grant, outcome, report.reported);
        if let (Some(elapsed), SlotOutcome::Answered) = (elapsed, outcome) {
            self.record_if_long(elapsed);
        }
        self.advance(now)
    }

    /// Refuses requests that can no longer be served in time, then fills free slots. Refuses all if
    /// there is no server or all are leaving.
    pub fn advance(&mut self, now: MonoTime) -> Vec<QueueEffect> {
        let mut effects = Vec::new();
        self.refuse_beyond_stop(now, &mut effects);
        self.refuse_expired(now, &mut effects);
        if !self.slots.has_servers() {
            self.refuse_all(now, RefusalCause::NoServers, &mut effects);
            return effects;
        }
        while let Some(effect) = self.dispatch_next(now) {
            effects.push(effect);
        }
        effects
    }

    /// Returns the earliest deadline of all waiting requests.
    pub fn next_deadline(&self) -> Option<MonoTime> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    fn waiting_count(&mut self, class: WorkClass) -> &mut usize {
        match class {
            WorkClass::Short => &mut self.waiting_short,
            WorkClass::Long => &mut self.waiting_long,
        }
    }

    fn refusal_on_arrival(&self, now: MonoTime, request: &QueuedRequest) -> Option<RefusalCause> {
        if self.answer_at.is_some_and(|answer_at| request.deadline > answer_at) {
            return Some(RefusalCause::Stopping);
        }
        if request.deadline <= now {
            return Some(RefusalCause::DeadlinePassed);
        }
        if !self.slots.has_servers() {
            return Some(RefusalCause::NoServers);
        }
        if self.waiting.len() >= QUEUE_MAX {
            return Some(RefusalCause::QueueFull);
        }
        let needed = self.predicted_wait(now, request.class) + self.slots.typical_service_time();
        (now.plus(needed) > request.deadline).then_some(RefusalCause::WouldMissDeadline)
    }

    /// Estimates the wait for a slot: the work ahead divided by the usable slots.
    fn predicted_wait(&self, now: MonoTime, class: WorkClass) -> Duration {
        let typical = self.slots.typical_service_time().as_micros() as f64;
        let slots = f64::from(self.slots.usable_slots(now).max(1));
        let short_ahead = self.waiting_short as f64 * typical;
        let long_ahead = match class {
            WorkClass::Short => 0.0,
            WorkClass::Long => self.waiting_long as f64 * self.long_mean_micros.max(typical),
        };
        Duration::from_micros(((short_ahead + long_ahead) / slots) as u64)
    }

    /// Updates the mean service time of long work. Work counts as long from four times the typical
    /// service time of short work.
    fn record_if_long(&mut self, elapsed: Duration) {
        let micros = elapsed.as_micros() as f64;
        let typical = self.slots.typical_service_time().as_micros() as f64;
        if micros > typical * 4.0 {
            self.long_mean_micros += 0.1 * (micros - self.long_mean_micros);
        }
    }

    fn dispatch_next(&mut self, now: MonoTime) -> Option<QueueEffect> {
        loop {
            let class = self.next_class()?;
            let queue = match class {
                WorkClass::Short => &mut self.short,
                WorkClass::Long => &mut self.long,
            };
            let id = *queue.peek()?;
            let Some(waiting) = self.waiting.get(&id) else {
                queue.pop();
                continue;
            };
            let is_short = class == WorkClass::Short;
            let grant = self.slots.take(now, id.0, is_short, &waiting.avoid)?;
            queue.pop();
            self.cancel(id);
            self.counters.dispatched += 1;
            return Some(QueueEffect::Dispatch { id, grant });
        }
    }

    /// Returns the class to dispatch next. Short work goes first unless the oldest long request
    /// arrived more than `long_yield` before the oldest short one.
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
        // The response to a request due within one typical service time would be too late and its
        // work would only occupy a slot.
        let earliest_end = now.plus(self.slots.typical_service_time());
        while let Some((deadline, id)) = self.deadlines.first().copied() {
            if deadline > earliest_end {
                return;
            }
            self.cancel(id);
            effects.push(self.refuse(now, id, RefusalCause::DeadlinePassed));
        }
    }

    fn refuse_beyond_stop(&mut self, now: MonoTime, effects: &mut Vec<QueueEffect>) {
        let Some(answer_at) = self.answer_at else {
            return;
        };
        while let Some((deadline, id)) = self.deadlines.last().copied() {
            if deadline <= answer_at {
                return;
            }
            self.cancel(id);
            effects.push(self.refuse(now, id, RefusalCause::Stopping));
        }
    }

    fn refuse_all(&mut self, now: MonoTime, cause: RefusalCause, effects: &mut Vec<QueueEffect>) {
        let ids: Vec<QueueId> = self.deadlines.iter().map(|(_, id)| *id).collect();
        for id in ids {
            self.cancel(id);
            effects.push(self.refuse(now, id, cause));
        }
    }

    fn refuse(&mut self, now: MonoTime, id: QueueId, cause: RefusalCause) -> QueueEffect {
        self.counters.refused += 1;
        let wait =
            self.predicted_wait(now, WorkClass::Short).max(self.slots.typical_service_time());
        QueueEffect::Refuse { id, cause, retry_after: Millis(Millis::from(wait).0.max(1)) }
    }
}
