//! Cache nodes: where they are, the connections to each, and the attempts on them.
//!
//! A connection carries attempts in order. An attempt is checked when its turn to be written comes, and once
//! its last byte is written it may have run, whatever becomes of the connection.

mod close;
mod connection;
mod dial;
mod idle;
mod membership;
mod node;
mod placement;
mod read;
mod settings;
mod socket;
mod status;
mod write;

use crate::places::Places;
use crate::platform::config::Config;
use calicosaddle::api::{Nanos, RequestId, ServerId, Status};
use connection::Connection;
pub use connection::QueuedAttempt;
use control::message::Pipelines;
use idle::Rests;
use mio::Registry;
use node::Node;
use pipeline::{BoxLatencies, PipelineConfig};
use resp::{Frame, Reply, Shape};
use rustc_hash::{FxHashMap, FxHashSet};
pub use settings::{hello_command, pipeline_limits};
use slab::Slab;
use std::collections::{BTreeSet, VecDeque};

const MS: Nanos = 1_000_000;
/// Connections to one cache node over all proxies, as far as this proxy plans for. Nodes accept about thirty,
/// a fuller table takes more of their capacity, and proxies that restart bring theirs anew.
const NODE_CONNECTIONS: usize = 24;
/// Connections that one proxy wants to a node at the most: more than a node has places for requests.
const MOST_CONNECTIONS: usize = 8;
/// The part of the node's idle time after which a connection is not used again: a request that crosses the
/// node's close ends as a reset.
const IDLE_PART: f64 = 0.8;
/// A node writes a reply in one go, with pauses of 0.1 s at the most; what is silent for longer within one is
/// not going to end it.
const STALLED: Nanos = 200 * MS;
/// One that gives a long value may take its time: the client has its first bytes, and can't have them twice.
const PASSING: Nanos = 5_000 * MS;
/// What an idle connection keeps of its buffer.
const KEPT: usize = 4 << 10;

/// What became of attempts.
#[derive(Debug)]
pub enum NodeEvent {
    /// It ended without a reply that could be passed on.
    Ended(RequestId, u32, Status, Reply),
    /// A whole reply that serves it, the bytes that came with it, and what it took; that is not told where it had to wait
    /// behind another reply.
    Served(RequestId, u32, Reply, Vec<u8>, Option<Nanos>),
    /// A long value begins, on this connection: what it is and its length.
    ValueStarted(RequestId, u32, usize, Shape, usize),
    /// Some bytes of it, ...
    ValueBytes(RequestId, Vec<u8>),
    /// ... its end, and all else that its reply tells; ...
    ValueComplete(RequestId, Reply),
    /// ... or it ended before.
    ValueTruncated(RequestId),
    /// It goes by another connection than it was to; that is new if it says so.
    Reassigned(RequestId, u32, usize, Option<NewConnection>),
    /// A node told something that nobody asked for.
    Push(ServerId, Vec<Frame>),
}

/// An attempt that is waited for no longer.
#[derive(Clone, Copy, Debug)]
pub struct AbandonedAttempt {
    /// When it was sent.
    pub sent_at: Nanos,
    /// Its time was up; else it was called off.
    pub timed_out: bool,
}

/// A connection that was begun.
#[derive(Clone, Copy, Debug)]
pub struct NewConnection {
    /// Its number among all that there ever were.
    pub serial: u64,
    /// If it is not up after so long, another address may be tried beside.
    pub stagger_delay: Option<Nanos>,
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
    news: VecDeque<NodeEvent>,
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
    /// As [`pipeline_limits`] tells them.
    pub fn check_config(&self, config: &Config) -> Result<(), String> {
        pipeline_limits(&self.told, config).map(|_| ())
    }

    /// Takes over what a configuration says of connections.
    pub fn configure(&mut self, config: &Config) {
        let share = NODE_CONNECTIONS / config.settings.proxy_count.max(1) as usize;
        self.per_node = share.clamp(1, MOST_CONNECTIONS);
        // What can't hold with it has been refused before. What was learned of rests is kept.
        let learned = self.pipes.settle_delay;
        self.pipes = pipeline_limits(&self.told, config).unwrap_or(self.pipes);
        self.pipes.settle_delay = self.pipes.settle_delay.with_learned(learned);
        self.stated = (config.idle as f64 * IDLE_PART) as Nanos;
        self.fresh = self.rests.fresh(self.stated);
    }

    /// Makes room for a client that comes to so many others, as far as idle connections allow it; tells how many
    /// clients there may be then.
    pub fn make_room(&mut self, places: Places, clients: usize) -> usize {
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

    /// Attempts written whole since the start.
    pub fn attempts_written(&self) -> u64 {
        self.written
    }

    /// The next thing that became of an attempt.
    pub fn next_event(&mut self) -> Option<NodeEvent> {
        self.news.pop_front()
    }

    fn end(&mut self, job: QueuedAttempt, status: Status) {
        self.news.push_back(NodeEvent::Ended(job.id, job.attempt, status, Reply::default()));
    }

    /// Has the attempt's last byte been written?
    pub fn is_written(&self, key: usize, id: RequestId, attempt: u32) -> bool {
        self.all.get(key).is_some_and(|c| c.pipe.is_written((id, attempt)))
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
    use crate::platform::discovery::{Host, News as List};
    use crate::request::tests::query;
    use addresses::Address;
    use calicosaddle::api::ServerEntry;
    use pipeline::{Pipeline, SettleDelay};
    use std::io::Write;
    use std::net::TcpListener;
    use std::time::{Duration, Instant};

    fn made(config: &Config, poll: &mio::Poll) -> Boxes {
        let registry = poll.registry().try_clone().expect("a registry");
        Boxes::new(config, 8, registry, &operator::Operator::default(), None)
    }

    fn host(entry: ServerEntry, listener: &TcpListener) -> Host {
        let address = listener.local_addr().expect("an address");
        Host { name: "s-7".into(), entry, dials: vec![Address::Tcp(address)], faults: Vec::new() }
    }

    /// Before one node, 7, that this listener stands for.
    fn before(listener: &TcpListener, poll: &mio::Poll) -> Boxes {
        let mut boxes = made(&sample(), poll);
        let hosts = vec![host(ServerEntry { server: 7, ..ServerEntry::default() }, listener)];
        boxes.apply_list(&List { version: 1, whole: true, hosts }, 0);
        boxes
    }

    /// A whole answer of a node.
    const ANSWER: &[u8] = b"*3\r\n$1\r\nx\r\n$-1\r\n$-1\r\n";

    fn job(config: &Config) -> QueuedAttempt {
        QueuedAttempt { id: 1, attempt: 0, query: query(config), target: 9_000 * MS, deadline: 9_000 * MS }
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
        assert!(boxes.write_due(0));
        let news = boxes.next_event();
        assert!(
            matches!(news, Some(NodeEvent::Reassigned(1, 0, _, Some(NewConnection { serial: 2, .. }))))
                && boxes.next_event().is_none(),
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
            while !matches!(boxes.next_event(), Some(NodeEvent::Served(1, 0, ..))) {
                waits();
                boxes.ready(key, false, &mut [0; 64], 2 * MS);
            }
            let again = QueuedAttempt { attempt: 1, ..job(&sample()) };
            assert!(matches!(boxes.send(7, again, 3 * MS), Some((same, None)) if same == key));
            assert_eq!(
                (boxes.next_write_at(), boxes.write_due(6 * MS), boxes.written),
                (Some(7 * MS), false, 1)
            );
            if surplus {
                node.write_all(ANSWER).expect("written");
                while boxes.nodes[&7].counts.surplus == 0 {
                    waits();
                    boxes.ready(key, false, &mut [0; 64], 6 * MS);
                }
                let moved = boxes.next_event();
                assert!(matches!(moved, Some(NodeEvent::Reassigned(1, 1, _, Some(_)))), "{moved:?}");
                assert_eq!((boxes.written, boxes.nodes[&7].counts.breaks), (1, 0));
            } else {
                assert!(boxes.write_due(7 * MS) && boxes.all[key].pipe.is_written((1, 1)));
                assert_eq!((boxes.next_write_at(), boxes.written), (None, 2));
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
        let (slow, new) = boxes.send(7, QueuedAttempt { attempt: 1, ..job(&sample()) }, MS).expect("another");
        assert!(new.is_some() && slow != up);
        node.write_all(ANSWER).expect("written");
        while boxes.all[up].depth() > 0 && begun.elapsed() < Duration::from_secs(20) {
            boxes.ready(up, false, &mut [0; 64], 2 * MS);
            if matches!(boxes.next_event(), Some(NodeEvent::Served(1, 0, ..))) {
                break;
            }
        }
        assert!(matches!(boxes.next_event(), Some(NodeEvent::Reassigned(1, 1, key, None)) if key == up));
        // The connection rests after its answer, which came at 2 ms.
        assert!(!boxes.write_due(2 * MS));
        assert!(
            boxes.write_due(7 * MS) && boxes.all[up].pipe.is_written((1, 1)) && boxes.all[slow].depth() == 0
        );
    }

    #[test]
    fn an_attempt_that_finds_all_connections_in_use_is_told_as_not_sent_and_not_as_refused() {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let poll = mio::Poll::new().expect("a poll");
        let mut boxes = before(&listener, &poll);
        (boxes.per_node, boxes.pipes) = (1, PipelineConfig::default());
        assert!(boxes.send(7, job(&sample()), 0).is_some());
        for attempt in 1..4 {
            assert!(boxes.send(7, QueuedAttempt { attempt, ..job(&sample()) }, 0).is_none());
            let told = boxes.next_event();
            assert!(
                matches!(told, Some(NodeEvent::Ended(1, n, Status::NotSent, _)) if n == attempt),
                "{attempt}: {told:?}"
            );
        }
        // Where nothing holds, and no descriptor is left to dial with, the node was not reached.
        (boxes.per_node, boxes.limit) = (2, 0);
        boxes.close(0);
        while boxes.next_event().is_some() {}
        assert!(boxes.send(7, job(&sample()), 0).is_none());
        assert!(matches!(boxes.next_event(), Some(NodeEvent::Ended(1, 0, Status::ConnectFailed, _))));
    }

    #[test]
    fn connections_to_a_node_that_come_up_slowly_race_one_at_a_time() {
        let (at, _held) = testkit::scripted::full_backlog();
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let poll = mio::Poll::new().expect("a poll");
        let mut boxes = made(&sample(), &poll);
        let mut host = host(ServerEntry { server: 7, ..ServerEntry::default() }, &listener);
        host.dials.insert(0, Address::Tcp(at));
        boxes.apply_list(&List { version: 1, whole: true, hosts: vec![host] }, 0);
        let keys: Vec<_> = (0..4).filter_map(|_| boxes.send(7, job(&sample()), 0)).collect();
        assert_eq!((keys.len(), boxes.rivals), (4, 0));
        for (key, begun) in &keys {
            boxes.start_staggered(*key, begun.expect("new").serial, 300 * MS);
        }
        assert_eq!((boxes.rivals, boxes.descriptors()), (1, 5));
        // Each that comes up over the second address lets the next begin, and the first address is passed over.
        for (i, (key, _)) in keys.iter().enumerate() {
            let begun = Instant::now();
            while !boxes.staggered_ready(*key, 310 * MS) {
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
                boxes.set_drained(&[7], 0);
            }
            boxes.ready(key, false, &mut [0; 64], MS);
            let ended = matches!(boxes.next_event(), Some(NodeEvent::Ended(1, 0, Status::NotSent, _)));
            assert_eq!((ended, boxes.nodes[&7].sent), (withdrawn, u64::from(!withdrawn)));
        }
    }
}
