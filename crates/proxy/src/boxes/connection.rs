//! A connection to a cache node, and the attempts on it.

use super::socket::Dial;
use crate::request::Query;
use addresses::ConnectionRace;
use calicosaddle::api::{Nanos, RequestId, ServerId};
use pipeline::{CommandKind, Pipeline};
use resp::{HelloReplyParser, Protocol, ReplyReader};
use std::rc::Rc;

/// A longer write goes out from where it lies instead of being copied behind its command.
const COPIED: usize = 16 << 10;

/// One attempt, as it waits to be written.
#[derive(Debug)]
pub struct Job {
    /// The request.
    pub id: RequestId,
    /// Which of its attempts.
    pub attempt: u32,
    /// What the client sent.
    pub query: Rc<Query>,
    /// When its answer should be there.
    pub aim: Nanos,
    /// When the proxy stops waiting.
    pub until: Nanos,
}

impl pipeline::Command for Job {
    type Tag = (RequestId, u32);

    fn tag(&self) -> Self::Tag {
        (self.id, self.attempt)
    }

    fn kind(&self) -> CommandKind {
        CommandKind { write: self.query.write, large_value: self.query.value().len() > COPIED }
    }
}

/// A connection to a cache node.
#[derive(Debug)]
pub struct Connection {
    /// Its socket, and the address that it goes to.
    pub link: Dial,
    /// Until it is up: another address that is tried beside, and what else could be.
    pub rival: Option<Dial>,
    pub race: ConnectionRace,
    /// The node at its other end.
    pub node: ServerId,
    /// Its number among all that there ever were.
    pub serial: u64,
    /// It has come up.
    pub up: bool,
    /// The attempts on it.
    pub pipe: Pipeline<Job>,
    /// The commands being written, all but a long value at their end.
    pub out: Vec<u8>,
    /// That value stays where it is.
    pub long: Option<Rc<Query>>,
    /// It is among those that will be written to.
    pub dirty: bool,
    /// It is greeted in RESP3 together with the first attempt.
    pub greets: bool,
    /// Reads the answer to the greeting, once that is sent and until it has come.
    pub greeting: Option<HelloReplyParser>,
    /// Reads the replies.
    pub reader: ReplyReader,
    /// The bytes of the reply at hand.
    pub reply: Vec<u8>,
    /// When it last carried anything; pushes between replies are not counted.
    pub moved: Nanos,
    /// When anything last came on it.
    pub heard: Nanos,
    /// Something has come on it that is not read yet.
    pub unread: bool,
    /// When the last answer came on it, and from when on it may carry the next command.
    pub answered: Nanos,
    pub ready: Nanos,
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
        self.pipe.depth()
    }

    /// Something on it has begun and not ended.
    pub fn midway(&self) -> bool {
        self.reader.in_progress() || self.greeting.as_ref().is_some_and(HelloReplyParser::in_progress)
    }

    /// It speaks RESP3.
    pub fn speaks_three(&self) -> bool {
        self.reader.protocol() == Protocol::Three
    }

    /// Nothing is under way on it that something new could disturb, or that could hold up something new for good.
    pub fn takes(&self, fresh: Nanos, now: Nanos) -> bool {
        if self.up && self.depth() == 0 {
            now.saturating_sub(self.moved) < fresh && !self.unread && !self.midway()
        } else {
            !self.passing && !self.pipe.has_cancelled_in_flight()
        }
    }
}
