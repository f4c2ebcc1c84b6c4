//! Ramp-up: the sampling rate starts small, doubles while candidates and live boxes are healthy, and drops to zero at
//! trouble. Also decides when copying stops by itself.

use crate::{Nanos, MS};
use serde::{Deserialize, Serialize};

/// Successful copies required before the sampling rate is raised.
const MIN_SUCCESSES: u32 = 20;
/// Consecutive unanswered copies that count as trouble.
const MAX_UNANSWERED_IN_A_ROW: u32 = 8;
/// The number of most recent copies that decide on a stop.
const WINDOW: u32 = 64;
/// The most failed copies among these without a stop.
const MAX_FAILED: u32 = 32;
/// Live requests between two updates below which the rate of refusals is not judged.
const MIN_LIVE_REQUESTS: u32 = 20;
/// Live misses required before a rise of their mean latency is judged.
const MIN_MISSES: u32 = 32;
/// The factor by which the least mean latency grows with each miss, so that it doubles after about 7,000 misses.
const MINIMUM_DECAY: f64 = 1.0001;

/// Trouble that drops the sampling rate to zero at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Trouble {
    /// More than 2% of live requests are refused.
    Shedding,
    /// The event loop of the proxy is late.
    LoopDelay,
    /// More than half of the allowed open requests are open.
    RoomShort,
    /// The mean latency of live misses has doubled.
    OriginSlow,
    /// Several consecutive copies were not answered.
    CandidateSilent,
}

/// Why copying has stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "reason")]
pub enum Stop {
    /// An operator stopped it.
    Asked,
    /// Its lease expired without renewal.
    Lease,
    /// Too many of the most recent copies failed.
    Failing {
        /// The number of failed copies.
        failed: u32,
        /// The number of copies considered.
        of: u32,
    },
    /// Significantly more answers differ than the limit allows.
    Different {
        /// The number of different answers.
        different: u64,
        /// The number of answers compared.
        of: u64,
    },
}

/// The load of the live side since the last update.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LiveLoad {
    /// Requests served.
    pub served: u32,
    /// Requests refused.
    pub refused: u32,
    /// The delay of the event loop.
    pub loop_delay: Nanos,
    /// Requests open.
    pub open: usize,
    /// The limit of open requests.
    pub max_open: usize,
}

impl LiveLoad {
    /// The trouble that these values show.
    fn trouble(&self) -> Option<Trouble> {
        let total = self.served + self.refused;
        if total >= MIN_LIVE_REQUESTS && self.refused * 50 > total {
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

/// The sampling rate over time.
#[derive(Clone, Debug)]
pub struct Ramp {
    first: u32,
    max: u32,
    step: Nanos,
    level: u32,
    /// When the level was last set; after trouble, it stays zero for a step from then on.
    since: Nanos,
    successes: u32,
    /// The last trouble and when it occurred.
    trouble: Option<(Trouble, Nanos)>,
    unanswered_in_a_row: u32,
    /// The most recent copies, one bit each, set if the copy failed.
    recent_failures: u64,
    seen: u32,
    miss_latency: MissLatency,
}

/// Latency of live misses: moving averages over about 12 and 256 misses, and the decaying minimum of the latter.
#[derive(Clone, Copy, Debug)]
struct MissLatency {
    short: f64,
    long: f64,
    minimum: f64,
    misses: u32,
}

impl MissLatency {
    /// Records the latency of a miss. True if the short average is more than twice the minimum.
    fn record(&mut self, latency: Nanos) -> bool {
        let latency = latency as f64;
        self.misses = self.misses.saturating_add(1);
        let weight = |min_weight: f64| (1.0 / f64::from(self.misses)).max(min_weight);
        self.short += (latency - self.short) * weight(1.0 / 12.0);
        self.long += (latency - self.long) * weight(1.0 / 256.0);
        if self.misses < MIN_MISSES {
            return false;
        }
        // Compared with the long average, an origin that slows down gradually would not be noticed.
        self.minimum = (self.minimum * MINIMUM_DECAY).min(self.long);
        self.short > 2.0 * self.minimum
    }
}

impl Ramp {
    /// From a first to a maximum sampling rate in parts per million, doubled at most once per `step`.
    pub fn new(first: u32, max: u32, step: Nanos) -> Self {
        Ramp {
            first: first.min(max),
            max,
            step,
            level: first.min(max),
            since: 0,
            successes: 0,
            trouble: None,
            unanswered_in_a_row: 0,
            recent_failures: 0,
            seen: 0,
            miss_latency: MissLatency { short: 0.0, long: 0.0, minimum: f64::INFINITY, misses: 0 },
        }
    }

    /// Starts again from the first level. The latencies of live misses are kept.
    pub fn restart(&mut self, now: Nanos) {
        let miss_latency = self.miss_latency;
        *self = Ramp { since: now, miss_latency, ..Ramp::new(self.first, self.max, self.step) };
    }

    /// The current sampling rate in parts per million.
    pub fn sampling_ppm(&self) -> u32 {
        self.level
    }

    /// The last trouble and when it occurred.
    pub fn trouble(&self) -> Option<(Trouble, Nanos)> {
        self.trouble
    }

    fn drop_to_zero(&mut self, trouble: Trouble, now: Nanos) {
        self.trouble = Some((trouble, now));
        (self.level, self.since, self.successes) = (0, now, 0);
    }

    /// Applies the load of the live side; raises the sampling rate after long enough without trouble.
    pub fn update(&mut self, load: &LiveLoad, now: Nanos) {
        if let Some(trouble) = load.trouble() {
            self.drop_to_zero(trouble, now);
        } else if now.saturating_sub(self.since) >= self.step {
            if self.level == 0 {
                (self.level, self.since, self.unanswered_in_a_row) = (self.first, now, 0);
            } else if self.successes >= MIN_SUCCESSES {
                (self.level, self.since, self.successes) = ((self.level * 2).min(self.max), now, 0);
            }
        }
    }

    /// Records the latency of a live miss.
    pub fn record_live_miss(&mut self, latency: Nanos, now: Nanos) {
        if self.miss_latency.record(latency) {
            self.drop_to_zero(Trouble::OriginSlow, now);
        }
    }

    /// Records the end of a copy: whether the candidate `answered` at all, and whether the copy `failed`. Returns the
    /// reason if copying must stop.
    pub fn record_copy(&mut self, answered: bool, failed: bool, now: Nanos) -> Option<Stop> {
        self.unanswered_in_a_row = if answered { 0 } else { self.unanswered_in_a_row + 1 };
        self.successes += u32::from(!failed);
        self.recent_failures = self.recent_failures << 1 | u64::from(failed);
        self.seen = (self.seen + 1).min(WINDOW);
        if self.unanswered_in_a_row >= MAX_UNANSWERED_IN_A_ROW {
            self.drop_to_zero(Trouble::CandidateSilent, now);
        }
        let failures = self.recent_failures.count_ones();
        (self.seen == WINDOW && failures > MAX_FAILED)
            .then_some(Stop::Failing { failed: failures, of: WINDOW })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::SECOND;

    const HEALTHY: LiveLoad = LiveLoad { served: 100, refused: 0, loop_delay: 0, open: 10, max_open: 1_000 };

    #[test]
    fn the_sampling_rate_doubles_while_healthy_and_drops_to_zero_at_trouble() {
        let mut ramp = Ramp::new(1_000, 5_000, 10 * SECOND);
        ramp.restart(0);
        ramp.update(&HEALTHY, 10 * SECOND);
        assert_eq!(ramp.sampling_ppm(), 1_000, "no copies have ended yet");
        let mut now = 10 * SECOND;
        for level in [2_000, 4_000, 5_000, 5_000] {
            (0..MIN_SUCCESSES).for_each(|_| assert_eq!(ramp.record_copy(true, false, now), None));
            ramp.update(&HEALTHY, now);
            assert_eq!(ramp.sampling_ppm(), level);
            now += 10 * SECOND;
        }
        let bad = [
            (LiveLoad { refused: 3, ..HEALTHY }, Trouble::Shedding),
            (LiveLoad { loop_delay: 51 * MS, ..HEALTHY }, Trouble::LoopDelay),
            (LiveLoad { open: 501, ..HEALTHY }, Trouble::RoomShort),
        ];
        for (load, trouble) in bad {
            ramp.update(&load, now);
            assert_eq!((ramp.sampling_ppm(), ramp.trouble()), (0, Some((trouble, now))));
            ramp.update(&HEALTHY, now + 9 * SECOND);
            assert_eq!(ramp.sampling_ppm(), 0);
            now += 10 * SECOND;
            ramp.update(&HEALTHY, now);
            assert_eq!(ramp.sampling_ppm(), 1_000, "restarts from the first level");
        }
        // Refusals among too few requests are not judged.
        ramp.update(&LiveLoad { served: 10, refused: 5, ..HEALTHY }, now);
        assert_eq!(ramp.sampling_ppm(), 1_000);
    }

    #[test]
    fn a_slower_origin_and_an_unresponsive_candidate_are_trouble() {
        let mut ramp = Ramp::new(1_000, 5_000, SECOND);
        for _ in 0..200 {
            ramp.record_live_miss(30 * MS, 0);
        }
        assert_eq!(ramp.trouble(), None);
        for _ in 0..20 {
            ramp.record_live_miss(100 * MS, SECOND);
        }
        assert_eq!(ramp.trouble().map(|t| t.0), Some(Trouble::OriginSlow));
        // An origin that slows down gradually is noticed as well.
        let mut gradual = Ramp::new(1_000, 5_000, SECOND);
        (0..2_000).for_each(|i| gradual.record_live_miss(30 * MS + i * MS / 20, i * MS));
        assert_eq!(gradual.trouble().map(|t| t.0), Some(Trouble::OriginSlow));
        ramp.restart(2 * SECOND);
        (1..MAX_UNANSWERED_IN_A_ROW).for_each(|_| {
            assert!(ramp.record_copy(false, true, 2 * SECOND).is_none() && ramp.sampling_ppm() > 0)
        });
        ramp.record_copy(false, true, 2 * SECOND);
        assert_eq!((ramp.sampling_ppm(), ramp.trouble().map(|t| t.0)), (0, Some(Trouble::CandidateSilent)));
    }

    #[test]
    fn copying_stops_when_more_than_half_of_the_recent_copies_failed() {
        let mut ramp = Ramp::new(1_000, 5_000, SECOND);
        let outcomes = (0..2 * WINDOW).map(|i| i % 2 == 0);
        assert!(
            outcomes.clone().all(|failed| ramp.record_copy(true, failed, 0).is_none()),
            "half of the copies may fail"
        );
        assert_eq!(ramp.record_copy(true, true, 0), None);
        assert_eq!(
            ramp.record_copy(true, true, 0),
            Some(Stop::Failing { failed: MAX_FAILED + 1, of: WINDOW })
        );
    }
}
