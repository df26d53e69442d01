//! Chooses the backend server that runs a request: the one with the lowest expected time to the
//! first token, plus prices for recomputing cached prompt parts, for stale weights and for bytes
//! between data centres.

mod prefix_index;

use std::{net::SocketAddr, time::Duration};

use prefix_index::Prefix;
use shallotlead_base::{hash, time::Time};

use crate::{
    adapter::Part,
    build,
    cost::Estimate,
    deadline::{Deadline, Work},
    gossip::Placement,
    pool::{self, Currency, Pool, Server, Unavailability, Versions},
};

pub use prefix_index::PrefixIndex;

/// Price of prefilling parts that no server has cached at a server other than their owner, ms:
/// another instance may prefill them at the same moment.
const NOT_OWNER_MS: f64 = 10.0;
/// What each request running at a server adds to the wait, ms: an engine step takes 0.047 ms longer
/// with each, over the first ten steps.
const RUNNING_REQUEST_MS: f64 = 0.5;
/// Price of each request that runs at a server, for a request that may crash it, ms: more than any
/// wait, so that as few requests as possible are lost.
const SUSPECT_PER_REQUEST_MS: f64 = 10_000.0;
/// Age at which a server's load report counts for nothing, ms: where instances announce to each
/// other what they send, and where the report is the only source. Queues of overloaded servers last
/// over a second.
const LOAD_STALE_MS: f64 = 600.0;
const SPILLOVER_LOAD_STALE_MS: f64 = 1_500.0;
/// Price of a kilobyte to or from another data centre, ms: it takes longer on the way, over links that all share.
const CROSS_CENTRE_MS_PER_KB: f64 = 0.5;
/// Kilobytes of a request and its response besides the prompt.
const OVERHEAD_KB: f64 = 4.0;
/// Kilobytes of a prompt's token in a request.
const KB_PER_TOKEN: f64 = 0.002;
/// Price of prefilling a shared part that another server has cached, relative to its prefill time: the prompts behind it
/// wait for as long, and the copy evicts as many tokens, whose prompts are prefilled again and evict others.
const RECOMPUTE_PRICE: f64 = 6.0;
/// Price of fetching a shared part that another server has cached, relative to its prefill time: the copy evicts as many
/// tokens, as above, but no prompt waits for it.
const TRANSFER_PRICE: f64 = 4.0;
/// Expected time to the first token, as a fraction of the latency target, from which on an answer
/// may be late, and the price of a late answer, ms. Without it a prompt would wait for a server
/// that caches its parts for longer than its target.
const LATE_FROM_FRACTION: f64 = 0.6;
const LATE_PRICE_MS: f64 = 400.0;
/// Price of a server that wants no requests of another instance for a while, ms: as high as that of a late answer.
const BACKED_OFF_ELSEWHERE_PRICE_MS: f64 = LATE_PRICE_MS;
/// Queue, as a fraction of the time that callers wait for a first token at least, up to which prefill may take all of an
/// engine's time: without it, prompts would leave the servers that cache their parts at low load.
const SHORT_QUEUE_FRACTION: f64 = 0.125;
/// A fetch takes twice as long from another data centre, where most of them come from: owners are
/// spread evenly.
const CROSS_CENTRE_FETCH_FACTOR: f64 = 2.0;
/// Shared parts shorter than this aren't fetched: the setup takes as long as prefilling them.
const MIN_FETCHED_TOKENS: u32 = 64;
/// Shared prefixes shorter than this aren't saved to the store: they would evict longer ones.
const MIN_STORED_TOKENS: u32 = 1_000;
/// Price of an answer from weights that were replaced, ms: callers get one from the newest weights where that is about as
/// soon, and don't wait longer for it.
const REPLACED_WEIGHTS_PRICE_MS: f64 = 60.0;
/// How long before the limit on weights' staleness requests that may run only once are no longer sent to stale ones:
/// unlike others, they can't be sent elsewhere if they haven't begun by then.
const STALE_WEIGHTS_MARGIN: Duration = Duration::from_millis(1_700);
/// How long before that limit a request has to have begun. Within it the connection of one that hasn't is closed, and
/// the server learns of that; it also covers how much later than the operator this instance learned of newer weights.
pub(crate) const STALE_START_LEAD: Duration = Duration::from_millis(400);

/// The request to place and the constraints on its server.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// The service that runs the request.
    pub service: &'a str,
    /// The model, for prompts.
    pub model: Option<&'a str>,
    /// The target for the time to the first token.
    pub latency_target: Duration,
    /// When the caller stops waiting.
    pub deadline: Deadline,
    /// How long callers of any request to the service wait for a first token at least.
    pub shortest_patience: Duration,
    /// How much later than expected a prompt may begin.
    pub delay: Duration,
    /// Expected time from the first token of the answer to a prompt to its end.
    pub generation: Duration,
    /// The prompt's parts.
    pub parts: &'a [Part],
    /// The organisation whose cached prompts are shared with no other, if the request has one.
    pub cache_owner: Option<&'a str>,
    /// The data centre of this instance.
    pub centre: &'a str,
    /// Which data centres are searched for servers.
    pub reach: Reach,
    /// Whether the request is suspected of crashing servers.
    pub is_suspect: bool,
    /// Time to fetch a token's KV cache from another server in the same data centre, ms.
    pub fetch_ms_per_token: f64,
    /// Number of tokens that fit into a server's KV cache.
    pub capacity_tokens: f64,
    /// The store of cached parts of this prompt, if it is available.
    pub store: Option<SocketAddr>,
    /// How long after newer weights were published requests may still start on older ones.
    pub max_stale_weights: Duration,
    /// Whether the request may be sent to another server if it hasn't begun.
    pub is_repeatable: bool,
    /// The build that began the stream, if it has begun.
    pub build: Option<build::Id>,
    /// The builds to which a stream may be sent that its caller might take up later.
    pub recorded: Option<&'a build::Record>,
    /// Servers that have declined or failed the request.
    pub excluded: &'a [pool::Id],
    /// Which of the other servers are compared.
    pub candidates: Candidates,
}

/// Which servers of a service are compared.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Candidates {
    /// All of them.
    All,
    /// Those that were heard of since this time.
    Responsive {
        /// When a server was heard of at the earliest.
        since: Time,
    },
    /// A random half of those.
    Sample {
        /// When a server was heard of at the earliest.
        since: Time,
    },
}

impl Candidates {
    /// Whether the server is compared.
    fn include(self, server: &Server, random: u64) -> bool {
        match self {
            Self::All => true,
            Self::Responsive { since } => server.last_heard().is_some_and(|it| since <= it),
            Self::Sample { since } => {
                Self::Responsive { since }.include(server, random)
                    && hash::weight(&server.name, random) & 1 == 0
            }
        }
    }
}

/// Which data centres are searched for servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reach {
    /// Only this instance's: in a large fleet, what instances in other data centres send isn't
    /// known.
    Local,
    /// All of them.
    All,
    /// All of them, though what is sent to servers in other data centres isn't known.
    Spillover,
}

/// The chosen server and what is expected of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The server.
    pub server: pool::Id,
    /// The version of the server's weights, for prompts.
    pub weights: Option<u64>,
    /// Prompt tokens that the server has to prefill, as far as known.
    pub uncached_tokens: u32,
    /// Prompt tokens that are added to the server's KV cache, prefilled or fetched.
    pub added_tokens: u32,
    /// Expected time until prefill starts, ms.
    pub wait_ms: f64,
    /// The work until the answer is complete.
    pub work: Work,
    /// How much too late a prompt's caller would be served, or those behind it; zero if all are served in time.
    pub excess: Duration,
    /// The factor by which work takes longer there than the service's estimate.
    pub pace: f64,
    /// The score, ms; the lowest wins.
    pub score: f64,
    /// Where to fetch cached parts from: another server, or the store of cached parts.
    pub fetch_from: Option<SocketAddr>,
    /// The store to which shared parts are saved that are prefilled for the first time.
    pub save_to: Option<SocketAddr>,
    /// Number of servers that were compared.
    pub candidates: u32,
}

impl Choice {
    /// The announcement to other instances of a prompt of `parts` that was sent to the chosen
    /// `server`.
    pub fn placement(
        &self,
        server: &Server,
        parts: &[Part],
        cache_owner: Option<&str>,
    ) -> Placement {
        Placement {
            server: server.name.clone(),
            incarnation: server.incarnation,
            scope: cache_scope_id(self.weights, cache_owner),
            parts: shared_parts(parts).to_vec(),
            added_tokens: self.added_tokens,
            uncached_tokens: self.uncached_tokens,
        }
    }

    /// Expected time until prefill starts.
    pub fn wait(&self) -> Duration {
        Duration::from_secs_f64(self.wait_ms / 1e3)
    }
}

/// Why no server can take a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shortage {
    /// No server is listed.
    NoServer,
    /// All listed servers are draining.
    Draining,
    /// No server of the build that began the stream is listed.
    NoBuild,
    /// All servers are ejected or loading weights.
    NoneReady,
    /// All servers have weights that are too stale.
    StaleWeights,
    /// The servers that could take it want no requests for a while.
    BackedOff {
        /// Time until the first of them may be sent requests again.
        after: Duration,
    },
    /// The servers that could take it have reached their rate limits.
    Limited {
        /// Time until one of them may take another request.
        after: Duration,
    },
    /// The servers that could take it might fall over if they had to reject more requests.
    Overloaded {
        /// Time until one of them may be sent another request.
        after: Duration,
    },
}

/// Chooses a server: the best of those that would serve the caller in time, else the best of all; `random` breaks ties.
///
/// Instances announce to each other what they send, so that each knows which server has cached
/// which shared parts. A part that no server has cached has an owner: the server that rendezvous
/// hashing selects among those with the newest weights, which is the same for all instances without
/// coordination.
pub fn choose(
    pool: &Pool,
    prefixes: &PrefixIndex,
    now: Time,
    criteria: &Criteria<'_>,
    random: u64,
) -> Result<Choice, Shortage> {
    let versions = criteria.model.and_then(|it| pool.weight_versions(it));
    let mut shortage = match criteria.build {
        Some(_) => Shortage::NoBuild,
        None => Shortage::NoServer,
    };
    let mut ready = Vec::new();
    let mut backed_off_until = None;
    for (id, server) in pool.usable(criteria.service) {
        if criteria.reach == Reach::Local && *server.centre != *criteria.centre {
            continue;
        }
        if criteria.build.is_some_and(|it| it != server.build_id) {
            continue;
        }
        if criteria.recorded.is_some_and(|it| !it.contains(server.recorded_build())) {
            continue;
        }
        let availability = server.check(now);
        if let Err(Unavailability::BackedOff { until }) = availability {
            backed_off_until = Some(backed_off_until.map_or(until, |it: Time| it.min(until)));
            continue;
        }
        let is_admitted = || server.backoff.admits(now, || hash::weight(&server.name, random));
        let is_included =
            || criteria.candidates.include(server, random) && !criteria.excluded.contains(&id);
        if availability.is_err() || !is_included() || !is_admitted() {
            shortage = Shortage::NoneReady;
            continue;
        }
        let weights = criteria.model.and_then(|it| server.version(it));
        let margin = match criteria.is_repeatable {
            true => STALE_START_LEAD,
            false => STALE_WEIGHTS_MARGIN,
        };
        let usable_for = criteria.max_stale_weights.saturating_sub(margin);
        match staleness_price_ms(now, versions, weights, usable_for) {
            Some(staleness_ms) => {
                let begin_by = begin_by(versions, weights, criteria.max_stale_weights);
                let scope = cache_scope_id(weights, criteria.cache_owner);
                let cached = prefixes.prefix(
                    pool,
                    shared_parts(criteria.parts),
                    scope,
                    id,
                    criteria.capacity_tokens,
                );
                ready.push(Candidate { id, server, weights, staleness_ms, begin_by, cached });
            }
            None => shortage = Shortage::StaleWeights,
        }
    }
    let prompt = Prompt {
        total_tokens: criteria.parts.iter().map(|it| it.tokens).sum(),
        shared_tokens: shared_parts(criteria.parts).iter().map(|it| it.tokens).sum(),
        owner: owner(criteria, &ready),
        cost: pool.cost(criteria.service),
    };
    let sources: Vec<&Candidate<'_>> = ready.iter().filter(|it| 0 < it.cached.tokens).collect();
    // Servers at their rate limit can't run the request, but the parts they have cached can be
    // fetched.
    let available: Vec<_> = ready.iter().filter(|it| !it.server.limit.is_closed(now)).collect();
    let start_delay = pool.start_delay(criteria.service);
    let evaluated = available.iter().filter_map(|it| {
        let choice = evaluate(now, criteria, &prompt, it, &sources, random);
        let begins_at = now + choice.work.first_token + start_delay;
        let is_in_time = it.begin_by.is_none_or(|by| begins_at <= by);
        is_in_time.then_some(choice)
    });
    let is_late = |it: &Choice| !it.excess.is_zero();
    let order =
        |a: &Choice, b: &Choice| is_late(a).cmp(&is_late(b)).then(a.score.total_cmp(&b.score));
    let best = evaluated.min_by(order);
    best.map(|it| Choice { candidates: available.len() as u32, ..it }).ok_or_else(|| {
        let opens_at = ready.iter().map(|it| it.server.limit.opens_at()).min();
        match opens_at {
            Some(_) if !available.is_empty() => Shortage::StaleWeights,
            Some(at) => {
                let at = backed_off_until.map_or(at, |it| it.min(at));
                let after = at.since(now);
                let is_limited = |it: &Candidate<'_>| it.server.limit.per_second().is_some();
                match ready.iter().any(is_limited) {
                    true => Shortage::Limited { after },
                    false => Shortage::Overloaded { after },
                }
            }
            None if let Some(until) = backed_off_until
                && matches!(shortage, Shortage::NoServer | Shortage::NoBuild) =>
            {
                Shortage::BackedOff { after: until.since(now) }
            }
            None if shortage == Shortage::NoServer && pool.all_drain(criteria.service) => {
                Shortage::Draining
            }
            None => shortage,
        }
    })
}

/// What is the same for all candidates.
struct Prompt {
    /// Number of its tokens.
    total_tokens: u32,
    /// Number of tokens that other requests share.
    shared_tokens: u32,
    /// The server that prefills parts which no server has cached.
    owner: Option<pool::Id>,
    /// The cost of prompts at the service's engines.
    cost: Estimate,
}

/// A server that could run the request.
struct Candidate<'a> {
    id: pool::Id,
    server: &'a Server,
    weights: Option<u64>,
    staleness_ms: f64,
    /// When the request has to have begun, if the weights were replaced.
    begin_by: Option<Time>,
    cached: Prefix,
}

/// Identifies a prompt's shared prefix: the id of its last shared part.
pub(crate) fn prefix_key(parts: &[Part]) -> Option<u64> {
    shared_parts(parts).last().map(|it| it.id)
}

/// The server that prefills parts which no server has cached. Never a server with a rate limit, as
/// requests that share the parts would soon have to go elsewhere.
fn owner(criteria: &Criteria<'_>, ready: &[Candidate<'_>]) -> Option<pool::Id> {
    let key = prefix_key(criteria.parts)?;
    let newest = ready.iter().map(|it| it.weights).max()?;
    let is_unlimited = |it: &&Candidate<'_>| it.server.limit.per_second().is_none();
    let current = ready.iter().filter(|it| it.weights == newest).filter(is_unlimited);
    current.max_by_key(|it| hash::weight(&it.server.name, key)).map(|it| it.id)
}

fn evaluate(
    now: Time,
    criteria: &Criteria<'_>,
    prompt: &Prompt,
    candidate: &Candidate<'_>,
    sources: &[&Candidate<'_>],
    random: u64,
) -> Choice {
    let Prompt { total_tokens, shared_tokens, .. } = *prompt;
    let Candidate { id, server, weights, staleness_ms, cached, .. } = *candidate;
    let pace = server.pace.factor(now);
    let cost = prompt.cost.at_pace(pace);
    let cached_elsewhere = cached_elsewhere(candidate, sources);
    let fetch = fetch(now, criteria, candidate, sources);
    let uncached_tokens = total_tokens - cached.tokens - fetch.tokens;
    let wait_ms = expected_wait_ms(now, server, &cost, load_stale_ms(criteria, server))
        .max(prefill_share_wait_ms(now, criteria, server));
    let prefilled_ms = wait_ms + fetch.ms + cost.prefill_ms(uncached_tokens);
    let first_token_ms = prefilled_ms + cost.response_ms();
    let work = Work {
        first_token: Duration::from_secs_f64(first_token_ms / 1e3),
        delay: criteria.delay,
        generation: criteria.generation.mul_f64(pace),
    };
    let is_estimated = criteria.model.is_some() && !is_untested(now, server, wait_ms, criteria);
    let excess = match is_estimated {
        true => {
            let own = criteria.deadline.excess(now, work);
            own.max(excess_behind(criteria.shortest_patience, wait_ms, uncached_tokens, &cost))
        }
        false => Duration::ZERO,
    };
    let lateness_ms = lateness_price_ms(first_token_ms, criteria.latency_target);
    let shared_parts_ms =
        shared_parts_price_ms(criteria, prompt, candidate, cached_elsewhere, fetch.tokens);
    let transfer_kb = OVERHEAD_KB + KB_PER_TOKEN * f64::from(total_tokens);
    let cross_centre_ms =
        if *server.centre == *criteria.centre { 0.0 } else { CROSS_CENTRE_MS_PER_KB * transfer_kb };
    let suspect_ms = match criteria.is_suspect {
        true => {
            SUSPECT_PER_REQUEST_MS * running_requests(now, server, load_stale_ms(criteria, server))
        }
        false => 0.0,
    };
    let backed_off_ms =
        match server.backoff.is_last_choice(now, || hash::weight(&server.name, random)) {
            true => BACKED_OFF_ELSEWHERE_PRICE_MS,
            false => 0.0,
        };
    let tie_break_ms = (random.rotate_left(id as u32 % 64) & 0xff) as f64 / 256.0;
    // Parts that a server is expected to have cached may have been evicted: asking the store costs
    // a millisecond, recomputing the parts a hundred.
    let store = criteria.store.filter(|_| MIN_STORED_TOKENS <= shared_tokens);
    Choice {
        server: id,
        weights,
        uncached_tokens,
        added_tokens: total_tokens - cached.tokens,
        wait_ms,
        work,
        excess,
        pace,
        score: prefilled_ms
            + lateness_ms
            + shared_parts_ms
            + staleness_ms
            + cross_centre_ms
            + suspect_ms
            + backed_off_ms
            + tie_break_ms,
        fetch_from: fetch.from.or(store),
        save_to: store.filter(|_| cached_elsewhere.max(cached.tokens) < shared_tokens),
        candidates: 0,
    }
}

/// Whether an idle server has brought no first token for as long as the caller waits for one. It gets the prompt
/// whatever is expected, as only an answer can correct an estimate that is too long.
fn is_untested(now: Time, server: &Server, wait_ms: f64, criteria: &Criteria<'_>) -> bool {
    let patience = criteria.deadline.time_for_first_token(now, criteria.generation);
    wait_ms <= 0.0 && server.last_wait.is_none_or(|it| patience <= now.since(it.1))
}

/// How much too late a short prompt would begin that is sent to the server after one with `uncached_tokens`, which waits
/// for `wait_ms`, if its caller waits `patience`.
///
/// Guards against long prompts whose callers wait long, and which leave short ones no time: a queue that they bear is
/// one in which all others are refused or cut.
fn excess_behind(
    patience: Duration,
    wait_ms: f64,
    uncached_tokens: u32,
    cost: &Estimate,
) -> Duration {
    // However long a prompt is, it may begin where the queue is no longer than half of what others bear.
    let occupancy = Duration::from_secs_f64(cost.occupancy_ms(uncached_tokens) / 1e3);
    let queued = Duration::from_secs_f64((wait_ms + cost.response_ms()).max(0.0) / 1e3);
    (queued + occupancy.min(patience / 2)).saturating_sub(patience)
}

/// The other servers whose cached parts the candidate could use.
fn other_sources<'a>(
    candidate: &'a Candidate<'_>,
    sources: &'a [&'a Candidate<'a>],
) -> impl Iterator<Item = &'a &'a Candidate<'a>> {
    sources.iter().filter(|it| it.id != candidate.id && it.weights == candidate.weights)
}

/// Shared tokens that some other server has cached.
fn cached_elsewhere(candidate: &Candidate<'_>, sources: &[&Candidate<'_>]) -> u32 {
    other_sources(candidate, sources).map(|it| it.cached.tokens).max().unwrap_or(0)
}

/// What a candidate would fetch from another server.
struct Fetch {
    from: Option<SocketAddr>,
    tokens: u32,
    /// Duration of the fetch, ms.
    ms: f64,
}

fn fetch(
    now: Time,
    criteria: &Criteria<'_>,
    candidate: &Candidate<'_>,
    sources: &[&Candidate<'_>],
) -> Fetch {
    let Candidate { server, cached, .. } = candidate;
    // Parts that another server is still prefilling can't be fetched yet.
    let source = other_sources(candidate, sources)
        .filter(|it| {
            cached.tokens + MIN_FETCHED_TOKENS <= it.cached.tokens && it.cached.ready_at <= now
        })
        .filter(|it| !it.cached.is_uncertain || criteria.store.is_none())
        .max_by_key(|it| (it.cached.tokens, it.server.centre == server.centre));
    let Some(source) = source else { return Fetch { from: None, tokens: 0, ms: 0.0 } };
    let distance_factor =
        if source.server.centre == server.centre { 1.0 } else { CROSS_CENTRE_FETCH_FACTOR };
    let tokens = source.cached.tokens - cached.tokens;
    let ms = distance_factor * criteria.fetch_ms_per_token * f64::from(tokens);
    Fetch { from: Some(source.server.address), tokens, ms }
}

/// Price for other requests that share the prompt's parts of running it at `candidate`, ms.
fn shared_parts_price_ms(
    criteria: &Criteria<'_>,
    prompt: &Prompt,
    candidate: &Candidate<'_>,
    cached_elsewhere: u32,
    fetched_tokens: u32,
) -> f64 {
    let cached = candidate.cached.tokens;
    let recomputed = cached_elsewhere.saturating_sub(cached + fetched_tokens);
    let is_cached = 0 < cached_elsewhere.max(cached);
    let is_not_owner =
        !is_cached && prompt.owner != Some(candidate.id) && !criteria.parts.is_empty();
    let not_owner_ms = if is_not_owner { NOT_OWNER_MS } else { 0.0 };
    let cost = &prompt.cost;
    TRANSFER_PRICE * cost.prefill_ms(fetched_tokens)
        + RECOMPUTE_PRICE * cost.prefill_ms(recomputed)
        + not_owner_ms
}

/// The parts that other requests share: all but the last one.
pub(crate) fn shared_parts(parts: &[Part]) -> &[Part] {
    parts.split_last().map_or(&[], |it| it.1)
}

/// Age at which the server's load report counts for nothing, ms.
///
/// Guards against a stampede: instances that have lost their own servers all turn to the same ones
/// elsewhere and, a moment after the last report, take their queues for empty. A few servers would
/// get queues of over a second, in which requests wait whose callers have given up.
fn load_stale_ms(criteria: &Criteria<'_>, server: &Server) -> f64 {
    let is_unobserved = criteria.reach == Reach::Spillover && *server.centre != *criteria.centre;
    if is_unobserved { SPILLOVER_LOAD_STALE_MS } else { LOAD_STALE_MS }
}

/// Expected time until the server starts a request, ms: the longest of what is known to have been
/// sent there, what its load report says, and what the last prompts have waited there.
///
/// The last one guards against a queue that is seen nowhere else: prompts that are preempted, or
/// don't fit into the KV cache, wait although everything sent could have been prefilled. Answers
/// would be late by seconds at servers that seem idle, for as long as the load lasts.
fn expected_wait_ms(now: Time, server: &Server, cost: &Estimate, load_stale_ms: f64) -> f64 {
    let freshness = |at: Time| (1.0 - now.since(at).as_secs_f64() * 1e3 / load_stale_ms).max(0.0);
    let queued_ms = server.backlog.busy_until.since(now).as_secs_f64() * 1e3;
    let last_wait_ms = server.last_wait.map_or(0.0, |it| f64::from(it.0) * freshness(it.1));
    let load = server.load.unwrap_or_default();
    let reported_ms = f64::from(load.0.waiting) * cost.mean_occupancy_ms() * freshness(load.1);
    queued_ms.max(reported_ms).max(last_wait_ms)
        + running_requests(now, server, load_stale_ms) * RUNNING_REQUEST_MS
}

/// Requests that run at the server, as far as known.
fn running_requests(now: Time, server: &Server, load_stale_ms: f64) -> f64 {
    let (load, at) = server.load.unwrap_or_default();
    let freshness = (1.0 - now.since(at).as_secs_f64() * 1e3 / load_stale_ms).max(0.0);
    (f64::from(load.running) * freshness).max(f64::from(server.inflight))
}

/// How long a prompt has to be held back from the server so that running responses get their share
/// of its time, ms.
///
/// Guards against saturation in which responses are cut at their deadline: queues that are
/// prefilled as fast as they grow are short, and so aren't avoided, while no time is left for the
/// running responses. Beyond a short queue, prompts go to servers that have prefilled less, and
/// long ones are refused.
fn prefill_share_wait_ms(now: Time, criteria: &Criteria<'_>, server: &Server) -> f64 {
    let backlog_ms = server.backlog.share_until.since(now).as_secs_f64() * 1e3;
    backlog_ms - SHORT_QUEUE_FRACTION * criteria.shortest_patience.as_secs_f64() * 1e3
}

/// Price of a response that is expected to begin after `first_token_ms`: nothing while that is well
/// within the latency target, and growing up to it.
fn lateness_price_ms(first_token_ms: f64, latency_target: Duration) -> f64 {
    let fraction = first_token_ms / (latency_target.as_secs_f64() * 1e3).max(1.0);
    LATE_PRICE_MS * ((fraction - LATE_FROM_FRACTION) / (1.0 - LATE_FROM_FRACTION)).clamp(0.0, 1.0)
}

/// Price of the weights' staleness, ms, or `None` when they were replaced longer ago than `usable_for`.
fn staleness_price_ms(
    now: Time,
    versions: Option<&Versions>,
    weights: Option<u64>,
    usable_for: Duration,
) -> Option<f64> {
    let currency = weights.and_then(|it| Some(versions?.currency(it)));
    match currency.unwrap_or(Currency::Newest) {
        Currency::Newest => Some(0.0),
        Currency::Outdated => None,
        Currency::Replaced(at) if usable_for <= now.since(at) => None,
        Currency::Replaced(_) => Some(REPLACED_WEIGHTS_PRICE_MS),
    }
}

/// When a request on these weights has to have begun at the latest; `None` if they are the newest, and as long as it
/// isn't known when they were replaced.
pub(crate) fn begin_by(
    versions: Option<&Versions>,
    weights: Option<u64>,
    max_stale: Duration,
) -> Option<Time> {
    match versions?.currency(weights?) {
        Currency::Replaced(at) => Some(at + max_stale.saturating_sub(STALE_START_LEAD)),
        Currency::Newest | Currency::Outdated => None,
    }
}

/// Scope within which cached prompts are shared: the weights and, for organisations that share
/// their cached prompts with no other, the organisation.
pub fn cache_scope_id(weights: Option<u64>, cache_owner: Option<&str>) -> u64 {
    hash::seeded(cache_owner.unwrap_or_default().as_bytes(), weights.unwrap_or_default())
}
