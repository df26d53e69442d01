//! Servers that fall over when they have to reject too many requests.

use std::time::Duration;

use shallotlead_base::time::Time;

use rand::Rng;

use crate::{
    broadcast::Update,
    core::{
        Core, Timer,
        attempt::Attempt,
        failure::REASON_FULL,
        rate_limit::{Advertised, format_rate},
        refusal::{RETRY_AFTER, Refusal},
    },
    gossip::{Datagram, LimitReport, Settlement},
    placement::Shortage,
    pool,
    quarantine::Verdict,
    rate_limit::{Report, Serial, is_notable_change},
};

/// Interval at which it is reported what became of requests to servers at risk.
const REPORT_INTERVAL: Duration = Duration::from_millis(5);
/// Over how long callers are spread that were refused to spare servers at risk, and what each step of priority adds, so
/// that the most urgent return first.
const RETRY_SPREAD: Duration = Duration::from_millis(700);
const RETRY_SPREAD_PER_PRIORITY: Duration = Duration::from_millis(150);

impl Core {
    /// Applies how many rejections a second a server says that it bears, in the answer to a request that was sent at
    /// `sent`.
    pub(crate) fn apply_tolerance(&mut self, id: pool::Id, sent: Time, advertised: Advertised) {
        let (at, per_second) = match advertised {
            Advertised::Nothing => return,
            Advertised::Limit(Some(it)) => (self.now, Some(it)),
            Advertised::Limit(None) => (sent, None),
            Advertised::Unreadable => {
                self.stats.count_unreadable_tolerance();
                return;
            }
        };
        let limit = &mut self.pool.get_mut(id).limit;
        let before = limit.tolerance();
        let is_news = limit.observe_tolerance(at, per_second);
        self.log_tolerance(id, before, "answer");
        if is_news {
            let report = self.tolerance_report(id);
            self.broadcast(Update::Tolerance(report));
        }
    }

    /// Applies what another instance reported `age` ago.
    pub(crate) fn apply_peer_tolerance(&mut self, report: &LimitReport, age: Duration) {
        let Some(id) = self.pool.find_incarnation(&report.server, report.incarnation) else {
            return;
        };
        let at = self.now - age - Duration::from_millis(u64::from(report.age_ms));
        let limit = &mut self.pool.get_mut(id).limit;
        let before = limit.tolerance();
        limit.adopt_tolerance(at, report.per_second);
        self.log_tolerance(id, before, "told by an instance");
    }

    /// Assumes the least tolerance among the servers of its service for one that hasn't answered yet: it may have
    /// fallen over and be back under another incarnation.
    pub(crate) fn presume_tolerance(&mut self, id: pool::Id) {
        let server = self.pool.get(id);
        if server.is_instance || server.limit.is_tolerance_known() {
            return;
        }
        let others = self.pool.usable(&server.service);
        let least = others.filter_map(|it| it.1.limit.tolerance()).min_by(f64::total_cmp);
        if let Some(least) = least {
            self.pool.get_mut(id).limit.presume_tolerance(self.now, least);
        }
    }

    /// Tracks a request that is sent with a permit to a server at risk, until it is known whether the server takes it.
    pub(crate) fn track_unsettled(&mut self, id: pool::Id) -> Option<Serial> {
        self.pool.get(id).limit.tolerance()?;
        if self.unsettled.is_empty() {
            self.set_timer(self.now + REPORT_INTERVAL, Timer::Settlement);
        }
        Some(self.unsettled.add(self.now, id))
    }

    /// Stops tracking the request of an attempt that ends.
    pub(crate) fn end_unsettled(&mut self, attempt: &Attempt) {
        let Some(serial) = attempt.unsettled else { return };
        match &attempt.reply {
            Some(it) if !it.answer.is_declined && it.head.status < 500 => {
                self.unsettled.confirm(serial);
            }
            _ => self.unsettled.withdraw(serial),
        }
    }

    /// Tells the owners of limits what became of requests since the last time.
    pub(crate) fn report_unsettled(&mut self) {
        let reports = self.unsettled.take_reports(self.now, |it| self.pool.get(it).heard_at);
        for report in reports {
            self.send_report(report);
        }
        if !self.unsettled.is_empty() {
            self.set_timer(self.now + REPORT_INTERVAL, Timer::Settlement);
        }
    }

    /// Returns a permit that wasn't used.
    pub(crate) fn return_permit(&mut self, id: pool::Id) {
        let Some(serial) = self.track_unsettled(id) else { return };
        self.unsettled.confirm(serial);
    }

    fn send_report(&mut self, report: Report) {
        let (now, id) = (self.now, report.server);
        let server = self.pool.get(id);
        let owner = self.limit_owner(server);
        if owner.name == self.members.me().name {
            self.pool.get_mut(id).limit.settle(now, &report);
            return;
        }
        let age_ms = |at: Time| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
        let settlement = Settlement {
            server: server.name.clone(),
            incarnation: server.incarnation,
            unrejected: report.unrejected,
            sent_ms: age_ms(report.sent),
            rejected: report.rejected,
            heard_ms: age_ms(report.heard_at),
        };
        self.send_to(&[owner.peers], &Datagram::Settlement(settlement));
    }

    /// Applies another instance's report, which waited here for `queued_for`.
    pub(crate) fn apply_settlement(&mut self, settlement: &Settlement, queued_for: Duration) {
        let Settlement { server, incarnation, .. } = settlement;
        let Some(id) = self.pool.find_incarnation(server, *incarnation) else { return };
        let sent = self.now - queued_for;
        let ago = |ms: u32| sent - Duration::from_millis(u64::from(ms));
        let report = Report {
            server: id,
            unrejected: settlement.unrejected,
            sent: ago(settlement.sent_ms),
            rejected: settlement.rejected,
            heard_at: ago(settlement.heard_ms),
        };
        self.pool.get_mut(id).limit.settle(self.now, &report);
    }

    /// Refuses a request that a server at risk rejected for want of room, unless a server that isn't at risk takes it:
    /// sent to the next one at once, the requests that one server rejects might make all others fall over. Returns
    /// whether it was refused.
    pub(crate) fn refuse_rejected(
        &mut self,
        index: usize,
        server: pool::Id,
        reason: &'static str,
    ) -> bool {
        if reason != REASON_FULL || self.pool.get(server).limit.tolerance().is_none() {
            return false;
        }
        let at_risk = self.pool.usable(&self.pool.get(server).service);
        let at_risk = at_risk.filter(|it| it.1.limit.tolerance().is_some()).map(|it| it.0);
        let at_risk: Vec<pool::Id> = at_risk.collect();
        let Some(exchange) = self.exchanges.get_mut(index) else { return false };
        exchange.excluded.extend(at_risk);
        if self.choose_server(index, Verdict::Clear).is_ok() {
            return false;
        }
        let shortage = self.spread_retry(index, Shortage::Overloaded { after: RETRY_AFTER });
        self.refuse_or_fail(index, Refusal::Shortage(shortage));
        true
    }

    /// Spreads the callers that are refused to spare servers at risk, so that they don't return together.
    pub(crate) fn spread_retry(&mut self, index: usize, shortage: Shortage) -> Shortage {
        let Shortage::Overloaded { after } = shortage else { return shortage };
        let Some(exchange) = self.exchanges.get(index) else { return shortage };
        let spread = RETRY_SPREAD + RETRY_SPREAD_PER_PRIORITY * u32::from(exchange.priority());
        let later = spread.mul_f64(self.rng.random());
        Shortage::Overloaded { after: after.max(RETRY_AFTER) + later }
    }

    pub(crate) fn tolerance_report(&self, id: pool::Id) -> LimitReport {
        let server = self.pool.get(id);
        LimitReport {
            server: server.name.clone(),
            incarnation: server.incarnation,
            per_second: server.limit.tolerance(),
            age_ms: server.limit.tolerance_age(self.now).as_millis() as u32,
        }
    }

    fn log_tolerance(&mut self, id: pool::Id, before: Option<f64>, source: &str) {
        let server = self.pool.get(id);
        let per_second = server.limit.tolerance();
        if is_notable_change(before, per_second) {
            self.log
                .line(self.now, "tolerance")
                .text("server", &server.name)
                .text("per_second", &format_rate(per_second))
                .text("before", &format_rate(before))
                .text("source", source);
        }
    }
}
