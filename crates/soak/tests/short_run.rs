//! Short runs of the soak test with fixed seeds.

use std::process::Command;
use testkit::cases;

/// Time during which faults are injected, in seconds.
const FAULT_SECONDS: &str = "5";

fn check_seed(seed: &str, options: &[&str]) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_soak"));
    command.args(["--seed", seed, "--seconds", FAULT_SECONDS]);
    command.args(options);
    let output = command.output().expect("the soak starts");
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{text}{}", String::from_utf8_lossy(&output.stderr));
}

cases! { check_seed {
    planned_work: ("1", &["--planned"]);
    all_faults: ("3", &[]);
    unread_output: ("2", &["--planned", "--stalled-output"]);
} }
