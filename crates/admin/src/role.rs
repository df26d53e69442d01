//! Roles of operators, and what each may do.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use shallotlead_table::{change::Edit, column::Column};

/// What an operator may do. Each role includes the ones before it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Reads the table without key hashes, status, figures and decisions.
    Viewer,
    /// Also sets weights, limits, prices and priorities of rows that exist.
    Tuner,
    /// Also adds and removes rows, and sets every cell.
    Manager,
}

impl Role {
    const ALL: [Role; 3] = [Role::Viewer, Role::Tuner, Role::Manager];

    /// The role as text.
    pub const fn as_str(self) -> &'static str {
        match self {
            Role::Viewer => "viewer",
            Role::Tuner => "tuner",
            Role::Manager => "manager",
        }
    }

    /// The role that `edit` needs.
    pub fn needed(edit: &Edit) -> Role {
        match edit {
            Edit::Set { cell, .. } if is_tunable(cell.column) => Role::Tuner,
            Edit::Set { .. } | Edit::Add { .. } | Edit::Remove { .. } => Role::Manager,
        }
    }
}

fn is_tunable(column: Column) -> bool {
    matches!(
        column,
        Column::Weight
            | Column::RequestsPerSecond
            | Column::TokensPerMinute
            | Column::Concurrency
            | Column::MaxPriority
            | Column::RecomputePrice
            | Column::FirstTokenTargetMs
    )
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

/// A text that names no role.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("there is no role `{0}`: expected viewer, tuner or manager")]
pub struct Unknown(String);

impl FromStr for Role {
    type Err = Unknown;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.into_iter().find(|it| it.as_str() == text);
        found.ok_or_else(|| Unknown(text.to_owned()))
    }
}
