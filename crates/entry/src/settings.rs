//! Settings: one INI file, read into plain structs and checked in full before anything binds.

use std::{fs, net::SocketAddr, path::Path, sync::Arc, time::Duration};

use shallotlead_admin::key::Operator;
use shallotlead_base::{code::Code, name};

use crate::settings::{
    error::{Error, Errors},
    reader::Reader,
    seed::Seed,
};

pub mod error;
mod reader;
pub mod seed;
#[cfg(test)]
mod tests;

/// The settings of one entry instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Who it is.
    pub instance: Instance,
    /// Its side towards callers.
    pub callers: Callers,
    /// Its side towards operators.
    pub operators: Operators,
    /// Its side towards other instances.
    pub peers: Peers,
    /// The platform's services.
    pub platform: Platform,
    /// Keys that all instances share.
    pub keys: Keys,
    /// What is logged, and how.
    pub log: Log,
}

/// `[instance]`: who the instance is.
#[derive(Clone, Debug)]
pub struct Instance {
    /// Its name, unique over all instances.
    pub name: name::Instance,
    /// Its data centre.
    pub centre: name::Centre,
    /// Its region.
    pub region: name::Region,
}

/// `[callers]`: the side towards callers, with the bounds on what a caller may use up.
#[derive(Clone, Debug)]
pub struct Callers {
    /// Where to listen.
    pub address: SocketAddr,
    /// Connections that may be open at once.
    pub max_connections: usize,
    /// Connections that one IP address may hold open at once.
    pub max_connections_per_peer: usize,
    /// Largest request head.
    pub max_head_bytes: usize,
    /// Most header fields in a request.
    pub max_headers: usize,
    /// Largest request body.
    pub max_body_bytes: usize,
    /// Bytes of request bodies held at once.
    pub max_buffered_bytes: usize,
    /// Longest wait for a whole request head, idle time before it included.
    pub head_timeout: Duration,
    /// Longest wait for a whole request body.
    pub body_timeout: Duration,
    /// How long a caller may read nothing while an answer waits for it.
    pub stall_timeout: Duration,
    /// How long a caller may keep an answer of the address page.
    pub address_ttl: Duration,
    /// Threads that serve callers' connections.
    pub threads: usize,
}

/// `[operators]`: the side towards operators.
#[derive(Clone, Debug)]
pub struct Operators {
    /// Where to listen for health checks, metrics and administration.
    pub address: SocketAddr,
    /// Who may use the administration API.
    pub keys: Vec<Operator>,
}

/// `[peers]`: the side towards other instances.
#[derive(Clone, Debug)]
pub struct Peers {
    /// Where to listen (UDP).
    pub address: SocketAddr,
    /// Instances to try while the platform's list can't be read.
    pub seeds: Vec<Seed>,
    /// Most instances that may run at once. Each owns an equal part of every limit.
    pub max_instances: u32,
    /// How the instances know each other; an instance without runs alone.
    pub credentials: Option<Credentials>,
}

/// How the instances know each other, in PEM.
#[derive(Clone)]
pub enum Credentials {
    /// The instance makes its certificate at start.
    Made {
        /// The authority's certificate.
        authority: Arc<str>,
        /// The authority's private key.
        authority_key: Arc<str>,
    },
    /// The instance's certificate was signed elsewhere.
    Signed {
        /// Certificates of the trusted authorities, one after the other.
        authority: Arc<str>,
        /// The instance's certificate.
        certificate: Arc<str>,
        /// The instance's private key.
        private_key: Arc<str>,
    },
}

impl std::fmt::Debug for Credentials {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Credentials(..)")
    }
}

/// `[platform]`: the platform's services.
#[derive(Clone, Debug)]
pub struct Platform {
    /// Address of the object API.
    pub objects: SocketAddr,
    /// Address of the instance list.
    pub list: SocketAddr,
    /// Longest wait for an answer.
    pub timeout: Duration,
    /// Reads a second that all instances together may make.
    pub reads_per_second: u32,
    /// Writes a second that all instances together may make.
    pub writes_per_second: u32,
    /// Watches that all instances together may hold.
    pub watches: u32,
    /// Instances that share these rates, until the live ones are known.
    pub instances: u32,
}

/// `[keys]`: keys that all instances share.
#[derive(Clone)]
pub struct Keys {
    /// Signs event ids.
    pub event_id: [u8; KEY_BYTES],
    /// Signed event ids before the last change of key; still accepted.
    pub event_id_previous: Option<[u8; KEY_BYTES]>,
}

/// Length of a shared key.
pub const KEY_BYTES: usize = 32;

impl std::fmt::Debug for Keys {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Keys(..)")
    }
}

/// `[log]`: what is logged, and how.
#[derive(Clone, Debug)]
pub struct Log {
    /// The least severe level that is logged.
    pub level: log::LevelFilter,
    /// The form of a line.
    pub format: Format,
    /// Log file; standard error when absent.
    pub file: Option<Arc<Path>>,
}

/// The form of a log line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Format {
    /// One JSON object a line.
    Json,
    /// `key=value` pairs.
    Pairs,
}

/// Reads and checks the settings in `file`. All faults are reported, not the first alone.
pub fn open(file: &Path) -> Result<Settings, Errors> {
    match fs::read_to_string(file) {
        Ok(text) => parse(file, &text),
        Err(err) => Err(Errors::from(Error {
            code: Code::SettingsUnreadable,
            file: file.to_path_buf(),
            section: String::new(),
            key: String::new(),
            expected: "a readable file of UTF-8 text".to_owned(),
            found: Some(err.to_string()),
        })),
    }
}

/// Checks the settings in `text`. `file` names it in errors.
pub fn parse(file: &Path, text: &str) -> Result<Settings, Errors> {
    let mut reader = Reader::open(file, text)?;
    let settings = read(&mut reader);
    reader.close()?;
    // A missing value has left an error with the reader, so that `close` has returned above.
    settings.ok_or_else(|| Errors(Vec::new()))
}

fn read(reader: &mut Reader) -> Option<Settings> {
    // Each part is read even when an earlier one failed, so that all faults come out at once.
    let instance = instance(reader);
    let callers = callers(reader);
    let operators = operators(reader);
    let peers = peers(reader);
    let platform = platform(reader);
    let keys = keys(reader);
    let log = log(reader);
    Some(Settings {
        instance: instance?,
        callers: callers?,
        operators: operators?,
        peers: peers?,
        platform: platform?,
        keys: keys?,
        log: log?,
    })
}

fn instance(reader: &mut Reader) -> Option<Instance> {
    let name = reader.name("instance", "name");
    let centre = reader.name("instance", "centre");
    let region = reader.name("instance", "region");
    Some(Instance { name: name?.into(), centre: centre?.into(), region: region?.into() })
}

fn callers(reader: &mut Reader) -> Option<Callers> {
    const SECTION: &str = "callers";
    let address = reader.address(SECTION, "address");
    let max_connections = reader.size(SECTION, "max_connections", 4096, 1..=65_536);
    let max_connections_per_peer =
        reader.size(SECTION, "max_connections_per_peer", 1024, 1..=65_536);
    let max_head_bytes = reader.size(SECTION, "max_head_bytes", 32_768, 8_192..=65_536);
    let max_headers = reader.size(SECTION, "max_headers", 64, 8..=256);
    let max_body_bytes = reader.size(SECTION, "max_body_bytes", 4 << 20, 1_024..=64 << 20);
    let max_buffered_bytes =
        reader.size(SECTION, "max_buffered_bytes", 256 << 20, 64 << 20..=16 << 30);
    let head_timeout = reader.millis(SECTION, "head_timeout_ms", 15_000, 100..=120_000);
    let body_timeout = reader.millis(SECTION, "body_timeout_ms", 30_000, 100..=600_000);
    let stall_timeout = reader.millis(SECTION, "stall_timeout_ms", 60_000, 100..=600_000);
    let address_ttl = reader.millis(SECTION, "address_ttl_ms", 5_000, 100..=60_000);
    let threads = reader.size(SECTION, "threads", 2, 1..=16);
    Some(Callers {
        address: address?,
        max_connections: max_connections?,
        max_connections_per_peer: max_connections_per_peer?,
        max_head_bytes: max_head_bytes?,
        max_headers: max_headers?,
        max_body_bytes: max_body_bytes?,
        max_buffered_bytes: max_buffered_bytes?,
        head_timeout: head_timeout?,
        body_timeout: body_timeout?,
        stall_timeout: stall_timeout?,
        address_ttl: address_ttl?,
        threads: threads?,
    })
}

fn operators(reader: &mut Reader) -> Option<Operators> {
    const SECTION: &str = "operators";
    let address = reader.address(SECTION, "address");
    let keys = reader.operators(SECTION, "keys");
    Some(Operators { address: address?, keys: keys? })
}

fn peers(reader: &mut Reader) -> Option<Peers> {
    const SECTION: &str = "peers";
    let address = reader.address(SECTION, "address");
    let seeds = reader.seeds(SECTION, "seeds");
    let max_instances = reader.count(SECTION, "max_instances", 8, 1..=10_000);
    let credentials = credentials(reader, SECTION);
    Some(Peers {
        address: address?,
        seeds: seeds?,
        max_instances: max_instances?,
        credentials: credentials?,
    })
}

fn credentials(reader: &mut Reader, section: &'static str) -> Option<Option<Credentials>> {
    let authority = reader.content(section, "authority")?;
    let authority_key = reader.content(section, "authority_key")?;
    let certificate = reader.content(section, "certificate")?;
    let private_key = reader.content(section, "private_key")?;
    match (authority, authority_key, certificate, private_key) {
        (None, None, None, None) => Some(None),
        (Some(authority), Some(authority_key), None, None) => {
            Some(Some(Credentials::Made { authority, authority_key }))
        }
        (Some(authority), None, Some(certificate), Some(private_key)) => {
            Some(Some(Credentials::Signed { authority, certificate, private_key }))
        }
        _ => {
            let expected =
                "none of them, authority_key alone, or certificate and private_key, with authority";
            reader.fault(Code::SettingMissing, section, "authority", expected, None);
            None
        }
    }
}

fn platform(reader: &mut Reader) -> Option<Platform> {
    const SECTION: &str = "platform";
    let objects = reader.address(SECTION, "objects");
    let list = reader.address(SECTION, "list");
    let timeout = reader.millis(SECTION, "timeout_ms", 2_000, 50..=30_000);
    let reads_per_second = reader.count(SECTION, "reads_per_second", 1_500, 1..=100_000);
    let writes_per_second = reader.count(SECTION, "writes_per_second", 250, 1..=100_000);
    let watches = reader.count(SECTION, "watches", 200, 1..=100_000);
    let instances = reader.count(SECTION, "instances", 8, 1..=10_000);
    Some(Platform {
        objects: objects?,
        list: list?,
        timeout: timeout?,
        reads_per_second: reads_per_second?,
        writes_per_second: writes_per_second?,
        watches: watches?,
        instances: instances?,
    })
}

fn keys(reader: &mut Reader) -> Option<Keys> {
    const SECTION: &str = "keys";
    let event_id = reader.key(SECTION, "event_id");
    let event_id_previous = reader.optional_key(SECTION, "event_id_previous");
    Some(Keys { event_id: event_id?, event_id_previous })
}

fn log(reader: &mut Reader) -> Option<Log> {
    const SECTION: &str = "log";
    let levels = [
        ("error", log::LevelFilter::Error),
        ("warn", log::LevelFilter::Warn),
        ("info", log::LevelFilter::Info),
        ("debug", log::LevelFilter::Debug),
        ("trace", log::LevelFilter::Trace),
    ];
    let level = reader.choice(SECTION, "level", &levels, "info");
    let formats = [("pairs", Format::Pairs), ("json", Format::Json)];
    let format = reader.choice(SECTION, "format", &formats, "pairs");
    let file = reader.file(SECTION, "file");
    Some(Log { level: level?, format: format?, file })
}
