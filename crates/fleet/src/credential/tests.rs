//! Tests of publishing, reading and renewing certificates.

use std::time::Duration;

use proptest::prelude::*;
use shallotlead_base::{
    id::Incarnation,
    store::{Call, Failure, Reply, Store as _, memory::Memory},
    time::Time,
};

use crate::credential::{
    Action, Credential, GRACE_PERIOD, READ_INTERVAL, REMOVAL_DELAY, Trust,
    record::Record,
    renewal::{Renewal, Step},
};

#[derive(Default)]
struct Store {
    memory: Memory,
    is_down: bool,
    calls: u32,
}

impl Store {
    fn call(&mut self, call: Call) -> Reply {
        self.calls += 1;
        if self.is_down {
            let retry_after = Duration::from_secs(1);
            return Reply::Failed(Failure::NotApplied { retry_after });
        }
        let is_known = !matches!(call, Call::Get(_) | Call::Watch { .. });
        assert!(is_known, "unexpected {call:?}");
        self.memory.call(call)
    }
}

struct Instance {
    credential: Credential,
    trust: Trust,
    is_superseded: bool,
}

impl Instance {
    fn new(name: &str, incarnation: u64) -> Self {
        let fingerprint = [u8::try_from(incarnation).unwrap_or(0); 32];
        let credential = Credential::new(
            name.into(),
            Incarnation(incarnation),
            vec![fingerprint],
            GRACE_PERIOD,
            incarnation,
        );
        Self { credential, trust: Trust::default(), is_superseded: false }
    }

    /// Runs until `end`; every call is answered at once.
    fn run(&mut self, store: &mut Store, now: &mut Time, end: Time) {
        while *now < end {
            let (actions, due) = self.credential.tick(*now);
            let is_idle = actions.is_empty();
            for action in actions {
                match action {
                    Action::Call(number, call) => {
                        self.credential.handle_reply(number, store.call(call), *now);
                    }
                    Action::Trust(trust) => self.trust = trust,
                    Action::Superseded(_) => self.is_superseded = true,
                }
            }
            if is_idle {
                *now = due.max(*now + Duration::from_millis(1)).min(end);
            }
        }
    }

    fn trusts(&self, name: &str, incarnation: u8) -> bool {
        let published = self.trust.published.get(name);
        !self.trust.is_strict || published.is_some_and(|it| it.contains(&[incarnation; 32]))
    }
}

/// Starts an instance that publishes its certificate.
fn publish(store: &mut Store, name: &str, incarnation: u64) {
    let mut now = Time::ZERO;
    Instance::new(name, incarnation).run(store, &mut now, seconds(1));
}

fn seconds(seconds: u64) -> Time {
    Time::from_millis(seconds * 1_000)
}

#[test]
fn unpublished_certificates_are_refused_after_the_grace_period() {
    let mut store = Store::default();
    let (mut a, mut b) = (Instance::new("a", 1), Instance::new("b", 2));
    let (mut at_a, mut at_b) = (Time::ZERO, Time::ZERO);
    a.run(&mut store, &mut at_a, seconds(5));
    assert!(a.trusts("b", 2) && a.trusts("stranger", 9));
    b.run(&mut store, &mut at_b, seconds(5));
    a.run(&mut store, &mut at_a, seconds(200));
    assert!(a.trusts("b", 2) && !a.trusts("stranger", 9) && !a.trusts("b", 9));
}

// Guards against a restarted instance that is refused for up to a minute: its peers know only its
// old certificate, and must read the new one at once rather than at their next regular read.
#[test]
fn refusal_triggers_a_read_at_once() {
    let mut store = Store::default();
    let (mut a, mut at_a) = (Instance::new("a", 1), Time::ZERO);
    publish(&mut store, "b", 2);
    a.run(&mut store, &mut at_a, seconds(100));
    publish(&mut store, "b", 3);
    assert!(!a.trusts("b", 3));
    a.credential.record_refusal(at_a);
    a.run(&mut store, &mut at_a, seconds(103));
    assert!(a.trusts("b", 3) && !a.trusts("b", 2));

    // A peer that is refused repeatedly must not use up the platform's rate budget.
    let calls = store.calls;
    while at_a < seconds(123) {
        a.credential.record_refusal(at_a);
        let end = at_a + Duration::from_millis(10);
        a.run(&mut store, &mut at_a, end);
    }
    assert!(store.calls - calls <= 11, "{}", store.calls - calls);
}

// Guards against an instance that can't serve because it restarted during an outage of the
// platform, couldn't publish its certificate and is refused by all. Once the platform is back the
// instance gets the time to publish.
#[test]
fn unpublished_certificates_are_accepted_during_an_outage() {
    let mut store = Store::default();
    let (mut a, mut at_a) = (Instance::new("a", 1), Time::ZERO);
    publish(&mut store, "b", 2);
    a.run(&mut store, &mut at_a, seconds(100));
    store.is_down = true;
    a.credential.record_refusal(at_a);
    a.run(&mut store, &mut at_a, seconds(101));
    assert!(a.trusts("b", 3));

    store.is_down = false;
    a.run(&mut store, &mut at_a, seconds(110));
    assert!(a.trusts("b", 3));
    publish(&mut store, "b", 3);
    a.run(&mut store, &mut at_a, seconds(110) + READ_INTERVAL * 2 + GRACE_PERIOD);
    assert!(a.trusts("b", 3) && !a.trusts("b", 2));
}

// Guards against two processes under one name by mistake: the later one keeps the name, and the
// earlier one reports it instead of overwriting the record endlessly.
#[test]
fn later_incarnation_keeps_the_name() {
    let mut store = Store::default();
    let (mut old, mut at_old) = (Instance::new("a", 1), Time::ZERO);
    let (mut new, mut at_new) = (Instance::new("a", 2), Time::ZERO);
    old.run(&mut store, &mut at_old, seconds(1));
    new.run(&mut store, &mut at_new, seconds(1));
    old.run(&mut store, &mut at_old, seconds(500));
    new.run(&mut store, &mut at_new, seconds(500));
    assert!(old.is_superseded && !new.is_superseded);
    let stored = store.memory.objects.values().next().expect("published");
    let record = Record::decode(&stored.value).expect("a record");
    assert_eq!(record.incarnation, Incarnation(2));
}

// Guards against unbounded growth of the records when instances are replaced under new names
// hundreds of times a day, until reading them takes the whole rate budget.
#[test]
fn records_of_absent_instances_are_removed() {
    let mut store = Store::default();
    let (mut a, mut at_a) = (Instance::new("a", 1), Time::ZERO);
    for name in ["b", "c", "d"] {
        publish(&mut store, name, 2);
    }
    a.credential.set_members(vec!["a".into(), "b".into()]);
    a.run(&mut store, &mut at_a, Time::ZERO + REMOVAL_DELAY);
    assert_eq!(store.memory.objects.len(), 4);
    a.run(&mut store, &mut at_a, Time::ZERO + REMOVAL_DELAY + READ_INTERVAL * 5);
    let names: Vec<&str> = store.memory.objects.keys().map(|it| &*it.name).collect();
    assert_eq!(names, ["a", "b"]);
}

/// Steps of renewals with a lifetime of 30 days, each with its hour.
fn renew(is_published: impl Fn(u64) -> bool) -> Vec<(u64, Step)> {
    let mut renewal = Renewal::new(Duration::from_secs(30 * 24 * 3_600), Time::ZERO);
    let hours = 0..46 * 24;
    hours
        .filter_map(|it| Some((it, renewal.tick(is_published(it), seconds(it * 3_600))?)))
        .collect()
}

#[test]
fn certificate_is_published_before_it_is_used() {
    let steps = renew(|_| true);
    let expected = [
        (480, Step::Announce),
        (482, Step::Use),
        (483, Step::Withdraw),
        (960, Step::Announce),
        (962, Step::Use),
        (963, Step::Withdraw),
    ];
    assert_eq!(steps, expected);
    assert_eq!(renew(|hour| 500 <= hour)[1], (501, Step::Use));
}

// Guards against an instance that waits for the platform during an outage until its certificate
// expires and every peer refuses it.
#[test]
fn certificate_is_replaced_in_time_during_an_outage() {
    assert_eq!(renew(|_| false)[1], (600, Step::Use));
}

proptest! {
    #[test]
    fn decoding_never_panics_and_records_round_trip(
        bytes in prop::collection::vec(any::<u8>(), 0..100),
        incarnation: u64,
        fingerprints in prop::collection::vec(any::<[u8; 32]>(), 0..3),
    ) {
        let _ = Record::decode(&bytes);
        let record = Record { incarnation: Incarnation(incarnation), fingerprints };
        prop_assert_eq!(Record::decode(&record.encode()), Some(record));
    }
}
