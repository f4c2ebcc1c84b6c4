//! Where one more command goes among the connections to its box.

use crate::{History, Lane, Nanos, Times};

/// How connections are chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Placing {
    /// An idle one, else a new one, else the least busy.
    #[default]
    Fixed,
    /// The one on which the answer is expected first, a handshake charged for what it costs the box.
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
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            placing: Placing::Fixed,
            depth: [1, 1],
            apart: false,
            head_quantile: 1.0,
            handshake_cost: 2.0,
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

/// Heads that were counted on one connection before its own history is asked instead of its box's.
const OWN: u16 = 32;

/// A head of this age has outlasted what heads on its connection are known to take; while that has too few to say, what
/// its box is known to take.
pub fn is_stalled(age: Nanos, history: &History, of_box: &History, limits: &Limits) -> bool {
    let history = if history.evidence() >= OWN { history } else { of_box };
    limits.head_quantile < 1.0 && history.quantile(limits.head_quantile).is_some_and(|most| age > most)
}

/// Until its answer, on this busy connection; nothing where too little is known.
fn expected<K>(seen: &Seen<'_, K>, ask: &Ask, times: &Times, now: Nanos) -> Option<Nanos> {
    let own = times.alone(ask.lane).remaining(0)?;
    let gaps = times.gap() * seen.depth as Nanos;
    if !seen.up {
        return Some(times.connects().remaining(now.saturating_sub(seen.since))? + own.max(gaps));
    }
    // Work is done beside what stands before it; only the answer has to wait.
    let head = times.alone(ask.lane).remaining(seen.head_age.unwrap_or(0))?;
    Some(own.max(head + gaps))
}

/// Chooses the connection for one command. `all` are those that the host could use: not about to close, over an
/// address that is in use, with nobody called off on them.
pub fn place<'a, K: Copy + 'a>(
    ask: &Ask,
    all: impl Iterator<Item = Seen<'a, K>> + Clone,
    times: &Times,
    limits: &Limits,
    now: Nanos,
) -> Place<K> {
    // Those too many grow old and close.
    if let Some(idle) = all.clone().filter(Seen::idle).max_by_key(|s| s.since) {
        return Place::Idle(idle.key);
    }
    let depth = limits.depth[usize::from(ask.lane.write)];
    let history = times.alone(ask.lane);
    let takes = move |s: &Seen<'a, K>| {
        let stalled = s.head_age.is_some_and(|age| is_stalled(age, s.history, history, limits));
        !s.idle() && s.depth < depth && (s.same_lane || !limits.apart) && !stalled
    };
    let busy = all.filter(takes);
    let connect = times.connects().remaining(0).zip(history.remaining(0));
    let new = connect.map(|(up, own)| (up as f64 * (1.0 + limits.handshake_cost)) as Nanos + own);
    if let (Placing::Expected, Some(new)) = (limits.placing, new) {
        let timed = busy.clone().filter_map(|s| Some((expected(&s, ask, times, now)?, s)));
        let best = timed.min_by_key(|(time, s)| (*time, s.depth));
        return match best {
            Some((time, s)) if !ask.room || (time <= new && now + time <= ask.aim) => Place::Behind(s.key),
            _ if ask.room => Place::New,
            _ => busy.min_by_key(|s| s.depth).map_or(Place::Full, |s| Place::Behind(s.key)),
        };
    }
    if ask.room {
        return Place::New;
    }
    busy.min_by_key(|s| s.depth).map_or(Place::Full, |s| Place::Behind(s.key))
}
