//! Tests of the limits on bodies in memory.

use bytes::Bytes;
use futures::stream;
use http_body_util::StreamBody;
use hyper::body::Frame;
use link::{BodyBudget, BodyError, read_body};
use std::convert::Infallible;
use testkit::cases;

/// A body of `parts` parts of 100 bytes each.
fn body(parts: usize) -> impl hyper::body::Body<Data = Bytes, Error = Infallible> {
    let part = || Ok(Frame::data(Bytes::from_static(&[b'x'; 100])));
    StreamBody::new(stream::iter((0..parts).map(move |_| part())))
}

/// Length of a body that was read, or why it was not.
fn describe(result: &Result<(Bytes, link::HeldBytes), BodyError<Infallible>>) -> String {
    match result {
        Ok((body, _)) => body.len().to_string(),
        Err(cause) => cause.to_string(),
    }
}

fn check_body(parts: usize, limit: usize, budget: usize, expected: &str) {
    let budget = BodyBudget::new(budget);
    let result = futures::executor::block_on(read_body(body(parts), limit, &budget));
    assert_eq!(describe(&result), expected);
    let held = result.as_ref().map_or(0, |(body, _)| body.len());
    assert_eq!(budget.used(), held);
    drop(result);
    assert_eq!(budget.used(), 0);
}

cases! { check_body {
    empty: (0, 1_000, 1_000, "0");
    one_part: (1, 1_000, 1_000, "100");
    several_parts: (10, 1_000, 1_000, "1000");
    over_its_limit: (11, 1_000, 10_000, "body exceeds the length limit");
    over_the_budget: (11, 10_000, 1_000, "memory for bodies is used up");
    without_end: (usize::MAX, 1_000_000, 10_000_000, "body exceeds the length limit");
} }

/// Bodies counted only once they were whole, so many at once exceeded the memory of an instance.
#[test]
fn bodies_in_progress_count_against_the_budget() {
    let budget = BodyBudget::new(1_000);
    let first = futures::executor::block_on(read_body(body(6), 10_000, &budget));
    let second = futures::executor::block_on(read_body(body(6), 10_000, &budget));
    assert_eq!(describe(&first), "600");
    assert_eq!(describe(&second), "memory for bodies is used up");
    drop(first);
    let third = futures::executor::block_on(read_body(body(6), 10_000, &budget));
    assert_eq!(describe(&third), "600");
}
