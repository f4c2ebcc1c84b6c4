//! A connection to a cache node, and the attempts on it.

use super::socket::Dial;
use crate::request::Query;
use addresses::Race;
use calicosaddle::api::{Nanos, RequestId, ServerId};
use resp::{Greeting, Protocol, ReplyReader};
use std::collections::VecDeque;
use std::rc::Rc;

/// One attempt, as it waits to be written.
#[derive(Debug)]
pub struct Job {
    /// The request.
    pub id: RequestId,
    /// Which of its attempts.
    pub attempt: u32,
    /// What the client sent.
    pub query: Rc<Query>,
    /// When the proxy stops waiting.
    pub until: Nanos,
}

/// The command that is being written.
#[derive(Debug)]
pub struct Writing {
    /// The attempt.
    pub job: Job,
    /// How much of it is written, the value and the last line end counted.
    pub written: usize,
    /// The command up to a long value lies in `out`; the value itself stays where it is.
    pub long: bool,
}

/// A connection to a cache node.
#[derive(Debug)]
pub struct Connection {
    /// Its socket, and the address that it goes to.
    pub link: Dial,
    /// Until it is up: another address that is tried beside, and what else could be.
    pub rival: Option<Dial>,
    pub race: Race,
    /// The node at its other end.
    pub node: ServerId,
    /// Its number among all that there ever were.
    pub serial: u64,
    /// It has come up.
    pub up: bool,
    /// Attempts that wait for their turn to be written.
    pub queue: VecDeque<Job>,
    /// The command being written.
    pub out: Vec<u8>,
    /// How far that is.
    pub writing: Option<Writing>,
    /// Attempts that await their replies, in order; `None` for those that are over, whose replies are dropped.
    pub sent: VecDeque<Option<(RequestId, u32)>>,
    /// How many of them are not over.
    pub live: usize,
    /// It is greeted in RESP3 together with the first attempt.
    pub greets: bool,
    /// Reads the answer to the greeting, once that is sent and until it has come.
    pub greeting: Option<Greeting>,
    /// Reads the replies.
    pub reader: ReplyReader,
    /// The bytes of the reply at hand.
    pub reply: Vec<u8>,
    /// When it last carried anything; pushes between replies are not counted.
    pub moved: Nanos,
    /// When anything last came on it.
    pub heard: Nanos,
    /// When an attempt was last written to its end.
    pub wrote: Nanos,
    /// Something has come on it that is not read yet.
    pub unread: bool,
    /// How long it had been idle before the attempt that was written last; 0 if it was not.
    pub rested: Nanos,
    /// The first of the attempts sent is being answered with a long value, which is passed on as it comes.
    pub passing: bool,
    /// Nothing more is read before what came last has been passed on.
    pub paused: bool,
    /// It has answered before.
    pub used: bool,
}

impl Connection {
    /// Attempts on it, those that are over counted.
    pub fn depth(&self) -> usize {
        self.queue.len() + usize::from(self.writing.is_some()) + self.sent.len()
    }

    /// Something on it has begun and not ended.
    pub fn midway(&self) -> bool {
        self.reader.midway() || self.greeting.as_ref().is_some_and(Greeting::midway)
    }

    /// It speaks RESP3.
    pub fn speaks_three(&self) -> bool {
        self.reader.protocol() == Protocol::Three
    }

    /// Nobody waits for anything on it.
    pub fn deserted(&self) -> bool {
        self.queue.is_empty() && self.writing.is_none() && self.live == 0
    }
}
