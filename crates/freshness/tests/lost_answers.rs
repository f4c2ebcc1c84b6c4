//! Random histories of calls that this machine can't make, of answers that are lost, and of calls that fail, against the moments
//! at which updates count as notified by the operators' pages.

use freshness::{Nanos, PollConfig, PollScheduler};
use proptest::prelude::*;

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MS;
/// The drain grace of the settings.
const DRAIN_GRACE: Nanos = 500 * MS;
/// How long a proxy may be held up between reading its clock and writing.
const HOLD_UP: Nanos = 150 * MS;
/// What discovery has counts as notified this long after it could be reached.
const NOTIFIED_AFTER_REACHABLE: Nanos = 6 * SECOND;
/// The updates of a discovery that has moved count as notified this long after SIGHUP.
const NOTIFIED_AFTER_MOVE: Nanos = 4 * SECOND;
/// How long discovery may queue a call.
const QUEUE_TIME: Nanos = 2_200 * MS;

/// The result of a call.
#[derive(Clone, Copy, Debug)]
enum CallResult {
    Answered,
    Refused,
    Silent,
    NotMade,
    Lost { has_begun: bool },
}

fn config(pushed: bool, proxies: u32, index: u32) -> PollConfig {
    PollConfig { pushed, proxies, index, max_poll_interval: 10 * SECOND, drain_grace: DRAIN_GRACE }
}

/// A scheduler that has just received a list, and the time.
fn with_list(config: PollConfig, seed: u64) -> (PollScheduler, Nanos) {
    let mut scheduler = PollScheduler::new(config, seed, SECOND);
    let now = scheduler.next_wakeup();
    assert!(scheduler.start_if_due(now));
    scheduler.list_received(now + 5 * MS, true).expect("a watch begins");
    (scheduler, now + 5 * MS)
}

/// Reports the result of a call to the scheduler at this time; returns whether the call was answered.
fn report(scheduler: &mut PollScheduler, result: CallResult, at: Nanos) -> bool {
    match result {
        CallResult::Answered => return scheduler.list_received(at, true).is_some(),
        // The call is replaced at its time-out.
        CallResult::Silent => {}
        CallResult::Refused => scheduler.poll_failed(at),
        CallResult::NotMade => scheduler.call_not_made(at),
        CallResult::Lost { has_begun } => scheduler.answer_lost(at, has_begun),
    }
    false
}

/// The times at which calls begin, from one that is due on, where calls have these results one after the other and are answered
/// from then on.
fn calls_until_answered(scheduler: &mut PollScheduler, results: &[(CallResult, Nanos)]) -> Vec<Nanos> {
    let mut began = Vec::new();
    loop {
        let now = scheduler.next_wakeup();
        assert!(scheduler.start_if_due(now), "the call due at {now} ns does not begin then");
        let (result, duration) = results.get(began.len()).copied().unwrap_or((CallResult::Answered, MS));
        began.push(now);
        // A result that comes after the next call has begun belongs to a replaced call.
        if now + duration < scheduler.next_wakeup() && report(scheduler, result, now + duration) {
            return began;
        }
    }
}

fn any_result() -> impl Strategy<Value = (CallResult, Nanos)> {
    let result = prop_oneof![
        Just(CallResult::Refused),
        Just(CallResult::Silent),
        Just(CallResult::NotMade),
        any::<bool>().prop_map(|has_begun| CallResult::Lost { has_begun }),
    ];
    (result, (0..1_500u64).prop_map(|ms| ms * MS))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4_000, ..ProptestConfig::default() })]

    /// An answer that breaks off after it has begun is asked for again twice within the grace, however many proxies there are.
    #[test]
    fn an_answer_that_breaks_off_is_asked_for_again_twice_within_the_grace(
        pushed: bool, proxies in 1u32..=900, index in 0u32..900, seed: u64, waited in 0u64..10_000,
    ) {
        let (mut scheduler, began) = with_list(config(pushed, proxies, index % proxies), seed);
        let lost_at = began + waited * MS;
        scheduler.answer_lost(lost_at, true);
        let lost = (CallResult::Lost { has_begun: true }, 5 * MS);
        let calls = calls_until_answered(&mut scheduler, &[lost, (CallResult::Answered, MS)]);
        prop_assert_eq!(calls.len(), 2);
        prop_assert!(calls[1] + 5 * MS <= lost_at + DRAIN_GRACE - HOLD_UP, "calls at {calls:?}, lost at {lost_at}");
    }

    /// The same for a connection that breaks before an answer has begun, where there are a handful of proxies.
    #[test]
    fn a_call_whose_connection_breaks_is_repeated_twice_within_the_grace_of_a_small_fleet(
        pushed: bool, proxies in 1u32..=10, index in 0u32..10, seed: u64, waited in 0u64..10_000,
    ) {
        let (mut scheduler, began) = with_list(config(pushed, proxies, index % proxies), seed);
        let lost_at = began + waited * MS;
        scheduler.answer_lost(lost_at, false);
        let lost = (CallResult::Lost { has_begun: false }, 5 * MS);
        let calls = calls_until_answered(&mut scheduler, &[lost, (CallResult::Answered, MS)]);
        prop_assert!(calls[1] + 5 * MS <= lost_at + DRAIN_GRACE - HOLD_UP, "calls at {calls:?}, lost at {lost_at}");
    }

    /// Whatever has failed before, in any order: from the moment at which discovery can be reached, a call begins early enough to be
    /// answered behind discovery's queue before what it has counts as notified.
    #[test]
    fn no_series_of_failures_delays_the_next_call_past_the_moment_of_notification(
        proxies in 1u32..=900, index in 0u32..900, seed: u64, results in prop::collection::vec(any_result(), 1..40),
    ) {
        let (mut scheduler, _) = with_list(config(false, proxies, index % proxies), seed);
        let began = calls_until_answered(&mut scheduler, &results);
        for (gap, (result, duration)) in began.windows(2).map(|two| two[1] - two[0]).zip(&results) {
            // Discovery may be reached right after the failure.
            let failed_after = if matches!(result, CallResult::Silent) { 0 } else { *duration };
            prop_assert!(gap <= failed_after + NOTIFIED_AFTER_REACHABLE - QUEUE_TIME, "calls at {began:?}: {results:?}");
        }
    }

    /// The same behind SIGHUP: whatever becomes of the calls, another one begins before the new discovery's list counts as notified,
    /// after at most half of the time that is left.
    #[test]
    fn errors_behind_a_move_leave_time_for_a_call_before_its_list_counts_as_notified(
        pushed: bool, proxies in 1u32..=900, index in 0u32..900, seed: u64,
        results in prop::collection::vec((any_result(), 0u64..60), 0..12),
    ) {
        const SHORTEST_STEP: Nanos = 200 * MS;
        let (mut scheduler, began) = with_list(config(pushed, proxies, index % proxies), seed);
        let moved_at = began + SECOND;
        let notified_at = moved_at + NOTIFIED_AFTER_MOVE;
        scheduler.discovery_moved(moved_at);
        for ((result, _), ms) in results {
            let now = scheduler.next_wakeup();
            if now > notified_at - SECOND {
                break;
            }
            prop_assert!(scheduler.start_if_due(now));
            let is_silent = matches!(result, CallResult::Silent);
            let ended_at = if is_silent { scheduler.next_wakeup() } else { now + ms * MS };
            report(&mut scheduler, result, ended_at);
            let next = scheduler.next_wakeup();
            let longest = (notified_at.saturating_sub(now) / 2).max(SHORTEST_STEP);
            prop_assert!(next <= ended_at + longest, "{next} after {ended_at}, moved at {moved_at}");
            prop_assert!(next <= notified_at, "{next} after {ended_at}, moved at {moved_at}");
        }
    }

    /// A call that this machine could not make is tried again soon, and says nothing of discovery: what fails next is delayed as if
    /// it had not been.
    #[test]
    fn calls_that_were_not_made_double_no_backoff(proxies in 1u32..=900, seed: u64, times in 1usize..50) {
        let (mut scheduler, began) = with_list(config(false, proxies, 0), seed);
        let (mut other, _) = with_list(config(false, proxies, 0), seed);
        let mut now = began + SECOND;
        for _ in 0..times {
            scheduler.call_not_made(now);
            prop_assert!(scheduler.next_wakeup() <= now + 20 * MS);
            now = scheduler.next_wakeup();
            prop_assert!(scheduler.start_if_due(now));
        }
        scheduler.poll_failed(now);
        other.poll_failed(now);
        prop_assert_eq!(scheduler.next_wakeup(), other.next_wakeup());
    }
}

/// Guards against calls of all proxies at once when all their watches break, as when discovery goes down.
#[test]
fn a_fleet_whose_watches_all_break_at_once_spreads_its_calls() {
    for proxies in [8u32, 40, 100, 350, 900] {
        let mut calls = Vec::new();
        for index in 0..proxies {
            let (mut scheduler, _) = with_list(config(false, proxies, index), u64::from(index) * 77 + 1);
            scheduler.answer_lost(20 * SECOND, false);
            while scheduler.next_wakeup() < 50 * SECOND {
                let now = scheduler.next_wakeup();
                assert!(scheduler.start_if_due(now));
                calls.push(now);
                scheduler.answer_lost(now, false);
            }
        }
        calls.sort_unstable();
        let most =
            calls.iter().map(|at| calls.iter().filter(|c| (*at..*at + SECOND).contains(*c)).count()).max();
        // As where calls are refused. The pages let discovery take a call of each proxy within 2 s to 8 s.
        let allowed = 150.max(proxies as usize / 2);
        assert!(most.is_some_and(|most| most <= allowed), "{proxies} proxies: {most:?} calls in a second");
    }
}
