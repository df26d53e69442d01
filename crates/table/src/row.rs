//! Keys of rows.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{column::Column, error::Error};

/// Longest name of a row, in bytes.
pub const MAX_NAME: usize = 100;

/// What a row describes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// An organisation.
    Organisation,
    /// A model or plain service.
    Model,
    /// A backend server.
    Server,
}

impl Kind {
    /// All kinds, in the order in which tables are shown.
    pub const ALL: [Kind; 3] = [Kind::Organisation, Kind::Model, Kind::Server];

    /// The kind as text.
    pub const fn as_str(self) -> &'static str {
        match self {
            Kind::Organisation => "organisation",
            Kind::Model => "model",
            Kind::Server => "server",
        }
    }

    /// Columns of the kind's rows.
    pub const fn columns(self) -> &'static [Column] {
        match self {
            Kind::Organisation => crate::organisation::COLUMNS,
            Kind::Model => crate::model::COLUMNS,
            Kind::Server => crate::server::COLUMNS,
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

impl FromStr for Kind {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.into_iter().find(|it| it.as_str() == text);
        found.ok_or_else(|| Error::KindUnknown(text.to_owned()))
    }
}

/// Key of a row.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Key {
    /// What the row describes.
    pub kind: Kind,
    /// The row's name within its kind.
    pub name: Arc<str>,
}

impl Key {
    /// The key of the row `name`; fails when the name isn't allowed.
    pub fn new(kind: Kind, name: &str) -> Result<Self, Error> {
        let allowed = |it: char| it.is_ascii_alphanumeric() || "-_.".contains(it);
        if name.is_empty() || MAX_NAME < name.len() || !name.chars().all(allowed) {
            return Err(Error::NameInvalid(name.to_owned()));
        }
        Ok(Self { kind, name: Arc::from(name) })
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}
