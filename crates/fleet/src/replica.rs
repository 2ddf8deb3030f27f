//! A copy of the store's items, with the latest changes so that they can be passed on.

use model::StoreRevision;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Changes kept to bring other instances up to date; a longer gap needs the whole copy.
const HISTORY_MAX: usize = 1024;

/// One change of one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreChange {
    /// The key.
    pub key: SmolStr,
    /// The new value, or none if the key was removed.
    pub value: Option<Arc<str>>,
    /// Revision of the change.
    pub revision: StoreRevision,
}

/// Changes that follow a revision which the replica has not reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaGap {
    /// The revision that the replica has reached.
    pub as_of: StoreRevision,
}

#[derive(Debug, Clone)]
struct StoredItem {
    value: Arc<str>,
    revision: StoreRevision,
}

/// A copy of the store, complete up to a revision.
#[derive(Debug, Clone, Default)]
pub struct StoreReplica {
    as_of: StoreRevision,
    items: BTreeMap<SmolStr, StoredItem>,
    history: VecDeque<StoreChange>,
    history_after: StoreRevision,
}

impl StoreReplica {
    /// The revision up to which the copy is complete; zero before the first snapshot.
    pub fn as_of(&self) -> StoreRevision {
        self.as_of
    }

    /// All items, in the order of their keys.
    pub fn items(&self) -> impl Iterator<Item = (&SmolStr, &Arc<str>)> {
        self.items.iter().map(|(key, item)| (key, &item.value))
    }

    /// Takes over the changes between the revisions `after` and `as_of`. Gives those that were new.
    ///
    /// # Errors
    /// [`ReplicaGap`] if changes before `after` are missing; nothing is taken over then.
    pub fn apply_changes(
        &mut self,
        after: StoreRevision,
        as_of: StoreRevision,
        changes: Vec<StoreChange>,
    ) -> Result<Vec<StoreChange>, ReplicaGap> {
        if after > self.as_of {
            return Err(ReplicaGap { as_of: self.as_of });
        }
        let known = self.as_of;
        let mut applied = Vec::new();
        for change in changes {
            if change.revision > known && self.apply_one(&change) {
                applied.push(change);
            }
        }
        self.as_of = self.as_of.max(as_of);
        Ok(applied)
    }

    /// Takes over a whole copy that was read from revision `as_of` on. Items may be newer than that.
    /// An older copy than this one changes nothing. Gives the changes.
    pub fn apply_snapshot(
        &mut self,
        as_of: StoreRevision,
        items: Vec<StoreChange>,
    ) -> Vec<StoreChange> {
        if as_of < self.as_of {
            return Vec::new();
        }
        let is_missing =
            |key: &SmolStr| !items.iter().any(|item| item.key == *key && item.value.is_some());
        let removed: Vec<StoreChange> = self
            .items
            .iter()
            .filter(|(key, item)| item.revision <= as_of && is_missing(key))
            .map(|(key, _)| StoreChange { key: key.clone(), value: None, revision: as_of })
            .collect();
        let mut applied = Vec::new();
        for change in removed.into_iter().chain(items) {
            let is_known = self
                .items
                .get(&change.key)
                .is_some_and(|item| item.revision >= change.revision && change.value.is_some());
            if !is_known && self.apply_one(&change) {
                applied.push(change);
            }
        }
        if self.as_of == StoreRevision(0) {
            // What was removed before the first snapshot is not known here.
            self.history_after = as_of;
        }
        self.as_of = as_of;
        applied
    }

    fn apply_one(&mut self, change: &StoreChange) -> bool {
        let known = self.items.get(&change.key).map(|item| item.revision);
        let is_new = match &change.value {
            Some(_) => known.is_none_or(|revision| change.revision > revision),
            None => known.is_some_and(|revision| change.revision >= revision),
        };
        if !is_new {
            return false;
        }
        match &change.value {
            Some(value) => {
                let item = StoredItem { value: Arc::clone(value), revision: change.revision };
                self.items.insert(change.key.clone(), item);
            }
            None => {
                self.items.remove(&change.key);
            }
        }
        self.history.push_back(change.clone());
        if self.history.len() > HISTORY_MAX
            && let Some(oldest) = self.history.pop_front()
        {
            self.history_after = self.history_after.max(oldest.revision);
        }
        true
    }

    /// The changes after a revision, or none if they are no longer known.
    pub fn changes_after(&self, after: StoreRevision) -> Option<Vec<StoreChange>> {
        if after < self.history_after || after > self.as_of {
            return None;
        }
        Some(self.history.iter().filter(|change| change.revision > after).cloned().collect())
    }

    /// The whole copy as changes.
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
