//! Which requests are put in quarantine, and for how long.

mod support;

use std::time::Duration;

use proptest::prelude::*;
use shallotlead_base::time::Time;
use shallotlead_gateway::quarantine::{Expiry, Identity, Life, Quarantine, Record, Terms, Verdict};
use support::at;

const KEEP: Duration = Duration::from_secs(60);
const SERVERS: usize = 18;

fn quarantine() -> Quarantine {
    Quarantine::open(Terms { crashes: 3, keep: KEEP })
}

fn request(body: &str) -> Identity {
    of("open", body)
}

fn of(organisation: &str, body: &str) -> Identity {
    Identity::of(organisation, "POST", "h.example", "/llm/x", body.as_bytes())
}

/// The server crashes under a run of the request, and is found dead. Says whether that puts it in quarantine.
fn crash(quarantine: &mut Quarantine, now: Time, identity: Identity, life: Life) -> bool {
    quarantine.lost(now, identity, life);
    quarantine.crashed(now, life);
    quarantine.judge(&identity, SERVERS)
}

/// A request in quarantine since 3 s.
fn convicted() -> (Quarantine, Identity) {
    let mut quarantine = quarantine();
    let identity = request("deadly");
    for life in 1..=3 {
        crash(&mut quarantine, at(life * 1_000), identity, life);
    }
    (quarantine, identity)
}

#[test]
fn three_crashes_put_a_request_in_quarantine() {
    let mut quarantine = quarantine();
    let (deadly, other) = (request("deadly"), request("other"));
    assert!(!crash(&mut quarantine, at(0), deadly, 1));
    assert_eq!(quarantine.verdict(at(1), &deadly, SERVERS), Verdict::Clear);
    assert!(!crash(&mut quarantine, at(1_000), deadly, 2));
    assert_eq!(quarantine.verdict(at(1_001), &deadly, SERVERS), Verdict::Suspect);
    assert!(crash(&mut quarantine, at(2_000), deadly, 3));
    assert_eq!(quarantine.verdict(at(2_001), &deadly, SERVERS), Verdict::Quarantined);
    assert_eq!(quarantine.verdict(at(2_001), &other, SERVERS), Verdict::Clear);
}

// A server resets connections and goes on living, as often as it likes.
#[test]
fn lost_connection_of_a_living_server_is_no_evidence() {
    let mut quarantine = quarantine();
    let identity = request("fine");
    for life in 1..=9 {
        quarantine.lost(at(life * 100), identity, life);
        quarantine.lives(life);
    }
    assert!(quarantine.is_empty());
}

// The third server has just lost the run. Until it is found dead a fourth would be sent the request.
#[test]
fn third_loss_holds_the_request_back_before_its_server_is_found_dead() {
    let mut quarantine = quarantine();
    let identity = request("deadly");
    crash(&mut quarantine, at(0), identity, 1);
    crash(&mut quarantine, at(1_000), identity, 2);
    quarantine.lost(at(2_000), identity, 3);
    assert_eq!(quarantine.verdict(at(2_000), &identity, SERVERS), Verdict::Quarantined);
    quarantine.lives(3);
    assert_eq!(quarantine.verdict(at(2_010), &identity, SERVERS), Verdict::Suspect);
}

// Each of seven instances tells of the same crash.
#[test]
fn crash_that_several_instances_tell_of_counts_once() {
    let mut quarantine = quarantine();
    let identity = request("deadly");
    crash(&mut quarantine, at(0), identity, 1);
    for _ in 0..7 {
        assert!(!quarantine.told(at(10), identity, 1));
        assert!(!quarantine.judge(&identity, SERVERS));
    }
    assert_eq!(quarantine.crashes(&identity), 1);
}

// Three racks lose power one after the other. What is asked for often ran on a server of each.
#[test]
fn outages_of_many_servers_blame_no_request() {
    let mut quarantine = quarantine();
    let hot = request("hot");
    for rack in 1..=3 {
        let lives = (0..5).map(|it| rack * 100 + it);
        for life in lives.clone() {
            quarantine.lost(at(rack * 5_000), request(&format!("{life}")), life);
        }
        quarantine.lost(at(rack * 5_000), hot, rack * 100);
        for life in lives {
            quarantine.crashed(at(rack * 5_000 + 20), life);
            assert!(!quarantine.judge(&hot, SERVERS));
        }
    }
    assert_eq!(quarantine.verdict(at(16_000), &hot, SERVERS), Verdict::Clear);
}

// The request is answered: what crashed beside it had another cause. Datagrams that tell of it still come.
#[test]
fn answered_request_is_cleared_of_what_was_before() {
    let (mut quarantine, identity) = convicted();
    let record = quarantine.records(at(4_000)).remove(0);
    assert!(quarantine.release(at(4_000), &identity));
    for life in 1..=3 {
        assert!(!quarantine.told(at(4_010), identity, life));
    }
    assert!(!quarantine.adopt(at(4_010), &record));
    assert_eq!(quarantine.verdict(at(4_020), &identity, SERVERS), Verdict::Clear);
    assert!(!crash(&mut quarantine, at(5_000), identity, 4), "what comes later counts anew");
}

// An operator has mended the engines. Nobody tells, and the caller still comes once in a while.
#[test]
fn quarantine_ends_with_one_trial() {
    let (mut quarantine, identity) = convicted();
    assert_eq!(quarantine.verdict(at(30_000), &identity, SERVERS), Verdict::Quarantined);
    assert!(quarantine.expire(at(30_000) + KEEP - Duration::from_millis(1)).is_empty());
    let over = at(30_000) + KEEP;
    assert_eq!(quarantine.expire(over), [(identity, Expiry::OnTrial)]);
    assert_eq!(quarantine.verdict(over, &identity, SERVERS), Verdict::Suspect);
    assert!(crash(&mut quarantine, over, identity, 4), "one more crash is enough");
    let (mut quarantine, identity) = convicted();
    quarantine.expire(at(3_000) + KEEP);
    assert_eq!(quarantine.expire(at(3_000) + KEEP + KEEP), [(identity, Expiry::Forgotten)]);
    assert!(quarantine.is_empty());
}

// An instance starts and hears of the verdicts of the others.
#[test]
fn started_instance_takes_over_what_the_others_know() {
    let (known, identity) = convicted();
    let records = known.records(at(4_000));
    let mut started = quarantine();
    assert!(started.adopt(at(50), &records[0]));
    assert!(!started.adopt(at(60), &records[0]));
    assert_eq!(started.verdict(at(70), &identity, SERVERS), Verdict::Quarantined);
    let old = Record { age_ms: KEEP.as_millis() as u64, ..records[0].clone() };
    assert!(!quarantine().adopt(at(50), &old));
}

// One organisation sends thousands of requests to servers that crash.
#[test]
fn no_organisation_drives_out_what_is_known_of_others() {
    let mut quarantine = quarantine();
    let identity = of("small", "deadly");
    for life in 1..=3 {
        crash(&mut quarantine, at(life * 1_000), identity, life);
    }
    for number in 0..5_000 {
        quarantine.lost(at(10_000 + number), of("large", &number.to_string()), 9);
    }
    assert_eq!(quarantine.verdict(at(20_000), &identity, SERVERS), Verdict::Quarantined);
    let (convicted, suspects) = quarantine.counts();
    assert_eq!((convicted, suspects), (1, 256));
}

#[test]
fn identity_tells_callers_paths_and_bodies_apart() {
    let all = [
        of("a", "body"),
        of("b", "body"),
        of("a", "body2"),
        Identity::of("a", "PUT", "h.example", "/llm/x", b"body"),
        Identity::of("a", "POST", "g.example", "/llm/x", b"body"),
        Identity::of("a", "POST", "h.example", "/llm/", b"xbody"),
    ];
    for (index, it) in all.iter().enumerate() {
        assert!(all[index + 1..].iter().all(|other| other != it));
        assert_eq!(it.to_string().parse(), Ok(*it));
    }
    assert!("12".parse::<Identity>().is_err());
    assert_eq!(all[0].caller, all[2].caller);
}

proptest! {
    // Instances learn of crashes by themselves or from each other, in any order and repeatedly.
    #[test]
    fn evidence_counts_lives_in_whatever_order_it_comes(
        steps in prop::collection::vec((0..3_u8, 1..6_u64), 0..40),
    ) {
        let mut quarantine = quarantine();
        let identity = request("deadly");
        let mut crashed = std::collections::BTreeSet::new();
        let mut open = std::collections::BTreeSet::new();
        for (number, (step, life)) in steps.into_iter().enumerate() {
            // Far enough apart that none counts as an outage of many.
            let now = at(1_000 * number as u64);
            match step {
                0 if !crashed.contains(&life) => {
                    quarantine.lost(now, identity, life);
                    open.insert(life);
                }
                0 => quarantine.lost(now, identity, life),
                1 => {
                    quarantine.crashed(now, life);
                    if open.remove(&life) {
                        crashed.insert(life);
                    }
                }
                _ => {
                    quarantine.told(now, identity, life);
                    open.remove(&life);
                    crashed.insert(life);
                }
            }
            quarantine.judge(&identity, SERVERS);
            let is_convicted = quarantine.counts().0 == 1;
            prop_assert_eq!(is_convicted, 3 <= crashed.len());
        }
    }
}
