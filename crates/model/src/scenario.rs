//! A scenario: an installation, its traffic, what goes wrong, and what must hold. The format is `docs/scenarios.md`.

use crate::random::RandomSource;
use crate::{millis, seconds, Nanos};
use calicosaddle::api::{Class, DedupScope, RetrySafety, Settings};
use pipeline::{PipelineConfig, PlacementPolicy, SettleDelay};
use serde::{Deserialize, Serialize};
use std::fmt;

/// The format's version.
pub const VERSION: u32 = 1;
/// Bounds, as the page of the format states them.
const MOST_BOXES: usize = 20_000;
const MOST_PROXIES: usize = 5_000;
const MOST_FAULTS: usize = 10_000;
const LONGEST_S: f64 = 86_400.0;
const MOST_RATE: f64 = 10_000_000.0;

/// Something wrong in a scenario: where, and what.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The key, with its tables.
    pub key: String,
    /// What is wrong with it.
    pub reason: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.reason)
    }
}

/// A scenario.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct Scenario {
    /// The format's version: [`VERSION`].
    pub version: u32,
    /// Its name.
    pub name: String,
    /// What it guards, in a line.
    pub guards: String,
    /// How long clients ask.
    pub duration_s: f64,
    /// What is asked before this does not count.
    pub warm_s: f64,
    /// What there is.
    pub topology: Topology,
    /// Machine types of boxes.
    pub kinds: Vec<Kind>,
    /// The ledger behind the boxes.
    pub origin: Origin,
    /// Who tells the list.
    pub discovery: Discovery,
    /// What is asked.
    pub traffic: Traffic,
    /// Copies of reads to candidates.
    pub shadow: Shadow,
    /// What goes wrong.
    pub faults: Vec<FaultSpec>,
    /// So many faults more, drawn from the seed.
    pub random_faults: usize,
    /// What must hold beyond the four rules.
    pub holds: Holds,
}

impl Default for Scenario {
    fn default() -> Self {
        Scenario {
            version: 0,
            name: String::new(),
            guards: String::new(),
            duration_s: 20.0,
            warm_s: 3.0,
            topology: Topology::default(),
            kinds: vec![Kind::default()],
            origin: Origin::default(),
            discovery: Discovery::default(),
            traffic: Traffic::default(),
            shadow: Shadow::default(),
            faults: Vec::new(),
            random_faults: 0,
            holds: Holds::default(),
        }
    }
}

/// What there is.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct Topology {
    /// Zones.
    pub zones: usize,
    /// Proxies, over the zones in turn.
    pub proxies: usize,
    /// Boxes, over the zones in turn.
    pub boxes: usize,
    /// One way between two zones.
    pub zone_delay_ms: f64,
    /// One way within a zone.
    pub local_delay_ms: f64,
    /// Between clients and proxies, one way.
    pub client_delay_ms: f64,
    /// Requests open at once at a proxy.
    pub max_open: usize,
    /// Connections of a proxy to boxes in all.
    pub connections: usize,
    /// Connections between boxes and all proxies that a proxy plans for, and at the most of one proxy to a box.
    pub box_connections: usize,
    /// The same for one proxy.
    pub most_connections: usize,
    /// Requests on a connection at once, as far as boxes take them, ...
    pub streams: usize,
    /// ... and as far as a proxy sends them.
    pub depth: usize,
    /// How long a connection rests after an answer at first, where one at a time goes out.
    pub rest_ms: f64,
    /// How a proxy chooses among its connections to a box.
    pub placing: PlacementPolicy,
    /// A connection whose head is older than this part of its heads were takes nothing new; 1: whatever its age.
    pub head_quantile: f64,
    /// Connections that carry nothing are closed after this.
    pub idle_s: f64,
    /// A connection that takes longer has failed.
    pub connect_timeout_ms: f64,
    /// Attempts of a request at the most.
    pub max_attempts: u32,
    /// Two attempts of a request may be out.
    pub second_copies: bool,
}

impl Default for Topology {
    fn default() -> Self {
        Topology {
            zones: 3,
            proxies: 3,
            boxes: 12,
            zone_delay_ms: 3.0,
            local_delay_ms: 0.1,
            client_delay_ms: 0.1,
            max_open: 4_000,
            connections: 500,
            box_connections: 24,
            most_connections: 8,
            streams: 8,
            depth: 1,
            rest_ms: 5.0,
            placing: PlacementPolicy::Fixed,
            head_quantile: 1.0,
            idle_s: 5.0,
            connect_timeout_ms: 300.0,
            max_attempts: 5,
            second_copies: true,
        }
    }
}

impl Topology {
    /// What a proxy may do with its connections to a box.
    pub fn pipes(&self) -> PipelineConfig {
        let (placing, head_quantile) = (self.placing, self.head_quantile);
        let depth = self.depth.min(self.streams);
        let rest = if depth > 1 { SettleDelay::NONE } else { SettleDelay::new(Some(millis(self.rest_ms))) };
        PipelineConfig {
            placement: placing,
            max_depth: [depth; 2],
            head_quantile,
            settle_delay: rest,
            ..PipelineConfig::default()
        }
    }
}

/// A machine type of boxes.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// How many boxes are of it, against the other kinds.
    pub share: f64,
    /// Requests that it works on at once.
    pub cores: usize,
    /// Work is divided by it.
    pub speed: f64,
    /// The work of a read.
    pub read_ms: f64,
    /// The work of a write.
    pub write_ms: f64,
    /// Work differs by up to this part either way.
    pub spread: f64,
    /// Requests that wait before more are turned away.
    pub queue: usize,
    /// Connections before more are turned away.
    pub connections: usize,
    /// The work of a new connection.
    pub handshake_ms: f64,
    /// A box that has started works with this part of its speed; 1: never cold.
    pub cold_from: f64,
    /// It is warm after this.
    pub cold_s: f64,
    /// A cold box falls when sent more than this multiple of what it can do ...
    pub fall_multiple: f64,
    /// ... for so long.
    pub fall_s: f64,
    /// Keys that it caches.
    pub cache: usize,
}

impl Default for Kind {
    fn default() -> Self {
        Kind {
            name: "m1".into(),
            share: 1.0,
            cores: 1,
            speed: 1.0,
            read_ms: 5.0,
            write_ms: 6.0,
            spread: 0.0,
            queue: 64,
            connections: 32,
            handshake_ms: 1.0,
            cold_from: 1.0,
            cold_s: 24.0,
            fall_multiple: 3.0,
            fall_s: 1.0,
            cache: 100_000,
        }
    }
}

/// The ledger behind the boxes.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct Origin {
    /// Fetches that it works on at once.
    pub places: usize,
    /// The work of one.
    pub work_ms: f64,
    /// Fetches that wait before more are turned away.
    pub queue: usize,
    /// It stops when sent this multiple of what it can do; 0: never.
    pub fall_multiple: f64,
    /// For so long.
    pub fall_s: f64,
}

impl Default for Origin {
    fn default() -> Self {
        Origin { places: 64, work_ms: 20.0, queue: 2_000, fall_multiple: 0.0, fall_s: 5.0 }
    }
}

/// Who tells the list.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct Discovery {
    /// A change is told so much later.
    pub lag_ms: f64,
    /// Every second proxy hears so much later still: two versions are in use.
    pub second_lag_ms: f64,
    /// Whole lists that it gives in a second, over all proxies; 0: any number.
    pub calls_a_second: u32,
}

impl Default for Discovery {
    fn default() -> Self {
        Discovery { lag_ms: 0.0, second_lag_ms: 0.0, calls_a_second: 0 }
    }
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct Ask {
    /// In time is up to here, from the request's first try.
    pub aim_ms: f64,
    /// A client waits so long for a try.
    pub wait_ms: f64,
    /// A request is given up here, over all tries.
    pub deadline_ms: f64,
    /// What it is worth.
    pub worth: f64,
}

impl Default for Ask {
    fn default() -> Self {
        Ask { aim_ms: 300.0, wait_ms: 480.0, deadline_ms: 750.0, worth: 1.0 }
    }
}

/// What is asked.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct Traffic {
    /// Requests a second, without repeats by clients, by chance (Poisson).
    pub rate: f64,
    /// The part that writes.
    pub writes: f64,
    /// Keys.
    pub keys: u64,
    /// Their popularity: Zipf's exponent; 0: all alike.
    pub zipf: f64,
    /// Tries of a client.
    pub tries: u32,
    /// A client waits before its next try so long at the least, and up to twice of it.
    pub backoff_ms: f64,
    /// Proxies get unlike parts of what is asked: each one's weight is drawn between 1 and this, small ones being the more
    /// frequent; 1: all alike.
    pub uneven: f64,
    /// The front layer learns of a dead proxy, or of one that is back, so late.
    pub front_lag_ms: f64,
    /// Reads.
    pub read: Ask,
    /// Writes.
    pub write: Ask,
    /// The rate from then on, by times of `rate`; in between it goes over evenly if `ramp` is set.
    pub curve: Vec<Point>,
    /// The rate goes evenly from point to point.
    pub ramp: bool,
    /// The part of the requests that is for one hot key; 0: there is none.
    pub hot: f64,
    /// The hot key is another one each so many seconds; 0: never.
    pub hot_moves_s: f64,
}

impl Default for Traffic {
    fn default() -> Self {
        Traffic {
            rate: 300.0,
            writes: 0.1,
            keys: 2_000,
            zipf: 0.8,
            tries: 3,
            backoff_ms: 50.0,
            uneven: 1.0,
            front_lag_ms: 500.0,
            read: Ask::default(),
            write: Ask { aim_ms: 500.0, wait_ms: 700.0, deadline_ms: 1_000.0, worth: 5.0 },
            curve: Vec::new(),
            ramp: false,
            hot: 0.0,
            hot_moves_s: 0.0,
        }
    }
}

/// Copies of reads to candidates that stand beside the boxes, with nothing cached. The keys are those of the operator's
/// file, `[shadow]`; a misses budget past what reads there are is none.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct Shadow {
    /// Candidates; 0: nothing is copied.
    pub candidates: usize,
    /// Of the keys, at the most, ...
    pub share: f64,
    /// ... and at first.
    pub first_share: f64,
    /// The share doubles no sooner than this.
    pub step_s: f64,
    /// Of one proxy.
    pub copies_per_second: usize,
    /// Of one proxy, each with one copy.
    pub connections: usize,
    /// Over all proxies.
    pub misses_per_second: u32,
    /// A copy is given up after that.
    pub deadline_ms: f64,
}

impl Default for Shadow {
    fn default() -> Self {
        Shadow {
            candidates: 0,
            share: 0.1,
            first_share: 0.01,
            step_s: 30.0,
            copies_per_second: 100,
            connections: 8,
            misses_per_second: 1_000_000,
            deadline_ms: 500.0,
        }
    }
}

/// A point of the rate.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Point {
    /// From the start.
    pub at_s: f64,
    /// Times of the rate.
    pub times: f64,
}

/// Which of the boxes, or of the proxies.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(untagged)]
pub enum Which {
    /// These, by number.
    These(Vec<usize>),
    /// A part of them, drawn from the seed.
    Part(f64),
}

impl Which {
    /// The numbers, of so many, for the fault of this number in its scenario.
    pub fn of(&self, seed: u64, number: u64, of: usize) -> Vec<usize> {
        match self {
            Which::These(these) => these.clone(),
            Which::Part(part) => {
                let mut all: Vec<usize> = (0..of).collect();
                RandomSource::new(seed, 100 + number).shuffle(&mut all);
                all.truncate((part * of as f64).round() as usize);
                all.sort_unstable();
                all
            }
        }
    }
}

/// Something that goes wrong, and when.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct FaultSpec {
    /// From the start.
    pub at_s: f64,
    /// So long; nothing: until the end.
    #[serde(default)]
    pub lasts_s: Option<f64>,
    /// What.
    #[serde(flatten)]
    pub fault: Fault,
}

/// What goes wrong.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Fault {
    /// Boxes take requests and answer none.
    Silent {
        /// Which.
        boxes: Which,
    },
    /// Their processes are gone; at the end they start again, with nothing cached and cold where they can be.
    Down {
        /// Which.
        boxes: Which,
    },
    /// A part of their answers is reset.
    Resets {
        /// Which.
        boxes: Which,
        /// The part.
        part: f64,
    },
    /// A part of their answers can't be read.
    Spoils {
        /// Which.
        boxes: Which,
        /// The part.
        part: f64,
    },
    /// A part of their good answers bring more than belongs to them, if nothing else waits there on the connection.
    Surplus {
        /// Which.
        boxes: Which,
        /// The part.
        part: f64,
        /// A copy; else noise that reads as an answer.
        #[serde(default = "yes")]
        copy: bool,
        /// In a segment of its own, up to so much later; 0: in one segment with the answer.
        #[serde(default)]
        late_ms: f64,
    },
    /// Their work takes ever longer, up to so many times at the end.
    Slows {
        /// Which.
        boxes: Which,
        /// So many times.
        times: f64,
    },
    /// Discovery says that they drain; half a second after that they turn new requests away.
    Drain {
        /// Which.
        boxes: Which,
    },
    /// One after the other they drain, go, and come back as new processes.
    Roll {
        /// Which.
        boxes: Which,
    },
    /// So many times as many boxes: the new ones join at once, cold where they can be.
    Grow {
        /// So many times.
        times: f64,
    },
    /// A zone's proxies and boxes are cut off from the others.
    Cut {
        /// Which zone.
        zone: usize,
    },
    /// Proxies die; at the end they return with the last list that they knew.
    Die {
        /// Which.
        proxies: Which,
    },
    /// Discovery tells changes so much later.
    Late {
        /// By so long.
        by_s: f64,
    },
    /// Discovery answers nobody.
    NoDiscovery,
    /// The origin stops.
    OriginStops,
}

fn yes() -> bool {
    true
}

/// What must hold beyond the four rules; nothing: whatever comes.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Holds {
    /// The least part of the requests served in time.
    pub in_time: Option<f64>,
    /// The slowest 1% of what is served takes no longer.
    pub p99_ms: Option<f64>,
    /// Attempts for a request, on average, no more.
    pub attempts: Option<f64>,
}

impl Scenario {
    /// Reads a scenario and tells all that is wrong with it, not just the first thing.
    ///
    /// # Errors
    /// What is wrong, each with its key.
    pub fn read(text: &str) -> Result<Scenario, Vec<Problem>> {
        let whole: toml::Table = text.parse().map_err(|e: toml::de::Error| {
            vec![Problem { key: "file".into(), reason: e.to_string().trim().replace('\n', " ") }]
        })?;
        Scenario::from_table(whole)
    }

    /// The same, from a table that was read already.
    ///
    /// # Errors
    /// As for [`Scenario::read`].
    pub fn from_table(whole: toml::Table) -> Result<Scenario, Vec<Problem>> {
        let mut value = toml::Value::Table(whole);
        let mut problems = Vec::new();
        // What can't be read is noted and left out, until the rest can be read: one look tells all faults.
        let scenario: Scenario = loop {
            let mut unknown = Vec::new();
            let read: Result<Scenario, _> = {
                let mut note = |path: serde_ignored::Path<'_>| unknown.push(path.to_string());
                let ignored = serde_ignored::Deserializer::new(value.clone(), &mut note);
                serde_path_to_error::deserialize(ignored)
            };
            match read {
                Ok(scenario) => {
                    for key in unknown {
                        problems.push(Problem { key, reason: "no such option".into() });
                    }
                    break scenario;
                }
                Err(e) => {
                    let path: Vec<String> = e
                        .path()
                        .iter()
                        .filter_map(|s| match s {
                            serde_path_to_error::Segment::Seq { index } => Some(index.to_string()),
                            serde_path_to_error::Segment::Map { key } => Some(key.clone()),
                            _ => None,
                        })
                        .collect();
                    let reason = e.inner().to_string().trim().replace('\n', " ");
                    problems.push(Problem { key: path.join("."), reason });
                    if !remove(&mut value, &path) {
                        return Err(problems);
                    }
                }
            }
        };
        scenario.check(&mut problems);
        if problems.is_empty() {
            Ok(scenario)
        } else {
            Err(problems)
        }
    }

    /// Looks at all values.
    fn check(&self, problems: &mut Vec<Problem>) {
        let mut c = Check(problems);
        if self.version != VERSION {
            c.add("version", format!("is {}, this program reads {VERSION}", self.version));
        }
        let named = !self.name.is_empty() && self.name.len() <= 64;
        if !named || !self.name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-') {
            c.add("name", "must be 1 to 64 letters, digits and dashes".into());
        }
        if self.guards.is_empty() {
            c.add("guards", "must say in a line what the scenario guards".into());
        }
        c.float("duration_s", self.duration_s, 0.1, LONGEST_S);
        c.float("warm_s", self.warm_s, 0.0, self.duration_s);
        let t = &self.topology;
        c.whole("topology.zones", t.zones, 1, 64);
        c.whole("topology.proxies", t.proxies, 1, MOST_PROXIES);
        c.whole("topology.boxes", t.boxes, 1, MOST_BOXES);
        c.float("topology.zone_delay_ms", t.zone_delay_ms, 0.0, 1_000.0);
        c.float("topology.local_delay_ms", t.local_delay_ms, 0.0, 1_000.0);
        c.float("topology.client_delay_ms", t.client_delay_ms, 0.0, 1_000.0);
        c.whole("topology.max_open", t.max_open, 1, 8_192);
        c.whole("topology.connections", t.connections, 1, 100_000);
        c.whole("topology.box_connections", t.box_connections, 1, 10_000);
        c.whole("topology.most_connections", t.most_connections, 1, 1_000);
        c.whole("topology.streams", t.streams, 1, 1_024);
        c.whole("topology.depth", t.depth, 1, 1_024);
        c.float("topology.rest_ms", t.rest_ms, 0.0, 50.0);
        c.float("topology.head_quantile", t.head_quantile, 0.5, 1.0);
        c.float("topology.idle_s", t.idle_s, 0.01, LONGEST_S);
        c.float("topology.connect_timeout_ms", t.connect_timeout_ms, 1.0, 60_000.0);
        c.whole("topology.max_attempts", t.max_attempts as usize, 1, 16);
        if self.kinds.is_empty() || self.kinds.len() > 64 {
            c.add("kinds", format!("there are {}, there must be 1 to 64", self.kinds.len()));
        }
        for (i, k) in self.kinds.iter().enumerate() {
            let at = |key: &str| format!("kinds.{i}.{key}");
            if k.name.is_empty() {
                c.add(&at("name"), "is empty".into());
            }
            if self.kinds[..i].iter().any(|other| other.name == k.name) {
                c.add(&at("name"), format!("'{}' names another kind already", k.name));
            }
            c.float(&at("share"), k.share, 0.0, 1e6);
            c.whole(&at("cores"), k.cores, 1, 1_024);
            c.float(&at("speed"), k.speed, 0.001, 1_000.0);
            c.float(&at("read_ms"), k.read_ms, 0.001, 60_000.0);
            c.float(&at("write_ms"), k.write_ms, 0.001, 60_000.0);
            c.float(&at("spread"), k.spread, 0.0, 0.99);
            c.whole(&at("queue"), k.queue, 0, 1_000_000);
            c.whole(&at("connections"), k.connections, 1, 1_000_000);
            c.float(&at("handshake_ms"), k.handshake_ms, 0.0, 1_000.0);
            c.float(&at("cold_from"), k.cold_from, 0.001, 1.0);
            c.float(&at("cold_s"), k.cold_s, 0.001, LONGEST_S);
            c.float(&at("fall_multiple"), k.fall_multiple, 1.0, 1e6);
            c.float(&at("fall_s"), k.fall_s, 0.01, 3_600.0);
            c.whole(&at("cache"), k.cache, 1, 10_000_000);
        }
        if self.kinds.iter().map(|k| k.share).sum::<f64>() <= 0.0 {
            c.add("kinds", "no kind has a share".into());
        }
        let s = &self.shadow;
        c.whole("shadow.candidates", s.candidates, 0, 64);
        c.float("shadow.share", s.share, 1e-6, 1.0);
        c.float("shadow.first_share", s.first_share, 1e-6, 1.0);
        c.float("shadow.step_s", s.step_s, 0.1, 3_600.0);
        c.whole("shadow.copies_per_second", s.copies_per_second, 1, 10_000);
        c.whole("shadow.connections", s.connections, 1, 256);
        c.whole("shadow.misses_per_second", s.misses_per_second as usize, 2, 1_000_000);
        c.float("shadow.deadline_ms", s.deadline_ms, 10.0, 10_000.0);
        let o = &self.origin;
        c.whole("origin.places", o.places, 1, 1_000_000);
        c.float("origin.work_ms", o.work_ms, 0.001, 60_000.0);
        c.whole("origin.queue", o.queue, 0, 10_000_000);
        c.float("origin.fall_multiple", o.fall_multiple, 0.0, 1e6);
        c.float("origin.fall_s", o.fall_s, 0.01, 3_600.0);
        c.float("discovery.lag_ms", self.discovery.lag_ms, 0.0, 3_600_000.0);
        c.float("discovery.second_lag_ms", self.discovery.second_lag_ms, 0.0, 3_600_000.0);
        let a = &self.traffic;
        c.float("traffic.rate", a.rate, 0.001, MOST_RATE);
        c.float("traffic.writes", a.writes, 0.0, 1.0);
        if a.keys == 0 {
            c.add("traffic.keys", "must be 1 at the least".into());
        }
        c.float("traffic.zipf", a.zipf, 0.0, 5.0);
        c.whole("traffic.tries", a.tries as usize, 1, 100);
        c.float("traffic.backoff_ms", a.backoff_ms, 0.0, 60_000.0);
        c.float("traffic.uneven", a.uneven, 1.0, 1_000.0);
        c.float("traffic.front_lag_ms", a.front_lag_ms, 0.0, 3_600_000.0);
        for (name, ask) in [("read", &a.read), ("write", &a.write)] {
            let at = |key: &str| format!("traffic.{name}.{key}");
            c.float(&at("aim_ms"), ask.aim_ms, 1.0, 60_000.0);
            c.float(&at("deadline_ms"), ask.deadline_ms, ask.aim_ms, 120_000.0);
            c.float(&at("wait_ms"), ask.wait_ms, 1.0, ask.deadline_ms);
            c.float(&at("worth"), ask.worth, 0.0, 1e6);
        }
        for (i, p) in a.curve.iter().enumerate() {
            c.float(&format!("traffic.curve.{i}.at_s"), p.at_s, 0.0, self.duration_s);
            c.float(&format!("traffic.curve.{i}.times"), p.times, 0.0, 1_000.0);
            if i > 0 && p.at_s <= a.curve[i - 1].at_s {
                c.add(&format!("traffic.curve.{i}.at_s"), "is not later than the point before".into());
            }
        }
        c.float("traffic.hot", a.hot, 0.0, 1.0);
        c.float("traffic.hot_moves_s", a.hot_moves_s, 0.0, LONGEST_S);
        if self.faults.len() + self.random_faults > MOST_FAULTS {
            c.add("faults", format!("there are more than {MOST_FAULTS}"));
        }
        for (i, f) in self.faults.iter().enumerate() {
            self.check_fault(i, f, &mut c);
        }
        c.float("holds.in_time", self.holds.in_time.unwrap_or(0.0), 0.0, 1.0);
        for (key, value) in [("p99_ms", self.holds.p99_ms), ("attempts", self.holds.attempts)] {
            c.float(&format!("holds.{key}"), value.unwrap_or(1.0), 0.001, 1e6);
        }
    }

    fn check_fault(&self, i: usize, f: &FaultSpec, c: &mut Check<'_>) {
        let at = |key: &str| format!("faults.{i}.{key}");
        c.float(&at("at_s"), f.at_s, 0.0, self.duration_s);
        if let Some(lasts) = f.lasts_s {
            c.float(&at("lasts_s"), lasts, 0.001, LONGEST_S);
        }
        let mut which = |key: &str, which: &Which, of: usize| match which {
            Which::Part(part) => c.float(&at(key), *part, 0.0, 1.0),
            Which::These(these) => {
                for one in these.iter().filter(|one| **one >= of) {
                    c.add(&at(key), format!("there is no number {one}, there are {of}"));
                }
            }
        };
        match &f.fault {
            Fault::Silent { boxes }
            | Fault::Down { boxes }
            | Fault::Drain { boxes }
            | Fault::Roll { boxes } => which("boxes", boxes, self.topology.boxes),
            Fault::Resets { boxes, part } | Fault::Spoils { boxes, part } => {
                which("boxes", boxes, self.topology.boxes);
                c.float(&at("part"), *part, 0.0, 1.0);
            }
            Fault::Surplus { boxes, part, late_ms, .. } => {
                which("boxes", boxes, self.topology.boxes);
                c.float(&at("part"), *part, 0.0, 1.0);
                c.float(&at("late_ms"), *late_ms, 0.0, 1_000.0);
            }
            Fault::Slows { boxes, times } => {
                which("boxes", boxes, self.topology.boxes);
                c.float(&at("times"), *times, 1.0, 1e6);
            }
            Fault::Grow { times } => {
                c.float(&at("times"), *times, 1.0, MOST_BOXES as f64 / self.topology.boxes.max(1) as f64);
            }
            Fault::Cut { zone } => {
                if *zone >= self.topology.zones {
                    c.add(&at("zone"), format!("there is no zone {zone}, there are {}", self.topology.zones));
                }
            }
            Fault::Die { proxies } => which("proxies", proxies, self.topology.proxies),
            Fault::Late { by_s } => c.float(&at("by_s"), *by_s, 0.0, 3_600.0),
            Fault::NoDiscovery | Fault::OriginStops => {}
        }
        if matches!(f.fault, Fault::Roll { .. } | Fault::Slows { .. }) && f.lasts_s.is_none() {
            c.add(&at("lasts_s"), "must be told for this kind".into());
        }
    }

    /// All faults of a run: those written, and those drawn from the seed.
    pub fn faults(&self, seed: u64) -> Vec<FaultSpec> {
        let mut chance = RandomSource::new(seed, 3);
        let mut all = self.faults.clone();
        let part = |chance: &mut RandomSource| Which::Part(0.05 + 0.2 * chance.unit());
        for _ in 0..self.random_faults {
            let at_s = self.warm_s + (self.duration_s - self.warm_s) * 0.6 * chance.unit();
            let lasts_s = Some((self.duration_s - self.warm_s) * (0.1 + 0.2 * chance.unit()));
            let fault = match chance.below(9) {
                0 | 1 => Fault::Silent { boxes: part(&mut chance) },
                2 => Fault::Down { boxes: part(&mut chance) },
                3 => Fault::Resets { boxes: part(&mut chance), part: 0.1 + 0.4 * chance.unit() },
                4 => Fault::Spoils { boxes: part(&mut chance), part: 0.1 + 0.4 * chance.unit() },
                5 => Fault::Drain { boxes: part(&mut chance) },
                6 => Fault::Cut { zone: chance.below(self.topology.zones) },
                7 => Fault::Slows { boxes: part(&mut chance), times: 2.0 + 8.0 * chance.unit() },
                _ => Fault::Late { by_s: 1.0 + 4.0 * chance.unit() },
            };
            all.push(FaultSpec { at_s, lasts_s, fault });
        }
        all
    }

    /// Times of the rate at a time.
    pub fn times(&self, now: Nanos) -> f64 {
        let s = now as f64 / 1e9;
        let next = self.traffic.curve.iter().position(|p| p.at_s > s).unwrap_or(self.traffic.curve.len());
        let before = next.checked_sub(1).map(|i| &self.traffic.curve[i]);
        let (at, times) = before.map_or((0.0, 1.0), |p| (p.at_s, p.times));
        match self.traffic.curve.get(next) {
            Some(p) if self.traffic.ramp => times + (p.times - times) * (s - at) / (p.at_s - at),
            _ => times,
        }
    }

    /// What a proxy of this installation is told at start.
    pub fn settings(&self, proxy: usize) -> Settings {
        let (t, kind) = (&self.topology, &self.kinds[0]);
        let class = |ask: &Ask, effect: RetrySafety| Class {
            latency_target: millis(ask.aim_ms),
            deadline: millis(ask.deadline_ms),
            retry_safety: effect,
            dedup_scope: DedupScope::All,
            dedup_window: seconds(1.0),
            late_value: 0.0,
            value: ask.worth,
            ..Class::default()
        };
        Settings {
            classes: vec![
                class(&self.traffic.read, RetrySafety::Safe),
                class(&self.traffic.write, RetrySafety::Keyed),
            ],
            zone: (proxy % t.zones) as u32,
            proxy_count: t.proxies as u32,
            proxy_index: proxy as u32,
            max_attempts: t.max_attempts,
            allow_cancel: true,
            hedging: t.second_copies,
            max_retry_after: seconds(1.0),
            connect_timeout: millis(t.connect_timeout_ms),
            slow_start_initial_fraction: kind.cold_from,
            slow_start_duration: seconds(kind.cold_s),
            overload_multiple: kind.fall_multiple,
            overload_duration: seconds(kind.fall_s),
            origin_overload_multiple: self.origin.fall_multiple,
            origin_overload_duration: seconds(self.origin.fall_s),
            drain_grace: millis(500.0),
            discovery_poll_interval: seconds(10.0),
            ..Settings::default()
        }
    }

    /// The kind of each box that there ever is, by number: the shares are kept as nearly as whole boxes allow.
    pub fn kind_of(&self, count: usize) -> Vec<usize> {
        let whole: f64 = self.kinds.iter().map(|k| k.share).sum();
        let mut given = vec![0.0; self.kinds.len()];
        (0..count)
            .map(|n| {
                let lacks = |k: &usize| self.kinds[*k].share / whole * (n + 1) as f64 - given[*k];
                let all = (0..self.kinds.len()).filter(|k| self.kinds[*k].share > 0.0);
                let kind = all.max_by(|a, b| lacks(a).total_cmp(&lacks(b)).then(b.cmp(a))).unwrap_or(0);
                given[kind] += 1.0;
                kind
            })
            .collect()
    }
}

/// Takes a value out by its path; false if there is none.
fn remove(value: &mut toml::Value, path: &[String]) -> bool {
    let Some((key, rest)) = path.split_first() else { return false };
    match value {
        toml::Value::Table(table) if rest.is_empty() => table.remove(key).is_some(),
        toml::Value::Table(table) => table.get_mut(key).is_some_and(|v| remove(v, rest)),
        toml::Value::Array(all) => {
            let Some(i) = key.parse::<usize>().ok().filter(|i| *i < all.len()) else { return false };
            if rest.is_empty() || !remove(&mut all[i], rest) {
                all.remove(i);
            }
            true
        }
        _ => false,
    }
}

struct Check<'a>(&'a mut Vec<Problem>);

impl Check<'_> {
    fn add(&mut self, key: &str, reason: String) {
        self.0.push(Problem { key: key.to_owned(), reason });
    }

    fn float(&mut self, key: &str, value: f64, low: f64, high: f64) {
        if !(low..=high).contains(&value) {
            self.add(key, format!("is {value}, must be {low} to {high}"));
        }
    }

    fn whole(&mut self, key: &str, value: usize, low: usize, high: usize) {
        if !(low..=high).contains(&value) {
            self.add(key, format!("is {value}, must be {low} to {high}"));
        }
    }
}
