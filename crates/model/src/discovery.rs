//! The discovery service: sends changes of the box list to subscribers, with lag, and full lists on request.

use crate::scenario;
use crate::{millis, Nanos, SECOND};
use calicosaddle::api::{ServerEntry, ServerState};

/// The box list and the service's current faults.
#[derive(Debug)]
pub struct Discovery {
    /// Entries by box number; `None` for boxes that were never listed.
    pub entries: Vec<Option<ServerEntry>>,
    lag: Nanos,
    second_lag: Nanos,
    /// Additional lag caused by faults.
    pub late: Nanos,
    /// Number of active outages; it answers no call while this is above 0.
    pub down: u32,
    calls_a_second: u32,
    second: Nanos,
    calls: u32,
}

impl Discovery {
    pub fn new(spec: &scenario::Discovery) -> Self {
        Discovery {
            entries: Vec::new(),
            lag: millis(spec.lag_ms),
            second_lag: millis(spec.second_lag_ms),
            late: 0,
            down: 0,
            calls_a_second: spec.calls_a_second,
            second: 0,
            calls: 0,
        }
    }

    /// Lag with which a change reaches a proxy.
    pub fn lag(&self, proxy: usize) -> Nanos {
        self.lag + self.late + if proxy % 2 == 1 { self.second_lag } else { 0 }
    }

    /// The full list, without removed boxes.
    pub fn full_list(&self) -> Vec<(u32, ServerEntry)> {
        let all = self.entries.iter().enumerate().filter_map(|(b, e)| Some((b as u32, e.clone()?)));
        all.filter(|(_, e)| e.state != ServerState::Removed).collect()
    }

    /// Whether one more call may be answered now; counts it against the rate limit.
    pub fn admits(&mut self, now: Nanos) -> bool {
        if self.down > 0 {
            return false;
        }
        if self.calls_a_second == 0 {
            return true;
        }
        if now / SECOND != self.second {
            (self.second, self.calls) = (now / SECOND, 0);
        }
        self.calls += 1;
        self.calls <= self.calls_a_second
    }
}
