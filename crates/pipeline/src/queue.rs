//! The commands of one connection, in their order.

use crate::{LatencyHistogram, Nanos};
use std::collections::VecDeque;
use std::ops::Range;

/// What kind of command it is, as far as it matters to those behind it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CommandKind {
    /// It writes.
    pub write: bool,
    /// It carries a long value.
    pub large_value: bool,
}

/// A command, as its host keeps it until it is written.
pub trait Command {
    /// What the host knows it by.
    type Tag: Copy + PartialEq;
    /// Its name.
    fn tag(&self) -> Self::Tag;
    /// Its kind.
    fn kind(&self) -> CommandKind;
}

/// What is known of a command whose connection has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisconnectOutcome {
    /// It was never written whole: it has not run, and a repeat is harmless.
    NotWritten,
    /// It was written whole and not answered: it may have run.
    Unknown,
}

/// Where a command was that is called off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// Not on this connection, or over already.
    NotFound,
    /// It waited, and is gone without a trace.
    Queued,
    /// A part of it is written. The connection can't be used any more: the rest must not follow.
    PartlyWritten,
    /// It was written whole. Its answer will be dropped when it comes.
    Written,
}

/// The answer that has come belongs to this command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CompletedCommand<T> {
    /// Nothing for one that was called off.
    pub tag: Option<T>,
    /// Its kind.
    pub kind: CommandKind,
    /// From its last byte to the answer.
    pub latency: Nanos,
    /// The part of that in which it was the first.
    pub head_time: Nanos,
    /// It was written behind others.
    pub pipelined: bool,
}

#[derive(Clone, Copy, Debug)]
struct Sent<T> {
    tag: Option<T>,
    kind: CommandKind,
    wrote: Nanos,
    behind: bool,
}

/// The commands of one connection. Each is in one place, and leaves once.
#[derive(Debug)]
pub struct Pipeline<C: Command> {
    waiting: VecDeque<C>,
    /// What is being written, each with where it begins and ends among the bytes of the batch.
    batch: VecDeque<(C, Range<usize>)>,
    /// The bytes of the batch, and how many of them are written.
    bytes: usize,
    written: usize,
    sent: VecDeque<Sent<C::Tag>>,
    /// How many of those sent are not called off.
    live: usize,
    /// Since when the first of those sent is the first.
    head_since: Nanos,
    history: LatencyHistogram,
}

impl<C: Command> Default for Pipeline<C> {
    fn default() -> Self {
        Pipeline {
            waiting: VecDeque::new(),
            batch: VecDeque::new(),
            bytes: 0,
            written: 0,
            sent: VecDeque::new(),
            live: 0,
            head_since: 0,
            history: LatencyHistogram::default(),
        }
    }
}

impl<C: Command> Pipeline<C> {
    /// Commands on it, those called off counted whose answers are still to come.
    pub fn depth(&self) -> usize {
        self.waiting.len() + self.batch.len() + self.sent.len()
    }

    /// Those written whole, those called off counted.
    pub fn in_flight(&self) -> usize {
        self.sent.len()
    }

    /// Nobody waits for anything on it.
    pub fn has_no_waiters(&self) -> bool {
        self.waiting.is_empty() && self.batch.is_empty() && self.live == 0
    }

    /// One that was called off stands among those sent: its answer may never come.
    pub fn has_cancelled_in_flight(&self) -> bool {
        self.live < self.sent.len()
    }

    /// Some wait for their turn to be written.
    pub fn has_queued(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// A part of a command is written.
    pub fn has_batch(&self) -> bool {
        !self.batch.is_empty()
    }

    /// The command whose answer comes next: nothing there, or nothing but its place if it was called off.
    pub fn head(&self) -> Option<Option<C::Tag>> {
        self.sent.front().map(|s| s.tag)
    }

    /// The kind of the command whose answer comes next.
    pub fn head_kind(&self) -> Option<CommandKind> {
        self.sent.front().map(|s| s.kind)
    }

    /// For how long the first of those sent has been the first.
    pub fn head_age(&self, now: Nanos) -> Option<Nanos> {
        (!self.sent.is_empty()).then(|| now.saturating_sub(self.head_since))
    }

    /// What heads took on this connection.
    pub fn latency(&self) -> &LatencyHistogram {
        &self.history
    }

    /// All commands on it are of one kind with this one.
    pub fn is_uniform(&self, kind: CommandKind) -> bool {
        let written = self.sent.iter().map(|s| s.kind);
        let unwritten = self.batch.iter().map(|(c, _)| c.kind()).chain(self.waiting.iter().map(C::kind));
        written.chain(unwritten).all(|k| k == kind)
    }

    /// The command was written whole, and is not called off.
    pub fn is_written(&self, tag: C::Tag) -> bool {
        self.sent.iter().any(|s| s.tag == Some(tag))
    }

    /// Takes one more, behind all others.
    pub fn push(&mut self, command: C) {
        self.waiting.push_back(command);
    }

    /// The next that is to be written.
    pub fn peek_queued(&self) -> Option<&C> {
        self.waiting.front()
    }

    /// The same; it leaves unless [`Pipeline::add_to_batch`] takes it back.
    pub fn pop_queued(&mut self) -> Option<C> {
        self.waiting.pop_front()
    }

    /// All that wait, to be moved elsewhere: no byte of them is written.
    pub fn take_queued(&mut self) -> VecDeque<C> {
        std::mem::take(&mut self.waiting)
    }

    /// Puts a command into the batch that is being written, as so many bytes.
    pub fn add_to_batch(&mut self, command: C, bytes: usize) {
        let end = self.bytes + bytes;
        self.batch.push_back((command, self.bytes..end));
        self.bytes = end;
    }

    /// The batch's bytes, and how many of them are written.
    pub fn batch_progress(&self) -> (usize, usize) {
        (self.bytes, self.written)
    }

    /// So many bytes of the batch more are written; each command that is whole by that is told.
    pub fn record_written(&mut self, bytes: usize, now: Nanos, mut whole: impl FnMut(&C)) {
        self.written += bytes;
        while let Some((command, _)) = self.batch.front().filter(|(_, at)| at.end <= self.written) {
            whole(command);
            let sent = Sent {
                tag: Some(command.tag()),
                kind: command.kind(),
                wrote: now,
                behind: !self.sent.is_empty(),
            };
            if self.sent.is_empty() {
                self.head_since = now;
            }
            self.sent.push_back(sent);
            self.live += 1;
            self.batch.pop_front();
        }
        if self.batch.is_empty() {
            (self.bytes, self.written) = (0, 0);
        }
    }

    /// The socket takes no more for now: what is not begun waits again, in its order, and has to be looked at anew.
    /// Tells how many bytes of the batch are left, written ones counted.
    pub fn requeue_unstarted(&mut self) -> usize {
        let written = self.written;
        while let Some((command, _)) = self.batch.pop_back_if(|(_, at)| at.start >= written) {
            self.waiting.push_front(command);
        }
        match self.batch.back() {
            Some((_, at)) => self.bytes = at.end,
            None => (self.bytes, self.written) = (0, 0),
        }
        self.bytes
    }

    /// Calls a command off.
    pub fn cancel(&mut self, tag: C::Tag) -> CancelOutcome {
        if let Some(at) = self.waiting.iter().position(|c| c.tag() == tag) {
            self.waiting.remove(at);
            CancelOutcome::Queued
        } else if self.batch.iter().any(|(c, _)| c.tag() == tag) {
            self.batch.retain(|(c, _)| c.tag() != tag);
            CancelOutcome::PartlyWritten
        } else if let Some(sent) = self.sent.iter_mut().find(|s| s.tag == Some(tag)) {
            sent.tag = None;
            self.live -= 1;
            CancelOutcome::Written
        } else {
            CancelOutcome::NotFound
        }
    }

    /// An answer has come whole: whose it is. Nothing if nobody asked.
    pub fn complete_head(&mut self, now: Nanos) -> Option<CompletedCommand<C::Tag>> {
        let sent = self.sent.pop_front()?;
        self.live -= usize::from(sent.tag.is_some());
        let head_time = now.saturating_sub(self.head_since);
        self.head_since = now;
        self.history.record(head_time);
        let latency = now.saturating_sub(sent.wrote);
        Some(CompletedCommand { tag: sent.tag, kind: sent.kind, latency, head_time, pipelined: sent.behind })
    }

    /// The connection has ended: what is known of each command that somebody waits for, in their order.
    pub fn into_outcomes(self) -> impl Iterator<Item = (C::Tag, DisconnectOutcome)> {
        let written = self.sent.into_iter().filter_map(|s| Some((s.tag?, DisconnectOutcome::Unknown)));
        let unwritten = self.batch.into_iter().map(|(c, _)| c).chain(self.waiting);
        written.chain(unwritten.map(|c| (c.tag(), DisconnectOutcome::NotWritten)))
    }
}
