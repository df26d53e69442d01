//! From a path to its page.

use rouille::{Request, Response};
use serde::Serialize;
use shallotlead_base::code::Code;

use crate::{
    administration::Service,
    operators::{health, metrics::Recorder},
    shell::Handle,
};

/// The operators' pages.
pub(crate) struct Pages {
    /// The way to the decisions.
    pub(crate) shell: Handle,
    /// The process's metrics.
    pub(crate) recorder: Recorder,
    /// The administration API.
    pub(crate) service: Service,
}

impl Pages {
    /// Answers one request.
    pub(crate) fn answer(&self, request: &Request) -> Response {
        match (request.method(), request.url().as_str()) {
            ("GET", "/healthz") => health::page(&self.shell),
            ("GET", "/metrics") => self.recorder.page(),
            (_, "/healthz" | "/metrics") => refuse(Code::MethodNotAllowed),
            _ => self.service.answer(request).unwrap_or_else(|| refuse(Code::NotFound)),
        }
    }
}

/// A refusal in the form that callers get, too.
pub(crate) fn refuse(code: Code) -> Response {
    Response::from_data("application/json", page(code))
        .with_status_code(code.status())
        .with_additional_header("x-code", code.number().to_string())
}

/// A refusal's body.
pub(crate) fn page(code: Code) -> String {
    let error = Error { code: code.number(), name: code.name(), message: code.text() };
    // Strings and numbers always serialize.
    serde_json::to_string(&Page { error }).unwrap_or_default()
}

#[derive(Serialize)]
struct Page {
    error: Error,
}

#[derive(Serialize)]
struct Error {
    code: u16,
    name: &'static str,
    message: &'static str,
}
