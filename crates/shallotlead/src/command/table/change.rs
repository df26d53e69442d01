//! Changing rows and cells.

use std::{fs, sync::Arc};

use gumdrop::Options;
use shallotlead_admin::{api, client::Client};
use shallotlead_base::code::Code;
use shallotlead_table::{
    change::{Edit, Entry},
    column::Column,
};

use crate::command::{
    Failure,
    operator::print_json,
    table::{
        follow::{self, Until},
        parse_cell, parse_kind, parse_row, show, usage,
    },
};

/// Tries of one change whose answer was lost.
const MAX_TRIES: u32 = 3;

/// `table set KIND/NAME COLUMN VALUE`.
#[derive(Debug, Options)]
pub(super) struct Set {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "KIND/NAME, as organisation/umez")]
    row: String,
    #[options(free, required, help = "column, as weight")]
    column: String,
    #[options(free, help = "new value; none empties the cell")]
    value: String,
    #[options(
        no_short,
        meta = "VALUE",
        help = "change only this value [default: the one in force]"
    )]
    expect: Option<String>,
    #[options(no_short, help = "change whatever value is there")]
    overwrite: bool,
    #[options(no_short, help = "only say what the change would touch")]
    dry_run: bool,
    #[options(no_short, help = "don't wait until it is in force everywhere")]
    no_follow: bool,
    #[options(no_short, help = "print JSON")]
    json: bool,
}

impl Set {
    pub(super) fn run(self, client: &Client) -> Result<(), Failure> {
        let cell = parse_cell(&self.row, &self.column)?;
        let expected = match (&self.expect, self.overwrite) {
            (Some(_), true) => {
                return Err(Failure::Usage("give --expect or --overwrite, not both".to_owned()));
            }
            (None, true) => None,
            (Some(it), false) => Some(it.clone()),
            // A hidden cell can only be overwritten: its value isn't shown.
            (None, false) if cell.column == Column::KeyHashes => None,
            (None, false) => Some(show::read(client, &cell)?),
        };
        let expected = expected.map(Arc::from);
        let edit = Edit::Set { cell, expected, value: self.value.as_str().into() };
        let run = Run {
            dry_run: self.dry_run,
            json: self.json,
            until: until(self.no_follow, Until::Seen),
        };
        run.change(client, vec![edit])
    }
}

/// `table add KIND/NAME COLUMN=VALUE…`.
#[derive(Debug, Options)]
pub(super) struct Add {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "KIND/NAME, as server/s10")]
    row: String,
    #[options(free, help = "cells as COLUMN=VALUE; the others have their defaults")]
    cells: Vec<String>,
    #[options(no_short, help = "only say what the change would touch")]
    dry_run: bool,
    #[options(no_short, help = "don't wait until it is in force everywhere")]
    no_follow: bool,
    #[options(no_short, help = "print JSON")]
    json: bool,
}

impl Add {
    pub(super) fn run(self, client: &Client) -> Result<(), Failure> {
        let row = parse_row(&self.row)?;
        let cells = self.cells.iter().map(|it| parse_entry(it)).collect::<Result<_, _>>()?;
        let run = Run {
            dry_run: self.dry_run,
            json: self.json,
            until: until(self.no_follow, Until::InForce),
        };
        run.change(client, vec![Edit::Add { row, cells }])
    }
}

fn parse_entry(text: &str) -> Result<Entry, Failure> {
    let Some((column, value)) = text.split_once('=') else {
        let reason = format!("`{text}` is no cell: expected COLUMN=VALUE, as weight=2");
        return Err(Failure::Usage(reason));
    };
    Ok(Entry { column: column.parse().map_err(usage)?, value: value.into() })
}

/// `table remove KIND/NAME`.
#[derive(Debug, Options)]
pub(super) struct Remove {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "KIND/NAME, as server/s10")]
    row: String,
    #[options(no_short, help = "only say what the change would touch")]
    dry_run: bool,
    #[options(no_short, help = "don't wait until it is in force everywhere")]
    no_follow: bool,
    #[options(no_short, help = "print JSON")]
    json: bool,
}

impl Remove {
    pub(super) fn run(self, client: &Client) -> Result<(), Failure> {
        let row = parse_row(&self.row)?;
        let run = Run {
            dry_run: self.dry_run,
            json: self.json,
            until: until(self.no_follow, Until::InForce),
        };
        run.change(client, vec![Edit::Remove { row }])
    }
}

/// `table import KIND FILE`.
#[derive(Debug, Options)]
pub(super) struct Import {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "kind of row: organisation, model or server")]
    kind: String,
    #[options(free, required, help = "file of comma-separated values")]
    file: String,
    #[options(no_short, help = "remove rows that the file lacks")]
    prune: bool,
    #[options(no_short, help = "only say what the change would touch")]
    dry_run: bool,
    #[options(no_short, help = "don't wait until it is in force everywhere")]
    no_follow: bool,
    #[options(no_short, help = "print JSON")]
    json: bool,
}

impl Import {
    pub(super) fn run(self, client: &Client) -> Result<(), Failure> {
        let kind = parse_kind(&self.kind)?;
        let text = fs::read_to_string(&self.file)
            .map_err(|it| Failure::Failed(format!("{}: {it}", self.file)))?;
        let outcome = client.import(kind, &text, self.prune, self.dry_run)?;
        let run = Run {
            dry_run: self.dry_run,
            json: self.json,
            until: until(self.no_follow, Until::InForce),
        };
        run.finish(client, &outcome)
    }
}

/// How a change is carried out.
#[derive(Clone, Copy, Debug)]
struct Run {
    dry_run: bool,
    json: bool,
    until: Until,
}

fn until(no_follow: bool, until: Until) -> Until {
    if no_follow { Until::Accepted } else { until }
}

impl Run {
    fn change(self, client: &Client, edits: Vec<Edit>) -> Result<(), Failure> {
        let change = api::Request { edits, dry_run: self.dry_run };
        let outcome = send(client, &change)?;
        self.finish(client, &outcome)
    }

    fn finish(self, client: &Client, outcome: &api::Outcome) -> Result<(), Failure> {
        if self.json {
            print_json(outcome)?;
        } else {
            print_outcome(outcome);
        }
        if outcome.accepted {
            follow::run(client, outcome.version, self.until, self.json)?;
        }
        Ok(())
    }
}

/// Sends `change`, again under the same key when its answer was lost: the server knows it by the
/// key, so that it is accepted once.
fn send(client: &Client, change: &api::Request) -> Result<api::Outcome, Failure> {
    let key = format!("{:032x}", random()?);
    let mut tries = 1;
    loop {
        let error = match client.change(change, &key) {
            Ok(outcome) => return Ok(outcome),
            Err(error) => error,
        };
        let lost = matches!(error.code(), None | Some(Code::ChangeUnknown));
        if !lost || MAX_TRIES <= tries {
            return Err(describe(error));
        }
        tries += 1;
    }
}

fn describe(error: shallotlead_admin::client::Error) -> Failure {
    let shallotlead_admin::client::Error::Refused(problem) = &error else { return error.into() };
    match (&problem.expected, &problem.found) {
        (Some(expected), Some(found)) => Failure::Failed(format!(
            "{error}\n  expected  {expected}\n  in force  {found}\nLook at `shallotlead table \
             history`, then set it again, or use --overwrite."
        )),
        _ => error.into(),
    }
}

fn random() -> Result<u128, Failure> {
    let mut bytes = [0; 16];
    getrandom::fill(&mut bytes).map_err(|it| Failure::Failed(it.to_string()))?;
    Ok(u128::from_be_bytes(bytes))
}

fn print_outcome(outcome: &api::Outcome) {
    let verb = if outcome.accepted { "accepted as" } else { "would be" };
    println!("{verb} version {}", outcome.version);
    if outcome.touched.is_empty() {
        println!("  nothing differs");
    }
    for touched in &outcome.touched {
        let show = |it: &Option<String>| match it.as_deref() {
            None => "(no row)".to_owned(),
            Some("") => "(empty)".to_owned(),
            Some(it) => it.to_owned(),
        };
        println!("  {}: {} -> {}", touched.cell, show(&touched.old), show(&touched.new));
    }
    for effect in &outcome.effects {
        println!("  effect: {effect}");
    }
}
