use std::{net::SocketAddr, time::Duration};

use shallotlead_base::time::Time;

use super::Stores;

// A report that a store is down arrives again after the store came back. Applied, it would have prompts computed
// anew for seconds instead of fetched from the store.
#[test]
fn late_report_does_not_replace_a_newer_one() {
    let address: SocketAddr = "10.0.0.1:80".parse().expect("an address");
    let mut stores = Stores::default();
    stores.update(&[address]);
    let time = |ms: u64| Time::from_millis(1_000_000 + ms);
    stores.record_peer_report(time(500), address, true);
    stores.record_peer_report(time(100), address, false);
    assert_eq!(stores.store_for(time(600), 7), Some(address));
    stores.record_peer_report(time(700), address, false);
    assert_eq!(stores.store_for(time(800), 7), None);
    stores.record_peer_report(time(900), address, true);
    assert_eq!(
        stores.store_for(time(900) + Duration::from_secs(5), 7),
        None,
        "the report has expired"
    );
}
