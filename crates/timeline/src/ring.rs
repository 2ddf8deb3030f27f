//! The bounded ring buffer of one process's events.

use crate::clock::HybridClock;
use crate::event::{EventKind, TimelineEvent, TimelineQuery};
use model::InstanceName;
use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Default capacity of an [`EventRing`], in events.
pub const DEFAULT_CAPACITY: usize = 32_768;

/// Ring buffer of the latest events of one process.
#[derive(Debug)]
pub struct EventRing {
    instance: InstanceName,
    clock: HybridClock,
    capacity: usize,
    events: Mutex<VecDeque<TimelineEvent>>,
}

impl EventRing {
    /// Creates an empty ring for at most `capacity` events. With a capacity of 0 nothing is recorded.
    pub fn new(instance: InstanceName, capacity: usize) -> Self {
        Self { instance, clock: HybridClock::default(), capacity, events: Mutex::default() }
    }

    /// Returns the clock that orders the events.
    pub fn clock(&self) -> &HybridClock {
        &self.clock
    }

    /// Adds an event at the current time and drops the oldest one if the ring is full.
    pub fn record(&self, kind: EventKind) {
        if self.capacity == 0 {
            return;
        }
        let at = self.clock.now();
        let event = TimelineEvent { at, instance: self.instance.clone(), kind };
        let mut events = self.lock();
        if events.len() >= self.capacity {
            events.pop_front();
        }
        events.push_back(event);
    }

    /// Returns the latest events that match `query`, at most `query.limit`, oldest first.
    pub fn select(&self, query: &TimelineQuery) -> Vec<TimelineEvent> {
        let events = self.lock();
        let limit = query.limit.unwrap_or(usize::MAX);
        let latest = events.iter().rev().filter(|event| query.matches(event)).take(limit);
        let mut found: Vec<TimelineEvent> = latest.cloned().collect();
        found.reverse();
        found
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<TimelineEvent>> {
        self.events.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Merges the events of several processes, ordered by time and then by instance.
pub fn merge_events(lists: Vec<Vec<TimelineEvent>>) -> Vec<TimelineEvent> {
    let mut merged: Vec<TimelineEvent> = lists.into_iter().flatten().collect();
    merged.sort_by(|left, right| (left.at, &left.instance).cmp(&(right.at, &right.instance)));
    merged
}
