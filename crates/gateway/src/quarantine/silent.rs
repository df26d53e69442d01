//! Runs at servers that don't respond.

use std::{collections::VecDeque, mem, time::Duration};

use shallotlead_base::time::Time;

use super::{Identity, IncarnationId};

/// How long a run is remembered while its server hasn't been found dead or alive.
const RETENTION: Duration = Duration::from_secs(10);
/// Largest number of runs that are remembered; the oldest ones are dropped.
const MAX_RUNS: usize = 2_048;

/// A run that was withdrawn from a server that didn't respond.
#[derive(Debug)]
struct Run {
    at: Time,
    incarnation_id: IncarnationId,
    /// `None` if only its parts may have crashed the server.
    request: Option<Identity>,
    /// The parts of its prompt that may have crashed the server.
    parts: Box<[Identity]>,
}

/// Runs that were withdrawn from servers that didn't respond. They are no evidence unless the server turns out to have
/// ended, as a sound one may be silent for a while.
#[derive(Debug, Default)]
pub(super) struct SilentRuns {
    runs: VecDeque<Run>,
}

impl SilentRuns {
    pub(super) fn push(
        &mut self,
        now: Time,
        incarnation_id: IncarnationId,
        request: Option<Identity>,
        parts: &[Identity],
    ) {
        let is_old = |it: &Run| RETENTION <= now.since(it.at);
        while self.runs.front().is_some_and(is_old) || MAX_RUNS <= self.runs.len() {
            self.runs.pop_front();
        }
        self.runs.push_back(Run { at: now, incarnation_id, request, parts: parts.into() });
    }

    pub(super) fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Takes the requests of the runs at a server that has ended, with the parts of their prompts.
    pub(super) fn take(
        &mut self,
        now: Time,
        incarnation_id: IncarnationId,
    ) -> Vec<(Option<Identity>, Box<[Identity]>)> {
        let mut taken = Vec::new();
        self.runs.retain_mut(|it| {
            let is_there = it.incarnation_id == incarnation_id;
            if is_there && now.since(it.at) < RETENTION {
                taken.push((it.request, mem::take(&mut it.parts)));
            }
            !is_there
        });
        taken
    }

    /// Forgets the runs at a server that is alive.
    pub(super) fn remove(&mut self, incarnation_id: IncarnationId) {
        self.runs.retain(|it| it.incarnation_id != incarnation_id);
    }
}
