//! Settings are checked before anything is bound.

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
fn seeds_are_met_at_the_port_of_peers() {
    let settings = parse(VALID).unwrap();
    let seeds: Vec<String> = settings.seeds.iter().map(ToString::to_string).collect();
    assert_eq!(seeds, ["127.0.0.2:4", "127.0.0.3:4"]);
    assert!(parse(&VALID.replace("127.0.0.2:9, 127.0.0.3:9", "")).unwrap().seeds.is_empty());
}

// A platform that states no bound on the weights' age leaves the setting empty or out.
#[test]
fn bound_on_weights_is_read_where_it_is_stated() {
    let bound = |text: &str| parse(text).unwrap().max_stale_weights.as_secs();
    assert_eq!(bound(VALID), 8);
    assert_eq!(bound(&format!("{VALID}[weights]\noldest_ms =\n")), 8);
    assert_eq!(bound(&format!("{VALID}[weights]\noldest_ms = 15000\n")), 15);
    assert!(parse(&format!("{VALID}[weights]\noldest_ms = soon\n")).is_err());
}

#[test]
fn error_names_section_key_and_what_was_expected() {
    let missing = parse(&VALID.replace("name = i1\n", "")).unwrap_err();
    assert_eq!(missing.to_string(), "[instance] name: missing; expected a name");
    let wrong = parse(&VALID.replace("callers = 127.0.0.1:1", "callers = here")).unwrap_err();
    assert_eq!(wrong.to_string(), "[listen] callers = here: expected IP:PORT");
    let seeds = parse(&VALID.replace("127.0.0.3:9", "there:9")).unwrap_err();
    assert!(matches!(seeds, Error::Value { section: "peers", key: "seeds", .. }));
    let unknown = parse(&VALID.replace("ttl_ms", "tll_ms")).unwrap_err();
    assert_eq!(unknown.to_string(), "[directory] tll_ms: no such setting");
    assert!(matches!(parse("[x").unwrap_err(), Error::File { .. }));
}
