//! Rate limits that backend servers advertise, and the permits for requests to such servers.

use std::time::Duration;

use shallotlead_base::time::Time;

use crate::{
    adapter::RateLimit,
    broadcast::Update,
    core::{Core, Timer, exchange::Exchange, reply::Reply},
    gossip::{Datagram, LimitReport, Member, PermitReply, PermitRequest},
    placement::Choice,
    pool::{self, Server},
    rate_limit::{self, Permission},
};

/// How long a request waits for a permit before it is sent elsewhere: ten times the round trip
/// between nearby data centres.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(25);

/// A request's wait for a permit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PermitWait {
    /// The server for which the permit is needed.
    server: pool::Id,
    /// When the wait ends.
    until: Time,
}

/// What an answer says about its server's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Advertised {
    /// The answer doesn't say anything about it.
    Nothing,
    /// Requests a second; `None` if there is no limit.
    Limit(Option<f64>),
    /// The value isn't a valid rate.
    Unreadable,
}

/// Reads from an answer what its server says about its limit.
///
/// Nothing follows from an answer of another server at the same address, or from one without the
/// server's signature. A server that declines a request need not repeat its limit.
pub(crate) fn advertised_limit(reply: &Reply) -> Advertised {
    advertised(reply, reply.answer.rate_limit)
}

/// The same for how many rejections it bears.
pub(crate) fn advertised_tolerance(reply: &Reply) -> Advertised {
    advertised(reply, reply.answer.overload_tolerance)
}

fn advertised(reply: &Reply, rate: RateLimit) -> Advertised {
    match rate {
        _ if reply.head.status == 421 => Advertised::Nothing,
        RateLimit::PerSecond(it) => Advertised::Limit(Some(it)),
        RateLimit::None if reply.answer.is_signed => Advertised::Limit(None),
        RateLimit::None => Advertised::Nothing,
        RateLimit::Unreadable => Advertised::Unreadable,
    }
}

impl Core {
    /// Applies the limit that a server advertised in the answer to a request that was sent at
    /// `sent`.
    pub(crate) fn apply_limit(&mut self, id: pool::Id, sent: Time, advertised: Advertised) {
        let (at, per_second) = match advertised {
            Advertised::Nothing => return,
            Advertised::Limit(Some(it)) => (self.now, Some(it)),
            Advertised::Limit(None) => (sent, None),
            Advertised::Unreadable => {
                self.stats.count_unreadable_rate_limit();
                return;
            }
        };
        let limit = &mut self.pool.get_mut(id).limit;
        let before = limit.per_second();
        let is_news = limit.observe(at, per_second);
        self.log_rate_limit(id, before, "answer");
        if is_news {
            let report = self.limit_report(id);
            self.broadcast(Update::LimitChange(report));
        }
    }

    /// Applies a limit that another instance reported `age` ago.
    pub(crate) fn apply_peer_rate_limit(&mut self, report: &LimitReport, age: Duration) {
        let Some(id) = self.pool.find_incarnation(&report.server, report.incarnation) else {
            return;
        };
        let at = self.now - age - Duration::from_millis(u64::from(report.age_ms));
        let limit = &mut self.pool.get_mut(id).limit;
        let before = limit.per_second();
        limit.adopt(at, report.per_second);
        self.log_rate_limit(id, before, "told by an instance");
    }

    /// Sends the request to the chosen server if its rate limit permits, else waits for a permit or
    /// looks for another server.
    pub(crate) fn send_permitted(&mut self, index: usize, choice: &Choice) {
        match self.acquire_permit(choice.server) {
            Permission::Granted => self.send_attempt(index, choice),
            // The server's limit is exhausted from now on, so another one is chosen.
            Permission::Denied => self.dispatch(index),
            Permission::Ask => self.await_permit(index, choice.server),
        }
    }

    /// Acquires a permit for a request or a probe to the server.
    pub(crate) fn acquire_permit(&mut self, id: pool::Id) -> Permission {
        self.presume_tolerance(id);
        if !self.pool.get(id).limit.needs_permit() {
            return Permission::Granted;
        }
        let share = self.limit_share(id);
        let permission = self.pool.get_mut(id).limit.acquire(self.now, share);
        match permission {
            Permission::Granted => self.stats.count_permit("used"),
            Permission::Denied => self.stats.count_permit("denied"),
            Permission::Ask => {}
        }
        permission
    }

    /// Asks the owner of the server's limit for a permit.
    pub(crate) fn request_permit(&mut self, id: pool::Id) {
        let owner = self.limit_owner(self.pool.get(id)).peers;
        let reply_to = self.members.me().peers;
        let is_at_risk = self.pool.get(id).limit.tolerance().is_some();
        let tolerance = is_at_risk.then(|| self.tolerance_report(id));
        let (limit, asked) = (self.limit_report(id), Some(self.now));
        let request = PermitRequest { limit, reply_to, tolerance, asked };
        self.send_to(&[owner], &Datagram::PermitRequest(request));
    }

    fn await_permit(&mut self, index: usize, server: pool::Id) {
        let now = self.now;
        let Some(exchange) = self.exchanges.get_mut(index) else { return };
        let until = (now + PERMIT_TIMEOUT).min(exchange.deadline);
        exchange.permit_wait = Some(PermitWait { server, until });
        self.log
            .line(now, "permit_asked")
            .text("request", exchange.id())
            .text("server", &self.pool.get(server).name);
        let serial = exchange.serial;
        self.set_timer(until, Timer::Exchange(index, serial));
        self.request_permit(server);
    }

    /// Checks on a request that may be waiting for a permit. Returns whether it keeps waiting.
    pub(crate) fn check_permit_wait(&mut self, index: usize) -> bool {
        let Some(exchange) = self.exchanges.get_mut(index) else { return false };
        let Some(wait) = exchange.permit_wait else { return false };
        if self.now < wait.until {
            return true;
        }
        exchange.permit_wait = None;
        self.stats.count_permit("unanswered");
        self.pool.get_mut(wait.server).limit.record_timeout(self.now);
        false
    }

    /// Answers another instance's permit request, which waited here for `queued_for`.
    pub(crate) fn handle_permit_request(&mut self, request: &PermitRequest, queued_for: Duration) {
        let PermitRequest { limit, reply_to, tolerance, asked } = request;
        if let Some(report) = tolerance {
            self.apply_peer_tolerance(report, queued_for);
        }
        // An instance that has a permit to ask for the tolerance's sake may know nothing of a limit.
        if limit.per_second.is_some() || tolerance.is_none() {
            self.apply_peer_rate_limit(limit, queued_for);
        }
        // The server's entry hasn't arrived here yet; the other instance will ask again.
        let Some(id) = self.pool.find_incarnation(&limit.server, limit.incarnation) else { return };
        let share = self.limit_share(id);
        let reply = self.pool.get_mut(id).limit.grant(self.now, share);
        let LimitReport { server, incarnation, .. } = limit;
        let message =
            PermitReply { server: server.clone(), incarnation: *incarnation, reply, asked: *asked };
        self.send_to(&[*reply_to], &Datagram::PermitReply(message));
    }

    /// Handles the reply of a limit's owner: dispatches the requests that waited for it.
    pub(crate) fn handle_permit_reply(&mut self, reply: &PermitReply) {
        let Some(id) = self.pool.find_incarnation(&reply.server, reply.incarnation) else {
            return;
        };
        let asked = self.asked_at(reply.asked);
        if !self.pool.get_mut(id).limit.apply_reply(self.now, asked, reply.reply) {
            return;
        }
        let is_waiting = |it: &PermitWait| it.server == id;
        let waiting =
            self.exchanges.iter().filter(|it| it.1.permit_wait.as_ref().is_some_and(is_waiting));
        let is_at_risk = self.pool.get(id).limit.tolerance().is_some();
        let urgency = |it: &Exchange| if is_at_risk { it.priority() } else { 0 };
        let mut waiting: Vec<(u8, Time, usize)> =
            waiting.map(|it| (urgency(it.1), it.1.arrived, it.0)).collect();
        waiting.sort_unstable();
        let permits = match reply.reply {
            rate_limit::Reply::Granted(it) => usize::from(it),
            rate_limit::Reply::Denied(_) => {
                self.stats.count_permit("denied");
                waiting.len()
            }
        };
        for (.., index) in waiting.into_iter().take(permits) {
            self.dispatch(index);
        }
    }

    /// The instance that owns the server's limit and hands out its permits.
    pub(crate) fn limit_owner(&self, server: &Server) -> &Member {
        self.members.owner(self.now, server.incarnation_id(), &server.centre)
    }

    /// The share of the server's limit that this instance hands out; `None` if another one owns it.
    fn limit_share(&self, id: pool::Id) -> Option<f64> {
        let is_owner = self.limit_owner(self.pool.get(id)).name == self.members.me().name;
        is_owner.then(|| self.members.alive_fraction(self.now))
    }

    fn limit_report(&self, id: pool::Id) -> LimitReport {
        let server = self.pool.get(id);
        LimitReport {
            server: server.name.clone(),
            incarnation: server.incarnation,
            per_second: server.limit.per_second(),
            age_ms: server.limit.age(self.now).as_millis() as u32,
        }
    }

    fn log_rate_limit(&mut self, id: pool::Id, before: Option<f64>, source: &str) {
        let server = self.pool.get(id);
        let per_second = server.limit.per_second();
        if rate_limit::is_notable_change(before, per_second) {
            self.log
                .line(self.now, "rate_limit")
                .text("server", &server.name)
                .text("per_second", &format_rate(per_second))
                .text("before", &format_rate(before))
                .text("source", source);
        }
    }
}

pub(super) fn format_rate(rate: Option<f64>) -> String {
    rate.map_or_else(|| "none".into(), |it| format!("{it:.2}"))
}
