//! Autonomous stand-ins: cache boxes in front of a slow origin, discovery, a network of zones, clients.
//!
//! All of them run on one thread of the world and can be controlled from any other. Random choices come from the
//! world's seed and faults from a [`Script`]; the order of socket events and the machine's load are not deterministic.
//! Each stand-in keeps a record with times since the world's start, so that a test can check who received what and when.
//!
//! Simplifications: a connection over a cut link is still established (the local kernel accepts it) and carries no data;
//! overload of the origin is modelled as a bounded queue that rejects requests.

mod boxes;
mod clients;
mod discovery;
mod doors;
mod faults;
mod network;
mod origin;
mod speech;

pub use boxes::{BoxConfig, CacheBox, Seen};
pub use clients::{AttemptRecord, End, Load, Plan, Target};
pub use discovery::{Discovery, Health, Mode, Published, SentList};
pub use doors::{Door, Entrance, ListenerFault};
pub use faults::{Fault, Script, Step};
pub use network::Network;
pub use origin::Origin;
pub use speech::Speech;

use serde_json::{json, Value};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc;

/// How long a proxy may still send to a box after it was notified of its drain: 500 ms by the rules, 50 ms for the
/// sockets.
const DRAIN_GRACE: Duration = Duration::from_millis(550);

/// The changes of another discovery count as notified this long after SIGHUP.
const NOTIFIED_AFTER_MOVE: Duration = Duration::from_secs(4);

/// How much more than what is left to a client a box may be told.
const TOLD_SLACK: Duration = Duration::from_millis(150);
/// How long after a client's departure an attempt of its request may begin, with the protocol's tolerance.
const DEPARTURE_GRACE: Duration = Duration::from_millis(100 + 50);

/// A request whose client has closed its connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Departure {
    /// Id of the request.
    pub id: String,
    /// When the connection was closed, since the world's start.
    pub at: Duration,
}

/// A process of a proxy.
#[derive(Clone, Debug)]
struct ProcessLife {
    proxy: usize,
    /// When it was started, and when the next one was.
    from: Duration,
    until: Duration,
    /// The boxes that drained by the list that it was started with.
    draining: Vec<String>,
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken {
    /// Name of the rule: `lost`, `doubled`, `drain`, `cold-box`, `told` or `departed`.
    pub rule: &'static str,
    /// Id of the request that violated the rule, if it is known.
    pub id: Option<String>,
    /// Description of the violation.
    pub what: String,
}

type Job = Box<dyn FnOnce() + Send>;

/// Locks a mutex and ignores poisoning: a panic in another thread has already failed the test.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Binds `count` non-blocking listeners; returns them and their addresses.
fn listeners(count: usize) -> (Vec<TcpListener>, Vec<SocketAddr>) {
    let one = |_| {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a listener");
        listener.set_nonblocking(true).expect("non-blocking mode");
        let address = listener.local_addr().expect("an address");
        (listener, address)
    };
    (0..count).map(one).unzip()
}

/// Measures the time since the world's start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix_ms: u64,
}

impl Clock {
    /// Time since the world's start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Current Unix time in milliseconds.
    pub fn unix_ms(&self) -> u64 {
        self.unix_ms + self.now().as_millis() as u64
    }
}

/// Configuration of a world.
#[derive(Clone, Debug)]
pub struct WorldConfig {
    /// Seed of all random choices.
    pub seed: u64,
    /// Names of zones.
    pub zones: Vec<String>,
    /// One-way delay between two zones.
    pub distance: Duration,
    /// Configuration of the boxes.
    pub boxes: Vec<BoxConfig>,
    /// Number of proxies that use discovery.
    pub proxies: usize,
    /// Number of concurrent fetches of the origin, and the duration of each.
    pub origin: (usize, Duration),
    /// Delay between a change and its publication by discovery.
    pub lag: Duration,
    /// Number of boxes, counted from the last, that are not in service: discovery does not list them.
    pub unlisted: usize,
}

impl WorldConfig {
    /// `boxes` warm boxes of different speeds in three zones, for `proxies` proxies.
    pub fn new(seed: u64, boxes: usize, proxies: usize) -> Self {
        let zones: Vec<String> = ["joburg", "durban", "cape-town"].map(String::from).into();
        let mut rng = fastrand::Rng::with_seed(seed);
        let boxes = (0..boxes)
            .map(|i| BoxConfig {
                zone: i % zones.len(),
                speed: [2.0, 1.2, 0.8][rng.usize(..3)],
                ..BoxConfig::new(&format!("s-{i}"))
            })
            .collect();
        let distance = Duration::from_millis(3);
        let origin = (64, Duration::from_millis(20));
        WorldConfig { seed, zones, distance, boxes, proxies, origin, lag: Duration::ZERO, unlisted: 0 }
    }
}

/// A running world, stopped on drop.
pub struct World {
    /// Clock of all records.
    pub clock: Clock,
    /// The network between its zones.
    pub network: Arc<Network>,
    /// The origin behind the boxes.
    pub origin: Arc<Origin>,
    /// The boxes.
    pub boxes: Vec<Arc<CacheBox>>,
    /// Discovery.
    pub discovery: Arc<Discovery>,
    /// The processes that were started again.
    starts: Mutex<Vec<ProcessLife>>,
    config: WorldConfig,
    spawn: mpsc::UnboundedSender<Job>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl World {
    /// Starts all stand-ins.
    ///
    /// # Panics
    /// If a socket cannot be opened.
    pub fn start(config: WorldConfig) -> World {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let clock = Clock { start: Instant::now(), unix_ms: unix.as_millis() as u64 };
        let (spawn, mut work) = mpsc::unbounded_channel::<Job>();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let runtime = runtime.expect("a runtime");
            let local = tokio::task::LocalSet::new();
            local.block_on(&runtime, async {
                while let Some(work) = work.recv().await {
                    work();
                }
            });
        });
        let network = Arc::new(Network::new(config.zones.len(), config.distance));
        let origin = Arc::new(Origin::new(clock, config.origin.0, config.origin.1));
        let mut boxes = Vec::new();
        for (i, one) in config.boxes.iter().enumerate() {
            let seed = config.seed.wrapping_add(1 + i as u64);
            let peer = CacheBox::new(one.clone(), clock, origin.clone(), network.clone(), seed);
            boxes.push(Arc::new(peer));
        }
        // A write invalidates the copies in all boxes.
        origin.caches(boxes.iter().map(|b| b.cache()).collect());
        let discovery = Arc::new(Discovery::new(clock, config.proxies, config.zones.clone(), config.lag));
        let starts = Mutex::default();
        let thread = Some(thread);
        let world = World { clock, network, origin, boxes, discovery, starts, config, spawn, thread };
        world.boxes.iter().for_each(|one| world.serve_box(one));
        let listed = world.boxes.len().saturating_sub(world.config.unlisted);
        for one in &world.boxes[..listed] {
            world.discovery.add(one, world.config.zones[one.config.zone].clone());
        }
        let discovery = world.discovery.clone();
        world.run(move || discovery.serve());
        world
    }

    /// Runs a closure on the world's thread, where it may spawn local tasks.
    fn run(&self, work: impl FnOnce() + Send + 'static) {
        let _ = self.spawn.send(Box::new(work));
    }

    fn serve_box(&self, one: &Arc<CacheBox>) {
        let one = one.clone();
        self.run(move || one.serve());
    }

    /// Starts a script of faults.
    pub fn play(&self, script: Script) {
        let (boxes, network) = (self.boxes.clone(), self.network.clone());
        let (discovery, origin) = (self.discovery.clone(), self.origin.clone());
        self.run(move || {
            for step in script.steps {
                let (boxes, network) = (boxes.clone(), network.clone());
                let (discovery, origin) = (discovery.clone(), origin.clone());
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(step.at).await;
                    faults::set(&step.fault, true, &boxes, &network, &discovery, &origin);
                    if let Some(lasts) = step.lasts {
                        tokio::time::sleep(lasts).await;
                        faults::set(&step.fault, false, &boxes, &network, &discovery, &origin);
                    }
                });
            }
        });
    }

    /// Starts a client load.
    pub fn load(&self, load: Load) -> Arc<Load> {
        let load = Arc::new(load);
        let (running, clock, seed) = (load.clone(), self.clock, self.config.seed);
        self.run(move || running.run(clock, seed));
        load
    }

    /// Returns the ids of requests that a proxy had read but left unanswered when it closed the connection: a box had
    /// received them before the close.
    pub fn taken_and_lost(&self, load: &Load) -> Vec<String> {
        let crossed = load.crossed();
        let seen: std::collections::HashMap<String, Duration> =
            self.boxes.iter().flat_map(|b| b.record()).rev().map(|s| (s.id, s.at)).collect();
        let lost = crossed.into_iter().filter(|(id, at)| seen.get(id).is_some_and(|seen| seen < at));
        lost.map(|(id, _)| id).collect()
    }

    /// Returns all rule violations found in the records of clients and boxes; call it after the load has finished.
    /// Proxies in `killed` are exempt from the rules on lost requests and drains, because a killed process loses the
    /// requests that it had read and its list of boxes.
    pub fn broken(&self, load: &Load, proxies: usize, killed: &[usize]) -> Vec<Broken> {
        let record = load.record();
        let broken = |rule, id: Option<&str>, what| Broken { rule, id: id.map(str::to_owned), what };
        let mut all: Vec<Broken> = Vec::new();
        let bad = |a: &&AttemptRecord| match a.end {
            End::Wrong => true,
            End::Lost | End::Never => !killed.contains(&a.proxy),
            _ => false,
        };
        for asked in record.iter().filter(bad) {
            all.push(broken("lost", Some(&asked.id), format!("{:?} at proxy {}", asked.end, asked.proxy)));
        }
        // With killed proxies, the records do not show which proxy had read a lost request.
        for id in self.taken_and_lost(load).into_iter().filter(|_| killed.is_empty()) {
            all.push(broken("lost", Some(&id), "a proxy had read it, and ended the connection".into()));
        }
        if load.extra() > 0 {
            all.push(broken("lost", None, format!("{} answers that nobody asked for", load.extra())));
        }
        for (key, times) in self.origin.effects().into_iter().filter(|(_, n)| *n > 1) {
            let its = record.iter().find(|a| a.write.as_ref() == Some(&key)).map(|a| a.id.as_str());
            all.push(broken("doubled", its, format!("the write {key} took effect {times} times")));
        }
        for one in self.boxes.iter().filter(|b| b.fallen()) {
            all.push(broken("cold-box", None, format!("{} was pushed over", one.config.name)));
        }
        let by_id: std::collections::HashMap<&str, usize> =
            record.iter().map(|a| (a.id.as_str(), a.proxy)).collect();
        for one in &self.boxes {
            for i in (0..proxies).filter(|i| !killed.contains(i)) {
                all.extend(
                    self.lives_of(i).into_iter().filter_map(|life| self.late_after_drain(one, &life, &by_id)),
                );
            }
        }
        all
    }

    /// Records that a proxy has been started again with this list of boxes, so that what its last process was notified of does not
    /// count for the new one.
    pub fn record_start(&self, proxy: usize, known: &Value) {
        let hosts = known["hosts"].as_array().map_or(&[][..], Vec::as_slice);
        let draining = hosts.iter().filter(|host| host["health"] == "draining");
        let draining = draining.filter_map(|host| host["host"].as_str().map(str::to_owned)).collect();
        lock(&self.starts).push(ProcessLife {
            proxy,
            from: self.clock.now(),
            until: Duration::MAX,
            draining,
        });
    }

    /// The processes of a proxy, one after the other.
    fn lives_of(&self, proxy: usize) -> Vec<ProcessLife> {
        let first = ProcessLife { proxy, from: Duration::ZERO, until: Duration::MAX, draining: Vec::new() };
        let starts = lock(&self.starts);
        let mut lives: Vec<ProcessLife> =
            std::iter::once(first).chain(starts.iter().filter(|life| life.proxy == proxy).cloned()).collect();
        for next in 1..lives.len() {
            lives[next - 1].until = lives[next].from;
        }
        lives
    }

    /// A request that a process sent to a box after it was notified of its drain, and after the grace.
    fn late_after_drain(
        &self,
        one: &CacheBox,
        life: &ProcessLife,
        by_id: &std::collections::HashMap<&str, usize>,
    ) -> Option<Broken> {
        let name = &one.config.name;
        let during = |at: Duration| (life.from..life.until).contains(&at);
        let sent =
            self.discovery.told().into_iter().filter(|list| list.proxy == life.proxy && during(list.at));
        let has = |list: &SentList, health| list.hosts.contains(&(name.clone(), health));
        let sent: Vec<SentList> = sent.collect();
        let known = life.draining.contains(name).then_some(life.from);
        let told = sent.iter().find(|list| has(list, Health::Draining)).map(|list| list.at);
        let notified = known.or_else(|| told.into_iter().chain(self.moved_and_notified(name, life)).min())?;
        let back = sent.iter().find(|list| list.at > notified && has(list, Health::Up)).map(|list| list.at);
        let late = one.record().into_iter().find(|seen| {
            by_id.get(seen.id.as_str()) == Some(&life.proxy)
                && during(seen.at)
                && seen.at > notified + DRAIN_GRACE
                && back.is_none_or(|back| seen.at < back)
        })?;
        let what = format!("{name} from proxy {}, told at {notified:?}: {late:?}", life.proxy);
        Some(Broken { rule: "drain", id: Some(late.id), what })
    }

    /// When a drain that was published counts as notified to a process whose proxy was moved to another discovery, if that could be
    /// reached all the time.
    fn moved_and_notified(&self, name: &str, life: &ProcessLife) -> Option<Duration> {
        let moved_at =
            self.discovery.moved_at(life.proxy).filter(|at| *at >= life.from && *at < life.until)?;
        let published = self.discovery.published();
        let is_drain = |one: &&Published| one.name == name && one.health == Health::Draining;
        let drained_at = published.iter().filter(is_drain).map(|one| one.at).find(|at| *at > moved_at)?;
        let notified = drained_at.max(moved_at + NOTIFIED_AFTER_MOVE);
        self.discovery.was_reachable(moved_at, notified + DRAIN_GRACE).then_some(notified)
    }

    /// Returns the attempts that stated more time to a box than the client had left. Not for runs with cuts of the network,
    /// which hold commands up on their way.
    pub fn overstated(&self, load: &Load) -> Vec<Broken> {
        let record = load.record();
        // A request that was sent again on another connection says the time that it had at first.
        let sent_again: std::collections::HashSet<String> =
            load.crossed().into_iter().map(|(id, _)| id).collect();
        let asked: std::collections::HashMap<&str, &AttemptRecord> =
            record.iter().filter(|a| !sent_again.contains(&a.id)).map(|a| (a.id.as_str(), a)).collect();
        let mut all = Vec::new();
        for seen in self.boxes.iter().flat_map(|one| one.record()) {
            let Some(asked) = asked.get(seen.id.as_str()) else { continue };
            let left = (asked.sent + asked.wait).saturating_sub(seen.at);
            if seen.told > left + TOLD_SLACK {
                let what = format!("told {:?} at {:?}, {left:?} were left", seen.told, seen.at);
                all.push(Broken { rule: "told", id: Some(seen.id), what });
            }
        }
        all
    }

    /// Returns the attempts that began after their clients had closed their connections.
    pub fn sent_after_departure(&self, departures: &[Departure]) -> Vec<Broken> {
        let departed: std::collections::HashMap<&str, Duration> =
            departures.iter().map(|departure| (departure.id.as_str(), departure.at)).collect();
        let mut all = Vec::new();
        for seen in self.boxes.iter().flat_map(|one| one.record()) {
            let Some(left_at) = departed.get(seen.id.as_str()) else { continue };
            if seen.at > *left_at + DEPARTURE_GRACE {
                let what = format!("sent {:?} after its client had left", seen.at - *left_at);
                all.push(Broken { rule: "departed", id: Some(seen.id), what });
            }
        }
        all
    }

    /// Returns the ids of writes that came to a box while another write with the same id might still be carried out: within the
    /// time-out of that one, and before its answer.
    pub fn ids_used_twice(&self) -> Vec<Broken> {
        let mut by_id: std::collections::HashMap<String, Vec<Seen>> = std::collections::HashMap::new();
        for seen in self.boxes.iter().flat_map(|one| one.record()).filter(|seen| seen.write.is_some()) {
            by_id.entry(seen.id.clone()).or_default().push(seen);
        }
        let mut all = Vec::new();
        for (id, mut seen) in by_id {
            seen.sort_by_key(|one| one.at);
            let overlap = |pair: &[Seen]| {
                let [first, second] = pair else { return false };
                first.write != second.write
                    && second.at < first.at + first.told
                    && first.answer.is_none_or(|(at, _)| at > second.at)
            };
            if let Some(pair) = seen.windows(2).find(|pair| overlap(pair)) {
                let what = format!("two writes with one id, {:?} apart", pair[1].at - pair[0].at);
                all.push(Broken { rule: "doubled", id: Some(id), what });
            }
        }
        all
    }

    /// Zone of proxy number `proxy`.
    pub fn zone_of(&self, proxy: usize) -> usize {
        proxy % self.config.zones.len()
    }

    /// Current list of discovery, as sent to proxy number `proxy`.
    pub fn known(&self, proxy: usize) -> Value {
        self.discovery.whole(self.zone_of(proxy))
    }

    /// Configuration of proxy number `proxy` with this listen address.
    pub fn proxy_config(&self, proxy: usize, listen: SocketAddr) -> Value {
        let class = |name: &str, aim: u64, deadline: u64, effect: &str, worth: f64| {
            json!({"name": name, "promise_ns": aim * 1_000_000, "deadline_ns": deadline * 1_000_000,
                "effect": effect, "group": "all", "dedup_window_ns": 1_000_000_000u64, "value": worth,
                "late_value": 0.0, "stream": false})
        };
        let seed = self.config.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(proxy as u64);
        json!({
            "name": format!("n{proxy}"), "listen": listen.to_string(),
            "discovery": self.discovery.address(proxy).to_string(), "seed": format!("{seed:016x}"),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": self.known(proxy),
            "settings": {
                "n_instances": self.config.proxies, "self_index": proxy, "zone": self.zone_of(proxy),
                "localities": self.config.zones, "machine_types": ["m1"],
                "categories": [class("pack-lookup", 300, 750, "safe", 1.0),
                    class("swap-record", 500, 1_000, "keyed", 5.0)],
                "caps": {"attempts_cap": 5, "cancelling": true, "second_copies": true, "max_open": 4000,
                    "streams_per_conn": 8, "conn_idle_ns": 5_000_000_000u64,
                    "connect_timeout_ns": 300_000_000u64, "max_retry_after_ns": 1_000_000_000u64},
                "rules": {"cold_from": 0.15, "cold_ns": 24_000_000_000u64, "fall_multiple": 3.0,
                    "fall_ns": 1_000_000_000u64, "drain_grace_ns": 500_000_000u64,
                    "must_ask_in_ns": 10_000_000_000u64},
                "discovery": "subscribe", "family_info": {"mode": "through", "origin_kind": -1},
                "report": {"columns": []}, "worth_by": "request",
            },
        })
    }
}

impl Drop for World {
    fn drop(&mut self) {
        // Closing the channel ends the thread and its tasks.
        let (spawn, _) = mpsc::unbounded_channel();
        self.spawn = spawn;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
