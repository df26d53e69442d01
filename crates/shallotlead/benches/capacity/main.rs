//! What one item of each kind costs: the slopes that docs/CAPACITY.md multiplies with the sizes of a
//! large deployment.
//!
//! `cargo bench --bench capacity` prints every slope with its unit. Memory is the growth of the
//! process's resident size over many items (`/proc/self/statm`), each kind in a fresh process, twice;
//! the second column is how far the two runs lie apart. Counted figures are compared with
//! `bounds.txt`, and the bench fails when one is over its bound. Processor time is that of the
//! thread, printed and never bounded. `--json` adds all figures as one last line.

#![allow(clippy::unwrap_used, reason = "a bench ends by a panic")]

#[path = "../../../fleet/benches/common/bounds.rs"]
mod bounds;
mod counted;
mod gauge;
mod memory;
mod polls;
mod shape;
#[path = "../../../fleet/tests/support/mod.rs"]
mod support;
mod timed;

use std::{
    env,
    process::{Command, ExitCode},
};

use bounds::{Figures, finish};

const BOUNDS: &str = include_str!("bounds.txt");
/// Argument of the process that measures one kind of item.
const ONE: &str = "--one";

/// Takes one figure.
type Note<'a> = dyn FnMut(&str, f64) + 'a;

/// Measures one part.
type Run = fn(&mut Note<'_>);

/// The parts; a name as argument runs that part alone.
const PARTS: &[(&str, Run)] = &[
    ("memory", memories),
    ("counted", counted::measure),
    ("polls", polls::measure),
    ("timed", timed::measure),
];

fn main() -> ExitCode {
    let args = env::args().collect::<Vec<_>>();
    if let Some(name) = args.iter().skip_while(|it| *it != ONE).nth(1) {
        println!("{}", memory::measure(name));
        return ExitCode::SUCCESS;
    }
    let mut figures = Figures::new();
    for (name, run) in PARTS {
        if PARTS.iter().all(|it| !args.contains(&it.0.to_owned()))
            || args.contains(&(*name).to_owned())
        {
            println!("{name}");
            run(&mut |name, value| note(&mut figures, name, value));
        }
    }
    finish(&figures, BOUNDS)
}

/// Each kind twice; the larger figure counts, with the spread.
fn memories(note: &mut Note<'_>) {
    for name in memory::NAMES {
        let [first, second] = [one(name), one(name)];
        note(name, first.max(second));
        println!("{:>60} {:.0}", "spread", (first - second).abs());
    }
}

/// Notes a figure; the last word of its name is its unit.
fn note(figures: &mut Figures, name: &str, value: f64) {
    println!("  {name:<56} {value:>12.3}");
    figures.insert(name.to_owned(), value);
}

/// Measures one kind of item in a fresh process, whose allocator holds nothing from before.
fn one(name: &str) -> f64 {
    let program = env::current_exe().unwrap();
    let output = Command::new(program).args([ONE, name]).output().unwrap();
    assert!(output.status.success(), "{name}: {}", String::from_utf8_lossy(&output.stderr));
    let text = String::from_utf8(output.stdout).unwrap();
    text.lines().last().unwrap().trim().parse().unwrap()
}
