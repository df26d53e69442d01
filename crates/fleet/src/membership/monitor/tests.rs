//! Tests of the monitoring of one member.

use std::time::Duration;

use shallotlead_base::time::Time;

use crate::membership::monitor::Monitor;

const NOW: Time = Time::from_millis(100_000);

fn after(millis: u64) -> Time {
    NOW + Duration::from_millis(millis)
}

#[test]
fn silent_member_is_probed_then_suspected() {
    let mut monitor = Monitor::new(NOW, Time::ZERO);
    assert!(!monitor.take_probe(after(700), 0));
    assert!(monitor.take_probe(after(760), 0));
    assert!(!monitor.take_probe(after(900), 0));
    assert!(monitor.take_probe(after(970), 0));
    assert!(!monitor.is_silent(after(1_100), 0));
    assert!(monitor.is_silent(after(1_200), 0));
    assert!(!monitor.is_silent(after(1_200), 1));
    monitor.record_contact(after(1_200));
    assert!(!monitor.is_silent(after(2_300), 0));
}

// Guards against new members being declared dead right after they join: opening a link takes a second
// and more on a busy machine, and no heartbeat arrives before.
#[test]
fn new_member_has_time_to_open_its_links() {
    let mut monitor = Monitor::new(NOW, NOW);
    assert!(!monitor.take_probe(after(2_500), 0));
    assert!(!monitor.is_silent(after(3_000), 0));
    assert!(monitor.is_silent(after(3_200), 0));
    // After its first message the usual timeouts apply.
    monitor.record_contact(after(500));
    assert!(monitor.is_silent(after(1_700), 0));
}
