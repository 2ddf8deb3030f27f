//! The operators' tool.

use anyhow::{Result, bail};
use bpaf::Bpaf;
use model::operator::CommandAnswer;
use programs::operator::{OperatorClient, render_answer};
use smol_str::SmolStr;
use std::io::Read;
use std::net::SocketAddr;
use std::process::ExitCode;
use timeline::ring::merge_events;

/// lacewingctl: changes and shows the configuration of lacewingshelf.
///
/// Exit codes: 0 done, 1 not done, 3 accepted but not confirmed in force everywhere, 4 not known.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct ToolOptions {
    /// Operators' port of any instance
    #[bpaf(argument("ADDRESS"))]
    instance: SocketAddr,
    /// Secret that operators share with the instances
    #[bpaf(argument("TOKEN"), env("LACEWING_TOKEN"))]
    token: SmolStr,
    /// Print JSON
    json: bool,
    #[bpaf(external)]
    tool_action: ToolAction,
}

#[derive(Debug, Clone, Bpaf)]
enum ToolAction {
    /// Run a batch of commands; without text, read it from the standard input
    #[bpaf(command)]
    Run {
        /// Id of the change, to send it again safely
        #[bpaf(argument("ID"))]
        id: Option<SmolStr>,
        /// The commands
        #[bpaf(positional("TEXT"))]
        text: Option<String>,
    },
    /// Show the time line over all instances
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
        /// Latest events of each instance
        #[bpaf(argument("COUNT"), fallback(200))]
        limit: usize,
    },
}

fn main() -> ExitCode {
    let options = tool_options().run();
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(cause) => {
            eprintln!("{cause}");
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
    let client = OperatorClient::new(options.instance, options.token.clone());
    match &options.tool_action {
        ToolAction::Run { id, text } => {
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
            timeline(options, &client, &query, only.as_deref()).await
        }
    }
}

fn exit_code(answer: &CommandAnswer) -> ExitCode {
    match answer {
        CommandAnswer::Report { .. } | CommandAnswer::InForceEverywhere { .. } => ExitCode::SUCCESS,
        CommandAnswer::Invalid { .. } | CommandAnswer::NotAccepted { .. } => ExitCode::FAILURE,
        CommandAnswer::Accepted { .. } => ExitCode::from(3),
        CommandAnswer::Undetermined { .. } => ExitCode::from(4),
    }
}

struct KnownInstance {
    name: SmolStr,
    operators: SocketAddr,
}

async fn known_instances(client: &OperatorClient) -> Result<Vec<KnownInstance>> {
    let CommandAnswer::Report { tables } = client.send("show instances", None).await? else {
        bail!("the instance does not list the others");
    };
    let mut known = Vec::new();
    for row in tables.iter().flat_map(|table| &table.rows) {
        if let (Some(name), Some(operators)) = (row.first(), row.last()) {
            known.push(KnownInstance { name: name.clone(), operators: operators.parse()? });
        }
    }
    Ok(known)
}

async fn timeline(
    options: &ToolOptions,
    client: &OperatorClient,
    query: &str,
    only: Option<&str>,
) -> Result<ExitCode> {
    let mut lists = Vec::new();
    let mut silent = Vec::new();
    for instance in known_instances(client).await? {
        if only.is_some_and(|only| only != instance.name) {
            continue;
        }
        let client = OperatorClient::new(instance.operators, options.token.clone());
        match client.timeline(query).await {
            Ok(events) => lists.push(events),
            Err(_) => silent.push(instance.name),
        }
    }
    let events = merge_events(lists);
    if options.json {
        let report = serde_json::json!({ "events": events, "not_asked": silent });
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        for event in &events {
            println!("{event}");
        }
        if !silent.is_empty() {
            println!("could not be asked: {}", silent.join(" "));
        }
    }
    Ok(if silent.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
