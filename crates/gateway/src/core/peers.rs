//! Telling other instances: datagrams with news, prompts that were sent, and entries that were read.

mod outbox;
mod receive;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use rand::seq::IndexedRandom;
use shallotlead_base::{hash::Map, time::Time};

use crate::{
    catchup::Catchup,
    core::{Core, storage::Source},
    currency::Currency,
    dialect::Load,
    gossip::{self, Confirmed, Datagram, Loading, Message, Naming, PERIOD, Placement, Told},
    pool,
    rumour::{self, Board, Push, Reach, Rumour},
};

use outbox::Outbox;

/// Instances nearby that an instance tells at once that it is ready, or has a configuration from another one:
/// all of a small fleet. With each of these telling as many, a few rounds reach all of a large one, and nobody
/// hears of it from hundreds.
const ANNOUNCE_FANOUT: usize = 12;
/// How long a server that was found silent isn't told of again: all nearby look at it at the same moment.
const SILENT_REPEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Rumours in one message that pushes them: of up to 300 bytes each, so that a datagram carries them.
const MAX_UPDATES: usize = 100;
/// Instances whose change is logged by name, each time that all are looked through.
const MAX_LOGGED: usize = 4;
/// Age from which on a load tells nothing any more, ms.
const MAX_LOAD_AGE_MS: u32 = 500;

/// What is told to other instances, and what is asked of them.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    last_gossip: Time,
    /// What is told to all at once.
    pub(crate) broadcasts: Board,
    /// Who has a newer configuration, and who of them is asked.
    pub(crate) catchup: Catchup,
    /// How current the own one is.
    pub(crate) freshness: Currency,
    /// When another instance was last asked for all that was missed.
    pub(crate) last_query: Time,
    /// Its answer hasn't come yet.
    pub(crate) awaits_reply: bool,
    /// Loads that servers have told since the others were told last.
    loads: Map<pool::Id, (Load, Time)>,
    /// This instance has something that a few others should know of.
    is_announcement_due: bool,
    /// Entries that were read from the store.
    pub(crate) outbox: Outbox,
    /// Prompts that were sent since the others were told last.
    placements: Vec<Placement>,
}

impl Peers {
    /// A prompt was sent to a server; the others hear of it at the end of the tick.
    pub(crate) fn add_placement(&mut self, placement: Placement) {
        self.placements.push(placement);
    }

    /// A server has told its load.
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
            self.storage.set_sharers(self.members.sharers(), now);
            let own = self.settings.listen.peers;
            let seeds = self.settings.seeds.iter().copied().filter(|it| *it != own);
            let targets = self.members.targets(now, seeds, &mut self.rng);
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

    /// Logs what has become of other instances, a few by name: hundreds may end at the same moment.
    fn log_member_changes(&mut self, changes: &[gossip::Change]) {
        for it in changes {
            self.stats.count_member_change(it.standing.name());
        }
        for it in changes.iter().take(MAX_LOGGED) {
            self.journal
                .line(self.now, "member")
                .text("member", &it.name)
                .text("change", it.standing.name())
                .text("heard_from", it.source.name())
                .ms("silent_ms", it.silent);
        }
        if MAX_LOGGED < changes.len() {
            self.journal.line(self.now, "members_changed").number("members", changes.len());
        }
    }

    /// Tells the instances nearby of entries that this one has read for them.
    fn send_entries(&mut self) {
        let told = self.peers.outbox.take();
        // In a small fleet each reads for itself.
        if told.is_empty() || !self.members.is_large() {
            return;
        }
        let targets = self.neighbour_addresses();
        for entries in told.into_datagrams() {
            match entries {
                Ok(it) => {
                    self.send_to(&targets, &Datagram::Entries(it));
                }
                Err(err) => log::error!("servers' entries could not be packed: {err}"),
            }
        }
    }

    /// Tells the others of the prompts that were sent, so that they know the queues and who holds
    /// what, which servers tell only late. Answers within their aim rose from 85% to 96% of 3,028 in
    /// one simulated run each, seven instances before nine engines at 90 requests a second.
    fn send_placements(&mut self) {
        if self.peers.placements.is_empty() {
            return;
        }
        let placed = std::mem::take(&mut self.peers.placements);
        let targets = self.neighbour_addresses();
        let now = self.now;
        let loads = std::mem::take(&mut self.peers.loads).into_iter();
        let age_ms = |at: Time| now.since(at).as_millis() as u32;
        let told = loads.map(|(id, (load, at))| {
            let server = self.pool.get(id);
            let waited_ms = server.waited.map(|it| (it.0, age_ms(it.1)));
            Told {
                server: server.name.clone(),
                born: server.born,
                load,
                age_ms: age_ms(at),
                waited_ms,
            }
        });
        let told = told.filter(|it| it.age_ms < MAX_LOAD_AGE_MS).collect();
        self.send_to(&targets, &Datagram::Placed(placed, told));
    }

    /// Tells a few others at the end of the tick which configuration and weights this instance has.
    pub(crate) fn announce_to_few(&mut self) {
        self.peers.is_announcement_due = true;
    }

    /// Tells all instances of `rumour`.
    pub(crate) fn broadcast(&mut self, rumour: Rumour) {
        self.peers.broadcasts.put(self.now, rumour, Reach::Fleet);
    }

    /// Tells all instances how this one stands now.
    pub(crate) fn broadcast_membership(&mut self) {
        let me = self.members.tell();
        self.broadcast(Rumour::Instance(Box::new(me)));
    }

    /// Tells that this instance has a newer configuration: one that comes from the store is news to all, one that
    /// comes from another instance is told where others may still be behind.
    pub(crate) fn announce_configuration(&mut self, source: Source) {
        if source == Source::Instance {
            self.announce_to_few();
            return;
        }
        let holder = self.members.me().holder(self.config_version());
        self.broadcast(Rumour::Holds(holder));
    }

    /// The store has said that there is no newer configuration, to a watch or to one that has just listed all. In a
    /// large fleet those nearby rely on the watch.
    pub(crate) fn configuration_confirmed(&mut self, is_watch: bool) {
        self.peers.freshness.read(self.now);
        if is_watch && self.members.is_large() && self.storage.is_watcher {
            let holder = self.members.me().holder(self.config_version());
            let confirmed = Confirmed { name: self.members.me().name.clone(), holder };
            self.send_to(&self.neighbour_addresses(), &Datagram::Confirmed(confirmed));
        }
    }

    /// Sends what is to be told at once.
    fn send_broadcasts(&mut self) {
        for Push { targets, rumours, passes_on } in
            self.peers.broadcasts.pushes(self.now, &self.members, &mut self.rng)
        {
            let bytes: usize = match rumours.chunks(MAX_UPDATES) {
                chunks if chunks.len() == 0 => self.send_news(&targets, Vec::new(), passes_on),
                chunks => chunks.map(|it| self.send_news(&targets, it.to_vec(), passes_on)).sum(),
            };
            self.peers.broadcasts.sent(self.now, bytes, self.settings.link_bytes_per_s);
        }
    }

    /// Where the instances are that hear of each prompt.
    fn neighbour_addresses(&self) -> Vec<SocketAddr> {
        self.members.neighbours(self.now).map(|it| it.peers).collect()
    }

    /// Returns how many bytes were sent.
    pub(crate) fn send_to(&mut self, targets: &[SocketAddr], datagram: &Datagram) -> usize {
        match postcard::to_stdvec(datagram) {
            Ok(bytes) => {
                self.stats.traffic.count_sent(datagram, targets.len(), bytes.len());
                targets.iter().for_each(|it| self.net.send_datagram(*it, &bytes));
                targets.len() * bytes.len()
            }
            Err(err) => {
                log::error!("a message to other instances could not be written: {err}");
                0
            }
        }
    }

    /// Tells who lives, and repeats rumours, as is done now and then.
    fn gossip_members(&mut self, targets: &[SocketAddr]) {
        let rumours = self.peers.broadcasts.repeat(self.now);
        let message = Message {
            members: self.members.sightings(self.now),
            beats: self.members.beats(self.now, &mut self.rng),
            paces: self.pool.paces().map(|it| (it.0.clone(), *it.1)).collect(),
            quarantine: self.sample_quarantine(),
            ..self.news_message(rumours, false)
        };
        self.send_to(targets, &Datagram::News(Box::new(message)));
    }

    /// Returns how many bytes were sent.
    fn send_news(
        &mut self,
        targets: &[SocketAddr],
        rumours: Vec<rumour::Aged>,
        passes_on: bool,
    ) -> usize {
        if targets.is_empty() {
            return 0;
        }
        let message = self.news_message(rumours, passes_on);
        self.send_to(targets, &Datagram::News(Box::new(message)))
    }

    fn news_message(&mut self, rumours: Vec<rumour::Aged>, passes_on: bool) -> Message {
        Message {
            from: self.members.tell(),
            members: Vec::new(),
            beats: Vec::new(),
            configuration: self.config_version(),
            era: self.storage.era.number(),
            withheld: self.sample_withheld(),
            weights: self.publications(),
            rumours,
            passes_on,
            cache_stores: self.cache_stores.seen(),
            paces: Vec::new(),
            quarantine: Vec::new(),
        }
    }

    /// A server has begun to leave: what this instance knows binds all. Whoever follows the store in another
    /// data centre may have told it already.
    pub(crate) fn broadcast_leaving(&mut self, id: pool::Id) {
        let server = self.pool.get(id);
        let rumour = Rumour::Leaving(server.name.clone(), server.revision);
        if !self.peers.broadcasts.has_heard(self.now, &rumour, PERIOD) {
            self.broadcast(rumour);
        }
    }

    /// A server doesn't answer. Those nearby use it most.
    pub(crate) fn broadcast_silent(&mut self, id: pool::Id) {
        let rumour = Rumour::Silent(self.pool.get(id).name.clone());
        if !self.peers.broadcasts.has_heard(self.now, &rumour, SILENT_REPEAT_INTERVAL) {
            self.peers.broadcasts.put(self.now, rumour, Reach::Centre);
        }
    }

    /// A server loads other weights, or is done with it.
    pub(crate) fn broadcast_loading(
        &mut self,
        id: pool::Id,
        model: &Arc<str>,
        version: u64,
        valid: Duration,
    ) {
        let row = self.pool.get(id);
        let (server, born) = (row.name.clone(), row.born);
        let valid_ms = valid.as_millis() as u32;
        let loading = Loading { server, born, model: model.clone(), version, valid_ms };
        self.broadcast(Rumour::Loading(loading));
    }

    pub(crate) fn publications(&self) -> Vec<Naming> {
        let naming = |it: (&Arc<str>, &pool::Named)| Naming {
            model: it.0.clone(),
            version: it.1.newest(),
            age_ms: self.now.since(it.1.newest_at()).as_millis() as u64,
        };
        self.pool.all_named().map(naming).collect()
    }
}
