//! Objects that another writer puts into the store's lists.

use rand::{Rng, rngs::SmallRng, seq::IndexedRandom};
use serde_json::{Value, json};

use crate::support::store::Store;

/// Kinds of objects that instances list.
const KINDS: [&str; 5] = ["config", "versions", "servers", "instance", "quarantine"];
/// Names with characters that have a meaning in a request's target, in a line of a log or in a path.
const ODD: [&str; 14] = [
    "%#",
    "%#zz",
    "&b=",
    "+",
    "%C3%A9",
    " b",
    "/?x",
    "\r\nHost: x\r\n",
    "é",
    "%",
    "\"'\\",
    "..",
    "\u{0}",
    "\u{202e}\u{10ffff}",
];
/// Fields of a server's entry with values that can't be read, as JSON.
const UNREADABLE: [&str; 8] = [
    r#""seq":1.23e24"#,
    r#""seq":1e400"#,
    r#""seq":-1"#,
    r#""slots":[]"#,
    r#""slots":18446744073709551616"#,
    r#""address":{}"#,
    r#""address":"nowhere""#,
    r#""service":null"#,
];
/// More than the store puts on two pages.
const MANY: usize = 1_200;
const LONG_NAME_BYTES: usize = 1_500;
const LONG_BYTES: usize = 150_000;

/// Objects that were written together.
pub(crate) struct Objects {
    kind: &'static str,
    names: Vec<String>,
}

impl Objects {
    /// Writes some. Their names begin before or behind those of the system.
    pub(crate) fn write(rng: &mut SmallRng, store: &Store) -> Self {
        let kind = *KINDS.choose(rng).expect("kinds");
        let begin =
            format!("{}{:04x}", ["", "a", "z"].choose(rng).expect("begins"), rng.random::<u16>());
        let names: Vec<String> = match rng.random_range(0..4) {
            0 => ODD.map(|it| format!("{begin}{it}")).to_vec(),
            1 => (0..8)
                .map(|it| format!("{begin}{it}{}", "é%".repeat(LONG_NAME_BYTES / 3)))
                .collect(),
            // So that pages end with such names.
            2 => (0..MANY).map(|it| format!("{begin}{it:04}{}", ODD[it % ODD.len()])).collect(),
            _ => ODD.iter().take(5).map(|it| format!("{it}{begin}")).collect(),
        };
        if MANY <= names.len() {
            let objects: Vec<(String, Value)> =
                names.iter().map(|it| (it.clone(), json!({ "of": "another" }))).collect();
            store.put_together(kind, &objects);
            return Self { kind, names };
        }
        for name in &names {
            match rng.random_range(0..5) {
                0 => store.put(kind, name, json!("x".repeat(LONG_BYTES))),
                1 => store.put(kind, name, Value::Null),
                2 => store.put(kind, name, json!({ "of": "another", "version": 1 })),
                _ => store.put_raw(kind, name, &unreadable(rng)),
            }
        }
        Self { kind, names }
    }

    pub(crate) fn remove(&self, store: &Store) {
        self.names.iter().for_each(|it| store.remove(self.kind, it));
    }
}

/// A server's entry that can't be read.
fn unreadable(rng: &mut SmallRng) -> String {
    let bad = *UNREADABLE.choose(rng).expect("fields");
    let field = bad.split(':').next().expect("a field has a name");
    let fields = [
        r#""service":"app""#,
        r#""address":"127.0.0.1:9""#,
        r#""zone":"a""#,
        r#""version":"v1""#,
        r#""slots":8"#,
        r#""state":"ready""#,
        r#""models":[]"#,
        r#""seq":1"#,
    ];
    let sound = fields.into_iter().filter(|it| !it.starts_with(field));
    format!("{{{}}}", sound.chain([bad]).collect::<Vec<_>>().join(","))
}
