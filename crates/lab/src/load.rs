//! A load tool. Requests have their times from the start on, by chance at a steady rate, and their latency counts from
//! there whatever the server does meanwhile: a stall shows in all requests that it held up (no coordinated omission).
//! A closed loop, which hides that, is there to be compared with.

use crate::Failure;
use base64::prelude::{Engine, BASE64_STANDARD};
use hdrhistogram::serialization::{Serializer, V2DeflateSerializer};
use hdrhistogram::Histogram;
use mio::net::TcpStream;
use mio::{Events, Interest, Poll, Token};
use model::RandomSource;
use resp::{HelloReplyParser, Protocol, ReplyKind, ReplyReader, ServerMessage};
use serde::Serialize;
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// The tool is behind when more than 1% of its requests are this much later than meant because of itself.
const BEHIND: Duration = Duration::from_millis(5);
/// After the last request, answers are waited for as long as a request may wait, and this.
const GRACE: Duration = Duration::from_millis(200);
/// Requests that wait for a connection at a thread before more are counted as lost at once.
const MOST_WAITING: usize = 1_000_000;

/// What to send, and where.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// Proxies; connections go to them in turn.
    #[arg(required = true)]
    pub addresses: Vec<SocketAddr>,
    /// Requests a second, in all.
    #[arg(long, value_parser = positive)]
    pub rate: f64,
    /// For so long.
    #[arg(long, value_parser = positive)]
    pub seconds: f64,
    /// The source of all chance.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Print one JSON object at the end.
    #[arg(long)]
    pub json: bool,
    /// Threads.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..=256))]
    pub threads: u16,
    /// Connections of all threads at the most.
    #[arg(long, default_value_t = 64, value_parser = clap::value_parser!(u32).range(1..=60_000))]
    pub connections: u32,
    /// Requests on a connection at once.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..=128))]
    pub pipeline: u16,
    /// The part of the answers after which a connection is closed and another opened.
    #[arg(long, default_value_t = 0.0, value_parser = part)]
    pub churn: f64,
    /// The part of the connections that speak RESP3.
    #[arg(long, default_value_t = 0.0, value_parser = part)]
    pub resp3: f64,
    /// A class as NAME:WAIT_MS:WEIGHT, with `:write` behind it for one that writes; may be given again.
    #[arg(long = "class", value_parser = class, default_values = ["pack-lookup:480:9", "swap-record:700:1:write"])]
    pub classes: Vec<Class>,
    /// A tenant as NAME:WEIGHT; may be given again.
    #[arg(long = "tenant", value_parser = tenant)]
    pub tenants: Vec<(String, f64)>,
    /// Keys, all alike.
    #[arg(long, default_value_t = 2_000, value_parser = clap::value_parser!(u64).range(1..))]
    pub keys: u64,
    /// Bytes of a value that is written.
    #[arg(long, default_value_t = 16, value_parser = clap::value_parser!(u32).range(1..=4_194_304))]
    pub value: u32,
    /// An answer whose value does not begin with its key in hex is wrong, as with this project's stand-ins.
    #[arg(long)]
    pub check_keys: bool,
    /// Each connection asks again as soon as it has its answer, and the rate is only a bound: a closed loop.
    #[arg(long)]
    pub closed: bool,
    /// Write the latencies here, as a log in HdrHistogram's format.
    #[arg(long)]
    pub hdr: Option<PathBuf>,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    name: String,
    wait: Duration,
    weight: f64,
    write: bool,
}

fn positive(text: &str) -> Result<f64, String> {
    text.parse().ok().filter(|n: &f64| *n > 0.0 && *n <= 1e8).ok_or("must be a number above 0".into())
}

fn part(text: &str) -> Result<f64, String> {
    text.parse().ok().filter(|n| (0.0..=1.0).contains(n)).ok_or("must be 0 to 1".into())
}

fn class(text: &str) -> Result<Class, String> {
    let parts: Vec<&str> = text.split(':').collect();
    let (name, wait, weight, write) = match parts[..] {
        [name, wait, weight] => (name, wait, weight, false),
        [name, wait, weight, "write"] => (name, wait, weight, true),
        _ => return Err("must be NAME:WAIT_MS:WEIGHT or NAME:WAIT_MS:WEIGHT:write".into()),
    };
    let wait: u64 =
        wait.parse().ok().filter(|ms| (1..=600_000).contains(ms)).ok_or("the wait must be 1 to 600000")?;
    Ok(Class { name: name.into(), wait: Duration::from_millis(wait), weight: positive(weight)?, write })
}

fn tenant(text: &str) -> Result<(String, f64), String> {
    let (name, weight) = text.rsplit_once(':').ok_or("must be NAME:WEIGHT")?;
    Ok((name.into(), positive(weight)?))
}

/// What came of it. Times are milliseconds, from the intended start to the answer; what never came counts with the
/// time that it was waited for.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// Requests whose time came.
    pub sent: u64,
    /// Answered with a value or a receipt.
    pub served: u64,
    /// Answered with `-BUSY`.
    pub refused: u64,
    /// Answered with another error.
    pub failed: u64,
    /// Without an answer: the connection ended, or the wait was over.
    pub lost: u64,
    /// What came is no reply, is nobody's, or is another key's.
    pub wrong: u64,
    /// The tool itself was late: the figures are void.
    pub fell_behind: bool,
    /// The 99th percentile of how late the tool was by itself.
    pub own_lag_p99_ms: f64,
    /// Connections opened.
    pub opened: u64,
    /// The rate that came about.
    pub rate: f64,
    /// The median.
    pub p50_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The 99.9th.
    pub p999_ms: f64,
    /// The longest.
    pub max_ms: f64,
}

struct Tally {
    sent: u64,
    served: u64,
    refused: u64,
    failed: u64,
    lost: u64,
    wrong: u64,
    opened: u64,
    times: Histogram<u64>,
    lag: Histogram<u64>,
}

impl Tally {
    fn new() -> Self {
        // Up to an hour in microseconds, three digits: these bounds fit.
        let times = || {
            Histogram::new_with_bounds(1, 3_600_000_000, 3)
                .unwrap_or_else(|_| unreachable!("bounds that fit"))
        };
        let (times, lag) = (times(), times());
        Tally { sent: 0, served: 0, refused: 0, failed: 0, lost: 0, wrong: 0, opened: 0, times, lag }
    }

    fn add(&mut self, other: &Tally) {
        self.sent += other.sent;
        self.served += other.served;
        self.refused += other.refused;
        self.failed += other.failed;
        self.lost += other.lost;
        self.wrong += other.wrong;
        self.opened += other.opened;
        // Both have the same bounds.
        let _ = self.times.add(&other.times);
        let _ = self.lag.add(&other.lag);
    }

    fn took(&mut self, since: Instant, now: Instant) {
        self.times.saturating_record(now.saturating_duration_since(since).as_micros().max(1) as u64);
    }
}

#[derive(Clone, Debug)]
struct Request {
    intended: Instant,
    until: Instant,
    class: usize,
    tenant: Option<usize>,
    key: u64,
    number: u64,
}

struct Connection {
    stream: TcpStream,
    greeting: Option<HelloReplyParser>,
    reader: ReplyReader,
    raw: Vec<u8>,
    sent: VecDeque<Request>,
    out: Vec<u8>,
    written: usize,
    ends: bool,
}

/// A thread's part of the load.
struct Worker<'a> {
    args: &'a Args,
    number: usize,
    chance: RandomSource,
    /// Weights of the classes, and of the tenants.
    weights: [Vec<f64>; 2],
    poll: Poll,
    connections: Vec<Option<Connection>>,
    most: usize,
    open: usize,
    next_address: usize,
    waiting: VecDeque<Request>,
    count: u64,
    tally: Tally,
}

impl Worker<'_> {
    fn connect(&mut self) -> io::Result<()> {
        let address = self.args.addresses[self.next_address % self.args.addresses.len()];
        self.next_address += 1;
        let mut stream = TcpStream::connect(address)?;
        let _ = stream.set_nodelay(true);
        let key = self.connections.iter().position(Option::is_none).unwrap_or(self.connections.len());
        self.poll.registry().register(&mut stream, Token(key), Interest::READABLE | Interest::WRITABLE)?;
        let three = self.chance.happens(self.args.resp3);
        let mut out = Vec::new();
        if three {
            out.extend_from_slice(b"*2\r\n$5\r\nHELLO\r\n$1\r\n3\r\n");
        }
        let connection = Connection {
            stream,
            greeting: three.then(HelloReplyParser::default),
            reader: ReplyReader::new(if three { Protocol::Three } else { Protocol::Two }),
            raw: Vec::new(),
            sent: VecDeque::new(),
            out,
            written: 0,
            ends: false,
        };
        if key == self.connections.len() {
            self.connections.push(None);
        }
        self.connections[key] = Some(connection);
        self.open += 1;
        self.tally.opened += 1;
        Ok(())
    }

    fn encode(&self, request: &Request, out: &mut Vec<u8>) {
        let class = &self.args.classes[request.class];
        let (key, id) = (format!("{:016x}", request.key), format!("{:x}{:09x}", self.number, request.number));
        let mut fields = format!("c={},d={}", class.name, class.wait.as_millis());
        if let Some(t) = request.tenant {
            fields += &format!(",t={}", self.args.tenants[t].0);
        }
        if class.write {
            // Each run's writes are their own: boxes drop a key that they have seen.
            fields += &format!(",k={:x}-{id}", self.args.seed);
        }
        let name = if class.write { "CACHE.SET" } else { "CACHE.GET" };
        let arity = 4 + usize::from(class.write);
        let _ = write!(out, "*{arity}\r\n");
        for arg in [name, &key, &id, &fields] {
            let _ = write!(out, "${}\r\n{arg}\r\n", arg.len());
        }
        if class.write {
            let length = self.args.value as usize;
            let _ = write!(out, "${length}\r\n");
            out.resize(out.len() + length, b'x');
            out.extend_from_slice(b"\r\n");
        }
    }

    /// Hands what waits to connections that have room.
    fn assign(&mut self) {
        let depth = usize::from(self.args.pipeline);
        while !self.waiting.is_empty() {
            let room = |c: &Connection| !c.ends && c.sent.len() < depth;
            let all = self.connections.iter().enumerate();
            let fit = all.filter_map(|(k, c)| c.as_ref().filter(|c| room(c)).map(|c| (k, c)));
            let best = fit.min_by_key(|(_, c)| c.sent.len()).map(|(k, c)| (k, c.sent.is_empty()));
            let key = match best {
                Some((key, true)) => key,
                other if self.open < self.most => match (self.connect(), other) {
                    (Ok(()), _) => continue,
                    (Err(_), Some((key, _))) => key,
                    // No connection at all: what waits ends when its time is up.
                    (Err(_), None) => return,
                },
                Some((key, false)) => key,
                None => return,
            };
            let Some(request) = self.waiting.pop_front() else { return };
            let mut out = Vec::new();
            self.encode(&request, &mut out);
            if let Some(c) = &mut self.connections[key] {
                c.out.extend_from_slice(&out);
                c.sent.push_back(request);
            }
            self.flush(key);
        }
    }

    fn flush(&mut self, key: usize) {
        let Some(c) = self.connections[key].as_mut() else { return };
        while c.written < c.out.len() {
            match c.stream.write(&c.out[c.written..]) {
                Ok(n) => c.written += n,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => return,
                Err(_) => {
                    self.drop(key);
                    return;
                }
            }
        }
        c.out.clear();
        c.written = 0;
    }

    /// A connection is over; what it owes is lost.
    fn drop(&mut self, key: usize) {
        let Some(c) = self.connections[key].take() else { return };
        self.open -= 1;
        let now = Instant::now();
        for request in c.sent {
            self.tally.lost += 1;
            // What never came counts as long as it would have been waited for.
            self.tally.took(request.intended, request.until.max(now));
        }
    }

    fn read(&mut self, key: usize, buffer: &mut [u8]) {
        loop {
            let Some(c) = self.connections[key].as_mut() else { return };
            match c.stream.read(buffer) {
                Ok(0) => return self.drop(key),
                Ok(n) => {
                    if !self.input(key, &buffer[..n]) {
                        return self.drop(key);
                    }
                    if n < buffer.len() {
                        return;
                    }
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => return,
                Err(_) => return self.drop(key),
            }
        }
    }

    /// Takes replies; false if the connection can't go on.
    fn input(&mut self, key: usize, mut input: &[u8]) -> bool {
        while !input.is_empty() {
            let Some(c) = self.connections[key].as_mut() else { return true };
            if let Some(greeting) = &mut c.greeting {
                let Ok((used, answer)) = greeting.feed(input) else {
                    self.tally.wrong += 1;
                    return false;
                };
                input = &input[used..];
                if let Some(answer) = answer {
                    // A server that refuses goes on in RESP2.
                    c.reader = ReplyReader::new(*answer.as_ref().unwrap_or(&Protocol::Two));
                    c.greeting = None;
                }
                continue;
            }
            let Ok((used, item)) = c.reader.feed(input) else {
                self.tally.wrong += 1;
                return false;
            };
            if self.args.check_keys && c.raw.len() < 256 {
                c.raw.extend_from_slice(&input[..used.min(256)]);
            }
            input = &input[used..];
            let reply = match item {
                Some(ServerMessage::Reply(reply, _)) => reply,
                Some(ServerMessage::Part(part)) => match part.tail {
                    Some(reply) => reply,
                    None => continue,
                },
                Some(ServerMessage::Push(_)) | None => continue,
            };
            let raw = std::mem::take(&mut c.raw);
            let Some(request) = c.sent.pop_front() else {
                self.tally.wrong += 1;
                return false;
            };
            let now = Instant::now();
            self.tally.took(request.intended, now);
            let hex = format!("{:016x}", request.key);
            let crossed = self.args.check_keys
                && reply.kind == ReplyKind::Served
                && !self.args.classes[request.class].write
                && !raw.windows(hex.len()).any(|w| w == hex.as_bytes());
            match reply.kind {
                _ if crossed => self.tally.wrong += 1,
                ReplyKind::Served => self.tally.served += 1,
                ReplyKind::Busy => self.tally.refused += 1,
                ReplyKind::Failed => self.tally.failed += 1,
            }
            c.ends |= self.chance.happens(self.args.churn);
            if c.ends && c.sent.is_empty() {
                return false;
            }
        }
        true
    }

    /// What has waited its time is lost, and its connection with it: its answer may yet come.
    fn expire(&mut self, now: Instant) {
        while let Some(request) = self.waiting.front().filter(|r| r.until <= now).cloned() {
            self.waiting.pop_front();
            self.tally.lost += 1;
            self.tally.took(request.intended, now);
        }
        for key in 0..self.connections.len() {
            let over = |c: &Connection| c.sent.front().is_some_and(|r| r.until <= now);
            if self.connections[key].as_ref().is_some_and(over) {
                self.drop(key);
            }
        }
    }

    fn draw(&mut self, of: usize) -> usize {
        let weights = &self.weights[of];
        let mut left = self.chance.unit() * weights.iter().sum::<f64>();
        weights
            .iter()
            .position(|w| {
                left -= w;
                left < 0.0
            })
            .unwrap_or(weights.len() - 1)
    }

    fn request(&mut self, intended: Instant) {
        let class = self.draw(0);
        let tenant = (!self.args.tenants.is_empty()).then(|| self.draw(1));
        let key = self.chance.below(self.args.keys as usize) as u64;
        self.count += 1;
        self.tally.sent += 1;
        let until = intended + self.args.classes[class].wait + GRACE;
        let request = Request { intended, until, class, tenant, key, number: self.count };
        if self.waiting.len() >= MOST_WAITING {
            self.tally.lost += 1;
            self.tally.took(intended, until);
        } else {
            self.waiting.push_back(request);
        }
    }

    fn run(mut self, start: Instant) -> io::Result<Tally> {
        let gap = f64::from(self.args.threads) / self.args.rate;
        let end = start + Duration::from_secs_f64(self.args.seconds);
        let longest = self.args.classes.iter().map(|c| c.wait).max().unwrap_or_default() + GRACE;
        let mut due = start + Duration::from_secs_f64(gap * self.chance.exponential());
        let (mut events, mut buffer) = (Events::with_capacity(1024), vec![0; 64 << 10]);
        let mut looked = start;
        loop {
            let now = Instant::now();
            if self.args.closed {
                while now < end && self.waiting.is_empty() && self.free() > 0 {
                    self.request(Instant::now());
                    self.assign();
                }
            } else {
                while due <= now && due < end {
                    self.tally.lag.saturating_record(now.duration_since(due).as_micros().max(1) as u64);
                    self.request(due);
                    due += Duration::from_secs_f64(gap * self.chance.exponential());
                }
            }
            self.assign();
            if now.duration_since(looked) >= Duration::from_millis(10) {
                looked = now;
                self.expire(now);
            }
            let idle =
                self.waiting.is_empty() && self.connections.iter().flatten().all(|c| c.sent.is_empty());
            if now >= end && (idle || now >= end + longest) {
                self.expire(now + longest);
                return Ok(self.tally);
            }
            // The kernel's timer counts in milliseconds: the last of them is spent looking.
            let next = if self.args.closed || due >= end {
                Duration::from_millis(5)
            } else {
                due.saturating_duration_since(now)
            };
            let wait = next.min(Duration::from_millis(5)).saturating_sub(Duration::from_millis(1));
            match self.poll.poll(&mut events, Some(wait)) {
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                other => other?,
            }
            for event in &events {
                let key = event.token().0;
                if event.is_writable() {
                    self.flush(key);
                }
                self.read(key, &mut buffer);
            }
        }
    }

    /// Requests that connections could take now.
    fn free(&self) -> usize {
        let depth = usize::from(self.args.pipeline);
        let there: usize = self.connections.iter().flatten().map(|c| depth - c.sent.len().min(depth)).sum();
        there + (self.most - self.open) * depth
    }
}

/// Puts the load on.
///
/// # Errors
/// A thread's readiness queue can't be had.
pub fn run(args: &Args) -> Result<(Outcome, Histogram<u64>), Failure> {
    let start = Instant::now() + Duration::from_millis(20);
    let threads = usize::from(args.threads);
    let most = (args.connections as usize / threads).max(1);
    let worker = |number: usize| -> io::Result<Tally> {
        let worker = Worker {
            args,
            number,
            chance: RandomSource::new(args.seed, number as u64),
            weights: [
                args.classes.iter().map(|c| c.weight).collect(),
                args.tenants.iter().map(|t| t.1).collect(),
            ],
            poll: Poll::new()?,
            connections: Vec::new(),
            most,
            open: 0,
            next_address: number,
            waiting: VecDeque::new(),
            count: 0,
            tally: Tally::new(),
        };
        worker.run(start)
    };
    let tallies: Vec<io::Result<Tally>> = std::thread::scope(|s| {
        let all: Vec<_> = (0..threads).map(|n| s.spawn(move || worker(n))).collect();
        let panicked = || io::Error::other("a thread ended by itself");
        all.into_iter().map(|t| t.join().unwrap_or_else(|_| Err(panicked()))).collect()
    });
    let mut all = Tally::new();
    for tally in tallies {
        all.add(&tally.map_err(|e| Failure::Io(format!("the load can't be put on: {e}")))?);
    }
    let ms = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q) as f64 / 1_000.0;
    let lag = ms(&all.lag, 0.99);
    let outcome = Outcome {
        sent: all.sent,
        served: all.served,
        refused: all.refused,
        failed: all.failed,
        lost: all.lost,
        wrong: all.wrong,
        fell_behind: !args.closed && lag > BEHIND.as_secs_f64() * 1e3,
        own_lag_p99_ms: lag,
        opened: all.opened,
        rate: all.sent as f64 / args.seconds,
        p50_ms: ms(&all.times, 0.5),
        p99_ms: ms(&all.times, 0.99),
        p999_ms: ms(&all.times, 0.999),
        max_ms: all.times.max() as f64 / 1_000.0,
    };
    Ok((outcome, all.times))
}

/// A log that HdrHistogram's other tools read: one interval, in microseconds.
fn log(times: &Histogram<u64>, seconds: f64) -> Result<String, String> {
    let mut bytes = Vec::new();
    V2DeflateSerializer::new().serialize(times, &mut bytes).map_err(|e| format!("{e:?}"))?;
    Ok(format!(
        "#[Histogram log format version 1.3]\n\"StartTimestamp\",\"Interval_Length\",\"Interval_Max\",\"Interval_Compressed_Histogram\"\n\
         0.000,{seconds:.3},{:.3},{}\n",
        times.max() as f64 / 1_000.0,
        BASE64_STANDARD.encode(&bytes)
    ))
}

/// Writes the log of times that is asked for, if one is.
///
/// # Errors
/// It can't be written.
pub fn keep(args: &Args, times: &Histogram<u64>) -> Result<(), Failure> {
    let Some(path) = &args.hdr else { return Ok(()) };
    let text = log(times, args.seconds).map_err(Failure::Io)?;
    std::fs::write(path, text).map_err(|e| Failure::io("can't be written", path, e))
}

/// Puts the load on, and prints what came of it.
pub fn command(args: &Args) -> Result<u8, Failure> {
    let (o, times) = run(args)?;
    keep(args, &times)?;
    if args.json {
        println!("{}", serde_json::to_string(&o).map_err(|e| Failure::Io(e.to_string()))?);
    } else {
        println!(
            "sent {} ({:.0} a second): served {}, refused {}, failed {}, lost {}, wrong {}\n\
             p50 {:.3} ms, p99 {:.3} ms, p99.9 {:.3} ms, longest {:.3} ms; {} connections opened",
            o.sent,
            o.rate,
            o.served,
            o.refused,
            o.failed,
            o.lost,
            o.wrong,
            o.p50_ms,
            o.p99_ms,
            o.p999_ms,
            o.max_ms,
            o.opened
        );
    }
    if o.fell_behind {
        eprintln!("the load tool fell behind: 1% of its requests went out {:.1} ms late or more, by itself; the figures are void", o.own_lag_p99_ms);
        return Ok(3);
    }
    Ok(u8::from(o.wrong > 0))
}
