//! How long work takes at one server, compared with the estimate of its service.
//!
//! Answers the load of a service whose servers differ: some are built slower than others, and some share their
//! machines with other work for a moment. An estimate for the whole service sends the slow ones as much as the fast
//! ones, and takes their waits for shorter than they are. Does no I/O.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use shallotlead_base::time::Time;

use crate::learning::{quantile_step, step_after};

/// Quantile of the times to the first token that the factor aims at, that of the service's estimate: with another
/// one, both would correct each other for ever.
const QUANTILE: f64 = 2.0 / 3.0;
/// Step of the first observation, relative to the factor, and the least step of later ones, which shrink with the
/// square root of their number.
const FIRST_STEP: f64 = 0.5;
const MIN_STEP: f64 = 0.06;
/// What an observation takes of the factor's distance to 1, so that a service's estimate and the factors of its
/// servers don't drift apart.
const FORGETTING: f64 = 0.01;
/// Bounds of the learnt and of the stated factor: more has another cause than the server's speed.
const MAX_FACTOR: f64 = 4.0;
const MIN_FACTOR: f64 = 0.25;
/// Age at which a server's statement of this moment counts for nothing: it changes many times a second.
const STATEMENT_TTL: Duration = Duration::from_millis(600);

/// How long work takes at one server, as a factor of the estimate of its service.
///
/// Only servers that state how long work takes on their machines at the moment are told apart.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    learnt: f64,
    observations: u32,
    /// How long work takes on its machine at the moment, as a factor, and when the server said so.
    stated: Option<(f64, Time)>,
}

/// What an answer has shown of its server's pace.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Observation {
    /// How long work takes on its machine at the moment, in percent.
    pub stated: u16,
    /// When the first token came, in permille of the time that was expected, if one came.
    pub first_token: Option<u16>,
}

impl Default for Pace {
    fn default() -> Self {
        Self { learnt: 1.0, observations: 0, stated: None }
    }
}

impl Pace {
    /// The factor by which work takes longer here now than the service's estimate.
    pub fn factor(&self, now: Time) -> f64 {
        let Some((stated, at)) = self.stated else { return 1.0 };
        let age = now.since(at).as_secs_f64() / STATEMENT_TTL.as_secs_f64();
        self.learnt * (1.0 + (stated - 1.0) * (1.0 - age).max(0.0))
    }

    /// The learnt part of the factor.
    pub fn learnt(&self) -> f64 {
        self.learnt
    }

    /// How long the server last said that work takes on its machine, in percent.
    pub fn stated_percent(&self) -> Option<u16> {
        self.stated.map(|it| (it.0 * 100.0).round() as u16)
    }

    /// Applies what the server said `at`: how long work takes on its machine, in percent.
    pub fn state(&mut self, at: Time, percent: u16) {
        if self.stated.is_none_or(|it| it.1 <= at) {
            let factor = (f64::from(percent) / 100.0).clamp(MIN_FACTOR, MAX_FACTOR);
            self.stated = Some((factor, at));
        }
    }

    /// Learns from a first token that came after `ratio` of the time that was expected with the factor.
    pub fn observe(&mut self, ratio: f64) {
        if self.stated.is_none() {
            return;
        }
        self.observations = self.observations.saturating_add(1);
        let step = step_after(self.observations, FIRST_STEP, MIN_STEP);
        let learnt = self.learnt * (1.0 + quantile_step(1.0 < ratio, step, QUANTILE));
        let remembered = learnt + FORGETTING * (1.0 - learnt);
        self.learnt = remembered.clamp(MIN_FACTOR, MAX_FACTOR);
    }

    /// Applies what another instance has observed `at`.
    pub fn adopt(&mut self, at: Time, observation: &Observation) {
        self.state(at, observation.stated);
        if let Some(permille) = observation.first_token {
            self.observe(f64::from(permille) / 1e3);
        }
    }
}

impl Observation {
    /// A first token that came after `ratio` of the expected time.
    pub fn with_first_token(self, ratio: f64) -> Self {
        Self { first_token: Some((ratio * 1e3).round() as u16), ..self }
    }
}
