//! State that the balancer keeps for each listed server.

use crate::api::{Nanos, ServerEntry};

/// A listed server and everything learned about it.
#[derive(Default)]
pub(super) struct Server {
    /// Its entry in the list that was received last.
    pub(super) entry: ServerEntry,
    /// Drained by an operator: it gets no new requests, regardless of the list.
    pub(super) operator_drained: bool,
    /// This proxy sends to it.
    pub(super) in_subset: bool,
    /// 1 / weight, by which rendezvous scores are multiplied.
    pub(super) inverse_weight: f64,
    /// Attempts of this proxy that have not ended.
    pub(super) inflight: f64,

    /// Failures since the last success, weighted by how certain each one is.
    pub(super) consecutive_failures: u32,
    /// Unreadable answers and broken connections since the last success.
    pub(super) consecutive_broken: u32,
    /// It gets no new requests before this time.
    pub(super) ejected_until: Nanos,
    /// Length of its last ejection without the random factor; 0 after a success.
    pub(super) ejection_backoff: Nanos,
    /// A request was sent to it after its ejection ran out, and has not ended.
    pub(super) half_open_probe: bool,

    /// Token bucket that limits attempts during slow start.
    pub(super) slow_start_tokens: f64,
    pub(super) slow_start_tokens_at: Nanos,

    /// Concurrent attempts of this proxy that it serves without rejecting one or answering late.
    pub(super) concurrency_limit: f64,
    /// Moving mean of the squared ratio of answer time to latency target.
    pub(super) latency_score: f64,
    /// Fraction of its buckets that it keeps.
    pub(super) bucket_fraction: f64,
    /// Moving mean of the time of its hits in nanoseconds; 0 while unknown.
    pub(super) mean_hit_latency: f64,
}
