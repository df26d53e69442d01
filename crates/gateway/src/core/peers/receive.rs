//! Handles messages from other instances.

use std::time::Duration;

use shallotlead_base::time::Time;

use crate::{
    catchup::Holder,
    core::{Core, storage::Source},
    gossip::{self, Confirmed, Datagram, Loading, Member, Message, Naming, Sighting, Told},
    pool::{self, Switch},
    rumour::{Reach, Rumour},
};

impl Core {
    /// Handles a datagram that may have waited in the socket's buffer for `queued_for`.
    pub(crate) fn handle_datagram(&mut self, bytes: &[u8], queued_for: Duration) {
        let received_at = self.now - queued_for;
        let datagram = postcard::from_bytes::<Datagram>(bytes);
        if let Ok(datagram) = &datagram {
            self.stats.traffic.count_received(datagram, bytes.len());
        }
        match datagram {
            Ok(Datagram::News(message)) => self.handle_news(received_at, *message),
            Ok(Datagram::Placed(placed, loads)) => {
                for it in loads {
                    self.apply_peer_load(received_at, &it);
                }
                for placement in &placed {
                    if let Some(id) = self.pool.find_life(&placement.server, placement.born) {
                        self.memory.placed(self.now, &mut self.pool, id, placement);
                    }
                }
            }
            Ok(Datagram::Entries(entries)) => {
                self.apply_peer_entries(&entries);
            }
            Ok(Datagram::PermitAsked(asked)) => self.handle_permit_request(&asked, queued_for),
            Ok(Datagram::PermitAnswered(answered)) => self.handle_permit_reply(&answered),
            Ok(Datagram::Confirmed(confirmed)) => {
                self.apply_peer_confirmation(received_at, confirmed)
            }
            Err(err) => {
                self.journal
                    .line(self.now, "datagram_unreadable")
                    .number("bytes", bytes.len())
                    .text("error", &err.to_string());
            }
        }
    }

    pub(crate) fn apply_publications(&mut self, received_at: Time, namings: &[Naming]) {
        for it in namings {
            let at = received_at - Duration::from_millis(it.age_ms);
            self.apply_publication(at, &it.model, it.version, Source::Instance);
        }
    }

    /// Applies a server's load report that another instance has received.
    fn apply_peer_load(&mut self, received_at: Time, told: &Told) {
        let Some(id) = self.pool.find_life(&told.server, told.born) else { return };
        let ago = |ms: u32| received_at - Duration::from_millis(u64::from(ms));
        let at = ago(told.age_ms);
        let waited = told.waited_ms.map(|it| (it.0, ago(it.1)));
        let server = self.pool.get_mut(id);
        if let Some((waited_ms, at)) = waited {
            server.has_waited(at, waited_ms);
        }
        if server.load.is_none_or(|it| it.1 < at) {
            self.pool.told_load(id, at, told.load);
        }
    }

    fn handle_news(&mut self, received_at: Time, message: Message) {
        let Message {
            from,
            members,
            beats,
            configuration,
            era,
            withheld,
            weights,
            rumours,
            passes_on,
            cache_stores,
            paces,
            quarantine,
        } = message;
        self.apply_peer_era(era);
        self.apply_withheld(received_at, &withheld);
        let holder = from.holder(configuration);
        for (address, is_alive) in cache_stores {
            self.cache_stores.told(received_at, address, is_alive);
        }
        for (service, pace) in paces {
            if self.service(&service).is_some() {
                self.pool.pace_mut(&service).adopt(&pace);
            }
        }
        let from = Sighting::of(from, Duration::ZERO);
        self.handle_sighting(received_at, from, gossip::Source::Itself);
        for sighting in members {
            self.handle_sighting(received_at, sighting, gossip::Source::Instance);
        }
        self.members.take_beats(received_at, &beats);
        self.note_peer_configuration(holder);
        self.apply_publications(received_at, &weights);
        self.adopt_records(&quarantine, "told by an instance");
        if passes_on && rumours.is_empty() {
            self.peers.broadcasts.tell_versions(Reach::Centre);
        }
        let reach = passes_on.then_some(Reach::Centre);
        let queued_for = self.now.since(received_at);
        for heard in rumours.into_iter().map(|it| it.after(queued_for)) {
            if let Some(rumour) = heard.current() {
                self.apply_update(&rumour, Duration::from_millis(u64::from(heard.age_ms)));
            }
            self.peers.broadcasts.hear(self.now, &heard, reach);
        }
    }

    /// Applies an update that its origin sent `age` ago.
    fn apply_update(&mut self, rumour: &Rumour, age: Duration) {
        match rumour {
            Rumour::Leaving(name, revision) => self.apply_peer_leaving(name, *revision),
            Rumour::Loading(it) => self.apply_peer_loading(it),
            Rumour::Silent(name) => {
                if let Some(id) = self.pool.find(name) {
                    self.look_at(id);
                }
            }
            Rumour::Holds(holder) => self.note_peer_configuration(holder.clone()),
            Rumour::Instance(member) => {
                let sighting = Sighting::of(Member::clone(member), age);
                self.handle_sighting(self.now, sighting, gossip::Source::Instance);
            }
            Rumour::CacheStore(address, is_alive) => {
                self.cache_stores.told(self.now - age, *address, *is_alive);
            }
            Rumour::Crashed(life, identities) => self.apply_peer_crash(age, *life, identities),
            Rumour::Released(identity) => self.apply_peer_release(identity),
            Rumour::Limited(limited) => self.apply_peer_rate_limit(limited, age),
        }
    }

    /// Applies what is reported of a member. If it is the lease holder and begins to leave, it
    /// releases the lease, so the next attempt to get it is brought forward.
    fn handle_sighting(&mut self, received_at: Time, sighting: Sighting, source: gossip::Source) {
        let member = &sighting.member;
        let begins_to_leave = member.is_leaving && !self.members.is_leaving(&member.name);
        if self.members.sighted(received_at, sighting, source) && begins_to_leave {
            self.lease.hurry(self.now);
        }
    }

    fn apply_peer_leaving(&mut self, name: &str, revision: u64) {
        let change = self.pool.told_leaving(name, revision);
        if let pool::Change::Leaving(id) = change {
            self.drop_idle(id);
            self.journal
                .line(self.now, "server")
                .text("server", name)
                .text("change", "leaving")
                .text("reason", "told by an instance");
        }
    }

    /// Notes another instance's configuration version, and queries that instance if it is newer.
    fn note_peer_configuration(&mut self, holder: Holder) {
        let own = self.config_version();
        if holder.version <= own {
            return;
        }
        let (address, version) = (holder.address, holder.version);
        let is_watching = self.members.me().is_watching;
        let chance = self.random();
        if self.peers.catchup.told(self.now, holder, is_watching, chance) {
            self.journal
                .line(self.now, "behind")
                .number("configuration", own)
                .number("told", version)
                .text("peer", &address.to_string());
        }
    }

    /// Handles the store's confirmation of a configuration, forwarded by a watcher.
    fn apply_peer_confirmation(&mut self, received_at: Time, confirmed: Confirmed) {
        let Confirmed { name, holder } = confirmed;
        if holder.version == self.config_version() {
            let is_before = !self.storage.is_watcher || self.members.is_before(&name);
            self.peers.freshness.told(received_at, is_before);
        }
        self.note_peer_configuration(holder);
    }

    fn apply_peer_loading(&mut self, loading: &Loading) {
        let now = self.now;
        let Some(id) = self.pool.find_life(&loading.server, loading.born) else { return };
        let server = self.pool.get_mut(id);
        if loading.valid_ms == 0 {
            server.loaded(now, &loading.model, loading.version);
        } else if server.version(&loading.model).unwrap_or(0) < loading.version
            && server.switch.is_none_or(|it| it.version <= loading.version)
        {
            // The time runs from the receipt: a repeated message counts from when it was first
            // sent, apart from its transit time.
            let until = now + Duration::from_millis(u64::from(loading.valid_ms));
            let is_news = server.switch.is_none();
            server.switch = Some(Switch { version: loading.version, until });
            if is_news {
                self.move_streams(id);
            }
        }
    }
}
