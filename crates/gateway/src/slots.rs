//! Acquires and frees slots of backend servers.

use crate::state::GatewayState;
use balance::{
    ExchangeOutcome, Placement, QueueDecision, QueueId, QueueRefusal, RefusalCause, RequestSpec,
};
use model::Millis;
use smol_str::format_smolstr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Interval at which the queue is advanced while requests wait. It is also advanced whenever a slot
/// is freed.
const QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Retry delay of a request that the queue did not decide on.
const LOST_RETRY_AFTER: Millis = Millis(100);

/// A slot of a backend server. [`close`](Self::close) frees it with the outcome of the exchange;
/// dropping the guard frees it as abandoned.
pub(crate) struct SlotGuard {
    state: Rc<GatewayState>,
    id: QueueId,
    placement: Placement,
    is_open: bool,
}

impl SlotGuard {
    pub fn new(state: &Rc<GatewayState>, id: QueueId, placement: Placement) -> Self {
        Self { state: Rc::clone(state), id, placement, is_open: true }
    }

    pub fn placement(&self) -> &Placement {
        &self.placement
    }

    /// Frees the slot. Returns the duration of the exchange.
    pub fn close(mut self, outcome: ExchangeOutcome) -> Option<Duration> {
        self.release(outcome)
    }

    fn release(&mut self, outcome: ExchangeOutcome) -> Option<Duration> {
        self.is_open = false;
        let now = self.state.now();
        let duration = self.state.queue().finish(now, self.id, &self.placement.key, outcome);
        advance_queue(&self.state);
        duration
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        if self.is_open {
            self.release(ExchangeOutcome::Abandoned);
        }
    }
}

/// Waits for the decision on a queued request. Dropping it, as when the caller disconnects, removes
/// the request from the queue or frees the slot it was given meanwhile.
struct QueueWaiter {
    state: Rc<GatewayState>,
    id: QueueId,
    receiver: oneshot::Receiver<QueueDecision>,
    is_decided: bool,
}

impl Drop for QueueWaiter {
    fn drop(&mut self) {
        if self.is_decided {
            return;
        }
        self.state.waiters.borrow_mut().remove(&self.id);
        match self.receiver.try_recv() {
            Ok(QueueDecision::Send(placement)) => {
                drop(SlotGuard::new(&self.state, self.id, placement));
            }
            Ok(QueueDecision::Refuse(_)) => {}
            Err(_) => self.state.queue().cancel(self.id),
        }
    }
}

/// Queues a request and waits for a slot, at most until the request's deadline.
///
/// # Errors
/// The queue refused the request, or did not decide in time; it did not run.
pub(crate) async fn acquire_slot(
    state: &Rc<GatewayState>,
    spec: RequestSpec,
) -> Result<SlotGuard, QueueRefusal> {
    let deadline = state.clock.instant_of(spec.deadline);
    let (id, decision) = state.queue().submit(state.now(), spec);
    let decision = match decision {
        Some(decision) => decision,
        None => {
            let (sender, receiver) = oneshot::channel();
            state.waiters.borrow_mut().insert(id, sender);
            state.queue_wakeup.notify_one();
            let mut waiter =
                QueueWaiter { state: Rc::clone(state), id, receiver, is_decided: false };
            match tokio::time::timeout_at(deadline.into(), &mut waiter.receiver).await {
                Ok(Ok(decision)) => {
                    waiter.is_decided = true;
                    decision
                }
                // Work of a few milliseconds may reach its deadline between two rounds of the queue; the
                // queue has lost any other request that gets here.
                Ok(Err(_)) | Err(_) => {
                    state.log.state("queue_lost", &format_smolstr!("{id:?}"));
                    let refusal = QueueRefusal {
                        cause: RefusalCause::Expired,
                        retry_after: LOST_RETRY_AFTER,
                    };
                    QueueDecision::Refuse(refusal)
                }
            }
        }
    };
    match decision {
        QueueDecision::Send(placement) => Ok(SlotGuard::new(state, id, placement)),
        QueueDecision::Refuse(refusal) => Err(refusal),
    }
}

/// Places or refuses queued requests, and frees the slots of those whose callers have disconnected.
pub(crate) fn advance_queue(state: &Rc<GatewayState>) {
    loop {
        let decided = state.queue().advance(state.now());
        let mut abandoned = Vec::new();
        for (id, decision) in decided {
            let waiter = state.waiters.borrow_mut().remove(&id);
            let unsent = match waiter {
                Some(waiter) => waiter.send(decision).err(),
                None => Some(decision),
            };
            if let Some(QueueDecision::Send(placement)) = unsent {
                abandoned.push((id, placement));
            }
        }
        if abandoned.is_empty() {
            return;
        }
        for (id, placement) in abandoned {
            let now = state.now();
            state.queue().finish(now, id, &placement.key, ExchangeOutcome::Abandoned);
        }
    }
}

/// Advances the queue periodically while requests wait.
pub(crate) async fn run_queue(state: Rc<GatewayState>) {
    loop {
        if state.queue().waiting() == 0 {
            state.queue_wakeup.notified().await;
        }
        tokio::time::sleep(QUEUE_CHECK_INTERVAL).await;
        advance_queue(&state);
    }
}
