//! Instances of the gateway, each a process of its own.

use std::{
    fs::{self, File},
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::http::Connection;

pub struct Instance {
    pub name: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Instance {
    /// Fills the project's template of settings, as the platform does, and starts the program.
    pub fn start(name: &str, ip: &str, store: SocketAddr, folder: &Path) -> Self {
        let template = fs::read_to_string("platform/settings.ini").expect("the template");
        let port =
            || TcpListener::bind((ip, 0)).and_then(|it| it.local_addr()).expect("a free port");
        let (callers, ready, directory, peers) = (port(), port(), port(), 7340);
        let (callers_text, ready_text) = (callers.to_string(), ready.to_string());
        let (directory, store, peers) =
            (directory.to_string(), store.to_string(), peers.to_string());
        let values = [
            ("node", name),
            ("zone", "z1"),
            ("ip", ip),
            ("internalPorts.0", &peers),
            ("listen.front", &callers_text),
            ("listen.ready", &ready_text),
            ("listen.directory", &directory),
            ("platform.address", &store),
            ("platform.readsPerS", "2000"),
            ("platform.writesPerS", "400"),
            ("seeds", ""),
            ("limits.linkMbps", "1000.0"),
            ("limits.maxFds", "1024"),
            ("limits.memoryMb", "110"),
            ("bounds.ttl_max_s", "5"),
            ("bounds.retryBudgetRatio", "0.2"),
            ("bounds.budgetWindowS", "10"),
            ("bounds.retryBudgetSlack", "54"),
            // The deployment has no quotas.
            ("bounds.quotaWindowS", ""),
            ("bounds.leaseMs", "3000"),
            ("bounds.versionMs", "8000"),
            ("bounds.graceS", "8"),
        ];
        let mut text = template;
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}}}}}"), value);
        }
        assert!(!text.contains("{{"), "the template has a field that isn't known here");
        let settings = folder.join(format!("{name}.ini"));
        fs::write(&settings, text).expect("the settings");
        let log = folder.join(format!("{name}.log"));
        let mut instance =
            Self { name: name.to_owned(), callers, ready, settings, log, child: None };
        instance.spawn();
        instance
    }

    /// Starts the program with the command of the deploy file.
    pub fn spawn(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("the log");
        let errors = log.try_clone().expect("the log");
        let child = Command::new("target/release/shallotlead")
            .arg("gateway")
            .env_clear()
            .env("SHALLOTLEAD_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the program of the deploy file's build");
        self.child = Some(child);
    }

    /// Waits until it says that it is ready.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    fn is_ready(&self) -> bool {
        let Ok(mut connection) = Connection::open(self.ready, Duration::from_secs(1)) else {
            return false;
        };
        let request = "GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        let head = connection.write(request.as_bytes()).and_then(|()| connection.read_head());
        head.is_ok_and(|it| it.is_some_and(|it| it.status() == 200))
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends a signal by the system's `kill`.
    pub fn signal(&self, name: &str) {
        if let Some(pid) = self.pid() {
            let _ = Command::new("kill").args([&format!("-{name}"), &pid.to_string()]).status();
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Resident memory in MB.
    pub fn memory_mb(&self) -> Option<f64> {
        let text = fs::read_to_string(format!("/proc/{}/status", self.pid()?)).ok()?;
        let line = text.lines().find_map(|it| it.strip_prefix("VmRSS:"))?;
        let kilobytes: f64 = line.trim().trim_end_matches(" kB").parse().ok()?;
        Some(kilobytes * 1024.0 / 1e6)
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The loopback address with this number, one for each machine.
pub fn ip(number: u8) -> String {
    // Runs beside each other take different ranges.
    let range = (std::process::id() % 200) as u8 + 20;
    Ipv4Addr::new(127, 77, range, number).to_string()
}
