//! Import and export of one kind of row as comma-separated values, as a spreadsheet writes them.

use std::{collections::BTreeSet, str::FromStr};

use crate::{
    cell::Cell,
    change::{Edit, Entry},
    column::Column,
    error::Error,
    row,
    snapshot::Snapshot,
};

const NAME: &str = "name";

/// All rows of `kind` as comma-separated values, with a header line.
pub fn export(snapshot: &Snapshot, kind: row::Kind) -> Result<String, Error> {
    let mut writer = csv::Writer::from_writer(Vec::new());
    let header = std::iter::once(NAME).chain(kind.columns().iter().map(|it| it.as_str()));
    writer.write_record(header).map_err(misread)?;
    for name in snapshot.names(kind) {
        let row = row::Key::new(kind, name)?;
        let mut record = vec![name.to_owned()];
        for column in kind.columns() {
            record.push(snapshot.get(&Cell::new(row.clone(), *column)?)?);
        }
        writer.write_record(&record).map_err(misread)?;
    }
    let bytes = writer.into_inner().map_err(|it| fault(0, it.to_string()))?;
    String::from_utf8(bytes).map_err(|it| fault(0, it.to_string()))
}

/// The edits that bring the rows of `kind` to what `text` says: cells that differ are set, expecting
/// the present value; rows that are new are added; with `prune`, rows that are missing are removed.
/// Columns that the sheet doesn't have stay as they are.
pub fn import(
    snapshot: &Snapshot,
    kind: row::Kind,
    text: &str,
    prune: bool,
) -> Result<Vec<Edit>, Error> {
    let mut reader = csv::ReaderBuilder::new().trim(csv::Trim::All).from_reader(text.as_bytes());
    let columns = read_header(reader.headers().map_err(misread)?, kind)?;
    let present = snapshot.names(kind).into_iter().collect::<BTreeSet<_>>();
    let mut seen = BTreeSet::new();
    let mut edits = Vec::new();
    for record in reader.records() {
        let record = record.map_err(misread)?;
        let line = record.position().map_or(0, csv::Position::line);
        let name = record.get(0).unwrap_or_default();
        let row = row::Key::new(kind, name).map_err(|it| fault(line, it.to_string()))?;
        if !seen.insert(name.to_owned()) {
            return Err(fault(line, format!("the row {row} stands twice")));
        }
        let values = columns.iter().copied().zip(record.iter().skip(1));
        if present.contains(name) {
            edits.extend(read_present(snapshot, &row, values)?);
        } else {
            let entry = |(column, value): (Column, &str)| Entry { column, value: value.into() };
            edits.push(Edit::Add { row, cells: values.map(entry).collect() });
        }
    }
    if prune {
        for name in present.into_iter().filter(|it| !seen.contains(*it)) {
            edits.push(Edit::Remove { row: row::Key::new(kind, name)? });
        }
    }
    Ok(edits)
}

fn read_header(header: &csv::StringRecord, kind: row::Kind) -> Result<Vec<Column>, Error> {
    if header.get(0) != Some(NAME) {
        return Err(fault(1, format!("expected `{NAME}` as the first column")));
    }
    let read = |text: &str| {
        let column = Column::from_str(text).map_err(|it| fault(1, it.to_string()))?;
        if kind.columns().contains(&column) {
            return Ok(column);
        }
        Err(fault(1, Error::ColumnForeign { kind, column }.to_string()))
    };
    let columns = header.iter().skip(1).map(read).collect::<Result<Vec<_>, _>>()?;
    let distinct = columns.iter().collect::<BTreeSet<_>>();
    if distinct.len() != columns.len() {
        return Err(fault(1, "a column stands twice".to_owned()));
    }
    Ok(columns)
}

fn read_present<'a>(
    snapshot: &Snapshot,
    row: &row::Key,
    values: impl Iterator<Item = (Column, &'a str)>,
) -> Result<Vec<Edit>, Error> {
    let mut edits = Vec::new();
    for (column, value) in values {
        let cell = Cell::new(row.clone(), column)?;
        let found = snapshot.get(&cell)?;
        if found != value {
            let expected = Some(found.into());
            edits.push(Edit::Set { cell, expected, value: value.into() });
        }
    }
    Ok(edits)
}

fn misread(error: csv::Error) -> Error {
    let line = error.position().map_or(0, csv::Position::line);
    fault(line, error.to_string())
}

fn fault(line: u64, reason: String) -> Error {
    Error::Sheet { line, reason }
}
