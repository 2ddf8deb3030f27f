//! Limits of the stand-in backend server.

use standin::{BackendSettingsBuilder, StandinBackend};
use std::io::{Read, Write};
use std::net::TcpStream;
use testkit::cases;

/// Opens connections one after the other and checks how many of them get a response.
fn check_connections(limit: usize, opened: usize, served: usize) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let settings = BackendSettingsBuilder::new("s1".parse().unwrap(), ([127, 0, 0, 1], 0).into())
        .connections(limit)
        .build();
    let backend = runtime.block_on(StandinBackend::start(settings)).unwrap();
    let mut open = Vec::new();
    let mut count = 0;
    for _ in 0..opened {
        let mut stream = TcpStream::connect(backend.address()).unwrap();
        // A connection beyond the limit may already be reset.
        let _ = stream.write_all(b"GET /load HTTP/1.1\r\nhost: t\r\n\r\n");
        let mut byte = [0];
        count += usize::from(matches!(stream.read(&mut byte), Ok(1)));
        open.push(stream);
    }
    assert_eq!(count, served);
}

cases! { check_connections {
    below_the_limit: (3, 2, 2);
    at_the_limit: (3, 3, 3);
    beyond_the_limit: (3, 5, 3);
} }
