//! The limits on callers' requests, across changes of the configuration.

use std::time::Duration;

use shallotlead_base::time::Time;

use crate::config::Limits;

/// Time from a change of the idle limit in which callers may not know of it: this instance may read it before they
/// are told.
const NOTICE_TIME: Duration = Duration::from_secs(3);
/// Time that is added to the idle limit before an idle connection is closed, so that a request that the
/// caller sends just within the limit doesn't cross the close.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// The limits in force, and those before that still matter.
#[derive(Debug, Default)]
pub struct History {
    current: Limits,
    /// Former limits, oldest first, each with the time at which it was replaced.
    former: Vec<(Time, Limits)>,
}

impl History {
    /// Puts `limits` in force.
    pub fn replace(&mut self, now: Time, limits: Limits) {
        let former = std::mem::replace(&mut self.current, limits);
        if former.most_generous(limits) == limits {
            return;
        }
        self.former.retain(|it| it.1.most_generous(former) != former);
        self.former.push((now, former));
    }

    /// Forgets limits that no longer matter to any connection.
    pub fn expire(&mut self, now: Time) {
        self.former.retain(|(replaced, it)| {
            let longest_use = it.head_timeout + it.idle_timeout + IDLE_MARGIN;
            now.since(*replaced) <= NOTICE_TIME + longest_use
        });
    }

    /// The limits for a request that began to arrive at `time`: the most generous of those in force since then.
    pub fn since(&self, time: Time) -> Limits {
        let lasting = self.former.iter().filter(|it| time <= it.0);
        lasting.fold(self.current, |limits, it| limits.most_generous(it.1))
    }

    /// How long a connection may stay open without a request that was last used at `time`: the longest limit that its
    /// caller may have gone by since then.
    pub fn idle_time(&self, time: Time) -> Duration {
        self.since(time - NOTICE_TIME).idle_timeout + IDLE_MARGIN
    }

    /// Number of former limits that are remembered.
    pub fn former_count(&self) -> usize {
        self.former.len()
    }
}
