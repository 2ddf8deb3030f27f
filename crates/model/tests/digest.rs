//! Answers to digests carry only news.

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

/// Answers a digest that knows `b` as given, from one that knows `b` at incarnation 5, beat 5.
fn check_answer(seen: Option<(u64, u64)>, expected: &[&str]) {
    let mut lines = vec![line("c", 1, 1)];
    lines.extend(seen.map(|(incarnation, beat)| line("b", incarnation, beat)));
    let own = digest(vec![line("a", 1, 1), line("b", 5, 5)]);
    let answer = own.reply_to(&digest(lines));
    let names: Vec<&str> = answer.lines.iter().map(|line| line.name.as_str()).collect();
    assert_eq!(names, expected);
}

cases! { check_answer {
    unknown_member_is_news: (None, &["a", "b"]);
    later_beat_is_news: (Some((5, 4)), &["a", "b"]);
    later_incarnation_is_news: (Some((4, 9)), &["a", "b"]);
    same_beat_is_no_news: (Some((5, 5)), &["a"]);
    earlier_beat_is_no_news: (Some((5, 6)), &["a"]);
} }
