//! A caller's request on its way to the router's thread.

use std::sync::Arc;

use shallotlead_base::id::Weights;
use shallotlead_policy::chain::Chain;
use shallotlead_table::{model::Kind, snapshot::Snapshot};

use crate::{
    exchange::{Exchange, Operation},
    shell::shared::Counted,
};

/// A request with its prompt cut into blocks. This is done on the caller's thread: it takes time in
/// proportion to the prompt, and the router's thread serves all requests.
#[derive(Debug)]
pub(crate) struct Submission {
    /// The request.
    pub(crate) exchange: Exchange,
    /// Its prompt's blocks.
    pub(crate) chain: Chain,
    /// The weights that the blocks are for; none for plain services.
    pub(crate) weights: Option<Weights>,
    /// Counts it as open, once it is handed in.
    pub(crate) counted: Option<Counted>,
}

impl Submission {
    /// Cuts the prompt of `exchange` by the model's weights in `table`.
    pub(crate) fn new(exchange: Exchange, table: &Snapshot) -> Self {
        let engine = !matches!(exchange.operation, Operation::Service { .. });
        let model = table.models.get(&exchange.model);
        let weights = model.filter(|it| engine && it.kind == Kind::Engine).map(|it| it.weights);
        let chain = match weights {
            Some(it) => chain(&exchange, it),
            None => Chain { blocks: Arc::default(), tokens: 0 },
        };
        Self { exchange, chain, weights, counted: None }
    }
}

/// The blocks of the prompt of `exchange` under `weights`.
pub(crate) fn chain(exchange: &Exchange, weights: Weights) -> Chain {
    Chain::new(&exchange.organisation, &exchange.model, weights, &exchange.prompt)
}
