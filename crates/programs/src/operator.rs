//! Client for the operators' port of an instance, and rendering of its results as text.

use anyhow::{Context, Result, bail};
use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::Full;
use link::{ConnectionChoice, LinkPool, LinkPoolBuilder};
use model::operator::{CHANGE_HEADER, COMMANDS_PATH, CommandResponse, ReportTable, TIMELINE_PATH};
use smol_str::{SmolStr, ToSmolStr};
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use timeline::TimelineEvent;

/// Time within which an instance must respond; it covers the time until a change is in force
/// everywhere.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);

/// Sends operators' requests to one instance.
pub struct OperatorClient {
    address: SocketAddr,
    token: SmolStr,
    pool: LinkPool,
}

impl OperatorClient {
    /// Creates a client for the instance whose operators' port is at `address`.
    pub fn new(address: SocketAddr, token: SmolStr) -> Self {
        Self { address, token, pool: LinkPoolBuilder::default().build() }
    }

    /// Sends a batch of commands; `id` identifies the change.
    ///
    /// # Errors
    /// The instance doesn't respond, rejects the token, or its response can't be parsed. If the
    /// response was lost, the change may have been accepted: send it again under the same id.
    pub async fn send(&self, text: &str, id: Option<&str>) -> Result<CommandResponse> {
        let mut builder = self.request(Method::POST, COMMANDS_PATH);
        if let Some(id) = id {
            builder = builder.header(CHANGE_HEADER, id);
        }
        let body = Full::new(Bytes::copy_from_slice(text.as_bytes()));
        let response = self.exchange(builder.body(body)?).await?;
        serde_json::from_slice(&response).context("can't parse the result of the commands")
    }

    /// Fetches events of the time line of this instance; `query` is the query string of the URL.
    ///
    /// # Errors
    /// The instance doesn't respond, rejects the token, or its response can't be parsed.
    pub async fn timeline(&self, query: &str) -> Result<Vec<TimelineEvent>> {
        let path = format!("{TIMELINE_PATH}?{query}");
        let response =
            self.exchange(self.request(Method::GET, &path).body(Full::default())?).await?;
        serde_json::from_slice(&response).context("can't parse the events")
    }

    fn request(&self, method: Method, path: &str) -> http::request::Builder {
        Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.address.to_smolstr().as_str())
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token))
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Bytes> {
        let deadline = Instant::now() + RESPONSE_TIMEOUT;
        let choice = ConnectionChoice::Recent;
        let response = self.pool.exchange(self.address, request, choice, deadline).await;
        let response =
            response.with_context(|| format!("no response from instance at {}", self.address))?;
        if response.status() == StatusCode::UNAUTHORIZED {
            bail!("instance at {} rejected the token", self.address);
        }
        Ok(response.into_body())
    }
}

/// Renders a table as text with aligned columns.
pub fn render_table(table: &ReportTable) -> String {
    let mut widths: Vec<usize> = table.columns.iter().map(|column| column.len()).collect();
    for row in &table.rows {
        for (width, value) in widths.iter_mut().zip(row) {
            *width = (*width).max(value.chars().count());
        }
    }
    let mut text = format!("{}\n", table.title);
    for row in std::iter::once(&table.columns).chain(&table.rows) {
        let mut line = String::new();
        for (value, width) in row.iter().zip(&widths) {
            let _ = write!(line, "  {value:width$}");
        }
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}

/// Renders the result of a batch of commands as text.
pub fn render_answer(answer: &CommandResponse) -> String {
    match answer {
        CommandResponse::Report { tables } => {
            tables.iter().map(render_table).collect::<Vec<_>>().join("\n")
        }
        CommandResponse::Invalid { error } => format!("invalid, nothing changed: {error}\n"),
        CommandResponse::NotAccepted { id, error } => {
            format!("change {id} not accepted, nothing changed: {error}\n")
        }
        CommandResponse::Accepted { id, version, unconfirmed } => {
            let names: Vec<_> = unconfirmed.iter().map(ToString::to_string).collect();
            format!(
                "change {id} accepted as version {version}; not yet confirmed in force at: {}\n",
                names.join(" ")
            )
        }
        CommandResponse::InForceEverywhere { id, version } => {
            format!("change {id} in force everywhere as version {version}\n")
        }
        CommandResponse::Undetermined { id, error } => {
            format!(
                "change {id}: unknown whether accepted ({error}); send it again with --id {id}\n"
            )
        }
    }
}
