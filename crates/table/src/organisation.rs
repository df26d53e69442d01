//! Rows of organisations.

use serde::{Deserialize, Serialize};
use shallotlead_base::name;

use crate::{
    cell::{Misfit, join, parse_list, parse_within},
    column::Column,
    limit::{Limits, MAX_WEIGHT},
};

/// One organisation.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Organisation {
    /// Its name, the row's key.
    pub name: name::Organisation,
    /// Share of work under contention, relative to the other organisations' weights.
    pub weight: f64,
    /// Its limits.
    pub limits: Limits,
    /// Highest priority that its callers may ask for, 0 (bulk) to 9 (urgent).
    pub max_priority: u8,
    /// Models it may use; empty means all.
    pub models: Vec<name::Model>,
    /// SHA-256 of each of its API keys, in lowercase hexadecimal.
    pub key_hashes: Vec<String>,
}

/// Columns of an organisation's row.
pub const COLUMNS: &[Column] = &[
    Column::Weight,
    Column::RequestsPerSecond,
    Column::TokensPerMinute,
    Column::Concurrency,
    Column::MaxPriority,
    Column::Models,
    Column::KeyHashes,
];

const HASH_DIGITS: usize = 64;

impl Organisation {
    /// A row with default cells.
    pub fn new(name: name::Organisation) -> Self {
        Self {
            name,
            weight: 1.0,
            limits: Limits::default(),
            max_priority: 5,
            models: Vec::new(),
            key_hashes: Vec::new(),
        }
    }

    pub(crate) fn get(&self, column: Column) -> Option<String> {
        match column {
            Column::Weight => Some(self.weight.to_string()),
            Column::MaxPriority => Some(self.max_priority.to_string()),
            Column::Models => Some(join(&self.models)),
            Column::KeyHashes => Some(join(&self.key_hashes)),
            _ => self.limits.get(column),
        }
    }

    pub(crate) fn set(&mut self, column: Column, text: &str) -> Result<(), Misfit> {
        match column {
            Column::Weight => self.weight = parse_within(text, 0.0, MAX_WEIGHT)?,
            Column::MaxPriority => self.max_priority = parse_within(text, 0, 9)?,
            Column::Models => self.models = parse_list(text),
            Column::KeyHashes => self.key_hashes = parse_hashes(text)?,
            _ => return self.limits.set(column, text),
        }
        Ok(())
    }
}

fn parse_hashes(text: &str) -> Result<Vec<String>, Misfit> {
    let hashes = parse_list::<String>(text);
    let fits = |it: &String| {
        it.len() == HASH_DIGITS && it.bytes().all(|it| matches!(it, b'0'..=b'9' | b'a'..=b'f'))
    };
    if hashes.iter().all(fits) { Ok(hashes) } else { Err(Misfit) }
}
