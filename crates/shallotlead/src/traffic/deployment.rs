//! The two deployments that shallotlead is built for, at today's size.

use std::{fmt, str::FromStr};

/// A deployment.
#[derive(Debug)]
pub struct Deployment {
    /// Its name on the command line.
    pub name: &'static str,
    /// Its region.
    pub region: &'static str,
    /// Its data centres.
    pub centres: &'static [&'static str],
    /// The model that its engines serve.
    pub model: &'static str,
    /// Number of model engines.
    pub engines: usize,
    /// Its plain service.
    pub service: &'static str,
    /// The service's call that must not run twice.
    pub service_path: &'static str,
    /// Number of the service's servers.
    pub service_servers: usize,
    /// Its organisations.
    pub organisations: &'static [Organisation],
    /// How many engines may load weights together.
    pub load_concurrency: u32,
    /// Price of a recomputed prompt token, in microseconds of time to first token.
    pub recompute_price: f64,
    /// Time to first token that callers expect, in milliseconds.
    pub first_token_target_ms: u32,
    /// Lengths of the shared parts of prompts.
    pub lengths: Lengths,
}

/// An organisation.
#[derive(Debug)]
pub struct Organisation {
    /// Its name.
    pub name: &'static str,
    /// Its share of the traffic, relative to the others.
    pub share: f64,
}

/// Lengths in bytes of what prompts share, level by level.
#[derive(Debug)]
pub struct Lengths {
    /// Instructions, the same for all of an organisation's prompts.
    pub instructions: usize,
    /// One survey or fault history.
    pub history: usize,
    /// Histories of each organisation.
    pub histories: usize,
}

/// Umezeală Expert Vechi: damp reports, where tail time to first token counts most.
pub const UMEZEALA: Deployment = Deployment {
    name: "umezeala",
    region: "ro-nord",
    centres: &["cluj-a", "cluj-b", "iasi-c"],
    model: "damp-assistant",
    engines: 9,
    service: "report",
    service_path: "/reports",
    service_servers: 3,
    organisations: &[
        Organisation { name: "casa-expert", share: 8.0 },
        Organisation { name: "nord-asigurari", share: 5.0 },
        Organisation { name: "cluj-locuinte", share: 3.0 },
        Organisation { name: "iasi-locuinte", share: 1.0 },
        Organisation { name: "primaria-cluj", share: 1.0 },
        Organisation { name: "studio-mucegai", share: 0.5 },
        Organisation { name: "evaluatori-uniti", share: 0.5 },
        Organisation { name: "chiriasi-iasi", share: 0.5 },
    ],
    load_concurrency: 2,
    recompute_price: 20.0,
    first_token_target_ms: 500,
    lengths: Lengths { instructions: 8_192, history: 6_144, histories: 6 },
};

/// Ubuntu Connect: kiosk upkeep, where wasted recomputation and hit rate count most.
pub const UBUNTU_CONNECT: Deployment = Deployment {
    name: "ubuntu-connect",
    region: "gauteng",
    centres: &["soweto-hall", "tembisa-hall", "pretoria-hall", "germiston-hall"],
    model: "repair-coder",
    engines: 18,
    service: "kiosk",
    service_path: "/dispatches",
    service_servers: 4,
    organisations: &[
        Organisation { name: "soweto-upkeep", share: 8.0 },
        Organisation { name: "tembisa-upkeep", share: 6.0 },
        Organisation { name: "rural-lines", share: 3.0 },
        Organisation { name: "clinic-lines", share: 1.0 },
        Organisation { name: "police-lines", share: 1.0 },
        Organisation { name: "payphone-trust", share: 1.0 },
        Organisation { name: "school-kiosks", share: 0.5 },
        Organisation { name: "market-kiosks", share: 0.5 },
    ],
    load_concurrency: 3,
    recompute_price: 80.0,
    first_token_target_ms: 800,
    lengths: Lengths { instructions: 6_144, history: 16_384, histories: 6 },
};

impl Deployment {
    /// Both deployments.
    pub const ALL: [&'static Deployment; 2] = [&UMEZEALA, &UBUNTU_CONNECT];
}

/// A name that no deployment has.
#[derive(Debug)]
pub struct Unknown(String);

impl fmt::Display for Unknown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names = Deployment::ALL.map(|it| it.name).join(" or ");
        write!(f, "expected {names}, got {}", self.0)
    }
}

/// A deployment named on the command line.
#[derive(Clone, Copy, Debug)]
pub struct Named(pub &'static Deployment);

impl FromStr for Named {
    type Err = Unknown;

    fn from_str(text: &str) -> Result<Self, Unknown> {
        let found = Deployment::ALL.into_iter().find(|it| it.name == text);
        found.map(Named).ok_or_else(|| Unknown(text.to_owned()))
    }
}

/// The API key of an organisation in demos.
pub fn key(organisation: &str) -> String {
    format!("demo-{organisation}")
}
