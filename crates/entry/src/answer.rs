//! Answers to calls that no backend server gave.

use bytes::Bytes;
use model::wire::{ErrorBody, HeaderLine};
use model::{InstanceName, Millis, RunVerdict};
use peer::ForwardAnswer;
use smol_str::SmolStr;

/// Why a call is refused before any backend server saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallRefusal {
    /// The service is not configured.
    UnknownService,
    /// No configuration is known yet.
    NoConfig,
    /// Neither the store nor another instance confirms the configuration.
    Isolated,
    /// The store's last confirmation is too old.
    Stale,
    /// The chain of calls is too deep.
    TooDeep,
    /// The work must not repeat and the call brings neither a ticket nor a key.
    NoTicket,
    /// The ticket is malformed, forged or for another service.
    BadTicket(dispatch::TicketError),
    /// No place is left for another ticket.
    TableFull,
    /// The request itself is wrong.
    BadRequest(SmolStr),
    /// The body did not arrive whole. The caller may send the request again under the same ticket.
    BodyBroken(SmolStr),
    /// The body exceeds the limit.
    BodyTooLong,
    /// The queue refused the request.
    Queue(crate::service::SlotRefusal),
    /// No backend server took the request, and none may have run it.
    Unserved(SmolStr),
}

impl CallRefusal {
    /// The HTTP status for the caller.
    pub fn status(&self) -> u16 {
        match self {
            Self::UnknownService => 404,
            Self::NoTicket => 428,
            Self::TooDeep => 508,
            Self::BadTicket(_) | Self::BadRequest(_) | Self::BodyBroken(_) => 400,
            Self::BodyTooLong => 413,
            Self::NoConfig
            | Self::Isolated
            | Self::Stale
            | Self::TableFull
            | Self::Queue(_)
            | Self::Unserved(_) => 503,
        }
    }

    /// The cause as a metric label.
    pub fn label(&self) -> &'static str {
        match self {
            Self::UnknownService => "unknown_service",
            Self::NoConfig => "no_config",
            Self::Isolated => "isolated",
            Self::Stale => "stale",
            Self::TooDeep => "too_deep",
            Self::NoTicket => "no_ticket",
            Self::BadTicket(_) => "bad_ticket",
            Self::TableFull => "table_full",
            Self::BadRequest(_) => "bad_request",
            Self::BodyBroken(_) => "body_broken",
            Self::BodyTooLong => "body_too_long",
            Self::Queue(refusal) => refusal.cause.as_str(),
            Self::Unserved(_) => "unserved",
        }
    }

    /// The cause for a person.
    pub fn text(&self) -> SmolStr {
        match self {
            Self::UnknownService => "unknown service".into(),
            Self::NoConfig => "no configuration known yet".into(),
            Self::Isolated => "instance is cut off from the store and from all others".into(),
            Self::Stale => "the configuration was not confirmed for too long".into(),
            Self::TooDeep => "chain of calls too deep".into(),
            Self::NoTicket => "work that must not repeat needs a ticket or a first attempt".into(),
            Self::BadTicket(cause) => smol_str::ToSmolStr::to_smolstr(cause),
            Self::TableFull => "no room for another ticket".into(),
            Self::BadRequest(cause) | Self::BodyBroken(cause) | Self::Unserved(cause) => {
                cause.clone()
            }
            Self::BodyTooLong => "body too long".into(),
            Self::Queue(refusal) => refusal.cause.as_str().into(),
        }
    }

    fn retry_after(&self) -> Option<Millis> {
        match self {
            Self::Queue(refusal) => Some(refusal.retry_after),
            Self::Unserved(_) | Self::TableFull | Self::NoConfig => Some(Millis(100)),
            _ => None,
        }
    }

    /// The answer that tells the refusal.
    pub fn answer(&self, instance: &InstanceName, verdict: RunVerdict) -> ForwardAnswer {
        let mut answer = error_answer(instance, verdict, self.status(), self.text());
        answer.retry_after = self.retry_after();
        answer
    }
}

/// The answer for work of which nobody knows whether it ran.
pub fn unknown_response(instance: &InstanceName, cause: impl Into<SmolStr>) -> ForwardAnswer {
    error_answer(instance, RunVerdict::MayHaveRun, 504, cause.into())
}

/// The answer for work that ran, whose own answer cannot be given any more.
pub fn lost_response(instance: &InstanceName) -> ForwardAnswer {
    let cause = SmolStr::new_static("the work ran; its answer is no longer kept");
    error_answer(instance, RunVerdict::Ran, 410, cause)
}

fn error_answer(
    instance: &InstanceName,
    verdict: RunVerdict,
    status: u16,
    error: SmolStr,
) -> ForwardAnswer {
    let body = serde_json::to_vec(&ErrorBody { error, verdict }).unwrap_or_default();
    ForwardAnswer {
        verdict,
        status,
        headers: vec![HeaderLine {
            name: SmolStr::new_static("content-type"),
            value: b"application/json".to_vec(),
        }],
        server: SmolStr::default(),
        instance: instance.clone(),
        queue_micros: 0,
        retry_after: None,
        body: Bytes::from(body),
        clock: 0,
    }
}
