//! Concurrency limit of each server (additive increase, multiplicative decrease).
//!
//! The limit keeps this proxy from filling places that a slow server, or one shared with other proxies, does not
//! have: each rejected attempt costs a round trip and is a miss at another server all the same. It covers any loss of
//! capacity that nothing reports. The cost: a server that rejects for another reason keeps fewer of its keys.

use super::server::Server;

/// Concurrent attempts that a server gets from this proxy at first, and at most.
pub(super) const INITIAL_CONCURRENCY_LIMIT: f64 = 4.0;
const MAX_CONCURRENCY_LIMIT: f64 = 16.0;
/// What each answer adds to the limit.
const ADDITIVE_INCREASE: f64 = 0.03;
/// What is left of the limit, or of the attempts in flight where they are fewer, after a rejected attempt.
const MULTIPLICATIVE_DECREASE: f64 = 0.85;

impl Server {
    /// Lowers the concurrency limit after a rejected attempt.
    pub(super) fn decrease_concurrency_limit(&mut self) {
        self.concurrency_limit =
            (MULTIPLICATIVE_DECREASE * self.concurrency_limit.min(self.inflight)).max(1.0);
    }

    /// Raises the concurrency limit after an answer.
    pub(super) fn increase_concurrency_limit(&mut self) {
        self.concurrency_limit = (self.concurrency_limit + ADDITIVE_INCREASE).min(MAX_CONCURRENCY_LIMIT);
    }
}
