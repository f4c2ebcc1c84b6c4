//! Clients that do not behave: crowds that connect and stay, clients that leave, and ids that come again.

use super::plan::CrowdBehaviour;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use testkit::scripted::encode;
use testkit::world::{Clock, Departure};

/// How long a client waits for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a client tries to write what it sends behind its request.
const WRITE_TIMEOUT: Duration = Duration::from_millis(50);
/// The time that requests of these clients have, in milliseconds.
const DEADLINE_MS: u64 = 700;
/// The bytes that a client of a crowd sends of a long value.
const STOPPED_VALUE_BYTES: usize = 100_000;

/// The requests of clients that have left.
pub type Departures = Arc<Mutex<Vec<Departure>>>;

/// What all hostile clients of a run share.
#[derive(Clone)]
pub struct Arena {
    /// The clock of the records.
    pub clock: Clock,
    /// The addresses of the proxies.
    pub proxies: Vec<SocketAddr>,
    /// Set once the run is over.
    pub is_over: Arc<AtomicBool>,
    /// The requests of clients that have left.
    pub departures: Departures,
}

impl Arena {
    fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }

    fn record_departure(&self, id: String) {
        let departure = Departure { id, at: self.clock.now() };
        self.departures.lock().unwrap_or_else(PoisonError::into_inner).push(departure);
    }

    fn connect(&self, proxy: usize) -> Option<TcpStream> {
        let address = self.proxies.get(proxy)?;
        let stream = TcpStream::connect_timeout(address, CONNECT_TIMEOUT).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_write_timeout(Some(WRITE_TIMEOUT)).ok()?;
        Some(stream)
    }

    /// Waits for about so many seconds in steps, so that the end of the run is noticed.
    fn pause(&self, seconds: f64) {
        std::thread::sleep(Duration::from_secs_f64(seconds.min(1.0)));
    }
}

fn read(key: usize, id: &str) -> Vec<u8> {
    encode(&["CACHE.GET", &format!("{key:016x}"), id, &format!("c=pack-lookup,d={DEADLINE_MS}")])
}

fn write(key: usize, id: &str, idempotency_key: &str) -> Vec<u8> {
    let fields = format!("c=swap-record,d={DEADLINE_MS},k={idempotency_key}");
    encode(&["CACHE.SET", &format!("{key:016x}"), id, &fields, "swapped"])
}

/// Connects a crowd to a proxy, which stays until the run is over.
pub fn crowd(arena: &Arena, proxy: usize, clients: usize, behaviour: CrowdBehaviour, seed: u64) {
    let mut connections = Vec::new();
    for number in 0..clients {
        let Some(mut stream) = arena.connect(proxy) else { continue };
        let _ = stream.set_nonblocking(true);
        let bytes = match behaviour {
            CrowdBehaviour::Idle => Vec::new(),
            CrowdBehaviour::StopInHead => b"*4\r\n$9\r\nCACHE.GET\r\n$16\r\n7f3a9c".to_vec(),
            CrowdBehaviour::StopInValue => {
                let mut bytes =
                    b"*5\r\n$9\r\nCACHE.SET\r\n$1\r\n1\r\n$1\r\na\r\n$23\r\nc=swap-record,d=900,k=5c\r\n"
                        .to_vec();
                bytes.extend_from_slice(b"$1000000\r\n");
                bytes.resize(bytes.len() + STOPPED_VALUE_BYTES, b'v');
                bytes
            }
            CrowdBehaviour::ReadNothing => {
                (0..4).flat_map(|i| read(number * 4 + i, &format!("crowd-{seed:x}-{number}-{i}"))).collect()
            }
        };
        // What the proxy does not take stays with the client.
        let _ = stream.write(&bytes);
        connections.push(stream);
    }
    while !arena.is_over() {
        arena.pause(0.1);
    }
}

/// Sends requests, and bytes behind each, and closes the connections soon after.
pub fn leavers(arena: &Arena, rate: f64, behind_bytes: usize, seed: u64) {
    let mut random = fastrand::Rng::with_seed(seed);
    let ping = encode(&["PING"]);
    let behind = ping.repeat(behind_bytes / ping.len());
    let mut number = 0;
    while !arena.is_over() {
        arena.pause(random.f64() * 2.0 / rate);
        let Some(mut stream) = arena.connect(random.usize(..arena.proxies.len())) else { continue };
        let id = format!("leaver-{seed:x}-{number}");
        number += 1;
        if stream.write_all(&read(random.usize(..100_000), &id)).is_err() {
            continue;
        }
        let _ = stream.write_all(&behind);
        std::thread::sleep(Duration::from_millis(random.u64(..30)));
        drop(stream);
        arena.record_departure(id);
    }
}

/// Sends writes, resets their connections, and sends the same ids again with another idempotency key over other connections.
pub fn repeated_ids(arena: &Arena, rate: f64, seed: u64) {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut number = 0;
    while !arena.is_over() {
        arena.pause(random.f64() * 2.0 / rate);
        let proxy = random.usize(..arena.proxies.len());
        let id = format!("again-{seed:x}-{number}");
        number += 1;
        let key = random.usize(..100_000);
        let Some(mut first) = arena.connect(proxy) else { continue };
        if first.write_all(&write(key, &id, &format!("first-{id}"))).is_err() {
            continue;
        }
        std::thread::sleep(Duration::from_millis(random.u64(..20)));
        let _ = socket2::SockRef::from(&first).set_linger(Some(Duration::ZERO));
        drop(first);
        let Some(mut again) = arena.connect(proxy) else { continue };
        let _ = again.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS + 500)));
        if again.write_all(&write(key, &id, &format!("second-{id}"))).is_ok() {
            let _ = again.read(&mut [0; 512]);
        }
    }
}
