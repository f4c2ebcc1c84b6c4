//! Answers to commands: kept in the order of the commands, and written as far as sockets accept them.

use super::output::RepeatedAnswer;
use super::{ClientEvent, Clients, Slot, WaitingSlot};
use crate::io_error::ErrorCause;
use crate::request::{Answer, ReplySlot};
use calicosaddle::api::Nanos;
use resp::Protocol;

/// What a client was given as the answer to its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GivenAnswer {
    /// The answer as it is.
    Unchanged,
    /// A refusal, as there was no memory for the answer.
    Refused,
    /// A failure, as there was no memory for the answer.
    Failed,
}

/// The bytes of an answer.
pub(super) fn encoded(answer: &Answer<'_>, protocol: Protocol) -> Vec<u8> {
    let mut bytes = Vec::new();
    answer.write(protocol, &mut bytes);
    bytes
}

impl Clients {
    /// Answers the last parsed command without making it a request.
    pub(super) fn answer_directly(&mut self, key: usize, answer: &[u8]) {
        let Some(client) = self.clients.get_mut(key) else { return };
        match client.slots.back_mut() {
            Some(Slot::Ready(last)) if last.bytes == answer => last.count += 1,
            _ => {
                client.slots.push_back(Slot::Ready(RepeatedAnswer::once(answer.to_vec())));
                client.queued_bytes += answer.len();
            }
        }
        self.advance(key);
    }

    /// Gives the complete answer to a request, or a short one if there is no memory for it.
    pub fn answer(&mut self, slot: ReplySlot, answer: &Answer<'_>) -> GivenAnswer {
        let Some((client, position)) = self.find_slot(slot) else { return GivenAnswer::Unchanged };
        let Slot::Waiting(WaitingSlot { protocol, class, may_be_refused, .. }) = client.slots[position]
        else {
            return GivenAnswer::Unchanged;
        };
        let reserved = client.take_reservation(position);
        let mut bytes = encoded(answer, protocol);
        let mut given = GivenAnswer::Unchanged;
        if matches!(answer, Answer::Served(..)) {
            self.answer_memory.sizes.record(class, bytes.len());
            if !self.fits(bytes.len(), reserved) {
                (given, bytes) = match may_be_refused {
                    true => (GivenAnswer::Refused, encoded(&Answer::Busy(0), protocol)),
                    false => (GivenAnswer::Failed, encoded(&Answer::Failed, protocol)),
                };
            }
        }
        if let Some((client, position)) = self.find_slot(slot) {
            client.queued_bytes += bytes.len();
            client.slots[position] = Slot::Ready(RepeatedAnswer::once(bytes));
        }
        self.advance(slot.client);
        given
    }

    /// Moves the answers that are next in order to the output.
    pub(super) fn advance(&mut self, key: usize) {
        let Some(client) = self.clients.get_mut(key) else { return };
        loop {
            match client.slots.front_mut() {
                Some(Slot::Ready(answer)) => {
                    client.queued_bytes -= answer.bytes.len();
                    client.output.push(std::mem::take(answer));
                    client.slots.pop_front();
                    client.first_slot += 1;
                }
                Some(Slot::Streaming { queued, .. }) => {
                    client.queued_bytes -= queued.len();
                    client.output.push_bytes(std::mem::take(queued));
                    break;
                }
                Some(Slot::Waiting(..)) | None => break,
            }
        }
        if !client.dirty {
            client.dirty = true;
            self.dirty.push(key);
        }
        self.account(key);
    }

    /// Writes the answers of all connections with output.
    pub fn flush_all(&mut self, now: Nanos) {
        while let Some(key) = self.dirty.pop() {
            self.flush(key, now);
        }
    }

    /// Writes as many answers as the socket of a connection accepts.
    pub fn flush(&mut self, key: usize, now: Nanos) {
        let Some(client) = self.clients.get_mut(key) else { return };
        client.dirty = false;
        while client.output.unwritten_bytes() > 0 {
            match client.output.write_to(&mut client.stream) {
                Ok(_) => (client.active_at, client.blocked_since) = (now, None),
                Err(error) => match ErrorCause::of(&error) {
                    ErrorCause::Interrupted => {}
                    ErrorCause::WouldBlock => {
                        client.blocked_since.get_or_insert(now);
                        break;
                    }
                    ErrorCause::LocalShortage => {
                        self.retries.push(key, now);
                        break;
                    }
                    ErrorCause::NoRoute | ErrorCause::Peer => {
                        self.remove(key);
                        return;
                    }
                },
            }
        }
        self.account(key);
        self.resume_value(key);
        self.resume_reading(key);
        self.close_if_finished(key, now);
    }

    /// Lets the value at the front go on if the client has taken enough of it. What waits behind it can't be written
    /// before it.
    fn resume_value(&mut self, key: usize) {
        let share = self.answer_memory.value_share();
        let Some(client) = self.clients.get_mut(key) else { return };
        let may_resume = client.output.unwritten_bytes() <= share / 2;
        if let Some(Slot::Streaming { id, paused: paused @ true, .. }) =
            client.slots.front_mut().filter(|_| may_resume)
        {
            *paused = false;
            self.events.push_back(ClientEvent::ReadyForMore(*id));
        }
    }

    /// Reads a client's commands again if it has taken enough of its answers.
    fn resume_reading(&mut self, key: usize) {
        let may_be_read = self.may_be_read(key);
        let suspended = self.clients.get_mut(key).filter(|client| client.read_suspended && may_be_read);
        if let Some(client) = suspended {
            client.read_suspended = false;
            self.pending_reads.insert(key);
        }
    }

    /// Closes a connection that ends after its answers once they are written.
    fn close_if_finished(&mut self, key: usize, now: Nanos) {
        let Some(client) = self.clients.get(key) else { return };
        if !client.slots.is_empty() || client.unread_bytes() > 0 {
            return;
        }
        if client.eof {
            self.remove(key);
        } else if client.closing || self.ending || (self.stopping && client.is_closable()) {
            self.linger(key, now);
        } else if self.stopping && !client.parser.in_progress() {
            // It has sent another command, which is answered first.
            self.pending_reads.insert(key);
        }
    }
}
