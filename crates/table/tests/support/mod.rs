//! An object store in memory that can lose answers, and short hands for edits.
#![allow(dead_code, reason = "each test file uses a part of it")]
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::{collections::VecDeque, sync::Arc, time::Duration};

use shallotlead_base::store::{Call, Failure, Reply, Store, memory};
use shallotlead_table::{
    cell::Cell,
    change::{Edit, Entry, Proposal},
    column::Column,
    row,
};

/// What happens to a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fault {
    /// It takes effect, and its answer is lost.
    LostAfter,
    /// It never arrives, and its sender can't know.
    LostBefore,
    /// It is refused.
    Refused,
    /// Nothing happens to it.
    None,
}

/// Runs before a write, at most once.
type Hook = Box<dyn FnOnce(&mut Memory)>;

/// The store.
#[derive(Default)]
pub(crate) struct Memory {
    pub(crate) kept: memory::Memory,
    pub(crate) faults: VecDeque<Fault>,
    pub(crate) hook: Option<Hook>,
    pub(crate) calls: usize,
}

impl Memory {
    fn write(&mut self, call: Call) -> Reply {
        if let Some(hook) = self.hook.take() {
            hook(self);
        }
        match self.faults.pop_front().unwrap_or(Fault::None) {
            Fault::None => self.kept.call(call),
            Fault::Refused => {
                Reply::Failed(Failure::NotApplied { retry_after: Duration::from_millis(250) })
            }
            Fault::LostBefore => Reply::Failed(Failure::Unknown),
            Fault::LostAfter => {
                self.kept.call(call);
                Reply::Failed(Failure::Unknown)
            }
        }
    }
}

impl Store for Memory {
    fn call(&mut self, call: Call) -> Reply {
        self.calls += 1;
        match call {
            Call::Put { .. } | Call::Delete { .. } => self.write(call),
            Call::Get(_) | Call::List { .. } | Call::Watch { .. } => self.kept.call(call),
        }
    }
}

pub(crate) fn cell(kind: row::Kind, name: &str, column: Column) -> Cell {
    Cell::new(row::Key::new(kind, name).unwrap(), column).unwrap()
}

pub(crate) fn set(cell: &Cell, expected: Option<&str>, value: &str) -> Edit {
    Edit::Set { cell: cell.clone(), expected: expected.map(Arc::from), value: value.into() }
}

pub(crate) fn add(kind: row::Kind, name: &str, cells: &[(Column, &str)]) -> Edit {
    let entry = |it: &(Column, &str)| Entry { column: it.0, value: it.1.into() };
    let row = row::Key::new(kind, name).unwrap();
    Edit::Add { row, cells: cells.iter().map(entry).collect() }
}

pub(crate) fn proposal(id: u128, edits: Vec<Edit>) -> Proposal {
    Proposal { id, operator: "ana".into(), at: 0, edits }
}
