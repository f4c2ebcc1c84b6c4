//! How client connections and cache node connections share the process's file descriptors.
//!
//! A request holds its client's connection while the client writes, waits and reads, but a node's connection only
//! while the node works on it. Clients may therefore have up to two thirds of the descriptors; nodes always have a
//! third, and up to a half while clients leave it to them. Reconnecting to a node costs the node a handshake, so idle
//! node connections are kept until clients need the descriptors.

/// The descriptors available for connections.
#[derive(Clone, Copy, Debug)]
pub struct DescriptorBudget {
    total: usize,
}

impl DescriptorBudget {
    /// The budget of a process that may open `sockets` descriptors and needs `reserved` of them for other purposes.
    pub fn new(sockets: usize, reserved: usize) -> Self {
        DescriptorBudget { total: sockets.saturating_sub(reserved).max(3) }
    }

    /// The number of descriptors that nodes may always have.
    fn guaranteed_for_nodes(self) -> usize {
        self.total / 3
    }

    /// The maximum number of client connections while `nodes` node connections are open.
    pub fn for_clients(self, nodes: usize) -> usize {
        self.total.saturating_sub(nodes.max(self.guaranteed_for_nodes())).max(1)
    }

    /// The maximum number of node connections while `clients` client connections are open.
    pub fn for_nodes(self, clients: usize) -> usize {
        self.total.saturating_sub(clients).clamp(self.guaranteed_for_nodes(), self.total / 2)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn shares_never_exceed_the_total_and_each_side_gets_its_minimum() {
        for sockets in [0, 33, 48, 192, 384, 1_024, 100_000] {
            let budget = DescriptorBudget::new(sockets, 32);
            let total = sockets.saturating_sub(32).max(3);
            for clients in 0..=total.min(1_100) {
                let nodes = budget.for_nodes(clients);
                assert!(nodes >= total / 3 && nodes <= total / 2, "{sockets}: {nodes} beside {clients}");
                // While nodes stay within their limit, clients keep what they have, up to two thirds.
                assert!(budget.for_clients(nodes) + nodes <= total);
                assert!(budget.for_clients(nodes) >= clients.min(total - total / 3), "{sockets}: {clients}");
            }
            assert_eq!(budget.for_clients(0), total - total / 3);
        }
    }
}
