//! How long streams may live.

use std::time::Duration;

use shallotlead_base::time::Time;

/// Least time for which the build of a stream is remembered.
const MIN_RETENTION: Duration = Duration::from_secs(30);
/// Number of attempts of the longest kind that a caller may make one after the other for one stream.
const ATTEMPTS: u32 = 2;

/// The longest time that streams may live, across changes of the configuration.
#[derive(Debug, Default)]
pub struct Lifetime {
    /// The longest attempt that the configuration allows.
    longest: Duration,
    /// A longer retention, which holds until then for streams that began under it.
    former: Option<(Time, Duration)>,
}

impl Lifetime {
    /// Sets the longest time that an attempt of a stream may take from now on.
    pub fn replace(&mut self, now: Time, longest: Duration) {
        if longest < self.longest {
            let retention = self.retention(now);
            self.former = Some((now + retention, retention));
        }
        self.longest = longest;
    }

    /// How long the build of a stream has to be remembered.
    pub fn retention(&self, now: Time) -> Duration {
        let retention = (self.longest * ATTEMPTS).max(MIN_RETENTION);
        let former = self.former.filter(|it| now < it.0);
        former.map_or(retention, |it| retention.max(it.1))
    }
}
