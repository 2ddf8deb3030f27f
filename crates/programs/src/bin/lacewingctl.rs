//! Command-line tool for operators.

use anyhow::{Context, Result, bail};
use bpaf::Bpaf;
use log_analysis::LineFilter;
use model::operator::CommandResponse;
use model::route_preview::PreviewRequest;
use programs::logs::{LogReport, explain_request, list_lines, summarize_failures};
use programs::operator::{OperatorClient, render_answer};
use programs::preview::{fetch_preview, render_preview, would_run};
use smol_str::SmolStr;
use std::io::Read;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use timeline::ring::merge_events;

/// lacewingctl: changes and shows the configuration of lacewingshelf, and reports on the logs of
/// its instances.
///
/// Exit codes: 0 done, 1 not done, 3 accepted but not confirmed in force everywhere, 4 unknown
/// whether accepted.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct ToolOptions {
    /// Operators' port of any instance; for run and timeline
    #[bpaf(argument("ADDRESS"))]
    instance: Option<SocketAddr>,
    /// Token that operators share with the instances; for run and timeline
    #[bpaf(argument("TOKEN"), env("LACEWING_TOKEN"))]
    token: Option<SmolStr>,
    /// Print JSON
    json: bool,
    #[bpaf(external)]
    tool_action: ToolAction,
}

#[derive(Debug, Clone, Bpaf)]
enum ToolAction {
    /// Run a batch of commands; without TEXT, read it from standard input
    #[bpaf(command)]
    Run {
        /// Id of the change, which makes it safe to send it again
        #[bpaf(argument("ID"))]
        id: Option<SmolStr>,
        /// The commands, separated by semicolons
        #[bpaf(positional("TEXT"))]
        text: Option<String>,
    },
    /// Show the merged time line of all instances
    #[bpaf(command)]
    Timeline {
        /// Only events of this request
        #[bpaf(argument("REQUEST"))]
        request: Option<SmolStr>,
        /// Only events of this instance
        #[bpaf(argument("NAME"))]
        only: Option<SmolStr>,
        /// Only events at or after this time, in microseconds since 1970
        #[bpaf(argument("MICROSECONDS"))]
        since: Option<u64>,
        /// Only events at or before this time, in microseconds since 1970
        #[bpaf(argument("MICROSECONDS"))]
        until: Option<u64>,
        /// Number of latest events shown of each instance
        #[bpaf(argument("COUNT"), fallback(200))]
        limit: usize,
    },
    /// Explain where a request would go now, and why, without sending it
    #[bpaf(command)]
    Route {
        /// Metrics port of the gateway to ask
        #[bpaf(argument("ADDRESS"))]
        gateway: SocketAddr,
        /// File with the key of the caller's team; the key is never shown
        #[bpaf(argument("FILE"))]
        key_file: Option<PathBuf>,
        /// Data centre of the caller
        #[bpaf(argument("NAME"))]
        data_centre: Option<SmolStr>,
        /// Host of the request
        #[bpaf(positional("HOST"))]
        host: SmolStr,
        /// Path of the request
        #[bpaf(positional("PATH"))]
        path: SmolStr,
    },
    /// Report what happened to a request, from the logs of instances
    #[bpaf(command)]
    Explain {
        /// Id of the request
        #[bpaf(positional("REQUEST"))]
        request: SmolStr,
        /// Log files; without any, read standard input
        #[bpaf(positional("LOG"))]
        logs: Vec<PathBuf>,
    },
    /// Count failed requests by cause, from the logs of instances
    #[bpaf(command)]
    Failures {
        /// Log files; without any, read standard input
        #[bpaf(positional("LOG"))]
        logs: Vec<PathBuf>,
    },
    /// Show lines of the logs of instances, sorted by time
    #[bpaf(command)]
    Lines {
        /// Only lines about this request
        #[bpaf(argument("REQUEST"))]
        request: Option<SmolStr>,
        /// Only lines of this instance
        #[bpaf(argument("NAME"))]
        only: Option<SmolStr>,
        /// Only lines of this event
        #[bpaf(argument("EVENT"))]
        event: Option<SmolStr>,
        /// Only lines at or after this time, in seconds since 1970
        #[bpaf(argument("SECONDS"))]
        since: Option<f64>,
        /// Only lines at or before this time, in seconds since 1970
        #[bpaf(argument("SECONDS"))]
        until: Option<f64>,
        /// Log files; without any, read standard input
        #[bpaf(positional("LOG"))]
        logs: Vec<PathBuf>,
    },
}

impl ToolOptions {
    fn access(&self) -> Result<(SocketAddr, SmolStr)> {
        let instance = self.instance.context("this command needs --instance ADDRESS")?;
        let token = self.token.clone();
        Ok((instance, token.context("this command needs --token TOKEN or LACEWING_TOKEN")?))
    }

    fn print(&self, report: &LogReport) -> Result<ExitCode> {
        if self.json {
            println!("{}", serde_json::to_string_pretty(&report.json)?);
        } else {
            print!("{}", report.text);
        }
        if report.tally.skipped > 0 {
            eprintln!(
                "{} lines read, {} unreadable lines skipped",
                report.tally.lines, report.tally.skipped
            );
        }
        Ok(if report.is_found { ExitCode::SUCCESS } else { ExitCode::FAILURE })
    }
}

fn main() -> ExitCode {
    let options = tool_options().run();
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(cause) => {
            eprintln!("can't start the async runtime: {cause}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run(&options)) {
        Ok(code) => code,
        Err(cause) => {
            eprintln!("{cause:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run(options: &ToolOptions) -> Result<ExitCode> {
    match &options.tool_action {
        ToolAction::Run { id, text } => {
            let (instance, token) = options.access()?;
            let client = OperatorClient::new(instance, token);
            let text = match text {
                Some(text) => text.clone(),
                None => std::io::read_to_string(std::io::stdin().take(1024 * 1024))?,
            };
            let answer = client.send(&text, id.as_deref()).await?;
            if options.json {
                println!("{}", serde_json::to_string_pretty(&answer)?);
            } else {
                print!("{}", render_answer(&answer));
            }
            Ok(exit_code(&answer))
        }
        ToolAction::Timeline { request, only, since, until, limit } => {
            let mut query = format!("limit={limit}");
            if let Some(request) = request {
                query.push_str(&format!("&request={request}"));
            }
            if let Some(since) = since {
                query.push_str(&format!("&since_us={since}"));
            }
            if let Some(until) = until {
                query.push_str(&format!("&until_us={until}"));
            }
            timeline(options, &query, only.as_deref()).await
        }
        ToolAction::Route { gateway, key_file, data_centre, host, path } => {
            let key = match key_file {
                Some(file) => {
                    let text = std::fs::read_to_string(file);
                    Some(text.with_context(|| format!("cannot read {}", file.display()))?)
                }
                None => None,
            };
            let asked = PreviewRequest {
                host: host.clone(),
                path: path.clone(),
                key: key.map(|key| key.trim().into()),
                data_centre: data_centre.as_ref().map(|name| name.parse()).transpose()?,
            };
            let preview = fetch_preview(*gateway, &asked).await?;
            if options.json {
                println!("{}", serde_json::to_string_pretty(&preview)?);
            } else {
                print!("{}", render_preview(&preview));
            }
            Ok(if would_run(&preview) { ExitCode::SUCCESS } else { ExitCode::FAILURE })
        }
        ToolAction::Explain { request, logs } => {
            options.print(&explain_request(request.clone(), logs)?)
        }
        ToolAction::Failures { logs } => options.print(&summarize_failures(logs)?),
        ToolAction::Lines { request, only, event, since, until, logs } => {
            let filter = LineFilter {
                request: request.clone(),
                instance: only.clone(),
                event: event.clone(),
                since: *since,
                until: *until,
            };
            options.print(&list_lines(&filter, logs)?)
        }
    }
}

fn exit_code(answer: &CommandResponse) -> ExitCode {
    match answer {
        CommandResponse::Report { .. } | CommandResponse::InForceEverywhere { .. } => {
            ExitCode::SUCCESS
        }
        CommandResponse::Invalid { .. } | CommandResponse::NotAccepted { .. } => ExitCode::FAILURE,
        CommandResponse::Accepted { .. } => ExitCode::from(3),
        CommandResponse::Undetermined { .. } => ExitCode::from(4),
    }
}

struct InstanceAccess {
    name: SmolStr,
    operator_address: SocketAddr,
}

async fn fetch_instances(client: &OperatorClient) -> Result<Vec<InstanceAccess>> {
    let CommandResponse::Report { tables } = client.send("show instances", None).await? else {
        bail!("the instance returned no list of instances");
    };
    let mut instances = Vec::new();
    for row in tables.iter().flat_map(|table| &table.rows) {
        if let (Some(name), Some(operator_address)) = (row.first(), row.last()) {
            instances.push(InstanceAccess {
                name: name.clone(),
                operator_address: operator_address.parse()?,
            });
        }
    }
    Ok(instances)
}

async fn timeline(options: &ToolOptions, query: &str, only: Option<&str>) -> Result<ExitCode> {
    let (instance, token) = options.access()?;
    let client = OperatorClient::new(instance, token.clone());
    let mut lists = Vec::new();
    let mut failed = Vec::new();
    for instance in fetch_instances(&client).await? {
        if only.is_some_and(|only| only != instance.name) {
            continue;
        }
        let client = OperatorClient::new(instance.operator_address, token.clone());
        match client.timeline(query).await {
            Ok(events) => lists.push(events),
            Err(_) => failed.push(instance.name),
        }
    }
    let events = merge_events(lists);
    if options.json {
        let report = serde_json::json!({ "events": events, "not_asked": failed });
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        for event in &events {
            println!("{event}");
        }
        if !failed.is_empty() {
            println!("could not be queried: {}", failed.join(" "));
        }
    }
    Ok(if failed.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
