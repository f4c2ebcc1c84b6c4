//! Budgets of copying. Each limit holds in every window of one second, at any offset and also if the clock goes
//! backwards.

use crate::{Nanos, SECOND};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

/// The greatest number of these times in any window of one second, to check a budget.
pub fn max_in_any_second(mut times: Vec<Nanos>) -> usize {
    times.sort_unstable();
    let within = times.iter().enumerate().map(|(i, t)| times[i..].partition_point(|u| *u < t + SECOND));
    within.max().unwrap_or(0)
}

/// Limits events in any window of one second. The times of the last events are kept, so there is no burst at the edge
/// of a fixed window.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    limit: usize,
    recent: VecDeque<Nanos>,
}

impl RateLimiter {
    /// With a limit per second.
    pub fn new(limit: usize) -> Self {
        RateLimiter { limit, recent: VecDeque::new() }
    }

    /// Whether one more is allowed.
    pub fn allows(&self, now: Nanos) -> bool {
        self.limit > 0 && (self.recent.len() < self.limit || self.recent[0] + SECOND <= now)
    }

    /// Counts one event.
    pub fn take(&mut self, now: Nanos) {
        if self.recent.len() >= self.limit {
            self.recent.pop_front();
        }
        self.recent.push_back(now);
    }
}

/// The share of one proxy in a budget of all proxies.
///
/// Only half of the budget is divided. Proxies do not communicate, and one with a wrong count may believe that it is
/// alone: it then takes that half, the others together have at most the other half, and the budget still holds.
pub fn proxy_share(budget: u32, proxies: u32, index: u32) -> u32 {
    let (half, proxies) = (budget / 2, proxies.max(1));
    half / proxies + u32::from(index < half % proxies)
}

/// Limits the misses that copies cause at candidates in any second, because each miss costs a read from the origin.
///
/// A copy takes a slot when it is sent. Only an answer that reports a hit frees the slot at once. Otherwise the fetch
/// may have begun at any time until the answer or the deadline of the copy, and the slot stays taken for one second
/// after that. So all fetches of any one second held their slots at the same moment, and there are only `limit` slots.
#[derive(Clone, Debug)]
pub struct MissBudget {
    limit: usize,
    /// The deadlines of unanswered copies, until which a fetch for them may begin.
    open: BTreeMap<u64, Nanos>,
    /// The times at which slots of ended copies become free.
    held: BinaryHeap<Reverse<Nanos>>,
}

impl MissBudget {
    /// With a limit per second.
    pub fn new(limit: usize) -> Self {
        MissBudget { limit, open: BTreeMap::new(), held: BinaryHeap::new() }
    }

    /// Changes the limit. Slots that are taken stay taken.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// The number of slots that are taken.
    pub fn taken(&self) -> usize {
        self.open.len() + self.held.len()
    }

    /// Whether one more is allowed.
    pub fn allows(&mut self, now: Nanos) -> bool {
        while self.held.peek().is_some_and(|free| free.0 <= now) {
            self.held.pop();
        }
        self.taken() < self.limit
    }

    /// Takes a slot for a copy; a fetch for it may begin until its deadline.
    pub fn take(&mut self, copy: u64, deadline: Nanos) {
        self.open.insert(copy, deadline);
    }

    /// Records the end of a copy. `hit` says whether its answer was a hit; it is `None` without an answer.
    pub fn release(&mut self, copy: u64, hit: Option<bool>, now: Nanos) {
        let Some(deadline) = self.open.remove(&copy) else { return };
        match hit {
            Some(true) => {}
            Some(false) => self.held.push(Reverse(now + SECOND)),
            None => self.held.push(Reverse(deadline.max(now) + SECOND)),
        }
    }
}

/// The time of the event loop that copying has used, summed over the last second in buckets of a tenth of a second.
#[derive(Clone, Debug, Default)]
pub struct CpuUsage {
    tenths: [Nanos; CpuUsage::TENTHS],
    at: Nanos,
}

impl CpuUsage {
    /// One second and the tenth in progress.
    const TENTHS: usize = 11;
    const TENTH: Nanos = SECOND / 10;

    fn advance(&mut self, now: Nanos) {
        let tenth = now / CpuUsage::TENTH;
        let gone = tenth.saturating_sub(self.at).min(CpuUsage::TENTHS as Nanos);
        for i in 0..gone {
            self.tenths[((self.at + 1 + i) % CpuUsage::TENTHS as Nanos) as usize] = 0;
        }
        self.at = self.at.max(tenth);
    }

    /// Adds time used.
    pub fn add(&mut self, now: Nanos, used: Nanos) {
        self.advance(now);
        self.tenths[(self.at % CpuUsage::TENTHS as Nanos) as usize] += used;
    }

    /// The time used in the last second.
    pub fn last_second(&mut self, now: Nanos) -> Nanos {
        self.advance(now);
        self.tenths.iter().sum()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const MS: Nanos = 1_000_000;

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(256) })]
        #[test]
        fn a_rate_limit_holds_in_any_second(
            most in 0_usize..20,
            gaps in proptest::collection::vec(0_u64..120, 1..400),
        ) {
            let (mut rate, mut now, mut done) = (RateLimiter::new(most), 0, Vec::new());
            for gap in gaps {
                now += gap * MS;
                if rate.allows(now) {
                    rate.take(now);
                    done.push(now);
                }
            }
            prop_assert!(max_in_any_second(done) <= most);
        }

        #[test]
        fn fetches_from_the_origin_stay_within_the_miss_budget_in_any_second(
            most in 0_usize..12,
            copies in proptest::collection::vec((0_u64..60, 0_u64..300, 0_u64..4, 0.0_f64..1.0), 1..300),
        ) {
            // Each copy: the gap before it, when it is answered, how it ends, and at which fraction of its time it is
            // fetched.
            const TIMEOUT: Nanos = 250 * MS;
            let (mut misses, mut now) = (MissBudget::new(most), 0);
            let (mut ends, mut fetched) = (BinaryHeap::new(), Vec::new());
            for (copy, (gap, answer, ending, when)) in copies.into_iter().enumerate() {
                now += gap * MS;
                while let Some(Reverse((at, copy, answer_hit))) = ends.pop() {
                    if at > now {
                        ends.push(Reverse((at, copy, answer_hit)));
                        break;
                    }
                    misses.release(copy, answer_hit, at);
                }
                if !misses.allows(now) {
                    continue;
                }
                let copy = copy as u64;
                misses.take(copy, now + TIMEOUT);
                let (end, answer_hit, hits) = match ending {
                    0 => (now + TIMEOUT.min(answer * MS), Some(true), true),
                    1 => (now + TIMEOUT.min(answer * MS), Some(false), false),
                    // Ended early without an answer, because the box is disconnected or slow; fetched at any time
                    // until the deadline.
                    _ => (now + (answer * MS).min(TIMEOUT), None, false),
                };
                ends.push(Reverse((end, copy, answer_hit)));
                if !hits {
                    let last = if answer_hit.is_some() { end } else { now + TIMEOUT };
                    fetched.push(now + ((last - now) as f64 * when) as Nanos);
                }
            }
            prop_assert!(max_in_any_second(fetched) <= most);
        }

        #[test]
        fn shares_of_all_proxies_stay_within_the_budget_even_if_one_has_a_wrong_proxy_count(
            budget in 0_u32..5_000,
            proxies in 1_u32..300,
            wrong in 0_u32..300,
            wrong_count in 1_u32..300,
        ) {
            let own = |i| proxy_share(budget, if i == wrong { wrong_count } else { proxies }, i);
            let all: u32 = (0..proxies).map(own).sum();
            prop_assert!(all <= budget);
            let right: u32 = (0..proxies).map(|i| proxy_share(budget, proxies, i)).sum();
            prop_assert_eq!(right, budget / 2);
        }

        #[test]
        fn cpu_usage_of_the_last_second_is_never_underestimated(
            adds in proptest::collection::vec((0_u64..300, 0_u64..5), 1..200),
        ) {
            let (mut work, mut now, mut all) = (CpuUsage::default(), 0, Vec::new());
            for (gap, used) in adds {
                now += gap * MS;
                work.add(now, used * MS);
                all.push((now, used * MS));
                let real: Nanos = all.iter().filter(|(at, _)| at + SECOND > now).map(|(_, u)| u).sum();
                let counted = work.last_second(now);
                prop_assert!(counted >= real);
                let longer = all.iter().filter(|(at, _)| at + SECOND + 200 * MS > now).map(|(_, u)| u).sum();
                prop_assert!(counted <= longer);
            }
        }
    }
}
