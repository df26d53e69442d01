//! `shallotlead quotas`: quotas of organisations, as one instance knows them.

use gumdrop::Options;
use shallotlead_gateway::quota::endpoint::{Entry, PATH};

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
    if entries.is_empty() {
        println!("no organisation has a quota");
        return Ok(());
    }
    let titles = [
        "organisation",
        "counted",
        "per second",
        "at once",
        "share here",
        "left here",
        "other owners",
        "admitted here",
        "denied here",
    ];
    let mut columns = Columns::new(titles);
    for it in &entries {
        columns.push([
            it.organisation.clone(),
            it.unit.clone(),
            format!("{:.0}", it.per_second),
            format!("{:.0}", it.burst),
            format!("{:.2}", it.share),
            format!("{:.0}", it.left),
            it.owners.join(" "),
            it.admitted.to_string(),
            it.denied.to_string(),
        ]);
    }
    print!("{columns}");
    Ok(())
}
