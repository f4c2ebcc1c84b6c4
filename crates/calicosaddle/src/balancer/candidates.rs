//! Choice of the server for an attempt.

use super::affinity::{BUCKET_COUNT, SIGMA};
use super::hash::mix;
use super::request::OpenRequest;
use super::server::Server;
use super::{Balancer, MIN_DIVISOR};
use crate::api::*;

/// A server is too slow for a request if its mean hit latency exceeds this fraction of the time left to the target.
const MAX_HIT_LATENCY_FRACTION: f64 = 0.8;
/// A server has room while it has fewer attempts of this proxy than this number plus this multiple of the mean
/// number for its weight.
const BASE_INFLIGHT: f64 = 2.0;
const MAX_INFLIGHT_RATIO: f64 = 2.0;

impl Balancer {
    /// Chooses the server for the next attempt of a request; its bucket is spread over `spread` servers.
    pub(super) fn choose_server(&mut self, now: Nanos, open: &OpenRequest, spread: usize) -> Option<u32> {
        let bucket_index =
            open.bucket.unwrap_or_else(|| (mix(now ^ self.random_state) % BUCKET_COUNT) as u32);
        let order = self.bucket_order(now, bucket_index, spread)?;
        let fits = |index: &u32| self.can_serve(now, open, &self.servers[*index as usize]);
        let mut order: Vec<u32> = order.into_iter().filter(fits).collect();
        if order.is_empty() {
            // No ranked server fits: take any usable one, this proxy's zone first, in a hash order that depends on
            // the bucket.
            order = (0..self.servers.len() as u32).filter(fits).collect();
            order.sort_by_key(|index| {
                let entry = &self.servers[*index as usize].entry;
                (entry.zone != self.settings.zone, mix(entry.server ^ mix(u64::from(bucket_index))))
            });
        }
        let chosen = self.pick_by_load(now, open, spread, &order)?;
        self.slow_start_allows(now, chosen, true);
        Some(chosen)
    }

    /// Returns the ranked servers that serve a bucket in the order in which they are tried.
    fn bucket_order(&mut self, now: Nanos, bucket_index: u32, spread: usize) -> Option<Vec<u32>> {
        self.rank_servers(bucket_index);
        let mut order = self.candidates(now, bucket_index);
        self.sort_by_affinity(bucket_index, &mut order);
        let bucket = self.buckets.get(&bucket_index)?;
        let rotation = bucket.rotation.wrapping_add(self.settings.proxy_index) as usize;
        for &index in &bucket.ranking {
            if !order.contains(&index) && self.serves_bucket(now, bucket_index, &self.servers[index as usize])
            {
                order.push(index);
            }
        }
        if spread > 1 {
            // The first servers of a hot bucket share it, since it would overload one alone. There may be none: if
            // all ranked servers are in slow start, possibly none serves the bucket yet.
            let shared = spread.min(order.len());
            order[..shared].rotate_left(rotation.checked_rem(shared).unwrap_or(0));
        }
        Some(order)
    }

    /// Reports whether a server may get an attempt of a request at all.
    fn can_serve(&self, now: Nanos, open: &OpenRequest, server: &Server) -> bool {
        // After a broken connection the server most likely still holds the key, and a second attempt there is better
        // than a miss elsewhere: each such miss is a fetch, and broken connections all over the fleet would overload
        // the origin with fetches.
        let mut tried = open.attempts.iter().filter(|a| a.server == server.entry.server);
        self.is_usable(now, server)
            && self.dedup_allows(now, open, server)
            && tried.next().is_none_or(|a| a.broken && tried.next().is_none())
    }

    /// Picks, of the first servers in `order`, the first that has room and is quick enough, else the first that has
    /// room, else the first that slow start allows.
    fn pick_by_load(&mut self, now: Nanos, open: &OpenRequest, spread: usize, order: &[u32]) -> Option<u32> {
        let mean_inflight = self.total_inflight / self.total_weight.max(MIN_DIVISOR);
        let allowed: Vec<u32> =
            order.iter().copied().filter(|&index| self.slow_start_allows(now, index, false)).collect();
        let has_room = |server: &Server| {
            server.inflight
                < server
                    .concurrency_limit
                    .min(BASE_INFLIGHT + MAX_INFLIGHT_RATIO * mean_inflight / server.inverse_weight)
        };
        let left = open.target_at.saturating_sub(now) as f64;
        let is_quick =
            |server: &Server| open.work_scale * server.mean_hit_latency < MAX_HIT_LATENCY_FRACTION * left;
        let first = &allowed[..allowed.len().min(SIGMA.max(spread))];
        let find =
            |fits: &dyn Fn(&Server) -> bool| first.iter().find(|index| fits(&self.servers[**index as usize]));
        let chosen = find(&|server| has_room(server) && is_quick(server))
            .or_else(|| find(&has_room))
            .or(allowed.first());
        chosen.copied()
    }

    /// Reports whether sending the request to this server cannot make it run twice: no attempt may have run yet, or a
    /// repeat is harmless, or this server drops it as a duplicate.
    pub(super) fn dedup_allows(&self, now: Nanos, open: &OpenRequest, server: &Server) -> bool {
        let Some(class) = self.settings.classes.get(open.class) else { return true };
        let mut ran = open.attempts.iter().filter(|a| a.pending || a.may_have_run);
        match class.retry_safety {
            RetrySafety::Safe => true,
            RetrySafety::Unsafe => ran.next().is_none(),
            RetrySafety::Keyed => ran.all(|a| {
                let in_window = class.repeat_window().is_none_or(|window| now < a.sent_at + window);
                in_window
                    && match class.dedup_scope {
                        DedupScope::All => true,
                        DedupScope::Zone => a.zone == server.entry.zone,
                        DedupScope::Cell => a.cell == server.entry.cell && a.zone == server.entry.zone,
                    }
            }),
        }
    }
}
