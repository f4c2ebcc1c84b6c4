//! The comparison of a candidate's answer with that of the live box.
//!
//! The two reads follow one another, so the record may have changed in between. A difference of values therefore stays
//! pending until the next copied read of the same key, whose answers tell whether the record had changed.

use crate::Nanos;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The outcome of a read at one side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// A value with this digest.
    Value(u64),
    /// An answer that there is no such record.
    Missing,
    /// Rejected without processing.
    Busy,
    /// Another error, an answer that is malformed or too long, or a closed connection.
    Error,
    /// No answer by the deadline of the copy.
    TimedOut,
}

/// Counts of the results of comparisons. Each ended copy is in one of them, except copies with a pending difference.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Both sides had the same.
    pub equal: u64,
    /// The values differed because the record had changed between the reads.
    pub changed: u64,
    /// A write to the key, or a new live value, was seen while the copy was open, so the answers cannot be compared.
    #[serde(rename = "crossed")]
    pub raced: u64,
    /// The candidate had an earlier value of the live side.
    pub stale: u64,
    /// It had another value in both reads.
    pub wrong: u64,
    /// It had another value first and the live one in the second read, although the record had not changed.
    #[serde(rename = "passing")]
    pub transient: u64,
    /// It had no such record where the live side had one.
    pub missing: u64,
    /// It had a record where the live side had none.
    #[serde(rename = "surplus")]
    pub unexpected: u64,
    /// The candidate rejected the copy.
    pub busy: u64,
    /// The copy failed.
    pub error: u64,
    /// The copy timed out.
    #[serde(rename = "late")]
    pub timed_out: u64,
    /// The values differed, but the key was not read again in time, or too many differences were pending.
    #[serde(rename = "unsettled")]
    pub unresolved: u64,
}

impl Tally {
    /// Copies with a known result, equal or different.
    pub fn compared(&self) -> u64 {
        self.equal + self.different()
    }

    /// Copies whose answers differ.
    pub fn different(&self) -> u64 {
        self.stale + self.wrong + self.transient + self.missing + self.unexpected
    }

    /// Adds the counts of another proxy.
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

/// The kind of a confirmed difference.
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

/// A difference of values that waits for the next read of its key.
#[derive(Clone, Copy, Debug)]
struct PendingDifference {
    live: u64,
    candidate: u64,
    since: Nanos,
}

/// The most pending differences.
pub const MAX_PENDING: usize = 256;
/// Slots of the table of live values.
const SLOTS: usize = 4_096;

/// The current and the previous live value of keys, in a table of fixed size: a key replaces another one in its slot.
/// An entry holds the hash of the key, the digest of the current value and that of the previous one.
#[derive(Clone, Debug)]
struct LiveValues(Vec<(u64, u64, Option<u64>)>);

impl LiveValues {
    fn slot(&self, key_hash: u64) -> usize {
        (key_hash % SLOTS as u64) as usize
    }

    /// Records the current live value. True if it has changed.
    fn record(&mut self, key_hash: u64, digest: u64) -> bool {
        let slot = self.slot(key_hash);
        let entry = &mut self.0[slot];
        if entry.0 != key_hash {
            *entry = (key_hash, digest, None);
            return false;
        }
        let changed = entry.1 != digest;
        if changed {
            *entry = (key_hash, digest, Some(entry.1));
        }
        changed
    }

    /// The digest of the value before the current one.
    fn previous(&self, key_hash: u64) -> Option<u64> {
        let entry = self.0[self.slot(key_hash)];
        entry.2.filter(|_| entry.0 == key_hash)
    }
}

/// Compares the answers of live boxes and candidates.
#[derive(Clone, Debug)]
pub struct Comparison {
    /// The results so far.
    pub tally: Tally,
    pending: BTreeMap<u64, PendingDifference>,
    live_values: LiveValues,
    /// A difference that has been pending for this long is given up.
    max_pending_time: Nanos,
}

impl Comparison {
    /// Without results. A difference is pending for at most `max_pending_time`.
    pub fn new(max_pending_time: Nanos) -> Self {
        let live_values = LiveValues(vec![(0, 0, None); SLOTS]);
        Comparison { tally: Tally::default(), pending: BTreeMap::new(), live_values, max_pending_time }
    }

    /// Records the value of a live read. True if it has changed.
    pub fn record_live(&mut self, key_hash: u64, digest: u64) -> bool {
        self.live_values.record(key_hash, digest)
    }

    /// The number of pending differences.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Whether a difference of this key is pending.
    pub fn is_pending(&self, key_hash: u64) -> bool {
        self.pending.contains_key(&key_hash)
    }

    /// Records the outcomes of a copy and returns its difference, if one is confirmed. `raced` says that the record may
    /// have changed while the copy was open.
    pub fn record_copy(
        &mut self,
        key_hash: u64,
        live: ReadOutcome,
        candidate: ReadOutcome,
        raced: bool,
        now: Nanos,
    ) -> Option<Difference> {
        let t = &mut self.tally;
        match (live, candidate) {
            (_, ReadOutcome::Busy) => t.busy += 1,
            (_, ReadOutcome::Error) => t.error += 1,
            (_, ReadOutcome::TimedOut) => t.timed_out += 1,
            _ if raced => t.raced += 1,
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
                return self.compare_values(key_hash, live, candidate, now)
            }
            // A failed live read leaves nothing to compare with.
            _ => t.unresolved += 1,
        }
        None
    }

    fn compare_values(&mut self, key_hash: u64, live: u64, candidate: u64, now: Nanos) -> Option<Difference> {
        if let Some(pending) = self.pending.remove(&key_hash) {
            let previous = self.live_values.previous(key_hash);
            let t = &mut self.tally;
            let live_changed = pending.live != live;
            let difference = if candidate == live {
                t.equal += 1;
                match (live_changed, previous == Some(pending.candidate)) {
                    (true, _) => None,
                    (false, true) => Some(Difference::Stale),
                    (false, false) => Some(Difference::Transient),
                }
            } else if (live_changed && candidate == pending.live) || previous == Some(candidate) {
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
        } else if self.pending.len() < MAX_PENDING {
            self.pending.insert(key_hash, PendingDifference { live, candidate, since: now });
        } else {
            self.tally.unresolved += 1;
        }
        None
    }

    /// Gives up differences that have been pending too long.
    pub fn expire(&mut self, now: Nanos) {
        let (count_before, max_pending_time) = (self.pending.len(), self.max_pending_time);
        self.pending.retain(|_, difference| now.saturating_sub(difference.since) < max_pending_time);
        self.tally.unresolved += (count_before - self.pending.len()) as u64;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::SECOND;

    const KEY: u64 = 77;

    /// The tally after reads of one key with these live and candidate values.
    fn tally_of(reads: &[(u64, u64)]) -> Tally {
        let mut c = Comparison::new(10 * SECOND);
        for (live, candidate) in reads {
            c.record_live(KEY, *live);
            c.record_copy(KEY, ReadOutcome::Value(*live), ReadOutcome::Value(*candidate), false, 0);
        }
        c.tally
    }

    #[test]
    fn a_difference_is_classified_by_the_next_read_of_its_key() {
        let none = Tally::default();
        assert_eq!(
            tally_of(&[(1, 1), (1, 2)]),
            Tally { equal: 1, ..none },
            "a pending difference is not counted"
        );
        assert_eq!(tally_of(&[(1, 2), (2, 2)]), Tally { equal: 1, changed: 1, ..none });
        assert_eq!(tally_of(&[(1, 9), (1, 9)]), Tally { wrong: 1, ..none });
        assert_eq!(tally_of(&[(1, 8), (1, 9)]), Tally { wrong: 1, ..none });
        assert_eq!(tally_of(&[(1, 9), (1, 1)]), Tally { equal: 1, transient: 1, ..none });
        // One version behind: recognised by the previous live value, or when the live value changes.
        assert_eq!(tally_of(&[(1, 1), (2, 1), (2, 1)]), Tally { equal: 1, stale: 1, ..none });
        assert_eq!(tally_of(&[(1, 1), (2, 1), (2, 2)]), Tally { equal: 2, stale: 1, ..none });
        assert_eq!(tally_of(&[(2, 1), (3, 2)]), Tally { stale: 1, ..none });
    }

    #[test]
    fn one_sided_records_failures_and_raced_copies_are_counted_separately() {
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
    fn pending_differences_are_bounded_and_expire() {
        let mut c = Comparison::new(SECOND);
        for key_hash in 0..MAX_PENDING as u64 + 5 {
            c.record_copy(key_hash, ReadOutcome::Value(1), ReadOutcome::Value(2), false, 0);
        }
        assert_eq!((c.pending_count(), c.tally.unresolved), (MAX_PENDING, 5));
        c.expire(SECOND - 1);
        assert_eq!(c.pending_count(), MAX_PENDING);
        c.expire(SECOND);
        assert_eq!((c.pending_count(), c.tally.unresolved), (0, MAX_PENDING as u64 + 5));
    }
}
