//! The real proxy round the decision module: one thread, one readiness loop.
//!
//! Sockets and timers become the module's events, its actions become bytes. Nothing here chooses where a
//! request goes, when, or whether it is tried again or refused; the proxy refuses by itself only what it has
//! no room for and the module has never seen.

mod client;
pub mod config;
mod control;
mod discovery;
mod operate;
mod timers;
mod upstream;

use ::control::message::Counters;
use calicosaddle::api::*;
use calicosaddle::Brain;
use client::{Clients, Place, Query};
use config::Config;
use control::{Endpoint, Kept};
use discovery::{Answer, Discovery};
use mio::net::UnixStream;
use mio::{Events, Interest, Poll, Token};
use rustc_hash::FxHashMap;
use signal_hook::consts::{SIGHUP, SIGTERM};
use std::collections::{HashSet, VecDeque};
use std::io::{self, Read};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use timers::{Due, Timers};
use upstream::{Job, Upstreams};

const MS: Nanos = 1_000_000;
/// The answer leaves this much before the client's time is up (a tenth of it where that is less), so that it
/// is in time though the loop may be late.
const MARGIN: Nanos = 10 * MS;
/// How often all connections are looked over for what waits too long.
const SWEEP: Nanos = 100 * MS;
/// After SIGTERM new connections come for 0.4 s at the most: so long the proxy serves on.
const WINDOW: Nanos = 450 * MS;
/// SIGKILL comes the longest deadline and 0.7 s after SIGTERM: what is under way then ends with the process.
const LAST_CALL: Nanos = 600 * MS;
/// After descriptors ran out, the listener rests for so long.
const ACCEPT_PAUSE: Nanos = 20 * MS;
/// Descriptors for all but connections: standard streams, poll, listener, signal, discovery, some to spare.
const RESERVED: usize = 32;
/// A quarter of the memory may hold long values of commands, and as much unread answers.
const MEMORY_PART: u64 = 4;
/// Requests open at once; each takes about a kilobyte.
const MAX_OPEN: usize = 8_192;
/// A poll that took less found its events waiting: they came while the loop was at work.
const AWAKE: Nanos = MS / 5;
/// Bytes read at once.
const BUFFER: usize = 64 << 10;

const LISTENER: Token = Token(0);
const SIGNAL: Token = Token(4);
const DISCOVERY: [Token; 2] = [Token(8), Token(12)];
const HANGUP: Token = Token(16);
const CONTROL: Token = Token(20);

/// A socket that becomes readable when this signal arrives.
fn signal_pipe(signal: i32) -> io::Result<UnixStream> {
    let (read, raised) = UnixStream::pair()?;
    signal_hook::low_level::pipe::register(signal, raised)?;
    Ok(read)
}

/// Takes all that a signal's socket has.
fn drain(mut pipe: &UnixStream) {
    let mut bytes = [0; 16];
    while pipe.read(&mut bytes).is_ok_and(|n| n > 0) {}
}

fn client_token(key: usize) -> Token {
    Token(key << 2 | 1)
}

fn upstream_token(key: usize) -> Token {
    Token(key << 2 | 2)
}

fn control_token(key: usize) -> Token {
    Token(key << 2 | 3)
}

/// The final answer of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Final {
    Served,
    Refused,
    Failed,
}

/// The module's clock: Unix time at the start and monotonic time since, so that a cache node's start, told as
/// Unix time, lies on it.
#[derive(Clone, Copy, Debug)]
struct Clock {
    unix: Nanos,
    started: Instant,
}

impl Clock {
    fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix: unix.as_nanos() as Nanos, started: Instant::now() }
    }

    fn now(&self) -> Nanos {
        self.unix + self.started.elapsed().as_nanos() as Nanos
    }
}

/// An attempt that has not ended.
#[derive(Debug)]
struct Attempt {
    number: u32,
    server: ServerId,
    sent: Nanos,
    connection: Option<usize>,
}

/// A request that is not answered, or has attempts out.
#[derive(Debug)]
struct Open {
    place: Place,
    query: Rc<Query>,
    until: Nanos,
    attempts: u32,
    out: Vec<Attempt>,
    answered: bool,
    /// The module has been told that the client left; what is under way may still be answered.
    left: bool,
}

/// One proxy.
pub struct Proxy {
    config: Config,
    clock: Clock,
    now: Nanos,
    /// When what this turn reads may have come at the earliest.
    since: Nanos,
    poll: Poll,
    signal: UnixStream,
    hangup: UnixStream,
    brain: Brain,
    timers: Timers,
    clients: Clients,
    upstreams: Upstreams,
    discovery: Discovery,
    open: FxHashMap<RequestId, Open>,
    /// The ids that clients gave to these. They choose them, so the hash is keyed.
    ids: HashSet<Box<[u8]>>,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    buffer: Vec<u8>,
    stopping: Option<Nanos>,
    /// A controller drained this instance then; nothing while it serves.
    draining: Option<Nanos>,
    closed: bool,
    control: Option<Endpoint>,
    kept: Kept,
    counters: Counters,
    /// Counts the changes that a watching controller is told of.
    changes: u64,
    /// It has known a box that takes work.
    started: bool,
    /// It was stopped when the connections were last looked over.
    stopped: bool,
    discovery_failed: bool,
}

impl Proxy {
    /// Listens, and tells the module what the configuration knows.
    ///
    /// # Errors
    /// The address can't be listened at, or something that the operator's file names can't be had.
    pub fn start(
        mut config: Config,
        operator: &operator::Operator,
    ) -> Result<Self, Box<dyn std::error::Error>> {
        let clock = Clock::new();
        let now = clock.now();
        let poll = Poll::new()?;
        let registry = poll.registry();
        let (mut signal, mut hangup) = (signal_pipe(SIGTERM)?, signal_pipe(SIGHUP)?);
        registry.register(&mut signal, SIGNAL, Interest::READABLE)?;
        registry.register(&mut hangup, HANGUP, Interest::READABLE)?;
        // Half of the descriptors for clients, half for cache nodes: a request needs one of each.
        let reserved = RESERVED + operator.control.as_ref().map_or(0, |c| c.max_connections + 1);
        let half = (config.sockets.saturating_sub(reserved) / 2).max(1);
        let memory = ((config.memory_mb << 20) / MEMORY_PART) as usize;
        let kept = Kept::load(operator.control.as_ref().and_then(|c| c.state_file.clone()))?;
        let mut clients = Clients::new(config.listen, half, memory);
        let drained = kept.state.drained;
        if !drained {
            clients.listen(registry, LISTENER)?;
        }
        let control = operator.control.as_ref().map(|c| Endpoint::open(c, registry, CONTROL)).transpose()?;
        let known = config.known.take();
        let version = known.as_ref().map(|k| k.version);
        let mut proxy = Proxy {
            clock,
            now,
            since: now,
            signal,
            hangup,
            brain: Brain::new(config.settings.clone(), config.seed),
            timers: Timers::default(),
            clients,
            upstreams: Upstreams::new(&config, half),
            discovery: Discovery::new(config.discovery, config.names.clone(), version, DISCOVERY),
            open: FxHashMap::default(),
            ids: HashSet::new(),
            events: VecDeque::new(),
            actions: Vec::new(),
            buffer: vec![0; BUFFER],
            stopping: None,
            draining: drained.then_some(now),
            closed: drained,
            control,
            kept,
            counters: Counters::default(),
            changes: 0,
            started: false,
            stopped: false,
            discovery_failed: false,
            poll,
            config,
        };
        proxy.withdraw();
        let entries = known.map(|k| proxy.take_list(k)).unwrap_or_default();
        proxy.events.push_back(Event::List { kind: ListKind::Cached, entries });
        proxy.decide();
        proxy.timers.set(now + SWEEP, Due::Sweep);
        Ok(proxy)
    }

    /// Serves until SIGTERM and what follows from it.
    pub fn run(mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(1024);
        while !self.done() {
            let more = self.clients.has_more() || self.upstreams.has_more();
            let before = self.clock.now();
            let next =
                self.timers.next().into_iter().chain(self.control.as_ref().and_then(Endpoint::work)).min();
            let wait = next.map(|at| Duration::from_nanos(at.saturating_sub(before)));
            match self.poll.poll(&mut events, if more { Some(Duration::ZERO) } else { wait }) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                polled => polled?,
            }
            let woken = self.now;
            self.now = self.clock.now();
            self.since = if self.now - before < AWAKE { woken } else { self.now };
            self.turn(&events);
        }
        Ok(())
    }

    /// One turn of the loop. Cache nodes come first: a connection that has closed is not written to again.
    /// Danger: a turn may be long where a core is shared, and waits would be measured short; so the clock is
    /// read again for each socket.
    fn turn(&mut self, events: &Events) {
        for key in self.upstreams.take_again() {
            self.upstreams.ready(key, true, &mut self.buffer, self.now);
            self.settle();
        }
        for event in events.iter().filter(|e| e.token().0 & 3 == 2) {
            self.now = self.clock.now();
            let closed = event.is_read_closed() || event.is_error();
            self.upstreams.ready(event.token().0 >> 2, closed, &mut self.buffer, self.now);
            self.settle();
        }
        self.run_timers();
        for event in events.iter().filter(|e| e.token().0 & 3 == 0) {
            match event.token() {
                LISTENER => self.clients.knocked(),
                SIGNAL => self.signalled(),
                HANGUP => self.reload(),
                CONTROL => self.control.iter_mut().for_each(Endpoint::knocked),
                token => {
                    let answer = self.discovery.ready(self.poll.registry(), token, self.now);
                    self.discovered(answer);
                }
            }
            self.settle();
        }
        for key in self.clients.take_again() {
            self.clients.read(key, true, &self.config, &mut self.buffer, self.now);
            self.settle();
        }
        for event in events.iter().filter(|e| e.token().0 & 3 == 1) {
            let key = event.token().0 >> 2;
            self.now = self.clock.now();
            if event.is_writable() {
                self.clients.flush(key, self.now);
            }
            let closed = event.is_read_closed() || event.is_error();
            self.clients.read(key, closed, &self.config, &mut self.buffer, self.now);
            self.settle();
        }
        if self.clients.accept(self.poll.registry(), self.now, client_token).is_err() {
            // Danger: without a pause the loop would spin on a listener that it can't accept from.
            self.timers.set(self.now + ACCEPT_PAUSE, Due::Accept);
        }
        for event in events.iter().filter(|e| e.token().0 & 3 == 3) {
            self.control.iter_mut().for_each(|c| c.woke(event.token().0 >> 2, self.now));
        }
        self.controlled();
        self.clients.flush_all(self.now);
        self.settle();
    }

    /// Works off all that sockets told and that follows from it.
    fn settle(&mut self) {
        loop {
            if let Some(news) = self.upstreams.news() {
                self.attempt_news(news);
            } else if let Some(news) = self.clients.news() {
                self.client_news(news);
            } else if self.events.is_empty() {
                return;
            }
            self.decide();
        }
    }

    // ---- the module ----

    /// Hands the module what happened, and does what it says.
    fn decide(&mut self) {
        while let Some(mut event) = self.events.pop_front() {
            if let Event::Outcome(o) = &mut event {
                o.last = self.open.get(&o.id).is_none_or(|r| r.answered);
                self.retire(o.id);
            }
            let mut actions = std::mem::take(&mut self.actions);
            self.brain.handle(self.now, event, &mut actions);
            actions.drain(..).for_each(|action| self.act(action));
            self.actions = actions;
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send { id, server, timeout } => self.send(id, server, timeout),
            Action::Cancel { id, attempt } => self.end_attempt(id, attempt, Status::Cancelled),
            Action::Refuse { id, retry_after: 0 } => self.answer(id, client::BUSY, Final::Refused),
            Action::Refuse { id, retry_after } => {
                let answer = format!("-BUSY {}\r\n", retry_after.div_ceil(MS));
                self.answer(id, answer.as_bytes(), Final::Refused);
            }
            Action::Fail { id } => self.answer(id, client::FAILED, Final::Failed),
            Action::Timer { token, delay } => self.timers.set(self.now + delay, Due::Module(token)),
            // This module asks for no probes; the design has no use for them.
            Action::Probe(server) => self.events.push_back(Event::Probed {
                server,
                status: Status::Moot,
                elapsed: 0,
                load: Vec::new(),
            }),
            Action::Close(server) => self.upstreams.close_idle(server),
            Action::Subscribe => {
                if let Err(e) = self.discovery.subscribe(self.poll.registry(), self.now) {
                    self.discovered(Some(Answer::Failed(e)));
                }
            }
            Action::FetchList => {
                if let Err(e) = self.discovery.fetch(self.poll.registry(), self.now) {
                    self.discovered(Some(Answer::Failed(e)));
                }
            }
        }
    }

    fn send(&mut self, id: RequestId, server: ServerId, timeout: Nanos) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let attempt = open.attempts;
        open.attempts += 1;
        self.counters.attempts += 1;
        open.out.push(Attempt { number: attempt, server, sent: self.now, connection: None });
        let over = open.answered || open.left || open.until <= self.now;
        if over || attempt >= self.config.settings.max_attempts.max(1) {
            self.end_attempt(id, attempt, Status::Moot);
            return;
        }
        let mut until = open.until;
        if timeout > 0 && self.now + timeout < until {
            until = self.now + timeout;
            self.timers.set(until, Due::Attempt(id, attempt));
        }
        let job = Job { id, attempt, query: open.query.clone(), until };
        let sent = self.upstreams.send(self.poll.registry(), upstream_token, server, job, self.now);
        let Some((key, new)) = sent else { return };
        if let Some(serial) = new {
            let wait = self.config.settings.connect_timeout.max(MS);
            self.timers.set(self.now + wait, Due::Connect(key, serial));
        }
        if let Some(a) = self.open.get_mut(&id).and_then(|o| o.out.iter_mut().find(|a| a.number == attempt)) {
            a.connection = Some(key);
        }
    }

    // ---- requests ----

    fn client_news(&mut self, news: client::News) {
        match news {
            client::News::Query(id, place, query) => self.arrived(id, place, query),
            client::News::Left(id) => {
                // Danger: a client that only ended its sending waits for its answer, and one that left wants
                // nothing more to be done. An attempt that is out is let finish, no other follows it.
                let Some(open) = self.open.get_mut(&id).filter(|o| !o.answered) else { return };
                open.left = true;
                self.events.push_back(Event::Expired(id));
            }
            client::News::Gone(id) => {
                let Some(open) = self.open.get_mut(&id).filter(|o| !o.answered) else { return };
                open.answered = true;
                self.counters.abandoned += 1;
                let out: Vec<u32> = open.out.iter().map(|a| a.number).collect();
                self.events.push_back(Event::Expired(id));
                out.into_iter().for_each(|n| self.end_attempt(id, n, Status::Cancelled));
                self.retire(id);
            }
        }
    }

    fn arrived(&mut self, id: RequestId, place: Place, query: Rc<Query>) {
        self.counters.accepted += 1;
        if self.open.len() >= self.config.max_open.min(MAX_OPEN) {
            self.counters.refused += 1;
            self.clients.answer(place, client::BUSY);
            return;
        }
        // Danger: cache nodes take a second request under an id that is open for another copy of the first.
        if !self.ids.insert(query.id().into()) {
            self.counters.failed += 1;
            self.clients.answer(place, client::ID_IN_USE);
            return;
        }
        let margin = MARGIN.min(query.wait / 10);
        let until = self.since + query.wait - margin;
        let request = Request {
            id,
            class: query.class,
            tenant: query.tenant,
            key: Some(query.key),
            remaining: until.saturating_sub(self.now),
            hint: query.hint,
            repeat: query.repeat,
            write: query.write,
        };
        let open = Open { place, query, until, attempts: 0, out: Vec::new(), answered: false, left: false };
        self.open.insert(id, open);
        self.timers.set(until, Due::Deadline(id));
        self.events.push_back(Event::Arrival(request));
    }

    /// Gives the one final answer.
    fn answer(&mut self, id: RequestId, answer: &[u8], how: Final) {
        let Some(open) = self.open.get_mut(&id).filter(|o| !o.answered) else { return };
        open.answered = true;
        *match how {
            Final::Served => &mut self.counters.served,
            Final::Refused => &mut self.counters.refused,
            Final::Failed => &mut self.counters.failed,
        } += 1;
        self.clients.answer(open.place, answer);
        self.retire(id);
    }

    /// Forgets a request that is answered and has no attempt out.
    fn retire(&mut self, id: RequestId) {
        if self.open.get(&id).is_some_and(|o| o.answered && o.out.is_empty()) {
            if let Some(open) = self.open.remove(&id) {
                self.ids.remove(open.query.id());
            }
        }
    }

    /// Answers a request that the module is no longer concerned with, once nothing is under way for it.
    fn finish_left(&mut self, id: RequestId) {
        if self.open.get(&id).is_some_and(|o| o.left && o.out.is_empty()) {
            self.answer(id, client::FAILED, Final::Failed);
        }
    }

    fn deadline(&mut self, id: RequestId) {
        let Some(open) = self.open.get(&id) else { return };
        let out: Vec<u32> = open.out.iter().map(|a| a.number).collect();
        out.into_iter().for_each(|n| self.end_attempt(id, n, Status::Timeout));
        self.settle();
        // The module answers when its last attempt has timed out; this holds should it ever not.
        if self.open.get(&id).is_some_and(|o| !o.answered) {
            self.events.push_back(Event::Expired(id));
            self.answer(id, client::FAILED, Final::Failed);
        }
    }

    // ---- attempts ----

    /// Ends an attempt for a reason of ours: called off, timed out, or never sent.
    fn end_attempt(&mut self, id: RequestId, attempt: u32, mut status: Status) {
        let Some(open) = self.open.get(&id) else { return };
        let Some(a) = open.out.iter().find(|a| a.number == attempt) else { return };
        if let Some(key) = a.connection {
            if status == Status::Timeout && !self.upstreams.is_written(key, id, attempt) {
                status = Status::ConnectFailed;
            }
            if !self.upstreams.cancel(key, id, attempt) {
                // Its news is on the way.
                return;
            }
        }
        self.ended(id, attempt, status, &resp::Reply::default());
    }

    fn attempt_news(&mut self, news: upstream::News) {
        match news {
            upstream::News::Ended(id, attempt, status, reply) => self.ended(id, attempt, status, &reply),
            upstream::News::Served(id, attempt, reply, bytes) => {
                self.answer(id, &bytes, Final::Served);
                self.ended(id, attempt, Status::Ok, &reply);
            }
        }
    }

    /// Tells the module how an attempt ended.
    fn ended(&mut self, id: RequestId, attempt: u32, status: Status, reply: &resp::Reply) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some(at) = open.out.iter().position(|a| a.number == attempt) else { return };
        let a = open.out.swap_remove(at);
        let hit = match &reply.note[..] {
            b"hit" => Some(true),
            b"miss" | b"pending" => Some(false),
            _ => None,
        };
        self.events.push_back(Event::Outcome(Outcome {
            id,
            attempt,
            server: a.server,
            status,
            elapsed: self.now.saturating_sub(a.sent),
            last: false,
            hit,
            load: load(&reply.load, &self.config.columns),
        }));
        self.finish_left(id);
    }

    // ---- discovery ----

    fn discovered(&mut self, answer: Option<Answer>) {
        match answer {
            None => {}
            Some(Answer::News(news)) => {
                self.discovery_failed = false;
                let kind = if news.whole { ListKind::Full } else { ListKind::Delta };
                let entries = self.take_list(news);
                self.events.push_back(Event::List { kind, entries });
            }
            Some(Answer::Failed(e)) => {
                // Only the first failure of a row is logged.
                if !std::mem::replace(&mut self.discovery_failed, true) {
                    eprintln!("discovery: {e}");
                }
                self.events.push_back(Event::List { kind: ListKind::Failed, entries: Vec::new() });
            }
        }
    }

    fn take_list(&mut self, news: discovery::News) -> Vec<Entry> {
        self.upstreams.list(&news, self.now);
        self.counters.lists += 1;
        self.changes += 1;
        news.hosts.into_iter().map(|h| h.entry).collect()
    }

    /// Takes over the configuration file anew: the address of discovery. All else in it holds from the next
    /// start on. Guards against any file that can't be used: the old configuration stays in force then.
    ///
    /// Danger: versions of one discovery mean nothing to another, so the new one is asked for its whole list.
    fn reload(&mut self) {
        drain(&self.hangup);
        match Config::from_env() {
            Err(e) => eprintln!("reload: {e}; the configuration stays as it was"),
            Ok(new) if new.discovery == self.config.discovery => {
                eprintln!("reload: discovery stays at {}", new.discovery);
            }
            Ok(new) => {
                eprintln!("reload: discovery is now at {}, was at {}", new.discovery, self.config.discovery);
                self.config.discovery = new.discovery;
                self.discovery_moved();
            }
        }
    }

    fn discovery_moved(&mut self) {
        self.discovery.moved(self.config.discovery);
        self.discovery_failed = false;
        self.events.push_back(Event::ListMoved);
    }

    // ---- time ----

    fn run_timers(&mut self) {
        while let Some(due) = self.timers.pop(self.now) {
            match due {
                Due::Module(token) => self.events.push_back(Event::Timer(token)),
                Due::Deadline(id) => self.deadline(id),
                Due::Attempt(id, attempt) => self.end_attempt(id, attempt, Status::Timeout),
                Due::Connect(key, serial) => self.upstreams.connect_timeout(key, serial),
                Due::Accept => self.clients.knocked(),
                Due::Sweep => {
                    self.timers.set(self.now + SWEEP, Due::Sweep);
                    self.clients.sweep(self.now);
                    self.upstreams.sweep(self.now);
                    let answer = self.discovery.sweep(self.now);
                    self.discovered(answer);
                    self.stop();
                    self.sweep_control();
                }
            }
            self.settle();
        }
    }

    // ---- the end ----

    fn signalled(&mut self) {
        drain(&self.signal);
        self.stopping.get_or_insert(self.now);
        self.changes += 1;
    }

    /// Closes the proxy to clients once the window after SIGTERM or a controller's drain is over.
    fn stop(&mut self) {
        let since = self.draining.into_iter().chain(self.stopping).min();
        if self.closed || since.is_none_or(|at| self.now < at + WINDOW) {
            return;
        }
        self.closed = true;
        // Danger: what the kernel has accepted would be reset with the listener.
        self.clients.knocked();
        let _ = self.clients.accept(self.poll.registry(), self.now, client_token);
        self.clients.stop(&self.config, &mut self.buffer, self.now);
    }

    fn done(&self) -> bool {
        self.stopping.is_some_and(|at| {
            (self.closed && self.clients.is_empty()) || self.now >= at + self.config.longest + LAST_CALL
        })
    }
}

/// Reads a load report: `name=value`, in the order of the columns; one that is not told is NaN.
fn load(report: &[u8], columns: &[String]) -> Vec<f64> {
    if columns.is_empty() || report.is_empty() {
        return Vec::new();
    }
    let report = String::from_utf8_lossy(report);
    let told = |column: &String| {
        let pair = report.split(',').filter_map(|p| p.split_once('=')).find(|(name, _)| name == column);
        pair.and_then(|(_, value)| value.parse().ok()).unwrap_or(f64::NAN)
    };
    columns.iter().map(told).collect()
}
