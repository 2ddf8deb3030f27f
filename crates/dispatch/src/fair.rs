//! A queue that treats callers equally: start-time fair queueing over callers.

use model::{CallerName, MonoTime};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Cost of one request in units of virtual time.
const REQUEST_COST: u64 = 1;

#[derive(Debug)]
struct FairItem<T> {
    start: u64,
    arrived: MonoTime,
    item: T,
}

#[derive(Debug)]
struct CallerLine<T> {
    items: VecDeque<FairItem<T>>,
    finish: u64,
    /// Order among callers whose first requests start at the same virtual time.
    order: u64,
}

/// Requests of many callers, in an order that gives each caller the same share.
#[derive(Debug)]
pub struct FairQueue<T> {
    callers: HashMap<CallerName, CallerLine<T>>,
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
    /// Requests in the queue.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Adds a request at the end of its caller's line.
    pub fn push(&mut self, caller: &CallerName, arrived: MonoTime, item: T) {
        self.next_order += 1;
        self.length += 1;
        if let Some(line) = self.callers.get_mut(caller) {
            let start = line.finish.max(self.virtual_time);
            line.finish = start + REQUEST_COST;
            line.items.push_back(FairItem { start, arrived, item });
            return;
        }
        let start = self.virtual_time;
        let line = CallerLine {
            items: VecDeque::from([FairItem { start, arrived, item }]),
            finish: start + REQUEST_COST,
            order: self.next_order,
        };
        self.heads.insert((start, line.order), caller.clone());
        self.callers.insert(caller.clone(), line);
    }

    /// Puts a request that was sent before at the front of its caller's line.
    pub fn push_front(&mut self, caller: &CallerName, arrived: MonoTime, item: T) {
        self.length += 1;
        let start = self.virtual_time;
        if let Some(line) = self.callers.get_mut(caller) {
            if let Some(head) = line.items.front() {
                self.heads.remove(&(head.start, line.order));
            }
            line.items.push_front(FairItem { start, arrived, item });
            self.heads.insert((start, line.order), caller.clone());
            return;
        }
        self.next_order += 1;
        let order = self.next_order;
        let items = VecDeque::from([FairItem { start, arrived, item }]);
        let line = CallerLine { items, finish: start + REQUEST_COST, order };
        self.callers.insert(caller.clone(), line);
        self.heads.insert((start, order), caller.clone());
    }

    /// Arrival time of the request that goes next.
    pub fn next_arrival(&self) -> Option<MonoTime> {
        let (_, caller) = self.heads.first_key_value()?;
        self.callers[caller].items.front().map(|head| head.arrived)
    }

    /// The request that goes next.
    pub fn peek(&self) -> Option<&T> {
        let (_, caller) = self.heads.first_key_value()?;
        self.callers[caller].items.front().map(|head| &head.item)
    }

    /// Takes out the request that goes next.
    pub fn pop(&mut self) -> Option<T> {
        let ((start, order), caller) = self.heads.pop_first()?;
        let line = self.callers.get_mut(&caller)?;
        let head = line.items.pop_front()?;
        self.length -= 1;
        self.virtual_time = self.virtual_time.max(start);
        match line.items.front() {
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
