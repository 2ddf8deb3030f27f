//! Serves non-idempotent work. Only the instance that issued a ticket, its owner, runs the work of
//! the ticket, and each ticket ends exactly once.

use crate::local::{Idempotency, LocalRequest, run_local};
use crate::request::{FORWARD_MARGIN, RequestContext, RequestOrigin, forward};
use crate::response::{RequestRefusal, lost_response, unknown_response};
use crate::service::ServiceRuntime;
use crate::traffic::{TrafficState, lock};
use dispatch::{BeginOutcome, KeyOutcome, StoredResponse, TicketEnd, TicketSerial, TicketText};
use model::wire::TicketState;
use model::{Millis, MonoTime, RunVerdict, ServiceName, WorkClass};
use peer::{ForwardCall, ForwardReply, TicketBatch, TicketInquiry};
use smol_str::{SmolStr, ToSmolStr};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;

/// Time after the deadline during which a backend server's response is still awaited, so that the
/// ticket ends with the actual outcome.
const LATE_RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay before a request is forwarded again to an owner that did not reply.
const OWNER_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Timeout of a call to another instance that issues tickets or returns the state of one.
const TICKET_CALL_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum number of tickets in one response.
pub const TICKETS_PER_RESPONSE_MAX: u32 = 64;

/// Serves a non-idempotent request.
///
/// # Errors
/// A refusal, which proves that the work did not run.
pub(crate) async fn serve_non_idempotent(
    traffic: &Arc<TrafficState>,
    context: RequestContext<'_>,
) -> Result<ForwardReply, RequestRefusal> {
    let Some(ticket) = &context.call.ticket else {
        return serve_with_caller_key(traffic, context).await;
    };
    let text = TicketText::parse(ticket).map_err(RequestRefusal::BadTicket)?;
    if text.instance == traffic.settings.name {
        return match traffic.ticket_key.verify(&text, &context.call.service) {
            Ok(()) => Ok(serve_own_ticket(traffic, &context, text.serial).await),
            Err(cause) if text.incarnation == context.view.this.incarnation => {
                Err(RequestRefusal::BadTicket(cause))
            }
            // An earlier process with this name issued the ticket; what it ran is unknown.
            Err(_) => Ok(unknown_response(
                &traffic.settings.name,
                "the instance that issued the ticket is gone",
            )),
        };
    }
    if context.origin == RequestOrigin::Peer {
        return Ok(unknown_response(
            &traffic.settings.name,
            "the ticket was issued by another instance",
        ));
    }
    if !traffic.stop.admits(context.deadline) {
        return Err(RequestRefusal::Stopping);
    }
    Ok(forward_to_owner(traffic, &context, &text).await)
}

/// Serves a request that has a caller's key and no ticket. The declared first attempt binds the key
/// to a ticket of this instance.
async fn serve_with_caller_key(
    traffic: &Arc<TrafficState>,
    context: RequestContext<'_>,
) -> Result<ForwardReply, RequestRefusal> {
    let key = context.key.as_ref().ok_or(RequestRefusal::NoTicket)?;
    let call = context.call;
    let outcome = lock(&traffic.tickets).bind_key(
        traffic.clock.now(),
        &call.caller,
        &call.service,
        &key.key,
        key.is_first,
    );
    match outcome {
        KeyOutcome::Bound(serial) => Ok(serve_own_ticket(traffic, &context, serial).await),
        KeyOutcome::TableFull => Err(RequestRefusal::TableFull),
        KeyOutcome::Unknown => Ok(unknown_response(
            &traffic.settings.name,
            "this instance knows no first attempt under this key",
        )),
    }
}

/// Forwards the request to the owner of its ticket until the owner replies. Repeating it is safe,
/// since the owner joins repeats to the first arrival.
async fn forward_to_owner(
    traffic: &TrafficState,
    context: &RequestContext<'_>,
    text: &TicketText,
) -> ForwardReply {
    loop {
        let left = context.deadline.since(traffic.clock.now());
        let view = traffic.view.load_full();
        let Some(owner) = view.incarnation_record(&text.instance, text.incarnation) else {
            return unknown_response(
                &traffic.settings.name,
                "the instance that issued the ticket is gone",
            );
        };
        if left.is_zero() {
            return unknown_response(
                &traffic.settings.name,
                "the ticket's owner did not reply by the deadline",
            );
        }
        let result = forward(traffic, context.call, owner, left, left + FORWARD_MARGIN).await;
        if let Ok(response) = result {
            return response;
        }
        tokio::time::sleep(OWNER_RETRY_DELAY).await;
    }
}

/// Runs the work of a ticket of this process, joins the run in progress, or returns the recorded
/// end.
async fn serve_own_ticket(
    traffic: &Arc<TrafficState>,
    context: &RequestContext<'_>,
    serial: TicketSerial,
) -> ForwardReply {
    let receiver = match start_or_join(traffic, context, serial) {
        Ok(receiver) => receiver,
        Err(end) => return end_response(traffic, &end),
    };
    let deadline = traffic.clock.instant_of(context.deadline.plus(FORWARD_MARGIN / 2));
    wait_for_end(traffic, receiver, deadline).await
}

/// Starts or joins the run of a ticket.
///
/// # Errors
/// The end of a ticket that has ended already.
fn start_or_join(
    traffic: &Arc<TrafficState>,
    context: &RequestContext<'_>,
    serial: TicketSerial,
) -> Result<watch::Receiver<Option<TicketEnd>>, TicketEnd> {
    // `running` stays locked while the ticket table changes, so that a repeat finds the run to join.
    let mut running = lock(&traffic.running);
    match lock(&traffic.tickets).begin(traffic.clock.now(), serial) {
        BeginOutcome::Ended(end) => Err(end),
        BeginOutcome::Join => running.get(&serial).cloned().ok_or(TicketEnd::MayHaveRun),
        BeginOutcome::Start => {
            let (sender, receiver) = watch::channel(None);
            running.insert(serial, receiver.clone());
            let run = TicketRun {
                traffic: Arc::clone(traffic),
                service: Arc::clone(&context.service),
                call: context.call.clone(),
                class: context.class,
                arrived: context.arrived,
                deadline: context.deadline,
                serial,
            };
            tokio::spawn(run.run(sender));
            Ok(receiver)
        }
    }
}

/// The only run of a ticket. It continues when the connections that wait for it close.
struct TicketRun {
    traffic: Arc<TrafficState>,
    service: Arc<ServiceRuntime>,
    call: ForwardCall,
    class: WorkClass,
    arrived: MonoTime,
    deadline: MonoTime,
    serial: TicketSerial,
}

impl TicketRun {
    async fn run(self, sender: watch::Sender<Option<TicketEnd>>) {
        self.service.record_request();
        let attempts = Mutex::default();
        let local = LocalRequest {
            call: &self.call,
            class: self.class,
            idempotency: Idempotency::NonIdempotent,
            arrived: self.arrived,
            deadline: self.deadline,
            response_deadline: self.deadline.plus(LATE_RESPONSE_TIMEOUT),
            attempts: &attempts,
        };
        let guard = RunGuard { traffic: &self.traffic, serial: self.serial, sender };
        let response = run_local(&self.traffic, &self.service, &local).await;
        guard.finish(end_of(response));
    }
}

/// Ends a ticket exactly once, also when its run panics or is cancelled.
struct RunGuard<'a> {
    traffic: &'a TrafficState,
    serial: TicketSerial,
    sender: watch::Sender<Option<TicketEnd>>,
}

impl RunGuard<'_> {
    fn finish(self, end: TicketEnd) {
        self.record(end);
    }

    /// Records the end. The table keeps the first end, so the drop after `finish` has no effect.
    fn record(&self, end: TicketEnd) {
        let mut running = lock(&self.traffic.running);
        let end = lock(&self.traffic.tickets).end(self.serial, end);
        running.remove(&self.serial);
        drop(running);
        self.sender.send_if_modified(|recorded| {
            let is_first = recorded.is_none();
            recorded.get_or_insert(end);
            is_first
        });
    }
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        self.record(TicketEnd::MayHaveRun);
    }
}

fn end_of(response: ForwardReply) -> TicketEnd {
    match response.verdict {
        RunVerdict::NotRun => TicketEnd::NotRun,
        RunVerdict::MayHaveRun => TicketEnd::MayHaveRun,
        RunVerdict::Ran => TicketEnd::Ran(Some(Arc::new(StoredResponse {
            status: response.status,
            headers: response.headers,
            server: response.server,
            queue_micros: response.queue_micros,
            body: response.body,
        }))),
    }
}

async fn wait_for_end(
    traffic: &TrafficState,
    mut receiver: watch::Receiver<Option<TicketEnd>>,
    deadline: std::time::Instant,
) -> ForwardReply {
    let waiting = tokio::time::timeout_at(deadline.into(), receiver.wait_for(Option::is_some));
    let end = match waiting.await {
        Ok(Ok(end)) => end.clone(),
        _ => None,
    };
    match end {
        Some(end) => end_response(traffic, &end),
        None => unknown_response(
            &traffic.settings.name,
            "the work was still in progress at the deadline",
        ),
    }
}

/// Response for a ticket that has ended.
pub(crate) fn end_response(traffic: &TrafficState, end: &TicketEnd) -> ForwardReply {
    let instance = &traffic.settings.name;
    match end {
        TicketEnd::NotRun => {
            let refusal =
                RequestRefusal::Unserved("the ticket ended without running the work".into());
            refusal.response(instance, RunVerdict::NotRun)
        }
        TicketEnd::MayHaveRun => unknown_response(
            instance,
            "the ticket ended without a response from the backend server",
        ),
        TicketEnd::Ran(None) => lost_response(instance),
        TicketEnd::Ran(Some(stored)) => ForwardReply {
            verdict: RunVerdict::Ran,
            status: stored.status,
            headers: stored.headers.clone(),
            server: stored.server.clone(),
            instance: instance.clone(),
            queue_micros: stored.queue_micros,
            retry_after: None,
            body: stored.body.clone(),
            clock: 0,
        },
    }
}

/// Issues up to `count` tickets of this process. Returns `None` if the ticket table is full.
pub(crate) fn issue_own_tickets(
    traffic: &TrafficState,
    service: &ServiceName,
    count: u32,
) -> Option<TicketBatch> {
    let now = traffic.clock.now();
    let incarnation = traffic.view.load().this.incarnation;
    let mut table = lock(&traffic.tickets);
    let mut tickets = Vec::new();
    for _ in 0..count.clamp(1, TICKETS_PER_RESPONSE_MAX) {
        let Some(serial) = table.issue(now) else {
            break;
        };
        let name = traffic.settings.name.clone();
        let text = traffic.ticket_key.sign(name, incarnation, serial, service.clone());
        tickets.push(text.to_smolstr());
    }
    let valid = Millis::from(table.limits().valid);
    drop(table);
    if tickets.is_empty() {
        traffic.metrics.tickets_refused.inc();
        return None;
    }
    traffic.metrics.tickets_issued.inc_by(tickets.len() as u64);
    Some(TicketBatch { tickets, valid })
}

/// Issues tickets at the home of the service, where the work will be queued, or at this instance if
/// no home is reachable. Returns `None` if the ticket table is full.
pub(crate) async fn issue_tickets(
    traffic: &TrafficState,
    service: &ServiceName,
    count: u32,
) -> Option<TicketBatch> {
    let view = traffic.view.load_full();
    if view.home_rank(service).is_some() {
        return issue_own_tickets(traffic, service, count);
    }
    let homes = view.homes.get(service)?;
    let home = homes.homes.iter().find(|home| !traffic.is_avoided(home));
    let Some(record) = home.and_then(|home| view.alive_record(home)) else {
        return issue_own_tickets(traffic, service, count);
    };
    let name = service.clone();
    let result = traffic
        .peers
        .call(record.peer_address, TICKET_CALL_TIMEOUT, |client, context| async move {
            client.issue_tickets(context, name, count).await
        })
        .await;
    match result {
        Ok(batch) => batch,
        Err(_) => {
            traffic.avoid_instance(&record.name);
            issue_own_tickets(traffic, service, count)
        }
    }
}

/// State of a ticket of this process. Forged tickets and those of other processes are unknown.
pub(crate) fn own_ticket_state(traffic: &TrafficState, ticket: &SmolStr) -> TicketInquiry {
    let Ok(text) = TicketText::parse(ticket) else {
        return TicketInquiry::Unknown;
    };
    let service = text.service.clone();
    if text.instance != traffic.settings.name || traffic.ticket_key.verify(&text, &service).is_err()
    {
        return TicketInquiry::Unknown;
    }
    match lock(&traffic.tickets).state(traffic.clock.now(), text.serial) {
        Some(state) => TicketInquiry::Known(state),
        None => TicketInquiry::Unknown,
    }
}

/// State of a ticket according to its owner; `may-have-run` if the owner is gone or does not
/// reply.
///
/// # Errors
/// A malformed ticket.
pub(crate) async fn ticket_state(
    traffic: &TrafficState,
    ticket: &SmolStr,
) -> Result<TicketState, RequestRefusal> {
    let text = TicketText::parse(ticket).map_err(RequestRefusal::BadTicket)?;
    let view = traffic.view.load_full();
    let inquiry = if text.instance == traffic.settings.name {
        own_ticket_state(traffic, ticket)
    } else {
        let owner = view.incarnation_record(&text.instance, text.incarnation);
        let Some(owner) = owner else {
            return Ok(TicketState::Ended(RunVerdict::MayHaveRun));
        };
        let ticket = ticket.clone();
        let result = traffic
            .peers
            .call(owner.peer_address, TICKET_CALL_TIMEOUT, |client, context| async move {
                client.ticket_state(context, ticket).await
            })
            .await;
        result.unwrap_or(TicketInquiry::Unknown)
    };
    Ok(match inquiry {
        TicketInquiry::Known(state) => state,
        TicketInquiry::Unknown => TicketState::Ended(RunVerdict::MayHaveRun),
    })
}
