//! One-shot tickets for work that must not repeat.
//!
//! A ticket names the one process incarnation that may ever run it and ends exactly once. The table
//! of the owner alone decides; it reserves a place for each ticket when it issues it, so that no
//! end is ever lost for want of room. Expiry is judged by the owner's monotonic clock only.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use bytes::Bytes;
use model::wire::HeaderLine;
use model::{CallerName, IncarnationId, InstanceName, MonoTime, RunVerdict, ServiceName};
use smol_str::{SmolStr, format_smolstr};
use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// Bytes of a ticket's signature.
const MAC_BYTES: usize = 16;
/// Separates the parts of a ticket's text.
const SEPARATOR: char = '~';

/// Numbers the tickets of one process incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketSerial(pub u64);

/// Why a text is not a ticket that this process may serve.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TicketError {
    /// The text has not the form of a ticket.
    Malformed,
    /// The signature does not match.
    Forged,
    /// The ticket is for another service.
    OtherService,
}

impl fmt::Display for TicketError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Malformed => "the ticket is malformed",
            Self::Forged => "the ticket's signature does not match",
            Self::OtherService => "the ticket is for another service",
        })
    }
}

impl std::error::Error for TicketError {}

/// The readable parts of a ticket, not yet verified.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TicketText {
    /// The instance that issued it.
    pub instance: InstanceName,
    /// The incarnation that may run it.
    pub incarnation: IncarnationId,
    /// Its number there.
    pub serial: TicketSerial,
    /// The service it is for.
    pub service: ServiceName,
    mac: [u8; MAC_BYTES],
}

impl TicketText {
    /// Reads a ticket.
    ///
    /// # Errors
    /// [`TicketError::Malformed`].
    pub fn parse(text: &str) -> Result<Self, TicketError> {
        let mut parts = text.split(SEPARATOR);
        let mut part = || parts.next().ok_or(TicketError::Malformed);
        let instance = part()?.parse().map_err(|_| TicketError::Malformed)?;
        let incarnation = part()?.parse().map_err(|_| TicketError::Malformed)?;
        let serial = part()?.parse().map(TicketSerial).map_err(|_| TicketError::Malformed)?;
        let service = part()?.parse().map_err(|_| TicketError::Malformed)?;
        let mac = URL_SAFE_NO_PAD.decode(part()?).map_err(|_| TicketError::Malformed)?;
        let mac = mac.try_into().map_err(|_| TicketError::Malformed)?;
        match parts.next() {
            Some(_) => Err(TicketError::Malformed),
            None => Ok(Self { instance, incarnation, serial, service, mac }),
        }
    }

    fn signed_part(&self) -> SmolStr {
        let Self { instance, incarnation, serial, service, .. } = self;
        format_smolstr!("{instance}~{incarnation}~{}~{service}", serial.0)
    }
}

impl fmt::Display for TicketText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}~{}", self.signed_part(), URL_SAFE_NO_PAD.encode(self.mac))
    }
}

/// The key with which a process signs its own tickets; no other process knows it.
pub struct TicketKey([u8; 32]);

impl TicketKey {
    /// Takes random bytes as the key.
    pub fn new(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// Signs a ticket.
    pub fn sign(
        &self,
        instance: InstanceName,
        incarnation: IncarnationId,
        serial: TicketSerial,
        service: ServiceName,
    ) -> TicketText {
        let mut text = TicketText { instance, incarnation, serial, service, mac: [0; MAC_BYTES] };
        text.mac = self.mac(&text);
        text
    }

    /// Checks the signature and the service.
    ///
    /// # Errors
    /// [`TicketError::Forged`] or [`TicketError::OtherService`].
    pub fn verify(&self, text: &TicketText, service: &ServiceName) -> Result<(), TicketError> {
        // The hash type compares in constant time.
        let expected = blake3::keyed_hash(&self.0, &self.mac(text));
        if blake3::keyed_hash(&self.0, &text.mac) != expected {
            return Err(TicketError::Forged);
        }
        if text.service != *service {
            return Err(TicketError::OtherService);
        }
        Ok(())
    }

    fn mac(&self, text: &TicketText) -> [u8; MAC_BYTES] {
        let hash = blake3::keyed_hash(&self.0, text.signed_part().as_bytes());
        let mut mac = [0; MAC_BYTES];
        mac.copy_from_slice(&hash.as_bytes()[..MAC_BYTES]);
        mac
    }
}

/// A whole answer of a backend server, kept so that later uses of a ticket get the same one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// The backend server's headers for the caller.
    pub headers: Vec<HeaderLine>,
    /// The backend server that ran the request.
    pub server: SmolStr,
    /// Wait for a slot, in microseconds.
    pub queue_micros: u64,
    /// The body.
    pub body: Bytes,
}

/// How a ticket ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TicketEnd {
    /// The work ran. The answer is there until it is too old.
    Ran(Option<Arc<StoredResponse>>),
    /// The work did not run and never will.
    NotRun,
    /// Nobody knows whether the work ran; it is not sent again.
    MayHaveRun,
}

impl TicketEnd {
    /// The verdict of this end.
    pub fn verdict(&self) -> RunVerdict {
        match self {
            Self::Ran(_) => RunVerdict::Ran,
            Self::NotRun => RunVerdict::NotRun,
            Self::MayHaveRun => RunVerdict::MayHaveRun,
        }
    }
}

#[derive(Debug, Clone)]
enum TicketPhase {
    Unused,
    InProgress,
    Ended(TicketEnd),
}

#[derive(Debug, Clone)]
struct TicketEntry {
    issued: MonoTime,
    phase: TicketPhase,
}

/// What a request under a ticket has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BeginOutcome {
    /// Run the work: this is the first use.
    Start,
    /// Wait for the end of the use in progress.
    Join,
    /// Tell this end.
    Ended(TicketEnd),
}

/// What a request under a caller's own key has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyOutcome {
    /// Treat the request as one under this ticket.
    Bound(TicketSerial),
    /// The key is unknown here and the attempt is not the first, so the first may have run.
    Unknown,
    /// No place is left; the work did not run.
    TableFull,
}

/// Bounds of a ticket table.
#[derive(Debug, Clone, Copy)]
pub struct TicketLimits {
    /// Tickets that may be remembered at once.
    pub capacity: usize,
    /// How long a ticket can be used after it was issued.
    pub valid: Duration,
    /// How long its end is remembered after that.
    pub retention: Duration,
    /// How long an answer's body is kept after the ticket was issued.
    pub answer_span: Duration,
    /// Bytes of answer bodies kept at once.
    pub answer_bytes: usize,
}

impl Default for TicketLimits {
    fn default() -> Self {
        Self {
            capacity: 100_000,
            valid: Duration::from_secs(60),
            retention: Duration::from_secs(600),
            answer_span: Duration::from_secs(120),
            answer_bytes: 16 * 1024 * 1024,
        }
    }
}

/// Identifies a caller's own key.
type BoundKey = (CallerName, ServiceName, SmolStr);

/// The tickets that one process issued, and how each ended.
#[derive(Debug, Clone)]
pub struct TicketTable {
    limits: TicketLimits,
    /// Tickets by serial, the first of which is `first`.
    entries: VecDeque<TicketEntry>,
    first: u64,
    /// Serial before which answer bodies are gone.
    answers_from: u64,
    answer_bytes: usize,
    keys: HashMap<BoundKey, TicketSerial>,
    key_order: VecDeque<(TicketSerial, BoundKey)>,
}

impl TicketTable {
    /// Starts empty.
    pub fn new(limits: TicketLimits) -> Self {
        Self {
            limits,
            entries: VecDeque::new(),
            first: 0,
            answers_from: 0,
            answer_bytes: 0,
            keys: HashMap::new(),
            key_order: VecDeque::new(),
        }
    }

    /// The bounds of this table.
    pub fn limits(&self) -> &TicketLimits {
        &self.limits
    }

    /// Tickets remembered now.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no ticket is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes of answer bodies kept now.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Reserves a place and gives a ticket for it, or none if the table is full.
    pub fn issue(&mut self, now: MonoTime) -> Option<TicketSerial> {
        self.forget_old(now);
        if self.entries.len() >= self.limits.capacity {
            return None;
        }
        self.entries.push_back(TicketEntry { issued: now, phase: TicketPhase::Unused });
        Some(TicketSerial(self.first + self.entries.len() as u64 - 1))
    }

    /// Binds a caller's own key to a ticket of this process.
    ///
    /// Only the declared first attempt may make a new binding.
    pub fn bind_key(
        &mut self,
        now: MonoTime,
        caller: &CallerName,
        service: &ServiceName,
        key: &SmolStr,
        is_first: bool,
    ) -> KeyOutcome {
        self.forget_old(now);
        let bound = (caller.clone(), service.clone(), key.clone());
        if let Some(serial) = self.keys.get(&bound) {
            return KeyOutcome::Bound(*serial);
        }
        if !is_first {
            return KeyOutcome::Unknown;
        }
        let Some(serial) = self.issue(now) else {
            return KeyOutcome::TableFull;
        };
        self.keys.insert(bound.clone(), serial);
        self.key_order.push_back((serial, bound));
        KeyOutcome::Bound(serial)
    }

    /// Uses a ticket. The first use of a valid one starts the work, all others share its end.
    pub fn begin(&mut self, now: MonoTime, serial: TicketSerial) -> BeginOutcome {
        let valid = self.limits.valid;
        let Some(entry) = self.entry_mut(serial) else {
            // Its end is forgotten, so nobody knows whether it ran.
            return BeginOutcome::Ended(TicketEnd::MayHaveRun);
        };
        match &entry.phase {
            TicketPhase::Unused if now.since(entry.issued) >= valid => {
                entry.phase = TicketPhase::Ended(TicketEnd::NotRun);
                BeginOutcome::Ended(TicketEnd::NotRun)
            }
            TicketPhase::Unused => {
                entry.phase = TicketPhase::InProgress;
                BeginOutcome::Start
            }
            TicketPhase::InProgress => BeginOutcome::Join,
            TicketPhase::Ended(end) => BeginOutcome::Ended(end.clone()),
        }
    }

    /// Ends a ticket that nobody used, so that no copy runs later; others stay as they are.
    pub fn refuse(&mut self, now: MonoTime, serial: TicketSerial) -> BeginOutcome {
        let outcome = self.begin(now, serial);
        if outcome != BeginOutcome::Start {
            return outcome;
        }
        BeginOutcome::Ended(self.end(serial, TicketEnd::NotRun))
    }

    /// Records the end of a ticket in progress. Only the first end counts; gives the one in force.
    pub fn end(&mut self, serial: TicketSerial, end: TicketEnd) -> TicketEnd {
        let room = self.limits.answer_bytes.saturating_sub(self.answer_bytes);
        let Some(entry) = self.entry_mut(serial) else {
            return end;
        };
        if let TicketPhase::Ended(first) = &entry.phase {
            return first.clone();
        }
        let size = body_len(&end);
        let kept = if size > room { TicketEnd::Ran(None) } else { end.clone() };
        let kept_size = body_len(&kept);
        entry.phase = TicketPhase::Ended(kept);
        self.answer_bytes += kept_size;
        end
    }

    /// How a ticket stands, or none if it is forgotten or was never issued.
    pub fn state(&self, now: MonoTime, serial: TicketSerial) -> Option<model::wire::TicketState> {
        use model::wire::TicketState;
        let index = usize::try_from(serial.0.checked_sub(self.first)?).ok()?;
        let entry = self.entries.get(index)?;
        Some(match &entry.phase {
            TicketPhase::Unused if now.since(entry.issued) >= self.limits.valid => {
                TicketState::Ended(RunVerdict::NotRun)
            }
            TicketPhase::Unused => TicketState::Unused,
            TicketPhase::InProgress => TicketState::InProgress,
            TicketPhase::Ended(end) => TicketState::Ended(end.verdict()),
        })
    }

    fn entry_mut(&mut self, serial: TicketSerial) -> Option<&mut TicketEntry> {
        let index = usize::try_from(serial.0.checked_sub(self.first)?).ok()?;
        self.entries.get_mut(index)
    }

    /// Drops answers and then tickets that are past their time. A ticket in progress stays.
    fn forget_old(&mut self, now: MonoTime) {
        self.forget_answers(now);
        let span = self.limits.valid + self.limits.retention;
        while let Some(oldest) = self.entries.front() {
            let in_progress = matches!(oldest.phase, TicketPhase::InProgress);
            if in_progress || now.since(oldest.issued) < span {
                break;
            }
            if let Some(gone) = self.entries.pop_front()
                && let TicketPhase::Ended(end) = gone.phase
            {
                self.answer_bytes -= body_len(&end);
            }
            self.first += 1;
        }
        while let Some((serial, _)) = self.key_order.front()
            && serial.0 < self.first
        {
            if let Some((_, key)) = self.key_order.pop_front() {
                self.keys.remove(&key);
            }
        }
    }

    fn forget_answers(&mut self, now: MonoTime) {
        let span = self.limits.answer_span;
        self.answers_from = self.answers_from.max(self.first);
        loop {
            let serial = TicketSerial(self.answers_from);
            let Some(entry) = self.entry_mut(serial) else {
                return;
            };
            let in_progress = matches!(entry.phase, TicketPhase::InProgress);
            if in_progress || now.since(entry.issued) < span {
                return;
            }
            if let TicketPhase::Ended(end @ TicketEnd::Ran(Some(_))) = &mut entry.phase {
                let size = body_len(end);
                *end = TicketEnd::Ran(None);
                self.answer_bytes -= size;
            }
            self.answers_from += 1;
        }
    }
}

fn body_len(end: &TicketEnd) -> usize {
    match end {
        TicketEnd::Ran(Some(answer)) => answer.body.len(),
        _ => 0,
    }
}
