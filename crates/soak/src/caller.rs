//! Callers: they ask for addresses, keep connections open, and record how each request ended.

use crate::process::GatewayFleet;
use crate::verifier::{RequestOutcome, RunVerifier};
use anyhow::{Result, anyhow};
use bytes::Bytes;
use gateway::WireBinding;
use http::{HeaderValue, Request, StatusCode, header};
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

/// The time that a caller gives a request.
const PATIENCE: Duration = Duration::from_millis(2_000);
/// How long a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long an answer of the directory is kept.
const KEEP_SPAN: Duration = Duration::from_millis(1_500);
/// Mean pause between two requests of a caller.
const PAUSE_MS: u64 = 60;

type Connection = SendRequest<Full<Bytes>>;

async fn open(address: SocketAddr) -> Result<Connection> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await?;
    // The request reports its own error.
    tokio::spawn(async move { connection.await.ok() });
    Ok(sender)
}

/// Asks a side port.
pub async fn ask(address: SocketAddr, path: &str) -> Result<(StatusCode, Bytes)> {
    let request = Request::get(path).header(header::HOST, "shop.example").body(Full::default())?;
    exchange_once(address, request).await
}

/// Sends one idempotent request with an id to the port for callers.
pub async fn ask_with(
    address: SocketAddr,
    path: &str,
    binding: &PlatformBinding,
    id: &str,
) -> Result<(StatusCode, Bytes)> {
    let request = Request::get(path)
        .header(header::HOST, "shop.example")
        .header(&binding.headers().request_id, id)
        .body(Full::default())?;
    exchange_once(address, request).await
}

async fn exchange_once(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<(StatusCode, Bytes)> {
    let exchange = async {
        let mut sender = open(address).await?;
        let answer = sender.send_request(request).await?;
        let status = answer.status();
        Ok((status, answer.into_body().collect().await?.to_bytes()))
    };
    tokio::time::timeout(CONNECT_TIMEOUT, exchange).await?
}

struct Caller {
    random: SmallRng,
    fleet: Arc<GatewayFleet>,
    verifier: Arc<RunVerifier>,
    binding: PlatformBinding,
    addresses: Vec<SocketAddr>,
    asked: Option<Instant>,
    connection: Option<(SocketAddr, Connection)>,
    number: u64,
    seed: u64,
}

/// Sends requests until the run ends.
pub async fn run_caller(seed: u64, fleet: Arc<GatewayFleet>, verifier: Arc<RunVerifier>) {
    let mut caller = Caller {
        random: SmallRng::seed_from_u64(seed),
        fleet,
        verifier,
        binding: PlatformBinding::default(),
        addresses: Vec::new(),
        asked: None,
        connection: None,
        number: 0,
        seed,
    };
    while !caller.verifier.is_stopped() {
        caller.step().await;
        let pause = caller.random.random_range(PAUSE_MS / 2..PAUSE_MS * 2);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}

impl Caller {
    async fn step(&mut self) {
        self.refresh().await;
        self.number += 1;
        let id = format!("c{}-{}", self.seed, self.number);
        let is_idempotent = self.random.random_bool(0.6);
        let end = match self.connect().await {
            Some((address, sender)) => {
                self.verifier.record_request();
                self.send(address, sender, &id, is_idempotent).await
            }
            None => RequestOutcome::Unanswered,
        };
        self.verifier.record_outcome(&id, is_idempotent, end);
    }

    async fn refresh(&mut self) {
        if self.asked.is_some_and(|at| at.elapsed() < KEEP_SPAN) && !self.addresses.is_empty() {
            return;
        }
        for _ in 0..3 {
            let index = self.random.random_range(0..self.fleet.count());
            let directory = self.fleet.addresses(index).directory;
            let path = format!("{}?name=shop.example", self.binding.directory_path());
            if let Ok((StatusCode::OK, body)) = ask(directory, &path).await {
                self.addresses = addresses_of(&body);
                self.asked = Some(Instant::now());
                if let Some((address, _)) = &self.connection
                    && !self.addresses.contains(address)
                {
                    self.connection = None;
                }
                return;
            }
        }
    }

    /// The open connection, or a new one.
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
        self.asked = None;
        None
    }

    async fn send(
        &mut self,
        address: SocketAddr,
        mut sender: Connection,
        id: &str,
        is_idempotent: bool,
    ) -> RequestOutcome {
        let request = match self.request(id, is_idempotent) {
            Ok(request) => request,
            Err(cause) => {
                self.verifier.record_finding(format!("{id} could not be made: {cause}"));
                return RequestOutcome::Unanswered;
            }
        };
        let exchange = async {
            let answer = sender.try_send_request(request).await.map_err(|mut failure| {
                // A request that comes back was not sent.
                failure.take_message().is_some()
            })?;
            let (parts, body) = answer.into_parts();
            let body = body.collect().await.map_err(|_| false)?;
            Ok::<_, bool>((parts, body.to_bytes()))
        };
        let (parts, body) = match tokio::time::timeout(PATIENCE, exchange).await {
            Err(_) | Ok(Err(true)) => return RequestOutcome::Unanswered,
            Ok(Err(false)) => return RequestOutcome::Broken,
            Ok(Ok(answer)) => answer,
        };
        let closes = parts.headers.get(header::CONNECTION).is_some_and(|value| value == "close");
        if !closes {
            self.connection = Some((address, sender));
        }
        match parts.status {
            StatusCode::OK => {
                let signature = parts.headers.get(&self.binding.headers().signature);
                let is_own = body == format!("ran {id}").as_bytes()
                    && signature.is_some_and(|value| value == &format!("s-{id}"));
                if !is_own {
                    self.verifier.record_finding(format!("{id} got an answer that is not its own"));
                }
                RequestOutcome::Served
            }
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                RequestOutcome::Refused
            }
            status if status.is_client_error() => {
                self.verifier.record_finding(format!("{id} was refused with {status}"));
                RequestOutcome::Failed
            }
            _ => RequestOutcome::Failed,
        }
    }

    fn request(&self, id: &str, is_idempotent: bool) -> Result<Request<Full<Bytes>>> {
        let names = self.binding.headers();
        let millis = u64::try_from(PATIENCE.as_millis()).map_err(|_| anyhow!("patience"))?;
        let builder = if is_idempotent {
            Request::get(format!("/look/{id}"))
        } else {
            Request::post(format!("/book/{id}"))
        };
        Ok(builder
            .header(header::HOST, "shop.example")
            .header(&names.request_id, id)
            .header(&names.deadline, HeaderValue::from(millis))
            .body(Full::new(Bytes::from_static(b"body")))?)
    }
}

/// The addresses in an answer of the directory: every text in it that is an address.
fn addresses_of(body: &[u8]) -> Vec<SocketAddr> {
    let text = String::from_utf8_lossy(body);
    text.split('"').filter_map(|part| part.parse().ok()).collect()
}
