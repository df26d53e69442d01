//! What the node's thread is told.

use std::sync::Arc;

use shallotlead_base::{name, store::Reply};
use shallotlead_fleet::{
    allowance, directory, dispatch, duty, intent, keeper,
    node::{CallId, ListedInstance, ServerState},
};
use shallotlead_policy::load;
use shallotlead_table::change::Change;

/// One message to the node's thread.
#[derive(Debug)]
pub(crate) enum Message {
    /// The platform's list of instances, as read now.
    Listed(Vec<ListedInstance>),
    /// The platform's answer to a call.
    Reply {
        /// The call.
        id: CallId,
        /// The answer.
        reply: Reply,
    },
    /// A message came from a peer.
    Peer {
        /// The peer.
        from: name::Instance,
        /// The message as received.
        bytes: Arc<[u8]>,
    },
    /// A poll found a server's state.
    Server {
        /// The server.
        name: name::Server,
        /// Its state.
        state: ServerState,
    },
    /// A server that this instance keeps reported its load.
    Load(load::Report),
    /// A change of the table was accepted through this instance.
    Accepted(Change),
    /// For the shares of limits.
    Allowance(allowance::Input),
    /// This instance sent an attempt.
    Sent(dispatch::Assignment),
    /// For the duties.
    Duty(duty::Input),
    /// For the keeper of event streams.
    Keeper(keeper::Input),
    /// For the homes of prefixes.
    Directory(directory::Input),
    /// For the intents.
    Intent(intent::Input),
    /// This instance shuts down.
    Drain,
    /// The open work is done: the thread must end once its peers know, and its calls are answered.
    Leave,
    /// The thread must end at once.
    Stop,
}
