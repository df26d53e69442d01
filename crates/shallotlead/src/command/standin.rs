//! `shallotlead standin`: stand-ins as processes of their own.

mod engine;
mod kv;
mod list;
mod platform;
mod service;
mod weights;

use std::{io, net::SocketAddr, thread};

use gumdrop::Options;

use crate::command::Failure;

/// Arguments of the subcommand.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "the platform's object API")]
    Platform(platform::Arguments),
    #[options(help = "the platform's list of instances")]
    List(list::Arguments),
    #[options(help = "a model engine")]
    Engine(engine::Arguments),
    #[options(help = "a plain service")]
    Service(service::Arguments),
    #[options(help = "the store for kept KV cache")]
    Kv(kv::Arguments),
    #[options(help = "the weight store")]
    Weights(weights::Arguments),
}

/// Runs until the process is ended.
pub(crate) fn run(arguments: Arguments) -> Result<(), Failure> {
    let Some(command) = arguments.command else {
        let list = Arguments::command_list().unwrap_or_default();
        return Err(Failure::Usage(format!("name the stand-in to run:\n{list}")));
    };
    match command {
        Command::Platform(it) => platform::run(it),
        Command::List(it) => list::run(it),
        Command::Engine(it) => engine::run(it),
        Command::Service(it) => service::run(it),
        Command::Kv(it) => kv::run(it),
        Command::Weights(it) => weights::run(it),
    }
}

/// Says where a stand-in listens, and keeps `handle` until the process is ended.
fn serve<T>(what: &str, address: SocketAddr, handle: T) -> Result<(), Failure> {
    println!("{what} stand-in listens on {address}");
    loop {
        thread::park();
        // Parking may end without a reason; the handle must live on.
        let _ = &handle;
    }
}

fn bind_failed(address: SocketAddr, cause: &io::Error) -> Failure {
    Failure::Failed(format!("{address} cannot be bound: {cause}"))
}
