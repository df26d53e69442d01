//! Errors as problem details.

use shallotlead_base::code::Code;
use shallotlead_table::error::Error;

use crate::api::Problem;

impl Problem {
    /// The problem of `code` with what exactly was wrong.
    pub fn new(code: Code, detail: impl Into<String>) -> Self {
        Self {
            kind: "about:blank".to_owned(),
            title: code.text().to_owned(),
            status: code.status(),
            detail: detail.into(),
            code: code.number(),
            name: code,
            expected: None,
            found: None,
        }
    }
}

impl From<&Error> for Problem {
    fn from(error: &Error) -> Self {
        let problem = Problem::new(error.code(), error.to_string());
        match error {
            Error::Conflict { expected, found, .. } => {
                Problem { expected: Some(expected.clone()), found: Some(found.clone()), ..problem }
            }
            _ => problem,
        }
    }
}
