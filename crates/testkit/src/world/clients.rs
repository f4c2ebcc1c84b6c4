//! Clients that ask at a steady rate, through a plain front that spreads them over the proxies, and keep a record
//! of each request and its one final answer.

use super::{lock, Clock};
use resp::{Kind, ReplyParser};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Served.
    Served,
    /// Refused.
    Refused,
    /// Failed.
    Failed,
    /// No answer within its time.
    Late,
    /// The connection ended without an answer, though the proxy had taken the request.
    Lost,
    /// No proxy could be connected to.
    Nowhere,
    /// What came is no answer, or is another key's.
    Wrong,
}

/// A request and what became of it.
#[derive(Clone, Debug)]
pub struct Asked {
    /// Its id; a client's retry has another one.
    pub id: String,
    /// Its key.
    pub key: u64,
    /// It writes, under this idempotency key.
    pub write: Option<String>,
    /// The proxy that had it, by its number in the front.
    pub proxy: usize,
    /// When it was sent, and when it ended.
    pub sent: Duration,
    /// When it ended.
    pub ended: Duration,
    /// How.
    pub end: End,
    /// Which try it was, from 0.
    pub tries: u32,
}

/// A proxy as the front knows it.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its number.
    pub proxy: usize,
    /// Where it listens.
    pub address: SocketAddr,
}

/// Clients.
#[derive(Debug)]
pub struct Load {
    /// Requests a second, without retries.
    pub rate: f64,
    /// The part that writes.
    pub writes: f64,
    /// Keys; the first few are far more popular than the rest.
    pub keys: u64,
    /// Retries of a request that was not served.
    pub retries: u32,
    front: Mutex<Vec<Target>>,
    record: Mutex<Vec<Asked>>,
    open: AtomicUsize,
    stopped: AtomicBool,
    extra: AtomicUsize,
    /// Requests on kept connections that ended without an answer, and when: each may have crossed the close.
    crossed: Mutex<Vec<(String, Duration)>>,
}

/// A client waits so long for a read, and for a write.
const WAIT: [Duration; 2] = [Duration::from_millis(480), Duration::from_millis(700)];
/// A client allows so much for the way, past its wait.
const GRACE: Duration = Duration::from_millis(50);
/// A connection that has been idle for longer is not used again.
const IDLE: Duration = Duration::from_secs(2);

type Pool = Rc<RefCell<HashMap<usize, Vec<(TcpStream, Instant)>>>>;

enum Try {
    Ended(End),
    /// The connection ended between requests: what was sent has not been read.
    Crossed,
}

impl Load {
    /// So many requests a second to these proxies; a tenth of them writes.
    pub fn new(rate: f64, front: Vec<Target>) -> Self {
        Load {
            rate,
            writes: 0.1,
            keys: 2_000,
            retries: 2,
            front: Mutex::new(front),
            record: Mutex::default(),
            open: AtomicUsize::new(0),
            stopped: AtomicBool::new(false),
            extra: AtomicUsize::new(0),
            crossed: Mutex::default(),
        }
    }

    /// Replaces the proxies that the front knows.
    pub fn front(&self, front: Vec<Target>) {
        *lock(&self.front) = front;
    }

    /// All requests that have ended.
    pub fn record(&self) -> Vec<Asked> {
        lock(&self.record).clone()
    }

    /// Answers that came without a request.
    pub fn extra(&self) -> usize {
        self.extra.load(Ordering::Relaxed)
    }

    /// Requests on kept connections that ended without an answer, with the time. They went out once more, as the
    /// protocol wants it where a close crosses a request that has not been read.
    pub fn crossed(&self) -> Vec<(String, Duration)> {
        lock(&self.crossed).clone()
    }

    /// Asks for nothing more, and waits until all that is open has ended.
    ///
    /// # Panics
    /// If that takes more than twenty seconds.
    pub fn finish(&self) -> Vec<Asked> {
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
            while !self.stopped.load(Ordering::Relaxed) {
                due += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / self.rate.max(0.01));
                tokio::time::sleep_until(due).await;
                number += 1;
                let key = (self.keys as f64 * rng.f64().powi(3)) as u64;
                let write = (rng.f64() < self.writes).then(|| format!("{seed:x}{number:08x}"));
                self.open.fetch_add(1, Ordering::Relaxed);
                let (this, pool, mut rng) = (self.clone(), pool.clone(), rng.fork());
                spawn_local(async move {
                    this.request(clock, &pool, number, key, write, &mut rng).await;
                    this.open.fetch_sub(1, Ordering::Relaxed);
                });
            }
        });
    }

    /// A request with its client's retries.
    async fn request(
        &self,
        clock: Clock,
        pool: &Pool,
        number: u64,
        key: u64,
        write: Option<String>,
        rng: &mut fastrand::Rng,
    ) {
        for tries in 0..=self.retries {
            let id = format!("{number:010x}{tries:02x}");
            let sent = clock.now();
            let (proxy, end) = self.one(clock, pool, &id, key, write.as_deref(), rng).await;
            let ended = clock.now();
            lock(&self.record).push(Asked { id, key, write: write.clone(), proxy, sent, ended, end, tries });
            // A write that may have run is not the client's to repeat; a refusal says that it has not.
            if end == End::Served || (write.is_some() && end != End::Refused) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50 + rng.u64(..100))).await;
        }
    }

    /// One try: at the next proxy that can be connected to.
    async fn one(
        &self,
        clock: Clock,
        pool: &Pool,
        id: &str,
        key: u64,
        write: Option<&str>,
        rng: &mut fastrand::Rng,
    ) -> (usize, End) {
        let wait = WAIT[usize::from(write.is_some())];
        let due = Instant::now() + wait + GRACE;
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
        // A crossed request goes out once more, on a new connection; a dead proxy is passed over.
        let mut fresh = false;
        for target in front.iter().chain(front.iter()) {
            let kept = if fresh { None } else { take(pool, target.proxy) };
            let reused = kept.is_some();
            let stream = match kept {
                Some(stream) => stream,
                None => match TcpStream::connect(target.address).await {
                    Ok(stream) => stream,
                    Err(_) => continue,
                },
            };
            let _ = stream.set_nodelay(true);
            match self.exchange(pool, target.proxy, stream, &command, key, due).await {
                Try::Ended(end) => return (target.proxy, end),
                Try::Crossed if reused => {
                    lock(&self.crossed).push((id.to_owned(), clock.now()));
                    fresh = true;
                }
                Try::Crossed => return (target.proxy, End::Lost),
            }
        }
        (usize::MAX, End::Nowhere)
    }

    async fn exchange(
        &self,
        pool: &Pool,
        proxy: usize,
        mut stream: TcpStream,
        command: &[u8],
        key: u64,
        due: Instant,
    ) -> Try {
        let mut parser = ReplyParser::default();
        let (mut whole, mut buffer) = (Vec::new(), vec![0; 4096]);
        let exchange = async {
            if stream.write_all(command).await.is_err() {
                return Try::Crossed;
            }
            loop {
                let n = match stream.read(&mut buffer).await {
                    Ok(n) if n > 0 => n,
                    _ if whole.is_empty() => return Try::Crossed,
                    // It began to answer: the client can tell that it is not whole.
                    _ => return Try::Ended(End::Failed),
                };
                whole.extend_from_slice(&buffer[..n]);
                match parser.feed(&buffer[..n]) {
                    Err(_) => return Try::Ended(End::Wrong),
                    Ok((_, None)) => {}
                    Ok((used, Some(reply))) => {
                        if used < n {
                            self.extra.fetch_add(1, Ordering::Relaxed);
                        }
                        return Try::Ended(match reply.kind {
                            Kind::Served if names(&whole, key) => End::Served,
                            Kind::Served => End::Wrong,
                            Kind::Busy => End::Refused,
                            Kind::Failed => End::Failed,
                        });
                    }
                }
            }
        };
        let Ok(ended) = tokio::time::timeout_at(due, exchange).await else { return Try::Ended(End::Late) };
        if matches!(ended, Try::Ended(End::Served | End::Refused | End::Failed)) {
            pool.borrow_mut().entry(proxy).or_default().push((stream, Instant::now()));
        }
        ended
    }
}

/// Is this an answer for the key? Its value begins with it.
fn names(reply: &[u8], key: u64) -> bool {
    let key = format!("{key:016x}:");
    reply.windows(key.len()).any(|w| w == key.as_bytes())
}

/// A kept connection that has neither ended nor said anything since.
fn take(pool: &Pool, proxy: usize) -> Option<TcpStream> {
    let mut pool = pool.borrow_mut();
    let kept = pool.get_mut(&proxy)?;
    while let Some((stream, since)) = kept.pop() {
        let quiet = stream.try_read(&mut [0]).is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock);
        if quiet && since.elapsed() < IDLE {
            return Some(stream);
        }
    }
    None
}
