//! Which backend server runs a request: the lowest expected time to the first token, with prices
//! for prompt parts that are read again, for weights that are no longer current and for bytes
//! between data centres.

use std::{net::SocketAddr, time::Duration};

use shallotlead_base::{
    hash::{self, Map},
    time::Time,
};

use crate::{
    dialect::Part,
    pool::{self, Pool, Server},
};

/// Prompt tokens that an engine reads in a millisecond: the sheet of both deployments.
const TOKENS_PER_MS: f64 = 91.8;
/// Time that a request which waits at a server takes it on average, ms: the mean prompt that is not
/// cached, at the rate above.
const WAITING_MS: f64 = 20.0;
/// What one more request running at a server costs each token, ms: a step takes 0.047 ms longer
/// with each, over the first ten steps.
const RUNNING_MS: f64 = 0.5;
/// What a request at another data centre costs, ms, besides the way: its bytes are paid for.
const OTHER_CENTRE_MS: f64 = 15.0;
/// Price of a shared part that is read again, relative to the time that reading it takes.
const READ_AGAIN: f64 = 1.0;
/// Weights count as old from this long after newer ones were named; answers are worth less then.
const OLD_AFTER: Duration = Duration::from_millis(1_200);
/// What an answer on old weights costs, ms: a fifth of its worth, as a queue at which a fifth of all
/// requests would be late.
const OLD_MS: f64 = 250.0;
/// From this long on after newer weights were named no request may begin on older ones. The rule
/// counts eight seconds from the store's acknowledgement, which this instance heard of later.
const TOO_OLD_AFTER: Duration = Duration::from_millis(6_500);
/// How long a part is believed to stay in a server's memory after its last use.
const KEPT: Duration = Duration::from_secs(20);
/// Parts that are remembered; each takes about 60 bytes.
const MAX_PARTS: usize = 20_000;
/// Probability that the server which hashing gives for a part holds it, when this instance has not
/// sent it there itself: other instances send it there too.
const HASHED: f64 = 0.6;

/// What is asked for.
#[derive(Clone, Copy, Debug)]
pub struct Wish<'a> {
    /// The service that runs it.
    pub service: &'a str,
    /// The model, for prompts.
    pub model: Option<&'a str>,
    /// The prompt's parts.
    pub parts: &'a [Part],
    /// The organisation that shares no cache with others.
    pub wall: Option<&'a str>,
    /// The caller's instance's data centre.
    pub centre: &'a str,
    /// Servers that have turned it away or failed it.
    pub excluded: &'a [pool::Id],
}

/// The chosen server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The server.
    pub server: pool::Id,
    /// The version of the weights that it has, for prompts.
    pub weights: Option<u64>,
    /// Prompt tokens that it has to read, as far as known.
    pub unread: u32,
    /// Expected time until it begins, ms.
    pub wait_ms: f64,
    /// The score that won, ms.
    pub score: f64,
    /// Another server that holds more of the prompt.
    pub fetch_from: Option<SocketAddr>,
    /// Servers that were weighed.
    pub candidates: u32,
}

/// Why no server can take a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shortage {
    /// None is listed.
    NoServer,
    /// All have failed lately, or are loading weights.
    NoneReady,
    /// All have weights that are too old.
    OldWeights,
}

/// What this instance believes that servers hold.
#[derive(Debug, Default)]
pub struct Memory {
    held: Map<(u64, pool::Id), Time>,
}

impl Memory {
    /// The prompt was sent to `server`, which holds its parts from now on.
    pub fn sent(&mut self, now: Time, parts: &[Part], scope: u64, server: pool::Id) {
        if MAX_PARTS <= self.held.len() {
            self.held.retain(|_, at| now.since(*at) < KEPT / 2);
        }
        for part in shared(parts) {
            self.held.insert((mix(part.id, scope), server), now);
        }
    }

    fn holds(&self, now: Time, part: u64, scope: u64, server: pool::Id) -> bool {
        let at = self.held.get(&(mix(part, scope), server));
        at.is_some_and(|it| now.since(*it) < KEPT)
    }
}

/// Chooses a server.
pub fn choose(
    pool: &Pool,
    memory: &Memory,
    now: Time,
    wish: &Wish<'_>,
    random: u64,
) -> Result<Choice, Shortage> {
    let mut shortage = Shortage::NoServer;
    let mut best: Option<Choice> = None;
    let mut candidates = 0;
    let named = wish.model.and_then(|it| pool.named(it));
    let key = shared(wish.parts).last().map(|it| it.id);
    let owner = key.and_then(|it| owner(pool, now, wish, it));
    for (id, server) in pool.usable(wish.service) {
        let is_ready = server.health.allows(now) && !server.is_switching(now);
        if !is_ready || wish.excluded.contains(&id) {
            shortage = Shortage::NoneReady;
            continue;
        }
        let weights = wish.model.and_then(|it| server.version(it));
        let Some(age_ms) = age_price(now, named, weights) else {
            shortage = Shortage::OldWeights;
            continue;
        };
        candidates += 1;
        let unread = unread(memory, now, wish, weights, id, owner == Some(id));
        let wait_ms = wait(server);
        let away = if *server.centre == *wish.centre { 0.0 } else { OTHER_CENTRE_MS };
        let tie = (random.rotate_left(id as u32 % 64) & 0xff) as f64 / 256.0;
        let read_ms = unread.0 / TOKENS_PER_MS + READ_AGAIN * unread.1 / TOKENS_PER_MS;
        let score = wait_ms + read_ms + age_ms + away + tie;
        if best.is_none_or(|it| score < it.score) {
            let unread = unread.0 as u32;
            best = Some(Choice {
                server: id,
                weights,
                unread,
                wait_ms,
                score,
                fetch_from: None,
                candidates: 0,
            });
        }
    }
    best.map(|it| Choice { candidates, ..it }).ok_or(shortage)
}

/// The parts that other requests share: all but the last one.
fn shared(parts: &[Part]) -> &[Part] {
    parts.split_last().map_or(&[], |it| it.1)
}

/// The server that all instances would send the part to if all servers were alike.
fn owner(pool: &Pool, now: Time, wish: &Wish<'_>, part: u64) -> Option<pool::Id> {
    let usable = pool.usable(wish.service).filter(|it| it.1.health.allows(now));
    let near = usable.filter(|it| *it.1.centre == *wish.centre);
    near.max_by_key(|it| hash::weight(&it.1.name, part)).map(|it| it.0)
}

/// Tokens that the server has to read, and how many of them others share.
fn unread(
    memory: &Memory,
    now: Time,
    wish: &Wish<'_>,
    weights: Option<u64>,
    id: pool::Id,
    is_owner: bool,
) -> (f64, f64) {
    let scope = scope(weights, wish.wall);
    let mut all = 0.0;
    let mut common = 0.0;
    let mut missing = 0.0_f64;
    for part in shared(wish.parts) {
        let held = match memory.holds(now, part.id, scope, id) {
            true => 1.0,
            false if is_owner => HASHED,
            false => 0.0,
        };
        // A part is of use only behind all parts before it.
        missing = missing.max(1.0 - held);
        common += missing * f64::from(part.tokens);
    }
    all += common;
    all += wish.parts.last().map_or(0.0, |it| f64::from(it.tokens));
    (all, common)
}

fn wait(server: &Server) -> f64 {
    let own = server.unread as f64 / TOKENS_PER_MS;
    let load = server.load.map(|it| it.0).unwrap_or_default();
    let running = f64::from(load.running.max(server.inflight));
    let full = if server.slots <= load.running + load.waiting { 2.0 } else { 1.0 };
    own + f64::from(load.waiting) * WAITING_MS + running * RUNNING_MS * full
}

/// The price of the weights' age, or `None` when they are too old.
fn age_price(now: Time, named: Option<(u64, Time)>, weights: Option<u64>) -> Option<f64> {
    let (Some((version, at)), Some(weights)) = (named, weights) else { return Some(0.0) };
    if version <= weights {
        return Some(0.0);
    }
    match now.since(at) {
        age if TOO_OLD_AFTER <= age => None,
        age if OLD_AFTER <= age => Some(OLD_MS),
        _ => Some(0.0),
    }
}

/// Cached prompts are told apart by weights and, for those that share with nobody, by organisation.
pub fn scope(weights: Option<u64>, wall: Option<&str>) -> u64 {
    hash::seeded(wall.unwrap_or_default().as_bytes(), weights.unwrap_or_default())
}

fn mix(part: u64, scope: u64) -> u64 {
    part ^ scope.rotate_left(17)
}
