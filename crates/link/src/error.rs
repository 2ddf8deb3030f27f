//! Why an exchange failed, and what that proves about the request.

use std::fmt;

/// What is known about a request whose exchange failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendState {
    /// No byte of the request was written.
    NotSent,
    /// Some or all of it was written.
    MaybeSent,
}

/// A failed exchange.
#[derive(Debug)]
pub enum LinkError {
    /// No connection could be opened.
    Connect(std::io::Error),
    /// No connection could be opened in time.
    ConnectTimeout,
    /// The limit of connections to this address is reached.
    ConnectionLimit,
    /// The connection closed before the request was written.
    ClosedBefore,
    /// The connection broke or the framing was wrong after the request was written.
    Broken(hyper::Error),
    /// No whole answer arrived in time.
    ResponseTimeout,
    /// The answer is longer than the limit.
    ResponseTooLong,
    /// The answer has no length and no chunks, so nobody can tell whether it is whole.
    ResponseUnframed,
}

impl LinkError {
    /// Whether the request may have reached the other end.
    pub fn send_state(&self) -> SendState {
        match self {
            Self::Connect(_)
            | Self::ConnectTimeout
            | Self::ConnectionLimit
            | Self::ClosedBefore => SendState::NotSent,
            Self::Broken(_)
            | Self::ResponseTimeout
            | Self::ResponseTooLong
            | Self::ResponseUnframed => SendState::MaybeSent,
        }
    }
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(cause) => write!(f, "cannot connect: {cause}"),
            Self::ConnectTimeout => f.write_str("cannot connect in time"),
            Self::ConnectionLimit => f.write_str("connection limit reached"),
            Self::ClosedBefore => f.write_str("connection closed before the request"),
            Self::Broken(cause) => write!(f, "exchange broken: {cause}"),
            Self::ResponseTimeout => f.write_str("no whole answer in time"),
            Self::ResponseTooLong => f.write_str("answer too long"),
            Self::ResponseUnframed => f.write_str("answer without length or chunks"),
        }
    }
}

impl std::error::Error for LinkError {}
