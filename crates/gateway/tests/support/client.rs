//! A blocking HTTP client that sends and reads raw bytes.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Bound on reading from a connection.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// A response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlainResponse {
    /// The status; 0 if the connection ended without a response.
    pub status: u16,
    /// The head as text.
    pub head: String,
    /// The body.
    pub body: String,
}

impl PlainResponse {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (known, value) = line.split_once(':')?;
            known.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }
}

/// Asserts that a response neither promises that its request did not run nor passes as the server's own.
pub fn assert_unknown(response: &PlainResponse) {
    assert_eq!(response.status, 502, "{}", response.head);
    for header in ["t-signature", "retry-after"] {
        assert!(response.header(header).is_none(), "{}", response.head);
    }
    assert!(!response.body.contains("ran body"), "{}", response.body);
}

/// Opens a connection.
pub fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the instance listens");
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("a valid timeout");
    stream
}

/// Sends bytes and reads one response.
pub fn exchange(stream: &mut TcpStream, bytes: &[u8]) -> PlainResponse {
    // The other end may already have closed the connection; then there is no response.
    let _ = stream.write_all(bytes);
    read_response(stream)
}

/// Reads one response with a `Content-Length`.
pub fn read_response(stream: &mut TcpStream) -> PlainResponse {
    let mut bytes = Vec::new();
    let mut byte = [0; 1];
    while !bytes.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => bytes.push(byte[0]),
            _ => break,
        }
    }
    let head = String::from_utf8_lossy(&bytes).into_owned();
    let status = head.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut response = PlainResponse { status, head, body: String::new() };
    let length = response.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    if stream.read_exact(&mut body).is_ok() {
        response.body = String::from_utf8_lossy(&body).into_owned();
    }
    response
}

/// Builds the bytes of a request with a deadline of 2 s.
pub fn request(method: &str, path: &str, id: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nhost: shop.example\r\nt-id: {id}\r\nt-deadline: 2000\r\n\
         content-length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

/// Sends a request on a connection of its own.
pub fn call(address: SocketAddr, method: &str, path: &str, id: &str) -> PlainResponse {
    exchange(&mut connect(address), &request(method, path, id, "body"))
}

/// Like [`call`] for a booking, with further header lines, each with its line end.
pub fn call_with_lines(address: SocketAddr, path: &str, id: &str, lines: &str) -> PlainResponse {
    let bytes = format!(
        "POST {path} HTTP/1.1\r\nhost: shop.example\r\nt-id: {id}\r\nt-deadline: 2000\r\n{lines}\
         content-length: 4\r\n\r\nbody"
    );
    exchange(&mut connect(address), bytes.as_bytes())
}
