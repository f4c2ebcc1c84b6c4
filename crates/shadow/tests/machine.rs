//! Tests of shadow traffic as a whole: which reads are copied, the budgets, and when copying stops.

use proptest::prelude::*;
use shadow::budget::max_in_any_second;
use shadow::sample::{Tenants, PARTS_PER_MILLION};
use shadow::verdict::Tolerance;
use shadow::*;
use std::collections::{BTreeMap, HashSet};

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MS;
const DEADLINE: Nanos = 250 * MS;
const LEASE: Nanos = 3_600 * SECOND;

/// Settings that copy all keys, with limits too high to matter.
fn settings() -> Settings {
    Settings {
        classes: vec![true, false, false],
        tenants: Tenants::All,
        salt: 1,
        initial_sampling_ppm: PARTS_PER_MILLION,
        max_sampling_ppm: PARTS_PER_MILLION,
        ramp_step: SECOND,
        copies_per_second: 10_000,
        max_open_copies: 1_000,
        max_value_bytes: 64 << 10,
        max_held_bytes: 256 << 20,
        max_cpu_share: 1.0,
        misses_per_second: 20_000,
        proxy_count: 1,
        proxy_index: 0,
        copy_timeout: DEADLINE,
        tolerance: Tolerance::default(),
        stop_difference_rate: 0.05,
        max_samples: 0,
    }
}

/// An instance that copies to these candidates, and the time from which it does.
fn started(settings: Settings, candidates: &[u64]) -> (Shadow, Nanos) {
    let mut shadow = Shadow::new(settings, PersistedState::default(), 0);
    assert_eq!(shadow.start(1, LEASE, 0), Ok(()));
    assert!(shadow.set_candidates(candidates.to_vec(), 0).is_empty());
    (shadow, 2 * SECOND)
}

fn read(key: u64, value: u64) -> Read {
    let live = ReadOutcome::Value(value);
    Read {
        class: 0,
        tenant: None,
        key,
        outcome: live,
        value_bytes: 100,
        hit: Some(true),
        latency: Some(20 * MS),
    }
}

fn answer(value: u64, hit: bool) -> CopyResult {
    CopyResult { outcome: ReadOutcome::Value(value), hit: Some(hit), latency: 20 * MS }
}

fn skipped(shadow: &Shadow, reason: SkipReason) -> u64 {
    shadow.status().counts.skipped[reason as usize]
}

#[test]
fn excluded_classes_and_tenants_are_never_copied_in_a_million_requests() {
    for tenants in [Tenants::Only(vec![2, 5]), Tenants::Except(vec![0, 1, 3, 4, 6, 7])] {
        let all = matches!(tenants, Tenants::Except(_));
        let (mut shadow, now) = started(Settings { tenants, ..settings() }, &[9]);
        let mut rng = fastrand::Rng::with_seed(27);
        let mut copied = 0;
        for i in 0..1_000_000 {
            let at = now + i * MS / 10;
            let class = rng.u32(0..4);
            let tenant = rng.bool().then(|| rng.u32(0..8));
            let wanted = class == 0 && tenant.map_or(all, |t| t == 2 || t == 5);
            let read = Read { class, tenant, ..read(rng.u64(..), 1) };
            assert!(wanted || !shadow.is_wanted(class, tenant, read.key));
            if let Some(copy) = shadow.offer_read(&read, at) {
                assert!(wanted, "class {class} of tenant {tenant:?}");
                shadow.copy_ended(copy.number, answer(1, true), at);
                copied += 1;
            }
        }
        assert!(copied > 30_000, "{copied}");
        let counts = shadow.status().counts;
        assert_eq!(
            counts.skipped.iter().sum::<u64>() + counts.copies,
            counts.reads,
            "each read is counted as copied or by its skip reason"
        );
    }
}

#[test]
fn nothing_is_copied_before_the_start_after_the_lease_and_after_a_stop() {
    let mut shadow = Shadow::new(settings(), PersistedState::default(), 0);
    let now = 2 * SECOND;
    shadow.set_candidates(vec![9], 0);
    assert_eq!((shadow.offer_read(&read(1, 1), now), shadow.is_wanted(0, None, 1)), (None, false));
    shadow.start(4, 10 * SECOND, now).expect("started");
    assert_eq!(shadow.start(3, LEASE, now), Err(CommandError::Stale(4)));
    let first = shadow.offer_read(&read(1, 1), now).expect("a copy");
    // A renewed lease continues; an expired one stops copying and cancels open copies.
    shadow.start(4, 20 * SECOND, now).expect("renewed");
    assert!(shadow.update_load(&LiveLoad::default(), now + 19 * SECOND).is_empty());
    assert!(
        shadow.offer_read(&read(2, 1), now + 20 * SECOND).is_none(),
        "the lease also ends before the next update"
    );
    assert_eq!(shadow.update_load(&LiveLoad::default(), now + 20 * SECOND), [first.number]);
    assert_eq!(shadow.status().state, State::Stopped(Stop::Lease));
    assert_eq!(shadow.start(4, LEASE, now), Err(CommandError::Stopped(Stop::Lease)));
    shadow.start(5, LEASE, now).expect("a new command");
    let open = shadow.offer_read(&read(3, 1), now + 21 * SECOND).expect("a copy");
    assert_eq!(shadow.stop(4, now), Err(CommandError::Stale(5)));
    assert_eq!(shadow.stop(6, now), Ok(vec![open.number]));
    assert!(shadow.offer_read(&read(4, 1), now + 22 * SECOND).is_none());
    // The stop stays in force in the next process.
    let mut next = Shadow::new(settings(), shadow.persisted_state(), 0);
    assert_eq!(next.status().state, State::Stopped(Stop::Asked));
    assert_eq!(next.start(6, LEASE, 0), Err(CommandError::Stopped(Stop::Asked)));
    assert_eq!(next.start(7, LEASE, 0), Ok(()));
    next.set_candidates(vec![9], 0);
    assert!(
        next.offer_read(&read(1, 1), DEADLINE).is_none(),
        "copies of the previous process may still be open"
    );
    assert_eq!(skipped(&next, SkipReason::RecentRestart), 1);
    assert!(next.offer_read(&read(1, 1), DEADLINE + SECOND).is_some());
}

#[test]
fn removing_a_candidate_cancels_its_copies_and_no_others() {
    let (mut shadow, now) = started(settings(), &[7, 8]);
    assert!((0..100).all(|key| shadow.offer_read(&read(key, 1), now).is_some()));
    let cancelled = shadow.set_candidates(vec![8], now);
    assert!((30..70).contains(&cancelled.len()), "{}", cancelled.len());
    assert_eq!(shadow.status().open_copies, 100 - cancelled.len());
    assert!((100..200).all(|key| shadow.offer_read(&read(key, 1), now).is_some_and(|c| c.candidate == 8)));
    // An answer to a cancelled copy is ignored.
    shadow.copy_ended(cancelled[0], answer(2, true), now);
    assert_eq!(shadow.report().tally, Tally::default());
    assert_eq!(shadow.set_candidates(Vec::new(), now).len(), 200 - cancelled.len());
    assert!(shadow.offer_read(&read(500, 1), now).is_none());
    assert_eq!(skipped(&shadow, SkipReason::NoCandidate), 1);
}

#[test]
fn open_copies_to_a_slow_candidate_are_bounded_and_an_unresponsive_one_gets_no_more() {
    let narrow = Settings {
        max_open_copies: 10,
        max_value_bytes: 64 << 10,
        max_held_bytes: 8 * (64 << 10),
        ramp_step: 10 * SECOND,
        ..settings()
    };
    let (mut shadow, mut now) = started(narrow, &[9]);
    let mut open: Vec<u64> = Vec::new();
    for key in 0..20_u64 {
        open.extend(shadow.offer_read(&read(key, 1), now).map(|c| c.number));
    }
    assert_eq!((open.len(), skipped(&shadow, SkipReason::HeldBytesLimit)), (8, 12));
    assert!(shadow.offer_read(&Read { value_bytes: (64 << 10) + 1, ..read(99, 1) }, now).is_none());
    assert_eq!(skipped(&shadow, SkipReason::ValueTooLong), 1);
    now += DEADLINE;
    let late = CopyResult { outcome: ReadOutcome::TimedOut, hit: None, latency: DEADLINE };
    open.into_iter().for_each(|n| assert!(shadow.copy_ended(n, late, now).is_empty()));
    assert_eq!(shadow.status().sampling_ppm, 0);
    assert_eq!(shadow.status().trouble, Some((Trouble::CandidateSilent, 0)));
    assert!(shadow.offer_read(&read(50, 1), now).is_none());
    // Copying is retried after each step, and stops permanently if the candidate stays unresponsive.
    for round in 1..20 {
        now += 10 * SECOND;
        shadow.update_load(&LiveLoad { max_open: 100, ..LiveLoad::default() }, now);
        let tried: Vec<u64> = (0..8)
            .filter_map(|key| shadow.offer_read(&read(round * 8 + key, 1), now))
            .map(|c| c.number)
            .collect();
        tried.into_iter().for_each(|n| drop(shadow.copy_ended(n, late, now + DEADLINE)));
    }
    assert_eq!(shadow.status().state, State::Stopped(Stop::Failing { failed: 64, of: 64 }));
    assert_eq!(shadow.report().tally.timed_out, 64);
}

#[test]
fn a_write_or_a_new_live_value_excludes_open_copies_of_the_key_from_the_comparison() {
    let (mut shadow, now) = started(settings(), &[9]);
    let copies: Vec<u64> =
        (0..3).map(|key| shadow.offer_read(&read(key, 1), now).expect("a copy").number).collect();
    shadow.note_write(0);
    // A key has only one open copy, but its new live value is recorded.
    assert!(shadow.offer_read(&read(1, 2), now).is_none());
    assert_eq!(skipped(&shadow, SkipReason::AlreadyOpen), 1);
    copies.into_iter().for_each(|n| assert!(shadow.copy_ended(n, answer(7, true), now).is_empty()));
    let tally = shadow.report().tally;
    assert_eq!((tally.raced, tally.compared(), shadow.status().pending_differences), (2, 0, 1));
}

#[test]
fn copying_stops_and_cancels_open_copies_when_too_many_answers_differ() {
    let (mut shadow, mut now) = started(settings(), &[9]);
    let mut stopped = None;
    for i in 0..2_000_u64 {
        now += 10 * MS;
        let open = shadow.offer_read(&read(1_000_000 + i, 1), now).expect("a copy").number;
        let copy = shadow.offer_read(&read(i % 50, 1), now).expect("a copy");
        let wrong = (i % 50) < 10;
        let cancelled = shadow.copy_ended(copy.number, answer(if wrong { 2 } else { 1 }, true), now);
        if !cancelled.is_empty() {
            assert!(cancelled.contains(&open));
            stopped = Some(i);
            break;
        }
        shadow.copy_ended(open, answer(1, true), now);
    }
    let stopped = stopped.expect("a stop");
    assert!((50..1_000).contains(&stopped), "after {stopped}");
    let State::Stopped(Stop::Different { different, of }) = shadow.status().state else {
        panic!("not stopped")
    };
    assert!(different * 20 > of && of >= 100, "{different} of {of}");
    assert_eq!(shadow.report().answers, Verdict::Worse);
}

#[test]
fn no_more_sample_keys_are_kept_than_configured() {
    for samples in [0, 1, 3] {
        let (mut shadow, now) =
            started(Settings { max_samples: samples, stop_difference_rate: 1.0, ..settings() }, &[9]);
        for _ in 0..2 {
            for key in 0..5 {
                let copy = shadow.offer_read(&read(key, 1), now).expect("a copy");
                shadow.copy_ended(copy.number, answer(2, true), now);
            }
        }
        assert_eq!(shadow.report().tally.wrong, 5);
        let kept: Vec<(u64, Difference)> = shadow.samples().map(|s| (s.key, s.difference)).collect();
        let latest = [4, 3, 2].map(|key| (key, Difference::Wrong));
        assert_eq!(kept, latest[..samples]);
    }
}

// ---- budgets ----

#[derive(Clone, Debug)]
enum Step {
    Read {
        key: u64,
        value: u64,
    },
    End {
        which: usize,
        how: u8,
    },
    Pass(u64),
    /// The clock goes backwards by this many milliseconds.
    Back(u64),
    Work(u64),
    Candidates(u8),
    Proxies(u32),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        8 => (0_u64..500, 0_u64..3).prop_map(|(key, value)| Step::Read { key, value }),
        4 => (any::<usize>(), any::<u8>()).prop_map(|(which, how)| Step::End { which, how }),
        3 => (0_u64..120).prop_map(Step::Pass),
        1 => (0_u64..5_000).prop_map(Step::Back),
        1 => (0_u64..30).prop_map(Step::Work),
        1 => (0_u8..4).prop_map(Step::Candidates),
        1 => (1_u32..4).prop_map(Step::Proxies),
    ];
    proptest::collection::vec(step, 1..600)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]
    #[test]
    fn no_budget_is_exceeded_in_any_second_under_any_sequence_of_events(
        steps in steps(),
        copies in 1_usize..40,
        open in 1_usize..12,
        misses in 2_u32..30,
    ) {
        let narrow = Settings {
            copies_per_second: copies,
            max_open_copies: open,
            misses_per_second: misses,
            max_value_bytes: 1_000,
            max_held_bytes: 7_500,
            max_cpu_share: 0.1,
            stop_difference_rate: 1.0,
            ..settings()
        };
        let (mut shadow, mut now) = started(narrow, &[1, 2]);
        let (mut out, mut sent, mut fetched) = (BTreeMap::new(), Vec::new(), Vec::new());
        let mut cpu_times: Vec<(Nanos, Nanos)> = Vec::new();
        for step in steps {
            // Copies past their deadline end.
            let up: Vec<u64> = out.iter().filter(|(_, until)| **until <= now).map(|(n, _)| *n).collect();
            for number in up {
                let until = out.remove(&number).expect("open");
                let timed_out = CopyResult { outcome: ReadOutcome::TimedOut, hit: None, latency: DEADLINE };
                shadow.copy_ended(number, timed_out, now);
                fetched.push(until);
            }
            match step {
                Step::Read { key, value } => {
                    let used: Nanos = cpu_times.iter().filter(|(at, _)| at + SECOND > now).map(|(_, u)| u).sum();
                    if let Some(copy) = shadow.offer_read(&read(key, value), now) {
                        prop_assert!(used < SECOND / 10, "{used} ns in the last second");
                        prop_assert!(out.insert(copy.number, copy.deadline).is_none());
                        sent.push(now);
                    }
                }
                Step::End { which, how } => {
                    let Some(number) = out.keys().nth(which % out.len().max(1)).copied() else { continue };
                    let until = out.remove(&number).expect("open");
                    match how % 4 {
                        0 => drop(shadow.copy_ended(number, answer(1, true), now)),
                        1 => {
                            shadow.copy_ended(number, answer(2, false), now);
                            fetched.push(now);
                        }
                        // Its connection was closed; the candidate may begin the fetch at any time until the deadline.
                        how => {
                            let side = if how == 2 { ReadOutcome::Error } else { ReadOutcome::Busy };
                            shadow.copy_ended(number, CopyResult { outcome: side, hit: None, latency: 0 }, now);
                            fetched.push(until);
                        }
                    }
                }
                Step::Pass(ms) => now += ms * MS,
                Step::Back(ms) => {
                    let earlier = now.saturating_sub(ms * MS);
                    for at in [now, earlier] {
                        shadow.update_load(&LiveLoad { max_open: 9, ..LiveLoad::default() }, at);
                    }
                    if let Some(copy) = shadow.offer_read(&read(1_000 + ms, 1), earlier) {
                        out.insert(copy.number, copy.deadline);
                        sent.push(now);
                    }
                }
                Step::Work(ms) => {
                    shadow.record_cpu_time(ms * MS, now);
                    cpu_times.push((now, ms * MS));
                }
                Step::Candidates(n) => {
                    for number in shadow.set_candidates((0..u64::from(n)).collect(), now) {
                        fetched.push(out.remove(&number).expect("open"));
                    }
                }
                Step::Proxies(n) => shadow.set_proxies(n, 0),
            }
            prop_assert!(out.len() <= open && out.len() <= 7);
            prop_assert_eq!(shadow.status().open_copies, out.len());
        }
        prop_assert!(max_in_any_second(sent) <= copies);
        prop_assert!(max_in_any_second(fetched) <= misses as usize);
    }
}

/// Simulates proxies that copy to a cold candidate, with reads of a skewed key distribution every 20 ms. Returns the
/// times at which the candidate's fetches arrive at the origin.
fn fetches_of_cold_candidate(proxies: u32, misses: u32, wrong: Option<u32>, restarting: bool) -> Vec<Nanos> {
    let make = |i: u32, now: Nanos| {
        let (proxy_count, proxy_index) = if Some(i) == wrong { (1, 0) } else { (proxies, i) };
        let mut shadow = Shadow::new(
            Settings { misses_per_second: misses, proxy_count, proxy_index, ..settings() },
            PersistedState::default(),
            now,
        );
        shadow.start(1, LEASE, now).expect("started");
        shadow.set_candidates(vec![9], now);
        shadow
    };
    let mut all: Vec<Shadow> = (0..proxies).map(|i| make(i, 0)).collect();
    let mut rng = fastrand::Rng::with_seed(u64::from(proxies));
    let (mut cached, mut fetched, mut ends) = (HashSet::new(), Vec::new(), BTreeMap::new());
    for now in (0..6 * SECOND).step_by(20 * MS as usize) {
        // A restart while the candidate is still cold.
        if restarting && now == 1_600 * MS {
            (0..proxies / 2).for_each(|i| all[i as usize] = make(i, now));
            ends.retain(|(_, i, _), _| *i >= proxies / 2);
        }
        let done: Vec<_> = ends.range(..(now, 0, 0)).map(|(k, v)| (*k, *v)).collect();
        for ((at, i, number), hit) in done {
            ends.remove(&(at, i, number));
            all[i as usize].copy_ended(number, answer(1, hit), at);
        }
        // The first proxy has far more than its share of the reads.
        let reads = |i: u32| if i == 0 { 20 } else { (100 / proxies).max(1) };
        for i in (0..proxies).flat_map(|i| (0..reads(i)).map(move |_| i)) {
            let key = (10_000.0 * rng.f64() * rng.f64() * rng.f64()) as u64;
            if let Some(copy) = all[i as usize].offer_read(&read(key, 1), now) {
                // A hit takes 10 ms; a miss takes up to the deadline of the copy.
                let hit = !cached.insert(key);
                let took = if hit { 10 * MS } else { rng.u64(30..250) * MS };
                if !hit {
                    fetched.push(now + rng.u64(..took));
                }
                ends.insert((now + took, i, copy.number), hit);
            }
        }
    }
    fetched
}

#[test]
fn fetches_of_a_cold_candidate_stay_within_the_budget_of_all_proxies() {
    const BUDGET: u32 = 400;
    for proxies in [1, 10, 100] {
        for (wrong, restarting) in [(None, false), (Some(0), false), (None, true), (Some(0), true)] {
            let fetched = fetches_of_cold_candidate(proxies, BUDGET, wrong, restarting);
            let most = max_in_any_second(fetched);
            println!(
                "{proxies} proxies, wrong {wrong:?}, restarting {restarting}: {most} fetches in a second"
            );
            assert!(most <= BUDGET as usize, "{proxies} proxies: {most}");
        }
    }
    // Without the budget there are more, so the budget is what limits them.
    assert!(max_in_any_second(fetches_of_cold_candidate(100, 1_000_000, None, false)) > 2 * BUDGET as usize);
}
