//! Owners of keys by rendezvous hashing in a view of the members.

use std::collections::BTreeMap;

use shallotlead_base::{id::Incarnation, name};
use shallotlead_fleet::view::{Entry, Member, State, View};

fn entry(number: u8, state: State) -> Entry {
    let address = std::net::SocketAddr::from(([10, 0, 0, number], 1));
    let member = Member {
        name: format!("e{number}").as_str().into(),
        centre: if number.is_multiple_of(2) { "even" } else { "odd" }.into(),
        region: if number < 12 { "near" } else { "far" }.into(),
        address,
        peer: address,
        incarnation: Incarnation(1),
    };
    Entry { member, state, is_reachable: true, is_damped: false }
}

fn view(dead: &[u8]) -> View {
    let state = |it| if dead.contains(&it) { State::Dead } else { State::Alive };
    let entries = (0..16).map(|it| entry(it, state(it))).collect();
    View::new(&entry(0, State::Alive).member, 1, entries)
}

#[test]
fn owner_is_the_first_of_the_owners() {
    let view = view(&[3, 4]);
    for key in 0..500 {
        let owners = view.owners(key, 3);
        assert_eq!(owners.len(), 3);
        assert_eq!(view.owner(key), owners.first().copied());
        assert!(owners.iter().all(|it| view.is_live(it)));
        let regions = owners.iter().filter_map(|it| view.get(it)).map(|it| &it.member.region);
        assert!(regions.into_iter().all(|it| it.as_str() == "near"));
    }
}

// An instance that starts or dies changes the owners of keys. If keys of other instances moved too, the
// whole directory would have to be relearnt.
#[test]
fn death_moves_only_the_keys_of_the_dead() {
    let (before, after) = (view(&[]), view(&[5]));
    let dead = name::Instance::from("e5");
    let mut moved = 0;
    for key in 0..2_000 {
        let (old, new) = (before.owner(key), after.owner(key));
        if old == Some(&dead) {
            moved += 1;
            assert_ne!(new, Some(&dead));
        } else {
            assert_eq!(old, new);
        }
    }
    // The expected share is one of twelve.
    assert!((100..240).contains(&moved), "{moved}");
}

#[test]
fn keys_are_shared_evenly() {
    let view = view(&[]);
    let mut shares = BTreeMap::new();
    for key in 0..12_000 {
        *shares.entry(view.owner(key)).or_insert(0) += 1;
    }
    assert_eq!(shares.len(), 12);
    assert!(shares.values().all(|it| (850..1_150).contains(it)), "{shares:?}");
}

// When the last instance of a server's data centre dies, the server must not be left without a keeper,
// as nobody would learn of its state.
#[test]
fn server_in_a_data_centre_without_instances_has_a_keeper() {
    let view = view(&[1, 3, 5, 7, 9, 11, 13, 15]);
    let keeper = view.keeper(&"s1".into(), &"odd".into()).expect("the server has a keeper");
    assert_eq!(view.get(keeper).map(|it| it.member.centre.as_str()), Some("even"));
}
