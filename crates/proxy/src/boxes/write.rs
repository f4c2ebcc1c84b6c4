//! Writing to cache nodes: everything queued on a connection goes out in one batch, and each attempt is checked when it
//! enters the batch.

use super::connection::Connection;
use super::node::Node;
use super::{Boxes, NodeEvent, QueuedAttempt, MAX_IDLE_BUFFER_BYTES, MS};
use crate::io_error::ErrorCause;
use crate::write_history::{Endpoint, WrittenAttempt};
use calicosaddle::api::{Nanos, Status};
use resp::{HelloReplyParser, Reply};
use std::io::{self, IoSlice, Write};

/// Bytes read at once from a connection that has unread input before a write.
const CHECK_BUFFER_BYTES: usize = 4 << 10;
/// Ends each line and each value in RESP.
const LINE_END: &[u8] = b"\r\n";

impl Connection {
    /// Writes the unwritten part of the batch, as far as the socket takes it in one call.
    fn write_batch(&mut self) -> io::Result<usize> {
        let value = self.long_value.as_ref().map_or(&[][..], |query| query.value());
        let end = if self.long_value.is_some() { LINE_END } else { &[] };
        let mut skip = self.pipeline.batch_progress().1;
        let parts = [&self.write_buffer[..], value, end].map(|part| {
            let skipped = skip.min(part.len());
            skip -= skipped;
            IoSlice::new(&part[skipped..])
        });
        match self.long_value {
            Some(_) => self.link.socket.write_vectored(&parts),
            None => self.link.socket.write(&parts[0]),
        }
    }
}

/// The outcome of an attempt that must not be written any more. While it waited, its node may have begun to drain or
/// changed its address, its client may have left, its deadline may have passed, or another attempt may have been carried
/// out so long ago that nodes would not recognise this one as its repeat. `endpoint` is where its connection leads, and
/// `required` the only one to which it may be written, if there is one.
fn outcome_instead_of_sending(
    queued: &QueuedAttempt,
    node: Option<&Node>,
    endpoint: Endpoint,
    required: Option<Endpoint>,
    now: Nanos,
) -> Option<Status> {
    let Some(node) = node.filter(|n| n.accepts_work()) else { return Some(Status::NotSent) };
    let is_allowed = queued.query.send_until.get() > now && queued.may_be_written(now);
    let leads_elsewhere = endpoint.process_started_at != node.entry.started_at
        || required.is_some_and(|required| required != endpoint);
    if !is_allowed || leads_elsewhere {
        return Some(Status::NotSent);
    }
    (!node.has_endpoint(endpoint) || queued.deadline <= now).then_some(Status::ConnectFailed)
}

impl Boxes {
    /// When the next write is due: at the end of the operator's batch delay or of the first settle delay.
    pub fn next_write_at(&self) -> Option<Nanos> {
        let settled = self.settling.first().map(|(at, _)| *at);
        let retry = self.unopened.next_retry().into_iter().chain(self.retries.next_due());
        self.batch_due().into_iter().chain(settled).chain(retry).min()
    }

    fn batch_due(&self) -> Option<Nanos> {
        (!self.write_queue.is_empty())
            .then(|| self.batch_started_at + self.pipeline_options.batch_delay_us * 1_000)
    }

    /// Writes to the connections whose write is due; returns whether any was due.
    ///
    /// The socket of each idle connection is checked before it is written to, whether or not the event loop has
    /// reported input: unsolicited bytes would be taken for the next reply, and a close may not be known yet. This
    /// costs one system call per batch. In RESP3 the bytes may be a push, so they are read first; a connection that
    /// has even more input than that gets no new attempt until the event loop has read it.
    pub fn write_due(&mut self, now: Nanos) -> bool {
        if self.next_write_at().is_none_or(|at| now < at) {
            return false;
        }
        while let Some(key) = self.retries.pop_due(now) {
            self.unread.insert(key);
            self.flush_if_quiet(key, now);
        }
        if self.unopened.next_retry().is_some_and(|at| at <= now) {
            self.retry_unopened(now);
        }
        if self.batch_due().is_some_and(|at| at <= now) {
            while let Some(key) = self.write_queue.pop() {
                self.check_and_flush(key, now);
            }
        }
        while let Some(settled) = self.settling.first().copied().filter(|(at, _)| *at <= now) {
            self.settling.remove(&settled);
            self.check_and_flush(settled.1, now);
        }
        true
    }

    fn check_and_flush(&mut self, key: usize, now: Nanos) {
        let Some(c) = self.connections.get_mut(key) else { return };
        if let Some(settled_at) = c.settling_until(now) {
            // The attempt for which this write was due has gone, and the next one has to wait longer.
            if c.write_queued {
                self.settling.insert((settled_at, key));
            }
            return;
        }
        if !std::mem::take(&mut c.write_queued) {
            // The key has been reused for another connection, or the batch has already been written.
            return;
        }
        self.flush_if_quiet(key, now);
    }

    /// Writes to a connection, unless it is idle and has unread input. Then its attempts go elsewhere.
    pub(super) fn flush_if_quiet(&mut self, key: usize, now: Nanos) {
        let Some(c) = self.connections.get_mut(key).filter(|c| c.may_write(now)) else {
            return;
        };
        if c.pipeline.in_flight() > 0
            || c.pipeline.has_batch()
            || !c.pipeline.has_queued()
            || c.link.socket.is_quiet()
        {
            self.flush(key, now);
            return;
        }
        if !c.uses_resp3() {
            self.close_and_reassign(key, now);
            return;
        }
        let (server, mut queued) = (c.server, c.pipeline.take_queued());
        self.read(key, &mut [0; CHECK_BUFFER_BYTES], now);
        if let Some(c) = self.connections.get_mut(key) {
            c.has_unread = !c.link.socket.is_quiet();
            if !c.has_unread && !c.mid_reply() {
                queued.drain(..).for_each(|attempt| c.pipeline.push(attempt));
                self.flush(key, now);
            }
        }
        self.reassign(server, queued, now);
    }

    /// Writes until nothing is left or the socket takes no more. The caller has made sure that no input is unread.
    pub(super) fn flush(&mut self, key: usize, now: Nanos) {
        while let Some(c) = self.connections.get_mut(key).filter(|c| c.may_write(now)) {
            if !c.pipeline.has_batch() && !self.fill_batch(key, now) {
                return;
            }
            let Some(c) = self.connections.get_mut(key) else { return };
            if c.pipeline.peek_batch().is_some_and(|queued| !queued.may_be_written(now)) {
                // Its first bytes are written, so the connection can carry nothing else.
                self.close(key);
                return;
            }
            match c.write_batch() {
                Ok(bytes) => self.record_written(key, bytes, now),
                Err(error) => match ErrorCause::of(&error) {
                    ErrorCause::Interrupted => {}
                    ErrorCause::WouldBlock => {
                        self.return_unstarted(key);
                        return;
                    }
                    ErrorCause::LocalShortage => {
                        self.return_unstarted(key);
                        self.retries.push(key, now);
                        return;
                    }
                    ErrorCause::NoRoute | ErrorCause::Peer => {
                        self.close(key);
                        return;
                    }
                },
            }
        }
    }

    /// Accounts for written bytes of the batch, and for each command that is fully written by them.
    fn record_written(&mut self, key: usize, bytes: usize, now: Nanos) {
        let Some(c) = self.connections.get_mut(key) else { return };
        c.last_active = now;
        if let Some(node) = self.nodes.get_mut(&c.server) {
            node.stats.writes += 1;
        }
        let (server, endpoint) = (c.server, c.endpoint());
        let (attempts_written, events) = (&mut self.attempts_written, &mut self.events);
        c.pipeline.record_written(bytes, now, |queued| {
            *attempts_written += 1;
            if !queued.query.has_effect() {
                return;
            }
            let written = WrittenAttempt { attempt: queued.attempt, server, endpoint, written_at: now };
            queued.query.written.borrow_mut().record(written);
            events.push_back(NodeEvent::Written(queued.id));
        });
        if !c.pipeline.has_batch() {
            c.long_value = None;
            c.write_buffer.clear();
            c.write_buffer.shrink_to(MAX_IDLE_BUFFER_BYTES);
        }
    }

    /// Returns the commands of the batch that are entirely unwritten to the queue. They are checked again when the
    /// socket is writable.
    fn return_unstarted(&mut self, key: usize) {
        let Some(c) = self.connections.get_mut(key) else { return };
        let batch_bytes = c.pipeline.requeue_unstarted();
        if batch_bytes <= c.write_buffer.len() {
            c.write_buffer.truncate(batch_bytes);
            c.long_value = None;
        }
    }

    /// Encodes the next commands into the batch; returns false if there are none.
    fn fill_batch(&mut self, key: usize, now: Nanos) -> bool {
        let Some(c) = self.connections.get_mut(key) else { return false };
        c.write_buffer.clear();
        while (c.write_buffer.is_empty() || c.write_buffer.len() < self.pipeline_options.batch_bytes)
            && c.long_value.is_none()
        {
            let Some(queued) = c.pipeline.pop_queued() else { break };
            let node = self.nodes.get_mut(&c.server);
            let required = queued.required_endpoint(c.server, self.repeat_writes_across_addresses);
            let unsent = outcome_instead_of_sending(&queued, node.as_deref(), c.endpoint(), required, now);
            if let Some(status) = unsent {
                self.events.push_back(NodeEvent::Ended(queued.id, queued.attempt, status, Reply::default()));
                continue;
            }
            if !c.pipeline.has_batch() {
                // A newly established connection has not been idle.
                let idle = c.has_replied && c.pipeline.in_flight() == 0;
                c.idle_before_write = if idle { now.saturating_sub(c.last_active) } else { 0 };
            }
            let start = c.write_buffer.len();
            if std::mem::take(&mut c.sends_hello) {
                // Sent together with the first command, so that it costs no round trip.
                c.write_buffer.extend(self.hello.iter().flatten());
                c.hello_reply = Some(HelloReplyParser::default());
            }
            let remaining_ms = ((queued.deadline - now) / MS).max(1);
            queued.query.encode(remaining_ms, &mut c.write_buffer);
            let is_long = pipeline::Command::kind(&queued).large_value;
            if queued.query.write && !is_long {
                c.write_buffer.extend_from_slice(queued.query.value());
                c.write_buffer.extend_from_slice(LINE_END);
            }
            let uncopied_bytes = if is_long { queued.query.value().len() + LINE_END.len() } else { 0 };
            c.long_value = is_long.then(|| queued.query.clone());
            c.pipeline.add_to_batch(queued, c.write_buffer.len() - start + uncopied_bytes);
            if let Some(node) = node {
                node.attempts_sent += 1;
                node.attempts_sent_leaving += u64::from(node.leaving_since.is_some());
            }
        }
        c.pipeline.has_batch()
    }
}
