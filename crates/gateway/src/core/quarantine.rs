//! What follows when a request is lost with its server: was it a crash, and did the request cause it?

use std::time::Duration;

use crate::{broadcast::Update, core::{Core, Timer, control::{Outcome, Purpose}, exchange::Exchange, probe::PROBE_TIMEOUT, refusal::Refusal}, http::body::Framing, pool::{Presence, self}, quarantine::{Expiry, Identity, IncarnationId, Record, Verdict}};

/// How long after a connection was lost its server is asked whether it lives: by then the ends of its other
/// connections have come, so that none of these is used for the question.
const ASK_AFTER: Duration = Duration::from_millis(5);
/// How long after a server was found dead the others are told what ran there. Where many servers end at once, which
/// has another cause, nothing is told: of 60 engines that would be thousands of requests.
const TELL_AFTER: Duration = Duration::from_millis(120);
/// Requests in quarantine in one message to other instances: of about 50 bytes each.
const MOST_TOLD: usize = 8;
/// When a caller may come back whose request is held until what is known of its last losses has settled.
const HELD_RETRY_AFTER: Duration = Duration::from_millis(500);

impl Core {
    /// A run was lost with the connection to its server: it may have crashed. One that was leaving has just ended.
    pub(crate) fn note_lost(&mut self, place: usize) {
        let Some(exchange) = self.exchanges.get(place) else { return };
        let Some(server) = exchange.attempt.as_ref().map(|it| it.server) else { return };
        if self.pool.get(server).presence != Presence::Ready {
            return;
        }
        let (identity, life) = (*exchange.identity(), self.pool.get(server).incarnation_id());
        self.quarantine.record_loss(self.now, identity, life);
        self.end_held(identity);
        let row = self.pool.get_mut(server);
        if !row.is_check_pending {
            row.is_check_pending = true;
            self.set_timer(self.now + ASK_AFTER, Timer::Liveness(server));
        }
    }

    /// A server has started again, or was found to: what ran there is lost with its life.
    pub(crate) fn note_life_ended(&mut self, id: pool::Id) {
        let life = self.pool.get(id).incarnation_id();
        let lost: Vec<Identity> = self.exchanges_at(id).map(|it| *it.1.identity()).collect();
        for identity in lost {
            self.quarantine.record_loss(self.now, identity, life);
        }
        self.server_crashed(id);
    }

    /// A server has joined: whatever was at its address before has ended. Looking for that takes a pass over all
    /// servers, which an instance that starts would make for each of them.
    pub(crate) fn note_address_taken(&mut self, id: pool::Id) {
        if self.quarantine.is_empty() {
            return;
        }
        for earlier in self.pool.earlier_at_address(id).collect::<Vec<_>>() {
            self.server_crashed(earlier);
        }
    }

    /// Asks a server that lost its runs whether it lives.
    pub(crate) fn check_liveness(&mut self, id: pool::Id) {
        self.pool.get_mut(id).is_check_pending = false;
        self.request_report(id, PROBE_TIMEOUT, Purpose::Liveness(id));
    }

    /// A server that was asked whether it lives has answered, or hasn't. A late answer says nothing: it may be busy.
    pub(crate) fn liveness_checked(&mut self, id: pool::Id, outcome: &Outcome) {
        self.take_report(id, outcome);
        match outcome {
            Outcome::Refused => {
                self.server_crashed(id);
                self.server_unresponsive(id);
            }
            Outcome::Answered { .. } | Outcome::Reset
                if self.pool.get(id).presence != Presence::Gone =>
            {
                self.quarantine.record_alive(self.pool.get(id).incarnation_id());
            }
            // Its entry will tell.
            Outcome::Answered { .. } | Outcome::Reset | Outcome::NotSent | Outcome::Lost => {}
        }
        self.retry_after_liveness_check(id, matches!(outcome, Outcome::Refused));
    }

    /// A server is known to have ended without having left.
    pub(crate) fn server_crashed(&mut self, id: pool::Id) {
        if self.quarantine.is_empty() {
            return;
        }
        let server = self.pool.get(id);
        let (life, servers) = (server.incarnation_id(), self.pool.usable(&server.service).count());
        let implicated = self.quarantine.record_crash(self.now, life, servers);
        if implicated.is_empty() {
            return;
        }
        self.set_timer(self.now + TELL_AFTER, Timer::CrashReport(id));
        for identity in implicated {
            self.end_held(identity);
            let lives = self.quarantine.crashes(&identity).to_vec();
            // What crashes a second server is told at once: a third is at stake.
            if 1 < lives.len() {
                lives.iter().for_each(|it| self.tell_all(Update::Crashed(*it, vec![identity])));
            }
        }
    }

    /// Tells the others what ran at a server that crashed a moment ago.
    pub(crate) fn tell_crashed(&mut self, id: pool::Id) {
        let life = self.pool.get(id).incarnation_id();
        let implicated = self.quarantine.implicated(life);
        if !implicated.is_empty() {
            self.tell_all(Update::Crashed(life, implicated));
        }
    }

    /// Another instance tells of requests that ran at a server that crashed `age` ago.
    pub(crate) fn told_crashed(
        &mut self,
        age: Duration,
        life: IncarnationId,
        identities: &[Identity],
    ) {
        let at = self.now - age;
        let service =
            self.pool.find_by_incarnation_id(life).map(|it| self.pool.get(it).service.clone());
        let servers = service.map_or(0, |it| self.pool.usable(&it).count());
        for identity in identities {
            if self.quarantine.record_peer_crash(self.now, at, *identity, life, servers) {
                self.end_held(*identity);
            }
        }
    }

    /// Takes what another instance, or the store, knows of requests in quarantine.
    pub(crate) fn adopt_records(&mut self, records: &[Record], source: &'static str) {
        for record in records {
            if !self.quarantine.merge_record(self.now, record) {
                continue;
            }
            if record.is_released {
                self.log_released(&record.identity, source);
            } else {
                self.quarantined(record.identity, source);
            }
        }
    }

    /// What is held of a request that has come.
    pub(crate) fn standing(&mut self, place: usize) -> Verdict {
        if self.quarantine.is_empty() {
            return Verdict::Clear;
        }
        let Some(exchange) = self.exchanges.get(place) else { return Verdict::Clear };
        let identity = *exchange.identity();
        let standing = self.quarantine.verdict(self.now, &identity);
        if standing != Verdict::Clear {
            self.quarantine.record_arrival(self.now, &identity);
        }
        if standing == Verdict::Quarantined {
            self.refresh_quarantine(identity);
        }
        standing
    }

    /// A request was answered in full: whatever servers crashed under it, it wasn't the cause. An error, or an answer
    /// that ends with its connection, doesn't show that.
    pub(crate) fn clear_suspicion(&mut self, exchange: &Exchange, is_proof: bool) {
        if is_proof && !self.quarantine.is_empty() {
            self.release(*exchange.identity(), "answered");
        }
    }

    /// Forgets what speaks against a request. Says whether the others were told.
    pub(crate) fn release(&mut self, identity: Identity, reason: &'static str) -> bool {
        let is_told = self.quarantine.release(self.now, &identity);
        if is_told {
            self.log_released(&identity, reason);
            self.tell_all(Update::Released(identity));
            self.remove_quarantine(identity);
        }
        is_told
    }

    /// Another instance has released a request.
    pub(crate) fn told_released(&mut self, identity: &Identity) {
        if self.quarantine.release(self.now, identity) {
            self.log_released(identity, "told by an instance");
        }
    }

    /// What the others are told of requests in quarantine now.
    pub(crate) fn told_records(&mut self) -> Vec<Record> {
        self.quarantine.next_records(self.now, MOST_TOLD)
    }

    /// Puts requests in quarantine, and ends the quarantines that are over.
    pub(crate) fn sweep_quarantine(&mut self) {
        for (identity, is_own) in self.quarantine.evaluate(self.now) {
            self.quarantined(identity, "crashes");
            if is_own {
                self.write_quarantine(identity);
            }
        }
        for (identity, expiry) in self.quarantine.expire(self.now) {
            let event = match expiry {
                Expiry::OnTrial => "on_trial",
                Expiry::Forgotten => "forgotten",
            };
            self.journal.line(self.now, event).text("identity", &identity.to_string());
            self.stats.quarantine(event);
            if expiry == Expiry::OnTrial {
                self.drop_quarantine(identity);
            }
        }
    }

    /// The refusal of a request that isn't sent to any server.
    pub(crate) fn refuse_quarantined(&self, standing: Verdict) -> Refusal {
        let after = match standing {
            Verdict::Quarantined => self.quarantine.retention(),
            Verdict::Clear | Verdict::Suspect | Verdict::Held => HELD_RETRY_AFTER,
        };
        Refusal::Quarantined { after }
    }

    /// A request is in quarantine from now on.
    fn quarantined(&mut self, identity: Identity, reason: &str) {
        self.journal
            .line(self.now, "quarantined")
            .text("identity", &identity.to_string())
            .text("reason", reason)
            .number("crashes", self.quarantine.crashes(&identity).len());
        self.stats.quarantine("quarantined");
        self.end_held(identity);
    }

    /// Ends tries of a request that isn't sent to any server any more, unless they have begun to be answered.
    fn end_held(&mut self, identity: Identity) {
        let standing = self.quarantine.verdict(self.now, &identity);
        if !matches!(standing, Verdict::Held | Verdict::Quarantined) {
            return;
        }
        let is_its = |it: &Exchange| {
            it.attempt.is_some() && !it.delivery.has_begun && *it.identity() == identity
        };
        let places = self.exchanges.iter().filter(|it| is_its(it.1)).map(|it| it.0);
        for place in places.collect::<Vec<_>>() {
            self.refuse_or_fail(place, self.refuse_quarantined(standing));
        }
    }

    fn log_released(&mut self, identity: &Identity, reason: &str) {
        self.journal
            .line(self.now, "released")
            .text("identity", &identity.to_string())
            .text("reason", reason);
        self.stats.quarantine("released");
    }
}

/// Whether an answer shows that its request does no harm.
pub(crate) fn is_proof(exchange: &Exchange) -> bool {
    let reply = exchange.reply();
    reply.is_some_and(|it| {
        it.is_success() && !it.is_unsigned() && it.head.framing != Framing::UntilClose
    })
}
