//! The attempts of a write that may have reached a cache node. No sockets here.

use addresses::AddressId;
use calicosaddle::api::ServerId;

/// An attempt whose last byte was written.
#[derive(Clone, Copy, Debug)]
pub struct WrittenAttempt {
    /// The node that it was written to.
    pub server: ServerId,
    /// The address that it was written over.
    pub address: AddressId,
}

/// The attempts of a write whose last byte was written, so that a node may have carried them out.
#[derive(Debug, Default)]
pub struct WriteHistory(Vec<WrittenAttempt>);

impl WriteHistory {
    /// Records an attempt whose last byte was written.
    pub fn record(&mut self, attempt: WrittenAttempt) {
        self.0.push(attempt);
    }

    /// The address over which the write may have reached this node, whether or not the address is still listed.
    pub fn address_at(&self, server: ServerId) -> Option<AddressId> {
        self.0.iter().find(|attempt| attempt.server == server).map(|attempt| attempt.address)
    }
}
