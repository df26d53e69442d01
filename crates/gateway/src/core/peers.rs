//! Messages to other instances: gossip, placements of prompts, and entries read from the store.

mod outbox;
mod receive;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use rand::seq::IndexedRandom;
use shallotlead_base::{hash::Map, time::Time};

use crate::{
    adapter::Load,
    broadcast::{self, Push, Queue, Reach, Update},
    build::Begun,
    catchup::Catchup,
    core::{Core, stats::traffic, storage::Source},
    freshness::Freshness,
    gossip::{
        self, Confirmation, Datagram, LoadReport, Loading, Message, PERIOD, Placement, Publication,
    },
    pool::{self, pace},
    quarantine::IncarnationId,
};

use outbox::Outbox;

/// Neighbours to which an instance announces that it is ready or has received a configuration: all
/// in a small fleet. Each of them announces it in turn, so a few rounds reach a large fleet without
/// any instance receiving hundreds of messages.
const ANNOUNCE_FANOUT: usize = 12;
/// Time in which an unresponsive server isn't broadcast again, as all neighbours probe it at the
/// same moment.
const UNRESPONSIVE_REPEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Most bytes of a datagram over IPv4.
const MAX_DATAGRAM_BYTES: usize = 65_507;
/// Most updates in one message: at up to 300 bytes each they fit into a datagram.
const MAX_UPDATES: usize = 100;
/// Most draining servers in one periodic message.
const MAX_SENT_DRAINING: usize = 8;
/// Most changed members that are logged by name at a time.
const MAX_LOGGED: usize = 4;
/// Age from which a load report is useless, ms.
const MAX_LOAD_AGE_MS: u32 = 500;

/// State of the messages to other instances and the queries to them.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    last_gossip: Time,
    /// The draining server that was announced last in a periodic message.
    last_draining: IncarnationId,
    /// Updates that are pushed to other instances at once.
    pub(crate) broadcasts: Queue,
    /// Instances that have a newer configuration, and which of them is queried for it.
    pub(crate) catchup: Catchup,
    /// How recently the configuration was confirmed.
    pub(crate) freshness: Freshness,
    /// When another instance was last queried for missed changes.
    pub(crate) last_query: Time,
    /// Whether the reply to that query is outstanding.
    pub(crate) awaits_reply: bool,
    /// Load reports from servers since the last message with placements.
    loads: Map<pool::Id, (Load, Time)>,
    /// What answers have shown of their pace since their last report was sent.
    paces: Map<pool::Id, pace::Observation>,
    /// Whether this instance's state is to be announced to a few others.
    is_announcement_due: bool,
    /// Entries from the store that are to be sent.
    pub(crate) outbox: Outbox,
    /// Prompts that were placed since the last message with placements.
    placements: Vec<Placement>,
    /// Streams that were sent to servers since then.
    streams: Vec<Begun>,
}

impl Peers {
    /// Adds the placement of a prompt, which is sent at the end of the tick.
    pub(crate) fn add_placement(&mut self, placement: Placement) {
        self.placements.push(placement);
    }

    /// Adds a stream that was sent to a server, which is announced at the end of the tick.
    pub(crate) fn add_stream(&mut self, begun: Begun) {
        self.streams.push(begun);
    }

    /// Adds what a server has stated of its pace, if anything.
    pub(crate) fn add_pace(&mut self, server: pool::Id, stated: Option<u16>) {
        if let Some(stated) = stated {
            let first_token = self.paces.get(&server).and_then(|it| it.first_token);
            self.paces.insert(server, pace::Observation { stated, first_token });
        }
    }

    /// Adds when a first token came, relative to when it was expected.
    pub(crate) fn add_first_token(&mut self, server: pool::Id, stated: u16, ratio: f64) {
        let observation = pace::Observation { stated, first_token: None };
        let observation = self.paces.entry(server).or_insert(observation);
        *observation = observation.with_first_token(ratio);
    }

    /// Adds a server's load report.
    pub(crate) fn add_load(&mut self, now: Time, server: pool::Id, load: Load) {
        self.loads.insert(server, (load, now));
    }
}

impl Core {
    pub(crate) fn tick_peers(&mut self) {
        let now = self.now;
        if PERIOD <= now.since(self.peers.last_gossip) {
            self.peers.last_gossip = now;
            let changes = self.members.expire(now);
            self.log_member_changes(&changes);
            self.update_quota_owners();
            self.storage.set_sharers(self.members.budget_sharers(), now);
            let own = self.settings.listen.peers;
            let seeds = self.settings.seeds.iter().copied().filter(|it| *it != own);
            let targets = self.members.gossip_targets(now, seeds, &mut self.rng);
            self.gossip_members(&targets);
        }
        if std::mem::take(&mut self.peers.is_announcement_due) {
            let targets = self
                .neighbour_addresses()
                .choose_multiple(&mut self.rng, ANNOUNCE_FANOUT)
                .copied()
                .collect::<Vec<_>>();
            self.send_news(&targets, Vec::new(), false);
        }
        self.send_broadcasts();
        self.send_placements();
        self.send_entries();
        self.query_peers();
    }

    /// Logs members whose status changed, a few by name, as hundreds may end at the same moment.
    fn log_member_changes(&mut self, changes: &[gossip::Change]) {
        for it in changes {
            self.stats.count_member_change(it.status.name());
        }
        for it in changes.iter().take(MAX_LOGGED) {
            self.log
                .line(self.now, "member")
                .text("member", &it.name)
                .text("change", it.status.name())
                .text("heard_from", it.source.name())
                .ms("silent_ms", it.silent);
        }
        if MAX_LOGGED < changes.len() {
            self.log.line(self.now, "members_changed").number("members", changes.len());
        }
    }

    /// Sends entries that were read from the store to the neighbours.
    fn send_entries(&mut self) {
        let outbox = self.peers.outbox.take();
        // In a small fleet each instance reads the store itself.
        if outbox.is_empty() || !self.members.is_large() {
            return;
        }
        let targets = self.neighbour_addresses();
        for entries in outbox.into_datagrams() {
            match entries {
                Ok(it) => {
                    self.send_to(&targets, &Datagram::Entries(it));
                }
                Err(err) => log::error!("cannot compress servers' entries: {err}"),
            }
        }
    }

    /// Sends placed prompts to the neighbours, so that they know the servers' queues and cached
    /// prefixes before the servers report them. Without it, 85% instead of 96% of 3,028 requests
    /// meet their latency target (seven instances and nine engines at 90 requests a second).
    fn send_placements(&mut self) {
        if self.peers.placements.is_empty() && self.peers.streams.is_empty() {
            return;
        }
        let placements = std::mem::take(&mut self.peers.placements);
        let streams = std::mem::take(&mut self.peers.streams);
        let targets = self.neighbour_addresses();
        let now = self.now;
        let loads = std::mem::take(&mut self.peers.loads).into_iter();
        let paces = &mut self.peers.paces;
        let age_ms = |at: Time| now.since(at).as_millis() as u32;
        let reports = loads.map(|(id, (load, at))| {
            let server = self.pool.get(id);
            let waited_ms = server.last_wait.map(|it| (it.0, age_ms(it.1)));
            LoadReport {
                server: server.name.clone(),
                incarnation: server.incarnation,
                load,
                age_ms: age_ms(at),
                waited_ms,
                pace: paces.remove(&id),
                progress: server
                    .backlog
                    .progress()
                    .map(|it| (age_ms(it.sent), age_ms(it.prefilled))),
            }
        });
        let reports = reports.filter(|it| it.age_ms < MAX_LOAD_AGE_MS).collect();
        self.send_with(&targets, &Datagram::Placed(placements, reports), &streams);
    }

    /// Announces this instance's configuration and weights to a few neighbours at the end of the
    /// tick.
    pub(crate) fn announce_to_few(&mut self) {
        self.peers.is_announcement_due = true;
    }

    /// Broadcasts an update to all instances.
    pub(crate) fn broadcast(&mut self, update: Update) {
        self.peers.broadcasts.enqueue(self.now, update, Reach::Fleet);
    }

    /// Broadcasts this instance's own membership state.
    pub(crate) fn broadcast_membership(&mut self) {
        let me = self.members.announce();
        self.broadcast(Update::Instance(Box::new(me)));
    }

    /// Announces a newer configuration: to all instances if it was read from the store, to a few if
    /// it came from another instance, since others may be behind as well.
    pub(crate) fn announce_configuration(&mut self, source: Source) {
        if source == Source::Instance {
            self.announce_to_few();
            return;
        }
        let peer = self.members.me().config_peer(self.config_version());
        self.broadcast(Update::Configuration(peer));
    }

    /// Records that the store confirmed the configuration as current, by a watch or a list. In a
    /// large fleet the neighbours depend on the watchers, which forward it.
    pub(crate) fn record_confirmation(&mut self, is_watch: bool) {
        self.peers.freshness.record_confirmation(self.now);
        if is_watch && self.members.is_large() && self.storage.is_watcher {
            let peer = self.members.me().config_peer(self.config_version());
            let confirmation = Confirmation { name: self.members.me().name.clone(), peer };
            self.send_to(&self.neighbour_addresses(), &Datagram::Confirmation(confirmation));
        }
    }

    /// Sends the updates that are due.
    fn send_broadcasts(&mut self) {
        for Push { targets, updates, needs_relay } in
            self.peers.broadcasts.take_due(self.now, &self.members, &mut self.rng)
        {
            let bytes: usize = match updates.chunks(MAX_UPDATES) {
                chunks if chunks.len() == 0 => self.send_news(&targets, Vec::new(), needs_relay),
                chunks => chunks.map(|it| self.send_news(&targets, it.to_vec(), needs_relay)).sum(),
            };
            self.peers.broadcasts.record_sent(self.now, bytes, self.settings.link_bytes_per_s);
        }
    }

    /// Addresses of the instances that receive placements.
    pub(crate) fn neighbour_addresses(&self) -> Vec<SocketAddr> {
        self.members.neighbours(self.now).map(|it| it.peers).collect()
    }

    /// When this instance sent the question whose reply says that it was `asked` then. Earlier releases don't say it, and
    /// an earlier process of this instance may have asked.
    pub(super) fn asked_at(&self, asked: Option<Time>) -> Time {
        asked.map_or(self.now, |it| it.min(self.now))
    }

    /// Sends a datagram to each target. Returns the number of bytes sent.
    pub(crate) fn send_to(&mut self, targets: &[SocketAddr], datagram: &Datagram) -> usize {
        self.send_with(targets, datagram, &[])
    }

    /// The same with streams that were sent to servers.
    fn send_with(
        &mut self,
        targets: &[SocketAddr],
        datagram: &Datagram,
        streams: &[Begun],
    ) -> usize {
        match datagram.encode(streams) {
            Ok(bytes) if MAX_DATAGRAM_BYTES < bytes.len() => {
                self.log
                    .line(self.now, "datagram_too_long")
                    .text("kind", traffic::kind_name(datagram))
                    .number("bytes", bytes.len());
                datagram.shortened().map_or(0, |it| self.send_with(targets, &it, &[]))
            }
            Ok(bytes) => {
                self.stats.traffic.count_sent(datagram, targets.len(), bytes.len());
                targets.iter().for_each(|it| self.net.send_datagram(*it, &bytes));
                targets.len() * bytes.len()
            }
            Err(err) => {
                log::error!("cannot encode a message to other instances: {err}");
                0
            }
        }
    }

    /// Sends the periodic gossip: members, heartbeats and repeated updates.
    fn gossip_members(&mut self, targets: &[SocketAddr]) {
        let mut updates = self.peers.broadcasts.take_repeats(self.now);
        updates.extend(self.next_draining());
        let message = Message {
            members: self.members.take_sightings(self.now),
            heartbeats: self.members.recent_heartbeats(self.now, &mut self.rng),
            costs: self.pool.costs().map(|it| (it.0.clone(), *it.1)).collect(),
            ..self.news_message(updates, false)
        };
        let message = Message {
            quarantine: [message.quarantine, self.next_quarantine_records()].concat(),
            ..message
        };
        self.send_to(targets, &Datagram::News(Box::new(message)));
    }

    /// The next few servers that have said that they drain, all in turn: instances that have just started, or were cut
    /// off, haven't heard of them.
    fn next_draining(&mut self) -> Vec<broadcast::Aged> {
        let mut all: Vec<IncarnationId> = self.pool.announced_draining().collect();
        all.sort_unstable();
        let next = all.partition_point(|it| *it <= self.peers.last_draining);
        all.rotate_left(next);
        all.truncate(MAX_SENT_DRAINING);
        self.peers.last_draining = all.last().copied().unwrap_or_default();
        // No news, which would be repeated and relayed.
        let aged = |it| broadcast::Aged { update: Update::Draining(it), age_ms: u32::MAX };
        all.into_iter().map(aged).collect()
    }

    /// Sends the updates, with this instance's state. Returns the number of bytes sent.
    fn send_news(
        &mut self,
        targets: &[SocketAddr],
        updates: Vec<broadcast::Aged>,
        needs_relay: bool,
    ) -> usize {
        if targets.is_empty() {
            return 0;
        }
        let message = self.news_message(updates, needs_relay);
        self.send_to(targets, &Datagram::News(Box::new(message)))
    }

    fn news_message(&mut self, updates: Vec<broadcast::Aged>, needs_relay: bool) -> Message {
        Message {
            from: self.members.announce(),
            members: Vec::new(),
            heartbeats: Vec::new(),
            configuration: self.config_version(),
            era: self.storage.era.number(),
            withheld: self.sample_withheld(),
            weights: self.publications(),
            updates,
            needs_relay,
            cache_stores: self.cache_stores.observed(),
            costs: Vec::new(),
            quarantine: self.recent_quarantine_records(),
        }
    }

    /// Broadcasts that a server is leaving, unless an instance in another data centre has done so
    /// already.
    pub(crate) fn broadcast_leaving(&mut self, id: pool::Id) {
        let server = self.pool.get(id);
        let update = Update::Leaving(server.name.clone(), server.revision);
        if !self.peers.broadcasts.has_recent(self.now, &update, PERIOD) {
            self.broadcast(update);
        }
    }

    /// Broadcasts within the data centre, whose instances use the server most, that it doesn't
    /// respond.
    pub(crate) fn broadcast_unresponsive(&mut self, id: pool::Id) {
        let update = Update::Unresponsive(self.pool.get(id).name.clone());
        if !self.peers.broadcasts.has_recent(self.now, &update, UNRESPONSIVE_REPEAT_INTERVAL) {
            self.peers.broadcasts.enqueue(self.now, update, Reach::Centre);
        }
    }

    /// Broadcasts that a server loads weights, or has loaded them (`valid` is zero).
    pub(crate) fn broadcast_loading(
        &mut self,
        id: pool::Id,
        model: &Arc<str>,
        version: u64,
        valid: Duration,
    ) {
        let server = self.pool.get(id);
        let (server, incarnation) = (server.name.clone(), server.incarnation);
        let valid_ms = valid.as_millis() as u32;
        let loading = Loading { server, incarnation, model: model.clone(), version, valid_ms };
        self.broadcast(Update::Loading(loading));
    }

    /// The publications of each model's weights that still matter, oldest first.
    pub(crate) fn publications(&self) -> Vec<Publication> {
        let age_ms = |at| self.now.since(at).as_millis() as u64;
        let recent = self.recent_publications();
        recent
            .map(|(model, version, at)| Publication { model, version, age_ms: age_ms(at) })
            .collect()
    }
}
