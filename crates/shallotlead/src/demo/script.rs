//! What happens while the traffic runs.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use shallotlead_standin::platform::Mode;
use shallotlead_table::{column::Column, row};

use crate::{
    caller::Caller,
    demo::{Settings, watcher},
    load,
    traffic::Mix,
    world::{self, World},
};

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A cell was changed.
    Changed {
        /// Time from acceptance until every running instance had it in force; `None`: not in time.
        in_force: Option<Duration>,
    },
    /// An entry instance was killed.
    Killed {
        /// Its callers' address.
        address: SocketAddr,
        /// When.
        at: Instant,
    },
    /// An entry instance was killed and started again.
    Restarted {
        /// Time from its start to the first token of its first answer; `None`: not in time.
        served: Option<Duration>,
    },
    /// An engine said that it leaves.
    Leaving {
        /// Its index.
        engine: usize,
        /// When.
        at: Instant,
    },
    /// An entry instance was shut down gracefully.
    ShutDown {
        /// Its callers' address.
        address: SocketAddr,
        /// When it began.
        from: Instant,
        /// When it had ended.
        until: Instant,
    },
}

/// One step of the script.
#[derive(Clone, Copy, Debug)]
enum Step {
    ChangeCell,
    CrashEngine,
    RestartEngine,
    CrossAnswers,
    RestartEntry,
    LeaveEngine,
    ShutEntryDown,
    TakePlatformDown,
    RestartEntryInOutage,
    BringPlatformBack,
    LoseAnswer,
}

/// Steps, each at its share of the demo's time.
const STEPS: [(f64, Step); 11] = [
    (0.10, Step::ChangeCell),
    (0.18, Step::CrashEngine),
    (0.30, Step::RestartEngine),
    (0.36, Step::CrossAnswers),
    (0.42, Step::RestartEntry),
    (0.54, Step::LeaveEngine),
    (0.64, Step::ShutEntryDown),
    (0.78, Step::TakePlatformDown),
    (0.81, Step::RestartEntryInOutage),
    (0.88, Step::BringPlatformBack),
    (0.93, Step::LoseAnswer),
];

impl Step {
    fn text(self) -> &'static str {
        match self {
            Step::ChangeCell => "a cell changes",
            Step::CrashEngine => "an engine crashes",
            Step::RestartEngine => "the engine is back, with an empty cache",
            Step::CrossAnswers => "two answers cross",
            Step::RestartEntry => "an entry instance is killed and starts again",
            Step::LeaveEngine => "a backend server leaves",
            Step::ShutEntryDown => "an entry instance is shut down gracefully",
            Step::TakePlatformDown => "the platform is down",
            Step::RestartEntryInOutage => "an entry instance is killed and starts without platform",
            Step::BringPlatformBack => "the platform is back",
            Step::LoseAnswer => "a cell changes, and the platform's answer is lost",
        }
    }
}

/// The engine that crashes, the one that leaves, and the one that crosses answers.
const CRASHING: usize = 0;
const LEAVING: usize = 1;
const CROSSING: usize = 2;
/// The entry instance that is killed, and the one that is shut down.
const KILLED: usize = 1;
const SHUT_DOWN: usize = 2;
/// Longest wait for a change to be in force, and for a restarted instance to serve.
const PATIENCE: Duration = Duration::from_secs(15);
/// Streams that the instance to shut down should hold, and how long to wait for them.
const STREAMS: u64 = 4;
const STREAMS_WAIT: Duration = Duration::from_secs(2);
const POLL: Duration = Duration::from_millis(2);

/// Runs the script to the end of the demo's time.
pub(crate) fn run(
    world: &mut World,
    load: &load::Handle,
    watcher: &watcher::Handle,
    settings: &Settings,
    progress: &mut dyn FnMut(&str),
) -> Result<Vec<Event>, world::Error> {
    let begin = Instant::now();
    let mut script = Script { world, watcher, seed: settings.seed, events: Vec::new() };
    watcher.watch(script.world.operators());
    let mut steps = STEPS.iter().peekable();
    let mut second = 0;
    // A slow step delays the others; each is still carried out, so that no fault stays in force.
    while begin.elapsed() < settings.duration || steps.peek().is_some() {
        let now = begin.elapsed();
        if let Some((_, step)) = steps.next_if(|it| settings.duration.mul_f64(it.0) <= now) {
            progress(&format!("{:>4.0} s  {}", now.as_secs_f64(), step.text()));
            let events = script.events.len();
            script.carry(*step)?;
            for event in &script.events[events..] {
                progress(&format!("        {}", describe(event)));
            }
        }
        if second < now.as_secs() {
            second = now.as_secs();
            let (sent, finished) = (load.sent(), load.finished());
            progress(&format!("{second:>4} s  {sent} sent, {finished} finished"));
        }
        thread::sleep(POLL);
    }
    Ok(script.events)
}

struct Script<'a> {
    world: &'a mut World,
    watcher: &'a watcher::Handle,
    seed: u64,
    events: Vec<Event>,
}

impl Script<'_> {
    fn carry(&mut self, step: Step) -> Result<(), world::Error> {
        match step {
            Step::ChangeCell => self.change_cell("3")?,
            Step::CrashEngine => self.world.engines[CRASHING].kill(),
            Step::RestartEngine => self.world.engines[CRASHING].restart()?,
            Step::CrossAnswers => self.world.engines[CROSSING].cross_next(),
            Step::RestartEntry | Step::RestartEntryInOutage => self.restart_entry()?,
            Step::LeaveEngine => self.leave_engine(),
            Step::ShutEntryDown => self.shut_entry_down()?,
            Step::TakePlatformDown => self.world.platform.set_mode(Mode::Down),
            Step::BringPlatformBack => self.world.platform.set_mode(Mode::Up),
            Step::LoseAnswer => {
                self.world.platform.lose_answers(1);
                self.change_cell("2")?;
            }
        }
        Ok(())
    }

    fn change_cell(&mut self, weight: &str) -> Result<(), world::Error> {
        let organisation = self.world.deployment().organisations[0].name;
        let kind = row::Kind::Organisation;
        // Counted from before the write, so that the time includes the acceptance's own.
        let begin = Instant::now();
        let version = self.world.set_cell(kind, organisation, Column::Weight, weight)?;
        let operators = self.world.operators();
        let is_in_force =
            |it: &SocketAddr| watcher::health(*it).is_some_and(|health| version.0 <= health.table);
        let in_force = wait_for(|| operators.iter().all(is_in_force).then_some(()));
        self.events.push(Event::Changed { in_force: in_force.map(|()| begin.elapsed()) });
        Ok(())
    }

    fn restart_entry(&mut self) -> Result<(), world::Error> {
        let killed = Event::Killed { address: self.world.entry(KILLED), at: Instant::now() };
        self.events.push(killed);
        self.world.kill_entry(KILLED);
        self.watcher.watch(self.world.operators());
        self.world.start_entry(KILLED)?;
        let address = self.world.entry(KILLED);
        let begin = Instant::now();
        let ask = Mix::new(self.world.deployment(), self.seed).next_completion();
        let mut caller = Caller::fixed(address).with_patience(Duration::ZERO);
        let served = wait_for(|| {
            let asked = begin.elapsed();
            caller.call(&ask).first_token.map(|it| asked + it)
        });
        self.watcher.watch(self.world.operators());
        self.events.push(Event::Restarted { served });
        Ok(())
    }

    fn leave_engine(&mut self) {
        self.world.engines[LEAVING].leave();
        self.events.push(Event::Leaving { engine: LEAVING, at: Instant::now() });
    }

    /// Waits for a moment in which the instance to shut down holds streams.
    fn wait_for_streams(&self) {
        let Some(operators) = self.world.operators().get(SHUT_DOWN).copied() else { return };
        let begin = Instant::now();
        while begin.elapsed() < STREAMS_WAIT {
            if watcher::health(operators).is_some_and(|it| STREAMS <= it.open_requests) {
                return;
            }
            thread::sleep(POLL);
        }
    }

    fn shut_entry_down(&mut self) -> Result<(), world::Error> {
        let address = self.world.entry(SHUT_DOWN);
        self.wait_for_streams();
        let Some(entry) = self.world.leave_entry(SHUT_DOWN) else { return Ok(()) };
        self.watcher.watch(self.world.operators());
        let from = Instant::now();
        entry.shutdown();
        self.events.push(Event::ShutDown { address, from, until: Instant::now() });
        self.world.start_entry(SHUT_DOWN)?;
        self.watcher.watch(self.world.operators());
        Ok(())
    }
}

fn describe(event: &Event) -> String {
    let millis = |it: &Option<Duration>| {
        it.map_or("not in time".to_owned(), |it| format!("after {} ms", it.as_millis()))
    };
    match event {
        Event::Changed { in_force } => format!("in force everywhere: {}", millis(in_force)),
        Event::Restarted { served } => format!("serving: {}", millis(served)),
        Event::Killed { address, .. } => format!("killed: {address}"),
        Event::Leaving { .. } => "its health says so".to_owned(),
        Event::ShutDown { from, until, .. } => {
            format!("its last stream ended after {} ms", until.duration_since(*from).as_millis())
        }
    }
}

/// What `look` finds, unless it takes too long.
fn wait_for<T>(mut look: impl FnMut() -> Option<T>) -> Option<T> {
    let begin = Instant::now();
    while begin.elapsed() < PATIENCE {
        if let Some(found) = look() {
            return Some(found);
        }
        thread::sleep(POLL);
    }
    None
}
