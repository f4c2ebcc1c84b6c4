//! Membership: which servers exist, which of them accept requests, and the subset that this proxy connects to.

use super::concurrency::INITIAL_CONCURRENCY_LIMIT;
use super::hash::{mix, rendezvous_score, unit};
use super::server::Server;
use super::Balancer;
use crate::api::*;
use rustc_hash::FxHashSet;

/// Connections that a server is expected to accept.
///
/// If every proxy connected to every server of a large fleet, the connections would not fit into the servers'
/// tables: most requests would begin with a refused connection or a handshake, and a full table costs a server
/// part of its capacity. So each proxy sends only to a subset. Over all proxies, a server has
/// `CONNECTION_TABLE_SIZE`² / proxies connections on average, but no fewer than [`MIN_MEAN_CONNECTIONS`]; the rest
/// of its table is left for proxies whose own servers were removed. The cost: each group of proxies that ranks the
/// candidates of a key differently fetches that key once more.
const CONNECTION_TABLE_SIZE: f64 = 32.0;
/// Least mean number of connections per server where there are many proxies.
const MIN_MEAN_CONNECTIONS: f64 = 10.0;
/// How much less likely a server of another zone is to be in a proxy's subset.
const REMOTE_ZONE_PENALTY: f64 = 6.0;
/// Least size of a subset: the candidates of a bucket, and others for when they fail.
const MIN_SUBSET_SIZE: usize = 4;
/// Salt of the hash that draws a proxy's subset.
const SUBSET_SALT: u64 = 0x0a0e_0a0e;
/// Bounds of the weight of a server, which keep the weight and its inverse finite and above 0.
const MIN_WEIGHT: f64 = 1e-6;
const MAX_WEIGHT: f64 = 1e9;

impl Balancer {
    /// Applies a server list event.
    pub(super) fn update_servers(&mut self, now: Nanos, kind: ListKind, entries: Vec<ServerEntry>) {
        if kind == ListKind::Failed {
            return;
        }
        if kind != ListKind::Delta {
            let named: FxHashSet<ServerId> = entries.iter().map(|e| e.server).collect();
            let mut missing: Vec<ServerId> =
                self.index_by_id.keys().filter(|s| !named.contains(s)).copied().collect();
            missing.sort_unstable();
            missing.into_iter().for_each(|s| self.remove_server(s));
        }
        for entry in entries {
            if entry.state == ServerState::Removed {
                self.remove_server(entry.server);
            } else {
                self.upsert_server(now, entry);
            }
        }
        self.update_subset();
    }

    /// Replaces the set of servers drained by operators. A server gets requests only if both the list and the
    /// operators allow it.
    pub(super) fn set_operator_drained(&mut self, servers: Vec<ServerId>) {
        self.operator_drained = servers.into_iter().collect();
        let drained = &self.operator_drained;
        self.servers
            .iter_mut()
            .for_each(|server| server.operator_drained = drained.contains(&server.entry.server));
        self.update_subset();
    }

    /// Draws the subset again. It depends on a hash of this proxy's index and the server only, so that it hardly
    /// changes with the list and is the same after a restart.
    pub(super) fn update_subset(&mut self) {
        self.ranking_version += 1;
        let eligible = (0u32..).zip(&self.servers).filter(|(_, server)| self.is_eligible(server));
        let mut subset: Vec<u32> = eligible.map(|(index, _)| index).collect();
        let weight = |all: &[u32]| -> f64 {
            all.iter().map(|index| 1.0 / self.servers[*index as usize].inverse_weight).sum()
        };
        (self.total_weight, self.eligible_count) = (weight(&subset), subset.len() as f64);
        let wanted = self.wanted_subset_size();
        if wanted < subset.len() {
            let salt = mix(u64::from(self.settings.proxy_index) ^ SUBSET_SALT);
            let score = |index: u32| {
                let entry = &self.servers[index as usize].entry;
                rendezvous_score(salt, entry.server)
                    * if entry.zone == self.settings.zone { 1.0 } else { REMOTE_ZONE_PENALTY }
            };
            let mut scores: Vec<(f64, u32)> = subset.iter().map(|&index| (score(index), index)).collect();
            scores.select_nth_unstable_by(wanted, |a, b| a.0.total_cmp(&b.0));
            subset = scores[..wanted].iter().map(|x| x.1).collect();
        }
        self.subset_weight = weight(&subset);
        self.subset = subset;
        self.servers.iter_mut().for_each(|server| server.in_subset = false);
        self.subset.iter().for_each(|&index| self.servers[index as usize].in_subset = true);
    }

    /// Returns the number of servers that this proxy should send to, from the number of proxies and of servers.
    fn wanted_subset_size(&self) -> usize {
        let proxies = f64::from(self.settings.proxy_count.max(1));
        let fraction =
            (CONNECTION_TABLE_SIZE * CONNECTION_TABLE_SIZE / proxies).max(MIN_MEAN_CONNECTIONS) / proxies;
        ((fraction * self.eligible_count).ceil() as usize).max(MIN_SUBSET_SIZE)
    }

    /// Reports whether both the list and the operators allow requests to a server.
    pub(super) fn accepts_requests(server: &Server) -> bool {
        server.entry.state == ServerState::Ready && !server.operator_drained
    }

    /// Reports whether a server can be a candidate of buckets.
    pub(super) fn is_eligible(&self, server: &Server) -> bool {
        Self::accepts_requests(server) && !self.is_origin(server)
    }

    /// Reports whether a server is the origin of a cache-aside deployment. The origin is never a candidate: it gets
    /// only misses and writes.
    pub(super) fn is_origin(&self, server: &Server) -> bool {
        self.settings.cache_aside && Some(server.entry.kind) == self.settings.origin_kind
    }

    /// Frees the slot of a server that left the list. Outcomes of its attempts that come later are not counted for it.
    fn remove_server(&mut self, server: ServerId) {
        if let Some(index) = self.index_by_id.remove(&server) {
            self.total_inflight -= self.servers[index as usize].inflight;
            self.servers[index as usize].inflight = 0.0;
            self.servers[index as usize].entry.state = ServerState::Removed;
            self.free_slots.push(index);
        }
    }

    /// Adds a server, or updates its entry and keeps what was learned about it, unless it has restarted.
    fn upsert_server(&mut self, now: Nanos, entry: ServerEntry) {
        let weight = if entry.weight.is_finite() { entry.weight.clamp(MIN_WEIGHT, MAX_WEIGHT) } else { 1.0 };
        let inverse_weight = 1.0 / weight;
        if let Some(&index) = self.index_by_id.get(&entry.server) {
            let server = &mut self.servers[index as usize];
            if server.entry.started_at != entry.started_at {
                // Another start time means a new process: its cache is empty and old failures don't count.
                (
                    server.consecutive_failures,
                    server.ejected_until,
                    server.ejection_backoff,
                    server.half_open_probe,
                ) = (0, 0, 0, false);
                (server.slow_start_tokens, server.slow_start_tokens_at) =
                    (unit(mix(self.random_state ^ entry.started_at)), now);
                (server.latency_score, server.bucket_fraction, server.mean_hit_latency) =
                    (self.mean_latency_score, 1.0, 0.0);
            }
            (server.inverse_weight, server.entry) = (inverse_weight, entry);
            return;
        }
        let server = entry.server;
        let slow_start_tokens = self.random_unit();
        let initial = Server {
            concurrency_limit: INITIAL_CONCURRENCY_LIMIT,
            latency_score: self.mean_latency_score,
            bucket_fraction: 1.0,
            ..Server::default()
        };
        let operator_drained = self.operator_drained.contains(&server);
        let added = Server {
            entry,
            operator_drained,
            inverse_weight,
            slow_start_tokens,
            slow_start_tokens_at: now,
            ..initial
        };
        let index = if let Some(index) = self.free_slots.pop() {
            self.servers[index as usize] = added;
            index
        } else {
            self.servers.push(added);
            (self.servers.len() - 1) as u32
        };
        self.index_by_id.insert(server, index);
    }
}
