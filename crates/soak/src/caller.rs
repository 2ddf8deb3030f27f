//! Callers, which get addresses from the directory, keep connections open and record each outcome.

use crate::notices::GatewayProcess;
use crate::process::GatewayFleet;
use crate::teams::CallerTeam;
use crate::verifier::{RequestOutcome, RunVerifier};
use anyhow::{Result, anyhow};
use bytes::Bytes;
use gateway::WireBinding;
use http::{HeaderMap, HeaderValue, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use platform::PlatformBinding;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// Timeout of a caller's request, which it also sends as the deadline.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Text of the response to a request that a stopping gateway breaks off.
const BROKEN_OFF_TEXT: &str = "the instance stopped before the server responded";
/// Timeout for opening a connection, and for a whole request on a connection of its own.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Age at which addresses from the directory are requested again.
const ADDRESSES_TTL: Duration = Duration::from_millis(1_500);
/// Interval between two requests of a caller in milliseconds. A random factor of 0.5 to 2 is
/// applied.
const REQUEST_INTERVAL_MS: u64 = 60;

type Connection = SendRequest<Full<Bytes>>;

async fn open(address: SocketAddr) -> Result<Connection> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await?;
    // An error of the connection is also reported by the request.
    tokio::spawn(async move { connection.await.ok() });
    Ok(sender)
}

/// Sends a GET request on a connection of its own, to the port for readiness or for the directory.
///
/// Fails without a whole response within `CONNECT_TIMEOUT`.
pub async fn get(address: SocketAddr, path: &str) -> Result<(StatusCode, Bytes)> {
    let request = Request::get(path).header(header::HOST, "shop.example").body(Full::default())?;
    send_on_new_connection(address, request).await
}

/// Sends an idempotent request with `id` on a connection of its own, to the port for callers.
///
/// Fails without a whole response within `CONNECT_TIMEOUT`.
pub async fn get_with_id(
    address: SocketAddr,
    path: &str,
    binding: &PlatformBinding,
    id: &str,
) -> Result<(StatusCode, Bytes)> {
    let request = Request::get(path)
        .header(header::HOST, "shop.example")
        .header(&binding.headers().request_id, id)
        .body(Full::default())?;
    send_on_new_connection(address, request).await
}

async fn send_on_new_connection(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<(StatusCode, Bytes)> {
    let whole_response = async {
        let mut sender = open(address).await?;
        let response = sender.send_request(request).await?;
        let status = response.status();
        Ok((status, response.into_body().collect().await?.to_bytes()))
    };
    tokio::time::timeout(CONNECT_TIMEOUT, whole_response).await?
}

struct Caller {
    random: SmallRng,
    fleet: Arc<GatewayFleet>,
    verifier: Arc<RunVerifier>,
    binding: PlatformBinding,
    addresses: Vec<SocketAddr>,
    /// When `addresses` were requested; `None` to request them before the next request.
    refreshed_at: Option<Instant>,
    connection: Option<(SocketAddr, Connection)>,
    /// Number of the last request.
    number: u64,
    seed: u64,
}

/// Sends requests, one at a time, until the run ends.
pub async fn run_caller(seed: u64, fleet: Arc<GatewayFleet>, verifier: Arc<RunVerifier>) {
    let mut caller = Caller {
        random: SmallRng::seed_from_u64(seed),
        fleet,
        verifier,
        binding: PlatformBinding::default(),
        addresses: Vec::new(),
        refreshed_at: None,
        connection: None,
        number: 0,
        seed,
    };
    while !caller.verifier.is_stopped() {
        caller.send_one().await;
        let interval_ms =
            caller.random.random_range(REQUEST_INTERVAL_MS / 2..REQUEST_INTERVAL_MS * 2);
        tokio::time::sleep(Duration::from_millis(interval_ms)).await;
    }
}

impl Caller {
    async fn send_one(&mut self) {
        self.refresh_addresses().await;
        self.number += 1;
        let team = CallerTeam::draw(&mut self.random);
        let id = format!("c{}-{}-{}", self.seed, self.number, team.name());
        let is_idempotent = self.random.random_bool(0.6);
        let outcome = match self.connect().await {
            Some((address, sender)) => {
                self.verifier.record_request(&id, self.process_at(address));
                self.send(address, sender, &id, is_idempotent, team).await
            }
            None => RequestOutcome::Unanswered,
        };
        self.verifier.record_outcome(&id, is_idempotent, outcome);
    }

    /// Returns the process of the gateway at an address.
    fn process_at(&self, address: SocketAddr) -> GatewayProcess {
        let is_there = |index: &usize| self.fleet.addresses(*index).callers == address;
        let index = (0..self.fleet.count()).find(is_there).unwrap_or_default();
        GatewayProcess { index, start_count: self.fleet.start_count(index) }
    }

    /// Records a server's notice in a response of the process that the request was sent to.
    fn record_leaving_notice(&self, headers: &HeaderMap, gateway: GatewayProcess) {
        let names = self.binding.headers();
        let server = headers.get(&names.server).and_then(|name| name.to_str().ok());
        if let Some(server) = server
            && headers.contains_key(&names.leaving)
        {
            self.verifier.record_leaving_notice(server, gateway);
        }
    }

    /// Requests addresses from up to three random gateways if there are none or they are too old.
    /// Closes the connection if its address is no longer among them.
    async fn refresh_addresses(&mut self) {
        if self.refreshed_at.is_some_and(|at| at.elapsed() < ADDRESSES_TTL)
            && !self.addresses.is_empty()
        {
            return;
        }
        for _ in 0..3 {
            let index = self.random.random_range(0..self.fleet.count());
            let directory = self.fleet.addresses(index).directory;
            let path = format!("{}?name=shop.example", self.binding.directory_path());
            if let Ok((StatusCode::OK, body)) = get(directory, &path).await {
                self.addresses = parse_addresses(&body);
                self.refreshed_at = Some(Instant::now());
                if let Some((address, _)) = &self.connection
                    && !self.addresses.contains(address)
                {
                    self.connection = None;
                }
                return;
            }
        }
    }

    /// Returns the open connection or a new one, or `None` if no address accepts a connection.
    async fn connect(&mut self) -> Option<(SocketAddr, Connection)> {
        if let Some((address, sender)) = self.connection.take()
            && sender.is_ready()
        {
            return Some((address, sender));
        }
        let mut addresses = self.addresses.clone();
        while !addresses.is_empty() {
            let address = addresses.swap_remove(self.random.random_range(0..addresses.len()));
            if let Ok(mut sender) = open(address).await
                && sender.ready().await.is_ok()
            {
                return Some((address, sender));
            }
        }
        self.refreshed_at = None;
        None
    }

    /// Sends a request on a connection, which is kept for the next one if the response allows it.
    async fn send(
        &mut self,
        address: SocketAddr,
        mut sender: Connection,
        id: &str,
        is_idempotent: bool,
        team: CallerTeam,
    ) -> RequestOutcome {
        let request = match self.build_request(id, is_idempotent, team) {
            Ok(request) => request,
            Err(cause) => {
                self.verifier.record_finding(format!("request {id} could not be built: {cause}"));
                return RequestOutcome::Unanswered;
            }
        };
        let gateway = self.process_at(address);
        let whole_response = async {
            let response = sender.try_send_request(request).await.map_err(|mut failure| {
                // The error returns the request if it was not sent.
                failure.take_message().is_some()
            })?;
            let (parts, body) = response.into_parts();
            let body = body.collect().await.map_err(|_| false)?;
            Ok::<_, bool>((parts, body.to_bytes()))
        };
        let (parts, body) = match tokio::time::timeout(REQUEST_TIMEOUT, whole_response).await {
            Err(_) | Ok(Err(true)) => return RequestOutcome::Unanswered,
            Ok(Err(false)) => return RequestOutcome::Broken,
            Ok(Ok(response)) => response,
        };
        self.record_leaving_notice(&parts.headers, gateway);
        let closes = parts.headers.get(header::CONNECTION).is_some_and(|value| value == "close");
        if !closes {
            self.connection = Some((address, sender));
        }
        match parts.status {
            StatusCode::OK => {
                let signature = parts.headers.get(&self.binding.headers().signature);
                let is_matching = body == format!("ran {id}").as_bytes()
                    && signature.is_some_and(|value| value == &format!("s-{id}"));
                if !is_matching {
                    self.verifier.record_finding(format!(
                        "request {id} got a response whose body or signature does not match"
                    ));
                }
                RequestOutcome::Served
            }
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                RequestOutcome::Refused
            }
            StatusCode::UNAUTHORIZED if team == CallerTeam::Nobody => RequestOutcome::Rejected,
            status if status.is_client_error() => {
                self.verifier
                    .record_finding(format!("request {id} was rejected with status {status}"));
                RequestOutcome::Failed
            }
            _ => {
                // The timeouts of all routes fit into the grace period.
                if String::from_utf8_lossy(&body).contains(BROKEN_OFF_TEXT) {
                    self.verifier
                        .record_finding(format!("request {id} was broken off by a planned stop"));
                }
                RequestOutcome::Failed
            }
        }
    }

    fn build_request(
        &self,
        id: &str,
        is_idempotent: bool,
        team: CallerTeam,
    ) -> Result<Request<Full<Bytes>>> {
        let names = self.binding.headers();
        let timeout_ms = u64::try_from(REQUEST_TIMEOUT.as_millis()).map_err(|_| {
            anyhow!("timeout {REQUEST_TIMEOUT:?} is too long for a deadline header")
        })?;
        let builder = if is_idempotent {
            Request::get(format!("/look/{id}"))
        } else {
            Request::post(format!("/book/{id}"))
        };
        Ok(builder
            .header(header::HOST, "shop.example")
            .header(&names.request_id, id)
            .header(&names.api_key, team.key())
            .header(&names.team, "forged")
            .header(&names.deadline, HeaderValue::from(timeout_ms))
            .body(Full::new(Bytes::from_static(b"body")))?)
    }
}

/// Returns the addresses in a response of the directory: each JSON string in it that parses as an
/// address.
fn parse_addresses(body: &[u8]) -> Vec<SocketAddr> {
    let text = String::from_utf8_lossy(body);
    text.split('"').filter_map(|part| part.parse().ok()).collect()
}
