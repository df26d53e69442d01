//! Admission control: refuses prompts on arrival that no server would finish while their callers wait.

use std::time::Duration;

use shallotlead_base::time::Time;

use crate::{deadline::Deadline, placement::Choice};

/// Fraction of the time until a refused caller should retry that is added at random.
const RETRY_SPREAD: f64 = 0.5;

/// Delays a refused caller's retry by a part that is random, so that those who were refused together don't return
/// together. `random`: between 0 and 1.
pub(crate) fn spread_retry_after(after: Duration, random: f64) -> Duration {
    after.mul_f64(1.0 + RETRY_SPREAD * random)
}

/// What the admission decision for one request depends on.
///
/// A prompt that can't be served in time would delay all prompts behind it, and its caller, which could have gone
/// elsewhere at once, would learn of it only at its deadline.
#[derive(Clone, Copy, Debug)]
pub struct Admission {
    /// The time of the decision.
    pub now: Time,
    /// When the caller stops waiting.
    pub deadline: Deadline,
    /// Whether this is a prompt that no server has started yet.
    pub is_new_prompt: bool,
}

impl Admission {
    /// Whether the request is refused, given that `choice` is the best server available.
    pub fn refuses(&self, choice: &Choice) -> bool {
        self.is_new_prompt && !choice.excess.is_zero()
    }

    /// When a refused caller should retry: once the queue is short enough, or at least one more prompt like this one
    /// would have been started. `random`: between 0 and 1.
    pub fn retry_after(&self, choice: &Choice, random: f64) -> Duration {
        let start = choice.work.first_token.saturating_sub(choice.wait());
        spread_retry_after(choice.excess.max(start), random)
            .min(self.deadline.longest_pause(self.now))
    }
}
