//! The state machine: it takes served reads, decides which are copied, and takes the results of the copies.

use crate::budget::{proxy_share, CpuUsage, MissBudget, RateLimiter};
use crate::compare::{Comparison, Difference, ReadOutcome};
use crate::ramp::{LiveLoad, Ramp, Stop, Trouble};
use crate::sample::{is_sampled, pick_candidate, sampling_hash, Tenants};
use crate::verdict::{wilson_interval, LatencyHistograms, Report, Tolerance};
use crate::{Nanos, MS, SECOND};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Compared answers below which the rate of differences does not stop copying.
const MIN_COMPARED: u64 = 100;
/// The most intervals of the hit history.
const MAX_INTERVALS: usize = 60;

/// The operator's settings, validated by the caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Whether reads of each class are copied, by class index; true only for classes that are safe to repeat.
    pub classes: Vec<bool>,
    /// The tenants whose reads are copied.
    pub tenants: Tenants,
    /// The salt of key sampling; the same at all proxies.
    pub salt: u64,
    /// Parts per million of the keys that are copied at first.
    pub initial_sampling_ppm: u32,
    /// The most parts per million of the keys that are copied.
    pub max_sampling_ppm: u32,
    /// The shortest time between two steps of the ramp-up.
    pub ramp_step: Nanos,
    /// The most copies of this proxy in any second.
    pub copies_per_second: usize,
    /// The most open copies of this proxy.
    pub max_open_copies: usize,
    /// The longest answer that is compared, in bytes.
    pub max_value_bytes: usize,
    /// The most bytes that the answers of all open copies may hold together.
    pub max_held_bytes: usize,
    /// The share of the event loop's time that copying may use.
    pub max_cpu_share: f64,
    /// The most misses that all proxies together may cause at candidates in any second.
    pub misses_per_second: u32,
    /// The number of proxies.
    pub proxy_count: u32,
    /// The index of this proxy among them.
    pub proxy_index: u32,
    /// The time that a copy may take.
    pub copy_timeout: Nanos,
    /// The differences tolerated by the verdict.
    pub tolerance: Tolerance,
    /// The share of different answers above which copying stops.
    pub stop_difference_rate: f64,
    /// The number of latest keys with different answers that are kept; 0 keeps none.
    pub max_samples: usize,
}

impl Settings {
    /// The most misses that this proxy may cause in any second.
    pub fn own_misses_per_second(&self) -> u32 {
        proxy_share(self.misses_per_second, self.proxy_count, self.proxy_index)
    }
}

/// A read that a live box has answered.
#[derive(Clone, Copy, Debug)]
pub struct Read {
    /// The index of its class.
    pub class: u32,
    /// The index of its tenant, if it names one.
    pub tenant: Option<u32>,
    /// Its key.
    pub key: u64,
    /// The outcome at the live box.
    pub outcome: ReadOutcome,
    /// The length of the value in bytes.
    pub value_bytes: usize,
    /// Whether it was a cache hit; `None` if unknown.
    pub hit: Option<bool>,
    /// The time from the request to the answer; `None` if the answer had to wait behind another one.
    pub latency: Option<Nanos>,
}

/// A copy to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopyRequest {
    /// Its number, unique in this process.
    pub number: u64,
    /// The id of the candidate.
    pub candidate: u64,
    /// When it times out.
    pub deadline: Nanos,
}

/// The result of a copy.
#[derive(Clone, Copy, Debug)]
pub struct CopyResult {
    /// The outcome at the candidate.
    pub outcome: ReadOutcome,
    /// Whether it was a cache hit; `None` if unknown.
    pub hit: Option<bool>,
    /// The time from the request to the answer.
    pub latency: Nanos,
}

macro_rules! causes {
    ($($(#[doc = $doc:literal])* $name:ident: $word:literal,)*) => {
        /// Why a read was not copied.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum SkipReason { $($(#[doc = $doc])* $name,)* }

        /// All reasons with their names in reports.
        pub const SKIP_REASONS: &[(SkipReason, &str)] = &[$((SkipReason::$name, $word),)*];
    };
}

causes! {
    /// Its class or tenant is excluded.
    Excluded: "excluded",
    /// Its key is not in the current sample.
    NotSampled: "unchosen",
    /// No candidate is available.
    NoCandidate: "no-candidate",
    /// Its value is too long to be compared.
    ValueTooLong: "long",
    /// This process started so recently that copies of the previous one may still be open.
    RecentRestart: "fresh",
    /// The limit of copies per second is reached.
    RateLimit: "rate",
    /// The limit of open copies is reached.
    OpenLimit: "open",
    /// The answers of open copies may already hold the allowed bytes.
    HeldBytesLimit: "held",
    /// Copying has used its share of the event loop's time.
    CpuLimit: "cpu",
    /// The miss budget is used up.
    MissLimit: "misses",
    /// A copy of this key is already open.
    AlreadyOpen: "twice",
}

/// Counts of copied and skipped reads.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Reads offered.
    pub reads: u64,
    /// Copies sent.
    pub copies: u64,
    /// Copies cancelled because their candidate was removed or copying stopped.
    #[serde(rename = "called_off")]
    pub cancelled: u64,
    /// Skipped reads by reason, in the order of [`SKIP_REASONS`].
    #[serde(rename = "dropped")]
    pub skipped: [u64; SKIP_REASONS.len()],
    /// Answered copies and hits among them in each interval, the latest last.
    pub hits: Vec<[u64; 2]>,
}

/// A key with different answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// The key.
    pub key: u64,
    /// The index of its class.
    pub class: u32,
    /// The kind of the difference.
    #[serde(rename = "how")]
    pub difference: Difference,
}

/// The state of copying.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum State {
    /// Never started.
    #[default]
    Off,
    /// Copying until the lease expires.
    On {
        /// The end of the lease on the caller's clock.
        until: Nanos,
    },
    /// Stopped until it is started with a later generation.
    Stopped(Stop),
}

/// The state that survives a restart, so that a stop stays in force and a command is applied once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PersistedState {
    /// The generation of the last command.
    pub generation: u64,
    /// Why copying has stopped, if it has.
    pub stopped: Option<Stop>,
}

/// Why a command was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandError {
    /// A command with this later generation is in force.
    Stale(u64),
    /// Copying under this generation has stopped.
    Stopped(Stop),
}

/// The status of copying at one proxy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The state of copying.
    pub state: State,
    /// The generation of the last command.
    pub generation: u64,
    /// Parts per million of the keys that are copied now.
    #[serde(rename = "parts")]
    pub sampling_ppm: u32,
    /// The last trouble and the milliseconds since then.
    pub trouble: Option<(Trouble, u64)>,
    /// The number of available candidates.
    pub candidates: usize,
    /// Open copies.
    #[serde(rename = "open")]
    pub open_copies: usize,
    /// Differences that wait for the next read of their key.
    #[serde(rename = "doubts")]
    pub pending_differences: usize,
    /// The most misses that this proxy may cause in a second.
    #[serde(rename = "misses")]
    pub misses_per_second: u32,
    /// Counts of copied and skipped reads.
    pub counts: Counts,
}

#[derive(Clone, Copy, Debug)]
struct OpenCopy {
    key: u64,
    key_hash: u64,
    candidate: u64,
    class: u32,
    live: ReadOutcome,
    hit: Option<bool>,
    took: Option<Nanos>,
    raced: bool,
}

/// The copying of reads at one proxy.
#[derive(Debug)]
pub struct Shadow {
    settings: Settings,
    persisted: PersistedState,
    state: State,
    /// Nothing is copied before this time, because copies of the previous process may still be open.
    earliest_copy: Nanos,
    candidates: Vec<u64>,
    rate: RateLimiter,
    misses: MissBudget,
    work: CpuUsage,
    ramp: Ramp,
    open: BTreeMap<u64, OpenCopy>,
    comparison: Comparison,
    times: BTreeMap<u32, LatencyHistograms>,
    samples: VecDeque<Sample>,
    counts: Counts,
    /// The index of the latest interval of the hit history.
    interval: u64,
    next_number: u64,
    /// The latest time seen. A clock that goes backwards frees no budget.
    now: Nanos,
}

impl Shadow {
    /// Not copying, with the persisted state of the previous process.
    pub fn new(settings: Settings, persisted: PersistedState, now: Nanos) -> Self {
        let state = persisted.stopped.map_or(State::Off, State::Stopped);
        let (first, most) = (settings.initial_sampling_ppm, settings.max_sampling_ppm);
        Shadow {
            state,
            persisted,
            earliest_copy: now + settings.copy_timeout + SECOND,
            candidates: Vec::new(),
            rate: RateLimiter::new(settings.copies_per_second),
            misses: MissBudget::new(settings.own_misses_per_second() as usize),
            work: CpuUsage::default(),
            ramp: Ramp::new(first, most, settings.ramp_step),
            open: BTreeMap::new(),
            comparison: Comparison::new(10 * settings.ramp_step),
            times: BTreeMap::new(),
            samples: VecDeque::new(),
            counts: Counts::default(),
            interval: 0,
            next_number: 0,
            now,
            settings,
        }
    }

    // ---- commands ----

    /// Starts copying until the lease expires. A repetition of the command extends the lease.
    ///
    /// # Errors
    /// A later command is in force, or copying under this generation has stopped.
    pub fn start(&mut self, generation: u64, lease: Nanos, now: Nanos) -> Result<(), CommandError> {
        self.advance(now);
        if generation < self.persisted.generation {
            return Err(CommandError::Stale(self.persisted.generation));
        }
        let is_repeated = generation == self.persisted.generation;
        if let Some(stop) = self.persisted.stopped.filter(|_| is_repeated) {
            return Err(CommandError::Stopped(stop));
        }
        if !(is_repeated && self.is_on()) {
            self.ramp.restart(self.now);
        }
        self.persisted = PersistedState { generation, stopped: None };
        self.state = State::On { until: self.now + lease };
        Ok(())
    }

    /// Stops copying. Returns the copies to cancel.
    ///
    /// # Errors
    /// A later command is in force.
    pub fn stop(&mut self, generation: u64, now: Nanos) -> Result<Vec<u64>, CommandError> {
        self.advance(now);
        if generation < self.persisted.generation {
            return Err(CommandError::Stale(self.persisted.generation));
        }
        self.persisted.generation = generation;
        Ok(self.stop_copying(Stop::Asked))
    }

    fn stop_copying(&mut self, why: Stop) -> Vec<u64> {
        if !matches!(self.state, State::Stopped(_)) {
            self.state = State::Stopped(why);
            self.persisted.stopped = Some(why);
        }
        self.cancel(|_| true)
    }

    fn cancel(&mut self, matches: impl Fn(&OpenCopy) -> bool) -> Vec<u64> {
        let cancelled: Vec<u64> =
            self.open.iter().filter(|(_, open)| matches(open)).map(|(n, _)| *n).collect();
        for number in &cancelled {
            self.open.remove(number);
            self.misses.release(*number, None, self.now);
        }
        self.counts.cancelled += cancelled.len() as u64;
        cancelled
    }

    /// The state to persist.
    pub fn persisted_state(&self) -> PersistedState {
        self.persisted
    }

    // ---- events ----

    fn advance(&mut self, now: Nanos) {
        self.now = self.now.max(now);
    }

    /// Sets the ids of the available candidates. Returns the copies to others, which are to be cancelled.
    pub fn set_candidates(&mut self, ids: Vec<u64>, now: Nanos) -> Vec<u64> {
        self.advance(now);
        let cancelled = self.cancel(|open| !ids.contains(&open.candidate));
        self.candidates = ids;
        cancelled
    }

    /// Sets the number of proxies and the index of this one.
    pub fn set_proxies(&mut self, count: u32, index: u32) {
        (self.settings.proxy_count, self.settings.proxy_index) = (count, index);
        // Slots that are taken stay taken.
        self.misses.set_limit(self.settings.own_misses_per_second() as usize);
    }

    /// Records time of the event loop that copying has used.
    pub fn record_cpu_time(&mut self, used: Nanos, now: Nanos) {
        self.advance(now);
        self.work.add(self.now, used);
    }

    /// Whether reads are copied. Otherwise reads need not be offered.
    pub fn is_on(&self) -> bool {
        matches!(self.state, State::On { .. })
    }

    /// Whether such a read may be copied, so that its value has to be digested. Counts nothing.
    pub fn is_wanted(&self, class: u32, tenant: Option<u32>, key: u64) -> bool {
        self.is_on()
            && self.is_included(class, tenant)
            && is_sampled(sampling_hash(self.settings.salt, key), self.ramp.sampling_ppm())
    }

    fn is_included(&self, class: u32, tenant: Option<u32>) -> bool {
        self.settings.classes.get(class as usize).copied().unwrap_or(false)
            && self.settings.tenants.contains(tenant)
    }

    /// Offers a read that a live box has served and whose client has its answer. Returns the copy to send, if any.
    pub fn offer_read(&mut self, read: &Read, now: Nanos) -> Option<CopyRequest> {
        self.advance(now);
        let State::On { until } = self.state else { return None };
        if until <= self.now {
            return None;
        }
        self.counts.reads += 1;
        if let (Some(false), Some(took)) = (read.hit, read.latency) {
            self.ramp.record_live_miss(took, self.now);
        }
        let key_hash = sampling_hash(self.settings.salt, read.key);
        let choice = self.choose_candidate(read, key_hash);
        if let ReadOutcome::Value(digest) = read.outcome {
            let in_sample = choice != Err(SkipReason::Excluded) && choice != Err(SkipReason::NotSampled);
            if in_sample && self.comparison.record_live(key_hash, digest) {
                self.mark_raced(key_hash);
            }
        }
        match choice {
            Ok(candidate) => Some(self.open_copy(read, key_hash, candidate)),
            Err(reason) => {
                self.counts.skipped[reason as usize] += 1;
                None
            }
        }
    }

    /// Chooses the candidate for a read, or the reason to skip it.
    fn choose_candidate(&mut self, read: &Read, key_hash: u64) -> Result<u64, SkipReason> {
        let now = self.now;
        if !self.is_included(read.class, read.tenant) {
            return Err(SkipReason::Excluded);
        }
        if !is_sampled(key_hash, self.ramp.sampling_ppm()) {
            return Err(SkipReason::NotSampled);
        }
        let index =
            pick_candidate(key_hash, self.candidates.iter().copied()).ok_or(SkipReason::NoCandidate)?;
        let (max_value_bytes, max_held_bytes) = (self.settings.max_value_bytes, self.settings.max_held_bytes);
        let max_cpu_time = self.settings.max_cpu_share * SECOND as f64;
        let reasons = [
            (read.value_bytes > max_value_bytes, SkipReason::ValueTooLong),
            (now < self.earliest_copy, SkipReason::RecentRestart),
            (self.open.values().any(|open| open.key_hash == key_hash), SkipReason::AlreadyOpen),
            (!self.rate.allows(now), SkipReason::RateLimit),
            (self.open.len() >= self.settings.max_open_copies, SkipReason::OpenLimit),
            ((self.open.len() + 1) * max_value_bytes > max_held_bytes, SkipReason::HeldBytesLimit),
            (self.work.last_second(now) as f64 >= max_cpu_time, SkipReason::CpuLimit),
            (!self.misses.allows(now), SkipReason::MissLimit),
        ];
        match reasons.iter().find(|(holds, _)| *holds) {
            Some((_, reason)) => Err(*reason),
            None => Ok(self.candidates[index]),
        }
    }

    fn open_copy(&mut self, read: &Read, key_hash: u64, candidate: u64) -> CopyRequest {
        let (number, deadline) = (self.next_number, self.now + self.settings.copy_timeout);
        self.next_number += 1;
        self.rate.take(self.now);
        self.misses.take(number, deadline);
        self.counts.copies += 1;
        let Read { key, class, outcome: live, hit, latency: took, .. } = *read;
        self.open.insert(number, OpenCopy { key, key_hash, candidate, class, live, hit, took, raced: false });
        CopyRequest { number, candidate, deadline }
    }

    fn mark_raced(&mut self, key_hash: u64) {
        self.open.values_mut().filter(|open| open.key_hash == key_hash).for_each(|open| open.raced = true);
    }

    /// Records that a client's write to this key has arrived or been answered: open copies of the key cannot be
    /// compared.
    pub fn note_write(&mut self, key: u64) {
        if !self.open.is_empty() {
            self.mark_raced(sampling_hash(self.settings.salt, key));
        }
    }

    /// Records the end of a copy. Returns the copies to cancel if this stops copying.
    pub fn copy_ended(&mut self, number: u64, result: CopyResult, now: Nanos) -> Vec<u64> {
        self.advance(now);
        let Some(open) = self.open.remove(&number) else { return Vec::new() };
        let answered = matches!(result.outcome, ReadOutcome::Value(_) | ReadOutcome::Missing);
        self.misses.release(number, answered.then_some(result.hit == Some(true)), self.now);
        let difference =
            self.comparison.record_copy(open.key_hash, open.live, result.outcome, open.raced, self.now);
        if let Some(difference) = difference.filter(|_| self.settings.max_samples > 0) {
            self.samples.truncate(self.settings.max_samples - 1);
            self.samples.push_front(Sample { key: open.key, class: open.class, difference });
        }
        if let (ReadOutcome::Value(_), ReadOutcome::Value(_), Some(took)) =
            (open.live, result.outcome, open.took)
        {
            let is_hit = open.hit == Some(true) && result.hit == Some(true);
            self.times.entry(open.class).or_default().record(is_hit, took, result.latency);
        }
        if answered {
            self.extend_hit_history();
            if let Some(interval) = self.counts.hits.last_mut() {
                interval[0] += 1;
                interval[1] += u64::from(result.hit == Some(true));
            }
        }
        let answered_at_all = !matches!(result.outcome, ReadOutcome::TimedOut);
        let stop = self
            .ramp
            .record_copy(answered_at_all, !answered, self.now)
            .or_else(|| self.too_many_differences());
        stop.map_or_else(Vec::new, |why| self.stop_copying(why))
    }

    fn too_many_differences(&self) -> Option<Stop> {
        let (different, of) = (self.comparison.tally.different(), self.comparison.tally.compared());
        let exceeds =
            of >= MIN_COMPARED && wilson_interval(different, of).low > self.settings.stop_difference_rate;
        exceeds.then_some(Stop::Different { different, of })
    }

    /// Extends the hit history to the present interval.
    fn extend_hit_history(&mut self) {
        let (at, hits) = (self.now / self.settings.ramp_step, &mut self.counts.hits);
        let missing =
            if hits.is_empty() { 1 } else { (at - self.interval).min(MAX_INTERVALS as u64) as usize };
        hits.extend(std::iter::repeat_n([0, 0], missing));
        hits.drain(..hits.len().saturating_sub(MAX_INTERVALS));
        self.interval = at;
    }

    /// Applies the load of the live side and the passing of time. Returns the copies to cancel.
    pub fn update_load(&mut self, load: &LiveLoad, now: Nanos) -> Vec<u64> {
        self.advance(now);
        let State::On { until } = self.state else { return Vec::new() };
        if until <= self.now {
            return self.stop_copying(Stop::Lease);
        }
        self.ramp.update(load, self.now);
        self.comparison.expire(self.now);
        Vec::new()
    }

    // ---- results ----

    /// The status of copying.
    pub fn status(&self) -> Status {
        let since = |at: Nanos| self.now.saturating_sub(at) / MS;
        Status {
            state: self.state,
            generation: self.persisted.generation,
            sampling_ppm: if self.is_on() { self.ramp.sampling_ppm() } else { 0 },
            trouble: self.ramp.trouble().map(|(what, at)| (what, since(at))),
            candidates: self.candidates.len(),
            open_copies: self.open.len(),
            pending_differences: self.comparison.pending_count(),
            misses_per_second: self.settings.own_misses_per_second(),
            counts: self.counts.clone(),
        }
    }

    /// Latencies by class.
    pub fn latencies(&self) -> &BTreeMap<u32, LatencyHistograms> {
        &self.times
    }

    /// Keys with different answers, the latest first.
    pub fn samples(&self) -> impl Iterator<Item = &Sample> {
        self.samples.iter()
    }

    /// The verdict on the copies so far.
    pub fn report(&self) -> Report {
        let times = self.times.iter().map(|(class, t)| (*class, t));
        Report::new(self.comparison.tally, times, self.settings.tolerance)
    }
}
