//! What is told of cache nodes and their connections.

use super::connection::Connection;
use super::node::{word, Node};
use super::{Boxes, MS};
use crate::platform::discovery::Names;
use addresses::Address;
use calicosaddle::api::{Nanos, ServerState};
use control::message::{BoxStatus, Pipelines, DEPTHS};
use serde_json::{json, Value};

impl Boxes {
    /// How many nodes are listed, how many take work, and how many connections and attempts there are.
    pub fn counts(&self) -> (usize, usize, usize, usize) {
        let listed = self.nodes.values().filter(|n| n.entry.state != ServerState::Removed).count();
        let usable = self.nodes.values().filter(|n| n.takes()).count();
        let attempts = self.all.iter().map(|(_, c)| c.depth()).sum();
        (listed, usable, self.all.len(), attempts)
    }

    /// The first nodes by name after this one, or only those that are leaving; and whether there are more.
    pub fn status_page(
        &self,
        after: &str,
        limit: usize,
        leaving: bool,
        zones: &[String],
        now: Nanos,
    ) -> (Vec<BoxStatus>, bool) {
        let fits = |n: &&Node| &*n.name > after && (!leaving || n.leaving.is_some());
        let mut found: Vec<&Node> = self.nodes.values().filter(fits).collect();
        let more = found.len() > limit;
        if more {
            found.select_nth_unstable_by(limit, |a, b| a.name.cmp(&b.name));
            found.truncate(limit);
        }
        found.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        (found.into_iter().map(|n| self.describe(n, zones, now)).collect(), more)
    }

    /// The nodes in discovery's form, by name.
    pub fn hosts(&self, names: &Names) -> Vec<Value> {
        let there = |n: &&Node| n.entry.state != ServerState::Removed && !n.book.is_empty();
        let mut all: Vec<&Node> = self.nodes.values().filter(there).collect();
        all.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        let name = |all: &[String], i: u32| all.get(i as usize).map_or(Value::Null, |n| json!(n));
        let host = |n: &Node| {
            let e = &n.entry;
            let dials: Vec<String> = n.book.addresses().map(Address::to_string).collect();
            let dial = n.book.addresses().find(|a| matches!(a, Address::Tcp(_))).map(Address::to_string);
            let mut host = json!({"host": n.name, "dial": dial, "site": name(&names.zones, e.zone),
                "class": name(&names.kinds, e.kind), "block": e.cell, "health": word(e.state),
                "share": e.weight, "born_ms": e.started_at / MS});
            if dials.len() != 1 || dial.is_none() {
                host["dials"] = json!(dials);
            }
            host
        };
        all.into_iter().map(host).collect()
    }

    fn describe(&self, node: &Node, zones: &[String], now: Nanos) -> BoxStatus {
        let depth = |key: &usize| self.all.get(*key).map_or(0, Connection::depth);
        BoxStatus {
            name: node.name.to_string(),
            address: node.book.addresses().next().map(Address::to_string),
            addresses: node.book.addresses().map(Address::to_string).collect(),
            zone: zones.get(node.entry.zone as usize).cloned(),
            listed: word(node.entry.state).into(),
            drained: node.withdrawn,
            usable: node.takes(),
            connections: node.connections.len(),
            resp3: node
                .connections
                .iter()
                .filter(|k| self.all.get(**k).is_some_and(Connection::speaks_three))
                .count(),
            attempts: node.connections.iter().map(depth).sum(),
            pipelines: self.pipelines_of(node, now),
            sent: node.sent,
            leaving_ms: node.leaving.map(|at| now.saturating_sub(at) / MS),
            sent_leaving: node.sent_leaving,
        }
    }

    fn pipelines_of(&self, node: &Node, now: Nanos) -> Pipelines {
        let mut its = node.counts.clone();
        for c in node.connections.iter().filter_map(|k| self.all.get(*k)) {
            its.depths[DEPTHS.iter().filter(|edge| c.depth() >= **edge).count()] += 1;
            its.oldest_head_ms = its.oldest_head_ms.max(c.pipe.head_age(now).unwrap_or(0) / MS);
        }
        its
    }

    /// All connections, as pipelines.
    pub fn pipeline_stats(&self, now: Nanos) -> Pipelines {
        let mut all = self.past.clone();
        self.nodes.values().for_each(|node| all.add(&self.pipelines_of(node, now)));
        all
    }
}
