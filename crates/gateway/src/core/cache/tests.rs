use std::{net::SocketAddr, time::Duration};

use shallotlead_base::time::Time;

use super::Stores;

// A rumour that a store is down is repeated after the store came back: prompts would be read again for seconds.
#[test]
fn late_rumour_doesn_t_hide_a_later_word() {
    let address: SocketAddr = "10.0.0.1:80".parse().expect("an address");
    let mut stores = Stores::default();
    stores.update(&[address]);
    let at = |ms: u64| Time::from_millis(1_000_000 + ms);
    stores.record_peer_report(at(500), address, true);
    stores.record_peer_report(at(100), address, false);
    assert_eq!(stores.store_for(at(600), 7), Some(address));
    stores.record_peer_report(at(700), address, false);
    assert_eq!(stores.store_for(at(800), 7), None);
    stores.record_peer_report(at(900), address, true);
    assert_eq!(stores.store_for(at(900) + Duration::from_secs(5), 7), None, "it is too old");
}
