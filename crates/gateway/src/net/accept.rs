//! Accepts connections, as far as descriptors are left for them.

use std::io::ErrorKind;

use super::{Endpoint, Event, Key, Net, Slot, Timeout};

/// Most waiting connections that are closed in a row, as there is no descriptor for them.
const MAX_REJECTED: usize = 1_024;

impl Net {
    /// The endpoints at which connections wait for a descriptor.
    pub(crate) fn full_endpoints(&self) -> Vec<Endpoint> {
        let endpoints = self.blocked.iter().filter_map(|it| self.endpoint(*it));
        endpoints.filter(|it| !self.descriptors.has_left(*it)).collect()
    }

    /// Number of connections that `endpoint` may hold.
    pub(crate) fn max_connections(&self, endpoint: Endpoint) -> usize {
        self.descriptors.limit(endpoint)
    }

    /// Closes connections that wait at `endpoint`, which has no descriptor for them. Returns how many.
    pub(crate) fn reject_waiting(&mut self, endpoint: Endpoint) -> usize {
        let key = self.blocked.iter().find(|it| self.endpoint(**it) == Some(endpoint)).copied();
        let slot = key.and_then(|it| self.slots.get_mut(it.index));
        let Some((_, Slot::Listener(listener, _))) = slot else { return 0 };
        (0..MAX_REJECTED).take_while(|_| listener.accept().is_ok()).count()
    }

    /// Has listeners that failed try again with the next poll.
    pub(crate) fn retry_accepting(&mut self) {
        self.blocked.append(&mut self.failed);
    }

    pub(super) fn may_resume_accepting(&self) -> bool {
        let mut endpoints = self.blocked.iter().filter_map(|it| self.endpoint(*it));
        endpoints.any(|it| self.descriptors.has_left(it))
    }

    /// What the listener `key` serves, if it is open.
    fn endpoint(&self, key: Key) -> Option<Endpoint> {
        match self.slots.get(key.index) {
            Some((serial, Slot::Listener(_, endpoint))) if *serial == key.serial => Some(*endpoint),
            _ => None,
        }
    }

    /// Accepts the connections that wait at the listener `key`, while its endpoint has descriptors left.
    pub(super) fn accept(&mut self, key: Key, events: &mut Vec<Event>) {
        loop {
            let Some((_, Slot::Listener(listener, endpoint))) = self.slots.get_mut(key.index)
            else {
                return;
            };
            let endpoint = *endpoint;
            if !self.descriptors.has_left(endpoint) {
                if !self.blocked.contains(&key) {
                    self.blocked.push(key);
                }
                return;
            }
            let stream = match listener.accept() {
                Ok(stream) => stream,
                Err(err) if err.kind() == ErrorKind::WouldBlock => return,
                Err(err) if err.kind() == ErrorKind::Interrupted => continue,
                Err(err) => {
                    // No further event comes for the connections that wait already.
                    if !self.failed.contains(&key) {
                        log::warn!("failed to accept a connection: {err}");
                        self.failed.push(key);
                    }
                    return;
                }
            };
            match self.add_stream(stream, Timeout::Peer, Some(endpoint)) {
                Ok(key) => events.push(Event::Accepted(key, endpoint)),
                Err(err) => log::warn!("failed to set up an accepted connection: {err}"),
            }
        }
    }
}
