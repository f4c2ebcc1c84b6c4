//! The book and the race: by cases, and by any history of outcomes and lists.

use addresses::*;
use proptest::prelude::*;

const MS: Nanos = 1_000_000;

fn list(texts: &[&str]) -> Vec<Address> {
    let (all, faults) = parse_list(texts.iter().copied());
    assert_eq!(faults, Vec::<String>::new());
    all
}

fn book(texts: &[&str]) -> AddressTable {
    let mut book = AddressTable::new(7);
    assert!(book.update(&list(texts), 0));
    book
}

/// The order as texts.
fn order(book: &mut AddressTable, now: Nanos, write: bool) -> Vec<String> {
    let ids = book.connection_order(now, write);
    ids.into_iter().map(|id| book.address(id).expect("listed").to_string()).collect()
}

const SIX: &str = "[::1]:1";
const FOUR: &str = "127.0.0.1:1";
const UNIX: &str = "unix:/run/box.sock";

#[test]
fn addresses_are_read_and_nonsense_is_named() {
    let long = format!("unix:/{}", "x".repeat(MAX_UNIX_PATH_BYTES));
    let huge = "1".repeat(MAX_ADDRESS_BYTES + 1);
    let texts =
        [SIX, "unix:/a", SIX, "example.org:1", "unix:a", "0.0.0.0:1", "127.0.0.1:0", &long, &huge, ""];
    let (all, faults) = parse_list(texts);
    assert_eq!(all, list(&[SIX, "unix:/a"]));
    for (fault, part) in faults.iter().zip([
        "[::1]:1 stands there twice",
        "\"example.org:1\" is neither",
        "\"a\" is no absolute path",
        "nobody can be reached at 0.0.0.0:1",
        "nobody can be reached at 127.0.0.1:0",
        "is no absolute path of at most 107 bytes",
        "an address of 257 bytes",
        "\"\" is neither",
    ]) {
        assert!(fault.contains(part), "{fault}");
    }
    assert_eq!(faults.len(), 8);
    let many: Vec<String> = (1..40).map(|i| format!("127.0.0.1:{i}")).collect();
    let (all, faults) = parse_list(many.iter().map(String::as_str));
    assert_eq!(
        (all.len(), &faults[..]),
        (MAX_ADDRESSES, &["31 more than the 8 that a box may have".to_owned()][..])
    );
    let mapped: Address = "[::ffff:127.0.0.1]:1".parse().expect("an address");
    assert_eq!((mapped.family(), all[0].family()), (Family::V4, Family::V4));
}

#[test]
fn families_take_turns_beginning_with_the_one_that_answered_last() {
    let mut b = book(&["[::1]:1", "[::1]:2", FOUR, "127.0.0.1:2", UNIX]);
    let turns = ["[::1]:1", FOUR, UNIX, "[::1]:2", "127.0.0.1:2"];
    assert_eq!(order(&mut b, 0, false), turns);
    let unix = b.connection_order(0, false)[2];
    b.answer_received(unix, MS, 1);
    assert_eq!(order(&mut b, 0, true), [UNIX, "[::1]:1", FOUR, "[::1]:2", "127.0.0.1:2"]);
    // A list in another order is the same list.
    assert!(!b.update(&list(&[FOUR, "127.0.0.1:2", UNIX, "[::1]:1", "[::1]:2"]), 2));
    assert_eq!(order(&mut b, 2, true), [UNIX, FOUR, "[::1]:1", "127.0.0.1:2", "[::1]:2"]);
}

#[test]
fn a_silent_address_is_passed_over_and_tried_again_by_one_read() {
    let mut b = book(&[SIX, FOUR]);
    let (six, four) = (b.connection_order(0, false)[0], b.connection_order(0, false)[1]);
    b.connected(six, MS);
    assert!(b.request_unanswered(six, 0, false, 100 * MS));
    assert!(!b.usable(six) && b.usable(four));
    // More of the same time are the same fault.
    (0..9).for_each(|_| assert!(b.request_unanswered(six, 50 * MS, false, 150 * MS)));
    assert_eq!(order(&mut b, 200 * MS, false), [FOUR]);
    // It has waited: a write does not try it, one read does, a second one meanwhile does not.
    let later = 1_400 * MS;
    assert_eq!(order(&mut b, later, true), [FOUR]);
    assert_eq!(order(&mut b, later, false), [SIX, FOUR]);
    assert_eq!(order(&mut b, later, false), [FOUR]);
    // Still silent: it waits twice as long.
    assert!(b.request_unanswered(six, later, false, later));
    assert_eq!(order(&mut b, later + 1_490 * MS, false), [FOUR]);
    assert_eq!(order(&mut b, later + 2_510 * MS, false), [SIX, FOUR]);
    b.answer_received(six, MS, later + 2_600 * MS);
    assert!(b.usable(six));
    // A request that runs out of time behind others that were answered says nothing.
    assert!(!b.request_unanswered(six, later, false, later + 3_000 * MS) && b.usable(six));
    // A trial that nothing was heard of is over in time.
    assert!(b.request_unanswered(six, later + 2_700 * MS, false, later + 3_000 * MS));
    let much = later + 60_000 * MS;
    assert_eq!(order(&mut b, much, false)[0], SIX);
    assert_eq!(order(&mut b, much + 4_999 * MS, false)[0], FOUR);
    assert_eq!(order(&mut b, much + 5_000 * MS, false)[0], SIX);
}

#[test]
fn a_request_that_was_called_off_tells_only_if_it_waited_longer_than_answers_take() {
    let mut b = book(&[SIX, FOUR]);
    let six = b.connection_order(0, false)[0];
    // Nothing is known of answers yet.
    assert!(!b.request_unanswered(six, 0, true, 10_000 * MS));
    (1..50).for_each(|i| b.answer_received(six, 20 * MS, i * MS));
    assert!(!b.request_unanswered(six, 100 * MS, true, 149 * MS) && b.usable(six));
    assert!(b.request_unanswered(six, 100 * MS, true, 150 * MS) && !b.usable(six));
    // Or if it is one of several in a row.
    b.answer_received(six, 20 * MS, 160 * MS);
    (0..9).for_each(|_| assert!(!b.request_unanswered(six, 200 * MS, true, 210 * MS)));
    assert!(
        !b.request_unanswered(six, 200 * MS, true, 230 * MS)
            && !b.request_unanswered(six, 201 * MS, true, 231 * MS)
    );
    b.answer_received(six, 20 * MS, 199 * MS);
    assert!(
        !b.request_unanswered(six, 200 * MS, true, 230 * MS)
            && !b.request_unanswered(six, 201 * MS, true, 231 * MS)
    );
    assert!(b.request_unanswered(six, 202 * MS, true, 232 * MS) && !b.usable(six));
    // A box whose answers take their time is waited for longer.
    let mut slow = book(&[SIX, FOUR]);
    let six = slow.connection_order(0, false)[0];
    (1..50).for_each(|i| slow.answer_received(six, 200 * MS, i * MS));
    assert!(
        !slow.request_unanswered(six, 100 * MS, true, 250 * MS)
            && slow.request_unanswered(six, 100 * MS, true, 400 * MS)
    );
}

#[test]
fn a_dead_box_costs_few_connections_and_a_slow_one_keeps_an_address() {
    let mut b = book(&[SIX, FOUR, UNIX]);
    let mut tried = 0;
    for ms in 0..60_000 {
        for id in b.connection_order(ms * MS, ms % 2 == 0) {
            tried += 1;
            b.connection_failed(id, ms * MS);
        }
    }
    // Each waits 250 ms, 500 ms, ... a minute: some nine times in a minute.
    assert!((12..=36).contains(&tried), "{tried}");
    let mut slow = book(&[SIX, FOUR]);
    for ms in 0..1_000 {
        let order = slow.connection_order(ms * MS, true);
        assert!(!order.is_empty());
        order.into_iter().for_each(|id| assert!(slow.request_unanswered(id, ms * MS, false, ms * MS)));
    }
    // A single address is always there.
    let mut single = book(&[FOUR]);
    let id = single.connection_order(0, true)[0];
    (0..20).for_each(|i| single.connection_failed(id, i));
    assert!(single.connection_order(20, true) == [id] && single.usable(id));
}

#[test]
fn what_is_known_outlasts_a_list_that_flaps_and_is_forgotten_in_time() {
    let mut b = book(&[SIX, FOUR]);
    let six = b.connection_order(0, false)[0];
    b.connection_failed(six, 0);
    for second in 1..40u64 {
        let now = second * 1_000 * MS;
        assert!(b.update(&list(&[FOUR]), now) && b.address(six).is_none());
        assert!(b.update(&list(&[FOUR, SIX]), now + MS) && b.address(six).is_some());
        b.connection_failed(six, now + MS);
        assert!(!b.usable(six));
    }
    b.update(&list(&[FOUR]), 50_000 * MS);
    b.update(&list(&[FOUR]), 50_000 * MS + REMOVED_RETENTION);
    assert_eq!(b.retained_len(), 1);
    b.update(&list(&[FOUR, SIX]), 60_000 * MS + REMOVED_RETENTION);
    assert_eq!(order(&mut b, 60_000 * MS + REMOVED_RETENTION, true).len(), 2);
}

#[test]
fn the_delay_is_what_handshakes_take_within_the_time_that_is_left() {
    let mut b = book(&[SIX, FOUR]);
    let six = b.connection_order(0, false)[0];
    assert_eq!(
        (b.attempt_delay(six, 10_000 * MS), b.attempt_delay(six, 300 * MS), b.attempt_delay(six, 0)),
        (250 * MS, 100 * MS, MS)
    );
    (0..50).for_each(|_| b.connected(six, 20 * MS));
    let known = b.attempt_delay(six, 10_000 * MS);
    assert!((19 * MS..30 * MS).contains(&known), "{known}");
    (0..50).for_each(|_| b.connected(six, MS / 10));
    assert_eq!(b.attempt_delay(six, 10_000 * MS), 10 * MS);
}

#[test]
fn a_race_runs_two_at_once_and_one_wins() {
    let mut b = book(&[SIX, FOUR, UNIX]);
    let ids = b.connection_order(0, false);
    let mut race = ConnectionRace::new(ids.clone());
    assert_eq!((race.start_next(), race.start_next(), race.start_next()), (Some(ids[0]), Some(ids[1]), None));
    assert!(!race.can_start_another() && race.attempt_failed(ids[0]) && race.can_start_another());
    assert_eq!(race.start_next(), Some(ids[2]));
    assert_eq!(
        (race.attempt_succeeded(ids[2]), race.in_progress().len(), race.can_start_another()),
        (vec![ids[1]], 0, false)
    );
    let mut lost = ConnectionRace::new([ids[0]]);
    lost.start_next();
    assert!(!lost.attempt_failed(ids[0]));
}

#[derive(Clone, Debug)]
enum Happens {
    List(Vec<u8>),
    Race { write: bool, comes_up: Option<usize> },
    Answered(usize),
    Failed(usize),
    Silent(usize),
}

fn happens() -> impl Strategy<Value = (u64, Happens)> {
    let what = prop_oneof![
        proptest::collection::vec(0..12u8, 0..10).prop_map(Happens::List),
        (any::<bool>(), proptest::option::of(0..8usize))
            .prop_map(|(write, comes_up)| Happens::Race { write, comes_up }),
        (0..8usize).prop_map(Happens::Answered),
        (0..8usize).prop_map(Happens::Failed),
        (0..8usize).prop_map(Happens::Silent),
    ];
    (0..2_000u64, what)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, ..ProptestConfig::default() })]

    #[test]
    fn any_history_keeps_the_bounds(history in proptest::collection::vec(happens(), 1..200), seed in any::<u64>()) {
        let mut b = AddressTable::new(seed);
        let (mut now, mut ids) = (0, Vec::new());
        // The time since which an address has stood in the list without a fault.
        let mut well: std::collections::HashMap<AddressId, Nanos> = Default::default();
        for (ms, what) in history {
            now += ms * MS;
            match what {
                Happens::List(which) => {
                    let texts: Vec<String> = which.iter().map(|i| match i % 3 {
                        0 => format!("[::1]:{}", i + 1),
                        1 => format!("127.0.0.1:{}", i + 1),
                        _ => format!("unix:/{i}"),
                    }).collect();
                    let (all, _) = parse_list(texts.iter().map(String::as_str));
                    b.update(&all, now);
                    prop_assert_eq!(b.len(), all.len().min(MAX_ADDRESSES));
                    ids = b.connection_order(now, true);
                }
                Happens::Race { write, comes_up } => {
                    let order = b.connection_order(now, write);
                    let mut once = order.clone();
                    once.sort_unstable();
                    once.dedup();
                    // No address twice, and none that is not listed.
                    prop_assert_eq!(once.len(), order.len());
                    prop_assert!(order.iter().all(|id| b.address(*id).is_some()));
                    // Every well address is among them: none starves.
                    for id in well.keys().filter(|id| b.address(**id).is_some()) {
                        prop_assert!(order.contains(id), "{:?} starves", id);
                    }
                    if write && order.iter().any(|id| b.usable(*id)) {
                        prop_assert!(order.iter().all(|id| b.usable(*id)));
                    }
                    let mut race = ConnectionRace::new(order.clone());
                    while let Some(id) = race.start_next() {
                        prop_assert!(race.in_progress().len() <= MAX_CONCURRENT_ATTEMPTS);
                        if comes_up.is_some_and(|n| order.get(n) == Some(&id)) {
                            prop_assert!(race.attempt_succeeded(id).len() < MAX_CONCURRENT_ATTEMPTS);
                            prop_assert!(race.start_next().is_none());
                            b.connected(id, MS);
                            break;
                        }
                        b.connection_failed(id, now);
                        well.remove(&id);
                        race.attempt_failed(id);
                    }
                }
                Happens::Answered(n) => if let Some(id) = ids.get(n) {
                    b.answer_received(*id, MS, now);
                    well.insert(*id, now);
                },
                Happens::Failed(n) => if let Some(id) = ids.get(n) {
                    b.connection_failed(*id, now);
                    well.remove(id);
                },
                Happens::Silent(n) => if let Some(id) = ids.get(n) {
                    if b.request_unanswered(*id, now, false, now) {
                        well.remove(id);
                    }
                },
            }
            // What left for long, or was pushed out by others, is new when it comes back.
            well.retain(|id, _| b.address(*id).is_some());
            prop_assert!(b.retained_len() <= 2 * MAX_ADDRESSES);
        }
    }
}
