//! Client of the administration API.

use std::{net::SocketAddr, time::Duration};

use serde::{Serialize, de::DeserializeOwned};
use shallotlead_base::{code::Code, id, id::Version};
use shallotlead_table::row;
use thiserror::Error;
use ureq::{Agent, http::Response};

use crate::api::{self, Problem};

const TIMEOUT: Duration = Duration::from_secs(40);

/// A client of one instance's API.
#[derive(Clone, Debug)]
pub struct Client {
    agent: Agent,
    address: SocketAddr,
    authorization: String,
}

/// Why a call failed.
#[derive(Debug, Error)]
pub enum Error {
    /// The instance can't be reached, or the connection broke.
    #[error("no answer from {address}: {reason}")]
    Unreachable {
        /// Where.
        address: SocketAddr,
        /// Why.
        reason: String,
    },
    /// The instance refused.
    #[error("{} ({} {})", .0.detail, .0.code, .0.name.name())]
    Refused(Box<Problem>),
    /// The answer can't be read.
    #[error("{address} sent an answer that can't be read: {reason}")]
    Unreadable {
        /// Where.
        address: SocketAddr,
        /// Why.
        reason: String,
    },
}

impl Error {
    /// The result code, when the instance gave one.
    pub fn code(&self) -> Option<Code> {
        match self {
            Error::Refused(problem) => Some(problem.name),
            Error::Unreachable { .. } | Error::Unreadable { .. } => None,
        }
    }
}

impl Client {
    /// A client of the API at `address` for the operator whose key is `key`.
    pub fn new(address: SocketAddr, key: &str) -> Self {
        let config = Agent::config_builder()
            .timeout_global(Some(TIMEOUT))
            .http_status_as_error(false)
            .build();
        Self { agent: config.into(), address, authorization: format!("Bearer {key}") }
    }

    /// Where the API is.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Rows of `kind`, or of every kind.
    pub fn table(&self, kind: Option<row::Kind>) -> Result<api::Table, Error> {
        self.get(&kind.map_or("table".to_owned(), |it| format!("table/{it}")))
    }

    /// Proposes a change. `key` makes it safe to send the same change again.
    pub fn change(&self, change: &api::Request, key: &str) -> Result<api::Outcome, Error> {
        let request = self
            .agent
            .post(self.url("changes"))
            .header("Authorization", &self.authorization)
            .header("Idempotency-Key", key)
            .content_type("application/json");
        self.read(request.send(self.json(change)?))
    }

    /// Accepted changes after `after`, waiting for at most `wait` for one to be in force.
    pub fn changes(&self, after: Version, wait: Duration) -> Result<api::History, Error> {
        self.get(&format!("changes?after={after}&wait_ms={}", wait.as_millis()))
    }

    /// Rows of `kind` as comma-separated values.
    pub fn export(&self, kind: row::Kind) -> Result<String, Error> {
        let request = self
            .agent
            .get(self.url(&format!("sheets/{kind}")))
            .header("Authorization", &self.authorization);
        self.text(request.call())
    }

    /// Brings the rows of `kind` to what a sheet says.
    pub fn import(
        &self,
        kind: row::Kind,
        text: &str,
        prune: bool,
        dry_run: bool,
    ) -> Result<api::Outcome, Error> {
        let path = format!("sheets/{kind}?prune={prune}&dry_run={dry_run}");
        let request = self
            .agent
            .put(self.url(&path))
            .header("Authorization", &self.authorization)
            .content_type("text/csv");
        self.read(request.send(text))
    }

    /// How the whole system is.
    pub fn status(&self) -> Result<api::Status, Error> {
        self.get("status")
    }

    /// Figures of the instance.
    pub fn figures(&self) -> Result<api::Figures, Error> {
        self.get("figures")
    }

    /// Decisions on one request.
    pub fn decisions(&self, request: id::Request) -> Result<api::Decisions, Error> {
        self.get(&format!("decisions/{request}"))
    }

    /// Up to `count` of the latest decisions.
    pub fn latest_decisions(&self, count: usize) -> Result<api::Decisions, Error> {
        self.get(&format!("decisions?count={count}"))
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}/admin/v1/{path}", self.address)
    }

    fn json(&self, value: &impl Serialize) -> Result<Vec<u8>, Error> {
        serde_json::to_vec(value).map_err(|it| self.unreadable(it))
    }

    fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let request = self.agent.get(self.url(path)).header("Authorization", &self.authorization);
        self.read(request.call())
    }

    fn read<T: DeserializeOwned>(
        &self,
        response: Result<Response<ureq::Body>, ureq::Error>,
    ) -> Result<T, Error> {
        let text = self.text(response)?;
        serde_json::from_str(&text).map_err(|it| self.unreadable(it))
    }

    fn text(&self, response: Result<Response<ureq::Body>, ureq::Error>) -> Result<String, Error> {
        let mut response = response.map_err(|it| self.unreachable(it))?;
        let text = response.body_mut().read_to_string().map_err(|it| self.unreachable(it))?;
        if response.status().is_success() {
            return Ok(text);
        }
        match serde_json::from_str::<Problem>(&text) {
            Ok(problem) => Err(Error::Refused(Box::new(problem))),
            Err(_) => Err(self.unreadable(format!("status {}", response.status()))),
        }
    }

    fn unreachable(&self, reason: impl ToString) -> Error {
        Error::Unreachable { address: self.address, reason: reason.to_string() }
    }

    fn unreadable(&self, reason: impl ToString) -> Error {
        Error::Unreadable { address: self.address, reason: reason.to_string() }
    }
}
