//! Which address to use: the system's answer, kept for as long as it allows.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use serde::Deserialize;
use ureq::Agent;

/// Addresses of entry instances.
#[derive(Debug)]
pub struct Directory {
    /// `None`: the addresses never change.
    source: Option<Source>,
    seeds: Vec<SocketAddr>,
    known: Vec<SocketAddr>,
    until: Instant,
}

#[derive(Debug)]
struct Source {
    agent: Agent,
    centre: String,
}

#[derive(Debug, Deserialize)]
struct Page {
    ttl_ms: u64,
    addresses: Vec<Entry>,
}

#[derive(Debug, Deserialize)]
struct Entry {
    address: SocketAddr,
}

impl Directory {
    /// A directory for a caller in `centre` whose settings name `seeds`.
    pub fn new(agent: Agent, centre: &str, seeds: Vec<SocketAddr>) -> Self {
        let source = Some(Source { agent, centre: centre.to_owned() });
        Self { source, seeds, known: Vec::new(), until: Instant::now() }
    }

    /// A directory of one address.
    pub fn fixed(address: SocketAddr) -> Self {
        Self { source: None, seeds: vec![address], known: Vec::new(), until: Instant::now() }
    }

    /// The best address, other than those to `avoid` if there is another one.
    pub fn pick(&mut self, avoid: &[SocketAddr]) -> Option<SocketAddr> {
        if self.until <= Instant::now() {
            self.refresh(avoid);
        }
        let all = || self.known.iter().chain(&self.seeds);
        all().find(|it| !avoid.contains(it)).or_else(|| all().next()).copied()
    }

    /// Asks anew before the next pick.
    pub fn forget(&mut self) {
        self.until = Instant::now();
    }

    /// Asks one instance after the other. When none answers, the old answer stays.
    fn refresh(&mut self, avoid: &[SocketAddr]) {
        let Some(source) = &self.source else { return };
        let mut order: Vec<SocketAddr> = self.known.iter().chain(&self.seeds).copied().collect();
        order.sort_by_key(|it| avoid.contains(it));
        for address in order {
            if let Some(page) = source.ask(address) {
                self.known = page.addresses.into_iter().map(|it| it.address).collect();
                self.until = Instant::now() + Duration::from_millis(page.ttl_ms);
                return;
            }
        }
    }
}

impl Source {
    fn ask(&self, address: SocketAddr) -> Option<Page> {
        let url = format!("http://{address}/v1/addresses?centre={}", self.centre);
        let mut response = self.agent.get(url).call().ok()?;
        serde_json::from_str(&response.body_mut().read_to_string().ok()?).ok()
    }
}
