//! The loop of events in virtual time, with clients, front layer, boxes, origin and faults. Proxies are in `host`.

use crate::arrivals::{Arrival, Arrivals};
use crate::boxes::{Answer, CacheBox, Job, Surplus};
use crate::copies::{Copies, Step, CANDIDATE};
use crate::discovery::Discovery;
use crate::host::{Connection, Host, Known};
use crate::judge::{Breaches, Rule};
use crate::origin::Origin;
use crate::policy::Policy;
use crate::random::RandomSource;
use crate::scenario::{Ask, Fault, Scenario, Which};
use crate::summary::{Ended, Gathered, Second, Summary};
use crate::{millis, seconds, Nanos, MS, SECOND};
use calicosaddle::api::*;
use rustc_hash::FxHashMap;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;

/// A client allows so much for the way, past its wait.
const GRACE: Nanos = 50 * MS;
/// Discovery answers a call after this.
const CALL: Nanos = 2 * MS;
/// A drained box turns new requests away after this.
const DRAINS: Nanos = 500 * MS;
/// Between a box's drain and its end, and from there to its new start, while boxes are rolled.
const ROLL: [Nanos; 2] = [1_000 * MS, 200 * MS];
/// The part of the idle time after which a connection is not used again.
const IDLE_PART: f64 = 0.8;
/// Proxies that refuse a connection before a client gives the try up.
const DOORS: u32 = 3;

/// How a run is made.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Proxies look again before they send, as the real one does: at drains, at requests that are over. A test that
    /// breaks a rule on purpose switches this off.
    pub guard: bool,
    /// Keep a history of this request.
    pub trace: Option<u32>,
}

impl Default for Options {
    fn default() -> Self {
        Options { guard: true, trace: None }
    }
}

/// Plays a scenario with a policy by name.
///
/// # Errors
/// There is no such policy.
pub fn run(scenario: &Scenario, policy: &str, seed: u64) -> Result<Summary, String> {
    if !crate::NAMES.contains(&policy) {
        return Err(format!("there is no policy '{policy}'; there are {}", crate::NAMES.join(", ")));
    }
    let make = |_: usize, settings: &Settings, seed: u64| {
        // The name was looked at above.
        crate::make(policy, settings, seed).unwrap_or_else(|| unreachable!("a policy that is listed"))
    };
    Ok(run_with(scenario, policy, seed, Options::default(), &make))
}

/// The same with any policy, made for each proxy by its number, its settings and its seed. Where a rule breaks, the run
/// is played once more for the history of the first request that did it.
pub fn run_with(
    scenario: &Scenario,
    name: &str,
    seed: u64,
    options: Options,
    make: &dyn Fn(usize, &Settings, u64) -> Box<dyn Policy>,
) -> Summary {
    let mut summary = Sim::new(scenario, seed, options, make).play(name);
    let first = summary.breaches.iter().position(|b| b.request.is_some());
    if let (Some(first), None) = (first, options.trace) {
        let trace = summary.breaches[first].request;
        let again = Sim::new(scenario, seed, Options { trace, ..options }, make).play(name);
        summary.breaches[first].history =
            again.breaches.get(first).map_or_else(Vec::new, |b| b.history.clone());
    }
    summary
}

/// How a try ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    Served,
    /// To be asked again after this, if it is told.
    Refused(Nanos),
    Failed,
    /// The proxy died.
    Died,
    /// No proxy took it.
    Nowhere,
    /// Nothing came within the client's wait.
    Late,
}

/// A request of a client.
#[derive(Clone, Debug)]
pub(crate) struct Asked {
    pub key: u64,
    pub write: bool,
    first: Nanos,
    tries: u32,
    /// The proxy that has its current try, and which of its lives.
    at: Option<(usize, u32)>,
    waits: bool,
    end: Option<End>,
    ended: Nanos,
}

#[derive(Clone, Debug)]
pub(crate) enum Ev {
    Request(Arrival),
    Try(u32),
    Reach { request: u32, number: u32, proxy: usize, wait: Nanos, doors: u32 },
    Told { request: u32, number: u32, end: End },
    GiveUp { request: u32, number: u32 },
    Module { proxy: usize, life: u32, token: u64 },
    Deadline { proxy: usize, life: u32, id: u64 },
    Attempt { proxy: usize, life: u32, id: u64, attempt: u32 },
    Connect { connection: usize, serial: u64 },
    Knock { connection: usize, serial: u64 },
    Up { connection: usize, serial: u64, crowded: bool },
    Lost { connection: usize, serial: u64 },
    Left { to: u32, life: u32 },
    AtBox { job: u32 },
    Worked { to: u32, life: u32, job: u32 },
    Ledger { to: u32, job: u32 },
    Reply { connection: usize, serial: u64, answer: Answer, more: Option<Answer> },
    Rested { connection: usize, serial: u64 },
    List { proxy: usize, life: u32, kind: ListKind, entries: Rc<Vec<(u32, ServerEntry)>> },
    Publish(Rc<Vec<(u32, ServerEntry)>>),
    Do(Op),
    Copy(Step),
    Second,
}

/// What a fault does to one thing.
#[derive(Clone, Debug)]
pub(crate) enum Op {
    Silent(u32, bool),
    Down(u32),
    Up(u32),
    Resets(u32, f64),
    Spoils(u32, f64),
    Surplus(u32, Surplus),
    Slows(u32, Option<(Nanos, Nanos, f64)>),
    Drain(u32, bool),
    Refuses(u32),
    Join(Vec<u32>),
    Cut(usize, bool),
    Die(usize),
    Return(usize),
    Front(usize, bool),
    Late(Nanos, bool),
    NoDiscovery(bool),
    OriginStops(bool),
}

struct Item(Nanos, u64, Ev);

impl PartialEq for Item {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Item {}
impl PartialOrd for Item {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Item {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

pub(crate) struct Sim<'a> {
    pub scenario: &'a Scenario,
    pub options: Options,
    make: &'a dyn Fn(usize, &Settings, u64) -> Box<dyn Policy>,
    seed: u64,
    pub now: Nanos,
    order: u64,
    heap: BinaryHeap<Reverse<Item>>,
    /// What waits for a cut to heal.
    stalled: Vec<Ev>,
    cut: Vec<u32>,
    pub hosts: Vec<Host>,
    pub boxes: Vec<CacheBox>,
    joined: Vec<bool>,
    pub by_server: FxHashMap<ServerId, u32>,
    pub connections: Vec<Option<Connection>>,
    pub free: Vec<usize>,
    pub serial: u64,
    pub ids: u64,
    jobs: Vec<Option<(Job, u32)>>,
    free_jobs: Vec<u32>,
    pub requests: Vec<Asked>,
    front: Vec<bool>,
    /// The sums of the proxies' weights up to each; none where all are alike.
    weights: Vec<f64>,
    discovery: Discovery,
    pub origin: Origin,
    /// Copies of reads to candidates, where there are any.
    pub copies: Option<Copies>,
    /// A connection that was idle for so long is not used again.
    pub idle_after: Nanos,
    /// How connections to boxes are chosen.
    pub pipes: pipeline::PipelineConfig,
    arrivals: Arrivals<'a>,
    clients: RandomSource,
    work: RandomSource,
    pub actions: Vec<Action>,
    pub breaches: Breaches,
    pub wasted: u64,
    all_attempts: u64,
    all_opened: u64,
    seconds: Vec<Second>,
    events: u64,
    history: Vec<String>,
}

/// Weights between 1 and `uneven`, log-uniform.
fn weights(scenario: &Scenario, seed: u64) -> Vec<f64> {
    let (uneven, mut chance, mut sum) = (scenario.traffic.uneven, RandomSource::new(seed, 5), 0.0);
    let mut next = |_| {
        sum += uneven.powf(chance.unit());
        sum
    };
    if uneven > 1.0 {
        (0..scenario.topology.proxies).map(&mut next).collect()
    } else {
        Vec::new()
    }
}

impl<'a> Sim<'a> {
    fn new(
        scenario: &'a Scenario,
        seed: u64,
        options: Options,
        make: &'a dyn Fn(usize, &Settings, u64) -> Box<dyn Policy>,
    ) -> Self {
        let t = &scenario.topology;
        let mut sim = Sim {
            scenario,
            options,
            make,
            seed,
            now: 0,
            order: 0,
            heap: BinaryHeap::new(),
            stalled: Vec::new(),
            cut: vec![0; t.zones],
            hosts: (0..t.proxies).map(|i| Host::new(i % t.zones, t.pipes().settle_delay)).collect(),
            boxes: Vec::new(),
            joined: Vec::new(),
            by_server: FxHashMap::default(),
            connections: Vec::new(),
            free: Vec::new(),
            serial: 0,
            ids: 0,
            jobs: Vec::new(),
            free_jobs: Vec::new(),
            requests: Vec::new(),
            front: vec![true; t.proxies],
            weights: weights(scenario, seed),
            discovery: Discovery::new(&scenario.discovery),
            origin: Origin::new(&scenario.origin),
            copies: Copies::new(&scenario.shadow, t.proxies),
            idle_after: (seconds(t.idle_s) as f64 * IDLE_PART) as Nanos,
            pipes: t.pipes(),
            arrivals: Arrivals::new(scenario, seed),
            clients: RandomSource::new(seed, 2),
            work: RandomSource::new(seed, 4),
            actions: Vec::new(),
            breaches: Breaches::default(),
            wasted: 0,
            all_attempts: 0,
            all_opened: 0,
            seconds: vec![Second::default(); scenario.duration_s.ceil() as usize + 1],
            events: 0,
            history: Vec::new(),
        };
        let faults = scenario.faults(seed);
        let grown = faults.iter().filter_map(|f| match f.fault {
            Fault::Grow { times } => Some((t.boxes as f64 * times).round() as usize),
            _ => None,
        });
        let count = grown.max().unwrap_or(t.boxes).max(t.boxes);
        for (i, kind) in scenario.kind_of(count).into_iter().enumerate() {
            let server = server_id(&format!("s-{i}"));
            let told = &scenario.kinds[kind];
            sim.boxes.push(CacheBox::new(server, i % t.zones, kind, told, 0, i < t.boxes));
            sim.by_server.insert(server, i as u32);
            sim.joined.push(i < t.boxes);
            let entry = sim.entry(i as u32, ServerState::Ready);
            sim.discovery.entries.push((i < t.boxes).then_some(entry));
        }
        for (i, f) in faults.iter().enumerate() {
            sim.plan(i as u64, f.at_s, f.lasts_s, &f.fault);
        }
        for proxy in 0..t.proxies {
            sim.hosts[proxy].known = vec![Known::default(); count];
            for at in 0..t.boxes {
                sim.hosts[proxy].known[at].state = Some(ServerState::Ready);
            }
            sim.start(proxy);
        }
        sim.next_request();
        sim.at(SECOND, Ev::Second);
        if sim.copies.is_some() {
            sim.at(0, Ev::Copy(Step::Look));
        }
        sim
    }

    pub fn at(&mut self, at: Nanos, ev: Ev) {
        self.order += 1;
        self.heap.push(Reverse(Item(at, self.order, ev)));
    }

    /// A line of the history, if this request's is kept.
    pub fn note(&mut self, request: u32, line: impl FnOnce() -> String) {
        if self.options.trace == Some(request) {
            self.history.push(format!("{:.3} ms: {}", self.now as f64 / 1e6, line()));
        }
    }

    pub fn attempts(&mut self) {
        self.all_attempts += 1;
        let second = (self.now / SECOND) as usize;
        if let Some(s) = self.seconds.get_mut(second) {
            s.attempts += 1;
        }
    }

    pub fn opened(&mut self) {
        self.all_opened += 1;
        let second = (self.now / SECOND) as usize;
        if let Some(s) = self.seconds.get_mut(second) {
            s.opened += 1;
        }
    }

    pub fn keep_job(&mut self, job: Job, request: u32) -> u32 {
        match self.free_jobs.pop() {
            Some(at) => {
                self.jobs[at as usize] = Some((job, request));
                at
            }
            None => {
                self.jobs.push(Some((job, request)));
                self.jobs.len() as u32 - 1
            }
        }
    }

    fn drop_job(&mut self, at: u32) -> Option<(Job, u32)> {
        let job = self.jobs[at as usize].take();
        if job.is_some() {
            self.free_jobs.push(at);
        }
        job
    }

    /// The way between a proxy and a box.
    pub fn way(&self, proxy: usize, to: u32) -> Nanos {
        let t = &self.scenario.topology;
        let same = self.hosts[proxy].zone == self.boxes[to as usize].zone;
        millis(if same { t.local_delay_ms } else { t.zone_delay_ms })
    }

    pub fn is_cut(&self, proxy: usize, to: u32) -> bool {
        let (a, b) = (self.hosts[proxy].zone, self.boxes[to as usize].zone);
        a != b && (self.cut[a] > 0 || self.cut[b] > 0)
    }

    fn entry(&self, at: u32, state: ServerState) -> ServerEntry {
        let one = &self.boxes[at as usize];
        let kind = &self.scenario.kinds[one.kind];
        let weight = kind.speed * kind.cores as f64;
        let base = &self.scenario.kinds[0];
        ServerEntry {
            server: one.server,
            zone: one.zone as u32,
            kind: one.kind as u32,
            cell: 0,
            state,
            weight: weight / (base.speed * base.cores as f64),
            started_at: one.born,
        }
    }

    fn start(&mut self, proxy: usize) {
        let settings = self.scenario.settings(proxy);
        let host = &mut self.hosts[proxy];
        host.alive = true;
        let life = u64::from(host.life);
        let seed = RandomSource::new(self.seed, 1_000 + proxy as u64 + (life << 32)).bits();
        host.policy = Some((self.make)(proxy, &settings, seed));
        self.copies.iter_mut().for_each(|c| c.start(proxy, settings.proxy_count, self.now));
        let mut entries = Vec::new();
        for (at, known) in self.hosts[proxy].known.clone().into_iter().enumerate() {
            let Some(state) = known.state.filter(|s| *s != ServerState::Removed) else { continue };
            entries.push(ServerEntry { started_at: known.started, ..self.entry(at as u32, state) });
            if state == ServerState::Draining {
                // It knows of the drain from its start on.
                self.hosts[proxy].told_drain.insert(at as u32, self.now);
            }
        }
        self.hosts[proxy].events.push_back(Event::ServerList { kind: ListKind::Cached, entries });
        self.decide(proxy);
    }

    // ---- faults ----

    fn which(&self, number: u64, which: &Which, of: usize) -> Vec<u32> {
        which.of(self.seed, number, of).into_iter().map(|i| i as u32).collect()
    }

    fn plan(&mut self, number: u64, at_s: f64, lasts_s: Option<f64>, fault: &Fault) {
        let t = &self.scenario.topology;
        let (boxes, proxies) = (t.boxes, t.proxies);
        let (from, until) = (seconds(at_s), lasts_s.map(|l| seconds(at_s + l)));
        let both = |sim: &mut Self, on: Op, off: Option<Op>| {
            sim.at(from, Ev::Do(on));
            if let (Some(until), Some(off)) = (until, off) {
                sim.at(until, Ev::Do(off));
            }
        };
        match fault {
            Fault::Silent { boxes: w } => {
                for b in self.which(number, w, boxes) {
                    both(self, Op::Silent(b, true), Some(Op::Silent(b, false)));
                }
            }
            Fault::Down { boxes: w } => {
                for b in self.which(number, w, boxes) {
                    both(self, Op::Down(b), Some(Op::Up(b)));
                }
            }
            Fault::Resets { boxes: w, part } => {
                for b in self.which(number, w, boxes) {
                    both(self, Op::Resets(b, *part), Some(Op::Resets(b, 0.0)));
                }
            }
            Fault::Spoils { boxes: w, part } => {
                for b in self.which(number, w, boxes) {
                    both(self, Op::Spoils(b, *part), Some(Op::Spoils(b, 0.0)));
                }
            }
            Fault::Surplus { boxes: w, part, copy, late_ms } => {
                let surplus = Surplus { part: *part, copy: *copy, late: millis(*late_ms) };
                for b in self.which(number, w, boxes) {
                    both(self, Op::Surplus(b, surplus), Some(Op::Surplus(b, Surplus::default())));
                }
            }
            Fault::Slows { boxes: w, times } => {
                for b in self.which(number, w, boxes) {
                    let span = (from, until.unwrap_or(from), *times);
                    both(self, Op::Slows(b, Some(span)), Some(Op::Slows(b, None)));
                }
            }
            Fault::Drain { boxes: w } => {
                for b in self.which(number, w, boxes) {
                    both(self, Op::Drain(b, true), Some(Op::Drain(b, false)));
                }
            }
            Fault::Roll { boxes: w } => {
                let all = self.which(number, w, boxes);
                let step = until.unwrap_or(from).saturating_sub(from) / (all.len().max(1) as Nanos);
                for (i, b) in all.into_iter().enumerate() {
                    let at = from + i as Nanos * step;
                    self.at(at, Ev::Do(Op::Drain(b, true)));
                    self.at(at + ROLL[0], Ev::Do(Op::Down(b)));
                    self.at(at + ROLL[0] + ROLL[1], Ev::Do(Op::Up(b)));
                }
            }
            Fault::Grow { .. } => {
                let new: Vec<u32> = (boxes as u32..self.boxes.len() as u32).collect();
                both(self, Op::Join(new), None);
            }
            Fault::Cut { zone } => both(self, Op::Cut(*zone, true), Some(Op::Cut(*zone, false))),
            Fault::Die { proxies: w } => {
                for p in self.which(number, w, proxies) {
                    both(self, Op::Die(p as usize), Some(Op::Return(p as usize)));
                }
            }
            Fault::Late { by_s } => {
                both(self, Op::Late(seconds(*by_s), true), Some(Op::Late(seconds(*by_s), false)));
            }
            Fault::NoDiscovery => both(self, Op::NoDiscovery(true), Some(Op::NoDiscovery(false))),
            Fault::OriginStops => both(self, Op::OriginStops(true), Some(Op::OriginStops(false))),
        }
    }

    fn op(&mut self, op: Op) {
        let now = self.now;
        match op {
            Op::Silent(b, on) => {
                let one = &mut self.boxes[b as usize];
                one.silent = if on { one.silent + 1 } else { one.silent.saturating_sub(1) };
                if one.silent == 0 {
                    for job in std::mem::take(&mut one.held) {
                        self.take(b, job);
                    }
                }
            }
            Op::Down(b) => {
                if !self.boxes[b as usize].down {
                    self.boxes[b as usize].ends();
                    self.drop_connections(b);
                }
            }
            Op::Up(b) => {
                if self.boxes[b as usize].down {
                    self.boxes[b as usize].starts(now);
                    self.listed(&[b], ServerState::Ready);
                }
            }
            Op::Resets(b, part) => self.boxes[b as usize].resets = part,
            Op::Spoils(b, part) => self.boxes[b as usize].spoils = part,
            Op::Surplus(b, surplus) => self.boxes[b as usize].surplus = surplus,
            Op::Slows(b, span) => self.boxes[b as usize].slows = span,
            Op::Drain(b, on) => {
                self.listed(&[b], if on { ServerState::Draining } else { ServerState::Ready });
                if on {
                    self.at(now + DRAINS, Ev::Do(Op::Refuses(b)));
                } else {
                    self.boxes[b as usize].draining = false;
                }
            }
            Op::Refuses(b) => {
                let listed = self.discovery.entries[b as usize].as_ref();
                let drains = listed.is_some_and(|e| e.state == ServerState::Draining);
                let one = &mut self.boxes[b as usize];
                one.draining = drains && !one.down;
            }
            Op::Join(new) => {
                for b in &new {
                    self.joined[*b as usize] = true;
                    self.boxes[*b as usize].starts(now);
                }
                self.listed(&new, ServerState::Ready);
            }
            Op::Cut(zone, on) => {
                self.cut[zone] = if on { self.cut[zone] + 1 } else { self.cut[zone].saturating_sub(1) };
                if !on {
                    // What was on its way arrives now, as a sender's repeats have it.
                    for ev in std::mem::take(&mut self.stalled) {
                        self.at(now, ev);
                    }
                }
            }
            Op::Die(proxy) => {
                if !self.hosts[proxy].alive {
                    return;
                }
                let (open, connections) = self.hosts[proxy].dies(self.pipes.settle_delay);
                for key in connections {
                    self.unplug(key);
                }
                for one in open {
                    self.tell(one.request, one.number, proxy, End::Died);
                }
                let lag = millis(self.scenario.traffic.front_lag_ms);
                self.at(now + lag, Ev::Do(Op::Front(proxy, false)));
            }
            Op::Return(proxy) => {
                if !self.hosts[proxy].alive {
                    self.start(proxy);
                    let lag = millis(self.scenario.traffic.front_lag_ms);
                    self.at(now + lag, Ev::Do(Op::Front(proxy, true)));
                }
            }
            Op::Front(proxy, up) => self.front[proxy] = up,
            Op::Late(by, on) => {
                let late = self.discovery.late;
                self.discovery.late = if on { late + by } else { late.saturating_sub(by) };
            }
            Op::NoDiscovery(on) => {
                let down = self.discovery.down;
                self.discovery.down = if on { down + 1 } else { down.saturating_sub(1) };
                if on {
                    for proxy in 0..self.hosts.len() {
                        if std::mem::take(&mut self.hosts[proxy].subscribed) {
                            self.list_failed(proxy);
                        }
                    }
                }
            }
            Op::OriginStops(on) => {
                self.origin.stopped = on;
                while let Some(((to, job), takes)) = self.origin.next() {
                    self.at(now + takes, Ev::Ledger { to, job });
                }
            }
        }
    }

    fn drop_connections(&mut self, b: u32) {
        for key in 0..self.connections.len() {
            let Some(c) = self.connections[key].as_ref().filter(|c| c.to == b) else { continue };
            let (proxy, serial) = (c.proxy, c.serial);
            let way = self.way(proxy, b);
            self.at(self.now + way, Ev::Lost { connection: key, serial });
        }
    }

    // ---- discovery ----

    fn listed(&mut self, which: &[u32], state: ServerState) {
        let entries: Vec<(u32, ServerEntry)> = which.iter().map(|b| (*b, self.entry(*b, state))).collect();
        // Proxies of even numbers hear first; the rest of the lag is each one's own.
        self.at(self.now + self.discovery.lag(0), Ev::Publish(Rc::new(entries)));
    }

    fn publish(&mut self, entries: &Rc<Vec<(u32, ServerEntry)>>) {
        for (b, entry) in entries.iter() {
            self.discovery.entries[*b as usize] = Some(entry.clone());
        }
        if self.discovery.down > 0 {
            return;
        }
        let second = self.discovery.lag(1) - self.discovery.lag(0);
        for proxy in 0..self.hosts.len() {
            let host = &self.hosts[proxy];
            if host.alive && host.subscribed {
                let at = self.now + if proxy % 2 == 1 { second } else { 0 };
                let (life, kind, entries) = (host.life, ListKind::Delta, Rc::clone(entries));
                self.at(at, Ev::List { proxy, life, kind, entries });
            }
        }
    }

    pub fn ask_list(&mut self, proxy: usize) {
        let (life, at) = (self.hosts[proxy].life, self.now + CALL);
        let (kind, entries) = if self.discovery.admits(self.now) {
            self.hosts[proxy].subscribed = true;
            (ListKind::Full, self.discovery.whole())
        } else {
            (ListKind::Failed, Vec::new())
        };
        self.at(at, Ev::List { proxy, life, kind, entries: Rc::new(entries) });
    }

    fn list_failed(&mut self, proxy: usize) {
        self.hosts[proxy].events.push_back(Event::ServerList { kind: ListKind::Failed, entries: Vec::new() });
        self.decide(proxy);
    }

    fn hear(&mut self, proxy: usize, kind: ListKind, entries: &[(u32, ServerEntry)]) {
        if kind == ListKind::Failed {
            self.list_failed(proxy);
            return;
        }
        let now = self.now;
        let host = &mut self.hosts[proxy];
        for (b, entry) in entries {
            host.known[*b as usize] = Known { state: Some(entry.state), started: entry.started_at };
            if entry.state == ServerState::Ready {
                host.told_drain.remove(b);
            } else {
                host.told_drain.entry(*b).or_insert(now);
            }
        }
        let entries = entries.iter().map(|(_, e)| e.clone()).collect();
        host.events.push_back(Event::ServerList { kind, entries });
        self.decide(proxy);
    }

    // ---- clients ----

    fn next_request(&mut self) {
        if let Some(arrival) = self.arrivals.next() {
            self.at(arrival.at, Ev::Request(arrival));
        }
    }

    fn asked(&mut self, arrival: &Arrival) {
        self.next_request();
        let request = self.requests.len() as u32;
        self.requests.push(Asked {
            key: arrival.key,
            write: arrival.write,
            first: self.now,
            tries: 0,
            at: None,
            waits: false,
            end: None,
            ended: 0,
        });
        self.try_now(request);
    }

    fn ask(&self, write: bool) -> &'a Ask {
        let traffic = &self.scenario.traffic;
        if write {
            &traffic.write
        } else {
            &traffic.read
        }
    }

    fn try_now(&mut self, request: u32) {
        let r = &self.requests[request as usize];
        let ask = self.ask(r.write);
        let left = (r.first + millis(ask.deadline_ms)).saturating_sub(self.now);
        let wait = millis(ask.wait_ms).min(left);
        let r = &mut self.requests[request as usize];
        let number = r.tries;
        r.tries += 1;
        r.waits = true;
        self.at(self.now + wait + GRACE, Ev::GiveUp { request, number });
        self.knock(request, number, wait, 0);
    }

    /// A proxy by chance, as their weights have it.
    fn pick(&mut self) -> usize {
        let Some(whole) = self.weights.last().copied() else { return self.clients.below(self.front.len()) };
        let drawn = whole * self.clients.unit();
        self.weights.partition_point(|w| *w <= drawn).min(self.front.len() - 1)
    }

    /// A client's connection goes to one of the proxies that the front believes to be there.
    fn knock(&mut self, request: u32, number: u32, wait: Nanos, doors: u32) {
        let mut picked = self.pick();
        for _ in 0..16 {
            if self.front[picked] {
                break;
            }
            picked = self.pick();
        }
        if !self.front[picked] || doors >= DOORS {
            self.tell(request, number, usize::MAX, End::Nowhere);
            return;
        }
        let way = millis(self.scenario.topology.client_delay_ms);
        self.at(self.now + way, Ev::Reach { request, number, proxy: picked, wait, doors });
    }

    /// An answer goes to a client.
    pub fn tell(&mut self, request: u32, number: u32, proxy: usize, end: End) {
        self.copies.iter_mut().for_each(|c| c.answered(proxy, end));
        self.note(request, || format!("proxy {proxy} answers try {number}: {end:?}"));
        let way = millis(self.scenario.topology.client_delay_ms);
        self.at(self.now + way, Ev::Told { request, number, end });
    }

    fn told(&mut self, request: u32, number: u32, end: End) {
        let now = self.now;
        let r = &mut self.requests[request as usize];
        if !r.waits || r.tries != number + 1 {
            return;
        }
        r.waits = false;
        (r.end, r.ended) = (Some(end), now);
        if end == End::Late {
            let still = r.at.is_some_and(|(p, life)| self.hosts[p].life == life && self.hosts[p].alive);
            if still {
                self.breaches.add(Rule::Lost, now, Some(request), || format!("try {number} has no answer"));
            }
        }
        let r = &self.requests[request as usize];
        // A write that may have run is not the client's to repeat; a refusal says that it has not.
        let again = match end {
            End::Served => false,
            End::Refused(_) | End::Nowhere => true,
            End::Failed | End::Died | End::Late => !r.write,
        };
        let traffic = &self.scenario.traffic;
        if !again || r.tries >= traffic.tries {
            return;
        }
        let mut pause = millis(traffic.backoff_ms * (1.0 + self.clients.unit()));
        if let End::Refused(after) = end {
            pause = pause.max(after);
        }
        let r = &self.requests[request as usize];
        if now + pause < r.first + millis(self.ask(r.write).deadline_ms) {
            self.at(now + pause, Ev::Try(request));
        }
    }

    // ---- boxes ----

    /// A request has reached a box.
    fn at_box(&mut self, at: u32) {
        let Some((job, request)) = &self.jobs[at as usize] else { return };
        let (key, serial, request, seq) = (job.connection, job.serial, *request, job.place);
        let open = self.connections[key].as_ref().filter(|c| c.serial == serial);
        let Some(c) = open else {
            self.drop_job(at);
            return;
        };
        let (to, proxy, life, crowded) = (c.to, c.proxy, c.life, c.crowded);
        if self.is_cut(proxy, to) {
            self.stalled.push(Ev::AtBox { job: at });
            return;
        }
        self.note(request, || format!("box {to} has it"));
        let one = &mut self.boxes[to as usize];
        if one.down || one.life != life {
            self.drop_job(at);
            let way = self.way(proxy, to);
            self.at(self.now + way, Ev::Lost { connection: key, serial });
            return;
        }
        if let Some(c) = &mut self.connections[key] {
            debug_assert_eq!(c.base + c.answers.len() as u64, seq);
            c.answers.push_back(None);
        }
        let one = &mut self.boxes[to as usize];
        if !one.fallen && one.pushed_over(self.now) {
            one.fallen = true;
            self.breaches.add(Rule::ColdBox, self.now, Some(request), || format!("box {to} falls"));
        }
        if crowded {
            self.reply(at, Status::Rejected, None);
        } else {
            self.take(to, at);
        }
    }

    /// A box takes a request up, or turns it away.
    fn take(&mut self, to: u32, at: u32) {
        // What nobody waits for any more is not begun: its connection is gone.
        let wanted = self.jobs[at as usize].as_ref().is_some_and(|(j, _)| self.wanted(j));
        let one = &mut self.boxes[to as usize];
        if one.fallen || !wanted {
            self.drop_job(at);
        } else if one.silent > 0 {
            one.held.push(at);
        } else if one.draining || !one.has_room() {
            self.reply(at, Status::Rejected, None);
        } else if one.has_core() {
            self.begin(to, at);
        } else {
            one.waiting.push_back(at);
        }
    }

    fn begin(&mut self, to: u32, at: u32) {
        let one = &mut self.boxes[to as usize];
        let Some((job, _)) = &self.jobs[at as usize] else { return };
        one.busy += 1;
        let (takes, life) = (one.takes(job, self.now, &mut self.work), one.life);
        one.worked += takes;
        self.at(self.now + takes, Ev::Worked { to, life, job: at });
    }

    fn wanted(&self, job: &Job) -> bool {
        self.connections[job.connection].as_ref().is_some_and(|c| c.serial == job.serial)
    }

    /// A core is free.
    fn worked(&mut self, to: u32, life: u32, at: u32) {
        if self.boxes[to as usize].life != life {
            self.drop_job(at);
            return;
        }
        self.boxes[to as usize].busy -= 1;
        while let Some(next) = self.boxes[to as usize].waiting.pop_front() {
            let wanted =
                self.jobs[next as usize].as_ref().is_some_and(|(j, _)| j.handshake || self.wanted(j));
            if wanted {
                self.begin(to, next);
                break;
            }
            self.drop_job(next);
        }
        let Some((job, _)) = self.jobs[at as usize].clone() else { return };
        if job.handshake {
            self.drop_job(at);
            return;
        }
        if job.write.is_none() {
            let version = self.origin.version(job.key);
            let one = &mut self.boxes[to as usize];
            if one.cached(job.key, version) {
                self.reply(at, Status::Ok, Some(true));
                return;
            }
            if let Some(others) = one.fetching.get_mut(&job.key) {
                others.push(at);
                return;
            }
            one.fetching.insert(job.key, Vec::new());
        }
        match self.origin.come((to, at), self.now) {
            Some(Some(takes)) => self.at(self.now + takes, Ev::Ledger { to, job: at }),
            Some(None) => {}
            None => self.fetched(to, life, at, false),
        }
    }

    /// The origin has done a piece of work.
    fn ledger(&mut self, to: u32, at: u32) {
        self.origin.done();
        while let Some(((to, job), takes)) = self.origin.next() {
            self.at(self.now + takes, Ev::Ledger { to, job });
        }
        if to == CANDIDATE {
            self.copy_fetched(at, true);
            return;
        }
        let Some((job, _)) = self.jobs[at as usize].clone() else { return };
        if let Some(request) = job.write {
            if self.origin.write(job.key, request, job.sent) {
                self.breaches.add(Rule::Doubled, self.now, Some(request as u32), || {
                    format!("its write took effect again, by box {to}")
                });
            }
            self.note(request as u32, || format!("the write by box {to} is in the ledger"));
        }
        let life = self.boxes[to as usize].life;
        self.fetched(to, life, at, true);
    }

    fn fetched(&mut self, to: u32, life: u32, at: u32, done: bool) {
        let one = &mut self.boxes[to as usize];
        let Some((job, _)) = &self.jobs[at as usize] else { return };
        if one.life != life {
            self.drop_job(at);
            return;
        }
        let status = if done { Status::Ok } else { Status::Error };
        let (key, write) = (job.key, job.write.is_some());
        if write {
            self.reply(at, status, None);
            return;
        }
        let others = one.fetching.remove(&key).unwrap_or_default();
        if done {
            let version = self.origin.version(key);
            self.boxes[to as usize].keep(key, version);
        }
        self.reply(at, status, Some(false));
        for other in others {
            self.reply(other, status, Some(false));
        }
    }

    /// A box has an answer; it leaves in the order of its connection's requests.
    fn reply(&mut self, at: u32, status: Status, hit: Option<bool>) {
        let Some((job, request)) = self.drop_job(at) else { return };
        let Some(c) = self.connections[job.connection].as_mut().filter(|c| c.serial == job.serial) else {
            self.wasted += u64::from(status == Status::Ok);
            return;
        };
        let (to, proxy, serial) = (c.to, c.proxy, c.serial);
        let status = match status {
            Status::Ok => self.boxes[to as usize].spoilt(&mut self.work).unwrap_or(status),
            _ => status,
        };
        let way = self.way(proxy, to);
        let Some(c) = &mut self.connections[job.connection] else { return };
        if status == Status::Reset {
            self.at(self.now + way, Ev::Lost { connection: job.connection, serial });
            return;
        }
        let place = (job.place - c.base) as usize;
        if let Some(answer) = c.answers.get_mut(place) {
            *answer = Some(Answer { status, hit, made_for: Some(request) });
        }
        let mut ready = Vec::new();
        while let Some(Some(answer)) = c.answers.front().copied() {
            c.answers.pop_front();
            c.base += 1;
            ready.push(answer);
        }
        let (connection, alone) = (job.connection, c.answers.is_empty());
        let last = ready.len().saturating_sub(1);
        for (i, answer) in ready.into_iter().enumerate() {
            let alone = alone && i == last;
            let more = if alone { self.boxes[to as usize].too_much(answer, &mut self.work) } else { None };
            let with = more.filter(|(_, late)| *late == 0).map(|(more, _)| more);
            self.at(self.now + way, Ev::Reply { connection, serial, answer, more: with });
            if let Some((answer, late)) = more.filter(|(_, late)| *late > 0) {
                self.at(self.now + way + late, Ev::Reply { connection, serial, answer, more: None });
            }
        }
    }

    fn knocked(&mut self, key: usize, serial: u64) {
        let Some(c) = self.connections[key].as_ref().filter(|c| c.serial == serial) else { return };
        let (proxy, to) = (c.proxy, c.to);
        if self.is_cut(proxy, to) {
            self.stalled.push(Ev::Knock { connection: key, serial });
            return;
        }
        let way = self.way(proxy, to);
        let one = &mut self.boxes[to as usize];
        if one.down || one.fallen {
            self.at(self.now + way, Ev::Lost { connection: key, serial });
            return;
        }
        one.connections += 1;
        let crowded = one.connections > one.connection_cap;
        let life = one.life;
        if let Some(c) = &mut self.connections[key] {
            c.life = life;
        }
        if !crowded && one.silent == 0 {
            // The work of the handshake competes with requests; the connection is up without it.
            let job = Job {
                connection: key,
                serial,
                place: 0,
                key: 0,
                write: None,
                sent: self.now,
                handshake: true,
            };
            let job = self.keep_job(job, u32::MAX);
            let one = &mut self.boxes[to as usize];
            if one.has_core() {
                self.begin(to, job);
            } else {
                one.waiting.push_front(job);
            }
        }
        self.at(self.now + way, Ev::Up { connection: key, serial, crowded });
    }

    // ---- the loop ----

    fn handle(&mut self, ev: Ev) {
        let lives =
            |sim: &Self, proxy: usize, life: u32| sim.hosts[proxy].alive && sim.hosts[proxy].life == life;
        let is = |sim: &Self, key: usize, serial: u64| {
            sim.connections[key].as_ref().is_some_and(|c| c.serial == serial)
        };
        match ev {
            Ev::Request(arrival) => self.asked(&arrival),
            Ev::Try(request) => self.try_now(request),
            Ev::Reach { request, number, proxy, wait, doors } => {
                let r = &mut self.requests[request as usize];
                if !r.waits || r.tries != number + 1 {
                    return;
                }
                if !self.hosts[proxy].alive {
                    self.knock(request, number, wait, doors + 1);
                    return;
                }
                r.at = Some((proxy, self.hosts[proxy].life));
                self.note(request, || format!("try {number} reaches proxy {proxy}"));
                self.arrived(proxy, request, number, wait);
            }
            Ev::Told { request, number, end } => self.told(request, number, end),
            Ev::GiveUp { request, number } => self.told(request, number, End::Late),
            Ev::Module { proxy, life, token } if lives(self, proxy, life) => {
                self.hosts[proxy].events.push_back(Event::Timer(token));
                self.decide(proxy);
            }
            Ev::Deadline { proxy, life, id } if lives(self, proxy, life) => self.deadline(proxy, id),
            Ev::Attempt { proxy, life, id, attempt } if lives(self, proxy, life) => {
                self.end_attempt(proxy, id, attempt, Status::Timeout);
                self.decide(proxy);
            }
            Ev::Connect { connection, serial } if is(self, connection, serial) => {
                let late = self.connections[connection].as_ref().filter(|c| !c.up).map(|c| c.proxy);
                if let Some(proxy) = late {
                    self.close(connection);
                    self.decide(proxy);
                }
            }
            Ev::Knock { connection, serial } => self.knocked(connection, serial),
            Ev::Up { connection, serial, crowded } if is(self, connection, serial) => {
                let Some(c) = &mut self.connections[connection] else { return };
                (c.up, c.crowded) = (true, crowded);
                let proxy = c.proxy;
                self.connected(connection);
                self.decide(proxy);
            }
            Ev::Lost { connection, serial } if is(self, connection, serial) => {
                let Some((proxy, to)) = self.connections[connection].as_ref().map(|c| (c.proxy, c.to)) else {
                    return;
                };
                if self.is_cut(proxy, to) {
                    self.stalled.push(Ev::Lost { connection, serial });
                    return;
                }
                self.close(connection);
                self.decide(proxy);
            }
            Ev::Left { to, life } => {
                let one = &mut self.boxes[to as usize];
                if one.life == life {
                    one.connections = one.connections.saturating_sub(1);
                }
            }
            Ev::AtBox { job } => self.at_box(job),
            Ev::Worked { to, life, job } => self.worked(to, life, job),
            Ev::Ledger { to, job } => self.ledger(to, job),
            Ev::Reply { connection, serial, answer, more } if is(self, connection, serial) => {
                let Some((proxy, to)) = self.connections[connection].as_ref().map(|c| (c.proxy, c.to)) else {
                    return;
                };
                if self.is_cut(proxy, to) {
                    self.stalled.push(Ev::Reply { connection, serial, answer, more });
                    return;
                }
                self.replied(connection, answer, more);
            }
            Ev::Reply { answer, .. } => self.wasted += u64::from(answer.status == Status::Ok),
            Ev::Rested { connection, serial } if is(self, connection, serial) => {
                let proxy = self.connections[connection].as_ref().map(|c| c.proxy);
                self.flush(connection);
                proxy.into_iter().for_each(|proxy| self.decide(proxy));
            }
            Ev::List { proxy, life, kind, entries } if lives(self, proxy, life) => {
                self.hear(proxy, kind, &entries);
            }
            Ev::Publish(entries) => self.publish(&entries),
            Ev::Do(op) => self.op(op),
            Ev::Copy(step) => self.copy_step(step),
            Ev::Second => self.second(),
            _ => {}
        }
    }

    fn second(&mut self) {
        let now = self.now;
        let mut out = 0.0;
        for proxy in 0..self.hosts.len() {
            self.sweep(proxy);
            let host = &self.hosts[proxy];
            out += host.policy.as_ref().map_or(0.0, |p| p.avoided(now) as f32);
        }
        let connections: usize = self.hosts.iter().map(|h| h.connections).sum();
        let alive = self.hosts.iter().filter(|h| h.alive).count().max(1);
        if let Some(s) = self.seconds.get_mut((now / SECOND - 1) as usize) {
            s.connections = connections as u32;
            s.out = out / alive as f32;
        }
        self.at(now + SECOND, Ev::Second);
    }

    fn play(mut self, policy: &str) -> Summary {
        let last = self.scenario.traffic.read.deadline_ms.max(self.scenario.traffic.write.deadline_ms);
        let end = seconds(self.scenario.duration_s) + millis(last) + SECOND;
        while let Some(Reverse(Item(at, _, ev))) = self.heap.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.events += 1;
            self.handle(ev);
        }
        self.sum_up(policy)
    }

    fn sum_up(mut self, policy: &str) -> Summary {
        let mut gathered = Gathered::new(self.scenario, policy, self.seed, "model");
        for (second, counted) in gathered.summary.seconds.iter_mut().zip(&self.seconds) {
            *second = *counted;
        }
        for r in &self.requests {
            let ended = match r.end {
                Some(End::Served) => Ended::Served,
                Some(End::Refused(_)) => Ended::Refused,
                Some(End::Failed) => Ended::Failed,
                _ => Ended::Nothing,
            };
            gathered.add(r.first, r.write, ended, r.ended.saturating_sub(r.first));
        }
        if self.origin.falls > 0 {
            let falls = self.origin.falls;
            self.breaches.add(Rule::Ledger, self.now, None, || format!("it stopped {falls} times"));
        }
        for breach in &mut self.breaches.0 {
            if breach.request.is_some() && breach.request == self.options.trace {
                breach.history.clone_from(&self.history);
            }
        }
        let there = self.boxes.iter().zip(&self.joined).filter(|(_, joined)| **joined);
        let parts: Vec<f64> = there.map(|(b, _)| b.part(self.now)).collect();
        let s = &mut gathered.summary;
        (s.attempts, s.wasted, s.opened) = (self.all_attempts, self.wasted, self.all_opened);
        if let Some(copies) = &self.copies {
            (s.copies, s.copy_fetches, s.copy_fetches_peak) = copies.counts();
        }
        (s.fetches, s.origin_busy) = (self.origin.fetches, self.origin.turned_away);
        s.boxes_busy = parts.iter().sum::<f64>() / parts.len().max(1) as f64;
        s.busiest_box = parts.iter().copied().fold(0.0, f64::max);
        s.origin_part = self.origin.part(self.now);
        (s.events, s.breaches) = (self.events, self.breaches.0);
        gathered.finish()
    }
}
