//! Batches: grammar, positions of errors, and application completely or not at all.

use command::{ApplyError, BatchKind, apply_batch, parse_batch};
use model::{ConfigDocument, ConfigVersion, IncarnationId};
use testkit::cases;

const BASE: &str = "create service orders; create server s1 in orders at 127.0.0.1:9001";

/// Parses a text and compares the error text; `expected` is empty for a valid text.
fn check_parse(text: &str, expected: &str) {
    let found = parse_batch(text).err().map(|cause| cause.to_string()).unwrap_or_default();
    assert_eq!(found, expected);
}

cases! { check_parse {
    one_change: ("create service orders", "");
    settings_in_parentheses: ("create service a (deadline_ms = 500, homes = 2)", "");
    comments_and_blank_statements: ("-- first\n;; show services; # last", "");
    quoted_route: ("create rule in a route \"/x y\"", "line 1, column 24: expected a route that starts with '/', found \"/x y\"");
    quoted_name: ("create service \"orders\"", "");
    keywords_in_any_case: ("SHOW Instances", "");
    version_guard: ("if version 7; drop service a", "");
    empty_text: ("", "line 1, column 1: expected a statement: create, alter, drop, drain or show, found the end of the text");
    unknown_verb: ("remove service a", "line 1, column 1: expected create, alter, drop, drain or show, found remove");
    unknown_setting: ("create service a (speed = 3)", "line 1, column 19: expected deadline_ms, keep_ms, long_yield_ms, homes or probe_rate, found speed");
    bad_value: ("create service a (homes = many)", "line 1, column 27: expected a count from 1 to 16, found many");
    value_out_of_range: ("create service a (probe_rate = -1)", "line 1, column 32: expected probes a second from 0 to 100, found -1");
    position_on_later_line: ("create service a;\n  drop b", "line 2, column 8: expected service, server or rule, found b");
    missing_separator: ("drop service a drop service b", "line 1, column 16: expected ';' or the end of the text, found drop");
    changes_and_queries: ("drop service a; show services", "line 1, column 17: expected only changes or only queries in one batch, found show");
    unterminated_quote: ("create service \"a", "line 1, column 16: expected a word, a quoted string or one of ; , ( ) =, found another character or an unterminated quote");
    unexpected_character: ("create service \u{e4}!", "line 1, column 17: expected a word, a quoted string or one of ; , ( ) =, found another character or an unterminated quote");
} }

fn apply(document: &ConfigDocument, text: &str, id: &str) -> Result<ConfigDocument, ApplyError> {
    let Ok(BatchKind::Changes(batch)) = parse_batch(text) else {
        panic!("{text} is a batch of changes");
    };
    let find = |name: &model::InstanceName| (name.as_str() == "e1").then_some(IncarnationId(5));
    apply_batch(document, &batch, id.parse().unwrap(), find)
}

/// Applies a text to a document with one service and compares the error text; the document must
/// stay unchanged.
fn check_apply(text: &str, expected: &str) {
    let base = apply(&ConfigDocument::default(), BASE, "base").unwrap();
    let before = base.clone();
    let found = apply(&base, text, "next").err().map(|cause| cause.to_string());
    assert_eq!(found.unwrap_or_default(), expected);
    assert_eq!(base, before);
}

cases! { check_apply {
    drain_server: ("drain server s1 in orders", "");
    drain_instance: ("drain instance e1", "");
    required_version_found: ("if version 1; drop service orders", "");
    required_version_not_found: ("if version 2; drop service orders", "expected version 2, found version 1");
    service_twice: ("create service orders", "service orders already exists");
    server_twice: ("create server s1 in orders at 127.0.0.1:1", "backend server s1 already exists in service orders");
    rule_twice: ("create rule in orders route /a; create rule in orders route /a", "rule for /a already exists in service orders");
    unknown_service: ("drop service other", "no service other");
    unknown_server: ("drain server s2 in orders", "no backend server s2 in service orders");
    unknown_rule: ("drop rule in orders route /x", "no rule for /x in service orders");
    unknown_instance: ("drain instance e9", "no live instance e9");
    second_statement_fails: ("create service new; drop service other", "no service other");
} }

#[test]
fn batch_creates_one_version_and_records_its_id() {
    let document = apply(&ConfigDocument::default(), BASE, "base").unwrap();
    assert_eq!(document.version, ConfigVersion(1));
    assert_eq!(document.version_of(&"base".parse().unwrap()), Some(ConfigVersion(1)));
}

#[test]
fn recreated_server_has_a_new_incarnation() {
    let document = apply(&ConfigDocument::default(), BASE, "base").unwrap();
    let text = "drop server s1 in orders; create server s1 in orders at 127.0.0.1:9001";
    let next = apply(&document, text, "next").unwrap();
    let incarnation = |document: &ConfigDocument| {
        let service = &document.services[&"orders".parse().unwrap()];
        service.servers[&"s1".parse().unwrap()].incarnation
    };
    assert!(incarnation(&next) > incarnation(&document));
}
