//! Demo of the whole system in one process: store, backend servers, entry instances, an operator
//! and callers. One server is drained and one instance is stopped under load.

use crate::load::{LoadPlan, LoadReport, run_load};
use crate::operator::{OperatorClient, render_answer};
use anyhow::{Context, Result, ensure};
use entry::EntryInstance;
use model::operator::CommandResponse;
use model::{DataCentre, InstanceName, RunVerdict, ServiceName};
use settings::DaemonSettings;
use smol_str::SmolStr;
use standin::{BackendSettingsBuilder, LedgerReport, StandinBackend, StandinStore};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use timeline::ring::merge_events;
use timeline::{EventKind, TimelineEvent, TimelineQuery};

/// Token shared by the operators and instances of the demo.
const TOKEN: &str = "demo-token";
/// Name of the service that the demo creates.
const SERVICE: &str = "orders";
/// Number of entry instances.
const ENTRY_COUNT: usize = 3;
/// Number of backend servers.
const SERVER_COUNT: usize = 4;
/// Duration of the load.
const LOAD_DURATION: Duration = Duration::from_secs(8);
/// Delay from the start of the load to the drain of a backend server.
const DRAIN_DELAY: Duration = Duration::from_secs(2);
/// Delay from the drain to the stop of an entry instance.
const STOP_DELAY: Duration = Duration::from_secs(1);
/// Number of latest events of the time line that are printed.
const EVENTS_MAX: usize = 24;

/// Outcome of the demo.
pub struct DemoOutcome {
    /// Outcomes of the callers' requests.
    pub load: LoadReport,
    /// Bookings run by the backend servers.
    pub ledger: LedgerReport,
    /// Number of bookings with the verdict "not run" that did run.
    pub false_not_run: usize,
    /// Number of requests cut off by the stop of the entry instance.
    pub cut_off: i64,
    /// Latest state changes and failed exchanges of the time line, oldest first.
    pub events: Vec<TimelineEvent>,
}

impl DemoOutcome {
    /// Checks the guarantees that the demo shows.
    ///
    /// # Errors
    /// A guarantee doesn't hold; the first one is reported.
    pub fn check(&self) -> Result<()> {
        for (verdict, count) in &self.load.verdicts {
            let is_lookup = !verdict.starts_with("booking");
            let ran = verdict.ends_with("/ran");
            ensure!(!is_lookup || ran, "{count} lookups ended as {verdict}");
        }
        ensure!(
            self.load.not_offered == 0,
            "some requests were not offered, since too many were in progress"
        );
        ensure!(self.load.foreign_answers == 0, "a response was foreign or truncated");
        ensure!(self.ledger.duplicates() == 0, "a booking ran twice");
        ensure!(self.false_not_run == 0, "a booking with the verdict \"not run\" did run");
        ensure!(self.cut_off == 0, "the stop of an instance cut off {} requests", self.cut_off);
        Ok(())
    }
}

/// Runs the demo.
///
/// # Errors
/// A part of the system can't be started or doesn't respond.
pub async fn run_demo() -> Result<DemoOutcome> {
    let store = StandinStore::start(loopback(0), Duration::from_millis(500)).await?;
    let mut servers = Vec::new();
    for number in 0..SERVER_COUNT {
        let name = format!("server-{number}").parse()?;
        let settings = BackendSettingsBuilder::new(name, loopback(0)).seed(number as u64).build();
        servers.push(StandinBackend::start(settings).await?);
    }
    let mut entries = Vec::new();
    for number in 0..ENTRY_COUNT {
        entries.push(start_entry(number, store.address())?);
    }
    let caller_addresses: Vec<SocketAddr> =
        entries.iter().map(|entry| entry.traffic().settings.caller_address).collect();
    wait_for_members(&entries).await?;
    let service: ServiceName = SERVICE.parse()?;
    create_service(&operator_client(&entries[0]), &servers).await?;
    let stopped =
        take_home(&mut entries, &service).context("no instance is the home of the service")?;
    let operator = operator_client(&entries[0]);
    let plan = load_plan(caller_addresses, service);
    let load = tokio::spawn(async move { run_load(&plan).await });
    tokio::time::sleep(DRAIN_DELAY).await;
    run_command(&operator, "drain server server-0 in orders").await?;
    tokio::time::sleep(STOP_DELAY).await;
    let mut event_lists = Vec::new();
    let query = TimelineQuery::default();
    let traffic = std::sync::Arc::clone(stopped.traffic());
    let name = traffic.settings.name.clone();
    println!("operator> stop {name}");
    let cut_off = tokio::task::spawn_blocking(move || stopped.close()).await?;
    println!("instance {name} stopped, requests cut off: {cut_off}");
    event_lists.push(traffic.ring.select(&query));
    let load = load.await?;
    let mut ledger = LedgerReport::default();
    for server in &servers {
        ledger.merge(server.ledger());
    }
    event_lists.extend(entries.iter().map(|entry| entry.traffic().ring.select(&query)));
    for entry in entries {
        tokio::task::spawn_blocking(move || entry.close()).await?;
    }
    for server in servers {
        server.close().await;
    }
    store.close().await;
    let false_not_run = count_false_not_run(&load, &ledger);
    let events = state_changes(merge_events(event_lists));
    Ok(DemoOutcome { load, ledger, false_not_run, cut_off, events })
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

fn start_entry(number: usize, platform: SocketAddr) -> Result<EntryInstance> {
    let name: InstanceName = format!("entry-{number}").parse()?;
    let centre: DataCentre = format!("gt-{number}").parse()?;
    let text = format!(
        "[instance]\nname = {name}\ndata_centre = {centre}\ncaller_address = 127.0.0.1:0\n\
         operator_address = 127.0.0.1:0\npeer_address = 127.0.0.1:0\n\
         [platform]\naddress = {platform}\n[fleet]\ntoken = {TOKEN}\n",
    );
    EntryInstance::start(DaemonSettings::parse("demo", &text)?)
}

fn operator_client(entry: &EntryInstance) -> OperatorClient {
    let address = entry.traffic().settings.operator_address;
    OperatorClient::new(address, SmolStr::new_static(TOKEN))
}

/// Removes the home of the service from `entries` and returns it.
fn take_home(entries: &mut Vec<EntryInstance>, service: &ServiceName) -> Option<EntryInstance> {
    let is_home = |entry: &EntryInstance| entry.traffic().view.load().home_rank(service).is_some();
    let at = entries.iter().position(is_home)?;
    Some(entries.remove(at))
}

async fn wait_for_members(entries: &[EntryInstance]) -> Result<()> {
    for _ in 0..200 {
        let is_complete = |entry: &EntryInstance| {
            let view = entry.traffic().view.load();
            view.members.len() == entries.len() && view.config.is_some()
        };
        if entries.iter().all(is_complete) {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    anyhow::bail!("the instances did not find each other within 10 s")
}

async fn run_command(operator: &OperatorClient, text: &str) -> Result<()> {
    println!("operator> {text}");
    let answer = operator.send(text, None).await?;
    print!("{}", render_answer(&answer));
    let is_done = matches!(
        answer,
        CommandResponse::InForceEverywhere { .. } | CommandResponse::Report { .. }
    );
    ensure!(is_done, "the command is not in force everywhere");
    Ok(())
}

async fn create_service(operator: &OperatorClient, servers: &[StandinBackend]) -> Result<()> {
    let mut batch = String::from(
        "create service orders (deadline_ms = 2000, keep_ms = 1500);\n\
         create rule in orders route \"/report\" (class = long);\n",
    );
    for (number, server) in servers.iter().enumerate() {
        batch.push_str(&format!(
            "create server server-{number} in orders at {};\n",
            server.address()
        ));
    }
    run_command(operator, &batch).await?;
    run_command(operator, "show services; show servers in orders; show instances").await
}

fn load_plan(entries: Vec<SocketAddr>, service: ServiceName) -> LoadPlan {
    LoadPlan {
        entries,
        service,
        rate: 300.0,
        duration: LOAD_DURATION,
        callers: 8,
        bookings: 0.2,
        long_share: 0.016,
        short_time: Duration::from_millis(4),
        long_time: Duration::from_millis(100),
        straggler_share: 0.004,
        deadline: Duration::from_secs(2),
        heavy_factor: 1.0,
        seed: 1,
    }
}

/// Returns the number of bookings with the verdict "not run" that a backend server ran.
pub fn count_false_not_run(load: &LoadReport, ledger: &LedgerReport) -> usize {
    load.tickets
        .iter()
        .filter(|(ticket, verdict)| {
            *verdict == RunVerdict::NotRun && ledger.runs.contains_key(ticket)
        })
        .count()
}

/// Keeps the latest events that are state changes or failed exchanges, at most [`EVENTS_MAX`].
fn state_changes(events: Vec<TimelineEvent>) -> Vec<TimelineEvent> {
    let is_change = |event: &TimelineEvent| {
        event.kind.request().is_none() || matches!(event.kind, EventKind::ExchangeFailed { .. })
    };
    let mut changes: Vec<TimelineEvent> = events.into_iter().filter(is_change).collect();
    let excess = changes.len().saturating_sub(EVENTS_MAX);
    changes.drain(..excess);
    changes
}
