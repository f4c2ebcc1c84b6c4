//! The ids that clients gave to requests which are open, or whose effect may still come. No sockets here.

use crate::platform::shared_ids::{IdClaim, SharedIds};
use calicosaddle::api::RequestId;
use rustc_hash::FxHashMap;
use std::collections::HashSet;

/// The most ids that are kept after their requests have ended. Further ones are free at once.
const MAX_KEPT_IDS: usize = 8_192;

/// The ids in use. Clients choose them, so the hash is keyed.
#[derive(Debug, Default)]
pub struct ClientIds {
    in_use: HashSet<Box<[u8]>>,
    /// The same at all processes that serve this listening socket.
    shared: Option<SharedIds>,
    /// Ids of requests that have ended, by the request.
    kept: FxHashMap<RequestId, Box<[u8]>>,
}

impl ClientIds {
    /// No ids; those that are taken are shared with other processes, if there is a table for it.
    pub fn new(shared: Option<SharedIds>) -> Self {
        ClientIds { shared, ..ClientIds::default() }
    }

    /// Takes an id unless it is in use.
    pub fn take(&mut self, id: &[u8]) -> IdClaim {
        if self.in_use.contains(id) {
            return IdClaim::InUse;
        }
        let claim = self.shared.as_ref().map_or(IdClaim::Taken, |shared| shared.take(id));
        if claim == IdClaim::Taken {
            self.in_use.insert(id.into());
        }
        claim
    }

    /// Frees the id of a request that has ended.
    pub fn free(&mut self, id: &[u8]) {
        self.in_use.remove(id);
        self.shared.iter().for_each(|shared| shared.free(id));
    }

    /// Keeps the id of a request that has ended until [`ClientIds::release`].
    pub fn keep(&mut self, request: RequestId, id: &[u8]) {
        if self.kept.len() < MAX_KEPT_IDS {
            self.kept.insert(request, id.into());
        } else {
            self.free(id);
        }
    }

    /// Frees the id that was kept for a request, if there is one.
    pub fn release(&mut self, request: RequestId) {
        if let Some(id) = self.kept.remove(&request) {
            self.free(&id);
        }
    }
}
