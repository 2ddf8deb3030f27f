//! Errors of an exchange, which say whether the request may have been sent.

use http::StatusCode;
use std::fmt;

/// Whether a request was sent in an exchange that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendState {
    /// No byte of the request was written.
    NotSent,
    /// Part or all of the request may have been written.
    MaybeSent,
}

/// Reason for which an exchange failed.
#[derive(Debug)]
pub enum LinkError {
    /// The operating system could not open a connection.
    Connect(std::io::Error),
    /// No connection could be opened before the connect timeout or the deadline.
    ConnectTimeout,
    /// The limit on open connections to the address is reached.
    ConnectionLimit,
    /// The connection closed before the request was written.
    ClosedBeforeRequest,
    /// The connection failed or the response was malformed after sending of the request began.
    Broken(hyper::Error),
    /// No complete response arrived before the deadline.
    ResponseTimeout,
    /// More informational (1xx) heads arrived than any server sends before a response.
    InformationalFlood,
    /// Too many bytes arrived that belong to no head and no body.
    ResponseOverhead,
    /// The response belongs to another request, or does not say to which one.
    OtherResponse,
    /// The head of the response was cut off and continued by the head of another one.
    GluedHeads,
    /// The response body is longer than the limit.
    ResponseTooLong,
    /// No memory for the response body became free before the deadline.
    ResponseMemory,
    /// The status of the response is none that ends an exchange.
    InvalidStatus(StatusCode),
    /// The response has neither a length nor chunked encoding, so a truncated body would go unnoticed.
    ResponseUnframed,
}

impl LinkError {
    /// Returns whether the request may have reached the server.
    pub fn send_state(&self) -> SendState {
        match self {
            Self::Connect(_)
            | Self::ConnectTimeout
            | Self::ConnectionLimit
            | Self::ClosedBeforeRequest => SendState::NotSent,
            Self::Broken(_)
            | Self::ResponseTimeout
            | Self::InformationalFlood
            | Self::ResponseOverhead
            | Self::OtherResponse
            | Self::GluedHeads
            | Self::ResponseTooLong
            | Self::ResponseMemory
            | Self::InvalidStatus(_)
            | Self::ResponseUnframed => SendState::MaybeSent,
        }
    }
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(cause) => write!(f, "cannot connect: {cause}"),
            Self::ConnectTimeout => f.write_str("timed out while connecting"),
            Self::ConnectionLimit => f.write_str("connection limit reached"),
            Self::ClosedBeforeRequest => {
                f.write_str("connection closed before the request was written")
            }
            Self::Broken(cause) => {
                write!(f, "exchange failed after sending began: {cause}")
            }
            Self::ResponseTimeout => f.write_str("timed out waiting for a complete response"),
            Self::InformationalFlood => {
                f.write_str("too many informational heads before a response")
            }
            Self::ResponseOverhead => f.write_str("too many bytes that belong to no head or body"),
            Self::OtherResponse => f.write_str("response to another request"),
            Self::GluedHeads => f.write_str("response with the head of another one in a value"),
            Self::ResponseTooLong => f.write_str("response body exceeds the length limit"),
            Self::ResponseMemory => f.write_str("memory for response bodies is used up"),
            Self::InvalidStatus(status) => {
                write!(f, "{} is not the status of a final response", status.as_u16())
            }
            Self::ResponseUnframed => {
                f.write_str("response has neither a content length nor chunked encoding")
            }
        }
    }
}

impl std::error::Error for LinkError {}
