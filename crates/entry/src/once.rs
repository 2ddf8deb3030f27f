//! Work that must not repeat: each ticket is run by its owner alone and ends once.

use crate::answer::{CallRefusal, lost_response, unknown_response};
use crate::call::{CallContext, CallOrigin, FORWARD_MARGIN, forward};
use crate::local::{LocalCall, RepeatPolicy, run_local};
use crate::service::ServiceRuntime;
use crate::traffic::{TrafficState, lock};
use dispatch::{BeginOutcome, KeyOutcome, StoredResponse, TicketEnd, TicketSerial, TicketText};
use model::wire::TicketState;
use model::{Millis, MonoTime, RunVerdict, ServiceName, WorkClass};
use peer::{ForwardAnswer, ForwardCall, TicketBatch, TicketInquiry};
use smol_str::{SmolStr, ToSmolStr};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;

/// How long after its deadline a backend server's answer is still waited for, so that the ticket
/// ends with what really happened.
const LATE_ANSWER_SPAN: Duration = Duration::from_secs(5);
/// Pause before an owner that did not answer is asked again.
const OWNER_PAUSE: Duration = Duration::from_millis(20);
/// How long another instance may take to issue tickets or to tell how one stands.
const ISSUE_TIMEOUT: Duration = Duration::from_millis(200);
/// Most tickets in one answer.
pub const TICKETS_MAX: u32 = 64;

/// Serves work that must not repeat.
///
/// # Errors
/// A refusal, which proves that the work did not run.
pub(crate) async fn serve_once(
    traffic: &Arc<TrafficState>,
    context: CallContext<'_>,
) -> Result<ForwardAnswer, CallRefusal> {
    let Some(ticket) = &context.call.ticket else {
        return serve_keyed(traffic, context).await;
    };
    let text = TicketText::parse(ticket).map_err(CallRefusal::BadTicket)?;
    if text.instance == traffic.settings.name {
        return match traffic.ticket_key.verify(&text, &context.call.service) {
            Ok(()) => Ok(serve_owned(traffic, &context, text.serial).await),
            Err(cause) if text.incarnation == context.view.this.incarnation => {
                Err(CallRefusal::BadTicket(cause))
            }
            // An earlier process of this name issued it, and what that one ran is not known.
            Err(_) => Ok(unknown_response(&traffic.settings.name, "the ticket's owner is gone")),
        };
    }
    if context.origin == CallOrigin::Peer {
        return Ok(unknown_response(&traffic.settings.name, "the ticket's owner is elsewhere"));
    }
    Ok(ask_owner(traffic, &context, &text).await)
}

/// A caller that brings only its own key: its declared first attempt binds the key here.
async fn serve_keyed(
    traffic: &Arc<TrafficState>,
    context: CallContext<'_>,
) -> Result<ForwardAnswer, CallRefusal> {
    let key = context.key.as_ref().ok_or(CallRefusal::NoTicket)?;
    let call = context.call;
    let outcome = lock(&traffic.tickets).bind_key(
        traffic.clock.now(),
        &call.caller,
        &call.service,
        &key.key,
        key.is_first,
    );
    match outcome {
        KeyOutcome::Bound(serial) => Ok(serve_owned(traffic, &context, serial).await),
        KeyOutcome::TableFull => Err(CallRefusal::TableFull),
        KeyOutcome::Unknown => Ok(unknown_response(
            &traffic.settings.name,
            "the first attempt under this key is not known here",
        )),
    }
}

/// Passes the call to the owner of its ticket. That is safe to do again, since the owner joins
/// later copies to the first.
async fn ask_owner(
    traffic: &TrafficState,
    context: &CallContext<'_>,
    text: &TicketText,
) -> ForwardAnswer {
    loop {
        let left = context.deadline.since(traffic.clock.now());
        let view = traffic.view.load_full();
        let Some(owner) = view.incarnation_record(&text.instance, text.incarnation) else {
            return unknown_response(&traffic.settings.name, "the ticket's owner is gone");
        };
        if left.is_zero() {
            return unknown_response(&traffic.settings.name, "the ticket's owner does not answer");
        }
        let answer = forward(traffic, context.call, owner, left, left + FORWARD_MARGIN).await;
        if let Ok(answer) = answer {
            return answer;
        }
        tokio::time::sleep(OWNER_PAUSE).await;
    }
}

/// Runs the work of a ticket of this process, or joins the run in progress, or tells its end.
async fn serve_owned(
    traffic: &Arc<TrafficState>,
    context: &CallContext<'_>,
    serial: TicketSerial,
) -> ForwardAnswer {
    let receiver = match begin(traffic, context, serial) {
        Ok(receiver) => receiver,
        Err(end) => return end_answer(traffic, &end),
    };
    let deadline = traffic.clock.instant_of(context.deadline.plus(FORWARD_MARGIN / 2));
    wait_for_end(traffic, receiver, deadline).await
}

/// Starts or joins the run of a ticket; an error is the end that it has had.
fn begin(
    traffic: &Arc<TrafficState>,
    context: &CallContext<'_>,
    serial: TicketSerial,
) -> Result<watch::Receiver<Option<TicketEnd>>, TicketEnd> {
    // Both tables change under one lock, so that a copy finds the run that it joins.
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

/// The one run of a ticket, independent of the connections that wait for it.
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
        let tried = Mutex::default();
        let local = LocalCall {
            call: &self.call,
            class: self.class,
            repeat: RepeatPolicy::Once,
            arrived: self.arrived,
            deadline: self.deadline,
            answer_until: self.deadline.plus(LATE_ANSWER_SPAN),
            tried: &tried,
        };
        let guard = RunGuard { traffic: &self.traffic, serial: self.serial, sender };
        let answer = run_local(&self.traffic, &self.service, &local).await;
        guard.close(end_of(answer));
    }
}

/// Ends a ticket once, also when its run fails in an unforeseen way.
struct RunGuard<'a> {
    traffic: &'a TrafficState,
    serial: TicketSerial,
    sender: watch::Sender<Option<TicketEnd>>,
}

impl RunGuard<'_> {
    fn close(self, end: TicketEnd) {
        self.record(end);
    }

    /// Records the end. The table keeps the first one, so that the drop after a close changes
    /// nothing.
    fn record(&self, end: TicketEnd) {
        let mut running = lock(&self.traffic.running);
        let end = lock(&self.traffic.tickets).end(self.serial, end);
        running.remove(&self.serial);
        drop(running);
        self.sender.send_if_modified(|told| {
            let is_first = told.is_none();
            told.get_or_insert(end);
            is_first
        });
    }
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        self.record(TicketEnd::MayHaveRun);
    }
}

fn end_of(answer: ForwardAnswer) -> TicketEnd {
    match answer.verdict {
        RunVerdict::NotRun => TicketEnd::NotRun,
        RunVerdict::MayHaveRun => TicketEnd::MayHaveRun,
        RunVerdict::Ran => TicketEnd::Ran(Some(Arc::new(StoredResponse {
            status: answer.status,
            headers: answer.headers,
            server: answer.server,
            queue_micros: answer.queue_micros,
            body: answer.body,
        }))),
    }
}

async fn wait_for_end(
    traffic: &TrafficState,
    mut receiver: watch::Receiver<Option<TicketEnd>>,
    deadline: std::time::Instant,
) -> ForwardAnswer {
    let waiting = tokio::time::timeout_at(deadline.into(), receiver.wait_for(Option::is_some));
    let end = match waiting.await {
        Ok(Ok(end)) => end.clone(),
        _ => None,
    };
    match end {
        Some(end) => end_answer(traffic, &end),
        None => unknown_response(&traffic.settings.name, "still in progress at the deadline"),
    }
}

pub(crate) fn end_answer(traffic: &TrafficState, end: &TicketEnd) -> ForwardAnswer {
    let instance = &traffic.settings.name;
    match end {
        TicketEnd::NotRun => {
            let refusal = CallRefusal::Unserved("the ticket ended without running".into());
            refusal.answer(instance, RunVerdict::NotRun)
        }
        TicketEnd::MayHaveRun => unknown_response(instance, "the ticket ended without an answer"),
        TicketEnd::Ran(None) => lost_response(instance),
        TicketEnd::Ran(Some(stored)) => ForwardAnswer {
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

/// Issues tickets of this process.
pub(crate) fn issue_own(
    traffic: &TrafficState,
    service: &ServiceName,
    count: u32,
) -> Option<TicketBatch> {
    let now = traffic.clock.now();
    let incarnation = traffic.view.load().this.incarnation;
    let mut table = lock(&traffic.tickets);
    let mut tickets = Vec::new();
    for _ in 0..count.clamp(1, TICKETS_MAX) {
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

/// Issues tickets at the home of the service, where the work will be queued, or else here.
pub(crate) async fn issue_tickets(
    traffic: &TrafficState,
    service: &ServiceName,
    count: u32,
) -> Option<TicketBatch> {
    let view = traffic.view.load_full();
    if view.home_rank(service).is_some() {
        return issue_own(traffic, service, count);
    }
    let homes = view.homes.get(service)?;
    let home = homes.homes.iter().find(|home| !traffic.is_avoided(home));
    let Some(record) = home.and_then(|home| view.live_record(home)) else {
        return issue_own(traffic, service, count);
    };
    let name = service.clone();
    let asked = traffic
        .peers
        .call(record.peer_address, ISSUE_TIMEOUT, |client, context| async move {
            client.issue_tickets(context, name, count).await
        })
        .await;
    match asked {
        Ok(batch) => batch,
        Err(_) => {
            traffic.avoid_instance(&record.name);
            issue_own(traffic, service, count)
        }
    }
}

/// How a ticket of this process stands.
pub(crate) fn own_state(traffic: &TrafficState, ticket: &SmolStr) -> TicketInquiry {
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

/// How a ticket stands, asked at its owner. An owner that is gone leaves `may-have-run`.
pub(crate) async fn ticket_state(
    traffic: &TrafficState,
    ticket: &SmolStr,
) -> Result<TicketState, CallRefusal> {
    let text = TicketText::parse(ticket).map_err(CallRefusal::BadTicket)?;
    let view = traffic.view.load_full();
    let inquiry = if text.instance == traffic.settings.name {
        own_state(traffic, ticket)
    } else {
        let owner = view.incarnation_record(&text.instance, text.incarnation);
        let Some(owner) = owner else {
            return Ok(TicketState::Ended(RunVerdict::MayHaveRun));
        };
        let ticket = ticket.clone();
        let asked = traffic
            .peers
            .call(owner.peer_address, ISSUE_TIMEOUT, |client, context| async move {
                client.ticket_state(context, ticket).await
            })
            .await;
        asked.unwrap_or(TicketInquiry::Unknown)
    };
    Ok(match inquiry {
        TicketInquiry::Known(state) => state,
        TicketInquiry::Unknown => TicketState::Ended(RunVerdict::MayHaveRun),
    })
}
