//! Shared helpers for the tests of all crates: the macro that names each case of a table.

pub use rstest;

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

/// Ports below those that the system gives to outgoing connections.
const FIRST_PORT: u16 = 10_000;
/// Ports for one process, and for how many processes there is room.
const PROCESS_PORTS: u16 = 100;
const PROCESS_GROUPS: u32 = 200;

/// An address that nothing listens on. No other call of this process gives the same, and few other
/// processes look at the same ports.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let group = std::process::id() % PROCESS_GROUPS;
    loop {
        let offset = u32::from(NEXT.fetch_add(1, Ordering::Relaxed));
        let span = u32::from(PROCESS_PORTS) * PROCESS_GROUPS;
        let place = (group * u32::from(PROCESS_PORTS) + offset) % span;
        let port = FIRST_PORT + u16::try_from(place).expect("fits the ports");
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Declares one named test per row, each calling the same check function.
///
/// ```ignore
/// cases! { check_parse {
///     empty_batch: ("", "expected a statement");
///     two_changes: ("drop service a; drop service b", "ok");
/// } }
/// ```
#[macro_export]
macro_rules! cases {
    ($check:ident { $($name:ident: ($($argument:expr),* $(,)?));* $(;)? }) => {
        $(
            #[$crate::rstest::rstest]
            fn $name() {
                $check($($argument),*);
            }
        )*
    };
}
