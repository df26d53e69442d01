//! Publishes this instance's certificate and reads those of the others, through the platform's
//! service.
//!
//! Each instance writes one object of its own: the SHA-256 fingerprints of its certificates. All
//! instances list the whole kind periodically, and at once when a peer was refused because its
//! certificate isn't published: it may just have started. While the platform can't be reached no
//! instance can publish, so that a certificate from the cluster's authority must be sufficient (see
//! `docs/security.md`).

pub mod renewal;

mod record;
#[cfg(test)]
mod tests;

use std::{mem, sync::Arc, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use shallotlead_base::{
    hash::{self, Map},
    id::{Incarnation, Version},
    name,
    store::{Call, Failure, Key, Object, Reply},
    time::Time,
};

use self::record::Record;

/// Kind of the stored objects.
pub const KIND: &str = "instance";
/// SHA-256 fingerprint of a certificate.
pub type Fingerprint = [u8; 32];

/// Time between two reads of all records, on average. 420 instances read 7 times a second together.
const READ_INTERVAL: Duration = Duration::from_secs(60);
/// Shortest time between two reads, however many peers are refused.
const MIN_READ_INTERVAL: Duration = Duration::from_secs(2);
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_secs(2);
/// How long the platform must have been reachable before unpublished certificates are refused:
/// instances that started during an outage need this time to publish theirs.
pub const GRACE_PERIOD: Duration = Duration::from_secs(15);
/// How long an instance must be absent before its record is removed.
const REMOVAL_DELAY: Duration = Duration::from_secs(3_600);

/// The certificates to trust.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Trust {
    /// Fingerprints of the published certificates by instance.
    pub published: Map<name::Instance, Vec<Fingerprint>>,
    /// Whether unpublished certificates are refused.
    pub is_strict: bool,
}

/// An action for the caller to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Call the platform and pass the reply to [`Credential::handle_reply`] with the number.
    Call(u64, Call),
    /// Trust these certificates from now on.
    Trust(Trust),
    /// Another process with this instance's name and a later incarnation publishes its certificate.
    Superseded(Incarnation),
}

/// Publication of this instance's certificates, and the records of the others.
#[derive(Debug)]
pub struct Credential {
    me: name::Instance,
    own_record: Record,
    grace: Duration,
    members: Vec<name::Instance>,
    records: Map<name::Instance, (Version, Record)>,
    absent_since: Map<name::Instance, Time>,
    /// Number and purpose of the call in flight.
    pending_call: Option<(u64, Purpose)>,
    last_call: u64,
    next_read: Time,
    last_read: Option<Time>,
    reachable_since: Option<Time>,
    last_trust: Option<Trust>,
    rng: SmallRng,
    actions: Vec<Action>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Purpose {
    Read,
    Publish,
    Remove,
}

impl Credential {
    /// The state of `me`, whose certificates have these fingerprints. Unpublished certificates are
    /// refused once the platform was reachable for `grace`, commonly [`GRACE_PERIOD`]. No call is
    /// made yet.
    pub fn new(
        me: name::Instance,
        incarnation: Incarnation,
        fingerprints: Vec<Fingerprint>,
        grace: Duration,
        seed: u64,
    ) -> Self {
        Self {
            me,
            own_record: Record { incarnation, fingerprints },
            grace,
            members: Vec::new(),
            records: Map::default(),
            absent_since: Map::default(),
            pending_call: None,
            last_call: 0,
            next_read: Time::ZERO,
            last_read: None,
            reachable_since: None,
            last_trust: None,
            rng: SmallRng::seed_from_u64(seed),
            actions: Vec::new(),
        }
    }

    /// Sets the live members, this instance among them.
    pub fn set_members(&mut self, members: Vec<name::Instance>) {
        self.members = members;
    }

    /// Sets the certificates of this instance: during a rotation, the old and the new one.
    pub fn set_fingerprints(&mut self, fingerprints: Vec<Fingerprint>, now: Time) {
        self.own_record.fingerprints = fingerprints;
        self.next_read = now;
    }

    /// Records that a peer was refused because its certificate isn't published, which makes the
    /// next read due as early as allowed.
    pub fn record_refusal(&mut self, now: Time) {
        let earliest = self.last_read.map_or(now, |it| it + MIN_READ_INTERVAL);
        self.next_read = self.next_read.min(earliest.max(now));
    }

    /// Handles the reply to the call with `number`.
    pub fn handle_reply(&mut self, number: u64, reply: Reply, now: Time) {
        let Some((_, purpose)) = self.pending_call.take_if(|it| it.0 == number) else {
            return;
        };
        match (purpose, reply) {
            (Purpose::Read, Reply::Listed { objects, .. }) => self.apply_records(&objects, now),
            (Purpose::Publish, Reply::Done(version)) => {
                self.records.insert(self.me.clone(), (version, self.own_record.clone()));
            }
            (Purpose::Remove, Reply::Done(_) | Reply::Conflict(_)) => {}
            (Purpose::Read, Reply::Failed(failure)) => self.handle_failure(failure, now),
            // The next read shows the record as it is now.
            _ => self.next_read = self.next_read.min(now + self.with_jitter(RETRY_DELAY)),
        }
    }

    /// Returns the actions due at `now`, and when to call again even if nothing happens.
    pub fn tick(&mut self, now: Time) -> (Vec<Action>, Time) {
        if self.pending_call.is_none() && self.next_read <= now {
            self.next_read = now + self.with_jitter(READ_INTERVAL);
            self.last_read = Some(now);
            self.call(Purpose::Read, Call::List { kind: Arc::from(KIND) });
        }
        let trust = self.trust(now);
        if self.last_trust.as_ref() != Some(&trust) {
            self.last_trust = Some(trust.clone());
            self.actions.push(Action::Trust(trust));
        }
        (mem::take(&mut self.actions), self.next_due(now))
    }

    fn next_due(&self, now: Time) -> Time {
        let strict_at = self.reachable_since.map(|it| it + self.grace).filter(|it| now < *it);
        let read_at = if self.pending_call.is_none() { self.next_read } else { Time::MAX };
        strict_at.map_or(read_at, |it| it.min(read_at))
    }

    fn trust(&self, now: Time) -> Trust {
        let is_reachable = self.reachable_since.is_some_and(|it| it + self.grace <= now);
        let published = self.records.iter();
        let published = published.map(|(name, (_, it))| (name.clone(), it.fingerprints.clone()));
        Trust { published: published.collect(), is_strict: is_reachable && self.is_published() }
    }

    /// Whether the platform holds the fingerprints that were set last.
    pub fn is_published(&self) -> bool {
        self.records.get(&self.me).is_some_and(|it| it.1 == self.own_record)
    }

    fn apply_records(&mut self, objects: &[Object], now: Time) {
        self.reachable_since.get_or_insert(now);
        self.records = objects.iter().filter_map(decode).collect();
        if !self.is_published() {
            self.publish();
            return;
        }
        self.remove_absent(now);
    }

    fn publish(&mut self) {
        let found = self.records.get(&self.me);
        if let Some((_, record)) = found
            && self.own_record.incarnation < record.incarnation
        {
            // Guards against two processes of one name that overwrite each other's records
            // endlessly, so that connections to them are accepted and refused in turn. The later
            // incarnation keeps the name; the earlier one reports it.
            self.actions.push(Action::Superseded(record.incarnation));
            return;
        }
        let expected = found.map_or(Version(0), |it| it.0);
        let value = self.own_record.encode();
        self.call(Purpose::Publish, Call::Put { key: key(&self.me), expected, value });
    }

    /// Removes one record whose instance is absent for good. All instances that see the same
    /// members choose the same one to do it; if two differ, the conditional update resolves it.
    fn remove_absent(&mut self, now: Time) {
        let (members, records) = (&self.members, &self.records);
        self.absent_since.retain(|it, _| records.contains_key(it) && !members.contains(it));
        let absent = records.keys().filter(|it| !members.contains(it));
        for name in absent {
            self.absent_since.entry(name.clone()).or_insert(now);
        }
        let me = &self.me;
        let expired = self.absent_since.iter().find(|(name, since)| {
            let remover = hash::rendezvous(members, hash::stable(name.as_str().as_bytes()));
            **since + REMOVAL_DELAY <= now && remover == Some(me)
        });
        let Some((name, _)) = expired else {
            return;
        };
        let expected = records.get(name).map_or(Version(0), |it| it.0);
        let call = Call::Delete { key: key(name), expected };
        self.call(Purpose::Remove, call);
    }

    fn handle_failure(&mut self, failure: Failure, now: Time) {
        self.reachable_since = None;
        let delay = match failure {
            Failure::NotApplied { retry_after } => retry_after.max(RETRY_DELAY),
            Failure::Unknown | Failure::Compacted => RETRY_DELAY,
        };
        self.next_read = now + self.with_jitter(delay);
    }

    fn call(&mut self, purpose: Purpose, call: Call) {
        self.last_call += 1;
        self.pending_call = Some((self.last_call, purpose));
        self.actions.push(Action::Call(self.last_call, call));
    }

    /// `delay` with a fifth of jitter, so that instances which start together do not read together.
    fn with_jitter(&mut self, delay: Duration) -> Duration {
        delay.mul_f64(self.rng.random_range(0.8..1.2))
    }
}

fn key(name: &name::Instance) -> Key {
    Key::new(KIND, name.as_str())
}

/// A record that can't be decoded is skipped: its instance publishes it again.
fn decode(object: &Object) -> Option<(name::Instance, (Version, Record))> {
    let record = Record::decode(&object.value)?;
    Some((name::Instance::from(&*object.key.name), (object.version, record)))
}
