//! The attempts of a request that may have been carried out by a cache node, and what they forbid to its other attempts.
//! No sockets here.

use addresses::AddressId;
use calicosaddle::api::{Class, Nanos, ServerId};

/// Where a connection to a cache node leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// The address.
    pub address: AddressId,
    /// When the node's process was started. Another process at the same address is another endpoint.
    pub process_started_at: Nanos,
}

/// An attempt whose last byte was written.
#[derive(Clone, Copy, Debug)]
pub struct WrittenAttempt {
    /// Its number within the request.
    pub attempt: u32,
    /// The node that it was written to.
    pub server: ServerId,
    /// Where the connection that carried it leads.
    pub endpoint: Endpoint,
    /// When its last byte was written.
    pub written_at: Nanos,
}

/// The attempts of a request whose last byte was written, except those that are known not to have run.
#[derive(Debug, Default)]
pub struct WriteHistory {
    /// How long after an attempt another one may be written; `None` if at any time.
    repeat_window: Option<Nanos>,
    written: Vec<WrittenAttempt>,
}

impl WriteHistory {
    /// The history of a request of this class without an attempt.
    pub fn new(class: Option<&Class>) -> Self {
        WriteHistory { repeat_window: class.and_then(Class::repeat_window), written: Vec::new() }
    }

    /// Whether an attempt that may have been carried out limits when others may be written.
    pub fn limits_repeats(&self) -> bool {
        self.repeat_window.is_some()
    }

    /// Whether no attempt may have been carried out.
    pub fn is_empty(&self) -> bool {
        self.written.is_empty()
    }

    /// Records an attempt whose last byte was written.
    pub fn record(&mut self, attempt: WrittenAttempt) {
        self.written.push(attempt);
    }

    /// Removes an attempt that is known not to have run.
    pub fn remove(&mut self, attempt: u32) {
        self.written.retain(|written| written.attempt != attempt);
    }

    /// Where the request may have reached this node, whether or not the node is still there.
    pub fn endpoint_at(&self, server: ServerId) -> Option<Endpoint> {
        self.written.iter().find(|written| written.server == server).map(|written| written.endpoint)
    }

    /// From when on no attempt but the one written last may be written any more; `None` if there is no such time.
    pub fn repeat_limit(&self) -> Option<Nanos> {
        Some(self.written.last()?.written_at + self.repeat_window?)
    }

    /// From when on the last byte of this attempt may no longer be written, because another attempt may have been carried
    /// out; `None` if that is not so.
    pub fn send_limit(&self, attempt: u32) -> Option<Nanos> {
        let window = self.repeat_window?;
        let others = self.written.iter().filter(|written| written.attempt != attempt);
        others.map(|written| written.written_at + window).min()
    }

    /// Whether the last byte of this attempt may be written.
    pub fn allows(&self, attempt: u32, now: Nanos) -> bool {
        self.send_limit(attempt).is_none_or(|limit| now < limit)
    }
}
