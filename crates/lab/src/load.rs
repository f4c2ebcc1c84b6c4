//! An open-loop load generator. Requests arrive as a Poisson process at a fixed rate, and latency counts from the intended
//! start even when the server is slow, so that a stall shows in every request that it delayed (no coordinated omission).
//! A closed-loop mode, which hides such stalls, is available for comparison.

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

/// The generator has fallen behind when it sends more than 1% of its requests later than intended by over this lag.
const MAX_OWN_LAG: Duration = Duration::from_millis(5);
/// A reply is awaited for the wait time of its class plus this.
const REPLY_GRACE: Duration = Duration::from_millis(200);
/// Requests that a thread queues for a connection; further ones count as lost at once.
const MAX_WAITING: usize = 1_000_000;

/// The load to generate, and its targets.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// Addresses of proxies; connections are spread over them round-robin.
    #[arg(required = true)]
    pub addresses: Vec<SocketAddr>,
    /// Requests per second, over all threads.
    #[arg(long, value_parser = positive)]
    pub rate: f64,
    /// Duration, in seconds.
    #[arg(long, value_parser = positive)]
    pub seconds: f64,
    /// Seed of the random source.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Print one JSON object at the end.
    #[arg(long)]
    pub json: bool,
    /// Number of threads.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..=256))]
    pub threads: u16,
    /// Maximum number of connections, over all threads.
    #[arg(long, default_value_t = 64, value_parser = clap::value_parser!(u32).range(1..=60_000))]
    pub connections: u32,
    /// Maximum number of outstanding requests on a connection.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..=128))]
    pub pipeline: u16,
    /// The fraction of replies after which the connection is closed and a new one opened.
    #[arg(long, default_value_t = 0.0, value_parser = fraction)]
    pub churn: f64,
    /// The fraction of connections that use RESP3.
    #[arg(long, default_value_t = 0.0, value_parser = fraction)]
    pub resp3: f64,
    /// A class as NAME:WAIT_MS:WEIGHT, followed by `:write` if its requests are writes; may be repeated.
    #[arg(long = "class", value_parser = class, default_values = ["pack-lookup:480:9", "swap-record:700:1:write"])]
    pub classes: Vec<Class>,
    /// A tenant as NAME:WEIGHT; may be repeated.
    #[arg(long = "tenant", value_parser = tenant)]
    pub tenants: Vec<(String, f64)>,
    /// Number of keys, chosen uniformly.
    #[arg(long, default_value_t = 2_000, value_parser = clap::value_parser!(u64).range(1..))]
    pub keys: u64,
    /// Size of a written value, in bytes.
    #[arg(long, default_value_t = 16, value_parser = clap::value_parser!(u32).range(1..=4_194_304))]
    pub value: u32,
    /// Count a reply to a read as wrong if its value does not contain the key in hex, as the values of testkit's boxes do.
    #[arg(long)]
    pub check_keys: bool,
    /// Closed loop: each connection sends its next request as soon as it has the reply to the previous one.
    #[arg(long)]
    pub closed: bool,
    /// Write the latencies to this file, in the log format of HdrHistogram.
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

fn fraction(text: &str) -> Result<f64, String> {
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

/// Result of a run. Latencies are in milliseconds, from the intended start to the reply; a request without a reply counts
/// with the time for which it was awaited.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// Requests whose intended start was reached.
    pub sent: u64,
    /// Answered with a value or a write acknowledgement.
    pub served: u64,
    /// Answered with `-BUSY`.
    pub refused: u64,
    /// Answered with another error.
    pub failed: u64,
    /// Unanswered: the connection was closed, or the wait time passed.
    pub lost: u64,
    /// Protocol errors, unsolicited replies, and replies with the value of another key.
    pub wrong: u64,
    /// The generator itself was late: the results are invalid.
    pub fell_behind: bool,
    /// 99th percentile of the generator's own lag.
    pub own_lag_p99_ms: f64,
    /// Connections opened.
    pub opened: u64,
    /// Achieved rate, in requests per second.
    pub rate: f64,
    /// Median latency.
    pub p50_ms: f64,
    /// 99th percentile of the latency.
    pub p99_ms: f64,
    /// 99.9th percentile of the latency.
    pub p999_ms: f64,
    /// Maximum latency.
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
        // Latencies from 1 us to one hour, in microseconds, with three significant digits.
        let times = || {
            Histogram::new_with_bounds(1, 3_600_000_000, 3)
                .unwrap_or_else(|_| unreachable!("constant histogram bounds are valid"))
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
        // Cannot fail: both histograms have the same bounds.
        let _ = self.times.add(&other.times);
        let _ = self.lag.add(&other.lag);
    }

    fn record_latency(&mut self, since: Instant, now: Instant) {
        self.times.saturating_record(now.saturating_duration_since(since).as_micros().max(1) as u64);
    }
}

#[derive(Clone, Debug)]
struct Request {
    intended: Instant,
    deadline: Instant,
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
    closing: bool,
}

/// One thread of the load generator.
struct Worker<'a> {
    args: &'a Args,
    number: usize,
    random: RandomSource,
    /// Weights of the classes (0) and of the tenants (1).
    weights: [Vec<f64>; 2],
    poll: Poll,
    connections: Vec<Option<Connection>>,
    max_connections: usize,
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
        let resp3 = self.random.happens(self.args.resp3);
        let mut out = Vec::new();
        if resp3 {
            out.extend_from_slice(b"*2\r\n$5\r\nHELLO\r\n$1\r\n3\r\n");
        }
        let connection = Connection {
            stream,
            greeting: resp3.then(HelloReplyParser::default),
            reader: ReplyReader::new(if resp3 { Protocol::Three } else { Protocol::Two }),
            raw: Vec::new(),
            sent: VecDeque::new(),
            out,
            written: 0,
            closing: false,
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
            // The seed makes idempotency keys unique to a run: boxes ignore a write whose idempotency key they have seen.
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

    /// Assigns waiting requests to connections with free pipeline slots, preferring idle and then new connections.
    fn assign(&mut self) {
        let depth = usize::from(self.args.pipeline);
        while !self.waiting.is_empty() {
            let has_room = |c: &Connection| !c.closing && c.sent.len() < depth;
            let all = self.connections.iter().enumerate();
            let fit = all.filter_map(|(k, c)| c.as_ref().filter(|c| has_room(c)).map(|c| (k, c)));
            let best = fit.min_by_key(|(_, c)| c.sent.len()).map(|(k, c)| (k, c.sent.is_empty()));
            let key = match best {
                Some((key, true)) => key,
                other if self.open < self.max_connections => match (self.connect(), other) {
                    (Ok(()), _) => continue,
                    (Err(_), Some((key, _))) => key,
                    // No connection is available: waiting requests expire at their deadlines.
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
                    self.close(key);
                    return;
                }
            }
        }
        c.out.clear();
        c.written = 0;
    }

    /// Closes a connection; its outstanding requests count as lost.
    fn close(&mut self, key: usize) {
        let Some(c) = self.connections[key].take() else { return };
        self.open -= 1;
        let now = Instant::now();
        for request in c.sent {
            self.tally.lost += 1;
            // A request without a reply counts with the full time for which it would have been awaited.
            self.tally.record_latency(request.intended, request.deadline.max(now));
        }
    }

    fn read(&mut self, key: usize, buffer: &mut [u8]) {
        loop {
            let Some(c) = self.connections[key].as_mut() else { return };
            match c.stream.read(buffer) {
                Ok(0) => return self.close(key),
                Ok(n) => {
                    if !self.handle_input(key, &buffer[..n]) {
                        return self.close(key);
                    }
                    if n < buffer.len() {
                        return;
                    }
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => return,
                Err(_) => return self.close(key),
            }
        }
    }

    /// Parses and counts replies; returns false if the connection must be closed.
    fn handle_input(&mut self, key: usize, mut input: &[u8]) -> bool {
        while !input.is_empty() {
            let Some(c) = self.connections[key].as_mut() else { return true };
            if let Some(greeting) = &mut c.greeting {
                let Ok((used, answer)) = greeting.feed(input) else {
                    self.tally.wrong += 1;
                    return false;
                };
                input = &input[used..];
                if let Some(answer) = answer {
                    // A server that rejects HELLO 3 continues in RESP2.
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
            self.tally.record_latency(request.intended, now);
            let hex = format!("{:016x}", request.key);
            let wrong_key = self.args.check_keys
                && reply.kind == ReplyKind::Served
                && !self.args.classes[request.class].write
                && !raw.windows(hex.len()).any(|w| w == hex.as_bytes());
            match reply.kind {
                _ if wrong_key => self.tally.wrong += 1,
                ReplyKind::Served => self.tally.served += 1,
                ReplyKind::Busy => self.tally.refused += 1,
                ReplyKind::Failed => self.tally.failed += 1,
            }
            c.closing |= self.random.happens(self.args.churn);
            if c.closing && c.sent.is_empty() {
                return false;
            }
        }
        true
    }

    /// Counts requests past their deadline as lost. A connection with such a request is closed, since a late reply may still
    /// arrive on it.
    fn expire(&mut self, now: Instant) {
        while let Some(request) = self.waiting.front().filter(|r| r.deadline <= now).cloned() {
            self.waiting.pop_front();
            self.tally.lost += 1;
            self.tally.record_latency(request.intended, now);
        }
        for key in 0..self.connections.len() {
            let overdue = |c: &Connection| c.sent.front().is_some_and(|r| r.deadline <= now);
            if self.connections[key].as_ref().is_some_and(overdue) {
                self.close(key);
            }
        }
    }

    fn draw_weighted(&mut self, of: usize) -> usize {
        let weights = &self.weights[of];
        let mut left = self.random.unit() * weights.iter().sum::<f64>();
        weights
            .iter()
            .position(|w| {
                left -= w;
                left < 0.0
            })
            .unwrap_or(weights.len() - 1)
    }

    fn enqueue_request(&mut self, intended: Instant) {
        let class = self.draw_weighted(0);
        let tenant = (!self.args.tenants.is_empty()).then(|| self.draw_weighted(1));
        let key = self.random.below(self.args.keys as usize) as u64;
        self.count += 1;
        self.tally.sent += 1;
        let deadline = intended + self.args.classes[class].wait + REPLY_GRACE;
        let request = Request { intended, deadline, class, tenant, key, number: self.count };
        if self.waiting.len() >= MAX_WAITING {
            self.tally.lost += 1;
            self.tally.record_latency(intended, deadline);
        } else {
            self.waiting.push_back(request);
        }
    }

    fn run(mut self, start: Instant) -> io::Result<Tally> {
        let gap = f64::from(self.args.threads) / self.args.rate;
        let end = start + Duration::from_secs_f64(self.args.seconds);
        let longest = self.args.classes.iter().map(|c| c.wait).max().unwrap_or_default() + REPLY_GRACE;
        let mut due = start + Duration::from_secs_f64(gap * self.random.exponential());
        let (mut events, mut buffer) = (Events::with_capacity(1024), vec![0; 64 << 10]);
        let mut last_expiry = start;
        loop {
            let now = Instant::now();
            if self.args.closed {
                while now < end && self.waiting.is_empty() && self.free_slots() > 0 {
                    self.enqueue_request(Instant::now());
                    self.assign();
                }
            } else {
                while due <= now && due < end {
                    self.tally.lag.saturating_record(now.duration_since(due).as_micros().max(1) as u64);
                    self.enqueue_request(due);
                    due += Duration::from_secs_f64(gap * self.random.exponential());
                }
            }
            self.assign();
            if now.duration_since(last_expiry) >= Duration::from_millis(10) {
                last_expiry = now;
                self.expire(now);
            }
            let idle =
                self.waiting.is_empty() && self.connections.iter().flatten().all(|c| c.sent.is_empty());
            if now >= end && (idle || now >= end + longest) {
                self.expire(now + longest);
                return Ok(self.tally);
            }
            // The poll timeout has a resolution of one millisecond, so the last millisecond is spent polling.
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

    /// Number of requests that could be sent now, on open and on new connections.
    fn free_slots(&self) -> usize {
        let depth = usize::from(self.args.pipeline);
        let on_open: usize = self.connections.iter().flatten().map(|c| depth - c.sent.len().min(depth)).sum();
        on_open + (self.max_connections - self.open) * depth
    }
}

/// Runs the load generator.
///
/// # Errors
/// A thread could not create its poll instance, or ended abnormally.
pub fn run(args: &Args) -> Result<(Outcome, Histogram<u64>), Failure> {
    let start = Instant::now() + Duration::from_millis(20);
    let threads = usize::from(args.threads);
    let max_connections = (args.connections as usize / threads).max(1);
    let worker = |number: usize| -> io::Result<Tally> {
        let worker = Worker {
            args,
            number,
            random: RandomSource::new(args.seed, number as u64),
            weights: [
                args.classes.iter().map(|c| c.weight).collect(),
                args.tenants.iter().map(|t| t.1).collect(),
            ],
            poll: Poll::new()?,
            connections: Vec::new(),
            max_connections,
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
        let panicked = || io::Error::other("a load thread panicked");
        all.into_iter().map(|t| t.join().unwrap_or_else(|_| Err(panicked()))).collect()
    });
    let mut all = Tally::new();
    for tally in tallies {
        all.add(&tally.map_err(|e| Failure::Io(format!("load generator failed: {e}")))?);
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
        fell_behind: !args.closed && lag > MAX_OWN_LAG.as_secs_f64() * 1e3,
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

/// A log for the tools of HdrHistogram, with one interval, in microseconds.
fn hdr_log(times: &Histogram<u64>, seconds: f64) -> Result<String, String> {
    let mut bytes = Vec::new();
    V2DeflateSerializer::new().serialize(times, &mut bytes).map_err(|e| format!("{e:?}"))?;
    Ok(format!(
        "#[Histogram log format version 1.3]\n\"StartTimestamp\",\"Interval_Length\",\"Interval_Max\",\"Interval_Compressed_Histogram\"\n\
         0.000,{seconds:.3},{:.3},{}\n",
        times.max() as f64 / 1_000.0,
        BASE64_STANDARD.encode(&bytes)
    ))
}

/// Writes the latency log, if `--hdr` was given.
///
/// # Errors
/// The file can't be written.
pub fn keep(args: &Args, times: &Histogram<u64>) -> Result<(), Failure> {
    let Some(path) = &args.hdr else { return Ok(()) };
    let text = hdr_log(times, args.seconds).map_err(Failure::Io)?;
    std::fs::write(path, text).map_err(|e| Failure::io("can't be written", path, e))
}

/// Runs the load generator and prints the result.
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
        eprintln!("the load tool fell behind: it sent 1% of its requests at least {:.1} ms late; the results are invalid", o.own_lag_p99_ms);
        return Ok(3);
    }
    Ok(u8::from(o.wrong > 0))
}
