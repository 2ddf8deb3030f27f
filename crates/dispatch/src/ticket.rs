//! One-shot tickets: a request under a ticket runs at most once.
//!
//! Only the process incarnation that issued a ticket, its owner, may run the request. Each ticket
//! ends exactly once, and only the owner's table decides how. Issuing a ticket reserves its entry
//! in the table, so a full table can never lose an end. Expiry uses the owner's monotonic clock
//! only.

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

/// Length of a ticket's signature.
const MAC_BYTES: usize = 16;
/// Separates the fields of a ticket's text.
const SEPARATOR: char = '~';

/// Number of a ticket, unique within one process incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketSerial(pub u64);

/// Why a ticket's text was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TicketError {
    /// The text does not have the fields of a ticket.
    Malformed,
    /// The signature does not match.
    Forged,
    /// The ticket was issued for another service.
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

/// The fields of a ticket. Parsing does not verify the signature.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TicketText {
    /// Instance that issued the ticket.
    pub instance: InstanceName,
    /// Process incarnation that issued it; no other may run the request.
    pub incarnation: IncarnationId,
    /// Number of the ticket within that incarnation.
    pub serial: TicketSerial,
    /// Service for which it was issued.
    pub service: ServiceName,
    mac: [u8; MAC_BYTES],
}

impl TicketText {
    /// Parses a ticket without verifying it.
    ///
    /// # Errors
    /// [`TicketError::Malformed`] if a field is missing, invalid or surplus.
    pub fn parse(text: &str) -> Result<Self, TicketError> {
        let mut fields = text.split(SEPARATOR);
        let mut field = || fields.next().ok_or(TicketError::Malformed);
        let instance = field()?.parse().map_err(|_| TicketError::Malformed)?;
        let incarnation = field()?.parse().map_err(|_| TicketError::Malformed)?;
        let serial = field()?.parse().map(TicketSerial).map_err(|_| TicketError::Malformed)?;
        let service = field()?.parse().map_err(|_| TicketError::Malformed)?;
        let mac = URL_SAFE_NO_PAD.decode(field()?).map_err(|_| TicketError::Malformed)?;
        let mac = mac.try_into().map_err(|_| TicketError::Malformed)?;
        match fields.next() {
            Some(_) => Err(TicketError::Malformed),
            None => Ok(Self { instance, incarnation, serial, service, mac }),
        }
    }

    fn signed_text(&self) -> SmolStr {
        let Self { instance, incarnation, serial, service, .. } = self;
        format_smolstr!("{instance}~{incarnation}~{}~{service}", serial.0)
    }
}

impl fmt::Display for TicketText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}~{}", self.signed_text(), URL_SAFE_NO_PAD.encode(self.mac))
    }
}

/// The key with which a process signs its tickets. It never leaves the process.
pub struct TicketKey([u8; 32]);

impl TicketKey {
    /// Creates a key from random bytes.
    pub fn new(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// Returns a signed ticket.
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

    /// Checks that this key signed the ticket and that it was issued for `service`.
    ///
    /// # Errors
    /// [`TicketError::Forged`] if the signature does not match, [`TicketError::OtherService`] if it
    /// matches but the ticket is for another service.
    pub fn verify(&self, text: &TicketText, service: &ServiceName) -> Result<(), TicketError> {
        // `blake3::Hash` compares in constant time; a byte array does not.
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
        let hash = blake3::keyed_hash(&self.0, text.signed_text().as_bytes());
        let mut mac = [0; MAC_BYTES];
        mac.copy_from_slice(&hash.as_bytes()[..MAC_BYTES]);
        mac
    }
}

/// A complete response of a backend server, kept for repeated uses of its ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredResponse {
    /// HTTP status code.
    pub status: u16,
    /// Response headers for the caller.
    pub headers: Vec<HeaderLine>,
    /// Name of the backend server that ran the request.
    pub server: SmolStr,
    /// Time that the request waited for a slot, in microseconds.
    pub queue_micros: u64,
    /// Response body.
    pub body: Bytes,
}

/// How a ticket ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TicketEnd {
    /// The request ran. The response is `None` if there was no room for it or it is too old.
    Ran(Option<Arc<StoredResponse>>),
    /// The request did not run and never will.
    NotRun,
    /// Whether the request ran is unknown; it is not sent again.
    MayHaveRun,
}

impl TicketEnd {
    /// Returns the verdict reported to callers.
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
    issued_at: MonoTime,
    phase: TicketPhase,
}

/// How a request under a ticket proceeds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BeginOutcome {
    /// First use of the ticket: run the request.
    Start,
    /// Another use is in progress: wait for its end.
    Join,
    /// The ticket has ended: report this end.
    Ended(TicketEnd),
}

/// How a request with an idempotency key chosen by the caller proceeds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyOutcome {
    /// The key belongs to this ticket: proceed as a request under it.
    Bound(TicketSerial),
    /// The key is unknown here and the attempt is not the first, so an earlier one may have run.
    Unknown,
    /// The table is full; the request did not run.
    TableFull,
}

/// Limits of a ticket table.
#[derive(Debug, Clone, Copy)]
pub struct TicketLimits {
    /// Maximum number of tickets in the table.
    pub capacity: usize,
    /// Time after issue during which a ticket may be used first.
    pub valid: Duration,
    /// Time after the end of `valid` during which the ticket's end is kept.
    pub retention: Duration,
    /// Time after issue during which the ticket's response is kept.
    pub response_ttl: Duration,
    /// Maximum total size of the kept response bodies, in bytes.
    pub response_bytes_max: usize,
}

impl Default for TicketLimits {
    fn default() -> Self {
        Self {
            capacity: 100_000,
            valid: Duration::from_secs(60),
            retention: Duration::from_secs(600),
            response_ttl: Duration::from_secs(120),
            response_bytes_max: 16 * 1024 * 1024,
        }
    }
}

/// An idempotency key, scoped to its caller and service.
type BoundKey = (CallerName, ServiceName, SmolStr);

/// The tickets that one process incarnation issued, and how each ended.
#[derive(Debug, Clone)]
pub struct TicketTable {
    limits: TicketLimits,
    /// Entries in order of serial; the front one has the serial `first_serial`.
    entries: VecDeque<TicketEntry>,
    first_serial: u64,
    /// Responses of tickets with a smaller serial have been dropped.
    responses_from: u64,
    response_bytes: usize,
    keys: HashMap<BoundKey, TicketSerial>,
    key_order: VecDeque<(TicketSerial, BoundKey)>,
}

impl TicketTable {
    /// Creates an empty table.
    pub fn new(limits: TicketLimits) -> Self {
        Self {
            limits,
            entries: VecDeque::new(),
            first_serial: 0,
            responses_from: 0,
            response_bytes: 0,
            keys: HashMap::new(),
            key_order: VecDeque::new(),
        }
    }

    /// Returns the limits given at creation.
    pub fn limits(&self) -> &TicketLimits {
        &self.limits
    }

    /// Number of tickets in the table, ended ones included.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table has no tickets.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Total size of the kept response bodies, in bytes.
    pub fn response_bytes(&self) -> usize {
        self.response_bytes
    }

    /// Issues a ticket, or returns `None` if the table is full. Drops expired entries first.
    pub fn issue(&mut self, now: MonoTime) -> Option<TicketSerial> {
        self.drop_expired(now);
        if self.entries.len() >= self.limits.capacity {
            return None;
        }
        self.entries.push_back(TicketEntry { issued_at: now, phase: TicketPhase::Unused });
        Some(TicketSerial(self.first_serial + self.entries.len() as u64 - 1))
    }

    /// Returns the ticket bound to a caller's idempotency key.
    ///
    /// Only an attempt that the caller declares the first may bind a new ticket.
    pub fn bind_key(
        &mut self,
        now: MonoTime,
        caller: &CallerName,
        service: &ServiceName,
        key: &SmolStr,
        is_first: bool,
    ) -> KeyOutcome {
        self.drop_expired(now);
        let bound_key = (caller.clone(), service.clone(), key.clone());
        if let Some(serial) = self.keys.get(&bound_key) {
            return KeyOutcome::Bound(*serial);
        }
        if !is_first {
            return KeyOutcome::Unknown;
        }
        let Some(serial) = self.issue(now) else {
            return KeyOutcome::TableFull;
        };
        self.keys.insert(bound_key.clone(), serial);
        self.key_order.push_back((serial, bound_key));
        KeyOutcome::Bound(serial)
    }

    /// Uses a ticket. The first use of a valid ticket runs the request; all others share its end.
    pub fn begin(&mut self, now: MonoTime, serial: TicketSerial) -> BeginOutcome {
        let valid = self.limits.valid;
        let Some(entry) = self.entry_mut(serial) else {
            // The entry was dropped, so whether the request ran is unknown.
            return BeginOutcome::Ended(TicketEnd::MayHaveRun);
        };
        match &entry.phase {
            TicketPhase::Unused if now.since(entry.issued_at) >= valid => {
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

    /// Ends an unused ticket as not run, so that no later use runs the request. A used ticket stays
    /// unchanged, and its outcome is returned as by [`Self::begin`].
    pub fn refuse(&mut self, now: MonoTime, serial: TicketSerial) -> BeginOutcome {
        let outcome = self.begin(now, serial);
        if outcome != BeginOutcome::Start {
            return outcome;
        }
        BeginOutcome::Ended(self.end(serial, TicketEnd::NotRun))
    }

    /// Records the end of a ticket and returns the end in force, which is the first one recorded. The
    /// call that records it returns the response even if there is no room to keep it.
    pub fn end(&mut self, serial: TicketSerial, end: TicketEnd) -> TicketEnd {
        let free = self.limits.response_bytes_max.saturating_sub(self.response_bytes);
        let Some(entry) = self.entry_mut(serial) else {
            return end;
        };
        if let TicketPhase::Ended(first) = &entry.phase {
            return first.clone();
        }
        let size = body_len(&end);
        let kept = if size > free { TicketEnd::Ran(None) } else { end.clone() };
        let kept_size = body_len(&kept);
        entry.phase = TicketPhase::Ended(kept);
        self.response_bytes += kept_size;
        end
    }

    /// Returns the state of a ticket, or `None` if it was dropped or never issued.
    pub fn state(&self, now: MonoTime, serial: TicketSerial) -> Option<model::wire::TicketState> {
        use model::wire::TicketState;
        let index = usize::try_from(serial.0.checked_sub(self.first_serial)?).ok()?;
        let entry = self.entries.get(index)?;
        Some(match &entry.phase {
            TicketPhase::Unused if now.since(entry.issued_at) >= self.limits.valid => {
                TicketState::Ended(RunVerdict::NotRun)
            }
            TicketPhase::Unused => TicketState::Unused,
            TicketPhase::InProgress => TicketState::InProgress,
            TicketPhase::Ended(end) => TicketState::Ended(end.verdict()),
        })
    }

    fn entry_mut(&mut self, serial: TicketSerial) -> Option<&mut TicketEntry> {
        let index = usize::try_from(serial.0.checked_sub(self.first_serial)?).ok()?;
        self.entries.get_mut(index)
    }

    /// Drops expired responses, then expired tickets and their keys. A ticket in progress, and all
    /// issued after it, stay.
    fn drop_expired(&mut self, now: MonoTime) {
        self.drop_expired_responses(now);
        let ttl = self.limits.valid + self.limits.retention;
        while let Some(oldest) = self.entries.front() {
            let in_progress = matches!(oldest.phase, TicketPhase::InProgress);
            if in_progress || now.since(oldest.issued_at) < ttl {
                break;
            }
            if let Some(removed) = self.entries.pop_front()
                && let TicketPhase::Ended(end) = removed.phase
            {
                self.response_bytes -= body_len(&end);
            }
            self.first_serial += 1;
        }
        while let Some((serial, _)) = self.key_order.front()
            && serial.0 < self.first_serial
        {
            if let Some((_, key)) = self.key_order.pop_front() {
                self.keys.remove(&key);
            }
        }
    }

    fn drop_expired_responses(&mut self, now: MonoTime) {
        let ttl = self.limits.response_ttl;
        self.responses_from = self.responses_from.max(self.first_serial);
        loop {
            let serial = TicketSerial(self.responses_from);
            let Some(entry) = self.entry_mut(serial) else {
                return;
            };
            let in_progress = matches!(entry.phase, TicketPhase::InProgress);
            if in_progress || now.since(entry.issued_at) < ttl {
                return;
            }
            if let TicketPhase::Ended(end @ TicketEnd::Ran(Some(_))) = &mut entry.phase {
                let size = body_len(end);
                *end = TicketEnd::Ran(None);
                self.response_bytes -= size;
            }
            self.responses_from += 1;
        }
    }
}

fn body_len(end: &TicketEnd) -> usize {
    match end {
        TicketEnd::Ran(Some(response)) => response.body.len(),
        _ => 0,
    }
}
