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
    Listener,
    /// SIGTERM.
    Terminate,
    /// SIGHUP.
    Hangup,
    /// A call of discovery, by its number among those that may be out.
    Discovery(usize),
    /// The controllers' listener.
    Control,
    /// The operators' listener.
    Admin,
    /// A client's connection.
    Client(usize),
    /// A connection to a cache node.
    Box(usize),
    /// The second address that is tried for a connection to a cache node.
    Rival(usize),
    /// A controller's connection.
    Controller(usize),
    /// An operator's call.
    Caller(usize),
    /// A connection to a candidate, which gets copies alone.
    Candidate(usize),
}

impl Source {
    /// The kinds of which there are many leave this much room for their numbers' kind.
    const KINDS: usize = 7;

    /// The token that a socket of this kind is registered under.
    pub fn token(self) -> Token {
        let many = |kind: usize, key: usize| key * Source::KINDS + kind;
        Token(match self {
            Source::Listener => many(0, 0),
            Source::Terminate => many(0, 1),
            Source::Hangup => many(0, 2),
            Source::Control => many(0, 3),
            Source::Admin => many(0, 4),
            Source::Discovery(call) => many(0, 5 + call),
            Source::Client(key) => many(1, key),
            Source::Box(key) => many(2, key),
            Source::Controller(key) => many(3, key),
            Source::Rival(key) => many(4, key),
            Source::Caller(key) => many(5, key),
            Source::Candidate(key) => many(6, key),
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
            (0, 0) => Source::Listener,
            (0, 1) => Source::Terminate,
            (0, 2) => Source::Hangup,
            (0, 3) => Source::Control,
            (0, 4) => Source::Admin,
            (0, call) => Source::Discovery(call - 5),
            (1, key) => Source::Client(key),
            (2, key) => Source::Box(key),
            (3, key) => Source::Controller(key),
            (4, key) => Source::Rival(key),
            (5, key) => Source::Caller(key),
            (_, key) => Source::Candidate(key),
        }
    }
}

/// The module's clock: Unix time at the start and monotonic time since, so that a cache node's start, told as
/// Unix time, lies on it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Unix time at the start.
    pub unix: Nanos,
    started: Instant,
}

impl Clock {
    fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix: unix.as_nanos() as Nanos, started: Instant::now() }
    }

    /// The time.
    pub fn now(&self) -> Nanos {
        self.unix + self.started.elapsed().as_nanos() as Nanos
    }
}

/// Waits for sockets and timers, and keeps the time of the turn at hand.
#[derive(Debug)]
pub struct Turn {
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

impl Turn {
    /// A loop that has not waited yet.
    pub fn new() -> io::Result<Self> {
        let clock = Clock::new();
        let now = clock.now();
        Ok(Turn { poll: Poll::new()?, clock, now, since: now, timers: Timers::default() })
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
    use crate::platform::discovery::MAX_POLLS;

    #[test]
    fn every_source_comes_back_from_its_token() {
        let ones = [Source::Listener, Source::Terminate, Source::Hangup, Source::Control, Source::Admin];
        let many = (0..9).flat_map(|i| {
            let peers = [Source::Client(i), Source::Box(i), Source::Rival(i), Source::Candidate(i)];
            peers.into_iter().chain([Source::Controller(i), Source::Caller(i)])
        });
        let all: Vec<Source> =
            ones.into_iter().chain((0..MAX_POLLS).map(Source::Discovery)).chain(many).collect();
        for (i, source) in all.iter().enumerate() {
            assert_eq!(Source::from(source.token()), *source);
            assert!(all[..i].iter().all(|other| other.token() != source.token()), "{source:?}");
        }
    }
}
