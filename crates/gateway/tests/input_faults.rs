//! Input that is refused is counted, and logged at a bounded rate.

mod support;

use gateway::RepeatLimit;
use model::MonoTime;
use std::net::UdpSocket;
use support::client::call;
use support::fixture::{call_work, start_with_server, wait_until};
use testkit::cases;

/// Datagrams of the flood.
const DATAGRAMS: usize = 2_000;

/// Plays events at these times, in milliseconds; expects `None` for a line that is left out, else the number
/// left out before it.
fn check_limit(times: &[u64], expected: &[Option<u64>]) {
    let mut limit = RepeatLimit::default();
    let admitted: Vec<Option<u64>> =
        times.iter().map(|millis| limit.admit(MonoTime(millis * 1_000))).collect();
    assert_eq!(admitted, expected);
}

cases! { check_limit {
    few_lines_are_written: (&[5_000, 5_001, 5_002], &[Some(0), Some(0), Some(0)]);
    many_are_left_out_and_counted: (
        &[5_000, 5_001, 5_002, 5_003, 5_004, 5_005, 5_006, 6_100, 6_101],
        &[Some(0), Some(0), Some(0), Some(0), Some(0), None, None, Some(2), Some(0)],
    );
} }

/// Guards against a flood of malformed datagrams that fills the log and hides what matters.
#[test]
fn malformed_datagrams_are_counted_and_requests_served() {
    let (_store, _server, instance) = start_with_server();
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    for _ in 0..DATAGRAMS {
        socket.send_to(&[0xff; 64], instance.addresses[4]).expect("sent");
    }
    wait_until("datagrams are counted", || {
        let metrics = call(instance.metrics, "GET", "/metrics", "m").body;
        metrics.contains("lacewing_input_faults_total{event=\"datagram_malformed\"}")
    });
    assert_eq!(call_work(&instance, "ok", "id").status, 200);
    instance.close();
}
