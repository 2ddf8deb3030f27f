//! Replica of the store's items, with a history of the latest changes for other instances.

use model::StoreRevision;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::sync::Arc;

/// Number of changes that an instance keeps if others pull from it. One that is further behind needs
/// a snapshot.
const HISTORY_MAX: usize = 4096;
/// Number of changes that other instances keep.
const FOLLOWER_HISTORY_MAX: usize = 64;
/// Number of jumps in the history of an instance. With more, the history begins after the oldest one.
const JUMPS_MAX: usize = 16;

/// A write or removal of one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreChange {
    /// Key of the item.
    pub key: SmolStr,
    /// The new value; `None` if the key was removed.
    pub value: Option<Arc<str>>,
    /// Revision of the store that the change created.
    pub revision: StoreRevision,
}

/// All items of the store, read in pages that may differ in age.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreSnapshot {
    /// Revision of the oldest page.
    pub as_of: StoreRevision,
    /// Revision of the newest page.
    pub newest: StoreRevision,
    /// The items, each with the revision of its last write.
    pub items: Vec<StoreChange>,
}

/// Error: changes between the replica's revision and the received ones are missing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaGap {
    /// The revision up to which the replica is complete.
    pub as_of: StoreRevision,
}

/// A span of revisions in which the history has the net effect of the changes, but may lack an item that
/// was created and removed within it.
#[derive(Debug, Clone, Copy)]
struct HistoryJump {
    from: StoreRevision,
    to: StoreRevision,
}

/// A change in the history. The value of a write is that of the item, unless a later change supersedes
/// it.
#[derive(Debug, Clone)]
struct HistoryEntry {
    key: SmolStr,
    revision: StoreRevision,
}

#[derive(Debug, Clone)]
struct StoredItem {
    value: Arc<str>,
    revision: StoreRevision,
}

/// A replica of the store, complete up to a revision.
#[derive(Debug, Clone, Default)]
pub struct StoreReplica {
    as_of: StoreRevision,
    items: BTreeMap<SmolStr, StoredItem>,
    /// The latest changes in the order in which they were applied.
    history: VecDeque<HistoryEntry>,
    /// Revision after which `history` has the latest change of each key.
    history_after: StoreRevision,
    /// Spans of the history with net effects only, in the order of their revisions.
    jumps: VecDeque<HistoryJump>,
    /// Whether other instances pull changes from this one.
    is_pulled_from: bool,
    /// Newest revision of the latest snapshot. The history may lack a removal up to this revision until
    /// the replica is complete up to it.
    snapshot_newest: StoreRevision,
    /// Exclusive or of the digests of all items.
    digest: u32,
}

impl StoreReplica {
    /// Returns the revision up to which the replica is complete; zero before the first snapshot.
    pub fn as_of(&self) -> StoreRevision {
        self.as_of
    }

    /// Sets whether other instances pull changes from this one, which then keeps more of them.
    pub fn set_pulled_from(&mut self, is_pulled_from: bool) {
        self.is_pulled_from = is_pulled_from;
    }

    /// Returns the keys and values of all items, in the order of their keys.
    pub fn items(&self) -> impl Iterator<Item = (&SmolStr, &Arc<str>)> {
        self.items.iter().map(|(key, item)| (key, &item.value))
    }

    /// Returns the revision of the latest write of a key; `None` if it does not exist.
    pub fn revision_of(&self, key: &str) -> Option<StoreRevision> {
        self.items.get(key).map(|item| item.revision)
    }

    /// Returns a digest of the keys and revisions of all items. Replicas with the same items have the
    /// same digest.
    pub fn digest(&self) -> u32 {
        self.digest
    }

    /// Applies the latest change of each key that changed between the revisions `after` and `as_of`.
    /// Returns those that were new.
    ///
    /// # Errors
    /// [`ReplicaGap`] if the replica lacks changes up to `after`; nothing is applied then.
    pub fn apply_changes(
        &mut self,
        after: StoreRevision,
        as_of: StoreRevision,
        changes: Vec<StoreChange>,
    ) -> Result<Vec<StoreChange>, ReplicaGap> {
        if after > self.as_of {
            return Err(ReplicaGap { as_of: self.as_of });
        }
        let previous_as_of = self.as_of;
        let mut applied = Vec::new();
        for change in changes {
            if change.revision <= previous_as_of {
                continue;
            }
            let is_new = self.apply_one(&change);
            // The history may have the removal already, with the older revision of a snapshot that
            // lacked the item.
            if is_new || (change.value.is_none() && !self.items.contains_key(&change.key)) {
                self.push_history(&change);
            }
            if is_new {
                applied.push(change);
            }
        }
        self.as_of = self.as_of.max(as_of);
        Ok(applied)
    }

    /// Applies changes that another instance supplied, of which those up to `single_after` may be net
    /// effects. Returns those that were new.
    ///
    /// # Errors
    /// As for [`Self::apply_changes`].
    pub fn apply_pulled(
        &mut self,
        after: StoreRevision,
        single_after: StoreRevision,
        as_of: StoreRevision,
        changes: Vec<StoreChange>,
    ) -> Result<Vec<StoreChange>, ReplicaGap> {
        let from = self.as_of;
        let applied = self.apply_changes(after, as_of, changes)?;
        self.add_jump(from, single_after);
        Ok(applied)
    }

    fn add_jump(&mut self, from: StoreRevision, to: StoreRevision) {
        if to <= from {
            return;
        }
        self.jumps.push_back(HistoryJump { from, to });
        if self.jumps.len() > JUMPS_MAX
            && let Some(oldest) = self.jumps.pop_front()
        {
            self.history_after = self.history_after.max(oldest.to);
        }
    }

    /// Replaces the items by a snapshot. A snapshot older than the replica is ignored. Returns the
    /// changes that it caused.
    pub fn apply_snapshot(&mut self, snapshot: StoreSnapshot) -> Vec<StoreChange> {
        let StoreSnapshot { as_of, newest, items } = snapshot;
        if as_of < self.as_of {
            return Vec::new();
        }
        // Otherwise a removal that the earlier snapshot showed early would be missing between its
        // revision and that of this one.
        let is_history_complete = self.as_of >= self.snapshot_newest;
        if self.as_of > StoreRevision(0) && is_history_complete {
            self.add_jump(self.as_of, as_of);
        } else {
            // Earlier removals are unknown.
            self.history.retain(|entry| entry.revision > as_of);
            self.jumps.clear();
            self.history_after = as_of;
        }
        let history_after = self.history_after;
        let present: HashSet<&SmolStr> =
            items.iter().filter(|item| item.value.is_some()).map(|item| &item.key).collect();
        let removed: Vec<StoreChange> = self
            .items
            .iter()
            .filter(|(key, item)| item.revision <= as_of && !present.contains(key))
            .map(|(key, _)| StoreChange { key: key.clone(), value: None, revision: as_of })
            .collect();
        let mut applied = Vec::new();
        for change in removed.into_iter().chain(items) {
            let is_known = self
                .items
                .get(&change.key)
                .is_some_and(|item| item.revision >= change.revision && change.value.is_some());
            if !is_known && self.apply_one(&change) {
                // A history that begins here has only what changed while pages were read.
                if change.revision > history_after {
                    self.push_history(&change);
                }
                applied.push(change);
            }
        }
        self.history.shrink_to_fit();
        self.as_of = as_of;
        self.snapshot_newest = newest;
        applied
    }

    /// Applies a change to one item. Returns whether it was new.
    fn apply_one(&mut self, change: &StoreChange) -> bool {
        let known_revision = self.items.get(&change.key).map(|item| item.revision);
        let is_new = match &change.value {
            Some(_) => known_revision.is_none_or(|revision| change.revision > revision),
            None => known_revision.is_some_and(|revision| change.revision >= revision),
        };
        if !is_new {
            return false;
        }
        if let Some(revision) = known_revision {
            self.digest ^= item_digest(&change.key, revision);
        }
        match &change.value {
            Some(value) => {
                let item = StoredItem { value: Arc::clone(value), revision: change.revision };
                self.items.insert(change.key.clone(), item);
                self.digest ^= item_digest(&change.key, change.revision);
            }
            None => {
                self.items.remove(&change.key);
            }
        }
        true
    }

    /// Appends a change to the history, without the oldest ones if it exceeds its length.
    fn push_history(&mut self, change: &StoreChange) {
        self.history.push_back(HistoryEntry { key: change.key.clone(), revision: change.revision });
        let length_max = if self.is_pulled_from { HISTORY_MAX } else { FOLLOWER_HISTORY_MAX };
        while self.history.len() > length_max
            && let Some(oldest) = self.history.pop_front()
        {
            self.history_after = self.history_after.max(oldest.revision);
        }
    }

    /// Whether the replica has reached a revision and the history has the effect of all changes after it.
    pub fn reaches_back_to(&self, after: StoreRevision) -> bool {
        (self.history_after..=self.as_of).contains(&after)
            && !self.jumps.iter().any(|jump| jump.from < after && after < jump.to)
    }

    /// Returns the latest change of each key that changed after a revision; `None` if the history does
    /// not reach back that far or the replica has not reached that revision.
    pub fn changes_after(&self, after: StoreRevision) -> Option<Vec<StoreChange>> {
        if !self.reaches_back_to(after) {
            return None;
        }
        let mut seen = HashSet::new();
        let latest = self
            .history
            .iter()
            .rev()
            .filter(|entry| entry.revision > after && seen.insert(&entry.key));
        let change = |entry: &HistoryEntry| {
            let item = self.items.get(&entry.key);
            StoreChange {
                key: entry.key.clone(),
                value: item.map(|item| Arc::clone(&item.value)),
                revision: item.map_or(entry.revision, |item| item.revision),
            }
        };
        let mut changes: Vec<StoreChange> = latest.map(change).collect();
        changes.reverse();
        Some(changes)
    }

    /// Returns the revision from `after` on from which the history knows of every key that changed.
    pub fn single_after(&self, after: StoreRevision) -> StoreRevision {
        self.jumps.back().map_or(after, |jump| jump.to.max(after))
    }

    /// Returns the latest change of each key that changed after a revision; `None` if some keys are
    /// unknown.
    pub fn single_changes_after(&self, after: StoreRevision) -> Option<Vec<StoreChange>> {
        if self.single_after(after) > after {
            return None;
        }
        self.changes_after(after)
    }

    /// Returns all items as changes, each with the revision of its last write.
    pub fn snapshot(&self) -> Vec<StoreChange> {
        self.items
            .iter()
            .map(|(key, item)| StoreChange {
                key: key.clone(),
                value: Some(Arc::clone(&item.value)),
                revision: item.revision,
            })
            .collect()
    }
}

fn item_digest(key: &str, revision: StoreRevision) -> u32 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key.as_bytes());
    hasher.update(&revision.0.to_le_bytes());
    let mut bytes = [0; 4];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..4]);
    u32::from_le_bytes(bytes)
}
