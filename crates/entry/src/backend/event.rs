//! Server-sent events, read one at a time.

#[cfg(test)]
mod tests;

use std::{
    io::{self, BufRead, BufReader, Read},
    sync::Arc,
};

use thiserror::Error;

/// Longest line of an event, in bytes.
const MAX_LINE: u64 = 1 << 20;
/// Longest `data:` text of an event, in bytes.
const MAX_DATA: usize = 1 << 20;

/// One event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Event {
    /// The `id:` field as a token number, when there is one.
    pub(crate) number: Option<u32>,
    /// The `data:` text.
    pub(crate) data: Arc<str>,
}

/// Why no event could be read.
#[derive(Debug, Error)]
pub(crate) enum Broken {
    /// The connection broke.
    #[error("the stream broke: {0}")]
    Io(#[from] io::Error),
    /// A field is malformed or too long.
    #[error("the stream holds a malformed event")]
    Malformed,
}

/// Reads events from a body.
#[derive(Debug)]
pub(crate) struct Reader<R> {
    body: BufReader<R>,
}

impl<R: Read> Reader<R> {
    /// Reads events from `body`.
    pub(crate) fn new(body: R) -> Self {
        Self { body: BufReader::new(body) }
    }

    /// The next event with data; `None` at the end of the body. An event that the body's end cuts
    /// short is dropped, as the protocol asks.
    pub(crate) fn next(&mut self) -> Result<Option<Event>, Broken> {
        let mut number = None;
        let mut data = String::new();
        let mut has_data = false;
        while let Some(line) = self.line()? {
            if line.is_empty() {
                if has_data {
                    return Ok(Some(Event { number, data: Arc::from(data) }));
                }
                number = None;
                continue;
            }
            let (field, value) = line.split_once(':').unwrap_or((&line, ""));
            let value = value.strip_prefix(' ').unwrap_or(value);
            match field {
                "data" => {
                    if has_data {
                        data.push('\n');
                    }
                    if MAX_DATA < data.len() + value.len() {
                        return Err(Broken::Malformed);
                    }
                    data.push_str(value);
                    has_data = true;
                }
                "id" => number = Some(value.parse().map_err(|_| Broken::Malformed)?),
                _ => {}
            }
        }
        Ok(None)
    }

    /// The next line without its end; `None` at the end of the body.
    fn line(&mut self) -> Result<Option<String>, Broken> {
        let mut line = Vec::new();
        self.body.by_ref().take(MAX_LINE).read_until(b'\n', &mut line)?;
        if line.pop() != Some(b'\n') {
            let over = u64::try_from(line.len()).is_ok_and(|it| MAX_LINE <= it + 1);
            return if over { Err(Broken::Malformed) } else { Ok(None) };
        }
        if line.last() == Some(&b'\r') {
            line.pop();
        }
        String::from_utf8(line).map(Some).map_err(|_| Broken::Malformed)
    }
}
