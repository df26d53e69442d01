//! `shallotlead demo`: a deployment in one process, with traffic and failures.

use std::time::Duration;

use gumdrop::Options;

use crate::{
    command::{self, Failure},
    demo::{self, Report, Settings},
    traffic::deployment::{Named, UMEZEALA},
};

/// Arguments of the subcommand.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "umezeala (default) or ubuntu-connect", meta = "NAME")]
    deployment: Option<Named>,
    #[options(help = "how long traffic runs", meta = "N", default = "30")]
    seconds: u64,
    #[options(help = "seed of the traffic", meta = "N", default = "1", no_short)]
    seed: u64,
    #[options(help = "requests a second", meta = "N", default = "20")]
    rate: f64,
    #[options(help = "end with one line of JSON")]
    json: bool,
}

/// Shortest demo: each step needs its time.
const SHORTEST: u64 = 10;

/// Runs the demo; fails when something that must always hold did not.
pub(crate) fn run(arguments: Arguments) -> Result<(), Failure> {
    if arguments.seconds < SHORTEST {
        return Err(Failure::Usage(format!("--seconds must be {SHORTEST} or more")));
    }
    command::check_rate(arguments.rate)?;
    let settings = Settings {
        deployment: arguments.deployment.map_or(&UMEZEALA, |it| it.0),
        duration: Duration::from_secs(arguments.seconds),
        seed: arguments.seed,
        rate: arguments.rate,
    };
    let report = demo::run(&settings, |it| println!("{it}"))
        .map_err(|it| Failure::Failed(it.to_string()))?;
    print_table(&report);
    if arguments.json {
        let json = serde_json::to_string(&report.summary);
        println!("{}", json.map_err(|it| Failure::Failed(it.to_string()))?);
    }
    if report.holds() {
        return Ok(());
    }
    Err(Failure::Failed("something that must always hold did not".to_owned()))
}

/// Cases of a broken invariant that are shown.
const SHOWN: usize = 5;

fn print_table(report: &Report) {
    println!("\n{:<72} {:>8} {:>7}", "what must always hold", "checked", "broken");
    for invariant in &report.invariants {
        let (checked, broken) = (invariant.checked, invariant.broken.len());
        println!("{:<72} {checked:>8} {broken:>7}", invariant.text);
        for case in invariant.broken.iter().take(SHOWN) {
            println!("    {case}");
        }
    }
    let it = &report.summary;
    println!(
        "\n{} requests: {} answered, {} refused, {} unknown, {} lost",
        it.requests, it.answered, it.refused, it.unknown, it.lost
    );
    println!(
        "time to first token: p50 {:.0} ms, p95 {:.0} ms, p99 {:.0} ms",
        it.ttft_ms.p50, it.ttft_ms.p95, it.ttft_ms.p99
    );
    println!("prefix hit rate: {:.3}, wasted tokens: {}", it.hit_rate, it.wasted_tokens);
}
