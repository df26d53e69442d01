use super::*;

/// A time some seconds after the start.
fn at(seconds: u64) -> Time {
    Time::ZERO + Duration::from_secs(100 + seconds)
}

fn subscription() -> Subscription {
    Subscription::new("servers", Topic::Platform(ObjectKind::Servers), at(0))
}

// Instances that started while the store was away listed the servers only up to 5 s after its return.
#[test]
fn calls_that_are_lost_delay_no_list() {
    let mut subscription = subscription();
    (0..10).for_each(|_| subscription.fail_call());
    assert!(subscription.list_delay() <= RETRY_DELAY, "{:?}", subscription.list_delay());
}

// A list that the store rejects again and again must not be asked for without a pause.
#[test]
fn rejected_lists_are_delayed_until_one_is_read() {
    let mut subscription = subscription();
    (0..10).for_each(|_| subscription.reject_list());
    assert_eq!(subscription.list_delay(), MAX_LIST_DELAY);
    subscription.finish_call(at(1), false);
    assert_eq!(subscription.list_delay(), Duration::ZERO);
}
