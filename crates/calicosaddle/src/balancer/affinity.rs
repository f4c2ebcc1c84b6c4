//! Affinity of buckets to servers: the ranking of servers for a bucket, the outcome windows of its candidates, and
//! the pin to the candidate that won.

use super::hash::{mix, rendezvous_score};
use super::Balancer;
use crate::api::{Nanos, ServerId};

/// Candidates of a bucket (σ in the paper on Go-With-The-Winner).
pub(super) const SIGMA: usize = 2;
/// Consecutive hits that pin a bucket (τ in the paper).
const TAU: u32 = 3;
/// Number of key buckets. The state of a bucket is created on its first use.
pub(super) const BUCKET_COUNT: u64 = 1 << 13;
/// Servers ranked for each bucket: the candidates first, then the servers that replace them.
pub(super) const RANKING_SIZE: usize = 16;
/// Salt of the hash that ranks servers for a bucket.
const RANKING_SALT: u64 = 0x5ca1_ab1e;
/// What each place in the hash order costs an undecided candidate, in units of the hit ratio.
const RANK_PENALTY: f64 = 0.28;

/// The last [`TAU`] outcomes of a candidate.
#[derive(Clone, Copy, Default)]
pub(super) struct Window {
    pub(super) server: ServerId,
    /// One bit per outcome, the latest lowest; 1 is a hit.
    pub(super) outcomes: u32,
    recorded: u32,
}

/// State of a key bucket.
#[derive(Default)]
pub(super) struct Bucket {
    /// The version of the subset that `ranking` was made from.
    ranking_version: u64,
    pub(super) ranking: Vec<u32>,
    pub(super) windows: [Window; SIGMA],
    pub(super) pin: Option<ServerId>,
    /// Decaying count of its requests.
    pub(super) request_count: f64,
    pub(super) counted_at: Nanos,
    /// Position in the rotation over the servers that share a hot bucket.
    pub(super) rotation: u32,
}

impl Balancer {
    /// Ranks the subset for a bucket by weighted rendezvous hashing: two servers have the same order at every proxy,
    /// whichever lists it received.
    pub(super) fn rank_servers(&mut self, b: u32) {
        let mut bucket = self.buckets.remove(&b).unwrap_or_default();
        if bucket.ranking_version != self.ranking_version || bucket.ranking.is_empty() {
            let salt = mix(u64::from(b) ^ RANKING_SALT);
            let mut best: Vec<(f64, u32)> = Vec::with_capacity(RANKING_SIZE + 1);
            for &i in &self.subset {
                let s = &self.servers[i as usize];
                let score = rendezvous_score(salt, s.entry.server) * s.inverse_weight;
                if best.len() < RANKING_SIZE || score < best[RANKING_SIZE - 1].0 {
                    let at = best.partition_point(|x| x.0 <= score);
                    best.insert(at, (score, i));
                    best.truncate(RANKING_SIZE);
                }
            }
            bucket.ranking = best.into_iter().map(|x| x.1).collect();
            bucket.ranking_version = self.ranking_version;
        }
        self.buckets.insert(b, bucket);
    }

    /// Returns the present candidates of a bucket: the first [`SIGMA`] ranked servers that serve it. Windows and pin
    /// follow the candidates.
    pub(super) fn candidates(&mut self, now: Nanos, b: u32) -> Vec<u32> {
        let Some(bucket) = self.buckets.get(&b) else { return Vec::new() };
        let serves = |i: &&u32| self.serves_bucket(now, b, &self.servers[**i as usize]);
        let found: Vec<u32> = bucket.ranking.iter().filter(serves).take(SIGMA).copied().collect();
        let ids: Vec<ServerId> = found.iter().map(|&i| self.servers[i as usize].entry.server).collect();
        let Some(bucket) = self.buckets.get_mut(&b) else { return found };
        if bucket.windows.iter().map(|w| w.server).ne(ids.iter().copied()) {
            let old = bucket.windows;
            bucket.windows = [Window::default(); SIGMA];
            for (w, id) in bucket.windows.iter_mut().zip(&ids) {
                let kept = old.iter().find(|o| o.server == *id).copied();
                *w = kept.unwrap_or(Window { server: *id, ..Window::default() });
            }
            // Unpin if the winner is no longer a candidate, or a new candidate ranks before it: other proxies try
            // the new candidate too, and a pin kept by this proxy alone would keep a second copy of the keys.
            let rank = bucket.pin.and_then(|p| ids.iter().position(|id| *id == p));
            let new_before =
                ids.iter().take(rank.unwrap_or(0)).any(|id| !old.iter().any(|o| o.server == *id));
            if rank.is_none() || new_before {
                bucket.pin = None;
            }
        }
        found
    }

    /// Sorts the candidates of a bucket into the order in which they are tried: the winner first or, while there is
    /// none, the best window first. The hash order breaks ties, so that proxies tend to the same winner.
    pub(super) fn sort_by_affinity(&self, b: u32, candidates: &mut [u32]) {
        let Some(bucket) = self.buckets.get(&b) else { return };
        let cost = |i: u32| {
            let id = self.servers[i as usize].entry.server;
            if bucket.pin == Some(id) {
                return -1.0;
            }
            let (rank, w) = match bucket.windows.iter().enumerate().find(|(_, w)| w.server == id) {
                Some((p, w)) => (p as f64, *w),
                None => (SIGMA as f64, Window::default()),
            };
            let hits = f64::from(w.outcomes.count_ones());
            1.0 - (hits + 1.0) / (f64::from(w.recorded) + 2.0) + RANK_PENALTY * rank
        };
        candidates.sort_by(|a, b| cost(*a).total_cmp(&cost(*b)));
    }

    /// Records a hit or miss of a candidate; [`TAU`] hits in a row pin an undecided bucket.
    pub(super) fn record_hit(&mut self, b: u32, server: ServerId, hit: bool) {
        let Some(bucket) = self.buckets.get_mut(&b) else { return };
        let Some(w) = bucket.windows.iter_mut().find(|w| w.server == server && server != 0) else { return };
        w.outcomes = (w.outcomes << 1 | u32::from(hit)) & ((1 << TAU) - 1);
        w.recorded = (w.recorded + 1).min(TAU);
        if bucket.pin.is_none() && w.outcomes == (1 << TAU) - 1 {
            bucket.pin = Some(server);
        }
    }
}
