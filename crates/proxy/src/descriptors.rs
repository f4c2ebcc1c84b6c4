//! Who may have how many of the descriptors: clients and cache nodes draw on one number.
//!
//! A request needs a client's connection for as long as its client writes, waits and reads, and a node's only while
//! that works. So clients may have up to two thirds; nodes have a third for sure, and up to half while clients leave
//! it to them. Danger: a node's connection costs it a handshake, so idle ones are kept until clients want the place.

/// The descriptors that connections may have.
#[derive(Clone, Copy, Debug)]
pub struct Places {
    all: usize,
}

impl Places {
    /// So many descriptors, of which some are kept back for all else.
    pub fn new(sockets: usize, reserved: usize) -> Self {
        Places { all: sockets.saturating_sub(reserved).max(3) }
    }

    /// What nodes have for sure.
    fn third(self) -> usize {
        self.all / 3
    }

    /// How many connections clients may have while nodes have so many.
    pub fn for_clients(self, nodes: usize) -> usize {
        self.all.saturating_sub(nodes.max(self.third())).max(1)
    }

    /// How many connections nodes may have while clients have so many.
    pub fn for_nodes(self, clients: usize) -> usize {
        self.all.saturating_sub(clients).clamp(self.third(), self.all / 2)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn no_more_are_given_away_than_there_are_and_each_side_has_its_part() {
        for sockets in [0, 33, 48, 192, 384, 1_024, 100_000] {
            let places = Places::new(sockets, 32);
            let all = sockets.saturating_sub(32).max(3);
            for clients in 0..=all.min(1_100) {
                let nodes = places.for_nodes(clients);
                assert!(nodes >= all / 3 && nodes <= all / 2, "{sockets}: {nodes} beside {clients}");
                // Nodes that keep to it leave clients what they have, up to two thirds.
                assert!(places.for_clients(nodes) + nodes <= all);
                assert!(places.for_clients(nodes) >= clients.min(all - all / 3), "{sockets}: {clients}");
            }
            assert_eq!(places.for_clients(0), all - all / 3);
        }
    }
}
