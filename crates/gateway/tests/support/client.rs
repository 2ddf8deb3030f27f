//! A plain blocking client.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Longest time that a test waits for bytes.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// An answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlainAnswer {
    /// The status, zero if the connection ended without an answer.
    pub status: u16,
    /// The head as text.
    pub head: String,
    /// The body.
    pub body: String,
}

impl PlainAnswer {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (known, value) = line.split_once(':')?;
            known.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }
}

/// Opens a connection.
pub fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the instance listens");
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("a valid timeout");
    stream
}

/// Sends bytes and reads one answer.
pub fn exchange(stream: &mut TcpStream, bytes: &[u8]) -> PlainAnswer {
    // The other end may already have closed; then there is no answer.
    let _ = stream.write_all(bytes);
    read_answer(stream)
}

/// Reads one answer with a length.
pub fn read_answer(stream: &mut TcpStream) -> PlainAnswer {
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
    let mut answer = PlainAnswer { status, head, body: String::new() };
    let length = answer.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    if stream.read_exact(&mut body).is_ok() {
        answer.body = String::from_utf8_lossy(&body).into_owned();
    }
    answer
}

/// The bytes of a request.
pub fn request(method: &str, path: &str, id: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nhost: shop.example\r\nt-id: {id}\r\nt-deadline: 2000\r\n\
         content-length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

/// Sends a request on a connection of its own.
pub fn call(address: SocketAddr, method: &str, path: &str, id: &str) -> PlainAnswer {
    exchange(&mut connect(address), &request(method, path, id, "body"))
}
