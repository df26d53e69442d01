//! Structured log, one JSON object per line.
//!
//! The reactor formats lines into a buffer, which it hands over from time to time. Lines above the rate limit, or for
//! which there is no space, are dropped and counted.

use std::{
    fmt::{self, Write as _},
    rc::Rc,
    time::Duration,
};

use shallotlead_base::time::Time;

use crate::{clock::Clock, host::sink::Sink};

/// Interval at which the buffer is handed over, unless it is full before.
const FLUSH_INTERVAL: Duration = Duration::from_millis(400);
/// Buffer size from which on it is handed over at once.
const FULL_BUFFER_BYTES: usize = 16 * 1024;
/// Longest part of a text that is written, bytes.
const MAX_TEXT_BYTES: usize = 1_024;
/// Lines per second that [`Log::priority_line`] may write beyond the rate limit.
const PRIORITY_LINES_PER_S: u32 = 40;

/// The open log.
#[derive(Debug)]
pub struct Log {
    clock: Rc<dyn Clock>,
    sink: Box<dyn Sink>,
    buffer: String,
    /// Name of the instance, escaped.
    instance: String,
    /// Wall clock at the origin of the reactor's clock, in ms since 1970. It is renewed on each flush, since
    /// the wall clock may be adjusted.
    unix_offset_ms: u64,
    flushed_at: Time,
    max_lines_per_s: u32,
    current_second: u64,
    lines_this_second: u32,
    priority_lines_this_second: u32,
    dropped: u64,
    reported_dropped: u64,
}

/// One line under construction; dropping it completes the line.
#[derive(Debug)]
pub struct Line<'a> {
    /// `None` if the line exceeds the rate limit.
    log: Option<&'a mut Log>,
}

impl Log {
    /// A log that writes to `sink`. `instance` becomes a field of each line.
    pub fn new(
        instance: &str,
        max_lines_per_s: u32,
        clock: Rc<dyn Clock>,
        sink: Box<dyn Sink>,
    ) -> Self {
        let mut escaped = String::new();
        escape(&mut escaped, instance);
        Self {
            sink,
            buffer: String::new(),
            instance: escaped,
            unix_offset_ms: unix_offset_ms(&*clock, clock.now()),
            clock,
            flushed_at: Time::ZERO,
            max_lines_per_s,
            current_second: 0,
            lines_this_second: 0,
            priority_lines_this_second: 0,
            dropped: 0,
            reported_dropped: 0,
        }
    }

    /// Starts a line about `event`.
    pub fn line(&mut self, now: Time, event: &str) -> Line<'_> {
        self.start_second(now);
        self.lines_this_second += 1;
        if self.max_lines_per_s < self.lines_this_second {
            self.dropped += 1;
            return Line { log: None };
        }
        self.start_line(now, event)
    }

    /// Starts a line about `event`, which shows a fault of its own and so isn't dropped for the number of other
    /// lines. Without a rate limit above zero the log is off.
    pub fn priority_line(&mut self, now: Time, event: &str) -> Line<'_> {
        self.start_second(now);
        if self.max_lines_per_s == 0 || self.priority_lines_this_second == PRIORITY_LINES_PER_S {
            return self.line(now, event);
        }
        self.priority_lines_this_second += 1;
        self.start_line(now, event)
    }

    fn start_second(&mut self, now: Time) {
        let second = now.as_millis() / 1_000;
        if self.current_second != second {
            self.current_second = second;
            self.lines_this_second = 0;
            self.priority_lines_this_second = 0;
        }
    }

    fn start_line(&mut self, now: Time, event: &str) -> Line<'_> {
        let ms = self.unix_offset_ms + now.as_millis();
        let Self { buffer, instance, .. } = self;
        // Writing to a string can't fail.
        let _ =
            write!(buffer, "{{\"time_ms\":{ms},\"instance\":\"{instance}\",\"event\":\"{event}\"");
        Line { log: Some(self) }
    }

    /// Number of lines that were dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Hands the buffer over if it is full or the interval has passed, or at once if `is_last`.
    pub fn flush(&mut self, now: Time, is_last: bool) {
        if self.buffer.is_empty() {
            return;
        }
        if self.buffer.len() < FULL_BUFFER_BYTES
            && now.since(self.flushed_at) < FLUSH_INTERVAL
            && !is_last
        {
            return;
        }
        self.flushed_at = now;
        self.unix_offset_ms = unix_offset_ms(&*self.clock, now);
        if self.reported_dropped < self.dropped {
            self.reported_dropped = self.dropped;
            let dropped = self.dropped;
            self.line(now, "log_dropped").number("lines", dropped);
        }
        let buffer = std::mem::take(&mut self.buffer).into_bytes();
        if let Err(lost) = self.sink.write(buffer) {
            self.dropped += lost.iter().filter(|it| **it == b'\n').count() as u64;
        }
    }
}

impl Line<'_> {
    /// Adds a text field. Of a long text only the beginning is written: others choose it, such as names in the store.
    pub fn text(mut self, name: &str, value: &str) -> Self {
        if let Some(log) = &mut self.log {
            let _ = write!(log.buffer, ",\"{name}\":\"");
            let is_cut = MAX_TEXT_BYTES < value.len();
            let end = value.floor_char_boundary(MAX_TEXT_BYTES);
            escape(&mut log.buffer, &value[..end]);
            log.buffer.push_str(if is_cut { "…\"" } else { "\"" });
        }
        self
    }

    /// Adds a number field.
    pub fn number(mut self, name: &str, value: impl fmt::Display) -> Self {
        if let Some(log) = &mut self.log {
            let _ = write!(log.buffer, ",\"{name}\":{value}");
        }
        self
    }

    /// Adds a duration, in milliseconds with one decimal place.
    pub fn ms(mut self, name: &str, value: Duration) -> Self {
        if let Some(log) = &mut self.log {
            let _ = write!(log.buffer, ",\"{name}\":{:.1}", value.as_secs_f64() * 1e3);
        }
        self
    }
}

impl Drop for Line<'_> {
    fn drop(&mut self) {
        if let Some(log) = &mut self.log {
            log.buffer.push_str("}\n");
        }
    }
}

fn unix_offset_ms(clock: &dyn Clock, now: Time) -> u64 {
    clock.unix_ms().saturating_sub(now.as_millis())
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
