//! Slow start: a server that was started recently gets few buckets and few requests, more as it warms up.

use super::admission::ADMISSION_MEMORY_S;
use super::hash::{mix, unit};
use super::server::Server;
use super::{Balancer, MIN_DIVISOR, SECOND};
use crate::api::Nanos;

/// Fraction of a recovering server's overload threshold that all proxies together send it.
const SAFE_LOAD_FRACTION: f64 = 0.4;
/// Salt of the hash that orders the buckets which a recovering server takes on one by one.
const BUCKET_ORDER_SALT: u64 = 0xc01d;

impl Balancer {
    /// Returns the warm-up fraction of a server: the fraction of its full capacity that it is sure to have now.
    pub(super) fn warm_up_fraction(&self, now: Nanos, server: &Server) -> f64 {
        if server.entry.started_at == 0 || self.settings.slow_start_duration == 0 {
            return 1.0;
        }
        let age =
            now.saturating_sub(server.entry.started_at) as f64 / self.settings.slow_start_duration as f64;
        let initial = self.settings.slow_start_initial_fraction.clamp(0.0, 1.0);
        (initial + (1.0 - initial) * age).min(1.0)
    }

    /// Reports whether a server serves a bucket now. A recovering server takes on buckets in the order of a hash of
    /// both as its warm-up fraction grows, and a slow server gives up buckets in the opposite order: all proxies let
    /// it serve nearly the same buckets.
    pub(super) fn serves_bucket(&self, now: Nanos, bucket_index: u32, server: &Server) -> bool {
        let fraction = self.warm_up_fraction(now, server).min(server.bucket_fraction);
        fraction >= 1.0
            || unit(mix(server.entry.server ^ mix(u64::from(bucket_index) ^ BUCKET_ORDER_SALT))) < fraction
    }

    /// Reports whether slow start lets one more attempt of this proxy through to a server, and with `take` counts
    /// it. A server that has warmed up is not limited. Without this limit, a burst of requests for popular keys
    /// soon after a start overloads the recovering server permanently.
    pub(super) fn slow_start_allows(&mut self, now: Nanos, index: u32, take: bool) -> bool {
        let server = &self.servers[index as usize];
        let warm = self.warm_up_fraction(now, server);
        if warm >= 1.0 {
            return true;
        }
        // Over all proxies that have the server in their subset, these rates add up to its even share of all
        // traffic. A proxy that does not have it there would add traffic that the others do not allow for.
        if !server.in_subset {
            return false;
        }
        let share = 1.0 / server.inverse_weight / self.subset_weight.max(MIN_DIVISOR);
        let own_rate = self.request_rate(now).min(self.recent_successes / ADMISSION_MEMORY_S + 1.0);
        let rate = SAFE_LOAD_FRACTION * self.settings.overload_multiple * warm * share * own_rate;
        let window = self.settings.overload_duration as f64 / SECOND as f64;
        let server = &mut self.servers[index as usize];
        let elapsed = now.saturating_sub(server.slow_start_tokens_at) as f64 / SECOND as f64;
        server.slow_start_tokens = (server.slow_start_tokens + elapsed * rate).min((rate * window).max(1.0));
        server.slow_start_tokens_at = now;
        let allowed = server.slow_start_tokens >= 1.0;
        if allowed && take {
            server.slow_start_tokens -= 1.0;
        }
        allowed
    }
}
