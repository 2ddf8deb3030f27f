//! The platform's store as a whole: all items and their changes, for instances that keep a copy.

use crate::store::{LeaseId, StoreError, StoreKey};
use futures::future::LocalBoxFuture;
use model::{Millis, StoreRevision};
use smol_str::SmolStr;
use std::sync::Arc;

/// A call in progress, on the thread that made it.
pub type StoreCall<'a, T> = LocalBoxFuture<'a, Result<T, StoreError>>;

/// One key as it stands, or was removed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ItemState {
    /// The key.
    pub key: SmolStr,
    /// The value, or none if the key was removed.
    pub value: Option<Arc<str>>,
    /// Revision of the latest change.
    pub revision: StoreRevision,
}

/// Items or changes, complete up to a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreItems {
    /// For a watch the last revision included; for a read the revision before the first page.
    pub as_of: StoreRevision,
    /// The items.
    pub items: Vec<ItemState>,
}

/// The answer to a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchReply {
    /// The changes, possibly none.
    Changes(StoreItems),
    /// The store no longer knows the changes after that revision; all items must be read.
    HistoryGone,
}

/// How old the result of a read may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadFreshness {
    /// The newest state.
    Newest,
    /// Possibly seconds old; such reads are far cheaper. Only for a first copy that is brought up to
    /// date by watching.
    MayBeOld,
}

/// A key and its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ItemWrite {
    /// The key.
    pub key: StoreKey,
    /// The value.
    pub value: SmolStr,
}

/// The store of a platform that keeps the fleet's records under many keys.
pub trait ReplicaStore {
    /// Reads all items.
    fn read_all(&self, freshness: ReadFreshness) -> StoreCall<'_, StoreItems>;

    /// Waits for changes after a revision, at most `wait`.
    fn watch(&self, after: StoreRevision, wait: Millis) -> StoreCall<'_, WatchReply>;

    /// Takes a lease for `ttl`.
    fn grant(&self, ttl: Millis) -> StoreCall<'_, LeaseId>;

    /// Writes values that last as long as a lease, all or none. At most 32 fit one call.
    fn put_all(&self, writes: Vec<ItemWrite>, lease: LeaseId) -> StoreCall<'_, StoreRevision>;
}
