//! Changes of an instance's status as another instance sees it.

use std::{sync::Arc, time::Duration};

/// Origin of the latest evidence that an instance is alive.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// The instance itself.
    Itself,
    /// Another instance.
    Instance,
    /// The instance's record in the store.
    Record,
}

impl Source {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Itself => "itself",
            Self::Instance => "instance",
            Self::Record => "record",
        }
    }
}

/// Liveness of an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Status {
    /// Heard of recently.
    Alive,
    /// Silent for longer than the failure timeout.
    Dead,
    /// Silent for so long that it has been removed.
    Forgotten,
}

impl Status {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Dead => "dead",
            Self::Forgotten => "forgotten",
        }
    }
}

/// A change of an instance's status.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Its new status.
    pub status: Status,
    /// Origin of the latest evidence that it was alive.
    pub source: Source,
    /// Age of that evidence.
    pub silent: Duration,
}
