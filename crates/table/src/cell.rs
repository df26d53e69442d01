//! Cells: their addresses, and conversion of values from and to text.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{column::Column, error::Error, limit::Limits, row};

/// Address of a cell.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Cell {
    /// Its row.
    pub row: row::Key,
    /// Its column.
    pub column: Column,
}

impl Cell {
    /// The cell of `column` in `row`; fails when such rows don't have the column.
    pub fn new(row: row::Key, column: Column) -> Result<Self, Error> {
        if !row.kind.columns().contains(&column) {
            return Err(Error::ColumnForeign { kind: row.kind, column });
        }
        Ok(Self { row, column })
    }
}

impl fmt::Display for Cell {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.row, self.column)
    }
}

/// A value that doesn't fit its cell.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Misfit;

pub(crate) fn parse<T: FromStr>(text: &str) -> Result<T, Misfit> {
    text.trim().parse().map_err(|_| Misfit)
}

pub(crate) fn parse_within<T: FromStr + PartialOrd>(
    text: &str,
    min: T,
    max: T,
) -> Result<T, Misfit> {
    let value = parse::<T>(text)?;
    // A float that isn't a number fails both comparisons.
    if min <= value && value <= max { Ok(value) } else { Err(Misfit) }
}

pub(crate) fn parse_list<T: for<'a> From<&'a str>>(text: &str) -> Vec<T> {
    text.split_whitespace().map(T::from).collect()
}

pub(crate) fn join(items: impl IntoIterator<Item = impl fmt::Display>) -> String {
    items.into_iter().map(|it| it.to_string()).collect::<Vec<_>>().join(" ")
}

const MAX_RATE: f64 = 1e12;

impl Limits {
    pub(crate) fn get(&self, column: Column) -> Option<String> {
        match column {
            Column::RequestsPerSecond => Some(optional(self.requests_per_second)),
            Column::TokensPerMinute => Some(optional(self.tokens_per_minute)),
            Column::Concurrency => Some(optional(self.concurrency)),
            _ => None,
        }
    }

    pub(crate) fn set(&mut self, column: Column, text: &str) -> Result<(), Misfit> {
        match column {
            Column::RequestsPerSecond => self.requests_per_second = parse_limit(text, MAX_RATE)?,
            Column::TokensPerMinute => self.tokens_per_minute = parse_limit(text, MAX_RATE)?,
            Column::Concurrency => self.concurrency = parse_limit(text, u32::MAX)?,
            _ => return Err(Misfit),
        }
        Ok(())
    }
}

fn optional(value: Option<impl fmt::Display>) -> String {
    value.map(|it| it.to_string()).unwrap_or_default()
}

fn parse_limit<T: Default + FromStr + PartialOrd>(text: &str, max: T) -> Result<Option<T>, Misfit> {
    if text.trim().is_empty() {
        return Ok(None);
    }
    parse_within(text, T::default(), max).map(Some)
}
