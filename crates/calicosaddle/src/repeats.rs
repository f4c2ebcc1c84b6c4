//! When a request that may have run may be sent again, by the proxy or by its client.

use crate::api::{Class, DedupScope, Nanos, RetrySafety};

/// Margin before the end of the deduplication window, for the time that a request takes to reach the server.
const DEDUP_MARGIN: Nanos = 100_000_000;

impl Class {
    /// Whether a request of this class may be refused, which promises that a retry is harmless. `may_have_run` says whether
    /// an attempt of it may have run.
    pub fn may_be_refused(&self, may_have_run: bool) -> bool {
        match self.retry_safety {
            RetrySafety::Safe => true,
            RetrySafety::Keyed => !may_have_run || self.dedup_scope == DedupScope::All,
            RetrySafety::Unsafe => !may_have_run,
        }
    }

    /// How long after the send of an attempt that may have run another attempt may be sent; `None` if at any time.
    ///
    /// It holds for the moment in which the last byte of the other attempt is sent, whichever attempt was begun first.
    pub fn repeat_window(&self) -> Option<Nanos> {
        match self.retry_safety {
            RetrySafety::Safe => None,
            RetrySafety::Keyed => Some(self.dedup_window.saturating_sub(DEDUP_MARGIN)),
            RetrySafety::Unsafe => Some(0),
        }
    }
}
