//! Which requests are put in quarantine, and for how long.

mod support;

use std::time::Duration;

use proptest::prelude::*;
use shallotlead_base::time::Time;
use shallotlead_gateway::quarantine::{
    Expiry, Identity, IncarnationId, Policy, Quarantine, Record, Verdict,
};
use support::at;

const RETENTION: Duration = Duration::from_secs(60);
const SERVERS: usize = 18;
/// Time after which it is known what else ended at the same moment.
const SETTLING_TIME: Duration = Duration::from_millis(300);

fn quarantine() -> Quarantine {
    Quarantine::new(Policy { crash_threshold: 3, retention: RETENTION })
}

fn request(body: &str) -> Identity {
    request_of("open", body)
}

fn request_of(organisation: &str, body: &str) -> Identity {
    Identity::of(organisation, "POST", "h.example", "/llm/x", body.as_bytes())
}

/// The server crashes while running the request, and is found dead. Returns whether that puts the
/// request in quarantine.
fn record_crash(
    quarantine: &mut Quarantine,
    now: Time,
    identity: Identity,
    incarnation_id: IncarnationId,
) -> bool {
    quarantine.record_loss(now, identity, incarnation_id);
    quarantine.record_crash(now, incarnation_id, SERVERS);
    quarantine.evaluate(now + SETTLING_TIME).iter().any(|it| it.0 == identity)
}

/// A request in quarantine since 3 s.
fn quarantined() -> (Quarantine, Identity) {
    let mut quarantine = quarantine();
    let identity = request("deadly");
    for incarnation_id in 1..=3 {
        record_crash(&mut quarantine, at(incarnation_id * 1_000), identity, incarnation_id);
    }
    (quarantine, identity)
}

#[test]
fn three_crashes_put_a_request_in_quarantine() {
    let mut quarantine = quarantine();
    let (crashing, other) = (request("deadly"), request("other"));
    assert!(!record_crash(&mut quarantine, at(0), crashing, 1));
    assert_eq!(quarantine.verdict(at(1), &crashing), Verdict::Clear);
    assert!(!record_crash(&mut quarantine, at(1_000), crashing, 2));
    assert_eq!(quarantine.verdict(at(1_001), &crashing), Verdict::Suspect);
    assert!(record_crash(&mut quarantine, at(2_000), crashing, 3));
    assert_eq!(quarantine.verdict(at(2_001), &crashing), Verdict::Quarantined);
    assert_eq!(quarantine.verdict(at(2_001), &other), Verdict::Clear);
}

// A server resets connections repeatedly and keeps running.
#[test]
fn lost_connection_of_a_running_server_is_no_evidence() {
    let mut quarantine = quarantine();
    let identity = request("fine");
    for incarnation_id in 1..=9 {
        quarantine.record_loss(at(incarnation_id * 100), identity, incarnation_id);
        quarantine.record_alive(incarnation_id);
    }
    assert!(quarantine.is_empty());
}

// The third server has just lost the run. Until it is found dead, the request could be sent to a
// fourth one.
#[test]
fn third_loss_holds_the_request_before_its_server_is_found_dead() {
    let mut quarantine = quarantine();
    let identity = request("deadly");
    record_crash(&mut quarantine, at(0), identity, 1);
    record_crash(&mut quarantine, at(1_000), identity, 2);
    quarantine.record_loss(at(2_000), identity, 3);
    assert_eq!(quarantine.verdict(at(2_000), &identity), Verdict::Held);
    quarantine.record_alive(3);
    assert_eq!(quarantine.verdict(at(2_010), &identity), Verdict::Suspect);
}

// Each of seven instances announces the same crash.
#[test]
fn crash_announced_by_several_instances_counts_once() {
    let mut quarantine = quarantine();
    let identity = request("deadly");
    record_crash(&mut quarantine, at(0), identity, 1);
    for _ in 0..7 {
        assert!(!quarantine.record_peer_crash(at(10), at(0), identity, 1, SERVERS));
    }
    assert!(quarantine.evaluate(at(1_000)).is_empty());
    assert_eq!(quarantine.crashes(&identity), [1]);
}

/// A rack of seven servers loses power. The hot request ran on the first three of them.
fn lose_rack(quarantine: &mut Quarantine, now: Time, first: IncarnationId, hot: Identity) {
    for incarnation_id in first..first + 7 {
        quarantine.record_loss(now, request(&format!("{incarnation_id}")), incarnation_id);
    }
    for incarnation_id in first..first + 3 {
        quarantine.record_loss(now, hot, incarnation_id);
    }
    for incarnation_id in first..first + 7 {
        quarantine.record_crash(
            now + Duration::from_millis(incarnation_id - first),
            incarnation_id,
            SERVERS,
        );
        assert!(
            quarantine.evaluate(now + Duration::from_millis(incarnation_id - first)).is_empty()
        );
    }
}

// Racks lose power one after the other. A frequent request ran on three servers of each, which are
// found dead before the others.
#[test]
fn mass_terminations_incriminate_no_request() {
    let mut quarantine = quarantine();
    let hot = request("hot");
    for rack in 1..=3 {
        lose_rack(&mut quarantine, at(rack * 5_000), rack * 100, hot);
        assert!(quarantine.evaluate(at(rack * 5_000) + SETTLING_TIME * 2).is_empty());
        assert!(quarantine.implicated(rack * 100).is_empty(), "it is announced to no instance");
    }
    assert_eq!(quarantine.verdict(at(16_000), &hot), Verdict::Clear);
}

// Another instance announces the same outage, with the ages of what it found.
#[test]
fn mass_termination_announced_late_incriminates_no_request() {
    let mut quarantine = quarantine();
    let hot = request("hot");
    for incarnation_id in 1..=7 {
        let now = at(5_000 + incarnation_id * 400);
        let identity = if incarnation_id <= 3 { hot } else { request(&incarnation_id.to_string()) };
        quarantine.record_peer_crash(now, at(5_000), identity, incarnation_id, SERVERS);
    }
    assert!(quarantine.evaluate(at(60_000)).is_empty());
}

// The request is answered: what crashed while running it had another cause. Datagrams about the
// crashes still arrive.
#[test]
fn answered_request_is_cleared_of_earlier_crashes() {
    let (mut quarantine, identity) = quarantined();
    let record = quarantine.records(at(4_000)).remove(0);
    assert!(quarantine.release(at(4_000), &identity));
    for incarnation_id in 1..=3 {
        assert!(!quarantine.record_peer_crash(
            at(4_010),
            at(4_000),
            identity,
            incarnation_id,
            SERVERS
        ));
    }
    assert!(!quarantine.merge_record(at(4_010), &record));
    assert_eq!(quarantine.verdict(at(4_020), &identity), Verdict::Clear);
    assert!(
        !record_crash(&mut quarantine, at(5_000), identity, 4),
        "later crashes count from zero"
    );
}

// The engines were fixed without any announcement, and the caller still retries once in a while.
#[test]
fn quarantine_ends_with_one_trial() {
    let (mut quarantine, identity) = quarantined();
    assert_eq!(quarantine.verdict(at(30_000), &identity), Verdict::Quarantined);
    quarantine.record_arrival(at(30_000), &identity);
    assert!(quarantine.expire(at(30_000) + RETENTION - Duration::from_millis(1)).is_empty());
    let expires_at = at(30_000) + RETENTION;
    assert_eq!(quarantine.expire(expires_at), [(identity, Expiry::OnTrial)]);
    assert_eq!(quarantine.verdict(expires_at, &identity), Verdict::Suspect);
    assert!(record_crash(&mut quarantine, expires_at, identity, 4), "one more crash is enough");
    let (mut quarantine, identity) = quarantined();
    quarantine.record_arrival(at(30_000), &identity);
    quarantine.expire(at(30_000) + RETENTION);
    assert_eq!(
        quarantine.expire(at(30_000) + RETENTION + RETENTION),
        [(identity, Expiry::Forgotten)]
    );
    assert!(quarantine.is_empty());
}

// A caller never stops retrying: a request that was implicated wrongly would be held forever.
#[test]
fn request_that_is_retried_all_the_time_gets_a_trial_in_the_end() {
    let (mut quarantine, identity) = quarantined();
    let mut now = at(3_000);
    while quarantine.verdict(now, &identity) == Verdict::Quarantined {
        quarantine.record_arrival(now, &identity);
        now = now + Duration::from_secs(1);
        quarantine.expire(now);
        assert!(now < at(3_000) + RETENTION * 7);
    }
    assert!(at(3_000) + RETENTION * 5 < now);
}

// An instance that missed the release still announces the quarantine; one that knows of both keeps
// to the release.
#[test]
fn release_outlives_records_of_the_quarantine() {
    let (mut quarantine, identity) = quarantined();
    let record = quarantine.next_records(at(4_000), 8).remove(0);
    quarantine.release(at(4_000), &identity);
    let release = quarantine.next_records(at(4_000), 8).remove(0);
    assert!(release.is_released);
    let mut started = self::quarantine();
    started.merge_record(at(10), &record);
    assert!(started.merge_record(at(20), &release));
    assert!(!started.merge_record(at(30), &record));
    assert_eq!(started.verdict(at(30), &identity), Verdict::Clear);
}

// Dozens of requests are in quarantine, and a message carries eight.
#[test]
fn all_records_are_announced_in_turn() {
    let mut quarantine = quarantine();
    for number in 0..30 {
        for incarnation_id in 0..3 {
            record_crash(
                &mut quarantine,
                at(incarnation_id * 1_000),
                request(&number.to_string()),
                100 + incarnation_id,
            );
        }
    }
    let announced: std::collections::BTreeSet<Identity> =
        (0..8).flat_map(|_| quarantine.next_records(at(9_000), 8)).map(|it| it.identity).collect();
    assert_eq!(announced.len(), 30);
}

// An instance starts and learns of the quarantine of the others.
#[test]
fn started_instance_adopts_the_others_records() {
    let (informed, identity) = quarantined();
    let records = informed.records(at(4_000));
    let mut started = quarantine();
    assert!(started.merge_record(at(50), &records[0]));
    assert!(!started.merge_record(at(60), &records[0]));
    assert_eq!(started.verdict(at(70), &identity), Verdict::Quarantined);
    let old = Record { age_ms: RETENTION.as_millis() as u64, ..records[0].clone() };
    assert!(!quarantine().merge_record(at(50), &old));
}

// Servers crash four times a second, each with 18 runs of one organisation. A request that has
// crashed two servers must not be evicted by requests that merely ran beside it on the last one.
#[test]
fn innocent_requests_do_not_evict_a_suspect() {
    let mut quarantine = quarantine();
    let crashing = request("deadly");
    for incarnation_id in 1..=2 {
        record_crash(&mut quarantine, at(incarnation_id * 250), crashing, incarnation_id);
    }
    for incarnation_id in 3..=60 {
        for run in 0..18 {
            quarantine.record_loss(
                at(incarnation_id * 250),
                request(&format!("{incarnation_id}-{run}")),
                incarnation_id,
            );
        }
        quarantine.record_crash(at(incarnation_id * 250), incarnation_id, SERVERS);
    }
    assert_eq!(quarantine.verdict(at(16_000), &crashing), Verdict::Suspect);
}

// One organisation sends thousands of requests to servers that crash.
#[test]
fn no_organisation_evicts_the_records_of_others() {
    let mut quarantine = quarantine();
    let identity = request_of("small", "deadly");
    for incarnation_id in 1..=3 {
        record_crash(&mut quarantine, at(incarnation_id * 1_000), identity, incarnation_id);
    }
    for number in 0..5_000 {
        quarantine.record_loss(at(10_000 + number), request_of("large", &number.to_string()), 9);
    }
    assert_eq!(quarantine.verdict(at(20_000), &identity), Verdict::Quarantined);
    let (quarantined, suspects) = quarantine.counts();
    assert_eq!((quarantined, suspects), (1, 256));
}

#[test]
fn identity_tells_callers_paths_and_bodies_apart() {
    let all = [
        request_of("a", "body"),
        request_of("b", "body"),
        request_of("a", "body2"),
        Identity::of("a", "PUT", "h.example", "/llm/x", b"body"),
        Identity::of("a", "POST", "g.example", "/llm/x", b"body"),
        Identity::of("a", "POST", "h.example", "/llm/", b"xbody"),
    ];
    for (index, it) in all.iter().enumerate() {
        assert!(all[index + 1..].iter().all(|other| other != it));
        assert_eq!(it.to_string().parse(), Ok(*it));
    }
    assert!("12".parse::<Identity>().is_err());
    assert!(format!("+{}", "0".repeat(31)).parse::<Identity>().is_err(), "a sign is not a digit");
    assert_eq!(all[0].caller, all[2].caller);
}

// An operator releases a request after its first crash: other instances needn't know, and the crash
// no longer counts here.
#[test]
fn suspect_of_one_crash_can_be_released() {
    let mut quarantine = quarantine();
    let identity = request("deadly");
    assert!(!quarantine.is_tracked(&identity));
    record_crash(&mut quarantine, at(0), identity, 1);
    assert!(quarantine.is_tracked(&identity));
    assert!(!quarantine.release(at(1_000), &identity));
    assert!(!quarantine.is_tracked(&identity));
    assert!(quarantine.crashes(&identity).is_empty());
}

proptest! {
    // Instances learn of crashes by themselves or from each other, in any order and repeatedly.
    #[test]
    fn evidence_counts_incarnations_in_any_order(
        steps in prop::collection::vec((0..3_u8, 1..6_u64), 0..40),
    ) {
        let mut quarantine = quarantine();
        let identity = request("deadly");
        let mut crashed = std::collections::BTreeSet::new();
        let mut open = std::collections::BTreeSet::new();
        for (number, (step, incarnation_id)) in steps.into_iter().enumerate() {
            // Far enough apart that none counts as a mass termination.
            let now = at(1_000 * number as u64);
            match step {
                0 if !crashed.contains(&incarnation_id) => {
                    quarantine.record_loss(now, identity, incarnation_id);
                    open.insert(incarnation_id);
                }
                0 => quarantine.record_loss(now, identity, incarnation_id),
                1 => {
                    quarantine.record_crash(now, incarnation_id, SERVERS);
                    if open.remove(&incarnation_id) {
                        crashed.insert(incarnation_id);
                    }
                }
                _ => {
                    quarantine.record_peer_crash(now, now, identity, incarnation_id, SERVERS);
                    open.remove(&incarnation_id);
                    crashed.insert(incarnation_id);
                }
            }
            quarantine.evaluate(now + SETTLING_TIME);
            let is_quarantined = quarantine.counts().0 == 1;
            prop_assert_eq!(is_quarantined, 3 <= crashed.len());
        }
    }
}

/// A part in quarantine after four crashes, the last of them at 4 s.
fn quarantined_part() -> (Quarantine, Identity) {
    let mut quarantine = quarantine();
    let part = Identity::of_part("m", 7);
    for incarnation_id in 1..=4 {
        let now = at(incarnation_id * 1_000);
        quarantine.record_part_losses(now, &[part], incarnation_id);
        quarantine.record_crash(now, incarnation_id, SERVERS);
    }
    assert_eq!(quarantine.evaluate(at(4_300)), [(part, true)]);
    (quarantine, part)
}

// A part may crash servers for hours: each trial that fails makes the next one rarer, and one
// instance tries it for all.
#[test]
fn part_in_quarantine_is_tried_once_and_more_rarely_each_time() {
    let (mut quarantine, part) = quarantined_part();
    let mut delay = RETENTION / 60 * 2;
    let mut now = at(4_300);
    for incarnation_id in 5..=8 {
        assert!(quarantine.expire(now + delay - Duration::from_millis(1)).is_empty());
        assert_eq!(quarantine.expire(now + delay), [(part, Expiry::OnTrial)]);
        assert_eq!(quarantine.verdict(now + delay, &part), Verdict::Quarantined);
        assert!(
            !quarantine.claim_trial(now + delay, &part, &[part], 1),
            "another instance tries it"
        );
        assert!(quarantine.claim_trial(now + delay, &part, &[part], 0));
        assert!(!quarantine.claim_trial(now + delay, &part, &[part], 0), "one request is enough");
        now = now + delay;
        quarantine.record_part_losses(now, &[part], incarnation_id);
        quarantine.record_crash(now, incarnation_id, SERVERS);
        delay *= 2;
    }
    assert_eq!(quarantine.verdict(now, &part), Verdict::Quarantined);
}

// Two parts crash servers, and the one above them is blamed, as it was in all of the crashes. A prompt with none of
// these two shows at once that it does no harm.
#[test]
fn blamed_ancestor_is_tried_at_once_without_the_parts_of_its_crashes() {
    let mut quarantine = quarantine();
    let [ancestor, first, second, sound] = [1, 2, 3, 4].map(|it| Identity::of_part("m", it));
    for (incarnation_id, below) in [(1, first), (2, second), (3, first)] {
        let now = at(incarnation_id * 1_000);
        quarantine.record_part_losses(now, &[ancestor, below], incarnation_id);
        quarantine.record_crash(now, incarnation_id, SERVERS);
    }
    let now = at(3_300);
    assert_eq!(quarantine.evaluate(now), [(ancestor, true)]);
    assert!(!quarantine.claim_trial(now, &ancestor, &[ancestor, first], 0), "it may be the cause");
    assert!(!quarantine.claim_trial(now, &ancestor, &[ancestor, sound], 1), "another one is first");
    assert!(quarantine.claim_trial(now, &ancestor, &[ancestor, sound], 0));
    assert!(!quarantine.claim_trial(now, &ancestor, &[ancestor, sound], 0), "one is enough");
    quarantine.record_start(now, 9, &[ancestor, sound]);
    let survived = quarantine.take_survived(at(3_800), 9);
    assert!(survived.contains(&ancestor) && quarantine.release(at(3_800), &ancestor));
    assert_eq!(quarantine.verdict(at(3_800), &ancestor), Verdict::Clear);
}

// This instance has lost a sound prompt at one of the servers, and hears from others which parts were in the crashes.
#[test]
fn ancestor_of_a_crashing_part_is_not_blamed_where_only_sound_prompts_were_lost() {
    let mut quarantine = quarantine();
    let [ancestor, crashing, sound] = [1, 2, 3].map(|it| Identity::of_part("m", it));
    quarantine.record_part_losses(at(1_000), &[ancestor, sound], 1);
    quarantine.record_crash(at(1_000), 1, SERVERS);
    for incarnation_id in 1..=4 {
        let now = at(incarnation_id * 1_000);
        for part in [ancestor, crashing] {
            quarantine.record_peer_crash(now, now, part, incarnation_id, SERVERS);
        }
    }
    assert_eq!(quarantine.verdict(at(4_001), &ancestor), Verdict::Suspect);
    assert_eq!(quarantine.evaluate(at(4_300)), []);
    // Its own loss shows where the part stands.
    quarantine.record_part_losses(at(5_000), &[ancestor, crashing], 5);
    quarantine.record_crash(at(5_000), 5, SERVERS);
    assert_eq!(quarantine.evaluate(at(5_300)), [(crashing, true)]);
    assert_eq!(quarantine.verdict(at(5_300), &ancestor), Verdict::Clear);
}

// Who writes the record: other instances found the crashes, and take the part for known once this one tells them.
#[test]
fn quarantined_part_counts_as_own_before_the_server_that_lost_it_is_found_dead() {
    let mut quarantine = quarantine();
    let part = Identity::of_part("m", 7);
    for incarnation_id in 1..=3 {
        let now = at(incarnation_id * 1_000);
        quarantine.record_peer_crash(now, now, part, incarnation_id, SERVERS);
    }
    assert_eq!(quarantine.evaluate(at(4_000)), []);
    quarantine.record_part_losses(at(5_000), &[part], 4);
    assert_eq!(quarantine.evaluate(at(5_000)), [(part, true)]);
}

// A server lives on after it has begun to answer a prompt with the part, as the engines were fixed.
#[test]
fn part_that_a_server_survives_is_released() {
    let (mut quarantine, part) = quarantined_part();
    let begun = at(10_000);
    quarantine.record_start(begun, 9, &[part]);
    assert!(quarantine.take_survived(begun + Duration::from_millis(499), 9).is_empty());
    let survived = quarantine.take_survived(begun + Duration::from_millis(500), 9);
    assert!(survived.contains(&part));
    assert!(quarantine.release(begun + Duration::from_millis(500), &part), "it is announced");
    assert_eq!(quarantine.verdict(at(11_000), &part), Verdict::Clear);
}

// The server has crashed, and another process answers at its address seconds later.
#[test]
fn late_sign_of_life_proves_nothing() {
    let (mut quarantine, part) = quarantined_part();
    quarantine.record_start(at(10_000), 9, &[part]);
    assert!(quarantine.take_survived(at(12_000), 9).is_empty());
}

// Requests ran beside the crashing ones at three servers, and were put in quarantine before the part.
#[test]
fn request_that_ran_beside_a_crashing_part_is_cleared() {
    let mut quarantine = quarantine();
    let (part, beside) = (Identity::of_part("m", 7), request("beside"));
    for incarnation_id in 1..=4 {
        let now = at(incarnation_id * 1_000);
        if incarnation_id < 4 {
            quarantine.record_loss(now, beside, incarnation_id);
        }
        quarantine.record_part_losses(now, &[part], incarnation_id);
        quarantine.record_crash(now, incarnation_id, SERVERS);
        quarantine.evaluate(now + SETTLING_TIME);
    }
    assert_eq!(quarantine.verdict(at(5_000), &part), Verdict::Quarantined);
    assert_eq!(quarantine.clear_explained(), [beside]);
    assert_eq!(quarantine.verdict(at(5_000), &beside), Verdict::Clear);
}

// Another instance has found the part. A request that was lost in each of its crashes, and in one more, is in
// quarantine here.
#[test]
fn request_in_quarantine_hides_no_record_of_a_part() {
    let mut quarantine = quarantine();
    let beside = request("beside");
    for incarnation_id in 1..=4 {
        record_crash(&mut quarantine, at(incarnation_id * 1_000), beside, incarnation_id);
    }
    let part = Identity::of_part("m", 7);
    let record =
        Record { identity: part, incarnations: vec![1, 2, 3], age_ms: 0, is_released: false };
    assert!(quarantine.merge_record(at(5_000), &record));
    assert_eq!(quarantine.verdict(at(5_000), &part), Verdict::Quarantined);
}

// One of three servers turns out to live on. After a later crash it must be awaited again what else ended with it.
#[test]
fn server_found_alive_restarts_the_settling_time_of_a_part() {
    let mut quarantine = quarantine();
    let part = Identity::of_part("m", 7);
    let crash = |quarantine: &mut Quarantine, now, incarnation_id| {
        quarantine.record_part_losses(now, &[part], incarnation_id);
        quarantine.record_crash(now, incarnation_id, SERVERS);
    };
    (1..=3).for_each(|it| crash(&mut quarantine, at(it * 1_000), it));
    quarantine.record_alive(3);
    crash(&mut quarantine, at(9_000), 4);
    assert!(quarantine.evaluate(at(9_010)).is_empty());
    assert_eq!(quarantine.evaluate(at(9_000) + SETTLING_TIME), [(part, true)]);
}

// Instances of the release before count each identity as a request's.
#[test]
fn identity_of_a_part_differs_by_server_in_messages() {
    let part = Identity::of_part("m", 7);
    assert_ne!(part.masked(1), part.masked(2));
    assert_eq!(part.masked(1).masked(1), part);
    assert!(part.masked(1).is_part());
    let request = request("any");
    assert_eq!(request.masked(1), request);
    assert!(!request.is_part());
}
