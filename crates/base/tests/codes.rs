//! The documented table of result codes is that of the code.

use std::{collections::BTreeSet, env, fs};

use shallotlead_base::code::{Code, Execution};

const PAGE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/result-codes.md");
/// Set to write the page instead of checking it.
const UPDATE: &str = "UPDATE_DOCS";

const HEAD: &str = "\
# Result codes

Every refusal and failure carries a numbered code. \"Execution\" is what the code says about the
request: `not-run` (no backend server ran or will run it; trying again is safe), `unknown` (it may
have run; a non-idempotent request must not simply be sent again), `ran`. For codes of operators and
processes, `not-run` means that nothing was changed. For a call that repeats another by its
idempotency key (`x-repeat`), 3006, 5001 and 5002 say `unknown`: the key wasn't looked up.

Ranges: 1xxx settings and start, 2xxx the caller's request, 3xxx admission and limits, 4xxx backend
servers and attempts, 5xxx the platform, 6xxx table and administration, 7xxx links between instances.

This page is checked against `crates/base/src/code.rs`; `UPDATE_DOCS=1 cargo test -p shallotlead-base`
writes it.

| code | name | HTTP | execution | meaning |
|---|---|---|---|---|
";

fn page() -> String {
    let mut page = HEAD.to_owned();
    for code in Code::ALL {
        let execution = match code.execution() {
            Execution::NotRun => "not-run",
            Execution::Unknown => "unknown",
            Execution::Ran => "ran",
        };
        let (number, name, status) = (code.number(), code.name(), code.status());
        let text = code.text();
        page += &format!("| {number} | {name} | {status} | {execution} | {text} |\n");
    }
    page
}

#[test]
fn page_matches_the_code() {
    if env::var_os(UPDATE).is_some() {
        fs::write(PAGE, page()).expect("the page can be written");
    }
    let found = fs::read_to_string(PAGE).expect("the page exists");
    assert_eq!(found, page(), "run with {UPDATE}=1 to write the page");
}

#[test]
fn numbers_are_unique_and_in_order() {
    let numbers = Code::ALL.iter().map(|it| it.number()).collect::<Vec<_>>();
    assert!(numbers.is_sorted());
    assert_eq!(numbers.iter().collect::<BTreeSet<_>>().len(), numbers.len());
}
