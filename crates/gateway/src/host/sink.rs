//! Where the log goes.

use std::fmt::Debug;

/// Takes the lines of a log.
pub trait Sink: Debug {
    /// Takes complete lines, or returns them if there is no space for them.
    fn write(&mut self, lines: Vec<u8>) -> Result<(), Vec<u8>>;
}
