//! Protocol binding: the names of headers and paths and the text formats of one platform.

use balance::LoadReport;
use bytes::Bytes;
use http::HeaderName;
use model::RequestRate;
use std::net::SocketAddr;
use std::time::Duration;

/// Names of the headers that callers, instances and backend servers exchange.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Id of one attempt of a caller; backend servers echo it.
    pub request_id: HeaderName,
    /// Milliseconds that the sender will wait for the response.
    pub deadline: HeaderName,
    /// Id of the backend server that the request is meant for; any other server refuses it.
    pub expected_server: HeaderName,
    /// Signature of a backend server over its response.
    pub signature: HeaderName,
    /// Marks the response of a backend server that did not run the request.
    pub not_run: HeaderName,
    /// Load report of a backend server.
    pub load: HeaderName,
    /// Rate of requests that a backend server accepts; present only while it limits them.
    pub limit: HeaderName,
    /// Present with the value `1` in the responses of a backend server that leaves.
    pub leaving: HeaderName,
    /// Id of the backend server that responds to a health check.
    pub server: HeaderName,
    /// Time for which a backend server that responds to a health check stays cold.
    pub warm_up: HeaderName,
    /// Key of a caller's team. It is never forwarded.
    pub api_key: HeaderName,
    /// Name of the team, for backend servers.
    pub team: HeaderName,
}

/// The protocol binding of a platform.
pub trait WireBinding {
    /// Returns the names of the headers.
    fn headers(&self) -> &HeaderNames;

    /// Parses the value of the load header; `None` if it is malformed.
    fn load_report(&self, text: &str) -> Option<LoadReport>;

    /// Parses the value of the limit header; `None` if it is malformed.
    fn request_limit(&self, text: &str) -> Option<RequestRate>;

    /// Parses the time for which a backend server that refuses a request wants no others; `None` if it is
    /// malformed.
    fn quiet_period(&self, text: &str) -> Option<Duration>;

    /// Parses the time for which a backend server stays cold; `None` if it is malformed.
    fn warm_up_left(&self, text: &str) -> Option<Duration>;

    /// Path of the directory, where callers look up the addresses to connect to.
    fn directory_path(&self) -> &str;

    /// Path of the readiness check.
    fn ready_path(&self) -> &str;

    /// Encodes a directory response: the body and its content type. Callers may cache `addresses`
    /// for `ttl`.
    fn directory_response(&self, addresses: &[SocketAddr], ttl: Duration) -> (Bytes, &'static str);

    /// Store key of an instance's record.
    fn member_key(&self, name: &str) -> String;
}
