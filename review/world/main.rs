//! Plays one case: `world CASE FOLDER`. The record goes to FOLDER/record.txt. Exits with 1 if the rule was broken, 0 if
//! it held, and 2 if the case couldn't run. With `TROUBLE=0` in the environment the disruption is left out.

mod cases;
mod client;
mod http;
mod instance;
mod json;
mod proxy;
mod record;
mod store;
mod worker;

use std::{
    env,
    path::{Path, PathBuf},
    process::exit,
    time::Duration,
};

use client::Load;
use instance::{Instance, ip};
use record::Record;
use store::{Change, Store};
use worker::{Spec, Worker};

fn ms(it: u64) -> Duration {
    Duration::from_millis(it)
}

struct World {
    record: Record,
    store: Store,
    folder: PathBuf,
    has_trouble: bool,
}

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, folder] = &arguments[..] else { exit(2) };
    let work = env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    std::fs::create_dir_all(&work).expect("a temporary folder");
    let record = Record::create(&Path::new(folder).join("record.txt").to_string_lossy());
    let world = World {
        store: Store::open(&ip(250)),
        record: record.clone(),
        folder: work.clone(),
        has_trouble: env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let verdict = match case.as_str() {
        "crash" => world.crash(),
        "order" => world.order(),
        "slow_reader" => world.slow_reader(),
        "scale_in" => world.scale_in(),
        "memory" => world.memory(),
        _ => None,
    };
    let code = match &verdict {
        Some(true) => 1,
        Some(false) => 0,
        None => 2,
    };
    record.line(&format!("exit {code}"));
    let _ = std::fs::remove_dir_all(work);
    exit(code);
}

/// A route of the configuration.
fn route(name: &str, kind: &str, service: &str, timeout_ms: u64) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{name}.example\",\"pathPrefix\":\"/{name}/\",\"kind\":\"{kind}\",\"timeoutMs\":{timeout_ms},\
         \"targetLatencyMs\":500,\"priority\":1,\"service\":\"{service}\",\"maxAttempts\":2,\"public\":false}}"
    )
}

impl World {
    fn configure(&self, routes: &[String], services: &[&str]) {
        let services: Vec<String> = services
            .iter()
            .map(|it| match *it {
                "engines" => format!(
                    "{{\"name\":\"{it}\",\"healthPath\":\"/health\",\"maxConns\":200,\"protocol\":\"h1\",\"tls\":false,\
                     \"engine\":{{\"slots\":16,\"kvCapacityTokens\":90000,\"kvTokenBytes\":96256,\"linkMbps\":260000.0,\
                     \"moves\":false,\"backups\":false,\"stride\":5,\"maxInFlight\":12,\"models\":[{{\"name\":\"m0\"}}]}}}}"
                ),
                it => format!(
                    "{{\"name\":\"{it}\",\"healthPath\":\"/health\",\"maxConns\":200,\"protocol\":\"h1\",\"tls\":false}}"
                ),
            })
            .collect();
        let spec = format!(
            "{{\"version\":7,\"routes\":[{}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
             \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
            routes.join(","),
            services.join(",")
        );
        self.store.apply(vec![Change::Put("config", "main".into(), spec)]);
    }

    fn worker(
        &self,
        number: u8,
        service: &'static str,
        work: Duration,
        answer_bytes: usize,
    ) -> Worker {
        let model = (service == "engines").then_some("m0");
        let id = format!("i-{number:08x}");
        self.open_worker(
            number,
            Spec { id, service, model, work, answer_bytes, is_unframed: false },
        )
    }

    /// The worker of this number, which answers without a length.
    fn unframed_worker(&self, number: u8, work: Duration, answer_bytes: usize) -> Worker {
        let id = format!("i-{number:08x}");
        let (service, model) = ("app", None);
        self.open_worker(number, Spec { id, service, model, work, answer_bytes, is_unframed: true })
    }

    fn open_worker(&self, number: u8, spec: Spec) -> Worker {
        Worker::open(spec, &ip(100 + number), &self.record, &self.store)
    }

    fn instances(&self, count: u8) -> Option<Vec<Instance>> {
        let start = |it| {
            let name = format!("front-z1-{it}");
            Instance::start(&name, &ip(it), self.store.address, &self.folder)
        };
        let instances: Vec<Instance> = (1..=count).map(start).collect();
        let are_ready = instances.iter().all(Instance::wait_ready);
        if !are_ready {
            self.record.line("an instance isn't ready");
        }
        are_ready.then_some(instances)
    }

    fn load(&self, name: &'static str, method: &'static str) -> Load {
        Load {
            method,
            host: Box::leak(format!("{name}.example").into_boxed_str()),
            path: Box::leak(format!("/{name}/a").into_boxed_str()),
            deadline_ms: 3000,
            body_bytes: 0,
            upload: Duration::ZERO,
            pause: ms(50),
            period: Duration::ZERO,
            reading_pause: Duration::ZERO,
            timeout: ms(10_000),
        }
    }
}
