//! Orders to backend servers, given under a lease.

use std::{io, net::SocketAddr, sync::Arc, thread};

use shallotlead_fleet::duty::{
    Input,
    order::{Answer, Kind, Order},
};

use crate::{
    backend::{self, Backend, failure::Failure, order},
    peers::{inbox::WeakInbox, message::Message},
    shell::clock::Clock,
};

/// Gives orders, each on a thread of its own: there are few, and a server may take seconds to
/// answer.
#[derive(Debug)]
pub(crate) struct Orders {
    pub(crate) backend: Arc<dyn Backend>,
    pub(crate) clock: Clock,
    pub(crate) node: WeakInbox,
}

impl Orders {
    /// Gives `order` to the server at `address`, or says that it didn't.
    pub(crate) fn give(&self, order: Order, address: Option<SocketAddr>) {
        let number = order.number;
        let Some(address) = address else { return answer(&self.node, number, Answer::Rejected) };
        if let Err(error) = self.spawn(order, address) {
            log::error!("no thread for an order: {error}");
            answer(&self.node, number, Answer::Rejected);
        }
    }

    fn spawn(&self, order: Order, address: SocketAddr) -> io::Result<()> {
        let (backend, clock, node) = (self.backend.clone(), self.clock, self.node.clone());
        let run = move || {
            let given = give(&*backend, clock, &order, address);
            record(&order, given);
            answer(&node, order.number, given);
        };
        thread::Builder::new().name("order".to_owned()).spawn(run)?;
        Ok(())
    }
}

fn give(backend: &dyn Backend, clock: Clock, order: &Order, address: SocketAddr) -> Answer {
    // Guards against a holder that was paused: after the pause the lease may be another instance's,
    // and both would have servers load. It shows as two fencing tokens in one server's log. The
    // check reads the clock after any pause, right before the call.
    if order.until <= clock.now() {
        return Answer::Rejected;
    }
    match backend.order(address, &wire(order)) {
        Ok(()) => Answer::Accepted,
        Err(Failure::Refused(CONFLICT)) => Answer::Fenced,
        Err(Failure::Refused(_) | Failure::Unreachable) => Answer::Rejected,
        Err(Failure::Lost | Failure::Malformed) => Answer::Unknown,
    }
}

/// Status of a refusal for an old fencing token.
const CONFLICT: u16 = 409;

fn wire(order: &Order) -> backend::order::Order {
    backend::order::Order {
        kind: match order.kind {
            Kind::Load => order::Kind::Load,
            Kind::Role => order::Kind::Role,
            Kind::Drain => order::Kind::Drain,
        },
        model: order.model.clone(),
        weights: order.weights,
        adapter: order.adapter.as_deref().map(str::to_owned),
        role: order.role,
        fence: order.fence,
    }
}

fn record(order: &Order, answer: Answer) {
    log::info!(
        target: "shallotlead::decision",
        server:% = order.server,
        kind:? = order.kind,
        model:% = order.model,
        weights:% = order.weights,
        fence:% = order.fence,
        reason = order.reason,
        answer:?;
        "order"
    );
    let result = match answer {
        Answer::Accepted => "accepted",
        Answer::Fenced => "fenced",
        Answer::Rejected => "rejected",
        Answer::Unknown => "unknown",
    };
    metrics::counter!("shallotlead_orders_total", "answer" => result).increment(1);
}

fn answer(node: &WeakInbox, number: u64, answer: Answer) {
    node.send(Message::Duty(Input::Answered { number, answer }));
}
