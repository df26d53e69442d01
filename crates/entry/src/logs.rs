//! Logs: one line per event, as `key=value` pairs or as JSON.

use std::{fmt::Write, io, time::SystemTime};

use log::{
    Record,
    kv::{self, Key, Value, VisitSource},
};
use serde_json::Map;
use thiserror::Error;

use crate::settings::{Format, Log};

#[cfg(test)]
mod tests;

/// The log can't be opened.
#[derive(Debug, Error)]
pub enum Error {
    /// The log file can't be opened.
    #[error("cannot open the log file: {0}")]
    File(#[from] io::Error),
    /// The process logs elsewhere already.
    #[error("cannot start logging: {0}")]
    Started(#[from] log::SetLoggerError),
}

/// Starts logging for the whole process.
pub fn open(settings: &Log) -> Result<(), Error> {
    let format = settings.format;
    let dispatch = fern::Dispatch::new()
        .level(settings.level)
        .format(move |out, _, record| out.finish(format_args!("{}", line(format, record))));
    let dispatch = match &settings.file {
        Some(path) => dispatch.chain(fern::log_file(path)?),
        None => dispatch.chain(io::stderr()),
    };
    Ok(dispatch.apply()?)
}

fn line(format: Format, record: &Record<'_>) -> String {
    let time = humantime::format_rfc3339_millis(SystemTime::now()).to_string();
    render(format, &time, record)
}

fn render(format: Format, time: &str, record: &Record<'_>) -> String {
    match format {
        Format::Json => json(time, record),
        Format::Pairs => pairs(time, record),
    }
}

fn pairs(time: &str, record: &Record<'_>) -> String {
    let mut pairs = Pairs(String::with_capacity(160));
    pairs.push("time", time);
    pairs.push("level", record.level().as_str());
    pairs.push("target", record.target());
    pairs.push("message", &record.args().to_string());
    // The visitor returns no error.
    let _ = record.key_values().visit(&mut pairs);
    pairs.0
}

struct Pairs(String);

impl Pairs {
    fn push(&mut self, key: &str, value: &str) {
        if !self.0.is_empty() {
            self.0.push(' ');
        }
        self.0.push_str(key);
        self.0.push('=');
        // Values from outside must not be able to forge a field or a line.
        if !value.is_empty() && value.chars().all(is_plain) {
            self.0.push_str(value);
        } else {
            // Writing to a string doesn't fail.
            let _ = write!(self.0, "{value:?}");
        }
    }
}

fn is_plain(it: char) -> bool {
    !it.is_whitespace() && !it.is_control() && it != '"' && it != '='
}

impl<'kvs> VisitSource<'kvs> for Pairs {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        self.push(key.as_str(), &value.to_string());
        Ok(())
    }
}

fn json(time: &str, record: &Record<'_>) -> String {
    let mut fields = Fields(Map::new());
    // The visitor returns no error. The fixed fields come after, so that no pair overwrites them.
    let _ = record.key_values().visit(&mut fields);
    let mut fields = fields.0;
    fields.insert("time".to_owned(), time.into());
    fields.insert("level".to_owned(), record.level().as_str().into());
    fields.insert("target".to_owned(), record.target().into());
    fields.insert("message".to_owned(), record.args().to_string().into());
    serde_json::Value::Object(fields).to_string()
}

struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let json = match (value.to_u64(), value.to_f64(), value.to_bool()) {
            (Some(number), _, _) => number.into(),
            (_, Some(number), _) => number.into(),
            (_, _, Some(flag)) => flag.into(),
            _ => value.to_string().into(),
        };
        self.0.insert(key.as_str().to_owned(), json);
        Ok(())
    }
}
