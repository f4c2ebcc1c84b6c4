//! Answer times: per class, as the measure of what is usual, and per server, as the measure by which slow servers
//! give up buckets.

use super::Balancer;
use crate::api::Nanos;

/// Least fraction of its buckets that a server keeps.
///
/// Servers give up buckets because the weights in the list do not reflect speed: a server that gets more than it can
/// serve in time answers late long before it rejects anything. The rule covers any lasting difference between load
/// and capacity: small machines, neighbours that use the core, hot buckets, a fleet that shrank.
/// The cost: each bucket that moves is fetched again, so buckets that move fast, or for random differences, overload
/// the origin with fetches.
const MIN_BUCKET_FRACTION: f64 = 0.1;
/// Relative change of the fraction per answer where the ratio of the score to the mean is at least 1 off the tolerance.
const BUCKET_FRACTION_GAIN: f64 = 0.015;
/// A server gives up buckets when its latency score exceeds this multiple of the mean over the servers.
const LATENCY_SCORE_TOLERANCE: f64 = 1.3;
/// Least mean score that servers are compared with; differences between lower scores don't matter.
const MIN_MEAN_LATENCY_SCORE: f64 = 0.1;
/// Weight of an answer in the mean score of all servers, and in the score of its own server.
const MEAN_SCORE_GAIN: f64 = 0.005;
const SERVER_SCORE_GAIN: f64 = 0.05;

/// Statistics of a request class.
#[derive(Clone, Default)]
pub(super) struct ClassStats {
    /// Moving mean of the answer time in nanoseconds, and moving mean of the absolute deviation from it.
    pub(super) mean: f64,
    pub(super) deviation: f64,
    pub(super) answers: f64,
    /// The time that most requests arrive with, and the majority counter behind it.
    pub(super) common_remaining: Nanos,
    pub(super) common_votes: u32,
    /// Moving mean of the expected work, where requests state it; 0 while unknown.
    pub(super) mean_expected_work: f64,
}

impl Balancer {
    /// Returns the statistics of a class.
    pub(super) fn stats_of(&self, class: usize) -> ClassStats {
        self.class_stats.get(class).cloned().unwrap_or_default()
    }

    /// Records a latency score of a server and moves the fraction of its buckets that it keeps. The score is the
    /// squared ratio of answer time to latency target: one late answer weighs more than two quick ones.
    pub(super) fn record_latency_score(&mut self, index: u32, score: f64) {
        self.mean_latency_score += MEAN_SCORE_GAIN * (score - self.mean_latency_score);
        let server = &mut self.servers[index as usize];
        server.latency_score += SERVER_SCORE_GAIN * (score - server.latency_score);
        let excess = server.latency_score / self.mean_latency_score.max(MIN_MEAN_LATENCY_SCORE)
            - LATENCY_SCORE_TOLERANCE;
        server.bucket_fraction = (server.bucket_fraction
            * (1.0 - BUCKET_FRACTION_GAIN * excess.clamp(-1.0, 1.0)))
        .clamp(MIN_BUCKET_FRACTION, 1.0);
    }
}
