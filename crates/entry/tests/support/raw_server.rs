//! A server whose bytes a test writes itself.

use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};

/// Longest line of a head in bytes.
const LINE_MAX_BYTES: u64 = 4_096;

/// Starts a server that hands each connection to `serve`, on a thread of its own. It ends with the test process.
pub fn start_raw_server(
    serve: impl Fn(TcpStream) -> std::io::Result<()> + Clone + Send + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            // Instances may close the connection at any time.
            std::thread::spawn(move || serve(stream).ok());
        }
    });
    address
}

/// Reads the lines of a request's head; `None` at the end of the connection.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<Vec<String>>> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.by_ref().take(LINE_MAX_BYTES).read_line(&mut line)? == 0 {
            return Ok(None);
        }
        match line.trim_end() {
            "" => return Ok(Some(lines)),
            line => lines.push(line.to_owned()),
        }
    }
}

/// Returns the value of a header; empty if there is none.
pub fn header_value<'a>(head: &'a [String], name: &str) -> &'a str {
    let is_named = |line: &&'a String| line.split(':').next() == Some(name);
    let line = head.iter().find(is_named);
    line.and_then(|line| line.split_once(": ")).map(|(_, value)| value).unwrap_or_default()
}
