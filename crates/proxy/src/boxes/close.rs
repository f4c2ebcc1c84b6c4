//! Closing connections.

use super::connection::Connection;
use super::node::Node;
use super::{AbandonedAttempt, Boxes, NodeEvent, MS};
use addresses::AddressId;
use calicosaddle::api::{Nanos, RequestId, ServerId, Status};
use pipeline::{CancelOutcome, DisconnectOutcome};
use resp::{Protocol, Reply};

/// A request that a node no longer listened for is reset within a round trip; one that broke off later was at
/// work.
const CROSSED: Nanos = 50 * MS;

impl Boxes {
    /// Closes the idle connections to a node.
    pub fn close_idle(&mut self, server: ServerId) {
        self.close_resting(server, |_| true);
    }

    /// Closes those of the idle connections to a node.
    fn close_resting(&mut self, server: ServerId, which: impl Fn(&Connection) -> bool) {
        let Some(node) = self.nodes.get(&server) else { return };
        let rests = |k: &usize| self.all.get(*k).is_some_and(|c| c.depth() == 0 && which(c));
        let idle: Vec<usize> = node.connections.iter().copied().filter(rests).collect();
        idle.into_iter().for_each(|key| self.close(key));
    }

    /// Closes the connection that was idle longest, to make room for one to another node.
    pub(super) fn evict(&mut self) -> bool {
        let idle = self.all.iter().filter(|(_, c)| c.depth() == 0).min_by_key(|(_, c)| c.moved);
        let Some((key, _)) = idle else { return false };
        self.close(key);
        true
    }

    /// Stops waiting for an attempt; `false` if it is not on this connection. Closing a connection calls off
    /// all attempts on it, so it is closed only if nobody waits for another one.
    pub fn cancel(
        &mut self,
        key: usize,
        id: RequestId,
        attempt: u32,
        given_up: AbandonedAttempt,
        now: Nanos,
    ) -> bool {
        let Some(c) = self.all.get_mut(key) else { return false };
        let (server, over) = (c.node, c.link.over);
        let first = c.pipe.head() == Some(Some((id, attempt)));
        let called = c.pipe.cancel((id, attempt));
        match called {
            CancelOutcome::NotFound => return false,
            CancelOutcome::Queued => {}
            CancelOutcome::PartlyWritten => {
                // Danger: to write the rest would send something for a request that is over.
                self.close(key);
                self.unheard(server, over, given_up, now);
                return true;
            }
            // What of a long value is still to come is dropped.
            CancelOutcome::Written => c.passing &= !first,
        }
        if c.pipe.has_no_waiters() && c.pipe.in_flight() > 0 {
            let node = self.nodes.get_mut(&c.node).filter(|_| c.greeting.is_some());
            node.into_iter().for_each(Node::left_unheard);
            self.close(key);
        }
        if called == CancelOutcome::Written {
            self.unheard(server, over, given_up, now);
        }
        true
    }

    /// Notes that a request was given up over an address; what rests on it is closed if it is silent.
    fn unheard(&mut self, server: ServerId, over: AddressId, given_up: AbandonedAttempt, now: Nanos) {
        let Some(node) = self.nodes.get_mut(&server) else { return };
        if node.book.request_unanswered(over, given_up.sent_at, !given_up.timed_out, now) {
            self.close_resting(server, |c| c.link.over == over);
        }
    }

    /// Closes a connection that its node has ended.
    pub(super) fn lost(&mut self, key: usize, now: Nanos) {
        let Some(c) = self.all.get(key) else { return };
        if let Some(node) = self.nodes.get_mut(&c.node).filter(|_| !c.used) {
            // It took the connection, and never answered on it.
            node.book.connection_failed(c.link.over, now);
        }
        if c.greeting.is_some() {
            // Nodes that can't read a greeting may close on it.
            self.nodes.get_mut(&c.node).map(|n| n.greeted(Protocol::Two));
        }
        let crossed = c.pipe.in_flight() == 1
            && c.reply.is_empty()
            && !c.midway()
            && now.saturating_sub(c.moved) < CROSSED;
        if crossed && c.rested > 0 {
            self.rests.used(c.rested, true);
            self.fresh = self.rests.fresh(self.stated);
        }
        if !c.used {
            self.refused(key, now);
            self.close(key);
        } else if c.pipe.in_flight() == 0 {
            // It closed an idle one; what waited for the end of its rest has met nobody yet.
            self.close_and_go_on(key, now);
        } else {
            self.close(key);
        }
    }

    /// Closes a connection and tells what became of the attempts on it.
    pub fn close(&mut self, key: usize) {
        self.end_all(key, Status::Reset);
    }

    fn end_all(&mut self, key: usize, status: Status) {
        let Some(c) = self.all.try_remove(key) else { return };
        self.rivals -= usize::from(c.rival.is_some());
        if let Some(node) = self.nodes.get_mut(&c.node) {
            node.connections.retain(|k| *k != key);
        }
        let passing = c.pipe.head().flatten().filter(|_| c.passing);
        let (mut broke, mut uncertain) = (false, 0);
        for (tag, fate) in c.pipe.into_outcomes() {
            broke = true;
            uncertain += u64::from(fate == DisconnectOutcome::Unknown);
            self.news.push_back(match fate {
                _ if passing == Some(tag) => NodeEvent::ValueTruncated(tag.0),
                DisconnectOutcome::Unknown => NodeEvent::Ended(tag.0, tag.1, status, Reply::default()),
                DisconnectOutcome::NotWritten => {
                    NodeEvent::Ended(tag.0, tag.1, Status::ConnectFailed, Reply::default())
                }
            });
        }
        if let Some(node) = self.nodes.get_mut(&c.node) {
            node.counts.breaks += u64::from(broke);
            node.counts.uncertain += uncertain;
        }
    }

    /// Ends a connection whose reply can't be read. The attempt that it was for may have run, and so may those
    /// that wait behind it.
    pub(super) fn spoilt(&mut self, key: usize) {
        self.end_all(key, Status::Malformed);
    }

    /// Something came on a connection that can't be used any more by that: nobody asked for it, or nobody waits. What is
    /// not written yet goes by another.
    pub(super) fn surplus(&mut self, key: usize, now: Nanos) {
        let Some(c) = self.all.get(key) else { return };
        if c.pipe.head().is_none() {
            self.pipes.settle_delay.record_unsolicited(now.saturating_sub(c.answered));
            self.nodes.get_mut(&c.node).into_iter().for_each(|n| n.counts.surplus += 1);
        }
        self.close_and_go_on(key, now);
    }

    /// Closes a connection; what waits on it, of which no byte is written, goes by another.
    pub(super) fn close_and_go_on(&mut self, key: usize, now: Nanos) {
        let Some(c) = self.all.get_mut(key) else { return };
        let (server, jobs) = (c.node, c.pipe.take_queued());
        self.close(key);
        self.displace(server, jobs, now);
    }
}
