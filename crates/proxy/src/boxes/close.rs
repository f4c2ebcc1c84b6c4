//! Closing connections, and what becomes of the attempts on them.

use super::connection::Connection;
use super::node::Node;
use super::{AbandonedAttempt, Boxes, NodeEvent, MS};
use addresses::AddressId;
use calicosaddle::api::{Nanos, RequestId, ServerId, Status};
use pipeline::{CancelOutcome, DisconnectOutcome};
use resp::{Protocol, Reply};

/// A request that crosses the node's close of an idle connection is reset within a round trip; one that breaks later
/// was being processed.
const IDLE_CLOSE_WINDOW: Nanos = 50 * MS;

impl Boxes {
    /// Closes the idle connections to a node.
    pub fn close_idle(&mut self, server: ServerId) {
        self.close_idle_where(server, |_| true);
    }

    fn close_idle_where(&mut self, server: ServerId, matches: impl Fn(&Connection) -> bool) {
        let Some(node) = self.nodes.get(&server) else { return };
        let is_idle = |k: &usize| self.connections.get(*k).is_some_and(|c| c.depth() == 0 && matches(c));
        let idle: Vec<usize> = node.connections.iter().copied().filter(is_idle).collect();
        idle.into_iter().for_each(|key| self.close(key));
    }

    /// Closes the connection that has been idle longest, to free its descriptor.
    pub(super) fn evict_idle(&mut self) -> bool {
        let idle = self.connections.iter().filter(|(_, c)| c.depth() == 0);
        let Some((key, _)) = idle.min_by_key(|(_, c)| c.last_active) else { return false };
        self.close(key);
        true
    }

    /// Stops waiting for an attempt; returns false if it is not on this connection. Closing a connection cancels all
    /// attempts on it, so it is closed only if no other one is waited for.
    pub fn cancel(
        &mut self,
        key: usize,
        id: RequestId,
        attempt: u32,
        abandoned: AbandonedAttempt,
        now: Nanos,
    ) -> bool {
        let Some(c) = self.connections.get_mut(key) else { return false };
        let (server, address) = (c.server, c.link.address);
        let is_head = c.pipeline.head() == Some(Some((id, attempt)));
        let called = c.pipeline.cancel((id, attempt));
        match called {
            CancelOutcome::NotFound => return false,
            CancelOutcome::Queued => {}
            CancelOutcome::PartlyWritten => {
                // Writing the rest of the command would send an attempt for a request that has ended.
                self.close(key);
                self.record_unanswered(server, address, abandoned, now);
                return true;
            }
            // The remaining bytes of a long value are dropped.
            CancelOutcome::Written => c.streaming &= !is_head,
        }
        if c.pipeline.has_no_waiters() && c.pipeline.in_flight() > 0 {
            let node = self.nodes.get_mut(&c.server).filter(|_| c.hello_reply.is_some());
            node.into_iter().for_each(Node::record_unanswered_hello);
            self.close(key);
        }
        if called == CancelOutcome::Written {
            self.record_unanswered(server, address, abandoned, now);
        }
        true
    }

    /// Records an abandoned attempt against its address, and closes the idle connections over that address if it is
    /// found to be silent.
    fn record_unanswered(
        &mut self,
        server: ServerId,
        address: AddressId,
        abandoned: AbandonedAttempt,
        now: Nanos,
    ) {
        let Some(node) = self.nodes.get_mut(&server) else { return };
        if node.addresses.request_unanswered(address, abandoned.sent_at, !abandoned.timed_out, now) {
            self.close_idle_where(server, |c| c.link.address == address);
        }
    }

    /// Handles the end of a connection that was closed or reset by its node.
    pub(super) fn connection_lost(&mut self, key: usize, now: Nanos) {
        let Some(c) = self.connections.get(key) else { return };
        if let Some(node) = self.nodes.get_mut(&c.server).filter(|_| !c.has_replied) {
            // The node accepted the connection and never replied on it.
            node.addresses.connection_failed(c.link.address, now);
        }
        if c.hello_reply.is_some() {
            // Nodes that can't read HELLO may close the connection.
            self.nodes.get_mut(&c.server).map(|n| n.record_protocol(Protocol::Two));
        }
        let crossed_idle_close = c.pipeline.in_flight() == 1
            && c.reply_bytes.is_empty()
            && !c.mid_reply()
            && now.saturating_sub(c.last_active) < IDLE_CLOSE_WINDOW;
        if crossed_idle_close && c.idle_before_write > 0 {
            self.idle_outcomes.record(c.idle_before_write, true);
            self.idle_limit = self.idle_outcomes.limit(self.configured_idle_limit);
        }
        if !c.has_replied {
            self.record_refusal(key, now);
            self.close(key);
        } else if c.pipeline.in_flight() == 0 {
            // The node closed an idle connection; attempts that wait for the settle delay are unsent.
            self.close_and_reassign(key, now);
        } else {
            self.close(key);
        }
    }

    /// Closes a connection and reports the outcome of the attempts on it.
    pub fn close(&mut self, key: usize) {
        self.close_with(key, Status::Reset);
    }

    /// Closes a connection; `status` is the outcome of the attempts that may have run.
    fn close_with(&mut self, key: usize, status: Status) {
        let Some(c) = self.connections.try_remove(key) else { return };
        self.racing_dials -= usize::from(c.racing_dial.is_some());
        if let Some(node) = self.nodes.get_mut(&c.server) {
            node.connections.retain(|k| *k != key);
        }
        if c.pipeline.has_large_value_under_way() {
            c.link.socket.discard_on_close();
        }
        let streaming = c.pipeline.head().flatten().filter(|_| c.streaming);
        let (mut broke, mut uncertain) = (false, 0);
        for (tag, fate) in c.pipeline.into_outcomes() {
            broke = true;
            uncertain += u64::from(fate == DisconnectOutcome::Unknown);
            self.events.push_back(match fate {
                _ if streaming == Some(tag) => NodeEvent::ValueTruncated(tag.0, tag.1),
                DisconnectOutcome::Unknown => NodeEvent::Ended(tag.0, tag.1, status, Reply::default()),
                DisconnectOutcome::NotWritten => {
                    NodeEvent::Ended(tag.0, tag.1, Status::ConnectFailed, Reply::default())
                }
            });
        }
        if let Some(node) = self.nodes.get_mut(&c.server) {
            node.stats.breaks += u64::from(broke);
            node.stats.uncertain += uncertain;
        }
    }

    /// Closes a connection whose reply is unreadable. The attempt that it answers may have run, and so may those sent
    /// behind it.
    pub(super) fn close_unreadable(&mut self, key: usize) {
        self.close_with(key, Status::Malformed);
    }

    /// Closes a connection after unsolicited bytes, or once all attempts sent on it are cancelled. Unwritten attempts
    /// go to other connections.
    pub(super) fn close_unsolicited(&mut self, key: usize, now: Nanos) {
        let Some(c) = self.connections.get(key) else { return };
        if c.pipeline.head().is_none() {
            self.pipeline_config.settle_delay.record_unsolicited(now.saturating_sub(c.last_reply));
            self.nodes.get_mut(&c.server).into_iter().for_each(|n| n.stats.unsolicited += 1);
        }
        self.close_and_reassign(key, now);
    }

    /// Closes a connection; its entirely unwritten attempts go to other connections.
    pub(super) fn close_and_reassign(&mut self, key: usize, now: Nanos) {
        let Some(c) = self.connections.get_mut(key) else { return };
        let (server, queued) = (c.server, c.pipeline.take_queued());
        self.close(key);
        self.reassign(server, queued, now);
    }
}
