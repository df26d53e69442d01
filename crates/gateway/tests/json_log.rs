//! Lines of the structured log.

use std::{cell::RefCell, rc::Rc, time::Duration};

use shallotlead_base::time::Time;
use shallotlead_gateway::{clock::Clock, host::sink::Sink, json_log::Log};

/// More than a line may have of one text.
const LONG: usize = 1_000_000;

#[derive(Debug)]
struct Still;

impl Clock for Still {
    fn now(&self) -> Time {
        Time::ZERO
    }

    fn unix_time(&self) -> Duration {
        Duration::ZERO
    }
}

/// Keeps what is written.
#[derive(Clone, Debug, Default)]
struct Kept(Rc<RefCell<Vec<u8>>>);

impl Sink for Kept {
    fn write(&mut self, lines: Vec<u8>) -> Result<(), Vec<u8>> {
        self.0.borrow_mut().extend(lines);
        Ok(())
    }
}

// Names and errors in a line may hold whatever others have written: a name of a megabyte became a line of a megabyte.
#[test]
fn long_texts_are_cut() {
    let kept = Kept::default();
    let mut log = Log::new("i-1", 10, Rc::new(Still), Box::new(kept.clone()));
    log.line(Time::ZERO, "entry_unreadable")
        .text("server", &"é".repeat(LONG))
        .number("revision", 7);
    log.flush(Time::ZERO, true);
    let written = kept.0.borrow();
    let line: serde_json::Value = serde_json::from_slice(&written).expect("a line is JSON");
    assert!(written.len() < 2_000, "{} bytes", written.len());
    assert!(line["server"].as_str().is_some_and(|it| it.starts_with('é') && it.ends_with('…')));
    assert_eq!(line["revision"], 7);
}

// The instance's own name comes from its settings: with a quote or a line end, no line could be read.
#[test]
fn name_of_the_instance_is_escaped() {
    let name = "i\"1\n\\";
    let kept = Kept::default();
    let mut log = Log::new(name, 10, Rc::new(Still), Box::new(kept.clone()));
    log.line(Time::ZERO, "began").number("revision", 7);
    log.flush(Time::ZERO, true);
    let line: serde_json::Value = serde_json::from_slice(&kept.0.borrow()).expect("a line is JSON");
    assert_eq!((line["instance"].as_str(), line["event"].as_str()), (Some(name), Some("began")));
}
