//! Parses the settings file of an instance, an INI file. It is validated before any socket is bound.

use std::{
    fs,
    net::{IpAddr, SocketAddr},
    num::NonZeroUsize,
    path::Path,
    str::FromStr,
    sync::Arc,
    time::Duration,
};

use ini::{Ini, ParseOption};
use rustix::process::{Resource, getrlimit};

use crate::{budget, memory, quarantine};

/// Settings that one instance needs to start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Data centre of the instance.
    pub centre: Arc<str>,
    /// Addresses to listen at.
    pub listen: Listen,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Reads and writes per second that the store allows to all instances together.
    pub store_calls_per_s: (f64, f64),
    /// Addresses of other instances to contact before any are known from the store.
    pub seeds: Vec<SocketAddr>,
    /// Address at which other instances reach this one: its own, or that of a proxy in front of it.
    pub advertised: SocketAddr,
    /// Bandwidth of this instance's own link, in bytes per second.
    pub link_bytes_per_s: f64,
    /// How long callers may cache a response of the directory.
    pub directory_ttl: Duration,
    /// Policy of the shared retry budget.
    pub retries: budget::Policy,
    /// The window over which quotas of organisations are checked.
    pub quota_window: Duration,
    /// Minimum interval between orders of two successive holders of the lease.
    pub order_gap: Duration,
    /// How long after the publication of newer weights requests may still start on older ones.
    pub max_stale_weights: Duration,
    /// When requests that crash servers are quarantined, and for how long.
    pub quarantine: quarantine::Policy,
    /// Time from SIGTERM until the platform kills the process.
    pub shutdown_grace: Duration,
    /// Memory of the machine, in bytes.
    pub memory_bytes: usize,
    /// Number of descriptors that the process may have open.
    pub max_descriptors: usize,
    /// Maximum log lines per second; lines above it are dropped and counted.
    pub log_lines_per_s: u32,
}

/// Addresses that one instance listens at.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Listen {
    /// Callers' requests.
    pub callers: SocketAddr,
    /// Readiness probes.
    pub ready: SocketAddr,
    /// Directory lookups.
    pub directory: SocketAddr,
    /// Datagrams and connections of other instances.
    pub peers: SocketAddr,
    /// Requests for metrics.
    pub metrics: SocketAddr,
}

/// Why a settings file is invalid.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The file can't be read or isn't valid INI.
    #[error("{path}: {reason}")]
    File {
        /// Path of the file.
        path: String,
        /// Error from reading the file or parsing the INI.
        reason: String,
    },
    /// A required key is missing or empty.
    #[error("[{section}] {key}: missing; expected {expected}")]
    Missing {
        /// Section of the key.
        section: &'static str,
        /// Name of the key.
        key: &'static str,
        /// Description of a valid value.
        expected: &'static str,
    },
    /// A section or key is unknown, for example misspelt.
    #[error("[{section}] {key}: no such setting")]
    Unknown {
        /// Section of the key.
        section: String,
        /// Name of the key.
        key: String,
    },
    /// A value is invalid.
    #[error("[{section}] {key} = {found}: expected {expected}")]
    Value {
        /// Section of the key.
        section: &'static str,
        /// Name of the key.
        key: &'static str,
        /// Value in the file.
        found: String,
        /// Description of a valid value.
        expected: &'static str,
    },
}

/// Reads and validates the file at `path`.
pub fn open(path: &Path) -> Result<Settings, Error> {
    let file_error = |reason: String| Error::File { path: path.display().to_string(), reason };
    let text = fs::read_to_string(path).map_err(|it| file_error(it.to_string()))?;
    let ini = load(&text).map_err(|it| file_error(it.to_string()))?;
    from_ini(&ini)
}

/// Parses and validates settings. The path in errors is `-`.
pub fn parse(text: &str) -> Result<Settings, Error> {
    let file_error = |it: ini::ParseError| Error::File { path: "-".into(), reason: it.to_string() };
    from_ini(&load(text).map_err(file_error)?)
}

/// Values are taken as they are: the platform escapes and quotes nothing.
fn load(text: &str) -> Result<Ini, ini::ParseError> {
    let options =
        ParseOption { enabled_quote: false, enabled_escape: false, ..ParseOption::default() };
    Ini::load_from_str_opt(text, options)
}

/// Reads and writes per second at the store if the settings are empty, as are the following: what the platform leaves empty
/// it has no rule for.
const DEFAULT_CALLS_PER_S: (f64, f64) = (2_000.0, 400.0);
/// How long callers may cache a response of the directory.
const DEFAULT_DIRECTORY_TTL: Duration = Duration::from_secs(2);
/// Policy of the retry budget, as strict as that of known deployments.
const DEFAULT_RETRIES: budget::Policy =
    budget::Policy { ratio: 0.1, window: Duration::from_secs(10), slack: 10.0 };
/// Minimum interval between orders of two holders of the lease.
const DEFAULT_ORDER_GAP: Duration = Duration::from_secs(3);
/// Time from SIGTERM until the process is killed.
const DEFAULT_SHUTDOWN_GRACE: Duration = Duration::from_secs(5);
/// Log lines per second.
const DEFAULT_LOG_LINES: f64 = 400.0;

/// How long requests may start on replaced weights if the setting is empty: the shortest limit of any known
/// deployment.
const DEFAULT_MAX_STALE_WEIGHTS: Duration = Duration::from_secs(8);

/// The window over which quotas are checked if the setting is empty.
const DEFAULT_QUOTA_WINDOW: Duration = Duration::from_secs(10);

/// Bandwidth of the link in Mbit/s if the setting is empty: the lowest of any known deployment.
const DEFAULT_LINK_MBIT_PER_S: f64 = 10.0;
const BYTES_PER_MBIT: f64 = 125_000.0;

/// Values that a numeric setting may have.
struct Range {
    max: f64,
    /// Its unit, in seconds.
    unit_s: f64,
    /// Description for errors.
    expected: &'static str,
}

const COUNT: Range = Range { max: 1e9, unit_s: 0.0, expected: "a number from 0 to 1000000000" };
const SECONDS: Range =
    Range { max: 3_600.0, unit_s: 1.0, expected: "a number of seconds from 0 to 3600" };
const MILLISECONDS: Range =
    Range { max: 3_600e3, unit_s: 1e-3, expected: "a number of milliseconds from 0 to 3600000" };

/// Names of all settings, by section.
const KNOWN_KEYS: [(&str, &[&str]); 15] = [
    ("instance", &["name", "data_centre"]),
    ("listen", &["callers", "ready", "directory", "peers", "metrics"]),
    ("store", &["address", "reads_per_second", "writes_per_second"]),
    ("peers", &["seeds", "advertised"]),
    ("link", &["mbit_per_second"]),
    ("directory", &["ttl_s"]),
    ("retries", &["ratio", "window_s", "slack"]),
    ("quotas", &["window_s"]),
    ("orders", &["gap_ms"]),
    ("weights", &["oldest_ms"]),
    ("quarantine", &["crashes", "keep_s"]),
    ("shutdown", &["grace_s"]),
    ("memory", &["limit_mb"]),
    ("descriptors", &["limit"]),
    ("log", &["lines_per_second"]),
];

fn check_keys(ini: &Ini) -> Result<(), Error> {
    for (section, properties) in ini.iter() {
        let section = section.unwrap_or_default();
        let known = KNOWN_KEYS.iter().find(|it| it.0 == section).map_or(&[][..], |it| it.1);
        for (key, _) in properties.iter() {
            if !known.contains(&key) {
                return Err(Error::Unknown { section: section.to_owned(), key: key.to_owned() });
            }
        }
    }
    Ok(())
}

fn from_ini(ini: &Ini) -> Result<Settings, Error> {
    check_keys(ini)?;
    let listen = Listen {
        callers: address(ini, "listen", "callers")?,
        ready: address(ini, "listen", "ready")?,
        directory: address(ini, "listen", "directory")?,
        peers: address(ini, "listen", "peers")?,
        metrics: address(ini, "listen", "metrics")?,
    };
    Ok(Settings {
        name: Arc::from(text(ini, "instance", "name", "a name")?),
        centre: Arc::from(text(ini, "instance", "data_centre", "a name")?),
        seeds: seeds(ini, listen.peers.port())?,
        advertised: match ini.get_from(Some("peers"), "advertised") {
            None | Some("") => listen.peers,
            Some(_) => address(ini, "peers", "advertised")?,
        },
        listen,
        store: address(ini, "store", "address")?,
        store_calls_per_s: (
            quantity_or(ini, "store", "reads_per_second", &COUNT, DEFAULT_CALLS_PER_S.0)?,
            quantity_or(ini, "store", "writes_per_second", &COUNT, DEFAULT_CALLS_PER_S.1)?,
        ),
        link_bytes_per_s: link_bytes_per_s(ini)?,
        directory_ttl: duration_or(ini, "directory", "ttl_s", &SECONDS, DEFAULT_DIRECTORY_TTL)?,
        retries: budget::Policy {
            ratio: quantity_or(ini, "retries", "ratio", &COUNT, DEFAULT_RETRIES.ratio)?,
            window: duration_or(ini, "retries", "window_s", &SECONDS, DEFAULT_RETRIES.window)?,
            slack: quantity_or(ini, "retries", "slack", &COUNT, DEFAULT_RETRIES.slack)?,
        },
        quota_window: duration_or(ini, "quotas", "window_s", &SECONDS, DEFAULT_QUOTA_WINDOW)?,
        order_gap: duration_or(ini, "orders", "gap_ms", &MILLISECONDS, DEFAULT_ORDER_GAP)?,
        max_stale_weights: duration_or(
            ini,
            "weights",
            "oldest_ms",
            &MILLISECONDS,
            DEFAULT_MAX_STALE_WEIGHTS,
        )?,
        quarantine: quarantine(ini)?,
        shutdown_grace: duration_or(ini, "shutdown", "grace_s", &SECONDS, DEFAULT_SHUTDOWN_GRACE)?,
        memory_bytes: memory_bytes(ini)?,
        max_descriptors: max_descriptors(ini)?,
        log_lines_per_s: quantity_or(ini, "log", "lines_per_second", &COUNT, DEFAULT_LOG_LINES)?
            as u32,
    })
}

const BYTES_PER_MB: f64 = 1e6;
const BYTES_PER_KIB: usize = 1_024;

/// Memory of the machine. The setting is empty if the platform states no limit; then it is what the system says.
fn memory_bytes(ini: &Ini) -> Result<usize, Error> {
    if !is_set(ini, "memory", "limit_mb") {
        return Ok(system_memory_bytes().unwrap_or(memory::DEFAULT_MACHINE_BYTES));
    }
    let megabytes = quantity(ini, "memory", "limit_mb", &COUNT)?;
    if 0.0 < megabytes {
        return Ok((megabytes * BYTES_PER_MB) as usize);
    }
    Err(Error::Value {
        section: "memory",
        key: "limit_mb",
        found: text(ini, "memory", "limit_mb", COUNT.expected)?.to_owned(),
        expected: "a number above 0",
    })
}

fn system_memory_bytes() -> Option<usize> {
    let text = fs::read_to_string("/proc/meminfo").ok()?;
    let total = text.lines().find_map(|it| it.strip_prefix("MemTotal:"))?;
    let kibibytes: usize = total.trim().strip_suffix("kB")?.trim().parse().ok()?;
    kibibytes.checked_mul(BYTES_PER_KIB)
}

/// The least limit on descriptors with which an instance can serve anybody.
const MIN_DESCRIPTORS: usize = 256;

/// Descriptors of the process. The setting is empty if the platform states no limit; then it is what the system says.
fn max_descriptors(ini: &Ini) -> Result<usize, Error> {
    const EXPECTED: &str = "a number from 256";
    if !is_set(ini, "descriptors", "limit") {
        let limit = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
        return Ok(usize::try_from(limit).unwrap_or(usize::MAX).max(MIN_DESCRIPTORS));
    }
    let limit = number::<f64>(ini, "descriptors", "limit", EXPECTED)?;
    if MIN_DESCRIPTORS as f64 <= limit {
        return Ok(limit.min(COUNT.max) as usize);
    }
    let found = text(ini, "descriptors", "limit", EXPECTED)?.to_owned();
    Err(Error::Value { section: "descriptors", key: "limit", found, expected: EXPECTED })
}

/// Policy of the quarantine if nothing is set.
const DEFAULT_QUARANTINE: quarantine::Policy =
    quarantine::Policy { crash_threshold: 3, retention: Duration::from_secs(600) };

fn quarantine(ini: &Ini) -> Result<quarantine::Policy, Error> {
    let mut policy = DEFAULT_QUARANTINE;
    if is_set(ini, "quarantine", "crashes") {
        let crashes: NonZeroUsize = number(ini, "quarantine", "crashes", "a number above 0")?;
        policy.crash_threshold = crashes.get();
    }
    if is_set(ini, "quarantine", "keep_s") {
        let retention_s: u32 = number(ini, "quarantine", "keep_s", "a whole number of seconds")?;
        policy.retention = Duration::from_secs(retention_s.into());
    }
    Ok(policy)
}

/// Bandwidth of the link in bytes per second. The setting is empty if the platform states no limit.
fn link_bytes_per_s(ini: &Ini) -> Result<f64, Error> {
    let mbit: f64 = match is_set(ini, "link", "mbit_per_second") {
        true => quantity(ini, "link", "mbit_per_second", &COUNT)?,
        false => DEFAULT_LINK_MBIT_PER_S,
    };
    // At a bandwidth of zero no response would ever be sent.
    let mbit = if 0.0 < mbit { mbit } else { DEFAULT_LINK_MBIT_PER_S };
    Ok(mbit * BYTES_PER_MBIT)
}

/// Seeds may have the port of any listener. It is replaced by `peer_port`, the port at which all instances listen for
/// each other.
fn seeds(ini: &Ini, peer_port: u16) -> Result<Vec<SocketAddr>, Error> {
    let Some(list) = ini.get_from(Some("peers"), "seeds") else { return Ok(Vec::new()) };
    let entries = list.split(',').map(str::trim).filter(|it| !it.is_empty());
    entries
        .map(|it| {
            let host = it.rsplit_once(':').map_or(it, |it| it.0);
            let ip = IpAddr::from_str(host).map_err(|_| Error::Value {
                section: "peers",
                key: "seeds",
                found: it.to_owned(),
                expected: "addresses separated by commas",
            })?;
            Ok(SocketAddr::new(ip, peer_port))
        })
        .collect()
}

/// Whether the setting has a value. The platform leaves those empty that it has none for.
fn is_set(ini: &Ini, section: &str, key: &str) -> bool {
    ini.get_from(Some(section), key).is_some_and(|it| !it.is_empty())
}

fn text<'a>(
    ini: &'a Ini,
    section: &'static str,
    key: &'static str,
    expected: &'static str,
) -> Result<&'a str, Error> {
    let found = ini.get_from(Some(section), key).filter(|it| !it.is_empty());
    found.ok_or(Error::Missing { section, key, expected })
}

/// A number within `range`.
fn quantity(
    ini: &Ini,
    section: &'static str,
    key: &'static str,
    range: &Range,
) -> Result<f64, Error> {
    let value: f64 = number(ini, section, key, range.expected)?;
    if (0.0..=range.max).contains(&value) {
        return Ok(value);
    }
    let found = text(ini, section, key, range.expected)?.to_owned();
    Err(Error::Value { section, key, found, expected: range.expected })
}

/// The same, or `default` if the setting is empty.
fn quantity_or(
    ini: &Ini,
    section: &'static str,
    key: &'static str,
    range: &Range,
    default: f64,
) -> Result<f64, Error> {
    match is_set(ini, section, key) {
        true => quantity(ini, section, key, range),
        false => Ok(default),
    }
}

fn duration_or(
    ini: &Ini,
    section: &'static str,
    key: &'static str,
    range: &Range,
    default: Duration,
) -> Result<Duration, Error> {
    match is_set(ini, section, key) {
        true => duration(ini, section, key, range),
        false => Ok(default),
    }
}

fn duration(
    ini: &Ini,
    section: &'static str,
    key: &'static str,
    range: &Range,
) -> Result<Duration, Error> {
    quantity(ini, section, key, range).map(|it| Duration::from_secs_f64(it * range.unit_s))
}

fn number<T: FromStr>(
    ini: &Ini,
    section: &'static str,
    key: &'static str,
    expected: &'static str,
) -> Result<T, Error> {
    let found = text(ini, section, key, expected)?;
    let invalid = || Error::Value { section, key, found: found.to_owned(), expected };
    found.parse().map_err(|_| invalid())
}

fn address(ini: &Ini, section: &'static str, key: &'static str) -> Result<SocketAddr, Error> {
    number(ini, section, key, "IP:PORT")
}
