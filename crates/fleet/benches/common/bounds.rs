//! Comparison of a bench's figures with their bounds.

use std::{collections::BTreeMap, process::ExitCode};

/// Figures by name.
pub(crate) type Figures = BTreeMap<String, f64>;

/// Compares `figures` with `bounds`, which has lines of a name and a bound, and returns failure if any
/// is over its bound. Bounds of figures that weren't measured are skipped. With the argument `--json`,
/// all figures are printed as one last line.
pub(crate) fn finish(figures: &Figures, bounds: &str) -> ExitCode {
    let failed = compare(figures, bounds);
    if std::env::args().any(|it| it == "--json") {
        println!("{}", serde_json::json!(figures));
    }
    if failed { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}

/// Prints the figures that are over their bounds. Returns whether there are any.
fn compare(figures: &Figures, bounds: &str) -> bool {
    let mut failed = false;
    for line in bounds.lines().filter(|it| !it.starts_with('#') && !it.trim().is_empty()) {
        let (name, bound) = line.split_once(' ').expect("a line of name and bound");
        let bound = bound.trim().parse::<f64>().expect("a bound is a number");
        let Some(&value) = figures.get(name) else { continue };
        if bound < value {
            println!("over its bound: {name} is {value:.3}, at most {bound}");
            failed = true;
        }
    }
    println!("bounds: {}", if failed { "FAILED" } else { "held" });
    failed
}
