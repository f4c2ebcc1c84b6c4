//! Shadow traffic: copies of reads to candidates beside the boxes, which start with empty caches. Each proxy runs the
//! state machine of `shadow`; candidates fetch misses from the same origin. Candidates have unlimited cores, since the
//! model measures only the load that they put on the origin.

use crate::scenario;
use crate::sim::{End, Ev, Sim};
use crate::{millis, seconds, Nanos, MS};
use rustc_hash::FxHashMap;
use shadow::budget::max_in_any_second;
use shadow::sample::{Tenants, PARTS_PER_MILLION};
use shadow::verdict::Tolerance;
use shadow::{CopyResult, LiveLoad, PersistedState, Read, ReadOutcome, Settings, Shadow};

/// Box number in the ticket of a candidate's fetch.
pub(crate) const CANDIDATE: u32 = u32::MAX;
/// Interval at which a proxy reports its live load to the shadow state machine.
const LOAD_REPORT_INTERVAL: Nanos = 100 * MS;

/// A step in processing a copy, which is named by its index in the table.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Step {
    /// The candidate has received and processed it.
    Processed(u32),
    /// Its answer has arrived at the proxy; whether it was a hit.
    Answered(u32, bool),
    /// Its deadline has passed.
    Deadline(u32),
    /// Proxies report their live load.
    ReportLoad,
}

#[derive(Debug)]
struct SentCopy {
    proxy: usize,
    incarnation: u32,
    number: u64,
    candidate: usize,
    key: u64,
    sent: Nanos,
    until: Nanos,
    finished: bool,
}

#[derive(Debug, Default)]
struct Candidate {
    cache: FxHashMap<u64, u32>,
    fetching: FxHashMap<u64, Vec<u32>>,
}

/// The shadow traffic of a run.
#[derive(Debug)]
pub(crate) struct Copies {
    spec: scenario::Shadow,
    proxies: Vec<Option<Shadow>>,
    /// Requests served and refused at each proxy since its last load report.
    answers: Vec<[u32; 2]>,
    candidates: Vec<Candidate>,
    sent: Vec<SentCopy>,
    /// Times at which candidates sent fetches to the origin.
    fetched: Vec<Nanos>,
}

impl Copies {
    /// `None` if the scenario has no candidates.
    pub fn new(spec: &scenario::Shadow, proxies: usize) -> Option<Self> {
        (spec.candidates > 0).then(|| Copies {
            spec: spec.clone(),
            proxies: (0..proxies).map(|_| None).collect(),
            answers: vec![[0; 2]; proxies],
            candidates: (0..spec.candidates).map(|_| Candidate::default()).collect(),
            sent: Vec::new(),
            fetched: Vec::new(),
        })
    }

    /// Starts shadow traffic at a proxy whose settings name this number of proxies.
    pub fn start(&mut self, proxy: usize, proxies: u32, now: Nanos) {
        let t = &self.spec;
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
        // The first start order is always accepted.
        let _ = one.start(1, seconds(86_400.0), now);
        one.set_candidates((0..self.candidates.len() as u64).collect(), now);
        self.proxies[proxy] = Some(one);
    }

    /// Counts an answer to a client for the next load report.
    pub fn answered(&mut self, proxy: usize, end: End) {
        if let (Some(counts), End::Served | End::Refused(_)) = (self.answers.get_mut(proxy), end) {
            counts[usize::from(end != End::Served)] += 1;
        }
    }

    /// Number of copies sent, of fetches for them, and the maximum of these fetches in any second.
    pub fn counts(&self) -> (u64, u64, u64) {
        let most = max_in_any_second(self.fetched.clone());
        (self.sent.len() as u64, self.fetched.len() as u64, most as u64)
    }
}

impl Sim<'_> {
    /// Offers a read that was answered to its client for copying.
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
        let at = copies.sent.len() as u32;
        let (number, candidate, until) = (copy.number, copy.candidate as usize, copy.deadline);
        copies.sent.push(SentCopy {
            proxy,
            incarnation,
            number,
            candidate,
            key,
            sent: now,
            until,
            finished: false,
        });
        let takes = millis(self.scenario.topology.zone_delay_ms + self.scenario.kinds[0].read_ms);
        self.schedule(now + takes, Ev::Copy(Step::Processed(at)));
        self.schedule(until, Ev::Copy(Step::Deadline(at)));
    }

    pub(crate) fn copy_step(&mut self, step: Step) {
        match step {
            Step::Processed(at) => self.copy_processed(at),
            Step::Answered(at, hit) => {
                let Some(one) = self.copies.as_ref().and_then(|c| c.sent.get(at as usize)) else { return };
                let side = ReadOutcome::Value(u64::from(self.origin.version(one.key)));
                let took = self.now - one.sent;
                self.finish_copy(at, CopyResult { outcome: side, hit: Some(hit), latency: took });
            }
            Step::Deadline(at) => {
                self.finish_copy(at, CopyResult { outcome: ReadOutcome::TimedOut, hit: None, latency: 0 })
            }
            Step::ReportLoad => {
                let now = self.now;
                let room = self.scenario.topology.max_open;
                let Some(copies) = &mut self.copies else { return };
                for (proxy, one) in copies.proxies.iter_mut().enumerate() {
                    let [served, refused] = std::mem::take(&mut copies.answers[proxy]);
                    let open = self.hosts[proxy].open.len();
                    let load = LiveLoad { served, refused, loop_delay: 0, open, max_open: room };
                    if let Some(one) = one.as_mut().filter(|_| self.hosts[proxy].alive) {
                        one.update_load(&load, now);
                    }
                }
                self.schedule(now + LOAD_REPORT_INTERVAL, Ev::Copy(Step::ReportLoad));
            }
        }
    }

    /// A candidate has processed a copy: it answers from cache, joins a fetch in progress, or starts one.
    fn copy_processed(&mut self, at: u32) {
        let now = self.now;
        let Some(copies) = &mut self.copies else { return };
        let one = &copies.sent[at as usize];
        let (key, version) = (one.key, self.origin.version(one.key));
        // Copies past their deadline are not processed.
        if one.until <= now {
            return;
        }
        let candidate = &mut copies.candidates[one.candidate];
        if candidate.cache.get(&key) == Some(&version) {
            self.answer_copy(at, true);
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

    /// The origin has answered or rejected a candidate's fetch.
    pub(crate) fn copy_fetched(&mut self, at: u32, done: bool) {
        let Some(copies) = &mut self.copies else { return };
        let one = &copies.sent[at as usize];
        let candidate = &mut copies.candidates[one.candidate];
        if done {
            candidate.cache.insert(one.key, self.origin.version(one.key));
        }
        let others = candidate.fetching.remove(&one.key).unwrap_or_default();
        if done {
            std::iter::once(at).chain(others).for_each(|at| self.answer_copy(at, false));
        }
    }

    fn answer_copy(&mut self, at: u32, hit: bool) {
        let delay = millis(self.scenario.topology.zone_delay_ms);
        self.schedule(self.now + delay, Ev::Copy(Step::Answered(at, hit)));
    }

    fn finish_copy(&mut self, at: u32, ended: CopyResult) {
        let now = self.now;
        let Some(copies) = &mut self.copies else { return };
        let one = &mut copies.sent[at as usize];
        let host = &self.hosts[one.proxy];
        if std::mem::replace(&mut one.finished, true) || host.incarnation != one.incarnation || !host.alive {
            return;
        }
        if let Some(shadow) = &mut copies.proxies[one.proxy] {
            shadow.copy_ended(one.number, ended, now);
        }
    }
}
