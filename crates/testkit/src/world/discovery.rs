//! Discovery over HTTP/1.1: the whole list, or a long poll for changes. Each proxy has its own listen address, so that
//! the record shows which proxy received which list.

use super::boxes::CacheBox;
use super::{listeners, lock, Clock};
use serde_json::{json, Value};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::spawn_local;

/// State of a box in discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// The box accepts requests.
    Up,
    /// The box finishes its open requests and accepts no new ones.
    Draining,
    /// The box is removed.
    Removed,
}

impl Health {
    fn word(self) -> &'static str {
        match self {
            Health::Up => "up",
            Health::Draining => "draining",
            Health::Removed => "removed",
        }
    }
}

/// Fault mode of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// No fault.
    Well,
    /// Answers 503, also to waiting long polls.
    Unavailable,
    /// Resets connections.
    Down,
    /// Accepts requests and does not answer.
    Silent,
    /// Two of three answers that tell of a change are written and lost: the connection is reset.
    LosesAnswers,
}

impl Mode {
    /// Whether calls get no answer with a list.
    fn fails_calls(self) -> bool {
        !matches!(self, Mode::Well | Mode::LosesAnswers)
    }
}

/// A state of a box, and when it was published.
#[derive(Clone, Debug)]
pub struct Published {
    /// When it was published.
    pub at: Duration,
    /// Name of the box.
    pub name: String,
    /// The state.
    pub health: Health,
}

/// A list that was sent to a proxy.
#[derive(Clone, Debug)]
pub struct SentList {
    /// When it was sent.
    pub at: Duration,
    /// Number of the proxy.
    pub proxy: usize,
    /// Version of the list.
    pub version: u64,
    /// Names and states of the boxes in the list.
    pub hosts: Vec<(String, Health)>,
}

#[derive(Debug)]
struct Entry {
    name: String,
    addresses: Vec<SocketAddr>,
    /// All addresses for each zone; `None` if there is only one.
    dials: Vec<Option<Vec<String>>>,
    zone: String,
    health: Health,
    born_ms: u64,
    /// Version of the last change of this entry.
    version: u64,
}

/// The discovery service.
#[derive(Debug)]
pub struct Discovery {
    clock: Clock,
    zones: Vec<String>,
    lag: Duration,
    addresses: Vec<SocketAddr>,
    listeners: Mutex<Vec<TcpListener>>,
    entries: Mutex<Vec<Entry>>,
    version: watch::Sender<u64>,
    mode: watch::Sender<Mode>,
    told: Mutex<Vec<SentList>>,
    published: Mutex<Vec<Published>>,
    /// When each proxy was told of its second address; the first one resets connections from then on.
    moved_at: Mutex<Vec<Option<Duration>>>,
    /// Answers with changes of each proxy, of which two of three are lost in [`Mode::LosesAnswers`].
    answers_with_changes: Vec<AtomicU32>,
    /// The modes that were set, in order.
    modes: Mutex<Vec<(Duration, Mode)>>,
}

impl Discovery {
    pub(super) fn new(clock: Clock, proxies: usize, zones: Vec<String>, lag: Duration) -> Self {
        let proxies = proxies.max(1);
        // Each proxy has a second address, to which it may be moved.
        let (listeners, addresses) = listeners(2 * proxies);
        Discovery {
            clock,
            zones,
            lag,
            addresses,
            listeners: Mutex::new(listeners),
            entries: Mutex::default(),
            version: watch::Sender::new(1),
            mode: watch::Sender::new(Mode::Well),
            told: Mutex::default(),
            published: Mutex::default(),
            moved_at: Mutex::new(vec![None; proxies]),
            answers_with_changes: (0..proxies).map(|_| AtomicU32::new(0)).collect(),
            modes: Mutex::default(),
        }
    }

    /// The number of proxies that have an address.
    fn proxies(&self) -> usize {
        self.addresses.len() / 2
    }

    /// Address for proxy number `proxy`: the second one once it has moved.
    pub fn address(&self, proxy: usize) -> SocketAddr {
        let proxy = proxy % self.proxies();
        let has_moved = lock(&self.moved_at)[proxy].is_some();
        self.addresses[proxy + if has_moved { self.proxies() } else { 0 }]
    }

    /// Moves a proxy to its second address, of which it has to be told.
    pub fn move_proxy(&self, proxy: usize) {
        lock(&self.moved_at)[proxy].get_or_insert(self.clock.now());
    }

    /// When a proxy was moved.
    pub fn moved_at(&self, proxy: usize) -> Option<Duration> {
        lock(&self.moved_at).get(proxy).copied().flatten()
    }

    /// All states that were published, in order.
    pub fn published(&self) -> Vec<Published> {
        lock(&self.published).clone()
    }

    /// Sets the fault mode.
    pub fn mode(&self, mode: Mode) {
        lock(&self.modes).push((self.clock.now(), mode));
        self.mode.send_replace(mode);
    }

    /// Whether it answered calls all the time from one moment to another.
    pub fn was_reachable(&self, from: Duration, until: Duration) -> bool {
        let modes = lock(&self.modes);
        let mut ends = modes.iter().skip(1).map(|(at, _)| *at).chain([Duration::MAX]);
        modes.iter().all(|(at, mode)| {
            let end = ends.next().unwrap_or(Duration::MAX);
            !mode.fails_calls() || end <= from || *at >= until
        })
    }

    /// Returns all lists that were sent.
    pub fn told(&self) -> Vec<SentList> {
        lock(&self.told).clone()
    }

    /// Returns when a proxy was first sent this state of a box.
    pub fn first_sent(&self, proxy: usize, name: &str, health: Health) -> Option<Duration> {
        let told = lock(&self.told);
        let fits = |t: &&SentList| t.proxy == proxy && t.hosts.iter().any(|(n, h)| n == name && *h == health);
        told.iter().find(fits).map(|t| t.at)
    }

    pub(super) fn add(&self, one: &CacheBox, zone: String) {
        let born_ms = if one.config.cold.is_some() { self.clock.unix_ms() } else { 0 };
        let version = *self.version.borrow() + 1;
        lock(&self.entries).push(Entry {
            name: one.config.name.clone(),
            addresses: one.addresses.clone(),
            dials: (0..one.addresses.len()).map(|zone| one.dials(zone)).collect(),
            zone,
            health: Health::Up,
            born_ms,
            version,
        });
        self.version.send_replace(version);
    }

    /// Publishes the state of a box immediately, without the configured lag.
    pub fn set(&self, name: &str, health: Health) {
        let mut entries = lock(&self.entries);
        let version = *self.version.borrow() + 1;
        if let Some(entry) = entries.iter_mut().find(|e| e.name == name) {
            (entry.health, entry.version) = (health, version);
        }
        drop(entries);
        lock(&self.published).push(Published { at: self.clock.now(), name: name.to_owned(), health });
        self.version.send_replace(version);
    }

    /// Reverses the order of the addresses of all boxes.
    pub fn turn_dials(&self) {
        let mut entries = lock(&self.entries);
        let version = *self.version.borrow() + 1;
        for entry in entries.iter_mut() {
            entry.dials.iter_mut().flatten().for_each(|dials| dials.reverse());
            entry.version = version;
        }
        drop(entries);
        self.version.send_replace(version);
    }

    /// Publishes that a box's process has restarted.
    pub fn reborn(&self, name: &str) {
        if let Some(entry) = lock(&self.entries).iter_mut().find(|e| e.name == name) {
            entry.born_ms = self.clock.unix_ms();
        }
        self.set(name, Health::Up);
    }

    /// Publishes the state of a box after the configured lag.
    pub(super) async fn set_after_lag(&self, name: &str, health: Health) {
        tokio::time::sleep(self.lag).await;
        self.set(name, health);
    }

    fn host(&self, e: &Entry, zone: usize) -> Value {
        let mut host = json!({"host": e.name, "dial": e.addresses[zone].to_string(), "site": e.zone,
            "class": "m1", "block": 0, "health": e.health.word(), "share": 1.0, "born_ms": e.born_ms});
        if let Some(Some(dials)) = e.dials.get(zone) {
            host["dials"] = json!(dials);
        }
        host
    }

    /// Returns the whole list for a proxy in this zone.
    pub fn whole(&self, zone: usize) -> Value {
        let entries = lock(&self.entries);
        let there = entries.iter().filter(|e| e.health != Health::Removed);
        json!({"seq": *self.version.borrow(), "whole": true,
            "hosts": there.map(|e| self.host(e, zone)).collect::<Vec<_>>()})
    }

    /// Returns the changes after version `since` for a proxy in this zone.
    fn changes_since(&self, zone: usize, since: u64) -> Value {
        let entries = lock(&self.entries);
        let changed = entries.iter().filter(|e| e.version > since);
        json!({"seq": *self.version.borrow(), "whole": false,
            "hosts": changed.map(|e| self.host(e, zone)).collect::<Vec<_>>()})
    }

    pub(super) fn serve(self: Arc<Self>) {
        for (number, listener) in std::mem::take(&mut *lock(&self.listeners)).into_iter().enumerate() {
            let this = self.clone();
            let (proxy, is_first) = (number % self.proxies(), number < self.proxies());
            spawn_local(async move {
                let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
                while let Ok((stream, _)) = listener.accept().await {
                    let this = this.clone();
                    if is_first && this.moved_at(proxy).is_some() {
                        reset(&stream);
                        continue;
                    }
                    spawn_local(async move {
                        let _ = this.handle_request(stream, proxy).await;
                    });
                }
            });
        }
    }

    async fn handle_request(&self, mut stream: TcpStream, proxy: usize) -> std::io::Result<()> {
        let mut input = Vec::new();
        let target = loop {
            let mut piece = [0; 2048];
            let n = stream.read(&mut piece).await?;
            if n == 0 || input.len() > 16 << 10 {
                return Ok(());
            }
            input.extend_from_slice(&piece[..n]);
            let mut fields = [httparse::EMPTY_HEADER; 32];
            let mut head = httparse::Request::new(&mut fields);
            match head.parse(&input) {
                Ok(httparse::Status::Complete(_)) => break head.path.unwrap_or_default().to_owned(),
                Ok(httparse::Status::Partial) => {}
                Err(_) => return respond(&mut stream, "400 Bad Request", "").await,
            }
        };
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        if path != "/catalog/members" {
            return respond(&mut stream, "404 Not Found", "").await;
        }
        let number = |name: &str| -> Option<u64> {
            query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
        };
        let mut mode = self.mode.subscribe();
        let is_faulty = |mode: &Mode| mode.fails_calls();
        let since = number("since");
        let well = !is_faulty(&self.mode.borrow());
        if let (Some(since), true) = (since, well) {
            let wait = Duration::from_millis(number("timeout_ms").unwrap_or(0).min(60_000));
            let mut version = self.version.subscribe();
            tokio::select! {
                _ = version.wait_for(|v| *v > since) => {}
                _ = mode.wait_for(is_faulty) => {}
                () = tokio::time::sleep(wait) => {}
            }
        }
        let mode = *self.mode.borrow();
        match mode {
            Mode::Well | Mode::LosesAnswers => {}
            Mode::Unavailable => return respond(&mut stream, "503 Service Unavailable", "").await,
            Mode::Down => {
                reset(&stream);
                return Ok(());
            }
            Mode::Silent => {
                // Keeps the connection open until the proxy closes it.
                while stream.read(&mut [0; 64]).await? > 0 {}
                return Ok(());
            }
        }
        let zone = proxy % self.zones.len();
        let now = *self.version.borrow();
        let list = match since {
            Some(since) if since <= now => self.changes_since(zone, since),
            _ => self.whole(zone),
        };
        let health = |h: &Value| match h["health"].as_str() {
            Some("up") => Health::Up,
            Some("draining") => Health::Draining,
            _ => Health::Removed,
        };
        let hosts = list["hosts"].as_array().map(Vec::as_slice).unwrap_or_default();
        let hosts =
            hosts.iter().map(|h| (h["host"].as_str().unwrap_or_default().to_owned(), health(h))).collect();
        let version = list["seq"].as_u64().unwrap_or(0);
        let tells_of_change = list["hosts"].as_array().is_some_and(|hosts| !hosts.is_empty());
        lock(&self.told).push(SentList { at: self.clock.now(), proxy, version, hosts });
        if mode == Mode::LosesAnswers && tells_of_change && self.loses_next(proxy) {
            reset(&stream);
            return Ok(());
        }
        respond(&mut stream, "200 OK", &list.to_string()).await
    }

    /// Whether the next answer with a change to a proxy is lost, in [`Mode::LosesAnswers`].
    fn loses_next(&self, proxy: usize) -> bool {
        const LOST_IN_A_ROW: u32 = 2;
        let before = self.answers_with_changes[proxy].fetch_add(1, Ordering::Relaxed);
        before % (LOST_IN_A_ROW + 1) < LOST_IN_A_ROW
    }
}

/// Has a connection reset when it is closed.
fn reset(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn respond(stream: &mut TcpStream, status: &str, body: &str) -> std::io::Result<()> {
    let length = body.len();
    let head = format!(
        "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n"
    );
    stream.write_all((head + body).as_bytes()).await?;
    stream.shutdown().await
}
