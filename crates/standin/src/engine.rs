//! A model engine: continuous batching, a prefix cache, and the platform's extras.

mod answer;
mod api;
mod batch;
mod cache;
mod events;
mod generate;
mod obey;
mod orders;
mod text;
mod transfer;

use std::{
    collections::VecDeque,
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use serde::Serialize;
use tokio::{
    sync::{Notify, oneshot, watch},
    time::Instant,
};

use crate::{
    engine::{
        batch::{Batch, Load},
        cache::Origin,
    },
    fault::Fault,
    http::{self, Reply, Server},
    report::Lagged,
};

pub use crate::{
    engine::{
        batch::{End, Run},
        orders::{Kind, Order},
        text::{Endpoint, answer},
    },
    fault::Mode,
};

/// How to run an engine. Times of computing are divided by `scale`.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where it listens; port 0 takes a free one.
    pub address: SocketAddr,
    /// Its name, for the weight store's log.
    pub name: String,
    /// The model that it serves from the start.
    pub model: String,
    /// Version of the model's weights.
    pub weights: u64,
    /// Which life this is.
    pub incarnation: u64,
    /// Its role: `mixed`, `prefill` or `decode`.
    pub role: String,
    /// Blocks that its memory holds.
    pub cache_blocks: u32,
    /// Tokens of one block.
    pub block_tokens: u32,
    /// Most requests that run together.
    pub max_running: usize,
    /// Most prompt tokens computed in one step.
    pub prefill_chunk: u32,
    /// Time to compute one prompt token.
    pub prefill_per_token: Duration,
    /// Time of a step that generates tokens.
    pub decode_step: Duration,
    /// Time that each stream adds to such a step.
    pub decode_per_stream: Duration,
    /// Time to move one token's KV cache to or from the KV store.
    pub transfer_per_token: Duration,
    /// Time to load weights when there is no weight store.
    pub load_time: Duration,
    /// How much faster than said it computes.
    pub scale: f64,
    /// How long a load report lags.
    pub load_lag: Duration,
    /// How long a cache event takes to show.
    pub event_delay: Duration,
    /// Share of cache events that get lost, 0 to 1.
    pub event_loss: f64,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fence: bool,
    /// The store for kept KV cache.
    pub kv: Option<SocketAddr>,
    /// The weight store.
    pub weight_store: Option<SocketAddr>,
    /// Seed of the losses.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            name: "engine".to_owned(),
            model: "m".to_owned(),
            weights: 1,
            incarnation: 1,
            role: "mixed".to_owned(),
            cache_blocks: 1_000,
            block_tokens: 64,
            max_running: 16,
            prefill_chunk: 512,
            prefill_per_token: Duration::from_micros(100),
            decode_step: Duration::from_millis(20),
            decode_per_stream: Duration::from_micros(500),
            transfer_per_token: Duration::from_micros(10),
            load_time: Duration::from_secs(2),
            scale: 1.0,
            load_lag: Duration::from_millis(500),
            event_delay: Duration::from_millis(100),
            event_loss: 0.0,
            checks_fence: true,
            kv: None,
            weight_store: None,
            seed: 0,
        }
    }
}

/// Starts an engine.
///
/// # Errors
/// The address can't be bound.
pub fn bind(settings: Settings) -> io::Result<Handle> {
    let engine = Arc::new(Engine {
        incarnation: AtomicU64::new(settings.incarnation),
        state: Mutex::new(State::new(&settings)),
        work: Notify::new(),
        held: watch::Sender::new(false),
        hold_at: AtomicU32::new(u32::MAX),
        report: Lagged::new(settings.load_lag),
        fault: Fault::default(),
        cuts: Mutex::default(),
        cross: Mutex::default(),
        refuse: AtomicU32::new(0),
        settings,
    });
    let server = Server::bind(engine.settings.address, Arc::clone(&engine))?;
    let handle = Handle { server, engine };
    handle.spawn_tasks();
    Ok(handle)
}

/// Where to cut the next request's connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cut {
    /// Before anything runs.
    BeforeRun,
    /// After this many tokens of the answer; 0: after the answer's head. A whole answer is cut
    /// after it ran.
    AfterTokens(u32),
    /// After the last token, before the end marker.
    BeforeDone,
}

/// A running engine. Its run log and orders outlive crashes.
#[derive(Debug)]
pub struct Handle {
    server: Server,
    engine: Arc<Engine>,
}

impl Handle {
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The present life.
    pub fn incarnation(&self) -> u64 {
        self.engine.incarnation.load(Ordering::SeqCst)
    }

    /// Sets how calls are treated.
    pub fn set_mode(&self, mode: Mode) {
        self.engine.fault.set_mode(mode);
    }

    /// Makes each call take `delay` more.
    pub fn set_delay(&self, delay: Duration) {
        self.engine.fault.set_delay(delay);
    }

    /// Sets the share of cache events that get lost from now on.
    pub fn set_event_loss(&self, share: f64) {
        http::lock(&self.engine.state).events.loss = share;
    }

    /// Sets how long a cache event takes to show.
    pub fn set_event_delay(&self, delay: Duration) {
        http::lock(&self.engine.state).events.delay = delay;
    }

    /// Cuts the connection of the next request that isn't planned to be cut yet.
    pub fn cut_next(&self, cut: Cut) {
        http::lock(&self.engine.cuts).push_back(cut);
    }

    /// Exchanges the answers of the next two requests.
    pub fn cross_next(&self) {
        *http::lock(&self.engine.cross) = Some(Cross::Armed);
    }

    /// Refuses the next `count` requests, truthfully saying that nothing ran.
    pub fn refuse_next(&self, count: u32) {
        self.engine.refuse.store(count, Ordering::SeqCst);
    }

    /// Stops computing: requests are taken, and nothing moves until [`Handle::release`].
    pub fn hold(&self) {
        self.engine.held.send_replace(true);
    }

    /// Stops computing once a request has that many tokens of its answer, until [`Handle::release`].
    pub fn hold_at(&self, tokens: u32) {
        self.engine.hold_at.store(tokens, Ordering::SeqCst);
    }

    /// Computes again.
    pub fn release(&self) {
        self.engine.hold_at.store(u32::MAX, Ordering::SeqCst);
        self.engine.held.send_replace(false);
    }

    /// Says in its health that it leaves. It still takes requests: that none come is the router's
    /// work.
    pub fn leave(&self) {
        http::lock(&self.engine.state).phase = Phase::Leaving;
    }

    /// Crashes: cuts all connections, and loses its work and cache.
    pub fn kill(&self) {
        self.server.kill();
        http::lock(&self.engine.state).batch.crash();
    }

    /// Begins the next life on the same address, with an empty cache.
    ///
    /// # Errors
    /// The address can't be bound.
    pub fn restart(&self) -> io::Result<()> {
        self.kill();
        self.engine.incarnation.fetch_add(1, Ordering::SeqCst);
        http::lock(&self.engine.state).restart();
        self.server.rebind(Arc::clone(&self.engine))?;
        self.spawn_tasks();
        Ok(())
    }

    /// All requests that ran, oldest first.
    pub fn runs(&self) -> Vec<Run> {
        http::lock(&self.engine.state).batch.runs.clone()
    }

    /// Empties the run log, if nothing runs.
    pub fn forget_runs(&self) {
        let mut state = http::lock(&self.engine.state);
        if state.batch.is_idle() {
            state.batch.runs.clear();
        }
    }

    /// Requests that run now.
    pub fn running(&self) -> usize {
        http::lock(&self.engine.state).batch.load(&self.engine.settings).running
    }

    /// Requests that wait now.
    pub fn waiting(&self) -> usize {
        http::lock(&self.engine.state).batch.load(&self.engine.settings).waiting
    }

    /// Whether a block is cached.
    pub fn holds(&self, block: u64) -> bool {
        http::lock(&self.engine.state).batch.cache.holds(block)
    }

    /// Model, version of its weights, and role.
    pub fn serves(&self) -> (String, u64, String) {
        let state = http::lock(&self.engine.state);
        (state.model.clone(), state.weights, state.role.clone())
    }

    /// Accepted orders, oldest first.
    pub fn orders(&self) -> Vec<Order> {
        http::lock(&self.engine.state).orders.accepted.clone()
    }

    fn spawn_tasks(&self) {
        self.server.spawn(Arc::clone(&self.engine).compute());
        let engine = Arc::clone(&self.engine);
        self.server.spawn(async move {
            let load = || http::lock(&engine.state).batch.load(&engine.settings);
            engine.report.sample_forever(load).await;
        });
    }
}

#[derive(Debug)]
struct Engine {
    settings: Settings,
    incarnation: AtomicU64,
    state: Mutex<State>,
    /// Wakes the computing task when a request comes.
    work: Notify,
    held: watch::Sender<bool>,
    /// Tokens of an answer after which the engine stops computing.
    hold_at: AtomicU32,
    report: Lagged<Load>,
    fault: Fault,
    cuts: Mutex<VecDeque<Cut>>,
    cross: Mutex<Option<Cross>>,
    refuse: AtomicU32,
}

/// How far the exchange of two answers is.
#[derive(Debug)]
enum Cross {
    /// It waits for the first request.
    Armed,
    /// The first request is here.
    First { give: oneshot::Sender<Reply>, take: oneshot::Receiver<Reply> },
}

/// What the engine says of itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
enum Phase {
    Up,
    Loading,
    Leaving,
}

#[derive(Debug)]
struct State {
    phase: Phase,
    model: String,
    weights: u64,
    adapters: Vec<String>,
    role: String,
    batch: Batch,
    events: events::Log,
    orders: orders::Log,
}

impl State {
    fn new(settings: &Settings) -> Self {
        Self {
            phase: Phase::Up,
            model: settings.model.clone(),
            weights: settings.weights,
            adapters: Vec::new(),
            role: settings.role.clone(),
            batch: Batch::new(settings.cache_blocks),
            events: events::Log::new(settings.event_loss, settings.event_delay, settings.seed),
            orders: orders::Log::default(),
        }
    }

    fn restart(&mut self) {
        self.phase = Phase::Up;
        self.batch.crash();
        self.events.reset();
    }

    /// Moves the cache's changes into the event stream.
    fn publish(&mut self) {
        let events = self.batch.cache.take_events();
        self.events.push(events);
    }

    /// Puts an imported prefix into the cache, as far as there is room.
    fn take_imported(&mut self, chain: &[u64], origin: &Origin) {
        let cache = &mut self.batch.cache;
        let matched = cache.matched(chain);
        let missing = u32::try_from(chain.len() - matched).unwrap_or(u32::MAX);
        cache.pin(&chain[..matched]);
        if cache.reserve(missing) {
            for (depth, block) in (1..).zip(chain).skip(matched) {
                if !cache.store(*block, depth, origin) {
                    cache.release(1);
                }
            }
            cache.unpin(chain);
        } else {
            cache.unpin(&chain[..matched]);
        }
        self.publish();
    }
}

impl Engine {
    /// Computes step by step, as long as the engine lives.
    async fn compute(self: Arc<Self>) {
        let mut held = self.held.subscribe();
        let mut next = Instant::now();
        loop {
            // An error says that the sender is gone, and it lives as long as the engine.
            let _ = held.wait_for(|held| !held).await;
            let incarnation = self.incarnation.load(Ordering::SeqCst);
            let cost = {
                let mut state = http::lock(&self.state);
                let cost = state.batch.begin_step(incarnation, &self.settings);
                state.publish();
                cost
            };
            let Some(cost) = cost else {
                // Slow readers give no notice, so that idling is bounded.
                let _ = tokio::time::timeout(IDLE, self.work.notified()).await;
                next = Instant::now();
                continue;
            };
            // Steps may be shorter than the timer's grain: sleep to a point that advances by each
            // step's cost, and forget what a busy machine can't make up for.
            next = next.max(Instant::now() - CATCH_UP) + self.scaled(cost);
            tokio::time::sleep_until(next).await;
            let _ = held.wait_for(|held| !held).await;
            let mut state = http::lock(&self.state);
            let longest = state.batch.end_step();
            state.publish();
            if self.hold_at.load(Ordering::SeqCst) <= longest {
                self.held.send_replace(true);
            }
        }
    }

    fn scaled(&self, time: Duration) -> Duration {
        time.div_f64(self.settings.scale.max(f64::MIN_POSITIVE))
    }
}

/// Longest time until the engine looks for work by itself.
const IDLE: Duration = Duration::from_millis(5);
/// How much lost time a step may make up for.
const CATCH_UP: Duration = Duration::from_millis(20);
