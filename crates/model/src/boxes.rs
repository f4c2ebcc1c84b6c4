//! A cache box: a few cores with a bounded queue, connections whose handshake costs work, slow start after a restart,
//! collapse when overloaded during slow start, and a keyed cache.

use crate::random::RandomSource;
use crate::scenario::Kind;
use crate::{millis, seconds, Nanos};
use calicosaddle::api::{ServerId, Status};
use lru::LruCache;
use std::collections::VecDeque;
use std::num::NonZeroUsize;

/// A request at a box.
#[derive(Clone, Debug)]
pub struct Job {
    /// Index of the connection that carried it, and that connection's serial number.
    pub connection: usize,
    pub serial: u64,
    /// Position among the connection's requests, from 0.
    pub sequence: u64,
    pub key: u64,
    /// The client's request, if this is a write.
    pub write: Option<u64>,
    /// When it was sent.
    pub sent: Nanos,
    /// The work of a connection handshake instead of a request.
    pub handshake: bool,
}

/// An answer as it leaves a box.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    pub status: Status,
    pub hit: Option<bool>,
    /// The request that it answers; `None` for noise.
    pub made_for: Option<u32>,
}

/// Unsolicited bytes that a box sends after answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Surplus {
    /// Fraction of successful answers that are followed by unsolicited bytes.
    pub part: f64,
    /// Whether the bytes repeat the answer; otherwise they are noise that parses as an answer.
    pub copy: bool,
    /// Maximum delay, in a segment of their own; 0 puts them in the same segment.
    pub late: Nanos,
}

/// The state of a cache box.
#[derive(Debug)]
pub struct CacheBox {
    pub server: ServerId,
    pub zone: usize,
    pub kind: usize,
    cores: usize,
    speed: f64,
    work: [Nanos; 2],
    handshake: Nanos,
    spread: f64,
    queue: usize,
    pub connection_cap: usize,
    cold: Option<(f64, Nanos)>,
    fall: (f64, Nanos),
    pub busy: usize,
    pub waiting: VecDeque<u32>,
    /// Open connections.
    pub connections: usize,
    /// Total core time of the work started.
    pub worked: Nanos,
    pub born: Nanos,
    /// Incarnation of the process; work started in one ends with it.
    pub incarnation: u32,
    pub down: bool,
    pub fallen: bool,
    pub silent: u32,
    pub draining: bool,
    pub resets: f64,
    pub spoils: f64,
    pub surplus: Surplus,
    /// Gradual slowdown: its start, its end, and the multiple of the work time reached at the end.
    pub slows: Option<(Nanos, Nanos, f64)>,
    /// Requests received while the box was silent.
    pub held: Vec<u32>,
    cache: LruCache<u64, u32>,
    /// Fetches in progress, each with the other jobs that wait for the key.
    pub fetching: rustc_hash::FxHashMap<u64, Vec<u32>>,
    recent: VecDeque<Nanos>,
}

impl CacheBox {
    pub fn new(server: ServerId, zone: usize, kind: usize, spec: &Kind, now: Nanos, warm: bool) -> Self {
        let cold = seconds(spec.cold_s);
        CacheBox {
            server,
            zone,
            kind,
            cores: spec.cores,
            speed: spec.speed,
            work: [millis(spec.read_ms), millis(spec.write_ms)],
            handshake: millis(spec.handshake_ms),
            spread: spec.spread,
            queue: spec.queue,
            connection_cap: spec.connections,
            cold: (spec.cold_from < 1.0).then_some((spec.cold_from, cold)),
            fall: (spec.fall_multiple, seconds(spec.fall_s)),
            busy: 0,
            waiting: VecDeque::new(),
            connections: 0,
            worked: 0,
            // A box that runs since before the start of the scenario is warm.
            born: if warm { 0 } else { now },
            incarnation: u32::from(!warm),
            down: false,
            fallen: false,
            silent: 0,
            draining: false,
            resets: 0.0,
            spoils: 0.0,
            surplus: Surplus::default(),
            slows: None,
            held: Vec::new(),
            cache: LruCache::new(NonZeroUsize::new(spec.cache).unwrap_or(NonZeroUsize::MIN)),
            fetching: rustc_hash::FxHashMap::default(),
            recent: VecDeque::new(),
        }
    }

    /// Fraction of its full speed that it has reached in slow start.
    pub fn warm_up_fraction(&self, now: Nanos) -> f64 {
        match self.cold {
            Some((from, warm)) if self.incarnation > 0 => {
                let age = now.saturating_sub(self.born) as f64;
                (from + (1.0 - from) * age / warm as f64).min(1.0)
            }
            _ => 1.0,
        }
    }

    fn slowdown(&self, now: Nanos) -> f64 {
        self.slows.map_or(1.0, |(from, until, times)| {
            let part = now.saturating_sub(from) as f64 / until.saturating_sub(from).max(1) as f64;
            1.0 + (times - 1.0) * part.min(1.0)
        })
    }

    /// Duration of a piece of work that starts now.
    pub fn work_duration(&self, job: &Job, now: Nanos, chance: &mut RandomSource) -> Nanos {
        let work = if job.handshake { self.handshake } else { self.work[usize::from(job.write.is_some())] };
        let jitter = if self.spread > 0.0 { 1.0 + self.spread * (2.0 * chance.unit() - 1.0) } else { 1.0 };
        (work as f64 * jitter * self.slowdown(now) / (self.speed * self.warm_up_fraction(now))) as Nanos
    }

    /// Counts a request; true if the requests of the recent window overload the box during slow start.
    pub fn is_overloaded_while_cold(&mut self, now: Nanos) -> bool {
        let warm_up_fraction = self.warm_up_fraction(now);
        if warm_up_fraction >= 1.0 {
            self.recent.clear();
            return false;
        }
        let (multiple, span) = self.fall;
        self.recent.push_back(now);
        while self.recent.front().is_some_and(|at| at + span < now) {
            self.recent.pop_front();
        }
        let can =
            self.cores as f64 * self.speed * warm_up_fraction * span as f64 / self.work[0].max(1) as f64;
        self.recent.len() as f64 > multiple * can
    }

    /// Fraction of its cores' time spent working.
    pub fn utilization(&self, span: Nanos) -> f64 {
        self.worked as f64 / (self.cores as f64 * span.max(1) as f64)
    }

    /// Whether one more request can be started or queued.
    pub fn has_room(&self) -> bool {
        self.busy < self.cores || self.waiting.len() < self.queue
    }

    pub fn has_core(&self) -> bool {
        self.busy < self.cores
    }

    /// Whether this version of a key is cached.
    pub fn cached(&mut self, key: u64, version: u32) -> bool {
        self.cache.get(&key).is_some_and(|v| *v == version)
    }

    pub fn store(&mut self, key: u64, version: u32) {
        self.cache.put(key, version);
    }

    /// Stops the process.
    pub fn stop(&mut self) {
        self.down = true;
        self.incarnation += 1;
        (self.busy, self.connections) = (0, 0);
        self.waiting.clear();
        self.held.clear();
        self.fetching.clear();
        self.recent.clear();
    }

    /// Starts the process with an empty cache.
    pub fn start(&mut self, now: Nanos) {
        (self.down, self.fallen, self.draining, self.born) = (false, false, false, now);
        self.cache.clear();
    }

    /// Draws whether an outgoing answer is lost to a reset or malformed.
    pub fn output_fault(&self, chance: &mut RandomSource) -> Option<Status> {
        if chance.happens(self.resets) {
            Some(Status::Reset)
        } else if chance.happens(self.spoils) {
            Some(Status::Malformed)
        } else {
            None
        }
    }

    /// Draws the unsolicited bytes that follow a successful answer, and their delay.
    pub fn unsolicited_bytes(&self, answer: Answer, chance: &mut RandomSource) -> Option<(Answer, Nanos)> {
        let Surplus { part, copy, late } = self.surplus;
        if answer.status != Status::Ok || !chance.happens(part) {
            return None;
        }
        let after = (late as f64 * chance.unit()) as Nanos;
        Some((if copy { answer } else { Answer { made_for: None, ..answer } }, after))
    }

    /// How long a request that arrived now would take; `None` if it would not be served.
    pub fn wait(&self, now: Nanos) -> Option<Nanos> {
        if self.down || self.fallen || self.silent > 0 || self.draining || !self.has_room() {
            return None;
        }
        let one = self.work[0] as f64 * self.slowdown(now) / (self.speed * self.warm_up_fraction(now));
        let before = (self.waiting.len() + self.busy + 1) as f64 / self.cores as f64;
        Some((one * before.max(1.0)) as Nanos)
    }
}
