//! Readiness of an instance whose tasks panic.

use fleet::PanicRecord;
use model::MonoTime;
use testkit::cases;

/// Steps at one time: `true` is a panic, `false` a request that was served.
fn check_unready(steps: &[bool], after_s: u64, is_unready: bool) {
    let mut record = PanicRecord::default();
    for is_panic in steps {
        if *is_panic {
            record.record_panic(MonoTime(1_000_000));
        } else {
            record.record_success();
        }
    }
    assert_eq!(record.is_unready(MonoTime(1_000_000 + after_s * 1_000_000)), is_unready);
}

cases! { check_unready {
    no_panic: (&[], 0, false);
    a_few: (&[true; 4], 0, false);
    many_in_a_row: (&[true; 5], 0, true);
    many_with_success_between: (&[true, true, true, false, true, true, true], 0, false);
    served_again: (&[true, true, true, true, true, false], 0, false);
    long_ago: (&[true; 5], 6, false);
} }
