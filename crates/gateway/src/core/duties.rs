//! Duties of the lease's holder: bringing named weights to the servers.

use std::{sync::Arc, time::Duration};

use crate::{adapter::{Order, OrderReply, Report}, core::{Core, control::{Outcome, Purpose}}, pool::{Presence, Switch, self}, rollout::{ANNOUNCEMENT_TTL, LOADING_TTL, Step}};

/// How long a server's state or its answer to an order may take.
const TIMEOUT: Duration = Duration::from_millis(600);

impl Core {
    pub(crate) fn tick_duties(&mut self) {
        if self.lease.grant(self.now).is_none() {
            if 0 < self.rollout.active_tasks() {
                self.journal.line(self.now, "lease").text("reason", "no right to give orders");
                self.rollout.clear();
            }
            return;
        }
        for step in self.rollout.tick(self.now, &self.pool) {
            self.carry_out(step);
        }
    }

    fn carry_out(&mut self, step: Step) {
        match step {
            Step::Query(id) => self.request_report(id, TIMEOUT, Purpose::Report(id)),
            Step::Announce(id, model, version) => {
                let until = self.now + ANNOUNCEMENT_TTL;
                self.pool.get_mut(id).switch = Some(Switch { version, until });
                self.tell_loading(id, &model, version, ANNOUNCEMENT_TTL);
                self.migrate_streams(id);
            }
            Step::Order(id, model, version, orders) => self.order(id, &model, version, orders),
        }
    }

    fn order(&mut self, id: pool::Id, model: &Arc<str>, version: u64, orders: u64) {
        // The right to give orders is looked at right before each of them.
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
        let errand = self.dialect.order_request(&order);
        let address = server.address;
        self.journal
            .line(self.now, "order")
            .text("server", &server.name)
            .text("model", model)
            .number("version", version)
            .number("fence", grant.fence)
            .number("expected", orders)
            .number("running", server.load.map_or(0, |it| it.0.running));
        self.tell_loading(id, model, version, LOADING_TTL);
        let purpose = Purpose::Order(id);
        self.stats.server_called(purpose.name());
        self.send_control(address, &errand, TIMEOUT, purpose);
    }

    pub(crate) fn server_reported(&mut self, id: pool::Id, outcome: &Outcome) {
        let report = self.take_report(id, outcome);
        if self.lease.grant(self.now).is_none() {
            return;
        }
        if let Some(step) = self.rollout.handle_report(self.now, &self.pool, id, report.as_ref()) {
            self.carry_out(step);
        }
    }

    /// Takes a server's word on its load and its weights.
    pub(crate) fn take_report(&mut self, id: pool::Id, outcome: &Outcome) -> Option<Report> {
        let Outcome::Answered { status: 200, body, .. } = outcome else { return None };
        let Some(report) = self.dialect.parse_report(body) else {
            let server = &self.pool.get(id).name;
            self.journal.line(self.now, "report_unreadable").text("server", server);
            return None;
        };
        let was_there = self.pool.get(id).presence != Presence::Gone;
        if !self.pool.check_incarnation(id, report.incarnation) {
            self.journal
                .line(self.now, "other_life")
                .text("server", &self.pool.get(id).name)
                .number("known", self.pool.get(id).born.unwrap_or(0))
                .number("reported", report.incarnation.unwrap_or(0));
            if was_there && self.pool.get(id).presence == Presence::Gone {
                self.life_ended(id);
            }
            return None;
        }
        self.pool.update_load(id, self.now, report.load);
        let server = self.pool.get_mut(id);
        let mut news = Vec::new();
        for (model, version) in &report.models {
            if server.set_version(self.now, model, *version) {
                news.push((model.clone(), *version));
            }
        }
        for (model, version) in news {
            self.journal
                .line(self.now, "loaded")
                .text("server", &self.pool.get(id).name)
                .number("version", version);
            self.tell_loading(id, &model, version, Duration::ZERO);
        }
        Some(report)
    }

    pub(crate) fn server_ordered(&mut self, id: pool::Id, outcome: &Outcome) {
        let reply = match outcome {
            Outcome::Answered { status, .. } => Some(self.dialect.parse_order_reply(*status)),
            Outcome::NotSent | Outcome::Refused | Outcome::Reset | Outcome::Lost => None,
        };
        self.journal
            .line(self.now, "order_answered")
            .text("server", &self.pool.get(id).name)
            .text("reply", &format!("{reply:?}"));
        if reply == Some(OrderReply::Elsewhere) {
            self.pool.mark_replaced(id);
            self.server_gone(id, "another server has its address");
        }
        self.rollout.handle_order_reply(self.now, id, reply);
    }
}
