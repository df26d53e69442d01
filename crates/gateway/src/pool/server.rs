//! One backend server.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use shallotlead_base::{hash, time::Time};

use crate::{
    adapter::{Incarnation, Load, ServerEntry},
    build,
    pool::{Backlog, Backoff, Health, Pace},
    quarantine::IncarnationId,
    rate_limit::Limit,
};

/// How much longer than the mean prompt the running ones may be, as a factor: callers whose prompts turn out to wait for
/// longer than expected might have been served in time elsewhere.
const RUNNING_MARGIN: f64 = 2.0;

/// Whether a server takes new requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Presence {
    /// It takes new requests.
    Ready,
    /// It only finishes running requests.
    Draining,
    /// It has ended or is no longer registered.
    Gone,
}

/// A change of weights that this instance or another one has ordered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Switch {
    /// The version that is being loaded.
    pub version: u64,
    /// When this instance stops waiting for it to be loaded.
    pub until: Time,
}

/// One incarnation of a backend server. A server that restarts gets another value and
/// [`super::Id`], under the same name or another one.
#[derive(Clone, Debug)]
pub struct Server {
    /// Its name.
    pub name: Arc<str>,
    /// Which incarnation of that name it is, where servers report it.
    pub incarnation: Option<Incarnation>,
    /// Its service.
    pub service: Arc<str>,
    /// Its address, which may later belong to another server.
    pub address: SocketAddr,
    /// Its data centre.
    pub centre: Arc<str>,
    /// Whether it takes new requests.
    pub presence: Presence,
    /// It has said itself that it drains, which is final for this incarnation.
    pub(super) has_announced_drain: bool,
    /// Number of its last entry.
    sequence: u64,
    /// The version of its software, if known.
    pub build: Option<Arc<str>>,
    /// Identifies its build.
    pub build_id: build::Id,
    /// Its models and the versions of their weights, as far as known.
    pub models: Vec<(Arc<str>, u64)>,
    /// The store's revision of what is known of it.
    pub revision: u64,
    /// It is another instance, to which requests are handed over.
    pub(crate) is_instance: bool,
    /// Its process is known to have ended, so that it runs nothing any more.
    pub(crate) has_ended: bool,
    /// Its entry is missing, and may come back until then.
    pub(super) missing_until: Option<Time>,
    /// The weights that it is loading.
    pub switch: Option<Switch>,
    /// Its circuit breaker.
    pub health: Health,
    /// The time for which it wants no requests.
    pub backoff: Backoff,
    /// How long work takes there.
    pub pace: Pace,
    /// Its last load report, and when it was made.
    pub load: Option<(Load, Time)>,
    /// The rate limit that it sets for all instances together.
    pub limit: Limit,
    /// When this instance last received anything from it in answer to a request.
    pub heard_at: Time,
    /// When it last answered a probe.
    pub(crate) responded_at: Option<Time>,
    /// How long the prompt that started last was queued, in milliseconds, and when that was known.
    pub last_wait: Option<(u32, Time)>,
    /// Requests of this instance that are running there.
    pub inflight: u32,
    /// Prompts that it has still to prefill.
    pub backlog: Backlog,
    /// Prompt tokens that are known to have been added to its KV cache.
    pub added_tokens: u64,
    /// When its liveness was last checked because a response was late.
    pub checked_at: Time,
    /// It has lost its runs, and a check of its liveness is pending.
    pub(crate) is_check_pending: bool,
    /// Connections that this instance has to it.
    pub connections: u32,
}

impl Server {
    /// Its build as it is recorded for streams.
    pub fn recorded_build(&self) -> build::Id {
        if self.build.is_some() { self.build_id } else { build::Id::UNNAMED }
    }

    pub(super) fn new(name: Arc<str>, revision: u64, entry: ServerEntry) -> Self {
        let ServerEntry {
            service,
            address,
            centre,
            is_draining,
            models,
            build,
            incarnation,
            sequence,
        } = entry;
        Self {
            build_id: build_id(&name, &service, build.as_deref(), incarnation),
            build,
            name,
            incarnation,
            service,
            address,
            centre,
            presence: if is_draining { Presence::Draining } else { Presence::Ready },
            has_announced_drain: false,
            sequence,
            models,
            revision,
            is_instance: false,
            has_ended: false,
            missing_until: None,
            switch: None,
            health: Health::default(),
            backoff: Backoff::default(),
            pace: Pace::default(),
            load: None,
            limit: Limit::default(),
            heard_at: Time::ZERO,
            responded_at: None,
            last_wait: None,
            inflight: 0,
            backlog: Backlog::default(),
            added_tokens: 0,
            checked_at: Time::ZERO,
            is_check_pending: false,
            connections: 0,
        }
    }

    /// Applies a newer entry. Returns whether other weights are loaded.
    pub(super) fn apply_entry(&mut self, now: Time, entry: ServerEntry) -> bool {
        // Where servers name no incarnation, one that was removed and counts its entries anew has restarted.
        let is_new = self.presence == Presence::Gone && entry.sequence <= self.sequence;
        if is_new && self.incarnation.is_none() {
            self.has_announced_drain = false;
            self.backoff = Backoff::default();
        }
        self.sequence = entry.sequence;
        let is_draining = entry.is_draining || self.has_announced_drain;
        self.presence = if is_draining { Presence::Draining } else { Presence::Ready };
        self.address = entry.address;
        let mut has_loaded = false;
        for (model, version) in entry.models {
            has_loaded |= self.set_version(now, &model, version);
        }
        has_loaded
    }

    /// Whether a report of `incarnation` may come from this incarnation. Servers need not name theirs.
    pub(crate) fn may_be(&self, incarnation: Option<Incarnation>) -> bool {
        incarnation.is_none() || self.incarnation.is_none() || self.incarnation == incarnation
    }

    /// The hash that identifies this incarnation among instances.
    pub fn incarnation_id(&self) -> IncarnationId {
        hash::weight(&self.name, self.incarnation.unwrap_or_default())
    }

    /// When it was last heard of: by this instance, or by another one that passed its load on.
    pub fn last_heard(&self) -> Option<Time> {
        let heard_at = (self.heard_at != Time::ZERO).then_some(self.heard_at);
        self.load.map(|it| it.1).max(heard_at).max(self.responded_at)
    }

    /// The version of `model`'s weights that it has.
    pub fn version(&self, model: &str) -> Option<u64> {
        self.models.iter().find(|it| *it.0 == *model).map(|it| it.1)
    }

    /// Records that it has `version` of `model`. Returns whether the version is new; versions only
    /// grow.
    pub fn set_version(&mut self, now: Time, model: &Arc<str>, version: u64) -> bool {
        if self.switch.is_some_and(|it| it.version <= version || it.until <= now) {
            self.switch = None;
        }
        match self.models.iter_mut().find(|it| it.0 == *model) {
            Some(it) if it.1 < version => {
                it.1 = version;
                self.backlog.clear(now);
                self.last_wait = None;
                true
            }
            Some(_) => false,
            None => {
                self.models.push((model.clone(), version));
                true
            }
        }
    }

    /// Applies a load report made at `at`. A prompt occupies the server for `occupancy_ms` on
    /// average.
    ///
    /// Guards against a queue that doesn't exist: the expected time of all prompts known to have
    /// been sent adds up, and where it is more than they really take, the sum grows as long as
    /// others send. Such an instance would refuse prompts for overload, with waits of seconds, for
    /// as long as the load lasts, while its peers are served in time. A server at which nothing
    /// waits can have no more to prefill than what runs there and what was sent since the report.
    pub(super) fn apply_load(&mut self, at: Time, load: Load, occupancy_ms: f64) {
        self.load = Some((load, at));
        if 0 < load.waiting {
            return;
        }
        let running_ms = RUNNING_MARGIN * f64::from(load.running) * occupancy_ms;
        self.backlog.limit_to_running(at, Duration::from_secs_f64(running_ms / 1e3));
    }

    /// Records that a prompt has started, or is still queued, after `waited_ms`; known at `at`.
    pub fn record_wait(&mut self, at: Time, waited_ms: u32) {
        if self.last_wait.is_none_or(|it| it.1 <= at) {
            self.last_wait = Some((waited_ms, at));
        }
    }

    /// Whether it is loading weights and would decline requests.
    pub fn is_switching(&self, now: Time) -> bool {
        self.switch.is_some_and(|it| now < it.until)
    }
}

/// Identifies the build of a server. One that names none is like no other.
fn build_id(
    name: &str,
    service: &str,
    build: Option<&str>,
    incarnation: Option<Incarnation>,
) -> build::Id {
    match build {
        Some(it) => build::Id::of(service, it),
        None => build::Id::unnamed(hash::weight(name, incarnation.unwrap_or_default())),
    }
}
