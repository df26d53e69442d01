//! Columns of the table.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::error::Error;

macro_rules! columns {
    ($($(#[$doc:meta])* $name:ident = $text:literal, $help:literal;)*) => {
        /// A column. Which rows have it is said by [`crate::row::Kind::columns`].
        #[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(rename_all = "snake_case")]
        pub enum Column {
            $($(#[$doc])* $name,)*
        }

        impl Column {
            /// All columns.
            pub const ALL: &'static [Column] = &[$(Column::$name,)*];

            /// The column's name.
            pub const fn as_str(self) -> &'static str {
                match self { $(Column::$name => $text,)* }
            }

            /// What its cells hold, with unit and range.
            pub const fn help(self) -> &'static str {
                match self { $(Column::$name => $help,)* }
            }
        }
    };
}

columns! {
    /// Relative share.
    Weight = "weight", "relative share of work, 0 to 1000; 0 drains a server";
    /// Limit on requests.
    RequestsPerSecond = "requests_per_second", "most requests a second over all instances; empty: no limit";
    /// Limit on tokens.
    TokensPerMinute = "tokens_per_minute", "most prompt and generated tokens a minute over all instances; empty: no limit";
    /// Limit on concurrency.
    Concurrency = "concurrency", "most requests at once over all instances; empty: no limit";
    /// Highest priority.
    MaxPriority = "max_priority", "highest priority that callers may ask for, 0 (bulk) to 9 (urgent)";
    /// Allowed models.
    Models = "models", "models that may be used, separated by spaces; empty: all";
    /// API keys.
    KeyHashes = "key_hashes", "SHA-256 of each API key in lowercase hexadecimal, separated by spaces";
    /// What serves the model.
    Kind = "kind", "engine or service";
    /// Version of the weights.
    Weights = "weights", "version of the weights, a whole number";
    /// Price of recomputed tokens.
    RecomputePrice = "recompute_price", "price of a recomputed prompt token in microseconds of time to first token, 0 to 100000";
    /// Target for the first token.
    FirstTokenTargetMs = "first_token_target_ms", "time to first token that callers expect, in milliseconds, 1 to 600000";
    /// Fewest replicas.
    MinReplicas = "min_replicas", "fewest servers that hold the weights, 0 to 10000";
    /// Concurrent loads.
    LoadConcurrency = "load_concurrency", "most servers that load weights at once, 1 to 1000";
    /// Where the server listens.
    Address = "address", "IP address and port";
    /// Data centre.
    Centre = "centre", "name of the data centre";
    /// Model served.
    Model = "model", "name of the model or plain service that it serves";
    /// Role.
    Role = "role", "mixed, prefill or decode";
    /// Checks fencing tokens.
    ChecksFence = "checks_fence", "true when the server refuses orders with an old fencing token, else false";
}

impl fmt::Display for Column {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

impl FromStr for Column {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.iter().copied().find(|it| it.as_str() == text);
        found.ok_or_else(|| Error::ColumnUnknown(text.to_owned()))
    }
}
