//! The story of one request, from the log lines of all instances.

use std::{
    collections::BTreeSet,
    fs,
    io::{self, BufRead, BufReader, Write},
};

use serde_json::{Map, Value};

use crate::command::Failure;

/// How long before and after a request's own lines what was learnt of its servers belongs to its story.
const AROUND_MS: u64 = 1_500;
/// Events of servers that explain what a request met there.
const BELIEFS: [&str; 7] = [
    "server",
    "server_left_out",
    "server_taken_in",
    "rate_limit",
    "order",
    "order_answered",
    "loaded",
];
/// Events of an instance's dependencies.
const DEPENDENCIES: [&str; 5] =
    ["store_lost", "store_regained", "configuration", "lease", "weights_named"];

/// One line of the log.
#[derive(Debug)]
struct Line {
    time_ms: u64,
    instance: String,
    event: String,
    fields: Map<String, Value>,
}

impl Line {
    fn parse(text: &str) -> Option<Self> {
        // Collectors put their own words before the line.
        let start = text.find('{')?;
        let mut fields: Map<String, Value> = serde_json::from_str(text[start..].trim()).ok()?;
        let mut text = |name: &str| fields.remove(name)?.as_str().map(str::to_owned);
        let (instance, event) = (text("instance")?, text("event")?);
        let time_ms = fields.remove("time_ms")?.as_u64()?;
        Some(Self { time_ms, instance, event, fields })
    }

    fn is(&self, field: &str, value: &str) -> bool {
        self.fields.get(field).and_then(Value::as_str) == Some(value)
    }

    fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field).and_then(Value::as_str)
    }
}

/// Prints the story of `request` from the log in `file`, or on standard input for `-`.
pub(super) fn print(request: &str, file: &str) -> Result<(), Failure> {
    let failed = |it: io::Error| Failure::Failed(format!("{file}: {it}"));
    let lines = if file == "-" {
        read(io::stdin().lock())
    } else {
        read(BufReader::new(fs::File::open(file).map_err(failed)?))
    };
    let lines = lines.map_err(failed)?;
    let story = story(&lines, request);
    if story.is_empty() {
        return Err(Failure::Failed(format!("no line is about request {request}")));
    }
    let mut out = io::stdout().lock();
    write(&mut out, &story, request).map_err(failed)
}

fn read(input: impl BufRead) -> io::Result<Vec<Line>> {
    let mut lines = Vec::new();
    for text in input.lines() {
        lines.extend(Line::parse(&text?));
    }
    // Lines of one instance keep their order, also within a millisecond.
    lines.sort_by_key(|it| it.time_ms);
    Ok(lines)
}

/// The request's own lines, and what its instances learnt around them of the servers that it met.
fn story<'a>(lines: &'a [Line], request: &str) -> Vec<&'a Line> {
    let own: Vec<&Line> = lines.iter().filter(|it| it.is("request", request)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else { return Vec::new() };
    let times = first.time_ms.saturating_sub(AROUND_MS)..=last.time_ms + AROUND_MS;
    let servers: BTreeSet<&str> = own.iter().filter_map(|it| it.text("server")).collect();
    let instances: BTreeSet<&str> = own.iter().map(|it| it.instance.as_str()).collect();
    let belongs = |it: &&Line| {
        if it.is("request", request) {
            return true;
        }
        if !times.contains(&it.time_ms) {
            return false;
        }
        let of_server = it.text("server").is_some_and(|it| servers.contains(it));
        let here = instances.contains(it.instance.as_str());
        (of_server && BELIEFS.contains(&it.event.as_str()))
            || (here && DEPENDENCIES.contains(&it.event.as_str()))
    };
    lines.iter().filter(belongs).collect()
}

fn write(out: &mut impl Write, story: &[&Line], request: &str) -> io::Result<()> {
    let start = story.iter().find(|it| it.is("request", request)).map_or(0, |it| it.time_ms);
    for line in story {
        let after = line.time_ms as i64 - start as i64;
        let mark = if line.is("request", request) { ' ' } else { '·' };
        write!(out, "{after:>7} ms {mark} {:<16} {}", line.instance, line.event)?;
        for (name, value) in line.fields.iter().filter(|it| it.0 != "request") {
            match value.as_str() {
                Some(text) => write!(out, " {name}={text}")?,
                None => write!(out, " {name}={value}")?,
            }
        }
        writeln!(out)?;
    }
    Ok(())
}

#[cfg(test)]
mod tests;
