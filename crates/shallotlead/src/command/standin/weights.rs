//! `shallotlead standin weights`.

use std::{net::SocketAddr, time::Duration};

use gumdrop::Options;
use shallotlead_standin::weights::{self, Settings};

use crate::command::{Failure, standin};

/// Arguments of the stand-in.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "where to listen", meta = "IP:PORT", default = "127.0.0.1:7601")]
    address: SocketAddr,
    #[options(help = "servers that can load together at full speed", meta = "N", default = "2")]
    concurrency: u32,
    #[options(help = "time of one load in ms", meta = "N", default = "2000")]
    duration_ms: u64,
}

/// Runs a weight store.
pub(crate) fn run(arguments: Arguments) -> Result<(), Failure> {
    let address = arguments.address;
    let settings = Settings {
        address,
        concurrency: arguments.concurrency,
        duration: Duration::from_millis(arguments.duration_ms),
        ..Settings::default()
    };
    let handle = weights::bind(settings).map_err(|it| standin::bind_failed(address, &it))?;
    standin::serve("weights", handle.address(), handle)
}
