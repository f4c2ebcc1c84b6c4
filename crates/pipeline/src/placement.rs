//! Where one more command goes among the connections to its box.

use crate::{BoxLatencies, CommandKind, LatencyHistogram, Nanos, SettleDelay};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;

/// How connections are chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlacementPolicy {
    /// An idle one, else a new one, else the least busy.
    #[default]
    Fixed,
    /// The one on which the answer is expected first, a handshake charged for what it costs the box; none if it would
    /// come past the aim.
    Expected,
}

/// What the operator allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PipelineConfig {
    /// How connections are chosen.
    pub placement: PlacementPolicy,
    /// Commands on a connection before another read, and before another write, goes elsewhere.
    pub max_depth: [usize; 2],
    /// Commands of different kinds don't share a connection.
    pub separate_kinds: bool,
    /// A connection whose head is older than this part of its heads were takes nothing new; 1: whatever its age.
    pub head_quantile: f64,
    /// The time to connect counts so many times more, for what the handshake costs the box.
    pub handshake_cost: f64,
    /// How long a connection rests after an answer.
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

/// A connection to the box, as it stands.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionState<'a, K> {
    /// The host's name for it.
    pub key: K,
    /// It is up; else it is being connected.
    pub connected: bool,
    /// Since when it is being connected, or when it last carried anything.
    pub active_since: Nanos,
    /// It may be written to from then on: its rest after the last answer is over.
    pub writable_at: Nanos,
    /// Commands on it.
    pub depth: usize,
    /// For how long its head has been the head; nothing if nothing is written on it.
    pub head_age: Option<Nanos>,
    /// What its heads took.
    pub latency: &'a LatencyHistogram,
    /// All on it is of this command's kind.
    pub same_kind: bool,
}

impl<K> ConnectionState<'_, K> {
    fn is_idle(&self) -> bool {
        self.connected && self.depth == 0
    }
}

/// What was measured: of the box, and of all boxes together, which is asked where the box's own is too thin.
#[derive(Clone, Copy, Debug)]
pub struct LatencyContext<'a> {
    /// Of this box.
    pub this_box: &'a BoxLatencies,
    /// Of all.
    pub all_boxes: &'a BoxLatencies,
}

impl<'a> LatencyContext<'a> {
    /// How much longer something takes that has taken so long, by the box's own history if it says.
    fn expected_remaining(
        &self,
        of: impl Fn(&'a BoxLatencies) -> &'a LatencyHistogram,
        age: Nanos,
    ) -> Option<Nanos> {
        of(self.this_box).expected_remaining(age).or_else(|| of(self.all_boxes).expected_remaining(age))
    }
}

/// What is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest {
    /// Its kind.
    pub kind: CommandKind,
    /// When its answer should be there.
    pub target_time: Nanos,
    /// Another connection may be opened.
    pub may_open: bool,
}

/// Where it goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement<K> {
    /// On this idle connection.
    Idle(K),
    /// On this one, behind what is there.
    Pipelined(K),
    /// On a new one.
    New,
    /// Nowhere: nothing has been written, so it may go to another box.
    Full,
}

impl<K> Placement<K> {
    /// The connection that is there already and is to carry it.
    pub fn key(self) -> Option<K> {
        match self {
            Placement::Idle(key) | Placement::Pipelined(key) => Some(key),
            Placement::New | Placement::Full => None,
        }
    }
}

/// Heads that were counted on one connection before its own history is asked instead of its box's.
const OWN: u16 = 32;

/// A head of this age has outlasted what heads on its connection are known to take; while that has too few to say, what
/// its box is known to take, then what all boxes are, and then twice the longest that any box took.
///
/// Danger: at a proxy that sees a few answers a second of each box, the box's own history says nothing for minutes, and
/// a box that falls silent meanwhile would be filled to the depth.
pub fn is_stalled(
    age: Nanos,
    history: &LatencyHistogram,
    kind: CommandKind,
    known: LatencyContext<'_>,
    limits: &PipelineConfig,
) -> bool {
    if limits.head_quantile >= 1.0 {
        return false;
    }
    let own = Some(history).filter(|h| h.sample_count() >= OWN);
    let mut sure =
        own.into_iter().chain([known.this_box.head_latency(kind), known.all_boxes.head_latency(kind)]);
    let most = sure.find_map(|h| h.quantile(limits.head_quantile));
    let longest = || known.all_boxes.head_latency(kind).max().map(|longest| 2 * longest);
    most.or_else(longest).is_some_and(|most| age > most)
}

/// Until its answer, on this busy connection; nothing where too little is known.
fn expected<K>(
    seen: &ConnectionState<'_, K>,
    ask: &PlacementRequest,
    known: LatencyContext<'_>,
    now: Nanos,
) -> Option<Nanos> {
    let own = known.expected_remaining(|t| t.head_latency(ask.kind), 0)?;
    let gaps = known.expected_remaining(BoxLatencies::answer_gap, 0).unwrap_or(0) * seen.depth as Nanos;
    if !seen.connected {
        return Some(
            known.expected_remaining(BoxLatencies::connect_time, now.saturating_sub(seen.active_since))?
                + own.max(gaps),
        );
    }
    // Work is done beside what stands before it; only the answer has to wait.
    let head = known.expected_remaining(|t| t.head_latency(ask.kind), seen.head_age.unwrap_or(0))?;
    Some(own.max(head + gaps))
}

/// Chooses the connection for one command. `all` are those that the host could use: not about to close, over an
/// address that is in use, with nobody called off on them.
pub fn choose_connection<'a, K: Copy + 'a>(
    ask: &PlacementRequest,
    all: impl Iterator<Item = ConnectionState<'a, K>> + Clone,
    known: LatencyContext<'_>,
    limits: &PipelineConfig,
    now: Nanos,
) -> Placement<K> {
    // Those too many grow old and close. What has to wait for the end of a rest waits less than a handshake takes, and
    // costs the box nothing.
    let idle = all.clone().filter(ConnectionState::is_idle);
    if let Some(idle) = idle.max_by_key(|s| (Reverse(s.writable_at.max(now)), s.active_since)) {
        return Placement::Idle(idle.key);
    }
    let depth = limits.max_depth[usize::from(ask.kind.write)];
    let takes = move |s: &ConnectionState<'a, K>| {
        let stalled = s.head_age.is_some_and(|age| is_stalled(age, s.latency, ask.kind, known, limits));
        !s.is_idle() && s.depth < depth && (s.same_kind || !limits.separate_kinds) && !stalled
    };
    let busy = all.filter(takes);
    let new = || {
        let (up, own) = (
            known.expected_remaining(BoxLatencies::connect_time, 0)?,
            known.expected_remaining(|t| t.head_latency(ask.kind), 0)?,
        );
        Some((up as f64 * (1.0 + limits.handshake_cost)) as Nanos + own)
    };
    if let Some(new) = (limits.placement == PlacementPolicy::Expected).then(new).flatten() {
        let timed = busy.clone().filter_map(|s| Some((expected(&s, ask, known, now)?, s)));
        let best = timed.min_by_key(|(time, s)| (*time, s.depth));
        return match best {
            Some((time, s)) if now + time <= ask.target_time && (!ask.may_open || time <= new) => {
                Placement::Pipelined(s.key)
            }
            _ if ask.may_open => Placement::New,
            // An answer past the aim is worth little, and would make those behind it late as well.
            _ => Placement::Full,
        };
    }
    if ask.may_open {
        return Placement::New;
    }
    busy.min_by_key(|s| s.depth).map_or(Placement::Full, |s| Placement::Pipelined(s.key))
}
