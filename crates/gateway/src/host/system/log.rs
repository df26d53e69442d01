//! Writes the log to standard output on a thread of its own, so that a stalled reader of the output never blocks a
//! request.

use std::{
    io::{self, Write},
    sync::mpsc::{self, Receiver, SyncSender, TrySendError},
    thread,
};

use crate::host::sink::Sink;

/// Buffers that may wait for the writer thread: 256 KB together with the one being filled.
const MAX_QUEUED_BUFFERS: usize = 15;

/// Hands lines to the writer thread.
#[derive(Debug)]
pub(in crate::host) struct Writer(SyncSender<Vec<u8>>);

impl Writer {
    /// Starts the thread. It ends when this is dropped.
    pub(in crate::host) fn spawn() -> io::Result<Self> {
        let (tx, rx) = mpsc::sync_channel(MAX_QUEUED_BUFFERS);
        thread::Builder::new().name("log".into()).spawn(move || write_buffers(&rx))?;
        Ok(Self(tx))
    }
}

impl Sink for Writer {
    fn write(&mut self, lines: Vec<u8>) -> Result<(), Vec<u8>> {
        self.0.try_send(lines).map_err(|it| match it {
            TrySendError::Full(lost) | TrySendError::Disconnected(lost) => lost,
        })
    }
}

fn write_buffers(rx: &Receiver<Vec<u8>>) {
    let mut out = io::stdout();
    for buffer in rx {
        if out.write_all(&buffer).and_then(|()| out.flush()).is_err() {
            // Standard output is closed, so that all further writes would fail as well.
            return;
        }
    }
}
