//! Account of the response bodies that a process holds, from the first byte that is read until the last
//! one is written to the caller.
//!
//! A body waits for its room without being read, so that its server's connection fills up. Short bodies
//! and bodies without a stated length have room of their own: neither long responses nor those that never
//! end delay the short ones.

use crate::body::BodyError;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;
use std::fmt;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Longest body that counts as short, in bytes.
const SHORT_BYTES_MAX: usize = 64 * 1024;
/// Bytes in one unit of the account. Bodies are rounded up to units.
const UNIT_BYTES: usize = 1024;
/// Share of the memory that is set aside for short bodies.
const SHORT_SHARE: f64 = 1.0 / 6.0;
/// Share of the memory for bodies that turn out longer than short ones without having stated it.
const UNSIZED_SHARE: f64 = 1.0 / 3.0;

/// Class of a body by its length.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyClass {
    /// At most 64 KiB.
    Short,
    /// A longer one that states its length.
    Sized,
    /// One without a stated length, beyond its first 64 KiB.
    Unsized,
}

impl BodyClass {
    /// All classes.
    pub const ALL: [Self; 3] = [Self::Short, Self::Sized, Self::Unsized];

    /// Returns the name of the class in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Short => "response_short",
            Self::Sized => "response_sized",
            Self::Unsized => "response_unsized",
        }
    }
}

/// Room for the bodies of one class.
#[derive(Debug)]
struct ClassRoom {
    units: Arc<Semaphore>,
    limit: usize,
    /// Bodies that wait for room.
    waiting: AtomicUsize,
}

impl ClassRoom {
    fn new(bytes: f64) -> Self {
        let limit = (bytes as usize / UNIT_BYTES).clamp(1, Semaphore::MAX_PERMITS);
        Self { units: Arc::new(Semaphore::new(limit)), limit, waiting: AtomicUsize::new(0) }
    }

    /// Waits until `units` are free, in the order of the calls.
    async fn hold(
        &self,
        units: usize,
        deadline: Instant,
    ) -> Result<OwnedSemaphorePermit, HoldError> {
        let count =
            u32::try_from(units).ok().filter(|_| units <= self.limit).ok_or(HoldError::TooLong)?;
        if let Ok(permit) = Arc::clone(&self.units).try_acquire_many_owned(count) {
            return Ok(permit);
        }
        let _waiting = WaitCount::new(&self.waiting);
        let acquiring = Arc::clone(&self.units).acquire_many_owned(count);
        match tokio::time::timeout_at(deadline.into(), acquiring).await {
            Ok(Ok(permit)) => Ok(permit),
            // The semaphore is never closed.
            Ok(Err(_)) | Err(_) => Err(HoldError::NoRoom),
        }
    }
}

/// Counts a waiting body until dropped.
struct WaitCount<'a>(&'a AtomicUsize);

impl<'a> WaitCount<'a> {
    fn new(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for WaitCount<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Why no room was held for a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HoldError {
    /// It is longer than all room of its class.
    TooLong,
    /// No room became free before the deadline.
    NoRoom,
}

impl<E> From<HoldError> for BodyError<E> {
    fn from(cause: HoldError) -> Self {
        match cause {
            HoldError::TooLong => Self::TooLong,
            HoldError::NoRoom => Self::BudgetUsedUp,
        }
    }
}

/// Memory for response bodies. Clones share it.
#[derive(Debug, Clone)]
pub struct ResponseMemory(Arc<[ClassRoom; 3]>);

impl ResponseMemory {
    /// Creates an account of `bytes` for all classes together.
    pub fn new(bytes: usize) -> Self {
        let bytes = bytes as f64;
        Self(Arc::new([
            ClassRoom::new(bytes * SHORT_SHARE),
            ClassRoom::new(bytes * (1.0 - SHORT_SHARE - UNSIZED_SHARE)),
            ClassRoom::new(bytes * UNSIZED_SHARE),
        ]))
    }

    fn room(&self, class: BodyClass) -> &ClassRoom {
        &self.0[class as usize]
    }

    /// Returns the bytes held by the bodies of a class, rounded up to units.
    pub fn held(&self, class: BodyClass) -> usize {
        let room = self.room(class);
        (room.limit - room.units.available_permits()) * UNIT_BYTES
    }

    /// Returns the most bytes that the bodies of a class may hold.
    pub fn limit(&self, class: BodyClass) -> usize {
        self.room(class).limit * UNIT_BYTES
    }

    /// Whether bodies wait for room.
    pub fn is_wanted(&self) -> bool {
        self.0.iter().any(|room| room.waiting.load(Ordering::Relaxed) > 0)
    }

    /// Holds the room that a body needs before any of it is read.
    async fn hold_first(
        &self,
        length: Option<usize>,
        deadline: Instant,
    ) -> Result<HeldRoom, HoldError> {
        let (class, bytes) = match length {
            Some(length) if length > SHORT_BYTES_MAX => (BodyClass::Sized, length),
            Some(length) => (BodyClass::Short, length),
            None => (BodyClass::Short, SHORT_BYTES_MAX),
        };
        let first = self.room(class).hold(bytes.div_ceil(UNIT_BYTES), deadline).await?;
        Ok(HeldRoom { bytes: bytes.next_multiple_of(UNIT_BYTES), first, rest: None })
    }

    /// Doubles the room of a body without stated length until it has `bytes`.
    async fn grow(
        &self,
        held: &mut HeldRoom,
        bytes: usize,
        deadline: Instant,
    ) -> Result<(), HoldError> {
        while held.bytes < bytes {
            let units = held.bytes.div_ceil(UNIT_BYTES);
            let room = self.room(BodyClass::Unsized);
            if held.rest.as_ref().map_or(0, OwnedSemaphorePermit::num_permits) + units > room.limit
            {
                return Err(HoldError::TooLong);
            }
            let further = room.hold(units, deadline).await?;
            held.bytes += units * UNIT_BYTES;
            match &mut held.rest {
                Some(rest) => rest.merge(further),
                None => held.rest = Some(further),
            }
        }
        Ok(())
    }

    /// Reads a whole response body of at most `limit` bytes. Its room stays held until the last copy of
    /// the returned bytes is dropped.
    ///
    /// # Errors
    /// [`BodyError`]; the rest of the body was not read. [`BodyError::BudgetUsedUp`] if there was no room
    /// for it before `deadline`.
    pub async fn read<B: Body<Data = Bytes>>(
        &self,
        body: B,
        limit: usize,
        deadline: Instant,
    ) -> Result<Bytes, BodyError<B::Error>> {
        let exact = body.size_hint().exact();
        let length = exact.map(|length| usize::try_from(length).unwrap_or(usize::MAX));
        if length.is_some_and(|length| length > limit) {
            return Err(BodyError::TooLong);
        }
        let mut held = self.hold_first(length, deadline).await?;
        let mut body = pin!(body);
        let mut first = Bytes::new();
        let mut whole = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(BodyError::Broken)?.into_data() else {
                continue;
            };
            let read = first.len().max(whole.len()).saturating_add(data.len());
            if read > limit {
                return Err(BodyError::TooLong);
            }
            self.grow(&mut held, read, deadline).await?;
            if first.is_empty() && whole.is_empty() {
                first = data;
                continue;
            }
            if whole.is_empty() {
                whole.reserve(length.unwrap_or(held.bytes));
                whole.extend_from_slice(&std::mem::take(&mut first));
            }
            whole.extend_from_slice(&data);
        }
        let bytes = if whole.is_empty() { first } else { whole.freeze() };
        Ok(if bytes.is_empty() {
            bytes
        } else {
            Bytes::from_owner(HeldBody { bytes, _held: held })
        })
    }
}

/// Room held for one body until dropped.
#[derive(Debug)]
struct HeldRoom {
    bytes: usize,
    #[expect(dead_code, reason = "held for its release on drop")]
    first: OwnedSemaphorePermit,
    rest: Option<OwnedSemaphorePermit>,
}

/// A body together with its room.
struct HeldBody {
    bytes: Bytes,
    _held: HeldRoom,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl fmt::Debug for HeldBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HeldBody").field("bytes", &self.bytes.len()).finish_non_exhaustive()
    }
}
