//! Choice of the server for an attempt.

use super::affinity::{BUCKET_COUNT, SIGMA};
use super::hash::mix;
use super::request::OpenRequest;
use super::server::Server;
use super::{Balancer, MS};
use crate::api::*;

/// A server is too slow for a request if its mean hit latency exceeds this fraction of the time left to the target.
const MAX_HIT_LATENCY_FRACTION: f64 = 0.8;
/// Part of the deduplication window left free for the way to the server.
const DEDUP_MARGIN: Nanos = 100 * MS;
/// A server has room while it has fewer attempts of this proxy than this number plus this multiple of the mean
/// number for its weight.
const BASE_INFLIGHT: f64 = 2.0;
const MAX_INFLIGHT_RATIO: f64 = 2.0;

impl Balancer {
    /// Chooses the server for the next attempt of a request; its bucket is spread over `spread` servers.
    pub(super) fn choose_server(&mut self, now: Nanos, open: &OpenRequest, spread: usize) -> Option<u32> {
        let b = open.bucket.unwrap_or_else(|| (mix(now ^ self.random_state) % BUCKET_COUNT) as u32);
        let order = self.bucket_order(now, b, spread)?;
        let fits = |i: &u32| self.can_serve(now, open, &self.servers[*i as usize]);
        let mut order: Vec<u32> = order.into_iter().filter(fits).collect();
        if order.is_empty() {
            // No ranked server fits: take any usable one, this proxy's zone first, in an order of the bucket's own.
            order = (0..self.servers.len() as u32).filter(fits).collect();
            order.sort_by_key(|i| {
                let e = &self.servers[*i as usize].entry;
                (e.zone != self.settings.zone, mix(e.server ^ mix(u64::from(b))))
            });
        }
        let chosen = self.pick_by_load(now, open, spread, &order)?;
        self.slow_start_allows(now, chosen, true);
        Some(chosen)
    }

    /// Returns the ranked servers that serve a bucket in the order in which they are tried.
    fn bucket_order(&mut self, now: Nanos, b: u32, spread: usize) -> Option<Vec<u32>> {
        self.rank_servers(b);
        let mut order = self.candidates(now, b);
        self.sort_by_affinity(b, &mut order);
        let bucket = self.buckets.get(&b)?;
        let rotation = bucket.rotation.wrapping_add(self.settings.proxy_index) as usize;
        for &i in &bucket.ranking {
            if !order.contains(&i) && self.serves_bucket(now, b, &self.servers[i as usize]) {
                order.push(i);
            }
        }
        if spread > 1 {
            // The first servers of a hot bucket share it, since it would overload one alone. There may be none: if
            // all ranked servers are in slow start, possibly none serves the bucket yet.
            let k = spread.min(order.len());
            order[..k].rotate_left(rotation.checked_rem(k).unwrap_or(0));
        }
        Some(order)
    }

    /// Reports whether a server may get an attempt of a request at all.
    fn can_serve(&self, now: Nanos, open: &OpenRequest, s: &Server) -> bool {
        // After a broken connection the server most likely still holds the key, and a second attempt there is better
        // than a miss elsewhere: each such miss is a fetch, and broken connections all over the fleet would overload
        // the origin with fetches.
        let mut tried = open.attempts.iter().filter(|a| a.server == s.entry.server);
        self.is_usable(now, s)
            && self.dedup_allows(now, open, s)
            && tried.next().is_none_or(|a| a.broken && tried.next().is_none())
    }

    /// Picks the first server that has room and is quick enough, else the first that has room, else the first that
    /// slow start allows.
    fn pick_by_load(&mut self, now: Nanos, open: &OpenRequest, spread: usize, order: &[u32]) -> Option<u32> {
        let mean_inflight = self.total_inflight / self.total_weight.max(1e-9);
        let allowed: Vec<u32> =
            order.iter().copied().filter(|&i| self.slow_start_allows(now, i, false)).collect();
        let has_room = |s: &Server| {
            s.inflight
                < s.concurrency_limit
                    .min(BASE_INFLIGHT + MAX_INFLIGHT_RATIO * mean_inflight / s.inverse_weight)
        };
        let left = open.target_at.saturating_sub(now) as f64;
        let is_quick = |s: &Server| open.work_scale * s.mean_hit_latency < MAX_HIT_LATENCY_FRACTION * left;
        let first = &allowed[..allowed.len().min(SIGMA.max(spread))];
        let find = |fits: &dyn Fn(&Server) -> bool| first.iter().find(|i| fits(&self.servers[**i as usize]));
        let chosen = find(&|s| has_room(s) && is_quick(s)).or_else(|| find(&has_room)).or(allowed.first());
        chosen.copied()
    }

    /// Reports whether a request that may have run already may also be sent to this server.
    pub(super) fn dedup_allows(&self, now: Nanos, open: &OpenRequest, s: &Server) -> bool {
        let Some(class) = self.settings.classes.get(open.class) else { return true };
        let mut ran = open.attempts.iter().filter(|a| a.pending || a.may_have_run);
        match class.retry_safety {
            RetrySafety::Safe => true,
            RetrySafety::Unsafe => ran.next().is_none(),
            RetrySafety::Keyed => ran.all(|a| {
                let in_window = now + DEDUP_MARGIN < a.sent_at + class.dedup_window;
                in_window
                    && match class.dedup_scope {
                        DedupScope::All => true,
                        DedupScope::Zone => a.zone == s.entry.zone,
                        DedupScope::Cell => a.cell == s.entry.cell && a.zone == s.entry.zone,
                    }
            }),
        }
    }
}
