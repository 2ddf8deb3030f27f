//! Which work that must not repeat ran how often.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Runs by key.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerReport {
    /// How often the work of each key ran.
    pub runs: BTreeMap<SmolStr, u32>,
}

impl LedgerReport {
    /// Adds the runs that another backend server counted.
    pub fn merge(&mut self, other: LedgerReport) {
        for (key, runs) in other.runs {
            *self.runs.entry(key).or_default() += runs;
        }
    }

    /// Keys whose work ran more than once.
    pub fn duplicates(&self) -> usize {
        self.runs.values().filter(|runs| **runs > 1).count()
    }
}

/// Counts runs as the work begins, since from then on it takes effect.
#[derive(Debug, Default)]
pub struct RunLedger {
    runs: Mutex<BTreeMap<SmolStr, u32>>,
}

impl RunLedger {
    /// Counts a run.
    pub fn record(&self, key: &str) {
        *self.lock().entry(key.into()).or_default() += 1;
    }

    /// All runs so far.
    pub fn report(&self) -> LedgerReport {
        LedgerReport { runs: self.lock().clone() }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SmolStr, u32>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
