//! A proxy round its decision module, with the limits of the real one: a table of open requests, connections with
//! streams, timers. What it does with actions follows `crates/proxy`, in the same order.

use crate::boxes::Answer;
use crate::judge::Rule;
use crate::policy::{Policy, Truth};
use crate::sim::{End, Ev, Sim};
use crate::{Nanos, MS};
use calicosaddle::api::*;
use pipeline::{
    BoxLatencies, CancelOutcome, Command, CommandKind, ConnectionState, DisconnectOutcome, Pipeline,
    Placement, PlacementRequest, SettleDelay,
};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// The answer leaves this much before the client's time is up, or a tenth of it where that is less.
const MARGIN: Nanos = 10 * MS;
/// A proxy may still send to a box for so long after it was told of its drain, the way there counted.
const DRAIN_GRACE: Nanos = 500 * MS;

/// A request that is not answered, or has attempts out.
#[derive(Debug)]
pub struct Open {
    /// The request of a client, by number, and which of its tries.
    pub request: u32,
    pub number: u32,
    key: u64,
    until: Nanos,
    attempts: u32,
    out: Vec<Out>,
    answered: bool,
}

#[derive(Debug)]
struct Out {
    number: u32,
    at: u32,
    sent: Nanos,
    connection: Option<usize>,
}

/// An attempt that waits to be written.
#[derive(Debug)]
pub struct Waiting {
    id: u64,
    number: u32,
    write: bool,
    aim: Nanos,
}

impl Command for Waiting {
    type Tag = (u64, u32);

    fn tag(&self) -> Self::Tag {
        (self.id, self.number)
    }

    fn kind(&self) -> CommandKind {
        CommandKind { write: self.write, large_value: false }
    }
}

/// What a proxy has of a box that it has sent to.
#[derive(Debug, Default)]
struct Reached {
    connections: Vec<usize>,
    times: Box<BoxLatencies>,
}

/// A connection to a box.
#[derive(Debug)]
pub struct Connection {
    pub proxy: usize,
    pub to: u32,
    /// The box's process that it is to.
    pub life: u32,
    pub serial: u64,
    pub up: bool,
    /// The box has too many, and turns away what comes by it.
    pub crowded: bool,
    pipe: Pipeline<Waiting>,
    begun: Nanos,
    moved: Nanos,
    /// When the last answer came on it, and from when on it may carry the next request.
    answered: Nanos,
    ready: Nanos,
    next: u64,
    /// Answers at the box, in the order of the requests, from this number on.
    pub answers: VecDeque<Option<Answer>>,
    pub base: u64,
}

/// What a proxy was told of a box last.
#[derive(Clone, Copy, Debug, Default)]
pub struct Known {
    /// Nothing, or its state.
    pub state: Option<ServerState>,
    pub started: Nanos,
}

/// A proxy.
pub struct Host {
    pub zone: usize,
    pub alive: bool,
    /// Counts its processes.
    pub life: u32,
    pub subscribed: bool,
    pub policy: Option<Box<dyn Policy>>,
    pub open: FxHashMap<u64, Open>,
    by_box: FxHashMap<u32, Reached>,
    /// What all boxes were measured to take.
    times: BoxLatencies,
    /// How long its connections rest, as it has learned.
    rest: SettleDelay,
    pub connections: usize,
    pub known: Vec<Known>,
    /// Boxes whose drain it was told of, and when.
    pub told_drain: FxHashMap<u32, Nanos>,
    pub events: VecDeque<Event>,
}

impl Host {
    pub fn new(zone: usize, rest: SettleDelay) -> Self {
        Host {
            zone,
            alive: true,
            life: 0,
            subscribed: false,
            policy: None,
            open: FxHashMap::default(),
            by_box: FxHashMap::default(),
            times: BoxLatencies::NONE,
            rest,
            connections: 0,
            known: Vec::new(),
            told_drain: FxHashMap::default(),
            events: VecDeque::new(),
        }
    }

    /// Notes the connection that an attempt is on.
    fn goes_by(&mut self, job: &Waiting, connection: Option<usize>) {
        let out = self.open.get_mut(&job.id).and_then(|o| o.out.iter_mut().find(|a| a.number == job.number));
        if let Some(out) = out {
            out.connection = connection;
        }
    }

    /// All that its process held is gone; what clients wait for.
    pub fn dies(&mut self, rest: SettleDelay) -> (Vec<Open>, Vec<usize>) {
        self.alive = false;
        self.life += 1;
        self.subscribed = false;
        self.policy = None;
        self.events.clear();
        self.connections = 0;
        self.told_drain.clear();
        (self.times, self.rest) = (BoxLatencies::NONE, rest);
        let mut open: Vec<(u64, Open)> = self.open.drain().collect();
        open.sort_unstable_by_key(|(id, _)| *id);
        let mut connections: Vec<usize> = self.by_box.drain().flat_map(|(_, r)| r.connections).collect();
        connections.sort_unstable();
        (open.into_iter().map(|(_, o)| o).filter(|o| !o.answered).collect(), connections)
    }
}

impl Sim<'_> {
    // ---- arrivals ----

    /// A client's try has reached a proxy that lives.
    pub(crate) fn arrived(&mut self, proxy: usize, request: u32, number: u32, wait: Nanos) {
        let now = self.now;
        let r = &self.requests[request as usize];
        let (class, key, write) = (u32::from(r.write), r.key, r.write);
        if self.hosts[proxy].open.len() >= self.scenario.topology.max_open {
            self.note(request, || format!("proxy {proxy} has no room"));
            self.tell(request, number, proxy, End::Refused(0));
            return;
        }
        self.ids += 1;
        let id = self.ids;
        let until = now + wait - MARGIN.min(wait / 10);
        let open = Open { request, number, key, until, attempts: 0, out: Vec::new(), answered: false };
        let host = &mut self.hosts[proxy];
        host.open.insert(id, open);
        let life = host.life;
        host.events.push_back(Event::Arrival(Request {
            id,
            class,
            key: Some(key),
            remaining: until - now,
            is_retry: number > 0,
            write,
            ..Request::default()
        }));
        self.at(until, Ev::Deadline { proxy, life, id });
        self.decide(proxy);
    }

    // ---- decisions ----

    /// Hands the policy what happened, and does what it says.
    pub(crate) fn decide(&mut self, proxy: usize) {
        while let Some(mut event) = self.hosts[proxy].events.pop_front() {
            if let Event::Outcome(o) = &mut event {
                o.request_complete = !self.waits(proxy, o.id);
                self.retire(proxy, o.id);
            }
            let Some(mut policy) = self.hosts[proxy].policy.take() else { return };
            let mut actions = std::mem::take(&mut self.actions);
            policy.handle(self.now, event, &Seen { sim: self, proxy }, &mut actions);
            self.hosts[proxy].policy = Some(policy);
            for action in actions.drain(..) {
                self.act(proxy, action);
            }
            self.actions = actions;
        }
    }

    fn act(&mut self, proxy: usize, action: Action) {
        let life = self.hosts[proxy].life;
        match action {
            Action::Send { id, server, timeout } => self.send(proxy, id, server, timeout),
            Action::Cancel { id, attempt } => self.end_attempt(proxy, id, attempt, Status::Cancelled),
            Action::Refuse { id, retry_after } => self.answer(proxy, id, End::Refused(retry_after)),
            Action::Fail { id } => self.answer(proxy, id, End::Failed),
            Action::Timer { token, delay } => self.at(self.now + delay, Ev::Module { proxy, life, token }),
            Action::Probe(server) => self.hosts[proxy].events.push_back(Event::Probed {
                server,
                status: Status::NotSent,
                elapsed: 0,
                load_report: Vec::new(),
            }),
            Action::CloseIdle(server) => {
                let Some(at) = self.by_server.get(&server).copied() else { return };
                let keys =
                    self.hosts[proxy].by_box.get(&at).map(|r| r.connections.clone()).unwrap_or_default();
                for key in keys {
                    if self.connections[key].as_ref().is_some_and(|c| c.pipe.depth() == 0) {
                        self.close(key);
                    }
                }
            }
            Action::Subscribe => self.ask_list(proxy),
        }
    }

    // ---- attempts ----

    fn send(&mut self, proxy: usize, id: u64, server: ServerId, timeout: Nanos) {
        let (now, most) = (self.now, self.scenario.topology.max_attempts.max(1));
        let Some(at) = self.by_server.get(&server).copied() else { return };
        let host = &mut self.hosts[proxy];
        let (life, guarded) = (host.life, self.options.guard);
        let Some(open) = host.open.get_mut(&id) else { return };
        let number = open.attempts;
        open.attempts += 1;
        open.out.push(Out { number, at, sent: now, connection: None });
        let over = open.answered || open.until <= now || number >= most;
        let (request, answered) = (open.request, open.answered);
        let until = if timeout > 0 { open.until.min(now + timeout) } else { open.until };
        self.note(request, || format!("proxy {proxy} begins attempt {number} at box {at}"));
        if over && guarded {
            self.end_attempt(proxy, id, number, Status::NotSent);
            return;
        }
        if answered {
            self.breaches
                .add(Rule::SentAfterAnswer, now, Some(request), || format!("attempt {number} to box {at}"));
        }
        if until < self.hosts[proxy].open.get(&id).map_or(0, |o| o.until) {
            self.at(until, Ev::Attempt { proxy, life, id, attempt: number });
        }
        let write = self.requests[request as usize].write;
        let ask = &self.scenario.traffic;
        let aim = crate::millis(if write { ask.write.aim_ms } else { ask.read.aim_ms });
        self.go_by_some(proxy, at, Waiting { id, number, write, aim: until.min(now + aim) });
    }

    /// Puts an attempt on the connection that it is to take, or ends it.
    fn go_by_some(&mut self, proxy: usize, at: u32, job: Waiting) {
        match self.place(proxy, at, &job) {
            Some(key) => self.put(key, job),
            None => {
                let connected = self.hosts[proxy].by_box.get(&at).is_some_and(|r| !r.connections.is_empty());
                self.end_attempt(proxy, job.id, job.number, Status::without_connection(connected));
            }
        }
    }

    /// Closes a connection; what waits on it, of which nothing is written, goes by another.
    fn close_and_go_on(&mut self, key: usize) {
        let Some(c) = &mut self.connections[key] else { return };
        let (proxy, at, jobs) = (c.proxy, c.to, c.pipe.take_queued());
        self.close(key);
        for job in jobs {
            self.hosts[proxy].goes_by(&job, None);
            self.go_by_some(proxy, at, job);
        }
    }

    /// Puts an attempt on a connection.
    fn put(&mut self, key: usize, job: Waiting) {
        let Some(c) = &mut self.connections[key] else { return };
        self.hosts[c.proxy].goes_by(&job, Some(key));
        c.pipe.push(job);
        let (serial, ready) = (c.serial, c.ready);
        if c.up && ready > self.now {
            self.at(ready, Ev::Rested { connection: key, serial });
        } else if c.up {
            self.flush(key);
        }
    }

    /// The connection for an attempt, opened if need be.
    fn place(&mut self, proxy: usize, at: u32, job: &Waiting) -> Option<usize> {
        let t = &self.scenario.topology;
        let per_box = (t.box_connections / t.proxies.max(1)).clamp(1, t.most_connections);
        let room = self.hosts[proxy].by_box.get(&at).map_or(0, |r| r.connections.len()) < per_box;
        match self.choose(proxy, at, job, room) {
            Placement::New => self.connect(proxy, at).or_else(|| self.choose(proxy, at, job, false).key()),
            place => place.key(),
        }
    }

    fn choose(&self, proxy: usize, at: u32, job: &Waiting, room: bool) -> Placement<usize> {
        let reached = self.hosts[proxy].by_box.get(&at);
        let (keys, times) =
            reached.map_or((&[][..], &BoxLatencies::NONE), |r| (r.connections.as_slice(), &*r.times));
        let seen = keys.iter().filter_map(|key| {
            let c = self.connections[*key].as_ref()?;
            let rests = c.up && c.pipe.depth() == 0;
            let fits =
                if rests { self.now - c.moved < self.idle_after } else { !c.pipe.has_cancelled_in_flight() };
            fits.then(|| ConnectionState {
                key: *key,
                connected: c.up,
                active_since: if c.up { c.moved } else { c.begun },
                writable_at: c.ready,
                depth: c.pipe.depth(),
                head_age: c.pipe.head_age(self.now),
                latency: c.pipe.latency(),
                same_kind: c.pipe.is_uniform(job.kind()),
            })
        });
        let ask = PlacementRequest { kind: job.kind(), target_time: job.aim, may_open: room };
        let known = pipeline::LatencyContext { this_box: times, all_boxes: &self.hosts[proxy].times };
        pipeline::choose_connection(&ask, seen, known, &self.pipes, self.now)
    }

    /// A connection has nothing to do any more: it takes what waits longest for one that is not up yet.
    fn relieve(&mut self, key: usize) {
        let free = |c: &&Connection| c.up && c.pipe.depth() == 0;
        let Some(c) = self.connections[key].as_ref().filter(free) else { return };
        let Some(reached) = self.hosts[c.proxy].by_box.get(&c.to) else { return };
        let waits = |k: &&usize| self.connections[**k].as_ref().is_some_and(|c| !c.up && c.pipe.has_queued());
        let slow = reached.connections.iter().filter(waits);
        let slow = slow.min_by_key(|k| self.connections[**k].as_ref().map(|c| (c.begun, c.serial)));
        let job = slow.copied().and_then(|k| self.connections[k].as_mut()?.pipe.pop_queued());
        if let Some(job) = job {
            self.put(key, job);
        }
    }

    fn connect(&mut self, proxy: usize, at: u32) -> Option<usize> {
        let t = &self.scenario.topology;
        if self.hosts[proxy].connections >= t.connections && !self.evict(proxy) {
            return None;
        }
        self.serial += 1;
        let (serial, now) = (self.serial, self.now);
        let key = self.free.pop().unwrap_or_else(|| {
            self.connections.push(None);
            self.connections.len() - 1
        });
        self.connections[key] = Some(Connection {
            proxy,
            to: at,
            life: self.boxes[at as usize].life,
            serial,
            up: false,
            crowded: false,
            pipe: Pipeline::default(),
            begun: now,
            moved: now,
            answered: 0,
            ready: 0,
            next: 0,
            answers: VecDeque::new(),
            base: 0,
        });
        let host = &mut self.hosts[proxy];
        host.connections += 1;
        host.by_box.entry(at).or_default().connections.push(key);
        self.opened();
        let way = self.way(proxy, at);
        self.at(now + way, Ev::Knock { connection: key, serial });
        let wait = crate::millis(self.scenario.topology.connect_timeout_ms);
        self.at(now + wait, Ev::Connect { connection: key, serial });
        Some(key)
    }

    /// Closes the connection of a proxy that was idle longest.
    fn evict(&mut self, proxy: usize) -> bool {
        let keys = self.hosts[proxy].by_box.values().flat_map(|r| &r.connections);
        let all = keys.filter_map(|k| Some((*k, self.connections[*k].as_ref()?)));
        let idle = all.filter(|(_, c)| c.pipe.depth() == 0).min_by_key(|(_, c)| (c.moved, c.serial));
        let Some((key, _)) = idle else { return false };
        self.close(key);
        true
    }

    /// Closes what stood idle for too long.
    pub(crate) fn sweep(&mut self, proxy: usize) {
        let keys = self.hosts[proxy].by_box.values().flat_map(|r| &r.connections);
        let all = keys.filter_map(|k| Some((*k, self.connections[*k].as_ref()?)));
        let old = all.filter(|(_, c)| c.up && c.pipe.depth() == 0 && self.now - c.moved >= self.idle_after);
        let mut old: Vec<usize> = old.map(|(k, _)| k).collect();
        old.sort_unstable();
        old.into_iter().for_each(|k| self.close(k));
    }

    /// Writes what waits, each attempt checked when its turn comes.
    pub(crate) fn flush(&mut self, key: usize) {
        while let Some(c) = self.connections[key].as_mut().filter(|c| c.ready <= self.now) {
            let Some(job) = c.pipe.pop_queued() else { return };
            let (id, attempt) = job.tag();
            let (proxy, to, serial, seq) = (c.proxy, c.to, c.serial, c.next);
            let host = &self.hosts[proxy];
            let ready = host.known.get(to as usize).is_some_and(|k| k.state == Some(ServerState::Ready));
            let Some(open) = host.open.get(&id) else { continue };
            let (request, rkey, until) = (open.request, open.key, open.until);
            if self.options.guard && (!ready || until <= self.now) {
                let status = if ready { Status::ConnectFailed } else { Status::NotSent };
                self.ended(proxy, id, attempt, status, None);
                continue;
            }
            if let Some(told) = host.told_drain.get(&to).copied() {
                let past = self.now.saturating_sub(told + DRAIN_GRACE);
                if past > 0 {
                    self.breaches.add(Rule::Drain, self.now, Some(request), || {
                        format!("proxy {proxy} to box {to}, {} ms past the grace", past / MS)
                    });
                }
            }
            let Some(c) = &mut self.connections[key] else { return };
            c.next += 1;
            c.moved = self.now;
            c.pipe.add_to_batch(job, 1);
            c.pipe.record_written(1, self.now, |_| ());
            let write = self.requests[request as usize].write.then_some(u64::from(request));
            let job = crate::boxes::Job {
                connection: key,
                serial,
                place: seq,
                key: rkey,
                write,
                sent: self.now,
                handshake: false,
            };
            self.attempts();
            self.note(request, || format!("proxy {proxy} writes attempt {attempt} to box {to}"));
            let (way, job) = (self.way(proxy, to), self.keep_job(job, request));
            self.at(self.now + way, Ev::AtBox { job });
        }
    }

    /// Ends an attempt for a reason of the proxy's: called off, timed out, never sent.
    pub(crate) fn end_attempt(&mut self, proxy: usize, id: u64, attempt: u32, mut status: Status) {
        let Some(open) = self.hosts[proxy].open.get(&id) else { return };
        let Some(out) = open.out.iter().find(|a| a.number == attempt) else { return };
        if let Some(key) = out.connection {
            let Some(c) = &mut self.connections[key] else { return };
            if c.pipe.cancel((id, attempt)) == CancelOutcome::Queued && status == Status::Timeout {
                status = Status::ConnectFailed;
            }
            // Only what is over is left: closing spares the box its work.
            if c.pipe.has_no_waiters() && c.pipe.in_flight() > 0 {
                self.close(key);
            }
        }
        self.ended(proxy, id, attempt, status, None);
    }

    fn end_attempts(&mut self, proxy: usize, id: u64, status: Status) {
        let out = self.hosts[proxy].open.get(&id).map(|o| o.out.iter().map(|a| a.number).collect());
        let out: Vec<u32> = out.unwrap_or_default();
        out.into_iter().for_each(|n| self.end_attempt(proxy, id, n, status));
    }

    /// Tells the policy how an attempt ended.
    fn ended(&mut self, proxy: usize, id: u64, attempt: u32, status: Status, hit: Option<bool>) {
        let now = self.now;
        let host = &mut self.hosts[proxy];
        let Some(open) = host.open.get_mut(&id) else { return };
        let Some(at) = open.out.iter().position(|a| a.number == attempt) else { return };
        let out = open.out.swap_remove(at);
        let (request, server) = (open.request, self.boxes[out.at as usize].server);
        host.events.push_back(Event::Outcome(Outcome {
            id,
            attempt,
            server,
            status,
            elapsed: now - out.sent,
            request_complete: false,
            hit,
            load_report: Vec::new(),
        }));
        self.note(request, || {
            format!("attempt {attempt} at box {} ended: {}", out.at, reported_name(status))
        });
    }

    /// A connection is there no longer, and its box will learn of it.
    pub(crate) fn unplug(&mut self, key: usize) -> Option<Connection> {
        let c = self.connections[key].take()?;
        self.free.push(key);
        let way = self.way(c.proxy, c.to);
        self.at(self.now + way, Ev::Left { to: c.to, life: c.life });
        Some(c)
    }

    /// A connection ends; what was written may have run, what was not has not.
    pub(crate) fn close(&mut self, key: usize) {
        let Some(c) = self.unplug(key) else { return };
        let (proxy, to) = (c.proxy, c.to);
        let host = &mut self.hosts[proxy];
        host.connections -= 1;
        if let Some(reached) = host.by_box.get_mut(&to) {
            reached.connections.retain(|k| *k != key);
        }
        for ((id, attempt), fate) in c.pipe.into_outcomes() {
            let status =
                if fate == DisconnectOutcome::Unknown { Status::Reset } else { Status::ConnectFailed };
            self.ended(proxy, id, attempt, status, None);
        }
    }

    /// A connection has come up.
    pub(crate) fn connected(&mut self, key: usize) {
        let Some(c) = &self.connections[key] else { return };
        let host = &mut self.hosts[c.proxy];
        if let Some(reached) = host.by_box.get_mut(&c.to) {
            reached.times.record_connect(self.now - c.begun);
            host.times.record_connect(self.now - c.begun);
        }
        self.flush(key);
    }

    /// An answer has come by a connection, and perhaps more in one segment with it.
    pub(crate) fn replied(&mut self, key: usize, answer: Answer, more: Option<Answer>) {
        let Answer { status, hit, made_for } = answer;
        let Some(c) = &mut self.connections[key] else { return };
        let (proxy, serial) = (c.proxy, c.serial);
        c.moved = self.now;
        let Some(answered) = c.pipe.complete_head(self.now) else {
            // Nobody asked for it.
            self.hosts[proxy].rest.record_unsolicited(self.now - c.answered);
            self.close_and_go_on(key);
            self.decide(proxy);
            return;
        };
        let to = c.to;
        let host = &mut self.hosts[proxy];
        (c.answered, c.ready) = (self.now, self.now);
        if c.pipe.depth() == 0 {
            c.ready += host.rest.duration();
        }
        // What comes with an answer is read with it, before anything is written.
        let more = match more {
            Some(_) if c.pipe.head().is_none() => {
                self.close_and_go_on(key);
                None
            }
            more => more,
        };
        let host = &mut self.hosts[proxy];
        if let Some(reached) = host.by_box.get_mut(&to) {
            for times in [&mut *reached.times, &mut host.times] {
                times.record_answer(answered.kind, answered.pipelined, answered.latency, answered.head_time);
            }
        }
        if status == Status::Malformed {
            if let Some((id, attempt)) = answered.tag {
                self.ended(proxy, id, attempt, Status::Malformed, None);
            }
            self.close(key);
            self.decide(proxy);
            return;
        }
        self.relieve(key);
        let Some((id, attempt)) = answered.tag else {
            self.wasted += 1;
            self.and_more(key, serial, more);
            return;
        };
        let served = self.hosts[proxy].open.get(&id).filter(|o| !o.answered && status == Status::Ok);
        let read = served.map(|o| o.key).zip(hit);
        if let Some(request) = served.map(|o| o.request).filter(|r| made_for != Some(*r)) {
            self.breaches.add(Rule::Strange, self.now, Some(request), || {
                format!("by proxy {proxy} from box {to}: made for {made_for:?}")
            });
        }
        if status == Status::Ok {
            self.answer(proxy, id, End::Served);
        }
        self.ended(proxy, id, attempt, status, hit);
        self.decide(proxy);
        if let Some((key, hit)) = read.filter(|_| self.copies.is_some()) {
            self.copy(proxy, key, hit, (!answered.pipelined).then_some(answered.latency));
        }
        self.and_more(key, serial, more);
    }

    /// What stands behind an answer goes to the next in line, if the connection is still there.
    fn and_more(&mut self, key: usize, serial: u64, more: Option<Answer>) {
        let same = |c: &Connection| c.serial == serial;
        if let Some(more) = more.filter(|_| self.connections[key].as_ref().is_some_and(same)) {
            self.replied(key, more, None);
        }
    }

    // ---- answers ----

    fn waits(&self, proxy: usize, id: u64) -> bool {
        self.hosts[proxy].open.get(&id).is_some_and(|o| !o.answered)
    }

    fn retire(&mut self, proxy: usize, id: u64) {
        let open = &mut self.hosts[proxy].open;
        if self.options.guard && open.get(&id).is_some_and(|o| o.answered && o.out.is_empty()) {
            open.remove(&id);
        }
    }

    /// Gives the one final answer.
    fn answer(&mut self, proxy: usize, id: u64, end: End) {
        let Some(open) = self.hosts[proxy].open.get_mut(&id).filter(|o| !o.answered) else { return };
        open.answered = true;
        let (request, number) = (open.request, open.number);
        self.tell(request, number, proxy, end);
        self.retire(proxy, id);
    }

    /// A request's time is up.
    pub(crate) fn deadline(&mut self, proxy: usize, id: u64) {
        self.end_attempts(proxy, id, Status::Timeout);
        self.decide(proxy);
        if self.waits(proxy, id) {
            self.hosts[proxy].events.push_back(Event::Abandoned(id));
            self.answer(proxy, id, End::Failed);
            self.decide(proxy);
        }
    }
}

/// The name of a status in the histories of run reports.
fn reported_name(status: Status) -> String {
    match status {
        Status::Rejected => "Full".into(),
        Status::Malformed => "Spoilt".into(),
        Status::NotSent => "Moot".into(),
        other => format!("{other:?}"),
    }
}

/// The true state, from where a proxy stands.
struct Seen<'s, 'a> {
    sim: &'s Sim<'a>,
    proxy: usize,
}

impl Truth for Seen<'_, '_> {
    fn wait(&self, server: ServerId) -> Option<Nanos> {
        let at = *self.sim.by_server.get(&server)?;
        if self.sim.is_cut(self.proxy, at) {
            return None;
        }
        Some(self.sim.boxes[at as usize].wait(self.sim.now)? + 2 * self.sim.way(self.proxy, at))
    }
}
