//! Arriving requests: admission, the first attempt, or a rejection.

use super::affinity::{Bucket, BUCKET_COUNT};
use super::attempts::{MAX_RETRY_BUDGET, MIN_TIME_FRACTION};
use super::hash::mix;
use super::request::OpenRequest;
use super::Balancer;
use crate::api::*;

/// What each request adds to the retry budget, in retries or hedges.
const RETRY_BUDGET_PER_REQUEST: f64 = 0.1;
/// Weight of a request in the mean expected work of its class.
const EXPECTED_WORK_GAIN: f64 = 0.03;
/// Most work of a request relative to the mean of its class.
const MAX_WORK_SCALE: f64 = 10.0;
/// Two times left count as the same if they differ by less than the deadline divided by this.
const REMAINING_TOLERANCE_DIVISOR: Nanos = 40;
/// Limit of the majority counter for the common time left.
const MAX_COMMON_VOTES: u32 = 50;

impl Balancer {
    /// Handles a request that arrived.
    pub(super) fn handle_arrival(&mut self, now: Nanos, request: Request, actions: &mut Vec<Action>) {
        self.count_request(now);
        self.retry_budget = (self.retry_budget + RETRY_BUDGET_PER_REQUEST).min(MAX_RETRY_BUDGET);
        let class = self.settings.classes.get(request.class as usize).cloned().unwrap_or_default();
        let (target, work_scale) = self.target_and_work_scale(&request, &class);
        // A request with less than three quarters of the latency target of its class left often fails at healthy
        // servers too, so it doesn't count for admission control. Neither does a late retry, which can't be served
        // in time however fast the servers are. The cost: if no request has that time, nothing is ever rejected.
        let has_time = request.remaining >= class.latency_target / 4 * 3;
        let hopeless = class.late_value <= 0.0
            && (target as f64) < MIN_TIME_FRACTION * self.stats_of(request.class as usize).mean;
        let bucket = request.key.map(|key| (mix(key) % BUCKET_COUNT) as u32);
        let open = OpenRequest {
            class: request.class as usize,
            bucket,
            write: request.write,
            work_scale,
            target_at: now + target,
            deadline: now + request.remaining,
            streaming: false,
            counts_for_admission: has_time && !hopeless,
            likely_hit: self.is_likely_hit(bucket, request.write),
            arrived_at: now,
            attempts: Vec::new(),
        };
        let rejection = self.rejection_probability(now, open.class, open.likely_hit);
        if rejection > 0.0 && (self.random_unit() < rejection || hopeless) {
            self.open_requests.insert(request.id, open);
            self.reject_or_fail(request.id, actions);
            return;
        }
        let mut spread = 1;
        if let Some(bucket_index) = bucket {
            self.rank_servers(bucket_index);
            spread = self.count_bucket_request(now, bucket_index);
        }
        let server = if self.settings.cache_aside && request.write {
            self.choose_origin(now, &open)
        } else {
            self.choose_server(now, &open, spread)
        };
        self.open_requests.insert(request.id, open);
        match server {
            Some(server) if request.remaining > 0 => self.send_attempt(now, request.id, server, actions),
            _ => self.reject_or_fail(request.id, actions),
        }
    }

    /// Returns the time until the latency target of a request and its work relative to its class.
    fn target_and_work_scale(&mut self, request: &Request, class: &Class) -> (Nanos, f64) {
        let mut target = class.latency_target.min(request.remaining);
        let mut work_scale = 1.0;
        if let Some(stats) = self.class_stats.get_mut(request.class as usize) {
            if let Some(work) = request.expected_work.filter(|work| *work > 0) {
                let gain = if stats.mean_expected_work > 0.0 { EXPECTED_WORK_GAIN } else { 1.0 };
                stats.mean_expected_work += gain * (work as f64 - stats.mean_expected_work);
                work_scale = (work as f64 / stats.mean_expected_work).clamp(1.0, MAX_WORK_SCALE);
            }
            // Most requests are first tries and arrive with the same time left, which a majority vote finds. Any
            // other time left is that of a retry, and shows when the client began.
            let common = stats.common_remaining.abs_diff(request.remaining)
                < class.deadline / REMAINING_TOLERANCE_DIVISOR;
            if common {
                stats.common_votes = (stats.common_votes + 1).min(MAX_COMMON_VOTES);
            } else if stats.common_votes == 0 {
                stats.common_remaining = request.remaining;
            } else {
                stats.common_votes -= 1;
                let elapsed = class.deadline.saturating_sub(request.remaining);
                target = target.min(class.latency_target.saturating_sub(elapsed));
            }
        }
        (target, work_scale)
    }

    /// Reports whether a request is expected to be a hit. Likely hits have an admission control of their own: if
    /// misses overload the origin, hits still succeed, and would hide the overload or be rejected with the misses.
    fn is_likely_hit(&self, bucket: Option<u32>, write: bool) -> bool {
        let hit_recently = |bucket: &Bucket| {
            bucket.pin.is_some() || bucket.windows.iter().any(|window| window.outcomes & 1 == 1)
        };
        let likely = bucket.and_then(|b| self.buckets.get(&b)).is_some_and(hit_recently);
        // If the proxy itself asks the origin, a read counts as a hit until it has missed.
        if self.settings.cache_aside {
            !write
        } else {
            likely
        }
    }
}
