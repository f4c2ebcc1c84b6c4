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
/// What each further place in the ranking costs a candidate of a bucket without a pin, in units of the hit ratio.
const RANK_PENALTY: f64 = 0.28;

/// The last [`TAU`] outcomes of a candidate.
#[derive(Clone, Copy, Default)]
pub(super) struct Window {
    pub(super) server: ServerId,
    /// One bit per outcome, the latest lowest; 1 is a hit.
    pub(super) outcomes: u32,
    /// Number of outcomes in the window.
    recorded: u32,
}

/// State of a key bucket.
#[derive(Default)]
pub(super) struct Bucket {
    /// The version of the subset that `ranking` was made from.
    ranking_version: u64,
    /// Indices of the best servers for the bucket, best first.
    pub(super) ranking: Vec<u32>,
    /// Outcome windows of the candidates, in the order of the ranking.
    pub(super) windows: [Window; SIGMA],
    /// The candidate that won, if any.
    pub(super) pin: Option<ServerId>,
    /// Decaying count of its requests.
    pub(super) request_count: f64,
    /// When `request_count` was last updated.
    pub(super) counted_at: Nanos,
    /// Position in the rotation over the servers that share a hot bucket.
    pub(super) rotation: u32,
}

impl Balancer {
    /// Ranks the subset for a bucket by weighted rendezvous hashing: any two servers have the same order at every
    /// proxy, even if the proxies have received different lists.
    pub(super) fn rank_servers(&mut self, bucket_index: u32) {
        let mut bucket = self.buckets.remove(&bucket_index).unwrap_or_default();
        if bucket.ranking_version != self.ranking_version || bucket.ranking.is_empty() {
            let salt = mix(u64::from(bucket_index) ^ RANKING_SALT);
            let mut best: Vec<(f64, u32)> = Vec::with_capacity(RANKING_SIZE + 1);
            for &index in &self.subset {
                let server = &self.servers[index as usize];
                let score = rendezvous_score(salt, server.entry.server) * server.inverse_weight;
                if best.len() < RANKING_SIZE || score < best[RANKING_SIZE - 1].0 {
                    let at = best.partition_point(|ranked| ranked.0 <= score);
                    best.insert(at, (score, index));
                    best.truncate(RANKING_SIZE);
                }
            }
            bucket.ranking = best.into_iter().map(|ranked| ranked.1).collect();
            bucket.ranking_version = self.ranking_version;
        }
        self.buckets.insert(bucket_index, bucket);
    }

    /// Returns the present candidates of a bucket: the first [`SIGMA`] ranked servers that serve it. Windows and pin
    /// follow the candidates.
    pub(super) fn candidates(&mut self, now: Nanos, bucket_index: u32) -> Vec<u32> {
        let Some(bucket) = self.buckets.get(&bucket_index) else { return Vec::new() };
        let serves = |index: &&u32| self.serves_bucket(now, bucket_index, &self.servers[**index as usize]);
        let found: Vec<u32> = bucket.ranking.iter().filter(serves).take(SIGMA).copied().collect();
        let ids: Vec<ServerId> =
            found.iter().map(|&index| self.servers[index as usize].entry.server).collect();
        let Some(bucket) = self.buckets.get_mut(&bucket_index) else { return found };
        if bucket.windows.iter().map(|window| window.server).ne(ids.iter().copied()) {
            let old = bucket.windows;
            bucket.windows = [Window::default(); SIGMA];
            for (window, id) in bucket.windows.iter_mut().zip(&ids) {
                let kept = old.iter().find(|previous| previous.server == *id).copied();
                *window = kept.unwrap_or(Window { server: *id, ..Window::default() });
            }
            // Unpin if the winner is no longer a candidate, or a new candidate ranks before it: other proxies try
            // the new candidate too, and a pin kept by this proxy alone would keep a second copy of the keys.
            let rank = bucket.pin.and_then(|pin| ids.iter().position(|id| *id == pin));
            let new_before = ids
                .iter()
                .take(rank.unwrap_or(0))
                .any(|id| !old.iter().any(|previous| previous.server == *id));
            if rank.is_none() || new_before {
                bucket.pin = None;
            }
        }
        found
    }

    /// Sorts the candidates of a bucket into the order in which they are tried: the winner first or, while there is
    /// none, the best window first. The hash order breaks ties, so that proxies tend to the same winner.
    pub(super) fn sort_by_affinity(&self, bucket_index: u32, candidates: &mut [u32]) {
        let Some(bucket) = self.buckets.get(&bucket_index) else { return };
        let cost = |index: u32| {
            let id = self.servers[index as usize].entry.server;
            if bucket.pin == Some(id) {
                return -1.0;
            }
            let (rank, window) =
                match bucket.windows.iter().enumerate().find(|(_, window)| window.server == id) {
                    Some((rank, window)) => (rank as f64, *window),
                    None => (SIGMA as f64, Window::default()),
                };
            // The hit ratio is estimated with one hit and one miss added, so that a window without outcomes counts
            // as one half.
            let hits = f64::from(window.outcomes.count_ones());
            1.0 - (hits + 1.0) / (f64::from(window.recorded) + 2.0) + RANK_PENALTY * rank
        };
        candidates.sort_by(|left, right| cost(*left).total_cmp(&cost(*right)));
    }

    /// Records a hit or miss of a candidate; [`TAU`] hits in a row pin a bucket that has no pin.
    pub(super) fn record_hit(&mut self, bucket_index: u32, server: ServerId, hit: bool) {
        let Some(bucket) = self.buckets.get_mut(&bucket_index) else { return };
        let Some(window) = bucket.windows.iter_mut().find(|window| window.server == server && server != 0)
        else {
            return;
        };
        window.outcomes = (window.outcomes << 1 | u32::from(hit)) & ((1 << TAU) - 1);
        window.recorded = (window.recorded + 1).min(TAU);
        if bucket.pin.is_none() && window.outcomes == (1 << TAU) - 1 {
            bucket.pin = Some(server);
        }
    }
}
