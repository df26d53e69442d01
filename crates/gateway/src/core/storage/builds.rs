//! Records in the store which builds may have begun streams, before the first stream is sent to one.

use std::{sync::Arc, time::Duration};

use rand::Rng;
use shallotlead_base::{
    hash,
    store::{Call, Key, Reply},
    time::Time,
};

use crate::{
    build::{self, Content, Record},
    core::{
        Core,
        storage::{Pending, RETRY_DELAY},
    },
};

/// Kind of the records, one for each service.
const KIND: &str = "builds";
/// Interval at which the listed servers are compared with the records, besides whenever a server joins.
const SCAN_INTERVAL: Duration = Duration::from_secs(1);
/// How long a record that was just read may be updated without another read.
const MAX_READ_AGE: Duration = Duration::from_millis(500);
/// Time, for each instance, over which the instances spread their updates of a record, so that the first one's is found
/// by the others; at most [`MAX_SPREAD`].
const SPREAD_PER_INSTANCE: Duration = Duration::from_millis(5);
const MAX_SPREAD: Duration = Duration::from_secs(1);

/// The records of all services whose streams callers can take up.
#[derive(Debug, Default)]
pub(crate) struct Builds {
    services: Vec<Service>,
    next_scan: Time,
    /// Number of servers that were known at the last scan.
    known_servers: usize,
    /// The record of services that were configured a moment ago: no build is known to be recorded.
    unread: Record,
}

#[derive(Debug)]
struct Service {
    name: Arc<str>,
    record: Record,
    /// The call in flight, if there is one.
    call: Option<InFlight>,
    /// A request that arrived then needs a read that is sent later.
    wanted_since: Option<Time>,
    /// An update is due at this time.
    update_at: Option<Time>,
    /// No call is sent before.
    next_at: Time,
}

#[derive(Debug)]
struct InFlight {
    sent_at: Time,
    /// What is written; `None` for a read.
    content: Option<Content>,
    /// It was sent before the store was restored, so that its reply is ignored.
    is_void: bool,
}

impl Builds {
    /// The record of a service.
    pub(crate) fn get(&self, service: &str) -> &Record {
        let service = self.services.iter().find(|it| *it.name == *service);
        service.map_or(&self.unread, |it| &it.record)
    }

    /// Another instance has sent a stream to a server of this build.
    pub(crate) fn record_announcement(&mut self, now: Time, build: build::Id) {
        self.services.iter_mut().for_each(|it| it.record.record_announcement(now, build));
    }

    /// Whether streams that may still be taken up can have begun at several builds of a service.
    pub(crate) fn is_mixed(&self) -> bool {
        self.services.iter().any(|it| it.record.is_mixed())
    }

    /// Makes the service's record be read once more, for a request that arrived at `now`.
    pub(crate) fn want_read(&mut self, now: Time, service: &str) {
        if let Some(it) = self.services.iter_mut().find(|it| *it.name == *service) {
            it.wanted_since = Some(now);
        }
    }

    /// The configuration has changed, so that other services may have streams that callers can take up.
    pub(crate) fn rescan(&mut self, now: Time) {
        self.next_scan = now;
    }

    /// The store was restored from an older copy.
    pub(super) fn handle_restore(&mut self, now: Time) {
        self.rescan(now);
        for it in &mut self.services {
            it.record.handle_restore();
            it.call.iter_mut().for_each(|it| it.is_void = true);
        }
    }

    /// When the next call is due.
    pub(super) fn next_due(&self) -> Option<Time> {
        let idle = self.services.iter().filter(|it| it.call.is_none());
        let due = idle.filter_map(|it| {
            let update_at = it.update_at.map(|at| at.max(it.next_at));
            it.wanted_since.map(|_| it.next_at).or(update_at)
        });
        due.min()
    }
}

impl Core {
    pub(super) fn tick_builds(&mut self) {
        let builds = &mut self.storage.builds;
        if builds.next_scan <= self.now || builds.known_servers != self.pool.len() {
            builds.next_scan = self.now + SCAN_INTERVAL;
            builds.known_servers = self.pool.len();
            self.add_resumable_services();
            self.observe_builds();
        }
        for index in 0..self.storage.builds.services.len() {
            self.call_for_builds(index);
        }
    }

    fn add_resumable_services(&mut self) {
        let Some(config) = &self.config else { return };
        for name in config.resumable_services() {
            if !self.storage.builds.services.iter().any(|it| it.name == *name) {
                self.storage.builds.services.push(Service {
                    name: name.clone(),
                    record: Record::default(),
                    call: None,
                    wanted_since: Some(self.now),
                    update_at: None,
                    next_at: self.now,
                });
            }
        }
    }

    /// Compares the builds of the listed servers with the records, and plans updates.
    fn observe_builds(&mut self) {
        let now = self.now;
        let lifetime = self.stream_lifetime.retention(now);
        let spread = (SPREAD_PER_INSTANCE * self.members.budget_sharers()).min(MAX_SPREAD);
        for service in &mut self.storage.builds.services {
            let listed = self.pool.listed_builds(&service.name);
            service.record.observe(now, &listed, lifetime);
            if service.record.needs_read(&listed) {
                service.wanted_since.get_or_insert(now);
            }
            if service.record.update(now, &listed, lifetime).is_none() {
                service.update_at = None;
            } else if service.update_at.is_none() {
                // Without any usable server there is nothing to gain from waiting for another instance.
                let is_urgent = !listed.iter().any(|it| service.record.contains(*it));
                let delay = if is_urgent { Duration::ZERO } else { spread };
                service.update_at = Some(now + delay.mul_f64(self.rng.random::<f64>()));
            }
        }
    }

    /// Reads or updates a record, if that is due.
    fn call_for_builds(&mut self, index: usize) {
        let now = self.now;
        let lifetime = self.stream_lifetime.retention(now);
        let service = &mut self.storage.builds.services[index];
        if service.call.is_some() || now < service.next_at {
            return;
        }
        let key = Key::new(KIND, &object_name(&service.name));
        let is_update_due = service.update_at.is_some_and(|it| it <= now);
        let is_read_recently = service.record.is_read_since(now - MAX_READ_AGE);
        let (call, content) =
            if service.wanted_since.take().is_some() || (is_update_due && !is_read_recently) {
                (Call::Get(key), None)
            } else if is_update_due {
                service.update_at = None;
                let listed = self.pool.listed_builds(&service.name);
                let Some(content) = service.record.update(now, &listed, lifetime) else { return };
                let value = serde_json::to_vec(&content).unwrap_or_default();
                let expected = service.record.version();
                (Call::Put { key, expected, value: value.into() }, Some(content))
            } else {
                return;
            };
        service.call = Some(InFlight { sent_at: now, content, is_void: false });
        self.storage.submit(now, Pending::Builds(index), call);
    }

    pub(super) fn handle_builds_reply(&mut self, index: usize, reply: &Reply) {
        let now = self.now;
        let Some(service) = self.storage.builds.services.get_mut(index) else { return };
        let Some(call) = service.call.take() else { return };
        let stored = match (reply, call.content) {
            _ if call.is_void => {
                service.wanted_since = Some(now);
                return;
            }
            (Reply::Done(version), Some(content)) => Some((*version, content)),
            (Reply::Got(Some(object)) | Reply::Conflict(Some(object)), _) => {
                Some((object.version, Content::parse(&object.value)))
            }
            (Reply::Got(None) | Reply::Conflict(None), _) => None,
            _ => {
                let name = service.name.clone();
                service.next_at = now + RETRY_DELAY;
                self.storage.builds.next_scan = now + RETRY_DELAY;
                if self.awaits_builds(&name) {
                    self.storage.builds.want_read(now, &name);
                }
                return;
            }
        };
        let before = service.record.version();
        service.record.adopt(now, call.sent_at, stored);
        let (name, version, builds) =
            (service.name.clone(), service.record.version(), service.record.len());
        self.storage.builds.next_scan = now;
        if version != before {
            self.log
                .line(now, "builds")
                .text("service", &name)
                .text("reply", super::reply_name(reply))
                .number("builds", builds);
        }
        self.resolve_builds(&name);
    }
}

/// Name of a service's record. Names of services may have characters that an object's name can't.
fn object_name(service: &str) -> String {
    format!("{:016x}", hash::stable(service.as_bytes()))
}
