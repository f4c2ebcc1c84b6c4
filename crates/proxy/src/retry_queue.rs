//! Connections whose transfer failed for lack of something on this machine, and is tried again after a short wait. Readiness
//! events don't tell when that is worthwhile.

use crate::io_error::LOCAL_RETRY_DELAY;
use calicosaddle::api::Nanos;
use std::collections::VecDeque;

/// Keys of connections, by when they are tried again.
#[derive(Debug, Default)]
pub struct RetryQueue(VecDeque<(Nanos, usize)>);

impl RetryQueue {
    /// Lists a connection to be tried again. Its key may belong to another one by then.
    pub fn push(&mut self, key: usize, now: Nanos) {
        self.0.push_back((now + LOCAL_RETRY_DELAY, key));
    }

    /// When the next connection is due.
    pub fn next_due(&self) -> Option<Nanos> {
        self.0.front().map(|(due, _)| *due)
    }

    /// Takes the next connection that is due.
    pub fn pop_due(&mut self, now: Nanos) -> Option<usize> {
        self.next_due().filter(|due| *due <= now)?;
        self.0.pop_front().map(|(_, key)| key)
    }
}
