//! Streaming of long values from a cache node to the client. The request counts as answered once the first part of the
//! value has been passed to the client: the balancer then treats it as complete, and no other answer can replace it.
//!
//! Streaming bounds memory for values of any length: no more is read from the node than the client accepts, so that a
//! slow client holds up the node through TCP flow control. When a value breaks off of which a part has been passed on, the
//! client's connection has to be closed, because a client has no other way to tell that the value is incomplete; the
//! requests pipelined behind it end with the connection.

use crate::observers::{FinalResult, Notification};
use crate::request::ReplySlot;
use crate::Proxy;
use calicosaddle::api::RequestId;
use resp::{BodyFormat, Reply};
use rustc_hash::FxHashMap;

/// A value that is being streamed.
#[derive(Debug)]
struct StreamedValue {
    slot: ReplySlot,
    class: u32,
    /// The attempt whose value it is. Another one may bring a value, too, where attempts can't be cancelled.
    attempt: u32,
    /// The node connection that it arrives on.
    connection: usize,
}

/// All values that are being streamed.
#[derive(Debug, Default)]
pub struct StreamedValues(FxHashMap<RequestId, StreamedValue>);

impl StreamedValues {
    /// Whether the value of this request is being streamed.
    pub fn contains(&self, id: RequestId) -> bool {
        self.0.contains_key(&id)
    }

    /// The value of a request, if it is this attempt's.
    fn of_attempt(&self, id: RequestId, attempt: u32) -> Option<&StreamedValue> {
        self.0.get(&id).filter(|value| value.attempt == attempt)
    }

    /// The number of values being streamed.
    pub fn len(&self) -> usize {
        self.0.len()
    }
}

impl Proxy {
    /// Begins to stream an attempt's value that starts to arrive on a node connection. If its request is already answered,
    /// the value is dropped as it arrives.
    pub(crate) fn start_stream(
        &mut self,
        id: RequestId,
        attempt: u32,
        connection: usize,
        format: BodyFormat,
        length: usize,
    ) {
        let Some((slot, class)) = self.requests.mark_answered(id) else { return };
        // Another request with its id would be taken for it until the value is complete.
        self.requests.keep_id(id);
        self.clients.begin_value(slot, format, length);
        self.streamed_values.0.insert(id, StreamedValue { slot, class, attempt, connection });
    }

    /// Forwards a part of a value, and stops reading from the node if the client cannot take more.
    pub(crate) fn forward_part(&mut self, id: RequestId, attempt: u32, bytes: &[u8]) {
        let Some(value) = self.streamed_values.of_attempt(id, attempt) else { return };
        if !self.clients.append_value(value.slot, bytes) {
            self.boxes.set_paused(value.connection, id, true, self.event_loop.now);
        }
    }

    /// Resumes reading from the node once the client can take more.
    pub(crate) fn resume_stream(&mut self, id: RequestId) {
        if let Some(value) = self.streamed_values.0.get(&id) {
            self.boxes.set_paused(value.connection, id, false, self.event_loop.now);
        }
    }

    /// Ends the streaming of a value, and lets the id of its request be used again.
    fn end_stream(&mut self, id: RequestId) -> Option<StreamedValue> {
        let value = self.streamed_values.0.remove(&id)?;
        self.requests.release_id(id);
        Some(value)
    }

    /// Completes a value that has arrived in full.
    pub(crate) fn finish_stream(&mut self, id: RequestId, attempt: u32, reply: &Reply) {
        if self.streamed_values.of_attempt(id, attempt).is_none() {
            return;
        }
        let Some(value) = self.end_stream(id) else { return };
        self.observers.notify(Notification::Answered(FinalResult::Served, value.class));
        self.clients.finish_value(value.slot, reply);
    }

    /// Fails a value that broke off at the node, with the client's connection if a part has been passed on.
    pub(crate) fn abort_stream(&mut self, id: RequestId, attempt: u32) {
        if self.streamed_values.of_attempt(id, attempt).is_none() {
            return;
        }
        let Some(value) = self.end_stream(id) else { return };
        self.observers.notify(Notification::Answered(FinalResult::Failed, value.class));
        self.clients.abort_value(value.slot);
    }

    /// Stops streaming a value whose client has disconnected.
    pub(crate) fn cancel_stream(&mut self, id: RequestId) {
        let Some(value) = self.end_stream(id) else { return };
        self.observers.notify(Notification::Abandoned);
        self.boxes.stop_streaming(value.connection, id);
    }
}
