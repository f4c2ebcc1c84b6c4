//! A simulated proxy around its load-balancing policy, with the limits of the real one: a table of open requests,
//! connections with pipelined requests, and timers. It applies actions in the same order as `crates/proxy`.

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

/// The proxy answers this long before the client's timeout, or a tenth of the timeout before it if that is less.
const ANSWER_MARGIN: Nanos = 10 * MS;
/// How long after the notification of a box's drain a proxy may still send to it, network delay included.
const DRAIN_GRACE: Nanos = 500 * MS;

/// A request that is unanswered or still has attempts in progress.
#[derive(Debug)]
pub struct Open {
    /// Index of the client's request.
    pub request: u32,
    /// Number of the client's try, from 0.
    pub number: u32,
    key: u64,
    until: Nanos,
    attempts: u32,
    outstanding: Vec<OutstandingAttempt>,
    answered: bool,
}

#[derive(Debug)]
struct OutstandingAttempt {
    number: u32,
    at: u32,
    sent: Nanos,
    connection: Option<usize>,
}

/// An attempt that is queued for writing.
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

/// A proxy's connections to one box and the latencies measured there.
#[derive(Debug, Default)]
struct BoxConnections {
    connections: Vec<usize>,
    times: Box<BoxLatencies>,
}

/// A connection to a box.
#[derive(Debug)]
pub struct Connection {
    pub proxy: usize,
    pub to: u32,
    /// Incarnation of the box's process that it is connected to.
    pub incarnation: u32,
    pub serial: u64,
    pub up: bool,
    /// The box is over its connection limit and rejects every request on this connection.
    pub over_connection_limit: bool,
    pipe: Pipeline<Waiting>,
    opened_at: Nanos,
    /// When a request was last written or an answer last read.
    active_at: Nanos,
    /// When the last answer arrived.
    answered_at: Nanos,
    /// When the next request may be written.
    writable_at: Nanos,
    next: u64,
    /// Answers pending at the box in request order; the first belongs to request number `base`.
    pub answers: VecDeque<Option<Answer>>,
    pub base: u64,
}

/// The latest discovery update that a proxy received for a box.
#[derive(Clone, Copy, Debug, Default)]
pub struct ListedBox {
    /// The listed state; `None` if the box was never listed.
    pub state: Option<ServerState>,
    pub started: Nanos,
}

/// A proxy.
pub struct Host {
    pub zone: usize,
    pub alive: bool,
    /// Incarnation of the proxy process.
    pub incarnation: u32,
    pub subscribed: bool,
    pub policy: Option<Box<dyn Policy>>,
    pub open: FxHashMap<u64, Open>,
    by_box: FxHashMap<u32, BoxConnections>,
    /// Latencies measured over all boxes.
    times: BoxLatencies,
    /// Settle delay learned for its connections.
    settle_delay: SettleDelay,
    pub connections: usize,
    pub known: Vec<ListedBox>,
    /// Boxes of whose drain it was notified, and when.
    pub drain_notified_at: FxHashMap<u32, Nanos>,
    pub events: VecDeque<Event>,
}

impl Host {
    pub fn new(zone: usize, settle_delay: SettleDelay) -> Self {
        Host {
            zone,
            alive: true,
            incarnation: 0,
            subscribed: false,
            policy: None,
            open: FxHashMap::default(),
            by_box: FxHashMap::default(),
            times: BoxLatencies::NONE,
            settle_delay,
            connections: 0,
            known: Vec::new(),
            drain_notified_at: FxHashMap::default(),
            events: VecDeque::new(),
        }
    }

    /// Records the connection that carries an attempt.
    fn set_connection(&mut self, job: &Waiting, connection: Option<usize>) {
        let out = self
            .open
            .get_mut(&job.id)
            .and_then(|o| o.outstanding.iter_mut().find(|a| a.number == job.number));
        if let Some(out) = out {
            out.connection = connection;
        }
    }

    /// Ends the process and discards its state; returns the unanswered requests and the connections that it had.
    pub fn kill(&mut self, settle_delay: SettleDelay) -> (Vec<Open>, Vec<usize>) {
        self.alive = false;
        self.incarnation += 1;
        self.subscribed = false;
        self.policy = None;
        self.events.clear();
        self.connections = 0;
        self.drain_notified_at.clear();
        (self.times, self.settle_delay) = (BoxLatencies::NONE, settle_delay);
        let mut open: Vec<(u64, Open)> = self.open.drain().collect();
        open.sort_unstable_by_key(|(id, _)| *id);
        let mut connections: Vec<usize> = self.by_box.drain().flat_map(|(_, r)| r.connections).collect();
        connections.sort_unstable();
        (open.into_iter().map(|(_, o)| o).filter(|o| !o.answered).collect(), connections)
    }
}

impl Sim<'_> {
    // ---- arrivals ----

    /// A client's try has reached a running proxy.
    pub(crate) fn handle_arrival(&mut self, proxy: usize, request: u32, number: u32, wait: Nanos) {
        let now = self.now;
        let r = &self.requests[request as usize];
        let (class, key, write) = (u32::from(r.write), r.key, r.write);
        if self.hosts[proxy].open.len() >= self.scenario.topology.max_open {
            self.record_history(request, || format!("proxy {proxy} has no room"));
            self.answer_client(request, number, proxy, End::Refused(0));
            return;
        }
        self.ids += 1;
        let id = self.ids;
        let until = now + wait - ANSWER_MARGIN.min(wait / 10);
        let open =
            Open { request, number, key, until, attempts: 0, outstanding: Vec::new(), answered: false };
        let host = &mut self.hosts[proxy];
        host.open.insert(id, open);
        let incarnation = host.incarnation;
        host.events.push_back(Event::Arrival(Request {
            id,
            class,
            key: Some(key),
            remaining: until - now,
            is_retry: number > 0,
            write,
            ..Request::default()
        }));
        self.schedule(until, Ev::Deadline { proxy, incarnation, id });
        self.run_policy(proxy);
    }

    // ---- decisions ----

    /// Passes queued events to the policy and applies the actions it returns.
    pub(crate) fn run_policy(&mut self, proxy: usize) {
        while let Some(mut event) = self.hosts[proxy].events.pop_front() {
            if let Event::Outcome(o) = &mut event {
                o.request_complete = !self.is_waiting(proxy, o.id);
                self.remove_if_finished(proxy, o.id);
            }
            let Some(mut policy) = self.hosts[proxy].policy.take() else { return };
            let mut actions = std::mem::take(&mut self.actions);
            policy.handle(self.now, event, &TrueState { sim: self, proxy }, &mut actions);
            self.hosts[proxy].policy = Some(policy);
            for action in actions.drain(..) {
                self.apply(proxy, action);
            }
            self.actions = actions;
        }
    }

    fn apply(&mut self, proxy: usize, action: Action) {
        let incarnation = self.hosts[proxy].incarnation;
        match action {
            Action::Send { id, server, timeout } => self.send(proxy, id, server, timeout),
            Action::Cancel { id, attempt } => self.end_attempt(proxy, id, attempt, Status::Cancelled),
            Action::Refuse { id, retry_after } => self.answer(proxy, id, End::Refused(retry_after)),
            Action::Fail { id } => self.answer(proxy, id, End::Failed),
            Action::Timer { token, delay } => {
                self.schedule(self.now + delay, Ev::PolicyTimer { proxy, incarnation, token })
            }
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
            Action::Subscribe => self.request_list(proxy),
        }
    }

    // ---- attempts ----

    fn send(&mut self, proxy: usize, id: u64, server: ServerId, timeout: Nanos) {
        let (now, most) = (self.now, self.scenario.topology.max_attempts.max(1));
        let Some(at) = self.by_server.get(&server).copied() else { return };
        let host = &mut self.hosts[proxy];
        let (incarnation, guard) = (host.incarnation, self.options.guard);
        let Some(open) = host.open.get_mut(&id) else { return };
        let number = open.attempts;
        open.attempts += 1;
        open.outstanding.push(OutstandingAttempt { number, at, sent: now, connection: None });
        let over = open.answered || open.until <= now || number >= most;
        let (request, answered) = (open.request, open.answered);
        let until = if timeout > 0 { open.until.min(now + timeout) } else { open.until };
        self.record_history(request, || format!("proxy {proxy} begins attempt {number} at box {at}"));
        if over && guard {
            self.end_attempt(proxy, id, number, Status::NotSent);
            return;
        }
        if answered {
            self.breaches
                .add(Rule::SentAfterAnswer, now, Some(request), || format!("attempt {number} to box {at}"));
        }
        if until < self.hosts[proxy].open.get(&id).map_or(0, |o| o.until) {
            self.schedule(until, Ev::AttemptTimeout { proxy, incarnation, id, attempt: number });
        }
        let write = self.requests[request as usize].write;
        let ask = &self.scenario.traffic;
        let aim = crate::millis(if write { ask.write.aim_ms } else { ask.read.aim_ms });
        self.dispatch(proxy, at, Waiting { id, number, write, aim: until.min(now + aim) });
    }

    /// Queues an attempt on the connection chosen for it, or ends it if there is none.
    fn dispatch(&mut self, proxy: usize, at: u32, job: Waiting) {
        match self.place(proxy, at, &job) {
            Some(key) => self.enqueue(key, job),
            None => {
                let connected = self.hosts[proxy].by_box.get(&at).is_some_and(|r| !r.connections.is_empty());
                self.end_attempt(proxy, job.id, job.number, Status::without_connection(connected));
            }
        }
    }

    /// Closes a connection and moves its queued, unwritten attempts to other connections.
    fn close_and_redispatch(&mut self, key: usize) {
        let Some(c) = &mut self.connections[key] else { return };
        let (proxy, at, jobs) = (c.proxy, c.to, c.pipe.take_queued());
        self.close(key);
        for job in jobs {
            self.hosts[proxy].set_connection(&job, None);
            self.dispatch(proxy, at, job);
        }
    }

    /// Queues an attempt on a connection.
    fn enqueue(&mut self, key: usize, job: Waiting) {
        let Some(c) = &mut self.connections[key] else { return };
        self.hosts[c.proxy].set_connection(&job, Some(key));
        c.pipe.push(job);
        let (serial, ready) = (c.serial, c.writable_at);
        if c.up && ready > self.now {
            self.schedule(ready, Ev::Writable { connection: key, serial });
        } else if c.up {
            self.flush(key);
        }
    }

    /// Returns the connection for an attempt, opening one if needed.
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
            let idle = c.up && c.pipe.depth() == 0;
            let fits = if idle {
                self.now - c.active_at < self.idle_after
            } else {
                !c.pipe.has_cancelled_in_flight()
            };
            fits.then(|| ConnectionState {
                key: *key,
                connected: c.up,
                active_since: if c.up { c.active_at } else { c.opened_at },
                writable_at: c.writable_at,
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

    /// Moves an attempt to an idle connection from the one that has been connecting for the longest.
    fn take_over_queued(&mut self, key: usize) {
        let idle = |c: &&Connection| c.up && c.pipe.depth() == 0;
        let Some(c) = self.connections[key].as_ref().filter(idle) else { return };
        let Some(to_box) = self.hosts[c.proxy].by_box.get(&c.to) else { return };
        let connecting =
            |k: &&usize| self.connections[**k].as_ref().is_some_and(|c| !c.up && c.pipe.has_queued());
        let slowest = to_box.connections.iter().filter(connecting);
        let slowest = slowest.min_by_key(|k| self.connections[**k].as_ref().map(|c| (c.opened_at, c.serial)));
        let job = slowest.copied().and_then(|k| self.connections[k].as_mut()?.pipe.pop_queued());
        if let Some(job) = job {
            self.enqueue(key, job);
        }
    }

    fn connect(&mut self, proxy: usize, to: u32) -> Option<usize> {
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
            to,
            incarnation: self.boxes[to as usize].incarnation,
            serial,
            up: false,
            over_connection_limit: false,
            pipe: Pipeline::default(),
            opened_at: now,
            active_at: now,
            answered_at: 0,
            writable_at: 0,
            next: 0,
            answers: VecDeque::new(),
            base: 0,
        });
        let host = &mut self.hosts[proxy];
        host.connections += 1;
        host.by_box.entry(to).or_default().connections.push(key);
        self.count_opened();
        let delay = self.network_delay(proxy, to);
        self.schedule(now + delay, Ev::ConnectionRequest { connection: key, serial });
        let timeout = crate::millis(self.scenario.topology.connect_timeout_ms);
        self.schedule(now + timeout, Ev::ConnectTimeout { connection: key, serial });
        Some(key)
    }

    /// Closes the proxy's longest-idle connection; false if none is idle.
    fn evict(&mut self, proxy: usize) -> bool {
        let keys = self.hosts[proxy].by_box.values().flat_map(|r| &r.connections);
        let all = keys.filter_map(|k| Some((*k, self.connections[*k].as_ref()?)));
        let idle = all.filter(|(_, c)| c.pipe.depth() == 0).min_by_key(|(_, c)| (c.active_at, c.serial));
        let Some((key, _)) = idle else { return false };
        self.close(key);
        true
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn close_idle(&mut self, proxy: usize) {
        let keys = self.hosts[proxy].by_box.values().flat_map(|r| &r.connections);
        let all = keys.filter_map(|k| Some((*k, self.connections[*k].as_ref()?)));
        let old =
            all.filter(|(_, c)| c.up && c.pipe.depth() == 0 && self.now - c.active_at >= self.idle_after);
        let mut old: Vec<usize> = old.map(|(k, _)| k).collect();
        old.sort_unstable();
        old.into_iter().for_each(|k| self.close(k));
    }

    /// Writes queued attempts, checking before each write that it is still wanted and its box ready.
    pub(crate) fn flush(&mut self, key: usize) {
        while let Some(c) = self.connections[key].as_mut().filter(|c| c.writable_at <= self.now) {
            let Some(job) = c.pipe.pop_queued() else { return };
            let (id, attempt) = job.tag();
            let (proxy, to, serial, seq) = (c.proxy, c.to, c.serial, c.next);
            let host = &self.hosts[proxy];
            let ready = host.known.get(to as usize).is_some_and(|k| k.state == Some(ServerState::Ready));
            let Some(open) = host.open.get(&id) else { continue };
            let (request, rkey, until) = (open.request, open.key, open.until);
            if self.options.guard && (!ready || until <= self.now) {
                let status = if ready { Status::ConnectFailed } else { Status::NotSent };
                self.finish_attempt(proxy, id, attempt, status, None);
                continue;
            }
            if let Some(told) = host.drain_notified_at.get(&to).copied() {
                let past = self.now.saturating_sub(told + DRAIN_GRACE);
                if past > 0 {
                    self.breaches.add(Rule::Drain, self.now, Some(request), || {
                        format!("proxy {proxy} to box {to}, {} ms past the grace", past / MS)
                    });
                }
            }
            let Some(c) = &mut self.connections[key] else { return };
            c.next += 1;
            c.active_at = self.now;
            c.pipe.add_to_batch(job, 1);
            c.pipe.record_written(1, self.now, |_| ());
            let write = self.requests[request as usize].write.then_some(u64::from(request));
            let job = crate::boxes::Job {
                connection: key,
                serial,
                sequence: seq,
                key: rkey,
                write,
                sent: self.now,
                handshake: false,
            };
            self.count_attempt();
            self.record_history(request, || format!("proxy {proxy} writes attempt {attempt} to box {to}"));
            let (delay, job) = (self.network_delay(proxy, to), self.keep_job(job, request));
            self.schedule(self.now + delay, Ev::AtBox { job });
        }
    }

    /// Ends an attempt on the proxy's side: cancelled, timed out or not sent.
    pub(crate) fn end_attempt(&mut self, proxy: usize, id: u64, attempt: u32, mut status: Status) {
        let Some(open) = self.hosts[proxy].open.get(&id) else { return };
        let Some(out) = open.outstanding.iter().find(|a| a.number == attempt) else { return };
        if let Some(key) = out.connection {
            let Some(c) = &mut self.connections[key] else { return };
            if c.pipe.cancel((id, attempt)) == CancelOutcome::Queued && status == Status::Timeout {
                status = Status::ConnectFailed;
            }
            // Only cancelled requests are left: closing the connection saves the box their work.
            if c.pipe.has_no_waiters() && c.pipe.in_flight() > 0 {
                self.close(key);
            }
        }
        self.finish_attempt(proxy, id, attempt, status, None);
    }

    fn end_attempts(&mut self, proxy: usize, id: u64, status: Status) {
        let out = self.hosts[proxy].open.get(&id).map(|o| o.outstanding.iter().map(|a| a.number).collect());
        let attempts: Vec<u32> = out.unwrap_or_default();
        attempts.into_iter().for_each(|n| self.end_attempt(proxy, id, n, status));
    }

    /// Queues an attempt's outcome for the policy.
    fn finish_attempt(&mut self, proxy: usize, id: u64, attempt: u32, status: Status, hit: Option<bool>) {
        let now = self.now;
        let host = &mut self.hosts[proxy];
        let Some(open) = host.open.get_mut(&id) else { return };
        let Some(at) = open.outstanding.iter().position(|a| a.number == attempt) else { return };
        let out = open.outstanding.swap_remove(at);
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
        self.record_history(request, || {
            format!("attempt {attempt} at box {} ended: {}", out.at, reported_name(status))
        });
    }

    /// Removes a connection; its box learns of it after the network delay.
    pub(crate) fn remove_connection(&mut self, key: usize) -> Option<Connection> {
        let c = self.connections[key].take()?;
        self.free.push(key);
        let delay = self.network_delay(c.proxy, c.to);
        self.schedule(self.now + delay, Ev::ConnectionClosed { to: c.to, incarnation: c.incarnation });
        Some(c)
    }

    /// Closes a connection: written attempts may have run, unwritten ones have not.
    pub(crate) fn close(&mut self, key: usize) {
        let Some(c) = self.remove_connection(key) else { return };
        let (proxy, to) = (c.proxy, c.to);
        let host = &mut self.hosts[proxy];
        host.connections -= 1;
        if let Some(reached) = host.by_box.get_mut(&to) {
            reached.connections.retain(|k| *k != key);
        }
        for ((id, attempt), fate) in c.pipe.into_outcomes() {
            let status =
                if fate == DisconnectOutcome::Unknown { Status::Reset } else { Status::ConnectFailed };
            self.finish_attempt(proxy, id, attempt, status, None);
        }
    }

    /// A connection is established.
    pub(crate) fn connected(&mut self, key: usize) {
        let Some(c) = &self.connections[key] else { return };
        let host = &mut self.hosts[c.proxy];
        if let Some(reached) = host.by_box.get_mut(&c.to) {
            reached.times.record_connect(self.now - c.opened_at);
            host.times.record_connect(self.now - c.opened_at);
        }
        self.flush(key);
    }

    /// An answer has arrived, possibly with unsolicited bytes (`more`) in the same segment.
    pub(crate) fn handle_reply(&mut self, key: usize, answer: Answer, more: Option<Answer>) {
        let Answer { status, hit, made_for } = answer;
        let Some(c) = &mut self.connections[key] else { return };
        let (proxy, serial) = (c.proxy, c.serial);
        c.active_at = self.now;
        let Some(answered) = c.pipe.complete_head(self.now) else {
            // Unsolicited: no request is in flight on this connection.
            self.hosts[proxy].settle_delay.record_unsolicited(self.now - c.answered_at);
            self.close_and_redispatch(key);
            self.run_policy(proxy);
            return;
        };
        let to = c.to;
        let host = &mut self.hosts[proxy];
        (c.answered_at, c.writable_at) = (self.now, self.now);
        if c.pipe.depth() == 0 {
            c.writable_at += host.settle_delay.duration();
        }
        // Bytes behind an answer are read with it, before the next request is written.
        let more = match more {
            Some(_) if c.pipe.head().is_none() => {
                self.close_and_redispatch(key);
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
                self.finish_attempt(proxy, id, attempt, Status::Malformed, None);
            }
            self.close(key);
            self.run_policy(proxy);
            return;
        }
        self.take_over_queued(key);
        let Some((id, attempt)) = answered.tag else {
            self.wasted += 1;
            self.handle_surplus(key, serial, more);
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
        self.finish_attempt(proxy, id, attempt, status, hit);
        self.run_policy(proxy);
        if let Some((key, hit)) = read.filter(|_| self.copies.is_some()) {
            self.copy(proxy, key, hit, (!answered.pipelined).then_some(answered.latency));
        }
        self.handle_surplus(key, serial, more);
    }

    /// Matches bytes behind an answer with the next request in flight, if the connection is still open.
    fn handle_surplus(&mut self, key: usize, serial: u64, more: Option<Answer>) {
        let same = |c: &Connection| c.serial == serial;
        if let Some(more) = more.filter(|_| self.connections[key].as_ref().is_some_and(same)) {
            self.handle_reply(key, more, None);
        }
    }

    // ---- answers ----

    fn is_waiting(&self, proxy: usize, id: u64) -> bool {
        self.hosts[proxy].open.get(&id).is_some_and(|o| !o.answered)
    }

    fn remove_if_finished(&mut self, proxy: usize, id: u64) {
        let open = &mut self.hosts[proxy].open;
        if self.options.guard && open.get(&id).is_some_and(|o| o.answered && o.outstanding.is_empty()) {
            open.remove(&id);
        }
    }

    /// Sends the one final answer to the client.
    fn answer(&mut self, proxy: usize, id: u64, end: End) {
        let Some(open) = self.hosts[proxy].open.get_mut(&id).filter(|o| !o.answered) else { return };
        open.answered = true;
        let (request, number) = (open.request, open.number);
        self.answer_client(request, number, proxy, end);
        self.remove_if_finished(proxy, id);
    }

    /// A request has reached its deadline.
    pub(crate) fn deadline(&mut self, proxy: usize, id: u64) {
        self.end_attempts(proxy, id, Status::Timeout);
        self.run_policy(proxy);
        if self.is_waiting(proxy, id) {
            self.hosts[proxy].events.push_back(Event::Abandoned(id));
            self.answer(proxy, id, End::Failed);
            self.run_policy(proxy);
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

/// The true state of the boxes as seen from one proxy.
struct TrueState<'s, 'a> {
    sim: &'s Sim<'a>,
    proxy: usize,
}

impl Truth for TrueState<'_, '_> {
    fn wait(&self, server: ServerId) -> Option<Nanos> {
        let at = *self.sim.by_server.get(&server)?;
        if self.sim.is_cut(self.proxy, at) {
            return None;
        }
        Some(self.sim.boxes[at as usize].wait(self.sim.now)? + 2 * self.sim.network_delay(self.proxy, at))
    }
}
