//! The retry budget is kept over all instances together, for any distribution of the requests.

mod support;

use balance::RetryWindow;
use proptest::prelude::*;
use support::{BUDGET, at};

proptest! {
    #[test]
    fn no_window_exceeds_the_budget(
        events in prop::collection::vec((0_usize..4, 0_u64..40, any::<bool>()), 1..2_000),
    ) {
        let mut windows: Vec<RetryWindow> = (0..4).map(|_| RetryWindow::new(BUDGET)).collect();
        for window in &mut windows {
            window.set_extra_share(0.25);
        }
        let mut now = 0;
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for (instance, delay_ms, is_request) in events {
            now += delay_ms;
            if is_request {
                windows[instance].record_request(at(now));
                requests.push(now);
            } else if windows[instance].take_retry(at(now), 0.0) {
                retries.push(now);
            }
        }
        for end in &retries {
            let in_window = |time: &&u64| **time + 10_000 > *end && **time <= *end;
            let retried = retries.iter().filter(in_window).count() as f64;
            // The bound is strict: of the requests before the window, only those of its last 200 ms
            // count, which the buckets may still contain.
            let counted = requests.iter().filter(|time| **time + 10_200 > *end && **time <= *end);
            let allowed = counted.count() as f64 * BUDGET.ratio + BUDGET.extra;
            prop_assert!(retried <= allowed, "{retried} retries, {allowed} allowed");
        }
    }
}

#[test]
fn an_instance_without_a_share_allows_no_retry_before_requests() {
    let mut window = RetryWindow::new(BUDGET);
    assert!(!window.take_retry(at(1), 0.0));
}

#[test]
fn a_reserve_is_left_for_failures() {
    let mut window = RetryWindow::new(BUDGET);
    window.set_extra_share(0.5);
    let hedges = (0..100).filter(|_| window.take_retry(at(1), 0.4)).count();
    assert_eq!(hedges, 18);
    assert!(window.take_retry(at(1), 0.0));
}

/// Without a reserve the earliest requests used up the budget regardless of their priority while
/// servers shed half of their requests.
#[test]
fn low_priorities_leave_retries_to_higher_ones() {
    let mut window = RetryWindow::new(BUDGET);
    window.set_extra_share(0.55);
    let taken = |window: &mut RetryWindow, priority| {
        let reserve = RetryWindow::reserve_for_priority(priority);
        (0..100).filter(|_| window.take_retry(at(1), reserve)).count()
    };
    assert_eq!([7, 2, 1, 0].map(|priority| taken(&mut window, priority)), [13, 6, 7, 7]);
}
