//! When requests leave their data centre, and when they stay.

mod support;

use balance::{BorderPrice, ExchangeOutcome, OutflowTable, QueueDecision, QueueId, RequestQueue};
use model::{BackendSpec, DataCentre, SlotCount};
use std::time::Duration;
use support::{BORDER_PRICE, at, key, queue_of, report, request, service, spec};
use testkit::cases;

/// Servers in each of the two data centres, with six slots each.
const SERVERS: usize = 4;
/// Processing time of a request, in milliseconds.
const PROCESSING_MS: u64 = 200;

fn south() -> DataCentre {
    "south".parse().expect("name")
}

/// Returns the time by which the servers elsewhere must be better, in milliseconds.
fn margin_ms(table: &OutflowTable) -> u64 {
    let quote = table.quote(&service(), "r", Duration::from_millis(PROCESSING_MS));
    (quote.margin_s * 1e3).round() as u64
}

/// The margin after a series of pressures, each observed for half a second.
fn check_margin(pressures: &[f64], expected_ms: std::ops::RangeInclusive<u64>) {
    let mut table = OutflowTable::new(BORDER_PRICE);
    for (index, pressure) in pressures.iter().enumerate() {
        for step in 0..20 {
            table.observe(at(500 * index as u64 + 25 * step), &service(), *pressure);
        }
    }
    let margin = margin_ms(&table);
    assert!(expected_ms.contains(&margin), "{margin} ms");
}

cases! { check_margin {
    nothing_observed: (&[], 120..=120);
    calm: (&[0.3, 0.5, 0.6], 120..=120);
    busy: (&[0.85], 100..=110);
    full: (&[1.0], 80..=80);
    calm_again_for_a_moment: (&[1.0, 0.5], 85..=105);
    calm_again_for_long: (&[1.0, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5], 118..=120);
    swinging: (&[1.0, 0.6, 1.0, 0.6, 1.0], 80..=80);
} }

/// The cost of a trip and of the bytes of a route.
fn check_trip(trip_ms: u64, bytes: usize, per_megabyte_ms: u64, expected_ms: u64) {
    let price = BorderPrice { per_megabyte: Duration::from_millis(per_megabyte_ms) };
    let mut table = OutflowTable::new(price);
    table.set_trip(south(), Duration::from_millis(trip_ms));
    for _ in 0..50 {
        table.record_bytes(&"r".into(), bytes);
    }
    let trip_s = |route: &str| table.quote(&service(), route, Duration::ZERO).trip_s(&south());
    assert_eq!((trip_s("r") * 1e3).round() as u64, expected_ms);
    assert!(trip_s("other") <= trip_s("r"));
}

cases! { check_trip {
    nothing_known: (0, 0, 100, 0);
    near: (3, 400, 100, 3);
    far: (24, 400, 100, 24);
    upload: (3, 360_000, 100, 39);
    upload_where_bytes_are_dear: (3, 360_000, 5_000, 1_803);
    bytes_without_a_price: (3, 360_000, 0, 3);
} }

/// What happens to the servers of the own data centre.
#[derive(Debug, Clone, Copy)]
enum OwnServers {
    Idle,
    /// One of four has a free slot left.
    NearlyFull,
    Full,
    /// Three of four are seven times slower.
    MostSlow,
    Evacuated,
}

fn queue_with(own: OwnServers) -> RequestQueue {
    let specs = (0..2 * SERVERS).map(|index| {
        let centre = if index < SERVERS { "north" } else { "south" };
        BackendSpec { slots: SlotCount(6), ..spec(index, centre) }
    });
    let mut queue = queue_of(specs.collect(), 100);
    for index in 0..2 * SERVERS {
        let (running, slowdown) = match (own, index) {
            (OwnServers::NearlyFull, 0) => (5, 1.0),
            (OwnServers::NearlyFull | OwnServers::Full, 0..SERVERS) => (6, 1.0),
            (OwnServers::MostSlow, 1..SERVERS) => (0, 7.0),
            _ => (0, 1.0),
        };
        queue.estimates.record_report(at(50), &key(index), report(running, slowdown));
    }
    if let OwnServers::Evacuated = own {
        queue.estimates.evacuate(&"north".parse().expect("name"));
    }
    queue
}

/// Sends requests that come together and returns how many left the data centre, of those that were sent.
fn count_away(queue: &mut RequestQueue, requests: usize) -> (usize, usize) {
    let mut sent: Vec<(QueueId, bool)> = Vec::new();
    for _ in 0..requests {
        let (id, decision) = queue.submit(at(55), request(at(55), 1));
        if let Some(QueueDecision::Send(placement)) = decision {
            sent.push((id, placement.is_away));
        }
    }
    (sent.iter().filter(|(_, is_away)| *is_away).count(), sent.len())
}

fn check_away(own: OwnServers, requests: usize, expected: std::ops::RangeInclusive<usize>) {
    let (away, sent) = count_away(&mut queue_with(own), requests);
    assert_eq!(sent, requests, "all are sent at once");
    assert!(expected.contains(&away), "{away} of {sent} left");
}

cases! { check_away {
    idle: (OwnServers::Idle, 12, 0..=0);
    more_than_fit_here: (OwnServers::Idle, 30, 6..=12);
    nearly_full: (OwnServers::NearlyFull, 8, 7..=8);
    own_servers_full: (OwnServers::Full, 8, 8..=8);
    most_slow: (OwnServers::MostSlow, 12, 4..=8);
    evacuated: (OwnServers::Evacuated, 8, 8..=8);
} }

/// Requests come back once the own servers have room again.
#[test]
fn requests_return_after_a_crest() {
    let mut queue = queue_with(OwnServers::Full);
    assert_eq!(count_away(&mut queue, 4).0, 4);
    for index in 0..2 * SERVERS {
        queue.estimates.record_report(at(56), &key(index), report(0, 1.0));
    }
    for now in 57..65 {
        let (id, decision) = queue.submit(at(now), request(at(now), 1));
        let Some(QueueDecision::Send(placement)) = decision else {
            panic!("expected a free slot");
        };
        assert!(!placement.is_away);
        queue.finish(at(now), id, &placement.key, ExchangeOutcome::Answered);
    }
}

/// Of two routes the one with large bodies stays while bytes are dear.
#[test]
fn uploads_stay_where_bytes_are_dear() {
    for (bytes, is_away) in [(400, true), (500_000, false)] {
        let mut queue = queue_with(OwnServers::MostSlow);
        queue.outflow.set_price(BorderPrice { per_megabyte: Duration::from_secs(5) });
        for _ in 0..50 {
            queue.outflow.record_bytes(&"r".into(), bytes);
        }
        // The one fast server here takes six.
        let (away, _) = count_away(&mut queue, 8);
        assert_eq!(away > 0, is_away, "{bytes} bytes: {away} left");
    }
}
