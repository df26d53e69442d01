//! Acceptance of changes while answers are lost and operators race.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use proptest::prelude::{Just, any, prop, prop_oneof, proptest};
use shallotlead_base::{id::Version, store::Store};
use shallotlead_table::{
    cell::Cell,
    change::Proposal,
    column::Column,
    commit::Committer,
    error::Error,
    layout::{self, Head},
    row::Kind,
    snapshot::Snapshot,
};

use crate::support::{Fault, Memory, add, cell, proposal, set};

fn weight(name: &str) -> Cell {
    cell(Kind::Organisation, name, Column::Weight)
}

/// A store whose table has the organisations `umez` and `kiosk`.
fn store() -> Memory {
    let mut store = Memory::default();
    let edits = vec![add(Kind::Organisation, "umez", &[]), add(Kind::Organisation, "kiosk", &[])];
    Committer::default().commit(&mut store, &proposal(1, edits)).unwrap();
    store
}

fn read(store: &mut Memory) -> Snapshot {
    Snapshot::clone(&Committer::default().read(store).unwrap())
}

// An operator sees an error and finds the cell changed twice in the history. The write of the head
// takes effect, its answer is lost, and the client writes again without looking.
#[test]
fn lost_answer_after_effect_is_settled_by_reading_back() {
    let mut store = store();
    store.faults.push_back(Fault::LostAfter);
    let change = proposal(2, vec![set(&weight("umez"), Some("1"), "3")]);
    let accepted = Committer::default().commit(&mut store, &change).unwrap();
    assert_eq!(accepted.change.version, Version(2));
    assert_eq!(read(&mut store).version, Version(2));
    assert_eq!(read(&mut store).get(&weight("umez")).unwrap(), "3");
}

// An operator sees "accepted", and the cell has its old value. The write never arrived, and the
// client took the lost answer for a success.
#[test]
fn lost_write_is_written_again() {
    let mut store = store();
    store.faults.push_back(Fault::LostBefore);
    let change = proposal(2, vec![set(&weight("umez"), Some("1"), "3")]);
    let accepted = Committer::default().commit(&mut store, &change).unwrap();
    assert_eq!(accepted.change.version, Version(2));
    assert_eq!(read(&mut store).get(&weight("umez")).unwrap(), "3");
}

// Two operators change different cells at the same moment, and one change vanishes. The second
// write was based on a head from before the first.
#[test]
fn racing_operators_on_different_cells_both_win() {
    let mut store = store();
    store.hook = Some(Box::new(|store| {
        let change = proposal(3, vec![set(&weight("kiosk"), Some("1"), "7")]);
        Committer::default().commit(store, &change).unwrap();
    }));
    let change = proposal(2, vec![set(&weight("umez"), Some("1"), "3")]);
    Committer::default().commit(&mut store, &change).unwrap();
    let table = read(&mut store);
    assert_eq!(table.get(&weight("umez")).unwrap(), "3");
    assert_eq!(table.get(&weight("kiosk")).unwrap(), "7");
    assert_eq!(table.version, Version(3));
}

// Two operators change the same cell at the same moment, and the later one silently overwrites what
// it never saw. The cause: the second write names no value that it was based on.
#[test]
fn racing_operators_on_one_cell_get_a_conflict_with_both_values() {
    let mut store = store();
    store.hook = Some(Box::new(|store| {
        let change = proposal(3, vec![set(&weight("umez"), Some("1"), "7")]);
        Committer::default().commit(store, &change).unwrap();
    }));
    let change = proposal(2, vec![set(&weight("umez"), Some("1"), "3")]);
    let error = Committer::default().commit(&mut store, &change).unwrap_err();
    let expected = "1".to_owned();
    assert_eq!(error, Error::Conflict { cell: weight("umez"), expected, found: "7".to_owned() });
    assert_eq!(read(&mut store).get(&weight("umez")).unwrap(), "7");
}

#[test]
fn refused_write_says_that_nothing_changed() {
    let mut store = store();
    store.faults.push_back(Fault::Refused);
    let change = proposal(2, vec![set(&weight("umez"), Some("1"), "3")]);
    let error = Committer::default().commit(&mut store, &change).unwrap_err();
    assert!(matches!(error, Error::Unavailable { .. }), "{error}");
    assert_eq!(read(&mut store).get(&weight("umez")).unwrap(), "1");
}

// An instance starts and finds an older table than its peers have. Compaction moved the truncation
// point, but lost changes between the segments and the log.
#[test]
fn compaction_keeps_every_change_and_the_whole_history() {
    let mut store = store();
    let mut committer = Committer::default();
    let mut compactions = 0;
    for it in 0..400_u32 {
        let value = (it % 1_000).to_string();
        let change = proposal(100 + u128::from(it), vec![set(&weight("umez"), None, &value)]);
        committer.commit(&mut store, &change).unwrap();
        compactions += u32::from(committer.compact(&mut store).unwrap());
    }
    assert!(2 < compactions, "{compactions}");
    let fresh = read(&mut store);
    assert_eq!(fresh, *committer.read(&mut store).unwrap());
    assert_eq!(fresh.version, Version(401));
    assert_eq!(fresh.get(&weight("umez")).unwrap(), "399");
    let history = committer.history(&mut store).unwrap();
    let versions = history.iter().map(|it| it.version.0).collect::<Vec<_>>();
    assert_eq!(versions, (1..=401).collect::<Vec<_>>());
    let segments = store.kept.objects.keys().filter(|it| &*it.kind == layout::SEGMENT_KIND).count();
    assert!(segments <= 3, "old segments stay behind: {segments}");
}

/// A proposal that adds many organisations, as an imported sheet does.
fn sheet(id: u128, name: &str) -> Proposal {
    let row = |it| add(Kind::Organisation, &format!("{name}-{it:04}"), &[]);
    proposal(id, (0..3_000).map(row).collect())
}

fn segments_are_stored(store: &Memory) -> bool {
    let head = Head::decode(&store.kept.objects[&layout::head_key()].value).unwrap();
    head.segment_keys().all(|it| store.kept.objects.contains_key(&it))
}

// Nobody can read the table any more. A sheet was imported; its change alone made the log long, also
// after a compaction. Two instances compacted one after the other at the same version: the second put
// the same segments under the same names, then swept those of the head before, which were its own.
#[test]
fn compaction_at_the_same_version_keeps_the_segments() {
    let mut store = store();
    Committer::default().commit(&mut store, &sheet(2, "sheet")).unwrap();
    assert!(Committer::default().compact(&mut store).unwrap());
    assert!(segments_are_stored(&store));
    assert!(!Committer::default().compact(&mut store).unwrap());
    assert!(segments_are_stored(&store));
    assert_eq!(read(&mut store).organisations.len(), 3_002);
}

// Every change takes long and costs dozens of calls. A sheet was imported; its change stays in the log
// for a while, and each further change made the whole table be written anew.
#[test]
fn large_change_is_compacted_once() {
    let mut store = store();
    Committer::default().commit(&mut store, &sheet(2, "sheet")).unwrap();
    assert!(Committer::default().compact(&mut store).unwrap());
    let change = proposal(3, vec![set(&weight("umez"), Some("1"), "3")]);
    Committer::default().commit(&mut store, &change).unwrap();
    assert!(!Committer::default().compact(&mut store).unwrap());
}

// No change is accepted any more, as the head is too large. Some sheets were imported; compaction kept
// all of them in the log.
#[test]
fn several_large_changes_leave_room_in_the_head() {
    let mut store = store();
    for it in 0..8 {
        let change = sheet(2 + it, &format!("sheet-{it}"));
        Committer::default().commit(&mut store, &change).unwrap();
        Committer::default().compact(&mut store).unwrap();
    }
    assert_eq!(read(&mut store).organisations.len(), 24_002);
    assert_eq!(Committer::default().history(&mut store).unwrap().len(), 9);
}

// A starting instance asks the platform as fast as it can, for ever. A segment that the head names was
// deleted by hand, and reading the head again doesn't bring it back.
#[test]
fn missing_segment_is_an_error() {
    let mut store = store();
    Committer::default().commit(&mut store, &sheet(2, "sheet")).unwrap();
    Committer::default().compact(&mut store).unwrap();
    store.kept.objects.retain(|it, _| &*it.kind != layout::SEGMENT_KIND);
    let found = Committer::default().read(&mut store);
    assert!(matches!(found, Err(Error::Stored { .. })), "{found:?}");
}

// A starting instance fails with a stored object that can't be found. It reads the head, then a
// compaction removes the segments which that head names.
#[test]
fn reader_that_meets_a_swept_segment_reads_the_head_again() {
    struct Sweeping {
        memory: Memory,
        armed: bool,
    }
    impl Store for Sweeping {
        fn call(&mut self, call: shallotlead_base::store::Call) -> shallotlead_base::store::Reply {
            let reply = self.memory.call(call);
            if std::mem::take(&mut self.armed) {
                grow(&mut self.memory, 500);
            }
            reply
        }
    }
    fn grow(store: &mut Memory, first: u128) {
        let mut committer = Committer::default();
        for it in 0..200 {
            let change = proposal(first + it, vec![set(&weight("umez"), None, "5")]);
            committer.commit(store, &change).unwrap();
            committer.compact(store).unwrap();
        }
    }
    let mut memory = store();
    grow(&mut memory, 100);
    let mut store = Sweeping { memory, armed: true };
    let table = Committer::default().read(&mut store).unwrap();
    assert_eq!(table.version, Version(401));
}

proptest! {
    /// Whatever happens to the writes: versions grow by one, no change is applied twice, an accepted
    /// change is in the table, and a refused one is not.
    #[test]
    fn outcome_is_truthful_under_any_faults(
        faults in prop::collection::vec(
            prop_oneof![
                3 => Just(Fault::None),
                1 => Just(Fault::LostAfter),
                1 => Just(Fault::LostBefore),
                1 => Just(Fault::Refused),
            ],
            0..40,
        ),
        blind in any::<bool>(),
    ) {
        let mut store = store();
        store.faults = faults.into();
        let mut value = 1;
        for id in 10..30_u128 {
            let next = value + 1;
            let expected = value.to_string();
            let edit = set(&weight("umez"), (!blind).then_some(&*expected), &next.to_string());
            let mut committer = Committer::default();
            match committer.commit(&mut store, &proposal(id, vec![edit])) {
                Ok(accepted) => {
                    assert_eq!(accepted.change.proposal.id, id);
                    value = next;
                }
                Err(Error::Unavailable { .. }) => {}
                Err(Error::Unknown) => {
                    value = read(&mut store).get(&weight("umez")).unwrap().parse().unwrap();
                }
                Err(other) => panic!("{other}"),
            }
            let table = read(&mut store);
            assert_eq!(table.get(&weight("umez")).unwrap(), value.to_string());
            assert_eq!(table.version.0, u64::try_from(value).unwrap());
        }
    }
}
