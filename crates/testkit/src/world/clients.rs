//! Clients that send requests at a fixed mean rate, spread randomly over the proxies, and record each attempt with its
//! outcome.

use super::{lock, Clock};
use redis_protocol::{resp2, resp3};
use resp::Protocol;
use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// Outcome of an attempt for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The value was returned.
    Served,
    /// The proxy replied `-BUSY`: the request was rejected.
    Refused,
    /// The reply was another error, or was cut short.
    Failed,
    /// No reply before the client's time-out.
    Late,
    /// No reply although the client waited for longer, see [`Load::patience`].
    Never,
    /// A new connection ended without a reply.
    Lost,
    /// No proxy accepted a connection.
    Nowhere,
    /// The reply was malformed, or belongs to another key.
    Wrong,
}

/// An attempt of a request and its outcome.
#[derive(Clone)]
pub struct AttemptRecord {
    /// Request id; each retry has its own.
    pub id: String,
    /// Requested key.
    pub key: u64,
    /// Idempotency key of a write; `None` for a read.
    pub write: Option<String>,
    /// Number of the proxy; `usize::MAX` if none accepted a connection.
    pub proxy: usize,
    /// When it was sent.
    pub sent: Duration,
    /// How long the client said that it waits.
    pub wait: Duration,
    /// When it ended.
    pub ended: Duration,
    /// Outcome.
    pub end: End,
    /// Number of the attempt, from 0.
    pub tries: u32,
    /// Protocol version of the client.
    pub protocol: Protocol,
}

/// Histories of runs over sockets contain this text, so it keeps the type's former name.
impl fmt::Debug for AttemptRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let AttemptRecord { id, key, write, proxy, sent, wait: _, ended, end, tries, protocol } = self;
        f.debug_struct("Asked")
            .field("id", id)
            .field("key", key)
            .field("write", write)
            .field("proxy", proxy)
            .field("sent", sent)
            .field("ended", ended)
            .field("end", end)
            .field("tries", tries)
            .field("protocol", protocol)
            .finish()
    }
}

/// A proxy that clients send requests to.
#[derive(Clone, Debug)]
pub struct Target {
    /// Number of the proxy.
    pub proxy: usize,
    /// Listen address.
    pub address: SocketAddr,
    /// Whether clients open new connections to it. Otherwise they use those that are open.
    pub takes_new_connections: bool,
}

impl Target {
    /// A proxy that clients open connections to.
    pub fn new(proxy: usize, address: SocketAddr) -> Self {
        Target { proxy, address, takes_new_connections: true }
    }
}

/// A client load.
#[derive(Debug)]
pub struct Load {
    /// Mean number of requests per second, without retries.
    pub rate: f64,
    /// Fraction of writes.
    pub writes: f64,
    /// Number of keys; low keys are far more popular than the rest.
    pub keys: u64,
    /// Maximum number of retries of a request.
    pub retries: u32,
    /// Fraction of requests over RESP3.
    pub three: f64,
    /// Predefined requests, which replace those generated at `rate`.
    pub plan: Option<Plan>,
    /// How long a client goes on waiting after its time-out, to see whether an answer comes at all.
    pub patience: Duration,
    front: Mutex<Vec<Target>>,
    record: Mutex<Vec<AttemptRecord>>,
    open: AtomicUsize,
    stopped: AtomicBool,
    extra: AtomicUsize,
    /// Requests on reused connections that ended without a reply, with the time: each may have crossed with the close.
    crossed: Mutex<Vec<(String, Duration)>>,
}

/// A predefined list of requests.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Time since the start of the load, key, and whether it is a write; ordered by time.
    pub requests: Vec<(Duration, u64, bool)>,
    /// Time-out of one attempt of a read and of a write.
    pub wait: [Duration; 2],
    /// Deadline of a read and of a write over all attempts.
    pub deadline: [Duration; 2],
    /// Minimum pause between attempts; the pause is random, up to twice this value.
    pub backoff: Duration,
}

/// Time-out of one attempt of a read and of a write.
const ATTEMPT_TIMEOUT: [Duration; 2] = [Duration::from_millis(480), Duration::from_millis(700)];
/// Additional time that a client allows for the network after its time-out.
const NETWORK_ALLOWANCE: Duration = Duration::from_millis(50);
/// Maximum idle time of a reused connection.
const MAX_CONNECTION_IDLE: Duration = Duration::from_secs(2);

/// Idle connections by proxy and protocol.
type Pool = Rc<RefCell<HashMap<(usize, Protocol), Vec<(TcpStream, Instant)>>>>;

enum AttemptResult {
    /// The attempt ended with this outcome; a rejection may carry a time to wait before a retry.
    Ended(End, Duration),
    /// The connection ended before a reply began: the request may not have been read.
    Crossed,
}

impl Load {
    /// Creates a load of `rate` requests per second to these proxies, with 10 % writes.
    pub fn new(rate: f64, front: Vec<Target>) -> Self {
        Load {
            rate,
            writes: 0.1,
            keys: 2_000,
            retries: 2,
            three: 0.0,
            plan: None,
            patience: Duration::ZERO,
            front: Mutex::new(front),
            record: Mutex::default(),
            open: AtomicUsize::new(0),
            stopped: AtomicBool::new(false),
            extra: AtomicUsize::new(0),
            crossed: Mutex::default(),
        }
    }

    /// Replaces the list of proxies.
    pub fn front(&self, front: Vec<Target>) {
        *lock(&self.front) = front;
    }

    /// Returns all finished attempts.
    pub fn record(&self) -> Vec<AttemptRecord> {
        lock(&self.record).clone()
    }

    /// Number of replies followed by unsolicited bytes.
    pub fn extra(&self) -> usize {
        self.extra.load(Ordering::Relaxed)
    }

    /// Returns the requests on reused connections that ended without a reply, with the time. They were sent again, as the
    /// protocol requires when a close crosses with a request that has not been read.
    pub fn crossed(&self) -> Vec<(String, Duration)> {
        lock(&self.crossed).clone()
    }

    /// Sends no new requests and waits until all open requests have finished.
    ///
    /// # Panics
    /// If that takes more than 20 s.
    pub fn finish(&self) -> Vec<AttemptRecord> {
        self.stopped.store(true, Ordering::Relaxed);
        let begun = std::time::Instant::now();
        while self.open.load(Ordering::Relaxed) > 0 {
            assert!(begun.elapsed() < Duration::from_secs(20), "requests stay open");
            std::thread::sleep(Duration::from_millis(5));
        }
        self.record()
    }

    pub(super) fn run(self: Arc<Self>, clock: Clock, seed: u64) {
        spawn_local(async move {
            let mut rng = fastrand::Rng::with_seed(seed);
            let pool = Pool::default();
            let (mut number, mut due) = (0u64, Instant::now());
            let start = due;
            let mut planned = self.plan.iter().flat_map(|p| p.requests.iter().copied());
            while !self.stopped.load(Ordering::Relaxed) {
                let (key, writes) = match (planned.next(), &self.plan) {
                    (Some((at, key, writes)), _) => {
                        due = start + at;
                        (key, writes)
                    }
                    (None, Some(_)) => return,
                    (None, None) => {
                        due += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / self.rate.max(0.01));
                        let key = (self.keys as f64 * rng.f64().powi(3)) as u64;
                        (key, rng.f64() < self.writes)
                    }
                };
                tokio::time::sleep_until(due).await;
                number += 1;
                let write = writes.then(|| format!("{seed:x}{number:08x}"));
                self.open.fetch_add(1, Ordering::Relaxed);
                let (this, pool, mut rng) = (self.clone(), pool.clone(), rng.fork());
                spawn_local(async move {
                    this.request(clock, &pool, number, key, write, &mut rng).await;
                    this.open.fetch_sub(1, Ordering::Relaxed);
                });
            }
        });
    }

    /// Sends a request with retries.
    async fn request(
        &self,
        clock: Clock,
        pool: &Pool,
        number: u64,
        key: u64,
        write: Option<String>,
        rng: &mut fastrand::Rng,
    ) {
        let protocol = if rng.f64() < self.three { Protocol::Three } else { Protocol::Two };
        let begun = Instant::now();
        for tries in 0..=self.retries {
            let id = format!("{number:010x}{tries:02x}");
            let sent = clock.now();
            let wait = match &self.plan {
                Some(p) => {
                    let class = usize::from(write.is_some());
                    p.wait[class].min(p.deadline[class].saturating_sub(begun.elapsed()))
                }
                None => ATTEMPT_TIMEOUT[usize::from(write.is_some())],
            };
            let (proxy, end, retry_after) =
                self.attempt(clock, pool, &id, key, write.as_deref(), wait, protocol, rng).await;
            let ended = clock.now();
            let write_key = write.clone();
            let asked =
                AttemptRecord { id, key, write: write_key, proxy, sent, wait, ended, end, tries, protocol };
            lock(&self.record).push(asked);
            // The client must not repeat a write that may have been executed; a rejected one has not been.
            if end == End::Served || (write.is_some() && end != End::Refused) {
                return;
            }
            let pause = match &self.plan {
                Some(p) => p.backoff.mul_f64(1.0 + rng.f64()).max(retry_after),
                None => Duration::from_millis(50 + rng.u64(..100)),
            };
            let deadline = self.plan.as_ref().map(|p| p.deadline[usize::from(write.is_some())]);
            if deadline.is_some_and(|d| begun.elapsed() + pause >= d) {
                return;
            }
            tokio::time::sleep(pause).await;
        }
    }

    /// Sends one attempt to the first proxy, in random order, that accepts a connection.
    #[expect(clippy::too_many_arguments, reason = "the parameters of one attempt")]
    async fn attempt(
        &self,
        clock: Clock,
        pool: &Pool,
        id: &str,
        key: u64,
        write: Option<&str>,
        wait: Duration,
        protocol: Protocol,
        rng: &mut fastrand::Rng,
    ) -> (usize, End, Duration) {
        let due = Instant::now() + wait + NETWORK_ALLOWANCE;
        let mut command = Vec::new();
        let ms = wait.as_millis();
        let hex = format!("{key:016x}");
        let fields = match write {
            Some(k) => format!("c=swap-record,d={ms},k={k}"),
            None => format!("c=pack-lookup,d={ms}"),
        };
        let mut args = vec!["CACHE.GET", &hex, id, &fields];
        if write.is_some() {
            args[0] = "CACHE.SET";
            args.push("swapped");
        }
        command.extend(crate::scripted::encode(&args));
        let mut front = lock(&self.front).clone();
        rng.shuffle(&mut front);
        // A request that crossed with a close is sent again on a new connection; unreachable proxies are skipped.
        let mut fresh = false;
        for target in front.iter().chain(front.iter()) {
            let kept = if fresh { None } else { take_idle_connection(pool, (target.proxy, protocol)) };
            let reused = kept.is_some();
            if !reused && !target.takes_new_connections {
                continue;
            }
            let stream = match kept {
                Some(stream) => stream,
                None => match TcpStream::connect(target.address).await {
                    Ok(stream) => stream,
                    Err(_) => continue,
                },
            };
            let _ = stream.set_nodelay(true);
            let awaits_hello = !reused && protocol == Protocol::Three;
            let hello = if awaits_hello { crate::scripted::encode(&["HELLO", "3"]) } else { Vec::new() };
            let request_bytes = [hello, command.clone()].concat();
            let place = (target.proxy, protocol);
            match self.exchange(pool, place, stream, &request_bytes, awaits_hello, key, due).await {
                AttemptResult::Ended(end, retry_after) => return (target.proxy, end, retry_after),
                AttemptResult::Crossed if reused => {
                    lock(&self.crossed).push((id.to_owned(), clock.now()));
                    fresh = true;
                }
                AttemptResult::Crossed => return (target.proxy, End::Lost, Duration::ZERO),
            }
        }
        (usize::MAX, End::Nowhere, Duration::ZERO)
    }

    #[expect(clippy::too_many_arguments, reason = "the parameters of one attempt")]
    async fn exchange(
        &self,
        pool: &Pool,
        place: (usize, Protocol),
        mut stream: TcpStream,
        request_bytes: &[u8],
        mut awaits_hello: bool,
        key: u64,
        due: Instant,
    ) -> AttemptResult {
        let (mut received, mut buffer) = (Vec::new(), vec![0; 4096]);
        let exchange = async {
            if stream.write_all(request_bytes).await.is_err() {
                return AttemptResult::Crossed;
            }
            loop {
                let n = match stream.read(&mut buffer).await {
                    Ok(n) if n > 0 => n,
                    _ if received.is_empty() => return AttemptResult::Crossed,
                    // The reply has begun: the client can see that it is incomplete.
                    _ => return AttemptResult::Ended(End::Failed, Duration::ZERO),
                };
                received.extend_from_slice(&buffer[..n]);
                while !received.is_empty() {
                    let (used, end) = match decode_reply(&received, place.1, key) {
                        Ok(None) => break,
                        Ok(Some(frame)) => frame,
                        Err(()) => return AttemptResult::Ended(End::Wrong, Duration::ZERO),
                    };
                    if std::mem::take(&mut awaits_hello) {
                        received.drain(..used);
                        continue;
                    }
                    if used < received.len() {
                        self.extra.fetch_add(1, Ordering::Relaxed);
                    }
                    return AttemptResult::Ended(end, parse_retry_after(&received));
                }
            }
        };
        let Ok(ended) = tokio::time::timeout_at(due + self.patience, exchange).await else {
            let end = if self.patience.is_zero() { End::Late } else { End::Never };
            return AttemptResult::Ended(end, Duration::ZERO);
        };
        if Instant::now() > due && matches!(ended, AttemptResult::Ended(..)) {
            return AttemptResult::Ended(End::Late, Duration::ZERO);
        }
        if matches!(ended, AttemptResult::Ended(End::Served | End::Refused | End::Failed, _)) {
            pool.borrow_mut().entry(place).or_default().push((stream, Instant::now()));
        }
        ended
    }
}

/// Decodes one reply in the client's protocol with a third-party decoder; returns its length and outcome, `None` if it is
/// incomplete, and an error if it is invalid in that protocol.
fn decode_reply(bytes: &[u8], protocol: Protocol, key: u64) -> Result<Option<(usize, End)>, ()> {
    let error = |text: &str| if text.split(' ').next() == Some("BUSY") { End::Refused } else { End::Failed };
    let served = |value: &[u8]| if belongs_to_key(value, key) { End::Served } else { End::Wrong };
    match protocol {
        Protocol::Two => {
            use resp2::types::OwnedFrame as Frame;
            let Some((frame, used)) = resp2::decode::decode(bytes).map_err(|_| ())? else { return Ok(None) };
            let end = match &frame {
                Frame::Error(text) => error(text),
                Frame::Array(all) => match all.first() {
                    Some(Frame::BulkString(value)) => served(value),
                    _ => End::Failed,
                },
                _ => End::Wrong,
            };
            Ok(Some((used, end)))
        }
        Protocol::Three => {
            use resp3::types::OwnedFrame as Frame;
            let decoded = resp3::decode::complete::decode(bytes).map_err(|_| ())?;
            let Some((frame, used)) = decoded else { return Ok(None) };
            // RESP3 has its own null type; the RESP2 nulls are invalid.
            if bytes[..used].windows(5).any(|w| w == b"$-1\r\n" || w == b"*-1\r\n") {
                return Err(());
            }
            let end = match &frame {
                Frame::SimpleError { data, .. } => error(data),
                Frame::Array { data, .. } => match data.first() {
                    Some(Frame::BlobString { data, .. } | Frame::VerbatimString { data, .. }) => served(data),
                    _ => End::Failed,
                },
                // The reply to `HELLO`.
                Frame::Map { .. } => End::Served,
                _ => End::Wrong,
            };
            Ok(Some((used, end)))
        }
    }
}

/// Returns the retry delay of a `-BUSY` reply; zero if it has none.
fn parse_retry_after(bytes: &[u8]) -> Duration {
    let line = std::str::from_utf8(bytes).ok().and_then(|l| l.strip_prefix("-BUSY "));
    Duration::from_millis(line.and_then(|l| l.trim_end().parse().ok()).unwrap_or(0))
}

/// Returns true if the value belongs to the key: it begins with the key.
fn belongs_to_key(value: &[u8], key: u64) -> bool {
    value.starts_with(format!("{key:016x}:").as_bytes())
}

/// Takes an idle connection that is still open and has no unsolicited input.
fn take_idle_connection(pool: &Pool, place: (usize, Protocol)) -> Option<TcpStream> {
    let mut pool = pool.borrow_mut();
    let kept = pool.get_mut(&place)?;
    while let Some((stream, since)) = kept.pop() {
        let is_quiet = stream.try_read(&mut [0]).is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock);
        if is_quiet && since.elapsed() < MAX_CONNECTION_IDLE {
            return Some(stream);
        }
    }
    None
}
