//! Plays a case of the review: `rig CASE FOLDER`. Starts the gateway as separate processes and plays the
//! platform, the upstreams and the clients itself. Exits with 1 if the rule was broken, 0 if it held, and
//! 2 if the case could not run. With `TROUBLE=0` it leaves out the disruption.

mod cases;
mod gateway;
mod http;
mod json;
mod record;
mod store;
mod upstream;

use record::Record;
use std::panic::AssertUnwindSafe;
use std::path::{Path, PathBuf};

/// What a case runs with.
pub struct Rig {
    /// The gateway's program.
    pub program: PathBuf,
    /// A temporary folder for settings and logs.
    pub folder: PathBuf,
    pub record: Record,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
}

/// Whether the rule held, with the reason.
pub struct Verdict {
    pub held: bool,
    pub text: String,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, case_folder] = arguments.as_slice() else {
        eprintln!("usage: rig CASE FOLDER");
        std::process::exit(2);
    };
    let program = PathBuf::from("target/release/lacewing-gateway");
    if !program.exists() {
        eprintln!("{} is missing; build the deploy file first", program.display());
        std::process::exit(2);
    }
    let folder = std::env::temp_dir().join(format!("lacewing-review-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let rig = Rig { program, folder: folder.clone(), record: Record::start(), has_trouble };
    rig.record.line(&format!("case {case}, disruption {}", if has_trouble { "on" } else { "off" }));
    let played = std::panic::catch_unwind(AssertUnwindSafe(|| cases::play(case, &rig)));
    let played = played.unwrap_or_else(|_| Err("the case panicked".into()));
    let code = match &played {
        Ok(verdict) => {
            let word = if verdict.held { "held" } else { "BROKEN" };
            rig.record.line(&format!("rule {word}: {}", verdict.text));
            println!("rule {word}: {}", verdict.text);
            i32::from(!verdict.held)
        }
        Err(cause) => {
            rig.record.line(&format!("could not run: {cause}"));
            println!("could not run: {cause}");
            2
        }
    };
    let written = rig.record.write(&Path::new(case_folder).join("record.txt"));
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&folder);
    } else {
        println!("{}", folder.display());
    }
    std::process::exit(if written.is_err() { 2 } else { code });
}
