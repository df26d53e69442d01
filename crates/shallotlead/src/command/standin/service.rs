//! `shallotlead standin service`.

use std::{net::SocketAddr, time::Duration};

use gumdrop::Options;
use shallotlead_standin::service::{self, Settings};

use crate::command::{Failure, standin};

/// Arguments of the stand-in.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "where to listen", meta = "IP:PORT", default = "127.0.0.1:7401")]
    address: SocketAddr,
    #[options(help = "its name", meta = "NAME", default = "service")]
    name: String,
    #[options(help = "which life of the server this is", meta = "N", default = "1")]
    incarnation: u64,
    #[options(help = "time of a call in ms", meta = "N", default = "5")]
    latency_ms: u64,
}

/// Runs a plain service.
pub(crate) fn run(arguments: Arguments) -> Result<(), Failure> {
    let address = arguments.address;
    let settings = Settings {
        address,
        name: arguments.name,
        incarnation: arguments.incarnation,
        latency: Duration::from_millis(arguments.latency_ms),
        ..Settings::default()
    };
    let handle = service::bind(settings).map_err(|it| standin::bind_failed(address, &it))?;
    standin::serve("service", handle.address(), handle)
}
