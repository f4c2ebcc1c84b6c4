//! How much is copied: little at first, more while candidate and live pool hold, nothing at once at trouble; and when it
//! stops by itself.

use crate::{Nanos, MS};
use serde::{Deserialize, Serialize};

/// Copies that must have ended well before a step up.
const LEAST: u32 = 20;
/// So many in a row without an answer are trouble.
const ROW: u32 = 8;
/// The last outcomes that are looked at for a stop, and how many of them may have failed.
const WINDOW: u32 = 64;
const FAILED: u32 = 32;
/// Live answers of one look below which their refusals say nothing.
const EVIDENCE: u32 = 20;
/// Live misses of which the mean has to be known before a rise of it says something.
const MISSES: u32 = 32;
/// The least mean is forgotten by this with each miss: after some 7,000 it counts as twice as long.
const LEAK: f64 = 1.0001;

/// What makes copying fall to nothing at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Trouble {
    /// Live requests are refused.
    Shedding,
    /// The proxy's loop is late.
    LoopDelay,
    /// Half of the room for open requests is taken.
    RoomShort,
    /// Live misses take twice what they took.
    OriginSlow,
    /// Several copies in a row were not answered.
    CandidateSilent,
}

/// Why copying has stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "reason")]
pub enum Stop {
    /// An operator said so.
    Asked,
    /// Its lease ended, and nobody renewed it.
    Lease,
    /// Too many of the last copies failed.
    Failing {
        /// So many.
        failed: u32,
        /// Of so many.
        of: u32,
    },
    /// More answers differ than may, beyond what chance does.
    Different {
        /// So many.
        different: u64,
        /// Of so many that were compared.
        of: u64,
    },
}

/// How the live side is, since the last look.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LiveLoad {
    /// Requests served.
    pub served: u32,
    /// Requests refused.
    pub refused: u32,
    /// How late the loop looked.
    pub loop_delay: Nanos,
    /// Requests open.
    pub open: usize,
    /// Requests that may be open.
    pub max_open: usize,
}

impl LiveLoad {
    /// What is wrong by these.
    fn trouble(&self) -> Option<Trouble> {
        let all = self.served + self.refused;
        if all >= EVIDENCE && self.refused * 50 > all {
            Some(Trouble::Shedding)
        } else if self.loop_delay > 50 * MS {
            Some(Trouble::LoopDelay)
        } else if self.open * 2 > self.max_open {
            Some(Trouble::RoomShort)
        } else {
            None
        }
    }
}

/// The share of keys that is copied now.
#[derive(Clone, Debug)]
pub struct Ramp {
    first: u32,
    most: u32,
    step: Nanos,
    level: u32,
    /// Since when it stands here; where trouble was, until when it stays at nothing.
    since: Nanos,
    well: u32,
    /// The last that was.
    trouble: Option<(Trouble, Nanos)>,
    row: u32,
    /// The last outcomes, a bit each; set: failed.
    last: u64,
    seen: u32,
    origin: Pace,
}

/// What live misses take: the mean of the last dozen and of the last few hundred, and the least that the latter was.
#[derive(Clone, Copy, Debug)]
struct Pace {
    short: f64,
    long: f64,
    least: f64,
    misses: u32,
}

impl Pace {
    /// One more took so long. True if they take twice what they took at the least.
    fn slows(&mut self, took: Nanos) -> bool {
        let took = took as f64;
        self.misses = self.misses.saturating_add(1);
        let part = |least: f64| (1.0 / f64::from(self.misses)).max(least);
        self.short += (took - self.short) * part(1.0 / 12.0);
        self.long += (took - self.long) * part(1.0 / 256.0);
        if self.misses < MISSES {
            return false;
        }
        // Danger: against the mean alone, an origin that slows bit by bit would pass for what it always was.
        self.least = (self.least * LEAK).min(self.long);
        self.short > 2.0 * self.least
    }
}

impl Ramp {
    /// From one level to another, in parts of the keys, doubled no sooner than each `step`.
    pub fn new(first: u32, most: u32, step: Nanos) -> Self {
        Ramp {
            first: first.min(most),
            most,
            step,
            level: first.min(most),
            since: 0,
            well: 0,
            trouble: None,
            row: 0,
            last: 0,
            seen: 0,
            origin: Pace { short: 0.0, long: 0.0, least: f64::INFINITY, misses: 0 },
        }
    }

    /// Begins anew from the first level.
    pub fn restart(&mut self, now: Nanos) {
        let origin = self.origin;
        *self = Ramp { since: now, origin, ..Ramp::new(self.first, self.most, self.step) };
    }

    /// Parts of the keys that are copied.
    pub fn sampling_ppm(&self) -> u32 {
        self.level
    }

    /// The last trouble, and when.
    pub fn trouble(&self) -> Option<(Trouble, Nanos)> {
        self.trouble
    }

    fn fall(&mut self, trouble: Trouble, now: Nanos) {
        self.trouble = Some((trouble, now));
        (self.level, self.since, self.well) = (0, now, 0);
    }

    /// Looks at the live side; steps up where nothing is wrong for long enough.
    pub fn update(&mut self, vitals: &LiveLoad, now: Nanos) {
        if let Some(trouble) = vitals.trouble() {
            self.fall(trouble, now);
        } else if now.saturating_sub(self.since) >= self.step {
            if self.level == 0 {
                (self.level, self.since, self.row) = (self.first, now, 0);
            } else if self.well >= LEAST {
                (self.level, self.since, self.well) = ((self.level * 2).min(self.most), now, 0);
            }
        }
    }

    /// A live miss took so long.
    pub fn record_live_miss(&mut self, took: Nanos, now: Nanos) {
        if self.origin.slows(took) {
            self.fall(Trouble::OriginSlow, now);
        }
    }

    /// A copy ended: `answered` by its candidate, or not; and as it should, or `failed`. Why to stop, if so.
    pub fn record_copy(&mut self, answered: bool, failed: bool, now: Nanos) -> Option<Stop> {
        self.row = if answered { 0 } else { self.row + 1 };
        self.well += u32::from(!failed);
        self.last = self.last << 1 | u64::from(failed);
        self.seen = (self.seen + 1).min(WINDOW);
        if self.row >= ROW {
            self.fall(Trouble::CandidateSilent, now);
        }
        let failures = self.last.count_ones();
        (self.seen == WINDOW && failures > FAILED).then_some(Stop::Failing { failed: failures, of: WINDOW })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::SECOND;

    const WELL: LiveLoad = LiveLoad { served: 100, refused: 0, loop_delay: 0, open: 10, max_open: 1_000 };

    #[test]
    fn it_rises_by_doubling_while_all_hold_and_falls_to_nothing_at_trouble() {
        let mut ramp = Ramp::new(1_000, 5_000, 10 * SECOND);
        ramp.restart(0);
        ramp.update(&WELL, 10 * SECOND);
        assert_eq!(ramp.sampling_ppm(), 1_000, "nothing is seen yet");
        let mut now = 10 * SECOND;
        for level in [2_000, 4_000, 5_000, 5_000] {
            (0..LEAST).for_each(|_| assert_eq!(ramp.record_copy(true, false, now), None));
            ramp.update(&WELL, now);
            assert_eq!(ramp.sampling_ppm(), level);
            now += 10 * SECOND;
        }
        let bad = [
            (LiveLoad { refused: 3, ..WELL }, Trouble::Shedding),
            (LiveLoad { loop_delay: 51 * MS, ..WELL }, Trouble::LoopDelay),
            (LiveLoad { open: 501, ..WELL }, Trouble::RoomShort),
        ];
        for (vitals, trouble) in bad {
            ramp.update(&vitals, now);
            assert_eq!((ramp.sampling_ppm(), ramp.trouble()), (0, Some((trouble, now))));
            ramp.update(&WELL, now + 9 * SECOND);
            assert_eq!(ramp.sampling_ppm(), 0);
            now += 10 * SECOND;
            ramp.update(&WELL, now);
            assert_eq!(ramp.sampling_ppm(), 1_000, "from the first level again");
        }
        // A few refusals among few answers say nothing.
        ramp.update(&LiveLoad { served: 10, refused: 5, ..WELL }, now);
        assert_eq!(ramp.sampling_ppm(), 1_000);
    }

    #[test]
    fn a_slower_origin_and_a_silent_candidate_are_trouble() {
        let mut ramp = Ramp::new(1_000, 5_000, SECOND);
        for _ in 0..200 {
            ramp.record_live_miss(30 * MS, 0);
        }
        assert_eq!(ramp.trouble(), None);
        for _ in 0..20 {
            ramp.record_live_miss(100 * MS, SECOND);
        }
        assert_eq!(ramp.trouble().map(|t| t.0), Some(Trouble::OriginSlow));
        // One that slows bit by bit is as slow in the end.
        let mut gradual = Ramp::new(1_000, 5_000, SECOND);
        (0..2_000).for_each(|i| gradual.record_live_miss(30 * MS + i * MS / 20, i * MS));
        assert_eq!(gradual.trouble().map(|t| t.0), Some(Trouble::OriginSlow));
        ramp.restart(2 * SECOND);
        (1..ROW).for_each(|_| {
            assert!(ramp.record_copy(false, true, 2 * SECOND).is_none() && ramp.sampling_ppm() > 0)
        });
        ramp.record_copy(false, true, 2 * SECOND);
        assert_eq!((ramp.sampling_ppm(), ramp.trouble().map(|t| t.0)), (0, Some(Trouble::CandidateSilent)));
    }

    #[test]
    fn it_stops_where_more_than_half_of_the_last_ones_failed() {
        let mut ramp = Ramp::new(1_000, 5_000, SECOND);
        let outcomes = (0..2 * WINDOW).map(|i| i % 2 == 0);
        assert!(
            outcomes.clone().all(|failed| ramp.record_copy(true, failed, 0).is_none()),
            "half is no stop"
        );
        assert_eq!(ramp.record_copy(true, true, 0), None);
        assert_eq!(ramp.record_copy(true, true, 0), Some(Stop::Failing { failed: FAILED + 1, of: WINDOW }));
    }
}
