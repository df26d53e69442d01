//! `shallotlead load`: a deployment's traffic at instances that run elsewhere.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use gumdrop::Options;

use crate::{
    command::{self, Failure},
    load::{self, Settings, report::Report},
    traffic::deployment::{Named, UMEZEALA},
};

/// Arguments of the subcommand.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, meta = "IP:PORT", help = "an entry instance; may be repeated")]
    target: Vec<SocketAddr>,
    #[options(help = "umezeala (default) or ubuntu-connect", meta = "NAME")]
    deployment: Option<Named>,
    #[options(help = "how long traffic runs", meta = "N", default = "30")]
    seconds: u64,
    #[options(help = "seed of the traffic", meta = "N", default = "1", no_short)]
    seed: u64,
    #[options(help = "requests a second", meta = "N", default = "20")]
    rate: f64,
    #[options(help = "callers, each with one open request", meta = "N", default = "96")]
    callers: usize,
    #[options(help = "skip the address page: all requests go to the targets", no_short)]
    fixed: bool,
    #[options(help = "completions only, no calls of the plain service", no_short)]
    completions: bool,
    #[options(help = "end with one line of JSON")]
    json: bool,
}

/// Sends traffic and says what became of it; fails when requests were lost.
pub(crate) fn run(arguments: Arguments) -> Result<(), Failure> {
    command::check_rate(arguments.rate)?;
    if arguments.callers == 0 {
        return Err(Failure::Usage("--callers must be above 0".to_owned()));
    }
    let running = load::spawn(Settings {
        deployment: arguments.deployment.map_or(&UMEZEALA, |it| it.0),
        seed: arguments.seed,
        rate: arguments.rate,
        callers: arguments.callers,
        seeds: arguments.target,
        fixed: arguments.fixed,
        completions: arguments.completions,
    });
    let begin = Instant::now();
    while begin.elapsed() < Duration::from_secs(arguments.seconds) {
        thread::sleep(Duration::from_secs(1));
        let seconds = begin.elapsed().as_secs();
        println!("{seconds:>4} s  {} sent, {} finished", running.sent(), running.finished());
    }
    let report = Report::new(&running.finish());
    println!("{report}");
    if arguments.json {
        let json = serde_json::to_string(&report);
        println!("{}", json.map_err(|it| Failure::Failed(it.to_string()))?);
    }
    if report.lost == 0 && report.wrong == 0 {
        return Ok(());
    }
    Err(Failure::Failed("requests were lost or answered wrongly".to_owned()))
}
