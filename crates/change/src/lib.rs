//! Accepts a batch of changes: one compare-and-swap on the configuration document.
//!
//! Each batch carries an id that is written with it. When a reply is lost, the same write is tried
//! again on the same revision: either the first one landed, and the id tells so, or the second one
//! moves the revision and makes a late landing of the first impossible. "Not accepted" is said only
//! when no write of the batch can land any more.

use command::{ApplyError, ChangeBatch, apply_batch};
use model::{ChangeId, ConfigDocument, IncarnationId, InstanceName, StoreRevision};
use smol_str::{SmolStr, ToSmolStr};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;
use store::{PlatformStore, StoreError, StoreKey, StoredValue};
use tokio::time::Instant;

/// Pause between tries.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Why a batch is not accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RejectCause {
    /// It does not fit the configuration.
    Apply(ApplyError),
    /// The store did not take the write.
    Store(SmolStr),
    /// The stored document cannot be read.
    Document(SmolStr),
}

impl fmt::Display for RejectCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Apply(cause) => cause.fmt(f),
            Self::Store(cause) => write!(f, "store: {cause}"),
            Self::Document(cause) => write!(f, "stored document: {cause}"),
        }
    }
}

/// What became of a batch.
#[derive(Debug, Clone, PartialEq)]
pub enum ChangeOutcome {
    /// It is in the store.
    Accepted {
        /// Revision of the document that holds it.
        revision: StoreRevision,
        /// The latest document read or written, which holds the batch.
        document: Arc<ConfigDocument>,
    },
    /// It is not in the store and never will be.
    NotAccepted(RejectCause),
    /// A write was sent and the store does not tell what became of it.
    Undetermined(SmolStr),
}

/// The document with its revision in the store.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredDocument {
    /// Zero if the store holds none yet.
    pub revision: StoreRevision,
    /// Empty if the store holds none yet.
    pub document: ConfigDocument,
}

/// Reads the document.
///
/// # Errors
/// The store's error; a value that is no document counts as not applied.
pub async fn read_document(store: &dyn PlatformStore) -> Result<StoredDocument, StoreError> {
    let Some(stored) = store.read(&StoreKey::config()).await? else {
        let document = ConfigDocument::default();
        return Ok(StoredDocument { revision: StoreRevision(0), document });
    };
    decode_document(&stored)
}

/// Reads the document out of a stored value.
///
/// # Errors
/// A value that is no document counts as not applied.
pub fn decode_document(stored: &StoredValue) -> Result<StoredDocument, StoreError> {
    let document = serde_json::from_str(&stored.value)
        .map_err(|cause| StoreError::NotApplied(cause.to_smolstr()))?;
    Ok(StoredDocument { revision: stored.revision, document })
}

/// Applies a batch under `id` and writes the result, trying until `deadline`.
///
/// `find_instance` gives the incarnation of a live instance.
pub async fn accept_change(
    store: &dyn PlatformStore,
    batch: &ChangeBatch,
    id: &ChangeId,
    find_instance: impl Fn(&InstanceName) -> Option<IncarnationId>,
    deadline: Instant,
) -> ChangeOutcome {
    // The revision on which a write of unknown fate was sent.
    let mut in_doubt: Option<StoreRevision> = None;
    let mut last_error = SmolStr::default();
    while Instant::now() < deadline {
        let stored = match read_document(store).await {
            Ok(stored) => stored,
            Err(cause) => {
                last_error = cause.to_smolstr();
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            }
        };
        if stored.document.version_of(id).is_some() {
            let document = Arc::new(stored.document);
            return ChangeOutcome::Accepted { revision: stored.revision, document };
        }
        // Once the revision moved without the id, the earlier write can never land.
        in_doubt = in_doubt.filter(|revision| *revision == stored.revision);
        let next = match next_document(&stored.document, batch, id, &find_instance) {
            Ok(next) => next,
            Err(cause) if in_doubt.is_none() => return ChangeOutcome::NotAccepted(cause),
            Err(cause) => {
                last_error = cause.to_smolstr();
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            }
        };
        match store.swap(&StoreKey::config(), stored.revision, next.text).await {
            Ok(revision) => {
                return ChangeOutcome::Accepted { revision, document: Arc::new(next.document) };
            }
            Err(StoreError::Conflict(_)) => continue,
            Err(StoreError::MayBeApplied(cause)) => {
                in_doubt = Some(stored.revision);
                last_error = cause;
            }
            Err(cause) => last_error = cause.to_smolstr(),
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    match in_doubt {
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
