//! State of requests that have no final answer yet.

use crate::api::{Nanos, ServerId};

/// An attempt of an open request.
pub(super) struct Attempt {
    pub(super) server: ServerId,
    pub(super) zone: u32,
    pub(super) cell: u32,
    pub(super) sent_at: Nanos,
    pub(super) pending: bool,
    pub(super) timed_out: bool,
    /// The connection broke or the answer was unreadable.
    pub(super) broken: bool,
    pub(super) may_have_run: bool,
}

/// A request without a final answer.
pub(super) struct OpenRequest {
    pub(super) class: usize,
    /// The bucket of its key; none for a request without a key.
    pub(super) bucket: Option<u32>,
    pub(super) write: bool,
    /// Its expected work relative to the mean of its class; at least 1, and 1 where unknown.
    pub(super) work_scale: f64,
    /// The time at which its latency target ends.
    pub(super) target_at: Nanos,
    pub(super) deadline: Nanos,
    pub(super) streaming: bool,
    /// Its result is counted by admission control.
    pub(super) counts_for_admission: bool,
    /// It is expected to be a hit: its bucket hit recently, or with a cache-aside origin it is a read that has not
    /// missed yet.
    pub(super) likely_hit: bool,
    pub(super) arrived_at: Nanos,
    pub(super) attempts: Vec<Attempt>,
}
