//! Accepts a batch of changes by a compare-and-swap on the configuration document.
//!
//! The id of the batch is written with it. After a lost reply, the write is repeated on the same
//! revision. Either the first write was applied, which the id in the document shows, or the second
//! one advances the revision, so that the first can no longer be applied. The outcome is
//! `NotAccepted` only when no write of the batch can still be applied.

use command::{ApplyError, ChangeBatch, apply_batch};
use model::{ChangeId, ConfigDocument, IncarnationId, InstanceName, StoreRevision};
use smol_str::{SmolStr, ToSmolStr};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;
use store::{PlatformStore, StoreError, StoreKey, StoredValue};
use tokio::time::Instant;

/// Delay between attempts.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Reason why a batch is not accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RejectCause {
    /// The batch cannot be applied to the configuration.
    Apply(ApplyError),
    /// The store did not apply the write by the deadline.
    Store(SmolStr),
    /// The new document cannot be serialized.
    Document(SmolStr),
}

impl fmt::Display for RejectCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Apply(cause) => cause.fmt(f),
            Self::Store(cause) => write!(f, "store: {cause}"),
            Self::Document(cause) => write!(f, "serializing the new document: {cause}"),
        }
    }
}

/// Outcome of a batch.
#[derive(Debug, Clone, PartialEq)]
pub enum ChangeOutcome {
    /// The batch is in the store.
    Accepted {
        /// Store revision of `document`.
        revision: StoreRevision,
        /// Latest document read or written, which contains the batch.
        document: Arc<ConfigDocument>,
    },
    /// The batch is not in the store and no write of it can still be applied.
    NotAccepted(RejectCause),
    /// A write was sent and may still be applied. Contains the last error.
    Undetermined(SmolStr),
}

/// The configuration document with its store revision.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredDocument {
    /// Revision of the document; zero if the store has none yet.
    pub revision: StoreRevision,
    /// The document; empty if the store has none yet.
    pub document: ConfigDocument,
}

/// Reads the configuration document from the store.
///
/// # Errors
/// The error of the store, or `NotApplied` for a value that is not a configuration document.
pub async fn read_document(store: &dyn PlatformStore) -> Result<StoredDocument, StoreError> {
    let Some(stored) = store.read(&StoreKey::config()).await? else {
        let document = ConfigDocument::default();
        return Ok(StoredDocument { revision: StoreRevision(0), document });
    };
    decode_document(&stored)
}

/// Decodes the configuration document from a stored value.
///
/// # Errors
/// `NotApplied` if the value is not a configuration document.
pub fn decode_document(stored: &StoredValue) -> Result<StoredDocument, StoreError> {
    let document = serde_json::from_str(&stored.value)
        .map_err(|cause| StoreError::NotApplied(cause.to_smolstr()))?;
    Ok(StoredDocument { revision: stored.revision, document })
}

/// Applies a batch under `id` and writes the result, retrying until `deadline`.
///
/// `find_instance` returns the incarnation of a live instance.
pub async fn accept_change(
    store: &dyn PlatformStore,
    batch: &ChangeBatch,
    id: &ChangeId,
    find_instance: impl Fn(&InstanceName) -> Option<IncarnationId>,
    deadline: Instant,
) -> ChangeOutcome {
    // Revision on which a write was sent whose result is unknown.
    let mut undetermined: Option<StoreRevision> = None;
    let mut last_error = SmolStr::default();
    while Instant::now() < deadline {
        let stored = match read_document(store).await {
            Ok(stored) => stored,
            Err(cause) => {
                last_error = cause.to_smolstr();
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            }
        };
        if stored.document.version_of(id).is_some() {
            let document = Arc::new(stored.document);
            return ChangeOutcome::Accepted { revision: stored.revision, document };
        }
        // Once the revision has advanced without the id, the earlier write can no longer be
        // applied.
        undetermined = undetermined.filter(|revision| *revision == stored.revision);
        let next = match next_document(&stored.document, batch, id, &find_instance) {
            Ok(next) => next,
            Err(cause) if undetermined.is_none() => return ChangeOutcome::NotAccepted(cause),
            Err(cause) => {
                last_error = cause.to_smolstr();
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            }
        };
        match store.swap(&StoreKey::config(), stored.revision, next.text).await {
            Ok(revision) => {
                return ChangeOutcome::Accepted { revision, document: Arc::new(next.document) };
            }
            Err(StoreError::Conflict(_)) => continue,
            Err(StoreError::MayBeApplied(cause)) => {
                undetermined = Some(stored.revision);
                last_error = cause;
            }
            Err(cause) => last_error = cause.to_smolstr(),
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    match undetermined {
        Some(_) => ChangeOutcome::Undetermined(last_error),
        None => ChangeOutcome::NotAccepted(RejectCause::Store(last_error)),
    }
}

struct NextDocument {
    document: ConfigDocument,
    text: SmolStr,
}

fn next_document(
    document: &ConfigDocument,
    batch: &ChangeBatch,
    id: &ChangeId,
    find_instance: &impl Fn(&InstanceName) -> Option<IncarnationId>,
) -> Result<NextDocument, RejectCause> {
    let document =
        apply_batch(document, batch, id.clone(), find_instance).map_err(RejectCause::Apply)?;
    let text = serde_json::to_string(&document)
        .map_err(|cause| RejectCause::Document(cause.to_smolstr()))?;
    Ok(NextDocument { document, text: text.into() })
}
