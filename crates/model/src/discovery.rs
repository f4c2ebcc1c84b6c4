//! Who tells the list of boxes: changes to its subscribers, late if need be, and whole lists on demand.

use crate::scenario;
use crate::{millis, Nanos, SECOND};
use calicosaddle::api::{ServerEntry, ServerState};

/// The list, and what is out of order.
#[derive(Debug)]
pub struct Discovery {
    /// All entries by the boxes' numbers; those that were never listed are nothing.
    pub entries: Vec<Option<ServerEntry>>,
    lag: Nanos,
    second_lag: Nanos,
    /// More lag, by faults.
    pub late: Nanos,
    /// It answers nobody while this is over 0.
    pub down: u32,
    calls_a_second: u32,
    second: Nanos,
    calls: u32,
}

impl Discovery {
    pub fn new(told: &scenario::Discovery) -> Self {
        Discovery {
            entries: Vec::new(),
            lag: millis(told.lag_ms),
            second_lag: millis(told.second_lag_ms),
            late: 0,
            down: 0,
            calls_a_second: told.calls_a_second,
            second: 0,
            calls: 0,
        }
    }

    /// How late a change reaches a proxy.
    pub fn lag(&self, proxy: usize) -> Nanos {
        self.lag + self.late + if proxy % 2 == 1 { self.second_lag } else { 0 }
    }

    /// The whole list.
    pub fn whole(&self) -> Vec<(u32, ServerEntry)> {
        let all = self.entries.iter().enumerate().filter_map(|(b, e)| Some((b as u32, e.clone()?)));
        all.filter(|(_, e)| e.state != ServerState::Removed).collect()
    }

    /// May one more call be answered now?
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
