//! Servers' lives: what the fleet holds of them, and what was found from here.

#[cfg(test)]
mod tests;

use std::time::Duration;

use shallotlead_base::{hash::Map, name, time::Time};
use shallotlead_policy::input::State;
use shallotlead_table::snapshot::Snapshot;

/// How long a server that could not be reached from here is left alone, unless a poll reaches it.
const HOLD: Duration = Duration::from_secs(2);

/// What is known of each server, by source.
#[derive(Debug, Default)]
pub(crate) struct Lives {
    told: Map<name::Server, State>,
    down: Map<name::Server, Time>,
}

impl Lives {
    /// Takes in what was found from here, asked for at `asked`. Gives what the router should know.
    pub(crate) fn found(
        &mut self,
        server: &name::Server,
        state: State,
        asked: Time,
    ) -> Option<State> {
        // Guards against a stale answer: a server answers a poll and dies, an attempt finds it dead,
        // and the poll's answer is taken in last. It shows as attempts sent to a dead server until
        // the next poll. A poll that began before the server was found dead says nothing new.
        match state {
            State::Down => {
                self.down.insert(server.clone(), asked);
            }
            _ if self.down.get(server).is_some_and(|it| asked < *it) => return None,
            _ => {
                self.down.remove(server);
            }
        }
        Some(state)
    }

    /// Takes in what the fleet holds.
    pub(crate) fn told(&mut self, server: &name::Server, state: State) {
        self.told.insert(server.clone(), state);
        self.down.remove(server);
    }

    /// Servers that were found dead from here a while ago, and what the fleet holds of them.
    ///
    /// Guards against a server that is left alone for ever: the connection broke between this
    /// instance and the server only, its keeper sees it up all the time, and so never says that it
    /// is up again. It shows as a pool that shrinks with each such break.
    pub(crate) fn due(&mut self, now: Time) -> Vec<(name::Server, State)> {
        if now < self.next_due() {
            return Vec::new();
        }
        let due = self.down.extract_if(|_, at| *at + HOLD <= now).map(|it| it.0);
        due.filter_map(|it| self.told.get(&it).map(|state| (it, *state))).collect()
    }

    /// When [`Lives::due`] next has something.
    pub(crate) fn next_due(&self) -> Time {
        self.down.values().map(|it| *it + HOLD).min().unwrap_or(Time::MAX)
    }

    /// Forgets servers that are not in `table`.
    pub(crate) fn retain(&mut self, table: &Snapshot) {
        self.told.retain(|it, _| table.servers.contains_key(it));
        self.down.retain(|it, _| table.servers.contains_key(it));
    }
}
