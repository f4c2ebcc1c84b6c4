//! Assigns attempts to connections. The choice itself is made by the `pipeline` crate; this module collects its input
//! and carries it out.

use super::connection::Connection;
use super::dial::DialError;
use super::node::Node;
use super::{Boxes, NewConnection, NodeEvent, QueuedAttempt};
use crate::write_history::Endpoint;
use calicosaddle::api::{Nanos, RequestId, ServerId, Status};
use pipeline::{Command, ConnectionState, LatencyContext, Placement, PlacementRequest};

impl Boxes {
    /// Queues an attempt on a connection. It is written at the end of this turn of the event loop, or once the
    /// connection is established. Returns the connection's key, with its details if it is new; `None` if the attempt
    /// ended at once, or waits for a socket.
    pub fn send(
        &mut self,
        server: ServerId,
        queued: QueuedAttempt,
        now: Nanos,
    ) -> Option<(usize, Option<NewConnection>)> {
        self.send_or_wait(server, queued, None, now)
    }

    /// As [`Boxes::send`], for an attempt that waits for a socket until `waits_until` if it has waited before.
    pub(super) fn send_or_wait(
        &mut self,
        server: ServerId,
        queued: QueuedAttempt,
        waits_until: Option<Nanos>,
        now: Nanos,
    ) -> Option<(usize, Option<NewConnection>)> {
        let required = queued.required_endpoint(server, self.repeat_writes_across_addresses);
        let may_be_sent = |node: &Node| required.is_none_or(|endpoint| node.has_endpoint(endpoint));
        if !self.nodes.get(&server).is_some_and(may_be_sent) {
            self.end_unsent(queued, Status::NotSent);
            return None;
        }
        match self.place(server, &queued, required, now) {
            Ok((key, new)) => {
                self.enqueue(key, queued, now);
                Some((key, new))
            }
            Err(DialError::Local) => {
                self.unopened.push(server, queued, waits_until, now);
                None
            }
            Err(DialError::NoAddress | DialError::NoDescriptor) => {
                let connected = self.nodes.get(&server).is_some_and(|n| !n.connections.is_empty());
                self.end_unsent(queued, Status::without_connection(connected));
                None
            }
        }
    }

    /// Queues an attempt on a connection, and the connection for writing.
    fn enqueue(&mut self, key: usize, queued: QueuedAttempt, now: Nanos) {
        let connection = &mut self.connections[key];
        connection.pipeline.push(queued);
        if connection.connected && !std::mem::replace(&mut connection.write_queued, true) {
            if let Some(settled_at) = connection.settling_until(now) {
                self.settling.insert((settled_at, key));
                return;
            }
            if self.write_queue.is_empty() {
                self.batch_started_at = now;
            }
            self.write_queue.push(key);
        }
    }

    /// Selects the connection for an attempt, opening one if necessary.
    ///
    /// # Errors
    /// There is none, for the reason why none could be opened if it was tried.
    fn place(
        &mut self,
        server: ServerId,
        queued: &QueuedAttempt,
        required: Option<Endpoint>,
        now: Nanos,
    ) -> Result<(usize, Option<NewConnection>), DialError> {
        let mut error = DialError::NoAddress;
        let node = self.nodes.get(&server).ok_or(error)?;
        // A connection that streams a long value is as slow as its client and carries no other attempt meanwhile. Up to
        // `max_per_node` of them do not count against the limit.
        let streaming = |key: &&usize| self.connections.get(**key).is_some_and(|c| c.streaming);
        let streaming = node.connections.iter().filter(streaming).count().min(self.max_per_node);
        let may_open = node.connections.len() - streaming < self.max_per_node
            && node.connection_limit.allows(node.connections.len(), now);
        let mut place = self.choose(node, queued, required, may_open, now);
        if place == Placement::New {
            match self.open(server, required, queued, now) {
                Ok((key, new)) => return Ok((key, Some(new))),
                Err(reason) => error = reason,
            }
            let node = self.nodes.get(&server).ok_or(error)?;
            place = self.choose(node, queued, required, false, now);
        }
        place.key().map(|key| (key, None)).ok_or(error)
    }

    fn latency_context<'a>(&'a self, node: &'a Node) -> LatencyContext<'a> {
        LatencyContext { this_box: node.latencies(), all_boxes: &self.latencies }
    }

    /// Selects one of the node's connections for an attempt, a new one if `may_open`, or none. With a required
    /// endpoint, only connections that lead there are candidates.
    fn choose(
        &self,
        node: &Node,
        queued: &QueuedAttempt,
        required: Option<Endpoint>,
        may_open: bool,
        now: Nanos,
    ) -> Placement<usize> {
        let kind = queued.kind();
        let candidates = node.connections.iter().filter_map(|key| {
            let c = self.connections.get(*key).filter(|c| c.accepts_attempt(self.idle_limit, now))?;
            // A connection that is still being established may use any address in the end.
            let fits = if c.connected { node.can_carry(c, required) } else { required.is_none() };
            fits.then(|| ConnectionState {
                key: *key,
                connected: c.connected,
                active_since: if c.connected { c.last_active } else { c.link.started_at },
                writable_at: c.writable_at(kind),
                depth: c.depth(),
                head_age: c.pipeline.head_age(now),
                latency: c.pipeline.latency(),
                same_kind: c.pipeline.is_uniform(kind),
            })
        });
        let request = PlacementRequest { kind, target_time: queued.target, may_open };
        pipeline::choose_connection(
            &request,
            candidates,
            self.latency_context(node),
            &self.pipeline_config,
            now,
        )
    }

    /// Moves attempts that are entirely unwritten to other connections.
    pub(super) fn reassign(
        &mut self,
        server: ServerId,
        queued: impl IntoIterator<Item = QueuedAttempt>,
        now: Nanos,
    ) {
        for queued in queued {
            let (id, attempt) = queued.tag();
            if let Some((key, new)) = self.send(server, queued, now) {
                self.record_reassigned(server, id, attempt, key, new);
            }
        }
    }

    fn record_reassigned(
        &mut self,
        server: ServerId,
        id: RequestId,
        attempt: u32,
        key: usize,
        new: Option<NewConnection>,
    ) {
        if let Some(node) = self.nodes.get_mut(&server) {
            node.stats.moved += 1;
        }
        self.events.push_back(NodeEvent::Reassigned(id, attempt, key, new));
    }

    /// Gives a connection that has become idle the next attempt of the node's longest-connecting connection.
    pub(super) fn take_over_waiting(&mut self, key: usize, now: Nanos) {
        let idle = |c: &&Connection| c.connected && c.depth() == 0 && c.accepts_attempt(self.idle_limit, now);
        let Some(c) = self.connections.get(key).filter(idle) else { return };
        let Some(node) = self.nodes.get(&c.server) else { return };
        let waits =
            |k: &&usize| self.connections.get(**k).is_some_and(|c| !c.connected && c.pipeline.has_queued());
        let connecting =
            node.connections.iter().filter(waits).min_by_key(|k| self.connections[**k].link.started_at);
        let Some(connecting) = connecting.copied() else { return };
        let fits = |queued: &QueuedAttempt| {
            node.can_carry(c, queued.required_endpoint(c.server, self.repeat_writes_across_addresses))
        };
        if !self.connections[connecting].pipeline.peek_queued().is_some_and(fits) {
            return;
        }
        let server = c.server;
        let Some(queued) = self.connections[connecting].pipeline.pop_queued() else { return };
        let (id, attempt) = queued.tag();
        self.enqueue(key, queued, now);
        self.record_reassigned(server, id, attempt, key, None);
    }

    /// Reassigns the unwritten attempts behind each head that has taken longer than its history explains.
    pub(super) fn reassign_behind_stalled(&mut self, now: Nanos) {
        let stalled = |(key, c): (usize, &Connection)| {
            let node = self.nodes.get(&c.server)?;
            let age = c.pipeline.head_age(now).filter(|_| c.connected && c.pipeline.has_queued())?;
            let kind = c.pipeline.head_kind()?;
            let latency = c.pipeline.latency();
            pipeline::is_stalled(age, latency, kind, self.latency_context(node), &self.pipeline_config)
                .then_some(key)
        };
        let stalled: Vec<usize> = self.connections.iter().filter_map(stalled).collect();
        for key in stalled {
            let Some(c) = self.connections.get_mut(key) else { continue };
            let (server, queued) = (c.server, c.pipeline.take_queued());
            self.reassign(server, queued, now);
        }
    }
}
