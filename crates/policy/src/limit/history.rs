//! The largest number of live instances lately.

use std::{collections::VecDeque, time::Duration};

use shallotlead_base::time::Time;

/// How long a larger number of instances is remembered.
const MEMORY: Duration = Duration::from_secs(3_600);

/// The largest number of live instances within [`MEMORY`].
///
/// Guards against a partition: each side sees only its own instances, and shares reckoned from that
/// number would add up to more than the limit. It shows as a limit overrun while regions don't hear
/// each other. The guard holds as long as the partition is shorter than the memory.
#[derive(Debug, Default)]
pub(crate) struct Peak {
    /// Falling numbers, oldest first.
    seen: VecDeque<(Time, u32)>,
}

impl Peak {
    /// There are `n` instances now.
    pub(crate) fn push(&mut self, now: Time, n: u32) {
        if let Some(last) = self.seen.back_mut() {
            // Until now the last number held.
            last.0 = now;
        }
        while self.seen.back().is_some_and(|it| it.1 <= n) {
            self.seen.pop_back();
        }
        self.seen.push_back((now, n));
    }

    /// The largest number lately; one when nothing was said.
    pub(crate) fn get(&self, now: Time) -> u32 {
        let current = self.seen.back().map_or(1, |it| it.1);
        let recent = self.seen.iter().find(|it| now.since(it.0) <= MEMORY).map_or(1, |it| it.1);
        current.max(recent).max(1)
    }
}
