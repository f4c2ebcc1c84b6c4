//! Drains under faults: cache nodes begin to drain one after the other and stay, while clients send requests to one proxy, and
//! requests that come to a draining node too late are counted.
//!
//! The rule is that of the operators' protocol page: nothing new goes to a node later than the grace of the settings after the
//! proxy counts as notified, with 50 ms of tolerance.

mod discovery;

pub use discovery::{Delivered, ListService};

use crate::scripted::{answering, cached, config, encode, list, Peer, Proxy};
use serde_json::{json, Value};
use std::io::Read;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The drain grace of the settings.
const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// The tolerance of the operators' page.
const TOLERANCE: Duration = Duration::from_millis(50);
/// What the records of this process may be late, beside other tests.
const RECORD_DELAY: Duration = Duration::from_millis(100);
/// A change counts as notified this long after discovery had it and could be reached.
const NOTIFIED_AFTER_REACHABLE: Duration = Duration::from_secs(6);
/// The changes of another discovery count as notified this long after SIGHUP.
const NOTIFIED_AFTER_MOVE: Duration = Duration::from_secs(4);
/// The version of the first list.
const FIRST_VERSION: u64 = 41;
/// The number of cache nodes.
const NODES: usize = 16;
/// When the first node begins to drain. Those that do not drain serve on.
const FIRST_DRAIN: Duration = Duration::from_secs(3);
/// The time between two drains.
const DRAIN_INTERVAL: Duration = Duration::from_secs(1);
/// The clients, and how long each waits between two requests.
const CLIENTS: u64 = 8;
const CLIENT_INTERVAL: Duration = Duration::from_millis(50);
/// The time that a request has, in milliseconds.
const DEADLINE_MS: u64 = 1_000;

/// How lists come to a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// An agent on the proxy's machine has them, and answers at no cost.
    Pushed,
    /// One discovery serves all proxies.
    Polled,
}

/// What happens beside the drains and the faults of system calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Incident {
    /// Nothing.
    None,
    /// The configuration names another discovery, and SIGHUP comes. The first one learns of no change from then on.
    DiscoveryMoves(Duration),
    /// Discovery numbers its versions from 1 again.
    VersionsRestart(Duration),
    /// SIGKILL, and a new process with the first list.
    Killed(Duration),
}

/// What is played.
#[derive(Clone, Debug)]
pub struct DrainPlay {
    /// How lists come.
    pub delivery: Delivery,
    /// The rules of the faults (`crates/testkit/shim`). `DISCOVERY` in them stands for the port of discovery.
    pub faults: String,
    /// The seed of the faults.
    pub seed: u64,
    /// The number of proxies, as the settings tell it.
    pub proxies: u32,
    /// What happens beside.
    pub incident: Incident,
    /// What becomes of discovery's answers that tell of a change.
    pub delivered: Delivered,
    /// How long it lasts.
    pub lasts: Duration,
}

/// A request that came to a draining node too late.
#[derive(Clone, Copy, Debug)]
pub struct LateRequest {
    /// The number of the node.
    pub node: usize,
    /// How long after the drain counted as notified it came.
    pub after: Duration,
}

/// What was seen.
#[derive(Debug, Default)]
pub struct DrainOutcome {
    /// The requests that came too late.
    pub late: Vec<LateRequest>,
    /// The requests that were served.
    pub served: usize,
    /// The requests that came to nodes.
    pub arrived: usize,
    /// The calls that discovery answered.
    pub calls: usize,
    /// What the proxy logged.
    pub log: String,
}

/// The name of a node's state in discovery.
fn health_of(is_draining: bool) -> &'static str {
    if is_draining {
        "draining"
    } else {
        "up"
    }
}

/// When requests came to a node.
type Arrivals = Arc<Mutex<Vec<Instant>>>;

/// Starts a node that answers each read and records when it came.
fn recording_node() -> (SocketAddr, Arrivals) {
    let arrivals = Arrivals::default();
    let record = arrivals.clone();
    let address = answering(move |command| {
        record.lock().unwrap_or_else(PoisonError::into_inner).push(Instant::now());
        Some(cached(command))
    });
    (address, arrivals)
}

/// A play under way.
struct Run<'a> {
    play: &'a DrainPlay,
    proxy: Proxy,
    service: Arc<ListService>,
    /// The discovery that the proxy is moved to.
    second_service: Arc<ListService>,
    arrivals: Vec<Arrivals>,
    began: Instant,
    /// When each node began to drain.
    drained_at: Vec<Option<Instant>>,
    /// When the incident occurred.
    incident_at: Option<Instant>,
    killed_log: String,
}

impl DrainPlay {
    /// A play of this delivery with these faults, and nothing beside.
    pub fn new(delivery: Delivery, faults: &str, seed: u64) -> DrainPlay {
        DrainPlay {
            delivery,
            faults: faults.to_owned(),
            seed,
            proxies: 1,
            incident: Incident::None,
            delivered: Delivered::Whole,
            lasts: Duration::from_secs(12),
        }
    }

    /// Plays it.
    ///
    /// # Panics
    /// If the proxy does not start, or a client gets no connection.
    pub fn run(&self) -> DrainOutcome {
        let mut run = self.start();
        let (is_over, served) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
        let clients: Vec<_> = (0..CLIENTS)
            .map(|number| {
                let (address, is_over, served) = (run.proxy.address, is_over.clone(), served.clone());
                std::thread::spawn(move || send_requests(address, number, &is_over, &served))
            })
            .collect();
        run.follow();
        is_over.store(true, Ordering::Relaxed);
        clients.into_iter().for_each(|client| drop(client.join()));
        run.judge(served.load(Ordering::Relaxed))
    }

    fn start(&self) -> Run<'_> {
        let (addresses, arrivals): (Vec<_>, Vec<_>) = (0..NODES).map(|_| recording_node()).unzip();
        let service = ListService::start(FIRST_VERSION, &addresses);
        let second_service = ListService::start(FIRST_VERSION, &addresses);
        [&service, &second_service].into_iter().for_each(|service| service.deliver(self.delivered));
        let faults = self.faults.replace("DISCOVERY", &service.address().port().to_string());
        let proxy = Proxy::faulty_with(self.configuration(&service, &addresses), &faults, self.seed);
        Run {
            play: self,
            proxy,
            service,
            second_service,
            arrivals,
            began: Instant::now(),
            drained_at: vec![None; NODES],
            incident_at: None,
            killed_log: String::new(),
        }
    }

    fn configuration(&self, service: &ListService, addresses: &[SocketAddr]) -> Value {
        let mut configuration = config(addresses);
        configuration["discovery"] = json!(service.address().to_string());
        configuration["settings"]["n_instances"] = json!(self.proxies);
        configuration["settings"]["discovery"] = match self.delivery {
            Delivery::Pushed => json!("automatic"),
            Delivery::Polled => json!("subscribe"),
        };
        configuration["known"]["seq"] = list(FIRST_VERSION, true, &[])["seq"].clone();
        configuration
    }
}

impl Run<'_> {
    /// Lets nodes drain, and the incident happen, until the play is over.
    fn follow(&mut self) {
        const STEP: Duration = Duration::from_millis(5);
        let mut next_node = 0;
        let incident_time = match self.play.incident {
            Incident::None => Duration::MAX,
            Incident::DiscoveryMoves(at) | Incident::VersionsRestart(at) | Incident::Killed(at) => at,
        };
        while self.began.elapsed() < self.play.lasts {
            if next_node < NODES - 1
                && self.began.elapsed() >= FIRST_DRAIN + DRAIN_INTERVAL * next_node as u32
            {
                self.drained_at[next_node] = Some(Instant::now());
                self.service.drain(next_node);
                self.second_service.drain(next_node);
                next_node += 1;
            }
            if self.incident_at.is_none() && self.began.elapsed() >= incident_time {
                self.incident_at = Some(Instant::now());
                self.cause_incident();
            }
            std::thread::sleep(STEP);
        }
    }

    fn cause_incident(&mut self) {
        match self.play.incident {
            Incident::None => {}
            Incident::DiscoveryMoves(_) => {
                self.service.freeze();
                let mut next: Value = serde_json::from_str(&self.proxy.text()).expect("a configuration");
                next["discovery"] = json!(self.second_service.address().to_string());
                self.proxy.reload(&next.to_string());
            }
            Incident::VersionsRestart(_) => self.service.restart_versions(),
            Incident::Killed(_) => {
                self.service.forget_written();
                self.killed_log = self.proxy.kill_and_start();
                // What was written to the process that was killed does not count for the next one.
                self.incident_at = Some(Instant::now());
            }
        }
    }

    /// From when a node's drain counts as notified.
    fn notified_at(&self, node: usize) -> Option<Instant> {
        let drained_at = self.drained_at[node]?;
        let at_latest = drained_at + NOTIFIED_AFTER_REACHABLE;
        let has_moved = matches!(self.play.incident, Incident::DiscoveryMoves(_))
            && self.incident_at.is_some_and(|moved_at| drained_at > moved_at);
        let by_service = |service: &ListService| match self.play.delivery {
            Delivery::Pushed => Some(drained_at),
            Delivery::Polled => service.written_at(node),
        };
        let by_incident = self.incident_at.filter(|at| *at > drained_at);
        let is_new_process = matches!(self.play.incident, Incident::Killed(_)) && by_incident.is_some();
        let notified = match (has_moved, is_new_process) {
            (true, _) => {
                let moved = self.incident_at? + NOTIFIED_AFTER_MOVE;
                let at_latest = moved.max(drained_at);
                let written = self.second_service.written_at(node);
                written.map_or(at_latest, |written| written.min(at_latest))
            }
            (false, true) => {
                let started = self.incident_at?;
                let written = by_service(&self.service).map_or(at_latest, |at| at.min(at_latest));
                written.max(started)
            }
            (false, false) => by_service(&self.service).map_or(at_latest, |at| at.min(at_latest)),
        };
        Some(notified)
    }

    fn judge(self, served: usize) -> DrainOutcome {
        let allowed = DRAIN_GRACE + TOLERANCE + RECORD_DELAY;
        let mut late = Vec::new();
        let mut arrived = 0;
        for (node, arrivals) in self.arrivals.iter().enumerate() {
            let arrivals = arrivals.lock().unwrap_or_else(PoisonError::into_inner);
            arrived += arrivals.len();
            let Some(notified) = self.notified_at(node) else { continue };
            let after = arrivals.iter().map(|at| at.saturating_duration_since(notified));
            late.extend(after.filter(|after| *after > allowed).map(|after| LateRequest { node, after }));
        }
        let calls = self.service.calls() + self.second_service.calls();
        let log = self.killed_log + &self.proxy.log();
        DrainOutcome { late, served, arrived, calls, log }
    }
}

/// Sends reads one after the other, over a new connection where one has ended, until the play is over.
fn send_requests(address: SocketAddr, number: u64, is_over: &AtomicBool, served: &AtomicUsize) {
    let mut connection: Option<Peer> = None;
    let mut key = number;
    while !is_over.load(Ordering::Relaxed) {
        std::thread::sleep(CLIENT_INTERVAL);
        key += CLIENTS;
        let Some(mut client) = connection.take().or_else(|| Peer::reaches(address)) else { continue };
        if !client.offers(encode_read(key)) {
            continue;
        }
        let Some(answer) = read_answer(&mut client) else { continue };
        served.fetch_add(usize::from(answer.contains(&format!("{key:016x}:1"))), Ordering::Relaxed);
        connection = Some(client);
    }
}

/// Reads the answer to a request; `None` if the connection ends before it.
fn read_answer(client: &mut Peer) -> Option<String> {
    let mut answer = String::new();
    loop {
        // An error is one line, a value two.
        let lines = if answer.starts_with('$') { 2 } else { 1 };
        if answer.matches("\r\n").count() >= lines {
            return Some(answer);
        }
        let mut piece = [0; 512];
        let length = client.stream.read(&mut piece).ok().filter(|length| *length > 0)?;
        answer.push_str(&String::from_utf8_lossy(&piece[..length]));
    }
}

fn encode_read(key: u64) -> Vec<u8> {
    static NEXT_ID: AtomicUsize = AtomicUsize::new(1);
    let id = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    encode(&["CACHE.GET", &format!("{key:016x}"), &format!("drain-{id}"), &format!("c=read,d={DEADLINE_MS}")])
}
