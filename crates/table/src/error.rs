//! Errors of table operations.

use shallotlead_base::code::Code;
use thiserror::Error;

use crate::{cell::Cell, column::Column, row};

/// Why a table operation failed.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum Error {
    /// No such kind of row.
    #[error("there is no kind of row `{0}`: expected organisation, model or server")]
    KindUnknown(String),
    /// No such column.
    #[error("there is no column `{0}`: expected one of {columns}", columns = list(Column::ALL))]
    ColumnUnknown(String),
    /// The kind of row doesn't have the column.
    #[error("a row of kind {kind} has no column {column}: it has {}", list(kind.columns()))]
    ColumnForeign {
        /// The kind.
        kind: row::Kind,
        /// The column.
        column: Column,
    },
    /// The name has bad characters or length.
    #[error("`{0}` can't name a row: expected 1 to 100 of a-z, A-Z, 0-9, `-`, `_`, `.`")]
    NameInvalid(String),
    /// No such row.
    #[error("there is no row {0}")]
    RowUnknown(row::Key),
    /// The row exists already.
    #[error("the row {0} exists already")]
    RowExists(row::Key),
    /// Other rows refer to the row.
    #[error("the row {row} is in use by {user}")]
    RowInUse {
        /// The row.
        row: row::Key,
        /// A row that refers to it.
        user: row::Key,
    },
    /// The value doesn't fit.
    #[error("`{value}` doesn't fit {cell}: expected {}", cell.column.help())]
    ValueInvalid {
        /// The cell.
        cell: Cell,
        /// The value.
        value: String,
    },
    /// The value names a row that doesn't exist.
    #[error("{cell} names {missing}, which doesn't exist")]
    ReferenceUnknown {
        /// The cell.
        cell: Cell,
        /// The missing row.
        missing: row::Key,
    },
    /// Someone else changed the cell.
    #[error("{cell} was changed by someone else: expected `{expected}`, found `{found}`")]
    Conflict {
        /// The cell.
        cell: Cell,
        /// The value that the change was based on.
        expected: String,
        /// The value in force.
        found: String,
    },
    /// The cell changed too often meanwhile.
    #[error("the table is being changed too often, nothing was changed: try again")]
    Contended,
    /// The platform can't be reached; nothing changed.
    #[error("the platform's service is unavailable, nothing was changed: try again in {} ms", retry_after.as_millis())]
    Unavailable {
        /// When to try again.
        retry_after: std::time::Duration,
    },
    /// The answer to the write was lost and can't be read back.
    #[error(
        "the change may or may not have been accepted: look at the history before trying again"
    )]
    Unknown,
    /// A stored object can't be decoded.
    #[error("the stored object {name} can't be decoded: {reason}")]
    Stored {
        /// Its name.
        name: String,
        /// Why.
        reason: String,
    },
    /// A sheet can't be read.
    #[error("line {line} of the sheet: {reason}")]
    Sheet {
        /// The line, from 1.
        line: u64,
        /// Why.
        reason: String,
    },
    /// The table would no longer fit the platform's objects.
    #[error("the change is too large: {bytes} bytes, at most {max}")]
    TooLarge {
        /// Its size.
        bytes: usize,
        /// The bound.
        max: usize,
    },
}

impl Error {
    /// The result code that goes with the error.
    pub const fn code(&self) -> Code {
        match self {
            Error::KindUnknown(_)
            | Error::ColumnUnknown(_)
            | Error::ColumnForeign { .. }
            | Error::RowUnknown(_) => Code::CellUnknown,
            Error::NameInvalid(_)
            | Error::ValueInvalid { .. }
            | Error::ReferenceUnknown { .. }
            | Error::Sheet { .. }
            | Error::TooLarge { .. } => Code::CellInvalid,
            Error::RowExists(_) | Error::RowInUse { .. } | Error::Conflict { .. } => {
                Code::CellConflict
            }
            Error::Contended | Error::Unavailable { .. } => Code::PlatformUnavailable,
            Error::Unknown => Code::ChangeUnknown,
            Error::Stored { .. } => Code::StoredInvalid,
        }
    }
}

fn list(columns: &[Column]) -> String {
    columns.iter().map(|it| it.as_str()).collect::<Vec<_>>().join(", ")
}
