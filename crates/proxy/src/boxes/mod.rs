//! Cache nodes: their addresses, the connections to each, and the attempts on those.
//!
//! A connection carries attempts in order. An attempt is checked when it is about to be written. Once its last byte is
//! written the node may have executed it, even if the connection fails afterwards.

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

use crate::descriptors::DescriptorBudget;
use crate::platform::config::Config;
use calicosaddle::api::{Nanos, RequestId, ServerId, Status};
use connection::Connection;
pub use connection::QueuedAttempt;
use control::message::Pipelines;
use idle::IdleOutcomes;
use mio::Registry;
use node::Node;
use pipeline::{BoxLatencies, PipelineConfig, ValueVariety};
use resp::{BodyFormat, Frame, Reply};
use rustc_hash::{FxHashMap, FxHashSet};
pub use settings::{hello_command, pipeline_config};
use slab::Slab;
use std::collections::{BTreeSet, VecDeque};

const MS: Nanos = 1_000_000;
/// Planned connections to one cache node from all proxies together. Nodes accept about thirty, a fuller table takes
/// more of their capacity, and restarted proxies open theirs again.
const PLANNED_CONNECTIONS_PER_NODE: usize = 24;
/// The most connections from one proxy to a node: more than a node has slots for requests.
const MAX_CONNECTIONS_PER_NODE: usize = 8;
/// The fraction of the node's idle time-out within which a connection is reused: a request that crosses the node's
/// close ends as a reset.
const USABLE_IDLE_FRACTION: f64 = 0.8;
/// A node writes a reply in one go, with pauses of at most 0.1 s; after a longer pause the rest will not come.
const REPLY_STALL_TIMEOUT: Nanos = 200 * MS;
/// The same for a long value. It is longer, since the client already has the first bytes and can't be given them a
/// second time.
const LONG_VALUE_STALL_TIMEOUT: Nanos = 5_000 * MS;
/// The maximum capacity that the write buffer of an idle connection keeps allocated.
const MAX_IDLE_BUFFER_BYTES: usize = 4 << 10;
/// The most time by which one sweep decays the idle-time statistics.
const MAX_DECAY_PER_SWEEP: Nanos = 1_000 * MS;

/// An event on the connections to cache nodes.
#[derive(Debug)]
pub enum NodeEvent {
    /// The last byte of an attempt of a request that may have an effect was written.
    Written(RequestId),
    /// An attempt ended without a reply that can be given to the client.
    Ended(RequestId, u32, Status, Reply),
    /// An attempt was served by a whole reply: the reply, the bytes that came with it, and the response time, which is
    /// unknown if the attempt had to wait behind another reply.
    Served(RequestId, u32, Reply, Vec<u8>, Option<Nanos>),
    /// An attempt is being served with a long value: the connection's key, what the value is and its length.
    ValueStarted(RequestId, u32, usize, BodyFormat, usize),
    /// The next bytes of a long value.
    ValueBytes(RequestId, Vec<u8>),
    /// The end of a long value, with the rest of its reply.
    ValueComplete(RequestId, Reply),
    /// A long value broke off before its end.
    ValueTruncated(RequestId),
    /// An attempt was moved to another connection, which may be new.
    Reassigned(RequestId, u32, usize, Option<NewConnection>),
    /// A node sent an out-of-band push.
    Push(ServerId, Vec<Frame>),
}

/// An attempt that the proxy no longer waits for.
#[derive(Clone, Copy, Debug)]
pub struct AbandonedAttempt {
    /// When it was sent.
    pub sent_at: Nanos,
    /// It timed out; otherwise it was cancelled.
    pub timed_out: bool,
}

/// A connection whose opening was started.
#[derive(Clone, Copy, Debug)]
pub struct NewConnection {
    /// Its serial number among all connections since the start.
    pub serial: u64,
    /// After this time without success another address may be dialed in parallel.
    pub connection_attempt_delay: Option<Nanos>,
}

/// The cache nodes and all connections to them.
#[derive(Debug)]
pub struct Boxes {
    nodes: FxHashMap<ServerId, Node>,
    /// The number of the node recorded last.
    last_node: u64,
    /// The nodes drained by operators, whether listed or not.
    drained: FxHashSet<ServerId>,
    registry: Registry,
    /// A write may be repeated over another address of its node.
    repeat_writes_across_addresses: bool,
    /// Racing dials in progress; each holds a descriptor.
    racing_dials: usize,
    connections: Slab<Connection>,
    /// Serial number of the connection opened last.
    last_serial: u64,
    /// Attempts fully written since the start.
    attempts_written: u64,
    /// The command that opens each connection, if the operator allows RESP3.
    hello: Option<Vec<u8>>,
    /// The most connections to one node.
    max_per_node: usize,
    /// The most descriptors for connections to nodes.
    descriptor_limit: usize,
    pipeline_config: PipelineConfig,
    /// Response and connect times over all nodes.
    latencies: BoxLatencies,
    value_variety: ValueVariety,
    pipeline_options: operator::Pipeline,
    /// Pipeline counters of the nodes that were removed.
    removed_stats: Pipelines,
    /// Connections with queued attempts, to be written to at the end of a turn of the event loop.
    write_queue: Vec<usize>,
    /// Connections with queued attempts that are in their settle delay, by its end.
    settling: BTreeSet<(Nanos, usize)>,
    /// When the first connection in the write queue was put there.
    batch_started_at: Nanos,
    /// The longest idle time of a reusable connection by the configuration.
    configured_idle_limit: Nanos,
    /// The same, reduced by what was observed.
    idle_limit: Nanos,
    idle_outcomes: IdleOutcomes,
    last_sweep: Nanos,
    events: VecDeque<NodeEvent>,
    /// Connections that may have input without a further readiness event.
    unread: BTreeSet<usize>,
}

impl Boxes {
    /// Creates the set without nodes. Connections hold at most `descriptor_limit` descriptors and are opened with
    /// `hello` if there is one.
    pub fn new(
        config: &Config,
        descriptor_limit: usize,
        registry: Registry,
        options: &operator::Operator,
        hello: Option<Vec<u8>>,
    ) -> Self {
        let mut boxes = Boxes {
            nodes: FxHashMap::default(),
            last_node: 0,
            drained: FxHashSet::default(),
            registry,
            repeat_writes_across_addresses: options.boxes.repeat_writes_across_addresses,
            racing_dials: 0,
            connections: Slab::new(),
            last_serial: 0,
            attempts_written: 0,
            hello,
            max_per_node: 1,
            descriptor_limit,
            pipeline_config: PipelineConfig::default(),
            latencies: BoxLatencies::NONE,
            value_variety: ValueVariety::default(),
            pipeline_options: options.pipeline.clone(),
            removed_stats: Pipelines::default(),
            write_queue: Vec::new(),
            settling: BTreeSet::new(),
            batch_started_at: 0,
            configured_idle_limit: 0,
            idle_limit: 0,
            idle_outcomes: IdleOutcomes::default(),
            last_sweep: 0,
            events: VecDeque::new(),
            unread: BTreeSet::new(),
        };
        boxes.configure(config);
        boxes
    }

    /// Checks whether a configuration can be applied.
    ///
    /// # Errors
    /// As for [`pipeline_config`].
    pub fn check_config(&self, config: &Config) -> Result<(), String> {
        pipeline_config(&self.pipeline_options, config).map(|_| ())
    }

    /// Applies a configuration.
    pub fn configure(&mut self, config: &Config) {
        let per_proxy = PLANNED_CONNECTIONS_PER_NODE / config.settings.proxy_count.max(1) as usize;
        self.max_per_node = per_proxy.clamp(1, MAX_CONNECTIONS_PER_NODE);
        // An invalid configuration has been rejected before. The learned settle delay is kept.
        let learned = self.pipeline_config.settle_delay;
        self.pipeline_config =
            pipeline_config(&self.pipeline_options, config).unwrap_or(self.pipeline_config);
        self.pipeline_config.settle_delay = self.pipeline_config.settle_delay.with_learned(learned);
        self.configured_idle_limit = (config.connection_idle_timeout as f64 * USABLE_IDLE_FRACTION) as Nanos;
        self.idle_limit = self.idle_outcomes.limit(self.configured_idle_limit);
    }

    /// Divides the descriptors between this number of clients and the nodes, closing an idle connection if a further
    /// client needs its descriptor. Returns how many clients are allowed then.
    pub fn make_room(&mut self, budget: DescriptorBudget, clients: usize) -> usize {
        let needed = clients >= budget.for_clients(self.descriptors());
        if needed && self.descriptors() > budget.for_nodes(usize::MAX) {
            self.evict_idle();
        }
        self.descriptor_limit = budget.for_nodes(clients);
        budget.for_clients(self.descriptors())
    }

    /// Descriptors held by connections to nodes.
    pub fn descriptors(&self) -> usize {
        self.connections.len() + self.racing_dials
    }

    /// Attempts fully written since the start.
    pub fn attempts_written(&self) -> u64 {
        self.attempts_written
    }

    /// Takes the next event.
    pub fn next_event(&mut self) -> Option<NodeEvent> {
        self.events.pop_front()
    }

    fn end_unsent(&mut self, queued: QueuedAttempt, status: Status) {
        self.events.push_back(NodeEvent::Ended(queued.id, queued.attempt, status, Reply::default()));
    }

    /// Whether the attempt's last byte has been written.
    pub fn is_written(&self, key: usize, id: RequestId, attempt: u32) -> bool {
        self.connections.get(key).is_some_and(|c| c.pipeline.is_written((id, attempt)))
    }

    /// Closes connections that have been idle too long, lead to a process that has been replaced, or have stalled within a
    /// reply. A stall comes from a reply that is shorter than it states or has no end, or from a node that fails while it
    /// writes.
    pub fn sweep(&mut self, now: Nanos) {
        let elapsed =
            now.saturating_sub(std::mem::replace(&mut self.last_sweep, now)).min(MAX_DECAY_PER_SWEEP);
        self.idle_outcomes.decay(elapsed);
        self.idle_limit = self.idle_outcomes.limit(self.configured_idle_limit);
        let nodes = &self.nodes;
        let is_replaced =
            |c: &Connection| nodes.get(&c.server).is_some_and(|n| n.entry.started_at != c.process_started_at);
        let is_expired = |c: &Connection| {
            let idle = now.saturating_sub(c.last_active);
            let timeout = if c.streaming { LONG_VALUE_STALL_TIMEOUT } else { REPLY_STALL_TIMEOUT };
            (c.depth() == 0 && c.connected && (idle >= self.idle_limit || is_replaced(c)))
                || (c.mid_reply() && !c.paused && now.saturating_sub(c.last_read) >= timeout)
        };
        let expired = self.connections.iter().filter(|(_, c)| is_expired(c)).map(|(key, _)| key);
        let expired: Vec<usize> = expired.collect();
        expired.into_iter().for_each(|key| self.close_unreadable(key));
        self.reassign_behind_stalled(now);
        self.forget_removed();
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::platform::config::tests::sample;
    use crate::platform::discovery::{Host, ListUpdate};
    use crate::request::tests::{query, write_query};
    use addresses::Address;
    use calicosaddle::api::ServerEntry;
    use pipeline::{Pipeline, SettleDelay};
    use std::io::Write;
    use std::net::TcpListener;
    use std::time::{Duration, Instant};

    fn empty(config: &Config, poll: &mio::Poll) -> Boxes {
        let registry = poll.registry().try_clone().expect("clone the registry");
        Boxes::new(config, 8, registry, &operator::Operator::default(), None)
    }

    fn host(entry: ServerEntry, listener: &TcpListener) -> Host {
        let address = listener.local_addr().expect("local address");
        Host {
            name: "s-7".into(),
            entry,
            addresses: vec![Address::Tcp(address)],
            invalid_addresses: Vec::new(),
        }
    }

    /// With one node, 7, at the listener's address.
    fn with_node(listener: &TcpListener, poll: &mio::Poll) -> Boxes {
        let mut boxes = empty(&sample(), poll);
        let hosts = vec![host(ServerEntry { server: 7, ..ServerEntry::default() }, listener)];
        boxes.apply_list(&ListUpdate { version: 1, full: true, hosts }, 0);
        boxes
    }

    /// A complete reply of a node.
    const REPLY: &[u8] = b"*3\r\n$1\r\nx\r\n$-1\r\n$-1\r\n";

    fn queued(config: &Config) -> QueuedAttempt {
        QueuedAttempt { id: 1, attempt: 0, query: query(config), target: 9_000 * MS, deadline: 9_000 * MS }
    }

    #[test]
    fn unsolicited_bytes_are_detected_before_an_idle_connection_is_reused() {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a listener");
        let poll = mio::Poll::new().expect("create a poll");
        let mut boxes = with_node(&listener, &poll);
        let key = boxes.send(7, queued(&sample()), 0).expect("a connection for the attempt").0;
        let mut node = listener.accept().expect("accept").0;
        (boxes.connections[key].connected, boxes.connections[key].pipeline) = (true, Pipeline::default());
        assert_eq!(
            boxes.send(7, queued(&sample()), 0).map(|(key, new)| (key, new.is_some())),
            Some((key, false))
        );
        node.write_all(b"-BUSY\r\n").expect("write to the proxy");
        let started = Instant::now();
        while boxes.connections[key].link.socket.is_quiet() {
            assert!(started.elapsed() < Duration::from_secs(20), "no bytes arrived within 20 s");
            std::thread::sleep(Duration::from_millis(1));
        }
        // The event loop has not reported them, yet the connection is closed and its attempt reassigned.
        assert!(boxes.write_due(0));
        let event = boxes.next_event();
        assert!(
            matches!(event, Some(NodeEvent::Reassigned(1, 0, _, Some(NewConnection { serial: 2, .. }))))
                && boxes.next_event().is_none(),
            "{event:?}"
        );
        assert_eq!((boxes.connections.len(), boxes.attempts_written, boxes.nodes[&7].stats.moved), (1, 0, 1));
    }

    #[test]
    fn an_attempt_waits_for_the_settle_delay_and_is_reassigned_on_unsolicited_bytes() {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a listener");
        let poll = mio::Poll::new().expect("create a poll");
        for unsolicited in [false, true] {
            let mut boxes = with_node(&listener, &poll);
            boxes.pipeline_config =
                PipelineConfig { settle_delay: SettleDelay::new(None), ..PipelineConfig::default() };
            let (key, _) = boxes.send(7, queued(&sample()), 0).expect("a connection for the attempt");
            let mut node = listener.accept().expect("accept").0;
            let started = Instant::now();
            let check_progress =
                || assert!(started.elapsed() < Duration::from_secs(20), "no progress within 20 s");
            while boxes.attempts_written == 0 {
                check_progress();
                boxes.ready(key, false, &mut [0; 64], MS);
            }
            node.write_all(REPLY).expect("write to the proxy");
            while !matches!(boxes.next_event(), Some(NodeEvent::Served(1, 0, ..))) {
                check_progress();
                boxes.ready(key, false, &mut [0; 64], 2 * MS);
            }
            let again = QueuedAttempt { attempt: 1, ..queued(&sample()) };
            assert!(matches!(boxes.send(7, again, 3 * MS), Some((same, None)) if same == key));
            assert_eq!(
                (boxes.next_write_at(), boxes.write_due(6 * MS), boxes.attempts_written),
                (Some(7 * MS), false, 1)
            );
            if unsolicited {
                node.write_all(REPLY).expect("write to the proxy");
                while boxes.nodes[&7].stats.unsolicited == 0 {
                    check_progress();
                    boxes.ready(key, false, &mut [0; 64], 6 * MS);
                }
                let moved = boxes.next_event();
                assert!(matches!(moved, Some(NodeEvent::Reassigned(1, 1, _, Some(_)))), "{moved:?}");
                assert_eq!((boxes.attempts_written, boxes.nodes[&7].stats.breaks), (1, 0));
            } else {
                assert!(boxes.write_due(7 * MS) && boxes.connections[key].pipeline.is_written((1, 1)));
                assert_eq!((boxes.next_write_at(), boxes.attempts_written), (None, 2));
            }
        }
    }

    /// Guards against an attempt that is never written, as it took the place of one with an earlier end of its settle delay.
    #[test]
    fn an_attempt_is_written_at_the_end_of_its_own_settle_delay() {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a listener");
        let poll = mio::Poll::new().expect("create a poll");
        let mut boxes = with_node(&listener, &poll);
        let key = boxes.send(7, queued(&sample()), 0).expect("a connection for the attempt").0;
        let _node = listener.accept().expect("accept").0;
        (boxes.connections[key].connected, boxes.connections[key].pipeline) = (true, Pipeline::default());
        let (read_at, write_at) = (5 * MS, 9 * MS);
        boxes.connections[key].ready_at = [read_at, write_at];
        assert!(boxes.send(7, queued(&sample()), 0).is_some());
        assert_eq!(boxes.next_write_at(), Some(read_at));
        let abandoned = AbandonedAttempt { sent_at: 0, timed_out: false };
        assert!(boxes.cancel(key, 1, 0, abandoned, MS));
        let write = QueuedAttempt { attempt: 1, query: write_query(&sample()), ..queued(&sample()) };
        assert!(boxes.send(7, write, MS).is_some());
        assert!(boxes.write_due(read_at));
        assert_eq!((boxes.next_write_at(), boxes.attempts_written), (Some(write_at), 0));
        assert!(boxes.write_due(write_at) && boxes.connections[key].pipeline.is_written((1, 1)));
    }

    #[test]
    fn an_attempt_that_waits_for_a_slow_connect_takes_a_connection_that_becomes_idle() {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a listener");
        let poll = mio::Poll::new().expect("create a poll");
        let mut boxes = with_node(&listener, &poll);
        let (connected, _) = boxes.send(7, queued(&sample()), 0).expect("a connection for the attempt");
        let mut node = listener.accept().expect("accept").0;
        let started = Instant::now();
        while boxes.attempts_written == 0 {
            assert!(started.elapsed() < Duration::from_secs(20), "the attempt was not written within 20 s");
            boxes.ready(connected, false, &mut [0; 64], MS);
        }
        let (slow, new) = boxes
            .send(7, QueuedAttempt { attempt: 1, ..queued(&sample()) }, MS)
            .expect("a second connection");
        assert!(new.is_some() && slow != connected);
        node.write_all(REPLY).expect("write to the proxy");
        while boxes.connections[connected].depth() > 0 && started.elapsed() < Duration::from_secs(20) {
            boxes.ready(connected, false, &mut [0; 64], 2 * MS);
            if matches!(boxes.next_event(), Some(NodeEvent::Served(1, 0, ..))) {
                break;
            }
        }
        assert!(
            matches!(boxes.next_event(), Some(NodeEvent::Reassigned(1, 1, key, None)) if key == connected)
        );
        // The settle delay of the connection starts with its reply at 2 ms.
        assert!(!boxes.write_due(2 * MS));
        assert!(
            boxes.write_due(7 * MS)
                && boxes.connections[connected].pipeline.is_written((1, 1))
                && boxes.connections[slow].depth() == 0
        );
    }

    #[test]
    fn an_attempt_that_finds_all_connections_busy_ends_as_not_sent_instead_of_connect_failed() {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a listener");
        let poll = mio::Poll::new().expect("create a poll");
        let mut boxes = with_node(&listener, &poll);
        (boxes.max_per_node, boxes.pipeline_config) = (1, PipelineConfig::default());
        assert!(boxes.send(7, queued(&sample()), 0).is_some());
        for attempt in 1..4 {
            assert!(boxes.send(7, QueuedAttempt { attempt, ..queued(&sample()) }, 0).is_none());
            let event = boxes.next_event();
            assert!(
                matches!(event, Some(NodeEvent::Ended(1, n, Status::NotSent, _)) if n == attempt),
                "attempt {attempt}: {event:?}"
            );
        }
        // Without a connection and without a descriptor to open one, the node was not reached.
        (boxes.max_per_node, boxes.descriptor_limit) = (2, 0);
        boxes.close(0);
        while boxes.next_event().is_some() {}
        assert!(boxes.send(7, queued(&sample()), 0).is_none());
        assert!(matches!(boxes.next_event(), Some(NodeEvent::Ended(1, 0, Status::ConnectFailed, _))));
    }

    #[test]
    fn slow_connects_to_one_node_have_one_racing_dial_at_a_time() {
        let (unreachable, _listener) = testkit::scripted::full_backlog();
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a listener");
        let poll = mio::Poll::new().expect("create a poll");
        let mut boxes = empty(&sample(), &poll);
        let mut host = host(ServerEntry { server: 7, ..ServerEntry::default() }, &listener);
        host.addresses.insert(0, Address::Tcp(unreachable));
        boxes.apply_list(&ListUpdate { version: 1, full: true, hosts: vec![host] }, 0);
        let keys: Vec<_> = (0..4).filter_map(|_| boxes.send(7, queued(&sample()), 0)).collect();
        assert_eq!((keys.len(), boxes.racing_dials), (4, 0));
        for (key, new) in &keys {
            boxes.start_race(*key, new.expect("a new connection").serial, 300 * MS);
        }
        assert_eq!((boxes.racing_dials, boxes.descriptors()), (1, 5));
        // Each connection established over the second address lets the next racing dial start.
        for (i, (key, _)) in keys.iter().enumerate() {
            let started = Instant::now();
            while !boxes.race_ready(*key, 310 * MS) {
                assert!(
                    started.elapsed() < Duration::from_secs(20),
                    "the race of connection {i} did not end within 20 s"
                );
                std::thread::sleep(Duration::from_millis(1));
            }
            boxes.ready(*key, false, &mut [0; 64], 310 * MS);
            assert_eq!(boxes.racing_dials, usize::from(i < 3), "after connection {i}");
        }
        assert!(boxes.connections.iter().all(|(_, c)| c.connected));
    }

    #[test]
    fn a_queued_attempt_is_not_sent_to_a_node_that_was_drained_meanwhile() {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a listener");
        let poll = mio::Poll::new().expect("create a poll");
        let config = sample();
        for drained in [false, true] {
            let mut boxes = with_node(&listener, &poll);
            let (key, _) = boxes.send(7, queued(&config), 0).expect("a connection for the attempt");
            listener.accept().expect("accept");
            if drained {
                boxes.set_drained(&[7], 0);
            }
            boxes.ready(key, false, &mut [0; 64], MS);
            let ended = matches!(boxes.next_event(), Some(NodeEvent::Ended(1, 0, Status::NotSent, _)));
            assert_eq!((ended, boxes.nodes[&7].attempts_sent), (drained, u64::from(!drained)));
        }
    }
}
