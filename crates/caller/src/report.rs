//! How a call ended, and what its caller is told.

use bytes::Bytes;
use http::Response;
use model::RunVerdict;
use model::wire::{INSTANCE_HEADER, QUEUE_HEADER, SERVER_HEADER, VERDICT_HEADER};
use smol_str::SmolStr;
use std::time::{Duration, Instant};

/// How a call ended.
#[derive(Debug, Clone)]
pub struct CallReport {
    /// Whether the request may have run.
    pub verdict: RunVerdict,
    /// HTTP status, or zero if no instance answered.
    pub status: u16,
    /// The body.
    pub body: Bytes,
    /// The instance that answered.
    pub instance: SmolStr,
    /// The backend server that answered.
    pub server: SmolStr,
    /// Wait before a slot, as the instance measured it.
    pub queue: Duration,
    /// Time from the start of the call to its end.
    pub elapsed: Duration,
    /// Tries at instances.
    pub attempts: u32,
    /// The ticket, for work that must not repeat.
    pub ticket: Option<SmolStr>,
}

/// How a call ended, by one way or by two.
#[derive(Default)]
pub(crate) struct CallEnd {
    /// The answer, if an instance gave one.
    pub(crate) answer: Option<Response<Bytes>>,
    /// Whether bytes of a request without an answer were written.
    pub(crate) may_have_run: bool,
    /// Tries at instances.
    pub(crate) attempts: u32,
    /// Whether no request can be made of what the caller gave.
    pub(crate) is_bad: bool,
}

impl CallEnd {
    fn verdict(&self) -> Option<RunVerdict> {
        let value = self.answer.as_ref()?.headers().get(VERDICT_HEADER)?;
        value.to_str().ok()?.parse().ok()
    }

    pub(crate) fn is_final(&self) -> bool {
        self.verdict() == Some(RunVerdict::Ran)
    }

    /// Of two ways the one that says more.
    pub(crate) fn merge(self, other: Self) -> Self {
        let may_have_run = self.may_have_run
            || other.may_have_run
            || self.verdict() == Some(RunVerdict::MayHaveRun)
            || other.verdict() == Some(RunVerdict::MayHaveRun);
        let attempts = self.attempts + other.attempts;
        let answer =
            if other.is_final() || self.answer.is_none() { other.answer } else { self.answer };
        Self { answer, may_have_run, attempts, is_bad: self.is_bad || other.is_bad }
    }

    pub(crate) fn report(self, started: Instant, ticket: Option<SmolStr>) -> CallReport {
        let unknown = if self.may_have_run { RunVerdict::MayHaveRun } else { RunVerdict::NotRun };
        let mut report = CallReport {
            verdict: unknown,
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
        let Some(answer) = self.answer else {
            return report;
        };
        let text = |name: &str| {
            let value = answer.headers().get(name).and_then(|value| value.to_str().ok());
            SmolStr::new(value.unwrap_or_default())
        };
        report.verdict = match verdict {
            // Without a ticket, an earlier try at another instance may have run. Under a ticket the
            // owner's word is final.
            Some(RunVerdict::NotRun) if report.ticket.is_none() => unknown,
            Some(verdict) => verdict,
            None => RunVerdict::MayHaveRun,
        };
        report.status = answer.status().as_u16();
        report.instance = text(INSTANCE_HEADER);
        report.server = text(SERVER_HEADER);
        report.queue = Duration::from_micros(text(QUEUE_HEADER).parse().unwrap_or_default());
        report.body = answer.into_body();
        report
    }
}
