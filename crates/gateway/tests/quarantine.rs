//! Which requests are put in quarantine, and for how long.

mod support;

use std::time::Duration;

use proptest::prelude::*;
use shallotlead_base::time::Time;
use shallotlead_gateway::quarantine::{
    Expiry, Identity, IncarnationId, Policy, Quarantine, Record, Verdict,
};
use support::at;

const KEEP: Duration = Duration::from_secs(60);
const SERVERS: usize = 18;
/// By then it is known what else ended at the same moment.
const SETTLED: Duration = Duration::from_millis(300);

fn quarantine() -> Quarantine {
    Quarantine::new(Policy { crash_threshold: 3, retention: KEEP })
}

fn request(body: &str) -> Identity {
    of("open", body)
}

fn of(organisation: &str, body: &str) -> Identity {
    Identity::of(organisation, "POST", "h.example", "/llm/x", body.as_bytes())
}

/// The server crashes under a run of the request, and is found dead. Says whether that puts it in quarantine.
fn crash(quarantine: &mut Quarantine, now: Time, identity: Identity, life: IncarnationId) -> bool {
    quarantine.record_loss(now, identity, life);
    quarantine.record_crash(now, life, SERVERS);
    quarantine.evaluate(now + SETTLED).iter().any(|it| it.0 == identity)
}

/// A request in quarantine since 3 s.
fn quarantined() -> (Quarantine, Identity) {
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
    assert_eq!(quarantine.verdict(at(1), &deadly), Verdict::Clear);
    assert!(!crash(&mut quarantine, at(1_000), deadly, 2));
    assert_eq!(quarantine.verdict(at(1_001), &deadly), Verdict::Suspect);
    assert!(crash(&mut quarantine, at(2_000), deadly, 3));
    assert_eq!(quarantine.verdict(at(2_001), &deadly), Verdict::Quarantined);
    assert_eq!(quarantine.verdict(at(2_001), &other), Verdict::Clear);
}

// A server resets connections and goes on living, as often as it likes.
#[test]
fn lost_connection_of_a_living_server_is_no_evidence() {
    let mut quarantine = quarantine();
    let identity = request("fine");
    for life in 1..=9 {
        quarantine.record_loss(at(life * 100), identity, life);
        quarantine.record_alive(life);
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
    quarantine.record_loss(at(2_000), identity, 3);
    assert_eq!(quarantine.verdict(at(2_000), &identity), Verdict::Held);
    quarantine.record_alive(3);
    assert_eq!(quarantine.verdict(at(2_010), &identity), Verdict::Suspect);
}

// Each of seven instances tells of the same crash.
#[test]
fn crash_that_several_instances_tell_of_counts_once() {
    let mut quarantine = quarantine();
    let identity = request("deadly");
    crash(&mut quarantine, at(0), identity, 1);
    for _ in 0..7 {
        assert!(!quarantine.record_peer_crash(at(10), at(0), identity, 1, SERVERS));
    }
    assert!(quarantine.evaluate(at(1_000)).is_empty());
    assert_eq!(quarantine.crashes(&identity), [1]);
}

/// A rack of seven servers loses power. The hot request ran on the first three of them.
fn lose_rack(quarantine: &mut Quarantine, now: Time, first: IncarnationId, hot: Identity) {
    for life in first..first + 7 {
        quarantine.record_loss(now, request(&format!("{life}")), life);
    }
    for life in first..first + 3 {
        quarantine.record_loss(now, hot, life);
    }
    for life in first..first + 7 {
        quarantine.record_crash(now + Duration::from_millis(life - first), life, SERVERS);
        assert!(quarantine.evaluate(now + Duration::from_millis(life - first)).is_empty());
    }
}

// Racks lose power one after the other. What is asked for often ran on three servers of each, which are found dead
// before the others.
#[test]
fn outages_of_many_servers_blame_no_request() {
    let mut quarantine = quarantine();
    let hot = request("hot");
    for rack in 1..=3 {
        lose_rack(&mut quarantine, at(rack * 5_000), rack * 100, hot);
        assert!(quarantine.evaluate(at(rack * 5_000) + SETTLED * 2).is_empty());
        assert!(quarantine.implicated(rack * 100).is_empty(), "nobody is told of it");
    }
    assert_eq!(quarantine.verdict(at(16_000), &hot), Verdict::Clear);
}

// Another instance tells of the same outage, with the ages of what it found.
#[test]
fn outage_that_is_told_late_blames_no_request() {
    let mut quarantine = quarantine();
    let hot = request("hot");
    for life in 1..=7 {
        let now = at(5_000 + life * 400);
        let identity = if life <= 3 { hot } else { request(&life.to_string()) };
        quarantine.record_peer_crash(now, at(5_000), identity, life, SERVERS);
    }
    assert!(quarantine.evaluate(at(60_000)).is_empty());
}

// The request is answered: what crashed beside it had another cause. Datagrams that tell of it still come.
#[test]
fn answered_request_is_cleared_of_what_was_before() {
    let (mut quarantine, identity) = quarantined();
    let record = quarantine.records(at(4_000)).remove(0);
    assert!(quarantine.release(at(4_000), &identity));
    for life in 1..=3 {
        assert!(!quarantine.record_peer_crash(at(4_010), at(4_000), identity, life, SERVERS));
    }
    assert!(!quarantine.merge_record(at(4_010), &record));
    assert_eq!(quarantine.verdict(at(4_020), &identity), Verdict::Clear);
    assert!(!crash(&mut quarantine, at(5_000), identity, 4), "what comes later counts anew");
}

// An operator has mended the engines. Nobody tells, and the caller still comes once in a while.
#[test]
fn quarantine_ends_with_one_trial() {
    let (mut quarantine, identity) = quarantined();
    assert_eq!(quarantine.verdict(at(30_000), &identity), Verdict::Quarantined);
    quarantine.record_arrival(at(30_000), &identity);
    assert!(quarantine.expire(at(30_000) + KEEP - Duration::from_millis(1)).is_empty());
    let over = at(30_000) + KEEP;
    assert_eq!(quarantine.expire(over), [(identity, Expiry::OnTrial)]);
    assert_eq!(quarantine.verdict(over, &identity), Verdict::Suspect);
    assert!(crash(&mut quarantine, over, identity, 4), "one more crash is enough");
    let (mut quarantine, identity) = quarantined();
    quarantine.record_arrival(at(30_000), &identity);
    quarantine.expire(at(30_000) + KEEP);
    assert_eq!(quarantine.expire(at(30_000) + KEEP + KEEP), [(identity, Expiry::Forgotten)]);
    assert!(quarantine.is_empty());
}

// A caller that never gives up comes all the while: a request that was implicated wrongly would be held for ever.
#[test]
fn request_that_always_comes_is_tried_again_in_the_end() {
    let (mut quarantine, identity) = quarantined();
    let mut now = at(3_000);
    while quarantine.verdict(now, &identity) == Verdict::Quarantined {
        quarantine.record_arrival(now, &identity);
        now = now + Duration::from_secs(1);
        quarantine.expire(now);
        assert!(now < at(3_000) + KEEP * 7);
    }
    assert!(at(3_000) + KEEP * 5 < now);
}

// An instance that missed the release still tells of the standing; one that knows of both keeps to the release.
#[test]
fn release_outlives_records_of_the_quarantine() {
    let (mut quarantine, identity) = quarantined();
    let standing = quarantine.next_records(at(4_000), 8).remove(0);
    quarantine.release(at(4_000), &identity);
    let release = quarantine.next_records(at(4_000), 8).remove(0);
    assert!(release.is_released);
    let mut started = self::quarantine();
    started.merge_record(at(10), &standing);
    assert!(started.merge_record(at(20), &release));
    assert!(!started.merge_record(at(30), &standing));
    assert_eq!(started.verdict(at(30), &identity), Verdict::Clear);
}

// Dozens of requests are in quarantine, and a message carries eight.
#[test]
fn all_records_are_told_in_turn() {
    let mut quarantine = quarantine();
    for number in 0..30 {
        for life in 0..3 {
            crash(&mut quarantine, at(life * 1_000), request(&number.to_string()), 100 + life);
        }
    }
    let told: std::collections::BTreeSet<Identity> =
        (0..8).flat_map(|_| quarantine.next_records(at(9_000), 8)).map(|it| it.identity).collect();
    assert_eq!(told.len(), 30);
}

// An instance starts and hears of the quarantine of the others.
#[test]
fn started_instance_takes_over_what_the_others_know() {
    let (known, identity) = quarantined();
    let records = known.records(at(4_000));
    let mut started = quarantine();
    assert!(started.merge_record(at(50), &records[0]));
    assert!(!started.merge_record(at(60), &records[0]));
    assert_eq!(started.verdict(at(70), &identity), Verdict::Quarantined);
    let old = Record { age_ms: KEEP.as_millis() as u64, ..records[0].clone() };
    assert!(!quarantine().merge_record(at(50), &old));
}

// Servers crash four times a second, each with 18 runs of one organisation. What has crashed two servers already must
// not be forgotten for what was merely beside the last one.
#[test]
fn innocents_dont_drive_out_a_suspect() {
    let mut quarantine = quarantine();
    let deadly = request("deadly");
    for life in 1..=2 {
        crash(&mut quarantine, at(life * 250), deadly, life);
    }
    for life in 3..=60 {
        for run in 0..18 {
            quarantine.record_loss(at(life * 250), request(&format!("{life}-{run}")), life);
        }
        quarantine.record_crash(at(life * 250), life, SERVERS);
    }
    assert_eq!(quarantine.verdict(at(16_000), &deadly), Verdict::Suspect);
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
        quarantine.record_loss(at(10_000 + number), of("large", &number.to_string()), 9);
    }
    assert_eq!(quarantine.verdict(at(20_000), &identity), Verdict::Quarantined);
    let (quarantined, suspects) = quarantine.counts();
    assert_eq!((quarantined, suspects), (1, 256));
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
    assert!(format!("+{}", "0".repeat(31)).parse::<Identity>().is_err(), "a sign is no digit");
    assert_eq!(all[0].caller, all[2].caller);
}

// An operator releases a request after its first crash: the others needn't know, and it counts no more here.
#[test]
fn suspect_of_one_crash_can_be_released() {
    let mut quarantine = quarantine();
    let identity = request("deadly");
    assert!(!quarantine.is_tracked(&identity));
    crash(&mut quarantine, at(0), identity, 1);
    assert!(quarantine.is_tracked(&identity));
    assert!(!quarantine.release(at(1_000), &identity));
    assert!(!quarantine.is_tracked(&identity));
    assert!(quarantine.crashes(&identity).is_empty());
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
                    quarantine.record_loss(now, identity, life);
                    open.insert(life);
                }
                0 => quarantine.record_loss(now, identity, life),
                1 => {
                    quarantine.record_crash(now, life, SERVERS);
                    if open.remove(&life) {
                        crashed.insert(life);
                    }
                }
                _ => {
                    quarantine.record_peer_crash(now, now, identity, life, SERVERS);
                    open.remove(&life);
                    crashed.insert(life);
                }
            }
            quarantine.evaluate(now + SETTLED);
            let is_quarantined = quarantine.counts().0 == 1;
            prop_assert_eq!(is_quarantined, 3 <= crashed.len());
        }
    }
}
