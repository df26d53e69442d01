//! What goes wrong in a run.

use std::collections::BTreeMap;

use shallotlead_base::time::Time;
use shallotlead_policy::{
    belief,
    input::{Input, Outcome, State},
};

use super::{HEALTH_DELAY, HOME_BOUND, Happening, World};
use crate::baseline::Instance;

impl World {
    pub(super) fn crash(&mut self, server: usize) {
        for attempt in self.engines[server].crash() {
            let delivered = u32::from(
                self.flights
                    .get(&attempt)
                    .is_some_and(|it| self.samples[it.request].first.is_some()),
            );
            self.outcome(attempt, Outcome::Broken { delivered }, self.deployment.hop);
        }
        self.announce(server, State::Down, HEALTH_DELAY);
    }

    pub(super) fn slow(&mut self, times: f64) {
        let usual = self.deployment.engine;
        for engine in &mut self.engines {
            engine.spec.prefill = usual.prefill * times;
            engine.spec.step = usual.step * times;
            engine.spec.decode = usual.decode * times;
        }
    }

    pub(super) fn restart(&mut self, server: usize) {
        self.engines[server].up = true;
        let state = State::Up(self.engines[server].incarnation);
        self.announce(server, state, HEALTH_DELAY);
    }

    pub(super) fn restart_all(&mut self) {
        for index in 0..self.entries.len() {
            let entry = &mut self.entries[index];
            entry.life += 1;
            entry.instance = Instance::open(self.kind, self.deployment, index, entry.life);
            entry.home = belief::Table::open(HOME_BOUND);
            entry.next_tick = Time::MAX;
            self.brief(index);
        }
        for server in 0..self.engines.len() {
            self.resync(server);
        }
    }

    /// Gives a new instance what it learns at once: the table and which servers are up.
    pub(super) fn brief(&mut self, index: usize) {
        let now = self.now;
        let live = self.live().len() as u32;
        let table = self.table.clone();
        let states: BTreeMap<usize, State> = (0..self.engines.len())
            .map(|it| {
                let engine = &self.engines[it];
                (it, if engine.up { State::Up(engine.incarnation) } else { State::Down })
            })
            .collect();
        let entry = &mut self.entries[index];
        entry.instance.handle(now, Input::Table(table));
        entry.instance.handle(now, Input::Instances(live));
        for (server, state) in states {
            let server = self.names[server].clone();
            entry.home.server(now, &server, state);
            entry.instance.handle(now, Input::Server { server, state });
        }
    }

    pub(super) fn lose_centre(&mut self, centre: usize) {
        let centres = self.deployment.centres.len();
        for instance in (0..self.entries.len()).filter(|it| it % centres == centre) {
            self.entries[instance].up = false;
            self.entries[instance].life += 1;
        }
        let lost: Vec<usize> =
            (0..self.engines.len()).filter(|it| it % centres == centre).collect();
        for server in lost {
            self.crash(server);
        }
        let live = self.live();
        for instance in live.iter().copied() {
            let life = self.entries[instance].life;
            let input = Input::Instances(live.len() as u32);
            self.after(HEALTH_DELAY, Happening::Told(instance, life, input));
        }
        // Callers of a lost instance come again through another one.
        let waiting: Vec<usize> = (0..self.requests.len())
            .filter(|it| {
                let sample = &self.samples[*it];
                sample.arrived.is_some()
                    && sample.first.is_none()
                    && !sample.refused
                    && !self.entries[sample.instance].up
            })
            .collect();
        for request in waiting {
            self.after(HEALTH_DELAY, Happening::Arrive(request));
        }
    }
}
