//! Reading rows and cells.

use gumdrop::Options;
use shallotlead_admin::{api, client::Client};
use shallotlead_table::row;

use crate::{
    columns::Columns,
    command::{
        Failure,
        operator::print_json,
        table::{parse_cell, parse_kind},
    },
};

/// `table show [KIND]`.
#[derive(Debug, Options)]
pub(super) struct Show {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "kind of row: organisation, model or server")]
    kind: Option<String>,
    #[options(no_short, help = "print JSON")]
    json: bool,
}

impl Show {
    pub(super) fn run(self, client: &Client) -> Result<(), Failure> {
        let kind = self.kind.as_deref().map(parse_kind).transpose()?;
        let table = client.table(kind)?;
        if self.json {
            return print_json(&table);
        }
        println!("version {}", table.version);
        for kind in row::Kind::ALL {
            print_rows(&table, kind);
        }
        Ok(())
    }
}

fn print_rows(table: &api::Table, kind: row::Kind) {
    let rows = table.rows.iter().filter(|it| it.row.kind == kind).collect::<Vec<_>>();
    if rows.is_empty() {
        return;
    }
    let titles = std::iter::once(kind.as_str()).chain(kind.columns().iter().map(|it| it.as_str()));
    let mut columns = Columns::new(titles);
    for row in rows {
        let cells = kind.columns().iter().map(|it| row.cells.get(it).map(|it| shorten(it)));
        let name = row.row.name.to_string();
        columns.push(std::iter::once(name).chain(cells.map(Option::unwrap_or_default)));
    }
    print!("\n{columns}");
}

/// Longest cell that is printed whole.
const MAX_CELL: usize = 24;

fn shorten(text: &str) -> String {
    if text.is_empty() {
        return "-".to_owned();
    }
    if text.chars().count() <= MAX_CELL {
        return text.to_owned();
    }
    text.chars().take(MAX_CELL - 1).chain(['…']).collect()
}

/// `table get KIND/NAME COLUMN`.
#[derive(Debug, Options)]
pub(super) struct Get {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "KIND/NAME, as organisation/umez")]
    row: String,
    #[options(free, required, help = "column, as weight")]
    column: String,
}

impl Get {
    pub(super) fn run(self, client: &Client) -> Result<(), Failure> {
        let cell = parse_cell(&self.row, &self.column)?;
        println!("{}", read(client, &cell)?);
        Ok(())
    }
}

/// The value of `cell` in force at the client's instance.
pub(super) fn read(
    client: &Client,
    cell: &shallotlead_table::cell::Cell,
) -> Result<String, Failure> {
    let table = client.table(Some(cell.row.kind))?;
    let row = table.rows.iter().find(|it| it.row == cell.row);
    let value = row.and_then(|it| it.cells.get(&cell.column));
    value.cloned().ok_or_else(|| Failure::Failed(format!("there is no row {}", cell.row)))
}

/// `table export KIND`.
#[derive(Debug, Options)]
pub(super) struct Export {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "kind of row: organisation, model or server")]
    kind: String,
}

impl Export {
    pub(super) fn run(self, client: &Client) -> Result<(), Failure> {
        print!("{}", client.export(parse_kind(&self.kind)?)?);
        Ok(())
    }
}
