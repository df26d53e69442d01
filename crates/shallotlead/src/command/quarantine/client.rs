//! Client of an instance's page of requests in quarantine.

use std::{net::SocketAddr, time::Duration};

use serde::de::DeserializeOwned;
use shallotlead_gateway::quarantine::{
    Identity,
    page::{Entry, PATH, Problem, Release},
};
use thiserror::Error;
use ureq::{Agent, Body, http::Response};

use crate::command::Failure;

/// An instance answers from memory; one that takes longer is of no help to an operator.
const TIMEOUT: Duration = Duration::from_secs(10);

/// A client of one instance's page.
#[derive(Clone, Debug)]
pub(super) struct Client {
    agent: Agent,
    address: SocketAddr,
}

/// Why a call failed.
#[derive(Debug, Error)]
pub(super) enum Error {
    /// The instance can't be reached, or the connection broke.
    #[error("no answer from {address}: {reason}; expected an instance's metrics address")]
    Unreachable {
        /// Where.
        address: SocketAddr,
        /// Why.
        reason: String,
    },
    /// The instance refused.
    #[error("{address} refused with status {status}: {reason}")]
    Refused {
        /// Where.
        address: SocketAddr,
        /// Status.
        status: u16,
        /// Why, with what was expected.
        reason: String,
    },
    /// The answer can't be read.
    #[error(
        "{address} sent an answer that can't be read: {reason}; expected the metrics address of an instance of this release"
    )]
    Unreadable {
        /// Where.
        address: SocketAddr,
        /// Why.
        reason: String,
    },
}

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        Failure::Failed(error.to_string())
    }
}

impl Client {
    /// A client of the instance whose metrics address is `address`.
    pub(super) fn new(address: SocketAddr) -> Self {
        let config = Agent::config_builder()
            .timeout_global(Some(TIMEOUT))
            .http_status_as_error(false)
            .build();
        Self { agent: config.into(), address }
    }

    /// The requests in quarantine, those that came last first.
    pub(super) fn list(&self) -> Result<Vec<Entry>, Error> {
        self.read(self.agent.get(self.url("")).call())
    }

    /// Releases one.
    pub(super) fn release(&self, identity: Identity) -> Result<Release, Error> {
        self.read(self.agent.delete(self.url(&format!("/{identity}"))).call())
    }

    fn url(&self, rest: &str) -> String {
        format!("http://{}{PATH}{rest}", self.address)
    }

    fn read<T: DeserializeOwned>(
        &self,
        response: Result<Response<Body>, ureq::Error>,
    ) -> Result<T, Error> {
        let mut response = response.map_err(|it| self.unreachable(it))?;
        let text = response.body_mut().read_to_string().map_err(|it| self.unreachable(it))?;
        let status = response.status();
        if status.is_success() {
            return serde_json::from_str(&text).map_err(|it| self.unreadable(it));
        }
        match serde_json::from_str::<Problem>(&text) {
            Ok(it) => Err(Error::Refused {
                address: self.address,
                status: status.as_u16(),
                reason: it.error,
            }),
            Err(_) => Err(self.unreadable(format!("status {status}"))),
        }
    }

    fn unreachable(&self, reason: impl ToString) -> Error {
        Error::Unreachable { address: self.address, reason: reason.to_string() }
    }

    fn unreadable(&self, reason: impl ToString) -> Error {
        Error::Unreadable { address: self.address, reason: reason.to_string() }
    }
}
