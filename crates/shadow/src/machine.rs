//! The state machine: reads that were served go in, copies come out, and what became of those goes in again.

use crate::budget::{proxy_share, CpuUsage, MissBudget, RateLimiter};
use crate::compare::{Comparison, Difference, ReadOutcome};
use crate::ramp::{LiveLoad, Ramp, Stop, Trouble};
use crate::sample::{is_sampled, pick_candidate, sampling_hash, Tenants};
use crate::verdict::{wilson_interval, LatencyHistograms, Report, Tolerance};
use crate::{Nanos, MS, SECOND};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Differences below which nothing stops.
const COMPARED: u64 = 100;
/// The hit share over time, in so many spans.
const SPANS: usize = 60;

/// What the operator allows. The host has checked it.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Classes whose reads are copied, by number; only those that are safe to repeat.
    pub classes: Vec<bool>,
    /// Whose reads are copied.
    pub tenants: Tenants,
    /// Chooses the keys; the same at all proxies.
    pub salt: u64,
    /// Parts per million of the keys that are copied at first.
    pub initial_sampling_ppm: u32,
    /// The most parts per million of the keys that are copied.
    pub max_sampling_ppm: u32,
    /// A step of the ramp is no shorter.
    pub ramp_step: Nanos,
    /// Copies of this proxy in any second.
    pub copies_per_second: usize,
    /// Copies of this proxy that are open at once.
    pub max_open_copies: usize,
    /// The longest answer that is compared, in bytes.
    pub max_value_bytes: usize,
    /// The most bytes that the answers of all open copies may hold together.
    pub max_held_bytes: usize,
    /// Part of the loop's time that copying may take.
    pub max_cpu_share: f64,
    /// Misses of all proxies together in any second.
    pub misses_per_second: u32,
    /// The number of proxies.
    pub proxy_count: u32,
    /// The index of this proxy among them.
    pub proxy_index: u32,
    /// A copy has so long.
    pub copy_timeout: Nanos,
    /// What is tolerated before a candidate is called worse.
    pub tolerance: Tolerance,
    /// The share of different answers at which copying stops.
    pub stop_difference_rate: f64,
    /// So many keys of answers that differed are kept, the latest ones. 0: none is.
    pub max_samples: usize,
}

impl Settings {
    /// Misses of this proxy in any second.
    pub fn own_misses_per_second(&self) -> u32 {
        proxy_share(self.misses_per_second, self.proxy_count, self.proxy_index)
    }
}

/// A read that a live box has answered.
#[derive(Clone, Copy, Debug)]
pub struct Read {
    /// Its class, by number.
    pub class: u32,
    /// Its tenant, by number, where told.
    pub tenant: Option<u32>,
    /// Its key.
    pub key: u64,
    /// What the live side had.
    pub outcome: ReadOutcome,
    /// Bytes of the value.
    pub value_bytes: usize,
    /// The box had it in its cache; nothing if that is not told.
    pub hit: Option<bool>,
    /// From the box's request to its answer; nothing where that had to wait behind another answer.
    pub latency: Option<Nanos>,
}

/// A copy to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopyRequest {
    /// Its number, once in this life.
    pub number: u64,
    /// The candidate, by its id.
    pub candidate: u64,
    /// Its time is up then.
    pub deadline: Nanos,
}

/// What became of a copy.
#[derive(Clone, Copy, Debug)]
pub struct CopyResult {
    /// What the candidate had.
    pub outcome: ReadOutcome,
    /// It had it in its cache; nothing if it did not say so.
    pub hit: Option<bool>,
    /// From its request to its answer.
    pub latency: Nanos,
}

macro_rules! causes {
    ($($(#[doc = $doc:literal])* $name:ident: $word:literal,)*) => {
        /// Why a read was not copied.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum SkipReason { $($(#[doc = $doc])* $name,)* }

        /// All causes, by their words.
        pub const SKIP_REASONS: &[(SkipReason, &str)] = &[$((SkipReason::$name, $word),)*];
    };
}

causes! {
    /// Its class or its tenant is left out.
    Excluded: "excluded",
    /// Its key is not among those that are copied now.
    NotSampled: "unchosen",
    /// There is no candidate.
    NoCandidate: "no-candidate",
    /// Its value is too long.
    ValueTooLong: "long",
    /// This process has begun so recently that copies of the one before may still be under way.
    RecentRestart: "fresh",
    /// Too many copies in this second.
    RateLimit: "rate",
    /// Too many copies are open.
    OpenLimit: "open",
    /// Copies that are open may already hold all bytes.
    HeldBytesLimit: "held",
    /// Copying has had its part of the loop.
    CpuLimit: "cpu",
    /// The candidate may have to fetch too much.
    MissLimit: "misses",
    /// A copy of this key is open already.
    AlreadyOpen: "twice",
}

/// What was copied and what was not.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Reads that were looked at.
    pub reads: u64,
    /// Copies sent.
    pub copies: u64,
    /// Those that were called off: the candidate left, or copying ended.
    #[serde(rename = "called_off")]
    pub cancelled: u64,
    /// Reads that were not copied, by cause, in the order of [`SKIP_REASONS`].
    #[serde(rename = "dropped")]
    pub skipped: [u64; SKIP_REASONS.len()],
    /// Hits among the copies that were answered, over time: copies and hits in each span, the latest last.
    pub hits: Vec<[u64; 2]>,
}

/// A key whose answers differed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// The key.
    pub key: u64,
    /// Its class, by number.
    pub class: u32,
    /// How they differed.
    #[serde(rename = "how")]
    pub difference: Difference,
}

/// Whether reads are copied.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum State {
    /// Nobody has asked for it.
    #[default]
    Off,
    /// Until the lease ends.
    On {
        /// The end, on the host's clock.
        until: Nanos,
    },
    /// No more, until it is started under a later generation.
    Stopped(Stop),
}

/// What outlives the process: a stop holds over a restart, and an order is carried out once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PersistedState {
    /// The last order's number.
    pub generation: u64,
    /// Copying has stopped, and why.
    pub stopped: Option<Stop>,
}

/// Why an order was not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandError {
    /// A later one is in force; its number.
    Stale(u64),
    /// Copying under this number has stopped.
    Stopped(Stop),
}

/// How it stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Whether reads are copied.
    pub state: State,
    /// The last order's number.
    pub generation: u64,
    /// Millionths of the keys that are copied now.
    #[serde(rename = "parts")]
    pub sampling_ppm: u32,
    /// The last trouble, and for how long it has been over, in milliseconds.
    pub trouble: Option<(Trouble, u64)>,
    /// Candidates.
    pub candidates: usize,
    /// Copies that are open.
    #[serde(rename = "open")]
    pub open_copies: usize,
    /// Differences that wait to be asked for again.
    #[serde(rename = "doubts")]
    pub pending_differences: usize,
    /// Misses that this proxy may cause in a second.
    #[serde(rename = "misses")]
    pub misses_per_second: u32,
    /// What was copied and what was not.
    pub counts: Counts,
}

#[derive(Clone, Copy, Debug)]
struct Open {
    key: u64,
    place: u64,
    candidate: u64,
    class: u32,
    live: ReadOutcome,
    hit: Option<bool>,
    took: Option<Nanos>,
    crossed: bool,
}

/// Copying at one proxy.
#[derive(Debug)]
pub struct Shadow {
    settings: Settings,
    kept: PersistedState,
    state: State,
    /// Until then nothing is copied: what the process before this one has sent may still be under way.
    fresh: Nanos,
    candidates: Vec<u64>,
    rate: RateLimiter,
    misses: MissBudget,
    work: CpuUsage,
    ramp: Ramp,
    open: BTreeMap<u64, Open>,
    comparison: Comparison,
    times: BTreeMap<u32, LatencyHistograms>,
    samples: VecDeque<Sample>,
    counts: Counts,
    /// The number of the latest span.
    span: u64,
    number: u64,
    /// The latest time that was told: a clock that goes back frees nothing.
    now: Nanos,
}

impl Shadow {
    /// Off, with what a process before this one has kept.
    pub fn new(settings: Settings, kept: PersistedState, now: Nanos) -> Self {
        let state = kept.stopped.map_or(State::Off, State::Stopped);
        let (first, most) = (settings.initial_sampling_ppm, settings.max_sampling_ppm);
        Shadow {
            state,
            kept,
            fresh: now + settings.copy_timeout + SECOND,
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
            span: 0,
            number: 0,
            now,
            settings,
        }
    }

    // ---- orders ----

    /// Copies until the lease ends. The same order again only prolongs it.
    ///
    /// # Errors
    /// A later order is in force, or copying under this one has stopped by itself.
    pub fn start(&mut self, generation: u64, lease: Nanos, now: Nanos) -> Result<(), CommandError> {
        self.advance(now);
        if generation < self.kept.generation {
            return Err(CommandError::Stale(self.kept.generation));
        }
        let again = generation == self.kept.generation;
        if let Some(stop) = self.kept.stopped.filter(|_| again) {
            return Err(CommandError::Stopped(stop));
        }
        if !(again && self.is_on()) {
            self.ramp.restart(self.now);
        }
        self.kept = PersistedState { generation, stopped: None };
        self.state = State::On { until: self.now + lease };
        Ok(())
    }

    /// Copies no more. The copies that are to be called off.
    ///
    /// # Errors
    /// A later order is in force.
    pub fn stop(&mut self, generation: u64, now: Nanos) -> Result<Vec<u64>, CommandError> {
        self.advance(now);
        if generation < self.kept.generation {
            return Err(CommandError::Stale(self.kept.generation));
        }
        self.kept.generation = generation;
        Ok(self.end(Stop::Asked))
    }

    fn end(&mut self, why: Stop) -> Vec<u64> {
        if !matches!(self.state, State::Stopped(_)) {
            self.state = State::Stopped(why);
            self.kept.stopped = Some(why);
        }
        self.call_off(|_| true)
    }

    fn call_off(&mut self, which: impl Fn(&Open) -> bool) -> Vec<u64> {
        let off: Vec<u64> = self.open.iter().filter(|(_, o)| which(o)).map(|(n, _)| *n).collect();
        for number in &off {
            self.open.remove(number);
            self.misses.release(*number, None, self.now);
        }
        self.counts.cancelled += off.len() as u64;
        off
    }

    /// What has to outlive the process.
    pub fn persisted_state(&self) -> PersistedState {
        self.kept
    }

    // ---- what the host tells ----

    fn advance(&mut self, now: Nanos) {
        self.now = self.now.max(now);
    }

    /// The candidates that may be asked now, by their ids. The copies to others are called off; these are told.
    pub fn set_candidates(&mut self, ids: Vec<u64>, now: Nanos) -> Vec<u64> {
        self.advance(now);
        let off = self.call_off(|o| !ids.contains(&o.candidate));
        self.candidates = ids;
        off
    }

    /// How many proxies there are, and which of them this is.
    pub fn set_proxies(&mut self, all: u32, index: u32) {
        (self.settings.proxy_count, self.settings.proxy_index) = (all, index);
        // What is taken stays taken.
        self.misses.set_limit(self.settings.own_misses_per_second() as usize);
    }

    /// Copying took so long of the loop.
    pub fn record_cpu_time(&mut self, used: Nanos, now: Nanos) {
        self.advance(now);
        self.work.add(self.now, used);
    }

    /// Reads are copied. While they are not, nothing has to be told of them.
    pub fn is_on(&self) -> bool {
        matches!(self.state, State::On { .. })
    }

    /// A copy of such a read may be wanted: it is worth digesting its value. Nothing is counted.
    pub fn is_wanted(&self, class: u32, tenant: Option<u32>, key: u64) -> bool {
        self.is_on()
            && self.chosen(class, tenant)
            && is_sampled(sampling_hash(self.settings.salt, key), self.ramp.sampling_ppm())
    }

    fn chosen(&self, class: u32, tenant: Option<u32>) -> bool {
        self.settings.classes.get(class as usize).copied().unwrap_or(false)
            && self.settings.tenants.contains(tenant)
    }

    /// A live box has answered a read, and its client has the answer. The copy to send, if there is to be one.
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
        let place = sampling_hash(self.settings.salt, read.key);
        let chosen = self.judge(read, place);
        if let ReadOutcome::Value(digest) = read.outcome {
            let known = chosen != Err(SkipReason::Excluded) && chosen != Err(SkipReason::NotSampled);
            if known && self.comparison.record_live(place, digest) {
                self.cross(place);
            }
        }
        match chosen {
            Ok(candidate) => Some(self.copy(read, place, candidate)),
            Err(cause) => {
                self.counts.skipped[cause as usize] += 1;
                None
            }
        }
    }

    /// To which candidate, or why to none.
    fn judge(&mut self, read: &Read, place: u64) -> Result<u64, SkipReason> {
        let now = self.now;
        if !self.chosen(read.class, read.tenant) {
            return Err(SkipReason::Excluded);
        }
        if !is_sampled(place, self.ramp.sampling_ppm()) {
            return Err(SkipReason::NotSampled);
        }
        let index = pick_candidate(place, self.candidates.iter().copied()).ok_or(SkipReason::NoCandidate)?;
        let (longest, held) = (self.settings.max_value_bytes, self.settings.max_held_bytes);
        let spent = self.settings.max_cpu_share * SECOND as f64;
        let causes = [
            (read.value_bytes > longest, SkipReason::ValueTooLong),
            (now < self.fresh, SkipReason::RecentRestart),
            (self.open.values().any(|o| o.place == place), SkipReason::AlreadyOpen),
            (!self.rate.allows(now), SkipReason::RateLimit),
            (self.open.len() >= self.settings.max_open_copies, SkipReason::OpenLimit),
            ((self.open.len() + 1) * longest > held, SkipReason::HeldBytesLimit),
            (self.work.last_second(now) as f64 >= spent, SkipReason::CpuLimit),
            (!self.misses.allows(now), SkipReason::MissLimit),
        ];
        match causes.iter().find(|(holds, _)| *holds) {
            Some((_, cause)) => Err(*cause),
            None => Ok(self.candidates[index]),
        }
    }

    fn copy(&mut self, read: &Read, place: u64, candidate: u64) -> CopyRequest {
        let (number, until) = (self.number, self.now + self.settings.copy_timeout);
        self.number += 1;
        self.rate.take(self.now);
        self.misses.take(number, until);
        self.counts.copies += 1;
        let Read { key, class, outcome: live, hit, latency: took, .. } = *read;
        self.open.insert(number, Open { key, place, candidate, class, live, hit, took, crossed: false });
        CopyRequest { number, candidate, deadline: until }
    }

    fn cross(&mut self, place: u64) {
        self.open.values_mut().filter(|o| o.place == place).for_each(|o| o.crossed = true);
    }

    /// A client asked to write this key, or has been answered: what was read before may not be what there is now.
    pub fn note_write(&mut self, key: u64) {
        if !self.open.is_empty() {
            self.cross(sampling_hash(self.settings.salt, key));
        }
    }

    /// A copy ended. The copies that are to be called off, should this stop copying.
    pub fn copy_ended(&mut self, number: u64, ended: CopyResult, now: Nanos) -> Vec<u64> {
        self.advance(now);
        let Some(open) = self.open.remove(&number) else { return Vec::new() };
        let answered = matches!(ended.outcome, ReadOutcome::Value(_) | ReadOutcome::Missing);
        self.misses.release(number, answered.then_some(ended.hit == Some(true)), self.now);
        let how = self.comparison.record_copy(open.place, open.live, ended.outcome, open.crossed, self.now);
        if let Some(how) = how.filter(|_| self.settings.max_samples > 0) {
            self.samples.truncate(self.settings.max_samples - 1);
            self.samples.push_front(Sample { key: open.key, class: open.class, difference: how });
        }
        if let (ReadOutcome::Value(_), ReadOutcome::Value(_), Some(took)) =
            (open.live, ended.outcome, open.took)
        {
            let warm = open.hit == Some(true) && ended.hit == Some(true);
            self.times.entry(open.class).or_default().record(warm, took, ended.latency);
        }
        if answered {
            self.spans();
            if let Some(span) = self.counts.hits.last_mut() {
                span[0] += 1;
                span[1] += u64::from(ended.hit == Some(true));
            }
        }
        let heard = !matches!(ended.outcome, ReadOutcome::TimedOut);
        let stop = self.ramp.record_copy(heard, !answered, self.now).or_else(|| self.too_different());
        stop.map_or_else(Vec::new, |why| self.end(why))
    }

    fn too_different(&self) -> Option<Stop> {
        let (different, of) = (self.comparison.tally.different(), self.comparison.tally.compared());
        let too = of >= COMPARED && wilson_interval(different, of).low > self.settings.stop_difference_rate;
        too.then_some(Stop::Different { different, of })
    }

    /// Opens the spans up to now.
    fn spans(&mut self) {
        let (at, hits) = (self.now / self.settings.ramp_step, &mut self.counts.hits);
        let gone = if hits.is_empty() { 1 } else { (at - self.span).min(SPANS as u64) as usize };
        hits.extend(std::iter::repeat_n([0, 0], gone));
        hits.drain(..hits.len().saturating_sub(SPANS));
        self.span = at;
    }

    /// Time goes by, and the live side is so. The copies that are to be called off.
    pub fn update_load(&mut self, vitals: &LiveLoad, now: Nanos) -> Vec<u64> {
        self.advance(now);
        let State::On { until } = self.state else { return Vec::new() };
        if until <= self.now {
            return self.end(Stop::Lease);
        }
        self.ramp.update(vitals, self.now);
        self.comparison.expire(self.now);
        Vec::new()
    }

    // ---- what it has to say ----

    /// How it stands.
    pub fn status(&self) -> Status {
        let since = |at: Nanos| self.now.saturating_sub(at) / MS;
        Status {
            state: self.state,
            generation: self.kept.generation,
            sampling_ppm: if self.is_on() { self.ramp.sampling_ppm() } else { 0 },
            trouble: self.ramp.trouble().map(|(what, at)| (what, since(at))),
            candidates: self.candidates.len(),
            open_copies: self.open.len(),
            pending_differences: self.comparison.pending_count(),
            misses_per_second: self.settings.own_misses_per_second(),
            counts: self.counts.clone(),
        }
    }

    /// Times by class.
    pub fn latencies(&self) -> &BTreeMap<u32, LatencyHistograms> {
        &self.times
    }

    /// Keys of answers that differed, the latest first.
    pub fn samples(&self) -> impl Iterator<Item = &Sample> {
        self.samples.iter()
    }

    /// What the copies show.
    pub fn report(&self) -> Report {
        let times = self.times.iter().map(|(class, t)| (*class, t));
        Report::new(self.comparison.tally, times, self.settings.tolerance)
    }
}
