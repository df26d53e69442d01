//! A rate that a server advertises in its answers for as long as it holds.

use std::time::Duration;

use shallotlead_base::time::Time;

/// How long after an announcement of a statement it is announced again, while the server still makes it, for instances
/// that have started since.
const REANNOUNCE_INTERVAL: Duration = Duration::from_secs(3);
/// Change of a rate, relative to the previous one, that is announced to other instances at once.
const NOTABLE_CHANGE: f64 = 0.1;

/// Whether two advertised rates differ by enough to matter.
pub fn is_notable_change(before: Option<f64>, after: Option<f64>) -> bool {
    match (before, after) {
        (Some(before), Some(after)) => NOTABLE_CHANGE * before < (after - before).abs(),
        (before, after) => before.is_some() != after.is_some(),
    }
}

/// What a server advertised last, here and to other instances.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Statement {
    latest: Option<Advertised>,
    /// What other instances learned of it last.
    announced: Option<Advertised>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Advertised {
    /// The rate, if the server advertises one.
    per_second: Option<f64>,
    /// When it did so.
    at: Time,
}

impl Statement {
    /// The rate, if the server advertises one.
    pub(super) fn per_second(&self) -> Option<f64> {
        self.latest?.per_second
    }

    /// Whether the server has said anything, also that there is no rate.
    pub(super) fn is_known(&self) -> bool {
        self.latest.is_some()
    }

    /// How long ago the server advertised it.
    pub(super) fn age(&self, now: Time) -> Duration {
        self.latest.map_or(Duration::ZERO, |it| now.since(it.at))
    }

    /// Applies what the server advertised `at`, if it is the latest. Returns whether it is.
    pub(super) fn apply(&mut self, at: Time, per_second: Option<f64>) -> bool {
        if self.latest.is_some_and(|it| at <= it.at) {
            return false;
        }
        self.latest = Some(Advertised { per_second, at });
        true
    }

    /// Whether other instances should learn of the latest, made `at`; if so, it counts as announced.
    pub(super) fn take_news(&mut self, at: Time) -> bool {
        let per_second = self.per_second();
        let is_news = match self.announced {
            None => per_second.is_some(),
            Some(announced) => {
                let is_due = per_second.is_some() && REANNOUNCE_INTERVAL <= at.since(announced.at);
                is_due || is_notable_change(announced.per_second, per_second)
            }
        };
        if is_news {
            self.mark_announced();
        }
        is_news
    }

    /// Records that other instances know the latest.
    pub(super) fn mark_announced(&mut self) {
        self.announced = self.latest;
    }
}
