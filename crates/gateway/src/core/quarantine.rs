//! What follows when a request is lost with its server: was it a crash, and did the request cause it?

use crate::{
    core::{Core, Timer, errand::Outcome, exchange::Exchange, refusal::Refusal},
    pool::{self, Presence},
    quarantine::{Expiry, Identity, Life, Record, Verdict},
    rumour::Rumour,
};

/// How long after a connection was lost its server is asked whether it lives: by then the ends of its other
/// connections have come, so that none of these is used for the question.
const ASK_AFTER: std::time::Duration = std::time::Duration::from_millis(5);
/// Requests in quarantine in one message to other instances: of about 50 bytes each.
const MOST_TOLD: usize = 8;

impl Core {
    /// A run was lost with the connection to its server: it may have crashed. One that was leaving has just ended.
    pub(crate) fn note_lost(&mut self, place: usize) {
        let Some(exchange) = self.exchanges.get(place) else { return };
        let Some(server) = exchange.attempt.as_ref().map(|it| it.server) else { return };
        if self.pool.get(server).presence != Presence::Ready {
            return;
        }
        let life = self.pool.get(server).life();
        self.quarantine.lost(self.now, *exchange.identity(), life);
        let row = self.pool.get_mut(server);
        if !row.is_doubted {
            row.is_doubted = true;
            self.at(self.now + ASK_AFTER, Timer::Doubt(server));
        }
    }

    /// A server has started again, or was found to: what ran there is lost with its life.
    pub(crate) fn note_life_ended(&mut self, id: pool::Id) {
        let life = self.pool.get(id).life();
        let lost: Vec<Identity> = self.exchanges_at(id).map(|it| *it.1.identity()).collect();
        for identity in lost {
            self.quarantine.lost(self.now, identity, life);
        }
        self.server_crashed(id);
    }

    /// Asks a server that lost its runs whether it lives.
    pub(crate) fn ask_doubted(&mut self, id: pool::Id) {
        self.pool.get_mut(id).is_doubted = false;
        self.probe(id);
    }

    /// A server that was asked whether it lives has answered, or hasn't.
    pub(crate) fn settle_doubt(&mut self, id: pool::Id, outcome: &Outcome) {
        match outcome {
            Outcome::NotSent => self.server_crashed(id),
            Outcome::Answered { .. } if self.pool.get(id).presence != Presence::Gone => {
                self.quarantine.lives(self.pool.get(id).life());
            }
            // Its entry will tell.
            Outcome::Answered { .. } | Outcome::Reset | Outcome::Lost => {}
        }
    }

    /// A server is known to have ended without having left: tells the others what ran there.
    pub(crate) fn server_crashed(&mut self, id: pool::Id) {
        if self.quarantine.is_empty() {
            return;
        }
        let life = self.pool.get(id).life();
        for identity in self.quarantine.crashed(self.now, life) {
            self.tell_all(Rumour::Crashed(identity, life));
            if self.weigh_evidence(identity) {
                self.write_verdict(identity);
            }
        }
    }

    /// Another instance tells of a request that ran at a server that crashed.
    pub(crate) fn told_crashed(&mut self, identity: Identity, life: Life) {
        if self.quarantine.told(self.now, identity, life) {
            self.weigh_evidence(identity);
        }
    }

    /// Takes the requests that another instance, or the store, has in quarantine.
    pub(crate) fn adopt_records(&mut self, records: &[Record], source: &'static str) {
        for record in records {
            if self.quarantine.adopt(self.now, record) {
                self.quarantined(record.identity, source);
            }
        }
    }

    /// What is held of a request.
    pub(crate) fn verdict(&mut self, place: usize) -> Verdict {
        if self.quarantine.is_empty() {
            return Verdict::Clear;
        }
        let Some(exchange) = self.exchanges.get(place) else { return Verdict::Clear };
        let servers = self.pool.listed().count();
        let identity = *exchange.identity();
        let verdict = self.quarantine.verdict(self.now, &identity, servers);
        if verdict == Verdict::Quarantined && self.quarantine.is_convicted(&identity) {
            self.refresh_verdict(identity);
        }
        verdict
    }

    /// A request was answered: whatever servers crashed under it, it wasn't the cause.
    pub(crate) fn clear_suspicion(&mut self, exchange: &Exchange) {
        if !self.quarantine.is_empty() {
            self.release(*exchange.identity(), "answered");
        }
    }

    /// Forgets what speaks against a request. Says whether there was anything that others should know of.
    pub(crate) fn release(&mut self, identity: Identity, reason: &'static str) -> bool {
        let is_news = self.quarantine.release(self.now, &identity);
        if is_news {
            self.journal
                .line(self.now, "released")
                .text("identity", &identity.to_string())
                .text("reason", reason);
            self.stats.quarantine("released");
            self.tell_all(Rumour::Released(identity));
            self.remove_verdict(identity);
        }
        is_news
    }

    /// Another instance has released a request.
    pub(crate) fn told_released(&mut self, identity: &Identity) {
        if self.quarantine.release(self.now, identity) {
            self.journal
                .line(self.now, "released")
                .text("identity", &identity.to_string())
                .text("reason", "told by an instance");
        }
    }

    /// Requests in quarantine that the others are told of now.
    pub(crate) fn told_records(&self) -> Vec<Record> {
        let mut records = self.quarantine.records(self.now);
        records.truncate(MOST_TOLD);
        records
    }

    /// Ends the quarantines that are over.
    pub(crate) fn sweep_quarantine(&mut self) {
        for (identity, expiry) in self.quarantine.expire(self.now) {
            let event = match expiry {
                Expiry::OnTrial => "on_trial",
                Expiry::Forgotten => "forgotten",
            };
            self.journal.line(self.now, event).text("identity", &identity.to_string());
            self.stats.quarantine(event);
            if expiry == Expiry::OnTrial {
                self.drop_verdict(identity);
            }
        }
    }

    /// Says whether the request is in quarantine from now on.
    fn weigh_evidence(&mut self, identity: Identity) -> bool {
        let servers = self.pool.listed().count();
        let is_convicted = self.quarantine.judge(&identity, servers);
        if is_convicted {
            self.quarantined(identity, "crashes");
        }
        is_convicted
    }

    /// A request is in quarantine from now on: those of its runs that haven't begun go no further.
    fn quarantined(&mut self, identity: Identity, reason: &str) {
        self.journal
            .line(self.now, "quarantined")
            .text("identity", &identity.to_string())
            .text("reason", reason)
            .number("crashes", self.quarantine.crashes(&identity));
        self.stats.quarantine("quarantined");
        let is_its = |it: &Exchange| !it.delivery.has_begun && *it.identity() == identity;
        let places = self.exchanges.iter().filter(|it| is_its(it.1)).map(|it| it.0);
        for place in places.collect::<Vec<_>>() {
            self.give_up(place, self.refuse_quarantined());
        }
    }

    /// The refusal of a request in quarantine.
    pub(crate) fn refuse_quarantined(&self) -> Refusal {
        Refusal::Quarantined { after: self.quarantine.keep() }
    }
}
