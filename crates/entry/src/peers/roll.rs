//! Reads of the platform's list of instances.

use std::{io, sync::mpsc, thread, time::Duration};

use rand::{SeedableRng, rngs::SmallRng};
use shallotlead_base::id::Incarnation;
use shallotlead_fleet::{node::ListedInstance, view::Member};
use shallotlead_platform::{
    backoff::Backoff,
    list::{self, List, State},
};

use crate::peers::{inbox::WeakInbox, message::Message};

/// First pause after a failed read.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause after a failed read.
const LONGEST_PAUSE: Duration = Duration::from_secs(8);

/// The thread that reads the list. It ends when this is dropped.
#[derive(Debug)]
pub(crate) struct Roll {
    wanted: mpsc::SyncSender<()>,
}

impl Roll {
    /// Starts the thread. `seeds` are handed in when the list can't be read at first.
    pub(crate) fn spawn(
        list: impl List,
        seeds: Vec<ListedInstance>,
        seed: u64,
        node: WeakInbox,
    ) -> io::Result<Self> {
        // One read under way and one wanted are enough: the second brings whatever is new.
        let (wanted, reads) = mpsc::sync_channel(1);
        let run = move || run(&list, seeds, seed, &node, &reads);
        thread::Builder::new().name("instance-list".to_owned()).spawn(run)?;
        Ok(Self { wanted })
    }

    /// Reads the list, again and again until it could be read.
    pub(crate) fn read(&self) {
        // A full channel means that a read is wanted already.
        let _ = self.wanted.try_send(());
    }
}

fn run(
    list: &impl List,
    mut seeds: Vec<ListedInstance>,
    seed: u64,
    node: &WeakInbox,
    reads: &mpsc::Receiver<()>,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut backoff = Backoff::new(FIRST_PAUSE, LONGEST_PAUSE);
    let mut pause = None;
    loop {
        let next = match pause {
            None => reads.recv().map_err(mpsc::RecvTimeoutError::from),
            Some(pause) => reads.recv_timeout(pause),
        };
        if next == Err(mpsc::RecvTimeoutError::Disconnected) {
            return;
        }
        match list.members() {
            Ok(members) => {
                backoff.reset();
                pause = None;
                seeds.clear();
                node.send(Message::Listed(members.into_iter().map(listed).collect()));
            }
            Err(error) => {
                log::warn!("{error}");
                if !seeds.is_empty() {
                    node.send(Message::Listed(std::mem::take(&mut seeds)));
                }
                pause = Some(backoff.next_delay(&mut rng));
            }
        }
    }
}

fn listed(it: list::Member) -> ListedInstance {
    let member = Member {
        name: it.name,
        centre: it.centre,
        region: it.region,
        address: it.address,
        peer: it.peer,
        incarnation: Incarnation(0),
    };
    ListedInstance { member, is_leaving: it.state == State::Leaving }
}
