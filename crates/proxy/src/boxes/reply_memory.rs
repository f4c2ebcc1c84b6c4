//! The memory for replies that have arrived in part: one budget for all connections to cache nodes. What it has no room for
//! waits unread in the sockets. The oldest incomplete reply has priority, so that it can always be completed.

use super::connection::Connection;
use super::Boxes;
use calicosaddle::api::Nanos;
use resp::{MemoryBudget, Reservation, MAX_BUFFERED_VALUE_BYTES};
use std::collections::BTreeSet;

/// The most memory of an incomplete RESP2 reply: its value, and as much as a note and a load report may have.
const MAX_RESP2_REPLY_BYTES: usize = MAX_BUFFERED_VALUE_BYTES + (4 << 10);
/// The same in RESP3, where pushes of several blobs are buffered whole.
const MAX_RESP3_REPLY_BYTES: usize = 5 * MAX_BUFFERED_VALUE_BYTES;
/// What each connection may hold of a reply beside the budget. Most replies are shorter.
const UNRESERVED_BYTES: usize = 1 << 10;
/// Fewer bytes than this are not worth a read.
const MIN_READ_BYTES: usize = 256;

/// The budget, and the connections that wait for it.
#[derive(Debug)]
pub struct ReplyMemory {
    budget: MemoryBudget,
    /// The most bytes of one incomplete reply.
    max_reply_bytes: usize,
    /// Connections that are not read until there is room.
    waiting: BTreeSet<usize>,
}

impl ReplyMemory {
    /// A budget of this many bytes, or enough for one reply if that is more.
    pub fn new(capacity: usize, uses_resp3: bool) -> Self {
        let max_reply_bytes = if uses_resp3 { MAX_RESP3_REPLY_BYTES } else { MAX_RESP2_REPLY_BYTES };
        ReplyMemory {
            budget: MemoryBudget::new(capacity.max(max_reply_bytes)),
            max_reply_bytes,
            waiting: BTreeSet::new(),
        }
    }

    /// How many bytes may be read from a connection now.
    fn read_limit(&self, connection: &Connection) -> usize {
        if connection.streaming {
            return usize::MAX;
        }
        let room =
            connection.reply_reservation.as_ref().map_or_else(|| self.budget.room(), Reservation::room);
        room + UNRESERVED_BYTES.saturating_sub(connection.buffered_reply_bytes())
    }

    /// Updates the reservation of a connection after input has been processed.
    fn update(&self, connection: &mut Connection) {
        let buffered = connection.buffered_reply_bytes();
        if buffered <= UNRESERVED_BYTES {
            connection.reply_reservation = None;
            return;
        }
        let begin = || self.budget.begin(self.max_reply_bytes);
        connection.reply_reservation.get_or_insert_with(begin).hold(buffered - UNRESERVED_BYTES);
    }
}

impl Boxes {
    /// How many bytes to read from a connection: up to `wanted`. If there is no room for any, the connection waits and the
    /// result is `None`.
    pub(super) fn reply_read_limit(&mut self, key: usize, wanted: usize) -> Option<usize> {
        let connection = self.connections.get_mut(key)?;
        let limit = self.reply_memory.read_limit(connection).min(wanted);
        connection.waits_for_memory = limit < MIN_READ_BYTES.min(wanted);
        if connection.waits_for_memory {
            self.reply_memory.waiting.insert(key);
            return None;
        }
        Some(limit)
    }

    /// Accounts for the memory of a connection after input has been processed.
    pub(super) fn account_reply(&mut self, key: usize) {
        if let Some(connection) = self.connections.get_mut(key) {
            self.reply_memory.update(connection);
        }
    }

    /// Lets the connections be read for which there is room now.
    pub fn resume_waiting_for_memory(&mut self, now: Nanos) {
        for key in std::mem::take(&mut self.reply_memory.waiting) {
            // The key may belong to another connection by now.
            let Some(connection) = self.connections.get_mut(key).filter(|c| c.waits_for_memory) else {
                continue;
            };
            if self.reply_memory.read_limit(connection) < MIN_READ_BYTES {
                self.reply_memory.waiting.insert(key);
                continue;
            }
            connection.waits_for_memory = false;
            connection.last_read = now;
            self.unread.insert(key);
        }
    }

    /// Whether the reply on a connection waits for memory of this process.
    pub fn waits_for_memory(&self, key: usize) -> bool {
        self.connections.get(key).is_some_and(|c| c.waits_for_memory)
    }
}
