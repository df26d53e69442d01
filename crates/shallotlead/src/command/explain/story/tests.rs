use super::{read, story, write};

const LOG: &str = r#"
front-1 {"time_ms":1000,"instance":"i1","event":"sent","request":"r1","server":"s1","wait_ms":2.5}
{"time_ms":1010,"instance":"i1","event":"sent","request":"r2","server":"s2","wait_ms":0}
{"time_ms":1300,"instance":"i2","event":"server_left_out","server":"s1","reason":"silent"}
{"time_ms":1350,"instance":"i1","event":"broken","request":"r1","server":"s1","reason":"silent"}
not a line
{"time_ms":1349,"instance":"i1","event":"store_lost","outcome":"lost","call":"lease"}
{"time_ms":1351,"instance":"i1","event":"failed","request":"r1","status":502,"reason":"silent"}
{"time_ms":9000,"instance":"i1","event":"server_taken_in","server":"s1","reason":"probe answered"}
{"time_ms":1340,"instance":"i2","event":"server_left_out","server":"s9","reason":"silent"}
"#;

// An engineer has the id of a failed request and the lines of all instances. The story must name the
// server that it met, and that another instance had found it silent before.
#[test]
fn story_has_what_was_learnt_of_the_servers() {
    let lines = read(LOG.as_bytes()).unwrap();
    let mut out = Vec::new();
    write(&mut out, &story(&lines, "r1"), "r1").unwrap();
    let text = String::from_utf8(out).unwrap();
    assert_eq!(text.lines().count(), 5, "{text}");
    assert!(text.contains("    300 ms · i2               server_left_out"), "{text}");
    assert!(text.contains("wait_ms=2.5") && text.contains("status=502"), "{text}");
    assert!(!text.contains("r2") && !text.contains("s9"), "{text}");
    assert!(text.contains("store_lost"), "{text}");
}

#[test]
fn unknown_request_has_no_story() {
    let lines = read(LOG.as_bytes()).unwrap();
    assert!(story(&lines, "r7").is_empty());
}
