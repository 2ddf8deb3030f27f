//! Responses whose status is none: the exchange fails and its connection is not used again.

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use link::{ConnectionChoice, LinkPool, LinkPoolBuilder, SendState};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use testkit::cases;

/// Deadline of the exchanges, which no case may reach.
const DEADLINE: Duration = Duration::from_secs(20);

/// Starts a server that answers each request with a status line. Returns its address and the number of its
/// connections.
fn start_server(line: &'static str) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let opened = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&opened);
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            count.fetch_add(1, Ordering::Relaxed);
            std::thread::spawn(move || {
                while stream.read(&mut [0; 4_096]).is_ok_and(|length| length > 0) {
                    let response = format!("{line}\r\ncontent-length: 2\r\n\r\nok");
                    if stream.write_all(response.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, opened)
}

async fn exchange(pool: &LinkPool, address: SocketAddr) -> Result<u16, SendState> {
    let request = Request::get("/").body(Full::<Bytes>::default()).unwrap();
    let deadline = Instant::now() + DEADLINE;
    let result = pool.exchange(address, request, ConnectionChoice::Pooled, deadline).await;
    result.map(|response| response.status().as_u16()).map_err(|cause| cause.send_state())
}

/// Sends two requests. `None` stands for a response that is none; the request may have run.
fn check_status(line: &'static str, expected: Option<u16>) {
    let (address, opened) = start_server(line);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let pool = LinkPoolBuilder::default().build();
        let expected = expected.ok_or(SendState::MaybeSent);
        assert_eq!(exchange(&pool, address).await, expected);
        assert_eq!(exchange(&pool, address).await, expected);
    });
    let connections = if expected.is_some() { 1 } else { 2 };
    assert_eq!(opened.load(Ordering::Relaxed), connections, "connections");
}

cases! { check_status {
    zero: ("HTTP/1.1 000 None", None);
    below_one_hundred: ("HTTP/1.1 099 Low", None);
    switching_protocols: ("HTTP/1.1 101 Switching", None);
    six_hundred: ("HTTP/1.1 600 High", None);
    highest_of_three_digits: ("HTTP/1.1 999 High", None);
    four_digits: ("HTTP/1.1 2000 OK", None);
    two_digits: ("HTTP/1.1 20 OK", None);
    negative: ("HTTP/1.1 -20 OK", None);
    two_spaces: ("HTTP/1.1  200 OK", None);
    letters: ("HTTP/1.1 2OO OK", None);
    empty_status: ("HTTP/1.1 ", None);
    other_protocol: ("HTTP/3.0 200 OK", None);
    no_protocol: ("200 OK", None);
    lowest: ("HTTP/1.1 200 OK", Some(200));
    no_reason: ("HTTP/1.1 299 ", Some(299));
    redirect: ("HTTP/1.1 399 Other", Some(399));
    highest: ("HTTP/1.1 599 Failure", Some(599));
} }
