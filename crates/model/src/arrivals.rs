//! The client requests of a scenario: the same for the same seed, in the model and over sockets.

use crate::random::{RandomSource, Zipf};
use crate::{seconds, Nanos, Scenario};

/// A request of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Time since the start.
    pub at: Nanos,
    /// Its key.
    pub key: u64,
    /// Whether it is a write.
    pub write: bool,
}

/// Iterator over all requests in order of time.
#[derive(Clone, Debug)]
pub struct Arrivals<'a> {
    scenario: &'a Scenario,
    random: RandomSource,
    zipf: Zipf,
    peak: f64,
    now: Nanos,
}

impl<'a> Arrivals<'a> {
    /// The requests of a scenario with this seed.
    pub fn new(scenario: &'a Scenario, seed: u64) -> Self {
        let peak = scenario.traffic.curve.iter().map(|p| p.times).fold(1.0, f64::max);
        let zipf = Zipf::new(scenario.traffic.keys, scenario.traffic.zipf);
        Arrivals { scenario, random: RandomSource::new(seed, 1), zipf, peak, now: 0 }
    }
}

impl Iterator for Arrivals<'_> {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let traffic = &self.scenario.traffic;
        loop {
            // Thinning: arrivals are drawn at the peak rate and dropped in proportion to the current rate.
            let gap = self.random.exponential() / (traffic.rate * self.peak);
            self.now += ((gap * 1e9) as Nanos).max(1);
            if self.now >= seconds(self.scenario.duration_s) {
                return None;
            }
            if self.random.happens(self.scenario.times(self.now) / self.peak) {
                break;
            }
        }
        let key = if self.random.happens(traffic.hot) {
            let moves = seconds(traffic.hot_moves_s);
            traffic.keys + self.now.checked_div(moves).unwrap_or(0)
        } else {
            self.zipf.draw(&mut self.random)
        };
        let write = self.random.happens(traffic.writes);
        // Multiplying by an odd constant spreads the keys over the whole range, as hashes are.
        Some(Arrival { at: self.now, key: key.wrapping_mul(0x9e37_79b9_7f4a_7c15), write })
    }
}
