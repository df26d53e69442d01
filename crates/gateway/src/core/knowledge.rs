//! What is learnt from the store, or from instances that can reach it, and what follows from it.

use std::{sync::Arc, time::Duration};

use shallotlead_base::{id::Version, store::{Change, Key, Object}, time::Time};

use crate::{adapter::{ObjectKind, ServerEntry}, broadcast::Reach, clock, config::{Config, Service}, core::{Core, storage::{Document, Entry, Source, What}}, gossip::{Member, self}, lease, pool::{Presence, self}, publication::{Evidence, self}};

/// How long after its start an instance may find namings that no other one has told of. Later, the others have told
/// what they know, and what the record tells of them is old.
const STARTING: Duration = Duration::from_secs(10);
/// How long after its start an instance waits for the lease's record: the store may be away.
const LOOKED_BY: Duration = Duration::from_millis(500);

impl Core {
    pub(crate) fn take_list(&mut self, what: What, objects: &[Object], version: Version) {
        for object in objects {
            self.take_object(what, object);
        }
        if what == What::Subject(ObjectKind::Servers) {
            let names: Vec<Arc<str>> = objects.iter().map(|it| it.key.name.clone()).collect();
            for change in self.pool.retain(self.now, &names, version.0) {
                if let pool::Change::Gone(id) = change {
                    self.tell_gone(id);
                }
                self.server_changed(change, "not listed");
            }
        }
    }

    pub(crate) fn take_object(&mut self, what: What, object: &Object) {
        match what {
            What::Subject(ObjectKind::Configuration) => {
                if *object.key.name == *self.dialect.configuration_name() {
                    self.take_configuration(&object.value, None, Source::Store);
                }
            }
            What::Subject(ObjectKind::Weights) => self.take_weights(&object.value),
            What::Subject(ObjectKind::Servers) => {
                let value = Some(&object.value);
                self.take_entry(&object.key.name, object.version.0, value, Source::Store);
            }
            What::Records => self.take_quarantine(object),
            What::Instances => match serde_json::from_slice::<Member>(&object.value) {
                Ok(member) => self.members.add_record(self.now, member),
                Err(err) => {
                    self.journal
                        .line(self.now, "instance_unreadable")
                        .text("instance_name", &object.key.name)
                        .text("error", &err.to_string());
                }
            },
        }
    }

    pub(crate) fn take_removal(&mut self, what: What, key: &Key, version: Version) {
        if what == What::Subject(ObjectKind::Servers) {
            self.take_entry(&key.name, version.0, None, Source::Store);
        }
    }

    /// Takes a configuration, if it is newer. `packed`: as another instance told it.
    pub(crate) fn take_configuration(
        &mut self,
        value: &Arc<[u8]>,
        packed: Option<Arc<[u8]>>,
        source: Source,
    ) {
        let now = self.now;
        let catalog: Config = match self.dialect.parse_config(value) {
            Ok(it) => it,
            Err(err) => {
                self.journal.line(now, "configuration_unreadable").text("error", &err.to_string());
                return;
            }
        };
        let known = self.version_in_force();
        if catalog.version <= known {
            return;
        }
        self.journal
            .line(now, "configuration")
            .number("version", catalog.version)
            .number("before", known)
            .number("routes", catalog.route_count())
            .text("source", source.name());
        self.storage.configuration = Some(Document::open(catalog.version, value.clone(), packed));
        self.peers.catchup.applied(catalog.version);
        self.pool.set_services(catalog.services.keys().cloned());
        self.catalog = Some(Arc::new(catalog));
        self.update_cache_stores();
        self.tell_configuration(source);
    }

    fn take_weights(&mut self, value: &[u8]) {
        match self.dialect.parse_weights(value) {
            Ok(it) => {
                let is_news =
                    self.storage.has_weights || self.pool.weight_versions(&it.model).is_some();
                let at = self.named_at(&it.model, it.version, is_news);
                if !is_news {
                    self.undated_weights.push((it.model.clone(), it.version));
                }
                self.weights_named(at, &it.model, it.version, Source::Store);
            }
            Err(err) => {
                self.journal.line(self.now, "weights_unreadable").text("error", &err.to_string());
            }
        }
    }

    pub(crate) fn weights_named(
        &mut self,
        at: Time,
        model: &Arc<str>,
        version: u64,
        source: Source,
    ) {
        let is_news = self.pool.add_version(at, model, version);
        let unix_ms = clock::unix_ms().saturating_sub(self.now.since(at).as_millis() as u64);
        self.lease.add_publication(lease::Publication { model: model.clone(), version, unix_ms });
        if is_news {
            self.journal
                .line(self.now, "weights_named")
                .text("model", model)
                .number("version", version)
                .text("source", source.name())
                .ms("age_ms", self.now.since(at));
            if source == Source::Store {
                self.peers.broadcasts.announce_versions(Reach::Fleet);
            }
        }
    }

    /// When weights were named that the store has. `is_news`: this instance knew what was named before.
    fn named_at(&self, model: &str, version: u64, is_news: bool) -> Time {
        let recorded = self.recorded_weights.get(model).filter(|it| it.0 == version);
        let is_starting = self.now.since(self.started) < STARTING;
        let known_until = self.lease.record_known_until().filter(|_| is_starting);
        let evidence = Evidence {
            is_news,
            recorded: recorded.map(|it| it.1),
            known_until: known_until.map(|it| clock::at_unix_ms(self.now, it)),
        };
        publication::published_at(self.now, &evidence)
    }

    /// The lease's record says when weights were named. What this instance hasn't heard of otherwise isn't named: the
    /// store may have come back from a copy.
    pub(crate) fn weights_dated(&mut self, named: &[lease::Publication]) {
        for it in named {
            let at = clock::at_unix_ms(self.now, it.unix_ms);
            let before = self.recorded_weights.insert(it.model.clone(), (it.version, at));
            if before.is_none_or(|before| before.0 != it.version) {
                self.journal
                    .line(self.now, "weights_recorded")
                    .text("model", &it.model)
                    .number("version", it.version)
                    .ms("age_ms", self.now.since(at));
            }
            let is_older = |known: &pool::Versions| {
                known.newest() == it.version && at + lease::CLOCK_TOLERANCE < known.newest_at()
            };
            if self.pool.weight_versions(&it.model).is_some_and(is_older) {
                self.weights_named(at, &it.model, it.version, Source::Store);
                self.peers.broadcasts.announce_versions(Reach::Fleet);
            }
        }
        if self.lease.record_known_until().is_some() {
            self.date_again();
        }
    }

    /// The lease's record has been read, which may tell more of the namings that were read before.
    fn date_again(&mut self) {
        for (model, version) in std::mem::take(&mut self.undated_weights) {
            let at = self.named_at(&model, version, false);
            self.journal
                .line(self.now, "weights_dated")
                .text("model", &model)
                .number("version", version)
                .ms("age_ms", self.now.since(at));
            self.weights_named(at, &model, version, Source::Store);
        }
    }

    /// How old weights may be that requests begin on.
    ///
    /// Guards against a restart of all instances right after weights were named: none is left to tell how long ago
    /// that was. It shows as prompts that begin on replaced weights seconds after the bound. It holds since the
    /// lease's record tells it, which each instance reads first; until then no replaced weights will do.
    pub(crate) fn oldest_weights(&self) -> Duration {
        let has_looked = self.lease.has_read_record() || LOOKED_BY <= self.now.since(self.started);
        if has_looked { self.settings.max_stale_weights } else { Duration::ZERO }
    }

    /// The version of the configuration in force; zero before the first one.
    pub(crate) fn version_in_force(&self) -> u64 {
        self.catalog.as_ref().map_or(0, |it| it.version)
    }

    /// The service `name` of the configuration in force.
    pub(crate) fn service(&self, name: &str) -> Option<&Service> {
        self.catalog.as_ref()?.services.get(name)
    }

    /// Takes servers' entries from another instance. Says whether they could be read.
    pub(crate) fn take_entries(&mut self, told: &gossip::Entries) -> bool {
        let entries = match told.unpack() {
            Ok(it) => it,
            Err(err) => {
                let error = err.to_string();
                self.journal.line(self.now, "entries_unreadable").text("error", &error);
                return false;
            }
        };
        for it in entries {
            let value = it.value.map(Arc::from);
            self.take_entry(&it.server, it.revision, value.as_ref(), Source::Instance);
        }
        self.storage.entries_until = told.advance(self.storage.entries_until);
        true
    }

    /// Tells also of a change that this instance has heard of before it read it.
    ///
    /// Guards against a change that a neighbour never hears of: what is told says that it is all between two
    /// revisions, and whoever lost the datagram of the watcher that was first would believe that nothing is missing.
    /// It shows as a server that one instance doesn't know until its entry changes again. It holds since each
    /// watcher tells all that a watch brought it.
    pub(crate) fn tell_known(&mut self, change: &Change) {
        let (name, revision, value) = match change {
            Change::Put(it) => (&it.key.name, it.version.0, Some(&it.value)),
            Change::Delete(key, version) => (&key.name, version.0, None),
        };
        if revision <= self.storage.entry_revision(name) {
            self.peers.reading.add(gossip::Entry::new(name, revision, value));
        }
    }

    /// Takes a server's entry, or that it was removed.
    pub(crate) fn take_entry(
        &mut self,
        name: &Arc<str>,
        revision: u64,
        value: Option<&Arc<[u8]>>,
        source: Source,
    ) {
        if revision <= self.storage.entry_revision(name) {
            return;
        }
        let read = value.map(|it| self.dialect.parse_server_entry(it));
        let read_beat =
            read.as_ref().and_then(|it| it.as_ref().ok()).map(ServerEntry::entry_version);
        let known = self.storage.entries.get(name);
        let known_beat = known.and_then(|it| it.beat);
        // Guards against a server that has left and whose leaving the store has lost: it comes back as ready, under a
        // later position. Its own beat tells that this is an older word. The same word written again is no older one,
        // unless its server was gone since.
        if let (Some(written), Some(before), Some(last)) = (read_beat, known, known_beat)
            && Version(before.revision).era() < Version(revision).era()
            && written.is_not_newer_than(&last)
            && (written != last || before.value.is_none())
        {
            self.withhold(name, last);
            return;
        }
        self.storage.stop_withholding(name);
        let beat = read_beat.or(known_beat);
        self.storage.entries.insert(name.clone(), Entry { revision, value: value.cloned(), beat });
        // What an instance reads first is news to itself only: told to all neighbours by each of 294 instances
        // that started together, it took 162 MB before 209 servers.
        if source == Source::Store && value.is_some() && self.storage.has_entries() {
            self.peers.reading.add(gossip::Entry::new(name, revision, value));
        }
        let change = match read {
            None => self.pool.remove(self.now, name, revision),
            Some(Ok(entry)) => self.pool.put(self.now, name, revision, entry),
            Some(Err(err)) => {
                self.journal
                    .line(self.now, "entry_unreadable")
                    .text("server", name)
                    .number("revision", revision)
                    .text("error", &err.to_string());
                self.stats.unreadable();
                self.pool.mark_unreadable(name, revision)
            }
        };
        if let (Source::Store, pool::Change::Gone(id)) = (source, change) {
            self.tell_gone(id);
        }
        self.server_changed(change, "entry");
    }

    pub(crate) fn server_changed(&mut self, change: pool::Change, reason: &str) {
        let now = self.now;
        let (id, what) = match change {
            pool::Change::None => return,
            pool::Change::Joined(id) => {
                self.note_address_taken(id);
                (id, "joined")
            }
            pool::Change::Leaving(id) => (id, "leaving"),
            pool::Change::Gone(id) => {
                self.server_gone(id, reason);
                return;
            }
            pool::Change::Loaded(id) => (id, "loaded"),
            pool::Change::Restarted(before, id) => {
                self.life_ended(before);
                (id, "restarted")
            }
        };
        let server = self.pool.get(id);
        let mut line = self.journal.line(now, "server");
        line = line.text("server", &server.name).text("change", what).text("reason", reason);
        if matches!(what, "joined" | "restarted") {
            line = line.text("address", &server.address.to_string());
        }
        line.number("revision", server.revision)
            .number("born", server.born.unwrap_or(0))
            .number("weights", server.models.first().map_or(0, |it| it.1));
        if server.presence == Presence::Draining {
            self.close_idle(id);
            self.tell_leaving(id);
        }
    }

    /// A server has started again: what it had of this instance's requests is lost.
    ///
    /// Guards against answers that nobody will give: behind a cut no reset tells of the restart, and
    /// callers would wait for their deadline.
    pub(crate) fn life_ended(&mut self, id: pool::Id) {
        self.note_life_ended(id);
        self.close_idle(id);
        for place in self.exchanges_at(id).map(|it| it.0).collect::<Vec<_>>() {
            self.attempt_broken(place, "restarted");
        }
        self.retry_after_liveness_check(id, true);
    }

    /// Tells the neighbours that a server has left. Who heard of it from a neighbour doesn't: of 60, each would
    /// tell 59.
    pub(crate) fn tell_gone(&mut self, id: pool::Id) {
        let server = self.pool.get(id);
        self.peers.reading.add(gossip::Entry::new(&server.name, server.revision, None));
    }

    /// A server has left.
    pub(crate) fn server_gone(&mut self, id: pool::Id, reason: &str) {
        let server = self.pool.get(id);
        self.journal
            .line(self.now, "server")
            .text("server", &server.name)
            .text("change", "gone")
            .text("reason", reason)
            .number("revision", server.revision);
        self.close_idle(id);
        self.server_crashed(id);
        self.tell_leaving(id);
    }
}
