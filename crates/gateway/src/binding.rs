//! What differs between the platforms that the gateway serves: names of headers and paths, and the
//! form of a few texts.

use balance::LoadReport;
use bytes::Bytes;
use http::HeaderName;
use std::net::SocketAddr;
use std::time::Duration;

/// Names of the headers that callers, instances and backend servers exchange.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Id of one attempt of a caller; backend servers echo it.
    pub request_id: HeaderName,
    /// Milliseconds that the sender will wait for the answer.
    pub deadline: HeaderName,
    /// Id of the backend server that is meant; another one turns the request away.
    pub expected_server: HeaderName,
    /// Signature of a backend server over its answer.
    pub signature: HeaderName,
    /// Marks an answer of a backend server that did not run the request.
    pub not_run: HeaderName,
    /// Load report of a backend server.
    pub load: HeaderName,
    /// Id of the backend server that answers a health check.
    pub server: HeaderName,
}

/// The platform's conventions.
pub trait WireBinding {
    /// Names of headers.
    fn headers(&self) -> &HeaderNames;

    /// Reads a load report.
    fn load_report(&self, text: &str) -> Option<LoadReport>;

    /// The path on which callers ask where to connect.
    fn directory_path(&self) -> &str;

    /// The path on which the platform asks whether the instance is ready.
    fn ready_path(&self) -> &str;

    /// The answer to a caller that asks where to connect: body and its type.
    fn directory_answer(&self, addresses: &[SocketAddr], keep: Duration) -> (Bytes, &'static str);

    /// The key under which an instance announces itself.
    fn member_key(&self, name: &str) -> String;
}
