//! Placement: which backend server should run a request.
//!
//! A few candidates are sampled, never the whole pool: the servers believed to hold most of the
//! prompt, the servers that consistent hashing gives for the prompt's levels, and some at random
//! ("The Power of Two Choices in Randomized Load Balancing", Mitzenmacher, 2001). Each gets a score
//! of expected time to first token plus a price for recomputed tokens; the lowest wins.

use std::{sync::Arc, time::Duration};

use rand::Rng;
use shallotlead_base::{
    hash::Map,
    id::{Attempt, Incarnation, Request},
    name,
    time::Time,
};
use shallotlead_table::{server::Role, snapshot::Snapshot};

use crate::{
    belief::{self, Held, Slot},
    chain::{BLOCK_TOKENS, Block, Chain},
    explain::Candidate,
    input::{Batch, Outcome, Placement, State},
    load::{Estimate, Report},
    request::Arrival,
};

mod mix;
mod pool;
mod ring;
mod score;
mod store;

use pool::Pool;
use score::{Guess, Place, Score};
use store::{Kept, Store};

/// Beliefs that one instance keeps: about 16 MB, measured by `cargo bench --bench capacity`.
const BELIEFS: usize = 100_000;
/// Servers by belief that are weighed.
const HOLDERS: usize = 8;
/// Levels of a prompt that consistent hashing is asked for, and servers for each.
const LEVELS: usize = 3;
const PER_LEVEL: usize = 2;
/// Servers drawn at random that are weighed.
const RANDOM: usize = 3;
/// Other instances tell of their placements if one was heard of this recently.
const TOLD: Duration = Duration::from_secs(5);

/// Probability that the first server by consistent hashing holds a level that nobody is known to
/// hold, while other instances tell of what they send and while they don't.
const TOLD_GUESS: f64 = 0.06;
const ALONE_GUESS: f64 = 0.9;
/// Factor from one server of a level to the next.
const NEXT_GUESS: f64 = 0.35;

/// Own beliefs older than this that the prefix's home doesn't share are doubted, by this factor.
const UNSHARED: Duration = Duration::from_secs(2);
const UNSHARED_FACTOR: f32 = 0.3;

/// Least weight relative to the pool's mean that is told apart.
const MIN_WEIGHT: f64 = 0.01;
/// A server that only decodes computes up to this many prompt tokens itself; more of them only when
/// every other server would take this many microseconds longer.
const DECODE_TOKENS: f64 = 512.0;
const DECODE_PENALTY: f64 = 10_000_000.0;

/// Price of an imported token, as a part of a computed one's.
const IMPORT_PRICE: f64 = 0.5;

/// What placement knows: servers, their loads and what their caches are believed to hold.
#[derive(Debug)]
pub struct Planner {
    table: Arc<Snapshot>,
    belief: belief::Table,
    rows: Vec<Row>,
    pools: Map<name::Model, Pool>,
    attempts: Map<Attempt, Flight>,
    store: Store,
    exports: Vec<(name::Server, Block)>,
    instances: u32,
    /// When another instance last told of a placement.
    told: Option<Time>,
    /// The scores of the last decision, which `sent` follows.
    last: Option<(Request, Vec<Score>)>,
    /// Reused between decisions.
    held: Vec<Held>,
}

/// The outcome of weighing candidates for one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Ranking {
    /// The candidates that were weighed, best score first.
    pub candidates: Vec<Candidate>,
    /// The choice, when any server may take the request.
    pub choice: Option<Choice>,
}

/// The chosen server.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Its place in the ranking's candidates.
    pub index: usize,
    /// The server.
    pub server: name::Server,
    /// The life that was meant.
    pub incarnation: Incarnation,
    /// Expected time to first token, from sending.
    pub expected: Duration,
    /// Expected prompt tokens to compute.
    pub uncached_tokens: u32,
    /// Prefix to import from the KV store first.
    pub import: Option<Block>,
    /// What decided, in a word or two.
    pub reason: &'static str,
}

/// A server as placement sees it; its place is its slot in the belief table.
#[derive(Debug, Default)]
struct Row {
    state: Option<State>,
    member: Option<Member>,
    load: Estimate,
}

/// Cells of a server's row that placement needs.
#[derive(Debug)]
struct Member {
    weight: f64,
    role: Role,
}

/// An attempt under way.
#[derive(Debug)]
struct Flight {
    server: Slot,
    incarnation: Incarnation,
    model: name::Model,
    chain: Chain,
    sent: Time,
    ahead: f64,
    import: Option<Kept>,
    answered: bool,
}

impl Planner {
    /// A planner that knows nothing yet.
    pub fn open() -> Self {
        Self {
            table: Arc::default(),
            belief: belief::Table::open(BELIEFS),
            rows: Vec::new(),
            pools: Map::default(),
            attempts: Map::default(),
            store: Store::default(),
            exports: Vec::new(),
            instances: 1,
            told: None,
            last: None,
            held: Vec::new(),
        }
    }

    /// Takes a new version of the table.
    pub fn table(&mut self, table: &Arc<Snapshot>) {
        for row in &mut self.rows {
            row.member = None;
        }
        let mut members: Map<name::Model, Vec<Slot>> = Map::default();
        for server in table.servers.values() {
            let slot = self.row(&server.name);
            let member = Member { weight: server.weight, role: server.role };
            self.rows[slot.index()].member = Some(member);
            members.entry(server.model.clone()).or_default().push(slot);
        }
        self.pools.retain(|model, _| members.contains_key(model));
        for (model, members) in members {
            let weights = members.iter().filter_map(|it| self.rows[it.index()].member.as_ref());
            let weights: Vec<f64> = weights.map(|it| it.weight).filter(|it| 0.0 < *it).collect();
            let pool = self.pools.entry(model).or_default();
            pool.mean_weight = weights.iter().sum::<f64>() / weights.len().max(1) as f64;
            pool.set_members(members, &self.belief);
        }
        self.table = table.clone();
    }

    /// Takes what is known of a server's life.
    pub fn server(&mut self, now: Time, server: &name::Server, state: State) {
        self.belief.server(now, server, state);
        let slot = self.row(server);
        let row = &mut self.rows[slot.index()];
        let anew = match (row.state, state) {
            (Some(State::Up(last)), State::Up(next)) => last != next,
            (Some(_), State::Up(_)) => true,
            _ => false,
        };
        if anew {
            row.load.reset();
        }
        row.state = Some(state);
    }

    /// Takes a load report.
    pub fn load(&mut self, now: Time, report: Report) {
        let slot = self.row(&report.server);
        let row = &mut self.rows[slot.index()];
        if row.state == Some(State::Up(report.incarnation)) {
            row.load.report(now, &report);
        }
    }

    /// Takes cache events.
    pub fn cache(&mut self, now: Time, batch: Batch) {
        self.belief.cache(now, &batch);
    }

    /// Takes the number of live entry instances, this one included.
    pub fn instances(&mut self, n: u32) {
        self.instances = n.max(1);
    }

    /// Takes in what other instances sent, so that a queue is known before its server reports it.
    pub fn placed(&mut self, now: Time, placements: &[Placement]) {
        for it in placements {
            let slot = self.row(&it.server);
            let row = &mut self.rows[slot.index()];
            if row.state == Some(State::Up(it.incarnation)) {
                row.load.heard(now - it.age, f64::from(it.uncached_tokens));
                self.belief.told(now - it.age, &it.anchors, &it.server, it.incarnation);
            }
        }
        self.told = Some(now);
    }

    /// How many servers are believed to hold `block`.
    pub(crate) fn replicas(&self, block: Block) -> usize {
        self.belief.replicas(block)
    }

    /// Weighs candidates for `arrival` and chooses one.
    pub fn rank<R: Rng>(
        &mut self,
        now: Time,
        arrival: &Arrival,
        exclude: &[name::Server],
        allowed: impl Fn(&name::Server) -> bool,
        rng: &mut R,
    ) -> Ranking {
        let places = self.places(now, arrival, exclude, allowed, rng);
        let kept = self.store.find(now, &arrival.chain);
        let scored = places.into_iter().filter_map(|it| self.score(now, arrival, it, kept));
        let mut scores: Vec<Score> = scored.collect();
        scores.sort_by(|a, b| a.total.total_cmp(&b.total).then(a.server().cmp(&b.server())));
        if let Some(pool) = self.pools.get_mut(&arrival.model) {
            pool.press(&scores);
        }
        let choice = scores.first().and_then(|it| self.choose(&scores, it, arrival));
        let candidates = scores.iter().map(|it| self.explain(now, it)).collect();
        self.last = Some((arrival.id, scores));
        Ranking { candidates, choice }
    }

    /// An attempt was sent to `server`.
    pub fn sent(&mut self, now: Time, arrival: &Arrival, attempt: Attempt, server: &name::Server) {
        let slot = self.row(server);
        let Some(State::Up(incarnation)) = self.rows[slot.index()].state else { return };
        let Some(score) = self.scored(now, arrival, slot) else { return };
        let Some(pool) = self.pools.get_mut(&arrival.model) else { return };
        pool.mix.add(now, arrival.priority, score.uncached);
        let ahead = score.wait / pool.speed.token();
        self.rows[slot.index()].load.sent(now, attempt, score.uncached);
        self.belief.sent(now, &arrival.chain, server, incarnation);
        let flight = Flight {
            server: slot,
            incarnation,
            model: arrival.model.clone(),
            chain: arrival.chain.clone(),
            sent: now,
            ahead,
            import: score.import,
            answered: false,
        };
        self.attempts.insert(attempt, flight);
    }

    /// An attempt's first token came, with the prompt tokens that the server took from its cache.
    pub fn first_token(&mut self, now: Time, attempt: Attempt, cached_tokens: Option<u32>) {
        let Some(flight) = self.attempts.get_mut(&attempt) else { return };
        if std::mem::replace(&mut flight.answered, true) {
            return;
        }
        self.rows[flight.server.index()].load.done(attempt);
        let server = self.belief.name(flight.server).clone();
        self.belief.answered(now, &flight.chain, &server, flight.incarnation, cached_tokens);
        let (Some(pool), Some(cached)) = (self.pools.get_mut(&flight.model), cached_tokens) else {
            return;
        };
        let uncached = flight.chain.tokens.saturating_sub(cached);
        match flight.import {
            None => pool.speed.observe(now.since(flight.sent), flight.ahead, f64::from(uncached)),
            Some(it) if cached < it.tokens.min(flight.chain.tokens - 1) => {
                self.store.missed(it.block);
            }
            Some(_) => {}
        }
        if let Some(block) = self.store.hit(now, &flight.chain, cached) {
            self.exports.push((server, block));
        }
    }

    /// An attempt ended; `None` when it was cancelled or given up.
    pub fn ended(&mut self, _now: Time, attempt: Attempt, _outcome: Option<Outcome>) {
        let Some(flight) = self.attempts.remove(&attempt) else { return };
        self.rows[flight.server.index()].load.done(attempt);
    }

    /// Hot prefixes that should be exported to the KV store, each with a server that holds it.
    pub fn take_exports(&mut self) -> Vec<(name::Server, Block)> {
        std::mem::take(&mut self.exports)
    }

    fn row(&mut self, server: &name::Server) -> Slot {
        let slot = self.belief.slot(server);
        if self.rows.len() <= slot.index() {
            self.rows.resize_with(slot.index() + 1, Row::default);
        }
        slot
    }

    /// Whether other instances tell of what they send; a lone one has nobody to hear from.
    fn told(&self, now: Time) -> bool {
        self.instances == 1 || self.told.is_some_and(|it| now.since(it) < TOLD)
    }

    /// Whether the server takes new work.
    fn usable(&self, slot: Slot) -> bool {
        let row = &self.rows[slot.index()];
        let takes = |it: &Member| 0.0 < it.weight && it.role != Role::Prefill;
        row.member.as_ref().is_some_and(takes) && matches!(row.state, Some(State::Up(_)))
    }

    fn places<R: Rng>(
        &mut self,
        now: Time,
        arrival: &Arrival,
        exclude: &[name::Server],
        allowed: impl Fn(&name::Server) -> bool,
        rng: &mut R,
    ) -> Vec<Place> {
        let held = self.held(now, arrival);
        let usable = |slot: Slot| {
            let name = self.belief.name(slot);
            self.usable(slot) && !exclude.contains(name) && allowed(name)
        };
        let mut slots: Vec<Slot> = Vec::with_capacity(HOLDERS + LEVELS * PER_LEVEL + RANDOM);
        slots.extend(held.iter().map(|it| it.server).filter(|it| usable(*it)).take(HOLDERS));
        let mut add = |slot: Slot| {
            if !slots.contains(&slot) && usable(slot) {
                slots.push(slot);
            }
        };
        let mut guesses = Vec::new();
        if let Some(pool) = self.pools.get(&arrival.model) {
            let levels = self.belief.levels(&arrival.chain, LEVELS);
            for level in &levels {
                let key = arrival.chain.blocks[*level];
                pool.ring.successors(key.0, PER_LEVEL, usable).into_iter().for_each(&mut add);
            }
            for _ in 0..2 * RANDOM {
                pool.draw(rng).into_iter().for_each(&mut add);
            }
            if slots.is_empty() {
                // The sample missed the few that are left.
                slots.extend(pool.members.iter().copied().find(|it| usable(*it)));
            }
            guesses = self.guesses(now, pool, arrival, &held, &levels);
        }
        let found = slots.into_iter().map(|it| place(it, &held, &guesses)).collect();
        self.held = held;
        found
    }

    /// What this instance and the prefix's home believe, most first.
    fn held(&mut self, now: Time, arrival: &Arrival) -> Vec<Held> {
        let mut held = std::mem::take(&mut self.held);
        self.belief.held(now, &arrival.chain, &mut held);
        self.merge(arrival, &mut held);
        held.sort_by(|a, b| b.expected.total_cmp(&a.expected).then(a.server.cmp(&b.server)));
        held
    }

    /// Takes in what the prefix's home answered.
    fn merge(&self, arrival: &Arrival, held: &mut Vec<Held>) {
        if !arrival.hints.is_empty() {
            // The home hears of evictions, this instance only of what it sent itself: an older
            // belief that the home doesn't share is probably outdated.
            let told = |it: &Held| {
                let name = self.belief.name(it.server);
                arrival.hints.iter().any(|hint| hint.server == *name)
            };
            for it in held.iter_mut().filter(|it| UNSHARED < it.age && !told(it)) {
                it.expected *= UNSHARED_FACTOR;
                it.confidence *= UNSHARED_FACTOR;
            }
        }
        for hint in &arrival.hints {
            let Some(server) = self.belief.find(&hint.server) else { continue };
            // Guards against a home that hasn't heard of a restart yet: its hint names a life whose
            // cache is gone. It shows as a long wait for a prefix that must be computed anyway.
            // The check holds because a later life always has a higher incarnation.
            if self.rows[server.index()].state != Some(State::Up(hint.incarnation)) {
                continue;
            }
            let hint = Held::from_hint(server, hint, arrival.chain.blocks.len() as u32);
            match held.iter_mut().find(|it| it.server == server) {
                // The younger belief knows more.
                Some(it) if hint.age < it.age || it.expected < hint.expected => *it = hint,
                Some(_) => {}
                None => held.push(hint),
            }
        }
    }

    /// Guesses at the first level that no server is known to hold. Instances that can't reach each
    /// other, or have just started, still send it to the same servers that way.
    fn guesses(
        &self,
        now: Time,
        pool: &Pool,
        arrival: &Arrival,
        held: &[Held],
        levels: &[usize],
    ) -> Vec<(Slot, Guess)> {
        let blocks = &arrival.chain.blocks;
        let known = held.iter().map(|it| it.blocks as usize).max().unwrap_or(0);
        let Some(from) = levels.iter().copied().filter(|it| known <= *it).min() else {
            return Vec::new();
        };
        let successors = pool.ring.successors(blocks[from].0, PER_LEVEL, |it| self.usable(it));
        let first = if self.told(now) { TOLD_GUESS } else { ALONE_GUESS };
        let guess = |rank| {
            let probability = first * NEXT_GUESS.powi(rank);
            Guess { from: from as u32, to: blocks.len() as u32, probability }
        };
        successors.into_iter().zip(0..).map(|(it, rank)| (it, guess(rank))).collect()
    }

    /// The score of `server` in the last decision, or one of its own.
    fn scored(&mut self, now: Time, arrival: &Arrival, server: Slot) -> Option<Score> {
        if let Some((request, scores)) = &self.last
            && *request == arrival.id
            && let Some(it) = scores.iter().find(|it| it.server() == server)
        {
            return Some(*it);
        }
        let held = self.held(now, arrival);
        let place = place(server, &held, &[]);
        self.held = held;
        let kept = self.store.find(now, &arrival.chain);
        self.score(now, arrival, place, kept)
    }

    fn score(
        &self,
        now: Time,
        arrival: &Arrival,
        place: Place,
        kept: Option<Kept>,
    ) -> Option<Score> {
        let pool = self.pools.get(&arrival.model)?;
        let price = self.table.models.get(&arrival.model).map_or(0.0, |it| it.recompute_price);
        let row = &self.rows[place.server.index()];
        let member = row.member.as_ref();
        // Weights are relative: a pool of servers that all have 1000 is like one that all have 1.
        let weight = member.map_or(1.0, |it| it.weight / pool.mean_weight).max(MIN_WEIGHT);
        let others = if self.told(now) { 0.0 } else { f64::from(self.instances - 1) };
        let inflow = pool.mix.per_second(now) * others / pool.members.len().max(1) as f64;
        let ahead = row.load.ahead(now, pool.speed.per_second(), inflow);
        let computed = place.uncached(arrival.chain.tokens);
        let import = kept.and_then(|it| place.import(it, arrival.chain.tokens, pool.speed.token()));
        let (uncached, fetch) = match import {
            Some(it) => {
                let rest = f64::from(arrival.chain.tokens - it.tokens);
                (rest, store::import_time(computed - rest))
            }
            None => (computed, 0.0),
        };
        let wait = ahead * pool.mix.share(arrival.priority) * pool.speed.token();
        let prefill = pool.speed.base() + fetch + uncached * pool.speed.token();
        // An imported prefix is cheap to get but takes as much of the cache as a computed one: what it
        // drives out will be computed again.
        let taken = uncached + IMPORT_PRICE * (computed - uncached);
        let price = (price + pool.delay_price()) * taken;
        let slow = member.is_some_and(|it| it.role == Role::Decode) && DECODE_TOKENS < uncached;
        let penalty = if slow { DECODE_PENALTY } else { 0.0 };
        let total = (wait + prefill) / weight + price + penalty;
        Some(Score { place, total, ahead, wait, prefill, price, uncached, import })
    }

    fn choose(&self, scores: &[Score], best: &Score, arrival: &Arrival) -> Option<Choice> {
        let Some(State::Up(incarnation)) = self.rows[best.server().index()].state else {
            return None;
        };
        let fastest = scores.iter().all(|it| best.wait <= it.wait);
        let reason = match best.place.held {
            _ if scores.len() == 1 => "only-server",
            Some(held) if 0 < held.blocks && !fastest => "cache-hit",
            Some(held) if 0 < held.blocks => "cache-hit least-wait",
            _ => "least-wait",
        };
        Some(Choice {
            index: 0,
            server: self.belief.name(best.server()).clone(),
            incarnation,
            expected: Duration::from_micros((best.wait + best.prefill) as u64),
            uncached_tokens: (best.uncached as u32).min(arrival.chain.tokens),
            import: best.import.map(|it| it.block),
            reason,
        })
    }

    fn explain(&self, now: Time, score: &Score) -> Candidate {
        let held = score.place.held;
        let row = &self.rows[score.server().index()];
        Candidate {
            server: self.belief.name(score.server()).clone(),
            score: score.total / 1e3,
            wait: score.wait / 1e3,
            prefill: score.prefill / 1e3,
            price: score.price / 1e3,
            uncached_tokens: score.uncached as u32,
            cached_tokens: held.map_or(0, |it| it.blocks * BLOCK_TOKENS),
            confidence: held.map_or(0.0, |it| it.confidence),
            belief_age: held.map_or(0, |it| it.age.as_millis() as u64),
            load_age: row.load.age(now).map_or(0, |it| it.as_millis() as u64),
        }
    }
}

fn place(server: Slot, held: &[Held], guesses: &[(Slot, Guess)]) -> Place {
    let held = held.iter().find(|it| it.server == server).copied();
    let guess = guesses.iter().find(|it| it.0 == server).map(|it| it.1);
    Place { server, held, guess }
}
