//! Replies that were not made for their commands, by the time they come and by their content.

use pipeline::{FastestExchange, ForeignReplyDetector, ReplyArrival};

const MS: u64 = 1_000_000;

fn arrival(latency_ms: u64, fingerprint: u64) -> ReplyArrival {
    ReplyArrival { latency: Some(latency_ms * MS), fingerprint }
}

/// A box that has answered `count` times after 40 ms and connects within 20 ms.
fn answers_after_40_ms(count: usize) -> FastestExchange {
    let mut fastest = FastestExchange::NONE;
    fastest.record_connect(20 * MS);
    (0..count).for_each(|_| fastest.record_response(40 * MS));
    fastest
}

// Guards against a second copy that is served to the next request.
#[test]
fn an_equal_reply_in_less_than_half_of_the_fastest_response_is_foreign() {
    let fastest = answers_after_40_ms(1);
    let mut detector = ForeignReplyDetector::default();
    // The first reply on a connection cannot be a copy.
    assert!(!detector.is_foreign(&arrival(0, 7), &fastest));
    detector.record(7);
    assert!(detector.is_foreign(&arrival(19, 7), &fastest));
    // A hot value, a receipt or a refusal may be equal to the one before it.
    assert!(!detector.is_foreign(&arrival(20, 7), &fastest));
    assert!(!detector.is_foreign(&arrival(19, 8), &fastest));
    assert!(!detector.is_foreign(&ReplyArrival { latency: None, fingerprint: 7 }, &fastest));
}

// Guards against noise that is taken for a reply, and against a rule that speaks from too little.
#[test]
fn a_reply_in_less_than_a_round_trip_is_foreign_once_the_box_is_known() {
    let mut detector = ForeignReplyDetector::default();
    detector.record(7);
    assert!(detector.is_foreign(&arrival(4, 8), &answers_after_40_ms(4)));
    assert!(!detector.is_foreign(&arrival(5, 8), &answers_after_40_ms(4)));
    assert!(!detector.is_foreign(&arrival(4, 8), &answers_after_40_ms(3)));
    assert!(!detector.is_foreign(&arrival(0, 7), &FastestExchange::NONE));
}

#[test]
fn one_fast_response_is_enough_to_expect_more_of_them() {
    let mut fastest = answers_after_40_ms(9);
    let mut detector = ForeignReplyDetector::default();
    detector.record(7);
    assert!(detector.is_foreign(&arrival(2, 7), &fastest));
    fastest.record_response(3 * MS);
    assert!(!detector.is_foreign(&arrival(2, 7), &fastest));
}
