//! Which servers are registered, and which of them are in rotation.

mod support;

use std::{sync::Arc, time::Duration};

use shallotlead_base::time::Time;
use shallotlead_gateway::{
    adapter::ServerEntry,
    pool::{Change, Currency, Health, Presence, Unavailability},
};
use support::{at, entry, pool};

fn name(number: u8) -> Arc<str> {
    Arc::from(format!("e{number}"))
}

// The store is down, and all entries expire. They are back within two seconds of its recovery;
// until then the pool must not be dropped.
#[test]
fn entries_that_expired_in_an_outage_may_come_back() {
    let mut pool = pool(2);
    pool.record_store_recovery(at(1_000), Duration::from_secs(4));
    assert_eq!(pool.remove(at(1_100), "e0", 50), Change::None);
    assert_eq!(pool.remove(at(1_100), "e1", 51), Change::None);
    assert_eq!(pool.usable(support::SERVICE).count(), 2);
    pool.put(at(2_000), &name(0), 60, entry(0, "a", 1));
    assert!(pool.expire(at(2_500), false).is_empty());
    assert_eq!(pool.expire(at(3_300), false), [1]);
    assert_eq!(pool.usable(support::SERVICE).count(), 1);
}

#[test]
fn removal_without_an_outage_takes_effect_at_once() {
    let mut pool = pool(2);
    assert_eq!(pool.remove(at(100), "e0", 50), Change::Gone(0));
    assert_eq!(pool.remove(at(100), "e0", 51), Change::None);
    assert_eq!(pool.retain(at(200), &[], 60, false), [Change::Gone(1)]);
}

// A watch delivers an older entry after a newer one. It must not bring a draining server back.
#[test]
fn older_entries_change_nothing() {
    let mut pool = pool(1);
    let mut leaving = entry(0, "a", 1);
    leaving.is_draining = true;
    assert_eq!(pool.put(at(0), &name(0), 9, leaving), Change::Leaving(0));
    assert_eq!(pool.put(at(0), &name(0), 8, entry(0, "a", 1)), Change::None);
    assert_eq!(pool.get(0).presence, Presence::Draining);
}

// A server crashes and restarts at its address under another name. The old server's entry hasn't
// expired yet, but no request may be sent to it.
#[test]
fn address_belongs_to_the_newest_server() {
    let mut pool = pool(1);
    assert_eq!(pool.put(at(0), &Arc::from("new"), 20, entry(0, "a", 1)), Change::Joined(1));
    assert_eq!(pool.get(0).presence, Presence::Gone);
    assert_eq!(pool.get(1).presence, Presence::Ready);
}

// A server crashes and restarts under its name, at its address. Prompts were sent to it before, and
// other instances repeat their announcements for a moment. The new incarnation has cached nothing
// of that.
#[test]
fn restarted_server_inherits_no_state() {
    let mut pool = pool(0);
    let at_incarnation = |ms: u64| ServerEntry { incarnation: Some(ms), ..entry(0, "a", 1) };
    assert_eq!(pool.put(at(0), &name(0), 5, at_incarnation(10)), Change::Joined(0));
    let server = pool.get_mut(0);
    server.added_tokens = 9_000;
    server.backlog.busy_until = at(4_000);
    server.health.mark_unresponsive(at(100));
    assert_eq!(pool.put(at(200), &name(0), 6, at_incarnation(20)), Change::Restarted(0, 1));
    let server = pool.get(1);
    assert_eq!(
        (server.added_tokens, server.backlog.busy_until, server.health.is_in_rotation()),
        (0, Time::ZERO, true)
    );
    assert_eq!(pool.usable(support::SERVICE).map(|it| it.0).collect::<Vec<_>>(), [1]);
    assert_eq!(
        pool.find_incarnation("e0", Some(10)),
        None,
        "a late message about the first incarnation"
    );
    assert_eq!(pool.find_incarnation("e0", Some(20)), Some(1));
    assert_eq!(pool.put(at(300), &name(0), 7, at_incarnation(10)), Change::None, "its late entry");
    assert!(!pool.check_incarnation(1, Some(10)), "its late report");
    assert_eq!(pool.get(1).presence, Presence::Ready);
}

// A server says that it drains, and its entry goes on saying that it is ready. Only a new incarnation takes requests.
#[test]
fn announced_drain_is_final_for_an_incarnation() {
    let mut pool = pool(0);
    let at_incarnation = |ms: u64| ServerEntry { incarnation: Some(ms), ..entry(0, "a", 1) };
    pool.put(at(0), &name(0), 5, at_incarnation(10));
    assert_eq!(pool.mark_draining(0), Change::Leaving(0));
    assert_eq!(pool.mark_draining(0), Change::None);
    assert_eq!(pool.get(0).check(at(0)), Err(Unavailability::Draining));
    pool.put(at(0), &name(0), 6, at_incarnation(10));
    assert_eq!(pool.remove(at(0), "e0", 7), Change::Gone(0));
    assert_eq!(pool.get(0).check(at(0)), Err(Unavailability::Gone));
    pool.put(at(0), &name(0), 8, at_incarnation(10));
    assert_eq!(pool.get(0).check(at(0)), Err(Unavailability::Draining));
    pool.put(at(0), &name(0), 9, at_incarnation(20));
    assert_eq!(pool.get(1).check(at(0)), Ok(()));
}

// Another instance tells that a server drains before the server's entry is known here.
#[test]
fn draining_incarnation_is_known_before_its_entry() {
    let mut pool = pool(0);
    let at_incarnation = |ms: u64| ServerEntry { incarnation: Some(ms), ..entry(0, "a", 1) };
    let mut known = support::pool(0);
    known.put(at(0), &name(0), 5, at_incarnation(10));
    let incarnation_id = known.get(0).incarnation_id();
    assert_eq!(pool.mark_incarnation_draining(at(0), incarnation_id), Change::None);
    pool.put(at(0), &name(0), 5, at_incarnation(10));
    assert_eq!(pool.get(0).check(at(0)), Err(Unavailability::Draining));
    assert_eq!(pool.announced_draining().collect::<Vec<_>>(), [incarnation_id]);
    pool.put(at(0), &name(0), 6, at_incarnation(20));
    assert_eq!(pool.get(1).check(at(0)), Ok(()));
}

// A server that names no incarnation drains, ends and starts again. It counts its entries anew.
#[test]
fn unnamed_incarnation_that_counts_anew_has_restarted() {
    let mut pool = pool(0);
    let numbered = |sequence: u64| ServerEntry { sequence, ..entry(0, "a", 1) };
    pool.put(at(0), &name(0), 5, numbered(4));
    pool.mark_draining(0);
    pool.remove(at(0), "e0", 6);
    pool.put(at(0), &name(0), 7, numbered(5));
    assert_eq!(pool.get(0).check(at(0)), Err(Unavailability::Draining));
    pool.remove(at(0), "e0", 8);
    pool.put(at(0), &name(0), 9, numbered(1));
    assert_eq!(pool.get(0).check(at(0)), Ok(()));
}

// A server restarted during a network partition, and its own report says so before its entry does.
// What was known of the first incarnation must not be used until then.
#[test]
fn report_of_a_newer_incarnation_ends_the_known_one() {
    let mut pool = pool(0);
    let at_incarnation = |ms: u64| ServerEntry { incarnation: Some(ms), ..entry(0, "a", 1) };
    pool.put(at(0), &name(0), 5, at_incarnation(10));
    assert!(pool.check_incarnation(0, Some(10)));
    assert!(!pool.check_incarnation(0, Some(20)));
    assert_eq!(pool.usable(support::SERVICE).count(), 0);
    assert_eq!(pool.put(at(900), &name(0), 6, at_incarnation(20)), Change::Restarted(0, 1));
    assert_eq!(pool.usable(support::SERVICE).count(), 1);
}

// Another program overwrites a server's entry with something else. The server is unused until it
// writes its own entry again.
#[test]
fn server_with_unreadable_entry_is_unused_until_a_valid_one_follows() {
    let mut pool = pool(2);
    assert_eq!(pool.mark_unreadable("e0", 50), Change::Gone(0));
    assert_eq!(pool.mark_unreadable("nobody", 51), Change::None);
    assert_eq!(pool.usable(support::SERVICE).map(|it| it.0).collect::<Vec<_>>(), [1]);
    assert_eq!(pool.put(at(900), &name(0), 60, entry(0, "a", 1)), Change::Joined(0));
    assert_eq!(pool.usable(support::SERVICE).count(), 2);
}

// An entry of a service that isn't configured claims a live server's address. The server stays in
// use, and the other one is never probed nor ordered anything.
#[test]
fn entry_of_an_unknown_service_displaces_no_server() {
    let mut pool = pool(1);
    pool.set_services([Arc::from(support::SERVICE)].into_iter());
    let ghost = ServerEntry { service: Arc::from("ghost"), ..entry(0, "a", 1) };
    pool.put(at(0), &Arc::from("g"), 9, ghost);
    assert_eq!(pool.usable(support::SERVICE).count(), 1);
    assert_eq!(pool.listed().map(|it| it.0).collect::<Vec<_>>(), [0]);
}

#[test]
fn consecutive_failures_eject_a_server_until_a_probe_succeeds() {
    let mut health = Health::default();
    assert!(!health.record_failure(at(0)));
    assert!(health.record_failure(at(1)));
    assert!(!health.is_in_rotation());
    assert!(!health.begin_probe(at(100)));
    assert!(health.begin_probe(at(400)));
    assert!(!health.begin_probe(at(400)), "one probe at a time");
    assert!(!health.finish_probe(at(450), false));
    assert!(!health.begin_probe(at(800)), "the pause has doubled");
    assert!(health.begin_probe(at(1_200)));
    assert!(health.finish_probe(at(1_210), true));
    assert!(health.is_in_rotation());
    assert!(health.record_failure(at(1_300)), "after it was reinstated one more failure is enough");
}

// Some requests end in errors at every server. They must not eject the servers one by one.
#[test]
fn errors_alone_eject_no_server() {
    let mut health = Health::default();
    for ms in 0..1_000 {
        assert!(!health.record_error(at(ms)));
    }
}

// A server can't reach the store for a while: its entry expires, and instances announce to each
// other that it is gone. It comes back while they still repeat that, and must be used again.
#[test]
fn repeated_announcement_does_not_outlive_a_return() {
    let mut pool = pool(3);
    assert_eq!(pool.mark_leaving("e0", 50), Change::Leaving(0));
    assert_eq!(pool.put(at(1_000), &name(0), 60, entry(0, "a", 1)), Change::None);
    assert_eq!(pool.get(0).presence, Presence::Ready);
    assert_eq!(pool.mark_leaving("e0", 50), Change::None);
    assert_eq!(pool.get(0).presence, Presence::Ready);
}

// The store was down, and an instance that only waited for a watch didn't notice. All entries
// expire in one response; they are kept until they are back. A single entry that is removed is gone
// at once.
#[test]
fn entries_that_expire_together_get_a_grace_period() {
    let mut pool = pool(9);
    pool.check_mass_expiry(at(0), 1, false);
    assert_eq!(pool.remove(at(0), "e0", 50), Change::Gone(0));
    pool.check_mass_expiry(at(100), 8, false);
    assert_eq!(pool.remove(at(100), "e1", 51), Change::None);
    assert_eq!(pool.usable(support::SERVICE).count(), 8);
    assert!(pool.expire(at(1_600), false).is_empty());
    assert_eq!(pool.expire(at(1_800), false), [1], "in time for a planned departure");
}

// A quarter of the servers leaves, and another quarter a moment later. The first ones were used until the grace period of
// the second ones was over, and had ended by then.
#[test]
fn later_removal_extends_no_earlier_one() {
    let mut pool = pool(8);
    for (ms, first) in [(0, 0), (1_400, 2)] {
        pool.check_mass_expiry(at(ms), 2, false);
        for number in [first, first + 1] {
            let revision = 50 + u64::from(number);
            assert_eq!(pool.remove(at(ms), &name(number), revision), Change::None);
        }
        assert!(pool.expire(at(ms + 150), false).is_empty());
    }
    assert_eq!(pool.expire(at(1_600), false), [0, 1]);
    assert!(pool.expire(at(2_900), false).is_empty());
    assert_eq!(pool.expire(at(3_000), false), [2, 3]);
}

// The store is back for a moment only. Servers that had no time to write their entries again were dropped when it was back
// for good.
#[test]
fn grace_period_that_an_outage_interrupts_begins_anew() {
    let mut pool = pool(2);
    pool.record_store_recovery(at(1_000), Duration::from_secs(4));
    assert_eq!(pool.remove(at(1_100), "e0", 50), Change::None);
    assert!(pool.expire(at(3_900), true).is_empty());
    pool.record_store_recovery(at(4_000), Duration::from_millis(2_500));
    assert!(pool.expire(at(4_100), false).is_empty());
    pool.record_store_recovery(at(5_000), Duration::from_millis(50));
    assert_eq!(pool.expire(at(6_200), false), [0], "a single failed call is no outage");
}

// A quarter of the servers leaves while the store answers all along. They were used for 1.6 s more, as after an outage.
#[test]
fn servers_that_a_steady_store_removes_together_are_gone_at_once() {
    let mut pool = pool(8);
    pool.check_mass_expiry(at(0), 2, true);
    assert_eq!(pool.remove(at(0), "e0", 50), Change::Gone(0));
    assert_eq!(pool.remove(at(0), "e1", 51), Change::Gone(1));
    let listed: Vec<_> = (5..8).map(name).collect();
    let gone = [2, 3, 4].map(Change::Gone);
    assert_eq!(pool.retain(at(100), &listed, 60, true), gone);
}

// An instance that was cut off from the store itself keeps a server that has left, and others that weren't tell it. It
// sent requests there until its own grace period was over.
#[test]
fn announcement_ends_the_grace_period_of_a_missing_server() {
    let mut pool = pool(2);
    pool.record_store_recovery(at(1_000), Duration::from_secs(5));
    assert_eq!(pool.remove(at(1_050), "e0", 50), Change::None);
    assert_eq!(pool.mark_leaving("e0", 49), Change::None, "an older one");
    assert_eq!(pool.mark_leaving("e0", 50), Change::Leaving(0));
    assert_eq!(pool.usable(support::SERVICE).map(|it| it.0).collect::<Vec<_>>(), [1]);
    assert_eq!(pool.expire(at(3_200), false), [0]);
}

// A server leaves right after the store's return, which the watch tells at once. It was kept as long as one whose entry
// may have expired before.
#[test]
fn removal_after_an_outage_takes_effect_in_time_for_a_planned_departure() {
    let mut pool = pool(3);
    pool.record_store_recovery(at(1_000), Duration::from_secs(4));
    assert_eq!(pool.remove(at(1_010), "e0", 50), Change::None);
    assert_eq!(pool.remove(at(1_100), "e1", 51), Change::None);
    pool.limit_grace(at(1_100), "e1");
    assert_eq!(pool.remove(at(3_100), "e2", 52), Change::None);
    pool.limit_grace(at(3_100), "e2");
    assert_eq!(pool.expire(at(2_700), false), [1]);
    assert_eq!(pool.expire(at(3_200), false), [0, 2]);
}

// An instance starts long after weights were published. It learns from another one when that was,
// and must not start requests on older weights as if they had been replaced just now.
#[test]
fn publication_time_is_the_earliest_known() {
    let mut pool = pool(1);
    let model = Arc::from(support::MODEL);
    assert!(pool.add_version(at(9_000), &model, 2));
    assert!(!pool.add_version(at(1_000), &model, 2));
    let versions = pool.weight_versions(support::MODEL).unwrap();
    assert_eq!(versions.currency(1), Currency::Replaced(at(1_000)));
}
