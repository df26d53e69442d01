//! How much work this instance sends to a pool, by priority.

use shallotlead_base::time::Time;

/// Seconds over which the rates are averaged.
const WINDOW: f64 = 10.0;
const PRIORITIES: usize = 10;

/// Decaying sums of sent tokens.
#[derive(Clone, Debug, Default)]
pub(super) struct Mix {
    at: Time,
    /// Seconds seen so far, up to the window.
    seen: f64,
    tokens: [f64; PRIORITIES],
}

impl Mix {
    pub(super) fn add(&mut self, now: Time, priority: u8, tokens: f64) {
        let elapsed = now.since(self.at).as_secs_f64();
        let keep = (-elapsed / WINDOW).exp();
        self.seen = self.seen * keep + WINDOW * (1.0 - keep);
        for it in &mut self.tokens {
            *it *= keep;
        }
        self.at = now;
        self.tokens[usize::from(priority).min(PRIORITIES - 1)] += tokens;
    }

    /// Tokens a second.
    pub(super) fn per_second(&self, now: Time) -> f64 {
        let keep = (-now.since(self.at).as_secs_f64() / WINDOW).exp();
        let seen = self.seen * keep + WINDOW * (1.0 - keep);
        self.tokens.iter().sum::<f64>() * keep / seen.max(1.0)
    }

    /// Share of the work that goes before a request of this priority.
    pub(super) fn share(&self, priority: u8) -> f64 {
        let all: f64 = self.tokens.iter().sum();
        if all <= 0.0 {
            return 1.0;
        }
        let first = usize::from(priority).min(PRIORITIES - 1);
        self.tokens[first..].iter().sum::<f64>() / all
    }
}
