//! `shallotlead standin list`.

use std::{net::SocketAddr, time::Duration};

use gumdrop::Options;
use shallotlead_standin::list::{self, Instance, Settings, State};

use crate::command::{Failure, standin};

/// Arguments of the stand-in.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "where to listen", meta = "IP:PORT", default = "127.0.0.1:7201")]
    address: SocketAddr,
    #[options(help = "how long a change takes to show, in ms", meta = "N", default = "10000")]
    lag_ms: u64,
    #[options(
        help = "an instance listed from the start; may be repeated",
        meta = "NAME,CENTRE,REGION,IP:PORT,PEER-IP:PORT",
        no_short
    )]
    instance: Vec<String>,
}

/// Runs a list of instances.
pub(crate) fn run(arguments: Arguments) -> Result<(), Failure> {
    let address = arguments.address;
    let instances: Result<_, _> = arguments.instance.iter().map(|it| parse(it)).collect();
    let lag = Duration::from_millis(arguments.lag_ms);
    let settings = Settings { address, lag, instances: instances? };
    let handle = list::bind(settings).map_err(|it| standin::bind_failed(address, &it))?;
    standin::serve("list", handle.address(), handle)
}

fn parse(text: &str) -> Result<Instance, Failure> {
    let wrong =
        || Failure::Usage(format!("expected NAME,CENTRE,REGION,IP:PORT,PEER-IP:PORT, got {text}"));
    let fields: Vec<&str> = text.split(',').collect();
    let [name, centre, region, address, peer] = fields.as_slice() else { return Err(wrong()) };
    Ok(Instance {
        name: (*name).to_owned(),
        centre: (*centre).to_owned(),
        region: (*region).to_owned(),
        address: address.parse().map_err(|_| wrong())?,
        peer: peer.parse().map_err(|_| wrong())?,
        state: State::Live,
    })
}
