//! The connection that is chosen for a command, from given connection states and latencies.

use pipeline::{
    choose_connection, BoxLatencies, CommandKind, ConnectionState, LatencyContext, LatencyHistogram,
    PipelineConfig, Placement, PlacementPolicy, PlacementRequest,
};

const MS: u64 = 1_000_000;
const NOW: u64 = 1_000 * MS;
const READ: CommandKind = CommandKind { write: false, large_value: false };
static EMPTY: LatencyHistogram = LatencyHistogram::NONE;

fn config(placement: PlacementPolicy) -> PipelineConfig {
    PipelineConfig { placement, max_depth: [4, 2], ..PipelineConfig::default() }
}

/// The fixed policy, with connections refused whose head is older than the 99th percentile.
fn with_stall_check() -> PipelineConfig {
    PipelineConfig { head_quantile: 0.99, ..config(PlacementPolicy::Fixed) }
}

/// A box that answers in 4 to 6 ms, pipelined commands 1 ms after one another, and connects in 2 ms.
fn measured() -> BoxLatencies {
    let mut latencies = BoxLatencies::default();
    for i in 0..200 {
        latencies.record_answer(READ, false, (4 + i % 3) * MS, 0);
        latencies.record_answer(READ, true, 0, MS);
        latencies.record_connect(2 * MS);
    }
    latencies
}

fn busy(key: u32, depth: usize, head_ms: u64, latency: &LatencyHistogram) -> ConnectionState<'_, u32> {
    ConnectionState {
        key,
        connected: true,
        active_since: NOW,
        writable_at: 0,
        depth,
        head_age: Some(head_ms * MS),
        latency,
        same_kind: true,
    }
}

fn idle(key: u32, idle_ms: u64) -> ConnectionState<'static, u32> {
    ConnectionState { depth: 0, head_age: None, active_since: NOW - idle_ms * MS, ..busy(key, 0, 0, &EMPTY) }
}

fn read(may_open: bool) -> PlacementRequest {
    PlacementRequest { kind: READ, target_time: NOW + 100 * MS, may_open }
}

fn choose(
    request: PlacementRequest,
    connections: &[ConnectionState<'_, u32>],
    latencies: &BoxLatencies,
    config: &PipelineConfig,
) -> Placement<u32> {
    let latencies = LatencyContext { this_box: latencies, all_boxes: &BoxLatencies::NONE };
    choose_connection(&request, connections.iter().copied(), latencies, config, NOW)
}

#[test]
fn an_idle_connection_is_preferred_and_of_these_the_most_recently_used() {
    for policy in [PlacementPolicy::Fixed, PlacementPolicy::Expected] {
        let all = [busy(1, 1, 0, &EMPTY), idle(2, 900), idle(3, 10)];
        assert_eq!(choose(read(true), &all, &measured(), &config(policy)), Placement::Idle(3));
    }
}

#[test]
fn the_fixed_policy_opens_a_connection_before_it_uses_the_one_with_the_fewest_commands() {
    let all = [busy(1, 3, 0, &EMPTY), busy(2, 2, 0, &EMPTY), busy(3, 4, 0, &EMPTY)];
    let fixed = config(PlacementPolicy::Fixed);
    assert_eq!(choose(read(true), &all, &measured(), &fixed), Placement::New);
    assert_eq!(choose(read(false), &all, &measured(), &fixed), Placement::Pipelined(2));
    assert_eq!(choose(read(false), &all[2..], &measured(), &fixed), Placement::Full);
    // Writes have a maximum depth of their own.
    let write = PlacementRequest { kind: CommandKind { write: true, large_value: false }, ..read(false) };
    assert_eq!(choose(write, &all, &measured(), &fixed), Placement::Full);
}

#[test]
fn the_expected_policy_prefers_a_handshake_to_an_old_head_but_not_to_one_that_is_nearly_done() {
    let expected = config(PlacementPolicy::Expected);
    let (young, old) = (busy(1, 1, 4, &EMPTY), busy(2, 1, 60, &EMPTY));
    assert_eq!(choose(read(true), &[young, old], &measured(), &expected), Placement::Pipelined(1));
    assert_eq!(choose(read(true), &[old], &measured(), &expected), Placement::New);
    // If no connection may be opened, the old head is used as long as the answer is expected in time.
    assert_eq!(choose(read(false), &[old], &measured(), &expected), Placement::Pipelined(2));
    let urgent = PlacementRequest { target_time: NOW + 50 * MS, ..read(false) };
    assert_eq!(choose(urgent, &[old], &measured(), &expected), Placement::Full);
    let fixed = config(PlacementPolicy::Fixed);
    assert_eq!(choose(urgent, &[old], &measured(), &fixed), Placement::Pipelined(2));
    // A box that processes the commands of a connection one by one: each one ahead costs its full service time.
    let mut serial = measured();
    (0..600).for_each(|_| serial.record_answer(READ, true, 0, 20 * MS));
    assert_eq!(choose(read(true), &[busy(1, 2, 0, &EMPTY)], &serial, &expected), Placement::New);
    let deep = busy(1, 3, 4, &EMPTY);
    assert_eq!(choose(read(true), &[deep], &measured(), &expected), Placement::Pipelined(1));
}

#[test]
fn with_too_few_samples_the_expected_policy_falls_back_to_the_fixed_one() {
    let mut few = BoxLatencies::default();
    for _ in 0..7 {
        few.record_answer(READ, false, 5 * MS, 0);
        few.record_connect(2 * MS);
    }
    let all = [busy(1, 1, 4, &EMPTY)];
    let expected = config(PlacementPolicy::Expected);
    assert_eq!(choose(read(true), &all, &few, &expected), Placement::New);
    few.record_answer(READ, false, 5 * MS, 0);
    few.record_connect(2 * MS);
    assert_eq!(choose(read(true), &all, &few, &expected), Placement::Pipelined(1));
}

#[test]
fn a_connection_whose_head_is_older_than_the_quantile_accepts_no_commands() {
    let fixed = config(PlacementPolicy::Fixed);
    let strict = with_stall_check();
    let old = busy(1, 1, 60, &EMPTY);
    assert_eq!(choose(read(false), &[old], &measured(), &fixed), Placement::Pipelined(1));
    assert_eq!(choose(read(false), &[old], &measured(), &strict), Placement::Full);
    let both = [old, busy(2, 3, 5, &EMPTY)];
    assert_eq!(choose(read(false), &both, &measured(), &strict), Placement::Pipelined(2));
    // With enough samples the connection's own latencies are used, by which 60 ms are usual here.
    let mut slow = LatencyHistogram::default();
    (0..100).for_each(|_| slow.record(80 * MS));
    let usual = busy(1, 1, 60, &slow);
    assert_eq!(choose(read(false), &[usual], &measured(), &strict), Placement::Pipelined(1));
}

#[test]
fn for_a_box_with_too_few_samples_the_latencies_of_all_boxes_are_used() {
    let old = busy(1, 1, 60, &EMPTY);
    let choose = |all_boxes, head_ms: u64, config: &PipelineConfig, may_open| {
        let connection = ConnectionState { head_age: Some(head_ms * MS), ..old };
        let latencies = LatencyContext { this_box: &BoxLatencies::NONE, all_boxes };
        choose_connection(&read(may_open), [connection].into_iter(), latencies, config, NOW)
    };
    let all = measured();
    // 99% of all took up to 6 ms, which fall into the bucket that ends at about 8 ms.
    let strict = with_stall_check();
    assert_eq!(choose(&all, 10, &strict, false), Placement::Full);
    assert_eq!(choose(&all, 5, &strict, false), Placement::Pipelined(1));
    // Ten samples do not determine the 99th percentile; twice the longest of them is the limit.
    let mut few = BoxLatencies::default();
    (0..10).for_each(|_| few.record_answer(READ, false, 6 * MS, 0));
    assert_eq!(choose(&few, 20, &strict, false), Placement::Full);
    assert_eq!(choose(&few, 10, &strict, false), Placement::Pipelined(1));
    assert_eq!(choose(&BoxLatencies::NONE, 60, &strict, false), Placement::Pipelined(1));
    let expected = config(PlacementPolicy::Expected);
    assert_eq!(choose(&all, 4, &expected, true), Placement::Pipelined(1));
    assert_eq!(choose(&all, 60, &expected, true), Placement::New);
}

#[test]
fn commands_of_different_kinds_share_a_connection_unless_configured_otherwise() {
    let separate = PipelineConfig { separate_kinds: true, ..config(PlacementPolicy::Fixed) };
    let shared = config(PlacementPolicy::Fixed);
    let other = ConnectionState { same_kind: false, ..busy(1, 1, 0, &EMPTY) };
    assert_eq!(choose(read(false), &[other], &measured(), &separate), Placement::Full);
    assert_eq!(choose(read(false), &[other], &measured(), &shared), Placement::Pipelined(1));
    let both = [other, busy(2, 3, 0, &EMPTY)];
    assert_eq!(choose(read(false), &both, &measured(), &separate), Placement::Pipelined(2));
}

#[test]
fn quantiles_are_exact_to_a_bucket_and_an_age_beyond_all_samples_is_expected_to_double() {
    let mut histogram = LatencyHistogram::default();
    (0..100).for_each(|i| histogram.record((1 + i % 10) * MS));
    let is_about =
        |got: Option<u64>, ms: f64| got.is_some_and(|n| (n as f64 / MS as f64 / ms - 1.0).abs() < 0.3);
    let (median, high) = (histogram.quantile(0.5), histogram.quantile(0.99));
    assert!(is_about(median, 5.0), "median is {median:?} ns, about 5 ms expected");
    assert!(is_about(high, 10.0), "99th percentile is {high:?} ns, about 10 ms expected");
    let remaining = histogram.expected_remaining(0);
    assert!(is_about(remaining, 5.5), "mean is {remaining:?} ns, about 5.5 ms expected");
    assert_eq!(histogram.expected_remaining(70 * MS), Some(70 * MS));
    // Ten samples do not determine the 99th percentile.
    let mut ten = LatencyHistogram::default();
    (0..10).for_each(|_| ten.record(MS));
    assert_eq!((ten.quantile(0.99), ten.quantile(0.5).is_some()), (None, true));
}
