//! Commands whose long values wait for memory.
//!
//! While a value waits, its connection is not read. The time in which the client wants the answer may already be
//! running, since the rest of the command may wait in the socket, and so may the end of the stream. The wait is
//! therefore limited, it counts as time since the arrival, and a command whose client left meanwhile is not sent.

use super::{Client, Clients, MS};
use crate::platform::config::Config;
use crate::request;
use calicosaddle::api::Nanos;
use resp::CommandParser;
use std::collections::VecDeque;
use std::io;

/// A value waits up to the time in which its client wants the answer, divided by this. After that the command is
/// refused, early enough for a retry.
const WAIT_DIVISOR: Nanos = 4;
/// After a pause of this length within a value, the values of other clients get memory first.
const PRIORITY_TIMEOUT: Nanos = 100 * MS;

/// The wait of a command for memory.
#[derive(Clone, Copy, Debug)]
pub(super) struct MemoryWait {
    /// When it began.
    pub(super) since: Nanos,
    /// When the command is given up.
    until: Nanos,
}

impl MemoryWait {
    /// A wait that begins now.
    pub(super) fn begin(parser: &CommandParser, config: &Config, now: Nanos) -> MemoryWait {
        let timeout = request::stated_timeout(parser.partial_arg(request::FIELDS_INDEX), config);
        MemoryWait { since: now, until: now + timeout.unwrap_or(0) / WAIT_DIVISOR }
    }

    /// When the command is given up.
    pub(super) fn until(&self) -> Nanos {
        self.until
    }
}

impl Client {
    /// True if the client has closed its sending side and all its input has been read.
    pub(super) fn is_at_end_of_input(&self) -> bool {
        match self.stream.peek(&mut [0]) {
            Ok(length) => length == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

impl Clients {
    /// Resumes the connections for whose values there is memory, in the order in which they began to wait, and refuses
    /// the commands that have waited too long.
    pub fn resume_waiting(&mut self, config: &Config, now: Nanos) {
        let waiting = std::mem::take(&mut self.waiting_for_memory);
        let mut still_waiting = VecDeque::new();
        for key in waiting {
            // The key may belong to another connection by now.
            let Some(client) = self.clients.get_mut(key).filter(|c| c.parser.waits_for_memory()) else {
                continue;
            };
            if client.is_refusing || client.memory_wait.is_none_or(|wait| wait.until <= now) {
                client.parser.drop_value();
            }
            if client.parser.retry_reservation() {
                self.resume(key, config, now);
            } else {
                still_waiting.push_back(key);
            }
        }
        // Those that began to wait meanwhile are the youngest.
        still_waiting.append(&mut self.waiting_for_memory);
        self.waiting_for_memory = still_waiting;
    }

    /// Handles that a client has shut down its sending side, also where its input is not read at present. A command whose
    /// value waits for memory is given up. What the client has sent is still read.
    pub fn input_ended(&mut self, key: usize, config: &Config, now: Nanos) {
        if self.clients.get(key).is_some_and(|c| c.lingering_since.is_some() && !c.closing) {
            // Both sides have ended the connection.
            self.remove(key);
            return;
        }
        self.half_closed(key, now);
        let Some(client) = self.clients.get_mut(key).filter(|c| c.parser.waits_for_memory()) else { return };
        client.parser.drop_value();
        self.resume(key, config, now);
    }

    /// Continues with the input of a connection that waited for memory.
    fn resume(&mut self, key: usize, config: &Config, now: Nanos) {
        let Some(client) = self.clients.get_mut(key) else { return };
        client.active_at = now;
        let pending = std::mem::take(&mut client.pending);
        self.parse_input(key, &pending, config, now);
        self.pending_reads.insert(key);
    }

    /// All input of a connection has been read. What is still missing of its command arrives from now on, so an earlier
    /// wait no longer counts.
    pub(super) fn has_caught_up(&mut self, key: usize) {
        if let Some(client) = self.clients.get_mut(key).filter(|c| !c.parser.waits_for_memory()) {
            client.memory_wait = None;
            self.read_up(key);
        }
    }

    /// Lets other values have memory before those whose clients have paused.
    pub(super) fn yield_priority_of_paused(&mut self, now: Nanos) {
        let is_paused = |c: &Client| {
            c.parser.in_value()
                && !c.parser.waits_for_memory()
                && now.saturating_sub(c.active_at) > PRIORITY_TIMEOUT
        };
        let paused = self.clients.iter_mut().filter(|(_, client)| is_paused(client));
        paused.for_each(|(_, client)| client.parser.yield_priority());
    }
}
