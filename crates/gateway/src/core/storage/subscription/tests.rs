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

// Changes that were made while a list went on were taken for new by the watch after it: replaced weights were used for as
// long again as the list took.
#[test]
fn changes_since_the_first_page_of_a_long_list_are_not_new() {
    let mut subscription = subscription();
    subscription.start_call(at(0));
    subscription.pages.add(1, Vec::new(), Version(7));
    subscription.fail_call();
    subscription.start_call(at(60));
    subscription.finish_call(at(60), false);
    subscription.pages = Pages::default();
    subscription.start_call(at(60));
    let basis = subscription.finish_call(at(60), true);
    assert_eq!(basis, Basis { is_live: false, unchanged_until: Some(at(0)) });
}
