//! Rate limits that backend servers name: what follows from their answers, and permits for requests.

use std::time::Duration;

use shallotlead_base::time::Time;

use crate::{adapter::RateLimit, broadcast::Update, core::{Core, Timer, attempt::Reply, exchange::WAIT_PART}, gossip::{Datagram, LimitReport, Member, PermitReply, PermitRequest}, placement::Choice, pool::{Server, self}, rate_limit::{Permission, self}};

/// How long a request waits for a permit before it goes elsewhere: ten times what a question takes between nearby
/// data centres.
const PERMIT_WAIT: Duration = Duration::from_millis(25);

/// What a request waits for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Awaited {
    /// A permit for this server.
    server: pool::Id,
    /// How long it waits.
    until: Time,
}

/// What an answer says of its server's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Said {
    /// Nothing.
    Nothing,
    /// Requests a second; `None`: there is no limit.
    Limit(Option<f64>),
    /// Something that is no rate.
    Unreadable,
}

/// What an answer says of its server's limit, if it says anything.
///
/// An answer of another server at the address, or one that ends without the server's signature, speaks for nobody;
/// a word that nothing was run needn't repeat the limit.
pub(crate) fn limit_said(reply: &Reply) -> Said {
    match reply.answer.rate_limit {
        _ if reply.head.status == 421 => Said::Nothing,
        RateLimit::PerSecond(it) => Said::Limit(Some(it)),
        RateLimit::None if reply.answer.is_signed => Said::Limit(None),
        RateLimit::None => Said::Nothing,
        RateLimit::Unreadable => Said::Unreadable,
    }
}

impl Core {
    /// A server's answer to a request that was `sent` then says what it takes.
    pub(crate) fn take_limit(&mut self, id: pool::Id, sent: Time, said: Said) {
        let (at, per_second) = match said {
            Said::Nothing => return,
            Said::Limit(Some(it)) => (self.now, Some(it)),
            Said::Limit(None) => (sent, None),
            Said::Unreadable => {
                self.stats.rate_limit_unreadable();
                return;
            }
        };
        let limit = &mut self.pool.get_mut(id).limit;
        let before = limit.per_second();
        let is_news = limit.observe(at, per_second);
        self.log_rate_limit(id, before, "answer");
        if is_news {
            let limited = self.limited(id);
            self.tell_all(Update::LimitChange(limited));
        }
    }

    /// Another instance told `age` ago what a server said.
    pub(crate) fn told_rate_limit(&mut self, limited: &LimitReport, age: Duration) {
        let Some(id) = self.pool.find_incarnation(&limited.server, limited.born) else { return };
        let at = self.now - age - Duration::from_millis(u64::from(limited.age_ms));
        let limit = &mut self.pool.get_mut(id).limit;
        let before = limit.per_second();
        limit.adopt(at, limited.per_second);
        self.log_rate_limit(id, before, "told by an instance");
    }

    /// Sends the request to the chosen server, once its limit allows it.
    pub(crate) fn send_permitted(&mut self, place: usize, choice: &Choice) {
        match self.acquire_permit(choice.server) {
            Permission::Granted => self.send_attempt(place, choice),
            // The server counts as closed from now on.
            Permission::Denied => self.dispatch(place),
            Permission::Ask => self.await_permit(place, choice.server),
        }
    }

    /// Whether a request, or a probe, may be sent to the server now.
    pub(crate) fn acquire_permit(&mut self, id: pool::Id) -> Permission {
        if self.pool.get(id).limit.per_second().is_none() {
            return Permission::Granted;
        }
        let share = self.limit_share(id);
        let permission = self.pool.get_mut(id).limit.acquire(self.now, share);
        match permission {
            Permission::Granted => self.stats.permit("used"),
            Permission::Denied => self.stats.permit("denied"),
            Permission::Ask => {}
        }
        permission
    }

    /// Asks the home of the server's limit for a permit.
    pub(crate) fn ask_permit(&mut self, id: pool::Id) {
        let home = self.limit_home(self.pool.get(id)).peers;
        let reply_to = self.members.me().peers;
        let asked = PermitRequest { limit: self.limited(id), reply_to };
        self.send_to(&[home], &Datagram::PermitRequest(asked));
    }

    fn await_permit(&mut self, place: usize, server: pool::Id) {
        let now = self.now;
        let Some(exchange) = self.exchanges.get_mut(place) else { return };
        let until = now + PERMIT_WAIT.min(exchange.route.latency_target / WAIT_PART);
        exchange.awaited = Some(Awaited { server, until });
        self.journal
            .line(now, "permit_asked")
            .text("request", exchange.id())
            .text("server", &self.pool.get(server).name);
        let serial = exchange.serial;
        self.set_timer(until, Timer::Exchange(place, serial));
        self.ask_permit(server);
    }

    /// A time has come for a request that may be waiting for a permit. Says whether it goes on waiting.
    pub(crate) fn awaits_permit(&mut self, place: usize) -> bool {
        let Some(exchange) = self.exchanges.get_mut(place) else { return false };
        let Some(awaited) = exchange.awaited else { return false };
        if self.now < awaited.until {
            return true;
        }
        exchange.awaited = None;
        self.stats.permit("unanswered");
        self.pool.get_mut(awaited.server).limit.note_timeout(self.now);
        false
    }

    /// Another instance wants a permit, and asked `held` ago.
    pub(crate) fn permit_asked(&mut self, asked: &PermitRequest, held: Duration) {
        let PermitRequest { limit, reply_to } = asked;
        self.told_rate_limit(limit, held);
        // Its entry is on the way here; the other one asks again.
        let Some(id) = self.pool.find_incarnation(&limit.server, limit.born) else { return };
        let share = self.limit_share(id);
        let reply = self.pool.get_mut(id).limit.grant(self.now, share);
        let answered = PermitReply { server: limit.server.clone(), born: limit.born, reply };
        self.send_to(&[*reply_to], &Datagram::PermitReply(answered));
    }

    /// The home of a limit has answered: requests that waited for it go there, or elsewhere.
    pub(crate) fn permit_answered(&mut self, answered: &PermitReply) {
        let Some(id) = self.pool.find_incarnation(&answered.server, answered.born) else { return };
        self.pool.get_mut(id).limit.apply_reply(self.now, answered.reply);
        let is_waiting = |it: &Awaited| it.server == id;
        let waiting =
            self.exchanges.iter().filter(|it| it.1.awaited.as_ref().is_some_and(is_waiting));
        let mut waiting: Vec<(Time, usize)> = waiting.map(|it| (it.1.arrived, it.0)).collect();
        waiting.sort_unstable();
        let go_on = match answered.reply {
            rate_limit::Reply::Granted(permits) => usize::from(permits),
            rate_limit::Reply::Denied(_) => {
                self.stats.permit("denied");
                waiting.len()
            }
        };
        for (_, place) in waiting.into_iter().take(go_on) {
            self.dispatch(place);
        }
    }

    /// The instance that hands out permits for the server.
    pub(crate) fn limit_home(&self, server: &Server) -> &Member {
        self.members.owner(self.now, server.incarnation_id(), &server.centre)
    }

    /// The part of the server's limit that this instance hands out; `None` if it isn't the limit's home.
    fn limit_share(&self, id: pool::Id) -> Option<f64> {
        let is_home = self.limit_home(self.pool.get(id)).name == self.members.me().name;
        is_home.then(|| self.members.alive_fraction(self.now))
    }

    fn limited(&self, id: pool::Id) -> LimitReport {
        let server = self.pool.get(id);
        LimitReport {
            server: server.name.clone(),
            born: server.born,
            per_second: server.limit.per_second(),
            age_ms: server.limit.age(self.now).as_millis() as u32,
        }
    }

    fn log_rate_limit(&mut self, id: pool::Id, before: Option<f64>, source: &str) {
        let server = self.pool.get(id);
        let per_second = server.limit.per_second();
        if rate_limit::is_notable_change(before, per_second) {
            self.journal
                .line(self.now, "rate_limit")
                .text("server", &server.name)
                .text("per_second", &shown(per_second))
                .text("before", &shown(before))
                .text("source", source);
        }
    }
}

fn shown(rate: Option<f64>) -> String {
    rate.map_or_else(|| "none".into(), |it| format!("{it:.2}"))
}
