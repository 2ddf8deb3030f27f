//! Counts the runs of non-idempotent work by idempotency key.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Number of runs by idempotency key.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerReport {
    /// Number of runs of the work of each key.
    pub runs: BTreeMap<SmolStr, u32>,
}

impl LedgerReport {
    /// Adds the runs counted by another backend server.
    pub fn merge(&mut self, other: LedgerReport) {
        for (key, runs) in other.runs {
            *self.runs.entry(key).or_default() += runs;
        }
    }

    /// Returns the number of keys whose work ran more than once.
    pub fn duplicates(&self) -> usize {
        self.runs.values().filter(|runs| **runs > 1).count()
    }
}

/// Counts a run when its work begins, since the work takes effect from then on.
#[derive(Debug, Default)]
pub struct RunLedger {
    runs: Mutex<BTreeMap<SmolStr, u32>>,
}

impl RunLedger {
    /// Counts a run of the work of `key`.
    pub fn record(&self, key: &str) {
        *self.lock().entry(key.into()).or_default() += 1;
    }

    /// Returns all runs counted since the start.
    pub fn report(&self) -> LedgerReport {
        LedgerReport { runs: self.lock().clone() }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SmolStr, u32>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
