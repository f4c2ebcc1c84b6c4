//! Replies that were not made for their commands, by the time they come and by their content.

use pipeline::{BoxLatencies, ForeignReplyDetector, LatencyContext, ReplyArrival, SettleDelay, ValueVariety};

const MS: u64 = 1_000_000;
/// Responses from which the round trip to a box is known.
const ENOUGH: usize = 8;

fn arrival(latency_ms: u64, fingerprint: u64) -> ReplyArrival {
    ReplyArrival { latency: Some(latency_ms * MS), fingerprint, served: true, write: false }
}

/// A box that has answered `count` times after this time and connects within half of it.
fn answers_after(latency: u64, count: usize) -> BoxLatencies {
    let mut latencies = BoxLatencies::NONE;
    latencies.record_connect(latency / 2);
    (0..count).for_each(|_| latencies.record_own_response(latency));
    latencies
}

/// Where consecutive values were compared 16 times and differed.
fn values_that_differ() -> ValueVariety {
    let mut variety = ValueVariety::default();
    let mut connection = ForeignReplyDetector::default();
    (0..17).for_each(|value| connection.record(&arrival(40, value), &mut variety));
    variety
}

/// Whether a reply is foreign on a connection whose last reply had the fingerprint 7.
fn is_foreign_after_7(arrival: &ReplyArrival, variety: &ValueVariety, this_box: &BoxLatencies) -> bool {
    let mut detector = ForeignReplyDetector::default();
    detector.record(&self::arrival(0, 7), &mut variety.clone());
    detector.is_foreign(arrival, variety, LatencyContext { this_box, all_boxes: &BoxLatencies::NONE })
}

// Guards against a second copy that is served to the next request.
#[test]
fn an_equal_value_in_less_than_half_of_the_fastest_response_is_foreign() {
    let (variety, this_box) = (values_that_differ(), answers_after(40 * MS, 1));
    let is_foreign = |arrival| is_foreign_after_7(&arrival, &variety, &this_box);
    assert!(is_foreign(arrival(19, 7)));
    assert!(!is_foreign(arrival(20, 7)));
    assert!(!is_foreign(arrival(19, 8)));
    assert!(!is_foreign(ReplyArrival { latency: None, ..arrival(0, 7) }));
    // Refusals are equal by right.
    assert!(!is_foreign(ReplyArrival { served: false, ..arrival(0, 7) }));
    // A box that has not answered yet, on another connection either, may be as fast as this.
    assert!(!is_foreign_after_7(&arrival(0, 7), &variety, &BoxLatencies::NONE));
}

// Guards against good replies that fail where many keys have the same value, or all receipts are equal.
#[test]
fn an_equal_value_is_not_foreign_where_equal_values_are_usual() {
    let this_box = answers_after(40 * MS, 100);
    let mut variety = ValueVariety::default();
    assert!(!is_foreign_after_7(&arrival(19, 7), &variety, &this_box));
    let mut connection = ForeignReplyDetector::default();
    (0..900).for_each(|number| connection.record(&arrival(40, number / 2), &mut variety));
    assert!(!is_foreign_after_7(&arrival(19, 7), &variety, &this_box));
    // Equal receipts do not keep copies of values from being recognised.
    let receipt = |latency_ms| ReplyArrival { write: true, ..arrival(latency_ms, 1) };
    let mut variety = values_that_differ();
    let mut connection = ForeignReplyDetector::default();
    (0..900).for_each(|_| connection.record(&receipt(40), &mut variety));
    assert!(is_foreign_after_7(&arrival(19, 7), &variety, &this_box));
    let context = LatencyContext { this_box: &this_box, all_boxes: &this_box };
    assert!(!connection.is_foreign(&receipt(19), &variety, context));
}

// Guards against noise that is taken for a reply, and against a rule that speaks from too little.
#[test]
fn a_reply_in_less_than_a_round_trip_is_foreign_once_the_box_is_known() {
    let is_foreign = |latency_ms, this_box: &BoxLatencies| {
        is_foreign_after_7(&arrival(latency_ms, 8), &ValueVariety::default(), this_box)
    };
    assert!(is_foreign(4, &answers_after(40 * MS, ENOUGH)));
    assert!(!is_foreign(5, &answers_after(40 * MS, ENOUGH)));
    assert!(!is_foreign(0, &answers_after(40 * MS, ENOUGH - 1)));
    // The delays of the machine outweigh the times of a box that is next to the proxy.
    assert!(!is_foreign(0, &answers_after(8 * MS, 100)));
    let mut became_fast = answers_after(40 * MS, ENOUGH);
    became_fast.record_own_response(10 * MS);
    assert!(is_foreign(2, &became_fast) && !is_foreign(3, &became_fast));
}

#[test]
fn the_fastest_of_all_boxes_stands_for_a_box_that_is_little_known() {
    let (few, all) = (answers_after(40 * MS, 1), answers_after(20 * MS, ENOUGH));
    let context = LatencyContext { this_box: &few, all_boxes: &all };
    let mut variety = ValueVariety::default();
    let mut detector = ForeignReplyDetector::default();
    // The first reply on a connection is not foreign.
    assert!(!detector.is_foreign(&arrival(0, 8), &variety, context));
    detector.record(&arrival(0, 7), &mut variety);
    assert!(detector.is_foreign(&arrival(2, 8), &variety, context));
    assert!(!detector.is_foreign(&arrival(3, 8), &variety, context));
}

/// How long a connection waits before a read or a write after a served reply.
fn settle_delay_after(
    previous: ReplyArrival,
    write: bool,
    variety: &ValueVariety,
    [this_box, all_boxes]: [&BoxLatencies; 2],
    settle_delay: SettleDelay,
) -> u64 {
    let mut detector = ForeignReplyDetector::default();
    detector.record(&previous, &mut variety.clone());
    detector.settle_delay(write, variety, LatencyContext { this_box, all_boxes }, settle_delay)
}

// Guards against copies that are neither awaited nor recognised: the rule by content speaks only from enough replies.
#[test]
fn a_connection_waits_for_copies_that_would_not_be_recognised() {
    let (known, unknown) = (answers_after(40 * MS, 1), BoxLatencies::NONE);
    let differ = values_that_differ();
    let read = arrival(40, 7);
    let receipt = ReplyArrival { write: true, ..read };
    let refusal = ReplyArrival { served: false, ..read };
    let initial = SettleDelay::new(None);
    let wait = |previous, write, variety: &ValueVariety, boxes| {
        settle_delay_after(previous, write, variety, boxes, initial)
    };
    let short = SettleDelay::INITIAL;
    let long = SettleDelay::INITIAL + 19 * MS;
    let only_known = [&known, &unknown];
    assert_eq!(wait(read, false, &differ, only_known), short);
    // Too few replies were compared, or only those of other sequences.
    assert_eq!(wait(read, false, &ValueVariety::default(), only_known), long);
    for (previous, write) in [(read, true), (receipt, false), (receipt, true)] {
        assert_eq!(wait(previous, write, &differ, only_known), long);
    }
    assert_eq!(wait(refusal, false, &differ, only_known), long);
    // Nothing is known of the box, or of any.
    assert_eq!(wait(read, false, &differ, [&unknown, &known]), long);
    assert_eq!(wait(read, false, &differ, [&unknown, &unknown]), SettleDelay::MAX);
    // A slow box, a box next to the proxy, and no settle delay.
    let slow = answers_after(400 * MS, 1);
    assert_eq!(wait(receipt, false, &differ, [&slow, &unknown]), SettleDelay::MAX);
    let near = answers_after(MS, 1);
    assert_eq!(wait(receipt, false, &differ, [&near, &unknown]), short);
    assert_eq!(settle_delay_after(receipt, false, &differ, only_known, SettleDelay::NONE), 0);
}

// Guards against values behind receipts that are never known to differ because the receipts are equal.
#[test]
fn equal_receipts_keep_only_copies_behind_a_write_from_being_recognised_as_receipts() {
    let this_box = answers_after(40 * MS, 1);
    let mut variety = ValueVariety::default();
    let mut connection = ForeignReplyDetector::default();
    for value in 0..40 {
        let receipt = ReplyArrival { write: true, ..arrival(40, 1) };
        [receipt, receipt, arrival(40, 100 + value)].iter().for_each(|a| connection.record(a, &mut variety));
    }
    let receipt = ReplyArrival { write: true, ..arrival(40, 1) };
    connection.record(&receipt, &mut variety);
    let context = LatencyContext { this_box: &this_box, all_boxes: &this_box };
    assert!(connection.is_foreign(&arrival(19, 1), &variety, context));
    assert!(!connection.is_foreign(&ReplyArrival { write: true, ..arrival(19, 1) }, &variety, context));
    let settle_delay = |write| connection.settle_delay(write, &variety, context, SettleDelay::new(None));
    assert_eq!([false, true].map(settle_delay), [SettleDelay::INITIAL, SettleDelay::INITIAL + 19 * MS]);
}
