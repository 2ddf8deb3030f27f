//! The platform's store as a map in memory. Its calls can be made to fail for single instances.

use futures::FutureExt;
use model::{Millis, StoreEra, StoreRevision};
use smol_str::SmolStr;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use store::replicated::ItemState;
use store::{
    ItemWrite, LeaseId, ReadFreshness, ReplicaStore, StoreCall, StoreError, StoreItems, StoreKey,
    StorePage, WatchReply,
};

/// Items in one page of a read. Few, so that the tests read several.
const PAGE_ITEMS_MAX: usize = 2;
/// Interval at which a watch checks for changes.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(5);

#[derive(Default)]
struct MemoryState {
    revision: u64,
    items: BTreeMap<SmolStr, ItemState>,
    log: Vec<ItemState>,
    /// All changes that lead to the present items, oldest first.
    changes: Vec<ItemState>,
    /// How often the store came back from an older copy.
    era: u32,
    history_after: u64,
    leases: u64,
    refused: BTreeSet<SmolStr>,
    writers: BTreeSet<SmolStr>,
    writes: u64,
    read_lag: u64,
    /// Revision of the items that reads return which may be old.
    stale_at: Option<u64>,
    /// Instances whose watches are refused.
    unwatched: BTreeSet<SmolStr>,
    panics: bool,
}

impl MemoryState {
    fn revision_of(&self, number: u64) -> StoreRevision {
        StoreRevision::in_era(StoreEra(self.era), number)
    }

    /// Returns the items as they were at a revision.
    fn items_at(&self, revision: u64) -> BTreeMap<SmolStr, ItemState> {
        let mut items = BTreeMap::new();
        for item in self.changes.iter().filter(|item| item.revision.0 <= revision) {
            match item.value {
                Some(_) => items.insert(item.key.clone(), item.clone()),
                None => items.remove(&item.key),
            };
        }
        items
    }

    /// Returns an item with a revision of the present era.
    fn dated(&self, item: &ItemState) -> ItemState {
        ItemState { revision: self.revision_of(item.revision.0), ..item.clone() }
    }
}

/// The store; clones share its contents.
#[derive(Clone, Default)]
pub struct MemoryStore(Arc<Mutex<MemoryState>>);

impl MemoryStore {
    fn lock(&self) -> MutexGuard<'_, MemoryState> {
        self.0.lock().expect("no test thread panics while it holds the store")
    }

    /// Writes a key, or removes it if there is no value. Returns the new revision.
    pub fn set(&self, key: &str, value: Option<&str>) -> u64 {
        let mut state = self.lock();
        state.revision += 1;
        let revision = StoreRevision(state.revision);
        let item = ItemState { key: key.into(), value: value.map(Into::into), revision };
        state.log.push(item.clone());
        state.changes.push(item.clone());
        match value {
            Some(_) => state.items.insert(key.into(), item),
            None => state.items.remove(key),
        };
        state.revision
    }

    /// Loses all changes after a revision, as a store does that comes back from an older copy.
    pub fn come_back_at(&self, revision: u64) {
        let mut state = self.lock();
        state.era += 1;
        state.revision = revision;
        state.changes.retain(|item| item.revision.0 <= revision);
        state.log.retain(|item| item.revision.0 <= revision);
        state.items = state.items_at(revision);
    }

    /// Makes reads that may be old return the items of a revision.
    pub fn set_stale_reads(&self, revision: u64) {
        self.lock().stale_at = Some(revision);
    }

    /// Makes the watches of an instance fail.
    pub fn refuse_watches(&self, instance: &str) {
        self.lock().unwatched.insert(instance.into());
    }

    /// The revision of the latest change.
    pub fn revision(&self) -> u64 {
        self.lock().revision
    }

    /// Removes all changes up to now from the history that watches read.
    pub fn compact_history(&self) {
        let mut state = self.lock();
        state.log.clear();
        state.history_after = state.revision;
    }

    /// Makes the calls of an instance fail or succeed.
    pub fn set_refused(&self, instance: &str, refused: bool) {
        let mut state = self.lock();
        if refused {
            state.refused.insert(instance.into());
        } else {
            state.refused.remove(instance);
        }
    }

    /// Makes reads report a revision that is older by this many changes than their items.
    pub fn set_read_lag(&self, changes: u64) {
        self.lock().read_lag = changes;
    }

    /// Makes each watch panic.
    pub fn set_panics(&self, panics: bool) {
        self.lock().panics = panics;
    }

    /// Number of writes by all instances.
    pub fn writes(&self) -> u64 {
        self.lock().writes
    }

    /// Names of the instances that wrote.
    pub fn writers(&self) -> Vec<SmolStr> {
        self.lock().writers.iter().cloned().collect()
    }

    /// Whether a key exists.
    pub fn has(&self, key: &str) -> bool {
        self.lock().items.contains_key(key)
    }
}

/// One instance's access to the store.
pub struct InstanceStore {
    /// The shared store.
    pub store: MemoryStore,
    /// Name of the instance.
    pub instance: SmolStr,
}

impl InstanceStore {
    fn lock_unless_refused(&self) -> Result<MutexGuard<'_, MemoryState>, StoreError> {
        let state = self.store.lock();
        if state.refused.contains(&self.instance) {
            return Err(StoreError::NotApplied("refused".into()));
        }
        Ok(state)
    }

    async fn follow(&self, after: StoreRevision, wait: Millis) -> Result<WatchReply, StoreError> {
        let until = Instant::now() + wait.duration();
        let panics = {
            let state = self.lock_unless_refused()?;
            if state.unwatched.contains(&self.instance) {
                return Err(StoreError::NotApplied("watches are refused".into()));
            }
            state.panics
        };
        assert!(!panics, "the watch panics on purpose");
        loop {
            {
                let state = self.store.lock();
                if state.refused.contains(&self.instance) {
                    return Err(StoreError::NotApplied("refused during the watch".into()));
                }
                let is_lost = after.number() > state.revision || after.era().0 < state.era;
                if after.number() < state.history_after || is_lost {
                    return Ok(WatchReply::HistoryGone);
                }
                if state.revision > after.number() || Instant::now() >= until {
                    let is_new = |item: &&ItemState| item.revision.0 > after.number();
                    let items = state.log.iter().filter(is_new).map(|item| state.dated(item));
                    let items = items.collect();
                    let as_of = state.revision_of(state.revision);
                    return Ok(WatchReply::Changes(StoreItems::new(as_of, items)));
                }
            }
            tokio::time::sleep(WATCH_POLL_INTERVAL).await;
        }
    }
}

impl ReplicaStore for InstanceStore {
    fn read_page(&self, after: SmolStr, freshness: ReadFreshness) -> StoreCall<'_, StorePage> {
        async move {
            let state = self.lock_unless_refused()?;
            let is_next = |item: &&ItemState| item.key > after;
            let stale_at = state.stale_at.filter(|_| freshness == ReadFreshness::MayBeOld);
            let revision = stale_at.unwrap_or(state.revision);
            let present = state.items_at(revision);
            let items = present.values().filter(is_next).map(|item| state.dated(item));
            let mut items: Vec<ItemState> = items.collect();
            let next_after = items.get(PAGE_ITEMS_MAX - 1).map(|item| item.key.clone());
            let next_after = next_after.filter(|_| items.len() > PAGE_ITEMS_MAX);
            items.truncate(PAGE_ITEMS_MAX);
            let as_of = state.revision_of(revision.saturating_sub(state.read_lag));
            let items = StoreItems::new(as_of, items);
            Ok(StorePage { items, next_after })
        }
        .boxed_local()
    }

    fn watch(&self, after: StoreRevision, wait: Millis) -> StoreCall<'_, WatchReply> {
        self.follow(after, wait).boxed_local()
    }

    fn grant(&self, _ttl: Millis) -> StoreCall<'_, LeaseId> {
        async move {
            let mut state = self.lock_unless_refused()?;
            state.leases += 1;
            Ok(LeaseId(state.leases))
        }
        .boxed_local()
    }

    fn put_all(&self, writes: Vec<ItemWrite>, _lease: LeaseId) -> StoreCall<'_, StoreRevision> {
        async move {
            let mut state = self.lock_unless_refused()?;
            state.writes += 1;
            state.writers.insert(self.instance.clone());
            drop(state);
            let revisions = writes.iter().map(|w| self.store.set(&w.key.0, Some(&w.value)));
            Ok(StoreRevision(revisions.max().unwrap_or_default()))
        }
        .boxed_local()
    }

    fn remove(&self, key: StoreKey, revision: StoreRevision) -> StoreCall<'_, bool> {
        async move {
            let state = self.lock_unless_refused()?;
            let is_same =
                state.items.get(&key.0).is_some_and(|item| item.revision.0 == revision.number());
            drop(state);
            if is_same {
                self.store.set(&key.0, None);
            }
            Ok(is_same)
        }
        .boxed_local()
    }
}
