//! Where one more command goes among the connections to its box.

use crate::{History, Lane, Nanos, Rest, Times};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;

/// How connections are chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Placing {
    /// An idle one, else a new one, else the least busy.
    #[default]
    Fixed,
    /// The one on which the answer is expected first, a handshake charged for what it costs the box; none if it would
    /// come past the aim.
    Expected,
}

/// What the operator allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// How connections are chosen.
    pub placing: Placing,
    /// Commands on a connection before another read, and before another write, goes elsewhere.
    pub depth: [usize; 2],
    /// Commands of different kinds don't share a connection.
    pub apart: bool,
    /// A connection whose head is older than this part of its heads were takes nothing new; 1: whatever its age.
    pub head_quantile: f64,
    /// The time to connect counts so many times more, for what the handshake costs the box.
    pub handshake_cost: f64,
    /// How long a connection rests after an answer.
    pub rest: Rest,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            placing: Placing::Fixed,
            depth: [1, 1],
            apart: false,
            head_quantile: 1.0,
            handshake_cost: 2.0,
            rest: Rest::NONE,
        }
    }
}

/// A connection to the box, as it stands.
#[derive(Clone, Copy, Debug)]
pub struct Seen<'a, K> {
    /// The host's name for it.
    pub key: K,
    /// It is up; else it is being connected.
    pub up: bool,
    /// Since when it is being connected, or when it last carried anything.
    pub since: Nanos,
    /// It may be written to from then on: its rest after the last answer is over.
    pub ready: Nanos,
    /// Commands on it.
    pub depth: usize,
    /// For how long its head has been the head; nothing if nothing is written on it.
    pub head_age: Option<Nanos>,
    /// What its heads took.
    pub history: &'a History,
    /// All on it is of this command's kind.
    pub same_lane: bool,
}

impl<K> Seen<'_, K> {
    fn idle(&self) -> bool {
        self.up && self.depth == 0
    }
}

/// What was measured: of the box, and of all boxes together, which is asked where the box's own is too thin.
#[derive(Clone, Copy, Debug)]
pub struct Known<'a> {
    /// Of this box.
    pub of_box: &'a Times,
    /// Of all.
    pub of_all: &'a Times,
}

impl<'a> Known<'a> {
    /// How much longer something takes that has taken so long, by the box's own history if it says.
    fn remaining(&self, of: impl Fn(&'a Times) -> &'a History, age: Nanos) -> Option<Nanos> {
        of(self.of_box).remaining(age).or_else(|| of(self.of_all).remaining(age))
    }
}

/// What is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct Ask {
    /// Its kind.
    pub lane: Lane,
    /// When its answer should be there.
    pub aim: Nanos,
    /// Another connection may be opened.
    pub room: bool,
}

/// Where it goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place<K> {
    /// On this idle connection.
    Idle(K),
    /// On this one, behind what is there.
    Behind(K),
    /// On a new one.
    New,
    /// Nowhere: nothing has been written, so it may go to another box.
    Full,
}

impl<K> Place<K> {
    /// The connection that is there already and is to carry it.
    pub fn key(self) -> Option<K> {
        match self {
            Place::Idle(key) | Place::Behind(key) => Some(key),
            Place::New | Place::Full => None,
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
pub fn is_stalled(age: Nanos, history: &History, lane: Lane, known: Known<'_>, limits: &Limits) -> bool {
    if limits.head_quantile >= 1.0 {
        return false;
    }
    let own = Some(history).filter(|h| h.evidence() >= OWN);
    let mut sure = own.into_iter().chain([known.of_box.alone(lane), known.of_all.alone(lane)]);
    let most = sure.find_map(|h| h.quantile(limits.head_quantile));
    let longest = || known.of_all.alone(lane).longest().map(|longest| 2 * longest);
    most.or_else(longest).is_some_and(|most| age > most)
}

/// Until its answer, on this busy connection; nothing where too little is known.
fn expected<K>(seen: &Seen<'_, K>, ask: &Ask, known: Known<'_>, now: Nanos) -> Option<Nanos> {
    let own = known.remaining(|t| t.alone(ask.lane), 0)?;
    let gaps = known.remaining(Times::gaps, 0).unwrap_or(0) * seen.depth as Nanos;
    if !seen.up {
        return Some(known.remaining(Times::connects, now.saturating_sub(seen.since))? + own.max(gaps));
    }
    // Work is done beside what stands before it; only the answer has to wait.
    let head = known.remaining(|t| t.alone(ask.lane), seen.head_age.unwrap_or(0))?;
    Some(own.max(head + gaps))
}

/// Chooses the connection for one command. `all` are those that the host could use: not about to close, over an
/// address that is in use, with nobody called off on them.
pub fn place<'a, K: Copy + 'a>(
    ask: &Ask,
    all: impl Iterator<Item = Seen<'a, K>> + Clone,
    known: Known<'_>,
    limits: &Limits,
    now: Nanos,
) -> Place<K> {
    // Those too many grow old and close. What has to wait for the end of a rest waits less than a handshake takes, and
    // costs the box nothing.
    let idle = all.clone().filter(Seen::idle);
    if let Some(idle) = idle.max_by_key(|s| (Reverse(s.ready.max(now)), s.since)) {
        return Place::Idle(idle.key);
    }
    let depth = limits.depth[usize::from(ask.lane.write)];
    let takes = move |s: &Seen<'a, K>| {
        let stalled = s.head_age.is_some_and(|age| is_stalled(age, s.history, ask.lane, known, limits));
        !s.idle() && s.depth < depth && (s.same_lane || !limits.apart) && !stalled
    };
    let busy = all.filter(takes);
    let new = || {
        let (up, own) = (known.remaining(Times::connects, 0)?, known.remaining(|t| t.alone(ask.lane), 0)?);
        Some((up as f64 * (1.0 + limits.handshake_cost)) as Nanos + own)
    };
    if let Some(new) = (limits.placing == Placing::Expected).then(new).flatten() {
        let timed = busy.clone().filter_map(|s| Some((expected(&s, ask, known, now)?, s)));
        let best = timed.min_by_key(|(time, s)| (*time, s.depth));
        return match best {
            Some((time, s)) if now + time <= ask.aim && (!ask.room || time <= new) => Place::Behind(s.key),
            _ if ask.room => Place::New,
            // An answer past the aim is worth little, and would make those behind it late as well.
            _ => Place::Full,
        };
    }
    if ask.room {
        return Place::New;
    }
    busy.min_by_key(|s| s.depth).map_or(Place::Full, |s| Place::Behind(s.key))
}
