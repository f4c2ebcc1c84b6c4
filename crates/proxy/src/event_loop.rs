//! Polling of sockets and timers, and the proxy's clock. Nothing here knows about requests.

use crate::timers::Timers;
use calicosaddle::api::Nanos;
use mio::event::Event;
use mio::{Events, Poll, Registry, Token};
use std::io;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A poll that returns within 200 µs found events already pending: they arrived during the previous iteration.
const PENDING_EVENTS_THRESHOLD: Nanos = 1_000_000 / 5;

/// What a registered event source is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The listener for clients.
    ClientListener,
    /// Delivery of SIGTERM.
    Sigterm,
    /// Delivery of SIGHUP.
    Sighup,
    /// A discovery poll, by its index among the concurrent ones.
    Discovery(usize),
    /// The listener of the control endpoint.
    ControlListener,
    /// The listener of the admin endpoint.
    AdminListener,
    /// A client's connection.
    Client(usize),
    /// A connection to a cache node.
    Node(usize),
    /// The second address that is tried in parallel for a connection to a cache node.
    NodeRace(usize),
    /// A connection to the control endpoint.
    ControlConnection(usize),
    /// A connection to the admin endpoint.
    AdminConnection(usize),
    /// A connection to a shadow candidate, which carries copied reads only.
    ShadowConnection(usize),
}

impl Source {
    /// A token is `key * KINDS + kind`. Kind 0 holds all sources of which there are few.
    const KINDS: usize = 7;

    /// The token that this source is registered under.
    pub fn token(self) -> Token {
        let encode = |kind: usize, key: usize| key * Source::KINDS + kind;
        Token(match self {
            Source::ClientListener => encode(0, 0),
            Source::Sigterm => encode(0, 1),
            Source::Sighup => encode(0, 2),
            Source::ControlListener => encode(0, 3),
            Source::AdminListener => encode(0, 4),
            Source::Discovery(poll) => encode(0, 5 + poll),
            Source::Client(key) => encode(1, key),
            Source::Node(key) => encode(2, key),
            Source::ControlConnection(key) => encode(3, key),
            Source::NodeRace(key) => encode(4, key),
            Source::AdminConnection(key) => encode(5, key),
            Source::ShadowConnection(key) => encode(6, key),
        })
    }

    /// The source of an event.
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
            (0, poll) => Source::Discovery(poll - 5),
            (1, key) => Source::Client(key),
            (2, key) => Source::Node(key),
            (3, key) => Source::ControlConnection(key),
            (4, key) => Source::NodeRace(key),
            (5, key) => Source::AdminConnection(key),
            (_, key) => Source::ShadowConnection(key),
        }
    }
}

/// The proxy's clock: Unix time at the start plus monotonic time since then. It is comparable with the start times
/// of cache nodes, which discovery gives as Unix time, and never goes backwards.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Unix time at the start of the process.
    pub unix_start: Nanos,
    started: Instant,
}

impl Clock {
    fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix_start: unix.as_nanos() as Nanos, started: Instant::now() }
    }

    /// The current time.
    pub fn now(&self) -> Nanos {
        self.unix_start + self.started.elapsed().as_nanos() as Nanos
    }
}

/// Waits for sockets and timers, and holds the time of the current iteration.
#[derive(Debug)]
pub struct EventLoop {
    poll: Poll,
    /// The clock.
    pub clock: Clock,
    /// The time when the clock was last read.
    pub now: Nanos,
    /// The earliest time at which the input read in this iteration may have arrived.
    pub earliest_arrival: Nanos,
    /// The pending timers.
    pub timers: Timers,
}

impl EventLoop {
    /// An event loop without sources or timers.
    pub fn new() -> io::Result<Self> {
        let clock = Clock::new();
        let now = clock.now();
        let timers = Timers::default();
        Ok(EventLoop { poll: Poll::new()?, clock, now, earliest_arrival: now, timers })
    }

    /// The registry for event sources.
    pub fn registry(&self) -> &Registry {
        self.poll.registry()
    }

    /// The registry together with the timers, for callers that need both at once.
    pub fn registry_and_timers(&mut self) -> (&Registry, &mut Timers) {
        (self.poll.registry(), &mut self.timers)
    }

    /// Reads the clock.
    pub fn update_now(&mut self) {
        self.now = self.clock.now();
    }

    /// Waits for an event, for the next timer, or until `work_due`. Does not block if `has_more` input is waiting to
    /// be read. Returns false if a signal interrupted the wait.
    pub fn wait(&mut self, events: &mut Events, work_due: Option<Nanos>, has_more: bool) -> io::Result<bool> {
        let before = self.clock.now();
        let next = self.timers.next_expiry().into_iter().chain(work_due).min();
        let timeout = next.map(|at| Duration::from_nanos(at.saturating_sub(before)));
        match self.poll.poll(events, if has_more { Some(Duration::ZERO) } else { timeout }) {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => return Ok(false),
            polled => polled?,
        }
        let previous = self.now;
        self.update_now();
        let were_pending = self.now - before < PENDING_EVENTS_THRESHOLD;
        self.earliest_arrival = if were_pending { previous } else { self.now };
        Ok(true)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::platform::discovery::MAX_POLLS;

    #[test]
    fn every_source_has_a_unique_token_that_decodes_to_it() {
        let singletons = [
            Source::ClientListener,
            Source::Sigterm,
            Source::Sighup,
            Source::ControlListener,
            Source::AdminListener,
        ];
        let keyed = (0..9).flat_map(|i| {
            let peers =
                [Source::Client(i), Source::Node(i), Source::NodeRace(i), Source::ShadowConnection(i)];
            peers.into_iter().chain([Source::ControlConnection(i), Source::AdminConnection(i)])
        });
        let all: Vec<Source> =
            singletons.into_iter().chain((0..MAX_POLLS).map(Source::Discovery)).chain(keyed).collect();
        for (i, source) in all.iter().enumerate() {
            assert_eq!(Source::from(source.token()), *source);
            assert!(all[..i].iter().all(|other| other.token() != source.token()), "{source:?}");
        }
    }
}
