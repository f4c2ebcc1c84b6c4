//! The origin behind the boxes: a bounded queue for a fixed number of workers, collapse under overload, and the effects
//! of writes.

use crate::scenario;
use crate::{millis, seconds, Nanos};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// Repeats of a write within this window are ignored.
const DEDUPLICATION_WINDOW: Nanos = crate::SECOND;

/// Identifies a fetch or write: the box and the box's job number.
pub type Ticket = (u32, u32);

#[derive(Debug)]
pub struct Origin {
    places: usize,
    work: Nanos,
    queue: usize,
    fall: f64,
    fall_for: Nanos,
    busy: usize,
    waiting: VecDeque<Ticket>,
    pub stopped: bool,
    fallen_until: Nanos,
    recent: VecDeque<Nanos>,
    versions: FxHashMap<u64, u32>,
    /// By request: when the first effective attempt was sent, and how many took effect.
    effects: FxHashMap<u64, (Nanos, u32)>,
    pub fetches: u64,
    pub rejected: u64,
    /// How often it collapsed under overload.
    pub falls: u64,
}

impl Origin {
    pub fn new(spec: &scenario::Origin) -> Self {
        Origin {
            places: spec.places,
            work: millis(spec.work_ms),
            queue: spec.queue,
            fall: spec.fall_multiple,
            fall_for: seconds(spec.fall_s),
            busy: 0,
            waiting: VecDeque::new(),
            stopped: false,
            fallen_until: 0,
            recent: VecDeque::new(),
            versions: FxHashMap::default(),
            effects: FxHashMap::default(),
            fetches: 0,
            rejected: 0,
            falls: 0,
        }
    }

    /// Accepts a fetch or write. `None`: rejected; `Some(None)`: queued; `Some(Some(duration))`: work starts now.
    pub fn submit(&mut self, ticket: Ticket, now: Nanos) -> Option<Option<Nanos>> {
        if self.fall > 0.0 {
            self.recent.push_back(now);
            while self.recent.front().is_some_and(|at| at + self.fall_for < now) {
                self.recent.pop_front();
            }
            let capacity = self.places as f64 * self.fall_for as f64 / self.work.max(1) as f64;
            if self.recent.len() as f64 > self.fall * capacity && now >= self.fallen_until {
                self.fallen_until = now + self.fall_for;
                self.falls += 1;
                self.recent.clear();
            }
        }
        if now < self.fallen_until
            || self.waiting.len() >= self.queue.max(usize::from(self.busy < self.places))
        {
            self.rejected += 1;
            return None;
        }
        if self.stopped || self.busy >= self.places {
            self.waiting.push_back(ticket);
            return Some(None);
        }
        self.busy += 1;
        Some(Some(self.work))
    }

    /// Fraction of its workers' time spent working.
    pub fn utilization(&self, span: Nanos) -> f64 {
        (self.fetches * self.work) as f64 / (self.places as f64 * span.max(1) as f64)
    }

    /// Starts the next queued item if a worker is free; returns it with the duration of its work.
    pub fn next(&mut self) -> Option<(Ticket, Nanos)> {
        if self.stopped || self.busy >= self.places {
            return None;
        }
        let ticket = self.waiting.pop_front()?;
        self.busy += 1;
        Some((ticket, self.work))
    }

    pub fn done(&mut self) {
        self.busy -= 1;
        self.fetches += 1;
    }

    pub fn version(&self, key: u64) -> u32 {
        self.versions.get(&key).copied().unwrap_or(0)
    }

    /// Applies a write unless it is a repeat within the deduplication window; true if the request took effect before. The
    /// window runs from the send time of the first effective attempt to the send time of the repeat.
    pub fn write(&mut self, key: u64, request: u64, sent: Nanos) -> bool {
        let effect = self.effects.entry(request).or_insert((sent, 0));
        if effect.1 > 0 && sent.abs_diff(effect.0) < DEDUPLICATION_WINDOW {
            return false;
        }
        effect.1 += 1;
        *self.versions.entry(key).or_default() += 1;
        effect.1 > 1
    }
}
