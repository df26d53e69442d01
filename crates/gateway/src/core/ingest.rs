//! Applies objects that were read from the store, or received from instances that can reach it.

use std::sync::Arc;

use shallotlead_base::{
    id::Version,
    store::{Call, Change, Key, Object},
};

use crate::{
    adapter::{Malformed, ObjectKind, ServerEntry},
    config::Config,
    core::{
        Core,
        storage::{Basis, Document, Entry, Pages, Source, Topic},
    },
    gossip::{self, Member},
    http::write,
    pool::{self, Presence},
};

/// Longest entry of a server, bytes. Entries are sent to other instances, several in one datagram.
const MAX_ENTRY_BYTES: usize = 16 * 1024;

/// Longest name of a server, a model, an instance or a data centre, bytes. Names are sent to other instances, many in one
/// datagram.
const MAX_NAME_BYTES: usize = 256;

impl Core {
    /// Applies a page of a list that was read at `version`. Returns the version up to which all pages so far show every
    /// change.
    pub(crate) fn apply_page(
        &mut self,
        call: &Call,
        objects: &[Object],
        version: Version,
    ) -> Version {
        let Some((topic, basis)) = self.storage.list_source(call) else { return version };
        for object in objects {
            self.apply_object(topic, object, basis);
        }
        let is_servers = topic == Topic::Platform(ObjectKind::Servers);
        let names = objects.iter().map(|it| &it.key.name);
        let servers = names.filter(|it| is_servers && self.pool.find(it).is_some()).cloned();
        self.storage.add_page(call, objects.len(), servers.collect(), version)
    }

    /// Removes the servers that aren't in a full list, which was read at `version`.
    pub(crate) fn remove_unlisted(&mut self, pages: &Pages, version: Version) {
        let is_steady = self.storage.connectivity.is_steady(self.now);
        for change in self.pool.retain(self.now, pages.servers(), version.0, is_steady) {
            if let pool::Change::Gone(id) = change {
                self.relay_removal(id);
            }
            self.handle_server_change(change, "not listed");
        }
    }

    pub(crate) fn apply_object(&mut self, topic: Topic, object: &Object, basis: Basis) {
        match topic {
            Topic::Platform(ObjectKind::Configuration) => {
                if *object.key.name == *self.adapter.configuration_name() {
                    self.apply_configuration(&object.value, None, Source::Store);
                }
            }
            Topic::Platform(ObjectKind::Weights) => self.apply_weights(object, basis),
            Topic::Platform(ObjectKind::Servers) => {
                let value = Some(&object.value);
                self.apply_entry(&object.key.name, object.version.0, value, Source::Store);
            }
            Topic::Records => self.apply_quarantine_record(object),
            Topic::Instances => match parse_member(object) {
                Ok(member) => self.members.add_record(self.now, member),
                Err(err) => {
                    self.log
                        .line(self.now, "instance_unreadable")
                        .text("instance_name", &object.key.name)
                        .text("error", &err.to_string());
                }
            },
        }
    }

    pub(crate) fn apply_removal(
        &mut self,
        topic: Topic,
        key: &Key,
        version: Version,
        basis: Basis,
    ) {
        if topic == Topic::Platform(ObjectKind::Servers) {
            self.apply_entry(&key.name, version.0, None, Source::Store);
            if basis.is_live {
                self.pool.limit_grace(self.now, &key.name);
            }
        }
    }

    /// Applies a configuration if it is newer than the current one. `compressed`: its compressed form,
    /// if another instance sent it.
    pub(crate) fn apply_configuration(
        &mut self,
        value: &Arc<[u8]>,
        compressed: Option<Arc<[u8]>>,
        source: Source,
    ) {
        let now = self.now;
        let config: Config = match self.adapter.parse_config(value) {
            Ok(it) => it,
            Err(err) => {
                self.log.line(now, "configuration_unreadable").text("error", &err.to_string());
                return;
            }
        };
        let known = self.config_version();
        if config.version <= known {
            return;
        }
        self.log
            .line(now, "configuration")
            .number("version", config.version)
            .number("before", known)
            .number("routes", config.route_count())
            .text("source", source.name());
        self.storage.configuration = Some(Document::new(config.version, value.clone(), compressed));
        self.peers.catchup.record_applied(config.version);
        self.limits.replace(now, config.limits);
        self.stream_lifetime.replace(now, config.longest_stream());
        self.replace_configuration(config);
        self.update_cache_stores();
        self.announce_configuration(source);
    }

    /// The version of the configuration in force; zero before the first one.
    pub(crate) fn config_version(&self) -> u64 {
        self.config.as_ref().map_or(0, |it| it.version)
    }

    /// Applies servers' entries from another instance. Returns whether they could be decoded.
    pub(crate) fn apply_peer_entries(&mut self, received: &gossip::Entries) -> bool {
        let entries = match received.unpack() {
            Ok(it) => it,
            Err(err) => {
                let error = err.to_string();
                self.log.line(self.now, "entries_unreadable").text("error", &error);
                return false;
            }
        };
        for it in entries {
            let value = it.value.map(Arc::from);
            self.apply_entry(&it.server, it.revision, value.as_ref(), Source::Instance);
        }
        self.storage.entries_synced_to = received.advance(self.storage.entries_synced_to);
        true
    }

    /// Relays changes that this instance had already received from another watcher before it read
    /// them.
    ///
    /// Each message claims to contain all changes between two revisions. An instance that lost the
    /// datagram of the first watcher would otherwise miss a change without noticing, until the
    /// entry changes again. So each watcher sends everything that its watch returned.
    pub(crate) fn relay_known_entry(&mut self, change: &Change) {
        let (name, revision) = match change {
            Change::Put(it) => (&it.key.name, it.version.0),
            Change::Delete(key, version) => (&key.name, version.0),
        };
        let known = self.storage.entries.get(name).filter(|it| revision <= it.revision);
        if let Some(it) = known {
            self.peers.outbox.add(gossip::Entry::new(name, it.revision, it.value.as_ref()));
        }
    }

    /// Applies a server's entry, or its removal if `value` is `None`.
    pub(crate) fn apply_entry(
        &mut self,
        name: &Arc<str>,
        revision: u64,
        value: Option<&Arc<[u8]>>,
        source: Source,
    ) {
        if revision <= self.storage.entry_revision(name) {
            return;
        }
        if !is_name(name) {
            if value.is_some() {
                self.record_unreadable(name, revision, "its name can't be that of a server");
            }
            return;
        }
        let parsed = value.map(|it| self.parse_entry(it));
        // Of an entry that names no server only the name and revision are kept and relayed, whatever its length.
        let is_readable = parsed.as_ref().is_some_and(Result::is_ok);
        let value = value.map(|it| if is_readable { it.clone() } else { Arc::default() });
        let new_version =
            parsed.as_ref().and_then(|it| it.as_ref().ok()).map(ServerEntry::entry_version);
        let known = self.storage.entries.get(name);
        let known_version = known.and_then(|it| it.written_version);
        // A server may have left, and a restore of the store may have lost that: its old entry
        // returns as ready with a higher revision. The version that the server itself wrote shows
        // that the entry is older. An equal version is accepted unless the server was gone in
        // between.
        if let (Some(written), Some(before), Some(last)) = (new_version, known, known_version)
            && Version(before.revision).era() < Version(revision).era()
            && written.is_not_newer_than(&last)
            && (written != last || before.value.is_none())
        {
            self.withhold(name, last);
            return;
        }
        self.storage.stop_withholding(name);
        let written_version = new_version.or(known_version);
        self.storage
            .entries
            .insert(name.clone(), Entry { revision, value: value.clone(), written_version });
        // The first list isn't relayed, as other instances have it too: 294 instances that started
        // together would send 162 MB for 209 servers.
        if source == Source::Store && value.is_some() && self.storage.has_all_entries() {
            self.peers.outbox.add(gossip::Entry::new(name, revision, value.as_ref()));
        }
        let change = match parsed {
            None => self.pool.remove(self.now, name, revision),
            Some(Ok(entry)) => self.pool.put(self.now, name, revision, entry),
            Some(Err(err)) => {
                self.record_unreadable(name, revision, &err.to_string());
                self.pool.mark_unreadable(name, revision)
            }
        };
        if let (Source::Store, pool::Change::Gone(id)) = (source, change) {
            self.relay_removal(id);
        }
        self.handle_server_change(change, "entry");
    }

    fn record_unreadable(&mut self, name: &str, revision: u64, error: &str) {
        self.log
            .line(self.now, "entry_unreadable")
            .text("server", name)
            .number("revision", revision)
            .text("error", error);
        self.stats.count_unreadable_entry();
    }

    fn parse_entry(&self, value: &[u8]) -> Result<ServerEntry, Malformed> {
        if MAX_ENTRY_BYTES < value.len() {
            return Err(Malformed(format!("longer than {MAX_ENTRY_BYTES} bytes")));
        }
        self.adapter.parse_server_entry(value)
    }

    pub(crate) fn handle_server_change(&mut self, change: pool::Change, reason: &str) {
        let now = self.now;
        let (id, change_name) = match change {
            pool::Change::None => return,
            pool::Change::Joined(id) => {
                self.handle_address_reuse(id);
                (id, "joined")
            }
            pool::Change::Leaving(id) => (id, "leaving"),
            pool::Change::Gone(id) => {
                self.handle_server_gone(id, reason);
                self.record_removal(id);
                return;
            }
            pool::Change::Loaded(id) => (id, "loaded"),
            pool::Change::Restarted(before, id) => {
                self.handle_restart(before);
                (id, "restarted")
            }
        };
        let server = self.pool.get(id);
        let mut line = self.log.line(now, "server");
        line = line.text("server", &server.name).text("change", change_name).text("reason", reason);
        if matches!(change_name, "joined" | "restarted") {
            line = line
                .text("address", &server.address.to_string())
                .text("build", server.build.as_deref().unwrap_or_default());
        }
        line.number("revision", server.revision)
            .number("born", server.incarnation.unwrap_or(0))
            .number("weights", server.models.first().map_or(0, |it| it.1));
        if server.presence == Presence::Draining {
            self.close_idle(id);
            self.broadcast_leaving(id);
        }
    }

    /// Handles a server's restart, which lost this instance's requests there.
    ///
    /// Behind a network partition no TCP reset reports the restart, and callers would wait until
    /// their deadline.
    pub(crate) fn handle_restart(&mut self, id: pool::Id) {
        self.record_restart(id);
        self.close_idle(id);
        for index in self.exchanges_where(|it| it.is_open_at(id)) {
            self.focus_server(index, id);
            self.handle_broken_attempt(index, "restarted");
        }
        self.retry_after_liveness_check(id, true);
    }

    /// Queues a removal for the neighbours. Only what was read from the store is relayed; otherwise
    /// each of 60 instances would send it to 59.
    pub(crate) fn relay_removal(&mut self, id: pool::Id) {
        let server = self.pool.get(id);
        self.peers.outbox.add(gossip::Entry::new(&server.name, server.revision, None));
    }

    /// Handles a server at whose address another one answers: it has ended.
    pub(crate) fn handle_replaced_server(&mut self, id: pool::Id) {
        if self.pool.get(id).presence != Presence::Gone {
            self.pool.mark_replaced(id);
            self.handle_server_gone(id, "another server has its address");
        }
        self.handle_crash(id);
    }

    /// Handles a server that left or was removed.
    pub(crate) fn handle_server_gone(&mut self, id: pool::Id, reason: &str) {
        let server = self.pool.get(id);
        self.log
            .line(self.now, "server")
            .text("server", &server.name)
            .text("change", "gone")
            .text("reason", reason)
            .number("revision", server.revision);
        self.close_idle(id);
        self.broadcast_leaving(id);
    }
}

/// The record of an instance, which is named by it.
fn parse_member(object: &Object) -> Result<Member, Malformed> {
    let member = serde_json::from_slice::<Member>(&object.value);
    let member = member.map_err(|it| Malformed(it.to_string()))?;
    if member.name != object.key.name || !is_name(&member.name) || !is_name(&member.centre) {
        return Err(Malformed("it isn't named by an instance".into()));
    }
    Ok(member)
}

/// Whether a server, a model, an instance or a data centre can have this name, which becomes a header field's value.
pub(crate) fn is_name(text: &str) -> bool {
    text.len() <= MAX_NAME_BYTES && write::is_field_value(text)
}
