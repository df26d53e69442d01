//! Accepted changes, past and present.

use std::time::Duration;

use gumdrop::Options;
use shallotlead_admin::client::Client;
use shallotlead_base::id::Version;
use shallotlead_table::change::{Change, Edit};

use crate::command::{Failure, operator::print_json};

const WAIT: Duration = Duration::from_secs(20);

/// `table history`.
#[derive(Debug, Options)]
pub(super) struct History {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, meta = "VERSION", help = "only changes after this version")]
    after: u64,
    #[options(no_short, help = "print JSON, one line a change")]
    json: bool,
}

impl History {
    pub(super) fn run(self, client: &Client) -> Result<(), Failure> {
        let history = client.changes(Version(self.after), Duration::ZERO)?;
        history.changes.iter().try_for_each(|it| print(it, self.json))
    }
}

/// `table watch`.
#[derive(Debug, Options)]
pub(super) struct Watch {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "print JSON, one line a change")]
    json: bool,
}

impl Watch {
    pub(super) fn run(self, client: &Client) -> Result<(), Failure> {
        let mut seen = client.table(None)?.version;
        if !self.json {
            println!("in force: version {seen}; waiting for changes, Ctrl-C ends");
        }
        loop {
            let history = client.changes(seen, WAIT)?;
            let in_force = history.changes.iter().filter(|it| it.version <= history.version);
            for change in in_force {
                print(change, self.json)?;
                seen = change.version;
            }
        }
    }
}

fn print(change: &Change, json: bool) -> Result<(), Failure> {
    if json {
        return print_json(change);
    }
    let proposal = &change.proposal;
    println!("version {} by {} at {}", change.version, proposal.operator, utc(proposal.at));
    for edit in &proposal.edits {
        match edit {
            Edit::Set { cell, expected: Some(old), value } => {
                println!("  {cell}: {old} -> {value}")
            }
            Edit::Set { cell, expected: None, value } => println!("  {cell}: -> {value}"),
            Edit::Add { row, .. } => println!("  added {row}"),
            Edit::Remove { row } => println!("  removed {row}"),
        }
    }
    Ok(())
}

const DAY: u64 = 86_400;

/// `millis` since the Unix epoch as date and time of day in UTC.
fn utc(millis: u64) -> String {
    let seconds = millis / 1_000;
    let (days, rest) = (seconds / DAY, seconds % DAY);
    let (year, month, day) = civil(days);
    let (hour, minute, second) = (rest / 3_600, rest / 60 % 60, rest % 60);
    format!("{year:04}-{month:02}-{day:02} {hour:02}:{minute:02}:{second:02} UTC")
}

/// Date of the day `days` after 1970-01-01 (Hinnant, "chrono-compatible low-level date algorithms").
fn civil(days: u64) -> (u64, u64, u64) {
    let shifted = days + 719_468;
    let era = shifted / 146_097;
    let day_of_era = shifted % 146_097;
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let shifted_month = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * shifted_month + 2) / 5 + 1;
    let month = if shifted_month < 10 { shifted_month + 3 } else { shifted_month - 9 };
    let year = year_of_era + era * 400 + u64::from(month <= 2);
    (year, month, day)
}
