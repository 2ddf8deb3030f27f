//! Interface to a platform's store that is replicated as a whole: all items, and their changes.

use crate::store::{LeaseId, StoreError, StoreKey};
use futures::future::LocalBoxFuture;
use model::{Millis, StoreRevision};
use smol_str::SmolStr;
use std::sync::Arc;

/// Future of a call to the store, which stays on the thread that made the call.
pub type StoreCall<'a, T> = LocalBoxFuture<'a, Result<T, StoreError>>;

/// Latest state of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ItemState {
    /// Key of the item.
    pub key: SmolStr,
    /// The value; `None` if the key was removed.
    pub value: Option<Arc<str>>,
    /// Revision of the latest change of the key.
    pub revision: StoreRevision,
}

/// All items or all changes up to a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreItems {
    /// For a watch, the last revision included. For a read, the oldest revision of a page; items of
    /// other pages may be newer.
    pub as_of: StoreRevision,
    /// The newest revision of a page; equal to `as_of` for a watch.
    pub newest: StoreRevision,
    /// The items read, or those that changed.
    pub items: Vec<ItemState>,
}

/// One page of a read, in the order of the keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StorePage {
    /// Items of the page, and the revision before it was read.
    pub items: StoreItems,
    /// Last key of the page if another page follows.
    pub next_after: Option<SmolStr>,
}

/// The reply to a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchReply {
    /// The changes after the given revision, possibly none.
    Changes(StoreItems),
    /// The store no longer has the changes after the given revision; all items must be read again.
    HistoryGone,
}

/// How old the result of a read may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadFreshness {
    /// The read returns the newest state.
    Newest,
    /// The result may be seconds old. Such reads are far cheaper; they serve for a first copy, which
    /// a watch then brings up to date.
    MayBeOld,
}

/// A value to write to a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ItemWrite {
    /// Key to write.
    pub key: StoreKey,
    /// The new value.
    pub value: SmolStr,
}

/// Calls to a store that keeps the fleet's records under many keys. All errors are [`StoreError`].
pub trait ReplicaStore {
    /// Reads the page of items that begins after a key; the first page begins after the empty key.
    fn read_page(&self, after: SmolStr, freshness: ReadFreshness) -> StoreCall<'_, StorePage>;

    /// Waits for changes after a revision, for at most `wait`.
    fn watch(&self, after: StoreRevision, wait: Millis) -> StoreCall<'_, WatchReply>;

    /// Acquires a new lease that expires after `ttl`.
    fn grant(&self, ttl: Millis) -> StoreCall<'_, LeaseId>;

    /// Writes all values or none, at most 32 in one call. The keys are removed when `lease` expires.
    /// Returns the revision of the write.
    fn put_all(&self, writes: Vec<ItemWrite>, lease: LeaseId) -> StoreCall<'_, StoreRevision>;

    /// Removes a key unless it changed after `revision`. Returns whether it was removed.
    fn remove(&self, key: StoreKey, revision: StoreRevision) -> StoreCall<'_, bool>;
}

impl StoreItems {
    /// Creates the items of one page of a read or of a watch.
    pub fn new(as_of: StoreRevision, items: Vec<ItemState>) -> Self {
        Self { as_of, newest: as_of, items }
    }

    /// Adds the items of the next page. The revision becomes the lower of both: pages that may be old
    /// can differ in age, and changes after the oldest may be missing.
    ///
    /// # Errors
    /// The store came back from an older copy between the pages.
    pub fn add_page(&mut self, page: Self) -> Result<(), StoreError> {
        if page.as_of.era() != self.as_of.era() {
            return Err(StoreError::NotApplied("the store came back older during a read".into()));
        }
        self.as_of = self.as_of.min(page.as_of);
        self.newest = self.newest.max(page.newest);
        self.items.extend(page.items);
        Ok(())
    }
}

/// Reads all items, page by page. A watch from the returned revision also returns the changes made
/// while pages were read.
///
/// # Errors
/// A page could not be read.
pub async fn read_all(
    store: &dyn ReplicaStore,
    freshness: ReadFreshness,
) -> Result<StoreItems, StoreError> {
    let StorePage { mut items, mut next_after } =
        store.read_page(SmolStr::default(), freshness).await?;
    while let Some(after) = next_after {
        let page = store.read_page(after, freshness).await?;
        items.add_page(page.items)?;
        next_after = page.next_after;
    }
    Ok(items)
}
