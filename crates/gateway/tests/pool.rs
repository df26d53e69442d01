//! Which servers are there, and which of them can be relied on.

mod support;

use std::sync::Arc;

use shallotlead_base::time::Time;
use shallotlead_gateway::{
    adapter::ServerEntry,
    pool::{Change, Health, Presence},
};
use support::{at, entry, pool};

fn name(number: u8) -> Arc<str> {
    Arc::from(format!("e{number}"))
}

// The store is away, and all entries lapse. They are back within two seconds of its return; in between
// the whole pool must not be forgotten.
#[test]
fn entries_that_lapsed_with_the_store_may_come_back() {
    let mut pool = pool(2);
    pool.store_recovered(at(1_000));
    assert_eq!(pool.remove(at(1_100), "e0", 50), Change::None);
    assert_eq!(pool.remove(at(1_100), "e1", 51), Change::None);
    assert_eq!(pool.usable(support::SERVICE).count(), 2);
    pool.put(at(2_000), &name(0), 60, entry(0, "a", 1));
    assert!(pool.expire(at(2_500), false).is_empty());
    assert_eq!(pool.expire(at(3_300), false), [1]);
    assert_eq!(pool.usable(support::SERVICE).count(), 1);
}

#[test]
fn removal_without_an_outage_counts_at_once() {
    let mut pool = pool(2);
    assert_eq!(pool.remove(at(100), "e0", 50), Change::Gone(0));
    assert_eq!(pool.remove(at(100), "e0", 51), Change::None);
    assert_eq!(pool.retain(at(200), &[], 60), [Change::Gone(1)]);
}

// A watch brings an older entry after a newer one. A server that leaves doesn't come back by it.
#[test]
fn older_entries_change_nothing() {
    let mut pool = pool(1);
    let mut leaving = entry(0, "a", 1);
    leaving.is_draining = true;
    assert_eq!(pool.put(at(0), &name(0), 9, leaving), Change::Leaving(0));
    assert_eq!(pool.put(at(0), &name(0), 8, entry(0, "a", 1)), Change::None);
    assert_eq!(pool.get(0).presence, Presence::Draining);
}

// A server crashes and starts again at its address under another name. The old one's entry hasn't
// lapsed yet, but nothing should be sent to it.
#[test]
fn address_belongs_to_the_newest_server() {
    let mut pool = pool(1);
    assert_eq!(pool.put(at(0), &Arc::from("new"), 20, entry(0, "a", 1)), Change::Joined(1));
    assert_eq!(pool.get(0).presence, Presence::Gone);
    assert_eq!(pool.get(1).presence, Presence::Ready);
}

// A server crashes and starts again under its name, at its address. Prompts were sent to it before, and
// other instances go on telling of them for a moment. The new life holds nothing of that.
#[test]
fn life_ends_with_all_that_was_believed_of_it() {
    let mut pool = pool(0);
    let born = |ms: u64| ServerEntry { incarnation: Some(ms), ..entry(0, "a", 1) };
    assert_eq!(pool.put(at(0), &name(0), 5, born(10)), Change::Joined(0));
    let server = pool.get_mut(0);
    server.added_tokens = 9_000;
    server.busy_until = at(4_000);
    server.health.mark_unresponsive(at(100));
    assert_eq!(pool.put(at(200), &name(0), 6, born(20)), Change::Restarted(0, 1));
    let server = pool.get(1);
    assert_eq!(
        (server.added_tokens, server.busy_until, server.health.is_in_rotation()),
        (0, Time::ZERO, true)
    );
    assert_eq!(pool.usable(support::SERVICE).map(|it| it.0).collect::<Vec<_>>(), [1]);
    assert_eq!(pool.find_incarnation("e0", Some(10)), None, "news of the first life come late");
    assert_eq!(pool.find_incarnation("e0", Some(20)), Some(1));
    assert_eq!(pool.put(at(300), &name(0), 7, born(10)), Change::None, "so does its entry");
    assert!(!pool.check_incarnation(1, Some(10)), "and its report");
    assert_eq!(pool.get(1).presence, Presence::Ready);
}

// A server restarted behind a cut, and its own report says so before its entry does. What was believed of
// the first life must not be used in between.
#[test]
fn report_of_a_newer_life_ends_the_known_one() {
    let mut pool = pool(0);
    let born = |ms: u64| ServerEntry { incarnation: Some(ms), ..entry(0, "a", 1) };
    pool.put(at(0), &name(0), 5, born(10));
    assert!(pool.check_incarnation(0, Some(10)));
    assert!(!pool.check_incarnation(0, Some(20)));
    assert_eq!(pool.usable(support::SERVICE).count(), 0);
    assert_eq!(pool.put(at(900), &name(0), 6, born(20)), Change::Restarted(0, 1));
    assert_eq!(pool.usable(support::SERVICE).count(), 1);
}

// Another program overwrites a server's entry with something else. It names no server until the server
// writes its own again.
#[test]
fn unreadable_entry_names_no_server_until_a_good_one_comes() {
    let mut pool = pool(2);
    assert_eq!(pool.mark_unreadable("e0", 50), Change::Gone(0));
    assert_eq!(pool.mark_unreadable("nobody", 51), Change::None);
    assert_eq!(pool.usable(support::SERVICE).map(|it| it.0).collect::<Vec<_>>(), [1]);
    assert_eq!(pool.put(at(900), &name(0), 60, entry(0, "a", 1)), Change::Joined(0));
    assert_eq!(pool.usable(support::SERVICE).count(), 2);
}

// An entry of a service that nobody named claims a live server's address. The server stays in use, and
// the other one is never asked nor ordered anything.
#[test]
fn entry_of_an_unknown_service_displaces_nobody() {
    let mut pool = pool(1);
    pool.set_services([Arc::from(support::SERVICE)].into_iter());
    let ghost = ServerEntry { service: Arc::from("ghost"), ..entry(0, "a", 1) };
    pool.put(at(0), &Arc::from("g"), 9, ghost);
    assert_eq!(pool.usable(support::SERVICE).count(), 1);
    assert_eq!(pool.listed().map(|it| it.0).collect::<Vec<_>>(), [0]);
}

#[test]
fn failures_in_a_row_take_a_server_out_until_a_probe_succeeds() {
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
    assert!(health.record_failure(at(1_300)), "one more failure is enough now");
}

// Some requests end in errors at every server. They must not take the servers out one by one.
#[test]
fn errors_alone_take_nobody_out() {
    let mut health = Health::default();
    for ms in 0..1_000 {
        assert!(!health.record_error(at(ms)));
    }
}

// A server loses the store for a while: its entry lapses, and instances tell each other that it is gone.
// It comes back while they still repeat that. It must be used again.
#[test]
fn rumour_doesn_t_outlive_a_return() {
    let mut pool = pool(3);
    assert_eq!(pool.mark_leaving("e0", 50), Change::Leaving(0));
    assert_eq!(pool.put(at(1_000), &name(0), 60, entry(0, "a", 1)), Change::None);
    assert_eq!(pool.get(0).presence, Presence::Ready);
    assert_eq!(pool.mark_leaving("e0", 50), Change::None);
    assert_eq!(pool.get(0).presence, Presence::Ready);
}

// The store was away, and an instance that only waited for a watch didn't notice. All entries lapse in
// one answer; they are kept until they are back. A single one that is removed is gone at once.
#[test]
fn entries_that_lapse_together_get_time() {
    let mut pool = pool(9);
    pool.note_mass_expiry(at(0), 1);
    assert_eq!(pool.remove(at(0), "e0", 50), Change::Gone(0));
    pool.note_mass_expiry(at(100), 8);
    assert_eq!(pool.remove(at(100), "e1", 51), Change::None);
    assert_eq!(pool.usable(support::SERVICE).count(), 8);
    assert!(pool.expire(at(1_600), false).is_empty());
    assert_eq!(pool.expire(at(1_800), false), [1], "in time for a planned departure");
}

// An instance starts long after weights were named. It hears from another one when that was, and must
// not begin requests on older weights as if they had been replaced just now.
#[test]
fn naming_is_as_old_as_the_eldest_word() {
    let mut pool = pool(1);
    let model = Arc::from(support::MODEL);
    assert!(pool.add_version(at(9_000), &model, 2));
    assert!(!pool.add_version(at(1_000), &model, 2));
    let named = pool.weight_versions(support::MODEL).unwrap();
    assert_eq!(named.replaced_since(1), Some(at(1_000)));
}
