//! Servers of one model and what is learned about all of them together.

use rand::Rng;

use super::{mix::Mix, ring::Ring, score::Score};
use crate::{
    belief::{self, Slot},
    load::Speed,
};

/// Weight of one decision in the averages of queue and work.
const PRESSURE_GAIN: f64 = 0.05;
/// Tokens below which a request's work isn't told apart.
const MIN_WORK: f64 = 200.0;
/// Requests behind one that count at most.
const MAX_BEHIND: f64 = 20.0;

/// A model's servers.
#[derive(Debug, Default)]
pub(super) struct Pool {
    pub(super) members: Vec<Slot>,
    /// Mean weight of the members that aren't drained.
    pub(super) mean_weight: f64,
    pub(super) ring: Ring,
    pub(super) speed: Speed,
    /// Tokens a second that this instance sends to the pool, by priority.
    pub(super) mix: Mix,
    /// Moving average of the tokens that wait at a server.
    queue: f64,
    /// Moving average of the tokens that a request has to compute.
    work: f64,
}

impl Pool {
    pub(super) fn set_members(&mut self, members: Vec<Slot>, belief: &belief::Table) {
        if self.members != members {
            self.ring = Ring::new(members.iter().map(|it| (*it, belief.name(*it))));
            self.members = members;
        }
    }

    /// A server at random.
    pub(super) fn draw<R: Rng>(&self, rng: &mut R) -> Option<Slot> {
        (!self.members.is_empty()).then(|| self.members[rng.random_range(0..self.members.len())])
    }

    /// Keeps the averages that the price of delay is made of; the best score comes first.
    pub(super) fn press(&mut self, scores: &[Score]) {
        let Some(best) = scores.first() else { return };
        let ahead = scores.iter().map(|it| it.ahead).sum::<f64>() / scores.len() as f64;
        self.queue += PRESSURE_GAIN * (ahead - self.queue);
        self.work += PRESSURE_GAIN * (best.uncached - self.work);
    }

    /// Microseconds that each computed token costs the requests that queue behind it. Without this
    /// price a burst feeds itself: queues make the servers that hold a prefix unattractive, requests
    /// scatter and are recomputed, and the queues grow although the work could be carried.
    pub(super) fn delay_price(&self) -> f64 {
        let behind = (self.queue / self.work.max(MIN_WORK)).min(MAX_BEHIND);
        behind * self.speed.token()
    }
}
