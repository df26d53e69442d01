//! Faults in a settings file.

use std::{fmt, path::PathBuf};

use shallotlead_base::code::Code;

/// One fault in a settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    /// What kind of fault it is.
    pub code: Code,
    /// The settings file.
    pub file: PathBuf,
    /// The section; empty when the fault lies before any section or in the file as a whole.
    pub section: String,
    /// The key; empty when the fault is the section's or the file's.
    pub key: String,
    /// What was expected.
    pub expected: String,
    /// What was found, where there was something that is no secret.
    pub found: Option<String>,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.code.number(), self.file.display())?;
        if !self.section.is_empty() {
            write!(f, " [{}]", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, " {}", self.key)?;
        }
        write!(f, ": expected {}", self.expected)?;
        match &self.found {
            Some(found) => write!(f, ", found {found:?}"),
            None => Ok(()),
        }
    }
}

impl std::error::Error for Error {}

/// All faults of a settings file, in the order of its keys in the documentation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Errors(pub Vec<Error>);

impl From<Error> for Errors {
    fn from(error: Error) -> Self {
        Self(vec![error])
    }
}

impl fmt::Display for Errors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, error) in self.0.iter().enumerate() {
            if 0 < n {
                f.write_str("\n")?;
            }
            error.fmt(f)?;
        }
        Ok(())
    }
}

impl std::error::Error for Errors {}
