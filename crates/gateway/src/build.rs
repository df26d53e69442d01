//! Builds of backend servers' software, and which one began each stream.
//!
//! The events of two builds don't fit together, so that a stream may only continue at a server of the build that began
//! it, also when its caller takes it up later at another instance. Does no I/O.

mod lifetime;
mod open_streams;
mod record;
mod schedule;

use std::{collections::VecDeque, time::Duration};

use serde::{Deserialize, Serialize};
use shallotlead_base::{
    hash::{self, Map},
    time::Time,
};

pub use lifetime::Lifetime;
pub use open_streams::OpenStreams;
pub use record::{Content, Record};
pub use schedule::Schedule;

/// Identifies one build of the software of a service's servers, the same at all instances.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Id(u32);

impl Id {
    /// Stands for all builds that aren't named.
    pub const UNNAMED: Self = Self(0);

    /// The build `version` of the service's servers.
    pub fn of(service: &str, version: &str) -> Self {
        Self(hash::weight(service, hash::stable(version.as_bytes())) as u32)
    }

    /// The build of one incarnation of a server that doesn't name it: like no other's.
    pub fn unnamed(incarnation: u64) -> Self {
        Self(hash::weight("unnamed", incarnation) as u32)
    }

    /// The build whose [`Id::number`] this is.
    pub fn from_number(number: u32) -> Self {
        Self(number)
    }

    /// It as a number, for messages.
    pub fn number(self) -> u32 {
        self.0
    }
}

/// Identifies a stream by the caller's attempt that brought its first event. Organisations don't share streams.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Stream(u64);

impl Stream {
    /// The stream that the organisation's attempt `id` began.
    pub fn of(organisation: &str, id: &str) -> Self {
        Self(hash::weight(id, hash::stable(organisation.as_bytes())))
    }
}

/// A stream that was sent to a server of a build, which begins it unless it is sent elsewhere before its first event.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Begun {
    /// The stream.
    pub stream: Stream,
    /// The build.
    pub build: Id,
}

/// What is known of where a stream was sent.
#[derive(Clone, Copy, Debug)]
struct Sending {
    build: Id,
    at: Time,
    /// It was read from an instance's record, at that time. The stream may have been sent again since it was written.
    is_restored: bool,
}

/// The builds of the streams that this instance or another one has sent recently.
#[derive(Debug, Default)]
pub struct Streams {
    sendings: Map<Stream, Sending>,
    /// In the order of their times. A stream that was sent again has several.
    order: VecDeque<(Time, Stream)>,
}

impl Streams {
    /// Records that the stream was sent `at`. The latest record holds.
    pub fn record(&mut self, at: Time, begun: Begun) {
        let known = self.sendings.get(&begun.stream).filter(|it| !it.is_restored);
        if known.is_none_or(|it| it.at <= at) {
            self.insert(begun.stream, Sending { build: begun.build, at, is_restored: false });
        }
    }

    /// Adds a stream that was read from an instance's record, unless it is known. Returns whether it was added.
    pub fn restore(&mut self, now: Time, begun: Begun) -> bool {
        let is_new = !self.sendings.contains_key(&begun.stream);
        if is_new {
            self.insert(begun.stream, Sending { build: begun.build, at: now, is_restored: true });
        }
        is_new
    }

    fn remove(&mut self, stream: Stream) {
        self.sendings.remove(&stream);
    }

    /// All streams with the times at which they were sent.
    fn iter(&self) -> impl Iterator<Item = (Time, Begun)> {
        self.sendings.iter().map(|(stream, it)| (it.at, Begun { stream: *stream, build: it.build }))
    }

    fn insert(&mut self, stream: Stream, sending: Sending) {
        self.sendings.insert(stream, sending);
        self.order.push_back((sending.at, stream));
    }

    /// The build that began the stream, if it is known.
    pub fn find(&self, stream: Stream) -> Option<Id> {
        self.sendings.get(&stream).map(|it| it.build)
    }

    /// Forgets streams that were sent longer than `retention` ago.
    pub fn expire(&mut self, now: Time, retention: Duration) {
        while let Some((at, stream)) = self.order.front().copied()
            && retention < now.since(at)
        {
            self.order.pop_front();
            if self.sendings.get(&stream).is_some_and(|it| it.at <= at) {
                self.sendings.remove(&stream);
            }
        }
    }
}
