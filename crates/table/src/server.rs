//! Rows of backend servers.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use shallotlead_base::name;

use crate::{
    cell::{Misfit, parse, parse_within},
    column::Column,
    limit::{Limits, MAX_WEIGHT},
    row,
};

/// Part that a server plays in a model's pool.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Prefill and decode.
    #[default]
    Mixed,
    /// Prefill only: computes prompts and exports their KV cache.
    Prefill,
    /// Decode only: imports KV cache and generates.
    Decode,
}

/// One backend server.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Server {
    /// Its name, the row's key.
    pub name: name::Server,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub centre: name::Centre,
    /// The model or plain service that it serves.
    pub model: name::Model,
    /// Its role.
    pub role: Role,
    /// Share of work relative to other servers of the pool; zero drains it.
    pub weight: f64,
    /// Its limits.
    pub limits: Limits,
    /// Whether it refuses orders with an old fencing token.
    pub checks_fence: bool,
}

/// Columns of a backend server's row.
pub const COLUMNS: &[Column] = &[
    Column::Address,
    Column::Centre,
    Column::Model,
    Column::Role,
    Column::Weight,
    Column::RequestsPerSecond,
    Column::TokensPerMinute,
    Column::Concurrency,
    Column::ChecksFence,
];

impl Server {
    /// A row with default cells. Address, data centre and model must be set before it is valid.
    pub fn new(name: name::Server) -> Self {
        Self {
            name,
            address: SocketAddr::from(([0, 0, 0, 0], 0)),
            centre: name::Centre::from(""),
            model: name::Model::from(""),
            role: Role::Mixed,
            weight: 1.0,
            limits: Limits::default(),
            checks_fence: false,
        }
    }

    pub(crate) fn get(&self, column: Column) -> Option<String> {
        match column {
            Column::Address => Some(self.address.to_string()),
            Column::Centre => Some(self.centre.to_string()),
            Column::Model => Some(self.model.to_string()),
            Column::Role => Some(self.role.as_str().to_owned()),
            Column::Weight => Some(self.weight.to_string()),
            Column::ChecksFence => Some(self.checks_fence.to_string()),
            _ => self.limits.get(column),
        }
    }

    pub(crate) fn set(&mut self, column: Column, text: &str) -> Result<(), Misfit> {
        match column {
            Column::Address => self.address = parse_address(text)?,
            Column::Centre => self.centre = parse_name(text)?.into(),
            Column::Model => self.model = parse_name(text)?.into(),
            Column::Role => self.role = Role::parse(text)?,
            Column::Weight => self.weight = parse_within(text, 0.0, MAX_WEIGHT)?,
            Column::ChecksFence => self.checks_fence = parse(text)?,
            _ => return self.limits.set(column, text),
        }
        Ok(())
    }
}

impl Role {
    /// The role as text.
    pub const fn as_str(self) -> &'static str {
        match self {
            Role::Mixed => "mixed",
            Role::Prefill => "prefill",
            Role::Decode => "decode",
        }
    }

    fn parse(text: &str) -> Result<Self, Misfit> {
        [Role::Mixed, Role::Prefill, Role::Decode]
            .into_iter()
            .find(|it| it.as_str() == text)
            .ok_or(Misfit)
    }
}

fn parse_address(text: &str) -> Result<SocketAddr, Misfit> {
    let address = parse::<SocketAddr>(text)?;
    if address.port() == 0 || address.ip().is_unspecified() {
        return Err(Misfit);
    }
    Ok(address)
}

fn parse_name(text: &str) -> Result<&str, Misfit> {
    match row::Key::new(row::Kind::Server, text) {
        Ok(_) => Ok(text),
        Err(_) => Err(Misfit),
    }
}
