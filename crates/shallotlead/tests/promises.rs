//! The page on promises names tests that exist.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::{collections::BTreeSet, fs, path::Path};

/// Names of functions in Rust files below `folder`.
fn functions(folder: &Path, found: &mut BTreeSet<String>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            functions(&path, found);
        } else if path.extension().is_some_and(|it| it == "rs") {
            let text = fs::read_to_string(&path).unwrap();
            let names = text.lines().filter_map(|it| it.trim_start().strip_prefix("fn "));
            found.extend(names.filter_map(|it| it.split_once('(')).map(|it| it.0.to_owned()));
        }
    }
}

#[test]
fn every_proof_that_the_page_names_exists() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut known = BTreeSet::new();
    for folder in ["crates", "platform"] {
        functions(&root.join(folder), &mut known);
    }
    let page = fs::read_to_string(root.join("docs/promises.md")).unwrap();
    let quoted = page.split('`').skip(1).step_by(2);
    let named = quoted.filter(|it| it.contains('_') && !it.contains(' ')).collect::<Vec<_>>();
    assert!(20 < named.len());
    let missing = named.iter().filter(|it| !known.contains(**it)).collect::<Vec<_>>();
    assert!(missing.is_empty(), "{missing:?}");
}
