//! Server-sent events, as far as callers need them.

/// One event.
#[derive(Debug, Default, Eq, PartialEq)]
pub(crate) struct Event {
    pub(crate) id: String,
    pub(crate) kind: String,
    pub(crate) data: String,
}

/// Puts lines together to events.
#[derive(Debug, Default)]
pub(crate) struct Parser {
    event: Event,
}

impl Parser {
    /// Takes one line without its end; returns the event that it completes.
    pub(crate) fn take(&mut self, line: &str) -> Option<Event> {
        if line.is_empty() {
            let event = std::mem::take(&mut self.event);
            return (!event.data.is_empty()).then_some(event);
        }
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => self.event.id = value.to_owned(),
            "event" => self.event.kind = value.to_owned(),
            "data" => {
                if !self.event.data.is_empty() {
                    self.event.data.push('\n');
                }
                self.event.data.push_str(value);
            }
            _ => {}
        }
        None
    }
}

/// Number of the token in an event id: plain, as engines give it, or
/// `{request}.{number}.{mac}`, as entry instances do.
pub(crate) fn token_number(id: &str) -> Option<u32> {
    let mut parts = id.split('.');
    let first = parts.next()?;
    parts.next().unwrap_or(first).parse().ok()
}
