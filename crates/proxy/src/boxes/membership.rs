//! The set of cache nodes: the discovery list and the nodes drained by operators.

use super::node::Node;
use super::Boxes;
use crate::platform::discovery::ListUpdate;
use calicosaddle::api::{Nanos, ServerId, ServerState};
use rustc_hash::FxHashSet;

impl Boxes {
    /// Sets which nodes are drained by operators; all others are not.
    pub fn set_drained(&mut self, servers: &[ServerId], now: Nanos) {
        self.drained = servers.iter().copied().collect();
        for (server, node) in &mut self.nodes {
            node.drained = self.drained.contains(server);
            node.update_leaving(now);
        }
    }

    /// Whether some node has an address that satisfies the predicate.
    pub fn has_address(&self, matches: impl Fn(&addresses::Address) -> bool) -> bool {
        self.nodes.values().any(|n| n.addresses.addresses().any(&matches))
    }

    /// Applies a full list or an update from discovery.
    pub fn apply_list(&mut self, list: &ListUpdate, now: Nanos) {
        if list.full {
            let listed: FxHashSet<ServerId> = list.hosts.iter().map(|h| h.entry.server).collect();
            let missing: Vec<ServerId> =
                self.nodes.keys().copied().filter(|id| !listed.contains(id)).collect();
            for id in missing {
                self.nodes.entry(id).and_modify(|n| {
                    n.entry.state = ServerState::Removed;
                    n.update_leaving(now);
                });
                self.close_idle(id);
            }
        }
        for host in &list.hosts {
            let entry = &host.entry;
            let drained = self.drained.contains(&entry.server);
            let node = self.nodes.entry(entry.server).or_insert_with(|| {
                self.last_node += 1;
                Node::new(self.last_node, host.name.clone(), entry.clone(), drained)
            });
            // A removed host may be listed without addresses; the known ones stay then.
            let has_addresses = !host.addresses.is_empty() || entry.state != ServerState::Removed;
            let moved = (has_addresses && node.addresses.update(&host.addresses, now))
                || node.entry.started_at != entry.started_at;
            if moved && !host.invalid_addresses.is_empty() {
                eprintln!("{}: ignored invalid addresses: {}", host.name, host.invalid_addresses.join("; "));
            }
            node.entry = entry.clone();
            node.update_leaving(now);
            // Idle connections to an address or a process that the node has left are useless.
            if moved || entry.state == ServerState::Removed {
                self.close_idle(entry.server);
            }
        }
        self.forget_removed();
    }

    /// Discards the removed nodes that have no connection left.
    pub(super) fn forget_removed(&mut self) {
        let removed_stats = &mut self.removed_stats;
        self.nodes.retain(|_, node| {
            let keep = node.entry.state != ServerState::Removed || !node.connections.is_empty();
            if !keep {
                removed_stats.add(&node.stats);
            }
            keep
        });
    }
}
