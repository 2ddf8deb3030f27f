//! Responses that this instance creates itself instead of a backend server.

use bytes::Bytes;
use model::wire::{ErrorBody, HeaderLine};
use model::{InstanceName, Millis, RunVerdict};
use peer::ForwardReply;
use smol_str::SmolStr;

/// Why a request is refused or rejected without having run at a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestRefusal {
    /// The service is not configured.
    UnknownService,
    /// The instance has no configuration yet.
    NoConfig,
    /// The instance has no contact with the store or any other instance.
    Isolated,
    /// The store's last confirmation of the configuration is too old.
    Stale,
    /// The chain of nested requests is too deep.
    TooDeep,
    /// The work is non-idempotent and the request has neither a ticket nor a caller's key.
    NoTicket,
    /// The ticket is malformed, forged or for another service.
    BadTicket(dispatch::TicketError),
    /// The ticket table is full.
    TableFull,
    /// The request is invalid.
    BadRequest(SmolStr),
    /// The body is incomplete. The caller may send the request again under the same ticket.
    BodyBroken(SmolStr),
    /// The body exceeds the size limit.
    BodyTooLong,
    /// The queue refused the request.
    Queue(crate::service::SlotRefusal),
    /// The instance stops before the deadline of a request that it would forward.
    Stopping,
    /// All attempts failed, and none may have run the request.
    Unserved(SmolStr),
}

impl RequestRefusal {
    /// HTTP status for the caller.
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
            | Self::Stopping
            | Self::Unserved(_) => 503,
        }
    }

    /// Cause as a metric label.
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
            Self::Stopping => "stopping",
            Self::Unserved(_) => "unserved",
        }
    }

    /// Cause as error text for people.
    pub fn text(&self) -> SmolStr {
        match self {
            Self::UnknownService => "unknown service".into(),
            Self::NoConfig => "instance has no configuration yet".into(),
            Self::Isolated => "instance has no contact with the store or any other instance".into(),
            Self::Stale => "the store has not confirmed the configuration within the limit".into(),
            Self::TooDeep => "chain of nested requests too deep".into(),
            Self::NoTicket => "non-idempotent request needs a ticket or an idempotency key".into(),
            Self::BadTicket(cause) => smol_str::ToSmolStr::to_smolstr(cause),
            Self::TableFull => "ticket table is full".into(),
            Self::BadRequest(cause) | Self::BodyBroken(cause) | Self::Unserved(cause) => {
                cause.clone()
            }
            Self::BodyTooLong => "body too long".into(),
            Self::Queue(refusal) => refusal.cause.as_str().into(),
            Self::Stopping => "the instance stops before the request's deadline".into(),
        }
    }

    fn retry_after(&self) -> Option<Millis> {
        match self {
            Self::Queue(refusal) => Some(refusal.retry_after),
            Self::Stopping | Self::Unserved(_) | Self::TableFull | Self::NoConfig => {
                Some(Millis(100))
            }
            _ => None,
        }
    }

    /// Error response that reports the refusal with `verdict`.
    pub fn response(&self, instance: &InstanceName, verdict: RunVerdict) -> ForwardReply {
        let mut response = error_response(instance, verdict, self.status(), self.text());
        response.retry_after = self.retry_after();
        response
    }
}

/// Error response for work that may have run.
pub fn unknown_response(instance: &InstanceName, cause: impl Into<SmolStr>) -> ForwardReply {
    error_response(instance, RunVerdict::MayHaveRun, 504, cause.into())
}

/// Error response for work that ran and whose own response is not available, for example because it
/// is no longer stored.
pub fn lost_response(instance: &InstanceName) -> ForwardReply {
    let cause = SmolStr::new_static("the work ran; its response is no longer stored");
    error_response(instance, RunVerdict::Ran, 410, cause)
}

fn error_response(
    instance: &InstanceName,
    verdict: RunVerdict,
    status: u16,
    error: SmolStr,
) -> ForwardReply {
    let body = serde_json::to_vec(&ErrorBody { error, verdict }).unwrap_or_default();
    ForwardReply {
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
