//! Which instance an operator's subcommand talks to, and as whom.

use std::{env, net::SocketAddr};

use shallotlead_admin::client::Client;

use crate::command::Failure;

const ADDRESS: &str = "SHALLOTLEAD_ADDRESS";
const KEY: &str = "SHALLOTLEAD_KEY";

/// Connection options, given before the subcommand or by environment variables.
#[derive(Clone, Debug, Default)]
pub(crate) struct Connection {
    /// `--address`.
    pub(crate) address: Option<String>,
    /// `--key`.
    pub(crate) key: Option<String>,
}

impl Connection {
    /// A client of the instance that the options name.
    pub(crate) fn client(&self) -> Result<Client, Failure> {
        let address =
            read(&self.address, ADDRESS, "--address", "an instance's operators' address")?;
        let address = address.parse::<SocketAddr>().map_err(|_| {
            Failure::Usage(format!(
                "`{address}` is no address: expected IP:PORT, as 127.0.0.1:7201"
            ))
        })?;
        let key = read(&self.key, KEY, "--key", "an operator's key")?;
        Ok(Client::new(address, &key))
    }
}

fn read(
    option: &Option<String>,
    variable: &str,
    name: &str,
    what: &str,
) -> Result<String, Failure> {
    if let Some(it) = option {
        return Ok(it.clone());
    }
    env::var(variable).map_err(|_| {
        Failure::Usage(format!("give {what}: {name} before the subcommand, or set {variable}"))
    })
}

impl From<shallotlead_admin::client::Error> for Failure {
    fn from(error: shallotlead_admin::client::Error) -> Self {
        Failure::Failed(error.to_string())
    }
}

/// Prints `value` as one line of JSON.
pub(crate) fn print_json(value: &impl serde::Serialize) -> Result<(), Failure> {
    let text = serde_json::to_string(value).map_err(|it| Failure::Failed(it.to_string()))?;
    println!("{text}");
    Ok(())
}
