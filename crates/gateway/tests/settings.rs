//! Parsing and validation of the settings file.

use shallotlead_gateway::settings::{Error, parse};

const VALID: &str = "\
[instance]\nname = i1\ndata_centre = a\n\
[listen]\ncallers = 127.0.0.1:1\nready = 127.0.0.1:2\ndirectory = 127.0.0.1:3\n\
peers = 127.0.0.1:4\nmetrics = 127.0.0.1:5\n\
[store]\naddress = 127.0.0.1:6\nreads_per_second = 2000\nwrites_per_second = 400\n\
[peers]\nseeds = 127.0.0.2:9, 127.0.0.3:9\n[directory]\nttl_ms = 5000\n\
[retries]\nratio = 0.2\nwindow_ms = 10000\nslack = 54\n\
[orders]\ngap_ms = 3000\n[shutdown]\ngrace_ms = 8000\n[log]\nlines_per_second = 400\n";

#[test]
fn seeds_get_the_port_of_the_peers_listener() {
    let settings = parse(VALID).unwrap();
    let seeds: Vec<String> = settings.seeds.iter().map(ToString::to_string).collect();
    assert_eq!(seeds, ["127.0.0.2:4", "127.0.0.3:4"]);
    assert!(parse(&VALID.replace("127.0.0.2:9, 127.0.0.3:9", "")).unwrap().seeds.is_empty());
}

// A platform that states no limit on stale weights leaves the setting empty or out.
#[test]
fn limit_on_stale_weights_has_a_default() {
    let max_stale_weights = |text: &str| parse(text).unwrap().max_stale_weights.as_secs();
    assert_eq!(max_stale_weights(VALID), 8);
    assert_eq!(max_stale_weights(&format!("{VALID}[weights]\noldest_ms =\n")), 8);
    assert_eq!(max_stale_weights(&format!("{VALID}[weights]\noldest_ms = 15000\n")), 15);
    assert!(parse(&format!("{VALID}[weights]\noldest_ms = soon\n")).is_err());
}

#[test]
fn error_has_section_key_and_expected_value() {
    let missing = parse(&VALID.replace("name = i1\n", "")).unwrap_err();
    assert_eq!(missing.to_string(), "[instance] name: missing; expected a name");
    let invalid = parse(&VALID.replace("callers = 127.0.0.1:1", "callers = here")).unwrap_err();
    assert_eq!(invalid.to_string(), "[listen] callers = here: expected IP:PORT");
    let seeds = parse(&VALID.replace("127.0.0.3:9", "there:9")).unwrap_err();
    assert!(matches!(seeds, Error::Value { section: "peers", key: "seeds", .. }));
    let unknown = parse(&VALID.replace("ttl_ms", "tll_ms")).unwrap_err();
    assert_eq!(unknown.to_string(), "[directory] tll_ms: no such setting");
    assert!(matches!(parse("[x").unwrap_err(), Error::File { .. }));
}
