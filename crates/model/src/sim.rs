//! The discrete-event loop in virtual time, with clients, front layer, boxes, origin and faults. Proxies are in `host`.

use crate::arrivals::{Arrival, Arrivals};
use crate::boxes::{Answer, CacheBox, Job, Surplus};
use crate::copies::{Copies, Step, CANDIDATE};
use crate::discovery::Discovery;
use crate::host::{Connection, Host, ListedBox};
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

/// A client waits this much longer than its timeout, to allow for network delay.
const CLIENT_GRACE: Nanos = 50 * MS;
/// Time that discovery takes to answer a call.
const DISCOVERY_CALL_TIME: Nanos = 2 * MS;
/// Time from a box's drain to when it rejects new requests.
const DRAIN_REJECT_DELAY: Nanos = 500 * MS;
/// During a rolling restart: time from a box's drain to its stop, and from its stop to its start.
const ROLL_DELAYS: [Nanos; 2] = [1_000 * MS, 200 * MS];
/// Fraction of the idle timeout after which a connection is not reused.
const IDLE_REUSE_FRACTION: f64 = 0.8;
/// Proxies that may refuse a connection before the client's try fails.
const MAX_PROXIES_REFUSING: u32 = 3;

/// Options of a run.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Proxies check again before they send, as the real one does, that the box is not draining and the request not
    /// finished. Tests that break a rule on purpose switch this off.
    pub guard: bool,
    /// Record the history of this request.
    pub trace: Option<u32>,
}

impl Default for Options {
    fn default() -> Self {
        Options { guard: true, trace: None }
    }
}

/// Runs a scenario with the named policy.
///
/// # Errors
/// Returns a message if there is no such policy.
pub fn run(scenario: &Scenario, policy: &str, seed: u64) -> Result<Summary, String> {
    if !crate::NAMES.contains(&policy) {
        return Err(format!("there is no policy '{policy}'; there are {}", crate::NAMES.join(", ")));
    }
    let make = |_: usize, settings: &Settings, seed: u64| {
        // The name was checked above.
        crate::make(policy, settings, seed).unwrap_or_else(|| unreachable!("a policy that is listed"))
    };
    Ok(run_with(scenario, policy, seed, Options::default(), &make))
}

/// Runs a scenario with any policy; `make` creates it for each proxy from its number, settings and seed. If a rule is
/// broken, the scenario is run a second time to record the history of the first request that broke one.
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

/// How a try ended for its client. Request histories print the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    Served,
    /// Refused; the client should retry after this long, or at will if it is 0.
    Refused(Nanos),
    Failed,
    /// The proxy process died.
    Died,
    /// No proxy accepted the connection.
    Nowhere,
    /// No answer arrived within the client's timeout.
    Late,
}

/// A request of a client.
#[derive(Clone, Debug)]
pub(crate) struct ClientRequest {
    pub key: u64,
    pub write: bool,
    first: Nanos,
    tries: u32,
    /// The proxy that handles the current try, and that proxy's incarnation.
    proxy: Option<(usize, u32)>,
    waiting: bool,
    end: Option<End>,
    ended: Nanos,
}

#[derive(Clone, Debug)]
pub(crate) enum Ev {
    Request(Arrival),
    Try(u32),
    AtProxy { request: u32, number: u32, proxy: usize, wait: Nanos, refused_by: u32 },
    ClientAnswered { request: u32, number: u32, end: End },
    ClientTimeout { request: u32, number: u32 },
    PolicyTimer { proxy: usize, incarnation: u32, token: u64 },
    Deadline { proxy: usize, incarnation: u32, id: u64 },
    AttemptTimeout { proxy: usize, incarnation: u32, id: u64, attempt: u32 },
    ConnectTimeout { connection: usize, serial: u64 },
    ConnectionRequest { connection: usize, serial: u64 },
    Connected { connection: usize, serial: u64, over_connection_limit: bool },
    ConnectionLost { connection: usize, serial: u64 },
    ConnectionClosed { to: u32, incarnation: u32 },
    AtBox { job: u32 },
    BoxWorkDone { to: u32, incarnation: u32, job: u32 },
    OriginWorkDone { to: u32, job: u32 },
    Reply { connection: usize, serial: u64, answer: Answer, more: Option<Answer> },
    Writable { connection: usize, serial: u64 },
    List { proxy: usize, incarnation: u32, kind: ListKind, entries: Rc<Vec<(u32, ServerEntry)>> },
    Publish(Rc<Vec<(u32, ServerEntry)>>),
    Fault(Op),
    Copy(Step),
    Second,
}

/// One state change that a fault causes.
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

struct Scheduled(Nanos, u64, Ev);

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
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
    heap: BinaryHeap<Reverse<Scheduled>>,
    /// Events held back until a network partition ends.
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
    pub requests: Vec<ClientRequest>,
    front: Vec<bool>,
    /// Cumulative weights of the proxies; empty if all are equal.
    weights: Vec<f64>,
    discovery: Discovery,
    pub origin: Origin,
    /// Shadow copies of reads, if the scenario has candidates.
    pub copies: Option<Copies>,
    /// A connection that has been idle for this long is not reused.
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
            idle_after: (seconds(t.idle_s) as f64 * IDLE_REUSE_FRACTION) as Nanos,
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
            sim.schedule_fault(i as u64, f.at_s, f.lasts_s, &f.fault);
        }
        for proxy in 0..t.proxies {
            sim.hosts[proxy].known = vec![ListedBox::default(); count];
            for at in 0..t.boxes {
                sim.hosts[proxy].known[at].state = Some(ServerState::Ready);
            }
            sim.start_proxy(proxy);
        }
        sim.next_request();
        sim.schedule(SECOND, Ev::Second);
        if sim.copies.is_some() {
            sim.schedule(0, Ev::Copy(Step::Look));
        }
        sim
    }

    pub fn schedule(&mut self, at: Nanos, ev: Ev) {
        self.order += 1;
        self.heap.push(Reverse(Scheduled(at, self.order, ev)));
    }

    /// Adds a line to the history if this request is the traced one.
    pub fn record_history(&mut self, request: u32, line: impl FnOnce() -> String) {
        if self.options.trace == Some(request) {
            self.history.push(format!("{:.3} ms: {}", self.now as f64 / 1e6, line()));
        }
    }

    pub fn count_attempt(&mut self) {
        self.all_attempts += 1;
        let second = (self.now / SECOND) as usize;
        if let Some(s) = self.seconds.get_mut(second) {
            s.attempts += 1;
        }
    }

    pub fn count_opened(&mut self) {
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

    /// One-way network delay between a proxy and a box.
    pub fn network_delay(&self, proxy: usize, to: u32) -> Nanos {
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

    fn start_proxy(&mut self, proxy: usize) {
        let settings = self.scenario.settings(proxy);
        let host = &mut self.hosts[proxy];
        host.alive = true;
        let incarnation = u64::from(host.incarnation);
        let seed = RandomSource::new(self.seed, 1_000 + proxy as u64 + (incarnation << 32)).bits();
        host.policy = Some((self.make)(proxy, &settings, seed));
        self.copies.iter_mut().for_each(|c| c.start(proxy, settings.proxy_count, self.now));
        let mut entries = Vec::new();
        for (at, known) in self.hosts[proxy].known.clone().into_iter().enumerate() {
            let Some(state) = known.state.filter(|s| *s != ServerState::Removed) else { continue };
            entries.push(ServerEntry { started_at: known.started, ..self.entry(at as u32, state) });
            if state == ServerState::Draining {
                // A restarted proxy counts as notified of the drain at its start.
                self.hosts[proxy].drain_notified_at.insert(at as u32, self.now);
            }
        }
        self.hosts[proxy].events.push_back(Event::ServerList { kind: ListKind::Cached, entries });
        self.run_policy(proxy);
    }

    // ---- faults ----

    fn targets(&self, number: u64, which: &Which, of: usize) -> Vec<u32> {
        which.of(self.seed, number, of).into_iter().map(|i| i as u32).collect()
    }

    fn schedule_fault(&mut self, number: u64, at_s: f64, lasts_s: Option<f64>, fault: &Fault) {
        let t = &self.scenario.topology;
        let (boxes, proxies) = (t.boxes, t.proxies);
        let (from, until) = (seconds(at_s), lasts_s.map(|l| seconds(at_s + l)));
        let both = |sim: &mut Self, on: Op, off: Option<Op>| {
            sim.schedule(from, Ev::Fault(on));
            if let (Some(until), Some(off)) = (until, off) {
                sim.schedule(until, Ev::Fault(off));
            }
        };
        match fault {
            Fault::Silent { boxes: w } => {
                for b in self.targets(number, w, boxes) {
                    both(self, Op::Silent(b, true), Some(Op::Silent(b, false)));
                }
            }
            Fault::Down { boxes: w } => {
                for b in self.targets(number, w, boxes) {
                    both(self, Op::Down(b), Some(Op::Up(b)));
                }
            }
            Fault::Resets { boxes: w, part } => {
                for b in self.targets(number, w, boxes) {
                    both(self, Op::Resets(b, *part), Some(Op::Resets(b, 0.0)));
                }
            }
            Fault::Spoils { boxes: w, part } => {
                for b in self.targets(number, w, boxes) {
                    both(self, Op::Spoils(b, *part), Some(Op::Spoils(b, 0.0)));
                }
            }
            Fault::Surplus { boxes: w, part, copy, late_ms } => {
                let surplus = Surplus { part: *part, copy: *copy, late: millis(*late_ms) };
                for b in self.targets(number, w, boxes) {
                    both(self, Op::Surplus(b, surplus), Some(Op::Surplus(b, Surplus::default())));
                }
            }
            Fault::Slows { boxes: w, times } => {
                for b in self.targets(number, w, boxes) {
                    let span = (from, until.unwrap_or(from), *times);
                    both(self, Op::Slows(b, Some(span)), Some(Op::Slows(b, None)));
                }
            }
            Fault::Drain { boxes: w } => {
                for b in self.targets(number, w, boxes) {
                    both(self, Op::Drain(b, true), Some(Op::Drain(b, false)));
                }
            }
            Fault::Roll { boxes: w } => {
                let all = self.targets(number, w, boxes);
                let step = until.unwrap_or(from).saturating_sub(from) / (all.len().max(1) as Nanos);
                for (i, b) in all.into_iter().enumerate() {
                    let at = from + i as Nanos * step;
                    self.schedule(at, Ev::Fault(Op::Drain(b, true)));
                    self.schedule(at + ROLL_DELAYS[0], Ev::Fault(Op::Down(b)));
                    self.schedule(at + ROLL_DELAYS[0] + ROLL_DELAYS[1], Ev::Fault(Op::Up(b)));
                }
            }
            Fault::Grow { .. } => {
                let new: Vec<u32> = (boxes as u32..self.boxes.len() as u32).collect();
                both(self, Op::Join(new), None);
            }
            Fault::Cut { zone } => both(self, Op::Cut(*zone, true), Some(Op::Cut(*zone, false))),
            Fault::Die { proxies: w } => {
                for p in self.targets(number, w, proxies) {
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

    fn apply_op(&mut self, op: Op) {
        let now = self.now;
        match op {
            Op::Silent(b, on) => {
                let one = &mut self.boxes[b as usize];
                one.silent = if on { one.silent + 1 } else { one.silent.saturating_sub(1) };
                if one.silent == 0 {
                    for job in std::mem::take(&mut one.held) {
                        self.accept_request(b, job);
                    }
                }
            }
            Op::Down(b) => {
                if !self.boxes[b as usize].down {
                    self.boxes[b as usize].stop();
                    self.drop_connections(b);
                }
            }
            Op::Up(b) => {
                if self.boxes[b as usize].down {
                    self.boxes[b as usize].start(now);
                    self.announce(&[b], ServerState::Ready);
                }
            }
            Op::Resets(b, part) => self.boxes[b as usize].resets = part,
            Op::Spoils(b, part) => self.boxes[b as usize].spoils = part,
            Op::Surplus(b, surplus) => self.boxes[b as usize].surplus = surplus,
            Op::Slows(b, span) => self.boxes[b as usize].slows = span,
            Op::Drain(b, on) => {
                self.announce(&[b], if on { ServerState::Draining } else { ServerState::Ready });
                if on {
                    self.schedule(now + DRAIN_REJECT_DELAY, Ev::Fault(Op::Refuses(b)));
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
                    self.boxes[*b as usize].start(now);
                }
                self.announce(&new, ServerState::Ready);
            }
            Op::Cut(zone, on) => {
                self.cut[zone] = if on { self.cut[zone] + 1 } else { self.cut[zone].saturating_sub(1) };
                if !on {
                    // Delayed segments arrive now, as retransmission would deliver them.
                    for ev in std::mem::take(&mut self.stalled) {
                        self.schedule(now, ev);
                    }
                }
            }
            Op::Die(proxy) => {
                if !self.hosts[proxy].alive {
                    return;
                }
                let (open, connections) = self.hosts[proxy].kill(self.pipes.settle_delay);
                for key in connections {
                    self.remove_connection(key);
                }
                for one in open {
                    self.answer_client(one.request, one.number, proxy, End::Died);
                }
                let lag = millis(self.scenario.traffic.front_lag_ms);
                self.schedule(now + lag, Ev::Fault(Op::Front(proxy, false)));
            }
            Op::Return(proxy) => {
                if !self.hosts[proxy].alive {
                    self.start_proxy(proxy);
                    let lag = millis(self.scenario.traffic.front_lag_ms);
                    self.schedule(now + lag, Ev::Fault(Op::Front(proxy, true)));
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
                    self.schedule(now + takes, Ev::OriginWorkDone { to, job });
                }
            }
        }
    }

    fn drop_connections(&mut self, b: u32) {
        for key in 0..self.connections.len() {
            let Some(c) = self.connections[key].as_ref().filter(|c| c.to == b) else { continue };
            let (proxy, serial) = (c.proxy, c.serial);
            let delay = self.network_delay(proxy, b);
            self.schedule(self.now + delay, Ev::ConnectionLost { connection: key, serial });
        }
    }

    // ---- discovery ----

    fn announce(&mut self, which: &[u32], state: ServerState) {
        let entries: Vec<(u32, ServerEntry)> = which.iter().map(|b| (*b, self.entry(*b, state))).collect();
        // Proxies with even numbers receive it first; `publish` adds the additional lag of the others.
        self.schedule(self.now + self.discovery.lag(0), Ev::Publish(Rc::new(entries)));
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
                let (incarnation, kind, entries) = (host.incarnation, ListKind::Delta, Rc::clone(entries));
                self.schedule(at, Ev::List { proxy, incarnation, kind, entries });
            }
        }
    }

    pub fn request_list(&mut self, proxy: usize) {
        let (incarnation, at) = (self.hosts[proxy].incarnation, self.now + DISCOVERY_CALL_TIME);
        let (kind, entries) = if self.discovery.admits(self.now) {
            self.hosts[proxy].subscribed = true;
            (ListKind::Full, self.discovery.full_list())
        } else {
            (ListKind::Failed, Vec::new())
        };
        self.schedule(at, Ev::List { proxy, incarnation, kind, entries: Rc::new(entries) });
    }

    fn list_failed(&mut self, proxy: usize) {
        self.hosts[proxy].events.push_back(Event::ServerList { kind: ListKind::Failed, entries: Vec::new() });
        self.run_policy(proxy);
    }

    fn receive_list(&mut self, proxy: usize, kind: ListKind, entries: &[(u32, ServerEntry)]) {
        if kind == ListKind::Failed {
            self.list_failed(proxy);
            return;
        }
        let now = self.now;
        let host = &mut self.hosts[proxy];
        for (b, entry) in entries {
            host.known[*b as usize] = ListedBox { state: Some(entry.state), started: entry.started_at };
            if entry.state == ServerState::Ready {
                host.drain_notified_at.remove(b);
            } else {
                host.drain_notified_at.entry(*b).or_insert(now);
            }
        }
        let entries = entries.iter().map(|(_, e)| e.clone()).collect();
        host.events.push_back(Event::ServerList { kind, entries });
        self.run_policy(proxy);
    }

    // ---- clients ----

    fn next_request(&mut self) {
        if let Some(arrival) = self.arrivals.next() {
            self.schedule(arrival.at, Ev::Request(arrival));
        }
    }

    fn new_request(&mut self, arrival: &Arrival) {
        self.next_request();
        let request = self.requests.len() as u32;
        self.requests.push(ClientRequest {
            key: arrival.key,
            write: arrival.write,
            first: self.now,
            tries: 0,
            proxy: None,
            waiting: false,
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
        r.waiting = true;
        self.schedule(self.now + wait + CLIENT_GRACE, Ev::ClientTimeout { request, number });
        self.connect_to_proxy(request, number, wait, 0);
    }

    /// Draws a proxy at random in proportion to the weights.
    fn pick(&mut self) -> usize {
        let Some(whole) = self.weights.last().copied() else { return self.clients.below(self.front.len()) };
        let drawn = whole * self.clients.unit();
        self.weights.partition_point(|w| *w <= drawn).min(self.front.len() - 1)
    }

    /// Routes a client's connection to one of the proxies that the front layer considers up.
    fn connect_to_proxy(&mut self, request: u32, number: u32, wait: Nanos, refused_by: u32) {
        let mut picked = self.pick();
        for _ in 0..16 {
            if self.front[picked] {
                break;
            }
            picked = self.pick();
        }
        if !self.front[picked] || refused_by >= MAX_PROXIES_REFUSING {
            self.answer_client(request, number, usize::MAX, End::Nowhere);
            return;
        }
        let delay = millis(self.scenario.topology.client_delay_ms);
        self.schedule(self.now + delay, Ev::AtProxy { request, number, proxy: picked, wait, refused_by });
    }

    /// Sends an answer to a client.
    pub fn answer_client(&mut self, request: u32, number: u32, proxy: usize, end: End) {
        self.copies.iter_mut().for_each(|c| c.answered(proxy, end));
        self.record_history(request, || format!("proxy {proxy} answers try {number}: {end:?}"));
        let delay = millis(self.scenario.topology.client_delay_ms);
        self.schedule(self.now + delay, Ev::ClientAnswered { request, number, end });
    }

    fn receive_answer(&mut self, request: u32, number: u32, end: End) {
        let now = self.now;
        let r = &mut self.requests[request as usize];
        if !r.waiting || r.tries != number + 1 {
            return;
        }
        r.waiting = false;
        (r.end, r.ended) = (Some(end), now);
        if end == End::Late {
            let still = r.proxy.is_some_and(|(p, incarnation)| {
                self.hosts[p].incarnation == incarnation && self.hosts[p].alive
            });
            if still {
                self.breaches.add(Rule::Lost, now, Some(request), || format!("try {number} has no answer"));
            }
        }
        let r = &self.requests[request as usize];
        // Clients do not retry a write that may have run; a refusal means that it has not run.
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
            self.schedule(now + pause, Ev::Try(request));
        }
    }

    // ---- boxes ----

    /// A request has reached a box.
    fn at_box(&mut self, at: u32) {
        let Some((job, request)) = &self.jobs[at as usize] else { return };
        let (key, serial, request, seq) = (job.connection, job.serial, *request, job.sequence);
        let open = self.connections[key].as_ref().filter(|c| c.serial == serial);
        let Some(c) = open else {
            self.drop_job(at);
            return;
        };
        let (to, proxy, incarnation, over_connection_limit) =
            (c.to, c.proxy, c.incarnation, c.over_connection_limit);
        if self.is_cut(proxy, to) {
            self.stalled.push(Ev::AtBox { job: at });
            return;
        }
        self.record_history(request, || format!("box {to} has it"));
        let one = &mut self.boxes[to as usize];
        if one.down || one.incarnation != incarnation {
            self.drop_job(at);
            let delay = self.network_delay(proxy, to);
            self.schedule(self.now + delay, Ev::ConnectionLost { connection: key, serial });
            return;
        }
        if let Some(c) = &mut self.connections[key] {
            debug_assert_eq!(c.base + c.answers.len() as u64, seq);
            c.answers.push_back(None);
        }
        let one = &mut self.boxes[to as usize];
        if !one.fallen && one.is_overloaded_while_cold(self.now) {
            one.fallen = true;
            self.breaches.add(Rule::ColdBox, self.now, Some(request), || format!("box {to} falls"));
        }
        if over_connection_limit {
            self.reply(at, Status::Rejected, None);
        } else {
            self.accept_request(to, at);
        }
    }

    /// A box starts, queues or rejects a request.
    fn accept_request(&mut self, to: u32, at: u32) {
        // Requests whose connection has closed are dropped before any work is done.
        let wanted = self.jobs[at as usize].as_ref().is_some_and(|(j, _)| self.is_connection_open(j));
        let one = &mut self.boxes[to as usize];
        if one.fallen || !wanted {
            self.drop_job(at);
        } else if one.silent > 0 {
            one.held.push(at);
        } else if one.draining || !one.has_room() {
            self.reply(at, Status::Rejected, None);
        } else if one.has_core() {
            self.start_work(to, at);
        } else {
            one.waiting.push_back(at);
        }
    }

    fn start_work(&mut self, to: u32, at: u32) {
        let one = &mut self.boxes[to as usize];
        let Some((job, _)) = &self.jobs[at as usize] else { return };
        one.busy += 1;
        let (takes, incarnation) = (one.work_duration(job, self.now, &mut self.work), one.incarnation);
        one.worked += takes;
        self.schedule(self.now + takes, Ev::BoxWorkDone { to, incarnation, job: at });
    }

    fn is_connection_open(&self, job: &Job) -> bool {
        self.connections[job.connection].as_ref().is_some_and(|c| c.serial == job.serial)
    }

    /// A core has finished a piece of work and takes the next one.
    fn finish_work(&mut self, to: u32, incarnation: u32, at: u32) {
        if self.boxes[to as usize].incarnation != incarnation {
            self.drop_job(at);
            return;
        }
        self.boxes[to as usize].busy -= 1;
        while let Some(next) = self.boxes[to as usize].waiting.pop_front() {
            let wanted = self.jobs[next as usize]
                .as_ref()
                .is_some_and(|(j, _)| j.handshake || self.is_connection_open(j));
            if wanted {
                self.start_work(to, next);
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
        match self.origin.submit((to, at), self.now) {
            Some(Some(takes)) => self.schedule(self.now + takes, Ev::OriginWorkDone { to, job: at }),
            Some(None) => {}
            None => self.fetched(to, incarnation, at, false),
        }
    }

    /// The origin has finished a piece of work.
    fn finish_origin_work(&mut self, to: u32, at: u32) {
        self.origin.done();
        while let Some(((to, job), takes)) = self.origin.next() {
            self.schedule(self.now + takes, Ev::OriginWorkDone { to, job });
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
            self.record_history(request as u32, || format!("the write by box {to} is in the ledger"));
        }
        let incarnation = self.boxes[to as usize].incarnation;
        self.fetched(to, incarnation, at, true);
    }

    fn fetched(&mut self, to: u32, incarnation: u32, at: u32, done: bool) {
        let one = &mut self.boxes[to as usize];
        let Some((job, _)) = &self.jobs[at as usize] else { return };
        if one.incarnation != incarnation {
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
            self.boxes[to as usize].store(key, version);
        }
        self.reply(at, status, Some(false));
        for other in others {
            self.reply(other, status, Some(false));
        }
    }

    /// A box has an answer; answers leave in the request order of the connection.
    fn reply(&mut self, at: u32, status: Status, hit: Option<bool>) {
        let Some((job, request)) = self.drop_job(at) else { return };
        let Some(c) = self.connections[job.connection].as_mut().filter(|c| c.serial == job.serial) else {
            self.wasted += u64::from(status == Status::Ok);
            return;
        };
        let (to, proxy, serial) = (c.to, c.proxy, c.serial);
        let status = match status {
            Status::Ok => self.boxes[to as usize].output_fault(&mut self.work).unwrap_or(status),
            _ => status,
        };
        let delay = self.network_delay(proxy, to);
        let Some(c) = &mut self.connections[job.connection] else { return };
        if status == Status::Reset {
            self.schedule(self.now + delay, Ev::ConnectionLost { connection: job.connection, serial });
            return;
        }
        let place = (job.sequence - c.base) as usize;
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
            let more =
                if alone { self.boxes[to as usize].unsolicited_bytes(answer, &mut self.work) } else { None };
            let with = more.filter(|(_, late)| *late == 0).map(|(more, _)| more);
            self.schedule(self.now + delay, Ev::Reply { connection, serial, answer, more: with });
            if let Some((answer, late)) = more.filter(|(_, late)| *late > 0) {
                self.schedule(self.now + delay + late, Ev::Reply { connection, serial, answer, more: None });
            }
        }
    }

    fn accept_connection(&mut self, key: usize, serial: u64) {
        let Some(c) = self.connections[key].as_ref().filter(|c| c.serial == serial) else { return };
        let (proxy, to) = (c.proxy, c.to);
        if self.is_cut(proxy, to) {
            self.stalled.push(Ev::ConnectionRequest { connection: key, serial });
            return;
        }
        let delay = self.network_delay(proxy, to);
        let one = &mut self.boxes[to as usize];
        if one.down || one.fallen {
            self.schedule(self.now + delay, Ev::ConnectionLost { connection: key, serial });
            return;
        }
        one.connections += 1;
        let over_connection_limit = one.connections > one.connection_cap;
        let incarnation = one.incarnation;
        if let Some(c) = &mut self.connections[key] {
            c.incarnation = incarnation;
        }
        if !over_connection_limit && one.silent == 0 {
            // The handshake's work competes with requests, but the connection is up without waiting for it.
            let job = Job {
                connection: key,
                serial,
                sequence: 0,
                key: 0,
                write: None,
                sent: self.now,
                handshake: true,
            };
            let job = self.keep_job(job, u32::MAX);
            let one = &mut self.boxes[to as usize];
            if one.has_core() {
                self.start_work(to, job);
            } else {
                one.waiting.push_front(job);
            }
        }
        self.schedule(self.now + delay, Ev::Connected { connection: key, serial, over_connection_limit });
    }

    // ---- the loop ----

    fn handle(&mut self, ev: Ev) {
        let is_current = |sim: &Self, proxy: usize, incarnation: u32| {
            sim.hosts[proxy].alive && sim.hosts[proxy].incarnation == incarnation
        };
        let is = |sim: &Self, key: usize, serial: u64| {
            sim.connections[key].as_ref().is_some_and(|c| c.serial == serial)
        };
        match ev {
            Ev::Request(arrival) => self.new_request(&arrival),
            Ev::Try(request) => self.try_now(request),
            Ev::AtProxy { request, number, proxy, wait, refused_by } => {
                let r = &mut self.requests[request as usize];
                if !r.waiting || r.tries != number + 1 {
                    return;
                }
                if !self.hosts[proxy].alive {
                    self.connect_to_proxy(request, number, wait, refused_by + 1);
                    return;
                }
                r.proxy = Some((proxy, self.hosts[proxy].incarnation));
                self.record_history(request, || format!("try {number} reaches proxy {proxy}"));
                self.handle_arrival(proxy, request, number, wait);
            }
            Ev::ClientAnswered { request, number, end } => self.receive_answer(request, number, end),
            Ev::ClientTimeout { request, number } => self.receive_answer(request, number, End::Late),
            Ev::PolicyTimer { proxy, incarnation, token } if is_current(self, proxy, incarnation) => {
                self.hosts[proxy].events.push_back(Event::Timer(token));
                self.run_policy(proxy);
            }
            Ev::Deadline { proxy, incarnation, id } if is_current(self, proxy, incarnation) => {
                self.deadline(proxy, id)
            }
            Ev::AttemptTimeout { proxy, incarnation, id, attempt }
                if is_current(self, proxy, incarnation) =>
            {
                self.end_attempt(proxy, id, attempt, Status::Timeout);
                self.run_policy(proxy);
            }
            Ev::ConnectTimeout { connection, serial } if is(self, connection, serial) => {
                let late = self.connections[connection].as_ref().filter(|c| !c.up).map(|c| c.proxy);
                if let Some(proxy) = late {
                    self.close(connection);
                    self.run_policy(proxy);
                }
            }
            Ev::ConnectionRequest { connection, serial } => self.accept_connection(connection, serial),
            Ev::Connected { connection, serial, over_connection_limit } if is(self, connection, serial) => {
                let Some(c) = &mut self.connections[connection] else { return };
                (c.up, c.over_connection_limit) = (true, over_connection_limit);
                let proxy = c.proxy;
                self.connected(connection);
                self.run_policy(proxy);
            }
            Ev::ConnectionLost { connection, serial } if is(self, connection, serial) => {
                let Some((proxy, to)) = self.connections[connection].as_ref().map(|c| (c.proxy, c.to)) else {
                    return;
                };
                if self.is_cut(proxy, to) {
                    self.stalled.push(Ev::ConnectionLost { connection, serial });
                    return;
                }
                self.close(connection);
                self.run_policy(proxy);
            }
            Ev::ConnectionClosed { to, incarnation } => {
                let one = &mut self.boxes[to as usize];
                if one.incarnation == incarnation {
                    one.connections = one.connections.saturating_sub(1);
                }
            }
            Ev::AtBox { job } => self.at_box(job),
            Ev::BoxWorkDone { to, incarnation, job } => self.finish_work(to, incarnation, job),
            Ev::OriginWorkDone { to, job } => self.finish_origin_work(to, job),
            Ev::Reply { connection, serial, answer, more } if is(self, connection, serial) => {
                let Some((proxy, to)) = self.connections[connection].as_ref().map(|c| (c.proxy, c.to)) else {
                    return;
                };
                if self.is_cut(proxy, to) {
                    self.stalled.push(Ev::Reply { connection, serial, answer, more });
                    return;
                }
                self.handle_reply(connection, answer, more);
            }
            Ev::Reply { answer, .. } => self.wasted += u64::from(answer.status == Status::Ok),
            Ev::Writable { connection, serial } if is(self, connection, serial) => {
                let proxy = self.connections[connection].as_ref().map(|c| c.proxy);
                self.flush(connection);
                proxy.into_iter().for_each(|proxy| self.run_policy(proxy));
            }
            Ev::List { proxy, incarnation, kind, entries } if is_current(self, proxy, incarnation) => {
                self.receive_list(proxy, kind, &entries);
            }
            Ev::Publish(entries) => self.publish(&entries),
            Ev::Fault(op) => self.apply_op(op),
            Ev::Copy(step) => self.copy_step(step),
            Ev::Second => self.end_second(),
            _ => {}
        }
    }

    fn end_second(&mut self) {
        let now = self.now;
        let mut out = 0.0;
        for proxy in 0..self.hosts.len() {
            self.close_idle(proxy);
            let host = &self.hosts[proxy];
            out += host.policy.as_ref().map_or(0.0, |p| p.avoided(now) as f32);
        }
        let connections: usize = self.hosts.iter().map(|h| h.connections).sum();
        let alive = self.hosts.iter().filter(|h| h.alive).count().max(1);
        if let Some(s) = self.seconds.get_mut((now / SECOND - 1) as usize) {
            s.connections = connections as u32;
            s.out = out / alive as f32;
        }
        self.schedule(now + SECOND, Ev::Second);
    }

    fn play(mut self, policy: &str) -> Summary {
        let last = self.scenario.traffic.read.deadline_ms.max(self.scenario.traffic.write.deadline_ms);
        let end = seconds(self.scenario.duration_s) + millis(last) + SECOND;
        while let Some(Reverse(Scheduled(at, _, ev))) = self.heap.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.events += 1;
            self.handle(ev);
        }
        self.summarize(policy)
    }

    fn summarize(mut self, policy: &str) -> Summary {
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
        let parts: Vec<f64> = there.map(|(b, _)| b.utilization(self.now)).collect();
        let s = &mut gathered.summary;
        (s.attempts, s.wasted, s.opened) = (self.all_attempts, self.wasted, self.all_opened);
        if let Some(copies) = &self.copies {
            (s.copies, s.copy_fetches, s.copy_fetches_peak) = copies.counts();
        }
        (s.fetches, s.origin_busy) = (self.origin.fetches, self.origin.rejected);
        s.boxes_busy = parts.iter().sum::<f64>() / parts.len().max(1) as f64;
        s.busiest_box = parts.iter().copied().fold(0.0, f64::max);
        s.origin_part = self.origin.utilization(self.now);
        (s.events, s.breaches) = (self.events, self.breaches.0);
        gathered.finish()
    }
}
