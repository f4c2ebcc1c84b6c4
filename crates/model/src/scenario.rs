//! Scenarios: an installation, its traffic, the faults to inject and the expected results. The format is `docs/scenarios.md`.

use crate::random::RandomSource;
use crate::{millis, seconds, Nanos};
use calicosaddle::api::{Class, DedupScope, RetrySafety, Settings};
use pipeline::{PipelineConfig, PlacementPolicy, SettleDelay};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Version of the scenario format.
pub const VERSION: u32 = 1;
/// Bounds of values, as stated in the documentation of the format.
const MAX_BOXES: usize = 20_000;
const MAX_PROXIES: usize = 5_000;
const MAX_FAULTS: usize = 10_000;
const MAX_DURATION_S: f64 = 86_400.0;
const MAX_RATE: f64 = 10_000_000.0;

/// An error in a scenario file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Dotted path of the key.
    pub key: String,
    /// What is wrong with its value.
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
    /// One line on what the scenario protects against.
    pub guards: String,
    /// How long clients send requests.
    pub duration_s: f64,
    /// Warm-up: requests started before this do not count.
    pub warm_s: f64,
    /// Proxies, boxes, zones and connections.
    pub topology: Topology,
    /// Machine types of boxes.
    pub kinds: Vec<Kind>,
    /// The origin behind the boxes.
    pub origin: Origin,
    /// The discovery service.
    pub discovery: Discovery,
    /// The request load.
    pub traffic: Traffic,
    /// Shadow traffic: copies of reads to candidates.
    pub shadow: Shadow,
    /// Faults to inject.
    pub faults: Vec<FaultSpec>,
    /// Number of additional faults drawn from the seed.
    pub random_faults: usize,
    /// Expected results in addition to the invariants of every run.
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

/// Proxies, boxes, zones and connections.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct Topology {
    /// Zones.
    pub zones: usize,
    /// Proxies, assigned to zones round-robin.
    pub proxies: usize,
    /// Boxes, assigned to zones round-robin.
    pub boxes: usize,
    /// One-way delay between two zones.
    pub zone_delay_ms: f64,
    /// One-way delay within a zone.
    pub local_delay_ms: f64,
    /// One-way delay between clients and proxies.
    pub client_delay_ms: f64,
    /// Maximum concurrent requests of a proxy.
    pub max_open: usize,
    /// Maximum connections of a proxy to all boxes.
    pub connections: usize,
    /// Connections to one box that all proxies together may use; each proxy takes an equal share.
    pub box_connections: usize,
    /// Maximum connections of one proxy to one box.
    pub most_connections: usize,
    /// Requests in flight on a connection that boxes support.
    pub streams: usize,
    /// Requests in flight on a connection that a proxy uses.
    pub depth: usize,
    /// Initial settle delay of a connection after an answer, at a depth of 1.
    pub rest_ms: f64,
    /// How a proxy chooses among its connections to a box.
    pub placing: PlacementPolicy,
    /// A connection whose oldest request in flight is older than this quantile of earlier ones gets no new requests; 1
    /// disables the check.
    pub head_quantile: f64,
    /// Idle connections are closed after this.
    pub idle_s: f64,
    /// Time after which connecting has failed.
    pub connect_timeout_ms: f64,
    /// Maximum attempts for a request.
    pub max_attempts: u32,
    /// Hedging: two attempts of a request may be in progress at once.
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
    /// The pipeline configuration of a proxy.
    pub fn pipes(&self) -> PipelineConfig {
        let (placing, head_quantile) = (self.placing, self.head_quantile);
        let depth = self.depth.min(self.streams);
        let settle_delay =
            if depth > 1 { SettleDelay::NONE } else { SettleDelay::new(Some(millis(self.rest_ms))) };
        PipelineConfig {
            placement: placing,
            max_depth: [depth; 2],
            head_quantile,
            settle_delay,
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
    /// Relative number of boxes of this kind.
    pub share: f64,
    /// Requests that it processes concurrently.
    pub cores: usize,
    /// Relative speed; work times are divided by it.
    pub speed: f64,
    /// Work time of a read.
    pub read_ms: f64,
    /// Work time of a write.
    pub write_ms: f64,
    /// Work times vary by up to this fraction in either direction.
    pub spread: f64,
    /// Queue length above which requests are rejected.
    pub queue: usize,
    /// Connections above which new ones are rejected.
    pub connections: usize,
    /// Work time of a connection handshake.
    pub handshake_ms: f64,
    /// Slow start: fraction of its speed after a start; 1 disables slow start.
    pub cold_from: f64,
    /// Duration of slow start.
    pub cold_s: f64,
    /// A box in slow start collapses when it receives more than this multiple of its capacity ...
    pub fall_multiple: f64,
    /// ... over this period.
    pub fall_s: f64,
    /// Capacity of its cache in keys.
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

/// The origin behind the boxes.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct Origin {
    /// Fetches that it processes concurrently.
    pub places: usize,
    /// Work time of a fetch.
    pub work_ms: f64,
    /// Queue length above which fetches are rejected.
    pub queue: usize,
    /// It collapses when it receives more than this multiple of its capacity; 0: never.
    pub fall_multiple: f64,
    /// Period over which the load is counted, and duration of a collapse.
    pub fall_s: f64,
}

impl Default for Origin {
    fn default() -> Self {
        Origin { places: 64, work_ms: 20.0, queue: 2_000, fall_multiple: 0.0, fall_s: 5.0 }
    }
}

/// The discovery service.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct Discovery {
    /// Lag of updates.
    pub lag_ms: f64,
    /// Additional lag for every second proxy, so that two versions of the list are in use.
    pub second_lag_ms: f64,
    /// Full lists that it serves in a second to all proxies together; 0: unlimited.
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
    /// Latency target, from the request's first try.
    pub aim_ms: f64,
    /// Client timeout of one try.
    pub wait_ms: f64,
    /// Deadline of the request over all tries.
    pub deadline_ms: f64,
    /// Worth of a request served in time.
    pub worth: f64,
}

impl Default for Ask {
    fn default() -> Self {
        Ask { aim_ms: 300.0, wait_ms: 480.0, deadline_ms: 750.0, worth: 1.0 }
    }
}

/// The request load.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct Traffic {
    /// Mean requests per second without client retries (Poisson process).
    pub rate: f64,
    /// Fraction of writes.
    pub writes: f64,
    /// Number of keys.
    pub keys: u64,
    /// Zipf exponent of their popularity; 0: uniform.
    pub zipf: f64,
    /// Maximum tries of a client for a request.
    pub tries: u32,
    /// Minimum backoff of a client before its next try; the maximum is twice as long.
    pub backoff_ms: f64,
    /// Load imbalance between proxies: each proxy's weight is drawn log-uniformly between 1 and this; 1: equal weights.
    pub uneven: f64,
    /// Lag with which the front layer notices that a proxy has died or returned.
    pub front_lag_ms: f64,
    /// Reads.
    pub read: Ask,
    /// Writes.
    pub write: Ask,
    /// Changes of the rate over time, as multiples of `rate`.
    pub curve: Vec<Point>,
    /// Interpolate the rate linearly between the points of `curve`.
    pub ramp: bool,
    /// Fraction of the requests for one hot key; 0: no hot key.
    pub hot: f64,
    /// Interval at which the hot key changes; 0: never.
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

/// Shadow traffic: copies of reads to candidates beside the boxes, which start with empty caches. The keys are those of
/// `[shadow]` in the operator's file; a budget of misses above the rate of reads is no limit.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct Shadow {
    /// Number of candidates; 0 disables shadow traffic.
    pub candidates: usize,
    /// Maximum fraction of the keys that are copied.
    pub share: f64,
    /// Initial fraction of the keys that are copied.
    pub first_share: f64,
    /// Minimum time between doublings of the fraction.
    pub step_s: f64,
    /// Maximum copies per second of one proxy.
    pub copies_per_second: usize,
    /// Connections of one proxy to candidates; each carries one copy.
    pub connections: usize,
    /// Maximum misses per second of all proxies together.
    pub misses_per_second: u32,
    /// Timeout of a copy.
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

/// A point of the rate curve.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Point {
    /// Time since the start.
    pub at_s: f64,
    /// Multiple of the rate.
    pub times: f64,
}

/// Selects boxes or proxies.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(untagged)]
pub enum Which {
    /// By number.
    These(Vec<usize>),
    /// A fraction of them, drawn from the seed.
    Part(f64),
}

impl Which {
    /// The selected numbers below `of`, for the fault with this number in the scenario.
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

/// A fault with its time.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct FaultSpec {
    /// Time since the start.
    pub at_s: f64,
    /// Duration; `None`: until the end of the run.
    #[serde(default)]
    pub lasts_s: Option<f64>,
    /// The fault.
    #[serde(flatten)]
    pub fault: Fault,
}

/// A fault to inject.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Fault {
    /// Boxes accept requests and answer none.
    Silent {
        /// Affected boxes.
        boxes: Which,
    },
    /// Boxes stop; at the end they restart with empty caches, in slow start if their kind has one.
    Down {
        /// Affected boxes.
        boxes: Which,
    },
    /// A fraction of the boxes' answers is lost to connection resets.
    Resets {
        /// Affected boxes.
        boxes: Which,
        /// Fraction of the answers.
        part: f64,
    },
    /// A fraction of the boxes' answers is malformed.
    Spoils {
        /// Affected boxes.
        boxes: Which,
        /// Fraction of the answers.
        part: f64,
    },
    /// A fraction of the boxes' successful answers is followed by unsolicited bytes, unless another request is pending
    /// there on the connection.
    Surplus {
        /// Affected boxes.
        boxes: Which,
        /// Fraction of the answers.
        part: f64,
        /// Whether the bytes repeat the answer; otherwise they are noise that parses as an answer.
        #[serde(default = "yes")]
        copy: bool,
        /// Maximum delay, in a segment of their own; 0: in the same segment as the answer.
        #[serde(default)]
        late_ms: f64,
    },
    /// The boxes' work time grows steadily up to a multiple.
    Slows {
        /// Affected boxes.
        boxes: Which,
        /// Multiple reached at the end.
        times: f64,
    },
    /// Discovery lists boxes as draining; half a second later they reject new requests.
    Drain {
        /// Affected boxes.
        boxes: Which,
    },
    /// Rolling restart: boxes drain, stop and restart one after the other.
    Roll {
        /// Affected boxes.
        boxes: Which,
    },
    /// New boxes join all at once, in slow start if their kind has one.
    Grow {
        /// Multiple of the number of boxes.
        times: f64,
    },
    /// Network partition: a zone is isolated from the others.
    Cut {
        /// The isolated zone.
        zone: usize,
    },
    /// Proxies die; at the end they restart with the last list that they received.
    Die {
        /// Affected proxies.
        proxies: Which,
    },
    /// Discovery updates are delayed.
    Late {
        /// Additional lag.
        by_s: f64,
    },
    /// Discovery outage.
    NoDiscovery,
    /// The origin stops processing.
    OriginStops,
}

fn yes() -> bool {
    true
}

/// Expected results in addition to the invariants of every run; `None` is not checked.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Holds {
    /// Minimum fraction of requests served in time.
    pub in_time: Option<f64>,
    /// Maximum 99th percentile of latency.
    pub p99_ms: Option<f64>,
    /// Maximum mean number of attempts for a request.
    pub attempts: Option<f64>,
}

impl Scenario {
    /// Parses and validates a scenario.
    ///
    /// # Errors
    /// Returns all problems found, not only the first, each with its key.
    pub fn read(text: &str) -> Result<Scenario, Vec<Problem>> {
        let whole: toml::Table = text.parse().map_err(|e: toml::de::Error| {
            vec![Problem { key: "file".into(), reason: e.to_string().trim().replace('\n', " ") }]
        })?;
        Scenario::from_table(whole)
    }

    /// Validates a scenario from a parsed table.
    ///
    /// # Errors
    /// As for [`Scenario::read`].
    pub fn from_table(whole: toml::Table) -> Result<Scenario, Vec<Problem>> {
        let mut value = toml::Value::Table(whole);
        let mut problems = Vec::new();
        // Values that cannot be parsed are recorded and removed until the rest parses, so that all errors are reported.
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

    /// Checks the bounds of all values.
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
        c.float("duration_s", self.duration_s, 0.1, MAX_DURATION_S);
        c.float("warm_s", self.warm_s, 0.0, self.duration_s);
        let t = &self.topology;
        c.whole("topology.zones", t.zones, 1, 64);
        c.whole("topology.proxies", t.proxies, 1, MAX_PROXIES);
        c.whole("topology.boxes", t.boxes, 1, MAX_BOXES);
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
        c.float("topology.idle_s", t.idle_s, 0.01, MAX_DURATION_S);
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
            c.float(&at("cold_s"), k.cold_s, 0.001, MAX_DURATION_S);
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
        c.float("traffic.rate", a.rate, 0.001, MAX_RATE);
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
        c.float("traffic.hot_moves_s", a.hot_moves_s, 0.0, MAX_DURATION_S);
        if self.faults.len() + self.random_faults > MAX_FAULTS {
            c.add("faults", format!("there are more than {MAX_FAULTS}"));
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
            c.float(&at("lasts_s"), lasts, 0.001, MAX_DURATION_S);
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
                c.float(&at("times"), *times, 1.0, MAX_BOXES as f64 / self.topology.boxes.max(1) as f64);
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

    /// All faults of a run: those in the file and those drawn from the seed.
    pub fn faults(&self, seed: u64) -> Vec<FaultSpec> {
        let mut random = RandomSource::new(seed, 3);
        let mut all = self.faults.clone();
        let part = |random: &mut RandomSource| Which::Part(0.05 + 0.2 * random.unit());
        for _ in 0..self.random_faults {
            let at_s = self.warm_s + (self.duration_s - self.warm_s) * 0.6 * random.unit();
            let lasts_s = Some((self.duration_s - self.warm_s) * (0.1 + 0.2 * random.unit()));
            let fault = match random.below(9) {
                0 | 1 => Fault::Silent { boxes: part(&mut random) },
                2 => Fault::Down { boxes: part(&mut random) },
                3 => Fault::Resets { boxes: part(&mut random), part: 0.1 + 0.4 * random.unit() },
                4 => Fault::Spoils { boxes: part(&mut random), part: 0.1 + 0.4 * random.unit() },
                5 => Fault::Drain { boxes: part(&mut random) },
                6 => Fault::Cut { zone: random.below(self.topology.zones) },
                7 => Fault::Slows { boxes: part(&mut random), times: 2.0 + 8.0 * random.unit() },
                _ => Fault::Late { by_s: 1.0 + 4.0 * random.unit() },
            };
            all.push(FaultSpec { at_s, lasts_s, fault });
        }
        all
    }

    /// The multiple of the rate at a time.
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

    /// The balancer settings of a proxy.
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

    /// The kind of each box by number; any prefix follows the shares as closely as whole boxes allow.
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

/// Removes the value at a path; false if there is none.
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
