//! The thread around the fleet node: who is there, which table is in force, who keeps what.

pub(crate) mod board;
mod demand;
mod driver;
pub(crate) mod inbox;
pub(crate) mod message;
mod orders;
mod poller;
mod probe;
mod publisher;
mod roll;
#[cfg(test)]
mod tests;
mod transport;
mod wire;

use std::{fmt, io, net::SocketAddr, sync::Arc, thread::JoinHandle};

use shallotlead_base::{hash::Set, id::Incarnation};
use shallotlead_fleet::{
    allowance,
    credential::GRACE_PERIOD,
    node::{ListedInstance, Node},
    view::Member,
};
use shallotlead_link as link;
use shallotlead_platform::{client, list::List};

use self::{
    board::Board,
    demand::Tally,
    driver::Driver,
    inbox::Inbox,
    message::Message,
    orders::Orders,
    poller::Poller,
    publisher::Publisher,
    roll::Roll,
    transport::{Alone, Transport},
    wire::Wire,
};
use crate::{backend::Backend, settings::seed::Seed, shell};

/// Port in the place of one that isn't known yet. Callers are never sent there.
pub(crate) const UNKNOWN_PORT: u16 = 0;

/// What the node's thread is opened with.
pub(crate) struct Config<L> {
    /// This instance.
    pub(crate) member: Member,
    /// Seed of the node's random choices.
    pub(crate) seed: u64,
    /// The platform's object API.
    pub(crate) platform: client::Handle,
    /// The platform's list of instances.
    pub(crate) list: L,
    /// Instances to try while the list can't be read.
    pub(crate) seeds: Vec<Seed>,
    /// Most instances that may run at once.
    pub(crate) max_instances: u32,
    /// The links to other instances, and what comes over them; an instance without runs alone.
    pub(crate) link: Option<(link::handle::Handle, link::inbox::Inbox)>,
    /// The backend servers' adapter.
    pub(crate) backend: Arc<dyn Backend>,
}

impl<L> fmt::Debug for Config<L> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Config").field("member", &self.member).finish_non_exhaustive()
    }
}

/// A running node. Its thread ends when this is closed or dropped.
#[derive(Debug)]
pub(crate) struct Handle {
    inbox: Inbox,
    board: Arc<Board>,
    node: Option<JoinHandle<()>>,
    receiver: Option<JoinHandle<()>>,
}

impl Handle {
    /// What the node publishes for operators.
    pub(crate) fn board(&self) -> &Arc<Board> {
        &self.board
    }

    /// The sending end of the node's thread.
    pub(crate) fn inbox(&self) -> &Inbox {
        &self.inbox
    }

    /// Ends the node once its peers know that it leaves and its calls to the platform are answered,
    /// as those that hand its duties on.
    pub(crate) fn leave(self) {
        self.end(Message::Leave);
    }

    /// Ends the node and its links at once.
    pub(crate) fn close(self) {
        self.end(Message::Stop);
    }

    /// Ends the node by `message`, and waits until the links' address is free.
    fn end(mut self, message: Message) {
        self.inbox.send(message);
        if let Some(node) = self.node.take()
            && node.join().is_err()
        {
            log::error!("the node's thread panicked");
        }
        if let Some(receiver) = self.receiver.take()
            && receiver.join().is_err()
        {
            log::error!("the link's thread panicked");
        }
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.inbox.send(Message::Stop);
    }
}

/// Starts the node's thread and joins it with the router's.
pub(crate) fn spawn<L: List>(config: Config<L>, shell: &shell::Handle) -> io::Result<Handle> {
    let Config { member, seed, platform, list, seeds, max_instances, link, backend } = config;
    let (inbox, outlet) = inbox::channel();
    let (transport, receiver): (Box<dyn Transport>, _) = match link {
        Some((link, received)) => {
            let receiver = wire::receive(received, inbox.downgrade())?;
            let publisher = Publisher::spawn(publisher::Config {
                member: member.clone(),
                seed,
                grace: GRACE_PERIOD,
                clock: shell.clock(),
                link: link.clone(),
                platform: platform.clone(),
            })?;
            (Box::new(Wire::new(link, publisher)), Some(receiver))
        }
        None => (Box::new(Alone), None),
    };
    let seeds = seeds.into_iter().map(|it| listed(it, &member)).collect();
    let roll = Roll::spawn(list, seeds, seed, inbox.downgrade())?;
    let poller = Poller::new(backend.clone(), inbox.downgrade(), shell.inbox(), shell.clock());
    inbox.send(Message::Allowance(allowance::Input::MaxInstances(max_instances)));
    shell.join(&inbox);
    let board = Arc::new(Board::default());
    let driver = Driver {
        node: Node::new(shell.clock().now(), member, seed),
        clock: shell.clock(),
        platform,
        transport,
        inbox: inbox.downgrade(),
        router: shell.inbox(),
        shared: shell.shared(),
        poller,
        orders: Orders { backend: backend.clone(), clock: shell.clock(), node: inbox.downgrade() },
        backend,
        seed,
        probed: false,
        roll,
        tally: Tally::default(),
        board: board.clone(),
        calls: Set::default(),
    };
    let node = Some(driver.spawn(outlet)?);
    Ok(Handle { inbox, board, node, receiver })
}

/// A seed as if it were listed. What isn't known of it is guessed, until it says so itself.
fn listed(seed: Seed, own: &Member) -> ListedInstance {
    let member = Member {
        name: seed.name,
        centre: own.centre.clone(),
        region: own.region.clone(),
        address: SocketAddr::new(seed.peer.ip(), UNKNOWN_PORT),
        peer: seed.peer,
        incarnation: Incarnation(0),
    };
    ListedInstance { member, is_leaving: false }
}
