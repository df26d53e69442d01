//! One caller's request, from its head to its final answer.

use std::{cell::OnceCell, net::SocketAddr, sync::Arc, time::Duration};

use shallotlead_base::time::Time;

use crate::{adapter::RequestInfo, admission::Admission, config::{Execution, Organisation, Route}, core::{Core, Timer, answer::record_answer_time, attempt::{Attempt, REASON_SILENT, Reply}, rate_limit::Awaited, refusal::Refusal, retry::Retry}, http::head::Request, net::Key, placement::{Criteria, Reach, Shortage, self}, pool, quarantine::{Identity, Verdict}};

/// Part of the aim for which a request may wait for a server before it is refused; a refusal that
/// comes later than that helps its caller less.
pub(crate) const WAIT_PART: u32 = 8;
/// How long a stream may stand still while no server can go on with it: callers leave after a gap of
/// two seconds.
const STREAM_WAIT: Duration = Duration::from_millis(1_800);
/// Pause between two looks for a server.
const LOOK_AGAIN: Duration = Duration::from_millis(15);
/// What an answer needs to reach its caller before the deadline.
const ON_THE_WAY: Duration = Duration::from_millis(10);
/// Silence of a server after which a request that may run again is sent elsewhere, unless the server
/// says that others wait there too. Sending it again then would only make the queues longer.
const SILENCE: Duration = Duration::from_millis(900);
/// How old a server's word on its queue may be to count for that.
const QUEUE_KNOWN: Duration = Duration::from_millis(600);
/// Pause between two looks at a server that has a queue.
const QUEUE_LOOK: Duration = Duration::from_millis(450);
/// The same as a multiple of the aim, if that is longer.
const SILENCE_AIMS: u32 = 3;

/// One caller's request.
pub(crate) struct Exchange {
    pub(crate) serial: u64,
    pub(crate) caller: Key,
    pub(crate) head: Request,
    pub(crate) body: Vec<u8>,
    pub(crate) ask: RequestInfo,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Arc<str>,
    pub(crate) organisation: Option<Arc<Organisation>>,
    pub(crate) arrived: Time,
    /// No answer is of use after it: the caller's bound or the route's.
    pub(crate) deadline: Time,
    /// Servers that it may have run on.
    pub(crate) runs: u8,
    /// Servers that it was sent to, whatever became of it.
    pub(crate) sends: u8,
    /// Times that its stream was sent again after it had been turned away.
    pub(crate) resends: u8,
    /// Servers that turned it away or failed it.
    pub(crate) excluded: Vec<pool::Id>,
    /// What it is known by when it comes again, once someone has asked.
    identity: OnceCell<Identity>,
    /// The server that has a copy of what runs at the attempt's, to go on there if that one is lost.
    pub(crate) copy: Option<pool::Id>,
    /// Where the copy lies from which the next attempt goes on.
    pub(crate) goes_on_from: Option<SocketAddr>,
    pub(crate) attempt: Option<Attempt>,
    /// Its stream has lost its server and waits to be sent again.
    pub(crate) retry: Option<Retry>,
    /// It waits for a permit to be sent to a server that limits its rate.
    pub(crate) awaited: Option<Awaited>,
    pub(crate) delivery: Delivery,
}

/// Where a request belongs.
struct Admitted {
    route: Arc<Route>,
    organisation: Option<Arc<Organisation>>,
    service: Arc<str>,
}

/// What the caller has of the answer.
#[derive(Debug, Default)]
pub(crate) struct Delivery {
    /// The head was sent.
    pub(crate) has_begun: bool,
    /// Number of the last event that was sent.
    pub(crate) last_event: Option<u64>,
    /// Bytes of an event that isn't complete yet, or of a whole answer.
    pub(crate) pending: Vec<u8>,
    /// When the last piece was sent.
    pub(crate) last_piece: Time,
    /// The longest time between two pieces.
    pub(crate) longest_pause: Duration,
    /// When the first piece was sent.
    pub(crate) first_piece: Option<Time>,
}

impl Admission {
    fn of(exchange: &Exchange, shortest_aim: Option<Duration>) -> Self {
        Self {
            latency_target: exchange.route.latency_target,
            shortest_target: shortest_aim.unwrap_or(exchange.route.latency_target),
            deadline: exchange.ask.deadline,
            timeout: exchange.route.timeout,
            is_new_prompt: exchange.ask.model.is_some()
                && exchange.runs == 0
                && !exchange.delivery.has_begun,
        }
    }
}

impl Exchange {
    /// Whether it may run more than once.
    pub(crate) fn is_repeatable(&self) -> bool {
        self.route.execution == Execution::Idempotent
    }

    /// Whether it may have run, and must not run again.
    pub(crate) fn is_spent(&self) -> bool {
        0 < self.runs && !self.is_repeatable()
    }

    /// Rank: the organisation's goes before the route's.
    pub(crate) fn urgency(&self) -> u8 {
        let own = self.organisation.as_ref().and_then(|it| it.priority);
        own.unwrap_or(self.route.priority)
    }

    /// The organisation, if it shares no cached prompts.
    pub(crate) fn wall(&self) -> Option<&str> {
        self.organisation.as_ref().filter(|it| it.is_isolated).map(|it| &*it.name)
    }

    /// The head of the answer that the attempt under way brings, once it came.
    pub(crate) fn reply(&self) -> Option<&Reply> {
        self.attempt.as_ref()?.reply.as_ref()
    }

    pub(crate) fn id(&self) -> &str {
        self.ask.id.as_deref().unwrap_or_default()
    }

    /// What it is known by when it comes again.
    pub(crate) fn identity(&self) -> &Identity {
        let organisation = self.organisation.as_ref().map_or("", |it| &*it.name);
        let Self { head, ask, body, .. } = self;
        let identity = || Identity::of(organisation, &head.method, &ask.host, &head.target, body);
        self.identity.get_or_init(identity)
    }

    /// Until when it may wait for a server, or for the budget to send it to one.
    pub(crate) fn patience(&self) -> Time {
        match self.delivery.has_begun {
            true => self.delivery.last_piece + STREAM_WAIT,
            false => self.arrived + self.route.latency_target / WAIT_PART,
        }
    }

    fn silence(&self) -> Duration {
        SILENCE.max(self.route.latency_target * SILENCE_AIMS)
    }
}

impl Core {
    /// A caller's request is complete.
    pub(crate) fn begin(&mut self, caller: Key, head: Request, body: Vec<u8>, arrived: Time) {
        let ask = self.dialect.parse_request(&head);
        let found = self.admit(&head, &ask);
        let Admitted { route, organisation, service } = match found {
            Ok(it) => it,
            Err(refusal) => {
                self.refuse(caller, head.keeps_alive(), &ask, refusal, arrived);
                return;
            }
        };
        self.budget.count_request(self.now, &service);
        let bound = ask.deadline.map_or(route.timeout, |it| it.min(route.timeout));
        let deadline = arrived + bound.saturating_sub(ON_THE_WAY);
        let serial = self.allocate_serial();
        let last_event = ask.last_event;
        let exchange = Exchange {
            serial,
            caller,
            head,
            body,
            ask,
            route,
            service,
            organisation,
            arrived,
            deadline,
            runs: 0,
            sends: 0,
            resends: 0,
            excluded: Vec::new(),
            identity: OnceCell::new(),
            copy: None,
            goes_on_from: None,
            attempt: None,
            retry: None,
            awaited: None,
            delivery: Delivery { last_event, ..Delivery::default() },
        };
        let place = self.exchanges.insert(exchange);
        self.mark_caller_busy(caller, place);
        self.set_timer(deadline, Timer::Exchange(place, serial));
        self.dispatch(place);
    }

    fn admit(&self, head: &Request, ask: &RequestInfo) -> Result<Admitted, Refusal> {
        if self.has_stopped_accepting() {
            return Err(Refusal::Leaving);
        }
        let Some(catalog) = &self.catalog else { return Err(Refusal::Starting) };
        let (route, organisation) = catalog.route(&ask.host, head.path(), ask.key.as_deref())?;
        let Some(id) = &ask.id else { return Err(Refusal::NoId) };
        let service = route.service(id).ok_or(Refusal::Shortage(Shortage::NoServer))?;
        let service = service.clone();
        Ok(Admitted { route, organisation, service })
    }

    /// Sends the request to the best server, or finds out that none can take it now.
    pub(crate) fn dispatch(&mut self, place: usize) {
        // Guards against a second run of what may run once, whatever brought it here: a copy that is gone, or
        // a server that can't be reached any more.
        if self.exchanges.get(place).is_some_and(Exchange::is_spent) {
            self.fail_exchange(place, 502, "may-have-run");
            return;
        }
        let standing = self.standing(place);
        if matches!(standing, Verdict::Held | Verdict::Quarantined) {
            self.refuse_or_fail(place, self.refuse_quarantined(standing));
            return;
        }
        let random = self.random();
        let Some(exchange) = self.exchanges.get_mut(place) else { return };
        exchange.awaited = None;
        let Some(exchange) = self.exchanges.get(place) else { return };
        let wish = Criteria { is_suspect: standing == Verdict::Suspect, ..self.wish(exchange) };
        let shortest = self.catalog.as_ref().and_then(|it| it.shortest_target(&exchange.service));
        let admission = Admission::of(exchange, shortest);
        let choose = |wish: &Criteria<'_>| {
            placement::choose(&self.pool, &self.memory, self.now, wish, random)
        };
        let is_large = self.members.is_large() && wish.model.is_some();
        let near = if is_large { choose(&wish).ok() } else { None };
        // Servers elsewhere look idle, as nobody tells of what is sent there: they take over only where
        // none is left nearby.
        let chosen = match near {
            Some(choice) => Ok(choice),
            None => {
                let reach = if is_large { Reach::Spillover } else { Reach::All };
                choose(&Criteria { reach, ..wish })
            }
        };
        match chosen {
            Ok(choice) if admission.refuses(&choice) => {
                let (after, wait) = (admission.retry_after(&choice), choice.wait());
                self.refuse_or_fail(place, Refusal::Overload { after, wait });
            }
            Ok(choice) => self.send_permitted(place, &choice),
            Err(shortage) => self.wait_or_refuse(place, shortage),
        }
    }

    /// What the request asks of a server.
    pub(crate) fn wish<'a>(&'a self, exchange: &'a Exchange) -> Criteria<'a> {
        let engine = self.service(&exchange.service).and_then(|it| it.engine.as_ref());
        let prefix = placement::prefix_key(&exchange.ask.parts);
        Criteria {
            fetch_ms_per_token: engine.map_or(0.0, |it| it.fetch_ms_per_token),
            store: prefix.and_then(|it| self.cache_stores.store_for(self.now, it)),
            capacity_tokens: engine.map_or(0.0, |it| f64::from(it.capacity_tokens)),
            service: &exchange.service,
            model: exchange.ask.model.as_deref(),
            latency_target: exchange.route.latency_target,
            parts: &exchange.ask.parts,
            cache_owner: exchange.wall(),
            centre: &self.settings.centre,
            reach: Reach::Local,
            is_suspect: false,
            max_stale_weights: self.oldest_weights(),
            excluded: &exchange.excluded,
        }
    }

    fn wait_or_refuse(&mut self, place: usize, shortage: Shortage) {
        let Some(exchange) = self.exchanges.get_mut(place) else { return };
        let patience = exchange.patience();
        let is_final = match shortage {
            Shortage::OldWeights => !exchange.delivery.has_begun,
            Shortage::Limited { .. } => {
                !exchange.delivery.has_begun && exchange.excluded.is_empty()
            }
            Shortage::NoServer | Shortage::NoneReady => false,
        };
        // A server that is left out for its failures may be all that there is.
        exchange.excluded.clear();
        if patience <= self.now || is_final {
            self.refuse_or_fail(place, Refusal::Shortage(shortage));
            return;
        }
        let serial = exchange.serial;
        let again = self.now + LOOK_AGAIN;
        self.set_timer(again, Timer::Exchange(place, serial));
    }

    /// A bound of the exchange may have passed.
    pub(crate) fn exchange_due(&mut self, place: usize, serial: u64) {
        let now = self.now;
        let Some(exchange) = self.exchanges.get(place).filter(|it| it.serial == serial) else {
            return;
        };
        if exchange.deadline <= now {
            self.time_out(place);
            return;
        }
        if self.awaits_permit(place) {
            return;
        }
        let Some(exchange) = self.exchanges.get(place) else { return };
        let Some(attempt) = &exchange.attempt else {
            match exchange.retry {
                Some(_) => self.retry_if_due(place),
                None => self.dispatch(place),
            }
            return;
        };
        if attempt.connect_deadline <= now && self.is_connecting(attempt.connection) {
            self.attempt_not_run(place, "connect-timeout", true);
            return;
        }
        if attempt.reply.is_some() {
            return;
        }
        let server = attempt.server;
        let repeatable = exchange.is_repeatable() && exchange.runs < exchange.route.max_attempts;
        let silent_at = attempt.sent + exchange.silence();
        if repeatable && silent_at <= now && !self.has_queue(server) {
            self.attempt_broken(place, REASON_SILENT);
            return;
        }
        let is_late = attempt.answer_due <= now;
        let is_prompt = exchange.ask.model.is_some();
        let pace = self.pool.cost(&exchange.service);
        let waited = pace.queueing_time(attempt.uncached_tokens, now.since(attempt.sent));
        if repeatable {
            self.set_timer(silent_at.max(now + QUEUE_LOOK), Timer::Exchange(place, serial));
        }
        if is_late && is_prompt {
            self.pool.get_mut(server).record_wait(now, waited.as_millis() as u32);
        }
        if is_late {
            self.probe_late(server);
        }
    }

    /// Whether the server has said lately that requests wait there.
    fn has_queue(&self, server: pool::Id) -> bool {
        let load = self.pool.get(server).load;
        load.is_some_and(|it| self.now.since(it.1) < QUEUE_KNOWN && 0 < it.0.waiting)
    }

    /// Whether the connection never came about so far.
    pub(crate) fn is_connecting(&self, key: Key) -> bool {
        self.net.get(key).is_some_and(|it| it.is_connecting())
    }

    /// The request's time is over.
    fn time_out(&mut self, place: usize) {
        let Some(exchange) = self.exchanges.get(place) else { return };
        let connection = exchange.attempt.as_ref().map(|it| it.connection);
        let never_left = connection.is_none_or(|it| self.is_connecting(it));
        // An attempt whose connection never came about counts as a run until it is released.
        let earlier = exchange.runs - u8::from(connection.is_some());
        let Some(exchange) = self.exchanges.get_mut(place) else { return };
        if never_left && earlier == 0 {
            exchange.runs = 0;
            self.refuse_or_fail(place, Refusal::TimeOut);
        } else {
            self.deadline_passed(place);
            self.fail_exchange(place, 504, "time-out");
        }
    }

    /// Notes that an answer was cut at its deadline.
    fn deadline_passed(&mut self, place: usize) {
        let Self { exchanges, pool, now, .. } = self;
        if let Some(exchange) = exchanges.get(place) {
            record_answer_time(pool, *now, exchange);
        }
    }
}
