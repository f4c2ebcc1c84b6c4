//! Which connection one more command goes to, by lists of connections.

use pipeline::{
    choose_connection, BoxLatencies, CommandKind, ConnectionState, LatencyContext, LatencyHistogram,
    PipelineConfig, Placement, PlacementPolicy, PlacementRequest,
};

const MS: u64 = 1_000_000;
const NOW: u64 = 1_000 * MS;
const READ: CommandKind = CommandKind { write: false, large_value: false };

fn limits(placing: PlacementPolicy) -> PipelineConfig {
    PipelineConfig { placement: placing, max_depth: [4, 2], ..PipelineConfig::default() }
}

/// A box that answers in 4 to 6 ms, the next 1 ms later, and takes 2 ms for a connection.
fn known() -> BoxLatencies {
    let mut times = BoxLatencies::default();
    for i in 0..200 {
        times.record_answer(READ, false, (4 + i % 3) * MS, 0);
        times.record_answer(READ, true, 0, MS);
        times.record_connect(2 * MS);
    }
    times
}

fn busy(key: u32, depth: usize, head_ms: u64, history: &LatencyHistogram) -> ConnectionState<'_, u32> {
    ConnectionState {
        key,
        connected: true,
        active_since: NOW,
        writable_at: 0,
        depth,
        head_age: Some(head_ms * MS),
        latency: history,
        same_kind: true,
    }
}

fn asked(room: bool) -> PlacementRequest {
    PlacementRequest { kind: READ, target_time: NOW + 100 * MS, may_open: room }
}

fn choose(
    ask: PlacementRequest,
    all: &[ConnectionState<'_, u32>],
    times: &BoxLatencies,
    limits: &PipelineConfig,
) -> Placement<u32> {
    choose_connection(
        &ask,
        all.iter().copied(),
        LatencyContext { this_box: times, all_boxes: &BoxLatencies::NONE },
        limits,
        NOW,
    )
}

#[test]
fn an_idle_connection_is_taken_first_and_the_one_used_last() {
    let none = LatencyHistogram::default();
    let idle = |key, ms: u64| ConnectionState {
        depth: 0,
        head_age: None,
        active_since: NOW - ms * MS,
        ..busy(key, 0, 0, &none)
    };
    for placing in [PlacementPolicy::Fixed, PlacementPolicy::Expected] {
        let all = [busy(1, 1, 0, &none), idle(2, 900), idle(3, 10)];
        assert_eq!(choose(asked(true), &all, &known(), &limits(placing)), Placement::Idle(3));
    }
}

#[test]
fn the_fixed_rule_opens_one_before_it_queues_and_queues_where_least_is() {
    let none = LatencyHistogram::default();
    let all = [busy(1, 3, 0, &none), busy(2, 2, 0, &none), busy(3, 4, 0, &none)];
    let fixed = limits(PlacementPolicy::Fixed);
    assert_eq!(choose(asked(true), &all, &known(), &fixed), Placement::New);
    assert_eq!(choose(asked(false), &all, &known(), &fixed), Placement::Pipelined(2));
    assert_eq!(choose(asked(false), &all[2..], &known(), &fixed), Placement::Full);
    // Writes have a bound of their own.
    let write = PlacementRequest { kind: CommandKind { write: true, large_value: false }, ..asked(false) };
    assert_eq!(choose(write, &all, &known(), &fixed), Placement::Full);
}

#[test]
fn behind_a_head_that_is_nearly_done_is_cheaper_than_a_handshake_and_behind_an_old_one_is_not() {
    let none = LatencyHistogram::default();
    let expected = limits(PlacementPolicy::Expected);
    let (young, old) = (busy(1, 1, 4, &none), busy(2, 1, 60, &none));
    assert_eq!(choose(asked(true), &[young, old], &known(), &expected), Placement::Pipelined(1));
    assert_eq!(choose(asked(true), &[old], &known(), &expected), Placement::New);
    // Without room it is still better than nothing, if it is in time.
    assert_eq!(choose(asked(false), &[old], &known(), &expected), Placement::Pipelined(2));
    let hurried = PlacementRequest { target_time: NOW + 50 * MS, ..asked(false) };
    assert_eq!(choose(hurried, &[old], &known(), &expected), Placement::Full);
    assert_eq!(choose(hurried, &[old], &known(), &limits(PlacementPolicy::Fixed)), Placement::Pipelined(2));
    // A box that takes the commands of a connection one by one: each ahead costs its whole time.
    let mut serial = known();
    (0..600).for_each(|_| serial.record_answer(READ, true, 0, 20 * MS));
    assert_eq!(choose(asked(true), &[busy(1, 2, 0, &none)], &serial, &expected), Placement::New);
    assert_eq!(choose(asked(true), &[busy(1, 3, 4, &none)], &known(), &expected), Placement::Pipelined(1));
}

#[test]
fn with_too_little_evidence_the_fixed_rule_holds() {
    let none = LatencyHistogram::default();
    let mut thin = BoxLatencies::default();
    for _ in 0..7 {
        thin.record_answer(READ, false, 5 * MS, 0);
        thin.record_connect(2 * MS);
    }
    let all = [busy(1, 1, 4, &none)];
    let expected = limits(PlacementPolicy::Expected);
    assert_eq!(choose(asked(true), &all, &thin, &expected), Placement::New);
    thin.record_answer(READ, false, 5 * MS, 0);
    thin.record_connect(2 * MS);
    assert_eq!(choose(asked(true), &all, &thin, &expected), Placement::Pipelined(1));
}

#[test]
fn a_head_older_than_its_history_takes_nothing_new() {
    let none = LatencyHistogram::default();
    let strict = PipelineConfig { head_quantile: 0.99, ..limits(PlacementPolicy::Fixed) };
    let old = busy(1, 1, 60, &none);
    assert_eq!(
        choose(asked(false), &[old], &known(), &limits(PlacementPolicy::Fixed)),
        Placement::Pipelined(1)
    );
    assert_eq!(choose(asked(false), &[old], &known(), &strict), Placement::Full);
    assert_eq!(
        choose(asked(false), &[old, busy(2, 3, 5, &none)], &known(), &strict),
        Placement::Pipelined(2)
    );
    // The connection's own history counts once there is enough of it: here 60 ms are nothing new.
    let mut slow = LatencyHistogram::default();
    (0..100).for_each(|_| slow.record(80 * MS));
    assert_eq!(choose(asked(false), &[busy(1, 1, 60, &slow)], &known(), &strict), Placement::Pipelined(1));
}

#[test]
fn where_a_box_is_little_known_all_boxes_speak_for_it() {
    let none = LatencyHistogram::default();
    let (old, all) = (busy(1, 1, 60, &none), known());
    let by = |of_all, head_ms: u64, limits: &PipelineConfig, room| {
        let seen = ConnectionState { head_age: Some(head_ms * MS), ..old };
        let known = LatencyContext { this_box: &BoxLatencies::NONE, all_boxes: of_all };
        choose_connection(&asked(room), [seen].into_iter(), known, limits, NOW)
    };
    // 99% of all took up to 6 ms, which are of the class up to some 8.
    let strict = PipelineConfig { head_quantile: 0.99, ..limits(PlacementPolicy::Fixed) };
    assert_eq!(
        (by(&all, 10, &strict, false), by(&all, 5, &strict, false)),
        (Placement::Full, Placement::Pipelined(1))
    );
    // Ten say nothing of the 99th percentile: twice the longest of them.
    let mut few = BoxLatencies::default();
    (0..10).for_each(|_| few.record_answer(READ, false, 6 * MS, 0));
    assert_eq!(
        (by(&few, 20, &strict, false), by(&few, 10, &strict, false)),
        (Placement::Full, Placement::Pipelined(1))
    );
    assert_eq!(by(&BoxLatencies::NONE, 60, &strict, false), Placement::Pipelined(1));
    let expected = limits(PlacementPolicy::Expected);
    assert_eq!(
        (by(&all, 4, &expected, true), by(&all, 60, &expected, true)),
        (Placement::Pipelined(1), Placement::New)
    );
}

#[test]
fn kinds_are_kept_apart_where_that_is_wanted() {
    let none = LatencyHistogram::default();
    let apart = PipelineConfig { separate_kinds: true, ..limits(PlacementPolicy::Fixed) };
    let other = ConnectionState { same_kind: false, ..busy(1, 1, 0, &none) };
    assert_eq!(choose(asked(false), &[other], &known(), &apart), Placement::Full);
    assert_eq!(
        choose(asked(false), &[other], &known(), &limits(PlacementPolicy::Fixed)),
        Placement::Pipelined(1)
    );
    assert_eq!(
        choose(asked(false), &[other, busy(2, 3, 0, &none)], &known(), &apart),
        Placement::Pipelined(2)
    );
}

#[test]
fn times_are_known_within_their_class_and_what_outlasts_them_is_expected_to_go_on() {
    let mut history = LatencyHistogram::default();
    (0..100).for_each(|i| history.record((1 + i % 10) * MS));
    let within =
        |got: Option<u64>, ms: f64| got.is_some_and(|n| (n as f64 / MS as f64 / ms - 1.0).abs() < 0.3);
    assert!(within(history.quantile(0.5), 5.0), "{:?}", history.quantile(0.5));
    assert!(within(history.quantile(0.99), 10.0), "{:?}", history.quantile(0.99));
    assert!(within(history.expected_remaining(0), 5.5), "{:?}", history.expected_remaining(0));
    assert_eq!(history.expected_remaining(70 * MS), Some(70 * MS));
    // Ten say nothing of the 99th percentile.
    let mut ten = LatencyHistogram::default();
    (0..10).for_each(|_| ten.record(MS));
    assert_eq!((ten.quantile(0.99), ten.quantile(0.5).is_some()), (None, true));
}
