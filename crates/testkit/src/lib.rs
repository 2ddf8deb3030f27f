//! Test helpers for all crates: a macro for table-driven tests, and free addresses to listen on.

pub use rstest;

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

/// Lowest port used. The range lies below the ports that the system assigns to outgoing
/// connections.
const FIRST_PORT: u16 = 10_000;
/// Number of ports in one group. A process starts in the group that its id selects.
const GROUP_PORTS: u16 = 100;
/// Number of groups.
const GROUP_COUNT: u32 = 200;

/// Returns a loopback address that nothing listens on.
///
/// Other calls in this process return other addresses, until all ports of the range were tried.
/// Another process can take the address before the caller listens on it, but few processes share a
/// group.
pub fn free_address() -> SocketAddr {
    static NEXT_OFFSET: AtomicU16 = AtomicU16::new(0);
    let group = std::process::id() % GROUP_COUNT;
    loop {
        let offset = u32::from(NEXT_OFFSET.fetch_add(1, Ordering::Relaxed));
        let port_count = u32::from(GROUP_PORTS) * GROUP_COUNT;
        let port_offset = (group * u32::from(GROUP_PORTS) + offset) % port_count;
        let port = FIRST_PORT + u16::try_from(port_offset).expect("port offset fits in 16 bits");
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Declares one named test per row. Each test calls the check function with the arguments of its
/// row.
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
