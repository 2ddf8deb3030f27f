//! A queue that shares its output equally among callers, by start-time fair queueing.

use model::{CallerName, MonoTime};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Cost of one request, in units of virtual time.
const REQUEST_COST: u64 = 1;

#[derive(Debug)]
struct QueueEntry<T> {
    /// Virtual time at which the request's turn begins.
    start: u64,
    arrived: MonoTime,
    item: T,
}

#[derive(Debug)]
struct CallerQueue<T> {
    items: VecDeque<QueueEntry<T>>,
    /// Virtual time at which the turn of the last request ends.
    finish: u64,
    /// Breaks ties among callers whose first requests have the same start.
    order: u64,
}

/// Requests of many callers, ordered so that each caller gets the same share.
#[derive(Debug)]
pub struct FairQueue<T> {
    callers: HashMap<CallerName, CallerQueue<T>>,
    /// Callers by the start of their first request, then by the tie-breaker.
    heads: BTreeMap<(u64, u64), CallerName>,
    virtual_time: u64,
    next_order: u64,
    length: usize,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            callers: HashMap::new(),
            heads: BTreeMap::new(),
            virtual_time: 0,
            next_order: 0,
            length: 0,
        }
    }
}

impl<T> FairQueue<T> {
    /// Number of requests in the queue.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Adds a request at the end of its caller's queue.
    pub fn push(&mut self, caller: &CallerName, arrived: MonoTime, item: T) {
        self.next_order += 1;
        self.length += 1;
        if let Some(queue) = self.callers.get_mut(caller) {
            let start = queue.finish.max(self.virtual_time);
            queue.finish = start + REQUEST_COST;
            queue.items.push_back(QueueEntry { start, arrived, item });
            return;
        }
        let start = self.virtual_time;
        let queue = CallerQueue {
            items: VecDeque::from([QueueEntry { start, arrived, item }]),
            finish: start + REQUEST_COST,
            order: self.next_order,
        };
        self.heads.insert((start, queue.order), caller.clone());
        self.callers.insert(caller.clone(), queue);
    }

    /// Adds a request to the front of its caller's queue, for another attempt.
    pub fn push_front(&mut self, caller: &CallerName, arrived: MonoTime, item: T) {
        self.length += 1;
        let start = self.virtual_time;
        if let Some(queue) = self.callers.get_mut(caller) {
            if let Some(head) = queue.items.front() {
                self.heads.remove(&(head.start, queue.order));
            }
            queue.items.push_front(QueueEntry { start, arrived, item });
            self.heads.insert((start, queue.order), caller.clone());
            return;
        }
        self.next_order += 1;
        let order = self.next_order;
        let items = VecDeque::from([QueueEntry { start, arrived, item }]);
        let queue = CallerQueue { items, finish: start + REQUEST_COST, order };
        self.callers.insert(caller.clone(), queue);
        self.heads.insert((start, order), caller.clone());
    }

    /// Returns the arrival time of the next request.
    pub fn next_arrival(&self) -> Option<MonoTime> {
        let (_, caller) = self.heads.first_key_value()?;
        self.callers[caller].items.front().map(|head| head.arrived)
    }

    /// Returns the next request without removing it.
    pub fn peek(&self) -> Option<&T> {
        let (_, caller) = self.heads.first_key_value()?;
        self.callers[caller].items.front().map(|head| &head.item)
    }

    /// Removes and returns the next request.
    pub fn pop(&mut self) -> Option<T> {
        let ((start, order), caller) = self.heads.pop_first()?;
        let queue = self.callers.get_mut(&caller)?;
        let head = queue.items.pop_front()?;
        self.length -= 1;
        self.virtual_time = self.virtual_time.max(start);
        match queue.items.front() {
            Some(next) => {
                self.heads.insert((next.start, order), caller);
            }
            None => {
                self.callers.remove(&caller);
            }
        }
        Some(head.item)
    }
}
