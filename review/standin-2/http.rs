//! Minimal HTTP/1.1 over blocking sockets, for the stand-ins of the review cases.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub type Headers = Vec<(String, String)>;

/// Returns the first value of a header; names are compared without case.
pub fn header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
}

#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Request {
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    /// Returns a query parameter without percent-decoding; the keys used here need none.
    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target.split_once('?')?.1;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(k, _)| *k == name)
            .map(|(_, v)| v)
    }
}

#[derive(Debug, Clone)]
pub struct Response {
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
}

fn bad(text: &str) -> std::io::Error {
    std::io::Error::new(std::io::ErrorKind::InvalidData, text.to_owned())
}

fn read_line(reader: &mut impl BufRead) -> std::io::Result<String> {
    let mut line = Vec::new();
    reader.read_until(b'\n', &mut line)?;
    if line.last() != Some(&b'\n') {
        return Err(std::io::ErrorKind::UnexpectedEof.into());
    }
    line.pop();
    if line.last() == Some(&b'\r') {
        line.pop();
    }
    String::from_utf8(line).map_err(|_| bad("line is not UTF-8"))
}

fn read_headers(reader: &mut impl BufRead) -> std::io::Result<Headers> {
    let mut headers = Headers::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(headers);
        }
        let (name, value) = line.split_once(':').ok_or_else(|| bad("header without colon"))?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

fn read_body(
    reader: &mut impl BufRead,
    headers: &Headers,
    until_close: bool,
) -> std::io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if header(headers, "transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        loop {
            let line = read_line(reader)?;
            let size = line.split(';').next().unwrap_or("").trim();
            let size = usize::from_str_radix(size, 16).map_err(|_| bad("chunk size"))?;
            if size == 0 {
                while !read_line(reader)?.is_empty() {}
                return Ok(body);
            }
            let start = body.len();
            body.resize(start + size, 0);
            reader.read_exact(&mut body[start..])?;
            read_line(reader)?;
        }
    }
    if let Some(length) = header(headers, "content-length") {
        body.resize(length.parse().map_err(|_| bad("content length"))?, 0);
        reader.read_exact(&mut body)?;
    } else if until_close {
        reader.read_to_end(&mut body)?;
    }
    Ok(body)
}

/// Reads one request.
pub fn read_request(reader: &mut impl BufRead) -> std::io::Result<Request> {
    let line = read_line(reader)?;
    let mut words = line.split(' ');
    let method = words.next().unwrap_or("").to_owned();
    let target = words.next().ok_or_else(|| bad("request line"))?.to_owned();
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers, false)?;
    Ok(Request { method, target, headers, body })
}

/// Writes a response with a length.
pub fn write_response(stream: &mut TcpStream, response: &Response) -> std::io::Result<()> {
    let mut text = format!("HTTP/1.1 {} Status\r\n", response.status);
    for (name, value) in &response.headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", response.body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(&response.body);
    stream.write_all(&bytes)
}

/// A client connection that may carry several requests, one after the other.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: SocketAddr, timeout: Duration) -> std::io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        Ok(Self { reader: BufReader::new(stream) })
    }

    /// Sends a request without reading anything.
    pub fn send(&mut self, request: &Request) -> std::io::Result<()> {
        let mut text = format!("{} {} HTTP/1.1\r\n", request.method, request.target);
        for (name, value) in &request.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if !request.body.is_empty() || request.method != "GET" {
            text.push_str(&format!("Content-Length: {}\r\n", request.body.len()));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&request.body);
        self.reader.get_mut().write_all(&bytes)
    }

    /// Sends a request and reads its whole answer.
    pub fn call(&mut self, request: &Request) -> std::io::Result<Response> {
        self.send(request)?;
        let line = read_line(&mut self.reader)?;
        let status = line.split(' ').nth(1).and_then(|word| word.parse().ok());
        let status = status.ok_or_else(|| bad("status line"))?;
        let headers = read_headers(&mut self.reader)?;
        let body = read_body(&mut self.reader, &headers, true)?;
        Ok(Response { status, headers, body })
    }
}
