//! Binds streams to the build of the servers that began them.

use std::{net::SocketAddr, time::Duration};

use rand::seq::IteratorRandom;
use shallotlead_base::time::Time;

use crate::{
    build::{self, Begun, Stream},
    core::{Core, Timer, exchange::Exchange, refusal::Refusal},
    gossip::{BuildQuery, Datagram},
    pool,
};

/// How long a stream that is taken up waits for another instance that knows its build.
const QUERY_TIMEOUT: Duration = Duration::from_millis(40);
/// The same for [`STARTUP_TIME`], while the others may restore what they knew.
const STARTUP_QUERY_TIMEOUT: Duration = Duration::from_millis(400);
/// For how long after the start the others may have started as well: they are told of restored streams, and what they
/// tell is waited for.
pub(crate) const STARTUP_TIME: Duration = Duration::from_secs(3);
/// How long it waits for the service's record to be read: twice the time of a slow store.
const READ_TIMEOUT: Duration = Duration::from_millis(600);
/// Instances of each data centre that are asked. All instances of one have been told, and any of them may have ended.
const QUERIED_PER_CENTRE: usize = 2;

/// What is known of a stream's build.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Binding {
    /// The stream hasn't begun.
    Free,
    /// It may only go on at servers of this build.
    To(build::Id),
    /// It is looked for.
    Unknown(Search),
}

/// The search for the build of a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Search {
    /// Until when other instances may reply.
    reply_due: Time,
    /// Until when the service's record has to be read.
    until: Time,
}

impl Binding {
    /// The build, once it is known.
    pub(crate) fn build(self) -> Option<build::Id> {
        match self {
            Self::To(it) => Some(it),
            Self::Free | Self::Unknown(_) => None,
        }
    }
}

/// How the build of a stream that is taken up was found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Evidence {
    /// The instance that handed the request over named it.
    Handover,
    /// This instance has sent the stream to a server, or another one has announced that it did.
    Announced,
    /// Another instance was asked.
    Reply,
    /// The service's record has no other build.
    OnlyBuild,
}

impl Evidence {
    /// The name used in logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Handover => "handover",
            Self::Announced => "announced",
            Self::Reply => "reply",
            Self::OnlyBuild => "only-build",
        }
    }
}

impl Exchange {
    /// Identifies the stream that the request begins or takes up.
    pub(crate) fn stream(&self) -> Stream {
        let organisation = self.organisation.as_ref().map_or("", |it| &*it.name);
        Stream::of(organisation, self.info.resumed_id.as_deref().unwrap_or(self.id()))
    }

    fn awaits_build(&self, service: &str) -> bool {
        matches!(self.binding, Binding::Unknown(_)) && *self.service == *service
    }

    /// Whether its caller has been served a part of its stream by an earlier attempt.
    pub(crate) fn is_taken_up(&self) -> bool {
        self.info.last_event.is_some() || self.info.resumed_id.is_some()
    }

    /// Whether it is a stream that its caller may take up.
    pub(crate) fn is_resumable(&self) -> bool {
        self.route.is_resumable() && !self.delivery.is_passed_through
    }
}

impl Core {
    /// Finds the build of a stream that the request takes up, and dispatches the request once it is known.
    pub(crate) fn dispatch_resumed(&mut self, index: usize) {
        let Some(exchange) = self.exchanges.get(index) else { return };
        if !exchange.is_resumable() || !exchange.is_taken_up() {
            self.dispatch(index);
            return;
        }
        let handed_over = exchange.info.build.map(build::Id::from_number);
        let known = handed_over.map(|it| (it, Evidence::Handover));
        match known.or_else(|| self.known_build(exchange)) {
            Some((build, evidence)) => self.bind_stream(index, build, evidence),
            None => self.query_build(index),
        }
    }

    /// The build that began the request's stream, as far as this instance was told.
    fn known_build(&self, exchange: &Exchange) -> Option<(build::Id, Evidence)> {
        exchange.info.resumed_id.as_ref()?;
        self.streams.find(exchange.stream()).map(|it| (it, Evidence::Announced))
    }

    /// The record that must have a server's build before the request may be sent there.
    pub(crate) fn required_record<'a>(&'a self, exchange: &Exchange) -> Option<&'a build::Record> {
        let is_needed = exchange.is_resumable() && exchange.binding.build().is_none();
        is_needed.then(|| self.storage.builds.get(&exchange.service))
    }

    fn bind_stream(&mut self, index: usize, build: build::Id, evidence: Evidence) {
        if let Some(exchange) = self.exchanges.get_mut(index) {
            exchange.binding = Binding::To(build);
            exchange.evidence = Some(evidence);
        }
        self.stats.count_resumed_stream(evidence.name());
        self.dispatch(index);
    }

    /// Looks for the build of the request's stream: asks other instances if the caller has named the stream, and reads
    /// which builds can have begun it.
    fn query_build(&mut self, index: usize) {
        let now = self.now;
        let targets = self.build_query_targets();
        let is_unreachable = self.is_store_unreachable();
        let Some(exchange) = self.exchanges.get_mut(index) else { return };
        let is_asked = exchange.info.resumed_id.is_some() && !targets.is_empty();
        let is_starting = now.since(self.started) < STARTUP_TIME;
        let reply_timeout = if is_starting { STARTUP_QUERY_TIMEOUT } else { QUERY_TIMEOUT };
        let reply_due = if is_asked { now + reply_timeout } else { now };
        let until = if is_unreachable { reply_due } else { now + READ_TIMEOUT };
        exchange.binding = Binding::Unknown(Search { reply_due, until });
        let query = BuildQuery {
            stream: exchange.stream(),
            service: exchange.service.clone(),
            reply_to: self.members.me().peers,
        };
        self.storage.builds.want_read(now, &exchange.service);
        let serial = exchange.serial;
        self.set_timer(reply_due, Timer::Exchange(index, serial));
        self.set_timer(until, Timer::Exchange(index, serial));
        if is_asked {
            self.stats.count_build_query("asked");
            self.send_to(&targets, &Datagram::BuildQuery(query));
        }
    }

    fn build_query_targets(&mut self) -> Vec<SocketAddr> {
        let alive: Vec<_> = self.members.presumed_alive(self.now).collect();
        let mut centres: Vec<_> = alive.iter().map(|it| &it.centre).collect();
        centres.sort_unstable();
        centres.dedup();
        let mut targets = Vec::new();
        for centre in centres {
            let local = alive.iter().filter(|it| it.centre == *centre).map(|it| it.peers);
            targets.extend(local.choose_multiple(&mut self.rng, QUERIED_PER_CENTRE));
        }
        targets
    }

    /// Answers another instance's question, if this one knows the build.
    pub(crate) fn handle_build_query(&mut self, query: &BuildQuery) {
        // What this instance merely hasn't heard of proves nothing about the stream.
        if let Some(build) = self.streams.find(query.stream) {
            let begun = Begun { stream: query.stream, build };
            self.send_to(&[query.reply_to], &Datagram::BuildReply(begun));
        }
    }

    /// Dispatches the requests that wait for the builds of these streams, which another instance has announced. Later
    /// on, instances are asked instead.
    pub(crate) fn resolve_announced(&mut self, streams: &[Begun]) {
        if self.now.since(self.started) < STARTUP_TIME {
            streams.iter().for_each(|it| self.handle_build_reply(*it));
        }
    }

    /// Adopts streams that another instance has read from its record. That shows neither that they weren't sent again
    /// since, nor that their builds are still recorded.
    pub(crate) fn adopt_restored_streams(&mut self, streams: &[Begun]) {
        for it in streams {
            self.streams.restore(self.now, *it);
        }
        self.resolve_announced(streams);
    }

    /// Dispatches the requests that have waited for the build of this stream.
    pub(crate) fn handle_build_reply(&mut self, begun: Begun) {
        let Begun { stream, build } = begun;
        let is_waiting =
            |it: &Exchange| matches!(it.binding, Binding::Unknown(_)) && it.stream() == stream;
        for index in self.exchanges_where(is_waiting) {
            self.stats.count_build_query("answered");
            self.bind_stream(index, build, Evidence::Reply);
        }
    }

    /// Dispatches or refuses the requests that wait for the builds of their streams, after a read of the service's
    /// record.
    pub(crate) fn resolve_builds(&mut self, service: &str) {
        for index in self.exchanges_where(|it| it.awaits_build(service)) {
            self.check_build_query(index);
        }
    }

    /// Whether a request waits for the build of a stream of the service.
    pub(crate) fn awaits_builds(&self, service: &str) -> bool {
        self.exchanges.iter().any(|it| it.1.awaits_build(service))
    }

    /// Dispatches a request that waits for the build of its stream if only one can have begun it, or refuses it if it
    /// can't be found. Returns whether it was waiting.
    pub(crate) fn check_build_query(&mut self, index: usize) -> bool {
        let Some(exchange) = self.exchanges.get(index) else { return false };
        let Binding::Unknown(search) = exchange.binding else { return false };
        let record = self.storage.builds.get(&exchange.service);
        let is_read = record.is_read_since(exchange.arrived);
        if let Some(build) = record.only().filter(|_| is_read) {
            self.bind_stream(index, build, Evidence::OnlyBuild);
        } else if search.until <= self.now || (is_read && search.reply_due <= self.now) {
            self.stats.count_build_query("unanswered");
            self.refuse_or_fail(index, Refusal::UnknownBuild);
        }
        true
    }

    /// Remembers to which build a resumable stream is sent, binds it there, and tells the neighbours before its first
    /// event can leave.
    pub(crate) fn announce_stream(&mut self, index: usize, server: pool::Id) {
        let Some(exchange) = self.exchanges.get_mut(index).filter(|it| it.is_resumable()) else {
            return;
        };
        let begun = Begun { stream: exchange.stream(), build: self.pool.get(server).build_id };
        exchange.binding = Binding::To(begun.build);
        self.streams.record(self.now, begun);
        self.storage.journal.open.record(self.now, begun);
        self.peers.add_stream(begun);
    }

    /// Lets a stream that was sent and hasn't begun go to servers of any build, as none of its own takes it and no
    /// attempt there is open any more. Returns whether it was bound.
    ///
    /// Until then it stays at one build: others may have heard of its first sending only.
    pub(crate) fn unbind_stream(&mut self, index: usize) -> bool {
        let Some(exchange) = self.exchanges.get_mut(index) else { return false };
        let is_unsent = exchange.open_attempts().next().is_none();
        let may_move = !exchange.delivery.has_begun && !exchange.is_taken_up() && is_unsent;
        let is_bound = exchange.binding.build().is_some() && exchange.info.build.is_none();
        if may_move && is_bound {
            exchange.binding = Binding::Free;
        }
        may_move && is_bound
    }

    /// Binds a stream to the build that has brought its first event.
    pub(crate) fn bind_to_attempt(&mut self, index: usize) {
        let Some(exchange) = self.exchanges.get_mut(index) else { return };
        let Some(attempt) = &exchange.attempt else { return };
        let server = self.pool.get(attempt.server);
        // The instance to which a request was handed over keeps to its build, which it doesn't tell.
        if exchange.binding == Binding::Free && !server.is_instance {
            exchange.binding = Binding::To(server.build_id);
        }
    }

    pub(crate) fn sweep_streams(&mut self) {
        let retention = self.stream_lifetime.retention(self.now);
        self.streams.expire(self.now, retention);
        self.storage.journal.open.expire(self.now, retention);
    }
}
