//! Cost and speed of coordination at 7, 42 and 420 instances. The pure code of all instances runs in
//! one thread and virtual time, with the real codec.
//!
//! Every message is counted with [`simulation::PACKET_OVERHEAD`] bytes for each packet. QUIC may send an
//! acknowledgement packet of its own for a packet that no other traffic follows within 25 ms. The
//! figures "with acks" add one for every packet, which is the worst case.
//!
//! `cargo bench --bench fleet` prints the figures, compares the counted ones with `bounds.txt` and
//! fails when one is over its bound. Processor time and memory depend on the machine and are printed
//! only. `--json` adds all figures as one last line. A number as argument runs only that size.

#[path = "../common/bounds.rs"]
mod bounds;
#[path = "../common/centres.rs"]
mod centres;
#[path = "../common/figures.rs"]
mod figures;
#[path = "../../tests/support/mod.rs"]
mod support;

use std::{process::ExitCode, time::Duration};

use shallotlead_base::{id::Version, time::Time};

use bounds::{Figures, finish};
use figures::quantile;
use support::simulation::{PACKET_OVERHEAD, Simulation};

const SECOND: Duration = Duration::from_secs(1);
const BOUNDS: &str = include_str!("bounds.txt");
/// Changes of the table at each rate of packet loss.
const CHANGES: usize = 10;

/// A size to measure: organisations, servers and instances by data centre.
struct Size {
    name: &'static str,
    organisations: usize,
    servers: usize,
    /// Leaves, joins and crashes each, at each rate of packet loss.
    events: usize,
    /// Time between them, long enough for flap damping to decay where the same few instances take
    /// turns.
    interval: Duration,
    centres: &'static [(&'static str, &'static str, usize)],
}

const SIZES: &[Size] = &[
    Size {
        name: "7",
        organisations: 8,
        servers: 18,
        events: 10,
        interval: Duration::from_secs(75),
        centres: centres::SEVEN,
    },
    Size {
        name: "42",
        organisations: 81,
        servers: 480,
        events: 10,
        interval: Duration::from_secs(20),
        centres: &[
            ("a", "a-1", 5),
            ("a", "a-2", 4),
            ("a", "a-3", 4),
            ("a", "a-4", 4),
            ("b", "b-1", 5),
            ("b", "b-2", 4),
            ("b", "b-3", 4),
            ("c", "c-1", 4),
            ("c", "c-2", 4),
            ("c", "c-3", 4),
        ],
    },
    Size {
        name: "420",
        organisations: 810,
        servers: 4_800,
        events: 4,
        interval: Duration::from_secs(5),
        centres: centres::FOUR_HUNDRED_AND_TWENTY,
    },
];

fn main() -> ExitCode {
    let args = std::env::args().collect::<Vec<_>>();
    let chosen = args.iter().find(|it| it.parse::<u32>().is_ok());
    let mut figures = Figures::new();
    for size in SIZES.iter().filter(|it| chosen.is_none_or(|chosen| chosen == it.name)) {
        println!("{} instances, {} servers", size.name, size.servers);
        measure(size, &mut figures);
    }
    finish(&figures, BOUNDS)
}

fn measure(size: &Size, figures: &mut Figures) {
    let mut note = |name: &str, value: f64| {
        println!("  {name:<44} {value:>12.3}");
        figures.insert(format!("{}.{name}", size.name), value);
    };
    let mut sim = Simulation::new(1, size.centres);
    sim.populate_table(size.organisations, 6, size.servers);
    sim.start_checks();
    sim.start_all(2 * SECOND);
    sim.run(25 * SECOND);
    measure_idle(&mut sim, &mut note);
    // Load reports also count as signs of life, so with them the measurements below would only be
    // faster.
    sim.is_checking = false;
    for percent in [0, 5, 20] {
        sim.packet_loss = f64::from(percent) / 100.0;
        measure_changes(&mut sim, percent, &mut note);
        measure_member_events(&mut sim, size, percent, &mut note);
    }
    sim.packet_loss = 0.0;
    sim.run(10 * SECOND);
    sim.start_checks();
    measure_mass_restart(&mut sim, &mut note);
}

/// Measures the cost of coordination while nothing changes.
fn measure_idle(sim: &mut Simulation, note: &mut impl FnMut(&str, f64)) {
    const SPAN: u32 = 30;
    sim.reset_stats();
    sim.run(SPAN * SECOND);
    let span = f64::from(SPAN);
    let count = sim.running().count() as f64;
    let sum = |of: &dyn Fn(&support::simulation::Stats) -> u64| {
        sim.running().map(|it| of(&it.stats) as f64).sum::<f64>() / count / span
    };
    let (sent, received) = (sum(&|it| it.sent), sum(&|it| it.received));
    let (out, inward) = (sum(&|it| it.sent_bytes), sum(&|it| it.received_bytes));
    note("rest.sent_messages_per_s", sent);
    note("rest.received_messages_per_s", received);
    note("rest.sent_bytes_per_s", out);
    note("rest.received_bytes_per_s", inward);
    note("rest.bytes_per_s", out + inward);
    let acks = (sent + received) * PACKET_OVERHEAD as f64;
    note("rest.bytes_with_acks_per_s", out + inward + acks);
    let most = sim.running().map(|it| it.stats.sent_bytes + it.stats.received_bytes).max();
    note("rest.most_bytes_per_s", most.unwrap_or(0) as f64 / span);
    for (index, part) in ["membership", "config", "load", "other"].into_iter().enumerate() {
        note(&format!("rest.sent_{part}_bytes_per_s"), sum(&|it| it.bytes_by_kind[index]));
    }
    note("rest.platform_calls_per_s", sim.platform.calls as f64 / span);
    note("rest.list_calls_per_s", sim.list_reads as f64 / span);
    let busy = sim.running().map(|it| it.stats.busy.as_secs_f64()).sum::<f64>() / count / span;
    let ticks = sim.running().map(|it| it.stats.ticks as f64).sum::<f64>() / count / span;
    note("rest.wall.ticks_per_s", ticks);
    note("rest.wall.tick_us", busy / ticks * 1e6);
    note("rest.wall.core_percent", busy * 100.0);
    note("rest.wall.memory_mb", resident_mb() / count);
}

/// Measures how long each of several changes of the table takes to be in force everywhere, and to be
/// reported so by every instance.
fn measure_changes(sim: &mut Simulation, percent: u32, note: &mut impl FnMut(&str, f64)) {
    sim.run(5 * SECOND);
    let (mut delays, mut statuses) = (Vec::new(), Vec::new());
    let mut calls = 0;
    for time in 0..CHANGES {
        let calls_before = sim.platform.calls;
        let start = sim.now;
        let version = sim.set_weight("org-0003", time as u32 + percent);
        sim.run_until(30 * SECOND, |it| it.all_apply(version)).expect("all apply the change");
        delays.extend(sim.running().map(|it| millis_between(start, it.applied_at)));
        calls += sim.platform.calls - calls_before;
        statuses.push(
            sim.run_until(30 * SECOND, |it| is_reported(it, version))
                .map_or(30_000.0, |_| millis_between(start, sim.now)),
        );
        sim.run(SECOND);
    }
    note(&format!("loss{percent}.change.p50_ms"), quantile(&mut delays, 0.5));
    note(&format!("loss{percent}.change.p99_ms"), quantile(&mut delays, 0.99));
    note(&format!("loss{percent}.change.all_ms"), quantile(&mut delays, 1.0));
    note(&format!("loss{percent}.change.seen_p50_ms"), quantile(&mut statuses, 0.5));
    note(&format!("loss{percent}.change.seen_all_ms"), quantile(&mut statuses, 1.0));
    if percent == 0 {
        note("change.platform_calls", calls as f64 / CHANGES as f64);
    }
}

/// Whether every instance has statuses that show `version` in force in every data centre.
fn is_reported(sim: &Simulation, version: Version) -> bool {
    let centres = sim.centre_count();
    sim.running().all(|it| {
        let told = it.statuses.iter().filter(|it| version <= it.lowest);
        told.count() == centres
    })
}

/// Measures how long all instances take to learn of each leave, join and crash, and how often any
/// declares a live instance dead.
fn measure_member_events(
    sim: &mut Simulation,
    size: &Size,
    percent: u32,
    note: &mut impl FnMut(&str, f64),
) {
    let deaths = sim.false_deaths;
    sim.run(15 * SECOND);
    note(&format!("loss{percent}.wrongly_dead_in_15_s"), (sim.false_deaths - deaths) as f64);
    let (mut leave, mut join, mut crash) = (Vec::new(), Vec::new(), Vec::new());
    for time in 0..size.events {
        let index = time * 37 % sim.instances.len();
        sim.drain(index);
        leave.push(millis_until(sim, |it| it.all_see(index, false)));
        sim.run(2 * SECOND);
        sim.crash(index);
        sim.run(size.interval);
        sim.start(index);
        join.push(millis_until(sim, |it| it.all_see(index, true)));
        sim.run(size.interval);
        let index = (time * 41 + 3) % sim.instances.len();
        sim.crash(index);
        crash.push(millis_until(sim, |it| it.all_see(index, false)));
        sim.run(size.interval);
        sim.start(index);
        sim.run(size.interval);
    }
    note(&format!("loss{percent}.leave.all_ms"), quantile(&mut leave, 1.0));
    note(&format!("loss{percent}.join.p50_ms"), quantile(&mut join, 0.5));
    note(&format!("loss{percent}.join.all_ms"), quantile(&mut join, 1.0));
    note(&format!("loss{percent}.crash.p50_ms"), quantile(&mut crash, 0.5));
    note(&format!("loss{percent}.crash.all_ms"), quantile(&mut crash, 1.0));
}

/// Measures a restart of all instances at once.
fn measure_mass_restart(sim: &mut Simulation, note: &mut impl FnMut(&str, f64)) {
    for index in 0..sim.instances.len() {
        sim.crash(index);
    }
    sim.run(5 * SECOND);
    sim.reset_stats();
    let version = sim.committer.read(&mut sim.platform).expect("the store is up").version;
    let start = sim.now;
    sim.start_all(SECOND);
    let table = sim.run_until(60 * SECOND, |it| it.all_apply(version));
    note("herd.table_ms", table.map_or(60_000.0, |_| millis_between(start, sim.now)));
    let agreed = sim.run_until(120 * SECOND, Simulation::views_agree);
    note("herd.agreed_ms", agreed.map_or(120_000.0, |_| millis_between(start, sim.now)));
    let rest = Duration::from_secs(30).saturating_sub(sim.now.since(start));
    sim.run(rest);
    note("herd.platform_calls_in_30_s", sim.platform.calls as f64);
    note("herd.list_calls_in_30_s", sim.list_reads as f64);
    note("herd.most_calls_in_1_s", sim.peak_calls_per_second as f64);
    note("herd.platform_read_kb", sim.platform.bytes as f64 / 1e3);
    let sent = sim.running().map(|it| it.stats.sent_bytes).sum::<u64>() as f64;
    note("herd.sent_kb_in_30_s", sent / sim.instances.len() as f64 / 1e3);
    let peak = sim.running().map(|it| it.stats.peak_bytes).max().unwrap_or(0);
    note("herd.peak_sent_kb_in_1_s", peak as f64 / 1e3);
}

fn millis_until(sim: &mut Simulation, done: impl FnMut(&Simulation) -> bool) -> f64 {
    let span = sim.run_until(60 * SECOND, done).unwrap_or(60 * SECOND);
    span.as_secs_f64() * 1e3
}

/// Resident memory of this process, including the harness, in megabytes.
fn resident_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:"));
    let kb = line.and_then(|it| it.trim().trim_end_matches(" kB").parse::<f64>().ok());
    kb.unwrap_or(0.0) / 1e3
}

fn millis_between(start: Time, end: Time) -> f64 {
    end.since(start).as_secs_f64() * 1e3
}
