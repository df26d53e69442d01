//! Handles messages from other instances.

use std::time::Duration;

use shallotlead_base::time::Time;

use crate::{
    broadcast::{Reach, Update},
    catchup::Peer,
    core::{Core, storage::Source},
    gossip::{
        self, Confirmation, Datagram, LoadReport, Loading, Member, Message, Publication, Sighting,
    },
    pool::{self, Progress, Switch},
};

impl Core {
    /// Handles a datagram that may have waited in the socket's buffer for `queued_for`.
    pub(crate) fn handle_datagram(&mut self, bytes: &[u8], queued_for: Duration) {
        let received_at = self.now - queued_for;
        let decoded = Datagram::decode(bytes);
        if let Ok((datagram, streams)) = &decoded {
            self.stats.traffic.count_received(datagram, bytes.len());
            for begun in streams {
                self.streams.record(received_at, *begun);
                self.storage.builds.record_announcement(received_at, begun.build);
            }
            self.resolve_announced(streams);
        }
        match decoded.map(|it| it.0) {
            Ok(Datagram::News(message)) => self.handle_news(received_at, *message),
            Ok(Datagram::Placed(placed, loads)) => {
                for it in loads {
                    self.apply_peer_load(received_at, &it);
                }
                for placement in &placed {
                    if let Some(id) =
                        self.pool.find_incarnation(&placement.server, placement.incarnation)
                    {
                        self.prefixes.record(self.now, &mut self.pool, id, placement);
                    }
                }
            }
            Ok(Datagram::Entries(entries)) => {
                self.apply_peer_entries(&entries);
            }
            Ok(Datagram::PermitRequest(request)) => {
                self.handle_permit_request(&request, queued_for)
            }
            Ok(Datagram::PermitReply(reply)) => self.handle_permit_reply(&reply),
            Ok(Datagram::QuotaRequest(request)) => self.handle_quota_request(request),
            Ok(Datagram::QuotaReply(reply)) => self.handle_quota_reply(&reply),
            Ok(Datagram::Settlement(settlement)) => self.apply_settlement(&settlement, queued_for),
            Ok(Datagram::BuildQuery(query)) => self.handle_build_query(&query),
            Ok(Datagram::BuildReply(begun)) => self.handle_build_reply(begun),
            Ok(Datagram::RestoredStreams(streams)) => self.adopt_restored_streams(&streams),
            Ok(Datagram::Confirmation(confirmation)) => {
                self.apply_peer_confirmation(received_at, confirmation)
            }
            Err(err) => {
                self.log
                    .line(self.now, "datagram_unreadable")
                    .number("bytes", bytes.len())
                    .text("error", &err.to_string());
            }
        }
    }

    /// Applies another instance's publications of weights, whose ages refer to `received_at`.
    pub(crate) fn apply_publications(&mut self, received_at: Time, publications: &[Publication]) {
        for of_model in publications.chunk_by(|a, b| a.model == b.model) {
            let dated =
                |it: &Publication| (it.version, received_at - Duration::from_millis(it.age_ms));
            let list: Vec<_> = of_model.iter().map(dated).collect();
            for it in pool::linked(&list) {
                self.apply_publication(&of_model[0].model, it, Source::Instance);
            }
        }
    }

    /// Applies a server's load report that another instance has received.
    fn apply_peer_load(&mut self, received_at: Time, report: &LoadReport) {
        let Some(id) = self.pool.find_incarnation(&report.server, report.incarnation) else {
            return;
        };
        let ago = |ms: u32| received_at - Duration::from_millis(u64::from(ms));
        let at = ago(report.age_ms);
        let waited = report.waited_ms.map(|it| (it.0, ago(it.1)));
        let server = self.pool.get_mut(id);
        if let Some((waited_ms, at)) = waited {
            server.record_wait(at, waited_ms);
        }
        if let Some((sent, prefilled)) = report.progress {
            server.backlog.record_progress(Progress { sent: ago(sent), prefilled: ago(prefilled) });
        }
        if let Some(observation) = &report.pace {
            server.pace.adopt(at, observation);
        }
        if server.load.is_none_or(|it| it.1 < at) {
            self.pool.update_load(id, at, report.load);
        }
    }

    fn handle_news(&mut self, received_at: Time, message: Message) {
        let Message {
            from,
            members,
            heartbeats,
            configuration,
            era,
            withheld,
            weights,
            updates,
            needs_relay,
            cache_stores,
            costs,
            quarantine,
        } = message;
        self.apply_peer_era(era);
        self.apply_withheld(received_at, &withheld);
        let peer = from.config_peer(configuration);
        for (address, is_alive) in cache_stores {
            self.cache_stores.record_peer_report(received_at, address, is_alive);
        }
        for (service, cost) in costs {
            if self.service(&service).is_some() {
                self.pool.cost_mut(&service).merge(&cost);
            }
        }
        let from = Sighting::of(from, Duration::ZERO);
        self.handle_sighting(received_at, from, gossip::Source::Itself);
        for sighting in members {
            self.handle_sighting(received_at, sighting, gossip::Source::Instance);
        }
        self.members.merge_heartbeats(received_at, &heartbeats);
        self.note_peer_configuration(peer);
        self.apply_publications(received_at, &weights);
        self.adopt_records(&quarantine, "told by an instance");
        if needs_relay && updates.is_empty() {
            self.peers.broadcasts.announce_versions(Reach::Centre);
        }
        let reach = needs_relay.then_some(Reach::Centre);
        let queued_for = self.now.since(received_at);
        for received in updates.into_iter().map(|it| it.aged_by(queued_for)) {
            if let Some(update) = received.unexpired() {
                self.apply_update(&update, Duration::from_millis(u64::from(received.age_ms)));
            }
            self.peers.broadcasts.accept(self.now, &received, reach);
        }
    }

    /// Applies an update that its origin sent `age` ago.
    fn apply_update(&mut self, update: &Update, age: Duration) {
        match update {
            Update::Leaving(name, revision) => self.apply_peer_leaving(name, *revision),
            Update::Loading(it) => self.apply_peer_loading(it),
            Update::Unresponsive(name) => {
                if let Some(id) = self.pool.find(name) {
                    self.probe_late(id);
                }
            }
            Update::Configuration(peer) => self.note_peer_configuration(peer.clone()),
            Update::Instance(member) => {
                let sighting = Sighting::of(Member::clone(member), age);
                self.handle_sighting(self.now, sighting, gossip::Source::Instance);
            }
            Update::CacheStore(address, is_alive) => {
                self.cache_stores.record_peer_report(self.now - age, *address, *is_alive);
            }
            Update::Crashed(incarnation, identities) => {
                self.apply_peer_crash(age, *incarnation, identities)
            }
            Update::Released(identity) => self.apply_peer_release(identity),
            Update::Draining(incarnation_id) => self.apply_peer_drain(*incarnation_id),
            Update::Backoff(incarnation_id, for_ms) => {
                self.apply_peer_backoff(*incarnation_id, Duration::from_millis(u64::from(*for_ms)));
            }
            Update::LimitChange(report) => self.apply_peer_rate_limit(report, age),
            Update::Tolerance(report) => self.apply_peer_tolerance(report, age),
        }
    }

    /// Applies what is reported of a member. If it is the lease holder and begins to leave, it
    /// releases the lease, so the next attempt to get it is brought forward.
    fn handle_sighting(&mut self, received_at: Time, sighting: Sighting, source: gossip::Source) {
        let member = &sighting.member;
        let begins_to_leave = member.is_leaving && !self.members.is_leaving(&member.name);
        if self.members.merge_sighting(received_at, sighting, source) && begins_to_leave {
            self.lease.expect_release(self.now);
        }
    }

    fn apply_peer_leaving(&mut self, name: &str, revision: u64) {
        let change = self.pool.mark_leaving(name, revision);
        if let pool::Change::Leaving(id) = change {
            self.close_idle(id);
            self.log
                .line(self.now, "server")
                .text("server", name)
                .text("change", "leaving")
                .text("reason", "told by an instance");
        }
    }

    /// Notes another instance's configuration version, and queries that instance if it is newer.
    fn note_peer_configuration(&mut self, peer: Peer) {
        let own = self.config_version();
        if peer.version <= own {
            return;
        }
        let (address, version) = (peer.address, peer.version);
        let is_watching = self.members.me().is_watching;
        let random = self.random();
        if self.peers.catchup.record_announcement(self.now, peer, is_watching, random) {
            self.log
                .line(self.now, "behind")
                .number("configuration", own)
                .number("told", version)
                .text("peer", &address.to_string());
        }
    }

    /// Handles the store's confirmation of a configuration, forwarded by a watcher.
    fn apply_peer_confirmation(&mut self, received_at: Time, confirmation: Confirmation) {
        let Confirmation { name, peer } = confirmation;
        if peer.version == self.config_version() {
            let is_before = !self.storage.is_watcher || self.members.precedes(&name);
            self.peers.freshness.record_peer_confirmation(received_at, is_before);
        }
        self.note_peer_configuration(peer);
    }

    fn apply_peer_loading(&mut self, loading: &Loading) {
        let now = self.now;
        let Some(id) = self.pool.find_incarnation(&loading.server, loading.incarnation) else {
            return;
        };
        let server = self.pool.get_mut(id);
        if loading.valid_ms == 0 {
            server.set_version(now, &loading.model, loading.version);
        } else if server.version(&loading.model).unwrap_or(0) < loading.version
            && server.switch.is_none_or(|it| it.version <= loading.version)
        {
            // `valid_ms` was reduced by the age of a repeated message, but not by its transit time.
            let until = now + Duration::from_millis(u64::from(loading.valid_ms));
            let is_news = server.switch.is_none();
            server.switch = Some(Switch { version: loading.version, until });
            if is_news {
                self.migrate_streams(id);
            }
        }
    }
}
