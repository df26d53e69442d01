//! How much later than expected prompts begin, as learned from their starts.

use std::time::Duration;

use shallotlead_gateway::start_delay::StartDelay;

const EXPECTED: Duration = Duration::from_millis(200);

// Prompts that begin late must make placement leave more time before a limit, and at once: the next ones are late too.
#[test]
fn delay_follows_late_starts_soon_and_prompt_ones_slowly() {
    let mut delay = StartDelay::default();
    let at_first = delay.get();
    for _ in 0..300 {
        delay.observe(EXPECTED, EXPECTED);
    }
    let in_calm = delay.get();
    assert!(in_calm < at_first / 4, "{in_calm:?} {at_first:?}");
    for _ in 0..4 {
        delay.observe(EXPECTED, EXPECTED + Duration::from_millis(1_500));
    }
    assert!(Duration::from_millis(1_200) <= delay.get(), "{:?}", delay.get());
}

#[test]
fn delay_covers_nearly_all_starts() {
    let mut delay = StartDelay::default();
    let late_ms = |number: u64| number * 7_919 % 1_000;
    let mut beyond = 0;
    for number in 0..20_000 {
        let took = EXPECTED + Duration::from_millis(late_ms(number));
        beyond += u32::from(10_000 <= number && delay.get() < took - EXPECTED);
        delay.observe(EXPECTED, took);
    }
    assert!((50..200).contains(&beyond), "{beyond} of 10,000 begin after the delay");
}
