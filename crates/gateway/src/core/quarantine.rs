//! Decides after a lost request whether its server crashed and whether the request, or a part of its
//! prompt, is suspected of causing it.

use std::time::Duration;

use crate::{
    broadcast::{Reach, Update},
    core::{
        Core, Timer,
        control::{Outcome, Purpose},
        exchange::Exchange,
        probe::PROBE_TIMEOUT,
        refusal::Refusal,
    },
    http::body::Framing,
    pool::{self, Presence},
    quarantine::{Expiry, Identity, IncarnationId, Record, Verdict},
};

/// Delay between a lost connection and the liveness check of its server. By then its other
/// connections have been closed as well, so that none of them is reused for the check.
const LIVENESS_CHECK_DELAY: Duration = Duration::from_millis(5);
/// Delay between a server's crash and the broadcast of the requests that ran there. If many servers
/// end at once, which has another cause, nothing is sent: for 60 engines it would be thousands of
/// requests.
const CRASH_BROADCAST_DELAY: Duration = Duration::from_millis(120);
/// Most quarantine records in one message to other instances, at about 50 bytes each.
const MAX_SENT_RECORDS: usize = 8;
/// Most records in one message of what was put in quarantine a moment ago.
const MAX_RECENT_RECORDS: usize = 4;
/// After which time a caller may retry a request that is held while the cause of its last losses
/// is undecided.
const HELD_RETRY_AFTER: Duration = Duration::from_millis(500);

impl Core {
    /// Records a run that was lost with its connection and schedules a liveness check, as the
    /// server may have crashed. A server that was leaving has ended normally.
    pub(crate) fn record_loss(&mut self, index: usize) {
        let Some(exchange) = self.exchanges.get(index) else { return };
        let Some(server) = exchange.attempt.as_ref().map(|it| it.server) else { return };
        if self.pool.get(server).presence != Presence::Ready {
            return;
        }
        self.record_lost_run(index, server);
        if !self.pool.get(server).is_instance {
            let incarnation = self.pool.get(server).incarnation_id();
            self.quarantine.record_lost_starts(self.now, incarnation);
        }
        for identity in self.tracked_identities(index) {
            self.cancel_held(identity);
        }
        self.schedule_liveness_check(server);
    }

    /// Records that the exchange's run at `server` was lost, and with it each part that may have
    /// crashed the server.
    fn record_lost_run(&mut self, index: usize, server: pool::Id) {
        let Some(exchange) = self.exchanges.get(index) else { return };
        let server = self.pool.get(server);
        let incarnation = server.incarnation_id();
        self.quarantine.record_loss(self.now, *exchange.identity(), incarnation);
        if server.is_instance {
            return;
        }
        self.quarantine.record_part_losses(self.now, exchange.unproven_parts(), incarnation);
    }

    /// Records that the current attempt's server doesn't respond, for the case that it has ended.
    pub(crate) fn record_silent_run(&mut self, index: usize) {
        let Some(exchange) = self.exchanges.get(index) else { return };
        let Some(attempt) = &exchange.attempt else { return };
        let server = self.pool.get(attempt.server);
        if server.presence != Presence::Ready || server.is_instance {
            return;
        }
        let incarnation = server.incarnation_id();
        let (request, parts) = (*exchange.identity(), exchange.unproven_parts());
        self.quarantine.record_silent_run(self.now, request, parts, incarnation);
    }

    fn schedule_liveness_check(&mut self, server: pool::Id) {
        let entry = self.pool.get_mut(server);
        if !entry.is_check_pending {
            entry.is_check_pending = true;
            self.set_timer(self.now + LIVENESS_CHECK_DELAY, Timer::Liveness(server));
        }
    }

    /// Records the runs that were lost when a server restarted.
    pub(crate) fn record_restart(&mut self, id: pool::Id) {
        self.pool.get_mut(id).has_ended = true;
        let incarnation = self.pool.get(id).incarnation_id();
        for index in self.exchanges_where(|it| self.has_sent(it, id)) {
            self.focus_server(index, id);
            self.record_lost_run(index, id);
        }
        self.quarantine.record_lost_starts(self.now, incarnation);
        self.handle_crash(id);
    }

    /// Records that an attempt has brought its first event.
    pub(crate) fn record_run_start(&mut self, index: usize) {
        let Some(exchange) = self.exchanges.get(index) else { return };
        let Some(attempt) = &exchange.attempt else { return };
        let server = self.pool.get(attempt.server);
        if !server.is_instance {
            self.quarantine.record_start(self.now, server.incarnation_id(), exchange.parts());
        }
    }

    /// Records that a server has sent something, so that it has survived what it began a while ago.
    pub(crate) fn record_sign_of_life(&mut self, id: pool::Id) {
        self.pool.get_mut(id).health.record_sign_of_life(self.now);
        let incarnation = self.pool.get(id).incarnation_id();
        for part in self.quarantine.take_survived(self.now, incarnation) {
            self.release(part, "survived");
        }
    }

    /// Handles a server that joined: whatever was at its address before has ended. Skipped if no
    /// request is tracked, as it takes a pass over all servers for each one that joins.
    pub(crate) fn handle_address_reuse(&mut self, id: pool::Id) {
        if !self.quarantine.has_runs() {
            return;
        }
        for earlier in self.pool.earlier_at_address(id).collect::<Vec<_>>() {
            self.handle_crash(earlier);
        }
    }

    /// Checks whether a server that lost runs is alive.
    pub(crate) fn check_liveness(&mut self, id: pool::Id) {
        self.pool.get_mut(id).is_check_pending = false;
        self.ask_server(id, PROBE_TIMEOUT, Purpose::Liveness(id));
    }

    /// Handles the result of a liveness check. A timeout proves nothing, as the server may be busy, unless its entry
    /// was removed as well.
    pub(crate) fn handle_liveness_reply(&mut self, id: pool::Id, outcome: &Outcome) {
        self.apply_report(id, outcome);
        match outcome {
            Outcome::Refused => {
                self.pool.get_mut(id).has_ended = true;
                self.handle_crash(id);
                self.handle_ended_server(id);
            }
            Outcome::Answered { .. } | Outcome::Reset | Outcome::TooLong
                if self.pool.get(id).presence != Presence::Gone =>
            {
                self.pool.get_mut(id).has_ended = false;
                self.quarantine.record_alive(self.pool.get(id).incarnation_id());
                if matches!(outcome, Outcome::Answered { .. }) {
                    self.record_sign_of_life(id);
                }
            }
            Outcome::NotSent | Outcome::Lost if self.is_removed_and_silent(id) => {
                self.handle_crash(id);
            }
            // The server's entry will show whether it ended.
            Outcome::Answered { .. }
            | Outcome::Reset
            | Outcome::TooLong
            | Outcome::NotSent
            | Outcome::Lost => {}
        }
        self.retry_after_liveness_check(id, matches!(outcome, Outcome::Refused));
    }

    /// Handles a server that is known to have ended: counts this as a crash against the requests whose
    /// runs were lost there.
    pub(crate) fn handle_crash(&mut self, id: pool::Id) {
        let server = self.pool.get(id);
        if server.health.unresponsive_for(self.now).is_some() {
            self.quarantine.record_lost_starts(self.now, server.incarnation_id());
        }
        if !self.quarantine.has_runs() {
            return;
        }
        let server = self.pool.get(id);
        let (incarnation, servers) =
            (server.incarnation_id(), self.pool.usable(&server.service).count());
        let implicated = self.quarantine.record_crash(self.now, incarnation, servers);
        if implicated.is_empty() {
            return;
        }
        self.set_timer(self.now + CRASH_BROADCAST_DELAY, Timer::CrashReport(id));
        for identity in implicated {
            self.cancel_held(identity);
            let incarnations = self.quarantine.crashes(&identity).to_vec();
            // A second crash is broadcast at once, before the request can crash a third server.
            if 1 < incarnations.len() {
                incarnations.iter().for_each(|it| self.broadcast_crashed(*it, &[identity]));
            }
        }
    }

    /// Broadcasts which requests ran at a server that crashed [`CRASH_BROADCAST_DELAY`] ago.
    pub(crate) fn broadcast_crash(&mut self, id: pool::Id) {
        let incarnation = self.pool.get(id).incarnation_id();
        let implicated = self.quarantine.implicated(incarnation);
        if !implicated.is_empty() {
            self.broadcast_crashed(incarnation, &implicated);
        }
    }

    fn broadcast_crashed(&mut self, incarnation: IncarnationId, implicated: &[Identity]) {
        let masked = implicated.iter().map(|it| it.masked(incarnation)).collect();
        self.broadcast(Update::Crashed(incarnation, masked));
    }

    /// Applies another instance's report of requests that ran at a server that crashed `age` ago.
    pub(crate) fn apply_peer_crash(
        &mut self,
        age: Duration,
        incarnation: IncarnationId,
        identities: &[Identity],
    ) {
        let at = self.now - age;
        let server = self.pool.find_by_incarnation_id(incarnation);
        let service = server.map(|it| self.pool.get(it).service.clone());
        let servers = service.map_or(0, |it| self.pool.usable(&it).count());
        for identity in identities.iter().map(|it| it.masked(incarnation)) {
            if self.quarantine.record_peer_crash(self.now, at, identity, incarnation, servers) {
                self.cancel_held(identity);
            }
        }
        // Short runs that ended just before the crash have left this instance no connection by which
        // to notice it.
        if let Some(id) = server.filter(|_| self.quarantine.has_starts(incarnation)) {
            self.quarantine.record_lost_starts(self.now, incarnation);
            self.schedule_liveness_check(id);
        }
    }

    /// Adopts quarantine records from another instance or the store.
    pub(crate) fn adopt_records(&mut self, records: &[Record], source: &'static str) {
        for record in records {
            if !self.quarantine.merge_record(self.now, record) {
                continue;
            }
            if record.is_released {
                self.log_released(&record.identity, source);
            } else {
                self.handle_quarantined(record.identity, source);
            }
        }
    }

    /// The quarantine verdict on a request, the strictest on itself and on the parts of its prompt;
    /// also records the arrival of what is tracked.
    pub(crate) fn quarantine_verdict(&mut self, index: usize) -> Verdict {
        let mut strictest = Verdict::Clear;
        for identity in self.tracked_identities(index) {
            let verdict = self.quarantine.verdict(self.now, &identity);
            strictest = strictest.max(verdict);
            if verdict != Verdict::Clear {
                self.quarantine.record_arrival(self.now, &identity);
            }
            if verdict == Verdict::Quarantined {
                self.refresh_record(identity);
            }
        }
        strictest
    }

    /// The verdict on a request that is about to be sent. One that may run on trial is a suspect.
    pub(crate) fn sending_verdict(&mut self, index: usize) -> Verdict {
        let verdict = self.quarantine_verdict(index);
        if verdict == Verdict::Quarantined && self.claim_trials(index) {
            return Verdict::Suspect;
        }
        verdict
    }

    /// Claims the trials of all that keeps a request in quarantine. Returns whether it may run.
    fn claim_trials(&mut self, index: usize) -> bool {
        let now = self.now;
        let mut causes = self.tracked_identities(index);
        causes.retain(|it| self.quarantine.verdict(now, it) == Verdict::Quarantined);
        let Some(exchange) = self.exchanges.get(index) else { return false };
        let mut servers = self.pool.usable(&exchange.service);
        servers.any(|it| it.1.is_available(now))
            && !causes.is_empty()
            && causes.into_iter().all(|it| {
                let rank = self.members.rank(now, it.content);
                let parts = exchange.parts();
                it.is_part() && self.quarantine.claim_trial(now, &it, parts, rank)
            })
    }

    /// What is tracked of the request at `index`.
    fn tracked_identities(&self, index: usize) -> Vec<Identity> {
        let exchange = self.exchanges.get(index);
        exchange.map(|it| self.tracked(it).copied().collect()).unwrap_or_default()
    }

    /// What is tracked of a request: parts of its prompt, and itself.
    fn tracked<'a>(&'a self, exchange: &'a Exchange) -> impl Iterator<Item = &'a Identity> {
        // Without the check, each request would be hashed.
        let exchange = (!self.quarantine.is_empty()).then_some(exchange);
        let all = exchange.into_iter().flat_map(|it| it.parts().iter().chain([it.identity()]));
        all.filter(|it| self.quarantine.is_tracked(it))
    }

    /// Clears the suspicion against a request that was answered in full. An error, or an answer
    /// that is delimited by the end of its connection, is no such proof.
    pub(crate) fn clear_suspicion(&mut self, exchange: &Exchange, is_exonerated: bool) {
        if is_exonerated && !self.quarantine.is_empty() {
            self.release(*exchange.identity(), "answered");
        }
    }

    /// Releases a request. Returns whether the release was broadcast; it isn't if the request was
    /// suspected of a single crash only.
    pub(crate) fn release(&mut self, identity: Identity, reason: &'static str) -> bool {
        let is_broadcast = self.quarantine.release(self.now, &identity);
        if is_broadcast {
            self.log_released(&identity, reason);
            self.broadcast(Update::Released(identity));
            self.queue_record_removal(identity);
        }
        is_broadcast
    }

    /// Applies a release by another instance.
    pub(crate) fn apply_peer_release(&mut self, identity: &Identity) {
        if self.quarantine.release(self.now, identity) {
            self.log_released(identity, "told by an instance");
        }
    }

    /// The next few quarantine records to be sent to other instances.
    pub(crate) fn next_quarantine_records(&mut self) -> Vec<Record> {
        self.quarantine.next_records(self.now, MAX_SENT_RECORDS)
    }

    /// What was put in quarantine a moment ago, for all messages to other instances.
    pub(crate) fn recent_quarantine_records(&self) -> Vec<Record> {
        self.quarantine.recent_records(self.now, MAX_RECENT_RECORDS)
    }

    /// Quarantines requests and parts whose suspicion is confirmed, and ends quarantines that have
    /// expired.
    pub(crate) fn sweep_quarantine(&mut self) {
        for (identity, is_own) in self.quarantine.evaluate(self.now) {
            self.handle_quarantined(identity, "crashes");
            if is_own {
                self.queue_record_write(identity);
                self.peers.broadcasts.announce_versions(Reach::Fleet);
            }
        }
        for incarnation in self.quarantine.take_unchecked(self.now) {
            // A server that limits its rate may count this check as a request.
            let server = self.pool.find_by_incarnation_id(incarnation);
            let is_unlimited = |it: &pool::Id| self.pool.get(*it).limit.per_second().is_none();
            if let Some(id) = server.filter(is_unlimited) {
                self.check_liveness(id);
            }
        }
        for (identity, expiry) in self.quarantine.expire(self.now) {
            let event = match expiry {
                Expiry::OnTrial => "on_trial",
                Expiry::Forgotten => "forgotten",
            };
            self.log.line(self.now, event).text("identity", &identity.to_string());
            self.stats.count_quarantine_step(event);
            // A part stays in quarantine while it is tried.
            let ends = if identity.is_part() { Expiry::Forgotten } else { Expiry::OnTrial };
            if expiry == ends {
                self.remove_known_record(identity);
            }
        }
    }

    /// The refusal of a held or quarantined request.
    pub(crate) fn refuse_quarantined(&self, verdict: Verdict) -> Refusal {
        let after = match verdict {
            Verdict::Quarantined => self.settings.quarantine.retention,
            Verdict::Clear | Verdict::Suspect | Verdict::Held => HELD_RETRY_AFTER,
        };
        Refusal::Quarantined { after }
    }

    /// Logs and counts a request that was quarantined, and cancels its attempts.
    fn handle_quarantined(&mut self, identity: Identity, reason: &str) {
        self.log
            .line(self.now, "quarantined")
            .text("identity", &identity.to_string())
            .text("reason", reason)
            .number("crashes", self.quarantine.crashes(&identity).len())
            .text("part", &identity.part_text());
        self.stats.count_quarantine_step("quarantined");
        self.cancel_held(identity);
        if identity.is_part() {
            for explained in self.quarantine.clear_explained() {
                self.log_released(&explained, "explained");
                self.remove_known_record(explained);
            }
        }
    }

    /// Cancels attempts of a request that is now held or quarantined, unless the answer has begun.
    fn cancel_held(&mut self, identity: Identity) {
        let verdict = self.quarantine.verdict(self.now, &identity);
        if !matches!(verdict, Verdict::Held | Verdict::Quarantined) {
            return;
        }
        let is_affected = |it: &Exchange| {
            it.attempt.is_some()
                && !it.delivery.has_begun
                && (*it.identity() == identity || it.parts().contains(&identity))
        };
        for index in self.exchanges_where(is_affected) {
            self.refuse_or_fail(index, self.refuse_quarantined(verdict));
        }
    }

    fn log_released(&mut self, identity: &Identity, reason: &str) {
        self.log
            .line(self.now, "released")
            .text("identity", &identity.to_string())
            .text("reason", reason)
            .text("part", &identity.part_text());
        self.stats.count_quarantine_step("released");
    }
}

/// Whether an answer proves that its request did not harm the server.
pub(crate) fn is_exonerating(exchange: &Exchange) -> bool {
    let reply = exchange.reply();
    reply.is_some_and(|it| {
        it.is_success() && !it.is_unsigned() && it.head.framing != Framing::UntilClose
    })
}
