//! Why requests are refused as not run.

use std::time::Duration;

use crate::{catalog::Denial, placement::Shortage};

/// When a caller that was refused for want of a server should come back.
const RETRY_AFTER: Duration = Duration::from_millis(300);
/// When a caller that came before any configuration was known should come back.
const STARTING_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Why a request ends without a backend server's answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Refusal {
    /// No configuration is known yet.
    Starting,
    /// The instance is shutting down.
    Leaving,
    /// No route matches.
    NoRoute,
    /// It carries no known key.
    NoKey,
    /// It carries no id.
    NoId,
    /// No server can take it.
    Shortage(Shortage),
    /// Every server would begin with it too late.
    Overload {
        /// When it may come back.
        after: Duration,
        /// How long it would wait at the best server.
        wait: Duration,
    },
    /// It has crashed the servers that ran it.
    Quarantined {
        /// How long that is held against it.
        after: Duration,
    },
    /// Servers turned it away, and no try is left.
    Declined,
    /// Its time ran out before it was sent.
    TimeOut,
}

impl Refusal {
    /// The status that tells the caller.
    pub(crate) fn status(self) -> u16 {
        match self {
            Self::NoRoute => 404,
            Self::NoKey => 401,
            Self::NoId => 400,
            Self::Starting
            | Self::Leaving
            | Self::Shortage(_)
            | Self::Overload { .. }
            | Self::Quarantined { .. }
            | Self::Declined
            | Self::TimeOut => 503,
        }
    }

    /// Its name in logs and metrics.
    pub(crate) fn reason(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Leaving => "leaving",
            Self::NoRoute => "no-route",
            Self::NoKey => "no-key",
            Self::NoId => "no-id",
            Self::Shortage(Shortage::NoServer) => "no-server",
            Self::Shortage(Shortage::NoneReady) => "none-ready",
            Self::Shortage(Shortage::OldWeights) => "old-weights",
            Self::Shortage(Shortage::Limited { .. }) => "rate-limited",
            Self::Overload { .. } => "overload",
            Self::Quarantined { .. } => "quarantined",
            Self::Declined => "turned-away",
            Self::TimeOut => "time-out",
        }
    }

    /// How long the request would wait, where that decided.
    pub(crate) fn expected_wait(self) -> Duration {
        match self {
            Self::Overload { wait, .. } => wait,
            _ => Duration::ZERO,
        }
    }

    /// When the caller should come back, if that can help.
    pub(crate) fn retry_after(self) -> Option<Duration> {
        match self {
            Self::NoRoute | Self::NoKey | Self::NoId => None,
            Self::Starting => Some(STARTING_RETRY_AFTER),
            Self::Leaving => Some(Duration::ZERO),
            Self::Overload { after, .. } | Self::Quarantined { after } => Some(after),
            Self::Shortage(Shortage::Limited { after }) => Some(after.max(RETRY_AFTER)),
            Self::Shortage(_) | Self::Declined | Self::TimeOut => Some(RETRY_AFTER),
        }
    }
}

impl From<Denial> for Refusal {
    fn from(it: Denial) -> Self {
        match it {
            Denial::NoRoute => Self::NoRoute,
            Denial::NoKey => Self::NoKey,
        }
    }
}
