//! The real binary with a page of organisations with a quota.

#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

mod page;

use shallotlead_gateway::quota::endpoint::Entry;

fn quotas(arguments: &[&str]) -> (Option<i32>, String) {
    page::run("quotas", arguments)
}

fn standin(entries: &[Entry]) -> String {
    page::serve("/quotas", serde_json::to_string(entries).unwrap())
}

fn entry() -> Entry {
    Entry {
        organisation: "one".into(),
        unit: "tokens".into(),
        per_second: 29_000.0,
        burst: 58_000.0,
        share: 0.333,
        left: -1_200.4,
        owners: vec!["10.0.0.2:7340".into(), "10.0.0.3:7340".into()],
        admitted: 17,
        denied: 4,
    }
}

// An operator looks why an organisation is refused, and a script does.
#[test]
fn command_lists_organisations_with_a_quota() {
    let (status, text) = quotas(&[&standin(&[entry()])]);
    assert_eq!(status, Some(0));
    let row = text.lines().nth(1).unwrap();
    for cell in ["one", "tokens", "29000", "58000", "0.33", "-1200", "10.0.0.2:7340", "17", "4"] {
        assert!(row.split_whitespace().any(|it| it == cell), "{cell}: {text}");
    }
    let json = serde_json::to_string(&[entry()]).unwrap() + "\n";
    assert_eq!(quotas(&["--json", &standin(&[entry()])]), (Some(0), json));
    assert_eq!(quotas(&[&standin(&[])]), (Some(0), "no organisation has a quota\n".to_owned()));
}

#[test]
fn command_fails_without_an_instance() {
    assert_eq!(quotas(&["127.0.0.1:1"]).0, Some(1));
    assert_eq!(quotas(&["nowhere"]).0, Some(2));
}
