//! Idle connections: which of them are not worth keeping.

use super::Balancer;
use crate::api::Nanos;

/// Fraction of outcomes with refused connections above which the servers are taken to be short of connections.
const CONNECT_FAILED_LIMIT: f64 = 0.005;
/// Mean time between two requests to a server beyond which its idle connections are closed when servers refuse
/// connections, in seconds.
const MAX_IDLE_S: f64 = 0.3;
/// Open connections at each server that [`crate::api::Settings::connection_price`] is the price of.
const CONNECTIONS_PER_PRICE: f64 = 100.0;
/// Least request rate that intervals are computed from, in requests per second.
const MIN_REQUEST_RATE: f64 = 1e-3;

impl Balancer {
    /// Reports whether an idle connection to a server is not worth keeping until this proxy needs it again. If many
    /// proxies keep connections to every server, the servers run out of connections and refuse proxies that have
    /// none.
    pub(super) fn should_close_idle(&self, now: Nanos, index: u32) -> bool {
        let server = &self.servers[index as usize];
        let rate = self.request_rate(now).max(MIN_REQUEST_RATE);
        let send_interval_s = self.subset_weight * server.inverse_weight / rate;
        let (idle_price, new_price) = (self.settings.connection_price, self.settings.handshake_price);
        let fleet_rate = rate * f64::from(self.settings.proxy_count.max(1));
        let too_expensive = idle_price > 0.0
            && send_interval_s * idle_price / (CONNECTIONS_PER_PRICE * self.eligible_count.max(1.0))
                > new_price / fleet_rate;
        // The connections of a real subset are few enough to keep. If they were closed because of what one lost zone
        // refuses, all proxies would open all of them again.
        let whole_fleet = self.subset.len() as f64 >= self.eligible_count;
        !self.is_origin(server)
            && (too_expensive
                || (whole_fleet
                    && self.connect_failed_ratio > CONNECT_FAILED_LIMIT
                    && send_interval_s > MAX_IDLE_S))
    }
}
