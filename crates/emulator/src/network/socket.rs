//! One end of a connection.

use std::{
    collections::VecDeque,
    io::{self, ErrorKind, Read},
    net::SocketAddr,
    time::Duration,
};

use shallotlead_base::time::Time;

use super::{Host, Id};

/// Default silence after which a connection is given up.
const DEFAULT_SILENCE: Duration = Duration::from_secs(15);

/// Where a connection is in its life.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum State {
    /// The peer hasn't answered yet.
    Connecting,
    /// Bytes can be sent.
    Open,
    /// It was reset, refused or has timed out.
    Failed,
}

/// One end of a connection.
pub(super) struct Socket {
    pub(super) host: Host,
    /// The machine that it was opened to.
    pub(super) other_host: Option<Host>,
    /// The address that it was opened to.
    pub(super) address: SocketAddr,
    /// The token of its events, once it is registered.
    pub(super) token: Option<usize>,
    pub(super) state: State,
    /// The other end and its machine, once the connection is open.
    pub(super) peer: Option<(Id, Host)>,
    /// Bytes that have arrived and were not read.
    pub(super) input: VecDeque<u8>,
    /// Bytes that were sent and haven't arrived.
    pub(super) in_flight: usize,
    /// When the last thing that was sent arrives; later ones don't overtake it.
    pub(super) last_arrival: Time,
    /// Whether its owner waits to write more.
    pub(super) waits_for_room: bool,
    pub(super) is_closed_by_peer: bool,
    /// The error that has ended it, until it is taken.
    pub(super) error: Option<ErrorKind>,
    pub(super) is_reset_on_close: bool,
    pub(super) longest_silence: Duration,
    /// Whether something that it has sent is lost for good, so that nothing later arrives.
    pub(super) is_stuck: bool,
    /// Since when its link is cut.
    pub(super) silent_since: Option<Time>,
}

impl Socket {
    pub(super) fn new(host: Host, address: SocketAddr) -> Self {
        Self {
            host,
            other_host: None,
            address,
            token: None,
            state: State::Connecting,
            peer: None,
            input: VecDeque::new(),
            in_flight: 0,
            last_arrival: Time::ZERO,
            waits_for_room: false,
            is_closed_by_peer: false,
            error: None,
            is_reset_on_close: false,
            longest_silence: DEFAULT_SILENCE,
            is_stuck: false,
            silent_since: None,
        }
    }

    /// Whether reading wouldn't block.
    pub(super) fn is_readable(&self) -> bool {
        !self.input.is_empty() || self.is_closed_by_peer || self.state == State::Failed
    }

    /// Reads as much as there is.
    pub(super) fn take(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        if let Some(kind) = self.error.take() {
            return Err(kind.into());
        }
        if self.input.is_empty() {
            return match self.is_closed_by_peer || self.state == State::Failed {
                true => Ok(0),
                false => Err(ErrorKind::WouldBlock.into()),
            };
        }
        self.input.read(buf)
    }

    /// Copies what a read would return.
    pub(super) fn peek(&self, buf: &mut [u8]) -> io::Result<usize> {
        if let Some(kind) = self.error {
            return Err(kind.into());
        }
        if self.input.is_empty() && !self.is_readable() {
            return Err(ErrorKind::WouldBlock.into());
        }
        let len = buf.len().min(self.input.len());
        buf.iter_mut().zip(&self.input).for_each(|(to, from)| *to = *from);
        Ok(len)
    }
}
