//! `shallotlead standin engine`.

use std::{net::SocketAddr, time::Duration};

use gumdrop::Options;
use shallotlead_standin::engine::{self, Settings};

use crate::command::{Failure, standin};

/// Arguments of the stand-in.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "where to listen", meta = "IP:PORT", default = "127.0.0.1:7301")]
    address: SocketAddr,
    #[options(help = "its name", meta = "NAME", default = "engine")]
    name: String,
    #[options(help = "the model that it serves", meta = "NAME", default = "m")]
    model: String,
    #[options(help = "version of the weights", meta = "N", default = "1")]
    weights: u64,
    #[options(help = "which life of the engine this is", meta = "N", default = "1")]
    incarnation: u64,
    #[options(help = "blocks that its memory holds", meta = "N", default = "1000", no_short)]
    cache_blocks: u32,
    #[options(help = "most requests that run together", meta = "N", default = "16", no_short)]
    max_running: usize,
    #[options(
        help = "how much faster than usual it computes",
        meta = "X",
        default = "1",
        no_short
    )]
    scale: f64,
    #[options(
        help = "share of cache events that get lost",
        meta = "0..1",
        default = "0",
        no_short
    )]
    event_loss: f64,
    #[options(help = "lag of load reports in ms", meta = "N", default = "500", no_short)]
    load_lag_ms: u64,
    #[options(help = "obey orders with an old fencing number", no_short)]
    ignore_fence: bool,
    #[options(help = "the store for kept KV cache", meta = "IP:PORT", no_short)]
    kv: Option<SocketAddr>,
    #[options(help = "the weight store", meta = "IP:PORT", no_short)]
    weight_store: Option<SocketAddr>,
}

/// Runs a model engine.
pub(crate) fn run(arguments: Arguments) -> Result<(), Failure> {
    let address = arguments.address;
    if !(arguments.scale.is_finite() && 0.0 < arguments.scale) {
        return Err(Failure::Usage("--scale must be above 0".to_owned()));
    }
    let settings = Settings {
        address,
        name: arguments.name,
        model: arguments.model,
        weights: arguments.weights,
        incarnation: arguments.incarnation,
        cache_blocks: arguments.cache_blocks,
        max_running: arguments.max_running,
        scale: arguments.scale,
        event_loss: arguments.event_loss,
        load_lag: Duration::from_millis(arguments.load_lag_ms),
        checks_fence: !arguments.ignore_fence,
        kv: arguments.kv,
        weight_store: arguments.weight_store,
        ..Settings::default()
    };
    let handle = engine::bind(settings).map_err(|it| standin::bind_failed(address, &it))?;
    standin::serve("engine", handle.address(), handle)
}
