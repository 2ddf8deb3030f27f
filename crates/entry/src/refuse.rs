//! Refusals of work that must not repeat.
//!
//! A request may be refused before anyone looks at its ticket, while another copy of it runs or has
//! run. "Not run" is told only where it holds for the ticket and not for this copy alone.

use crate::non_idempotent::end_response;
use crate::request::CallerKey;
use crate::response::{RequestRefusal, lost_response};
use crate::traffic::{TrafficState, lock};
use dispatch::{BeginOutcome, TicketEnd, TicketText};
use model::RunVerdict;
use peer::ForwardAnswer;
use smol_str::SmolStr;

/// What a request brings to mark work that must not repeat.
#[derive(Debug, Clone, Default)]
pub struct IdempotencyKeys {
    /// Its ticket.
    pub ticket: Option<SmolStr>,
    /// Its caller's own key.
    pub key: Option<CallerKey>,
}

/// Refuses a request. Under a ticket of this process that nobody used, the refusal ends the ticket,
/// so that no copy runs later.
pub fn refuse_request(
    traffic: &TrafficState,
    keys: &IdempotencyKeys,
    refusal: &RequestRefusal,
) -> ForwardAnswer {
    let instance = &traffic.settings.name;
    let not_run = || refusal.response(instance, RunVerdict::NotRun);
    let unknown = || refusal.response(instance, RunVerdict::MayHaveRun);
    let Some(ticket) = &keys.ticket else {
        let is_repeat = keys.key.as_ref().is_some_and(|key| !key.is_first);
        return if is_repeat { unknown() } else { not_run() };
    };
    let Ok(text) = TicketText::parse(ticket) else {
        // No process ever issued it, so nothing can run under it.
        return not_run();
    };
    // The ticket is not ended for a body that broke off: its caller is about to send it again.
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
