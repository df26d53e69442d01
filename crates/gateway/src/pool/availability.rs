//! Whether requests may be sent to a server.

use shallotlead_base::time::Time;

use crate::pool::{Presence, Server};

/// Why no request may be sent to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unavailability {
    /// It has ended or is no longer registered.
    Gone,
    /// It only finishes running requests.
    Draining,
    /// It wants no requests for a while.
    BackedOff {
        /// Until when.
        until: Time,
    },
    /// It is ejected until a probe succeeds.
    Ejected,
    /// It is loading weights and would decline requests.
    Loading,
}

impl Unavailability {
    /// Names of the reasons why a listed server gets no requests.
    pub(crate) const LISTED: [&str; 4] = ["draining", "backed-off", "left-out", "loading"];

    /// Its name in metrics.
    pub(crate) fn name(self) -> &'static str {
        let [draining, backed_off, ejected, loading] = Self::LISTED;
        match self {
            Self::Gone => "gone",
            Self::Draining => draining,
            Self::BackedOff { .. } => backed_off,
            Self::Ejected => ejected,
            Self::Loading => loading,
        }
    }
}

impl Server {
    /// Whether a request may be sent to it now; if not, the most lasting reason.
    pub fn check(&self, now: Time) -> Result<(), Unavailability> {
        let backed_off_until = self.backoff.ends_at(now);
        match (self.presence, backed_off_until) {
            (Presence::Gone, _) => Err(Unavailability::Gone),
            (Presence::Draining, _) => Err(Unavailability::Draining),
            (Presence::Ready, Some(until)) => Err(Unavailability::BackedOff { until }),
            _ if !self.health.is_in_rotation() => Err(Unavailability::Ejected),
            _ if self.is_switching(now) => Err(Unavailability::Loading),
            _ => Ok(()),
        }
    }

    /// Whether a request may be sent to it now.
    pub fn is_available(&self, now: Time) -> bool {
        self.check(now).is_ok()
    }
}
