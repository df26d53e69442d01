//! Structured log lines on standard output, one JSON object a line.
//!
//! The reactor formats lines into a buffer; a thread of its own writes them, so that a reader that
//! stands still never blocks a request. Lines over the rate, or that find the buffer full, are
//! dropped and counted.

use std::{
    fmt::{self, Write as _},
    io::{self, Write as _},
    sync::mpsc::{self, Receiver, SyncSender, TrySendError},
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use shallotlead_base::time::Time;

use crate::clock;

/// Lines are handed to the writing thread this often, or when the buffer is full.
const FLUSH: Duration = Duration::from_millis(400);
/// Bytes in the buffer from which on it is handed over at once.
const FULL: usize = 16 * 1024;
/// Buffers that may wait for the writing thread: 256 KB together with the one being filled.
const WAITING: usize = 15;

/// The running log.
#[derive(Debug)]
pub struct Log {
    tx: SyncSender<Vec<u8>>,
    buffer: String,
    instance: Box<str>,
    /// Time of day at the origin of the clock, ms since 1970. It is taken anew now and then, as the time
    /// of day may be set.
    offset: u64,
    flushed: Time,
    rate: u32,
    second: u64,
    lines: u32,
    dropped: u64,
    told: u64,
}

/// One line under construction; it is written when it is dropped.
#[derive(Debug)]
pub struct Line<'a> {
    journal: Option<&'a mut Log>,
}

impl Log {
    /// Starts to write to standard output.
    pub fn open(instance: &str, rate: u32) -> io::Result<Self> {
        let (tx, rx) = mpsc::sync_channel(WAITING);
        thread::Builder::new().name("log".into()).spawn(move || write(&rx))?;
        Ok(Self {
            tx,
            buffer: String::new(),
            instance: instance.into(),
            offset: offset(clock::now()),
            flushed: Time::ZERO,
            rate,
            second: 0,
            lines: 0,
            dropped: 0,
            told: 0,
        })
    }

    /// Begins the line of `event`.
    pub fn line(&mut self, now: Time, event: &str) -> Line<'_> {
        let second = now.as_millis() / 1_000;
        if self.second != second {
            self.second = second;
            self.lines = 0;
        }
        self.lines += 1;
        if self.rate < self.lines {
            self.dropped += 1;
            return Line { journal: None };
        }
        let ms = self.offset + now.as_millis();
        let Self { buffer, instance, .. } = self;
        // Writing to a string can't fail.
        let _ =
            write!(buffer, "{{\"time_ms\":{ms},\"instance\":\"{instance}\",\"event\":\"{event}\"");
        Line { journal: Some(self) }
    }

    /// Lines that were dropped so far.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Hands the buffer over when it is time, or at once if `is_last`.
    pub fn flush(&mut self, now: Time, is_last: bool) {
        if self.buffer.is_empty() {
            return;
        }
        if self.buffer.len() < FULL && now.since(self.flushed) < FLUSH && !is_last {
            return;
        }
        self.flushed = now;
        self.offset = offset(now);
        if self.told < self.dropped {
            self.told = self.dropped;
            let dropped = self.dropped;
            self.line(now, "log_dropped").number("lines", dropped);
        }
        let buffer = std::mem::take(&mut self.buffer).into_bytes();
        if let Err(TrySendError::Full(lost) | TrySendError::Disconnected(lost)) =
            self.tx.try_send(buffer)
        {
            self.dropped += lost.iter().filter(|it| **it == b'\n').count() as u64;
        }
    }
}

impl Line<'_> {
    /// Adds a text.
    pub fn text(mut self, name: &str, value: &str) -> Self {
        if let Some(journal) = &mut self.journal {
            let _ = write!(journal.buffer, ",\"{name}\":\"");
            escape(&mut journal.buffer, value);
            journal.buffer.push('"');
        }
        self
    }

    /// Adds a number.
    pub fn number(mut self, name: &str, value: impl fmt::Display) -> Self {
        if let Some(journal) = &mut self.journal {
            let _ = write!(journal.buffer, ",\"{name}\":{value}");
        }
        self
    }

    /// Adds a duration, in milliseconds with one digit.
    pub fn ms(mut self, name: &str, value: Duration) -> Self {
        if let Some(journal) = &mut self.journal {
            let _ = write!(journal.buffer, ",\"{name}\":{:.1}", value.as_secs_f64() * 1e3);
        }
        self
    }
}

impl Drop for Line<'_> {
    fn drop(&mut self) {
        if let Some(journal) = &mut self.journal {
            journal.buffer.push_str("}\n");
        }
    }
}

fn offset(now: Time) -> u64 {
    let day = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    (day.as_millis() as u64).saturating_sub(now.as_millis())
}

fn escape(out: &mut String, value: &str) {
    for it in value.chars() {
        match it {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            it if it.is_control() => {
                let _ = write!(out, "\\u{:04x}", it as u32);
            }
            it => out.push(it),
        }
    }
}

fn write(rx: &Receiver<Vec<u8>>) {
    let mut out = io::stdout();
    for buffer in rx {
        if out.write_all(&buffer).and_then(|()| out.flush()).is_err() {
            // Nobody reads any more; the lines that follow are lost in the same way.
            return;
        }
    }
}
