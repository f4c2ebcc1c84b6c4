//! The commands of one connection, in their order.

use crate::{LatencyHistogram, Nanos};
use std::collections::VecDeque;
use std::ops::Range;

/// The kind of a command, as far as it affects the commands behind it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CommandKind {
    /// It is a write.
    pub write: bool,
    /// It carries a large value.
    pub large_value: bool,
}

/// A command, as the host represents it until it is written.
pub trait Command {
    /// Identifies a command to the host.
    type Tag: Copy + PartialEq;
    /// The tag of this command.
    fn tag(&self) -> Self::Tag;
    /// The kind of this command.
    fn kind(&self) -> CommandKind;
}

/// What is known of a command whose connection has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisconnectOutcome {
    /// It was not written completely: it has not run, and can safely be sent again.
    NotWritten,
    /// It was written completely and not answered: it may have run.
    Unknown,
}

/// The state that a command was in when it was cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// It is not on this connection, or was answered or cancelled before.
    NotFound,
    /// It was queued, and is removed.
    Queued,
    /// It may be partly written. The connection can no longer be used, since the remainder must not follow.
    PartlyWritten,
    /// It was written completely. Its answer is dropped when it comes.
    Written,
}

/// A command whose answer has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CompletedCommand<T> {
    /// Its tag; `None` if it was cancelled.
    pub tag: Option<T>,
    /// Its kind.
    pub kind: CommandKind,
    /// The time from its last byte to the answer.
    pub latency: Nanos,
    /// The part of that time in which it was the head.
    pub head_time: Nanos,
    /// It was written behind other commands.
    pub pipelined: bool,
}

/// A command that is written and not answered.
#[derive(Clone, Copy, Debug)]
struct InFlight<T> {
    /// `None` once it is cancelled.
    tag: Option<T>,
    kind: CommandKind,
    written_at: Nanos,
    pipelined: bool,
}

/// The commands of one connection. Each command is queued, in the batch or in flight, and leaves exactly once.
#[derive(Debug)]
pub struct Pipeline<C: Command> {
    /// The commands of which nothing is written.
    queued: VecDeque<C>,
    /// The commands being written, each with the range of its bytes within the batch.
    batch: VecDeque<(C, Range<usize>)>,
    /// The size of the batch, and how many of its bytes are written.
    batch_bytes: usize,
    written_bytes: usize,
    /// The commands that are written and not answered, in the order of their answers.
    in_flight: VecDeque<InFlight<C::Tag>>,
    /// How many of the commands in flight are not cancelled.
    uncancelled_in_flight: usize,
    /// When the head of the commands in flight became the head.
    head_since: Nanos,
    head_latency: LatencyHistogram,
}

impl<C: Command> Default for Pipeline<C> {
    fn default() -> Self {
        Pipeline {
            queued: VecDeque::new(),
            batch: VecDeque::new(),
            batch_bytes: 0,
            written_bytes: 0,
            in_flight: VecDeque::new(),
            uncancelled_in_flight: 0,
            head_since: 0,
            head_latency: LatencyHistogram::default(),
        }
    }
}

impl<C: Command> Pipeline<C> {
    /// The number of commands, including cancelled ones whose answers are still to come.
    pub fn depth(&self) -> usize {
        self.queued.len() + self.batch.len() + self.in_flight.len()
    }

    /// The number of commands that are written completely and not answered, including cancelled ones.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Whether every command on it is cancelled, so that no client waits for an answer.
    pub fn has_no_waiters(&self) -> bool {
        self.queued.is_empty() && self.batch.is_empty() && self.uncancelled_in_flight == 0
    }

    /// Whether a command in flight is cancelled. Its answer may never come.
    pub fn has_cancelled_in_flight(&self) -> bool {
        self.uncancelled_in_flight < self.in_flight.len()
    }

    /// Whether commands are queued for writing.
    pub fn has_queued(&self) -> bool {
        !self.queued.is_empty()
    }

    /// Whether a batch is being written.
    pub fn has_batch(&self) -> bool {
        !self.batch.is_empty()
    }

    /// Whether a command with a large value is in the batch or in flight: the kernel may not have delivered all of it.
    pub fn has_large_value_under_way(&self) -> bool {
        let written = self.in_flight.iter().map(|c| c.kind);
        written.chain(self.batch.iter().map(|(c, _)| c.kind())).any(|kind| kind.large_value)
    }

    /// The first command of the batch, the only one of which a part may be written.
    pub fn peek_batch(&self) -> Option<&C> {
        self.batch.front().map(|(command, _)| command)
    }

    /// The tag of the command whose answer comes next: `None` if nothing is in flight, `Some(None)` if that command is
    /// cancelled.
    pub fn head(&self) -> Option<Option<C::Tag>> {
        self.in_flight.front().map(|c| c.tag)
    }

    /// The kind of the command whose answer comes next.
    pub fn head_kind(&self) -> Option<CommandKind> {
        self.in_flight.front().map(|c| c.kind)
    }

    /// How long the command whose answer comes next has been the head.
    pub fn head_age(&self, now: Nanos) -> Option<Nanos> {
        (!self.in_flight.is_empty()).then(|| now.saturating_sub(self.head_since))
    }

    /// Whether the command whose answer comes next was written behind others.
    pub fn is_head_pipelined(&self) -> bool {
        self.in_flight.front().is_some_and(|c| c.pipelined)
    }

    /// The times that commands on this connection were the head until their answers.
    pub fn latency(&self) -> &LatencyHistogram {
        &self.head_latency
    }

    /// Whether all commands on it are of this kind.
    pub fn is_uniform(&self, kind: CommandKind) -> bool {
        let written = self.in_flight.iter().map(|c| c.kind);
        let unwritten = self.batch.iter().map(|(c, _)| c.kind()).chain(self.queued.iter().map(C::kind));
        written.chain(unwritten).all(|k| k == kind)
    }

    /// Whether the command is written completely, not answered, and not cancelled.
    pub fn is_written(&self, tag: C::Tag) -> bool {
        self.in_flight.iter().any(|c| c.tag == Some(tag))
    }

    /// Queues a command behind all others.
    pub fn push(&mut self, command: C) {
        self.queued.push_back(command);
    }

    /// The next command to be written.
    pub fn peek_queued(&self) -> Option<&C> {
        self.queued.front()
    }

    /// Removes the next command to be written, for [`Pipeline::add_to_batch`] or to be sent elsewhere.
    pub fn pop_queued(&mut self) -> Option<C> {
        self.queued.pop_front()
    }

    /// Removes all queued commands, to be sent elsewhere: no byte of them is written.
    pub fn take_queued(&mut self) -> VecDeque<C> {
        std::mem::take(&mut self.queued)
    }

    /// Appends a command, encoded in this many bytes, to the batch that is being written.
    pub fn add_to_batch(&mut self, command: C, bytes: usize) {
        let end = self.batch_bytes + bytes;
        self.batch.push_back((command, self.batch_bytes..end));
        self.batch_bytes = end;
    }

    /// The number of bytes in the batch, and how many of them are written.
    pub fn batch_progress(&self) -> (usize, usize) {
        (self.batch_bytes, self.written_bytes)
    }

    /// Records that further bytes of the batch were written, and calls `completed` for each command that these complete.
    pub fn record_written(&mut self, bytes: usize, now: Nanos, mut completed: impl FnMut(&C)) {
        self.written_bytes += bytes;
        while let Some((command, _)) = self.batch.front().filter(|(_, at)| at.end <= self.written_bytes) {
            completed(command);
            let command = InFlight {
                tag: Some(command.tag()),
                kind: command.kind(),
                written_at: now,
                pipelined: !self.in_flight.is_empty(),
            };
            if self.in_flight.is_empty() {
                self.head_since = now;
            }
            self.in_flight.push_back(command);
            self.uncancelled_in_flight += 1;
            self.batch.pop_front();
        }
        if self.batch.is_empty() {
            (self.batch_bytes, self.written_bytes) = (0, 0);
        }
    }

    /// The socket accepts no more bytes for now: commands of the batch without a written byte are queued again, in their
    /// order, and have to be checked again before they are written. Returns the size of the remaining batch in bytes,
    /// written ones included.
    pub fn requeue_unstarted(&mut self) -> usize {
        let written = self.written_bytes;
        while let Some((command, _)) = self.batch.pop_back_if(|(_, at)| at.start >= written) {
            self.queued.push_front(command);
        }
        match self.batch.back() {
            Some((_, at)) => self.batch_bytes = at.end,
            None => (self.batch_bytes, self.written_bytes) = (0, 0),
        }
        self.batch_bytes
    }

    /// Cancels a command, and returns the state that it was in.
    pub fn cancel(&mut self, tag: C::Tag) -> CancelOutcome {
        if let Some(at) = self.queued.iter().position(|c| c.tag() == tag) {
            self.queued.remove(at);
            CancelOutcome::Queued
        } else if self.batch.iter().any(|(c, _)| c.tag() == tag) {
            self.batch.retain(|(c, _)| c.tag() != tag);
            CancelOutcome::PartlyWritten
        } else if let Some(command) = self.in_flight.iter_mut().find(|c| c.tag == Some(tag)) {
            command.tag = None;
            self.uncancelled_in_flight -= 1;
            CancelOutcome::Written
        } else {
            CancelOutcome::NotFound
        }
    }

    /// Removes the head when an answer has arrived completely. `None` if nothing was in flight, which makes the answer
    /// unsolicited.
    pub fn complete_head(&mut self, now: Nanos) -> Option<CompletedCommand<C::Tag>> {
        let InFlight { tag, kind, written_at, pipelined } = self.in_flight.pop_front()?;
        self.uncancelled_in_flight -= usize::from(tag.is_some());
        let head_time = now.saturating_sub(self.head_since);
        self.head_since = now;
        self.head_latency.record(head_time);
        let latency = now.saturating_sub(written_at);
        Some(CompletedCommand { tag, kind, latency, head_time, pipelined })
    }

    /// The connection has ended: the outcome of each command that is not cancelled, in their order.
    pub fn into_outcomes(self) -> impl Iterator<Item = (C::Tag, DisconnectOutcome)> {
        let written = self.in_flight.into_iter().filter_map(|c| Some((c.tag?, DisconnectOutcome::Unknown)));
        let unwritten = self.batch.into_iter().map(|(c, _)| c).chain(self.queued);
        written.chain(unwritten.map(|c| (c.tag(), DisconnectOutcome::NotWritten)))
    }
}
