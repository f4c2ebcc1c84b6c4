//! A connection to a cache node, and the attempts on it.

use super::socket::Dial;
use crate::request::Query;
use crate::write_history::Endpoint;
use addresses::ConnectionRace;
use calicosaddle::api::{Nanos, RequestId, ServerId};
use pipeline::{Command, CommandKind, ForeignReplyDetector, Pipeline, ReplyArrival, SettleDelay};
use resp::{HelloReplyParser, Protocol, ReplyReader, Reservation};
use std::rc::Rc;

/// An attempt that waits to be written.
#[derive(Debug)]
pub struct QueuedAttempt {
    /// The request.
    pub id: RequestId,
    /// The attempt's number within its request.
    pub attempt: u32,
    /// The client's command.
    pub query: Rc<Query>,
    /// When the answer is due by the latency target of its class.
    pub target: Nanos,
    /// When the proxy stops waiting.
    pub deadline: Nanos,
}

impl QueuedAttempt {
    /// Where a write must go at a node, if it may have reached the node there already.
    ///
    /// A node that detects repeated writes by the address they come in on would execute the write a second time if it
    /// came over another address, and so may a new process of the node. The write goes to the same endpoint or is not sent
    /// at all, also once the endpoint has left the list. With `repeat_across_addresses` nodes detect repeats wherever
    /// they come in, and no endpoint is required.
    pub fn required_endpoint(&self, server: ServerId, repeat_across_addresses: bool) -> Option<Endpoint> {
        if repeat_across_addresses || !self.query.write {
            return None;
        }
        self.query.written.borrow().endpoint_at(server)
    }

    /// Whether its last byte may be written now, given the other attempts of its request.
    pub fn may_be_written(&self, now: Nanos) -> bool {
        self.query.written.borrow().allows(self.attempt, now)
    }
}

impl Command for QueuedAttempt {
    type Tag = (RequestId, u32);

    fn tag(&self) -> Self::Tag {
        (self.id, self.attempt)
    }

    fn kind(&self) -> CommandKind {
        CommandKind { write: self.query.write, large_value: self.query.is_long() }
    }
}

/// A connection to a cache node.
#[derive(Debug)]
pub struct Connection {
    /// Its socket and the address that it goes to.
    pub link: Dial,
    /// Until the connection is established: the second dial that runs beside the first (RFC 8305).
    pub racing_dial: Option<Dial>,
    /// The addresses still to be tried, and those being tried.
    pub race: ConnectionRace,
    /// The node at its other end.
    pub server: ServerId,
    /// Its serial number among all connections since the start.
    pub serial: u64,
    /// When the node's process was started that it leads to, as far as that was known when it was established.
    pub process_started_at: Nanos,
    /// It is established.
    pub connected: bool,
    /// The attempts on it.
    pub pipeline: Pipeline<QueuedAttempt>,
    /// The commands of the batch being written, without a long value at their end.
    pub write_buffer: Vec<u8>,
    /// The command whose long value ends the batch; the value is not copied.
    pub long_value: Option<Rc<Query>>,
    /// It is queued for writing.
    pub write_queued: bool,
    /// `HELLO 3` is sent together with the first attempt.
    pub sends_hello: bool,
    /// Parses the answer to `HELLO`, from its sending until the answer is complete.
    pub hello_reply: Option<HelloReplyParser>,
    /// Parses the replies.
    pub reader: ReplyReader,
    /// Bytes of the reply being read.
    pub reply_bytes: Vec<u8>,
    /// The memory of an incomplete reply.
    pub reply_reservation: Option<Reservation>,
    /// It is not read until there is memory for more of its reply.
    pub waits_for_memory: bool,
    /// When it last carried a command or a reply; pushes between replies don't count.
    pub last_active: Nanos,
    /// When it was last read from.
    pub last_read: Nanos,
    /// Received bytes are known to be unread.
    pub has_unread: bool,
    /// When the first byte of the reply that is being read came.
    pub reply_began: Nanos,
    /// Recognises replies that were not made for their commands.
    pub foreign_replies: ForeignReplyDetector,
    /// When the last reply came.
    pub last_reply: Nanos,
    /// The end of the settle delay after that reply: when the next command may be written, if it is a read and if it is a
    /// write.
    pub ready_at: [Nanos; 2],
    /// How long it had been idle before the last written attempt; 0 if it had not.
    pub idle_before_write: Nanos,
    /// The reply at its head is a long value, which is passed to the client as it comes.
    pub streaming: bool,
    /// Reading is paused until the client has taken the bytes of the long value.
    pub paused: bool,
    /// At least one reply has come on it.
    pub has_replied: bool,
}

impl Connection {
    /// Where it leads.
    pub fn endpoint(&self) -> Endpoint {
        Endpoint { address: self.link.address, process_started_at: self.process_started_at }
    }

    /// Attempts on it, including cancelled ones whose replies are still due.
    pub fn depth(&self) -> usize {
        self.pipeline.depth()
    }

    /// A reply has been received in part.
    pub fn mid_reply(&self) -> bool {
        self.reader.in_progress() || self.hello_reply.as_ref().is_some_and(HelloReplyParser::in_progress)
    }

    /// The memory that an incomplete reply takes, in bytes.
    pub fn buffered_reply_bytes(&self) -> usize {
        self.reply_bytes.capacity() + self.reader.buffered_bytes()
    }

    /// It uses RESP3.
    pub fn uses_resp3(&self) -> bool {
        self.reader.protocol() == Protocol::Three
    }

    /// When a command of this kind may be written.
    pub fn writable_at(&self, kind: CommandKind) -> Nanos {
        self.ready_at[usize::from(kind.write)]
    }

    /// The end of the settle delay for the next queued command, if there is one and it is not over.
    pub fn settling_until(&self, now: Nanos) -> Option<Nanos> {
        let next = self.pipeline.peek_queued()?;
        Some(self.writable_at(next.kind())).filter(|at| *at > now)
    }

    /// Whether commands may be written: the settle delay is over, or the rest of a batch is to be written.
    pub fn may_write(&self, now: Nanos) -> bool {
        self.settling_until(now).is_none() || self.pipeline.has_batch()
    }

    /// The reply that is being read, with the hash of its content.
    pub fn reply_arrival(&self, fingerprint: u64, served: bool) -> ReplyArrival {
        let age = self.pipeline.head_age(self.reply_began).filter(|_| !self.pipeline.is_head_pipelined());
        let write = self.pipeline.head_kind().is_some_and(|kind| kind.write);
        ReplyArrival { latency: age, fingerprint, served, write }
    }

    /// Whether no copy of an earlier reply can have been taken for the one that is being read: there was none, or its
    /// command was written long after it.
    pub fn is_reply_own(&self, latency: Nanos) -> bool {
        let written_at = self.reply_began.saturating_sub(latency);
        !self.has_replied || written_at.saturating_sub(self.last_reply) >= SettleDelay::MAX
    }

    /// Whether it may carry a new attempt: an idle connection must be within the idle limit and have no unread
    /// input; a busy one must not be held up by a long value or by the missing reply of a cancelled attempt.
    pub fn accepts_attempt(&self, idle_limit: Nanos, now: Nanos) -> bool {
        if self.connected && self.depth() == 0 {
            now.saturating_sub(self.last_active) < idle_limit && !self.has_unread && !self.mid_reply()
        } else {
            !self.streaming && !self.pipeline.has_cancelled_in_flight()
        }
    }
}
