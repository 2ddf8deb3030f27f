//! Outcome of a request and the report that the caller gets of it.

use bytes::Bytes;
use http::Response;
use model::RunVerdict;
use model::wire::{INSTANCE_HEADER, QUEUE_HEADER, SERVER_HEADER, VERDICT_HEADER};
use smol_str::SmolStr;
use std::time::{Duration, Instant};

/// Result of one request of a caller.
#[derive(Debug, Clone)]
pub struct CallReport {
    /// Whether the request may have run.
    pub verdict: RunVerdict,
    /// HTTP status, or zero if no instance responded.
    pub status: u16,
    /// Body of the response; empty if no instance responded.
    pub body: Bytes,
    /// Name of the instance that responded; empty if none did.
    pub instance: SmolStr,
    /// Name of the backend server that responded; empty if none did.
    pub server: SmolStr,
    /// Wait for a slot, as measured by the instance.
    pub queue: Duration,
    /// Time from the start of the request to its end.
    pub elapsed: Duration,
    /// Number of attempts at instances, including those that could not connect.
    pub attempts: u32,
    /// Ticket under which the request was sent, for non-idempotent work.
    pub ticket: Option<SmolStr>,
}

/// Outcome of one sequence of attempts at a request, or the merged outcome of the two sequences of a
/// hedged request.
#[derive(Default)]
pub(crate) struct CallOutcome {
    /// The response, if an instance sent one.
    pub(crate) response: Option<Response<Bytes>>,
    /// Whether any byte of a request that got no response was written.
    pub(crate) may_have_run: bool,
    /// Number of attempts at instances, including those that could not connect.
    pub(crate) attempts: u32,
    /// Whether the arguments of the caller don't form a valid request.
    pub(crate) is_invalid: bool,
}

impl CallOutcome {
    fn verdict(&self) -> Option<RunVerdict> {
        let value = self.response.as_ref()?.headers().get(VERDICT_HEADER)?;
        value.to_str().ok()?.parse().ok()
    }

    /// Whether the response says that the request ran.
    pub(crate) fn is_final(&self) -> bool {
        self.verdict() == Some(RunVerdict::Ran)
    }

    /// Merges the outcomes of the two sequences of attempts. Keeps the response of `self`, unless it has none or
    /// the one of `other` is final.
    pub(crate) fn merge(self, other: Self) -> Self {
        let may_have_run = self.may_have_run
            || other.may_have_run
            || self.verdict() == Some(RunVerdict::MayHaveRun)
            || other.verdict() == Some(RunVerdict::MayHaveRun);
        let attempts = self.attempts + other.attempts;
        let response = if other.is_final() || self.response.is_none() {
            other.response
        } else {
            self.response
        };
        Self { response, may_have_run, attempts, is_invalid: self.is_invalid || other.is_invalid }
    }

    /// Builds the report of a request that began at `started`.
    pub(crate) fn report(self, started: Instant, ticket: Option<SmolStr>) -> CallReport {
        let default_verdict =
            if self.may_have_run { RunVerdict::MayHaveRun } else { RunVerdict::NotRun };
        let mut report = CallReport {
            verdict: default_verdict,
            status: 0,
            body: Bytes::new(),
            instance: SmolStr::default(),
            server: SmolStr::default(),
            queue: Duration::ZERO,
            elapsed: started.elapsed(),
            attempts: self.attempts,
            ticket,
        };
        let verdict = self.verdict();
        let Some(response) = self.response else {
            return report;
        };
        let header_text = |name: &str| {
            let value = response.headers().get(name).and_then(|value| value.to_str().ok());
            SmolStr::new(value.unwrap_or_default())
        };
        report.verdict = match verdict {
            // Without a ticket, an earlier attempt at another instance may have run. With a ticket
            // only its owner runs the request, so the verdict of the response holds.
            Some(RunVerdict::NotRun) if report.ticket.is_none() => default_verdict,
            Some(verdict) => verdict,
            None => RunVerdict::MayHaveRun,
        };
        report.status = response.status().as_u16();
        report.instance = header_text(INSTANCE_HEADER);
        report.server = header_text(SERVER_HEADER);
        report.queue = Duration::from_micros(header_text(QUEUE_HEADER).parse().unwrap_or_default());
        report.body = response.into_body();
        report
    }
}
