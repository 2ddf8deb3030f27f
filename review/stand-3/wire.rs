//! HTTP/1.1 messages over a socket.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// A request or a response: its first line, its headers with lower-case names, and its body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let pair = |part: &str| {
            let (key, value) = part.split_once('=').unwrap_or((part, ""));
            (key == name).then(|| unescape(value))
        };
        query.split('&').find_map(pair)
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut plain = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten()
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match code {
            Some(code) => {
                plain.push(code);
                at += 3;
            }
            None => {
                plain.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&plain).into_owned()
}

/// One side of a connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

/// How the read of a message failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadFailure {
    /// The other side closed the connection before the first byte of a message.
    Closed,
    /// It closed or reset it within a message.
    Cut,
    /// The time was over.
    Timeout,
    /// The bytes are no message.
    Malformed,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, ahead: Vec::new() }
    }

    fn fill(&mut self, until: Instant) -> Result<usize, ReadFailure> {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ReadFailure::Timeout);
        }
        let _ = self.stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
        let mut buffer = [0; 16 * 1024];
        match self.stream.read(&mut buffer) {
            Ok(read) => {
                self.ahead.extend_from_slice(&buffer[..read]);
                Ok(read)
            }
            Err(cause) if matches!(cause.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                Err(ReadFailure::Timeout)
            }
            Err(cause) if cause.kind() == ErrorKind::Interrupted => Ok(1),
            Err(_) => Err(ReadFailure::Cut),
        }
    }

    /// Reads a whole message. A response without a length ends with its connection.
    pub fn read(&mut self, until: Instant, is_response: bool) -> Result<Message, ReadFailure> {
        let end = loop {
            if let Some(end) = self.ahead.windows(4).position(|window| window == b"\r\n\r\n") {
                break end;
            }
            let is_new = self.ahead.is_empty();
            match self.fill(until) {
                Ok(0) if is_new => return Err(ReadFailure::Closed),
                Ok(0) => return Err(ReadFailure::Cut),
                Ok(_) => {}
                Err(ReadFailure::Cut) if is_new => return Err(ReadFailure::Closed),
                Err(cause) => return Err(cause),
            }
        };
        let head = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
        self.ahead.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let first = lines.next().unwrap_or("").to_owned();
        let mut headers = Vec::new();
        for line in lines {
            let (name, value) = line.split_once(':').ok_or(ReadFailure::Malformed)?;
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
        let mut message = Message { first, headers, body: Vec::new() };
        let length = message.header("content-length").and_then(|text| text.parse::<usize>().ok());
        let is_chunked =
            message.header("transfer-encoding").is_some_and(|text| text.eq_ignore_ascii_case("chunked"));
        if is_chunked {
            message.body = self.chunks(until)?;
        } else if let Some(length) = length {
            message.body = self.bytes(length, until)?;
        } else if is_response {
            loop {
                match self.fill(until)? {
                    0 => break,
                    _ => continue,
                }
            }
            message.body = std::mem::take(&mut self.ahead);
        }
        Ok(message)
    }

    fn bytes(&mut self, length: usize, until: Instant) -> Result<Vec<u8>, ReadFailure> {
        while self.ahead.len() < length {
            if self.fill(until)? == 0 {
                return Err(ReadFailure::Cut);
            }
        }
        Ok(self.ahead.drain(..length).collect())
    }

    fn line(&mut self, until: Instant) -> Result<String, ReadFailure> {
        loop {
            if let Some(end) = self.ahead.windows(2).position(|window| window == b"\r\n") {
                let line = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
                self.ahead.drain(..end + 2);
                return Ok(line);
            }
            if self.fill(until)? == 0 {
                return Err(ReadFailure::Cut);
            }
        }
    }

    fn chunks(&mut self, until: Instant) -> Result<Vec<u8>, ReadFailure> {
        let mut body = Vec::new();
        loop {
            let line = self.line(until)?;
            let size = line.split(';').next().unwrap_or("").trim();
            let size = usize::from_str_radix(size, 16).map_err(|_| ReadFailure::Malformed)?;
            if size == 0 {
                while !self.line(until)?.is_empty() {}
                return Ok(body);
            }
            body.extend(self.bytes(size, until)?);
            self.line(until)?;
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// Builds a response with a length.
pub fn response(status: u16, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} -\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    [text.as_bytes(), body].concat()
}
