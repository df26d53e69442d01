//! Until when an answer is of use to its caller, and whether the work that is left for it ends by then. Does no I/O.

use std::time::Duration;

use shallotlead_base::time::Time;

/// Share (1/n) of the time that a caller has left for which it waits before it returns, if a refusal asks it to.
const PAUSE_DIVISOR: u32 = 3;

/// Most of the time until an answer has to be complete that is kept for what follows its first token, as a fraction:
/// answers mostly end before the most tokens that they may have.
const MAX_GENERATION_FRACTION: f64 = 0.75;

/// When a caller stops waiting.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Deadline {
    /// When the answer has to be complete: at the caller's own deadline or the route's timeout, whichever is earlier.
    pub end: Time,
    /// When a stream's next event has to arrive, as callers leave after a gap; `None` if the answer isn't a stream.
    pub next_event: Option<Time>,
}

/// The work that is left for an answer at one server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Work {
    /// Expected time until the first token.
    pub first_token: Duration,
    /// How much later than that it comes at most, but for few prompts.
    pub delay: Duration,
    /// Expected time from the first token to the end of the answer.
    pub generation: Duration,
}

impl Deadline {
    /// How much too late the caller would be served if the work is begun now; zero if in time. At most half of the time is
    /// kept for delays.
    pub fn excess(&self, now: Time, work: Work) -> Duration {
        let left = self.time_for_first_token(now, work.generation);
        work.first_token.saturating_sub(left - work.delay.min(left / 2))
    }

    /// How long the first token may take, if the answer is expected to take `generation` from there.
    pub fn time_for_first_token(&self, now: Time, generation: Duration) -> Duration {
        let left = self.end.since(now);
        let time = left - generation.min(left.mul_f64(MAX_GENERATION_FRACTION));
        self.next_event.map_or(time, |it| it.since(now).min(time))
    }

    /// When the caller leaves if nothing reaches it.
    pub fn leaves_at(&self) -> Time {
        self.next_event.map_or(self.end, |it| it.min(self.end))
    }

    /// How long the caller waits at most before it returns, if a refusal at `now` asks it to.
    pub fn longest_pause(&self, now: Time) -> Duration {
        self.end.since(now) / PAUSE_DIVISOR
    }

    /// Until when a request that arrived at `arrived` may be held while no server takes it: as long as its caller would
    /// pause after a refusal. The rest is left for the answer, or for another instance.
    pub fn hold_until(&self, arrived: Time) -> Time {
        arrived + self.leaves_at().since(arrived) / PAUSE_DIVISOR
    }
}
