//! Servers that send a response once more, late, on a kept connection.

mod support;

use model::RunVerdict;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use support::raw_server::{header_value, read_head, start_raw_server};
use support::{TestFleet, verdict_of, wait_until};
use testkit::cases;

/// Time between a refusal that is sent once more and the response that is due.
const LATE_COPY_GAP: Duration = Duration::from_millis(30);

/// Which requests a server refuses before it runs others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RefusedRequests {
    /// Each first one on a connection.
    FirstOnConnection,
    /// The first one of all.
    FirstOfAll,
}

/// A server that refuses requests without running them and sends each refusal once more as soon as the
/// next request arrives on the connection.
#[derive(Clone)]
struct RepeatingServer {
    refused: RefusedRequests,
    /// Whether it repeats the exchange id in its responses.
    echoes: bool,
    /// Idempotency keys, or request ids of lookups, in the order in which they ran.
    ran: Arc<Mutex<Vec<String>>>,
    refusals: Arc<Mutex<usize>>,
}

impl RepeatingServer {
    fn start(refused: RefusedRequests, echoes: bool) -> (Self, SocketAddr) {
        let server = Self { refused, echoes, ran: Arc::default(), refusals: Arc::default() };
        let shared = server.clone();
        (server, start_raw_server(move |stream| shared.serve(stream)))
    }

    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut late_copy = String::new();
        let mut count = 0;
        while let Some(headers) = read_head(&mut reader)? {
            count += 1;
            stream.write_all(std::mem::take(&mut late_copy).as_bytes())?;
            std::thread::sleep(LATE_COPY_GAP);
            let header = |name: &str| header_value(&headers, name);
            let echo = match self.echoes {
                true => format!("lacewing-exchange: {}\r\n", header("lacewing-exchange")),
                false => String::new(),
            };
            let refuses = match self.refused {
                RefusedRequests::FirstOnConnection => count == 1,
                RefusedRequests::FirstOfAll => *self.refusals.lock().unwrap() == 0,
            };
            if refuses {
                *self.refusals.lock().unwrap() += 1;
                late_copy = format!(
                    "HTTP/1.1 503 Full\r\n{echo}x-shed: not-run\r\ncontent-length: 0\r\n\r\n"
                );
                stream.write_all(late_copy.as_bytes())?;
                continue;
            }
            let key = header("idempotency-key");
            let id = if key.is_empty() { header("lacewing-request") } else { key };
            self.ran.lock().unwrap().push(id.to_owned());
            let length = id.len();
            write!(stream, "HTTP/1.1 200 OK\r\n{echo}content-length: {length}\r\n\r\n{id}")?;
        }
        Ok(())
    }
}

/// Guards against a late copy of a refusal: the request in progress was refused as not run although a
/// server ran it, or was sent again and ran twice.
fn check_repeated_refusal(method: &str, refused: RefusedRequests, echoes: bool) {
    let fleet = TestFleet::start(1, 0);
    let (server, address) = RepeatingServer::start(refused, echoes);
    fleet.command(0, &format!("create server repeating in orders at {address}"));
    wait_until("the server is in force", || fleet.version(0) == 2);
    for number in 0..4 {
        let ticket = if method == "POST" { fleet.ticket(0) } else { String::new() };
        let id = format!("request-{number}");
        let mut headers = vec![("lacewing-request", id.as_str())];
        if method == "POST" {
            headers.push(("lacewing-ticket", ticket.as_str()));
        }
        let response = fleet.call(0, method, "/v1/call/orders/x", &headers, "");
        let sent = if method == "POST" { &ticket } else { &id };
        let runs = server.ran.lock().unwrap().iter().filter(|ran| *ran == sent).count();
        match verdict_of(&response) {
            Some(RunVerdict::Ran) => assert_eq!(response.body(), sent.as_bytes()),
            Some(RunVerdict::NotRun) => assert_eq!(runs, 0, "{id} was refused as not run, but ran"),
            Some(RunVerdict::MayHaveRun) => {}
            None => panic!("no verdict: {response:?}"),
        }
        assert!(method == "GET" || runs <= 1, "{id} ran {runs} times");
    }
    assert!(*server.refusals.lock().unwrap() > 0);
    fleet.close();
}

cases! { check_repeated_refusal {
    booking_at_a_server_that_echoes: ("POST", RefusedRequests::FirstOnConnection, true);
    booking_at_one_that_does_not: ("POST", RefusedRequests::FirstOnConnection, false);
    booking_after_one_refusal: ("POST", RefusedRequests::FirstOfAll, true);
    booking_after_one_refusal_without_echo: ("POST", RefusedRequests::FirstOfAll, false);
    lookup_at_a_server_that_echoes: ("GET", RefusedRequests::FirstOnConnection, true);
    lookup_after_one_refusal_without_echo: ("GET", RefusedRequests::FirstOfAll, false);
} }
