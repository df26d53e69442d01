//! Weights are named, and brought to the engines by the product's roll-out.

use std::time::Duration;

use shallotlead_gateway::{adapter::{Load, OrderReply, Report}, pool::{Switch, self}, rollout::{ANNOUNCEMENT_TTL, LOADING_TTL, Step}};

use crate::{engine::Engine, site::LOAD_MS, world::{Event, World}};

/// How often roll-outs are looked at.
const TICK: Duration = Duration::from_millis(20);

impl World<'_> {
    pub(super) fn naming(&mut self) {
        self.version += 1;
        for it in &mut self.instances {
            it.pool.add_version(self.now, &self.model, self.version);
        }
        self.plan(self.now + self.site.naming, Event::Naming);
    }

    pub(super) fn tick(&mut self) {
        for step in self.rollout.tick(self.now, &self.instances[0].pool) {
            self.carry_out(step);
        }
        self.plan(self.now + TICK, Event::Tick);
    }

    fn carry_out(&mut self, step: Step) {
        match step {
            Step::Announce(id, _, version) => self.switch(id, version, ANNOUNCEMENT_TTL),
            Step::Query(id) => {
                let it = &self.engines[id];
                let report = Report {
                    models: vec![(self.model.clone(), it.weights)],
                    is_busy: it.order.is_some(),
                    accepted_orders: it.orders,
                    load: Load { running: it.running() as u32, waiting: it.waiting() as u32 },
                    incarnation: None,
                };
                let pool = &self.instances[0].pool;
                let next = self.rollout.handle_report(self.now, pool, id, Some(&report));
                next.into_iter().for_each(|it| self.carry_out(it));
            }
            Step::Order(id, _, version, _) => {
                self.switch(id, version, LOADING_TTL);
                self.engines[id].orders += 1;
                self.engines[id].order = Some((version, None));
                self.rollout.handle_order_reply(self.now, id, Some(OrderReply::Accepted));
                self.begin_loading(id);
            }
        }
    }

    fn switch(&mut self, id: pool::Id, version: u64, length: Duration) {
        let until = self.now + length;
        for it in &mut self.instances {
            it.pool.get_mut(id).switch = Some(Switch { version, until });
        }
    }

    /// An engine begins to load once its last run has ended.
    pub(super) fn begin_loading(&mut self, engine: usize) {
        let it = &self.engines[engine];
        let Some((version, None)) = it.order else { return };
        if !it.is_empty() {
            return;
        }
        let is_loading = |it: &&Engine| matches!(it.order, Some((_, Some(_))));
        let loading = self.engines.iter().filter(is_loading).count() + 1;
        let factor = (loading as f64 / self.site.loading as f64).max(1.0);
        let end = self.now + Duration::from_secs_f64(LOAD_MS * factor / 1e3);
        self.engines[engine].order = Some((version, Some(end)));
        self.plan(end, Event::Loaded { engine, version });
    }

    pub(super) fn loaded(&mut self, engine: usize, version: u64) {
        let it = &mut self.engines[engine];
        it.weights = version;
        it.order = None;
        it.cache.clear();
        for instance in &mut self.instances {
            instance.pool.get_mut(engine).set_version(self.now, &self.model, version);
        }
    }
}
