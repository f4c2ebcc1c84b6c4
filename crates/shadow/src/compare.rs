//! The comparison: what the candidate answered beside what the live box had.
//!
//! Both were read one after the other, so a record may have changed between. A difference therefore counts only once it
//! has been asked for again: with the next live read of the same key, whose answer tells whether the record changed.

use crate::Nanos;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What one side had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// A value with this digest.
    Value(u64),
    /// It says that there is no such record.
    Missing,
    /// It turned the read away, unseen.
    Busy,
    /// Another error, an answer that can't be read or is too long, or a connection that ended.
    Error,
    /// It had not answered when the copy's time was up.
    TimedOut,
}

/// How often what was found. Every copy that ended is in one of these, but for those in doubt still.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Both had the same.
    pub equal: u64,
    /// They differed, and the record was seen to change between the reads.
    pub changed: u64,
    /// A write to the key, or another live value, was seen while the copy was out: nothing can be said.
    #[serde(rename = "crossed")]
    pub raced: u64,
    /// The candidate had an earlier value of the live side.
    pub stale: u64,
    /// It had another value, also when asked again.
    pub wrong: u64,
    /// It had another value, and the live one when asked again, which had not changed.
    #[serde(rename = "passing")]
    pub transient: u64,
    /// It had no such record where the live side had one.
    pub missing: u64,
    /// It had a record where the live side had none.
    #[serde(rename = "surplus")]
    pub unexpected: u64,
    /// It turned the copy away.
    pub busy: u64,
    /// It failed.
    pub error: u64,
    /// It was late.
    #[serde(rename = "late")]
    pub timed_out: u64,
    /// It differed, and was not read again in time, or there were too many doubts.
    #[serde(rename = "unsettled")]
    pub unresolved: u64,
}

impl Tally {
    /// Copies of which it is known whether they differ.
    pub fn compared(&self) -> u64 {
        self.equal + self.different()
    }

    /// Those that do.
    pub fn different(&self) -> u64 {
        self.stale + self.wrong + self.transient + self.missing + self.unexpected
    }

    /// Takes in what another proxy found.
    pub fn merge(&mut self, other: &Tally) {
        self.equal += other.equal;
        self.changed += other.changed;
        self.raced += other.raced;
        self.stale += other.stale;
        self.wrong += other.wrong;
        self.transient += other.transient;
        self.missing += other.missing;
        self.unexpected += other.unexpected;
        self.busy += other.busy;
        self.error += other.error;
        self.timed_out += other.timed_out;
        self.unresolved += other.unresolved;
    }
}

/// A difference that counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Difference {
    /// As [`Tally::stale`].
    Stale,
    /// As [`Tally::wrong`].
    Wrong,
    /// As [`Tally::transient`].
    #[serde(rename = "passing")]
    Transient,
    /// As [`Tally::missing`].
    Missing,
    /// As [`Tally::unexpected`].
    #[serde(rename = "surplus")]
    Unexpected,
}

/// A difference that waits for the next read of its key.
#[derive(Clone, Copy, Debug)]
struct Doubt {
    live: u64,
    candidate: u64,
    at: Nanos,
}

/// Differences in doubt at the most.
pub const MAX_PENDING: usize = 256;
/// Live values that are remembered at the most.
const PLACES: usize = 4_096;

/// The last live values of keys, in a table of fixed size: a key drives out another one of the same slot.
#[derive(Clone, Debug)]
struct Lives(Vec<(u64, u64, Option<u64>)>);

impl Lives {
    fn slot(&self, place: u64) -> usize {
        (place % PLACES as u64) as usize
    }

    /// The live side has this now. True if it had something else before.
    fn note(&mut self, place: u64, digest: u64) -> bool {
        let slot = self.slot(place);
        let known = &mut self.0[slot];
        if known.0 != place {
            *known = (place, digest, None);
            return false;
        }
        let changed = known.1 != digest;
        if changed {
            *known = (place, digest, Some(known.1));
        }
        changed
    }

    /// What it had before the present value.
    fn before(&self, place: u64) -> Option<u64> {
        let known = self.0[self.slot(place)];
        known.2.filter(|_| known.0 == place)
    }
}

/// The comparison of both sides.
#[derive(Clone, Debug)]
pub struct Comparison {
    /// What was found.
    pub tally: Tally,
    doubts: BTreeMap<u64, Doubt>,
    lives: Lives,
    /// A doubt that has stood for so long is dropped.
    patience: Nanos,
}

impl Comparison {
    /// Nothing found. A difference is held in doubt for so long.
    pub fn new(patience: Nanos) -> Self {
        let lives = Lives(vec![(0, 0, None); PLACES]);
        Comparison { tally: Tally::default(), doubts: BTreeMap::new(), lives, patience }
    }

    /// The live side answered a read. True if it had another value before.
    pub fn record_live(&mut self, place: u64, digest: u64) -> bool {
        self.lives.note(place, digest)
    }

    /// Differences that wait.
    pub fn pending_count(&self) -> usize {
        self.doubts.len()
    }

    /// A difference of this key waits for its next read.
    pub fn is_pending(&self, place: u64) -> bool {
        self.doubts.contains_key(&place)
    }

    /// A copy ended. `crossed`: the record may have changed while it was out. What it showed, if that is a difference
    /// which counts.
    pub fn record_copy(
        &mut self,
        place: u64,
        live: ReadOutcome,
        candidate: ReadOutcome,
        crossed: bool,
        now: Nanos,
    ) -> Option<Difference> {
        let t = &mut self.tally;
        match (live, candidate) {
            (_, ReadOutcome::Busy) => t.busy += 1,
            (_, ReadOutcome::Error) => t.error += 1,
            (_, ReadOutcome::TimedOut) => t.timed_out += 1,
            _ if crossed => t.raced += 1,
            (ReadOutcome::Missing, ReadOutcome::Missing) => t.equal += 1,
            (ReadOutcome::Value(_), ReadOutcome::Missing) => {
                t.missing += 1;
                return Some(Difference::Missing);
            }
            (ReadOutcome::Missing, ReadOutcome::Value(_)) => {
                t.unexpected += 1;
                return Some(Difference::Unexpected);
            }
            (ReadOutcome::Value(live), ReadOutcome::Value(candidate)) => {
                return self.values(place, live, candidate, now)
            }
            // A live side that failed has nothing to compare with.
            _ => t.unresolved += 1,
        }
        None
    }

    fn values(&mut self, place: u64, live: u64, candidate: u64, now: Nanos) -> Option<Difference> {
        if let Some(doubt) = self.doubts.remove(&place) {
            let before = self.lives.before(place);
            let t = &mut self.tally;
            let moved = doubt.live != live;
            let difference = if candidate == live {
                t.equal += 1;
                match (moved, before == Some(doubt.candidate)) {
                    (true, _) => None,
                    (false, true) => Some(Difference::Stale),
                    (false, false) => Some(Difference::Transient),
                }
            } else if (moved && candidate == doubt.live) || before == Some(candidate) {
                Some(Difference::Stale)
            } else {
                Some(Difference::Wrong)
            };
            match difference {
                None => t.changed += 1,
                Some(Difference::Stale) => t.stale += 1,
                Some(Difference::Transient) => t.transient += 1,
                Some(_) => t.wrong += 1,
            }
            return difference;
        } else if live == candidate {
            self.tally.equal += 1;
        } else if self.doubts.len() < MAX_PENDING {
            self.doubts.insert(place, Doubt { live, candidate, at: now });
        } else {
            self.tally.unresolved += 1;
        }
        None
    }

    /// Drops doubts that have stood too long.
    pub fn expire(&mut self, now: Nanos) {
        let (before, patience) = (self.doubts.len(), self.patience);
        self.doubts.retain(|_, d| now.saturating_sub(d.at) < patience);
        self.tally.unresolved += (before - self.doubts.len()) as u64;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::SECOND;

    const KEY: u64 = 77;

    /// Reads of one key: what live and candidate had, in order.
    fn played(reads: &[(u64, u64)]) -> Tally {
        let mut c = Comparison::new(10 * SECOND);
        for (live, candidate) in reads {
            c.record_live(KEY, *live);
            c.record_copy(KEY, ReadOutcome::Value(*live), ReadOutcome::Value(*candidate), false, 0);
        }
        c.tally
    }

    #[test]
    fn a_difference_is_told_apart_once_it_was_asked_for_again() {
        let none = Tally::default();
        assert_eq!(played(&[(1, 1), (1, 2)]), Tally { equal: 1, ..none }, "in doubt, it does not count yet");
        assert_eq!(played(&[(1, 2), (2, 2)]), Tally { equal: 1, changed: 1, ..none });
        assert_eq!(played(&[(1, 9), (1, 9)]), Tally { wrong: 1, ..none });
        assert_eq!(played(&[(1, 8), (1, 9)]), Tally { wrong: 1, ..none });
        assert_eq!(played(&[(1, 9), (1, 1)]), Tally { equal: 1, transient: 1, ..none });
        // One version behind: seen as such by the live value before, or as the live side moves on.
        assert_eq!(played(&[(1, 1), (2, 1), (2, 1)]), Tally { equal: 1, stale: 1, ..none });
        assert_eq!(played(&[(1, 1), (2, 1), (2, 2)]), Tally { equal: 2, stale: 1, ..none });
        assert_eq!(played(&[(2, 1), (3, 2)]), Tally { stale: 1, ..none });
    }

    #[test]
    fn one_side_alone_and_crossed_ones_have_their_own_counts() {
        let mut c = Comparison::new(SECOND);
        let one = ReadOutcome::Value(1);
        c.record_copy(KEY, one, ReadOutcome::Missing, false, 0);
        c.record_copy(KEY, ReadOutcome::Missing, one, false, 0);
        c.record_copy(KEY, ReadOutcome::Missing, ReadOutcome::Missing, false, 0);
        c.record_copy(KEY, one, ReadOutcome::Busy, true, 0);
        c.record_copy(KEY, one, ReadOutcome::Error, false, 0);
        c.record_copy(KEY, one, ReadOutcome::TimedOut, false, 0);
        c.record_copy(KEY, one, ReadOutcome::Value(2), true, 0);
        let expected = Tally {
            missing: 1,
            unexpected: 1,
            equal: 1,
            busy: 1,
            error: 1,
            timed_out: 1,
            raced: 1,
            ..Tally::default()
        };
        assert_eq!((c.tally, c.pending_count()), (expected, 0));
        assert_eq!((c.tally.different(), c.tally.compared()), (2, 3));
    }

    #[test]
    fn doubts_are_bounded_and_do_not_stand_for_ever() {
        let mut c = Comparison::new(SECOND);
        for place in 0..MAX_PENDING as u64 + 5 {
            c.record_copy(place, ReadOutcome::Value(1), ReadOutcome::Value(2), false, 0);
        }
        assert_eq!((c.pending_count(), c.tally.unresolved), (MAX_PENDING, 5));
        c.expire(SECOND - 1);
        assert_eq!(c.pending_count(), MAX_PENDING);
        c.expire(SECOND);
        assert_eq!((c.pending_count(), c.tally.unresolved), (0, MAX_PENDING as u64 + 5));
    }
}
