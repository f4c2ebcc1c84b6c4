//! Which connection one more command goes to, by lists of connections.

use pipeline::{place, Ask, History, Known, Lane, Limits, Place, Placing, Seen, Times};

const MS: u64 = 1_000_000;
const NOW: u64 = 1_000 * MS;
const READ: Lane = Lane { write: false, long: false };

fn limits(placing: Placing) -> Limits {
    Limits { placing, depth: [4, 2], ..Limits::default() }
}

/// A box that answers in 4 to 6 ms, the next 1 ms later, and takes 2 ms for a connection.
fn known() -> Times {
    let mut times = Times::default();
    for i in 0..200 {
        times.answered(READ, false, (4 + i % 3) * MS, 0);
        times.answered(READ, true, 0, MS);
        times.connected(2 * MS);
    }
    times
}

fn busy(key: u32, depth: usize, head_ms: u64, history: &History) -> Seen<'_, u32> {
    Seen {
        key,
        up: true,
        since: NOW,
        ready: 0,
        depth,
        head_age: Some(head_ms * MS),
        history,
        same_lane: true,
    }
}

fn asked(room: bool) -> Ask {
    Ask { lane: READ, aim: NOW + 100 * MS, room }
}

fn choose(ask: Ask, all: &[Seen<'_, u32>], times: &Times, limits: &Limits) -> Place<u32> {
    place(&ask, all.iter().copied(), Known { of_box: times, of_all: &Times::NONE }, limits, NOW)
}

#[test]
fn an_idle_connection_is_taken_first_and_the_one_used_last() {
    let none = History::default();
    let idle =
        |key, ms: u64| Seen { depth: 0, head_age: None, since: NOW - ms * MS, ..busy(key, 0, 0, &none) };
    for placing in [Placing::Fixed, Placing::Expected] {
        let all = [busy(1, 1, 0, &none), idle(2, 900), idle(3, 10)];
        assert_eq!(choose(asked(true), &all, &known(), &limits(placing)), Place::Idle(3));
    }
}

#[test]
fn the_fixed_rule_opens_one_before_it_queues_and_queues_where_least_is() {
    let none = History::default();
    let all = [busy(1, 3, 0, &none), busy(2, 2, 0, &none), busy(3, 4, 0, &none)];
    let fixed = limits(Placing::Fixed);
    assert_eq!(choose(asked(true), &all, &known(), &fixed), Place::New);
    assert_eq!(choose(asked(false), &all, &known(), &fixed), Place::Behind(2));
    assert_eq!(choose(asked(false), &all[2..], &known(), &fixed), Place::Full);
    // Writes have a bound of their own.
    let write = Ask { lane: Lane { write: true, long: false }, ..asked(false) };
    assert_eq!(choose(write, &all, &known(), &fixed), Place::Full);
}

#[test]
fn behind_a_head_that_is_nearly_done_is_cheaper_than_a_handshake_and_behind_an_old_one_is_not() {
    let none = History::default();
    let expected = limits(Placing::Expected);
    let (young, old) = (busy(1, 1, 4, &none), busy(2, 1, 60, &none));
    assert_eq!(choose(asked(true), &[young, old], &known(), &expected), Place::Behind(1));
    assert_eq!(choose(asked(true), &[old], &known(), &expected), Place::New);
    // Without room it is still better than nothing, if it is in time.
    assert_eq!(choose(asked(false), &[old], &known(), &expected), Place::Behind(2));
    let hurried = Ask { aim: NOW + 50 * MS, ..asked(false) };
    assert_eq!(choose(hurried, &[old], &known(), &expected), Place::Full);
    assert_eq!(choose(hurried, &[old], &known(), &limits(Placing::Fixed)), Place::Behind(2));
    // A box that takes the commands of a connection one by one: each ahead costs its whole time.
    let mut serial = known();
    (0..600).for_each(|_| serial.answered(READ, true, 0, 20 * MS));
    assert_eq!(choose(asked(true), &[busy(1, 2, 0, &none)], &serial, &expected), Place::New);
    assert_eq!(choose(asked(true), &[busy(1, 3, 4, &none)], &known(), &expected), Place::Behind(1));
}

#[test]
fn with_too_little_evidence_the_fixed_rule_holds() {
    let none = History::default();
    let mut thin = Times::default();
    for _ in 0..7 {
        thin.answered(READ, false, 5 * MS, 0);
        thin.connected(2 * MS);
    }
    let all = [busy(1, 1, 4, &none)];
    let expected = limits(Placing::Expected);
    assert_eq!(choose(asked(true), &all, &thin, &expected), Place::New);
    thin.answered(READ, false, 5 * MS, 0);
    thin.connected(2 * MS);
    assert_eq!(choose(asked(true), &all, &thin, &expected), Place::Behind(1));
}

#[test]
fn a_head_older_than_its_history_takes_nothing_new() {
    let none = History::default();
    let strict = Limits { head_quantile: 0.99, ..limits(Placing::Fixed) };
    let old = busy(1, 1, 60, &none);
    assert_eq!(choose(asked(false), &[old], &known(), &limits(Placing::Fixed)), Place::Behind(1));
    assert_eq!(choose(asked(false), &[old], &known(), &strict), Place::Full);
    assert_eq!(choose(asked(false), &[old, busy(2, 3, 5, &none)], &known(), &strict), Place::Behind(2));
    // The connection's own history counts once there is enough of it: here 60 ms are nothing new.
    let mut slow = History::default();
    (0..100).for_each(|_| slow.add(80 * MS));
    assert_eq!(choose(asked(false), &[busy(1, 1, 60, &slow)], &known(), &strict), Place::Behind(1));
}

#[test]
fn where_a_box_is_little_known_all_boxes_speak_for_it() {
    let none = History::default();
    let (old, all) = (busy(1, 1, 60, &none), known());
    let by = |of_all, head_ms: u64, limits: &Limits, room| {
        let seen = Seen { head_age: Some(head_ms * MS), ..old };
        let known = Known { of_box: &Times::NONE, of_all };
        place(&asked(room), [seen].into_iter(), known, limits, NOW)
    };
    // 99% of all took up to 6 ms, which are of the class up to some 8.
    let strict = Limits { head_quantile: 0.99, ..limits(Placing::Fixed) };
    assert_eq!((by(&all, 10, &strict, false), by(&all, 5, &strict, false)), (Place::Full, Place::Behind(1)));
    // Ten say nothing of the 99th percentile: twice the longest of them.
    let mut few = Times::default();
    (0..10).for_each(|_| few.answered(READ, false, 6 * MS, 0));
    assert_eq!((by(&few, 20, &strict, false), by(&few, 10, &strict, false)), (Place::Full, Place::Behind(1)));
    assert_eq!(by(&Times::NONE, 60, &strict, false), Place::Behind(1));
    let expected = limits(Placing::Expected);
    assert_eq!((by(&all, 4, &expected, true), by(&all, 60, &expected, true)), (Place::Behind(1), Place::New));
}

#[test]
fn kinds_are_kept_apart_where_that_is_wanted() {
    let none = History::default();
    let apart = Limits { apart: true, ..limits(Placing::Fixed) };
    let other = Seen { same_lane: false, ..busy(1, 1, 0, &none) };
    assert_eq!(choose(asked(false), &[other], &known(), &apart), Place::Full);
    assert_eq!(choose(asked(false), &[other], &known(), &limits(Placing::Fixed)), Place::Behind(1));
    assert_eq!(choose(asked(false), &[other, busy(2, 3, 0, &none)], &known(), &apart), Place::Behind(2));
}

#[test]
fn times_are_known_within_their_class_and_what_outlasts_them_is_expected_to_go_on() {
    let mut history = History::default();
    (0..100).for_each(|i| history.add((1 + i % 10) * MS));
    let within =
        |got: Option<u64>, ms: f64| got.is_some_and(|n| (n as f64 / MS as f64 / ms - 1.0).abs() < 0.3);
    assert!(within(history.quantile(0.5), 5.0), "{:?}", history.quantile(0.5));
    assert!(within(history.quantile(0.99), 10.0), "{:?}", history.quantile(0.99));
    assert!(within(history.remaining(0), 5.5), "{:?}", history.remaining(0));
    assert_eq!(history.remaining(70 * MS), Some(70 * MS));
    // Ten say nothing of the 99th percentile.
    let mut ten = History::default();
    (0..10).for_each(|_| ten.add(MS));
    assert_eq!((ten.quantile(0.99), ten.quantile(0.5).is_some()), (None, true));
}
