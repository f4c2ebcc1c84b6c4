//! What copying may use. Each bound holds in every second, however the seconds are laid, and whatever the clock does.

use crate::{Nanos, SECOND};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

/// The most of these times that lie in one second: what a budget is judged by.
pub fn max_in_any_second(mut times: Vec<Nanos>) -> usize {
    times.sort_unstable();
    let within = times.iter().enumerate().map(|(i, t)| times[i..].partition_point(|u| *u < t + SECOND));
    within.max().unwrap_or(0)
}

/// At most so many in any second: the last ones are remembered, so there is no burst at a second's edge.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    most: usize,
    last: VecDeque<Nanos>,
}

impl RateLimiter {
    /// So many a second.
    pub fn new(most: usize) -> Self {
        RateLimiter { most, last: VecDeque::new() }
    }

    /// One more is allowed.
    pub fn allows(&self, now: Nanos) -> bool {
        self.most > 0 && (self.last.len() < self.most || self.last[0] + SECOND <= now)
    }

    /// One more is done.
    pub fn take(&mut self, now: Nanos) {
        if self.last.len() >= self.most {
            self.last.pop_front();
        }
        self.last.push_back(now);
    }
}

/// The part that one proxy has of what all together may do in a second.
///
/// Half of the whole is shared out. Danger: proxies don't talk. One that believes that it is alone takes that half, and
/// all others together have no more than the other; so the whole still holds with one that is wrong.
pub fn proxy_share(whole: u32, proxies: u32, index: u32) -> u32 {
    let (half, proxies) = (whole / 2, proxies.max(1));
    half / proxies + u32::from(index < half % proxies)
}

/// Misses that candidates may be caused in any second: each takes a read from the origin.
///
/// A copy counts as a miss from when it is sent. Only its own `hit` frees that at once. Else the fetch may have begun at
/// any time until the copy was answered or its time was up, and the place is held for a second beyond that: so all
/// fetches of any one second had their places at the same moment, and there are not more places than `most`.
#[derive(Clone, Debug)]
pub struct MissBudget {
    most: usize,
    /// Copies that are not answered, and until when a fetch for them may begin.
    open: BTreeMap<u64, Nanos>,
    /// Places that are free again from then on.
    held: BinaryHeap<Reverse<Nanos>>,
}

impl MissBudget {
    /// So many in any second.
    pub fn new(most: usize) -> Self {
        MissBudget { most, open: BTreeMap::new(), held: BinaryHeap::new() }
    }

    /// From now on so many. What is taken stays taken.
    pub fn set_limit(&mut self, most: usize) {
        self.most = most;
    }

    /// Places that are taken.
    pub fn taken(&self) -> usize {
        self.open.len() + self.held.len()
    }

    /// One more is allowed.
    pub fn allows(&mut self, now: Nanos) -> bool {
        while self.held.peek().is_some_and(|free| free.0 <= now) {
            self.held.pop();
        }
        self.taken() < self.most
    }

    /// A copy is sent; a fetch for it may begin until then.
    pub fn take(&mut self, copy: u64, until: Nanos) {
        self.open.insert(copy, until);
    }

    /// A copy ended: by an answer, which says whether it was a `hit`, or without one.
    pub fn release(&mut self, copy: u64, answered: Option<bool>, now: Nanos) {
        let Some(until) = self.open.remove(&copy) else { return };
        match answered {
            Some(true) => {}
            Some(false) => self.held.push(Reverse(now + SECOND)),
            None => self.held.push(Reverse(until.max(now) + SECOND)),
        }
    }
}

/// Time of the loop that copying has used, in tenths of a second; the last whole second of them counts.
#[derive(Clone, Debug, Default)]
pub struct CpuUsage {
    tenths: [Nanos; CpuUsage::TENTHS],
    at: Nanos,
}

impl CpuUsage {
    /// A second, and the tenth that is under way.
    const TENTHS: usize = 11;
    const TENTH: Nanos = SECOND / 10;

    fn turn(&mut self, now: Nanos) {
        let tenth = now / CpuUsage::TENTH;
        let gone = tenth.saturating_sub(self.at).min(CpuUsage::TENTHS as Nanos);
        for i in 0..gone {
            self.tenths[((self.at + 1 + i) % CpuUsage::TENTHS as Nanos) as usize] = 0;
        }
        self.at = self.at.max(tenth);
    }

    /// So much was used.
    pub fn add(&mut self, now: Nanos, used: Nanos) {
        self.turn(now);
        self.tenths[(self.at % CpuUsage::TENTHS as Nanos) as usize] += used;
    }

    /// Used in the last second.
    pub fn last_second(&mut self, now: Nanos) -> Nanos {
        self.turn(now);
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
        fn a_rate_is_never_passed_in_any_second(
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
        fn fetches_at_the_origin_never_pass_the_misses_of_any_second(
            most in 0_usize..12,
            copies in proptest::collection::vec((0_u64..60, 0_u64..300, 0_u64..4, 0.0_f64..1.0), 1..300),
        ) {
            // Each copy: a gap before it, when it is answered, how it ends, and when in its time it is fetched.
            const TIME: Nanos = 250 * MS;
            let (mut misses, mut now) = (MissBudget::new(most), 0);
            let (mut ends, mut fetched) = (BinaryHeap::new(), Vec::new());
            for (copy, (gap, answer, how, when)) in copies.into_iter().enumerate() {
                now += gap * MS;
                while let Some(Reverse((at, copy, said))) = ends.pop() {
                    if at > now {
                        ends.push(Reverse((at, copy, said)));
                        break;
                    }
                    misses.release(copy, said, at);
                }
                if !misses.allows(now) {
                    continue;
                }
                let copy = copy as u64;
                misses.take(copy, now + TIME);
                let (end, said, hits) = match how {
                    0 => (now + TIME.min(answer * MS), Some(true), true),
                    1 => (now + TIME.min(answer * MS), Some(false), false),
                    // Given up early, fetched whenever in its time: by a box that was cut off, or slow.
                    _ => (now + (answer * MS).min(TIME), None, false),
                };
                ends.push(Reverse((end, copy, said)));
                if !hits {
                    let last = if said.is_some() { end } else { now + TIME };
                    fetched.push(now + ((last - now) as f64 * when) as Nanos);
                }
            }
            prop_assert!(max_in_any_second(fetched) <= most);
        }

        #[test]
        fn parts_of_all_proxies_are_under_the_whole_also_with_one_that_believes_otherwise(
            whole in 0_u32..5_000,
            proxies in 1_u32..300,
            wrong in 0_u32..300,
            believed in 1_u32..300,
        ) {
            let own = |i| if i == wrong { proxy_share(whole, believed, i) } else { proxy_share(whole, proxies, i) };
            let all: u32 = (0..proxies).map(own).sum();
            prop_assert!(all <= whole);
            let right: u32 = (0..proxies).map(|i| proxy_share(whole, proxies, i)).sum();
            prop_assert_eq!(right, whole / 2);
        }

        #[test]
        fn work_of_the_last_second_is_never_counted_less_than_it_was(
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
