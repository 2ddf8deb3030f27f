//! Reading of whole request bodies, within a limit for each and a budget for all together.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;
use std::fmt;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes of bodies that may be held in memory at a time. Clones share the budget.
#[derive(Debug, Clone)]
pub struct BodyBudget {
    limit: usize,
    used: Arc<AtomicUsize>,
}

impl BodyBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self { limit, used: Arc::default() }
    }

    /// Returns the most bytes that may be held.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the number of bytes held now.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Whether further `bytes` can be held.
    pub fn has_room(&self, bytes: usize) -> bool {
        self.used().saturating_add(bytes) <= self.limit
    }
}

/// Bytes counted in a [`BodyBudget`] until dropped.
#[derive(Debug)]
pub struct HeldBytes {
    budget: BodyBudget,
    bytes: usize,
}

impl HeldBytes {
    fn new(budget: &BodyBudget) -> Self {
        Self { budget: budget.clone(), bytes: 0 }
    }

    /// Counts further bytes. Returns whether the budget allows them.
    fn add(&mut self, bytes: usize) -> bool {
        if !self.budget.has_room(bytes) {
            return false;
        }
        self.budget.used.fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
        true
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Reason for which a body was not read.
#[derive(Debug)]
pub enum BodyError<E> {
    /// It is longer than its limit.
    TooLong,
    /// The budget for all bodies is used up.
    BudgetUsedUp,
    /// The connection failed, or the body is malformed or cut.
    Broken(E),
}

impl<E: fmt::Display> fmt::Display for BodyError<E> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong => f.write_str("body exceeds the length limit"),
            Self::BudgetUsedUp => f.write_str("memory for bodies is used up"),
            Self::Broken(cause) => write!(f, "body is malformed or cut: {cause}"),
        }
    }
}

/// Reads a whole body of at most `limit` bytes. Counts each part as it arrives, so bodies that never
/// end are bounded, too.
///
/// # Errors
/// [`BodyError`]; the rest of the body was not read.
pub async fn read_body<B: Body<Data = Bytes>>(
    body: B,
    limit: usize,
    budget: &BodyBudget,
) -> Result<(Bytes, HeldBytes), BodyError<B::Error>> {
    let mut held = HeldBytes::new(budget);
    let mut body = pin!(body);
    let mut first = Bytes::new();
    let mut rest = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(BodyError::Broken)?.into_data() else {
            continue;
        };
        if held.bytes.saturating_add(data.len()) > limit {
            return Err(BodyError::TooLong);
        }
        if !held.add(data.len()) {
            return Err(BodyError::BudgetUsedUp);
        }
        if first.is_empty() {
            first = data;
        } else {
            rest.extend_from_slice(&data);
        }
    }
    if rest.is_empty() {
        return Ok((first, held));
    }
    let mut whole = BytesMut::with_capacity(first.len() + rest.len());
    whole.extend_from_slice(&first);
    whole.extend_from_slice(&rest);
    Ok((whole.freeze(), held))
}
