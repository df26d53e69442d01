//! Which server runs a prompt.

mod support;

use std::{sync::Arc, time::Duration};

use shallotlead_base::time::Time;
use shallotlead_gateway::{
    adapter::{Load, Part},
    placement::{self, Choice, Criteria, PrefixIndex, Reach, Shortage, choose},
    pool::{Pool, Switch},
    rate_limit::Reply,
};
use support::{MODEL, at, entry, learn, pool, prompt, wish};

/// Sends the prompt to the chosen server, as all instances hear of it.
fn send(pool: &mut Pool, memory: &mut PrefixIndex, now: Time, wish: &Criteria<'_>) -> Choice {
    let choice = choose(pool, memory, now, wish, 7).expect("a server is ready");
    let placement = choice.placement(pool.get(choice.server), wish.parts, wish.cache_owner);
    memory.record(now, pool, choice.server, &placement);
    choice
}

// Requests about one history follow each other. The first one is read at one server; the others find
// it there and read their own part only.
#[test]
fn prompt_goes_where_its_parts_are() {
    let (mut pool, mut memory) = (pool(9), PrefixIndex::default());
    let first = send(&mut pool, &mut memory, at(0), &wish(&prompt(1, 1)));
    assert_eq!(first.uncached_tokens, 9_200);
    let second = send(&mut pool, &mut memory, at(1_000), &wish(&prompt(1, 2)));
    assert_eq!((second.server, second.uncached_tokens), (first.server, 2_900));
}

// A history is hot. Its server gets a queue, and another one fetches the parts instead of reading
// them again.
#[test]
fn busy_holder_is_a_source() {
    let (mut pool, mut memory) = (pool(9), PrefixIndex::default());
    let first = send(&mut pool, &mut memory, at(0), &wish(&prompt(1, 1)));
    let mut others = Vec::new();
    for own in 2..12 {
        let choice = send(&mut pool, &mut memory, at(1_000), &wish(&prompt(1, own)));
        if choice.server != first.server {
            others.push(choice);
        }
    }
    assert!(!others.is_empty());
    let address = pool.get(first.server).address;
    assert!(others.iter().any(|it| it.fetch_from == Some(address) && it.uncached_tokens == 2_900));
}

// Servers' memory is full of histories that come back every few seconds. Copying one to an idle server
// because its holder has a short queue drives out another one, which is then read again. So a prompt
// waits for the holder as long as it is in time there, and is copied only when it would be late.
#[test]
fn parts_are_copied_only_when_their_holder_is_late() {
    let (mut pool, mut memory) = (pool(9), PrefixIndex::default());
    let holder = send(&mut pool, &mut memory, at(0), &wish(&prompt(1, 1))).server;
    let parts = prompt(1, 2);
    let mut chosen = |queue_ms: u64, aim_ms: u64| {
        pool.get_mut(holder).busy_until = at(5_000 + queue_ms);
        let wish = Criteria { latency_target: Duration::from_millis(aim_ms), ..wish(&parts) };
        choose(&pool, &memory, at(5_000), &wish, 7).unwrap()
    };
    assert_eq!(chosen(120, 500).server, holder);
    assert_eq!(chosen(300, 1_500).server, holder);
    let copied = chosen(350, 400);
    assert_ne!(copied.server, holder);
    assert_eq!((copied.uncached_tokens, copied.fetch_from.is_some()), (2_900, true));
}

// Instances don't hear of each other's sends. A history that none of them knows is read at the same
// server all the same.
#[test]
fn unknown_parts_have_one_home() {
    let pool = pool(9);
    for history in 0..50 {
        let parts = prompt(history, 1);
        let choices: Vec<_> = (0..7)
            .map(|seed| choose(&pool, &PrefixIndex::default(), at(0), &wish(&parts), seed << 40))
            .map(|it| it.unwrap().server)
            .collect();
        assert!(choices.iter().all(|it| *it == choices[0]), "{choices:?}");
    }
}

// Parts that were read with older weights are of no use to a server that has newer ones.
#[test]
fn parts_of_other_weights_and_walls_don_t_count() {
    let (mut pool, mut memory) = (pool(1), PrefixIndex::default());
    send(&mut pool, &mut memory, at(0), &wish(&prompt(1, 1)));
    pool.get_mut(0).set_version(at(500), &Arc::from(MODEL), 2);
    let after = choose(&pool, &memory, at(1_000), &wish(&prompt(1, 2)), 7).unwrap();
    assert_eq!((after.weights, after.uncached_tokens), (Some(2), 9_200));
    let parts = prompt(1, 3);
    let walled = Criteria { cache_owner: Some("o"), ..wish(&parts) };
    assert_ne!(
        placement::cache_scope_id(Some(2), Some("o")),
        placement::cache_scope_id(Some(2), None)
    );
    assert_eq!(choose(&pool, &memory, at(1_000), &walled, 7).unwrap().uncached_tokens, 9_200);
}

// A server's memory is full of newer prompts. What was read there first is no longer believed.
#[test]
fn evicted_parts_are_forgotten() {
    let (mut pool, mut memory) = (pool(1), PrefixIndex::default());
    send(&mut pool, &mut memory, at(0), &wish(&prompt(1, 1)));
    for history in 2..14 {
        send(&mut pool, &mut memory, at(history * 300), &wish(&prompt(history, history)));
    }
    let again = choose(&pool, &memory, at(9_000), &wish(&prompt(1, 99)), 7).unwrap();
    assert_eq!(again.uncached_tokens, 9_200 - 2_500, "the first part is shared by all and stays");
}

// Newer weights were named a while ago, and one of three servers has them. It is preferred, but not
// at any price; later nothing may begin on the old ones.
#[test]
fn current_weights_are_preferred_then_required() {
    let mut pool = pool(3);
    pool.add_version(at(0), &Arc::from(MODEL), 2);
    pool.get_mut(1).set_version(at(600), &Arc::from(MODEL), 2);
    let parts = [Part { id: 5, tokens: 300 }];
    let chosen = |pool: &Pool, ms| choose(pool, &PrefixIndex::default(), at(ms), &wish(&parts), 7);
    assert_eq!(chosen(&pool, 2_000).unwrap().server, 1);
    pool.get_mut(1).busy_until = at(2_500);
    assert_ne!(chosen(&pool, 2_000).unwrap().server, 1);
    pool.get_mut(1).busy_until = at(9_000);
    assert_eq!(chosen(&pool, 7_000).unwrap().server, 1);
    pool.get_mut(1).switch = Some(Switch { version: 3, until: at(9_000) });
    assert_eq!(chosen(&pool, 7_000).unwrap_err(), Shortage::OldWeights);
}

// Weights are named every three seconds. A server that is two versions behind counts from the time at
// which its own were replaced first, not from the newest naming.
#[test]
fn age_counts_from_the_first_replacement() {
    let mut pool = pool(1);
    for version in 2..5 {
        pool.add_version(at(version * 3_000 - 6_000), &Arc::from(MODEL), version);
    }
    let parts = [Part { id: 5, tokens: 300 }];
    let result = choose(&pool, &PrefixIndex::default(), at(6_500), &wish(&parts), 7);
    assert_eq!(result.unwrap_err(), Shortage::OldWeights);
}

// Loading takes a while at a deployment whose platform allows requests on old weights for 15 seconds. All
// short prompts are refused for seconds after each naming: the instance kept to another platform's bound.
#[test]
fn old_weights_are_used_as_long_as_the_platform_allows() {
    let mut pool = pool(1);
    pool.add_version(at(0), &Arc::from(MODEL), 2);
    let parts = [Part { id: 5, tokens: 300 }];
    let chosen = |bound: u64, now: u64| {
        let wish = Criteria { max_stale_weights: Duration::from_secs(bound), ..wish(&parts) };
        choose(&pool, &PrefixIndex::default(), at(now), &wish, 7)
    };
    assert_eq!(chosen(8, 7_000).unwrap_err(), Shortage::OldWeights);
    assert!(chosen(15, 7_000).is_ok());
    assert_eq!(chosen(15, 14_000).unwrap_err(), Shortage::OldWeights);
}

#[test]
fn servers_that_are_out_are_passed_over() {
    let mut pool = pool(3);
    pool.get_mut(0).health.mark_unresponsive(at(0));
    pool.get_mut(1).switch = Some(Switch { version: 2, until: at(1_000) });
    let parts = [Part { id: 5, tokens: 300 }];
    let chosen = |pool: &Pool, excluded: &[usize]| {
        choose(pool, &PrefixIndex::default(), at(0), &Criteria { excluded, ..wish(&parts) }, 7)
    };
    assert_eq!(chosen(&pool, &[]).unwrap().server, 2);
    assert_eq!(chosen(&pool, &[2]).unwrap_err(), Shortage::NoneReady);
    assert_eq!(
        choose(&Pool::default(), &PrefixIndex::default(), at(0), &wish(&parts), 7).unwrap_err(),
        Shortage::NoServer
    );
}

// Bytes between data centres are paid for: without a queue a request stays where it came in.
#[test]
fn own_data_centre_is_preferred() {
    let mut pool = pool(0);
    for number in 0..6 {
        let centre = if number % 2 == 0 { "b" } else { "a" };
        pool.put(at(0), &Arc::from(format!("e{number}")), 10, entry(number, centre, 1));
    }
    let parts = [Part { id: 5, tokens: 300 }];
    for seed in 0..20u64 {
        let choice =
            choose(&pool, &PrefixIndex::default(), at(0), &wish(&parts), seed << 33).unwrap();
        assert_eq!(&*pool.get(choice.server).centre, "a");
    }
}

// A large fleet loses a third of its servers, and instances turn to another data centre, whose queues
// they know from old reports alone. Half a second later a long queue there is still one: taken for
// gone, it grew to over a second, and servers went on with requests whose callers had left.
#[test]
fn reported_queue_is_not_forgotten_at_once() {
    let mut pool = pool(2);
    // Prompts of 3,000 tokens, which take 44 ms to read.
    support::learn(&mut pool, 400, |_| (3_000, 44 + 55));
    pool.get_mut(0).load = Some((Load { running: 8, waiting: 12 }, at(4_500)));
    pool.get_mut(1).busy_until = at(5_200);
    let parts = [Part { id: 5, tokens: 300 }];
    let far = Criteria { centre: "b", reach: Reach::Spillover, ..wish(&parts) };
    let choice = choose(&pool, &PrefixIndex::default(), at(5_000), &far, 7).unwrap();
    assert_eq!(choice.server, 1);
}

// An instance that started under load has learnt that reading takes four times as long as it does. Its neighbours go on
// sending, and what it hears of their prompts adds up to a queue of seconds at every server, though nothing waits there:
// it refuses all prompts until the load ends.
#[test]
fn queue_that_servers_don_t_tell_of_isn_t_there() {
    let mut pool = pool(1);
    learn(&mut pool, 300, |it| {
        let unread = if it.is_multiple_of(4) { 4_000 } else { 400 };
        (unread, 80 + u64::from(unread) / 12)
    });
    let mut memory = PrefixIndex::default();
    // Four prompts a second, each of which the server reads in 80 ms.
    for number in 0..40_u64 {
        let now = at(number * 250);
        let parts = [Part { id: number, tokens: 4_000 }];
        send(&mut pool, &mut memory, now, &wish(&parts));
        pool.update_load(0, now + Duration::from_millis(200), Load { running: 1, waiting: 0 });
    }
    let wait = |pool: &Pool, ms: u64| {
        let parts = [Part { id: 1_000, tokens: 4_000 }];
        choose(pool, &memory, at(ms), &wish(&parts), 7).expect("a server").wait_ms
    };
    let idle = wait(&pool, 10_000);
    assert!(idle < 600.0, "{idle} ms at a server at which nothing waits");
    // A queue that the server tells of counts as before.
    let before = pool.get(0).busy_until;
    pool.update_load(0, at(10_000), Load { running: 16, waiting: 9 });
    assert_eq!(pool.get(0).busy_until, before);
}

// Two prompts are sent within a moment, and a report from before them comes: it takes nothing off their queue.
#[test]
fn report_from_before_a_prompt_says_nothing_of_it() {
    let mut pool = pool(1);
    let mut memory = PrefixIndex::default();
    for number in 0..2 {
        let parts = [Part { id: number, tokens: 8_000 }];
        send(&mut pool, &mut memory, at(0), &wish(&parts));
    }
    let before = pool.get(0).busy_until;
    pool.update_load(0, at(10), Load { running: 0, waiting: 0 });
    assert!(before <= pool.get(0).busy_until + Duration::from_millis(10));
}

// A server that limits its rate has no permit left for a while: prompts go elsewhere, and fetch from it what it holds.
#[test]
fn closed_server_is_passed_over_and_fetched_from() {
    let mut pool = pool(2);
    let mut memory = PrefixIndex::default();
    let first = send(&mut pool, &mut memory, at(0), &wish(&prompt(1, 1)));
    let parts = prompt(1, 2);
    let chosen = |pool: &Pool, ms: u64| choose(pool, &memory, at(ms), &wish(&parts), 7);
    assert_eq!(chosen(&pool, 1_000).unwrap().server, first.server);
    let limit = &mut pool.get_mut(first.server).limit;
    limit.observe(at(0), Some(2.0));
    limit.apply_reply(at(1_000), Reply::Denied(700));
    let choice = chosen(&pool, 1_000).unwrap();
    assert_ne!(choice.server, first.server);
    assert_eq!(choice.fetch_from, Some(pool.get(first.server).address));
    assert_eq!(chosen(&pool, 1_700).unwrap().server, first.server);
    pool.get_mut(choice.server).health.mark_unresponsive(at(1_000));
    let after = Duration::from_millis(600);
    assert_eq!(chosen(&pool, 1_100).unwrap_err(), Shortage::Limited { after });
}

// Parts that nobody holds would be read at a server that turns away most of the requests that share them.
#[test]
fn limited_server_is_no_home_of_parts() {
    let mut pool = pool(2);
    let homes = |pool: &Pool| -> Vec<usize> {
        let home = |it| choose(pool, &PrefixIndex::default(), at(0), &wish(&prompt(it, 1)), 7);
        (0..20).map(|it| home(it).unwrap().server).collect()
    };
    assert!(homes(&pool).contains(&0));
    pool.get_mut(0).limit.observe(at(0), Some(5.0));
    assert!(homes(&pool).iter().all(|it| *it == 1));
}
