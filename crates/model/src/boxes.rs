//! A cache box: few cores before a queue, connections that cost work, a cold ramp and a fall, a keyed cache.

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
    /// The connection that it came by, and which of its lives.
    pub connection: usize,
    pub serial: u64,
    /// Which of the connection's requests, from 0.
    pub place: u64,
    pub key: u64,
    /// It writes, for this request of a client.
    pub write: Option<u64>,
    /// When it was sent.
    pub sent: Nanos,
    /// It is a new connection's own work, and no request.
    pub handshake: bool,
}

/// An answer, as it leaves a box.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    pub status: Status,
    pub hit: Option<bool>,
    /// The request that it was made for; nothing for noise.
    pub made_for: Option<u32>,
}

/// What a box sends too much.
#[derive(Clone, Copy, Debug, Default)]
pub struct Surplus {
    /// With this part of its good answers.
    pub part: f64,
    /// A copy; else noise that reads as an answer.
    pub copy: bool,
    /// In a segment of its own, so much later at the most; 0: in the same.
    pub late: Nanos,
}

/// Work that goes on.
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
    /// Connections that it holds.
    pub connections: usize,
    /// Work begun, in all.
    pub worked: Nanos,
    pub born: Nanos,
    /// Counts its processes: what was begun in one ends with it.
    pub life: u32,
    pub down: bool,
    pub fallen: bool,
    pub silent: u32,
    pub draining: bool,
    pub resets: f64,
    pub spoils: f64,
    pub surplus: Surplus,
    /// Its work takes ever longer: from when, until when, up to how many times.
    pub slows: Option<(Nanos, Nanos, f64)>,
    /// What came while it was silent.
    pub held: Vec<u32>,
    cache: LruCache<u64, u32>,
    /// Fetches that are out, each with the jobs that want the key.
    pub fetching: rustc_hash::FxHashMap<u64, Vec<u32>>,
    recent: VecDeque<Nanos>,
}

impl CacheBox {
    pub fn new(server: ServerId, zone: usize, kind: usize, told: &Kind, now: Nanos, warm: bool) -> Self {
        let cold = seconds(told.cold_s);
        CacheBox {
            server,
            zone,
            kind,
            cores: told.cores,
            speed: told.speed,
            work: [millis(told.read_ms), millis(told.write_ms)],
            handshake: millis(told.handshake_ms),
            spread: told.spread,
            queue: told.queue,
            connection_cap: told.connections,
            cold: (told.cold_from < 1.0).then_some((told.cold_from, cold)),
            fall: (told.fall_multiple, seconds(told.fall_s)),
            busy: 0,
            waiting: VecDeque::new(),
            connections: 0,
            worked: 0,
            // One that stands since long is warm: its age is counted from before the start.
            born: if warm { 0 } else { now },
            life: u32::from(!warm),
            down: false,
            fallen: false,
            silent: 0,
            draining: false,
            resets: 0.0,
            spoils: 0.0,
            surplus: Surplus::default(),
            slows: None,
            held: Vec::new(),
            cache: LruCache::new(NonZeroUsize::new(told.cache).unwrap_or(NonZeroUsize::MIN)),
            fetching: rustc_hash::FxHashMap::default(),
            recent: VecDeque::new(),
        }
    }

    /// The part of its speed that it has now.
    pub fn warmth(&self, now: Nanos) -> f64 {
        match self.cold {
            Some((from, warm)) if self.life > 0 => {
                let age = now.saturating_sub(self.born) as f64;
                (from + (1.0 - from) * age / warm as f64).min(1.0)
            }
            _ => 1.0,
        }
    }

    fn slowness(&self, now: Nanos) -> f64 {
        self.slows.map_or(1.0, |(from, until, times)| {
            let part = now.saturating_sub(from) as f64 / until.saturating_sub(from).max(1) as f64;
            1.0 + (times - 1.0) * part.min(1.0)
        })
    }

    /// How long a piece of work takes that begins now.
    pub fn takes(&self, job: &Job, now: Nanos, chance: &mut RandomSource) -> Nanos {
        let work = if job.handshake { self.handshake } else { self.work[usize::from(job.write.is_some())] };
        let by_chance = if self.spread > 0.0 { 1.0 + self.spread * (2.0 * chance.unit() - 1.0) } else { 1.0 };
        (work as f64 * by_chance * self.slowness(now) / (self.speed * self.warmth(now))) as Nanos
    }

    /// A request came: has the box been pushed over by it?
    pub fn pushed_over(&mut self, now: Nanos) -> bool {
        let warmth = self.warmth(now);
        if warmth >= 1.0 {
            self.recent.clear();
            return false;
        }
        let (multiple, span) = self.fall;
        self.recent.push_back(now);
        while self.recent.front().is_some_and(|at| at + span < now) {
            self.recent.pop_front();
        }
        let can = self.cores as f64 * self.speed * warmth * span as f64 / self.work[0].max(1) as f64;
        self.recent.len() as f64 > multiple * can
    }

    /// The part of its cores' time that was worked.
    pub fn part(&self, span: Nanos) -> f64 {
        self.worked as f64 / (self.cores as f64 * span.max(1) as f64)
    }

    /// Does one more find room in the queue?
    pub fn has_room(&self) -> bool {
        self.busy < self.cores || self.waiting.len() < self.queue
    }

    pub fn has_core(&self) -> bool {
        self.busy < self.cores
    }

    /// Is this version of a key cached?
    pub fn cached(&mut self, key: u64, version: u32) -> bool {
        self.cache.get(&key).is_some_and(|v| *v == version)
    }

    pub fn keep(&mut self, key: u64, version: u32) {
        self.cache.put(key, version);
    }

    /// Its process ends.
    pub fn ends(&mut self) {
        self.down = true;
        self.life += 1;
        (self.busy, self.connections) = (0, 0);
        self.waiting.clear();
        self.held.clear();
        self.fetching.clear();
        self.recent.clear();
    }

    /// It starts again with nothing cached.
    pub fn starts(&mut self, now: Nanos) {
        (self.down, self.fallen, self.draining, self.born) = (false, false, false, now);
        self.cache.clear();
    }

    /// Of an answer that is ready: what becomes of it on the way out.
    pub fn spoilt(&self, chance: &mut RandomSource) -> Option<Status> {
        if chance.happens(self.resets) {
            Some(Status::Reset)
        } else if chance.happens(self.spoils) {
            Some(Status::Malformed)
        } else {
            None
        }
    }

    /// What a good answer brings beside itself, and how much later.
    pub fn too_much(&self, answer: Answer, chance: &mut RandomSource) -> Option<(Answer, Nanos)> {
        let Surplus { part, copy, late } = self.surplus;
        if answer.status != Status::Ok || !chance.happens(part) {
            return None;
        }
        let after = (late as f64 * chance.unit()) as Nanos;
        Some((if copy { answer } else { Answer { made_for: None, ..answer } }, after))
    }

    /// How long something that came now would take, if it would be served.
    pub fn wait(&self, now: Nanos) -> Option<Nanos> {
        if self.down || self.fallen || self.silent > 0 || self.draining || !self.has_room() {
            return None;
        }
        let one = self.work[0] as f64 * self.slowness(now) / (self.speed * self.warmth(now));
        let before = (self.waiting.len() + self.busy + 1) as f64 / self.cores as f64;
        Some((one * before.max(1.0)) as Nanos)
    }
}
