//! `shallotlead table`: reads and changes the operators' table.

mod change;
mod follow;
mod history;
mod show;

use gumdrop::Options;
use shallotlead_admin::client::Client;
use shallotlead_table::{cell::Cell, column::Column, row};

use crate::command::Failure;

const EXAMPLES: &str = "\
Examples:
  shallotlead table show organisation
  shallotlead table get server/s1 weight
  shallotlead table set organisation/umez weight 3
  shallotlead table set server/s1 weight 0 --dry-run
  shallotlead table add server/s10 address=127.0.0.1:9010 centre=cluj-a model=damp
  shallotlead table export organisation > organisations.csv
  shallotlead table import organisation organisations.csv --dry-run
  shallotlead table watch";

/// Arguments of the subcommand.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "print rows: all, or of one kind (organisation, model, server)")]
    Show(show::Show),
    #[options(help = "print one cell")]
    Get(show::Get),
    #[options(help = "set one cell and follow the change until it is in force everywhere")]
    Set(change::Set),
    #[options(help = "add a row")]
    Add(change::Add),
    #[options(help = "remove a row")]
    Remove(change::Remove),
    #[options(help = "print changes as they come into force")]
    Watch(history::Watch),
    #[options(help = "print accepted changes and who made them")]
    History(history::History),
    #[options(help = "bring rows to what a comma-separated file says")]
    Import(change::Import),
    #[options(help = "print rows as comma-separated values")]
    Export(show::Export),
}

/// Runs the subcommand.
pub(crate) fn run(
    arguments: Arguments,
    client: impl FnOnce() -> Result<Client, Failure>,
) -> Result<(), Failure> {
    let Some(command) = arguments.command else {
        let commands = Arguments::command_list().unwrap_or_default();
        return Err(Failure::Usage(format!("name what to do:\n{commands}\n\n{EXAMPLES}")));
    };
    let client = client()?;
    match command {
        Command::Show(it) => it.run(&client),
        Command::Get(it) => it.run(&client),
        Command::Set(it) => it.run(&client),
        Command::Add(it) => it.run(&client),
        Command::Remove(it) => it.run(&client),
        Command::Watch(it) => it.run(&client),
        Command::History(it) => it.run(&client),
        Command::Import(it) => it.run(&client),
        Command::Export(it) => it.run(&client),
    }
}

fn parse_kind(text: &str) -> Result<row::Kind, Failure> {
    text.parse().map_err(usage)
}

/// Parses `organisation/umez`.
fn parse_row(text: &str) -> Result<row::Key, Failure> {
    let Some((kind, name)) = text.split_once('/') else {
        let reason = format!("`{text}` names no row: expected KIND/NAME, as organisation/umez");
        return Err(Failure::Usage(reason));
    };
    row::Key::new(parse_kind(kind)?, name).map_err(usage)
}

fn parse_cell(row: &str, column: &str) -> Result<Cell, Failure> {
    let column = column.parse::<Column>().map_err(usage)?;
    Cell::new(parse_row(row)?, column).map_err(usage)
}

fn usage(error: shallotlead_table::error::Error) -> Failure {
    Failure::Usage(error.to_string())
}
