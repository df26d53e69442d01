//! Command-line entry point.

use std::process::ExitCode;

fn main() -> ExitCode {
    shallotlead::command::run()
}
