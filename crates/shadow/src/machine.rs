//! The state machine: reads that were served go in, copies come out, and what became of those goes in again.

use crate::budget::{part, Misses, Rate, Work};
use crate::compare::{Comparison, Difference, Side};
use crate::ramp::{Ramp, Stop, Trouble, Vitals};
use crate::sample::{candidate, is_in, place, Tenants};
use crate::verdict::{share, Report, Times, Tolerance};
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
    /// Parts of the keys that are copied at first, and at the most, in millionths.
    pub parts: [u32; 2],
    /// A step of the ramp is no shorter.
    pub step: Nanos,
    /// Copies of this proxy in any second.
    pub copies: usize,
    /// Copies of this proxy that are open at once.
    pub open: usize,
    /// The longest answer that is compared, in bytes, and what all that are open may hold.
    pub bytes: [usize; 2],
    /// Part of the loop's time that copying may take.
    pub cpu: f64,
    /// Misses of all proxies together in any second.
    pub misses: u32,
    /// How many proxies there are, and which of them this is.
    pub proxies: [u32; 2],
    /// A copy has so long.
    pub deadline: Nanos,
    /// What is tolerated before a candidate is called worse.
    pub tolerance: Tolerance,
    /// The share of different answers at which copying stops.
    pub stop_different: f64,
    /// So many keys of answers that differed are kept, the latest ones. 0: none is.
    pub samples: usize,
}

impl Settings {
    /// Misses of this proxy in any second.
    pub fn misses_here(&self) -> u32 {
        part(self.misses, self.proxies[0], self.proxies[1])
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
    pub live: Side,
    /// Bytes of the value.
    pub length: usize,
    /// The box had it in its cache; nothing if that is not told.
    pub hit: Option<bool>,
    /// From the box's request to its answer; nothing where that had to wait behind another answer.
    pub took: Option<Nanos>,
}

/// A copy to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Copy {
    /// Its number, once in this life.
    pub number: u64,
    /// The candidate, by its id.
    pub candidate: u64,
    /// Its time is up then.
    pub until: Nanos,
}

/// What became of a copy.
#[derive(Clone, Copy, Debug)]
pub struct Ended {
    /// What the candidate had.
    pub side: Side,
    /// It had it in its cache; nothing if it did not say so.
    pub hit: Option<bool>,
    /// From its request to its answer.
    pub took: Nanos,
}

macro_rules! causes {
    ($($(#[doc = $doc:literal])* $name:ident: $word:literal,)*) => {
        /// Why a read was not copied.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Cause { $($(#[doc = $doc])* $name,)* }

        /// All causes, by their words.
        pub const CAUSES: &[(Cause, &str)] = &[$((Cause::$name, $word),)*];
    };
}

causes! {
    /// Its class or its tenant is left out.
    Excluded: "excluded",
    /// Its key is not among those that are copied now.
    Unchosen: "unchosen",
    /// There is no candidate.
    NoCandidate: "no-candidate",
    /// Its value is too long.
    Long: "long",
    /// This process has begun so recently that copies of the one before may still be under way.
    Fresh: "fresh",
    /// Too many copies in this second.
    Rate: "rate",
    /// Too many copies are open.
    Open: "open",
    /// Copies that are open may already hold all bytes.
    Held: "held",
    /// Copying has had its part of the loop.
    Cpu: "cpu",
    /// The candidate may have to fetch too much.
    Misses: "misses",
    /// A copy of this key is open already.
    Twice: "twice",
}

/// What was copied and what was not.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Reads that were looked at.
    pub reads: u64,
    /// Copies sent.
    pub copies: u64,
    /// Those that were called off: the candidate left, or copying ended.
    pub called_off: u64,
    /// Reads that were not copied, by cause, in the order of [`CAUSES`].
    pub dropped: [u64; CAUSES.len()],
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
    pub how: Difference,
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
pub struct Kept {
    /// The last order's number.
    pub generation: u64,
    /// Copying has stopped, and why.
    pub stopped: Option<Stop>,
}

/// Why an order was not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
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
    pub parts: u32,
    /// The last trouble, and for how long it has been over, in milliseconds.
    pub trouble: Option<(Trouble, u64)>,
    /// Candidates.
    pub candidates: usize,
    /// Copies that are open.
    pub open: usize,
    /// Differences that wait to be asked for again.
    pub doubts: usize,
    /// Misses that this proxy may cause in a second.
    pub misses: u32,
    /// What was copied and what was not.
    pub counts: Counts,
}

#[derive(Clone, Copy, Debug)]
struct Open {
    key: u64,
    place: u64,
    candidate: u64,
    class: u32,
    live: Side,
    hit: Option<bool>,
    took: Option<Nanos>,
    crossed: bool,
}

/// Copying at one proxy.
#[derive(Debug)]
pub struct Shadow {
    settings: Settings,
    kept: Kept,
    state: State,
    /// Until then nothing is copied: what the process before this one has sent may still be under way.
    fresh: Nanos,
    candidates: Vec<u64>,
    rate: Rate,
    misses: Misses,
    work: Work,
    ramp: Ramp,
    open: BTreeMap<u64, Open>,
    comparison: Comparison,
    times: BTreeMap<u32, Times>,
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
    pub fn new(settings: Settings, kept: Kept, now: Nanos) -> Self {
        let state = kept.stopped.map_or(State::Off, State::Stopped);
        let [first, most] = settings.parts;
        Shadow {
            state,
            kept,
            fresh: now + settings.deadline + SECOND,
            candidates: Vec::new(),
            rate: Rate::new(settings.copies),
            misses: Misses::new(settings.misses_here() as usize),
            work: Work::default(),
            ramp: Ramp::new(first, most, settings.step),
            open: BTreeMap::new(),
            comparison: Comparison::new(10 * settings.step),
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
    pub fn start(&mut self, generation: u64, lease: Nanos, now: Nanos) -> Result<(), Refused> {
        self.advance(now);
        if generation < self.kept.generation {
            return Err(Refused::Stale(self.kept.generation));
        }
        let again = generation == self.kept.generation;
        if let Some(stop) = self.kept.stopped.filter(|_| again) {
            return Err(Refused::Stopped(stop));
        }
        if !(again && self.is_on()) {
            self.ramp.begin(self.now);
        }
        self.kept = Kept { generation, stopped: None };
        self.state = State::On { until: self.now + lease };
        Ok(())
    }

    /// Copies no more. The copies that are to be called off.
    ///
    /// # Errors
    /// A later order is in force.
    pub fn stop(&mut self, generation: u64, now: Nanos) -> Result<Vec<u64>, Refused> {
        self.advance(now);
        if generation < self.kept.generation {
            return Err(Refused::Stale(self.kept.generation));
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
            self.misses.ended(*number, None, self.now);
        }
        self.counts.called_off += off.len() as u64;
        off
    }

    /// What has to outlive the process.
    pub fn kept(&self) -> Kept {
        self.kept
    }

    // ---- what the host tells ----

    fn advance(&mut self, now: Nanos) {
        self.now = self.now.max(now);
    }

    /// The candidates that may be asked now, by their ids. The copies to others are called off; these are told.
    pub fn candidates(&mut self, ids: Vec<u64>, now: Nanos) -> Vec<u64> {
        self.advance(now);
        let off = self.call_off(|o| !ids.contains(&o.candidate));
        self.candidates = ids;
        off
    }

    /// How many proxies there are, and which of them this is.
    pub fn proxies(&mut self, all: u32, index: u32) {
        self.settings.proxies = [all, index];
        // What is taken stays taken.
        self.misses.allow(self.settings.misses_here() as usize);
    }

    /// Copying took so long of the loop.
    pub fn worked(&mut self, used: Nanos, now: Nanos) {
        self.advance(now);
        self.work.add(self.now, used);
    }

    /// Reads are copied. While they are not, nothing has to be told of them.
    pub fn is_on(&self) -> bool {
        matches!(self.state, State::On { .. })
    }

    /// A copy of such a read may be wanted: it is worth digesting its value. Nothing is counted.
    pub fn wants(&self, class: u32, tenant: Option<u32>, key: u64) -> bool {
        self.is_on() && self.chosen(class, tenant) && is_in(place(self.settings.salt, key), self.ramp.level())
    }

    fn chosen(&self, class: u32, tenant: Option<u32>) -> bool {
        self.settings.classes.get(class as usize).copied().unwrap_or(false)
            && self.settings.tenants.has(tenant)
    }

    /// A live box has answered a read, and its client has the answer. The copy to send, if there is to be one.
    pub fn read(&mut self, read: &Read, now: Nanos) -> Option<Copy> {
        self.advance(now);
        let State::On { until } = self.state else { return None };
        if until <= self.now {
            return None;
        }
        self.counts.reads += 1;
        if let (Some(false), Some(took)) = (read.hit, read.took) {
            self.ramp.missed(took, self.now);
        }
        let place = place(self.settings.salt, read.key);
        let chosen = self.judge(read, place);
        if let Side::Value(digest) = read.live {
            let known = chosen != Err(Cause::Excluded) && chosen != Err(Cause::Unchosen);
            if known && self.comparison.live(place, digest) {
                self.cross(place);
            }
        }
        match chosen {
            Ok(candidate) => Some(self.copy(read, place, candidate)),
            Err(cause) => {
                self.counts.dropped[cause as usize] += 1;
                None
            }
        }
    }

    /// To which candidate, or why to none.
    fn judge(&mut self, read: &Read, place: u64) -> Result<u64, Cause> {
        let now = self.now;
        if !self.chosen(read.class, read.tenant) {
            return Err(Cause::Excluded);
        }
        if !is_in(place, self.ramp.level()) {
            return Err(Cause::Unchosen);
        }
        let index = candidate(place, self.candidates.iter().copied()).ok_or(Cause::NoCandidate)?;
        let [longest, held] = self.settings.bytes;
        let spent = self.settings.cpu * SECOND as f64;
        let causes = [
            (read.length > longest, Cause::Long),
            (now < self.fresh, Cause::Fresh),
            (self.open.values().any(|o| o.place == place), Cause::Twice),
            (!self.rate.allows(now), Cause::Rate),
            (self.open.len() >= self.settings.open, Cause::Open),
            ((self.open.len() + 1) * longest > held, Cause::Held),
            (self.work.used(now) as f64 >= spent, Cause::Cpu),
            (!self.misses.allows(now), Cause::Misses),
        ];
        match causes.iter().find(|(holds, _)| *holds) {
            Some((_, cause)) => Err(*cause),
            None => Ok(self.candidates[index]),
        }
    }

    fn copy(&mut self, read: &Read, place: u64, candidate: u64) -> Copy {
        let (number, until) = (self.number, self.now + self.settings.deadline);
        self.number += 1;
        self.rate.take(self.now);
        self.misses.take(number, until);
        self.counts.copies += 1;
        let Read { key, class, live, hit, took, .. } = *read;
        self.open.insert(number, Open { key, place, candidate, class, live, hit, took, crossed: false });
        Copy { number, candidate, until }
    }

    fn cross(&mut self, place: u64) {
        self.open.values_mut().filter(|o| o.place == place).for_each(|o| o.crossed = true);
    }

    /// A client asked to write this key, or has been answered: what was read before may not be what there is now.
    pub fn wrote(&mut self, key: u64) {
        if !self.open.is_empty() {
            self.cross(place(self.settings.salt, key));
        }
    }

    /// A copy ended. The copies that are to be called off, should this stop copying.
    pub fn ended(&mut self, number: u64, ended: Ended, now: Nanos) -> Vec<u64> {
        self.advance(now);
        let Some(open) = self.open.remove(&number) else { return Vec::new() };
        let answered = matches!(ended.side, Side::Value(_) | Side::Missing);
        self.misses.ended(number, answered.then_some(ended.hit == Some(true)), self.now);
        let how = self.comparison.ended(open.place, open.live, ended.side, open.crossed, self.now);
        if let Some(how) = how.filter(|_| self.settings.samples > 0) {
            self.samples.truncate(self.settings.samples - 1);
            self.samples.push_front(Sample { key: open.key, class: open.class, how });
        }
        if let (Side::Value(_), Side::Value(_), Some(took)) = (open.live, ended.side, open.took) {
            let warm = open.hit == Some(true) && ended.hit == Some(true);
            self.times.entry(open.class).or_default().add(warm, took, ended.took);
        }
        if answered {
            self.spans();
            if let Some(span) = self.counts.hits.last_mut() {
                span[0] += 1;
                span[1] += u64::from(ended.hit == Some(true));
            }
        }
        let heard = !matches!(ended.side, Side::Late);
        let stop = self.ramp.ended(heard, !answered, self.now).or_else(|| self.too_different());
        stop.map_or_else(Vec::new, |why| self.end(why))
    }

    fn too_different(&self) -> Option<Stop> {
        let (different, of) = (self.comparison.tally.different(), self.comparison.tally.compared());
        let too = of >= COMPARED && share(different, of).low > self.settings.stop_different;
        too.then_some(Stop::Different { different, of })
    }

    /// Opens the spans up to now.
    fn spans(&mut self) {
        let (at, hits) = (self.now / self.settings.step, &mut self.counts.hits);
        let gone = if hits.is_empty() { 1 } else { (at - self.span).min(SPANS as u64) as usize };
        hits.extend(std::iter::repeat_n([0, 0], gone));
        hits.drain(..hits.len().saturating_sub(SPANS));
        self.span = at;
    }

    /// Time goes by, and the live side is so. The copies that are to be called off.
    pub fn look(&mut self, vitals: &Vitals, now: Nanos) -> Vec<u64> {
        self.advance(now);
        let State::On { until } = self.state else { return Vec::new() };
        if until <= self.now {
            return self.end(Stop::Lease);
        }
        self.ramp.look(vitals, self.now);
        self.comparison.tick(self.now);
        Vec::new()
    }

    // ---- what it has to say ----

    /// How it stands.
    pub fn status(&self) -> Status {
        let since = |at: Nanos| self.now.saturating_sub(at) / MS;
        Status {
            state: self.state,
            generation: self.kept.generation,
            parts: if self.is_on() { self.ramp.level() } else { 0 },
            trouble: self.ramp.trouble().map(|(what, at)| (what, since(at))),
            candidates: self.candidates.len(),
            open: self.open.len(),
            doubts: self.comparison.in_doubt(),
            misses: self.settings.misses_here(),
            counts: self.counts.clone(),
        }
    }

    /// Times by class.
    pub fn times(&self) -> &BTreeMap<u32, Times> {
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
