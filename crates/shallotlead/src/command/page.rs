//! Client of an instance's pages for operators, at its metrics address.

use std::{net::SocketAddr, time::Duration};

use serde::de::DeserializeOwned;
use shallotlead_gateway::quarantine::endpoint::Problem;
use thiserror::Error;
use ureq::{Agent, Body, http::Response};

use crate::command::Failure;

/// An instance answers from memory; one that takes longer is of no help to an operator.
const TIMEOUT: Duration = Duration::from_secs(10);

/// A client of one instance's pages.
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
    /// A client of the instance whose metrics address the operator has given.
    pub(super) fn open(address: Option<&str>) -> Result<Self, Failure> {
        let text = address.unwrap_or_default();
        let address = text.parse::<SocketAddr>().map_err(|_| {
            Failure::Usage(format!("`{text}` is no address: expected IP:PORT of an instance's metrics, as 127.0.0.1:9464"))
        })?;
        let config = Agent::config_builder()
            .timeout_global(Some(TIMEOUT))
            .http_status_as_error(false)
            .build();
        Ok(Self { agent: config.into(), address })
    }

    /// Reads what lies at `path`.
    pub(super) fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        self.read(self.agent.get(self.url(path)).call())
    }

    /// Removes what lies at `path`.
    pub(super) fn delete<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        self.read(self.agent.delete(self.url(path)).call())
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
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
