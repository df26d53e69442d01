//! The real binary with a page of servers that limit their rate.

#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

mod page;

use shallotlead_gateway::rate_limit::endpoint::Entry;

fn limits(arguments: &[&str]) -> (Option<i32>, String) {
    page::run("limits", arguments)
}

fn standin(entries: &[Entry]) -> String {
    page::serve("/limits", serde_json::to_string(entries).unwrap())
}

fn entry() -> Entry {
    Entry {
        server: "e1".into(),
        service: "pool".into(),
        per_second: 2.25,
        age_ms: 312,
        home: "front-1".into(),
        closed_ms: 1_480,
    }
}

// An operator looks which servers are in need, and a script does.
#[test]
fn command_lists_servers_that_limit_their_rate() {
    let table = "server  service  per second  said       permits from  closed for\n\
                 e1      pool     2.25        0.3 s ago  front-1       1.5 s\n";
    assert_eq!(limits(&[&standin(&[entry()])]), (Some(0), table.to_owned()));
    let json = serde_json::to_string(&[entry()]).unwrap() + "\n";
    assert_eq!(limits(&["--json", &standin(&[entry()])]), (Some(0), json));
    assert_eq!(limits(&[&standin(&[])]), (Some(0), "no server limits its rate\n".to_owned()));
}

#[test]
fn command_says_what_was_expected() {
    let (status, text) = limits(&["front-1"]);
    assert_eq!(status, Some(2), "{text}");
    assert!(text.contains("`front-1` is no address: expected IP:PORT"), "{text}");
}
