//! Telling other instances: datagrams with news, prompts that were sent, and entries that were read.

mod heard;
mod reading;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use rand::seq::IndexedRandom;
use reading::Reading;
use shallotlead_base::{hash::Map, time::Time};

use crate::{adapter::Load, broadcast::{Push, Queue, Reach, Update, self}, catchup::Catchup, core::{Core, storage::Source}, freshness::Freshness, gossip::{Confirmation, Datagram, LoadReport, Loading, Message, PERIOD, Placement, Publication, self}, pool};

/// Instances nearby that an instance tells at once that it is ready, or has a configuration from another one:
/// all of a small fleet. With each of these telling as many, a few rounds reach all of a large one, and nobody
/// hears of it from hundreds.
const FEW: usize = 12;
/// How long a server that was found silent isn't told of again: all nearby look at it at the same moment.
const SILENT_AGAIN: Duration = Duration::from_secs(1);
/// Rumours in one message that pushes them: of up to 300 bytes each, so that a datagram carries them.
const MOST_PUSHED: usize = 100;
/// Instances whose change is logged by name, each time that all are looked through.
const MOST_LOGGED: usize = 4;
/// Age from which on a load tells nothing any more, ms.
const OLDEST_LOAD_MS: u32 = 500;

/// What is told to other instances, and what is asked of them.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    told: Time,
    /// What is told to all at once.
    pub(crate) broadcasts: Queue,
    /// Who has a newer configuration, and who of them is asked.
    pub(crate) catchup: Catchup,
    /// How current the own one is.
    pub(crate) freshness: Freshness,
    /// When another instance was last asked for all that was missed.
    pub(crate) asked: Time,
    /// Its answer hasn't come yet.
    pub(crate) awaits_state: bool,
    /// Loads that servers have told since the others were told last.
    loads: Map<pool::Id, (Load, Time)>,
    /// This instance has something that a few others should know of.
    has_news: bool,
    /// Entries that were read from the store.
    pub(crate) reading: Reading,
    /// Prompts that were sent since the others were told last.
    placed: Vec<Placement>,
}

impl Peers {
    /// A prompt was sent to a server; the others hear of it at the end of the tick.
    pub(crate) fn placed(&mut self, placement: Placement) {
        self.placed.push(placement);
    }

    /// A server has told its load.
    pub(crate) fn loaded(&mut self, now: Time, server: pool::Id, load: Load) {
        self.loads.insert(server, (load, now));
    }
}

impl Core {
    pub(crate) fn tick_peers(&mut self) {
        let now = self.now;
        if PERIOD <= now.since(self.peers.told) {
            self.peers.told = now;
            let changes = self.members.expire(now);
            self.log_members(&changes);
            self.storage.set_sharers(self.members.budget_sharers(), now);
            let own = self.settings.listen.peers;
            let seeds = self.settings.seeds.iter().copied().filter(|it| *it != own);
            let targets = self.members.gossip_targets(now, seeds, &mut self.rng);
            self.tell_members(&targets);
        }
        if std::mem::take(&mut self.peers.has_news) {
            let targets =
                self.nearby().choose_multiple(&mut self.rng, FEW).copied().collect::<Vec<_>>();
            self.tell(&targets, Vec::new(), false);
        }
        self.push();
        self.tell_placed();
        self.tell_entries();
        self.ask_peers();
    }

    /// Logs what has become of other instances, a few by name: hundreds may end at the same moment.
    fn log_members(&mut self, changes: &[gossip::Change]) {
        for it in changes {
            self.stats.member_changed(it.status.name());
        }
        for it in changes.iter().take(MOST_LOGGED) {
            self.journal
                .line(self.now, "member")
                .text("member", &it.name)
                .text("change", it.status.name())
                .text("heard_from", it.source.name())
                .ms("silent_ms", it.silent);
        }
        if MOST_LOGGED < changes.len() {
            self.journal.line(self.now, "members_changed").number("members", changes.len());
        }
    }

    /// Tells the instances nearby of entries that this one has read for them.
    fn tell_entries(&mut self) {
        let told = self.peers.reading.take();
        // In a small fleet each reads for itself.
        if told.is_empty() || !self.members.is_large() {
            return;
        }
        let targets = self.nearby();
        for entries in told.packed() {
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
    fn tell_placed(&mut self) {
        if self.peers.placed.is_empty() {
            return;
        }
        let placed = std::mem::take(&mut self.peers.placed);
        let targets = self.nearby();
        let now = self.now;
        let loads = std::mem::take(&mut self.peers.loads).into_iter();
        let age_ms = |at: Time| now.since(at).as_millis() as u32;
        let told = loads.map(|(id, (load, at))| {
            let server = self.pool.get(id);
            let waited_ms = server.last_wait.map(|it| (it.0, age_ms(it.1)));
            LoadReport {
                server: server.name.clone(),
                born: server.born,
                load,
                age_ms: age_ms(at),
                waited_ms,
            }
        });
        let told = told.filter(|it| it.age_ms < OLDEST_LOAD_MS).collect();
        self.send_to(&targets, &Datagram::Placed(placed, told));
    }

    /// Tells a few others at the end of the tick which configuration and weights this instance has.
    pub(crate) fn tell_few(&mut self) {
        self.peers.has_news = true;
    }

    /// Tells all instances of `rumour`.
    pub(crate) fn tell_all(&mut self, update: Update) {
        self.peers.broadcasts.enqueue(self.now, update, Reach::Fleet);
    }

    /// Tells all instances how this one stands now.
    pub(crate) fn tell_own_state(&mut self) {
        let me = self.members.announce();
        self.tell_all(Update::Instance(Box::new(me)));
    }

    /// Tells that this instance has a newer configuration: one that comes from the store is news to all, one that
    /// comes from another instance is told where others may still be behind.
    pub(crate) fn tell_configuration(&mut self, source: Source) {
        if source == Source::Instance {
            self.tell_few();
            return;
        }
        let peer = self.members.me().config_peer(self.version_in_force());
        self.tell_all(Update::Configuration(peer));
    }

    /// The store has said that there is no newer configuration, to a watch or to one that has just listed all. In a
    /// large fleet those nearby rely on the watch.
    pub(crate) fn configuration_confirmed(&mut self, is_watch: bool) {
        self.peers.freshness.record_confirmation(self.now);
        if is_watch && self.members.is_large() && self.storage.is_watcher {
            let peer = self.members.me().config_peer(self.version_in_force());
            let confirmed = Confirmation { name: self.members.me().name.clone(), peer };
            self.send_to(&self.nearby(), &Datagram::Confirmation(confirmed));
        }
    }

    /// Sends what is to be told at once.
    fn push(&mut self) {
        for Push { targets, updates, needs_relay } in
            self.peers.broadcasts.take_due(self.now, &self.members, &mut self.rng)
        {
            let bytes: usize = match updates.chunks(MOST_PUSHED) {
                chunks if chunks.len() == 0 => self.tell(&targets, Vec::new(), needs_relay),
                chunks => chunks.map(|it| self.tell(&targets, it.to_vec(), needs_relay)).sum(),
            };
            self.peers.broadcasts.record_sent(self.now, bytes, self.settings.link_bytes_per_s);
        }
    }

    /// Where the instances are that hear of each prompt.
    fn nearby(&self) -> Vec<SocketAddr> {
        self.members.neighbours(self.now).map(|it| it.peers).collect()
    }

    /// Returns how many bytes were sent.
    pub(crate) fn send_to(&mut self, targets: &[SocketAddr], datagram: &Datagram) -> usize {
        match postcard::to_stdvec(datagram) {
            Ok(bytes) => {
                self.stats.traffic.sent(datagram, targets.len(), bytes.len());
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
    fn tell_members(&mut self, targets: &[SocketAddr]) {
        let updates = self.peers.broadcasts.take_repeats(self.now);
        let message = Message {
            members: self.members.take_sightings(self.now),
            heartbeats: self.members.recent_heartbeats(self.now, &mut self.rng),
            paces: self.pool.costs().map(|it| (it.0.clone(), *it.1)).collect(),
            quarantine: self.told_records(),
            ..self.message(updates, false)
        };
        self.send_to(targets, &Datagram::News(Box::new(message)));
    }

    /// Returns how many bytes were sent.
    fn tell(
        &mut self,
        targets: &[SocketAddr],
        updates: Vec<broadcast::Aged>,
        needs_relay: bool,
    ) -> usize {
        if targets.is_empty() {
            return 0;
        }
        let message = self.message(updates, needs_relay);
        self.send_to(targets, &Datagram::News(Box::new(message)))
    }

    fn message(&mut self, updates: Vec<broadcast::Aged>, needs_relay: bool) -> Message {
        Message {
            from: self.members.announce(),
            members: Vec::new(),
            heartbeats: Vec::new(),
            configuration: self.version_in_force(),
            era: self.storage.era.number(),
            withheld: self.told_withheld(),
            weights: self.namings(),
            updates,
            needs_relay,
            cache_stores: self.cache_stores.observed(),
            paces: Vec::new(),
            quarantine: Vec::new(),
        }
    }

    /// A server has begun to leave: what this instance knows binds all. Whoever follows the store in another
    /// data centre may have told it already.
    pub(crate) fn tell_leaving(&mut self, id: pool::Id) {
        let server = self.pool.get(id);
        let update = Update::Leaving(server.name.clone(), server.revision);
        if !self.peers.broadcasts.has_recent(self.now, &update, PERIOD) {
            self.tell_all(update);
        }
    }

    /// A server doesn't answer. Those nearby use it most.
    pub(crate) fn tell_silent(&mut self, id: pool::Id) {
        let update = Update::Unresponsive(self.pool.get(id).name.clone());
        if !self.peers.broadcasts.has_recent(self.now, &update, SILENT_AGAIN) {
            self.peers.broadcasts.enqueue(self.now, update, Reach::Centre);
        }
    }

    /// A server loads other weights, or is done with it.
    pub(crate) fn tell_loading(
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
        self.tell_all(Update::Loading(loading));
    }

    pub(crate) fn namings(&self) -> Vec<Publication> {
        let naming = |it: (&Arc<str>, &pool::Versions)| Publication {
            model: it.0.clone(),
            version: it.1.newest(),
            age_ms: self.now.since(it.1.newest_at()).as_millis() as u64,
        };
        self.pool.all_weight_versions().map(naming).collect()
    }
}
