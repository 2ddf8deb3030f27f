//! Servers that run a request and fail it with a status that refusals have.

mod support;

use model::RunVerdict;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use support::raw_server::{header_value, read_head, start_raw_server};
use support::{TestFleet, verdict_of, wait_until};
use testkit::cases;

/// Time between a response and the reading of the request's body.
const BODY_DELAY: Duration = Duration::from_millis(20);

/// A server that runs each request and answers with one status, without the mark of a refusal, before it reads
/// the body.
#[derive(Clone)]
struct FailingServer {
    status: u16,
    /// Idempotency keys of the requests that it ran, or the request ids of lookups.
    ran: Arc<Mutex<Vec<String>>>,
}

impl FailingServer {
    fn start(status: u16) -> (Self, SocketAddr) {
        let server = Self { status, ran: Arc::default() };
        let shared = server.clone();
        (server, start_raw_server(move |stream| shared.serve(stream)))
    }

    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(head) = read_head(&mut reader)? {
            let key = header_value(&head, "idempotency-key");
            let id = if key.is_empty() { header_value(&head, "lacewing-request") } else { key };
            self.ran.lock().unwrap().push(id.to_owned());
            write!(
                stream,
                "HTTP/1.1 {} Failed\r\nlacewing-exchange: {}\r\nlacewing-verdict: not-run\r\n\
                 retry-after: 0\r\ncontent-length: 0\r\n\r\n",
                self.status,
                header_value(&head, "lacewing-exchange")
            )?;
            std::thread::sleep(BODY_DELAY);
            let length = header_value(&head, "content-length").parse().unwrap_or(0);
            std::io::copy(&mut reader.by_ref().take(length), &mut std::io::sink())?;
        }
        Ok(())
    }
}

/// Guards against the verdict `not-run` of work that ran: in a fresh answer, in that of a repeat, in one that
/// another instance hands on, and in one that comes before the whole body was sent.
fn check_failed(status: u16, body: &str) {
    let fleet = TestFleet::start(2, 0);
    let (server, address) = FailingServer::start(status);
    fleet.command(0, &format!("create server failing in orders at {address}"));
    wait_until("the server is in force", || (0..2).all(|entry| fleet.version(entry) == 2));
    let ticket = fleet.ticket(0);
    for entry in [0, 0, 1] {
        let headers = [("lacewing-ticket", ticket.as_str())];
        let response = fleet.call(entry, "POST", "/v1/call/orders/x", &headers, body);
        let verdicts = response.headers().get_all("lacewing-verdict").iter().count();
        assert_eq!((verdict_of(&response), verdicts), (Some(RunVerdict::Ran), 1), "{response:?}");
        assert_eq!(response.status().as_u16(), status, "the server's own answer");
    }
    assert_eq!(*server.ran.lock().unwrap(), [ticket]);
    let response = fleet.call(1, "GET", "/v1/call/orders/x", &[], "");
    assert_eq!(verdict_of(&response), Some(RunVerdict::Ran));
    fleet.close();
}

cases! { check_failed {
    request_timeout: (408, "");
    misdirected: (421, "");
    too_many_requests: (429, "");
    unavailable: (503, "");
    unavailable_before_the_body_is_read: (503, &"x".repeat(200_000));
} }
