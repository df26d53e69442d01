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
/// Instances of each data centre that are asked. All instances of one have been told, and any of them may have ended.
const QUERIED_PER_CENTRE: usize = 2;

/// What is known of a stream's build.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Binding {
    /// The stream hasn't begun.
    Free,
    /// It may only go on at servers of this build.
    To(build::Id),
    /// Another instance may know it until then.
    Unknown(Time),
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
    /// No other build is known.
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
    fn stream(&self) -> Stream {
        let organisation = self.organisation.as_ref().map_or("", |it| &*it.name);
        Stream::of(organisation, self.info.resumed_id.as_deref().unwrap_or(self.id()))
    }

    /// Whether its caller has been served a part of its stream by an earlier attempt.
    pub(crate) fn is_taken_up(&self) -> bool {
        self.info.last_event.is_some() || self.info.resumed_id.is_some()
    }

    /// Whether it is a stream that its caller may take up.
    pub(crate) fn is_resumable(&self) -> bool {
        self.route.is_stream && self.is_repeatable()
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

    /// The build that began the request's stream, as far as this instance knows.
    fn known_build(&self, exchange: &Exchange) -> Option<(build::Id, Evidence)> {
        match &exchange.info.resumed_id {
            Some(_) => self.build_of_stream(exchange.stream(), &exchange.service),
            // The caller doesn't tell which attempt began the stream.
            None => {
                let only = self.pool.builds(&exchange.service)?.only()?;
                Some((only, Evidence::OnlyBuild))
            }
        }
    }

    /// The build that began a stream: as this instance was told, or the only one for as long as a
    /// stream lives.
    fn build_of_stream(&self, stream: Stream, service: &str) -> Option<(build::Id, Evidence)> {
        let only = || {
            let retention = self.stream_lifetime.retention(self.now);
            let build = self.pool.builds(service)?.only_for(self.now, retention)?;
            Some((build, Evidence::OnlyBuild))
        };
        self.streams.find(stream).map(|it| (it, Evidence::Announced)).or_else(only)
    }

    fn bind_stream(&mut self, index: usize, build: build::Id, evidence: Evidence) {
        if let Some(exchange) = self.exchanges.get_mut(index) {
            exchange.binding = Binding::To(build);
            exchange.evidence = Some(evidence);
        }
        self.stats.count_resumed_stream(evidence.name());
        self.dispatch(index);
    }

    /// Asks other instances for the build of the request's stream, if the caller has named the stream.
    fn query_build(&mut self, index: usize) {
        let now = self.now;
        let targets = self.build_query_targets();
        let Some(exchange) = self.exchanges.get_mut(index) else { return };
        if exchange.info.resumed_id.is_none() || targets.is_empty() {
            self.refuse_or_fail(index, Refusal::UnknownBuild);
            return;
        }
        let until = now + QUERY_TIMEOUT;
        exchange.binding = Binding::Unknown(until);
        let query = BuildQuery {
            stream: exchange.stream(),
            service: exchange.service.clone(),
            reply_to: self.members.me().peers,
        };
        let serial = exchange.serial;
        self.set_timer(until, Timer::Exchange(index, serial));
        self.stats.count_build_query("asked");
        self.send_to(&targets, &Datagram::BuildQuery(query));
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
        if let Some((build, _)) = self.build_of_stream(query.stream, &query.service) {
            let begun = Begun { stream: query.stream, build };
            self.send_to(&[query.reply_to], &Datagram::BuildReply(begun));
        }
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

    /// Refuses a request that has waited too long for the build of its stream. Returns whether it was waiting.
    pub(crate) fn check_build_query(&mut self, index: usize) -> bool {
        let binding = self.exchanges.get(index).map(|it| it.binding);
        let Some(Binding::Unknown(until)) = binding else { return false };
        if until <= self.now {
            self.stats.count_build_query("unanswered");
            self.refuse_or_fail(index, Refusal::UnknownBuild);
        }
        true
    }

    /// Remembers to which build a resumable stream is sent, and tells the neighbours before its first event can leave.
    pub(crate) fn announce_stream(&mut self, index: usize, server: pool::Id) {
        let Some(exchange) = self.exchanges.get(index).filter(|it| it.is_resumable()) else {
            return;
        };
        let begun = Begun { stream: exchange.stream(), build: self.pool.get(server).build_id };
        self.streams.record(self.now, begun);
        self.peers.add_stream(begun);
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

    /// Whether a server other than `server` could take the stream that has begun there.
    pub(crate) fn has_other_server(&self, exchange: &Exchange, server: pool::Id) -> bool {
        let build = exchange.binding.build();
        let mut others = self.pool.usable(&exchange.service).filter(|it| it.0 != server);
        others.any(|(_, it)| {
            it.is_available(self.now) && build.is_none_or(|build| build == it.build_id)
        })
    }

    pub(crate) fn sweep_streams(&mut self) {
        let retention = self.stream_lifetime.retention(self.now);
        self.streams.expire(self.now, retention);
    }
}
