//! Rollout of published weights to the servers, by the holder of the lease.

use std::{sync::Arc, time::Duration};

use shallotlead_base::time::Time;

use crate::{
    adapter::{Order, OrderReply, Report},
    core::{
        Core,
        control::{Outcome, Purpose},
    },
    lease::ORDER_FLIGHT,
    pool::{self, Presence, Switch},
    rollout::{ANNOUNCEMENT_TTL, LOADING_TTL, Step},
};

/// Timeout of a server's report of its load and weights.
const REPORT_TIMEOUT: Duration = Duration::from_millis(600);

impl Core {
    pub(crate) fn tick_rollout(&mut self) {
        if self.lease.grant(self.now).is_none() {
            if 0 < self.rollout.active_tasks() {
                self.log.line(self.now, "lease").text("reason", "no right to give orders");
                self.rollout.clear();
            }
            return;
        }
        for step in self.rollout.tick(self.now, &self.pool) {
            self.run_step(step);
        }
    }

    fn run_step(&mut self, step: Step) {
        match step {
            Step::Query(id) => self.ask_server(id, REPORT_TIMEOUT, Purpose::Report(id)),
            Step::Announce(id, model, version) => {
                let until = self.now + ANNOUNCEMENT_TTL;
                self.pool.get_mut(id).switch = Some(Switch { version, until });
                self.broadcast_loading(id, &model, version, ANNOUNCEMENT_TTL);
                self.migrate_streams(id);
            }
            Step::Order(id, model, version, orders) => self.send_order(id, &model, version, orders),
        }
    }

    fn send_order(&mut self, id: pool::Id, model: &Arc<str>, version: u64, orders: u64) {
        // The lease is checked immediately before each order.
        let name = self.pool.get(id).name.clone();
        let Some(grant) = self.lease.authorise_order(self.now, &name) else {
            self.rollout.postpone(self.now, id);
            return;
        };
        let server = self.pool.get_mut(id);
        server.switch = Some(Switch { version, until: self.now + LOADING_TTL });
        let order = Order {
            server: &server.name,
            model,
            version,
            holder: &self.settings.name,
            fence: grant.fence,
            expected_orders: orders,
        };
        let request = self.adapter.order_request(&order);
        let address = server.address;
        self.log
            .line(self.now, "order")
            .text("server", &server.name)
            .text("model", model)
            .number("version", version)
            .number("fence", grant.fence)
            .number("expected", orders)
            .number("running", server.load.map_or(0, |it| it.0.running));
        self.broadcast_loading(id, model, version, LOADING_TTL);
        let purpose = Purpose::Order(id, self.now);
        self.stats.count_server_call(purpose.name());
        self.send_control(address, &request, ORDER_FLIGHT, purpose);
    }

    pub(crate) fn handle_report(&mut self, id: pool::Id, outcome: &Outcome) {
        let report = self.apply_report(id, outcome);
        if self.lease.grant(self.now).is_none() {
            return;
        }
        if let Some(step) = self.rollout.handle_report(self.now, &self.pool, id, report.as_ref()) {
            self.run_step(step);
        }
    }

    /// Applies a server's report of its load and weights. Returns it if it came from the known
    /// incarnation.
    pub(crate) fn apply_report(&mut self, id: pool::Id, outcome: &Outcome) -> Option<Report> {
        let Outcome::Answered { status: 200, body, .. } = outcome else { return None };
        let Some(report) = self.adapter.parse_report(body) else {
            let server = &self.pool.get(id).name;
            self.log.line(self.now, "report_unreadable").text("server", server);
            return None;
        };
        let was_present = self.pool.get(id).presence != Presence::Gone;
        if !self.pool.check_incarnation(id, report.incarnation) {
            self.log
                .line(self.now, "other_life")
                .text("server", &self.pool.get(id).name)
                .number("known", self.pool.get(id).incarnation.unwrap_or(0))
                .number("reported", report.incarnation.unwrap_or(0));
            if was_present && self.pool.get(id).presence == Presence::Gone {
                self.handle_restart(id);
            }
            return None;
        }
        if report.is_draining {
            self.handle_drain(id, "report");
        }
        self.pool.update_load(id, self.now, report.load);
        let server = self.pool.get_mut(id);
        let mut loaded = Vec::new();
        for (model, version) in &report.models {
            if server.set_version(self.now, model, *version) {
                loaded.push((model.clone(), *version));
            }
        }
        for (model, version) in loaded {
            self.log
                .line(self.now, "loaded")
                .text("server", &self.pool.get(id).name)
                .number("version", version);
            self.broadcast_loading(id, &model, version, Duration::ZERO);
        }
        Some(report)
    }

    pub(crate) fn handle_order_reply(&mut self, id: pool::Id, sent: Time, outcome: &Outcome) {
        let reply = match outcome {
            Outcome::Answered { status, .. } => {
                self.lease.handle_order_answer(self.now, &self.pool.get(id).name, sent);
                Some(self.adapter.parse_order_reply(*status))
            }
            Outcome::NotSent
            | Outcome::Refused
            | Outcome::Reset
            | Outcome::TooLong
            | Outcome::Lost => None,
        };
        self.log
            .line(self.now, "order_answered")
            .text("server", &self.pool.get(id).name)
            .text("reply", &format!("{reply:?}"));
        if reply == Some(OrderReply::Elsewhere) {
            self.handle_replaced_server(id);
        }
        self.rollout.handle_order_reply(self.now, id, reply);
    }
}
