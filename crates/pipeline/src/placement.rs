//! Chooses the connection on which a command is sent to its box.

use crate::{BoxLatencies, CommandKind, LatencyHistogram, Nanos, SettleDelay};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;

/// The policy by which connections are chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlacementPolicy {
    /// An idle connection, otherwise a new one, otherwise the one with the fewest commands.
    #[default]
    Fixed,
    /// The connection with the earliest expected answer, where a new one is charged for the cost of its handshake to the
    /// box; none if the answer would come after the target time.
    Expected,
}

/// The operator's settings for pipelines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PipelineConfig {
    /// How connections are chosen.
    pub placement: PlacementPolicy,
    /// The most commands on a connection that accepts another read, and that accepts another write.
    pub max_depth: [usize; 2],
    /// Commands of different kinds do not share a connection.
    pub separate_kinds: bool,
    /// A connection accepts no commands while its head is older than this quantile of the head latencies; 1 disables the
    /// check.
    pub head_quantile: f64,
    /// The cost of a handshake to the box, as a multiple of the time to connect, which is added to that time.
    pub handshake_cost: f64,
    /// How long a connection waits after an answer before it carries the next command.
    pub settle_delay: SettleDelay,
}

impl Default for PipelineConfig {
    fn default() -> Self {
        PipelineConfig {
            placement: PlacementPolicy::Fixed,
            max_depth: [1, 1],
            separate_kinds: false,
            head_quantile: 1.0,
            handshake_cost: 2.0,
            settle_delay: SettleDelay::NONE,
        }
    }
}

/// The state of a connection to the box.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionState<'a, K> {
    /// The host's key for it.
    pub key: K,
    /// It is established; otherwise it is still connecting.
    pub connected: bool,
    /// When it last carried anything, or when it began to connect if it is not established yet.
    pub active_since: Nanos,
    /// The end of its settle delay, before which nothing is written to it.
    pub writable_at: Nanos,
    /// The number of commands on it.
    pub depth: usize,
    /// How long its head has been the head; `None` if no written command awaits an answer.
    pub head_age: Option<Nanos>,
    /// The head latencies measured on this connection.
    pub latency: &'a LatencyHistogram,
    /// All commands on it are of the same kind as the new one.
    pub same_kind: bool,
}

impl<K> ConnectionState<'_, K> {
    fn is_idle(&self) -> bool {
        self.connected && self.depth == 0
    }
}

/// The measured latencies of the box and of all boxes together, which are used where the box has too few samples.
#[derive(Clone, Copy, Debug)]
pub struct LatencyContext<'a> {
    /// The latencies of this box.
    pub this_box: &'a BoxLatencies,
    /// The latencies of all boxes together.
    pub all_boxes: &'a BoxLatencies,
}

impl<'a> LatencyContext<'a> {
    /// The expected remaining time at this age, by the box's own samples if there are enough.
    fn expected_remaining(
        &self,
        histogram: impl Fn(&'a BoxLatencies) -> &'a LatencyHistogram,
        age: Nanos,
    ) -> Option<Nanos> {
        let own = histogram(self.this_box).expected_remaining(age);
        own.or_else(|| histogram(self.all_boxes).expected_remaining(age))
    }
}

/// A command for which a connection is to be chosen.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest {
    /// The kind of the command.
    pub kind: CommandKind,
    /// The time by which its answer should arrive.
    pub target_time: Nanos,
    /// Whether another connection may be opened.
    pub may_open: bool,
}

/// The connection that was chosen for a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement<K> {
    /// This idle connection.
    Idle(K),
    /// This connection, behind the commands on it.
    Pipelined(K),
    /// A new connection.
    New,
    /// None. The command has not been written, so it may go to another box.
    Full,
}

impl<K> Placement<K> {
    /// The existing connection that is to carry the command.
    pub fn key(self) -> Option<K> {
        match self {
            Placement::Idle(key) | Placement::Pipelined(key) => Some(key),
            Placement::New | Placement::Full => None,
        }
    }
}

/// The fewest samples of a connection from which its own latencies are used instead of its box's.
const MIN_CONNECTION_SAMPLES: u16 = 32;

/// Whether the head of a connection is older than the configured quantile of the head latencies on this connection or,
/// where these are too few, of its box, then of all boxes; failing these, older than twice the longest of any box.
///
/// Without the latencies of all boxes, a proxy with a few answers a second from each box would have no estimate for
/// minutes, and a box that falls silent in that time would be filled to the maximum depth.
pub fn is_stalled(
    age: Nanos,
    latency: &LatencyHistogram,
    kind: CommandKind,
    latencies: LatencyContext<'_>,
    config: &PipelineConfig,
) -> bool {
    if config.head_quantile >= 1.0 {
        return false;
    }
    let own = Some(latency).filter(|h| h.sample_count() >= MIN_CONNECTION_SAMPLES);
    let of_boxes = [latencies.this_box, latencies.all_boxes].map(|b| b.head_latency(kind));
    let limit = own.into_iter().chain(of_boxes).find_map(|h| h.quantile(config.head_quantile));
    let fallback = || latencies.all_boxes.head_latency(kind).max().map(|longest| 2 * longest);
    limit.or_else(fallback).is_some_and(|limit| age > limit)
}

/// The expected time until the answer on this busy connection; `None` if too little is measured.
fn expected_latency<K>(
    connection: &ConnectionState<'_, K>,
    request: &PlacementRequest,
    latencies: LatencyContext<'_>,
    now: Nanos,
) -> Option<Nanos> {
    let own = latencies.expected_remaining(|measured| measured.head_latency(request.kind), 0)?;
    let gap = latencies.expected_remaining(BoxLatencies::answer_gap, 0).unwrap_or(0);
    let gaps = gap * connection.depth as Nanos;
    if !connection.connected {
        let connecting_for = now.saturating_sub(connection.active_since);
        let connect = latencies.expected_remaining(BoxLatencies::connect_time, connecting_for)?;
        return Some(connect + own.max(gaps));
    }
    // The box processes the command while those ahead of it are processed; only its answer has to wait for theirs.
    let head_age = connection.head_age.unwrap_or(0);
    let head = latencies.expected_remaining(|b| b.head_latency(request.kind), head_age)?;
    Some(own.max(head + gaps))
}

/// The expected time until the answer on a new connection, with the charge for its handshake.
fn expected_latency_on_new(
    request: &PlacementRequest,
    latencies: LatencyContext<'_>,
    config: &PipelineConfig,
) -> Option<Nanos> {
    let connect = latencies.expected_remaining(BoxLatencies::connect_time, 0)?;
    let own = latencies.expected_remaining(|b| b.head_latency(request.kind), 0)?;
    Some((connect as f64 * (1.0 + config.handshake_cost)) as Nanos + own)
}

/// Chooses the connection for a command. `connections` are those that the host can use: not about to close, over an
/// address in use, and without a cancelled command in flight.
pub fn choose_connection<'a, K: Copy + 'a>(
    request: &PlacementRequest,
    connections: impl Iterator<Item = ConnectionState<'a, K>> + Clone,
    latencies: LatencyContext<'_>,
    config: &PipelineConfig,
    now: Nanos,
) -> Placement<K> {
    // The most recently used one is preferred, so that excess connections reach their idle timeout and close. Waiting for
    // the end of a settle delay takes less time than a handshake, and costs the box nothing.
    let idle = connections.clone().filter(ConnectionState::is_idle);
    if let Some(idle) = idle.max_by_key(|c| (Reverse(c.writable_at.max(now)), c.active_since)) {
        return Placement::Idle(idle.key);
    }
    let max_depth = config.max_depth[usize::from(request.kind.write)];
    let accepts = move |c: &ConnectionState<'a, K>| {
        let stalled =
            c.head_age.is_some_and(|age| is_stalled(age, c.latency, request.kind, latencies, config));
        !c.is_idle() && c.depth < max_depth && (c.same_kind || !config.separate_kinds) && !stalled
    };
    let busy = connections.filter(accepts);
    let latency_on_new = || expected_latency_on_new(request, latencies, config);
    if let Some(latency_on_new) =
        (config.placement == PlacementPolicy::Expected).then(latency_on_new).flatten()
    {
        let timed = busy.clone().filter_map(|c| Some((expected_latency(&c, request, latencies, now)?, c)));
        let best = timed.min_by_key(|(latency, c)| (*latency, c.depth));
        return match best {
            Some((latency, connection))
                if now + latency <= request.target_time
                    && (!request.may_open || latency <= latency_on_new) =>
            {
                Placement::Pipelined(connection.key)
            }
            _ if request.may_open => Placement::New,
            // An answer after the target time is worth little, and would delay the answers behind it.
            _ => Placement::Full,
        };
    }
    if request.may_open {
        return Placement::New;
    }
    busy.min_by_key(|c| c.depth).map_or(Placement::Full, |c| Placement::Pipelined(c.key))
}
