//! The address table and the connection race: single cases, and random histories of outcomes and lists.

use addresses::*;
use proptest::prelude::*;

const MS: Nanos = 1_000_000;

fn list(texts: &[&str]) -> Vec<Address> {
    let (all, errors) = parse_list(texts.iter().copied());
    assert_eq!(errors, Vec::<String>::new());
    all
}

fn table(texts: &[&str]) -> AddressTable {
    let mut table = AddressTable::new(1, 7);
    assert!(table.update(&list(texts), 0));
    table
}

/// The connection order as texts.
fn order(table: &mut AddressTable, now: Nanos, write: bool) -> Vec<String> {
    let ids = table.connection_order(now, write);
    ids.into_iter().map(|id| table.address(id).expect("listed").to_string()).collect()
}

const SIX: &str = "[::1]:1";
const FOUR: &str = "127.0.0.1:1";
const UNIX: &str = "unix:/run/box.sock";

#[test]
fn a_list_is_parsed_and_each_invalid_address_is_reported() {
    let long = format!("unix:/{}", "x".repeat(MAX_UNIX_PATH_BYTES));
    let huge = "1".repeat(MAX_ADDRESS_BYTES + 1);
    let texts =
        [SIX, "unix:/a", SIX, "example.org:1", "unix:a", "0.0.0.0:1", "127.0.0.1:0", &long, &huge, ""];
    let (all, errors) = parse_list(texts);
    assert_eq!(all, list(&[SIX, "unix:/a"]));
    for (error, part) in errors.iter().zip([
        "[::1]:1 is listed twice",
        "\"example.org:1\" is neither",
        "\"a\" is not an absolute path",
        "0.0.0.0:1 cannot be connected to",
        "127.0.0.1:0 cannot be connected to",
        "is not an absolute path of at most 107 bytes",
        "address has 257 bytes",
        "\"\" is neither",
    ]) {
        assert!(error.contains(part), "{error}");
    }
    assert_eq!(errors.len(), 8);
    let many: Vec<String> = (1..40).map(|i| format!("127.0.0.1:{i}")).collect();
    let (all, errors) = parse_list(many.iter().map(String::as_str));
    assert_eq!(
        (all.len(), &errors[..]),
        (MAX_ADDRESSES, &["31 more than the 8 addresses that a box may have".to_owned()][..])
    );
    let mapped: Address = "[::ffff:127.0.0.1]:1".parse().expect("an address");
    assert_eq!((mapped.family(), all[0].family()), (Family::V4, Family::V4));
}

#[test]
fn families_alternate_beginning_with_the_one_that_answered_last() {
    let mut table = table(&["[::1]:1", "[::1]:2", FOUR, "127.0.0.1:2", UNIX]);
    let alternating = ["[::1]:1", FOUR, UNIX, "[::1]:2", "127.0.0.1:2"];
    assert_eq!(order(&mut table, 0, false), alternating);
    let unix = table.connection_order(0, false)[2];
    table.answer_received(unix, MS, 1);
    assert_eq!(order(&mut table, 0, true), [UNIX, "[::1]:1", FOUR, "[::1]:2", "127.0.0.1:2"]);
    // The same addresses in another order are no change.
    assert!(!table.update(&list(&[FOUR, "127.0.0.1:2", UNIX, "[::1]:1", "[::1]:2"]), 2));
    assert_eq!(order(&mut table, 2, true), [UNIX, FOUR, "[::1]:1", "127.0.0.1:2", "[::1]:2"]);
}

#[test]
fn a_silent_address_is_ejected_and_probed_by_one_read_at_a_time() {
    let mut table = table(&[SIX, FOUR]);
    let (six, four) = (table.connection_order(0, false)[0], table.connection_order(0, false)[1]);
    table.connected(six, MS);
    assert!(table.request_unanswered(six, 0, false, 100 * MS));
    assert!(!table.usable(six) && table.usable(four));
    // Further failures during the ejection count as the same one.
    (0..9).for_each(|_| assert!(table.request_unanswered(six, 50 * MS, false, 150 * MS)));
    assert_eq!(order(&mut table, 200 * MS, false), [FOUR]);
    // The ejection has expired: a write does not probe the address, one read does, a second read meanwhile does not.
    let later = 1_400 * MS;
    assert_eq!(order(&mut table, later, true), [FOUR]);
    assert_eq!(order(&mut table, later, false), [SIX, FOUR]);
    assert_eq!(order(&mut table, later, false), [FOUR]);
    // The probe is unanswered: the next ejection lasts twice as long.
    assert!(table.request_unanswered(six, later, false, later));
    assert_eq!(order(&mut table, later + 1_490 * MS, false), [FOUR]);
    assert_eq!(order(&mut table, later + 2_510 * MS, false), [SIX, FOUR]);
    table.answer_received(six, MS, later + 2_600 * MS);
    assert!(table.usable(six));
    // A timeout shows nothing if the address has answered since the request was sent.
    assert!(!table.request_unanswered(six, later, false, later + 3_000 * MS) && table.usable(six));
    // A probe without an outcome times out.
    assert!(table.request_unanswered(six, later + 2_700 * MS, false, later + 3_000 * MS));
    let much_later = later + 60_000 * MS;
    assert_eq!(order(&mut table, much_later, false)[0], SIX);
    assert_eq!(order(&mut table, much_later + 4_999 * MS, false)[0], FOUR);
    assert_eq!(order(&mut table, much_later + 5_000 * MS, false)[0], SIX);
}

#[test]
fn a_cancelled_request_counts_as_unanswered_only_if_it_waited_longer_than_answers_take() {
    let mut fast = table(&[SIX, FOUR]);
    let six = fast.connection_order(0, false)[0];
    // Without measured answers a cancelled request shows nothing.
    assert!(!fast.request_unanswered(six, 0, true, 10_000 * MS));
    (1..50).for_each(|i| fast.answer_received(six, 20 * MS, i * MS));
    assert!(!fast.request_unanswered(six, 100 * MS, true, 149 * MS) && fast.usable(six));
    assert!(fast.request_unanswered(six, 100 * MS, true, 150 * MS) && !fast.usable(six));
    // Several in a row count as well, if each waited for the mean time of an answer.
    fast.answer_received(six, 20 * MS, 160 * MS);
    (0..9).for_each(|_| assert!(!fast.request_unanswered(six, 200 * MS, true, 210 * MS)));
    assert!(!fast.request_unanswered(six, 200 * MS, true, 230 * MS));
    assert!(!fast.request_unanswered(six, 201 * MS, true, 231 * MS));
    fast.answer_received(six, 20 * MS, 199 * MS);
    assert!(!fast.request_unanswered(six, 200 * MS, true, 230 * MS));
    assert!(!fast.request_unanswered(six, 201 * MS, true, 231 * MS));
    assert!(fast.request_unanswered(six, 202 * MS, true, 232 * MS) && !fast.usable(six));
    // A box with slower answers is given more time.
    let mut slow = table(&[SIX, FOUR]);
    let six = slow.connection_order(0, false)[0];
    (1..50).for_each(|i| slow.answer_received(six, 200 * MS, i * MS));
    assert!(!slow.request_unanswered(six, 100 * MS, true, 250 * MS));
    assert!(slow.request_unanswered(six, 100 * MS, true, 400 * MS));
}

#[test]
fn a_dead_box_costs_few_connections_and_a_slow_box_keeps_an_address() {
    let mut dead = table(&[SIX, FOUR, UNIX]);
    let mut attempts = 0;
    for ms in 0..60_000 {
        for id in dead.connection_order(ms * MS, ms % 2 == 0) {
            attempts += 1;
            dead.connection_failed(id, ms * MS);
        }
    }
    // Ejections of 250 ms, 500 ms, ... up to a minute: about nine attempts per address.
    assert!((12..=36).contains(&attempts), "{attempts} connection attempts in a minute, 12 to 36 expected");
    let mut slow = table(&[SIX, FOUR]);
    for ms in 0..1_000 {
        let order = slow.connection_order(ms * MS, true);
        assert!(!order.is_empty());
        order.into_iter().for_each(|id| assert!(slow.request_unanswered(id, ms * MS, false, ms * MS)));
    }
    // A single address stays in the order regardless of its failures.
    let mut single = table(&[FOUR]);
    let id = single.connection_order(0, true)[0];
    (0..20).for_each(|i| single.connection_failed(id, i));
    assert!(single.connection_order(20, true) == [id] && single.usable(id));
}

#[test]
fn the_health_of_an_address_outlasts_a_flapping_list_and_expires_after_the_retention() {
    let mut table = table(&[SIX, FOUR]);
    let six = table.connection_order(0, false)[0];
    table.connection_failed(six, 0);
    for second in 1..40u64 {
        let now = second * 1_000 * MS;
        assert!(table.update(&list(&[FOUR]), now) && table.address(six).is_none());
        assert!(table.update(&list(&[FOUR, SIX]), now + MS) && table.address(six).is_some());
        table.connection_failed(six, now + MS);
        assert!(!table.usable(six));
    }
    table.update(&list(&[FOUR]), 50_000 * MS);
    table.update(&list(&[FOUR]), 50_000 * MS + REMOVED_RETENTION);
    assert_eq!(table.retained_len(), 1);
    table.update(&list(&[FOUR, SIX]), 60_000 * MS + REMOVED_RETENTION);
    assert_eq!(order(&mut table, 60_000 * MS + REMOVED_RETENTION, true).len(), 2);
}

#[test]
fn the_attempt_delay_is_the_measured_handshake_time_within_the_remaining_time() {
    let mut table = table(&[SIX, FOUR]);
    let six = table.connection_order(0, false)[0];
    assert_eq!(table.attempt_delay(six, 10_000 * MS), 250 * MS);
    assert_eq!(table.attempt_delay(six, 300 * MS), 100 * MS);
    assert_eq!(table.attempt_delay(six, 0), MS);
    (0..50).for_each(|_| table.connected(six, 20 * MS));
    let measured = table.attempt_delay(six, 10_000 * MS);
    assert!((19 * MS..30 * MS).contains(&measured), "{measured} ns, 19 to 30 ms expected");
    (0..50).for_each(|_| table.connected(six, MS / 10));
    assert_eq!(table.attempt_delay(six, 10_000 * MS), 10 * MS);
}

#[test]
fn a_race_runs_two_attempts_at_once_and_one_wins() {
    let mut table = table(&[SIX, FOUR, UNIX]);
    let ids = table.connection_order(0, false);
    let mut race = ConnectionRace::new(ids.clone());
    assert_eq!((race.start_next(), race.start_next(), race.start_next()), (Some(ids[0]), Some(ids[1]), None));
    assert!(!race.can_start_another() && race.attempt_failed(ids[0]) && race.can_start_another());
    assert_eq!(race.start_next(), Some(ids[2]));
    assert_eq!(race.attempt_succeeded(ids[2]), [ids[1]]);
    assert!(race.in_progress().is_empty() && !race.can_start_another());
    let mut lost = ConnectionRace::new([ids[0]]);
    lost.start_next();
    assert!(!lost.attempt_failed(ids[0]));
}

#[derive(Clone, Debug)]
enum Step {
    Update(Vec<u8>),
    Race { write: bool, comes_up: Option<usize> },
    Answered(usize),
    ConnectionFailed(usize),
    Unanswered(usize),
}

/// A step, and the milliseconds that pass before it.
fn step() -> impl Strategy<Value = (u64, Step)> {
    let step = prop_oneof![
        proptest::collection::vec(0..12u8, 0..10).prop_map(Step::Update),
        (any::<bool>(), proptest::option::of(0..8usize))
            .prop_map(|(write, comes_up)| Step::Race { write, comes_up }),
        (0..8usize).prop_map(Step::Answered),
        (0..8usize).prop_map(Step::ConnectionFailed),
        (0..8usize).prop_map(Step::Unanswered),
    ];
    (0..2_000u64, step)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, ..ProptestConfig::default() })]

    #[test]
    fn any_history_keeps_the_bounds(history in proptest::collection::vec(step(), 1..200), seed in any::<u64>()) {
        let mut table = AddressTable::new(1, seed);
        let (mut now, mut ids) = (0, Vec::new());
        // The listed addresses that have answered since their last failure, and when they did.
        let mut healthy: std::collections::HashMap<AddressId, Nanos> = Default::default();
        for (ms, step) in history {
            now += ms * MS;
            match step {
                Step::Update(which) => {
                    let texts: Vec<String> = which.iter().map(|i| match i % 3 {
                        0 => format!("[::1]:{}", i + 1),
                        1 => format!("127.0.0.1:{}", i + 1),
                        _ => format!("unix:/{i}"),
                    }).collect();
                    let (all, _) = parse_list(texts.iter().map(String::as_str));
                    table.update(&all, now);
                    prop_assert_eq!(table.len(), all.len().min(MAX_ADDRESSES));
                    ids = table.connection_order(now, true);
                }
                Step::Race { write, comes_up } => {
                    let order = table.connection_order(now, write);
                    let mut distinct = order.clone();
                    distinct.sort_unstable();
                    distinct.dedup();
                    // No address twice, and none that is not listed.
                    prop_assert_eq!(distinct.len(), order.len());
                    prop_assert!(order.iter().all(|id| table.address(*id).is_some()));
                    // No healthy address is left out.
                    for id in healthy.keys().filter(|id| table.address(**id).is_some()) {
                        prop_assert!(order.contains(id), "healthy {:?} is not in the order", id);
                    }
                    if write && order.iter().any(|id| table.usable(*id)) {
                        prop_assert!(order.iter().all(|id| table.usable(*id)));
                    }
                    let mut race = ConnectionRace::new(order.clone());
                    while let Some(id) = race.start_next() {
                        prop_assert!(race.in_progress().len() <= MAX_CONCURRENT_ATTEMPTS);
                        if comes_up.is_some_and(|n| order.get(n) == Some(&id)) {
                            prop_assert!(race.attempt_succeeded(id).len() < MAX_CONCURRENT_ATTEMPTS);
                            prop_assert!(race.start_next().is_none());
                            table.connected(id, MS);
                            break;
                        }
                        table.connection_failed(id, now);
                        healthy.remove(&id);
                        race.attempt_failed(id);
                    }
                }
                Step::Answered(n) => if let Some(id) = ids.get(n) {
                    table.answer_received(*id, MS, now);
                    healthy.insert(*id, now);
                },
                Step::ConnectionFailed(n) => if let Some(id) = ids.get(n) {
                    table.connection_failed(*id, now);
                    healthy.remove(id);
                },
                Step::Unanswered(n) => if let Some(id) = ids.get(n) {
                    if table.request_unanswered(*id, now, false, now) {
                        healthy.remove(id);
                    }
                },
            }
            // The health of an address that left the list may be forgotten before it comes back.
            healthy.retain(|id, _| table.address(*id).is_some());
            prop_assert!(table.retained_len() <= 2 * MAX_ADDRESSES);
        }
    }
}
