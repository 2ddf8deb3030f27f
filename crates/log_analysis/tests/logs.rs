//! Traces, summaries and filters of complete, interleaved and damaged logs.

use expect_test::{Expect, expect};
use log_analysis::{FailureSummary, LineFilter, LogLine, ReadTally, TraceBuilder, read_lines};
use proptest::prelude::*;
use testkit::cases;

/// A home refuses a request after a server shed it. Lines of two instances, ordered by time.
const REFUSED: &str = r#"
{"at":100.0,"on":"home","event":"start","detail":"incarnation 7"}
{"at":101.0,"on":"home","event":"config","detail":"version 3, 2 routes"}
{"at":102.0,"on":"other","event":"store_lost","detail":""}
{"at":103.0,"on":"home","event":"server","detail":"first of orders at 10.0.0.1:80 leaving false revision 9"}
{"at":104.0,"on":"home","event":"request","request":"other-id","status":200,"took_ms":12}
{"at":104.5,"on":"home","event":"attempt_failed","request":"id-1","server":"first","outcome":"not run: the server turned it away","server_had":0,"pace":1.0,"report_age_ms":19}
{"at":104.6,"on":"home","event":"request","request":"id-1","service":"orders","status":503,"cause":"no_server","waited_ms":40}
"#;

/// A failed request in a log whose last line is truncated.
const MAY_HAVE_RUN: &str = r#"
{"at":50.2,"on":"b","event":"attempt_failed","request":"id-1","server":"s","outcome":"may have run: broken"}
{"at":50.3,"on":"b","event":"request","request":"id-1","status":502,"cause":"broken at s"}
{"at":50.4,"on":"b","event":"requ
"#;

fn lines_of(text: &str) -> (Vec<LogLine>, ReadTally) {
    let mut tally = ReadTally::default();
    let mut lines = Vec::new();
    read_lines(text.as_bytes(), &mut tally, |line, _| lines.push(line)).expect("reading memory");
    (lines, tally)
}

fn check_trace(text: &str, expected: &Expect) {
    let mut trace = TraceBuilder::new("id-1".into());
    for line in lines_of(text).0 {
        trace.add_line(line);
    }
    let found = trace.finish().map_or("unknown".to_owned(), |trace| trace.to_string());
    expected.assert_eq(&found);
}

cases! { check_trace {
    refused: (REFUSED, &expect![[r#"
        id-1: refused, not run: no_server (status 503)
        decisions, in seconds after 104.500:
            +0.000 home attempt_failed outcome="not run: the server turned it away" pace=1.0 report_age_ms=19 server="first" server_had=0
            +0.100 home request cause="no_server" service="orders" status=503 waited_ms=40
        state last logged by these instances:
            -4.500 home start incarnation 7
            -3.500 home config version 3, 2 routes
            -1.500 home server first of orders at 10.0.0.1:80 leaving false revision 9
    "#]]);
    may_have_run: (MAY_HAVE_RUN, &expect![[r#"
        id-1: failed, may have run: broken at s (status 502)
        decisions, in seconds after 50.200:
            +0.000 b attempt_failed outcome="may have run: broken" server="s"
            +0.100 b request cause="broken at s" status=502
    "#]]);
    no_line: ("", &expect!["unknown"]);
    no_final_response: (r#"{"at":1,"on":"a","event":"attempt_failed","request":"id-1"}"#, &expect![[r#"
        id-1: no final response in these lines: the caller disconnected, the instance ended, or the line is missing
        decisions, in seconds after 1.000:
            +0.000 a attempt_failed
    "#]]);
} }

#[test]
fn a_regained_store_is_not_reported_as_lost() {
    let text = r#"
{"at":1.0,"on":"a","event":"store_lost","detail":""}
{"at":2.0,"on":"a","event":"store_regained","detail":""}
{"at":3.0,"on":"a","event":"request","request":"id-1","status":200}
"#;
    let mut trace = TraceBuilder::new("id-1".into());
    lines_of(text).0.into_iter().for_each(|line| trace.add_line(line));
    let trace = trace.finish().expect("there is a line");
    let events: Vec<&str> = trace.context.iter().map(|line| line.event.as_str()).collect();
    assert_eq!(events, ["store_regained"]);
}

/// Compares the number of lines parsed and skipped.
fn check_tally(text: &str, lines: u64, skipped: u64) {
    assert_eq!(lines_of(text).1, ReadTally { lines, skipped });
}

cases! { check_tally {
    empty: ("", 0, 0);
    blank_lines: ("\n\n  \n", 0, 0);
    truncated_line: (MAY_HAVE_RUN, 2, 1);
    not_a_log_line: ("hello\n{\"at\":1,\"on\":\"a\",\"event\":\"x\"}\n[1]\n", 1, 2);
    wrong_type: ("{\"at\":\"x\",\"on\":\"a\",\"event\":\"x\"}\n", 0, 1);
    too_long: (&format!("{}\n{{\"at\":1,\"on\":\"a\",\"event\":\"x\"}}\n", "x".repeat(200_000)), 1, 1);
    no_last_newline: ("{\"at\":1,\"on\":\"a\",\"event\":\"x\"}", 1, 0);
} }

#[test]
fn failures_are_counted_by_cause_without_the_server() {
    let text = r#"
{"at":1.0,"on":"a","event":"request","request":"1","service":"s","status":504,"cause":"no answer in time from x","waited_ms":5}
{"at":2.0,"on":"b","event":"request","request":"2","service":"s","status":504,"cause":"no answer in time from y","waited_ms":9}
{"at":3.0,"on":"b","event":"rejected","request":"3","status":404,"cause":"no route"}
{"at":4.0,"on":"b","event":"request","request":"4","service":"s","status":200}
{"at":5.0,"on":"b","event":"homes","detail":"x"}
"#;
    let mut summary = FailureSummary::default();
    lines_of(text).0.iter().for_each(|line| summary.add_line(line));
    expect![[r#"
        served requests in these logs: 1
             2  504  no answer in time  service s  2 instances  1.000 to 2.000  waited at most 9 ms  for example 1 2
             1  404  no route  service -  1 instances  3.000 to 3.000  waited at most 0 ms  for example 3
    "#]]
    .assert_eq(&summary.to_string());
    assert_eq!(summary.to_json()[0]["row"]["count"], 2);
}

/// Compares the number of lines of [`REFUSED`] that a filter matches.
fn check_filter(filter: LineFilter, expected: usize) {
    let matched = lines_of(REFUSED).0.iter().filter(|line| filter.matches(line)).count();
    assert_eq!(matched, expected);
}

cases! { check_filter {
    all: (LineFilter::default(), 7);
    instance: (LineFilter { instance: Some("other".into()), ..LineFilter::default() }, 1);
    event: (LineFilter { event: Some("request".into()), ..LineFilter::default() }, 2);
    request: (LineFilter { request: Some("id-1".into()), ..LineFilter::default() }, 2);
    time_range: (LineFilter { since: Some(101.0), until: Some(103.0), ..LineFilter::default() }, 3);
} }

proptest! {
    #[test]
    fn any_bytes_are_read_to_the_end(bytes in prop::collection::vec(any::<u8>(), 0..2_000)) {
        let mut tally = ReadTally::default();
        read_lines(&bytes[..], &mut tally, |_, _| {}).expect("reading memory");
        let most = bytes.split(|byte| *byte == b'\n').count() as u64;
        prop_assert!(tally.lines + tally.skipped <= most);
    }
}
