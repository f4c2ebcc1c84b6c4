//! Cache boxes as the protocol documentation describes them: read-through caching, a bounded queue in front of a few
//! cores, a connection limit, slow start after a restart, and replies in the order of the commands.

use super::doors::{Door, Entrance, ListenerFault, Stream};
use super::network::Network;
use super::origin::{Cache, Origin};
use super::speech::{hello_reply, to_resp3, Speech};
use super::{listeners, lock, Clock};
use resp::{Command, CommandParser, MemoryBudget, MAX_BUFFERED_VALUE_BYTES};
use std::cell::Cell;
use std::collections::{HashMap, VecDeque};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::{mpsc, watch, Notify, Semaphore};
use tokio::task::{spawn_local, JoinSet};

/// Configuration of a box.
#[derive(Clone, Debug)]
pub struct BoxConfig {
    /// Name in discovery.
    pub name: String,
    /// Zone number.
    pub zone: usize,
    /// Number of requests processed concurrently.
    pub cores: usize,
    /// Relative speed; the processing time of a request is divided by it.
    pub speed: f64,
    /// Processing time of a read and of a write at speed 1.
    pub work: [Duration; 2],
    /// Maximum number of waiting or active requests; further ones are rejected.
    pub queue: usize,
    /// Maximum number of connections; commands on further ones are rejected.
    pub connections: usize,
    /// Processing time of a new connection at speed 1.
    pub handshake: Duration,
    /// Slow start: the initial fraction of the speed, and the time until full speed. `None` for a box that starts warm.
    pub cold: Option<(f64, Duration)>,
    /// A box in slow start fails, until its process is restarted, when it receives more than this multiple of its
    /// capacity over this period.
    pub fall: (f64, Duration),
    /// Idle time after which a connection is closed.
    pub idle: Duration,
    /// Behaviour on `HELLO 3`.
    pub speech: Speech,
    /// Additional listeners; in discovery, IPv6 addresses come first and Unix-domain sockets last.
    pub doors: Vec<Entrance>,
    /// Probability of a push message at each position of a RESP3 reply where one may occur.
    pub pushes: f64,
}

impl BoxConfig {
    /// A warm box of typical size. Processing times are a tenth of those of real boxes, which keeps tests short.
    pub fn new(name: &str) -> Self {
        BoxConfig {
            name: name.to_owned(),
            zone: 0,
            cores: 1,
            speed: 1.0,
            work: [Duration::from_millis(5), Duration::from_millis(6)],
            queue: 64,
            connections: 32,
            handshake: Duration::from_millis(1),
            cold: None,
            fall: (3.0, Duration::from_secs(1)),
            idle: Duration::from_secs(5),
            speech: Speech::Two,
            doors: Vec::new(),
            pushes: 0.0,
        }
    }
}

/// A request that a box received.
#[derive(Clone, Debug)]
pub struct Seen {
    /// When its last byte was received.
    pub at: Duration,
    /// Request id.
    pub id: String,
    /// Requested key.
    pub key: u64,
    /// Idempotency key of a write; `None` for a read.
    pub write: Option<String>,
    /// How long the proxy said that it waits for the answer.
    pub told: Duration,
    /// Listener that received it: 0 for that of the client's zone, then the additional ones from 1.
    pub door: usize,
    /// When its reply was ready, and the result: `hit`, `miss`, `pending`, `-BUSY`, ... `None` for a request that was
    /// cancelled or never answered.
    pub answer: Option<(Duration, &'static str)>,
}

#[derive(Debug, Default)]
struct Faults {
    /// Requests are accepted and not answered.
    silent: bool,
    /// New requests are rejected.
    draining: bool,
    /// The process is down.
    down: bool,
    /// Overload during slow start has ended the process; it stays down until a restart.
    fallen: bool,
    /// Probabilities that a reply is replaced by a reset, and that it is malformed.
    reset: f64,
    spoilt: f64,
    /// Overrides the configured behaviour on `HELLO 3`.
    speech: Option<Speech>,
}

/// A cache box.
#[derive(Debug)]
pub struct CacheBox {
    /// Configuration.
    pub config: BoxConfig,
    /// Listen addresses, one for the clients of each zone.
    pub addresses: Vec<SocketAddr>,
    /// Additional listeners.
    pub doors: Vec<Arc<Door>>,
    listeners: Mutex<Vec<TcpListener>>,
    clock: Clock,
    origin: Arc<Origin>,
    network: Arc<Network>,
    cache: Cache,
    cores: Semaphore,
    faults: Mutex<Faults>,
    /// Counts changes of `faults`; tasks blocked by a fault re-check it on each change.
    changed: watch::Sender<u64>,
    born: Mutex<Duration>,
    record: Mutex<Vec<Seen>>,
    recent: Mutex<VecDeque<Duration>>,
    rng: Mutex<fastrand::Rng>,
    /// Number of waiting or active requests, and of connections.
    load: Mutex<(usize, usize)>,
    opened: AtomicUsize,
    /// Fetches in progress by key; further requests for the key wait for them.
    fetching: Mutex<HashMap<u64, Arc<Notify>>>,
}

/// Returns the value of a key at a version.
pub fn value(key: u64, version: u64) -> String {
    format!("{key:016x}:{version}")
}

fn encode_value(value: &str, note: Option<&str>) -> Vec<u8> {
    let note = note.map_or("$-1".into(), |n| format!("${}\r\n{n}", n.len()));
    format!("*3\r\n${}\r\n{value}\r\n{note}\r\n$-1\r\n", value.len()).into_bytes()
}

const BUSY: &[u8] = b"-BUSY\r\n";

impl CacheBox {
    pub(super) fn new(
        config: BoxConfig,
        clock: Clock,
        origin: Arc<Origin>,
        network: Arc<Network>,
        seed: u64,
    ) -> Self {
        let (listeners, addresses) = listeners(network.zones());
        CacheBox {
            addresses,
            listeners: Mutex::new(listeners),
            doors: config.doors.iter().map(|e| Arc::new(Door::new(*e))).collect(),
            cores: Semaphore::new(config.cores),
            clock,
            origin,
            network,
            cache: Cache::default(),
            faults: Mutex::default(),
            changed: watch::Sender::new(0),
            born: Mutex::new(clock.now()),
            record: Mutex::default(),
            recent: Mutex::default(),
            rng: Mutex::new(fastrand::Rng::with_seed(seed)),
            load: Mutex::default(),
            opened: AtomicUsize::new(0),
            fetching: Mutex::default(),
            config,
        }
    }

    // ---- control and records for tests ----

    /// Returns all received requests in order of arrival.
    pub fn record(&self) -> Vec<Seen> {
        lock(&self.record).clone()
    }

    /// Accepts requests without answering while `silent`.
    pub fn silent(&self, silent: bool) {
        self.fault(|f| f.silent = silent);
    }

    /// Rejects new requests while `draining`, like a process that is shutting down.
    pub fn draining(&self, draining: bool) {
        self.fault(|f| f.draining = draining);
    }

    /// Stops the process, or starts it again with an empty cache.
    pub fn down(&self, down: bool) {
        if !down {
            lock(&self.cache).clear();
            *lock(&self.born) = self.clock.now();
        }
        self.fault(|f| (f.down, f.fallen) = (down, f.fallen && down));
    }

    /// Sets the probability that the connection is reset instead of a reply.
    pub fn resets(&self, part: f64) {
        self.fault(|f| f.reset = part);
    }

    /// Sets the probability that a reply is malformed.
    pub fn spoils(&self, part: f64) {
        self.fault(|f| f.spoilt = part);
    }

    /// Sets the behaviour on `HELLO 3` for new connections.
    pub fn speaks(&self, speech: Speech) {
        self.fault(|f| f.speech = Some(speech));
    }

    /// Returns all addresses for clients of a zone in order of preference; `None` if there is only one.
    pub fn dials(&self, zone: usize) -> Option<Vec<String>> {
        let (six, unix): (Vec<_>, Vec<_>) = self.doors.iter().partition(|d| d.entrance == Entrance::Six);
        let all = six.iter().map(|d| d.address.clone()).chain([self.addresses[zone].to_string()]);
        let all = all.chain(unix.iter().map(|d| d.address.clone())).collect();
        (!self.doors.is_empty()).then_some(all)
    }

    /// Returns true if overload during slow start has ended the process.
    pub fn fallen(&self) -> bool {
        lock(&self.faults).fallen
    }

    /// Time of the last start of the process.
    pub fn born(&self) -> Duration {
        *lock(&self.born)
    }

    /// Total number of accepted connections.
    pub fn opened(&self) -> usize {
        self.opened.load(Ordering::Relaxed)
    }

    /// Number of open connections.
    pub fn connections(&self) -> usize {
        lock(&self.load).1
    }

    pub(super) fn cache(&self) -> Cache {
        self.cache.clone()
    }

    fn fault(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut lock(&self.faults));
        self.changed.send_modify(|n| *n += 1);
    }

    fn is_down(&self) -> bool {
        let faults = lock(&self.faults);
        faults.down || faults.fallen
    }

    // ---- serving ----

    /// Current fraction of the full speed.
    fn warm_up_fraction(&self) -> f64 {
        let Some((from, warm)) = self.config.cold else { return 1.0 };
        let age = self.clock.now().saturating_sub(self.born()).as_secs_f64();
        (from + (1.0 - from) * age / warm.as_secs_f64()).min(1.0)
    }

    pub(super) fn serve(self: Arc<Self>) {
        for (zone, listener) in std::mem::take(&mut *lock(&self.listeners)).into_iter().enumerate() {
            let this = self.clone();
            spawn_local(async move {
                let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
                while let Ok((stream, _)) = listener.accept().await {
                    let _ = stream.set_nodelay(true);
                    this.clone().handle_connection(stream, zone, 0);
                }
            });
        }
        for (i, door) in self.doors.iter().enumerate() {
            door.clone().serve(self.clone(), i + 1);
        }
    }

    /// Serves a new connection from listener number `door`.
    pub(super) fn handle_connection<S: Stream>(self: Arc<Self>, stream: S, zone: usize, door: usize) {
        if self.is_down() {
            // Like the kernel of a machine on which no process listens.
            stream.reset();
            return;
        }
        spawn_local(async move {
            lock(&self.load).1 += 1;
            self.opened.fetch_add(1, Ordering::Relaxed);
            let mut changed = self.changed.subscribe();
            let gone = async { while !self.is_down() && changed.changed().await.is_ok() {} };
            tokio::select! {
                () = self.connection(stream, zone, door) => {}
                () = gone => {}
            }
            lock(&self.load).1 -= 1;
        });
    }

    async fn connection<S: Stream>(self: &Arc<Self>, mut stream: S, zone: usize, door: usize) {
        let own_zone = self.config.zone;
        self.network.whole(zone, own_zone).await;
        let crowded = lock(&self.load).1 > self.config.connections;
        if !crowded {
            self.work(self.config.handshake).await;
        }
        let broken = Rc::new(Cell::new(false));
        let speech = lock(&self.faults).speech.unwrap_or(self.config.speech);
        let mut three = false;
        let (answers, mut ready) = mpsc::unbounded_channel();
        let mut requests = JoinSet::new();
        let mut parser = CommandParser::new(MemoryBudget::new(64 * MAX_BUFFERED_VALUE_BYTES));
        let mut buffer = vec![0; 16 << 10];
        let delay = self.network.distance(zone, own_zone);
        let (mut input, mut output) = tokio::io::split(&mut stream);
        let manner = door.checked_sub(1).and_then(|i| self.doors.get(i));
        let reading = async {
            loop {
                if let Some(door) = manner {
                    door.wait_while(|m| m == ListenerFault::Stuck).await;
                }
                let read = tokio::time::timeout(self.config.idle, input.read(&mut buffer)).await;
                let n = match read {
                    Ok(Ok(n)) if n > 0 => n,
                    // An idle connection is closed unless requests are in progress.
                    Err(_) if !requests.is_empty() => {
                        while requests.try_join_next().is_some() {}
                        continue;
                    }
                    _ => return,
                };
                self.network.whole(zone, own_zone).await;
                if manner.is_some_and(|d| d.manner() == ListenerFault::Deaf) {
                    continue;
                }
                let mut unparsed = &buffer[..n];
                while !unparsed.is_empty() {
                    let Ok((used, command)) = parser.feed(unparsed) else { return };
                    unparsed = &unparsed[used..];
                    let Some(command) = command else { continue };
                    let is_hello = command.arg(0).eq_ignore_ascii_case(b"HELLO") && command.arg(1) == b"3";
                    if is_hello && speech == Speech::Closes {
                        return;
                    }
                    three |= is_hello && speech == Speech::Three;
                    let (done, answer) = tokio::sync::oneshot::channel();
                    let _ = answers.send(answer);
                    let (this, broken) = (self.clone(), broken.clone());
                    requests.spawn_local(async move {
                        tokio::time::sleep(delay).await;
                        let answer = match (crowded, is_hello && three) {
                            (true, _) => BUSY.to_vec(),
                            (false, true) => hello_reply(),
                            (false, false) => this.answer(command, &broken, door).await,
                        };
                        let answer = if three && !is_hello {
                            to_resp3(answer, this.config.pushes, &mut lock(&this.rng))
                        } else {
                            answer
                        };
                        let _ = done.send((tokio::time::Instant::now() + delay, answer));
                    });
                }
            }
        };
        let writing = async {
            while let Some(answer) = ready.recv().await {
                let Ok((due, answer)) = answer.await else { return };
                tokio::time::sleep_until(due).await;
                self.network.whole(own_zone, zone).await;
                if let Some(door) = manner {
                    door.wait_while(|m| m == ListenerFault::Mute).await;
                }
                if broken.get() || output.write_all(&answer).await.is_err() {
                    return;
                }
            }
        };
        tokio::select! {
            () = reading => {}
            () = writing => {}
        }
        // Requests in progress are cancelled with their connection.
        requests.abort_all();
        drop((input, output));
        if broken.get() {
            stream.reset();
        }
    }

    /// Waits for a core and occupies it for the processing time `work`.
    async fn work(&self, work: Duration) {
        let core = self.cores.acquire().await;
        tokio::time::sleep(work.div_f64(self.config.speed * self.warm_up_fraction())).await;
        drop(core);
    }

    async fn answer(&self, command: Command, broken: &Cell<bool>, door: usize) -> Vec<u8> {
        let name = command.arg(0).to_ascii_uppercase();
        match (&name[..], command.arity()) {
            (b"CACHE.GET", 4) | (b"CACHE.SET", 5) => {}
            (b"PING", _) => return b"+PONG\r\n".to_vec(),
            (b"CLIENT" | b"SELECT", _) => return b"+OK\r\n".to_vec(),
            (b"INFO", _) => return b"-NOPERM\r\n".to_vec(),
            (b"CACHE.GET" | b"CACHE.SET", _) => return b"-SYNTAX\r\n".to_vec(),
            _ => return b"-ERR unknown command\r\n".to_vec(),
        }
        let text = |i: usize| String::from_utf8_lossy(command.arg(i)).into_owned();
        let Ok(key) = u64::from_str_radix(&text(1), 16) else { return b"-SYNTAX\r\n".to_vec() };
        let write = name == b"CACHE.SET";
        let fields = text(3);
        let field = |name: &str| fields.split(',').find_map(|f| f.strip_prefix(name)).map(str::to_owned);
        let idempotency = write.then(|| field("k=").unwrap_or_default());
        let at = self.clock.now();
        let told_ms = field("d=").and_then(|ms| ms.parse().ok()).unwrap_or(0);
        let at = self.record_request(Seen {
            at,
            id: text(2),
            key,
            write: idempotency.clone(),
            told: Duration::from_millis(told_ms),
            door,
            answer: None,
        });
        let (word, answer) = self.execute(key, write, idempotency).await;
        let (reset, spoilt) = {
            let (faults, mut rng) = (lock(&self.faults), lock(&self.rng));
            (rng.f64() < faults.reset, rng.f64() < faults.spoilt)
        };
        broken.set(broken.get() || reset);
        let word = if reset {
            "reset"
        } else if spoilt {
            "spoilt"
        } else {
            word
        };
        lock(&self.record)[at].answer = Some((self.clock.now(), word));
        if spoilt {
            return b"*3\r\n$16\r\nnot".iter().chain(b":a number\r\n$x\r\n").copied().collect();
        }
        answer
    }

    fn record_request(&self, seen: Seen) -> usize {
        let mut record = lock(&self.record);
        record.push(seen);
        record.len() - 1
    }

    async fn execute(&self, key: u64, write: bool, idempotency: Option<String>) -> (&'static str, Vec<u8>) {
        let mut changed = self.changed.subscribe();
        while lock(&self.faults).silent {
            let _ = changed.changed().await;
        }
        if self.record_and_check_overload() {
            std::future::pending::<()>().await;
        }
        if lock(&self.faults).draining {
            return ("-BUSY", BUSY.to_vec());
        }
        let waiting = WaitingRequest::new(&self.load);
        if lock(&self.load).0 > self.config.queue {
            return ("-BUSY", BUSY.to_vec());
        }
        self.work(self.config.work[usize::from(write)]).await;
        drop(waiting);
        if write {
            let done = self.origin.write(key, &idempotency.unwrap_or_default()).await;
            return match done {
                Some(version) => ("written", encode_value(&value(key, version), None)),
                None => ("-ERR", b"-ERR failed\r\n".to_vec()),
            };
        }
        let mut word = "hit";
        loop {
            if let Some(version) = lock(&self.cache).get(&key) {
                return (word, encode_value(&value(key, *version), Some(word)));
            }
            let other = lock(&self.fetching).get(&key).cloned();
            let Some(other) = other else { break };
            // A cancelled or failed fetch leaves no cache entry; the next waiting request fetches again.
            other.notified().await;
            word = "pending";
        }
        let done = FetchInProgress::new(&self.fetching, key);
        let version = self.origin.fetch(key).await;
        drop(done);
        match version {
            Some(version) => {
                lock(&self.cache).insert(key, version);
                ("miss", encode_value(&value(key, version), Some("miss")))
            }
            None => ("-ERR", b"-ERR failed\r\n".to_vec()),
        }
    }

    /// Records a request; returns true if the box is down from overload during slow start.
    fn record_and_check_overload(&self) -> bool {
        let (multiple, span) = self.config.fall;
        let now = self.clock.now();
        let mut recent = lock(&self.recent);
        recent.push_back(now);
        while recent.front().is_some_and(|at| *at + span < now) {
            recent.pop_front();
        }
        let warm_up_fraction = self.warm_up_fraction();
        if warm_up_fraction >= 1.0 {
            return self.fallen();
        }
        let rate = self.config.cores as f64 * self.config.speed * warm_up_fraction
            / self.config.work[0].as_secs_f64();
        if recent.len() as f64 > multiple * rate * span.as_secs_f64() {
            drop(recent);
            self.fault(|f| f.fallen = true);
        }
        self.fallen()
    }
}

/// Counts a waiting or active request until it is dropped.
struct WaitingRequest<'a>(&'a Mutex<(usize, usize)>);

impl<'a> WaitingRequest<'a> {
    fn new(load: &'a Mutex<(usize, usize)>) -> Self {
        lock(load).0 += 1;
        WaitingRequest(load)
    }
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        lock(self.0).0 -= 1;
    }
}

/// A fetch in progress; requests waiting for it are notified when it ends, also when it is cancelled.
struct FetchInProgress<'a>(&'a Mutex<HashMap<u64, Arc<Notify>>>, u64);

impl<'a> FetchInProgress<'a> {
    fn new(fetching: &'a Mutex<HashMap<u64, Arc<Notify>>>, key: u64) -> Self {
        lock(fetching).insert(key, Arc::default());
        FetchInProgress(fetching, key)
    }
}

impl Drop for FetchInProgress<'_> {
    fn drop(&mut self) {
        if let Some(waiting) = lock(self.0).remove(&self.1) {
            waiting.notify_waiters();
        }
    }
}
