//! `shallotlead explain`: why a request went where it went.

mod story;

use gumdrop::Options;
use shallotlead_admin::{api::Decision, client::Client};
use shallotlead_base::id::Request;

use crate::{
    columns::Columns,
    command::{Failure, operator::print_json},
};

const LATEST: usize = 10;

/// Arguments of the subcommand.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "request id (x-shallotlead-request); none lists the latest decisions")]
    request: Option<String>,
    #[options(no_short, help = "print JSON")]
    json: bool,
    #[options(
        no_short,
        meta = "FILE",
        help = "read the story from log lines; - for standard input"
    )]
    log: Option<String>,
}

/// Tells a request's story from log lines, if the arguments name a log.
pub(crate) fn from_log(arguments: &Arguments) -> Option<Result<(), Failure>> {
    let file = arguments.log.as_ref()?;
    let missing = || Failure::Usage("--log needs the id of a request".to_owned());
    let request = arguments.request.as_ref().ok_or_else(missing);
    Some(request.and_then(|it| story::print(it, file)))
}

/// Runs the subcommand.
pub(crate) fn run(arguments: &Arguments, client: &Client) -> Result<(), Failure> {
    let Some(text) = &arguments.request else { return latest(arguments.json, client) };
    let request = text.parse::<Request>().map_err(|_| {
        Failure::Usage(format!("`{text}` is no request id: expected 32 hexadecimal digits"))
    })?;
    let found = client.decisions(request)?;
    if arguments.json {
        return print_json(&found);
    }
    for decision in &found.decisions {
        print(&found.instance, decision);
    }
    Ok(())
}

fn latest(json: bool, client: &Client) -> Result<(), Failure> {
    let found = client.latest_decisions(LATEST)?;
    if json {
        return print_json(&found);
    }
    let mut columns = Columns::new(["request", "server", "reason", "queued ms"]);
    for it in &found.decisions {
        let server = it.chosen.clone().unwrap_or_else(|| "refused".to_owned());
        let queued = format!("{:.1}", it.queued_ms);
        columns.push([it.request.clone(), server, it.reason.clone(), queued]);
    }
    print!("{columns}");
    Ok(())
}

fn print(instance: &str, decision: &Decision) {
    println!("request    {}", decision.request);
    let chosen = decision.chosen.as_deref().unwrap_or("none");
    println!("server     {chosen}, by {instance} under table version {}", decision.table);
    println!("reason     {}", decision.reason);
    println!("queued     {:.1} ms", decision.queued_ms);
    if decision.candidates.is_empty() {
        return;
    }
    let titles = [
        "candidate",
        "score",
        "wait ms",
        "prefill ms",
        "price ms",
        "cached tokens",
        "sure",
        "belief age ms",
        "load age ms",
    ];
    let mut columns = Columns::new(titles);
    for it in &decision.candidates {
        columns.push([
            it.server.clone(),
            format!("{:.1}", it.score),
            format!("{:.1}", it.wait),
            format!("{:.1}", it.prefill),
            format!("{:.1}", it.price),
            it.cached_tokens.to_string(),
            format!("{:.0}%", 100.0 * it.confidence),
            it.belief_age.to_string(),
            it.load_age.to_string(),
        ]);
    }
    print!("\n{columns}\n");
}
