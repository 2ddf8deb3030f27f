//! Queue of one service, shared by the traffic threads.

use dispatch::slots::SlotGrant;
use dispatch::{
    QueueCounters, QueueEffect, QueueId, QueuedRequest, RefusalCause, RetryBudget, RouteTimes,
    RuleName, ServerSlots, ServerView, ServiceQueue, SlotOutcome, SlotReport,
};
use model::{CallerName, IncarnationId, Millis, MonoTime, ProcessClock, ServerName, WorkClass};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;

/// A request for a slot.
#[derive(Debug, Clone)]
pub struct SlotRequest {
    /// Caller to which the queue attributes the request.
    pub caller: CallerName,
    /// Class of the work.
    pub class: WorkClass,
    /// Time of arrival at this instance.
    pub arrived: MonoTime,
    /// Time by which the response is due.
    pub deadline: MonoTime,
    /// Servers of earlier attempts, to be avoided; empty at the first attempt.
    pub avoid: Vec<ServerName>,
}

/// Refusal of a slot; the request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotRefusal {
    /// Reason for the refusal.
    pub cause: RefusalCause,
    /// Delay after which a retry may succeed.
    pub retry_after: Millis,
}

type SlotDecision = Result<SlotGrant, SlotRefusal>;

struct QueueCore {
    queue: ServiceQueue,
    waiters: HashMap<QueueId, oneshot::Sender<SlotDecision>>,
    routes: RouteTimes,
    retries: RetryBudget,
    next_id: u64,
}

/// Time at which a stopping instance answers the requests in progress itself. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct StopTime(Arc<OnceLock<MonoTime>>);

impl StopTime {
    /// Begins the stop. Requests with later deadlines are refused from now on.
    pub fn begin(&self, answer_at: MonoTime) {
        // A stop that has begun already keeps its time.
        let _ = self.0.set(answer_at);
    }

    /// Returns the time, or `None` while the instance does not stop.
    pub fn get(&self) -> Option<MonoTime> {
        self.0.get().copied()
    }

    /// Whether a request with this deadline ends before the instance would break it off.
    pub fn admits(&self, deadline: MonoTime) -> bool {
        self.get().is_none_or(|answer_at| deadline <= answer_at)
    }
}

/// State of a queue for reports.
#[derive(Debug, Clone)]
pub struct QueueSnapshot {
    /// Number of requests waiting for a slot.
    pub waiting: usize,
    /// Number of requests in slots.
    pub in_flight: usize,
    /// Counters of requests since the start of the queue.
    pub counters: QueueCounters,
    /// Backend servers with the state that the choice of a server is based on.
    pub servers: Vec<(ServerName, ServerView)>,
}

/// The queue of a service with the tasks waiting in it.
pub struct ServiceRuntime {
    clock: ProcessClock,
    stop: StopTime,
    core: Mutex<QueueCore>,
}

impl ServiceRuntime {
    /// Creates a queue without backend servers. `stop` is shared by all queues of the instance.
    pub fn new(clock: ProcessClock, rule: RuleName, stop: StopTime) -> Self {
        let queue = ServiceQueue::new(rule.rule());
        let core = QueueCore {
            queue,
            waiters: HashMap::new(),
            routes: RouteTimes::default(),
            retries: RetryBudget::default(),
            next_id: 0,
        };
        Self { clock, stop, core: Mutex::new(core) }
    }

    /// Replaces the backend servers and the time for which long work yields to short work.
    pub fn configure(&self, servers: Vec<ServerSlots>, long_yield: Duration) {
        let now = self.clock.now();
        let mut core = self.lock();
        let effects = core.queue.configure(now, servers, long_yield);
        core.apply_effects(now, effects);
    }

    /// Stops sending new requests to a backend server.
    pub fn mark_leaving(&self, grant: &SlotGrant) {
        self.lock().queue.mark_leaving(&grant.server, grant.incarnation);
    }

    /// Records whether a backend server answered a probe.
    pub fn record_probe(&self, server: &ServerName, incarnation: IncarnationId, answered: bool) {
        self.lock().queue.record_probe(self.clock.now(), server, incarnation, answered);
    }

    /// Class of work of a route, according to its service times so far.
    pub fn class_of(&self, route: &str) -> WorkClass {
        self.lock().routes.class_of(route)
    }

    /// Records a service time of a route.
    pub fn record_service_time(&self, route: &str, elapsed: Duration) {
        self.lock().routes.record(route, elapsed);
    }

    /// Mean service time of short work over all backend servers; zero if unknown.
    pub fn typical_service_time(&self) -> Duration {
        self.lock().queue.typical_service_time()
    }

    /// Adds a first attempt to the retry budget.
    pub fn record_request(&self) {
        self.lock().retries.record_request();
    }

    /// Takes one retry from the budget; false if none is left.
    pub fn take_retry(&self) -> bool {
        self.lock().retries.take_retry()
    }

    /// Refuses expired requests and those that a stop does not admit, and fills slots that became free by
    /// the passage of time.
    pub fn advance(&self) {
        let now = self.clock.now();
        let mut core = self.lock_bounded();
        if core.queue.waiting() > 0 {
            let effects = core.queue.advance(now);
            core.apply_effects(now, effects);
        }
    }

    /// Returns the present state of the queue.
    pub fn snapshot(&self) -> QueueSnapshot {
        let core = self.lock();
        QueueSnapshot {
            waiting: core.queue.waiting(),
            in_flight: core.queue.in_flight(),
            counters: core.queue.counters(),
            servers: core.queue.views(self.clock.now()),
        }
    }

    /// Waits for a slot. Dropping the future removes the request from the queue.
    ///
    /// # Errors
    /// A refusal, which proves that the request did not run.
    pub async fn acquire(self: &Arc<Self>, request: SlotRequest) -> Result<SlotGuard, SlotRefusal> {
        let (sender, receiver) = oneshot::channel();
        let id = self.enqueue(request, sender);
        let mut waiter = SlotWaiter { service: Arc::clone(self), id, receiver, is_decided: false };
        let decision = (&mut waiter.receiver).await;
        waiter.is_decided = true;
        match decision {
            Ok(Ok(grant)) => Ok(SlotGuard { service: Arc::clone(self), id, grant: Some(grant) }),
            Ok(Err(refusal)) => Err(refusal),
            // The sender is dropped without a decision only together with the queue.
            Err(_) => Err(SlotRefusal { cause: RefusalCause::NoServers, retry_after: Millis(100) }),
        }
    }

    fn enqueue(&self, request: SlotRequest, sender: oneshot::Sender<SlotDecision>) -> QueueId {
        let now = self.clock.now();
        let mut core = self.lock_bounded();
        core.next_id += 1;
        let id = QueueId(core.next_id);
        core.waiters.insert(id, sender);
        let arrived = if request.avoid.is_empty() { now } else { request.arrived };
        let queued = QueuedRequest {
            id,
            caller: request.caller,
            class: request.class,
            deadline: request.deadline,
            avoid: request.avoid,
        };
        let effects = core.queue.submit(now, arrived, queued);
        core.apply_effects(now, effects);
        id
    }

    fn cancel(&self, id: QueueId) {
        let mut core = self.lock();
        core.waiters.remove(&id);
        core.queue.cancel(id);
    }

    fn finish(&self, report: &SlotReport) {
        let now = self.clock.now();
        let mut core = self.lock();
        let effects = core.queue.finish(now, report);
        core.apply_effects(now, effects);
    }

    /// Locks the queue and tells it of a stop that has begun.
    fn lock_bounded(&self) -> MutexGuard<'_, QueueCore> {
        let mut core = self.lock();
        if let Some(answer_at) = self.stop.get() {
            core.queue.begin_stop(answer_at);
        }
        core
    }

    fn lock(&self) -> MutexGuard<'_, QueueCore> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl QueueCore {
    /// Sends decisions to waiters, and frees slots whose waiters are gone.
    fn apply_effects(&mut self, now: MonoTime, effects: Vec<QueueEffect>) {
        let mut pending = effects;
        while let Some(effect) = pending.pop() {
            let (id, decision) = match effect {
                QueueEffect::Dispatch { id, grant } => (id, Ok(grant)),
                QueueEffect::Refuse { id, cause, retry_after } => {
                    (id, Err(SlotRefusal { cause, retry_after }))
                }
            };
            let unsent = match self.waiters.remove(&id) {
                Some(waiter) => waiter.send(decision).err(),
                None => Some(decision),
            };
            if let Some(Ok(grant)) = unsent {
                pending.extend(self.queue.finish(now, &abandoned(id, grant)));
            }
        }
    }
}

fn abandoned(id: QueueId, grant: SlotGrant) -> SlotReport {
    SlotReport { id, grant, outcome: SlotOutcome::Abandoned, reported: None }
}

/// A request in the queue. Dropping it, as when the caller disconnects, cancels the request.
struct SlotWaiter {
    service: Arc<ServiceRuntime>,
    id: QueueId,
    receiver: oneshot::Receiver<SlotDecision>,
    is_decided: bool,
}

impl Drop for SlotWaiter {
    fn drop(&mut self) {
        if self.is_decided {
            return;
        }
        self.service.cancel(self.id);
        if let Ok(Ok(grant)) = self.receiver.try_recv() {
            self.service.finish(&abandoned(self.id, grant));
        }
    }
}

/// A slot of a backend server. [`close`](Self::close) frees it with the outcome of the exchange;
/// dropping it frees it as abandoned.
pub struct SlotGuard {
    service: Arc<ServiceRuntime>,
    id: QueueId,
    grant: Option<SlotGrant>,
}

impl SlotGuard {
    /// The granted slot, with the name and address of its backend server.
    pub fn grant(&self) -> &SlotGrant {
        self.grant.as_ref().expect("the grant is taken only on close and on drop")
    }

    /// Frees the slot. `reported` is the load that the server reported in its response.
    pub fn close(mut self, outcome: SlotOutcome, reported: Option<u32>) {
        if let Some(grant) = self.grant.take() {
            self.service.finish(&SlotReport { id: self.id, grant, outcome, reported });
        }
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        if let Some(grant) = self.grant.take() {
            self.service.finish(&abandoned(self.id, grant));
        }
    }
}
