//! Reasons for which requests are refused as not run.

use std::time::Duration;

use crate::{config::Denial, placement::Shortage};

/// After which time a caller should retry that was refused because no server was available.
pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(300);
/// The longest time after which a caller should retry that was refused because no server wants requests for a while.
/// Another server may join before.
const MAX_BACKOFF_RETRY_AFTER: Duration = Duration::from_secs(5);
/// After which time a caller should retry that was refused because no configuration was known.
const STARTING_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Refusal {
    /// No configuration is known yet.
    Starting,
    /// The instance is shutting down.
    ShuttingDown,
    /// No route matches the request.
    NoRoute,
    /// The request has no valid API key.
    NoKey,
    /// The request has no request id.
    NoId,
    /// No server can take the request.
    Shortage(Shortage),
    /// No server would serve the caller, or one right behind it, in time.
    Overload {
        /// After which time the caller should retry.
        after: Duration,
        /// How long the request would wait at the best server.
        wait: Duration,
    },
    /// The request is in quarantine, since it crashed servers that ran it.
    Quarantined {
        /// Remaining time in quarantine.
        after: Duration,
    },
    /// This instance reaches no server, and no other instance has taken the request.
    OutOfReach {
        /// After which time the caller should retry.
        after: Duration,
    },
    /// It isn't known which build began the stream that the request takes up.
    UnknownBuild,
    /// The organisation's quota is used up.
    OverQuota {
        /// After which time the caller should retry.
        after: Duration,
    },
    /// The memory for requests is used up.
    NoMemory,
    /// The descriptors for callers' connections are used up.
    NoConnection,
    /// Servers declined the request, and no further attempt is allowed.
    Declined,
    /// The deadline passed before the request was sent.
    TimeOut,
}

impl Refusal {
    /// The status code of the answer.
    pub(crate) fn status(self) -> u16 {
        match self {
            Self::NoRoute => 404,
            Self::NoKey => 401,
            Self::NoId => 400,
            Self::OverQuota { .. } => 429,
            Self::Starting
            | Self::ShuttingDown
            | Self::Shortage(_)
            | Self::Overload { .. }
            | Self::Quarantined { .. }
            | Self::OutOfReach { .. }
            | Self::UnknownBuild
            | Self::NoMemory
            | Self::NoConnection
            | Self::Declined
            | Self::TimeOut => 503,
        }
    }

    /// Its name in answers, logs and metrics.
    pub(crate) fn reason(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::ShuttingDown => "leaving",
            Self::NoRoute => "no-route",
            Self::NoKey => "no-key",
            Self::NoId => "no-id",
            Self::Shortage(Shortage::NoServer) => "no-server",
            Self::Shortage(Shortage::BackedOff { .. }) => "backed-off",
            Self::Shortage(Shortage::Draining) => "draining",
            Self::Shortage(Shortage::NoBuild) => "no-build",
            Self::Shortage(Shortage::NoneReady) => "none-ready",
            Self::Shortage(Shortage::StaleWeights) => "old-weights",
            Self::Shortage(Shortage::Limited { .. }) => "rate-limited",
            Self::Shortage(Shortage::Overloaded { .. }) => "servers-at-risk",
            Self::Overload { .. } => "overload",
            Self::Quarantined { .. } => "quarantined",
            Self::OutOfReach { .. } => "out-of-reach",
            Self::UnknownBuild => "unknown-build",
            Self::OverQuota { .. } => "over-quota",
            Self::NoMemory => "no-memory",
            Self::NoConnection => "no-connection",
            Self::Declined => "turned-away",
            Self::TimeOut => "time-out",
        }
    }

    /// How long the request would have waited, if it was refused for that; otherwise zero.
    pub(crate) fn expected_wait(self) -> Duration {
        match self {
            Self::Overload { wait, .. } => wait,
            _ => Duration::ZERO,
        }
    }

    /// After which time the caller should retry, if that can help.
    pub(crate) fn retry_after(self) -> Option<Duration> {
        match self {
            Self::NoRoute | Self::NoKey | Self::NoId => None,
            Self::Starting => Some(STARTING_RETRY_AFTER),
            Self::ShuttingDown => Some(Duration::ZERO),
            Self::Overload { after, .. }
            | Self::Quarantined { after }
            | Self::OutOfReach { after }
            | Self::OverQuota { after } => Some(after),
            Self::Shortage(Shortage::BackedOff { after }) => {
                Some(after.clamp(RETRY_AFTER, MAX_BACKOFF_RETRY_AFTER))
            }
            Self::Shortage(Shortage::Limited { after } | Shortage::Overloaded { after }) => {
                Some(after.max(RETRY_AFTER))
            }
            Self::Shortage(_)
            | Self::UnknownBuild
            | Self::NoMemory
            | Self::NoConnection
            | Self::Declined
            | Self::TimeOut => Some(RETRY_AFTER),
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
