//! The memory for answers: one budget for all clients, from which the expected answer of a request is reserved before
//! the request is sent, and from which nothing is taken that is not there.
//!
//! In this order memory is given up: further commands of a client whose answers are unread are not read; requests whose
//! answers would not fit are refused before they are sent; an answer that does not fit after all is replaced by a
//! refusal or a failure. No connection is ended for it.

use super::{Client, Clients, Slot};
use resp::MAX_BUFFERED_VALUE_BYTES;

/// The least memory that is reserved for an answer. Every refusal and failure fits into it.
const MIN_ANSWER_BYTES: usize = 256;
/// The memory of a slot itself.
const SLOT_BYTES: usize = 96;
/// With more bytes of answers unread than this, no further commands of a client are read, ...
const MAX_UNREAD_BYTES: usize = 256 << 10;
/// ... and where memory is short with more than this.
const MIN_UNREAD_BYTES: usize = 4 << 10;
/// The most bytes of commands that are read at once, so that a client with many short ones takes little time from others.
const MAX_COMMANDS_READ_BYTES: usize = 16 << 10;
/// A client may leave unread, or have of a long value, the free memory divided by this.
const SHARE_DIVISOR: usize = 4;
/// The most memory that a client has of a long value, and the least: as much as is read from a cache node at once while
/// memory is short.
const MAX_VALUE_SHARE_BYTES: usize = 1 << 20;
const MIN_VALUE_SHARE_BYTES: usize = 8 << 10;
/// The expected size approaches that of a larger answer by the difference divided by this, ...
const SIZE_RISE_DIVISOR: usize = 4;
/// ... and that of a smaller one by the difference divided by this.
const SIZE_DECAY_DIVISOR: usize = 64;

/// The expected size of an answer of each class: a moving mean that rises quickly and falls slowly.
#[derive(Debug, Default)]
pub(super) struct AnswerSizes(Vec<usize>);

impl AnswerSizes {
    /// The expected size of an answer of this class, in bytes.
    pub(super) fn expected(&self, class: u32) -> usize {
        self.0.get(class as usize).copied().unwrap_or(0).max(MIN_ANSWER_BYTES)
    }

    /// Records the size of an answer.
    pub(super) fn record(&mut self, class: u32, size: usize) {
        let index = class as usize;
        if self.0.len() <= index {
            self.0.resize(index + 1, 0);
        }
        // Of a longer value only a share is held at once.
        let size = size.min(MAX_BUFFERED_VALUE_BYTES);
        let expected = &mut self.0[index];
        *expected += size.saturating_sub(*expected) / SIZE_RISE_DIVISOR;
        *expected -= expected.saturating_sub(size) / SIZE_DECAY_DIVISOR;
    }
}

/// The memory for the answers of all clients.
#[derive(Debug)]
pub(super) struct AnswerMemory {
    capacity: usize,
    /// What is held and reserved.
    used: usize,
    pub(super) sizes: AnswerSizes,
}

impl AnswerMemory {
    /// An unused budget of this many bytes.
    pub(super) fn new(capacity: usize) -> Self {
        AnswerMemory { capacity, used: 0, sizes: AnswerSizes::default() }
    }

    /// The memory that is neither held nor reserved, in bytes.
    pub(super) fn free(&self) -> usize {
        self.capacity.saturating_sub(self.used)
    }

    fn share(&self, bounds: [usize; 2]) -> usize {
        (self.free() / SHARE_DIVISOR).clamp(bounds[0], bounds[1])
    }

    /// How many bytes of answers a client may leave unread before its further commands are not read.
    pub(super) fn unread_limit(&self) -> usize {
        self.share([MIN_UNREAD_BYTES, MAX_UNREAD_BYTES])
    }

    /// How many bytes of a long value one client may have unread. A few slow clients get much each, many get little.
    pub(super) fn value_share(&self) -> usize {
        self.share([MIN_VALUE_SHARE_BYTES, MAX_VALUE_SHARE_BYTES])
    }
}

impl Client {
    /// The memory that its answers hold, and that is reserved for those to come.
    fn used_bytes(&self) -> usize {
        let slots = self.slots.len() * SLOT_BYTES;
        self.output.held_bytes() + self.queued_bytes + self.reserved_bytes + slots
    }

    /// Takes back what was reserved for the answer in a slot; returns how much that was.
    pub(super) fn take_reservation(&mut self, position: usize) -> usize {
        let Some(Slot::Waiting(waiting)) = self.slots.get_mut(position) else { return 0 };
        let reserved = std::mem::take(&mut waiting.reserved);
        self.reserved_bytes -= reserved;
        reserved
    }
}

impl Clients {
    /// Updates the account of a client after its answers or reservations have changed.
    pub(super) fn account(&mut self, key: usize) {
        let Some(client) = self.clients.get_mut(key) else { return };
        let used = client.used_bytes();
        self.answer_memory.used = self.answer_memory.used + used - client.accounted_bytes;
        client.accounted_bytes = used;
    }

    /// Returns the memory of a client that has been removed.
    pub(super) fn release(&mut self, client: &Client) {
        self.answer_memory.used -= client.accounted_bytes;
    }

    /// The memory to reserve for the answer of a command of this class, or `None` if there is not enough. A client that
    /// has some already gets no more than it leaves to others.
    pub(super) fn reservation(&self, client: &Client, class: u32) -> Option<usize> {
        let expected = self.answer_memory.sizes.expected(class);
        (client.used_bytes() + expected <= self.answer_memory.free()).then_some(expected)
    }

    /// Whether an answer of this size fits in place of what was reserved for it.
    pub(super) fn fits(&self, size: usize, reserved: usize) -> bool {
        size <= reserved || size - reserved <= self.answer_memory.free()
    }

    /// How many bytes of commands may be read at once. What is read is parsed to its end, so it is little where there may be
    /// no memory for the answers, or for a value that begins in it.
    pub(super) fn commands_read_limit(&self) -> usize {
        let free = self.answer_memory.free().min(self.value_memory.room());
        (free / SHARE_DIVISOR).clamp(MIN_UNREAD_BYTES, MAX_COMMANDS_READ_BYTES)
    }

    /// How many bytes may be read from a cache node at once, so that what has no room yet stays in the socket.
    pub fn node_read_limit(&self) -> usize {
        self.answer_memory.value_share()
    }
}
