//! Settings of an entry instance: all errors are reported at once, with line and key.

use settings::DaemonSettings;
use testkit::cases;

const VALID: &str = "[instance]\nname = e1\ndata_centre = gt-1\ncaller_address = 127.0.0.1:7000\n\
operator_address = 127.0.0.1:7001\npeer_address = 127.0.0.1:7002\n[platform]\n\
address = 127.0.0.1:7100\n[fleet]\ntoken = long-enough\n";

/// Replaces `from` by `to` in valid settings and compares the errors.
fn check_settings(from: &str, to: &str, expected: &str) {
    let text = VALID.replace(from, to);
    let found = DaemonSettings::parse("e1.ini", &text).err();
    assert_eq!(found.map(|cause| cause.to_string()).unwrap_or_default(), expected);
}

cases! { check_settings {
    valid: ("", "", "");
    missing_key: ("name = e1\n", "", "e1.ini: [instance] name: missing; expected an instance name");
    bad_address: ("127.0.0.1:7001", "localhost", "e1.ini:5: [instance] operator_address: expected an address such as 10.0.0.1:7000, found \"localhost\"");
    short_token: ("long-enough", "abc", "e1.ini:10: [fleet] token: expected a secret of 8 bytes or more");
    unknown_key: ("[fleet]\n", "[fleet]\ncolour = red\n", "e1.ini:10: [fleet] colour: unknown key");
    bad_seed: ("[fleet]\n", "[fleet]\nseeds = 127.0.0.1:1, x\n", "e1.ini:10: [fleet] seeds: expected an address such as 10.0.0.1:7000, found \"x\"");
    too_many_threads: ("[fleet]\n", "[traffic]\nthreads = 0\n[fleet]\n", "e1.ini:10: [traffic] threads: expected a count from 1 to 64");
    placeholder_of_an_optional_key: ("[fleet]\n", "[traffic]\nthreads = {{threads}}\n[fleet]\n", "");
    placeholder_of_a_required_key: ("name = e1", "name = {{node}}", "e1.ini:2: [instance] name: missing; expected an instance name");
    part_of_a_placeholder: ("name = e1", "name = {{node", "e1.ini:2: [instance] name: expected an instance name, found \"{{node\"");
    two_errors_at_once: ("name = e1\ndata_centre = gt-1", "name = a b\ndata_centre = ?", "e1.ini:2: [instance] name: expected an instance name, found \"a b\"\ne1.ini:3: [instance] data_centre: expected a data centre name, found \"?\"");
} }
