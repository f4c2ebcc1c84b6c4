//! Cache boxes, as the protocol page describes them: read-through, a queue before few cores, a cap on
//! connections, a cold ramp, answers in the order of the commands.

use super::doors::{Door, Entrance, Manner, Stream};
use super::network::Network;
use super::origin::{Cache, Origin};
use super::speech::{dressed, hello, Speech};
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

/// What a box is.
#[derive(Clone, Debug)]
pub struct BoxConfig {
    /// Its name in discovery.
    pub name: String,
    /// Its zone, by number.
    pub zone: usize,
    /// Requests that it works on at once.
    pub cores: usize,
    /// Its speed: the work of a request is divided by it.
    pub speed: f64,
    /// The work of a read, and of a write.
    pub work: [Duration; 2],
    /// Requests that wait at once before more are turned away.
    pub queue: usize,
    /// Connections that it takes.
    pub connections: usize,
    /// The work that a new connection costs.
    pub handshake: Duration,
    /// It starts cold: with this part of its speed, and warm after so long.
    pub cold: Option<(f64, Duration)>,
    /// A cold one that is sent more than this multiple of what it can do, for so long, falls for good.
    pub fall: (f64, Duration),
    /// Connections that are idle for so long are closed.
    pub idle: Duration,
    /// What it speaks.
    pub speech: Speech,
    /// Further addresses that it listens at; those over IPv6 stand first in its list, those of Unix last.
    pub doors: Vec<Entrance>,
    /// The part of the places in its answers in RESP3 where a push stands.
    pub pushes: f64,
}

impl BoxConfig {
    /// A warm box of usual size. Its work is a tenth of what the real ones have, so that tests are short.
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

/// A request that came to a box.
#[derive(Clone, Debug)]
pub struct Seen {
    /// When its last byte came.
    pub at: Duration,
    /// The request's id.
    pub id: String,
    /// Its key.
    pub key: u64,
    /// It writes, under this idempotency key.
    pub write: Option<String>,
    /// The address that it came in by: 0 for its zone's, then the further ones.
    pub door: usize,
    /// When its answer was ready, and its first word: `hit`, `miss`, `pending`, `-BUSY`, ... Nothing for one that
    /// was called off, or swallowed.
    pub answer: Option<(Duration, &'static str)>,
}

#[derive(Debug, Default)]
struct Faults {
    /// It takes requests and answers none.
    silent: bool,
    /// It turns new requests away.
    draining: bool,
    /// Its process is gone.
    down: bool,
    /// It fell over, and stays down.
    fallen: bool,
    /// Parts of the answers that are reset, and that are spoilt.
    reset: f64,
    spoilt: f64,
    /// It speaks this instead of what it was made for.
    speech: Option<Speech>,
}

/// A box.
#[derive(Debug)]
pub struct CacheBox {
    /// What it is.
    pub config: BoxConfig,
    /// Where it listens, one address for the clients of each zone.
    pub addresses: Vec<SocketAddr>,
    /// Its further addresses.
    pub doors: Vec<Arc<Door>>,
    listeners: Mutex<Vec<TcpListener>>,
    clock: Clock,
    origin: Arc<Origin>,
    network: Arc<Network>,
    cache: Cache,
    cores: Semaphore,
    faults: Mutex<Faults>,
    /// Counts the changes of its faults; who is stuck in one looks again.
    changed: watch::Sender<u64>,
    born: Mutex<Duration>,
    record: Mutex<Vec<Seen>>,
    recent: Mutex<VecDeque<Duration>>,
    rng: Mutex<fastrand::Rng>,
    /// Waiting requests, and connections.
    load: Mutex<(usize, usize)>,
    opened: AtomicUsize,
    /// Fetches that are out, for those that want the same key.
    fetching: Mutex<HashMap<u64, Arc<Notify>>>,
}

/// A value of a key in a version.
pub fn value(key: u64, version: u64) -> String {
    format!("{key:016x}:{version}")
}

fn served(value: &str, note: Option<&str>) -> Vec<u8> {
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

    // ---- what a test may ask and do ----

    /// All requests that came, in their order.
    pub fn record(&self) -> Vec<Seen> {
        lock(&self.record).clone()
    }

    /// It takes requests and answers none.
    pub fn silent(&self, silent: bool) {
        self.fault(|f| f.silent = silent);
    }

    /// It turns new requests away, as a process does that is about to end.
    pub fn draining(&self, draining: bool) {
        self.fault(|f| f.draining = draining);
    }

    /// Its process ends, or starts again with nothing cached.
    pub fn down(&self, down: bool) {
        if !down {
            lock(&self.cache).clear();
            *lock(&self.born) = self.clock.now();
        }
        self.fault(|f| (f.down, f.fallen) = (down, f.fallen && down));
    }

    /// The part of its answers that are reset instead.
    pub fn resets(&self, part: f64) {
        self.fault(|f| f.reset = part);
    }

    /// The part of its answers that can't be read.
    pub fn spoils(&self, part: f64) {
        self.fault(|f| f.spoilt = part);
    }

    /// Its next process speaks this.
    pub fn speaks(&self, speech: Speech) {
        self.fault(|f| f.speech = Some(speech));
    }

    /// All its addresses for clients of a zone, in their order; nothing where it has but one.
    pub fn dials(&self, zone: usize) -> Option<Vec<String>> {
        let (six, unix): (Vec<_>, Vec<_>) = self.doors.iter().partition(|d| d.entrance == Entrance::Six);
        let all = six.iter().map(|d| d.address.clone()).chain([self.addresses[zone].to_string()]);
        let all = all.chain(unix.iter().map(|d| d.address.clone())).collect();
        (!self.doors.is_empty()).then_some(all)
    }

    /// It was pushed over.
    pub fn fallen(&self) -> bool {
        lock(&self.faults).fallen
    }

    /// When its process started last.
    pub fn born(&self) -> Duration {
        *lock(&self.born)
    }

    /// How many connections there ever were.
    pub fn opened(&self) -> usize {
        self.opened.load(Ordering::Relaxed)
    }

    /// How many connections it has.
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

    fn gone(&self) -> bool {
        let faults = lock(&self.faults);
        faults.down || faults.fallen
    }

    // ---- its life ----

    /// The part of its speed that it has now.
    fn warmth(&self) -> f64 {
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
                    this.clone().came(stream, zone, 0);
                }
            });
        }
        for (i, door) in self.doors.iter().enumerate() {
            door.clone().serve(self.clone(), i + 1);
        }
    }

    /// A connection has come, by the door of this number.
    pub(super) fn came<S: Stream>(self: Arc<Self>, stream: S, zone: usize, door: usize) {
        if self.gone() {
            // As the kernel of a machine answers where no process listens.
            stream.reset();
            return;
        }
        spawn_local(async move {
            lock(&self.load).1 += 1;
            self.opened.fetch_add(1, Ordering::Relaxed);
            let mut changed = self.changed.subscribe();
            let gone = async { while !self.gone() && changed.changed().await.is_ok() {} };
            tokio::select! {
                () = self.connection(stream, zone, door) => {}
                () = gone => {}
            }
            lock(&self.load).1 -= 1;
        });
    }

    async fn connection<S: Stream>(self: &Arc<Self>, mut stream: S, zone: usize, door: usize) {
        let home = self.config.zone;
        self.network.whole(zone, home).await;
        let crowded = lock(&self.load).1 > self.config.connections;
        if !crowded {
            self.work(self.config.handshake).await;
        }
        let broken = Rc::new(Cell::new(false));
        let speech = lock(&self.faults).speech.unwrap_or(self.config.speech);
        let mut three = false;
        let (answers, mut ready) = mpsc::unbounded_channel();
        let mut works = JoinSet::new();
        let mut parser = CommandParser::new(MemoryBudget::new(64 * MAX_BUFFERED_VALUE_BYTES));
        let mut buffer = vec![0; 16 << 10];
        let way = self.network.distance(zone, home);
        let (mut input, mut output) = tokio::io::split(&mut stream);
        let manner = door.checked_sub(1).and_then(|i| self.doors.get(i));
        let reading = async {
            loop {
                if let Some(door) = manner {
                    door.while_it(|m| m == Manner::Stuck).await;
                }
                let read = tokio::time::timeout(self.config.idle, input.read(&mut buffer)).await;
                let n = match read {
                    Ok(Ok(n)) if n > 0 => n,
                    // Idle: closed unless it is at work.
                    Err(_) if !works.is_empty() => {
                        while works.try_join_next().is_some() {}
                        continue;
                    }
                    _ => return,
                };
                self.network.whole(zone, home).await;
                if manner.is_some_and(|d| d.manner() == Manner::Deaf) {
                    continue;
                }
                let mut piece = &buffer[..n];
                while !piece.is_empty() {
                    let Ok((used, command)) = parser.feed(piece) else { return };
                    piece = &piece[used..];
                    let Some(command) = command else { continue };
                    let greeted = command.arg(0).eq_ignore_ascii_case(b"HELLO") && command.arg(1) == b"3";
                    if greeted && speech == Speech::Closes {
                        return;
                    }
                    three |= greeted && speech == Speech::Three;
                    let (done, answer) = tokio::sync::oneshot::channel();
                    let _ = answers.send(answer);
                    let (this, broken) = (self.clone(), broken.clone());
                    works.spawn_local(async move {
                        tokio::time::sleep(way).await;
                        let answer = match (crowded, greeted && three) {
                            (true, _) => BUSY.to_vec(),
                            (false, true) => hello(),
                            (false, false) => this.answer(command, &broken, door).await,
                        };
                        let answer = if three && !greeted {
                            dressed(answer, this.config.pushes, &mut lock(&this.rng))
                        } else {
                            answer
                        };
                        let _ = done.send((tokio::time::Instant::now() + way, answer));
                    });
                }
            }
        };
        let writing = async {
            while let Some(answer) = ready.recv().await {
                let Ok((due, answer)) = answer.await else { return };
                tokio::time::sleep_until(due).await;
                self.network.whole(home, zone).await;
                if let Some(door) = manner {
                    door.while_it(|m| m == Manner::Mute).await;
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
        // What it has begun for this connection stops with it.
        works.abort_all();
        drop((input, output));
        if broken.get() {
            stream.reset();
        }
    }

    /// Waits for a core, and works.
    async fn work(&self, work: Duration) {
        let core = self.cores.acquire().await;
        tokio::time::sleep(work.div_f64(self.config.speed * self.warmth())).await;
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
        let keyed = write.then(|| field("k=").unwrap_or_default());
        let at = self.clock.now();
        let at = self.record_one(Seen { at, id: text(2), key, write: keyed.clone(), door, answer: None });
        let (word, answer) = self.outcome(key, write, keyed).await;
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

    fn record_one(&self, seen: Seen) -> usize {
        let mut record = lock(&self.record);
        record.push(seen);
        record.len() - 1
    }

    async fn outcome(&self, key: u64, write: bool, idempotency: Option<String>) -> (&'static str, Vec<u8>) {
        let mut changed = self.changed.subscribe();
        while lock(&self.faults).silent {
            let _ = changed.changed().await;
        }
        if self.pushed_over() {
            std::future::pending::<()>().await;
        }
        if lock(&self.faults).draining {
            return ("-BUSY", BUSY.to_vec());
        }
        let waiting = Waiting::new(&self.load);
        if lock(&self.load).0 > self.config.queue {
            return ("-BUSY", BUSY.to_vec());
        }
        self.work(self.config.work[usize::from(write)]).await;
        drop(waiting);
        if write {
            let done = self.origin.write(key, &idempotency.unwrap_or_default()).await;
            return match done {
                Some(version) => ("written", served(&value(key, version), None)),
                None => ("-ERR", b"-ERR failed\r\n".to_vec()),
            };
        }
        let mut word = "hit";
        loop {
            if let Some(version) = lock(&self.cache).get(&key) {
                return (word, served(&value(key, *version), Some(word)));
            }
            let other = lock(&self.fetching).get(&key).cloned();
            let Some(other) = other else { break };
            // One that is called off, or fails, leaves nothing: the next in turn fetches.
            other.notified().await;
            word = "pending";
        }
        let done = Fetching::new(&self.fetching, key);
        let version = self.origin.fetch(key).await;
        drop(done);
        match version {
            Some(version) => {
                lock(&self.cache).insert(key, version);
                ("miss", served(&value(key, version), Some("miss")))
            }
            None => ("-ERR", b"-ERR failed\r\n".to_vec()),
        }
    }

    /// Takes note of a request; true if it was one too many for a cold box.
    fn pushed_over(&self) -> bool {
        let (multiple, span) = self.config.fall;
        let now = self.clock.now();
        let mut recent = lock(&self.recent);
        recent.push_back(now);
        while recent.front().is_some_and(|at| *at + span < now) {
            recent.pop_front();
        }
        let warmth = self.warmth();
        if warmth >= 1.0 {
            return self.fallen();
        }
        let rate = self.config.cores as f64 * self.config.speed * warmth / self.config.work[0].as_secs_f64();
        if recent.len() as f64 > multiple * rate * span.as_secs_f64() {
            drop(recent);
            self.fault(|f| f.fallen = true);
        }
        self.fallen()
    }
}

/// A request that waits or is worked on.
struct Waiting<'a>(&'a Mutex<(usize, usize)>);

impl<'a> Waiting<'a> {
    fn new(load: &'a Mutex<(usize, usize)>) -> Self {
        lock(load).0 += 1;
        Waiting(load)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        lock(self.0).0 -= 1;
    }
}

/// A fetch that is out; who waits for it is told when it ends, also where it is called off.
struct Fetching<'a>(&'a Mutex<HashMap<u64, Arc<Notify>>>, u64);

impl<'a> Fetching<'a> {
    fn new(fetching: &'a Mutex<HashMap<u64, Arc<Notify>>>, key: u64) -> Self {
        lock(fetching).insert(key, Arc::default());
        Fetching(fetching, key)
    }
}

impl Drop for Fetching<'_> {
    fn drop(&mut self) {
        if let Some(waiting) = lock(self.0).remove(&self.1) {
            waiting.notify_waiters();
        }
    }
}
