//! `shallotlead standin platform`.

use std::{net::SocketAddr, time::Duration};

use gumdrop::Options;
use shallotlead_standin::platform::{self, Settings};

use crate::command::{Failure, standin};

/// Arguments of the stand-in.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "where to listen", meta = "IP:PORT", default = "127.0.0.1:7200")]
    address: SocketAddr,
    #[options(help = "reads a second, each waiting watch as one", meta = "N", default = "2000")]
    reads: f64,
    #[options(help = "writes a second", meta = "N", default = "400")]
    writes: f64,
    #[options(help = "time of each call in ms", meta = "N", default = "2")]
    latency_ms: u64,
    #[options(help = "share of writes whose answer is lost", meta = "0..1", default = "0")]
    lose: f64,
}

/// Runs a platform.
pub(crate) fn run(arguments: Arguments) -> Result<(), Failure> {
    let address = arguments.address;
    let settings = Settings {
        address,
        reads_per_second: arguments.reads,
        writes_per_second: arguments.writes,
        latency: Duration::from_millis(arguments.latency_ms),
        ..Settings::default()
    };
    let handle = platform::bind(settings).map_err(|it| standin::bind_failed(address, &it))?;
    handle.lose_share(arguments.lose);
    standin::serve("platform", handle.address(), handle)
}
