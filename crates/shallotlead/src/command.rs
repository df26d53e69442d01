//! Subcommands: a module each, with its `Arguments` and a `run` that carries them out.

pub(crate) mod completions;
pub(crate) mod demo;
pub(crate) mod entry;
pub(crate) mod explain;
pub(crate) mod gateway;
pub(crate) mod limits;
pub(crate) mod load;
pub(crate) mod operator;
pub(crate) mod page;
pub(crate) mod quarantine;
pub(crate) mod quotas;
pub(crate) mod standin;
pub(crate) mod status;
pub(crate) mod table;
pub(crate) mod top;

use std::process::ExitCode;

use gumdrop::Options;
use thiserror::Error;

/// Parses the process's arguments and runs the subcommand that they name.
pub fn run() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let Some(command) = arguments.command else {
        eprintln!("{}\n\n{}", Arguments::usage(), Arguments::command_list().unwrap_or_default());
        return ExitCode::from(USAGE);
    };
    let Arguments { address, key, .. } = arguments;
    let connection = operator::Connection { address, key };
    let client = || connection.client();
    let result = match command {
        Command::Completions(arguments) => {
            completions::run(&arguments, Arguments::command_list().unwrap_or_default())
        }
        Command::Demo(arguments) => demo::run(arguments),
        Command::Entry(arguments) => entry::run(arguments),
        Command::Explain(arguments) => explain::from_log(&arguments)
            .unwrap_or_else(|| client().and_then(|it| explain::run(&arguments, &it))),
        Command::Gateway(arguments) => gateway::run(arguments),
        Command::Limits(arguments) => limits::run(&arguments),
        Command::Load(arguments) => load::run(arguments),
        Command::Quarantine(arguments) => quarantine::run(&arguments),
        Command::Quotas(arguments) => quotas::run(&arguments),
        Command::Status(arguments) => client().and_then(|it| status::run(&arguments, &it)),
        Command::Table(arguments) => table::run(arguments, client),
        Command::Top(arguments) => client().and_then(|it| top::run(&arguments, &it)),
        Command::Standin(arguments) => standin::run(arguments),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("shallotlead: {failure}");
            ExitCode::from(failure.status())
        }
    }
}

/// Exit status for wrong use of the command line.
const USAGE: u8 = 2;

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, meta = "IP:PORT", help = "instance to talk to [SHALLOTLEAD_ADDRESS]")]
    address: Option<String>,
    #[options(no_short, meta = "KEY", help = "operator's key [SHALLOTLEAD_KEY]")]
    key: Option<String>,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "print a completion script for the shell")]
    Completions(completions::Arguments),
    #[options(help = "run a deployment on loopback, with traffic and failures")]
    Demo(demo::Arguments),
    #[options(help = "run one entry instance")]
    Entry(entry::Arguments),
    #[options(help = "explain the decisions on a request, or list the latest ones")]
    Explain(explain::Arguments),
    #[options(help = "run one instance on the users' platform")]
    Gateway(gateway::Arguments),
    #[options(help = "list the backend servers that limit their rate")]
    Limits(limits::Arguments),
    #[options(help = "send a deployment's traffic to running instances")]
    Load(load::Arguments),
    #[options(help = "list the requests that crashed servers, or release one")]
    Quarantine(quarantine::Arguments),
    #[options(help = "list organisations with a quota")]
    Quotas(quotas::Arguments),
    #[options(help = "show instances, versions in force, duties and the platform's health")]
    Status(status::Arguments),
    #[options(help = "read and change the operators' table")]
    Table(table::Arguments),
    #[options(help = "watch backend servers, queues, hit rate and limits")]
    Top(top::Arguments),
    #[options(help = "run a stand-in for a system around shallotlead")]
    Standin(standin::Arguments),
}

/// Checks a rate of requests.
fn check_rate(rate: f64) -> Result<(), Failure> {
    if rate.is_finite() && 0.0 < rate {
        return Ok(());
    }
    Err(Failure::Usage("--rate must be above 0".to_owned()))
}

/// Why a subcommand failed.
#[derive(Debug, Error)]
pub(crate) enum Failure {
    /// The arguments are wrong.
    #[error("{0}")]
    Usage(String),
    /// The subcommand ran and failed.
    #[error("{0}")]
    Failed(String),
}

impl Failure {
    fn status(&self) -> u8 {
        match self {
            Failure::Usage(_) => USAGE,
            Failure::Failed(_) => 1,
        }
    }
}
