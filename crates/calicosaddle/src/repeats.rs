//! When a request that may have run may be sent again.

use crate::api::{Class, Nanos, RetrySafety};

/// Margin before the end of the deduplication window, for the time that a request takes to reach the server.
const DEDUP_MARGIN: Nanos = 100_000_000;

impl Class {
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
