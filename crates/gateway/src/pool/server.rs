//! One backend server.

use std::{collections::VecDeque, net::SocketAddr, sync::Arc, time::Duration};

use shallotlead_base::{hash, time::Time};

use crate::{
    adapter::{Incarnation, Load, ServerEntry},
    pool::Health,
    quarantine::Life,
    rate_limit::Limit,
};

/// How long prompts that were sent are remembered: words on a load are of use for half a second.
const RECENT: Duration = Duration::from_millis(600);
/// A prompt that was sent so long before a server told its load may not be in it: reports are a tenth of a second
/// old.
const REPORT_LAG: Duration = Duration::from_millis(150);
/// How much longer than the mean prompt those that run may be, as a factor: with 1, the policy bench has 0.976 of the
/// long prompts of one deployment in time, with 2 it has 0.996; 0.987 without any word on what runs.
const RUNNING_MARGIN: f64 = 2.0;

/// Whether a server takes new requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Presence {
    /// It does.
    Ready,
    /// It finishes what it has.
    Draining,
    /// It has left.
    Gone,
}

/// A change of weights that another instance or this one has ordered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Switch {
    /// The version that is being loaded.
    pub version: u64,
    /// When this instance stops waiting for the end.
    pub until: Time,
}

/// One life of a backend server. A restart is another row, under the same name or another one.
#[derive(Clone, Debug)]
pub struct Server {
    /// Its name.
    pub name: Arc<str>,
    /// Which life of that name it is, where servers say so.
    pub born: Option<Incarnation>,
    /// Its service.
    pub service: Arc<str>,
    /// Its address, which may later belong to another server.
    pub address: SocketAddr,
    /// Its data centre.
    pub centre: Arc<str>,
    /// Whether it takes new requests.
    pub presence: Presence,
    /// Models and the versions of their weights, as far as known.
    pub models: Vec<(Arc<str>, u64)>,
    /// The store's revision of what is known of it.
    pub revision: u64,
    /// Its entry is missing, and may come back.
    pub is_missing: bool,
    /// Weights that it is loading.
    pub switch: Option<Switch>,
    /// Whether it answers as it should.
    pub health: Health,
    /// The load that it told last, and when.
    pub load: Option<(Load, Time)>,
    /// What it takes from all instances together.
    pub limit: Limit,
    /// How long the prompt that began last had waited, in milliseconds, and when that was known.
    pub waited: Option<(u32, Time)>,
    /// Requests of this instance that are under way there.
    pub inflight: u32,
    /// When it will have read all prompts that instances are known to have sent it.
    pub busy_until: Time,
    /// When it will have read them at the share of its time that reading may take.
    pub reading_until: Time,
    /// Prompts that instances are known to have sent it lately: when, and how long each takes to read.
    recent: VecDeque<(Time, Duration)>,
    /// Prompt tokens that are known to have come into its memory.
    pub taken: u64,
    /// When it was last asked whether it lives, for being late.
    pub looked_at: Time,
    /// It has lost its runs, and is about to be asked whether it lives.
    pub(crate) awaits_check: bool,
    /// Connections that this instance has to it.
    pub connections: u32,
}

impl Server {
    pub(super) fn new(name: Arc<str>, revision: u64, entry: ServerEntry) -> Self {
        let ServerEntry {
            service,
            address,
            centre,
            is_draining,
            models,
            incarnation: born,
            sequence: _,
        } = entry;
        Self {
            name,
            born,
            service,
            address,
            centre,
            presence: if is_draining { Presence::Draining } else { Presence::Ready },
            models,
            revision,
            is_missing: false,
            switch: None,
            health: Health::default(),
            load: None,
            limit: Limit::default(),
            waited: None,
            inflight: 0,
            busy_until: Time::ZERO,
            reading_until: Time::ZERO,
            recent: VecDeque::new(),
            taken: 0,
            looked_at: Time::ZERO,
            awaits_check: false,
            connections: 0,
        }
    }

    /// Takes a newer entry. Says whether other weights are loaded.
    pub(super) fn take(&mut self, now: Time, entry: ServerEntry) -> bool {
        self.presence = if entry.is_draining { Presence::Draining } else { Presence::Ready };
        self.address = entry.address;
        let mut loaded = false;
        for (model, version) in entry.models {
            loaded |= self.loaded(now, &model, version);
        }
        loaded
    }

    /// What this life of it is known by among instances.
    pub fn life(&self) -> Life {
        hash::weight(&self.name, self.born.unwrap_or_default())
    }

    /// The version of `model`'s weights that it has.
    pub fn version(&self, model: &str) -> Option<u64> {
        self.models.iter().find(|it| *it.0 == *model).map(|it| it.1)
    }

    /// It has `version` of `model`. Says whether that is news; versions only grow.
    pub fn loaded(&mut self, now: Time, model: &Arc<str>, version: u64) -> bool {
        if self.switch.is_some_and(|it| it.version <= version || it.until <= now) {
            self.switch = None;
        }
        match self.models.iter_mut().find(|it| it.0 == *model) {
            Some(it) if it.1 < version => {
                it.1 = version;
                self.busy_until = now;
                self.reading_until = now;
                self.waited = None;
                true
            }
            Some(_) => false,
            None => {
                self.models.push((model.clone(), version));
                true
            }
        }
    }

    /// A prompt was sent to it that takes `reading`, at the `share` of its time that reading may take.
    pub(crate) fn queue(&mut self, now: Time, reading: Duration, share: f64) {
        self.busy_until = self.busy_until.max(now) + reading;
        self.reading_until = self.reading_until.max(now) + reading.div_f64(share);
        while self.recent.front().is_some_and(|it| it.0 + RECENT < now) {
            self.recent.pop_front();
        }
        self.recent.push_back((now, reading));
    }

    /// It told its load at `at`. Reading a prompt takes `prompt_ms` there.
    ///
    /// Guards against a queue that isn't there: what is known to have been sent adds up as if each prompt took
    /// what this instance expects, and where that is more than it takes, the sum grows as long as others send. It
    /// shows as instances that refuse prompts for overload, with waits of seconds, for as long as the load lasts,
    /// while their neighbours are served in time. It holds since a server at which nothing waits can have no more
    /// to read than what runs there and what was sent since.
    pub(super) fn tells(&mut self, at: Time, load: Load, prompt_ms: f64) {
        self.load = Some((load, at));
        if 0 < load.waiting {
            return;
        }
        let running_ms = RUNNING_MARGIN * f64::from(load.running) * prompt_ms;
        let running = Duration::from_secs_f64(running_ms / 1e3);
        let since = self.recent.iter().filter(|it| at <= it.0 + REPORT_LAG);
        let until = at + running + since.map(|it| it.1).sum::<Duration>();
        self.busy_until = self.busy_until.min(until);
        self.reading_until = self.reading_until.min(until);
    }

    /// A prompt has begun, or is still waiting, after `waited_ms`; told at `at`.
    pub fn has_waited(&mut self, at: Time, waited_ms: u32) {
        if self.waited.is_none_or(|it| it.1 <= at) {
            self.waited = Some((waited_ms, at));
        }
    }

    /// Whether it works, and isn't loading weights.
    pub fn takes_requests(&self, now: Time) -> bool {
        self.health.is_in() && !self.is_switching(now)
    }

    /// Whether it is loading weights and would turn requests away.
    pub fn is_switching(&self, now: Time) -> bool {
        self.switch.is_some_and(|it| now < it.until)
    }
}
