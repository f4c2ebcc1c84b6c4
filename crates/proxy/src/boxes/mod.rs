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
mod reply_memory;
mod settings;
mod socket;
mod status;
#[cfg(test)]
mod tests;
mod unopened;
mod write;

use crate::descriptors::DescriptorBudget;
use crate::platform::config::Config;
use crate::retry_queue::RetryQueue;
use calicosaddle::api::{Nanos, RequestId, ServerId, Status};
use connection::Connection;
pub use connection::QueuedAttempt;
use control::message::Pipelines;
use idle::IdleOutcomes;
use mio::Registry;
use node::Node;
use pipeline::{BoxLatencies, PipelineConfig, ValueVariety};
use reply_memory::ReplyMemory;
use resp::{BodyFormat, Frame, Reply};
use rustc_hash::{FxHashMap, FxHashSet};
pub use settings::{hello_command, pipeline_config};
use slab::Slab;
use std::collections::{BTreeSet, VecDeque};
use unopened::UnopenedAttempts;

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
const MAX_IDLE_BUFFER_BYTES: usize = 1 << 10;
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
    /// The next bytes of an attempt's long value.
    ValueBytes(RequestId, u32, Vec<u8>),
    /// The end of an attempt's long value, with the rest of its reply.
    ValueComplete(RequestId, u32, Reply),
    /// An attempt's long value broke off before its end.
    ValueTruncated(RequestId, u32),
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
    /// Attempts for which no socket can be opened at the moment.
    unopened: UnopenedAttempts,
    /// Connections whose transfers failed for lack of something on this machine.
    retries: RetryQueue,
    /// The memory for incomplete replies.
    reply_memory: ReplyMemory,
    /// Connections that may have input without a further readiness event.
    unread: BTreeSet<usize>,
}

impl Boxes {
    /// Creates the set without nodes. Connections hold at most `descriptor_limit` descriptors and are opened with
    /// `hello` if there is one. Incomplete replies may take `reply_bytes`.
    pub fn new(
        config: &Config,
        descriptor_limit: usize,
        registry: Registry,
        options: &operator::Operator,
        hello: Option<Vec<u8>>,
        reply_bytes: usize,
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
            unopened: UnopenedAttempts::default(),
            retries: RetryQueue::default(),
            reply_memory: ReplyMemory::new(reply_bytes, hello.is_some()),
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
                || (c.mid_reply()
                    && !c.paused
                    && !c.waits_for_memory
                    && now.saturating_sub(c.last_read) >= timeout)
        };
        let expired = self.connections.iter().filter(|(_, c)| is_expired(c)).map(|(key, _)| key);
        let expired: Vec<usize> = expired.collect();
        expired.into_iter().for_each(|key| self.close_unreadable(key));
        self.reassign_behind_stalled(now);
        self.forget_removed();
    }
}
