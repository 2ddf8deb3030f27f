//! Refuses requests with a correct verdict for non-idempotent work.
//!
//! A request may be refused before its ticket is checked, while a repeat of it runs or has run. The
//! verdict `not-run` must hold for the ticket, not only for this arrival.

use crate::non_idempotent::end_response;
use crate::request::CallerKey;
use crate::response::{RequestRefusal, lost_response};
use crate::traffic::{TrafficState, lock};
use dispatch::{BeginOutcome, TicketEnd, TicketText};
use model::RunVerdict;
use peer::ForwardReply;
use smol_str::SmolStr;

/// Headers of a request that mark its work as non-idempotent.
#[derive(Debug, Clone, Default)]
pub struct IdempotencyKeys {
    /// Ticket of the request.
    pub ticket: Option<SmolStr>,
    /// The caller's own key.
    pub key: Option<CallerKey>,
}

/// Returns the response for a refused request. If the request has an unused ticket of this process,
/// the ticket ends, so that no repeat runs later.
pub fn refuse_request(
    traffic: &TrafficState,
    keys: &IdempotencyKeys,
    refusal: &RequestRefusal,
) -> ForwardReply {
    let instance = &traffic.settings.name;
    let not_run = || refusal.response(instance, RunVerdict::NotRun);
    let unknown = || refusal.response(instance, RunVerdict::MayHaveRun);
    let Some(ticket) = &keys.ticket else {
        let is_repeat = keys.key.as_ref().is_some_and(|key| !key.is_first);
        return if is_repeat { unknown() } else { not_run() };
    };
    let Ok(text) = TicketText::parse(ticket) else {
        // No process issues malformed tickets, so nothing can run under this one.
        return not_run();
    };
    // An incomplete body does not end the ticket, since the caller may send the request again.
    if text.instance != *instance || matches!(refusal, RequestRefusal::BodyBroken(_)) {
        return unknown();
    }
    if traffic.ticket_key.verify(&text, &text.service).is_err() {
        let is_forged = text.incarnation == traffic.view.load().this.incarnation;
        return if is_forged { not_run() } else { unknown() };
    }
    match lock(&traffic.tickets).refuse(traffic.clock.now(), text.serial) {
        BeginOutcome::Ended(TicketEnd::NotRun) => not_run(),
        BeginOutcome::Ended(TicketEnd::Ran(None)) => lost_response(instance),
        BeginOutcome::Ended(end @ TicketEnd::Ran(_)) => end_response(traffic, &end),
        _ => unknown(),
    }
}
