//! Parsing and validation of the settings file.

use std::time::Duration;

use shallotlead_gateway::settings::{Error, parse};

const VALID: &str = "\
[instance]\nname = i1\ndata_centre = a\n\
[listen]\ncallers = 127.0.0.1:1\nready = 127.0.0.1:2\ndirectory = 127.0.0.1:3\n\
peers = 127.0.0.1:4\nmetrics = 127.0.0.1:5\n\
[store]\naddress = 127.0.0.1:6\nreads_per_second = 2000\nwrites_per_second = 400\n\
[peers]\nseeds = 127.0.0.2:9, 127.0.0.3:9\n[directory]\nttl_s = 5\n\
[retries]\nratio = 0.2\nwindow_s = 10\nslack = 54\n\
[orders]\ngap_ms = 3000\n[shutdown]\ngrace_s = 8\n[log]\nlines_per_second = 400\n";

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

// Without its machine's limit, an instance would hold what the platform ends it for.
#[test]
fn memory_of_the_machine_is_set_or_what_the_system_says() {
    let memory_bytes = |text: &str| parse(text).unwrap().memory_bytes;
    assert_eq!(memory_bytes(&format!("{VALID}[memory]\nlimit_mb = 110\n")), 110_000_000);
    assert_eq!(memory_bytes(&format!("{VALID}[memory]\nlimit_mb = 0.5\n")), 500_000);
    assert!(0 < memory_bytes(VALID));
    assert_eq!(memory_bytes(&format!("{VALID}[memory]\nlimit_mb =\n")), memory_bytes(VALID));
    assert!(parse(&format!("{VALID}[memory]\nlimit_mb = much\n")).is_err());
    // It would refuse every body.
    assert!(parse(&format!("{VALID}[memory]\nlimit_mb = 0\n")).is_err());
}

// Without its process's limit, an instance would let callers take the descriptors that it needs for servers.
#[test]
fn descriptors_of_the_process_are_set_or_what_the_system_says() {
    let max_descriptors = |text: &str| parse(text).unwrap().max_descriptors;
    assert_eq!(max_descriptors(&format!("{VALID}[descriptors]\nlimit = 4100\n")), 4_100);
    assert!(256 <= max_descriptors(VALID));
    let empty = format!("{VALID}[descriptors]\nlimit =\n");
    assert_eq!(max_descriptors(&empty), max_descriptors(VALID));
    for limit in ["many", "255", "-1"] {
        assert!(parse(&format!("{VALID}[descriptors]\nlimit = {limit}\n")).is_err());
    }
}

#[test]
fn error_has_section_key_and_expected_value() {
    let missing = parse(&VALID.replace("name = i1\n", "")).unwrap_err();
    assert_eq!(missing.to_string(), "[instance] name: missing; expected a name");
    let invalid = parse(&VALID.replace("callers = 127.0.0.1:1", "callers = here")).unwrap_err();
    assert_eq!(invalid.to_string(), "[listen] callers = here: expected IP:PORT");
    let seeds = parse(&VALID.replace("127.0.0.3:9", "there:9")).unwrap_err();
    assert!(matches!(seeds, Error::Value { section: "peers", key: "seeds", .. }));
    let unknown = parse(&VALID.replace("ttl_s", "tll_s")).unwrap_err();
    assert_eq!(unknown.to_string(), "[directory] tll_s: no such setting");
    assert!(matches!(parse("[x").unwrap_err(), Error::File { .. }));
}

// A grace period of 7.5 s taken for 7.5 ms ends the process on SIGTERM with all its requests.
#[test]
fn durations_may_have_fractions() {
    let text = VALID.replace("grace_s = 8", "grace_s = 7.5").replace("ttl_s = 5", "ttl_s = 0.25");
    let settings = parse(&text).unwrap();
    assert_eq!(settings.shutdown_grace, Duration::from_millis(7_500));
    assert_eq!(settings.directory_ttl, Duration::from_millis(250));
}

// A value that can't be what it says must end the start, not the requests.
#[test]
fn numbers_out_of_range_are_errors() {
    let settings = ["grace_s = 8", "ttl_s = 5", "gap_ms = 3000", "ratio = 0.2", "slack = 54"];
    for (setting, value) in
        settings.iter().flat_map(|it| ["-1", "nan", "inf", "1e300", "8s"].map(|value| (it, value)))
    {
        let (key, _) = setting.split_once(" = ").unwrap();
        let err = parse(&VALID.replace(setting, &format!("{key} = {value}"))).unwrap_err();
        let Error::Value { key: named, found, expected, .. } = err else { panic!("{err}") };
        assert_eq!((named, found.as_str()), (key, value));
        assert!(expected.contains("from 0 to"), "{expected}");
    }
}

// A platform that has no such rule leaves its bound empty: the process ended at its start.
#[test]
fn settings_without_a_value_have_defaults() {
    let keys = [
        "reads_per_second = 2000",
        "writes_per_second = 400",
        "ttl_s = 5",
        "ratio = 0.2",
        "window_s = 10",
        "slack = 54",
        "gap_ms = 3000",
        "grace_s = 8",
        "seeds = 127.0.0.2:9, 127.0.0.3:9",
        "lines_per_second = 400",
    ];
    for setting in keys {
        let (key, _) = setting.split_once(" = ").unwrap();
        let empty = VALID.replace(setting, &format!("{key} ="));
        assert_ne!(empty, VALID);
        parse(&empty).unwrap_or_else(|it| panic!("{setting}: {it}"));
    }
}

// Whole numbers that are written with a fraction or an exponent ended the process at its start.
#[test]
fn numbers_may_be_written_in_any_way() {
    let with = |setting: &str, value: &str| {
        let (key, _) = setting.split_once(" = ").unwrap();
        parse(&VALID.replace(setting, &format!("{key} = {value}"))).unwrap()
    };
    let limit = |value: &str| {
        parse(&format!("{VALID}[descriptors]\nlimit = {value}\n")).unwrap().max_descriptors
    };
    for value in ["4100", "4100.0", "4.1e3", "+4100"] {
        assert_eq!(limit(value), 4_100, "{value}");
    }
    assert_eq!(limit("1e30"), limit("1000000000"));
    assert_eq!(with("reads_per_second = 2000", "2e3").store_calls_per_s.0, 2_000.0);
    assert_eq!(with("gap_ms = 3000", "3000.0").order_gap, Duration::from_secs(3));
    assert_eq!(with("slack = 54", "54.5").retries.slack, 54.5);
    for (key, value) in [("limit_mb", "110.5"), ("limit_mb", "1.1e2")] {
        parse(&format!("{VALID}[memory]\n{key} = {value}\n")).unwrap();
    }
    parse(&format!("{VALID}[link]\nmbit_per_second = 1e3\n")).unwrap();
}

// Names that the file's format has a meaning for ended the process at its start, or were cut.
#[test]
fn names_may_have_any_characters() {
    for name in ["a\\b", "\"a\" b", "'a", "a;b", "a#b", "a=b", "a:b", "a[b]", "\u{e9}", "$a", "a b"]
    {
        let text = VALID.replace("name = i1", &format!("name = {name}"));
        let settings = parse(&text).unwrap_or_else(|it| panic!("{name}: {it}"));
        assert_eq!(&*settings.name, name);
    }
}
