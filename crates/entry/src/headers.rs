//! Selects the headers that pass between callers and backend servers.

use http::{HeaderMap, HeaderName, HeaderValue, header};
use model::wire::{
    ATTEMPT_HEADER, DRAIN_HEADER, HeaderLine, IDEMPOTENCY_HEADER, LOAD_HEADER, SHED_HEADER,
};
use smol_str::SmolStr;

/// Headers that apply to one connection or to the framing of one message.
const HOP_BY_HOP_HEADERS: [HeaderName; 11] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::HOST,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];
/// Headers of the protocol with backend servers. Callers neither see nor set them.
const SERVER_HEADERS: [&str; 5] =
    [ATTEMPT_HEADER, DRAIN_HEADER, IDEMPOTENCY_HEADER, LOAD_HEADER, SHED_HEADER];
/// Prefix of the names of all headers of the protocol with callers.
const PROTOCOL_PREFIX: &str = "lacewing-";

/// Returns the end-to-end headers of a message.
pub fn end_to_end(headers: &HeaderMap) -> Vec<HeaderLine> {
    let listed = headers.get(header::CONNECTION).and_then(|value| value.to_str().ok());
    let is_listed = |name: &HeaderName| {
        let mut names = listed.unwrap_or_default().split(',').map(str::trim);
        names.any(|listed| listed.eq_ignore_ascii_case(name.as_str()))
    };
    let is_forwarded = |name: &HeaderName| {
        !HOP_BY_HOP_HEADERS.contains(name)
            && !SERVER_HEADERS.contains(&name.as_str())
            && !name.as_str().starts_with(PROTOCOL_PREFIX)
            && !is_listed(name)
    };
    headers
        .iter()
        .filter(|(name, _)| is_forwarded(name))
        .map(|(name, value)| HeaderLine {
            name: SmolStr::new(name.as_str()),
            value: value.as_bytes().to_vec(),
        })
        .collect()
}

/// Adds headers of a forwarded message. Invalid ones are skipped.
pub fn add_headers(headers: &mut HeaderMap, lines: &[HeaderLine]) {
    for line in lines {
        let name = HeaderName::from_bytes(line.name.as_bytes());
        let value = HeaderValue::from_bytes(&line.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
}
