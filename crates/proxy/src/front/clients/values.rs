//! Long values that are streamed to clients as the answers to their requests.

use super::answers::encoded;
use super::output::RepeatedAnswer;
use super::{Client, Clients, Slot, WaitingSlot};
use crate::request::{Answer, ReplySlot};
use resp::{BodyFormat, Reply};

impl Clients {
    /// The client of a slot, and the position of the slot among those that are not answered completely.
    pub(super) fn find_slot(&mut self, slot: ReplySlot) -> Option<(&mut Client, usize)> {
        let client = self.clients.get_mut(slot.client)?;
        let position = slot.number.checked_sub(client.first_slot)? as usize;
        (position < client.slots.len()).then_some((client, position))
    }

    /// Starts to stream a long value as the answer to a request.
    pub fn begin_value(&mut self, slot: ReplySlot, format: BodyFormat, length: usize) {
        let Some((client, position)) = self.find_slot(slot) else { return };
        let Slot::Waiting(WaitingSlot { id, protocol, class, .. }) = client.slots[position] else { return };
        client.take_reservation(position);
        let mut head = Vec::new();
        Reply::write_head(format, length, protocol, &mut head);
        client.slots[position] = Slot::Streaming { id, protocol, queued: Vec::new(), paused: false };
        self.answer_memory.sizes.record(class, length);
        self.append_value(slot, &head);
    }

    /// Appends bytes to a streamed value. Returns false if the sender has to pause until [`ClientEvent::ReadyForMore`].
    ///
    /// The value that is next in order has a share of its own: if it had to share with those behind it, it would wait for
    /// them, and they wait for it.
    pub fn append_value(&mut self, slot: ReplySlot, bytes: &[u8]) -> bool {
        let share = self.answer_memory.value_share();
        let Some((client, position)) = self.find_slot(slot) else { return true };
        let Slot::Streaming { queued, paused, .. } = &mut client.slots[position] else { return true };
        let unread_bytes = if position == 0 {
            client.output.extend_from_slice(bytes);
            client.output.unwritten_bytes()
        } else {
            queued.extend_from_slice(bytes);
            client.queued_bytes += bytes.len();
            client.queued_bytes
        };
        let has_room = unread_bytes <= share;
        *paused = !has_room;
        self.advance(slot.client);
        has_room
    }

    /// Completes a streamed value.
    pub fn finish_value(&mut self, slot: ReplySlot, reply: &Reply) {
        let Some((client, position)) = self.find_slot(slot) else { return };
        let Slot::Streaming { protocol, queued, .. } = &mut client.slots[position] else { return };
        let length_before = queued.len();
        reply.write_tail(*protocol, queued);
        let (tail_length, queued) = (queued.len() - length_before, std::mem::take(queued));
        client.queued_bytes += tail_length;
        client.slots[position] = Slot::Ready(RepeatedAnswer::once(queued));
        self.advance(slot.client);
    }

    /// Gives up a value that can't be completed. One of which nothing has been passed on yet has failed like any other
    /// request. Otherwise the connection is closed behind what has arrived, which is how the client recognises the failure.
    pub fn abort_value(&mut self, slot: ReplySlot) {
        let Some((client, position)) = self.find_slot(slot) else { return };
        let Slot::Streaming { protocol, queued, .. } = &client.slots[position] else { return };
        if position == 0 {
            self.end_after_output(slot.client);
            return;
        }
        let failure = encoded(&Answer::Failed, *protocol);
        client.queued_bytes -= queued.len();
        client.queued_bytes += failure.len();
        client.slots[position] = Slot::Ready(RepeatedAnswer::once(failure));
        self.advance(slot.client);
    }

    /// Closes a connection once what is next in order is written. The requests whose answers would follow end with it.
    fn end_after_output(&mut self, key: usize) {
        let Some(client) = self.clients.get_mut(key) else { return };
        client.closing = true;
        let unanswered = std::mem::take(&mut client.slots);
        client.first_slot += unanswered.len() as u64;
        (client.queued_bytes, client.reserved_bytes) = (0, 0);
        self.disconnect_requests(unanswered.into_iter().skip(1));
        self.advance(key);
    }
}
