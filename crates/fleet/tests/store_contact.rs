//! Contact with the store: cut watches, failing calls, and records that vanish around an outage.

use fleet::{CallFailure, ConfirmationRecord, StoreRetry};
use model::MonoTime;
use std::time::Duration;
use testkit::cases;

/// How long a server may stay in use after its record vanished, as in the gateway.
const VANISHED_TTL: Duration = Duration::from_millis(1_800);

fn at(millis: u64) -> MonoTime {
    MonoTime(millis * 1_000)
}

/// Plays calls, each with its failure if any, and compares whether the store counts as failing after
/// each, and the delay before the next in milliseconds.
fn check_calls(calls: &[Option<CallFailure>], expected: &[(bool, u64)]) {
    let mut retry = StoreRetry::default();
    let seen: Vec<(bool, u64)> = calls
        .iter()
        .map(|call| {
            let Some(failure) = call else {
                retry.record_success();
                return (false, 0);
            };
            let is_failing = retry.record_failure(*failure);
            assert_eq!(retry.is_unsure(), !is_failing);
            (is_failing, u64::try_from(retry.delay().as_millis()).expect("a short delay"))
        })
        .collect();
    assert_eq!(seen, expected);
}

const CUT: Option<CallFailure> = Some(CallFailure::Broken);
const SILENT: Option<CallFailure> = Some(CallFailure::NoReply);

cases! { check_calls {
    // Watches that were cut four times in a row delayed the news of a server by up to 0.8 s more.
    cut_watches_are_checked_at_once: (
        &[CUT, None, CUT, None, CUT],
        &[(false, 20), (false, 0), (false, 20), (false, 0), (false, 20)],
    );
    a_store_that_breaks_connections_is_called_ever_less: (
        &[CUT, CUT, CUT, CUT, CUT, CUT, None],
        &[(false, 20), (true, 100), (true, 200), (true, 400), (true, 800), (true, 800), (false, 0)],
    );
    a_store_without_replies_is_not_checked: (
        &[SILENT, SILENT, CUT, None],
        &[(true, 100), (true, 200), (true, 400), (false, 0)],
    );
} }

/// What an instance learns of the store, with times in milliseconds.
#[derive(Debug, Clone, Copy)]
enum Contact {
    /// A confirmation that arrives at a time, with its age.
    Confirmed(u64, u64),
    /// A call that failed at a time.
    Failed(u64),
}
use Contact::{Confirmed, Failed};

fn play(contacts: &[Contact]) -> ConfirmationRecord {
    let mut record = ConfirmationRecord::default();
    for contact in contacts {
        match contact {
            Confirmed(arrival, age) => record.record(at(*arrival), at(arrival - age)),
            Failed(time) => record.record_failure(at(*time)),
        }
    }
    record
}

/// Plays contacts and compares until when the owner of a record that vanishes at `now` may live; `None` if it is
/// gone.
fn check_vanished(contacts: &[Contact], now: u64, expected: Option<u64>) {
    let record = play(contacts);
    assert_eq!(record.may_live_until(at(now), VANISHED_TTL), expected.map(at));
}

cases! { check_vanished {
    never_confirmed: (&[], 9_000, None);
    while_the_store_works: (&[Confirmed(1_000, 0), Confirmed(2_000, 0), Confirmed(3_000, 300)], 3_500, None);
    // A watch that is cut is followed by a call that confirms the replica.
    after_cut_watches: (
        &[Confirmed(1_000, 0), Confirmed(1_730, 0), Confirmed(2_460, 0), Confirmed(3_190, 0)],
        3_200, None,
    );
    turned_away_beside_others_that_are_served: (
        &[Confirmed(1_000, 0), Failed(2_000), Confirmed(2_300, 900), Failed(3_000), Confirmed(3_300, 900)],
        4_000, None,
    );
    as_the_outage_ends: (
        &[Confirmed(1_000, 0), Failed(5_000), Confirmed(6_000, 0)], 6_000, Some(7_800),
    );
    soon_after_the_outage: (
        &[Confirmed(1_000, 0), Failed(5_000), Confirmed(6_000, 0), Confirmed(7_000, 0)],
        7_700, Some(7_800),
    );
    later: (
        &[
            Confirmed(1_000, 0), Failed(5_000), Confirmed(6_000, 0), Confirmed(7_000, 0),
            Confirmed(8_000, 0),
        ],
        8_000, None,
    );
    while_it_lasts: (&[Confirmed(1_000, 0), Failed(2_300)], 3_500, Some(5_300));
    an_old_confirmation_ends_no_outage: (
        &[Confirmed(1_000, 0), Failed(2_300), Confirmed(3_500, 2_400)], 3_600, Some(5_400),
    );
    // Servers were used for 1.8 s after the store had removed them, since all that watched it were lost.
    nobody_called_the_store: (&[Confirmed(1_000, 0), Confirmed(3_500, 0)], 3_600, None);
    nobody_calls_the_store: (&[Confirmed(1_000, 0)], 3_500, None);
    a_call_that_failed_before_the_silence: (
        &[Failed(900), Confirmed(1_000, 0), Confirmed(3_500, 0)], 3_600, None,
    );
    // The store may have returned soon after the last call that failed.
    nobody_called_the_store_after_a_failure: (
        &[Confirmed(1_000, 0), Failed(2_300), Confirmed(5_000, 0)], 5_000, Some(5_300),
    );
    nobody_called_it_for_long_after_a_failure: (
        &[Confirmed(1_000, 0), Failed(2_300), Confirmed(6_000, 0)], 6_000, None,
    );
} }

/// Plays contacts and compares when a store that is found at `now` to have come back older did so, as estimated.
fn check_returned(contacts: &[Contact], now: u64, expected: u64) {
    let record = play(contacts);
    assert_eq!(record.returned_at(at(now)), at(expected));
}

cases! { check_returned {
    noticed_by_a_watch: (&[Confirmed(1_000, 0)], 1_900, 1_900);
    noticed_after_failed_calls: (&[Confirmed(1_000, 0), Failed(4_000)], 4_800, 4_800);
    noticed_after_silence: (&[Confirmed(1_000, 0)], 9_000, 2_200);
    noticed_first: (&[], 9_000, 9_000);
} }
