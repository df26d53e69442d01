//! The publications of one model's weights, as far as known.

use std::time::Duration;

use shallotlead_base::time::Time;

use crate::lease::CLOCK_TOLERANCE;

/// Number of publications that are remembered: servers are only a few behind.
const MAX_PUBLICATIONS: usize = 16;

/// The publication of one version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Publication {
    /// The version.
    pub version: u64,
    /// When it was published, as far as known.
    pub at: Time,
    /// The version that it replaced directly, zero for the first one; `None` if that isn't known.
    pub replaces: Option<u64>,
    /// Where it isn't known: a version that was the newest until the given time at least.
    pub newest_until: Option<(u64, Time)>,
}

/// Whether a version is the newest.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Currency {
    /// No newer one is known.
    Newest,
    /// It was replaced at this time, or later.
    Replaced(Time),
    /// It was replaced at an unknown time, possibly long ago.
    Outdated,
}

/// What a publication added to what was known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum News {
    /// It is the newest version.
    Newest,
    /// It is an older version, a clearly earlier time, or tells which version it replaced.
    History,
    /// Nothing.
    None,
}

/// The known publications, oldest first.
///
/// Each is kept, since servers are judged by when their own version was replaced: with the newest one alone, a version
/// that was replaced long ago would count as replaced by it.
#[derive(Clone, Debug, Default)]
pub struct Versions(Vec<Publication>);

impl Publication {
    /// The publication of `version` at the time `at`.
    pub fn new(version: u64, at: Time, replaces: Option<u64>) -> Self {
        Self { version, at, replaces, newest_until: None }
    }
}

impl Versions {
    /// The newest version.
    pub fn newest(&self) -> u64 {
        self.0.last().map_or(0, |it| it.version)
    }

    /// The publication of `version`.
    pub fn get(&self, version: u64) -> Option<&Publication> {
        self.0.iter().find(|it| it.version == version)
    }

    /// Whether `version` is the newest, or when it was replaced.
    pub fn currency(&self, version: u64) -> Currency {
        let Some(next) = self.0.iter().find(|it| version < it.version) else {
            return Currency::Newest;
        };
        match (next.replaces, next.newest_until) {
            (Some(replaced), _) if replaced <= version => Currency::Replaced(next.at),
            (_, Some((newest, until))) if newest <= version => Currency::Replaced(until),
            _ => Currency::Outdated,
        }
    }

    /// The publications that still decide whether a version is usable `max_stale` after its replacement: the newest,
    /// and those before it that were replaced less than that ago. Each one replaced the one before directly.
    pub fn recent(&self, now: Time, max_stale: Duration) -> Vec<(u64, Time)> {
        let Some(newest) = self.0.last() else { return Vec::new() };
        let mut recent = vec![(newest.version, newest.at)];
        let mut later = newest;
        for earlier in self.0.iter().rev().skip(1) {
            match later.replaces {
                Some(replaced) if replaced <= earlier.version => {}
                _ => break,
            }
            if max_stale <= now.since(later.at) {
                return oldest_first(recent);
            }
            recent.push((earlier.version, earlier.at));
            later = earlier;
        }
        if let Some(replaced) = later.replaces.filter(|_| now.since(later.at) < max_stale) {
            recent.push((replaced, later.at));
        }
        oldest_first(recent)
    }

    /// Adds a publication to what is known. Of two times for the same one, the earlier counts: an instance may have
    /// learned of it late.
    pub(super) fn insert(&mut self, publication: Publication) -> News {
        let index = self.0.partition_point(|it| it.version < publication.version);
        match self.0.get_mut(index) {
            Some(known) if known.version == publication.version => known.merge(&publication),
            _ => {
                self.0.insert(index, publication);
                let is_newest = index + 1 == self.0.len();
                if MAX_PUBLICATIONS < self.0.len() {
                    self.0.remove(0);
                }
                if is_newest { News::Newest } else { News::History }
            }
        }
    }
}

impl Publication {
    fn merge(&mut self, other: &Self) -> News {
        let is_earlier = other.at + CLOCK_TOLERANCE < self.at;
        let is_linked = self.replaces.is_none() && other.replaces.is_some();
        self.at = self.at.min(other.at);
        // The lower one of two holds as well: nothing between it and this version was replaced earlier.
        self.replaces = match (self.replaces, other.replaces) {
            (Some(own), Some(other)) => Some(own.min(other)),
            (own, other) => own.or(other),
        };
        self.newest_until = self.newest_until.or(other.newest_until);
        if is_earlier || is_linked { News::History } else { News::None }
    }
}

fn oldest_first(mut publications: Vec<(u64, Time)>) -> Vec<(u64, Time)> {
    publications.reverse();
    publications
}

/// The publications in a list in which each one replaced the one before directly, oldest first. A version that isn't
/// above the one before starts a new list. Version zero stands for what was there before the first publication.
pub fn linked(list: &[(u64, Time)]) -> impl Iterator<Item = Publication> {
    let before = |index: usize| Some(list.get(index.checked_sub(1)?)?.0);
    list.iter()
        .enumerate()
        .map(move |(index, it)| {
            Publication::new(it.0, it.1, before(index).filter(|before| *before < it.0))
        })
        .filter(|it| it.version != 0)
}
