//! `shallotlead status`: instances, versions in force, duties, the platform's health.

use gumdrop::Options;
use shallotlead_admin::{api::Status, client::Client};

use crate::{
    columns::Columns,
    command::{Failure, operator::print_json},
};

/// Arguments of the subcommand.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "print JSON")]
    json: bool,
}

/// Runs the subcommand.
pub(crate) fn run(arguments: &Arguments, client: &Client) -> Result<(), Failure> {
    let status = client.status()?;
    if arguments.json {
        return print_json(&status);
    }
    print(&status);
    Ok(())
}

fn print(status: &Status) {
    println!("table      version {} here, {} everywhere", status.version, status.oldest);
    let platform = &status.platform;
    let health = if platform.available { "available" } else { "unavailable" };
    println!(
        "platform   {health}, {:.1} of {:.1} calls a second",
        platform.calls_per_second, platform.budget_per_second
    );
    let mut columns = Columns::new(["data centre", "live instances", "oldest", "newest version"]);
    for it in &status.centres {
        let (lowest, highest) = (it.lowest.to_string(), it.highest.to_string());
        columns.push([it.name.clone(), it.live.to_string(), lowest, highest]);
    }
    print!("\n{columns}");
    let mut columns = Columns::new(["instance", "data centre", "state"]);
    for it in &status.instances {
        columns.push([&it.name, &it.centre, &it.state]);
    }
    print!("\n{columns}");
    if status.duties.is_empty() {
        return;
    }
    let mut columns = Columns::new(["duty", "holder", "fencing token"]);
    for it in &status.duties {
        let holder = it.holder.clone().unwrap_or_else(|| "-".to_owned());
        columns.push([it.name.clone(), holder, it.fence.to_string()]);
    }
    print!("\n{columns}");
}
