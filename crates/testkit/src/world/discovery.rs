//! Discovery: the whole list, or a watch on changes, over HTTP/1.1. Each proxy has an address of its own there, so
//! that the record says which one was told what.

use super::boxes::CacheBox;
use super::{listeners, lock, Clock};
use serde_json::{json, Value};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::spawn_local;

/// What discovery says of a box.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It takes work.
    Up,
    /// It finishes what it has.
    Draining,
    /// It is gone.
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

/// How discovery behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// It answers.
    Well,
    /// It answers 503, and ends watches so.
    Unavailable,
    /// It resets connections.
    Down,
    /// It takes calls and says nothing.
    Silent,
}

/// An answer that a proxy was given.
#[derive(Clone, Debug)]
pub struct Told {
    /// When it was written.
    pub at: Duration,
    /// To which proxy.
    pub proxy: usize,
    /// The list's version.
    pub version: u64,
    /// The boxes in it and what was said of each.
    pub hosts: Vec<(String, Health)>,
}

#[derive(Debug)]
struct Entry {
    name: String,
    addresses: Vec<SocketAddr>,
    /// All of them for each zone, where there are several.
    dials: Vec<Option<Vec<String>>>,
    zone: String,
    health: Health,
    born_ms: u64,
    /// The version that changed it last.
    version: u64,
}

/// Discovery.
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
    told: Mutex<Vec<Told>>,
}

impl Discovery {
    pub(super) fn new(clock: Clock, proxies: usize, zones: Vec<String>, lag: Duration) -> Self {
        let (listeners, addresses) = listeners(proxies.max(1));
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
        }
    }

    /// Where a proxy asks.
    pub fn address(&self, proxy: usize) -> SocketAddr {
        self.addresses[proxy % self.addresses.len()]
    }

    /// How it behaves from now on.
    pub fn mode(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    /// All answers that were given.
    pub fn told(&self) -> Vec<Told> {
        lock(&self.told).clone()
    }

    /// When a proxy was first told this of a box.
    pub fn told_of(&self, proxy: usize, name: &str, health: Health) -> Option<Duration> {
        let told = lock(&self.told);
        let fits = |t: &&Told| t.proxy == proxy && t.hosts.iter().any(|(n, h)| n == name && *h == health);
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

    /// Changes what it says of a box, at once; [`Discovery::changes`] waits for the lag first.
    pub fn set(&self, name: &str, health: Health) {
        let mut entries = lock(&self.entries);
        let version = *self.version.borrow() + 1;
        if let Some(entry) = entries.iter_mut().find(|e| e.name == name) {
            (entry.health, entry.version) = (health, version);
        }
        drop(entries);
        self.version.send_replace(version);
    }

    /// Turns the order of all boxes' addresses round.
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

    /// A box's process started anew.
    pub fn reborn(&self, name: &str) {
        if let Some(entry) = lock(&self.entries).iter_mut().find(|e| e.name == name) {
            entry.born_ms = self.clock.unix_ms();
        }
        self.set(name, Health::Up);
    }

    pub(super) async fn changes(&self, name: &str, health: Health) {
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

    /// The whole list, as a proxy of this zone is told.
    pub fn whole(&self, zone: usize) -> Value {
        let entries = lock(&self.entries);
        let there = entries.iter().filter(|e| e.health != Health::Removed);
        json!({"seq": *self.version.borrow(), "whole": true,
            "hosts": there.map(|e| self.host(e, zone)).collect::<Vec<_>>()})
    }

    fn since(&self, zone: usize, since: u64) -> Value {
        let entries = lock(&self.entries);
        let changed = entries.iter().filter(|e| e.version > since);
        json!({"seq": *self.version.borrow(), "whole": false,
            "hosts": changed.map(|e| self.host(e, zone)).collect::<Vec<_>>()})
    }

    pub(super) fn serve(self: Arc<Self>) {
        for (proxy, listener) in std::mem::take(&mut *lock(&self.listeners)).into_iter().enumerate() {
            let this = self.clone();
            spawn_local(async move {
                let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
                while let Ok((stream, _)) = listener.accept().await {
                    let this = this.clone();
                    spawn_local(async move {
                        let _ = this.call(stream, proxy).await;
                    });
                }
            });
        }
    }

    async fn call(&self, mut stream: TcpStream, proxy: usize) -> std::io::Result<()> {
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
        let sick = |mode: &Mode| *mode != Mode::Well;
        let since = number("since");
        let well = *self.mode.borrow() == Mode::Well;
        if let (Some(since), true) = (since, well) {
            let wait = Duration::from_millis(number("timeout_ms").unwrap_or(0).min(60_000));
            let mut version = self.version.subscribe();
            tokio::select! {
                _ = version.wait_for(|v| *v > since) => {}
                _ = mode.wait_for(sick) => {}
                () = tokio::time::sleep(wait) => {}
            }
        }
        let mode = *self.mode.borrow();
        match mode {
            Mode::Well => {}
            Mode::Unavailable => return respond(&mut stream, "503 Service Unavailable", "").await,
            Mode::Down => {
                let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                return Ok(());
            }
            Mode::Silent => {
                // Until the other side ends the call.
                while stream.read(&mut [0; 64]).await? > 0 {}
                return Ok(());
            }
        }
        let zone = proxy % self.zones.len();
        let now = *self.version.borrow();
        let list = match since {
            Some(since) if since <= now => self.since(zone, since),
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
        lock(&self.told).push(Told { at: self.clock.now(), proxy, version, hosts });
        respond(&mut stream, "200 OK", &list.to_string()).await
    }
}

async fn respond(stream: &mut TcpStream, status: &str, body: &str) -> std::io::Result<()> {
    let length = body.len();
    let head = format!(
        "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n"
    );
    stream.write_all((head + body).as_bytes()).await?;
    stream.shutdown().await
}
