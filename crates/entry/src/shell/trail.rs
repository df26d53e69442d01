//! Recent decisions, kept for explanations.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, PoisonError},
};

use shallotlead_base::id::Request;
use shallotlead_policy::explain::Decision;

/// The latest decisions, oldest first, up to a bound.
#[derive(Debug)]
pub(crate) struct Trail {
    bound: usize,
    decisions: Mutex<VecDeque<Arc<Decision>>>,
}

impl Trail {
    /// Keeps up to `bound` decisions.
    pub(crate) fn new(bound: usize) -> Self {
        Self { bound, decisions: Mutex::default() }
    }

    /// Keeps `decision`; the oldest one goes when the trail is full.
    pub(crate) fn push(&self, decision: Arc<Decision>) {
        let mut decisions = self.decisions.lock().unwrap_or_else(PoisonError::into_inner);
        if self.bound <= decisions.len() {
            decisions.pop_front();
        }
        decisions.push_back(decision);
    }

    /// The decisions kept for `request`, oldest first.
    pub(crate) fn of(&self, request: Request) -> Vec<Arc<Decision>> {
        let decisions = self.decisions.lock().unwrap_or_else(PoisonError::into_inner);
        decisions.iter().filter(|it| it.request == request).cloned().collect()
    }

    /// Up to `count` of the latest decisions, newest first.
    pub(crate) fn latest(&self, count: usize) -> Vec<Arc<Decision>> {
        let decisions = self.decisions.lock().unwrap_or_else(PoisonError::into_inner);
        decisions.iter().rev().take(count).cloned().collect()
    }
}
