//! Clients whose input is not read up: they have not taken their answers, a value waits for memory, or they send faster than
//! their commands can be handled.
//!
//! The end of a client's stream may stand behind what is not read. While the client has open requests, it is therefore unread
//! for a short time only. After that no further attempt begins for its requests, and its commands are read and refused, until all
//! its input has been read. What has waited unread may be as old as the wait.

use super::{Client, ClientEvent, Clients, Slot, WaitingSlot};
use crate::request::HALF_CLOSE_GRACE;
use calicosaddle::api::{Nanos, RequestId};
use std::collections::VecDeque;
use std::io;

/// What a socket's receive buffer may hold, if that can't be asked for.
const DEFAULT_RECEIVE_BUFFER_BYTES: usize = 4 << 20;

/// Input that may be in a client's socket.
#[derive(Clone, Copy, Debug)]
pub(super) struct UnreadInput {
    /// Since when the socket has not been found empty.
    begun: Nanos,
    /// Since when the input that is read next may have been there.
    arrived_since: Nanos,
    /// The same for the input behind `remaining_bytes`.
    next_arrived_since: Nanos,
    /// The upper bound of the bytes that the socket held at `next_arrived_since` and that are still to be read.
    remaining_bytes: usize,
}

/// Clients with unread input and open requests, in the order in which their input became unread. An entry whose client
/// has been read up since no longer applies.
#[derive(Debug, Default)]
pub(super) struct UnreadClients(VecDeque<(Nanos, usize)>);

impl Client {
    /// The requests that wait for their answers.
    fn open_requests(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.slots.iter().filter_map(|slot| match slot {
            Slot::Waiting(WaitingSlot { id, .. }) | Slot::Streaming { id, .. } => Some(*id),
            Slot::Ready(_) => None,
        })
    }

    /// Whether a request of the client waits for its answer.
    pub(super) fn has_open_request(&self) -> bool {
        self.open_requests().next().is_some()
    }

    /// The capacity of its socket, in bytes.
    fn receive_buffer_bytes(&self) -> usize {
        socket2::SockRef::from(&self.stream).recv_buffer_size().unwrap_or(DEFAULT_RECEIVE_BUFFER_BYTES)
    }

    /// Accounts for input that has been read.
    fn consume(&mut self, bytes: usize, now: Nanos) {
        let Some(unread) = &mut self.unread else { return };
        unread.remaining_bytes = unread.remaining_bytes.saturating_sub(bytes);
        if unread.remaining_bytes == 0 {
            (unread.arrived_since, unread.next_arrived_since) = (unread.next_arrived_since, now);
            let size = self.receive_buffer_bytes();
            self.unread.iter_mut().for_each(|unread| unread.remaining_bytes = size);
        }
    }

    /// Since when the command that is complete now may have been there; `None` if it has not waited.
    pub(super) fn arrived_since(&self) -> Option<Nanos> {
        self.unread.map(|unread| unread.arrived_since)
    }

    /// Since when its socket has not been found empty.
    pub(super) fn unread_since(&self) -> Option<Nanos> {
        self.unread.map(|unread| unread.begun)
    }

    /// Whether the client may have left: it has closed its side some time ago, or it has not been read up for some time and the
    /// end of the stream may stand behind more unread input.
    pub(super) fn may_have_left(&self, now: Nanos) -> bool {
        let ended = self.ended_at.is_some_and(|at| at + HALF_CLOSE_GRACE <= now);
        let waited = self.unread.is_some_and(|unread| unread.begun + HALF_CLOSE_GRACE <= now);
        ended || (waited && !self.is_read_up())
    }

    /// Whether all input has been read, and there is no end of the stream behind it.
    fn is_read_up(&self) -> bool {
        self.stream.peek(&mut [0]).is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }
}

impl Clients {
    /// Records that a client's socket may hold input since `now`, when it was left without being read up.
    pub(super) fn left_unread(&mut self, key: usize, now: Nanos) {
        let Some(client) = self.clients.get_mut(key).filter(|c| c.unread.is_none()) else { return };
        client.unread = Some(UnreadInput {
            begun: now,
            arrived_since: now,
            next_arrived_since: now,
            remaining_bytes: client.receive_buffer_bytes(),
        });
        self.unread_clients.0.push_back((now, key));
    }

    /// Accounts for input that has been read and parsed.
    pub(super) fn consume_unread(&mut self, key: usize, bytes: usize, now: Nanos) {
        if let Some(client) = self.clients.get_mut(key) {
            client.consume(bytes, now);
        }
    }

    /// Records that all input of a client has been read, and that no end of the stream is behind it.
    pub(super) fn read_up(&mut self, key: usize) {
        let Some(client) = self.clients.get_mut(key) else { return };
        client.unread = None;
        if std::mem::take(&mut client.is_refusing) {
            self.events.extend(client.open_requests().map(ClientEvent::EndVisible));
        }
    }

    /// When the next client has been unread for too long, or has waited too long for memory.
    pub(super) fn next_refusal_at(&self) -> Option<Nanos> {
        let unread = self.unread_clients.0.front().map(|(begun, _)| begun + HALF_CLOSE_GRACE);
        let waits = self.waiting_for_memory.iter().filter_map(|key| self.clients.get(*key)?.memory_wait);
        unread.into_iter().chain(waits.map(|wait| wait.until())).min()
    }

    /// Begins to refuse the commands of clients that have been unread for too long.
    pub fn refuse_overdue(&mut self, now: Nanos) {
        while let Some((begun, key)) = self.unread_clients.0.front().copied() {
            if begun + HALF_CLOSE_GRACE > now {
                return;
            }
            self.unread_clients.0.pop_front();
            let client = self.clients.get_mut(key).filter(|c| c.unread.is_some_and(|u| u.begun == begun));
            if let Some(client) = client.filter(|c| c.has_open_request() && c.ended_at.is_none()) {
                client.is_refusing = true;
                self.events.extend(client.open_requests().map(ClientEvent::EndHidden));
                self.pending_reads.insert(key);
            }
        }
    }
}
