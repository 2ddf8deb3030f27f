//! The queue of one service, shared by the traffic threads.

use dispatch::slots::SlotGrant;
use dispatch::{
    QueueCounters, QueueEffect, QueueId, QueuedRequest, RefusalCause, RetryBudget, RouteTimes,
    RuleName, ServerSlots, ServerView, ServiceQueue, SlotOutcome, SlotReport,
};
use model::{CallerName, IncarnationId, Millis, MonoTime, ProcessClock, ServerName, WorkClass};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;

/// A request for a slot.
#[derive(Debug, Clone)]
pub struct SlotRequest {
    /// Who asks.
    pub caller: CallerName,
    /// Class of the work.
    pub class: WorkClass,
    /// When the call arrived here.
    pub arrived: MonoTime,
    /// When its answer is due.
    pub deadline: MonoTime,
    /// Servers that already failed it.
    pub avoid: Vec<ServerName>,
}

/// A refusal to give a slot; the request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotRefusal {
    /// Why.
    pub cause: RefusalCause,
    /// When a retry may succeed.
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

/// What a queue looks like from outside.
#[derive(Debug, Clone)]
pub struct QueueSnapshot {
    /// Requests that wait.
    pub waiting: usize,
    /// Requests in slots.
    pub in_flight: usize,
    /// What the queue did so far.
    pub counters: QueueCounters,
    /// Backend servers as the rule sees them.
    pub servers: Vec<(ServerName, ServerView)>,
}

/// The queue of a service with those that wait in it.
pub struct ServiceRuntime {
    clock: ProcessClock,
    core: Mutex<QueueCore>,
}

impl ServiceRuntime {
    /// Starts without backend servers.
    pub fn new(clock: ProcessClock, rule: RuleName) -> Self {
        let queue = ServiceQueue::new(rule.rule());
        let core = QueueCore {
            queue,
            waiters: HashMap::new(),
            routes: RouteTimes::default(),
            retries: RetryBudget::default(),
            next_id: 0,
        };
        Self { clock, core: Mutex::new(core) }
    }

    /// Takes over the backend servers.
    pub fn configure(&self, servers: Vec<ServerSlots>, long_yield: Duration) {
        let now = self.clock.now();
        let mut core = self.lock();
        let effects = core.queue.configure(now, servers, long_yield);
        core.carry_out(now, effects);
    }

    /// Gives a backend server no new work any more.
    pub fn mark_leaving(&self, grant: &SlotGrant) {
        self.lock().queue.mark_leaving(&grant.server, grant.incarnation);
    }

    /// Takes note of whether a backend server answered a probe.
    pub fn record_probe(&self, server: &ServerName, incarnation: IncarnationId, answered: bool) {
        self.lock().queue.record_probe(self.clock.now(), server, incarnation, answered);
    }

    /// The learned class of a route.
    pub fn class_of(&self, route: &str) -> WorkClass {
        self.lock().routes.class_of(route)
    }

    /// Learns from the service time of a route.
    pub fn record_route(&self, route: &str, span: Duration) {
        self.lock().routes.record(route, span);
    }

    /// Mean service time of short work over all backend servers, zero if unknown.
    pub fn typical(&self) -> Duration {
        self.lock().queue.typical_service_time()
    }

    /// Counts a first attempt for the retry budget.
    pub fn record_request(&self) {
        self.lock().retries.record_request();
    }

    /// Takes a retry from the budget.
    pub fn take_retry(&self) -> bool {
        self.lock().retries.take_retry()
    }

    /// Refuses what expired and fills slots that came free by time alone.
    pub fn advance(&self) {
        let now = self.clock.now();
        let mut core = self.lock();
        if core.queue.waiting() > 0 {
            let effects = core.queue.advance(now);
            core.carry_out(now, effects);
        }
    }

    /// How the queue stands.
    pub fn snapshot(&self) -> QueueSnapshot {
        let core = self.lock();
        QueueSnapshot {
            waiting: core.queue.waiting(),
            in_flight: core.queue.in_flight(),
            counters: core.queue.counters(),
            servers: core.queue.views(self.clock.now()),
        }
    }

    /// Waits for a slot.
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
            // The sender is dropped only with the queue.
            Err(_) => Err(SlotRefusal { cause: RefusalCause::NoServers, retry_after: Millis(100) }),
        }
    }

    fn enqueue(&self, request: SlotRequest, sender: oneshot::Sender<SlotDecision>) -> QueueId {
        let now = self.clock.now();
        let mut core = self.lock();
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
        let effects = core.queue.arrive(now, arrived, queued);
        core.carry_out(now, effects);
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
        core.carry_out(now, effects);
    }

    fn lock(&self) -> MutexGuard<'_, QueueCore> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl QueueCore {
    /// Tells waiters what was decided. A slot whose waiter is gone is free again.
    fn carry_out(&mut self, now: MonoTime, effects: Vec<QueueEffect>) {
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

/// A place in the queue, given up when the caller goes away.
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

/// A slot of a backend server. [`close`](Self::close) frees it with what was learned; dropping it
/// frees it as abandoned.
pub struct SlotGuard {
    service: Arc<ServiceRuntime>,
    id: QueueId,
    grant: Option<SlotGrant>,
}

impl SlotGuard {
    /// The backend server.
    pub fn grant(&self) -> &SlotGrant {
        self.grant.as_ref().expect("the grant is taken only on close and on drop")
    }

    /// Frees the slot.
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
