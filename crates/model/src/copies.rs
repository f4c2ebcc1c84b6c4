//! Copies of reads to candidates that stand beside the boxes, cold: the choices of `shadow` at each proxy, and what the
//! candidates fetch from the same origin. Candidates have cores to spare; what is asked here is what they cost.

use crate::scenario;
use crate::sim::{End, Ev, Sim};
use crate::{millis, seconds, Nanos, MS};
use rustc_hash::FxHashMap;
use shadow::budget::max_in_any_second;
use shadow::sample::{Tenants, PARTS_PER_MILLION};
use shadow::verdict::Tolerance;
use shadow::{CopyResult, LiveLoad, PersistedState, Read, ReadOutcome, Settings, Shadow};

/// The ticket of a candidate's fetch has this in place of a box.
pub(crate) const CANDIDATE: u32 = u32::MAX;
/// How often a proxy looks at its live side.
const LOOK: Nanos = 100 * MS;

/// A step in processing a copy, which is named by its index in the table.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Step {
    /// It has come to its candidate, which has worked on it.
    Worked(u32),
    /// Its answer has come back: a hit, or not.
    Back(u32, bool),
    /// Its time is up.
    Up(u32),
    /// Proxies look at their live sides.
    Look,
}

#[derive(Debug)]
struct Out {
    proxy: usize,
    incarnation: u32,
    number: u64,
    candidate: usize,
    key: u64,
    sent: Nanos,
    until: Nanos,
    over: bool,
}

#[derive(Debug, Default)]
struct Candidate {
    cache: FxHashMap<u64, u32>,
    fetching: FxHashMap<u64, Vec<u32>>,
}

/// All of it.
#[derive(Debug)]
pub(crate) struct Copies {
    told: scenario::Shadow,
    proxies: Vec<Option<Shadow>>,
    /// Served and refused at each since its last look.
    answers: Vec<[u32; 2]>,
    candidates: Vec<Candidate>,
    out: Vec<Out>,
    /// When fetches for candidates came to the origin.
    fetched: Vec<Nanos>,
}

impl Copies {
    /// Nothing, if the scenario has no candidates.
    pub fn new(told: &scenario::Shadow, proxies: usize) -> Option<Self> {
        (told.candidates > 0).then(|| Copies {
            told: told.clone(),
            proxies: (0..proxies).map(|_| None).collect(),
            answers: vec![[0; 2]; proxies],
            candidates: (0..told.candidates).map(|_| Candidate::default()).collect(),
            out: Vec::new(),
            fetched: Vec::new(),
        })
    }

    /// A proxy has started, with this number of proxies in its settings.
    pub fn start(&mut self, proxy: usize, proxies: u32, now: Nanos) {
        let t = &self.told;
        let parts = |share: f64| (share * f64::from(PARTS_PER_MILLION)) as u32;
        let settings = Settings {
            classes: vec![true, false],
            tenants: Tenants::All,
            salt: 0,
            initial_sampling_ppm: parts(t.first_share),
            max_sampling_ppm: parts(t.share),
            ramp_step: seconds(t.step_s),
            copies_per_second: t.copies_per_second,
            max_open_copies: t.connections,
            max_value_bytes: 1,
            max_held_bytes: t.connections,
            max_cpu_share: 1.0,
            misses_per_second: t.misses_per_second,
            proxy_count: proxies,
            proxy_index: proxy as u32,
            copy_timeout: millis(t.deadline_ms),
            tolerance: Tolerance::default(),
            stop_difference_rate: 1.0,
            max_samples: 0,
        };
        let mut one = Shadow::new(settings, PersistedState::default(), now);
        // A first order is never refused.
        let _ = one.start(1, seconds(86_400.0), now);
        one.set_candidates((0..self.candidates.len() as u64).collect(), now);
        self.proxies[proxy] = Some(one);
    }

    /// A try was answered.
    pub fn answered(&mut self, proxy: usize, end: End) {
        if let (Some(counts), End::Served | End::Refused(_)) = (self.answers.get_mut(proxy), end) {
            counts[usize::from(end != End::Served)] += 1;
        }
    }

    /// Copies sent, fetches for them, and the most of these in any second.
    pub fn counts(&self) -> (u64, u64, u64) {
        let most = max_in_any_second(self.fetched.clone());
        (self.out.len() as u64, self.fetched.len() as u64, most as u64)
    }
}

impl Sim<'_> {
    /// A box has answered a read, and its client has the answer.
    pub(crate) fn copy(&mut self, proxy: usize, key: u64, hit: bool, took: Option<Nanos>) {
        let live = ReadOutcome::Value(u64::from(self.origin.version(key)));
        let read = Read {
            class: 0,
            tenant: None,
            key,
            outcome: live,
            value_bytes: 1,
            hit: Some(hit),
            latency: took,
        };
        let (now, incarnation) = (self.now, self.hosts[proxy].incarnation);
        let Some(copies) = &mut self.copies else { return };
        let Some(copy) = copies.proxies[proxy].as_mut().and_then(|s| s.offer_read(&read, now)) else {
            return;
        };
        let at = copies.out.len() as u32;
        let (number, candidate, until) = (copy.number, copy.candidate as usize, copy.deadline);
        copies.out.push(Out { proxy, incarnation, number, candidate, key, sent: now, until, over: false });
        let takes = millis(self.scenario.topology.zone_delay_ms + self.scenario.kinds[0].read_ms);
        self.schedule(now + takes, Ev::Copy(Step::Worked(at)));
        self.schedule(until, Ev::Copy(Step::Up(at)));
    }

    pub(crate) fn copy_step(&mut self, step: Step) {
        match step {
            Step::Worked(at) => self.copy_worked(at),
            Step::Back(at, hit) => {
                let Some(one) = self.copies.as_ref().and_then(|c| c.out.get(at as usize)) else { return };
                let side = ReadOutcome::Value(u64::from(self.origin.version(one.key)));
                let took = self.now - one.sent;
                self.copy_ended(at, CopyResult { outcome: side, hit: Some(hit), latency: took });
            }
            Step::Up(at) => {
                self.copy_ended(at, CopyResult { outcome: ReadOutcome::TimedOut, hit: None, latency: 0 })
            }
            Step::Look => {
                let now = self.now;
                let room = self.scenario.topology.max_open;
                let Some(copies) = &mut self.copies else { return };
                for (proxy, one) in copies.proxies.iter_mut().enumerate() {
                    let [served, refused] = std::mem::take(&mut copies.answers[proxy]);
                    let open = self.hosts[proxy].open.len();
                    let vitals = LiveLoad { served, refused, loop_delay: 0, open, max_open: room };
                    if let Some(one) = one.as_mut().filter(|_| self.hosts[proxy].alive) {
                        one.update_load(&vitals, now);
                    }
                }
                self.schedule(now + LOOK, Ev::Copy(Step::Look));
            }
        }
    }

    /// The candidate has worked on a copy: it has the record, waits for another's fetch, or fetches.
    fn copy_worked(&mut self, at: u32) {
        let now = self.now;
        let Some(copies) = &mut self.copies else { return };
        let one = &copies.out[at as usize];
        let (key, version) = (one.key, self.origin.version(one.key));
        // What nobody waits for any more is not begun.
        if one.until <= now {
            return;
        }
        let candidate = &mut copies.candidates[one.candidate];
        if candidate.cache.get(&key) == Some(&version) {
            self.copy_back(at, true);
        } else if let Some(others) = candidate.fetching.get_mut(&key) {
            others.push(at);
        } else {
            candidate.fetching.insert(key, Vec::new());
            copies.fetched.push(now);
            match self.origin.submit((CANDIDATE, at), now) {
                Some(Some(takes)) => {
                    self.schedule(now + takes, Ev::OriginWorkDone { to: CANDIDATE, job: at })
                }
                Some(None) => {}
                None => self.copy_fetched(at, false),
            }
        }
    }

    /// The origin has answered a candidate.
    pub(crate) fn copy_fetched(&mut self, at: u32, done: bool) {
        let Some(copies) = &mut self.copies else { return };
        let one = &copies.out[at as usize];
        let candidate = &mut copies.candidates[one.candidate];
        if done {
            candidate.cache.insert(one.key, self.origin.version(one.key));
        }
        let others = candidate.fetching.remove(&one.key).unwrap_or_default();
        if done {
            std::iter::once(at).chain(others).for_each(|at| self.copy_back(at, false));
        }
    }

    fn copy_back(&mut self, at: u32, hit: bool) {
        let delay = millis(self.scenario.topology.zone_delay_ms);
        self.schedule(self.now + delay, Ev::Copy(Step::Back(at, hit)));
    }

    fn copy_ended(&mut self, at: u32, ended: CopyResult) {
        let now = self.now;
        let Some(copies) = &mut self.copies else { return };
        let one = &mut copies.out[at as usize];
        let host = &self.hosts[one.proxy];
        if std::mem::replace(&mut one.over, true) || host.incarnation != one.incarnation || !host.alive {
            return;
        }
        if let Some(shadow) = &mut copies.proxies[one.proxy] {
            shadow.copy_ended(one.number, ended, now);
        }
    }
}
