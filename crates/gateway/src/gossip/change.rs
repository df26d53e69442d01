//! What becomes of an instance in the eyes of another one.

use std::{sync::Arc, time::Duration};

/// Who gave the last evidence that an instance lives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// The instance itself.
    Itself,
    /// Another instance.
    Instance,
    /// Its record in the store.
    Record,
}

impl Source {
    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Itself => "itself",
            Self::Instance => "instance",
            Self::Record => "record",
        }
    }
}

/// What an instance is held to be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Status {
    /// It was heard of lately.
    Alive,
    /// It has been silent for too long.
    Dead,
    /// It has been silent for so long that nothing is known of it any more.
    Forgotten,
}

impl Status {
    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Dead => "dead",
            Self::Forgotten => "forgotten",
        }
    }
}

/// An instance is held to be something else than before.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// Its name.
    pub name: Arc<str>,
    /// What it is held to be now.
    pub status: Status,
    /// Who gave the last evidence of its life.
    pub source: Source,
    /// How old that is.
    pub silent: Duration,
}
