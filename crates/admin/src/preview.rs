//! What a change touches and what follows from it.

use shallotlead_table::{cell::Cell, row, server::Server, snapshot::Snapshot};

use crate::api::Touched;

/// The cells that differ between two tables, in order.
pub fn touched(old: &Snapshot, new: &Snapshot) -> Vec<Touched> {
    let mut touched = Vec::new();
    for kind in row::Kind::ALL {
        let mut names = old.names(kind);
        names.extend(new.names(kind));
        names.sort_unstable();
        names.dedup();
        for name in names {
            touched.extend(touched_row(old, new, kind, name));
        }
    }
    touched
}

fn touched_row(old: &Snapshot, new: &Snapshot, kind: row::Kind, name: &str) -> Vec<Touched> {
    let Ok(row) = row::Key::new(kind, name) else { return Vec::new() };
    let mut touched = Vec::new();
    for column in kind.columns() {
        let Ok(cell) = Cell::new(row.clone(), *column) else { continue };
        let (old, new) = (old.get(&cell).ok(), new.get(&cell).ok());
        if old != new {
            touched.push(Touched { cell, old, new });
        }
    }
    touched
}

/// What follows for the traffic, in words.
pub fn effects(old: &Snapshot, new: &Snapshot) -> Vec<String> {
    let mut effects = Vec::new();
    for model in new.models.values() {
        let (before, after) = (takers(old, &model.name), takers(new, &model.name));
        if before != after {
            effects.push(format!("model {}: {before} -> {after} servers take work", model.name));
        }
        if after == 0 && 0 < before {
            effects.push(format!("model {}: every request will be refused", model.name));
        }
    }
    for server in new.servers.values().filter(|it| it.weight <= 0.0) {
        if old.servers.get(&server.name).is_some_and(|it| 0.0 < it.weight) {
            let name = &server.name;
            effects.push(format!("server {name}: finishes what it has and takes nothing new"));
        }
    }
    effects.extend(share_effects(old, new));
    effects
}

/// Servers of `model` that take new work.
fn takers(table: &Snapshot, model: &shallotlead_base::name::Model) -> usize {
    let takes = |it: &&Server| it.model == *model && 0.0 < it.weight;
    table.servers.values().filter(takes).count()
}

fn share_effects(old: &Snapshot, new: &Snapshot) -> Vec<String> {
    let total = |it: &Snapshot| it.organisations.values().map(|it| it.weight).sum::<f64>();
    let (old_total, new_total) = (total(old), total(new));
    let mut effects = Vec::new();
    for organisation in new.organisations.values() {
        let Some(before) = old.organisations.get(&organisation.name) else { continue };
        if before.weight == organisation.weight || old_total <= 0.0 || new_total <= 0.0 {
            continue;
        }
        let (from, to) =
            (100.0 * before.weight / old_total, 100.0 * organisation.weight / new_total);
        let name = &organisation.name;
        effects.push(format!("organisation {name}: share under contention {from:.1}% -> {to:.1}%"));
    }
    effects
}
