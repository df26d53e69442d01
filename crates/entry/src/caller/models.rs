//! The list of models, in the form that OpenAI's clients expect.

use hyper::Response;
use serde::Serialize;
use shallotlead_table::{
    model::{Kind, Model},
    organisation::Organisation,
    snapshot::Snapshot,
};

use crate::caller::{answer, body::Body};

/// Whether `organisation` may use `model`.
pub(crate) fn allowed(organisation: &Organisation, model: &Model) -> bool {
    organisation.models.is_empty() || organisation.models.contains(&model.name)
}

/// The models that `organisation` may use.
pub(crate) fn page(table: &Snapshot, organisation: &Organisation) -> Response<Body> {
    let data = table
        .models
        .values()
        .filter(|it| it.kind == Kind::Engine && allowed(organisation, it))
        .map(|it| Entry {
            id: it.name.to_string(),
            object: "model",
            created: 0,
            owned_by: "shallotlead",
        })
        .collect();
    answer::json(&Page { object: "list", data })
}

#[derive(Serialize)]
struct Page {
    object: &'static str,
    data: Vec<Entry>,
}

#[derive(Serialize)]
struct Entry {
    id: String,
    object: &'static str,
    created: u64,
    owned_by: &'static str,
}
