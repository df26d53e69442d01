//! `shallotlead limits`: the backend servers that limit their rate, and those that may fall over, as one instance knows
//! them.

use std::time::Duration;

use gumdrop::Options;
use shallotlead_gateway::rate_limit::endpoint::{Entry, PATH, TOLERANCES_PATH, Tolerance};

use crate::{
    columns::Columns,
    command::{Failure, operator::print_json, page::Client},
};

/// Arguments of the subcommand.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "IP:PORT of an instance's metrics address")]
    instance: Option<String>,
    #[options(no_short, help = "print JSON")]
    json: bool,
}

/// Runs the subcommand.
pub(crate) fn run(arguments: &Arguments) -> Result<(), Failure> {
    let client = Client::open(arguments.instance.as_deref())?;
    let entries: Vec<Entry> = client.get(PATH)?;
    if arguments.json {
        return print_json(&entries);
    }
    print(&entries);
    // Instances of earlier releases answer with something else.
    let tolerances: Vec<Tolerance> = client.get(TOLERANCES_PATH).unwrap_or_default();
    if !tolerances.is_empty() {
        print_tolerances(&tolerances);
    }
    Ok(())
}

fn print_tolerances(entries: &[Tolerance]) {
    let titles =
        ["server", "service", "rejections per second", "said", "permits from", "closed for"];
    let mut columns = Columns::new(titles);
    let seconds = |ms: u64| Duration::from_millis(ms).as_secs_f64();
    for it in entries {
        columns.push([
            it.server.clone(),
            it.service.clone(),
            format!("{:.2}", it.rejections_per_second),
            format!("{:.1} s ago", seconds(it.age_ms)),
            it.home.clone(),
            format!("{:.1} s", seconds(it.closed_ms)),
        ]);
    }
    print!("\nat risk of falling over\n{columns}");
}

fn print(entries: &[Entry]) {
    if entries.is_empty() {
        println!("no server limits its rate");
        return;
    }
    let titles = ["server", "service", "per second", "said", "permits from", "closed for"];
    let mut columns = Columns::new(titles);
    let seconds = |ms: u64| Duration::from_millis(ms).as_secs_f64();
    for it in entries {
        columns.push([
            it.server.clone(),
            it.service.clone(),
            format!("{:.2}", it.per_second),
            format!("{:.1} s ago", seconds(it.age_ms)),
            it.home.clone(),
            format!("{:.1} s", seconds(it.closed_ms)),
        ]);
    }
    print!("{columns}");
}
