//! Decaying counts of requests: of the whole proxy and of each bucket.

use super::affinity::RANKING_SIZE;
use super::{Balancer, SECOND};
use crate::api::Nanos;

/// Time constant of the counts, in seconds.
const TRAFFIC_MEMORY_S: f64 = 64.0;
/// Fraction of one server's even share of the requests above which a bucket is spread over more servers.
const HOT_BUCKET_SHARE: f64 = 0.6;
/// Least time since the first event that the request rate is computed for, in seconds.
const MIN_UPTIME_S: f64 = 0.5;

impl Balancer {
    /// Counts a request of this proxy.
    pub(super) fn count_request(&mut self, now: Nanos) {
        let elapsed = now.saturating_sub(self.counted_at) as f64 / SECOND as f64;
        self.request_count = self.request_count * (-elapsed / TRAFFIC_MEMORY_S).exp() + 1.0;
        self.counted_at = now;
    }

    /// Returns this proxy's recent requests per second: the decaying count divided by the weight of the time that it
    /// covers, which is less than the time constant soon after the start.
    pub(super) fn request_rate(&self, now: Nanos) -> f64 {
        let uptime = now.saturating_sub(self.started_at.unwrap_or(now)) as f64 / SECOND as f64;
        self.request_count / (TRAFFIC_MEMORY_S * (1.0 - (-uptime.max(MIN_UPTIME_S) / TRAFFIC_MEMORY_S).exp()))
    }

    /// Counts a request of a bucket; returns the number of servers to spread the bucket over.
    pub(super) fn count_bucket_request(&mut self, now: Nanos, bucket_index: u32) -> usize {
        let decay = |at: Nanos| (-(now.saturating_sub(at) as f64) / (TRAFFIC_MEMORY_S * SECOND as f64)).exp();
        let Some(bucket) = self.buckets.get_mut(&bucket_index) else { return 1 };
        bucket.request_count = bucket.request_count * decay(bucket.counted_at) + 1.0;
        bucket.counted_at = now;
        bucket.rotation = bucket.rotation.wrapping_add(1);
        // With few requests, the share of a bucket is uncertain, so it is estimated one standard deviation lower.
        // The first keys that a proxy sees are likely to be popular ones: without this, hundreds of proxies that
        // have just started would all send a popular key to one server.
        let lower_bound = bucket.request_count - bucket.request_count.sqrt();
        ((lower_bound / self.request_count.max(1.0) * self.eligible_count / HOT_BUCKET_SHARE).ceil() as usize)
            .clamp(1, RANKING_SIZE)
    }
}
