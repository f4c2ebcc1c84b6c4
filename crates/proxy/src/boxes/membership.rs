//! The list of cache nodes.

use super::node::Node;
use super::Boxes;
use crate::platform::discovery::News as List;
use calicosaddle::api::{Nanos, ServerId, ServerState};
use rustc_hash::FxHashSet;

impl Boxes {
    /// These nodes, and no others, are drained by operators.
    pub fn set_drained(&mut self, servers: &[ServerId], now: Nanos) {
        self.withdrawn = servers.iter().copied().collect();
        for (server, node) in &mut self.nodes {
            node.withdrawn = self.withdrawn.contains(server);
            node.mark(now);
        }
    }

    /// A node has such an address.
    pub fn has_address(&self, such: impl Fn(&addresses::Address) -> bool) -> bool {
        self.nodes.values().any(|n| n.book.addresses().any(&such))
    }

    /// Takes what discovery told.
    pub fn apply_list(&mut self, list: &List, now: Nanos) {
        if list.whole {
            let named: FxHashSet<ServerId> = list.hosts.iter().map(|h| h.entry.server).collect();
            let left: Vec<ServerId> = self.nodes.keys().copied().filter(|id| !named.contains(id)).collect();
            for id in left {
                self.nodes.entry(id).and_modify(|n| {
                    n.entry.state = ServerState::Removed;
                    n.mark(now);
                });
                self.close_idle(id);
            }
        }
        for host in &list.hosts {
            let e = &host.entry;
            let withdrawn = self.withdrawn.contains(&e.server);
            let new = || Node::new(host.name.clone(), e.clone(), withdrawn);
            let node = self.nodes.entry(e.server).or_insert_with(new);
            // Idle connections to a place or a process that the node has left serve nobody.
            let told = !host.dials.is_empty() || e.state != ServerState::Removed;
            let moved = (told && node.book.update(&host.dials, now)) || node.entry.started_at != e.started_at;
            if moved && !host.faults.is_empty() {
                eprintln!("{}: addresses dropped: {}", host.name, host.faults.join("; "));
            }
            node.entry = e.clone();
            node.mark(now);
            if moved || e.state == ServerState::Removed {
                self.close_idle(e.server);
            }
        }
        self.forget();
    }

    /// Forgets the nodes that are gone and have no connection left.
    pub(super) fn forget(&mut self) {
        let past = &mut self.past;
        self.nodes.retain(|_, n| {
            let stays = n.entry.state != ServerState::Removed || !n.connections.is_empty();
            if !stays {
                past.add(&n.counts);
            }
            stays
        });
    }
}
