//! Ports of listeners that come back.

// Helpers outside `#[test]` functions are tests as well.
#![allow(clippy::unwrap_used)]

use std::{
    fs,
    net::{IpAddr, Ipv4Addr},
};

use shallotlead_standin::{platform, port};

const IP: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// The first port that the system gives to connections, and to listeners that name none.
fn first_of_the_system() -> u16 {
    let range = fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range").unwrap();
    range.split_whitespace().next().unwrap().parse().unwrap()
}

// A stand-in is killed, another process gets its port for a connection, and it can't come back for seconds.
#[test]
fn ports_of_listeners_are_not_those_that_the_system_gives_to_others() {
    for _ in 0..20 {
        assert!(port::free(IP).unwrap().port() < first_of_the_system());
    }
    let platform = platform::bind(platform::Settings::default()).unwrap();
    assert!(platform.address().port() < first_of_the_system());
}
