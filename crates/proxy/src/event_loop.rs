//! The loop's own part: what woke it, what time it is, and what falls due. It knows no requests.

use crate::timers::Timers;
use calicosaddle::api::Nanos;
use mio::event::Event;
use mio::{Events, Poll, Registry, Token};
use std::io;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A poll that took less found its events waiting: they came while the loop was at work.
const AWAKE: Nanos = 1_000_000 / 5;

/// What a socket is that woke the loop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The clients' listener.
    ClientListener,
    /// SIGTERM.
    Sigterm,
    /// SIGHUP.
    Sighup,
    /// A call of discovery, by its number among those that may be out.
    Discovery(usize),
    /// The controllers' listener.
    ControlListener,
    /// The operators' listener.
    AdminListener,
    /// A client's connection.
    Client(usize),
    /// A connection to a cache node.
    Node(usize),
    /// The second address that is tried for a connection to a cache node.
    NodeRace(usize),
    /// A controller's connection.
    ControlConnection(usize),
    /// An operator's call.
    AdminConnection(usize),
    /// A connection to a candidate, which gets copies alone.
    ShadowConnection(usize),
}

impl Source {
    /// The kinds of which there are many leave this much room for their numbers' kind.
    const KINDS: usize = 7;

    /// The token that a socket of this kind is registered under.
    pub fn token(self) -> Token {
        let many = |kind: usize, key: usize| key * Source::KINDS + kind;
        Token(match self {
            Source::ClientListener => many(0, 0),
            Source::Sigterm => many(0, 1),
            Source::Sighup => many(0, 2),
            Source::ControlListener => many(0, 3),
            Source::AdminListener => many(0, 4),
            Source::Discovery(call) => many(0, 5 + call),
            Source::Client(key) => many(1, key),
            Source::Node(key) => many(2, key),
            Source::ControlConnection(key) => many(3, key),
            Source::NodeRace(key) => many(4, key),
            Source::AdminConnection(key) => many(5, key),
            Source::ShadowConnection(key) => many(6, key),
        })
    }

    /// The kind that is registered under a token.
    pub fn of(event: &Event) -> Source {
        Source::from(event.token())
    }
}

impl From<Token> for Source {
    fn from(token: Token) -> Source {
        let key = token.0 / Source::KINDS;
        match (token.0 % Source::KINDS, key) {
            (0, 0) => Source::ClientListener,
            (0, 1) => Source::Sigterm,
            (0, 2) => Source::Sighup,
            (0, 3) => Source::ControlListener,
            (0, 4) => Source::AdminListener,
            (0, call) => Source::Discovery(call - 5),
            (1, key) => Source::Client(key),
            (2, key) => Source::Node(key),
            (3, key) => Source::ControlConnection(key),
            (4, key) => Source::NodeRace(key),
            (5, key) => Source::AdminConnection(key),
            (_, key) => Source::ShadowConnection(key),
        }
    }
}

/// The module's clock: Unix time at the start and monotonic time since, so that a cache node's start, told as
/// Unix time, lies on it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Unix time at the start.
    pub unix_start: Nanos,
    started: Instant,
}

impl Clock {
    fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix_start: unix.as_nanos() as Nanos, started: Instant::now() }
    }

    /// The time.
    pub fn now(&self) -> Nanos {
        self.unix_start + self.started.elapsed().as_nanos() as Nanos
    }
}

/// Waits for sockets and timers, and keeps the time of the turn at hand.
#[derive(Debug)]
pub struct EventLoop {
    poll: Poll,
    /// The clock.
    pub clock: Clock,
    /// The time, as last looked at.
    pub now: Nanos,
    /// When what this turn reads may have come at the earliest.
    pub since: Nanos,
    /// What falls due when.
    pub timers: Timers,
}

impl EventLoop {
    /// A loop that has not waited yet.
    pub fn new() -> io::Result<Self> {
        let clock = Clock::new();
        let now = clock.now();
        Ok(EventLoop { poll: Poll::new()?, clock, now, since: now, timers: Timers::default() })
    }

    /// Where sockets are registered.
    pub fn registry(&self) -> &Registry {
        self.poll.registry()
    }

    /// Where sockets are registered, and what falls due when.
    pub fn parts(&mut self) -> (&Registry, &mut Timers) {
        (self.poll.registry(), &mut self.timers)
    }

    /// Looks at the clock.
    pub fn tick(&mut self) {
        self.now = self.clock.now();
    }

    /// Waits for sockets, for the next timer, or until `work` is due; not at all where there is `more` to read.
    /// False if a signal cut the wait short.
    pub fn wait(&mut self, events: &mut Events, work: Option<Nanos>, more: bool) -> io::Result<bool> {
        let before = self.clock.now();
        let next = self.timers.next().into_iter().chain(work).min();
        let wait = next.map(|at| Duration::from_nanos(at.saturating_sub(before)));
        match self.poll.poll(events, if more { Some(Duration::ZERO) } else { wait }) {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => return Ok(false),
            polled => polled?,
        }
        let woken = self.now;
        self.tick();
        self.since = if self.now - before < AWAKE { woken } else { self.now };
        Ok(true)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::platform::discovery::CALLS;

    #[test]
    fn every_source_comes_back_from_its_token() {
        let ones = [
            Source::ClientListener,
            Source::Sigterm,
            Source::Sighup,
            Source::ControlListener,
            Source::AdminListener,
        ];
        let many = (0..9).flat_map(|i| {
            let peers =
                [Source::Client(i), Source::Node(i), Source::NodeRace(i), Source::ShadowConnection(i)];
            peers.into_iter().chain([Source::ControlConnection(i), Source::AdminConnection(i)])
        });
        let all: Vec<Source> =
            ones.into_iter().chain((0..CALLS).map(Source::Discovery)).chain(many).collect();
        for (i, source) in all.iter().enumerate() {
            assert_eq!(Source::from(source.token()), *source);
            assert!(all[..i].iter().all(|other| other.token() != source.token()), "{source:?}");
        }
    }
}
