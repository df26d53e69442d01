//! Which tests CI passes over.

#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

use std::{env, fs, path::Path, process::Command};

const TESTS: &str = "fails: test\nfails_too: test\nparts::fails: test\nbench_of_it: benchmark\n";

/// Exit status and output of the script for these entries.
fn known_red(name: &str, entries: &str) -> (Option<i32>, String) {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let file = |suffix: &str, text: &str| {
        let path = env::temp_dir().join(format!("known-red-{}-{name}{suffix}", std::process::id()));
        fs::write(&path, text).unwrap();
        path
    };
    let (entries, tests) = (file(".txt", entries), file(".list", TESTS));
    let mut command = Command::new("bash");
    let output = command.arg(root.join(".ci/known-red")).args([&entries, &tests]).output().unwrap();
    for it in [entries, tests] {
        fs::remove_file(it).unwrap();
    }
    let text = String::from_utf8_lossy(&output.stdout) + String::from_utf8_lossy(&output.stderr);
    (output.status.code(), text.into_owned())
}

#[test]
fn entries_pass_over_their_own_tests_and_no_others() {
    let entries = "test fails `cargo test`, seed 7. Seen: *.\n\nday some-day on a site: test fails_too\ntest parts::fails last, without a line's end";
    assert_eq!(known_red("own", entries), (Some(0), "fails\nparts::fails\n".to_owned()));
    assert_eq!(known_red("none", ""), (Some(0), String::new()));
}

#[test]
fn entry_that_names_no_test_fails() {
    for (number, entries) in [
        "test fail it is a part of a name",
        "test fails_to",
        "test",
        "fails as before",
        "test bench_of_it",
    ]
    .iter()
    .enumerate()
    {
        let (status, text) = known_red(&format!("bad{number}"), entries);
        assert_eq!(status, Some(1), "{entries}: {text}");
        assert!(text.contains(":1: "), "{text}");
    }
}
