//! The proxy's record of one cache node.

use super::connection::Connection;
use crate::write_history::Endpoint;
use addresses::AddressTable;
use calicosaddle::api::{Nanos, ServerEntry, ServerState};
use control::message::Pipelines;
use pipeline::{BoxLatencies, ConnectionLimit};
use resp::Protocol;

/// Consecutive unanswered `HELLO` commands after which a node is considered unable to read them.
const MAX_UNANSWERED_HELLOS: u8 = 3;

/// A cache node.
#[derive(Debug)]
pub struct Node {
    /// Its name in discovery.
    pub name: Box<str>,
    /// Its entry in the discovery list.
    pub entry: ServerEntry,
    /// Drained by an operator.
    pub drained: bool,
    /// When the proxy learned that the node must get no new work.
    pub leaving_since: Option<Nanos>,
    /// Attempts whose writing was started.
    pub attempts_sent: u64,
    /// Those of them started since the node is leaving.
    pub attempts_sent_leaving: u64,
    /// Start time of the node's process that supports RESP2 only.
    pub resp2_only_process: Option<Nanos>,
    /// Consecutive `HELLO` commands without any answer.
    pub unanswered_hellos: u8,
    /// Its addresses and what is known of each.
    pub addresses: AddressTable,
    /// Keys of the connections to it.
    pub connections: Vec<usize>,
    /// Its measured response and connect times, allocated with the first measurement.
    latencies: Option<Box<BoxLatencies>>,
    /// How many connections it accepts from this proxy.
    pub connection_limit: ConnectionLimit,
    /// Pipeline counters of its connections. The depths are computed on request.
    pub stats: Pipelines,
}

impl Node {
    /// A newly listed node; `number` is different for each record of a node since the start.
    pub fn new(number: u64, name: Box<str>, entry: ServerEntry, drained: bool) -> Self {
        let addresses = AddressTable::new(number, entry.server);
        Node {
            name,
            entry,
            drained,
            leaving_since: None,
            attempts_sent: 0,
            attempts_sent_leaving: 0,
            resp2_only_process: None,
            unanswered_hellos: 0,
            addresses,
            connections: Vec::new(),
            latencies: None,
            connection_limit: ConnectionLimit::default(),
            stats: Pipelines::default(),
        }
    }

    /// Its measured response and connect times.
    pub fn latencies(&self) -> &BoxLatencies {
        self.latencies.as_deref().unwrap_or(&BoxLatencies::NONE)
    }

    /// The same, for recording a measurement.
    pub fn latencies_mut(&mut self) -> &mut BoxLatencies {
        self.latencies.get_or_insert_default()
    }

    /// Whether the node takes new work: discovery lists it as ready and no operator has drained it.
    pub fn accepts_work(&self) -> bool {
        self.entry.state == ServerState::Ready && !self.drained
    }

    /// Whether the endpoint is still one of the node: its address is listed, and its process has not been replaced.
    pub fn has_endpoint(&self, endpoint: Endpoint) -> bool {
        self.addresses.address(endpoint.address).is_some()
            && endpoint.process_started_at == self.entry.started_at
    }

    /// Whether an established connection may carry a new attempt: it leads to the required endpoint if there is one, or
    /// else to a usable address.
    pub fn can_carry(&self, connection: &Connection, required: Option<Endpoint>) -> bool {
        let endpoint = connection.endpoint();
        let fits = match required {
            Some(required) => required == endpoint,
            None => self.addresses.usable(endpoint.address),
        };
        fits && self.has_endpoint(endpoint)
    }

    /// Whether to open connections with `HELLO 3`. A node that refused is asked again after it has restarted.
    pub fn should_send_hello(&self) -> bool {
        self.resp2_only_process != Some(self.entry.started_at)
    }

    /// Records the protocol that the node answered `HELLO` with; returns whether that is new.
    pub fn record_protocol(&mut self, protocol: Protocol) -> bool {
        let resp2_only = (protocol == Protocol::Two).then_some(self.entry.started_at);
        self.unanswered_hellos = 0;
        std::mem::replace(&mut self.resp2_only_process, resp2_only) != resp2_only
    }

    /// Records that a `HELLO` got no answer before the request behind it timed out. A node that has stopped
    /// responding does not answer `HELLO` either, so a single one does not show that the node lacks RESP3.
    pub fn record_unanswered_hello(&mut self) {
        self.unanswered_hellos += 1;
        if self.unanswered_hellos >= MAX_UNANSWERED_HELLOS {
            self.record_protocol(Protocol::Two);
        }
    }

    /// Updates since when the node is leaving, after a change of its entry or of its drained state.
    pub fn update_leaving(&mut self, now: Nanos) {
        if self.accepts_work() {
            (self.leaving_since, self.attempts_sent_leaving) = (None, 0);
        } else {
            self.leaving_since.get_or_insert(now);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn hello_is_sent_until_a_node_refuses_or_ignores_it_too_often_and_again_after_its_restart() {
        let mut node = Node::new(1, "s-7".into(), ServerEntry::default(), false);
        (1..MAX_UNANSWERED_HELLOS).for_each(|_| node.record_unanswered_hello());
        assert!(node.should_send_hello());
        // An answer in between shows that the node reads HELLO.
        assert!(!node.record_protocol(Protocol::Three));
        (1..MAX_UNANSWERED_HELLOS).for_each(|_| node.record_unanswered_hello());
        assert!(node.should_send_hello());
        node.record_unanswered_hello();
        assert!(!node.should_send_hello());
        node.entry.started_at = 5;
        assert!(node.should_send_hello() && node.record_protocol(Protocol::Two) && !node.should_send_hello());
        assert!(!node.record_protocol(Protocol::Two));
    }
}
