//! What the head of a response shows: which request it belongs to, whether it is one head, and whether its body
//! states where it ends.

use crate::read_meter::MeteredBody;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, header};
use hyper::body::{Body, Incoming};
use std::ops::Range;

/// Length in bytes of the part of a status line that is compared, as `HTTP/1.1 200`.
const STATUS_LINE_LENGTH: usize = 12;

/// What the identity header of a response shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ResponseIdentity {
    /// The response belongs to the request.
    Same,
    /// The response does not say which request it belongs to.
    Unnamed,
    /// The response belongs to another request.
    Other,
}

impl ResponseIdentity {
    pub fn new(requested: Option<&HeaderValue>, headers: &HeaderMap, name: &HeaderName) -> Self {
        let mut values = headers.get_all(name).iter();
        match (requested, values.next(), values.next()) {
            (Some(_), None, _) => Self::Unnamed,
            (None, None, _) => Self::Same,
            (Some(requested), Some(value), None) if value == requested => Self::Same,
            _ => Self::Other,
        }
    }
}

/// Whether a value has a status line in it. A server that stops within a value and sends another response on the
/// connection makes one head of two, and the second may have no identity header.
pub(crate) fn has_glued_heads(headers: &HeaderMap) -> bool {
    headers.values().any(|value| value.as_bytes().windows(STATUS_LINE_LENGTH).any(is_status_line))
}

fn is_status_line(bytes: &[u8]) -> bool {
    let digits = |range: Range<usize>| bytes[range].iter().all(u8::is_ascii_digit);
    bytes.starts_with(b"HTTP/1.") && digits(7..8) && bytes[8] == b' ' && digits(9..12)
}

/// Whether a status ends an exchange. The HTTP library accepts any three digits, and hands on the status 101,
/// which no request here asks for.
pub(crate) fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Whether a response states where it ends.
pub(crate) fn is_framed(response: &Response<MeteredBody<Incoming>>) -> bool {
    response.body().size_hint().exact().is_some()
        || response.headers().contains_key(header::TRANSFER_ENCODING)
}
