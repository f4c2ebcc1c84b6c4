//! Cache nodes: where they are, the connections to each, and the attempts on them.
//!
//! A connection carries attempts in order. An attempt is checked when its turn to be written comes, and once
//! its last byte is written it may have run, whatever becomes of the connection.

mod choose;
mod connection;
mod node;
mod rests;
mod socket;
mod write;

use crate::descriptors::DescriptorBudget;
use crate::event_loop::Source;
use crate::platform::config::Config;
use crate::platform::discovery::{ListUpdate, TopologyNames};
use addresses::{Address, AddressId, ConnectionRace};
use calicosaddle::api::{Nanos, RequestId, ServerId, ServerState, Status};
use connection::Connection;
pub use connection::Job;
use control::message::{BoxStatus, Pipelines, DEPTHS};
use mio::{Registry, Token};
use node::{word, Node};
use pipeline::{
    BoxLatencies, CancelOutcome, DisconnectOutcome, Pipeline, PipelineConfig, PlacementPolicy, SettleDelay,
};
use resp::{Frame, Item, Kind, Part, Protocol, Reply, ReplyReader, Shape};
use rests::Rests;
use rustc_hash::{FxHashMap, FxHashSet};
use serde_json::{json, Value};
use slab::Slab;
use socket::{Dial, Socket};
use std::collections::{BTreeSet, VecDeque};
use std::io::{self, Read};

const MS: Nanos = 1_000_000;
/// Connections to one cache node over all proxies, as far as this proxy plans for. Nodes accept about thirty,
/// a fuller table takes more of their capacity, and proxies that restart bring theirs anew.
const NODE_CONNECTIONS: usize = 24;
/// Connections that one proxy wants to a node at the most: more than a node has places for requests.
const MOST_CONNECTIONS: usize = 8;
/// The part of the node's idle time after which a connection is not used again: a request that crosses the
/// node's close ends as a reset.
const IDLE_PART: f64 = 0.8;
/// A request that a node no longer listened for is reset within a round trip; one that broke off later was at
/// work.
const CROSSED: Nanos = 50 * MS;
/// A node writes a reply in one go, with pauses of 0.1 s at the most; what is silent for longer within one is
/// not going to end it.
const STALLED: Nanos = 200 * MS;
/// One that gives a long value may take its time: the client has its first bytes, and can't have them twice.
const PASSING: Nanos = 5_000 * MS;
/// What an idle connection keeps of its buffer.
const KEPT: usize = 4 << 10;
/// The longest password that nodes are told.
const MAX_PASSWORD: usize = 512;
/// Reads of one connection before others have their turn.
const READS: usize = 4;

/// What connections are greeted with, if the operator's file allows RESP3.
///
/// # Errors
/// The key and what is wrong with it.
pub fn hello(told: &operator::Boxes) -> Result<Option<Vec<u8>>, String> {
    let mut words = vec![Frame::text("HELLO"), Frame::text("3")];
    if let (Some(user), Some(path)) = (&told.user, &told.password_file) {
        let fault = |what: String| format!("boxes.password_file: {}: {what}", path.display());
        let password = std::fs::read_to_string(path).map_err(|e| fault(format!("can't be read: {e}")))?;
        let password = password.trim_end_matches(['\r', '\n']);
        if password.is_empty() || password.len() > MAX_PASSWORD {
            return Err(fault(format!("does not hold a password of 1 to {MAX_PASSWORD} bytes")));
        }
        words.extend([Frame::text("AUTH"), Frame::text(user), Frame::text(password)]);
    }
    let mut bytes = Vec::new();
    Frame::Array(words).write(Protocol::Two, &mut bytes);
    Ok(told.resp3.then_some(bytes))
}

/// What the operator's file says of pipelines, within the platform's bounds: one command at a time unless it says
/// otherwise.
///
/// Danger: answers are told apart by their order alone, and boxes may send more than was asked for right behind a good
/// answer. A second command that is on its way to the box by then is given that surplus as its answer, and nothing in
/// RESP shows it. What goes out one at a time finds such bytes before the next command is written.
///
/// # Errors
/// A line for each key that goes past these: the key, its value and the bound.
pub fn pipes(told: &operator::Pipeline, config: &Config) -> Result<PipelineConfig, String> {
    let most = config.max_streams;
    let over = |(key, depth): &(&str, Option<usize>)| {
        let depth = depth.filter(|d| *d > most)?;
        Some(format!("pipeline.{key}: is {depth}; settings.caps.streams_per_conn allows {most}"))
    };
    let faults: Vec<String> =
        [("reads", told.reads), ("writes", told.writes)].iter().filter_map(over).collect();
    if !faults.is_empty() {
        return Err(faults.join("\n"));
    }
    let depth = |reads_or_writes: Option<usize>| reads_or_writes.filter(|_| told.enabled).unwrap_or(1);
    let depth = [depth(told.reads), depth(told.writes)];
    // Where commands go behind one another anyway, a rest before the first of them guards nothing.
    let rest = told.rest_ms.map(|ms| ms * MS).or((depth != [1, 1]).then_some(0));
    Ok(PipelineConfig {
        placement: if told.expected { PlacementPolicy::Expected } else { PlacementPolicy::Fixed },
        max_depth: depth,
        separate_kinds: told.apart,
        head_quantile: told.head_quantile,
        handshake_cost: told.handshake_cost,
        settle_delay: SettleDelay::new(rest),
    })
}

/// Connects to the next address of a race that can be connected to.
fn dial(
    node: &mut Node,
    race: &mut ConnectionRace,
    registry: &Registry,
    token: Token,
    now: Nanos,
) -> Option<Dial> {
    while let Some(over) = race.start_next() {
        let socket = node.book.address(over).map(Socket::connect);
        if let Some(Ok(mut socket)) = socket {
            if socket.register(registry, token).is_ok() {
                return Some(Dial { over, socket, begun: now });
            }
        }
        node.book.connection_failed(over, now);
        race.attempt_failed(over);
    }
    None
}

/// What became of attempts.
#[derive(Debug)]
pub enum News {
    /// It ended without a reply that could be passed on.
    Ended(RequestId, u32, Status, Reply),
    /// A whole reply that serves it, the bytes that came with it, and what it took; that is not told where it had to wait
    /// behind another reply.
    Served(RequestId, u32, Reply, Vec<u8>, Option<Nanos>),
    /// A long value begins, on this connection: what it is and its length.
    Begun(RequestId, u32, usize, Shape, usize),
    /// Some bytes of it, ...
    Passed(RequestId, Vec<u8>),
    /// ... its end, and all else that its reply tells; ...
    Done(RequestId, Reply),
    /// ... or it ended before.
    Cut(RequestId),
    /// It goes by another connection than it was to; that is new if it says so.
    Moved(RequestId, u32, usize, Option<Begun>),
    /// A node told something that nobody asked for.
    Push(ServerId, Vec<Frame>),
}

/// An attempt that is waited for no longer.
#[derive(Clone, Copy, Debug)]
pub struct GivenUp {
    /// When it was sent.
    pub sent: Nanos,
    /// Its time was up; else it was called off.
    pub late: bool,
}

/// A connection that was begun.
#[derive(Clone, Copy, Debug)]
pub struct Begun {
    /// Its number among all that there ever were.
    pub serial: u64,
    /// If it is not up after so long, another address may be tried beside.
    pub stagger: Option<Nanos>,
}

/// The cache nodes and all connections to them.
#[derive(Debug)]
pub struct Boxes {
    nodes: FxHashMap<ServerId, Node>,
    withdrawn: FxHashSet<ServerId>,
    registry: Registry,
    /// Writes may be repeated over another address of their box.
    across: bool,
    /// Connections that are tried over a second address just now.
    rivals: usize,
    all: Slab<Connection>,
    serial: u64,
    /// Attempts written whole.
    written: u64,
    /// What a connection is greeted with, where the operator allows RESP3.
    hello: Option<Vec<u8>>,
    per_node: usize,
    limit: usize,
    pipes: PipelineConfig,
    /// What all nodes were measured to take.
    times: BoxLatencies,
    told: operator::Pipeline,
    /// Counts of nodes that are forgotten.
    past: Pipelines,
    /// Connections that something waits on, to be written to at the end of a step of the loop.
    dirty: Vec<usize>,
    /// Those of them that rest, by when their rest is over.
    resting: BTreeSet<(Nanos, usize)>,
    /// Since when the first of the others waits.
    since: Nanos,
    /// The longest that connections may be idle, as stated and as learned.
    stated: Nanos,
    fresh: Nanos,
    rests: Rests,
    swept: Nanos,
    news: VecDeque<News>,
    again: Vec<usize>,
}

impl Boxes {
    /// No nodes yet; at most `limit` connections in all, greeted with `hello` if it is there.
    pub fn new(
        config: &Config,
        limit: usize,
        registry: Registry,
        told: &operator::Operator,
        hello: Option<Vec<u8>>,
    ) -> Self {
        let mut boxes = Boxes {
            nodes: FxHashMap::default(),
            withdrawn: FxHashSet::default(),
            registry,
            across: told.boxes.repeat_writes_across_addresses,
            rivals: 0,
            all: Slab::new(),
            serial: 0,
            written: 0,
            hello,
            per_node: 1,
            limit,
            pipes: PipelineConfig::default(),
            times: BoxLatencies::NONE,
            told: told.pipeline.clone(),
            past: Pipelines::default(),
            dirty: Vec::new(),
            resting: BTreeSet::new(),
            since: 0,
            stated: 0,
            fresh: 0,
            rests: Rests::default(),
            swept: 0,
            news: VecDeque::new(),
            again: Vec::new(),
        };
        boxes.configure(config);
        boxes
    }

    /// Can a configuration be taken over?
    ///
    /// # Errors
    /// As [`pipes`] tells them.
    pub fn check(&self, config: &Config) -> Result<(), String> {
        pipes(&self.told, config).map(|_| ())
    }

    /// Takes over what a configuration says of connections.
    pub fn configure(&mut self, config: &Config) {
        let share = NODE_CONNECTIONS / config.settings.proxy_count.max(1) as usize;
        self.per_node = share.clamp(1, MOST_CONNECTIONS);
        // What can't hold with it has been refused before. What was learned of rests is kept.
        let learned = self.pipes.settle_delay;
        self.pipes = pipes(&self.told, config).unwrap_or(self.pipes);
        self.pipes.settle_delay = self.pipes.settle_delay.with_learned(learned);
        self.stated = (config.connection_idle_timeout as f64 * IDLE_PART) as Nanos;
        self.fresh = self.rests.fresh(self.stated);
    }

    /// Makes room for a client that comes to so many others, as far as idle connections allow it; tells how many
    /// clients there may be then.
    pub fn make_room(&mut self, places: DescriptorBudget, clients: usize) -> usize {
        let wanted = clients >= places.for_clients(self.descriptors());
        if wanted && self.descriptors() > places.for_nodes(usize::MAX) {
            self.evict();
        }
        self.limit = places.for_nodes(clients);
        places.for_clients(self.descriptors())
    }

    /// Descriptors that connections hold.
    pub fn descriptors(&self) -> usize {
        self.all.len() + self.rivals
    }

    /// These nodes, and no others, are drained by operators.
    pub fn withdraw(&mut self, servers: &[ServerId], now: Nanos) {
        self.withdrawn = servers.iter().copied().collect();
        for (server, node) in &mut self.nodes {
            node.withdrawn = self.withdrawn.contains(server);
            node.mark(now);
        }
    }

    /// A node has such an address.
    pub fn has_address(&self, such: impl Fn(&addresses::Address) -> bool) -> bool {
        self.nodes.values().any(|n| n.book.addresses().any(&such))
    }

    /// Attempts written whole since the start.
    pub fn written(&self) -> u64 {
        self.written
    }

    /// How many nodes are listed, how many take work, and how many connections and attempts there are.
    pub fn counts(&self) -> (usize, usize, usize, usize) {
        let listed = self.nodes.values().filter(|n| n.entry.state != ServerState::Removed).count();
        let usable = self.nodes.values().filter(|n| n.takes()).count();
        let attempts = self.all.iter().map(|(_, c)| c.depth()).sum();
        (listed, usable, self.all.len(), attempts)
    }

    /// The first nodes by name after this one, or only those that are leaving; and whether there are more.
    pub fn page(
        &self,
        after: &str,
        limit: usize,
        leaving: bool,
        zones: &[String],
        now: Nanos,
    ) -> (Vec<BoxStatus>, bool) {
        let fits = |n: &&Node| &*n.name > after && (!leaving || n.leaving.is_some());
        let mut found: Vec<&Node> = self.nodes.values().filter(fits).collect();
        let more = found.len() > limit;
        if more {
            found.select_nth_unstable_by(limit, |a, b| a.name.cmp(&b.name));
            found.truncate(limit);
        }
        found.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        (found.into_iter().map(|n| self.describe(n, zones, now)).collect(), more)
    }

    /// The nodes in discovery's form, by name.
    pub fn hosts(&self, names: &TopologyNames) -> Vec<Value> {
        let there = |n: &&Node| n.entry.state != ServerState::Removed && !n.book.is_empty();
        let mut all: Vec<&Node> = self.nodes.values().filter(there).collect();
        all.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        let name = |all: &[String], i: u32| all.get(i as usize).map_or(Value::Null, |n| json!(n));
        let host = |n: &Node| {
            let e = &n.entry;
            let dials: Vec<String> = n.book.addresses().map(Address::to_string).collect();
            let dial = n.book.addresses().find(|a| matches!(a, Address::Tcp(_))).map(Address::to_string);
            let mut host = json!({"host": n.name, "dial": dial, "site": name(&names.zones, e.zone),
                "class": name(&names.machine_kinds, e.kind), "block": e.cell, "health": word(e.state),
                "share": e.weight, "born_ms": e.started_at / MS});
            if dials.len() != 1 || dial.is_none() {
                host["dials"] = json!(dials);
            }
            host
        };
        all.into_iter().map(host).collect()
    }

    fn describe(&self, node: &Node, zones: &[String], now: Nanos) -> BoxStatus {
        let depth = |key: &usize| self.all.get(*key).map_or(0, Connection::depth);
        BoxStatus {
            name: node.name.to_string(),
            address: node.book.addresses().next().map(Address::to_string),
            addresses: node.book.addresses().map(Address::to_string).collect(),
            zone: zones.get(node.entry.zone as usize).cloned(),
            listed: word(node.entry.state).into(),
            drained: node.withdrawn,
            usable: node.takes(),
            connections: node.connections.len(),
            resp3: node
                .connections
                .iter()
                .filter(|k| self.all.get(**k).is_some_and(Connection::speaks_three))
                .count(),
            attempts: node.connections.iter().map(depth).sum(),
            pipelines: self.pipelines_of(node, now),
            sent: node.sent,
            leaving_ms: node.leaving.map(|at| now.saturating_sub(at) / MS),
            sent_leaving: node.sent_leaving,
        }
    }

    fn pipelines_of(&self, node: &Node, now: Nanos) -> Pipelines {
        let mut its = node.counts.clone();
        for c in node.connections.iter().filter_map(|k| self.all.get(*k)) {
            its.depths[DEPTHS.iter().filter(|edge| c.depth() >= **edge).count()] += 1;
            its.oldest_head_ms = its.oldest_head_ms.max(c.pipe.head_age(now).unwrap_or(0) / MS);
        }
        its
    }

    /// All connections, as pipelines.
    pub fn pipelines(&self, now: Nanos) -> Pipelines {
        let mut all = self.past.clone();
        self.nodes.values().for_each(|node| all.add(&self.pipelines_of(node, now)));
        all
    }

    /// The next thing that became of an attempt.
    pub fn news(&mut self) -> Option<News> {
        self.news.pop_front()
    }

    /// True if some connection may have more input without saying so again.
    pub fn has_more(&self) -> bool {
        !self.again.is_empty()
    }

    /// Connections to read on with.
    pub fn take_again(&mut self) -> Vec<usize> {
        std::mem::take(&mut self.again)
    }

    /// Takes what discovery told.
    pub fn list(&mut self, list: &ListUpdate, now: Nanos) {
        if list.full {
            let named: FxHashSet<ServerId> = list.hosts.iter().map(|h| h.entry.server).collect();
            let left: Vec<ServerId> = self.nodes.keys().copied().filter(|id| !named.contains(id)).collect();
            for id in left {
                self.nodes.entry(id).and_modify(|n| {
                    n.entry.state = ServerState::Removed;
                    n.mark(now);
                });
                self.close_idle(id);
            }
        }
        for host in &list.hosts {
            let e = &host.entry;
            let withdrawn = self.withdrawn.contains(&e.server);
            let new = || Node::new(host.name.clone(), e.clone(), withdrawn);
            let node = self.nodes.entry(e.server).or_insert_with(new);
            // Idle connections to a place or a process that the node has left serve nobody.
            let told = !host.addresses.is_empty() || e.state != ServerState::Removed;
            let moved =
                (told && node.book.update(&host.addresses, now)) || node.entry.started_at != e.started_at;
            if moved && !host.invalid_addresses.is_empty() {
                eprintln!("{}: addresses dropped: {}", host.name, host.invalid_addresses.join("; "));
            }
            node.entry = e.clone();
            node.mark(now);
            if moved || e.state == ServerState::Removed {
                self.close_idle(e.server);
            }
        }
        self.forget();
    }

    /// Forgets the nodes that are gone and have no connection left.
    fn forget(&mut self) {
        let past = &mut self.past;
        self.nodes.retain(|_, n| {
            let stays = n.entry.state != ServerState::Removed || !n.connections.is_empty();
            if !stays {
                past.add(&n.counts);
            }
            stays
        });
    }

    /// Closes the idle connections to a node.
    pub fn close_idle(&mut self, server: ServerId) {
        self.close_resting(server, |_| true);
    }

    /// Closes those of the idle connections to a node.
    fn close_resting(&mut self, server: ServerId, which: impl Fn(&Connection) -> bool) {
        let Some(node) = self.nodes.get(&server) else { return };
        let rests = |k: &usize| self.all.get(*k).is_some_and(|c| c.depth() == 0 && which(c));
        let idle: Vec<usize> = node.connections.iter().copied().filter(rests).collect();
        idle.into_iter().for_each(|key| self.close(key));
    }

    fn open(
        &mut self,
        server: ServerId,
        only: Option<AddressId>,
        job: &Job,
        now: Nanos,
    ) -> (Option<usize>, Option<Begun>) {
        if self.descriptors() >= self.limit && !self.evict() {
            return (None, None);
        }
        let Some(node) = self.nodes.get_mut(&server) else { return (None, None) };
        let order = match only {
            Some(id) => vec![id],
            None => node.book.connection_order(now, job.query.write),
        };
        let mut race = ConnectionRace::new(order);
        let entry = self.all.vacant_entry();
        let key = entry.key();
        let token = Source::Node(key).token();
        let Some(link) = dial(node, &mut race, &self.registry, token, now) else { return (None, None) };
        let left = job.until.saturating_sub(now);
        let stagger = race.can_start_another().then(|| node.book.attempt_delay(link.over, left));
        self.serial += 1;
        node.connections.push(key);
        let greets = self.hello.is_some() && node.greets();
        entry.insert(Connection {
            link,
            rival: None,
            race,
            node: server,
            serial: self.serial,
            up: false,
            pipe: Pipeline::default(),
            out: Vec::new(),
            long: None,
            dirty: false,
            greets,
            greeting: None,
            reader: ReplyReader::new(Protocol::Two),
            reply: Vec::new(),
            moved: now,
            heard: now,
            unread: false,
            answered: 0,
            ready: 0,
            rested: 0,
            passing: false,
            paused: false,
            used: false,
        });
        (Some(key), Some(Begun { serial: self.serial, stagger }))
    }

    /// Tries the next address beside the one that is not up, if descriptors allow it.
    pub fn stagger(&mut self, key: usize, serial: u64, now: Nanos) {
        if self.all.get(key).is_some_and(|c| c.serial == serial) {
            self.begin_rival(key, now);
        }
    }

    /// Dials the next address beside a connection that is not up: one at a time at each node, so that a node never
    /// sees more than one connection beyond those that it is to have, and within the descriptors.
    fn begin_rival(&mut self, key: usize, now: Nanos) {
        let raced = |k: &usize| self.all.get(*k).is_some_and(|c| c.rival.is_some());
        let Some(node) = self.all.get(key).filter(|c| !c.up).and_then(|c| self.nodes.get(&c.node)) else {
            return;
        };
        if self.descriptors() >= self.limit || node.connections.iter().any(raced) {
            return;
        }
        let Some(c) = self.all.get_mut(key) else { return };
        let Some(node) = self.nodes.get_mut(&c.node) else { return };
        c.rival = dial(node, &mut c.race, &self.registry, Source::NodeRace(key).token(), now);
        self.rivals += usize::from(c.rival.is_some());
    }

    /// A race at a node is over: the next of its connections that has waited long enough may have one.
    fn next_rival(&mut self, server: ServerId, now: Nanos) {
        let Some(node) = self.nodes.get(&server) else { return };
        let waits = |k: &&usize| {
            self.all.get(**k).is_some_and(|c| {
                let delay = node.book.attempt_delay(c.link.over, Nanos::MAX);
                !c.up
                    && c.rival.is_none()
                    && c.race.can_start_another()
                    && now.saturating_sub(c.link.begun) >= delay
            })
        };
        if let Some(key) = node.connections.iter().find(waits).copied() {
            self.begin_rival(key, now);
        }
    }

    /// An attempt to connect failed: the other one goes on, or the next begins.
    fn dial_failed(&mut self, key: usize, rival: bool, now: Nanos) {
        let Some(c) = self.all.get_mut(key) else { return };
        let Some(node) = self.nodes.get_mut(&c.node) else { return };
        let other = c.rival.take();
        self.rivals -= usize::from(other.is_some());
        let failed = if rival { other.as_ref().map(|d| d.over) } else { Some(c.link.over) };
        if let Some(id) = failed {
            node.book.connection_failed(id, now);
            c.race.attempt_failed(id);
        }
        if rival {
            self.begin_rival(key, now);
            return;
        }
        let token = Source::Node(key).token();
        let other = other.and_then(|mut d| d.socket.reregister(&self.registry, token).ok().map(|()| d));
        match other.or_else(|| dial(node, &mut c.race, &self.registry, token, now)) {
            Some(link) => c.link = link,
            None => {
                self.refused(key, now);
                self.close(key);
                return;
            }
        }
        // What has failed is followed at once; the delay is for what may yet come up.
        self.begin_rival(key, now);
    }

    /// The second address of a connection has news; true if it won, and the connection is up.
    pub fn rival_ready(&mut self, key: usize, now: Nanos) -> bool {
        let Some(c) = self.all.get_mut(key).filter(|c| !c.up) else { return false };
        let Some(rival) = &c.rival else { return false };
        match rival.socket.is_up() {
            Ok(false) => return false,
            Err(_) => {
                self.dial_failed(key, true, now);
                return false;
            }
            Ok(true) => {}
        }
        let Some(mut rival) = c.rival.take() else { return false };
        self.rivals -= 1;
        if rival.socket.reregister(&self.registry, Source::Node(key).token()).is_err() {
            return false;
        }
        // It had the longer time, and is not up: the next connection goes elsewhere first.
        let slow = std::mem::replace(&mut c.link, rival);
        if let Some(node) = self.nodes.get_mut(&c.node) {
            node.book.connection_failed(slow.over, now);
        }
        true
    }

    /// Closes the connection that was idle longest, to make room for one to another node.
    fn evict(&mut self) -> bool {
        let idle = self.all.iter().filter(|(_, c)| c.depth() == 0).min_by_key(|(_, c)| c.moved);
        let Some((key, _)) = idle else { return false };
        self.close(key);
        true
    }

    fn end(&mut self, job: Job, status: Status) {
        self.news.push_back(News::Ended(job.id, job.attempt, status, Reply::default()));
    }

    /// Stops waiting for an attempt; `false` if it is not on this connection. Closing a connection calls off
    /// all attempts on it, so it is closed only if nobody waits for another one.
    pub fn cancel(&mut self, key: usize, id: RequestId, attempt: u32, given_up: GivenUp, now: Nanos) -> bool {
        let Some(c) = self.all.get_mut(key) else { return false };
        let (server, over) = (c.node, c.link.over);
        let first = c.pipe.head() == Some(Some((id, attempt)));
        let called = c.pipe.cancel((id, attempt));
        match called {
            CancelOutcome::NotFound => return false,
            CancelOutcome::Queued => {}
            CancelOutcome::PartlyWritten => {
                // Danger: to write the rest would send something for a request that is over.
                self.close(key);
                self.unheard(server, over, given_up, now);
                return true;
            }
            // What of a long value is still to come is dropped.
            CancelOutcome::Written => c.passing &= !first,
        }
        if c.pipe.has_no_waiters() && c.pipe.in_flight() > 0 {
            let node = self.nodes.get_mut(&c.node).filter(|_| c.greeting.is_some());
            node.into_iter().for_each(Node::left_unheard);
            self.close(key);
        }
        if called == CancelOutcome::Written {
            self.unheard(server, over, given_up, now);
        }
        true
    }

    /// Notes that a request was given up over an address; what rests on it is closed if it is silent.
    fn unheard(&mut self, server: ServerId, over: AddressId, given_up: GivenUp, now: Nanos) {
        let Some(node) = self.nodes.get_mut(&server) else { return };
        if node.book.request_unanswered(over, given_up.sent, !given_up.late, now) {
            self.close_resting(server, |c| c.link.over == over);
        }
    }

    /// Has the attempt's last byte been written?
    pub fn is_written(&self, key: usize, id: RequestId, attempt: u32) -> bool {
        self.all.get(key).is_some_and(|c| c.pipe.is_written((id, attempt)))
    }

    /// Ends a connection that did not come up in time.
    pub fn connect_timeout(&mut self, key: usize, serial: u64, now: Nanos) {
        let Some(c) = self.all.get(key).filter(|c| c.serial == serial && !c.up) else { return };
        if let Some(node) = self.nodes.get_mut(&c.node) {
            c.race.in_progress().iter().for_each(|id| node.book.connection_failed(*id, now));
        }
        self.close(key);
    }

    /// Closes a connection that its node has ended.
    fn lost(&mut self, key: usize, now: Nanos) {
        let Some(c) = self.all.get(key) else { return };
        if let Some(node) = self.nodes.get_mut(&c.node).filter(|_| !c.used) {
            // It took the connection, and never answered on it.
            node.book.connection_failed(c.link.over, now);
        }
        if c.greeting.is_some() {
            // Nodes that can't read a greeting may close on it.
            self.nodes.get_mut(&c.node).map(|n| n.greeted(Protocol::Two));
        }
        let crossed = c.pipe.in_flight() == 1
            && c.reply.is_empty()
            && !c.midway()
            && now.saturating_sub(c.moved) < CROSSED;
        if crossed && c.rested > 0 {
            self.rests.used(c.rested, true);
            self.fresh = self.rests.fresh(self.stated);
        }
        if !c.used {
            self.refused(key, now);
            self.close(key);
        } else if c.pipe.in_flight() == 0 {
            // It closed an idle one; what waited for the end of its rest has met nobody yet.
            self.close_and_go_on(key, now);
        } else {
            self.close(key);
        }
    }

    /// Closes a connection and tells what became of the attempts on it.
    pub fn close(&mut self, key: usize) {
        self.end_all(key, Status::Reset);
    }

    /// A connection's node won't have it.
    fn refused(&mut self, key: usize, now: Nanos) {
        let Some(server) = self.all.get(key).map(|c| c.node) else { return };
        let answering = self.answering(server);
        self.nodes.get_mut(&server).into_iter().for_each(|n| n.room.record_refused(answering, now));
    }

    /// Connections to a node that have answered.
    fn answering(&self, server: ServerId) -> usize {
        let all = self.nodes.get(&server).map_or(&[][..], |n| &n.connections);
        all.iter().filter(|k| self.all.get(**k).is_some_and(|c| c.used)).count()
    }

    fn end_all(&mut self, key: usize, status: Status) {
        let Some(c) = self.all.try_remove(key) else { return };
        self.rivals -= usize::from(c.rival.is_some());
        if let Some(node) = self.nodes.get_mut(&c.node) {
            node.connections.retain(|k| *k != key);
        }
        let passing = c.pipe.head().flatten().filter(|_| c.passing);
        let (mut broke, mut uncertain) = (false, 0);
        for (tag, fate) in c.pipe.into_outcomes() {
            broke = true;
            uncertain += u64::from(fate == DisconnectOutcome::Unknown);
            self.news.push_back(match fate {
                _ if passing == Some(tag) => News::Cut(tag.0),
                DisconnectOutcome::Unknown => News::Ended(tag.0, tag.1, status, Reply::default()),
                DisconnectOutcome::NotWritten => {
                    News::Ended(tag.0, tag.1, Status::ConnectFailed, Reply::default())
                }
            });
        }
        if let Some(node) = self.nodes.get_mut(&c.node) {
            node.counts.breaks += u64::from(broke);
            node.counts.uncertain += uncertain;
        }
    }

    /// Ends a connection whose reply can't be read. The attempt that it was for may have run, and so may those
    /// that wait behind it.
    fn spoilt(&mut self, key: usize) {
        self.end_all(key, Status::Malformed);
    }

    /// Drives a connection as far as its socket allows, up to a bound.
    pub fn ready(&mut self, key: usize, closed: bool, buffer: &mut [u8], now: Nanos) {
        let Some(c) = self.all.get_mut(key) else { return };
        if !c.up {
            match c.link.socket.is_up() {
                Ok(true) => {}
                Ok(false) => return,
                Err(_) => {
                    self.dial_failed(key, false, now);
                    return;
                }
            }
            c.up = true;
            c.race.attempt_succeeded(c.link.over);
            self.rivals -= usize::from(c.rival.take().is_some());
            let server = c.node;
            if let Some(node) = self.nodes.get_mut(&server) {
                node.book.connected(c.link.over, now.saturating_sub(c.link.begun));
                for times in [node.measured(), &mut self.times] {
                    times.record_connect(now.saturating_sub(c.link.begun));
                }
            }
            self.next_rival(server, now);
        }
        self.flush(key, now);
        self.read(key, closed, buffer, now);
        self.relieve(key, now);
    }

    /// Reads what has come, up to a bound.
    fn read(&mut self, key: usize, closed: bool, buffer: &mut [u8], now: Nanos) {
        for _ in 0..READS {
            let Some(c) = self.all.get_mut(key).filter(|c| !c.paused) else { return };
            match c.link.socket.read(buffer) {
                Ok(0) => {
                    self.lost(key, now);
                    return;
                }
                Ok(n) => {
                    (c.heard, c.unread) = (now, false);
                    if !c.speaks_three() || c.pipe.in_flight() > 0 {
                        c.moved = now;
                    }
                    if !self.input(key, &buffer[..n], now) {
                        self.surplus(key, now);
                        return;
                    }
                    if self.all.get(key).is_some_and(|c| c.passing) {
                        // What its client has room for is known once this has been passed on.
                        break;
                    }
                    // A short read emptied the socket; only an end of the stream may stand behind it.
                    if n < buffer.len() && !closed {
                        return;
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => {
                    self.lost(key, now);
                    return;
                }
            }
        }
        self.again.push(key);
    }

    /// Takes replies; false if the connection can't be used any more.
    fn input(&mut self, key: usize, mut input: &[u8], now: Nanos) -> bool {
        while !input.is_empty() {
            let Some(c) = self.all.get_mut(key) else { return true };
            if let Some(greeting) = &mut c.greeting {
                let node = self.nodes.get_mut(&c.node);
                let Ok((used, answer)) = greeting.feed(input) else {
                    node.map(|n| n.greeted(Protocol::Two));
                    self.spoilt(key);
                    return true;
                };
                input = &input[used..];
                let Some(answer) = answer else { continue };
                let protocol = *answer.as_ref().unwrap_or(&Protocol::Two);
                (c.greeting, c.reader) = (None, ReplyReader::new(protocol));
                let Some(node) = node else { continue };
                if let (true, Err(error)) = (node.greeted(protocol), answer) {
                    let error = String::from_utf8_lossy(&error).escape_debug().to_string();
                    eprintln!("{}: refuses RESP3 ({error}); RESP2 until it starts anew", node.name);
                }
                continue;
            }
            let front = c.pipe.head();
            let three = c.speaks_three();
            // Danger: an answer that nobody asked for would pass for the next request's.
            if front.is_none() && !three {
                return false;
            }
            let Ok((used, item)) = c.reader.feed(input) else {
                self.spoilt(key);
                return true;
            };
            if !three && front != Some(None) && !matches!(item, Some(Item::Part(_))) {
                c.reply.extend_from_slice(&input[..used]);
            }
            input = &input[used..];
            let item = match item {
                Some(Item::Part(part)) => match self.part(key, part) {
                    Some(reply) => Some(Item::Reply(reply, Vec::new())),
                    None => continue,
                },
                item => item,
            };
            let Some(c) = self.all.get_mut(key) else { return true };
            let (reply, value) = match item {
                Some(Item::Reply(reply, value)) => (reply, value),
                Some(Item::Push(told)) => {
                    self.news.push_back(News::Push(c.node, told));
                    continue;
                }
                Some(Item::Part(_)) | None => continue,
            };
            let Some(answered) = c.pipe.complete_head(now) else { return false };
            let bytes = if three { value } else { std::mem::take(&mut c.reply) };
            let passed = std::mem::take(&mut c.passing);
            (c.answered, c.ready) =
                (now, if c.depth() == 0 { now + self.pipes.settle_delay.duration() } else { now });
            let (server, first) = (c.node, !std::mem::replace(&mut c.used, true));
            if let Some(node) = self.nodes.get_mut(&c.node) {
                node.book.answer_received(c.link.over, answered.latency, now);
                for times in [node.measured(), &mut self.times] {
                    times.record_answer(
                        answered.kind,
                        answered.pipelined,
                        answered.latency,
                        answered.head_time,
                    );
                }
            }
            if c.rested > 0 {
                self.rests.used(std::mem::take(&mut c.rested), false);
            }
            if first {
                let answering = self.answering(server);
                self.nodes.get_mut(&server).into_iter().for_each(|n| n.room.record_answering(answering));
            }
            let Some((id, attempt)) = answered.tag else { continue };
            self.news.push_back(match reply.kind {
                _ if passed => News::Done(id, reply),
                Kind::Served => {
                    let took = (!answered.pipelined).then_some(answered.latency);
                    News::Served(id, attempt, reply, bytes, took)
                }
                Kind::Busy => News::Ended(id, attempt, Status::Rejected, reply),
                Kind::Failed => News::Ended(id, attempt, Status::Error, reply),
            });
        }
        // Only attempts that are over are left: closing spares the node their work.
        self.all.get(key).is_none_or(|c| !c.pipe.has_no_waiters() || c.pipe.in_flight() == 0)
    }

    /// Something came on a connection that can't be used any more by that: nobody asked for it, or nobody waits. What is
    /// not written yet goes by another.
    fn surplus(&mut self, key: usize, now: Nanos) {
        let Some(c) = self.all.get(key) else { return };
        if c.pipe.head().is_none() {
            self.pipes.settle_delay.record_unsolicited(now.saturating_sub(c.answered));
            self.nodes.get_mut(&c.node).into_iter().for_each(|n| n.counts.surplus += 1);
        }
        self.close_and_go_on(key, now);
    }

    /// Closes a connection; what waits on it, of which no byte is written, goes by another.
    fn close_and_go_on(&mut self, key: usize, now: Nanos) {
        let Some(c) = self.all.get_mut(key) else { return };
        let (server, jobs) = (c.node, c.pipe.take_queued());
        self.close(key);
        self.displace(server, jobs, now);
    }

    /// Takes a part of a long value; its reply, once that is whole. The parts of one that nobody waits for any more
    /// are dropped.
    fn part(&mut self, key: usize, part: Part) -> Option<Reply> {
        let c = self.all.get_mut(key)?;
        c.reply.clear();
        if let Some((id, attempt)) = c.pipe.head().flatten() {
            if let Some((shape, length)) = part.head {
                c.passing = true;
                self.news.push_back(News::Begun(id, attempt, key, shape, length));
            }
            if c.passing && !part.bytes.is_empty() {
                self.news.push_back(News::Passed(id, part.bytes));
            }
        }
        part.tail
    }

    /// The connection, if it passes on this request's answer.
    fn passing(&mut self, key: usize, id: RequestId) -> Option<&mut Connection> {
        let of = |c: &Connection| c.pipe.head().flatten().is_some_and(|(first, _)| first == id);
        self.all.get_mut(key).filter(|c| c.passing && of(c))
    }

    /// Reads nothing more of a connection for now, or goes on.
    pub fn pause(&mut self, key: usize, id: RequestId, paused: bool, now: Nanos) {
        let Some(c) = self.passing(key, id) else { return };
        if std::mem::replace(&mut c.paused, paused) && !paused {
            c.heard = now;
            self.again.push(key);
        }
    }

    /// Gives up a long value that nobody waits for any more.
    pub fn stop_passing(&mut self, key: usize, id: RequestId) {
        if self.passing(key, id).is_some() {
            self.close(key);
        }
    }

    /// Closes what stood idle too long, and what fell silent within a reply. Guards against replies that say
    /// that they are longer than they are, or don't end; should also catch a node that dies while it writes.
    pub fn sweep(&mut self, now: Nanos) {
        let passed = now.saturating_sub(std::mem::replace(&mut self.swept, now)).min(1_000 * MS);
        self.rests.fade(passed);
        self.fresh = self.rests.fresh(self.stated);
        let over = |c: &Connection| {
            let since = now.saturating_sub(c.moved);
            (c.depth() == 0 && c.up && since >= self.fresh)
                || (c.midway()
                    && !c.paused
                    && now.saturating_sub(c.heard) >= if c.passing { PASSING } else { STALLED })
        };
        let over: Vec<usize> = self.all.iter().filter(|(_, c)| over(c)).map(|(key, _)| key).collect();
        over.into_iter().for_each(|key| self.spoilt(key));
        self.pass_by_stalled(now);
        self.forget();
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::platform::config::tests::sample;
    use crate::platform::discovery::Host;
    use crate::request::tests::query;
    use calicosaddle::api::ServerEntry;
    use std::io::Write;
    use std::net::TcpListener;
    use std::time::{Duration, Instant};

    fn made(config: &Config, poll: &mio::Poll) -> Boxes {
        let registry = poll.registry().try_clone().expect("a registry");
        Boxes::new(config, 8, registry, &operator::Operator::default(), None)
    }

    fn host(entry: ServerEntry, listener: &TcpListener) -> Host {
        let address = listener.local_addr().expect("an address");
        Host {
            name: "s-7".into(),
            entry,
            addresses: vec![Address::Tcp(address)],
            invalid_addresses: Vec::new(),
        }
    }

    /// Before one node, 7, that this listener stands for.
    fn before(listener: &TcpListener, poll: &mio::Poll) -> Boxes {
        let mut boxes = made(&sample(), poll);
        let hosts = vec![host(ServerEntry { server: 7, ..ServerEntry::default() }, listener)];
        boxes.list(&ListUpdate { version: 1, full: true, hosts }, 0);
        boxes
    }

    /// A whole answer of a node.
    const ANSWER: &[u8] = b"*3\r\n$1\r\nx\r\n$-1\r\n$-1\r\n";

    fn job(config: &Config) -> Job {
        Job { id: 1, attempt: 0, query: query(config), aim: 9_000 * MS, until: 9_000 * MS }
    }

    #[test]
    fn bytes_that_nobody_asked_for_are_seen_before_a_connection_is_used_again() {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let poll = mio::Poll::new().expect("a poll");
        let mut boxes = before(&listener, &poll);
        let key = boxes.send(7, job(&sample()), 0).expect("a connection").0;
        let mut node = listener.accept().expect("accepted").0;
        (boxes.all[key].up, boxes.all[key].pipe) = (true, Pipeline::default());
        assert_eq!(
            boxes.send(7, job(&sample()), 0).map(|(key, new)| (key, new.is_some())),
            Some((key, false))
        );
        node.write_all(b"-BUSY\r\n").expect("written");
        let begun = Instant::now();
        while boxes.all[key].link.socket.is_quiet() {
            assert!(begun.elapsed() < Duration::from_secs(20), "nothing came");
            std::thread::sleep(Duration::from_millis(1));
        }
        // The loop has not heard of them, and the connection goes all the same; the attempt goes by another.
        assert!(boxes.write(0));
        let news = boxes.news();
        assert!(
            matches!(news, Some(News::Moved(1, 0, _, Some(Begun { serial: 2, .. }))))
                && boxes.news().is_none(),
            "{news:?}"
        );
        assert_eq!((boxes.all.len(), boxes.written, boxes.nodes[&7].counts.moved), (1, 0, 1));
    }

    #[test]
    fn an_attempt_waits_for_the_end_of_its_connections_rest_and_goes_by_another_if_anything_comes() {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let poll = mio::Poll::new().expect("a poll");
        for surplus in [false, true] {
            let mut boxes = before(&listener, &poll);
            boxes.pipes =
                PipelineConfig { settle_delay: SettleDelay::new(None), ..PipelineConfig::default() };
            let (key, _) = boxes.send(7, job(&sample()), 0).expect("a connection");
            let mut node = listener.accept().expect("accepted").0;
            let begun = Instant::now();
            let waits = || assert!(begun.elapsed() < Duration::from_secs(20), "nothing happens");
            while boxes.written == 0 {
                waits();
                boxes.ready(key, false, &mut [0; 64], MS);
            }
            node.write_all(ANSWER).expect("written");
            while !matches!(boxes.news(), Some(News::Served(1, 0, ..))) {
                waits();
                boxes.ready(key, false, &mut [0; 64], 2 * MS);
            }
            let again = Job { attempt: 1, ..job(&sample()) };
            assert!(matches!(boxes.send(7, again, 3 * MS), Some((same, None)) if same == key));
            assert_eq!((boxes.due(), boxes.write(6 * MS), boxes.written), (Some(7 * MS), false, 1));
            if surplus {
                node.write_all(ANSWER).expect("written");
                while boxes.nodes[&7].counts.surplus == 0 {
                    waits();
                    boxes.ready(key, false, &mut [0; 64], 6 * MS);
                }
                let moved = boxes.news();
                assert!(matches!(moved, Some(News::Moved(1, 1, _, Some(_)))), "{moved:?}");
                assert_eq!((boxes.written, boxes.nodes[&7].counts.breaks), (1, 0));
            } else {
                assert!(boxes.write(7 * MS) && boxes.all[key].pipe.is_written((1, 1)));
                assert_eq!((boxes.due(), boxes.written), (None, 2));
            }
        }
    }

    #[test]
    fn what_waits_for_a_slow_connection_takes_one_that_becomes_free_first() {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let poll = mio::Poll::new().expect("a poll");
        let mut boxes = before(&listener, &poll);
        let (up, _) = boxes.send(7, job(&sample()), 0).expect("a connection");
        let mut node = listener.accept().expect("accepted").0;
        let begun = Instant::now();
        while boxes.written == 0 {
            assert!(begun.elapsed() < Duration::from_secs(20), "nothing is written");
            boxes.ready(up, false, &mut [0; 64], MS);
        }
        let (slow, new) = boxes.send(7, Job { attempt: 1, ..job(&sample()) }, MS).expect("another");
        assert!(new.is_some() && slow != up);
        node.write_all(ANSWER).expect("written");
        while boxes.all[up].depth() > 0 && begun.elapsed() < Duration::from_secs(20) {
            boxes.ready(up, false, &mut [0; 64], 2 * MS);
            if matches!(boxes.news(), Some(News::Served(1, 0, ..))) {
                break;
            }
        }
        assert!(matches!(boxes.news(), Some(News::Moved(1, 1, key, None)) if key == up));
        // The connection rests after its answer, which came at 2 ms.
        assert!(!boxes.write(2 * MS));
        assert!(boxes.write(7 * MS) && boxes.all[up].pipe.is_written((1, 1)) && boxes.all[slow].depth() == 0);
    }

    #[test]
    fn an_attempt_that_finds_all_connections_in_use_is_told_as_not_sent_and_not_as_refused() {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let poll = mio::Poll::new().expect("a poll");
        let mut boxes = before(&listener, &poll);
        (boxes.per_node, boxes.pipes) = (1, PipelineConfig::default());
        assert!(boxes.send(7, job(&sample()), 0).is_some());
        for attempt in 1..4 {
            assert!(boxes.send(7, Job { attempt, ..job(&sample()) }, 0).is_none());
            let told = boxes.news();
            assert!(
                matches!(told, Some(News::Ended(1, n, Status::NotSent, _)) if n == attempt),
                "{attempt}: {told:?}"
            );
        }
        // Where nothing holds, and no descriptor is left to dial with, the node was not reached.
        (boxes.per_node, boxes.limit) = (2, 0);
        boxes.close(0);
        while boxes.news().is_some() {}
        assert!(boxes.send(7, job(&sample()), 0).is_none());
        assert!(matches!(boxes.news(), Some(News::Ended(1, 0, Status::ConnectFailed, _))));
    }

    #[test]
    fn connections_to_a_node_that_come_up_slowly_race_one_at_a_time() {
        let (at, _held) = testkit::scripted::full_backlog();
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let poll = mio::Poll::new().expect("a poll");
        let mut boxes = made(&sample(), &poll);
        let mut host = host(ServerEntry { server: 7, ..ServerEntry::default() }, &listener);
        host.addresses.insert(0, Address::Tcp(at));
        boxes.list(&ListUpdate { version: 1, full: true, hosts: vec![host] }, 0);
        let keys: Vec<_> = (0..4).filter_map(|_| boxes.send(7, job(&sample()), 0)).collect();
        assert_eq!((keys.len(), boxes.rivals), (4, 0));
        for (key, begun) in &keys {
            boxes.stagger(*key, begun.expect("new").serial, 300 * MS);
        }
        assert_eq!((boxes.rivals, boxes.descriptors()), (1, 5));
        // Each that comes up over the second address lets the next begin, and the first address is passed over.
        for (i, (key, _)) in keys.iter().enumerate() {
            let begun = Instant::now();
            while !boxes.rival_ready(*key, 310 * MS) {
                assert!(begun.elapsed() < Duration::from_secs(20), "the race of {i} does not end");
                std::thread::sleep(Duration::from_millis(1));
            }
            boxes.ready(*key, false, &mut [0; 64], 310 * MS);
            assert_eq!(boxes.rivals, usize::from(i < 3), "after {i}");
        }
        assert!(boxes.all.iter().all(|(_, c)| c.up));
    }

    #[test]
    fn an_attempt_that_waits_for_its_turn_does_not_go_to_a_node_drained_meanwhile() {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let poll = mio::Poll::new().expect("a poll");
        let config = sample();
        for withdrawn in [false, true] {
            let mut boxes = before(&listener, &poll);
            let (key, _) = boxes.send(7, job(&config), 0).expect("it waits");
            listener.accept().expect("accepted");
            if withdrawn {
                boxes.withdraw(&[7], 0);
            }
            boxes.ready(key, false, &mut [0; 64], MS);
            let ended = matches!(boxes.news(), Some(News::Ended(1, 0, Status::NotSent, _)));
            assert_eq!((ended, boxes.nodes[&7].sent), (withdrawn, u64::from(!withdrawn)));
        }
    }
}
