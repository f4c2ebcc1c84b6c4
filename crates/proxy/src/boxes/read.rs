//! Reading from cache nodes: replies, long values in parts, pushes and the answer to `HELLO`.

use super::connection::Connection;
use super::{Boxes, NodeEvent};
use crate::io_error::ErrorCause;
use calicosaddle::api::{Nanos, RequestId, Status};
use pipeline::{LatencyContext, ReplyArrival};
use resp::{BodyFormat, Protocol, Reply, ReplyKind, ReplyPart, ReplyReader, ServerMessage};
use rustc_hash::FxHasher;
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};
use std::io::Read;

/// A hash of the content of a reply.
fn reply_fingerprint(reply: &Reply, bytes: &[u8]) -> u64 {
    let mut hasher = FxHasher::default();
    (reply.kind == ReplyKind::Served, reply.kind == ReplyKind::Busy, bytes).hash(&mut hasher);
    hasher.finish()
}

/// A hash of what is known of a long value when it begins.
fn value_fingerprint(format: BodyFormat, length: usize) -> u64 {
    let mut hasher = FxHasher::default();
    (std::mem::discriminant(&format), length).hash(&mut hasher);
    hasher.finish()
}

/// Reads from one connection before other sockets have their turn.
const MAX_READS_PER_TURN: usize = 4;

impl Boxes {
    /// Whether some connection may have unread input that causes no further readiness event, so that it has to be read
    /// again without waiting for one.
    pub fn has_unread_input(&self) -> bool {
        !self.unread.is_empty()
    }

    /// Takes the keys of the connections that may have unread input.
    pub fn take_unread(&mut self) -> BTreeSet<usize> {
        std::mem::take(&mut self.unread)
    }

    /// Handles readiness of a connection's socket: connects, reads and writes, up to a bound.
    ///
    /// What has arrived is read before anything is written. Bytes that came while no command was in flight are unsolicited,
    /// also where their settle delay is over by the time they are read; behind a new command they would pass for its reply.
    pub fn ready(&mut self, key: usize, buffer: &mut [u8], now: Nanos) {
        let Some(c) = self.connections.get_mut(key) else { return };
        if !c.connected {
            match c.link.socket.is_up() {
                Ok(true) => self.record_connected(key, now),
                Ok(false) => return,
                Err(error) => {
                    self.dial_failed(key, false, ErrorCause::of_connect(&error), now);
                    return;
                }
            }
        }
        let Some(c) = self.connections.get(key) else { return };
        let serial = c.serial;
        if !c.has_replied {
            // A node without room for the connection may have refused the first command before it was written.
            self.flush(key, now);
        }
        self.read(key, buffer, now);
        // The key may belong to a new connection by now.
        if self.connections.get(key).is_some_and(|c| c.serial == serial) {
            self.flush_if_quiet(key, now);
            self.take_over_waiting(key, now);
        }
    }

    /// A connection is established: ends its race.
    fn record_connected(&mut self, key: usize, now: Nanos) {
        let Some(c) = self.connections.get_mut(key) else { return };
        c.connected = true;
        c.race.attempt_succeeded(c.link.address);
        self.racing_dials -= usize::from(c.racing_dial.take().is_some());
        let server = c.server;
        if let Some(node) = self.nodes.get_mut(&server) {
            c.process_started_at = node.entry.started_at;
            let connect_time = now.saturating_sub(c.link.started_at);
            node.addresses.connected(c.link.address, connect_time);
            for latencies in [node.latencies_mut(), &mut self.latencies] {
                latencies.record_connect(connect_time);
            }
        }
        self.start_next_race(server, now);
    }

    /// Reads received bytes until the socket is empty, up to a bound. A short read does not show that it is empty.
    pub(super) fn read(&mut self, key: usize, buffer: &mut [u8], now: Nanos) {
        for _ in 0..MAX_READS_PER_TURN {
            if self.connections.get(key).is_none_or(|c| c.paused) {
                return;
            }
            let Some(limit) = self.reply_read_limit(key, buffer.len()) else { return };
            let Some(c) = self.connections.get_mut(key) else { return };
            match c.link.socket.read(&mut buffer[..limit]) {
                Ok(0) => {
                    self.connection_lost(key, now);
                    return;
                }
                Ok(n) => {
                    (c.last_read, c.has_unread) = (now, false);
                    if !c.uses_resp3() || c.pipeline.in_flight() > 0 {
                        c.last_active = now;
                    }
                    if !self.process_input(key, &buffer[..n], now) {
                        self.close_unsolicited(key, now);
                        return;
                    }
                    self.account_reply(key);
                    if self.connections.get(key).is_some_and(|c| c.streaming) {
                        // The client's remaining buffer space is known once these bytes have been passed on.
                        break;
                    }
                }
                Err(error) => match ErrorCause::of(&error) {
                    ErrorCause::Interrupted => {}
                    ErrorCause::WouldBlock => return,
                    ErrorCause::LocalShortage => {
                        self.retries.push(key, now);
                        return;
                    }
                    ErrorCause::NoRoute | ErrorCause::Peer => {
                        self.connection_lost(key, now);
                        return;
                    }
                },
            }
        }
        self.unread.insert(key);
    }

    /// Processes received bytes; returns false if the connection must be closed because they are unsolicited or no
    /// attempt is waiting on it.
    fn process_input(&mut self, key: usize, mut input: &[u8], now: Nanos) -> bool {
        while !input.is_empty() {
            let Some(c) = self.connections.get_mut(key) else { return true };
            if c.hello_reply.is_some() {
                let Some(used) = self.process_hello_reply(key, input) else { return true };
                input = &input[used..];
                continue;
            }
            let head = c.pipeline.head();
            let resp3 = c.uses_resp3();
            // An unsolicited reply would be taken for the reply to the next command.
            if head.is_none() && !resp3 {
                return false;
            }
            if !c.reader.in_progress() {
                c.reply_began = now;
            }
            let Ok((used, message)) = c.reader.feed(input) else {
                self.close_unreadable(key);
                return true;
            };
            if !resp3 && head != Some(None) && !matches!(message, Some(ServerMessage::Part(_))) {
                c.reply_bytes.reserve_exact(used);
                c.reply_bytes.extend_from_slice(&input[..used]);
            }
            input = &input[used..];
            let (reply, value) = match message {
                Some(ServerMessage::Reply(reply, value)) => (reply, value),
                Some(ServerMessage::Part(part)) => match self.process_part(key, part, now) {
                    Some(reply) => (reply, Vec::new()),
                    None => continue,
                },
                Some(ServerMessage::Push(frames)) => {
                    self.events.push_back(NodeEvent::Push(c.server, frames));
                    continue;
                }
                None => continue,
            };
            if !self.process_reply(key, reply, value, now) {
                return false;
            }
        }
        // If only cancelled attempts are left, closing the connection spares the node their work.
        self.connections.get(key).is_none_or(|c| !c.pipeline.has_no_waiters() || c.pipeline.in_flight() == 0)
    }

    /// Processes the answer to `HELLO`; returns how many bytes belong to it, or `None` if the connection was closed.
    fn process_hello_reply(&mut self, key: usize, input: &[u8]) -> Option<usize> {
        let c = self.connections.get_mut(key)?;
        let node = self.nodes.get_mut(&c.server);
        let Ok((used, answer)) = c.hello_reply.as_mut()?.feed(input) else {
            node.map(|n| n.record_protocol(Protocol::Two));
            self.close_unreadable(key);
            return None;
        };
        let Some(answer) = answer else { return Some(used) };
        let protocol = *answer.as_ref().unwrap_or(&Protocol::Two);
        (c.hello_reply, c.reader) = (None, ReplyReader::new(protocol));
        let Some(node) = node else { return Some(used) };
        if let (true, Err(error)) = (node.record_protocol(protocol), answer) {
            let error = String::from_utf8_lossy(&error).escape_debug().to_string();
            eprintln!("{}: refused HELLO 3 ({error}); using RESP2 until the node restarts", node.name);
        }
        Some(used)
    }

    /// Processes a complete reply; returns false if no command is waiting for one.
    fn process_reply(&mut self, key: usize, reply: Reply, value: Vec<u8>, now: Nanos) -> bool {
        let Some(c) = self.connections.get_mut(key) else { return true };
        if c.pipeline.head().is_none() {
            return false;
        }
        let bytes = if c.uses_resp3() { value } else { std::mem::take(&mut c.reply_bytes) };
        let arrival = c.reply_arrival(reply_fingerprint(&reply, &bytes), reply.kind == ReplyKind::Served);
        if !c.streaming && !self.accept_reply(key, &arrival, now) {
            return true;
        }
        let Some(c) = self.connections.get_mut(key) else { return true };
        let Some(answered) = c.pipeline.complete_head(now) else { return false };
        let streamed = std::mem::take(&mut c.streaming);
        c.last_reply = now;
        let (server, is_first) = (c.server, !std::mem::replace(&mut c.has_replied, true));
        self.set_ready_at(key, now);
        let Some(c) = self.connections.get_mut(key) else { return true };
        if let Some(node) = self.nodes.get_mut(&c.server) {
            node.addresses.answer_received(c.link.address, answered.latency, now);
            for latencies in [node.latencies_mut(), &mut self.latencies] {
                latencies.record_answer(
                    answered.kind,
                    answered.pipelined,
                    answered.latency,
                    answered.head_time,
                );
            }
        }
        if c.idle_before_write > 0 {
            self.idle_outcomes.record(std::mem::take(&mut c.idle_before_write), false);
        }
        if is_first {
            let replied = self.replied_connections(server);
            self.nodes
                .get_mut(&server)
                .into_iter()
                .for_each(|n| n.connection_limit.record_answering(replied));
        }
        let Some((id, attempt)) = answered.tag else { return true };
        self.events.push_back(match reply.kind {
            _ if streamed => NodeEvent::ValueComplete(id, attempt, reply),
            ReplyKind::Served => {
                let response_time = (!answered.pipelined).then_some(answered.latency);
                NodeEvent::Served(id, attempt, reply, bytes, response_time)
            }
            ReplyKind::Busy => NodeEvent::Ended(id, attempt, Status::Rejected, reply),
            ReplyKind::Failed => NodeEvent::Ended(id, attempt, Status::Error, reply),
        });
        true
    }

    /// Sets when a connection may carry its next command after a reply. Behind the other commands on it there is no delay.
    fn set_ready_at(&mut self, key: usize, now: Nanos) {
        let Some(c) = self.connections.get_mut(key) else { return };
        c.ready_at = [now; 2];
        let Some(node) = self.nodes.get(&c.server).filter(|_| c.depth() == 0) else { return };
        let latencies = LatencyContext { this_box: node.latencies(), all_boxes: &self.latencies };
        c.ready_at = [false, true].map(|write| {
            let settle_delay = self.pipeline_config.settle_delay;
            now + c.foreign_replies.settle_delay(write, &self.value_variety, latencies, settle_delay)
        });
    }

    /// Checks a reply, or a long value at its beginning, before it is passed on. Closes the connection and returns false
    /// if it was not made for the command at the head: everything behind it would be shifted. The command may have run.
    fn accept_reply(&mut self, key: usize, arrival: &ReplyArrival, now: Nanos) -> bool {
        let Some(c) = self.connections.get_mut(key) else { return false };
        let Some(node) = self.nodes.get_mut(&c.server) else { return true };
        let latencies = LatencyContext { this_box: node.latencies(), all_boxes: &self.latencies };
        if c.foreign_replies.is_foreign(arrival, &self.value_variety, latencies) {
            node.stats.unsolicited += 1;
            self.pipeline_config.settle_delay.record_unsolicited(now.saturating_sub(c.last_reply));
            self.close_unreadable(key);
            return false;
        }
        if let Some(latency) = arrival.latency.filter(|latency| c.is_reply_own(*latency)) {
            node.latencies_mut().record_own_response(latency);
            self.latencies.record_own_response(latency);
        }
        c.foreign_replies.record(arrival, &mut self.value_variety);
        true
    }

    /// Processes a part of a long value; returns its reply once that is complete. The parts of a value whose attempt
    /// was cancelled are dropped.
    fn process_part(&mut self, key: usize, part: ReplyPart, now: Nanos) -> Option<Reply> {
        if let Some((format, length)) = part.head {
            let arrival = self.connections.get(key)?.reply_arrival(value_fingerprint(format, length), true);
            if !self.accept_reply(key, &arrival, now) {
                return None;
            }
        }
        let c = self.connections.get_mut(key)?;
        c.reply_bytes = Vec::new();
        if let Some((id, attempt)) = c.pipeline.head().flatten() {
            if let Some((shape, length)) = part.head {
                c.streaming = true;
                self.events.push_back(NodeEvent::ValueStarted(id, attempt, key, shape, length));
            }
            if c.streaming && !part.bytes.is_empty() {
                self.events.push_back(NodeEvent::ValueBytes(id, attempt, part.bytes));
            }
        }
        part.tail
    }

    /// The connection, if it streams the long value of this request.
    fn streaming_connection(&mut self, key: usize, id: RequestId) -> Option<&mut Connection> {
        let head_is_request =
            |c: &Connection| c.pipeline.head().flatten().is_some_and(|(head, _)| head == id);
        self.connections.get_mut(key).filter(|c| c.streaming && head_is_request(c))
    }

    /// Pauses or resumes reading a long value.
    pub fn set_paused(&mut self, key: usize, id: RequestId, paused: bool, now: Nanos) {
        let Some(c) = self.streaming_connection(key, id) else { return };
        if std::mem::replace(&mut c.paused, paused) && !paused {
            c.last_read = now;
            self.unread.insert(key);
        }
    }

    /// Closes a connection that streams a long value for which no client waits.
    pub fn stop_streaming(&mut self, key: usize, id: RequestId) {
        if self.streaming_connection(key, id).is_some() {
            self.close(key);
        }
    }
}
