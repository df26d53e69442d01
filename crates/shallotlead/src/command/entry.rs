//! `shallotlead entry`: one entry instance as a process of its own.

use std::{path::PathBuf, process, thread};

use gumdrop::Options;
use shallotlead_entry::{daemon, logs, settings};
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};

use crate::command::Failure;

/// Arguments of the subcommand.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, meta = "FILE", help = "read the settings from this INI file")]
    settings: PathBuf,
    #[options(help = "check the settings and end")]
    check: bool,
}

/// Exit status when a second signal ends the process before its open work is done.
const CUT: i32 = 3;

/// Runs until a signal asks the process to leave and its open work is done.
pub(crate) fn run(arguments: Arguments) -> Result<(), Failure> {
    let settings = settings::open(&arguments.settings).map_err(failed)?;
    if arguments.check {
        println!("{}: valid", arguments.settings.display());
        return Ok(());
    }
    logs::open(&settings.log).map_err(failed)?;
    // Taken before the addresses are bound, so that a signal right after the start is not lost.
    let mut signals = Signals::new([SIGINT, SIGTERM]).map_err(failed)?;
    let instance = daemon::bind(settings).map_err(failed)?;
    println!("callers {} operators {}", instance.address(), instance.operators_address());
    signals.forever().next();
    thread::spawn(move || {
        signals.forever().next();
        log::warn!("second signal: open work is cut");
        process::exit(CUT);
    });
    instance.shutdown();
    Ok(())
}

fn failed(error: impl ToString) -> Failure {
    Failure::Failed(error.to_string())
}
