//! Health of servers and zones: outlier ejection with exponential backoff and half-open probes.

use super::server::Server;
use super::{Balancer, SECOND};
use crate::api::*;

/// Consecutive failures over all servers of another zone that eject the whole zone for about a second.
const ZONE_EJECTION_FAILURES: u32 = 5;
/// Further failures after the end of that ejection that eject the zone again.
const ZONE_REEJECTION_FAILURES: u32 = 2;
/// Consecutive broken connections and unreadable answers that eject a server.
const BROKEN_LIMIT: u32 = 6;
/// Failures that a run of broken connections counts as; a late answer counts as one.
const BROKEN_WEIGHT: u32 = 2;
/// Bounds of the shortest ejection of a server, in seconds.
const MIN_EJECTION_S: f64 = 2.0;
const MAX_EJECTION_S: f64 = 25.0;
/// A server's ejection grows to at most this multiple of its shortest one.
const MAX_EJECTION_GROWTH: Nanos = 4;

/// The length of an ejection is multiplied by a random factor from this value up to this value plus the range.
const MIN_JITTER: f64 = 0.75;
const JITTER_RANGE: f64 = 0.5;
/// Least request rate that intervals are computed from, in requests per second.
const MIN_REQUEST_RATE: f64 = 0.01;

/// Health of another zone.
#[derive(Default)]
pub(super) struct ZoneHealth {
    /// Failures in a row over all its servers.
    failures: u32,
    /// Its servers get no new requests before this time.
    ejected_until: Nanos,
}

impl Balancer {
    /// Reports whether new requests may go to a server: it is eligible, and neither it nor its zone is ejected.
    pub(super) fn is_usable(&self, now: Nanos, server: &Server) -> bool {
        let zone_ejected = self.zone_health.get(&server.entry.zone).is_some_and(|z| z.ejected_until > now);
        self.is_eligible(server) && server.ejected_until <= now && !zone_ejected
    }

    /// Returns the number of listed servers, without the origin, that get no new requests now.
    pub fn unavailable_servers(&self, now: Nanos) -> usize {
        let listed = |server: &&Server| server.entry.state != ServerState::Removed && !self.is_origin(server);
        self.servers.iter().filter(listed).filter(|server| !self.is_usable(now, server)).count()
    }

    /// Records a failure of a server and ejects the server, or its zone, after enough of them. `weight` is the number
    /// of failures that it counts as.
    pub(super) fn record_failure(&mut self, now: Nanos, id: ServerId, weight: u32) {
        let jitter = MIN_JITTER + JITTER_RANGE * self.random_unit();
        // This proxy sends to its subset alone, but the whole fleet counts for how often all proxies together
        // probe a server.
        let rate = self.request_rate(now).max(MIN_REQUEST_RATE);
        let send_interval_s = self.subset.len() as f64 / rate;
        let shortest =
            ((self.eligible_count / rate).clamp(MIN_EJECTION_S, MAX_EJECTION_S) * SECOND as f64) as Nanos;
        let Some(&index) = self.index_by_id.get(&id) else { return };
        let server = &mut self.servers[index as usize];
        server.consecutive_failures += weight;
        if server.entry.zone != self.settings.zone {
            // Without this, each server of an unreachable zone would have to be found silent on its own, at the
            // cost of requests.
            let zone = self.zone_health.entry(server.entry.zone).or_default();
            zone.failures += 1;
            if zone.failures >= ZONE_EJECTION_FAILURES && zone.ejected_until <= now {
                zone.ejected_until = now + (SECOND as f64 * jitter) as Nanos;
                zone.failures = ZONE_EJECTION_FAILURES - ZONE_REEJECTION_FAILURES;
            }
        }
        // A proxy that sends a server less than one request per second can't wait for a second failure.
        let probe = std::mem::take(&mut server.half_open_probe);
        if server.consecutive_failures > u32::from(send_interval_s < 1.0)
            && (probe || server.ejected_until <= now)
        {
            // A silent server gets one request each time its ejection runs out; if that fails too, the backoff
            // doubles. It must outlast the interval at which this proxy sends to the server, or it would have no
            // effect.
            server.ejection_backoff =
                (server.ejection_backoff * 2).clamp(shortest, MAX_EJECTION_GROWTH * shortest);
            server.ejected_until = now + (server.ejection_backoff as f64 * jitter) as Nanos;
        }
    }

    /// Records an unreadable answer or a broken connection. Only many in a row count as a failure.
    ///
    /// A single one is weak evidence: the server most likely works and holds the key by now; a server that died
    /// refuses the next connection. If one answer in ten breaks at random, two in a row come every few seconds at
    /// each server; ejecting servers for that would keep most of the fleet ejected, and its keys would be fetched
    /// elsewhere. A server that breaks every answer is ejected like a silent one.
    pub(super) fn record_broken(&mut self, now: Nanos, id: ServerId) {
        let Some(&index) = self.index_by_id.get(&id) else { return };
        let server = &mut self.servers[index as usize];
        server.consecutive_broken += 1;
        if server.consecutive_broken >= BROKEN_LIMIT {
            server.consecutive_broken = 0;
            self.record_failure(now, id, BROKEN_WEIGHT);
        }
    }

    /// Clears the failures of a server and its zone after a success.
    pub(super) fn clear_failures(&mut self, id: ServerId) {
        if let Some(&index) = self.index_by_id.get(&id) {
            let server = &mut self.servers[index as usize];
            server.consecutive_broken = 0;
            (
                server.consecutive_failures,
                server.ejected_until,
                server.ejection_backoff,
                server.half_open_probe,
            ) = (0, 0, 0, false);
            self.zone_health.remove(&server.entry.zone);
        }
    }
}
