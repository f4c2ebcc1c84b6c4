//! Status reports on cache nodes and the connections to them.

use super::connection::Connection;
use super::node::Node;
use super::{Boxes, MS};
use crate::platform::discovery::state_name;
use crate::platform::discovery::TopologyNames;
use addresses::Address;
use calicosaddle::api::{Nanos, ServerState};
use control::message::{BoxStatus, Pipelines, DEPTH_CLASS_BOUNDS};
use serde_json::{json, Value};

/// How many cache nodes there are, and what is on them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeCounts {
    /// Nodes that discovery lists.
    pub listed: usize,
    /// Nodes that take new work.
    pub usable: usize,
    /// Connections to nodes, including those being established.
    pub connections: usize,
    /// Attempts on these connections, including cancelled ones whose replies are still due.
    pub attempts: usize,
}

impl Boxes {
    /// Counts the nodes, the connections and the attempts on these.
    pub fn counts(&self) -> NodeCounts {
        NodeCounts {
            listed: self.nodes.values().filter(|n| n.entry.state != ServerState::Removed).count(),
            usable: self.nodes.values().filter(|n| n.accepts_work()).count(),
            connections: self.connections.len(),
            attempts: self.connections.iter().map(|(_, c)| c.depth()).sum(),
        }
    }

    /// Status of the first nodes by name after the given one, or only of those that are leaving; and whether more
    /// follow.
    pub fn status_page(
        &self,
        after: &str,
        limit: usize,
        leaving: bool,
        zones: &[String],
        now: Nanos,
    ) -> (Vec<BoxStatus>, bool) {
        let matches = |n: &&Node| &*n.name > after && (!leaving || n.leaving_since.is_some());
        let mut found: Vec<&Node> = self.nodes.values().filter(matches).collect();
        let more = found.len() > limit;
        if more {
            found.select_nth_unstable_by(limit, |a, b| a.name.cmp(&b.name));
            found.truncate(limit);
        }
        found.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        (found.into_iter().map(|n| self.node_status(n, zones, now)).collect(), more)
    }

    /// The nodes in discovery's JSON form, ordered by name.
    pub fn hosts(&self, names: &TopologyNames) -> Vec<Value> {
        let is_listed = |n: &&Node| n.entry.state != ServerState::Removed && !n.addresses.is_empty();
        let mut nodes: Vec<&Node> = self.nodes.values().filter(is_listed).collect();
        nodes.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        let name = |names: &[String], i: u32| names.get(i as usize).map_or(Value::Null, |n| json!(n));
        let host = |n: &Node| {
            let e = &n.entry;
            let dials: Vec<String> = n.addresses.addresses().map(Address::to_string).collect();
            let is_tcp = |a: &&Address| matches!(a, Address::Tcp(_));
            let dial = n.addresses.addresses().find(is_tcp).map(Address::to_string);
            let mut host = json!({"host": n.name, "dial": dial, "site": name(&names.zones, e.zone),
                "class": name(&names.machine_kinds, e.kind), "block": e.cell, "health": state_name(e.state),
                "share": e.weight, "born_ms": e.started_at / MS});
            if dials.len() != 1 || dial.is_none() {
                host["dials"] = json!(dials);
            }
            host
        };
        nodes.into_iter().map(host).collect()
    }

    fn node_status(&self, node: &Node, zones: &[String], now: Nanos) -> BoxStatus {
        let connections = || node.connections.iter().filter_map(|key| self.connections.get(*key));
        BoxStatus {
            name: node.name.to_string(),
            address: node.addresses.addresses().next().map(Address::to_string),
            addresses: node.addresses.addresses().map(Address::to_string).collect(),
            zone: zones.get(node.entry.zone as usize).cloned(),
            listed: state_name(node.entry.state).into(),
            drained: node.drained,
            usable: node.accepts_work(),
            connections: node.connections.len(),
            resp3: connections().filter(|c| c.uses_resp3()).count(),
            attempts: connections().map(Connection::depth).sum(),
            pipelines: self.node_pipeline_stats(node, now),
            sent: node.attempts_sent,
            leaving_ms: node.leaving_since.map(|at| now.saturating_sub(at) / MS),
            sent_leaving: node.attempts_sent_leaving,
        }
    }

    fn node_pipeline_stats(&self, node: &Node, now: Nanos) -> Pipelines {
        let mut stats = node.stats.clone();
        for c in node.connections.iter().filter_map(|key| self.connections.get(*key)) {
            stats.depths[DEPTH_CLASS_BOUNDS.iter().filter(|edge| c.depth() >= **edge).count()] += 1;
            stats.oldest_head_ms = stats.oldest_head_ms.max(c.pipeline.head_age(now).unwrap_or(0) / MS);
        }
        stats
    }

    /// Pipeline counters over all connections, including those of removed nodes.
    pub fn pipeline_stats(&self, now: Nanos) -> Pipelines {
        let mut total = self.removed_stats.clone();
        self.nodes.values().for_each(|node| total.add(&self.node_pipeline_stats(node, now)));
        total
    }
}
