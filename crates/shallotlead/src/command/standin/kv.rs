//! `shallotlead standin kv`.

use std::net::SocketAddr;

use gumdrop::Options;
use shallotlead_standin::kv::{self, Settings};

use crate::command::{Failure, standin};

/// Arguments of the stand-in.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "where to listen", meta = "IP:PORT", default = "127.0.0.1:7501")]
    address: SocketAddr,
    #[options(help = "tokens kept", meta = "N", default = "1000000")]
    capacity: u64,
}

/// Runs a store for kept KV cache.
pub(crate) fn run(arguments: Arguments) -> Result<(), Failure> {
    let address = arguments.address;
    let settings = Settings { address, capacity: arguments.capacity };
    let handle = kv::bind(settings).map_err(|it| standin::bind_failed(address, &it))?;
    standin::serve("kv", handle.address(), handle)
}
