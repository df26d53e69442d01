//! Changes to the table.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use shallotlead_base::id::Version;

use crate::{cell::Cell, column::Column, row};

/// One edit.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Edit {
    /// Gives a cell a new value.
    Set {
        /// The cell.
        cell: Cell,
        /// The value that the operator saw; the edit conflicts when another is in force. `None`
        /// overwrites whatever is there.
        expected: Option<Arc<str>>,
        /// The new value.
        value: Arc<str>,
    },
    /// Adds a row; cells that aren't named have their defaults.
    Add {
        /// The row.
        row: row::Key,
        /// Its cells.
        cells: Vec<Entry>,
    },
    /// Removes a row.
    Remove {
        /// The row.
        row: row::Key,
    },
}

impl Edit {
    /// The row that the edit touches.
    pub const fn row(&self) -> &row::Key {
        match self {
            Edit::Set { cell, .. } => &cell.row,
            Edit::Add { row, .. } | Edit::Remove { row } => row,
        }
    }
}

/// A cell's value within a row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// The column.
    pub column: Column,
    /// The value.
    pub value: Arc<str>,
}

/// A change as proposed: its edits are accepted together or not at all.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Proposal {
    /// Random number that tells this change from every other one. It settles a write whose answer
    /// was lost.
    pub id: u128,
    /// Who proposes it.
    pub operator: Arc<str>,
    /// When, in milliseconds since the Unix epoch by the proposer's clock; for people only.
    pub at: u64,
    /// The edits, in order.
    pub edits: Vec<Edit>,
}

/// An accepted change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// The table's version from this change on.
    pub version: Version,
    /// What was proposed.
    pub proposal: Proposal,
}
