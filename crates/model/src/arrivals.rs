//! The requests of a scenario: the same for the same seed, wherever it is played.

use crate::random::{RandomSource, Zipf};
use crate::{seconds, Nanos, Scenario};

/// A request of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// When, from the start.
    pub at: Nanos,
    /// Its key.
    pub key: u64,
    /// It writes.
    pub write: bool,
}

/// All requests, in their order.
#[derive(Clone, Debug)]
pub struct Arrivals<'a> {
    scenario: &'a Scenario,
    chance: RandomSource,
    zipf: Zipf,
    peak: f64,
    now: Nanos,
}

impl<'a> Arrivals<'a> {
    /// Those of a scenario and a seed.
    pub fn new(scenario: &'a Scenario, seed: u64) -> Self {
        let peak = scenario.traffic.curve.iter().map(|p| p.times).fold(1.0, f64::max);
        let zipf = Zipf::new(scenario.traffic.keys, scenario.traffic.zipf);
        Arrivals { scenario, chance: RandomSource::new(seed, 1), zipf, peak, now: 0 }
    }
}

impl Iterator for Arrivals<'_> {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let traffic = &self.scenario.traffic;
        loop {
            // Thinning: chance decides at the highest rate, and a part of what comes is dropped.
            let gap = self.chance.exponential() / (traffic.rate * self.peak);
            self.now += ((gap * 1e9) as Nanos).max(1);
            if self.now >= seconds(self.scenario.duration_s) {
                return None;
            }
            if self.chance.happens(self.scenario.times(self.now) / self.peak) {
                break;
            }
        }
        let key = if self.chance.happens(traffic.hot) {
            let moves = seconds(traffic.hot_moves_s);
            traffic.keys + self.now.checked_div(moves).unwrap_or(0)
        } else {
            self.zipf.draw(&mut self.chance)
        };
        let write = self.chance.happens(traffic.writes);
        // Keys lie anywhere among the numbers, as hashes do.
        Some(Arrival { at: self.now, key: key.wrapping_mul(0x9e37_79b9_7f4a_7c15), write })
    }
}
