//! Membership as instances know it from each other.

mod support;

use std::{collections::BTreeSet, iter, net::SocketAddr, sync::Arc, time::Duration};

use proptest::{collection::vec, prelude::*};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use shallotlead_base::time::Time;
use shallotlead_gateway::{
    broadcast::{Aged, Update},
    build,
    gossip::{
        Datagram, Heartbeat, LimitReport, Member, Members, Message, PermitReply, PermitRequest,
        QuotaReply, QuotaRequest, Source,
    },
    quarantine::Identity,
    quota, rate_limit,
};
use support::{at, member};

// An instance dies and others repeat its last state. That is no newer than what is known, so the instance counts as
// dead in time.
#[test]
fn repeated_gossip_does_not_keep_the_dead_alive() {
    let mut members = Members::new(member("me", 1, 0));
    assert!(members.receive(at(0), member("b", 1, 5)));
    for ms in (0..4_000).step_by(100) {
        assert!(!members.receive(at(ms), member("b", 1, 5)));
        assert!(!members.receive(at(ms), member("b", 1, 4)));
    }
    assert_eq!(members.alive(at(2_000)).count(), 1);
    assert_eq!(members.alive(at(3_500)).count(), 0);
    assert_eq!(members.budget_sharers(), 2, "it still counts for the shared budget");
    members.expire(at(31_000));
    assert_eq!(members.budget_sharers(), 2, "it may live on behind a partition");
    members.expire(at(600_000));
    assert_eq!(members.budget_sharers(), 1);
    assert!(members.receive(at(600_000), member("b", 2, 0)), "a new incarnation is new");
}

// The clock is set back while an instance restarts, so its incarnation is lower than the last one and the others
// would never list it again. It learns of the last incarnation from them and uses a higher one.
#[test]
fn restart_with_a_clock_set_back_is_recognised() {
    let mut restarted = Members::new(member("b", 5, 0));
    let mut other = Members::new(member("a", 1, 0));
    other.receive(at(0), member("b", 9, 70));
    assert!(!other.receive(at(100), restarted.me().clone()));
    restarted.receive(at(100), member("b", 9, 70));
    assert!(other.receive(at(200), restarted.me().clone()));
}

// An instance starts to shut down between two messages. Instances that know its last heartbeat from others would
// ignore a change sent under the same heartbeat, and continue to send callers there.
#[test]
fn change_is_sent_under_a_newer_heartbeat() {
    let mut leaving = Members::new(member("b", 1, 0));
    let mut other = Members::new(member("a", 1, 0));
    assert!(other.receive(at(0), leaving.announce()));
    leaving.me_mut().is_leaving = true;
    assert!(other.receive(at(0), leaving.announce()));
    assert!(other.is_leaving("b"));
    // Newer heartbeats that arrive by other paths do not hide a state that was sent under an earlier one.
    let sent = leaving.announce();
    other.merge_heartbeats(at(100), &heartbeats_of_third(&sent, 9));
    assert!(other.receive(at(200), Member { is_ready: false, ..sent }));
    assert!(other.alive(at(200)).all(|it| !it.is_ready));
}

// All instances agree on the owner of a key. It is in the requested data centre while an instance is ready there.
#[test]
fn owner_is_agreed_on_and_replaced_when_it_shuts_down() {
    let all: Vec<Member> = (0..6).map(|it| member(&format!("i{it}"), 1, 1)).collect();
    let owners = |gone: Option<usize>, centre: &str| -> BTreeSet<String> {
        let views = all.iter().filter(|me| gone.is_none_or(|it| me.name != all[it].name));
        let owner = |me: &Member| {
            let mut view = Members::new(me.clone());
            for (number, other) in all.iter().enumerate() {
                view.receive(at(0), Member { is_leaving: gone == Some(number), ..other.clone() });
            }
            view.owner(at(100), 77, centre).name.to_string()
        };
        views.map(owner).collect()
    };
    let first = owners(None, "a");
    assert_eq!(first.len(), 1);
    assert_eq!(owners(None, "elsewhere"), first, "no member is there");
    let number = all.iter().position(|it| first.contains(&*it.name)).unwrap();
    let second = owners(Some(number), "a");
    assert_eq!(second.len(), 1);
    assert_ne!(first, second);
}

#[test]
fn shares_of_a_partition_add_up_to_at_most_one() {
    let mut members = Members::new(member("me", 1, 0));
    for name in ["a", "b", "c"] {
        members.receive(at(0), member(name, 1, 1));
    }
    assert!((members.alive_fraction(at(1_000)) - 1.0).abs() < 1e-9);
    members.receive(at(3_000), member("a", 1, 2));
    assert!((members.alive_fraction(at(5_000)) - 0.5).abs() < 1e-9, "two of four are alive");
    members.receive(at(5_000), Member { is_leaving: true, ..member("b", 1, 2) });
    assert!(
        (members.alive_fraction(at(5_000)) - 2.0 / 3.0).abs() < 1e-9,
        "one announced its shutdown"
    );
    members.expire(at(31_000));
    members.receive(at(31_000), member("a", 1, 3));
    assert!(
        (members.alive_fraction(at(31_000)) - 2.0 / 3.0).abs() < 1e-9,
        "one may live on behind a long partition"
    );
    members.expire(at(600_000));
    members.receive(at(600_000), member("a", 1, 4));
    assert!((members.alive_fraction(at(600_000)) - 1.0).abs() < 1e-9, "one is gone for good");
}

// The process before may have spent the instance's share of an allowance, and nobody has kept account of it.
#[test]
fn restarted_process_has_no_share_until_earlier_ones_have_lapsed() {
    let (span, young, old) = (Duration::from_secs(10), Duration::ZERO, Duration::from_secs(13));
    let share = |is_new: Option<bool>, others: &[&str], uptime: Duration| {
        let mut members = Members::new(member("me", 2, 0));
        others.iter().for_each(|it| members.add_record(at(0), member(it, 1, 0)));
        is_new.into_iter().for_each(|it| members.enter_fleet(it));
        members.allowance_share(uptime, span)
    };
    assert_eq!(share(None, &[], old), 0.0, "it doesn't know who else there is");
    assert_eq!(share(Some(true), &[], young), 1.0, "there was no process before");
    assert_eq!(share(Some(true), &["a"], young), 0.0, "others may not know of it");
    assert_eq!(share(Some(false), &[], young), 0.0);
    assert_eq!(share(Some(false), &[], old), 1.0);
    assert_eq!(share(Some(false), &["a", "b", "c"], old), 0.25);
}

/// Heartbeats that a third instance sends after hearing of `member`.
fn heartbeats_of_third(member: &Member, beat: u64) -> Vec<Heartbeat> {
    let mut third = Members::new(support::member("c", 1, 0));
    third.receive(at(0), Member { beat, ..member.clone() });
    third.recent_heartbeats(at(0), &mut SmallRng::seed_from_u64(1))
}

// A rolling restart reaches the oldest instances first, so the youngest keeps the lease longest.
#[test]
fn youngest_instance_ranks_first_for_the_lease() {
    let mut members = Members::new(member("me", 5, 0));
    members.receive(at(0), member("older", 3, 0));
    members.receive(at(0), member("younger", 9, 0));
    members.receive(at(0), Member { is_leaving: true, ..member("leaving", 20, 0) });
    assert_eq!(members.lease_rank(at(0)), 1);
}

// A third of a fleet, including the three youngest instances, loses the store for twelve seconds. If they remained
// the candidates, nobody else would take the lease, no server would get newer weights, and callers would be refused
// from the eighth second on.
#[test]
fn instances_without_the_store_are_no_lease_candidates() {
    let mut members = Members::new(member("me", 5, 0));
    for (name, incarnation) in [("a", 9), ("b", 8), ("c", 7)] {
        members.receive(at(0), member(name, incarnation, 0));
    }
    assert_eq!(members.lease_rank(at(0)), 3);
    for (name, incarnation) in [("a", 9), ("b", 8), ("c", 7)] {
        members.receive(at(500), Member { is_away: true, ..member(name, incarnation, 1) });
    }
    assert_eq!(members.lease_rank(at(500)), 0);
}

// If all of eighty instances watched the store, each change would be paid for eighty times. One instance of each data
// centre watches; when it dies or the store refuses it, the next one takes its place.
#[test]
fn few_instances_of_a_large_fleet_watch() {
    let all = fleet(3, |_| {});
    let first = watchers(&all, &[]);
    let centres = |it: &[usize]| it.iter().map(|it| it % 3).collect::<BTreeSet<_>>();
    assert_eq!((first.len(), centres(&first).len()), (3, 3));
    let next = watchers(&all, &first);
    assert_eq!((next.len(), centres(&next).len()), (3, 3), "the next instances take over");
    let cut_off = all[first[1]].name.clone();
    let without_store = fleet(3, |it| it.is_away = it.name == cut_off);
    let watchers_with_one_cut_off = watchers(&without_store, &[]);
    assert_eq!(
        watchers_with_one_cut_off.len(),
        4,
        "an instance without the store keeps trying, and the next one watches"
    );
    let leaving = fleet(3, |it| it.is_leaving = it.name == cut_off);
    assert!(
        next.iter().any(|it| watchers(&leaving, &[]).contains(it)),
        "an instance that shuts down does not count"
    );
    let mut small = Members::new(all[70].clone());
    all.iter().take(7).for_each(|it| {
        small.receive(at(0), it.clone());
    });
    assert!(small.is_watcher(at(0)));
}

// A fleet restarts after a power loss, except for some instances that are gone for good and still have records in the
// store. In a data centre whose first instance by name is one of those, nobody watches the store until the others
// consider it dead; instances that are heard of must never count as dead.
#[test]
fn records_of_gone_instances_count_briefly() {
    let all = fleet(3, |it| it.is_ready = false);
    let gone = watchers(&all, &[]);
    let is_watcher = |me: usize, ms: u64| {
        let mut members = Members::new(all[me].clone());
        all.iter().for_each(|it| members.add_record(at(0), it.clone()));
        for (index, it) in all.iter().enumerate().filter(|it| !gone.contains(&it.0)) {
            members.receive(at(1_000 + index as u64), Member { beat: 1, ..it.clone() });
        }
        members.is_watcher(at(ms))
    };
    let alive = || (0..all.len()).filter(|it| !gone.contains(it));
    assert_eq!(alive().filter(|it| is_watcher(*it, 2_000)).count(), 0);
    assert_eq!(alive().filter(|it| is_watcher(*it, 2_500)).count(), 3);
}

// To save paid traffic between data centres, a large fleet gossips mostly within each of them. If that were too
// little, callers would be sent to too few instances, and watchers and the lease would change hands. One datagram in
// twenty is lost here, and one data centre has a single instance.
#[test]
fn all_live_members_of_a_large_fleet_stay_known() {
    let centre = |it: u64| if it == 0 { 9 } else { it % 4 };
    let me = |it: u64| Member {
        centre: Arc::from(format!("c{}", centre(it))),
        peers: SocketAddr::from(([10, 0, 0, 1], 1 + it as u16)),
        ..member(&format!("i{it}"), 1, 0)
    };
    let mut rng = SmallRng::seed_from_u64(3);
    let mut fleet: Vec<Members> = (0..295).map(|it| Members::new(me(it))).collect();
    for it in &mut fleet {
        (0..295).for_each(|other| it.add_record(at(0), me(other)));
    }
    let (mut unpresumed, mut unknown) = (Vec::new(), Vec::new());
    for ms in (0..15_000).step_by(20) {
        for from in (0..fleet.len()).filter(|it| (ms + 37 * *it as u64) % 600 < 20) {
            let sent = fleet[from].take_sightings(at(ms));
            let me = fleet[from].announce();
            let beats = fleet[from].recent_heartbeats(at(ms), &mut rng);
            for to in fleet[from].gossip_targets(at(ms), iter::empty(), &mut rng) {
                if rng.random_bool(0.05) {
                    continue;
                }
                let to = &mut fleet[usize::from(to.port()) - 1];
                to.receive(at(ms), me.clone());
                sent.iter().for_each(|it| {
                    to.merge_sighting(at(ms), it.clone(), Source::Instance);
                });
                to.merge_heartbeats(at(ms), &beats);
            }
        }
        if ms % 200 == 0 {
            let missing = |count: &dyn Fn(&Members) -> usize| -> usize {
                fleet.iter().map(|it| 294 - count(it)).sum()
            };
            unpresumed.push(missing(&|it| it.presumed_alive(at(ms)).count()));
            unknown.push(missing(&|it| it.alive(at(ms)).count()));
        }
    }
    // Right after all have started, members known only by their records may be missing for a moment.
    let most = unpresumed.iter().max().copied().unwrap_or(0);
    assert!(most < 295 * 294 / 20, "{most} pairs of instances do not know each other");
    let late = unknown[unknown.len() / 2..].iter().max().copied();
    assert_eq!(late, Some(0), "a live instance counts as dead somewhere");
}

// In a rolling restart, watchers chosen by youth would be replaced, and paid for, 59 times in a data centre of 59.
#[test]
fn restarted_instances_do_not_become_watchers() {
    let before = watchers(&fleet(3, |_| {}), &[]);
    for restarted in (0..80).filter(|it| !before.contains(it)) {
        let name = format!("i{restarted}");
        let all = fleet(3, |it| it.incarnation += if *it.name == *name { 1_000 } else { 0 });
        assert_eq!(watchers(&all, &[]), before);
    }
}

// A large fleet has three watchers in a single data centre, and two in each of two, so that others remain when one is
// cut off silently.
#[test]
fn fleet_of_few_data_centres_has_several_watchers() {
    assert_eq!(watchers(&fleet(1, |_| {}), &[]).len(), 3);
    assert_eq!(watchers(&fleet(2, |_| {}), &[]).len(), 4);
}

/// Eighty instances, spread evenly over `centres` data centres, the youngest first.
fn fleet(centres: u64, change: impl Fn(&mut Member)) -> Vec<Member> {
    (0..80)
        .map(|it| {
            let centre = Arc::from(format!("c{}", it % centres));
            let mut member = Member { centre, ..member(&format!("i{it}"), 100 - it, 0) };
            change(&mut member);
            member
        })
        .collect()
}

/// Which of `all` watch the store while the `dead` are not heard of.
fn watchers(all: &[Member], dead: &[usize]) -> Vec<usize> {
    let alive = || (0..all.len()).filter(|it| !dead.contains(it));
    let is_watcher = |me: &Member| {
        let mut members = Members::new(me.clone());
        for it in alive() {
            members.receive(at(0), all[it].clone());
        }
        members.is_watcher(at(0))
    };
    alive().filter(|it| is_watcher(&all[*it])).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    // Decoding arbitrary bytes must not panic.
    #[test]
    fn any_datagram_is_decoded_or_rejected(mut bytes in vec(any::<u8>(), 0..200), kind in 0_u8..4) {
        if let Some(first) = bytes.first_mut() {
            *first = kind;
        }
        let _ = postcard::from_bytes::<Datagram>(&bytes);
    }
}

/// A message with these updates.
fn news(updates: Vec<Update>) -> Datagram {
    Datagram::News(Box::new(Message {
        from: member("a", 1, 0),
        members: Vec::new(),
        heartbeats: Vec::new(),
        configuration: 1,
        era: 0,
        withheld: Vec::new(),
        weights: Vec::new(),
        updates: updates.into_iter().map(|update| Aged { update, age_ms: 0 }).collect(),
        needs_relay: false,
        cache_stores: Vec::new(),
        costs: Vec::new(),
        quarantine: Vec::new(),
    }))
}

// Instances of an earlier release would drop a whole message, and the membership in it, for an update that they can't
// decode.
#[test]
fn updates_of_this_release_are_hidden_from_earlier_ones() {
    let known = Update::Unresponsive(Arc::from("e0"));
    let (draining, backoff) = (Update::Draining(7), Update::Backoff(8, 2_000));
    let tolerance = Update::Tolerance(LimitReport {
        server: Arc::from("e0"),
        incarnation: Some(9),
        per_second: Some(3.0),
        age_ms: 20,
    });
    let all = news(vec![known.clone(), draining, backoff, tolerance]);
    let bytes = all.encode(&[]).expect("it is encoded");
    let (earlier, rest): (Datagram, _) = postcard::take_from_bytes(&bytes).expect("it is decoded");
    assert_eq!(earlier, news(vec![known]));
    let streams: Vec<build::Begun> = postcard::from_bytes(rest).expect("they are decoded");
    assert_eq!(streams, Vec::new());
    assert_eq!(Datagram::decode(&bytes), Ok((all, Vec::new())));
}

// An owner of an earlier release must read requests for permits and units, and an instance of one the replies.
#[test]
fn time_of_a_question_is_hidden_from_earlier_releases() {
    let report = LimitReport {
        server: Arc::from("e0"),
        incarnation: Some(9),
        per_second: Some(3.0),
        age_ms: 20,
    };
    let reply_to = SocketAddr::from(([10, 0, 0, 1], 7_000));
    let request = |tolerance, asked| {
        Datagram::PermitRequest(PermitRequest { limit: report.clone(), reply_to, tolerance, asked })
    };
    let reply = |asked| {
        let (server, reply) = (Arc::from("e0"), rate_limit::Reply::Granted(2));
        Datagram::PermitReply(PermitReply { server, incarnation: Some(9), reply, asked })
    };
    let (organisation, owner): (Arc<str>, _) = (Arc::from("o"), reply_to);
    let question = |asked| {
        let organisation = organisation.clone();
        Datagram::QuotaRequest(QuotaRequest { organisation, cost: 2.0, owner, reply_to, asked })
    };
    let grant = |asked| {
        let (organisation, reply) = (organisation.clone(), quota::Reply::Granted(2.0));
        Datagram::QuotaReply(QuotaReply { organisation, cost: 2.0, owner, reply, asked })
    };
    let asked = Some(Time::from_millis(123_456));
    let tolerance = Some(report.clone());
    for (datagram, earlier) in [
        (request(None, asked), request(None, None)),
        (request(tolerance.clone(), asked), request(None, None)),
        (request(tolerance, None), request(None, None)),
        (reply(asked), reply(None)),
        (reply(None), reply(None)),
        (question(asked), question(None)),
        (grant(asked), grant(None)),
    ] {
        let bytes = datagram.encode(&[]).expect("it is encoded");
        assert_eq!(postcard::from_bytes::<Datagram>(&bytes), Ok(earlier));
        assert_eq!(Datagram::decode(&bytes), Ok((datagram, Vec::new())));
    }
}

// An instance of a later release adds an update that this one doesn't know. The others must count.
#[test]
fn updates_of_later_releases_are_skipped() {
    let draining = Aged { update: Update::Draining(7), age_ms: 0 };
    let draining = postcard::to_stdvec(&draining).expect("it is encoded");
    let streams: Vec<build::Begun> = Vec::new();
    let mut bytes = postcard::to_stdvec(&news(Vec::new())).expect("it is encoded");
    bytes.extend(postcard::to_stdvec(&streams).expect("they are encoded"));
    let updates = [vec![200, 1, 5], Vec::new(), draining];
    bytes.extend(postcard::to_stdvec(&updates.to_vec()).expect("they are encoded"));
    assert_eq!(Datagram::decode(&bytes), Ok((news(vec![Update::Draining(7)]), Vec::new())));
}

// An announcement that a server wants no requests for a while is repeated. It must not outlive that time.
#[test]
fn repeated_backoffs_expire() {
    let aged = |age_ms: u32| Aged { update: Update::Backoff(8, 2_000), age_ms }.unexpired();
    assert_eq!(aged(500), Some(Update::Backoff(8, 1_500)));
    assert_eq!(aged(2_000), None);
}

// Reports of thousands of requests at a server that crashed made news longer than a datagram: nothing of it was sent, and the
// sender counted as dead.
#[test]
fn news_that_is_too_long_is_shortened_to_the_senders_state() {
    let identities: Vec<_> =
        (0..5_000_u64).map(|it| Identity { caller: !it, content: !it }).collect();
    let long = news(vec![Update::Crashed(1, identities)]);
    assert!(65_507 < long.encode(&[]).expect("it can be encoded").len());
    let short = long.shortened().expect("it can be shortened");
    let bytes = short.encode(&[]).expect("it can be encoded");
    assert!(bytes.len() < 1_000, "{} bytes", bytes.len());
    let Datagram::News(message) = short else { panic!("it is news") };
    assert_eq!((message.from.name.as_ref(), message.configuration), ("a", 1));
    assert_eq!(Datagram::News(message).shortened(), None);
}

// A record in the store had the highest numbers: the process counted beyond them and ended, or others never again took its
// messages for new.
#[test]
fn records_with_the_highest_numbers_hide_no_member() {
    let mut me = Members::new(member("b", 5, 0));
    me.add_record(at(0), member("b", u64::MAX, u64::MAX));
    me.add_record(at(0), member("b", u64::MAX / 2, 0));
    me.receive(at(0), member("b", u64::MAX, 1));
    let mut other = Members::new(member("a", 1, 0));
    other.add_record(at(0), member("b", u64::MAX, 0));
    assert!(other.receive(at(100), me.announce()));
    other.add_record(at(200), member("c", 7, u64::MAX / 4));
    let ready = Member { is_ready: true, ..member("c", 7, 3) };
    assert!(other.receive(at(300), ready));
    let mut alive: Vec<_> = other.alive(at(400)).map(|it| (&*it.name, it.is_ready)).collect();
    alive.sort_unstable();
    assert_eq!(alive, [("b", me.me().is_ready), ("c", true)]);
}

// Each record of an instance was kept and counted, however many others had written.
#[test]
fn number_of_recorded_members_is_bounded() {
    let mut members = Members::new(member("me", 1, 0));
    for number in 0..20_000 {
        members.add_record(at(0), member(&format!("x{number}"), 1, 0));
    }
    assert!(members.budget_sharers() <= 2_001);
    assert!(members.receive(at(100), member("b", 1, 1)));
    assert_eq!(members.alive(at(200)).count(), 1);
}
