//! Hands requests over to another instance while this one reaches none of the servers.
//!
//! The other instance serves such a request like one of its own callers'. It never hands it over again.

use rand::seq::IndexedRandom;

use crate::{
    adapter::{HandoverOptions, RefusedHandover},
    build,
    core::{
        Core,
        attempt::Attempt,
        exchange::Exchange,
        refusal::{RETRY_AFTER, Refusal},
    },
    http::body::Framing,
    placement::Shortage,
    pool,
    quarantine::Verdict,
};

/// Number of instances to which one request may be handed over one after the other, as long as it hasn't run.
const MAX_HANDOVERS: u8 = 3;
/// Why a request is handed over again.
const REASON_REFUSED: &str = "handover-refused";

impl Core {
    /// Hands the request over if this instance doesn't reach its service, unless `verdict` speaks against it. Returns
    /// whether that settles the request for now.
    pub(crate) fn hand_over_checked(&mut self, index: usize, verdict: Verdict) -> bool {
        // Other instances hear of a suspect late, and might have it crash their servers as well. If the paths are at
        // fault, what looked like crashes were none.
        (verdict == Verdict::Clear || self.is_cut_off_from_service(index)) && self.hand_over(index)
    }

    fn hand_over(&mut self, index: usize) -> bool {
        let Some(exchange) = self.exchanges.get(index) else { return false };
        let reach = self.reach.get(&exchange.service);
        let Some(reach) = reach.filter(|it| it.needs_handover(self.now)) else { return false };
        let is_cut_off = reach.is_cut_off();
        if exchange.info.handover.is_some() {
            // Without proof, the servers may be within reach all the same, and the request has come for them.
            if is_cut_off {
                self.refuse_or_fail(index, Refusal::OutOfReach { after: RETRY_AFTER });
            }
            return is_cut_off;
        }
        if self.send_to_instance(index) {
            return true;
        }
        if is_cut_off {
            // The servers would be tried in vain.
            self.wait_or_refuse(index, Shortage::NoneReady);
        }
        is_cut_off
    }

    /// Sends the request to another instance. Returns false if none can take it.
    fn send_to_instance(&mut self, index: usize) -> bool {
        while let Some(id) = self.handover_target(index) {
            if self.send_handover(index, id) {
                return true;
            }
        }
        let service = self.exchanges.get(index).map(|it| it.service.clone());
        if let Some(reach) = service.and_then(|it| self.reach.get_mut(&it)) {
            reach.record_no_handover(self.now);
        }
        false
    }

    /// Whether other instances are known to reach servers of the request's service that this one doesn't reach.
    fn is_cut_off_from_service(&self, index: usize) -> bool {
        self.exchanges.get(index).is_some_and(|it| self.is_cut_off_from(&it.service))
    }

    /// An instance that reaches the servers, as far as known.
    ///
    /// Ready ones of this data centre come first. After a refusal it is one of another data centre, as a data centre
    /// may lose the servers as a whole, and after that also one that isn't ready: it may be cut off from another
    /// service only.
    fn handover_target(&mut self, index: usize) -> Option<pool::Id> {
        let now = self.now;
        let exchange = self.exchanges.get(index).filter(|it| it.handovers < MAX_HANDOVERS)?;
        let reach = self.reach.get(&exchange.service)?;
        let prefers_local = exchange.handovers == 0;
        let mut ranked = Vec::new();
        for member in self.members.alive(now).filter(|it| !it.is_leaving) {
            let id = self.pool.instance(&member.name, member.callers);
            let health = &self.pool.get(id).health;
            let is_usable = health.is_in_rotation() || health.is_probe_due(now);
            if is_usable && !exchange.excluded.contains(&id) {
                let is_local = *member.centre == *self.settings.centre;
                let rank = (!member.is_ready, reach.is_avoided(now, id), is_local != prefers_local);
                ranked.push((rank, id));
            }
        }
        let best = ranked.iter().map(|it| it.0).min()?;
        let candidates: Vec<pool::Id> =
            ranked.into_iter().filter(|it| it.0 == best).map(|it| it.1).collect();
        candidates.choose(&mut self.rng).copied()
    }

    /// Sends the request to the instance. Returns false if it has no connection left.
    fn send_handover(&mut self, index: usize, id: pool::Id) -> bool {
        let connection = self.acquire_connection(id, index);
        let now = self.now;
        let Some(exchange) = self.exchanges.get_mut(index) else { return false };
        let Some(connection) = connection else {
            exchange.excluded.push(id);
            return false;
        };
        let options = HandoverOptions {
            time_left: exchange.deadline.since(now),
            attempts: exchange.attempts_left(&self.pool),
            last_event: exchange.delivery.last_event,
            build: exchange.binding.build().map(build::Id::number),
            body_len: (exchange.head.framing != Framing::Empty).then_some(exchange.body.len()),
        };
        let mut head = Vec::with_capacity(1024);
        self.adapter.write_handover(&exchange.head, &options, &mut head);
        exchange.handovers += 1;
        self.log
            .line(now, "handed_over")
            .text("request", exchange.id())
            .text("route", &exchange.route.name)
            .text("to", &self.pool.get(id).name)
            .number("attempts", options.attempts)
            .number("last_event", options.last_event.unwrap_or(0))
            .ms("left_ms", options.time_left)
            .ms("after_ms", now.since(exchange.arrived));
        self.stats.count_handover("sent");
        self.begin_attempt(index, Attempt::new(id, connection, now), head);
        true
    }

    /// Whether the exchange's attempt is at another instance.
    pub(crate) fn is_handed_over(&self, exchange: &Exchange) -> bool {
        exchange.attempt.as_ref().is_some_and(|it| self.pool.get(it.server).is_instance)
    }

    /// Handles the answer of another instance that it hasn't run the request, nor has a server: tries another instance,
    /// or refuses the request.
    pub(crate) fn handle_refused_handover(&mut self, index: usize) {
        let Some(exchange) = self.exchanges.get(index) else { return };
        let Some(reply) = exchange.reply() else { return };
        let (status, after) = (reply.head.status, reply.answer.retry_after.time());
        let was_declined = reply.answer.refused_handover == Some(RefusedHandover::Declined);
        let Some(attempt) = self.release_attempt(index, true) else { return };
        let Some(exchange) = self.exchanges.get_mut(index) else { return };
        exchange.forget_run(attempt.server);
        exchange.excluded.push(attempt.server);
        exchange.delivery.pending.clear();
        if let Some(reach) = self.reach.get_mut(&exchange.service) {
            reach.record_refusal(self.now, attempt.server);
        }
        self.log
            .line(self.now, "handover_refused")
            .text("request", exchange.id())
            .text("by", &self.pool.get(attempt.server).name)
            .number("status", status)
            .ms("after_ms", self.now.since(exchange.arrived));
        self.stats.count_handover("refused");
        // Servers have received it, and the next instance would send it once more.
        let may_send = !was_declined || self.draw_retry(index, REASON_REFUSED);
        if !may_send || !self.send_to_instance(index) {
            let after = after.unwrap_or(RETRY_AFTER);
            self.refuse_or_fail(index, Refusal::OutOfReach { after });
        }
    }

    /// Records a complete answer, if another instance has brought it from a server.
    pub(crate) fn record_handover(&mut self, index: usize) {
        let Some(exchange) = self.exchanges.get(index) else { return };
        let Some(attempt) = exchange.attempt.as_ref().filter(|_| self.is_handed_over(exchange))
        else {
            return;
        };
        if !attempt.reply.as_ref().is_some_and(|it| it.answer.is_signed) {
            return;
        }
        self.stats.count_handover("answered");
        if let Some(reach) = self.reach.get_mut(&exchange.service) {
            reach.record_handover(attempt.server);
        }
    }
}
