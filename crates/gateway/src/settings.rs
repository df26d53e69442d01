//! The settings file of an instance that runs the reactor: INI, checked before anything is bound.

use std::{
    fs,
    net::{IpAddr, SocketAddr},
    num::NonZeroUsize,
    path::Path,
    str::FromStr,
    sync::Arc,
    time::Duration,
};

use ini::Ini;

use crate::{budget, quarantine};

/// What one instance needs to know before it starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Its name.
    pub name: Arc<str>,
    /// Its data centre.
    pub centre: Arc<str>,
    /// Where it listens.
    pub listen: Listen,
    /// Where the platform's store is.
    pub store: SocketAddr,
    /// Reads and writes a second that the store allows all instances together.
    pub store_calls_per_s: (f64, f64),
    /// Addresses at which other instances may be met before the store has named them.
    pub seeds: Vec<SocketAddr>,
    /// Where other instances reach this one: its own address for them, or that of a proxy before it.
    pub advertised: SocketAddr,
    /// What this instance's own link carries, bytes a second.
    pub link_bytes_per_s: f64,
    /// How long callers may keep an answer of the directory.
    pub directory_ttl: Duration,
    /// The shared retry budget.
    pub retries: budget::Policy,
    /// Orders of two holders of the lease must lie this far apart.
    pub order_gap: Duration,
    /// How long after newer weights were named requests may still begin on older ones.
    pub max_stale_weights: Duration,
    /// When requests that crash servers are put in quarantine.
    pub quarantine: quarantine::Policy,
    /// Time between SIGTERM and the process's end by force.
    pub shutdown_grace: Duration,
    /// Log lines a second, from which on lines are dropped and counted.
    pub log_lines_per_s: u32,
}

/// The addresses of one instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Listen {
    /// Callers' requests.
    pub callers: SocketAddr,
    /// Readiness.
    pub ready: SocketAddr,
    /// Which addresses to use.
    pub directory: SocketAddr,
    /// Other instances: datagrams and connections.
    pub peers: SocketAddr,
    /// Metrics.
    pub metrics: SocketAddr,
}

/// Why a settings file can't be used.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// It can't be read or isn't INI.
    #[error("{path}: {reason}")]
    File {
        /// The file.
        path: String,
        /// Why.
        reason: String,
    },
    /// A key is missing.
    #[error("[{section}] {key}: missing; expected {expected}")]
    Missing {
        /// Its section.
        section: &'static str,
        /// The key.
        key: &'static str,
        /// What should stand there.
        expected: &'static str,
    },
    /// A section or key that doesn't exist, such as a misspelt one.
    #[error("[{section}] {key}: no such setting")]
    Unknown {
        /// Its section.
        section: String,
        /// The key.
        key: String,
    },
    /// A value doesn't fit.
    #[error("[{section}] {key} = {found}: expected {expected}")]
    Value {
        /// Its section.
        section: &'static str,
        /// The key.
        key: &'static str,
        /// What stands there.
        found: String,
        /// What should.
        expected: &'static str,
    },
}

/// Reads and checks the file at `path`.
pub fn open(path: &Path) -> Result<Settings, Error> {
    let file = |reason: String| Error::File { path: path.display().to_string(), reason };
    let text = fs::read_to_string(path).map_err(|it| file(it.to_string()))?;
    let ini = Ini::load_from_str(&text).map_err(|it| file(it.to_string()))?;
    read(&ini)
}

/// Checks settings that stand in `text`.
pub fn parse(text: &str) -> Result<Settings, Error> {
    let failed = |it: ini::ParseError| Error::File { path: "-".into(), reason: it.to_string() };
    read(&Ini::load_from_str(text).map_err(failed)?)
}

/// How long requests may begin on replaced weights where no bound is set: the shortest bound that any
/// deployment had.
const OLDEST_WEIGHTS: Duration = Duration::from_secs(8);

/// What a link carries where nothing is set, Mbit/s: the narrowest that any deployment had.
const LINK_MBIT: f64 = 10.0;
/// Bytes of a megabit.
const BYTES_PER_MBIT: f64 = 125_000.0;

/// All settings, by section.
const KNOWN: [(&str, &[&str]); 12] = [
    ("instance", &["name", "data_centre"]),
    ("listen", &["callers", "ready", "directory", "peers", "metrics"]),
    ("store", &["address", "reads_per_second", "writes_per_second"]),
    ("peers", &["seeds", "advertised"]),
    ("link", &["mbit_per_second"]),
    ("directory", &["ttl_ms"]),
    ("retries", &["ratio", "window_ms", "slack"]),
    ("orders", &["gap_ms"]),
    ("weights", &["oldest_ms"]),
    ("quarantine", &["crashes", "keep_s"]),
    ("shutdown", &["grace_ms"]),
    ("log", &["lines_per_second"]),
];

fn check_names(ini: &Ini) -> Result<(), Error> {
    for (section, properties) in ini.iter() {
        let section = section.unwrap_or_default();
        let known = KNOWN.iter().find(|it| it.0 == section).map_or(&[][..], |it| it.1);
        for (key, _) in properties.iter() {
            if !known.contains(&key) {
                return Err(Error::Unknown { section: section.to_owned(), key: key.to_owned() });
            }
        }
    }
    Ok(())
}

fn read(ini: &Ini) -> Result<Settings, Error> {
    check_names(ini)?;
    let millis = |section, key| number(ini, section, key, "a number of milliseconds").map(from_ms);
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
            number(ini, "store", "reads_per_second", "a number")?,
            number(ini, "store", "writes_per_second", "a number")?,
        ),
        link_bytes_per_s: link(ini)?,
        directory_ttl: millis("directory", "ttl_ms")?,
        retries: budget::Policy {
            ratio: number(ini, "retries", "ratio", "a number")?,
            window: millis("retries", "window_ms")?,
            slack: number(ini, "retries", "slack", "a number")?,
        },
        order_gap: millis("orders", "gap_ms")?,
        max_stale_weights: oldest_weights(ini)?,
        quarantine: quarantine(ini)?,
        shutdown_grace: millis("shutdown", "grace_ms")?,
        log_lines_per_s: number(ini, "log", "lines_per_second", "a whole number")?,
    })
}

/// A platform that states no bound leaves the setting empty.
fn oldest_weights(ini: &Ini) -> Result<Duration, Error> {
    if ini.get_from(Some("weights"), "oldest_ms").is_none_or(str::is_empty) {
        return Ok(OLDEST_WEIGHTS);
    }
    number(ini, "weights", "oldest_ms", "a number of milliseconds").map(from_ms)
}

/// When a request is put in quarantine, where nothing is set.
const QUARANTINE: quarantine::Policy =
    quarantine::Policy { crash_threshold: 3, retention: Duration::from_secs(600) };

fn quarantine(ini: &Ini) -> Result<quarantine::Policy, Error> {
    let is_set = |key| ini.get_from(Some("quarantine"), key).is_some_and(|it| !it.is_empty());
    let mut terms = QUARANTINE;
    if is_set("crashes") {
        let crashes: NonZeroUsize = number(ini, "quarantine", "crashes", "a number above 0")?;
        terms.crash_threshold = crashes.get();
    }
    if is_set("keep_s") {
        let keep: u32 = number(ini, "quarantine", "keep_s", "a whole number of seconds")?;
        terms.retention = Duration::from_secs(keep.into());
    }
    Ok(terms)
}

/// A platform that states no bound leaves the setting empty.
fn link(ini: &Ini) -> Result<f64, Error> {
    let is_set = ini.get_from(Some("link"), "mbit_per_second").is_some_and(|it| !it.is_empty());
    let mbit: f64 = match is_set {
        true => number(ini, "link", "mbit_per_second", "a number")?,
        false => LINK_MBIT,
    };
    // A bound of nothing would never let an answer go.
    let mbit = if 0.0 < mbit { mbit } else { LINK_MBIT };
    Ok(mbit * BYTES_PER_MBIT)
}

fn from_ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1e3)
}

/// Seeds name other instances by any of their addresses; they meet at the same port everywhere.
fn seeds(ini: &Ini, port: u16) -> Result<Vec<SocketAddr>, Error> {
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
            Ok(SocketAddr::new(ip, port))
        })
        .collect()
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

fn number<T: FromStr>(
    ini: &Ini,
    section: &'static str,
    key: &'static str,
    expected: &'static str,
) -> Result<T, Error> {
    let found = text(ini, section, key, expected)?;
    let value = || Error::Value { section, key, found: found.to_owned(), expected };
    found.parse().map_err(|_| value())
}

fn address(ini: &Ini, section: &'static str, key: &'static str) -> Result<SocketAddr, Error> {
    number(ini, section, key, "IP:PORT")
}
