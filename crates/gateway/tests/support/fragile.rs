//! Servers with a bounded queue that fall over when they have to reject too many requests, in the simulation of limits.

use std::{collections::VecDeque, time::Duration};

use rand::Rng;
use shallotlead_base::time::Time;
use shallotlead_gateway::rate_limit::{Limit, Permission, Reply, Report, Serial, Unsettled};

use super::{PERMIT_WAIT, Simulation};

/// The rule under test: from when on after servers have named their tolerance they may fall over, and over which time
/// rejections are counted.
const FALLS_AFTER: Duration = Duration::from_secs(3);
const REJECTION_WINDOW: Duration = Duration::from_secs(1);
/// How long an instance looks for a server for a request, and how often.
const DISPATCH_TIME: Duration = Duration::from_millis(50);
const DISPATCH_INTERVAL: Duration = Duration::from_millis(15);
const SETTLING_INTERVAL: Duration = Duration::from_millis(5);
/// How old the queue lengths are that instances know, and after what time they know that a server is down.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
const DOWN_KNOWN_AFTER: Duration = Duration::from_millis(300);
/// Servers that an instance compares for a request.
const COMPARED: usize = 3;
/// How long a caller waits, counted from its first try, and how often it tries.
const PATIENCE: Duration = Duration::from_secs(4);
const MAX_TRIES: u8 = 4;
/// Retries that all instances may make for each request.
const RETRY_RATIO: f64 = 0.2;

/// What instances do about servers that may fall over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Policy {
    /// Nothing: a rejected request is sent to another server at once.
    Unprotected,
    /// Requests need permits, and a rejected one may be sent to another server at once.
    Permits,
    /// Requests need permits, and a rejected one is refused.
    PermitsAndRefusals,
}

/// The service under test.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Setup {
    pub(crate) policy: Policy,
    pub(crate) servers: usize,
    pub(crate) slots: usize,
    /// Requests that may wait at a server at risk; eight times as many wait at others.
    pub(crate) queue: usize,
    /// Mean time for which a request occupies a slot.
    pub(crate) occupancy: Duration,
    /// Rejections a second that a server at risk bears.
    pub(crate) tolerance: f64,
    /// Whether servers send something all the time while they run a request.
    pub(crate) has_streams: bool,
    /// Requests as a multiple of what the servers can run.
    pub(crate) load: f64,
}

impl Setup {
    /// Requests a second that the servers can run.
    pub(crate) fn capacity(&self) -> f64 {
        (self.servers * self.slots) as f64 / self.occupancy.as_secs_f64()
    }
}

/// What became of callers' requests.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) offered: u32,
    pub(crate) served: u32,
    /// Refused tries, of which a request may have several.
    pub(crate) refused: u32,
    pub(crate) rejected: u32,
    pub(crate) falls: u32,
    /// Falls after rejections most of which are due to instances that aren't exempt.
    pub(crate) counted_falls: u32,
    /// Most rejections by one server within a second.
    pub(crate) most_rejected: usize,
}

/// The service's state.
pub(crate) struct Service {
    pub(crate) setup: Setup,
    backends: Vec<Backend>,
    clients: Vec<Client>,
    /// Since when the servers name their tolerance.
    at_risk_since: Option<Time>,
    requests: u32,
    retries: u32,
    next_job: u64,
    pub(crate) outcome: Outcome,
}

#[derive(Default)]
struct Backend {
    running: Vec<Job>,
    waiting: VecDeque<Job>,
    /// Recent rejections, and of which instance.
    rejections: VecDeque<(Time, usize)>,
    down_since: Option<Time>,
    silent_until: Time,
    life: u32,
    reported: usize,
}

/// What an instance knows of the servers.
struct Client {
    incarnation: u64,
    limits: Vec<Limit>,
    lives: Vec<u32>,
    heard_at: Vec<Time>,
    /// Requests sent since the last reports.
    sent: Vec<usize>,
    unsettled: Unsettled,
    waiting: Vec<(usize, Call, Time)>,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Call {
    begun: Time,
    received: Time,
    tries: u8,
    /// Servers that rejected or lost it.
    excluded: [Option<usize>; 3],
}

/// A call that was sent to a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Job {
    id: u64,
    call: Call,
    instance: usize,
    incarnation: u64,
    sent: Time,
    serial: Option<Serial>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Answer {
    Complete,
    Rejected,
    Lost,
}

#[derive(Clone)]
pub(super) enum Event {
    Called,
    Reported,
    Received(usize, Call),
    Dispatched { instance: usize, incarnation: u64, call: Call },
    Reached { server: usize, job: Job },
    Finished { server: usize, life: u32, job: u64 },
    Returned { server: usize, life: u32 },
    Answered { server: usize, life: u32, job: Job, answer: Answer, tolerance: Option<f64> },
    Told { to: usize, server: usize, life: u32, tolerance: Option<f64>, at: Time },
    Asked { to: usize, from: usize, server: usize, tolerance: Option<f64>, at: Time, asked: Time },
    Replied { to: usize, server: usize, asked: Time, reply: Reply },
    PermitTimedOut(usize, usize),
    SettleDue(usize, u64),
    Settled { to: usize, life: u32, report: Report },
}

impl Event {
    /// The instance that handles it.
    pub(super) fn instance(&self) -> Option<usize> {
        match self {
            Self::Received(it, _)
            | Self::PermitTimedOut(it, _)
            | Self::SettleDue(it, _)
            | Self::Dispatched { instance: it, .. }
            | Self::Told { to: it, .. }
            | Self::Asked { to: it, .. }
            | Self::Replied { to: it, .. }
            | Self::Settled { to: it, .. } => Some(*it),
            Self::Answered { job, .. } => Some(job.instance),
            Self::Called
            | Self::Reported
            | Self::Reached { .. }
            | Self::Finished { .. }
            | Self::Returned { .. } => None,
        }
    }
}

impl Client {
    fn new(servers: usize, incarnation: u64) -> Self {
        Self {
            incarnation,
            limits: vec![Limit::default(); servers],
            lives: vec![0; servers],
            heard_at: vec![Time::ZERO; servers],
            sent: vec![0; servers],
            unsettled: Unsettled::default(),
            waiting: Vec::new(),
        }
    }

    /// Takes note of a new life of the server.
    fn meet(&mut self, now: Time, server: usize, life: u32) {
        if self.lives[server] < life {
            self.lives[server] = life;
            self.limits[server] = Limit::default();
        }
        if !self.limits[server].is_tolerance_known() {
            let least = self.limits.iter().filter_map(Limit::tolerance).min_by(f64::total_cmp);
            if let Some(least) = least {
                self.limits[server].presume_tolerance(now, least);
            }
        }
    }
}

impl Simulation {
    /// Instances that know each other in front of a service.
    pub(crate) fn open_service(seed: u64, instances: usize, setup: Setup) -> Self {
        let mut sim = Self::open(seed, instances, &[]);
        sim.service = Some(Box::new(Service {
            setup,
            backends: (0..setup.servers).map(|_| Backend::default()).collect(),
            clients: (0..instances).map(|_| Client::new(setup.servers, 1)).collect(),
            at_risk_since: None,
            requests: 0,
            retries: 0,
            next_job: 0,
            outcome: Outcome::default(),
        }));
        sim.post(Duration::ZERO, Event::Called);
        sim.post(Duration::ZERO, Event::Reported);
        sim
    }

    pub(crate) fn service(&mut self) -> &mut Service {
        self.service.as_mut().expect("a service is simulated")
    }

    /// The servers' queues shrink, and they name their tolerance.
    pub(crate) fn put_at_risk(&mut self, is_at_risk: bool) {
        let now = self.now;
        self.service().at_risk_since = is_at_risk.then_some(now);
    }

    /// The server sends and reads nothing for a while.
    pub(crate) fn silence(&mut self, server: usize, span: Duration) {
        let until = self.now + span;
        self.service().backends[server].silent_until = until;
    }

    /// This many requests arrive at once.
    pub(crate) fn call(&mut self, requests: usize) {
        for _ in 0..requests {
            self.begin_call();
        }
    }

    pub(super) fn handle_service(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Called => {
                self.begin_call();
                let setup = self.service().setup;
                let mean = 1.0 / (setup.load * setup.capacity());
                let pause = -mean * f64::ln(1.0 - self.rng.random::<f64>());
                self.post(Duration::from_secs_f64(pause), Event::Called);
            }
            Event::Reported => {
                let service = self.service();
                for it in &mut service.backends {
                    it.reported = it.running.len() + it.waiting.len();
                }
                service.clients.iter_mut().for_each(|it| it.sent.fill(0));
                self.post(REPORT_INTERVAL, Event::Reported);
            }
            Event::Received(instance, call) => {
                if self.instances[instance].members.me().is_ready {
                    self.dispatch(instance, Call { received: now, ..call });
                } else {
                    self.deliver(Duration::from_millis(100), call);
                }
            }
            Event::Dispatched { instance, incarnation, call } => {
                if self.service().clients[instance].incarnation == incarnation {
                    self.dispatch(instance, call);
                } else {
                    self.deliver(Duration::from_millis(100), call);
                }
            }
            Event::Reached { server, job } => self.reach(server, job),
            Event::Finished { server, life, job } => self.finish(server, life, job),
            Event::Returned { server, life } => {
                let backend = &mut self.service().backends[server];
                (backend.down_since, backend.life, backend.reported) = (None, life, 0);
                backend.rejections.clear();
            }
            Event::Answered { server, life, job, answer, tolerance } => {
                self.answer(server, life, job, answer, tolerance);
            }
            Event::Told { to, server, life, tolerance, at } => {
                let client = &mut self.service().clients[to];
                if client.lives[server] == life {
                    client.limits[server].adopt_tolerance(at, tolerance);
                }
            }
            Event::Asked { to, from, server, tolerance, at, asked } => {
                let share = self.share(to, server);
                let life = self.service().backends[server].life;
                let client = &mut self.service().clients[to];
                client.meet(now, server, life);
                client.limits[server].adopt_tolerance(at, tolerance);
                let reply = client.limits[server].grant(now, share);
                self.permit_requests += 1;
                self.post_datagram(to, from, Event::Replied { to: from, server, asked, reply });
            }
            Event::Replied { to, server, asked, reply } => self.reply(to, server, asked, reply),
            Event::PermitTimedOut(instance, server) => {
                let client = &mut self.service().clients[instance];
                let timed_out = client.waiting.extract_if(.., |it| it.0 == server && it.2 <= now);
                let timed_out: Vec<Call> = timed_out.map(|it| it.1).collect();
                if !timed_out.is_empty() {
                    client.limits[server].record_timeout(now);
                }
                timed_out.into_iter().for_each(|it| self.dispatch(instance, it));
            }
            Event::SettleDue(instance, incarnation) => self.settle(instance, incarnation),
            Event::Settled { to, life, report } => {
                let client = &mut self.service().clients[to];
                if client.lives[report.server] == life {
                    client.limits[report.server].settle(now, &report);
                }
            }
        }
    }

    fn post(&mut self, span: Duration, event: Event) {
        self.schedule(span, super::Event::Service(event));
    }

    fn post_datagram(&mut self, from: usize, to: usize, event: Event) {
        self.send_datagram(from, to, super::Event::Service(event));
    }

    fn begin_call(&mut self) {
        let now = self.now;
        let service = self.service();
        service.requests += 1;
        service.outcome.offered += 1;
        let call = Call { begun: now, received: now, tries: 0, excluded: [None; 3] };
        self.deliver(Duration::from_millis(1), call);
    }

    /// The call reaches any instance.
    fn deliver(&mut self, span: Duration, call: Call) {
        let instance = self.rng.random_range(0..self.instances.len());
        self.post(span, Event::Received(instance, call));
    }

    fn dispatch(&mut self, instance: usize, call: Call) {
        let now = self.now;
        let policy = self.service().setup.policy;
        loop {
            let Some(server) = self.choose(instance, &call) else {
                let opens_at = self.service().clients[instance].limits.iter();
                let opens_at = opens_at.map(Limit::opens_at).min().unwrap_or(now);
                let until = call.received + DISPATCH_TIME;
                if until <= now.max(opens_at) {
                    self.refuse(call);
                } else {
                    let incarnation = self.service().clients[instance].incarnation;
                    let event = Event::Dispatched { instance, incarnation, call };
                    self.post(DISPATCH_INTERVAL, event);
                }
                return;
            };
            if policy == Policy::Unprotected {
                self.send_job(instance, server, call);
                return;
            }
            let share = self.share(instance, server);
            match self.service().clients[instance].limits[server].acquire(now, share) {
                Permission::Granted => {
                    self.send_job(instance, server, call);
                    return;
                }
                Permission::Denied => {}
                Permission::Ask => {
                    self.ask(instance, server, call);
                    return;
                }
            }
        }
    }

    fn ask(&mut self, instance: usize, server: usize, call: Call) {
        let now = self.now;
        let to = self.owner(instance, server);
        let client = &mut self.service().clients[instance];
        client.waiting.push((server, call, now + PERMIT_WAIT));
        let limit = &client.limits[server];
        let (tolerance, at) = (limit.tolerance(), now - limit.tolerance_age(now));
        self.post_datagram(
            instance,
            to,
            Event::Asked { to, from: instance, server, tolerance, at, asked: now },
        );
        self.post(PERMIT_WAIT, Event::PermitTimedOut(instance, server));
    }

    /// The server with the shortest queue, as far as the instance knows, among some that it may use.
    fn choose(&mut self, instance: usize, call: &Call) -> Option<usize> {
        let now = self.now;
        let count = self.service().setup.servers;
        let first = self.rng.random_range(0..count);
        let service = self.service();
        let client = &mut service.clients[instance];
        for server in 0..count {
            if service.backends[server].down_since.is_none() {
                client.meet(now, server, service.backends[server].life);
            }
        }
        let is_usable = |it: &usize| {
            let down_since = service.backends[*it].down_since;
            let is_down = down_since.is_some_and(|at| DOWN_KNOWN_AFTER <= now.since(at));
            !is_down && !call.excluded.contains(&Some(*it)) && !client.limits[*it].is_closed(now)
        };
        let usable = (0..count).map(|it| (it * 7919 + first) % count).filter(is_usable);
        usable.take(COMPARED).min_by_key(|it| service.backends[*it].reported + client.sent[*it])
    }

    fn send_job(&mut self, instance: usize, server: usize, call: Call) {
        let now = self.now;
        let service = self.service();
        service.next_job += 1;
        let client = &mut service.clients[instance];
        client.sent[server] += 1;
        let (id, incarnation) = (service.next_job, client.incarnation);
        let is_first = client.unsettled.is_empty();
        let is_tracked = client.limits[server].tolerance().is_some();
        let serial = is_tracked.then(|| client.unsettled.add(now, server));
        if is_tracked && is_first {
            self.post(SETTLING_INTERVAL, Event::SettleDue(instance, incarnation));
        }
        let job = Job { id, call, instance, incarnation, sent: now, serial };
        let delay = Duration::from_millis(1) + self.random(Duration::from_millis(1));
        self.post(delay, Event::Reached { server, job });
    }

    fn reach(&mut self, server: usize, job: Job) {
        let now = self.now;
        let service = self.service();
        let Setup { slots, queue, .. } = service.setup;
        let queue = if service.at_risk_since.is_some() { queue } else { queue * 8 };
        let backend = &mut service.backends[server];
        if now < backend.silent_until {
            let left = backend.silent_until.since(now);
            self.post(left, Event::Reached { server, job });
        } else if backend.down_since.is_some() {
            self.send_answer(server, job, Answer::Lost);
        } else if backend.running.len() < slots {
            self.start(server, job);
        } else if backend.waiting.len() < queue {
            backend.waiting.push_back(job);
        } else {
            self.reject(server, job);
        }
    }

    fn start(&mut self, server: usize, job: Job) {
        let span = self.service().setup.occupancy.mul_f64(self.rng.random_range(0.5..1.5));
        let backend = &mut self.service().backends[server];
        let life = backend.life;
        backend.running.push(job);
        self.post(span, Event::Finished { server, life, job: job.id });
    }

    fn finish(&mut self, server: usize, life: u32, job: u64) {
        let now = self.now;
        let backend = &mut self.service().backends[server];
        if now < backend.silent_until {
            let left = backend.silent_until.since(now);
            self.post(left, Event::Finished { server, life, job });
            return;
        }
        if backend.down_since.is_some() || backend.life != life {
            return;
        }
        let Some(index) = backend.running.iter().position(|it| it.id == job) else { return };
        let done = backend.running.swap_remove(index);
        let next = backend.waiting.pop_front();
        self.send_answer(server, done, Answer::Complete);
        if let Some(next) = next {
            self.start(server, next);
        }
    }

    fn reject(&mut self, server: usize, job: Job) {
        let now = self.now;
        self.send_answer(server, job, Answer::Rejected);
        let service = self.service();
        service.outcome.rejected += 1;
        let rejections = &mut service.backends[server].rejections;
        rejections.push_back((now, job.instance));
        while rejections.front().is_some_and(|it| REJECTION_WINDOW <= now.since(it.0)) {
            rejections.pop_front();
        }
        let count = rejections.len();
        let by: Vec<usize> = rejections.iter().map(|it| it.1).collect();
        let since = service.at_risk_since.filter(|it| FALLS_AFTER <= now.since(*it));
        if since.is_none() {
            return;
        }
        service.outcome.most_rejected = service.outcome.most_rejected.max(count);
        if service.setup.tolerance < count as f64 {
            let exempt = by.iter().filter(|it| now < self.instances[**it].exempt_until).count();
            let is_counted = exempt * 2 < count;
            self.service().outcome.counted_falls += u32::from(is_counted);
            self.fall(server);
        }
    }

    fn fall(&mut self, server: usize) {
        let now = self.now;
        let service = self.service();
        service.outcome.falls += 1;
        let backend = &mut service.backends[server];
        backend.down_since = Some(now);
        let life = backend.life + 1;
        let mut lost = std::mem::take(&mut backend.running);
        lost.extend(std::mem::take(&mut backend.waiting));
        lost.into_iter().for_each(|it| self.send_answer(server, it, Answer::Lost));
        let span = Duration::from_millis(self.rng.random_range(3_000..6_000));
        self.post(span, Event::Returned { server, life });
    }

    fn send_answer(&mut self, server: usize, job: Job, answer: Answer) {
        let service = self.service();
        let tolerance = service.at_risk_since.map(|_| service.setup.tolerance);
        let life = service.backends[server].life;
        let delay = Duration::from_millis(1) + self.random(Duration::from_millis(1));
        self.post(delay, Event::Answered { server, life, job, answer, tolerance });
    }

    fn answer(
        &mut self,
        server: usize,
        life: u32,
        job: Job,
        answer: Answer,
        tolerance: Option<f64>,
    ) {
        let now = self.now;
        let service = self.service();
        let policy = service.setup.policy;
        let client = &mut service.clients[job.instance];
        if client.incarnation != job.incarnation {
            // The caller's connection was lost with the instance.
            self.refuse(job.call);
            return;
        }
        let at = if tolerance.is_some() { now } else { job.sent };
        let is_word = answer != Answer::Lost && client.lives[server] == life;
        if is_word {
            client.heard_at[server] = now;
        }
        let is_news = is_word
            && policy != Policy::Unprotected
            && client.limits[server].observe_tolerance(at, tolerance);
        if let Some(serial) = job.serial {
            match answer {
                Answer::Complete => client.unsettled.confirm(serial),
                Answer::Rejected | Answer::Lost => client.unsettled.withdraw(serial),
            }
        }
        if is_news {
            for to in (0..self.instances.len()).filter(|it| *it != job.instance) {
                self.post_datagram(
                    job.instance,
                    to,
                    Event::Told { to, server, life, tolerance, at },
                );
            }
        }
        self.conclude(server, job, answer);
    }

    /// What the caller gets, or where the request goes next.
    fn conclude(&mut self, server: usize, job: Job, answer: Answer) {
        let now = self.now;
        let service = self.service();
        let is_at_risk = service.clients[job.instance].limits[server].tolerance().is_some();
        let is_refused = service.setup.policy == Policy::PermitsAndRefusals && is_at_risk;
        match answer {
            Answer::Complete => {
                let is_in_time = now.since(job.call.begun) < PATIENCE;
                service.outcome.served += u32::from(is_in_time);
            }
            Answer::Rejected if is_refused => self.refuse(job.call),
            Answer::Rejected | Answer::Lost => {
                let mut call = job.call;
                let free = call.excluded.iter_mut().find(|it| it.is_none());
                let allowed = RETRY_RATIO * f64::from(service.requests) + 10.0;
                if let Some(it) = free.filter(|_| f64::from(service.retries) < allowed) {
                    *it = Some(server);
                    service.retries += 1;
                    self.dispatch(job.instance, Call { received: now, ..call });
                } else {
                    self.refuse(call);
                }
            }
        }
    }

    /// The caller is refused and returns later, unless its patience ends.
    fn refuse(&mut self, call: Call) {
        self.service().outcome.refused += 1;
        let spread = match self.service().setup.policy {
            Policy::Unprotected => Duration::ZERO,
            Policy::Permits | Policy::PermitsAndRefusals => Duration::from_millis(1_000),
        };
        let after = Duration::from_millis(300) + self.random(spread);
        let is_patient = self.now.since(call.begun) + after < PATIENCE;
        if call.tries + 1 < MAX_TRIES && is_patient {
            self.deliver(after, Call { tries: call.tries + 1, excluded: [None; 3], ..call });
        }
    }

    fn reply(&mut self, instance: usize, server: usize, asked: Time, reply: Reply) {
        let now = self.now;
        let client = &mut self.service().clients[instance];
        if !client.limits[server].apply_reply(now, asked, reply) {
            return;
        }
        let permits = match reply {
            Reply::Granted(it) => usize::from(it),
            Reply::Denied(_) => usize::MAX,
        };
        let mut left = permits;
        let chosen = client.waiting.extract_if(.., |it| {
            let is_chosen = it.0 == server && 0 < left;
            left -= usize::from(is_chosen);
            is_chosen
        });
        let chosen: Vec<Call> = chosen.map(|it| it.1).collect();
        for call in chosen {
            match reply {
                // The permit is for this server.
                Reply::Granted(_) => {
                    let share = self.share(instance, server);
                    let limit = &mut self.service().clients[instance].limits[server];
                    match limit.acquire(now, share) {
                        Permission::Granted => self.send_job(instance, server, call),
                        Permission::Ask | Permission::Denied => self.dispatch(instance, call),
                    }
                }
                Reply::Denied(_) => self.dispatch(instance, call),
            }
        }
    }

    fn settle(&mut self, instance: usize, incarnation: u64) {
        let now = self.now;
        let service = self.service();
        let (backends, has_streams) = (&service.backends, service.setup.has_streams);
        let client = &mut service.clients[instance];
        if client.incarnation != incarnation {
            return;
        }
        let heard_at = &client.heard_at;
        let streams_from = |server: usize| {
            let backend = &backends[server];
            has_streams
                && backend.silent_until <= now
                && backend.running.iter().any(|it| it.instance == instance)
        };
        let reports = client
            .unsettled
            .take_reports(now, |it| if streams_from(it) { now } else { heard_at[it] });
        if !client.unsettled.is_empty() {
            self.post(SETTLING_INTERVAL, Event::SettleDue(instance, incarnation));
        }
        for report in reports {
            let server = report.server;
            let to = self.owner(instance, server);
            let client = &mut self.service().clients[instance];
            let life = client.lives[server];
            if to == instance {
                client.limits[server].settle(now, &report);
            } else {
                self.post_datagram(instance, to, Event::Settled { to, life, report });
            }
        }
    }

    /// The instance has lost what it knew, with the connections of its callers.
    pub(super) fn restart_client(&mut self, instance: usize, incarnation: u64) {
        let Some(service) = &mut self.service else { return };
        let new = Client::new(service.setup.servers, incarnation);
        let before = std::mem::replace(&mut service.clients[instance], new);
        before.waiting.into_iter().for_each(|it| self.refuse(it.1));
    }
}
