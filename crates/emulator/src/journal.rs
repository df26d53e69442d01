//! The log of an emulation: the instances' own lines and what happened around them, in order.

use std::{cell::RefCell, fmt::Write as _, rc::Rc};

use shallotlead_base::time::Time;
use shallotlead_gateway::{clock::ORIGIN, host::sink::Sink};

/// The log, shared by all that write to it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Journal(Rc<RefCell<Vec<u8>>>);

impl Journal {
    /// Writes a line about `subject`.
    pub(crate) fn line(&self, now: Time, subject: &str, text: std::fmt::Arguments<'_>) {
        let mut line = String::new();
        // Writing to a string can't fail.
        let _ = writeln!(line, "{:.6} {subject} {text}", now.since(ORIGIN).as_secs_f64());
        self.0.borrow_mut().extend_from_slice(line.as_bytes());
    }

    /// Takes what was written so far.
    pub(crate) fn take(&self) -> Vec<u8> {
        std::mem::take(&mut self.0.borrow_mut())
    }
}

impl Sink for Journal {
    fn write(&mut self, lines: Vec<u8>) -> Result<(), Vec<u8>> {
        self.0.borrow_mut().extend_from_slice(&lines);
        Ok(())
    }
}
