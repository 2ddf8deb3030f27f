//! The reply to a digest contains only lines that are newer than those received.

use model::{ConfigVersion, DigestLine, FleetDigest, IncarnationId, InstanceRecord, InstanceState};
use testkit::cases;

fn line(name: &str, incarnation: u64, beat: u64) -> DigestLine {
    DigestLine {
        name: name.parse().unwrap(),
        incarnation: IncarnationId(incarnation),
        beat,
        state: InstanceState::Live,
        version: ConfigVersion(1),
    }
}

fn digest(lines: Vec<DigestLine>) -> FleetDigest {
    let address = ([127, 0, 0, 1], 1).into();
    FleetDigest {
        sender: InstanceRecord {
            name: lines[0].name.clone(),
            incarnation: lines[0].incarnation,
            data_centre: "dc".parse().unwrap(),
            caller_address: address,
            operator_address: address,
            peer_address: address,
            state: InstanceState::Live,
        },
        clock: 0,
        version: ConfigVersion(1),
        confirmed_ago: None,
        lines,
        leaving: Vec::new(),
    }
}

/// Checks which instances a reply contains. The replying instance has `b` at incarnation 5 and
/// heartbeat 5; `received` is the incarnation and heartbeat of `b` in the received digest.
fn check_reply(received: Option<(u64, u64)>, expected: &[&str]) {
    let mut lines = vec![line("c", 1, 1)];
    lines.extend(received.map(|(incarnation, beat)| line("b", incarnation, beat)));
    let own = digest(vec![line("a", 1, 1), line("b", 5, 5)]);
    let reply = own.reply_to(&digest(lines));
    let names: Vec<&str> = reply.lines.iter().map(|line| line.name.as_str()).collect();
    assert_eq!(names, expected);
}

cases! { check_reply {
    unknown_member_is_included: (None, &["a", "b"]);
    later_heartbeat_is_included: (Some((5, 4)), &["a", "b"]);
    later_incarnation_is_included: (Some((4, 9)), &["a", "b"]);
    same_heartbeat_is_omitted: (Some((5, 5)), &["a"]);
    earlier_heartbeat_is_omitted: (Some((5, 6)), &["a"]);
} }
