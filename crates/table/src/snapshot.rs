//! The whole table at one version.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use shallotlead_base::{id::Version, name};

use crate::{
    cell::Cell,
    change::{Change, Edit, Entry, Proposal},
    column::Column,
    error::Error,
    model::Model,
    organisation::Organisation,
    row,
    server::Server,
};

/// The table at one version. Shared as `Arc<Snapshot>`, never changed in place.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Snapshot {
    /// Grows by one with each accepted change.
    pub version: Version,
    /// Organisations by name.
    pub organisations: BTreeMap<name::Organisation, Organisation>,
    /// Models and plain services by name.
    pub models: BTreeMap<name::Model, Model>,
    /// Backend servers by name.
    pub servers: BTreeMap<name::Server, Server>,
}

impl Snapshot {
    /// The cell's value as text.
    pub fn get(&self, cell: &Cell) -> Result<String, Error> {
        let name = &*cell.row.name;
        let column = cell.column;
        let value = match cell.row.kind {
            row::Kind::Organisation => self.organisations.get(name).map(|it| it.get(column)),
            row::Kind::Model => self.models.get(name).map(|it| it.get(column)),
            row::Kind::Server => self.servers.get(name).map(|it| it.get(column)),
        };
        let Some(value) = value else { return Err(Error::RowUnknown(cell.row.clone())) };
        value.ok_or(Error::ColumnForeign { kind: cell.row.kind, column })
    }

    /// Names of all rows of `kind`, in order.
    pub fn names(&self, kind: row::Kind) -> Vec<&str> {
        match kind {
            row::Kind::Organisation => self.organisations.keys().map(|it| it.as_str()).collect(),
            row::Kind::Model => self.models.keys().map(|it| it.as_str()).collect(),
            row::Kind::Server => self.servers.keys().map(|it| it.as_str()).collect(),
        }
    }

    fn has(&self, row: &row::Key) -> bool {
        match row.kind {
            row::Kind::Organisation => self.organisations.contains_key(&*row.name),
            row::Kind::Model => self.models.contains_key(&*row.name),
            row::Kind::Server => self.servers.contains_key(&*row.name),
        }
    }

    /// The table after `proposal`, at the next version, or why it can't be accepted.
    pub fn propose(&self, proposal: &Proposal) -> Result<Snapshot, Error> {
        let mut next = self.clone();
        for edit in &proposal.edits {
            next.expect(edit)?;
            next.apply(edit)?;
        }
        for edit in &proposal.edits {
            next.check(edit.row())?;
        }
        next.version = Version(self.version.0 + 1);
        Ok(next)
    }

    /// Replays an accepted change. Changes up to the snapshot's version are skipped, so that a
    /// delta which overlaps what is known does no harm.
    pub fn replay(&mut self, change: &Change) -> Result<(), Error> {
        if change.version <= self.version {
            return Ok(());
        }
        if change.version.0 != self.version.0 + 1 {
            let reason = format!("change {} follows {}", change.version, self.version);
            return Err(Error::Stored { name: "log".to_owned(), reason });
        }
        for edit in &change.proposal.edits {
            self.apply(edit)?;
        }
        self.version = change.version;
        Ok(())
    }

    fn expect(&self, edit: &Edit) -> Result<(), Error> {
        let Edit::Set { cell, expected: Some(expected), .. } = edit else { return Ok(()) };
        let found = self.get(cell)?;
        if found == **expected {
            return Ok(());
        }
        Err(Error::Conflict { cell: cell.clone(), expected: expected.to_string(), found })
    }

    fn apply(&mut self, edit: &Edit) -> Result<(), Error> {
        match edit {
            Edit::Set { cell, value, .. } => self.set(cell, value),
            Edit::Add { row, cells } => self.add(row, cells),
            Edit::Remove { row } => self.remove(row),
        }
    }

    fn set(&mut self, cell: &Cell, value: &str) -> Result<(), Error> {
        let name = &*cell.row.name;
        let column = cell.column;
        let done = match cell.row.kind {
            row::Kind::Organisation => {
                self.organisations.get_mut(name).map(|it| it.set(column, value))
            }
            row::Kind::Model => self.models.get_mut(name).map(|it| it.set(column, value)),
            row::Kind::Server => self.servers.get_mut(name).map(|it| it.set(column, value)),
        };
        let Some(done) = done else { return Err(Error::RowUnknown(cell.row.clone())) };
        done.map_err(|_| Error::ValueInvalid { cell: cell.clone(), value: value.to_owned() })
    }

    fn add(&mut self, row: &row::Key, cells: &[Entry]) -> Result<(), Error> {
        let row = &row::Key::new(row.kind, &row.name)?;
        if self.has(row) {
            return Err(Error::RowExists(row.clone()));
        }
        match row.kind {
            row::Kind::Organisation => {
                let name = name::Organisation::from(&*row.name);
                self.organisations.insert(name.clone(), Organisation::new(name));
            }
            row::Kind::Model => {
                let name = name::Model::from(&*row.name);
                self.models.insert(name.clone(), Model::new(name));
            }
            row::Kind::Server => {
                let name = name::Server::from(&*row.name);
                self.servers.insert(name.clone(), Server::new(name));
            }
        }
        for entry in cells {
            self.set(&Cell::new(row.clone(), entry.column)?, &entry.value)?;
        }
        Ok(())
    }

    fn remove(&mut self, row: &row::Key) -> Result<(), Error> {
        let name = &*row.name;
        let found = match row.kind {
            row::Kind::Organisation => self.organisations.remove(name).is_some(),
            row::Kind::Model => self.models.remove(name).is_some(),
            row::Kind::Server => self.servers.remove(name).is_some(),
        };
        if found { Ok(()) } else { Err(Error::RowUnknown(row.clone())) }
    }

    /// Checks what `row` refers to and what refers to it.
    fn check(&self, row: &row::Key) -> Result<(), Error> {
        let name = &*row.name;
        match row.kind {
            row::Kind::Organisation => {
                let models = self.organisations.get(name).map(|it| &*it.models).unwrap_or_default();
                models.iter().try_for_each(|it| self.check_model(row, Column::Models, it))
            }
            row::Kind::Model if !self.models.contains_key(name) => self.check_unused(row),
            row::Kind::Model => Ok(()),
            row::Kind::Server => {
                let Some(server) = self.servers.get(name) else { return Ok(()) };
                if server.address.port() == 0 {
                    let cell = Cell::new(row.clone(), Column::Address)?;
                    return Err(Error::ValueInvalid { cell, value: String::new() });
                }
                if server.centre.as_str().is_empty() {
                    let cell = Cell::new(row.clone(), Column::Centre)?;
                    return Err(Error::ValueInvalid { cell, value: String::new() });
                }
                self.check_model(row, Column::Model, &server.model)
            }
        }
    }

    fn check_model(
        &self,
        row: &row::Key,
        column: Column,
        model: &name::Model,
    ) -> Result<(), Error> {
        if self.models.contains_key(model) {
            return Ok(());
        }
        let cell = Cell::new(row.clone(), column)?;
        let Ok(missing) = row::Key::new(row::Kind::Model, model.as_str()) else {
            return Err(Error::ValueInvalid { cell, value: model.to_string() });
        };
        Err(Error::ReferenceUnknown { cell, missing })
    }

    fn check_unused(&self, model: &row::Key) -> Result<(), Error> {
        let name = &*model.name;
        let server = self.servers.values().find(|it| it.model.as_str() == name);
        let organisation = || {
            self.organisations.values().find(|it| it.models.iter().any(|it| it.as_str() == name))
        };
        let user = match server {
            Some(it) => Some(row::Key::new(row::Kind::Server, it.name.as_str())?),
            None => match organisation() {
                Some(it) => Some(row::Key::new(row::Kind::Organisation, it.name.as_str())?),
                None => None,
            },
        };
        match user {
            Some(user) => Err(Error::RowInUse { row: model.clone(), user }),
            None => Ok(()),
        }
    }
}
