//! What a server reports, and how exchanges with it end.

/// The load that a backend server reports.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReport {
    /// Number of requests that the server is processing.
    pub running: u32,
    /// Number of requests that wait at the server.
    pub waiting: u32,
    /// How many times longer than normal a request takes at the server now.
    pub slowdown: f64,
}

/// How an exchange with a backend server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeOutcome {
    /// A complete response that is none of the failures below.
    Answered,
    /// A complete response with the status of a server error.
    Failed,
    /// The server refused the request without running it, or the limit on connections to it was
    /// reached.
    Shed,
    /// The address belongs to another server, or to another incarnation of the server.
    Misdirected,
    /// No connection could be opened.
    Unreachable,
    /// The connection broke, or the response belongs to another request or is not signed.
    Broken,
    /// The response was not complete before the timeout.
    TimedOut,
    /// The caller disconnected, or another exchange of the request ended first.
    Abandoned,
}
