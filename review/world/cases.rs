//! The cases. Each returns whether the rule was broken, or `None` if it couldn't be played.

use std::{thread, time::Duration};

use crate::{
    World,
    client::{Clients, Load},
    instance::{Instance, ip},
    ms,
    proxy::Proxy,
    route,
    store::Change,
    worker::Worker,
};

/// Time after the start until the instances know each other and the lease is held.
const SETTLING_TIME: Duration = Duration::from_secs(9);
/// Bounds of the deployment, as the settings of the instances have them.
const LEASE: Duration = Duration::from_millis(3_000);
const DRAIN: Duration = Duration::from_millis(2_000);

/// What was seen of a process's memory.
#[derive(Debug, Default)]
struct Memory {
    most_mb: f64,
    /// How often the process was ended for it.
    ends: u32,
}

impl World {
    /// An instance is paused. Meanwhile workers crash in the middle of answers that have no length, and start again.
    pub fn crash(&self) -> Option<bool> {
        const ANSWER_BYTES: usize = 2_000;
        self.configure(&[route("app", "unsafe", "app", 3_000)], &["app"]);
        let workers: Vec<Worker> =
            (1..=4).map(|it| self.unframed_worker(it, ms(800), ANSWER_BYTES)).collect();
        self.store.apply(workers.iter().map(|it| it.entry("ready")).collect());
        let instances = self.instances(2)?;
        let mut clients = Clients::none();
        for it in &instances {
            clients.add(12, &it.name, it.callers, &self.load("app", "POST"), &self.record);
        }
        thread::sleep(SETTLING_TIME);
        if self.has_trouble {
            let crashed = self.busiest(&workers, &instances[0].name, ms(600))?;
            self.record.line(&format!("{} is paused", instances[0].name));
            instances[0].signal("STOP");
            thread::sleep(ms(150));
            crashed.end();
            thread::sleep(ms(1_000));
            let again = crashed.restart("i-0000000f");
            self.store.apply(vec![again.entry("ready")]);
            thread::sleep(ms(850));
            self.record.line(&format!("{} goes on", instances[0].name));
            instances[0].signal("CONT");
        }
        thread::sleep(ms(4_000));
        clients.stop();
        let log = self.record.log.lock().ok()?;
        let cut =
            log.answers.iter().filter(|it| it.status == Some(200) && it.body_bytes != ANSWER_BYTES);
        let cut = cut.count();
        let ok = log.answers.iter().filter(|it| it.status == Some(200)).count();
        self.record.line(&format!("{ok} successes, {cut} of them without the worker's whole body"));
        Some(0 < cut)
    }

    /// The link between the holder of the lease and a worker loses the packet with an order, which is sent again. Then the
    /// holder is stopped, and newer weights are named.
    pub fn order(&self) -> Option<bool> {
        const DELAY_MS: u64 = 600;
        self.configure(&[route("app", "safe", "app", 3_000)], &["app", "engines"]);
        let mut workers: Vec<Worker> =
            (1..=3).map(|it| self.worker(it, "app", ms(20), 800)).collect();
        let mut proxies = Vec::new();
        for number in 4..=5 {
            let mut engine = self.worker(number, "engines", ms(20), 800);
            let proxy = Proxy::open(&ip(150 + number), engine.address);
            engine.shown = proxy.address;
            workers.push(engine);
            proxies.push(proxy);
        }
        self.publish_weights(1);
        self.store.apply(workers.iter().map(|it| it.entry("ready")).collect());
        let instances = self.instances(3)?;
        let mut clients = Clients::none();
        for it in &instances {
            clients.add(1, &it.name, it.callers, &self.load("app", "GET"), &self.record);
        }
        thread::sleep(SETTLING_TIME);
        if self.has_trouble {
            proxies[0].delay_order(DELAY_MS);
        }
        self.publish_weights(2);
        let first = self.wait_for_order()?;
        let holder = instances.iter().find(|it| it.name == first)?;
        self.record.line(&format!("SIGTERM to {}", holder.name));
        holder.signal("TERM");
        self.publish_weights(3);
        thread::sleep(ms(8_000));
        clients.stop();
        let orders = self.record.log.lock().ok()?.orders.clone();
        let mut is_broken = false;
        for (index, order) in orders.iter().enumerate() {
            let before = orders[..index].iter().rev().find(|it| it.worker == order.worker);
            let Some(before) = before.filter(|it| it.holder != order.holder) else { continue };
            let gap = order.at - before.at;
            self.record.line(&format!(
                "{}: order of {} (fence {}) {} ms after that of {} (fence {})",
                order.worker,
                order.holder,
                order.fence,
                gap.as_millis(),
                before.holder,
                before.fence
            ));
            is_broken |= gap < LEASE || order.fence <= before.fence;
        }
        Some(is_broken)
    }

    /// Clients wait before they read an answer, at an instance that got SIGHUP.
    pub fn slow_reader(&self) -> Option<bool> {
        const ANSWER_BYTES: usize = 400_000;
        const READING_PAUSE: Duration = Duration::from_millis(2_500);
        self.configure(&[route("app", "unsafe", "app", 10_000)], &["app"]);
        let workers: Vec<Worker> =
            (1..=3).map(|it| self.worker(it, "app", ms(20), ANSWER_BYTES)).collect();
        self.store.apply(workers.iter().map(|it| it.entry("ready")).collect());
        let instances = self.instances(2)?;
        thread::sleep(SETTLING_TIME);
        let normal = Load { deadline_ms: 10_000, pause: ms(100), ..self.load("app", "POST") };
        let reading_pause = if self.has_trouble { READING_PAUSE } else { Duration::ZERO };
        let slow = Load { reading_pause, ..normal.clone() };
        let mut clients = Clients::none();
        self.record.line(&format!("SIGHUP to {}", instances[0].name));
        instances[0].signal("HUP");
        let began = self.record.now();
        clients.add(8, "fast", instances[0].callers, &normal, &self.record);
        clients.add(8, "slow", instances[0].callers, &slow, &self.record);
        // The bound holds for requests that are sent until `configApplyMs` after the signal.
        thread::sleep(ms(6_000));
        clients.stop();
        let log = self.record.log.lock().ok()?;
        let counted = log.answers.iter().filter(|it| it.sent < began + ms(2_000));
        let lost: Vec<_> = counted.filter(|it| it.status.is_none()).collect();
        let ran = lost.iter().filter(|it| log.runs.iter().any(|run| run.2 == it.request)).count();
        self.record.line(&format!(
            "{} answers in all, {} lost that count, {ran} of these had run",
            log.answers.len(),
            lost.len()
        ));
        Some(3 < lost.len())
    }

    /// Two workers of eight are taken away, and then two more. They don't report that they drain, and serve on for a
    /// little longer than `drainMs`.
    pub fn scale_in(&self) -> Option<bool> {
        const GAP: Duration = Duration::from_millis(1_400);
        const SERVED_ON: Duration = Duration::from_millis(2_500);
        self.configure(&[route("app", "unsafe", "app", 3_000)], &["app"]);
        let workers: Vec<Worker> = (1..=8).map(|it| self.worker(it, "app", ms(200), 800)).collect();
        self.store.apply(workers.iter().map(|it| it.entry("ready")).collect());
        let instances = self.instances(2)?;
        let mut clients = Clients::none();
        for it in &instances {
            clients.add(10, &it.name, it.callers, &self.load("app", "POST"), &self.record);
        }
        thread::sleep(SETTLING_TIME);
        let mut removed = Vec::new();
        if self.has_trouble {
            for pair in workers[..4].chunks(2) {
                self.store.apply(pair.iter().map(Worker::removal).collect());
                for worker in pair {
                    self.record.line(&format!("the entry of {} is removed", worker.spec.id));
                    removed.push((worker.spec.id.clone(), self.record.now()));
                    worker.leave();
                    let worker = worker.clone();
                    thread::spawn(move || {
                        thread::sleep(SERVED_ON);
                        worker.end();
                    });
                }
                thread::sleep(GAP);
            }
        }
        thread::sleep(ms(4_000));
        clients.stop();
        let log = self.record.log.lock().ok()?;
        let since_removal = |worker: &str, at: Duration| {
            let removal = removed.iter().find(|it| it.0 == *worker)?;
            at.checked_sub(removal.1)
        };
        let late: Vec<_> = log
            .arrivals
            .iter()
            .filter(|it| since_removal(&it.worker, it.at).is_some_and(|it| DRAIN < it))
            .collect();
        let lost = late.iter().filter(|it| {
            let answer = log.answers.iter().find(|answer| answer.request == it.request);
            answer.is_none_or(|it| it.status != Some(200))
        });
        self.record.line(&format!(
            "{} requests reached a worker over {} ms after its removal, {} of them failed",
            late.len(),
            DRAIN.as_millis(),
            lost.count()
        ));
        Some(!late.is_empty())
    }

    /// Bursts of clients with large bodies. The platform kills a process that takes more memory than its machine has.
    pub fn memory(&self) -> Option<bool> {
        const LIMIT_MB: f64 = 110.0;
        const BODY_BYTES: usize = 4 << 20;
        const CLIENTS: usize = 9;
        /// 1.67 times as many in all.
        const MORE_CLIENTS: usize = 6;
        const BURSTS: usize = 7;
        self.configure(&[route("photo", "unsafe", "app", 3_000)], &["app"]);
        let workers: Vec<Worker> = (1..=3).map(|it| self.worker(it, "app", ms(150), 800)).collect();
        self.store.apply(workers.iter().map(|it| it.entry("ready")).collect());
        let mut instances = self.instances(2)?;
        let (upload, period) = (ms(1_200), ms(1_450));
        let load = Load { body_bytes: BODY_BYTES, upload, period, ..self.load("photo", "POST") };
        let mut clients = Clients::none();
        for it in &instances {
            clients.add(CLIENTS, &it.name, it.callers, &load, &self.record);
        }
        let mut seen: Vec<Memory> = instances.iter().map(|_| Memory::default()).collect();
        for _ in 0..BURSTS {
            self.watch_memory(&mut instances, ms(4_000), LIMIT_MB, &mut seen);
            let mut burst = Clients::none();
            if self.has_trouble {
                self.record.line("burst");
                for it in &instances {
                    burst.add(MORE_CLIENTS, &it.name, it.callers, &load, &self.record);
                }
            }
            // Each of its clients sends two requests, the last of which ends 3 s after the first began.
            self.watch_memory(&mut instances, ms(1_600), LIMIT_MB, &mut seen);
            burst.stop_soon();
            self.watch_memory(&mut instances, ms(1_400), LIMIT_MB, &mut seen);
        }
        clients.stop();
        let log = self.record.log.lock().ok()?;
        let was_run = |id: &str| log.runs.iter().any(|it| it.2 == id);
        let lost = log.answers.iter().filter(|it| it.status.is_none() && it.is_kept);
        let lost = lost.filter(|it| was_run(&it.request)).count();
        self.record.line(&format!(
            "memory by instance: {seen:?}; of {} requests {lost} on kept connections ran and got no answer",
            log.answers.len()
        ));
        Some(3 < lost)
    }

    /// Kills and restarts each process that takes more than `limit_mb`.
    fn watch_memory(
        &self,
        instances: &mut [Instance],
        time: Duration,
        limit_mb: f64,
        seen: &mut [Memory],
    ) {
        let until = self.record.now() + time;
        thread::scope(|scope| {
            for (instance, seen) in instances.iter_mut().zip(seen) {
                scope.spawn(move || {
                    while self.record.now() < until {
                        thread::sleep(ms(20));
                        let used = instance.memory_mb().unwrap_or(0.0);
                        seen.most_mb = seen.most_mb.max(used);
                        if limit_mb < used {
                            self.record
                                .line(&format!("{} has {used:.0} MB and is killed", instance.name));
                            seen.ends += 1;
                            instance.kill();
                            thread::sleep(ms(500));
                            instance.spawn();
                        }
                    }
                });
            }
        });
    }

    /// The worker that has got most requests of an instance within this time.
    fn busiest<'a>(
        &self,
        workers: &'a [Worker],
        instance: &str,
        time: Duration,
    ) -> Option<&'a Worker> {
        let since = self.record.now() - time;
        let log = self.record.log.lock().ok()?;
        let recent = |worker: &&Worker| {
            let arrivals = log.arrivals.iter().filter(|it| since < it.at);
            arrivals
                .filter(|it| it.worker == worker.spec.id && it.request.starts_with(instance))
                .count()
        };
        workers.iter().max_by_key(recent)
    }

    fn publish_weights(&self, version: u64) {
        self.record.line(&format!("version {version} is named"));
        let spec = format!("{{\"model\":\"m0\",\"version\":{version}}}");
        self.store.apply(vec![Change::Put("versions", "m0".into(), spec)]);
    }

    /// The holder of the first order, once it has arrived.
    fn wait_for_order(&self) -> Option<String> {
        let until = self.record.now() + ms(15_000);
        while self.record.now() < until {
            thread::sleep(ms(5));
            if let Some(it) = self.record.log.lock().ok()?.orders.first() {
                return Some(it.holder.clone());
            }
        }
        None
    }
}
