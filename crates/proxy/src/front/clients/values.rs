//! Long values that are streamed to clients as the answers to their requests.

use super::{Client, Clients, Slot};
use crate::request::ReplySlot;
use resp::{BodyFormat, Reply, MAX_BUFFERED_VALUE_BYTES};

/// One client may have unread bytes of a long value up to the free space for unread answers divided by this, ...
const UNREAD_SHARE_DIVISOR: usize = 4;
/// ... and up to this many bytes.
const MAX_UNREAD_SHARE_BYTES: usize = 1 << 20;

impl Clients {
    /// How many bytes of a long value one client may have unread: a fraction of the free space, so that a few slow
    /// clients get much each and many get little.
    pub(super) fn unread_share(&self) -> usize {
        (self.max_unread_bytes.saturating_sub(self.unread_bytes) / UNREAD_SHARE_DIVISOR)
            .clamp(MAX_BUFFERED_VALUE_BYTES, MAX_UNREAD_SHARE_BYTES)
    }

    /// The client of a slot, and the position of the slot among those that are not answered completely.
    fn find_slot(&mut self, slot: ReplySlot) -> Option<(&mut Client, usize)> {
        let client = self.clients.get_mut(slot.client)?;
        let position = slot.number.checked_sub(client.first_slot)? as usize;
        (position < client.slots.len()).then_some((client, position))
    }

    /// Starts to stream a long value as the answer to a request.
    pub fn begin_value(&mut self, slot: ReplySlot, format: BodyFormat, length: usize) {
        let Some((client, position)) = self.find_slot(slot) else { return };
        let Slot::Waiting(id, protocol) = client.slots[position] else { return };
        let mut head = Vec::new();
        Reply::write_head(format, length, protocol, &mut head);
        client.slots[position] = Slot::Streaming { id, protocol, queued: Vec::new(), paused: false };
        self.append_value(slot, &head);
    }

    /// Appends bytes to a streamed value. Returns false if the sender has to pause until [`ClientEvent::ReadyForMore`].
    ///
    /// The value that is next in order has a share of its own: if it had to share with those behind it, it would wait for
    /// them, and they wait for it.
    pub fn append_value(&mut self, slot: ReplySlot, bytes: &[u8]) -> bool {
        let share = self.unread_share();
        let Some((client, position)) = self.find_slot(slot) else { return true };
        let Slot::Streaming { queued, paused, .. } = &mut client.slots[position] else { return true };
        let unread_bytes = if position == 0 {
            client.output.extend_from_slice(bytes);
            client.output.len() - client.written
        } else {
            queued.extend_from_slice(bytes);
            client.queued_bytes += bytes.len();
            client.queued_bytes
        };
        let has_room = unread_bytes <= share;
        *paused = !has_room;
        self.unread_bytes += bytes.len();
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
        client.slots[position] = Slot::Ready(queued);
        self.unread_bytes += tail_length;
        self.advance(slot.client);
    }

    /// Closes the connection of a value that can't be completed, which is how the client recognises the failure.
    pub fn abort_value(&mut self, slot: ReplySlot) {
        if let Some((client, position)) = self.find_slot(slot) {
            client.slots.remove(position);
            self.remove(slot.client);
        }
    }
}
