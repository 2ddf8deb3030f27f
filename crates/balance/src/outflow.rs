//! Decides when requests leave the data centre, and how many.
//!
//! Answers this load: data centres with uneven numbers of servers and demand that swings at different times;
//! a burst in one of them, or callers that move there; half of its servers slow, all of them evacuated or
//! cold. A server elsewhere costs the trip, the bytes that cross the border, and, while this data centre has
//! room of its own, a margin that keeps requests here although a server elsewhere looks a little better. The
//! margin shrinks as the own servers fill up and grows again only slowly, so that requests neither stay in a
//! queue beside free servers elsewhere nor swing between the data centres.

use crate::contention::ContentionCurve;
use crate::estimates::{BackendState, LoadEstimates};
use model::{DataCentre, MonoTime, ServiceName};
use smol_str::SmolStr;
use std::collections::HashMap;
use std::time::Duration;

/// Margin for a server elsewhere while the own ones have room, as a ratio to the processing time.
const MARGIN_RATIO: f64 = 0.6;
/// Margin that remains while the own servers are full, as a ratio to the processing time. What is known of servers
/// elsewhere is older, and other instances may send to them at the same moment.
const MARGIN_RATIO_MIN: f64 = 0.4;
/// Part of the own capacity in use from which the margin shrinks.
const PRESSURE_START: f64 = 0.8;
/// Part of the own capacity in use from which the margin is [`MARGIN_RATIO_MIN`].
const PRESSURE_FULL: f64 = 0.95;
/// Time constant with which the margin grows again once the pressure falls.
const RETURN_TIME_CONSTANT: Duration = Duration::from_secs(1);
/// Shortest interval between two observations of the pressure of a service.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(25);
/// Weight of the newest request in the mean number of bytes of a route.
const NEWEST_BYTES_WEIGHT: f64 = 0.05;
/// Number of routes whose bytes are remembered; those of further routes count as none.
const ROUTES_MAX: usize = 4_096;

/// What the bytes between data centres cost.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BorderPrice {
    /// Time of a caller that a megabyte is worth.
    pub per_megabyte: Duration,
}

#[derive(Debug, Clone, Copy)]
struct OutflowLevel {
    /// 0 while the margin is [`MARGIN_RATIO`], 1 while it is [`MARGIN_RATIO_MIN`].
    level: f64,
    pressure: f64,
    observed_at: MonoTime,
}

/// The way to another data centre. There are few of them, so they are searched one by one.
#[derive(Debug, Clone)]
struct CentreTrip {
    centre: DataCentre,
    /// Time that a request and its response travel longer than within the own data centre, in seconds.
    longer_s: f64,
}

/// When requests leave the data centre of this instance, by service.
#[derive(Debug, Clone)]
pub struct OutflowTable {
    price: BorderPrice,
    levels: HashMap<ServiceName, OutflowLevel>,
    trips: Vec<CentreTrip>,
    /// Mean bytes of a request and its response, by route.
    bytes: HashMap<SmolStr, f64>,
}

impl OutflowTable {
    /// Creates a table in which all requests stay.
    pub fn new(price: BorderPrice) -> Self {
        Self { price, levels: HashMap::new(), trips: Vec::new(), bytes: HashMap::new() }
    }

    /// Changes the price of bytes between data centres.
    pub fn set_price(&mut self, price: BorderPrice) {
        self.price = price;
    }

    /// Sets the time that a request and its response travel longer to a data centre than within the own one.
    pub fn set_trip(&mut self, centre: DataCentre, trip: Duration) {
        self.trips.retain(|known| known.centre != centre);
        self.trips.push(CentreTrip { centre, longer_s: trip.as_secs_f64() });
    }

    /// Records the size of a request and its response.
    pub fn record_bytes(&mut self, route: &SmolStr, bytes: usize) {
        let bytes = bytes as f64;
        if let Some(mean) = self.bytes.get_mut(route) {
            *mean += NEWEST_BYTES_WEIGHT * (bytes - *mean);
        } else if self.bytes.len() < ROUTES_MAX {
            self.bytes.insert(route.clone(), bytes);
        }
    }

    /// Whether the pressure of a service should be observed again.
    pub fn is_due(&self, now: MonoTime, service: &ServiceName) -> bool {
        let known = self.levels.get(service);
        known.is_none_or(|known| now.since(known.observed_at) >= OBSERVATION_INTERVAL)
    }

    /// Records the part of the own capacity for a service that is in use, 0 to 1.
    pub fn observe(&mut self, now: MonoTime, service: &ServiceName, pressure: f64) {
        let target =
            ((pressure - PRESSURE_START) / (PRESSURE_FULL - PRESSURE_START)).clamp(0.0, 1.0);
        let earlier = self.levels.get(service).map_or(0.0, |known| {
            let age = now.since(known.observed_at).as_secs_f64();
            known.level * (-age / RETURN_TIME_CONSTANT.as_secs_f64()).exp()
        });
        let level = OutflowLevel { level: target.max(earlier), pressure, observed_at: now };
        self.levels.insert(service.clone(), level);
    }

    /// Returns how freely requests of a service leave, 0 (the greatest margin) to 1 (the smallest).
    pub fn level(&self, service: &ServiceName) -> f64 {
        self.levels.get(service).map_or(0.0, |known| known.level)
    }

    /// Returns the part of the own capacity for a service that was in use when last observed.
    pub fn pressure(&self, service: &ServiceName) -> f64 {
        self.levels.get(service).map_or(0.0, |known| known.pressure)
    }

    /// Returns what a server elsewhere costs for a request of a route.
    pub fn quote(
        &self,
        service: &ServiceName,
        route: &str,
        processing_time: Duration,
    ) -> OutflowQuote<'_> {
        let ratio = MARGIN_RATIO + (MARGIN_RATIO_MIN - MARGIN_RATIO) * self.level(service);
        let megabytes = self.bytes.get(route).copied().unwrap_or_default() / 1e6;
        OutflowQuote {
            margin_s: processing_time.as_secs_f64() * ratio,
            bytes_s: megabytes * self.price.per_megabyte.as_secs_f64(),
            trips: &self.trips,
        }
    }
}

/// What a server in another data centre costs for one request, beside the time that it takes there.
#[derive(Debug, Clone, Copy)]
pub struct OutflowQuote<'a> {
    /// By which the server must be better, in seconds.
    pub margin_s: f64,
    /// For the bytes that cross the border, in seconds.
    bytes_s: f64,
    trips: &'a [CentreTrip],
}

impl OutflowQuote<'_> {
    /// Returns the cost of the trip to a data centre and of the bytes, in seconds.
    pub fn trip_s(&self, centre: &DataCentre) -> f64 {
        let trip = self.trips.iter().find(|trip| trip.centre == *centre);
        trip.map_or(0.0, |trip| trip.longer_s) + self.bytes_s
    }
}

/// Returns the part of a data centre's capacity for a service that is in use, 0 to 1; 1 if it has no usable
/// server. A server counts with the slots that are worth using, divided by its slowdown; one whose rate is
/// limited and used up, or that is cold, counts as full.
pub fn centre_pressure(
    estimates: &LoadEstimates,
    service: &ServiceName,
    centre: &DataCentre,
    contention: &ContentionCurve,
    now: MonoTime,
) -> f64 {
    let is_here = |state: &&BackendState| state.spec.data_centre == *centre && state.is_eligible();
    let (mut used, mut all) = (0.0, 0.0);
    for state in estimates.servers_of(service).filter(is_here) {
        let slots = contention.useful_slots(state.spec.slots);
        let capacity = f64::from(slots) / estimates.expected_slowdown(now, state).max(1.0);
        let is_free = state.is_usable(now) && estimates.exhausted_allowance(now, state).is_none();
        let in_use = f64::from(state.occupancy(now).min(slots)) / f64::from(slots.max(1));
        all += capacity;
        used += capacity * if is_free { in_use } else { 1.0 };
    }
    if all > 0.0 { used / all } else { 1.0 }
}
