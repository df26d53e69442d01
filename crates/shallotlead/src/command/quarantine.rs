//! `shallotlead quarantine`: the requests and parts of prompts that are sent to no server any more, and
//! their release.

use std::time::Duration;

use gumdrop::Options;
use shallotlead_gateway::quarantine::{
    Identity,
    endpoint::{Entry, PATH, Release},
};

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
    #[options(no_short, meta = "IDENTITY", help = "release this request or part")]
    release: Option<String>,
    #[options(no_short, help = "print JSON")]
    json: bool,
}

/// Runs the subcommand.
pub(crate) fn run(arguments: &Arguments) -> Result<(), Failure> {
    let Arguments { instance, release, json, .. } = arguments;
    let client = Client::open(instance.as_deref())?;
    let Some(text) = release else {
        let entries: Vec<Entry> = client.get(PATH)?;
        if *json {
            return print_json(&entries);
        }
        print(&entries);
        return Ok(());
    };
    let identity = text
        .parse::<Identity>()
        .map_err(|err| Failure::Usage(format!("`{text}` names no request: {err}")))?;
    let release: Release = client.delete(&format!("{PATH}/{identity}"))?;
    if *json {
        return print_json(&release);
    }
    println!("released {identity}");
    Ok(())
}

fn print(entries: &[Entry]) {
    if entries.is_empty() {
        println!("nothing is in quarantine");
        return;
    }
    let mut columns = Columns::new(["identity", "part", "crashes", "last seen"]);
    for it in entries {
        let age = Duration::from_millis(it.last_seen_ms).as_secs_f64();
        let part = if it.part.is_empty() { "-" } else { &it.part };
        columns.push([
            it.identity.clone(),
            part.to_owned(),
            it.crashes.to_string(),
            format!("{age:.1} s ago"),
        ]);
    }
    print!("{columns}");
}
