//! Which backend server runs a request: the lowest expected time to the first token, with prices
//! for prompt parts that are read again, for weights that are no longer current and for bytes
//! between data centres.

mod memory;

use std::{net::SocketAddr, time::Duration};

use shallotlead_base::{hash, time::Time};

use crate::{
    adapter::Part,
    gossip::Placement,
    pace::Pace,
    pool::{self, Named, Pool, Server},
};

pub use memory::Memory;
use memory::Prefix;

/// What it costs to read parts that nobody holds at another server than their home, ms: another
/// instance may do the same at that moment.
const NOT_HOME_MS: f64 = 10.0;
/// What one more request running at a server costs each token, ms: a step takes 0.047 ms longer
/// with each, over the first ten steps.
const RUNNING_MS: f64 = 0.5;
/// What each request that runs at a server counts against sending it one that may crash it, ms: more than any
/// wait, so that the least is lost.
const COMPANY_MS: f64 = 10_000.0;
/// Age at which a server's word on its queue tells nothing any more, ms: where instances tell each other
/// what they send, and where this word is all there is. Queues of overloaded servers last over a second.
const STALE_MS: f64 = 600.0;
const STALE_ALONE_MS: f64 = 1_500.0;
/// What a kilobyte to or from another data centre costs, ms: its price, with a credit of an answer
/// taken as 100 ms of delay, as below.
const OTHER_CENTRE_MS: f64 = 0.5;
/// Kilobytes that a request and its answer bring besides the prompt.
const OVERHEAD_KB: f64 = 4.0;
/// Kilobytes of a prompt's token in a request.
const TOKEN_KB: f64 = 0.002;
/// Price of a shared part that is read although another server holds it, relative to the time that
/// reading takes. 1,000 tokens that are read again cost two thirds of a credit.
const READ_AGAIN: f64 = 6.0;
/// Price of a shared part that a server fetches though another one holds it, relative to the time that
/// reading takes: the copy drives out as many tokens that other requests share. With this price and that
/// of lateness, 33 instead of 67 shared tokens were read again for each request in a simulated
/// deployment of nine servers, and 42 instead of 82 in one of 18 (three runs of 40 s each).
const COPIED: f64 = 4.0;
/// Expected time to the first token, as a part of the aim, from which on an answer may be late, and what
/// one that is late costs, ms. Without it a prompt would wait for a holder longer than its aim.
const LATE_FROM: f64 = 0.6;
const LATE_MS: f64 = 400.0;
/// Queue, as a part of the aim, up to which reading may take all of an engine's time: without it, prompts leave
/// the holders of their parts where load is low.
const SHORT_QUEUE: f64 = 0.25;
/// A fetched part takes twice as long from another data centre, as most do: homes are spread evenly.
const FAR_FETCH: f64 = 2.0;
/// Shared parts below this many tokens aren't fetched: the setup takes as long as reading them.
const LEAST_FETCHED: u32 = 64;
/// Shared prefixes below this many tokens aren't kept in the store: they would drive out longer ones.
const LEAST_STORED: u32 = 1_000;
/// Weights count as old from this long on after newer ones were named; answers are worth less then.
const OLD_AFTER: Duration = Duration::from_millis(1_300);
/// What an answer on old weights costs, ms: a fifth of its worth.
const OLD_MS: f64 = 60.0;
/// How long before the bound on the weights' age requests aren't sent to older ones any more. The bound
/// counts from the store's acknowledgement, which this instance heard of later, to the begin, which is
/// after the wait at the server.
const BEFORE_TOO_OLD: Duration = Duration::from_millis(1_700);

/// What is asked for.
#[derive(Clone, Copy, Debug)]
pub struct Wish<'a> {
    /// The service that runs it.
    pub service: &'a str,
    /// The model, for prompts.
    pub model: Option<&'a str>,
    /// Time to the first token that is in time.
    pub aim: Duration,
    /// The prompt's parts.
    pub parts: &'a [Part],
    /// The organisation that shares no cache with others.
    pub wall: Option<&'a str>,
    /// The caller's instance's data centre.
    pub centre: &'a str,
    /// Where servers are looked for.
    pub reach: Reach,
    /// It may crash the server that runs it.
    pub is_suspect: bool,
    /// Time that a token's cache takes from one server to another in the same data centre, ms.
    pub fetch_ms: f64,
    /// Tokens that fit into a server's memory.
    pub capacity: f64,
    /// The store that keeps cached parts of this prompt, while it lives.
    pub store: Option<SocketAddr>,
    /// How long after newer weights were named requests may still begin on older ones.
    pub oldest_weights: Duration,
    /// Servers that have turned it away or failed it.
    pub excluded: &'a [pool::Id],
}

/// Where servers are looked for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reach {
    /// In the own data centre: what instances elsewhere send isn't known in a large fleet.
    Near,
    /// Everywhere.
    All,
    /// Everywhere, though what is sent to other data centres isn't known.
    Beyond,
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
    /// Prompt tokens that come into its memory, read or fetched.
    pub added: u32,
    /// Expected time until it begins to read, ms.
    pub wait_ms: f64,
    /// Expected time until the first token, ms.
    pub expected_ms: f64,
    /// The score that won, ms.
    pub score: f64,
    /// Where more of the prompt is expected: another server, or the store of cached prompts.
    pub fetch_from: Option<SocketAddr>,
    /// Where to save shared parts that are read for the first time.
    pub save_to: Option<SocketAddr>,
    /// Servers that were weighed.
    pub candidates: u32,
}

impl Choice {
    /// What other instances are told of a prompt of `parts` that was sent to the chosen `server`.
    pub fn placement(&self, server: &Server, parts: &[Part], wall: Option<&str>) -> Placement {
        Placement {
            server: server.name.clone(),
            born: server.born,
            scope: scope(self.weights, wall),
            parts: shared(parts).to_vec(),
            added: self.added,
            unread: self.unread,
        }
    }

    /// Expected time until the server begins to read.
    pub fn wait(&self) -> Duration {
        Duration::from_secs_f64(self.wait_ms / 1e3)
    }

    /// Expected time until the answer begins.
    pub fn expected(&self) -> Duration {
        Duration::from_secs_f64(self.expected_ms / 1e3)
    }
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
    /// Those that could take it have as many requests as they take at their rate limits.
    Limited {
        /// When one of them may take another.
        after: Duration,
    },
}

/// Chooses a server.
///
/// Instances tell each other of what they send, so that each knows who holds which shared parts. A
/// part that nobody holds has a home: the server that rendezvous hashing gives among those with the
/// newest weights, the same for all instances without any talk.
pub fn choose(
    pool: &Pool,
    memory: &Memory,
    now: Time,
    wish: &Wish<'_>,
    random: u64,
) -> Result<Choice, Shortage> {
    let named = wish.model.and_then(|it| pool.named(it));
    let mut shortage = Shortage::NoServer;
    let mut ready = Vec::new();
    for (id, server) in pool.usable(wish.service) {
        if wish.reach == Reach::Near && *server.centre != *wish.centre {
            continue;
        }
        if !server.takes_requests(now) || wish.excluded.contains(&id) {
            shortage = Shortage::NoneReady;
            continue;
        }
        let weights = wish.model.and_then(|it| server.version(it));
        match age_price(now, named, weights, wish.oldest_weights) {
            Some(age_ms) => {
                let scope = scope(weights, wish.wall);
                let held = memory.prefix(pool, shared(wish.parts), scope, id, wish.capacity);
                ready.push(Place { id, server, weights, age_ms, held });
            }
            None => shortage = Shortage::OldWeights,
        }
    }
    let prompt = Prompt {
        all: wish.parts.iter().map(|it| it.tokens).sum(),
        shared: shared(wish.parts).iter().map(|it| it.tokens).sum(),
        home: home(wish, &ready),
        pace: pool.pace(wish.service),
    };
    let holders: Vec<&Place<'_>> = ready.iter().filter(|it| 0 < it.held.tokens).collect();
    // Closed ones are no place to run, but parts that they hold can be fetched.
    let open: Vec<_> = ready.iter().filter(|it| !it.server.limit.is_closed(now)).collect();
    let weighed = open.iter().map(|it| weigh(now, wish, &prompt, it, &holders, random));
    let best = weighed.min_by(|a, b| a.score.total_cmp(&b.score));
    best.map(|it| Choice { candidates: open.len() as u32, ..it }).ok_or_else(|| {
        let opens = ready.iter().map(|it| it.server.limit.opens()).min();
        opens.map_or(shortage, |it| Shortage::Limited { after: it.since(now) })
    })
}

/// What is the same for all servers.
struct Prompt {
    /// Its tokens.
    all: u32,
    /// Those that other requests share.
    shared: u32,
    /// The server that reads parts which nobody holds.
    home: Option<pool::Id>,
    /// What prompts cost the service's engines.
    pace: Pace,
}

/// A server that could run the request.
struct Place<'a> {
    id: pool::Id,
    server: &'a Server,
    weights: Option<u64>,
    age_ms: f64,
    held: Prefix,
}

/// What a prompt's shared prefix is known by: its last shared part.
pub(crate) fn key(parts: &[Part]) -> Option<u64> {
    shared(parts).last().map(|it| it.id)
}

/// The server that reads parts which nobody holds: none that limits its rate, as requests that share them would be
/// turned to others soon.
fn home(wish: &Wish<'_>, ready: &[Place<'_>]) -> Option<pool::Id> {
    let key = key(wish.parts)?;
    let newest = ready.iter().map(|it| it.weights).max()?;
    let is_unlimited = |it: &&Place<'_>| it.server.limit.per_second().is_none();
    let current = ready.iter().filter(|it| it.weights == newest).filter(is_unlimited);
    current.max_by_key(|it| hash::weight(&it.server.name, key)).map(|it| it.id)
}

fn weigh(
    now: Time,
    wish: &Wish<'_>,
    prompt: &Prompt,
    place: &Place<'_>,
    holders: &[&Place<'_>],
    random: u64,
) -> Choice {
    let Prompt { all, shared, pace, .. } = *prompt;
    let Place { id, server, weights, age_ms, held } = *place;
    let known = known(place, holders);
    let fetch = fetch(now, wish, place, holders);
    let unread = all - held.tokens - fetch.tokens;
    let wait_ms =
        wait(now, server, &pace, stale_ms(wish, server)).max(held_back(now, wish, server));
    let begins_ms = wait_ms + fetch.ms + pace.reading(unread);
    let expected_ms = begins_ms + pace.first();
    let late_ms = late(expected_ms, wish.aim);
    let shared_ms = shared_price(wish, prompt, place, known, fetch.tokens);
    let kilobytes = OVERHEAD_KB + TOKEN_KB * f64::from(all);
    let away_ms = if *server.centre == *wish.centre { 0.0 } else { OTHER_CENTRE_MS * kilobytes };
    let company_ms = match wish.is_suspect {
        true => COMPANY_MS * running(now, server, stale_ms(wish, server)),
        false => 0.0,
    };
    let tie = (random.rotate_left(id as u32 % 64) & 0xff) as f64 / 256.0;
    // What is believed to be held may have been evicted: asking the store costs a millisecond, reading
    // the parts again a hundred.
    let store = wish.store.filter(|_| LEAST_STORED <= shared);
    Choice {
        server: id,
        weights,
        unread,
        added: all - held.tokens,
        wait_ms,
        expected_ms,
        score: begins_ms + late_ms + shared_ms + age_ms + away_ms + company_ms + tie,
        fetch_from: fetch.from.or(store),
        save_to: store.filter(|_| known.max(held.tokens) < shared),
        candidates: 0,
    }
}

/// The other holders whose parts are of use to the server.
fn others<'a>(
    place: &'a Place<'_>,
    holders: &'a [&'a Place<'a>],
) -> impl Iterator<Item = &'a &'a Place<'a>> {
    holders.iter().filter(|it| it.id != place.id && it.weights == place.weights)
}

/// Shared tokens that some other server holds.
fn known(place: &Place<'_>, holders: &[&Place<'_>]) -> u32 {
    others(place, holders).map(|it| it.held.tokens).max().unwrap_or(0)
}

/// What a server would fetch from another one.
struct Fetch {
    from: Option<SocketAddr>,
    tokens: u32,
    /// How long it takes.
    ms: f64,
}

fn fetch(now: Time, wish: &Wish<'_>, place: &Place<'_>, holders: &[&Place<'_>]) -> Fetch {
    let Place { server, held, .. } = place;
    // Parts that are still being read elsewhere can't be fetched yet.
    let source = others(place, holders)
        .filter(|it| held.tokens + LEAST_FETCHED <= it.held.tokens && it.held.ready <= now)
        .filter(|it| !it.held.is_unsure || wish.store.is_none())
        .max_by_key(|it| (it.held.tokens, it.server.centre == server.centre));
    let Some(source) = source else { return Fetch { from: None, tokens: 0, ms: 0.0 } };
    let factor = if source.server.centre == server.centre { 1.0 } else { FAR_FETCH };
    let tokens = source.held.tokens - held.tokens;
    let ms = factor * wish.fetch_ms * f64::from(tokens);
    Fetch { from: Some(source.server.address), tokens, ms }
}

/// What running the request at `place` costs other requests that share its parts, ms.
fn shared_price(
    wish: &Wish<'_>,
    prompt: &Prompt,
    place: &Place<'_>,
    known: u32,
    fetched: u32,
) -> f64 {
    let held = place.held.tokens;
    let again = known.saturating_sub(held + fetched);
    let is_held = 0 < known.max(held);
    let is_astray = !is_held && prompt.home != Some(place.id) && !wish.parts.is_empty();
    let astray_ms = if is_astray { NOT_HOME_MS } else { 0.0 };
    let pace = &prompt.pace;
    COPIED * pace.reading(fetched) + READ_AGAIN * pace.reading(again) + astray_ms
}

/// The parts that other requests share: all but the last one.
pub(crate) fn shared(parts: &[Part]) -> &[Part] {
    parts.split_last().map_or(&[], |it| it.1)
}

/// Age at which the server's word on its queue tells nothing any more.
///
/// Guards against a crowd: instances that lost their own servers all turn to the same ones elsewhere
/// and, a moment after the last report, take their queues for gone. It shows as queues of over a second
/// at few servers, where requests wait whose callers have left.
fn stale_ms(wish: &Wish<'_>, server: &Server) -> f64 {
    let is_alone = wish.reach == Reach::Beyond && *server.centre != *wish.centre;
    if is_alone { STALE_ALONE_MS } else { STALE_MS }
}

/// Expected time until the server begins with a request, ms: the longest of what is known to have been
/// sent there, what it has told, and what the last prompts have waited there.
///
/// The last one guards against a queue that nobody sees: prompts that are preempted, or don't fit into
/// the memory, wait though all that was sent could have been read. It shows as answers that are late by
/// seconds at servers that seem idle, for as long as the load lasts.
fn wait(now: Time, server: &Server, pace: &Pace, stale_ms: f64) -> f64 {
    let fresh = |at: Time| (1.0 - now.since(at).as_secs_f64() * 1e3 / stale_ms).max(0.0);
    let queued = server.busy_until.since(now).as_secs_f64() * 1e3;
    let waited = server.waited.map_or(0.0, |it| f64::from(it.0) * fresh(it.1));
    let load = server.load.unwrap_or_default();
    let waiting = f64::from(load.0.waiting) * pace.waiting() * fresh(load.1);
    queued.max(waiting).max(waited) + running(now, server, stale_ms) * RUNNING_MS
}

/// Requests that run at the server, as far as known.
fn running(now: Time, server: &Server, stale_ms: f64) -> f64 {
    let (load, at) = server.load.unwrap_or_default();
    let fresh = (1.0 - now.since(at).as_secs_f64() * 1e3 / stale_ms).max(0.0);
    (f64::from(load.running) * fresh).max(f64::from(server.inflight))
}

/// How long a prompt should keep off the server so that running answers get their share of its time, ms.
///
/// Guards against saturation where answers are cut at their deadline: queues that are read as fast as they
/// come are short, and so are not avoided, while nothing is left for the answers that run. Beyond a short
/// queue, prompts keep to servers that have read less, and long ones are refused.
fn held_back(now: Time, wish: &Wish<'_>, server: &Server) -> f64 {
    let reading_ms = server.reading_until.since(now).as_secs_f64() * 1e3;
    reading_ms - SHORT_QUEUE * wish.aim.as_secs_f64() * 1e3
}

/// The price of an answer that is expected to begin after `expected_ms`: nothing while that is well
/// within the aim, and growing up to it.
fn late(expected_ms: f64, aim: Duration) -> f64 {
    let part = expected_ms / (aim.as_secs_f64() * 1e3).max(1.0);
    LATE_MS * ((part - LATE_FROM) / (1.0 - LATE_FROM)).clamp(0.0, 1.0)
}

/// The price of the weights' age, or `None` when they are too old.
fn age_price(
    now: Time,
    named: Option<&Named>,
    weights: Option<u64>,
    oldest: Duration,
) -> Option<f64> {
    let too_old = oldest.saturating_sub(BEFORE_TOO_OLD);
    let replaced = weights.and_then(|it| named?.replaced_since(it));
    match replaced.map(|it| now.since(it)) {
        Some(age) if too_old <= age => None,
        Some(age) if OLD_AFTER <= age => Some(OLD_MS),
        _ => Some(0.0),
    }
}

/// Cached prompts are told apart by weights and, for those that share with nobody, by organisation.
pub fn scope(weights: Option<u64>, wall: Option<&str>) -> u64 {
    hash::seeded(wall.unwrap_or_default().as_bytes(), weights.unwrap_or_default())
}
