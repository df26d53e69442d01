//! `shallotlead gateway`: one instance on the users' platform.

use std::{env, io, path::PathBuf};

use gumdrop::Options;
use shallotlead_adapter::Platform;
use shallotlead_gateway::settings;

use crate::command::Failure;

/// Names the settings file when the command line doesn't.
const SETTINGS: &str = "SHALLOTLEAD_CONFIG";

/// Arguments of the subcommand.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(meta = "FILE", help = "read the settings from this INI file [SHALLOTLEAD_CONFIG]")]
    settings: Option<PathBuf>,
    #[options(help = "check the settings and end")]
    check: bool,
}

/// Runs until a signal asks the process to leave and its open work is done.
pub(crate) fn run(arguments: Arguments) -> Result<(), Failure> {
    let named = arguments.settings.or_else(|| env::var_os(SETTINGS).map(PathBuf::from));
    let path = named.ok_or_else(|| {
        Failure::Usage(format!("no settings: give --settings FILE or set {SETTINGS}"))
    })?;
    let settings = settings::open(&path).map_err(failed)?;
    if arguments.check {
        println!("{}: valid", path.display());
        return Ok(());
    }
    // What can't happen in the order of events, such as a socket that the kernel refuses, goes to
    // standard error; the lines about requests and beliefs go to standard output.
    let errors = fern::Dispatch::new().level(log::LevelFilter::Warn).chain(io::stderr());
    errors.apply().map_err(failed)?;
    shallotlead_gateway::run(settings, Box::new(Platform)).map_err(failed)
}

fn failed(error: impl ToString) -> Failure {
    Failure::Failed(error.to_string())
}
