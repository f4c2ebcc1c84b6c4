//! Reading from cache nodes.

use super::connection::Connection;
use super::{Boxes, NodeEvent};
use calicosaddle::api::{Nanos, RequestId, Status};
use resp::{Item, Kind, Part, Protocol, Reply, ReplyReader};
use std::io::{self, Read};

/// Reads of one connection before others have their turn.
const READS: usize = 4;

impl Boxes {
    /// True if some connection may have more input without saying so again.
    pub fn has_unread_input(&self) -> bool {
        !self.again.is_empty()
    }

    /// Connections to read on with.
    pub fn take_unread(&mut self) -> Vec<usize> {
        std::mem::take(&mut self.again)
    }

    /// Drives a connection as far as its socket allows, up to a bound.
    pub fn ready(&mut self, key: usize, closed: bool, buffer: &mut [u8], now: Nanos) {
        let Some(c) = self.all.get_mut(key) else { return };
        if !c.up {
            match c.link.socket.is_up() {
                Ok(true) => {}
                Ok(false) => return,
                Err(_) => {
                    self.dial_failed(key, false, now);
                    return;
                }
            }
            c.up = true;
            c.race.attempt_succeeded(c.link.over);
            self.rivals -= usize::from(c.rival.take().is_some());
            let server = c.node;
            if let Some(node) = self.nodes.get_mut(&server) {
                node.book.connected(c.link.over, now.saturating_sub(c.link.begun));
                for times in [node.measured(), &mut self.times] {
                    times.record_connect(now.saturating_sub(c.link.begun));
                }
            }
            self.next_rival(server, now);
        }
        self.flush(key, now);
        self.read(key, closed, buffer, now);
        self.relieve(key, now);
    }

    /// Reads what has come, up to a bound.
    pub(super) fn read(&mut self, key: usize, closed: bool, buffer: &mut [u8], now: Nanos) {
        for _ in 0..READS {
            let Some(c) = self.all.get_mut(key).filter(|c| !c.paused) else { return };
            match c.link.socket.read(buffer) {
                Ok(0) => {
                    self.lost(key, now);
                    return;
                }
                Ok(n) => {
                    (c.heard, c.unread) = (now, false);
                    if !c.speaks_three() || c.pipe.in_flight() > 0 {
                        c.moved = now;
                    }
                    if !self.input(key, &buffer[..n], now) {
                        self.surplus(key, now);
                        return;
                    }
                    if self.all.get(key).is_some_and(|c| c.passing) {
                        // What its client has room for is known once this has been passed on.
                        break;
                    }
                    // A short read emptied the socket; only an end of the stream may stand behind it.
                    if n < buffer.len() && !closed {
                        return;
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => {
                    self.lost(key, now);
                    return;
                }
            }
        }
        self.again.push(key);
    }

    /// Takes replies; false if the connection can't be used any more.
    fn input(&mut self, key: usize, mut input: &[u8], now: Nanos) -> bool {
        while !input.is_empty() {
            let Some(c) = self.all.get_mut(key) else { return true };
            if let Some(greeting) = &mut c.greeting {
                let node = self.nodes.get_mut(&c.node);
                let Ok((used, answer)) = greeting.feed(input) else {
                    node.map(|n| n.greeted(Protocol::Two));
                    self.spoilt(key);
                    return true;
                };
                input = &input[used..];
                let Some(answer) = answer else { continue };
                let protocol = *answer.as_ref().unwrap_or(&Protocol::Two);
                (c.greeting, c.reader) = (None, ReplyReader::new(protocol));
                let Some(node) = node else { continue };
                if let (true, Err(error)) = (node.greeted(protocol), answer) {
                    let error = String::from_utf8_lossy(&error).escape_debug().to_string();
                    eprintln!("{}: refuses RESP3 ({error}); RESP2 until it starts anew", node.name);
                }
                continue;
            }
            let front = c.pipe.head();
            let three = c.speaks_three();
            // Danger: an answer that nobody asked for would pass for the next request's.
            if front.is_none() && !three {
                return false;
            }
            let Ok((used, item)) = c.reader.feed(input) else {
                self.spoilt(key);
                return true;
            };
            if !three && front != Some(None) && !matches!(item, Some(Item::Part(_))) {
                c.reply.extend_from_slice(&input[..used]);
            }
            input = &input[used..];
            let item = match item {
                Some(Item::Part(part)) => match self.part(key, part) {
                    Some(reply) => Some(Item::Reply(reply, Vec::new())),
                    None => continue,
                },
                item => item,
            };
            let Some(c) = self.all.get_mut(key) else { return true };
            let (reply, value) = match item {
                Some(Item::Reply(reply, value)) => (reply, value),
                Some(Item::Push(told)) => {
                    self.news.push_back(NodeEvent::Push(c.node, told));
                    continue;
                }
                Some(Item::Part(_)) | None => continue,
            };
            let Some(answered) = c.pipe.complete_head(now) else { return false };
            let bytes = if three { value } else { std::mem::take(&mut c.reply) };
            let passed = std::mem::take(&mut c.passing);
            (c.answered, c.ready) =
                (now, if c.depth() == 0 { now + self.pipes.settle_delay.duration() } else { now });
            let (server, first) = (c.node, !std::mem::replace(&mut c.used, true));
            if let Some(node) = self.nodes.get_mut(&c.node) {
                node.book.answer_received(c.link.over, answered.latency, now);
                for times in [node.measured(), &mut self.times] {
                    times.record_answer(
                        answered.kind,
                        answered.pipelined,
                        answered.latency,
                        answered.head_time,
                    );
                }
            }
            if c.rested > 0 {
                self.rests.used(std::mem::take(&mut c.rested), false);
            }
            if first {
                let answering = self.answering(server);
                self.nodes.get_mut(&server).into_iter().for_each(|n| n.room.record_answering(answering));
            }
            let Some((id, attempt)) = answered.tag else { continue };
            self.news.push_back(match reply.kind {
                _ if passed => NodeEvent::ValueComplete(id, reply),
                Kind::Served => {
                    let took = (!answered.pipelined).then_some(answered.latency);
                    NodeEvent::Served(id, attempt, reply, bytes, took)
                }
                Kind::Busy => NodeEvent::Ended(id, attempt, Status::Rejected, reply),
                Kind::Failed => NodeEvent::Ended(id, attempt, Status::Error, reply),
            });
        }
        // Only attempts that are over are left: closing spares the node their work.
        self.all.get(key).is_none_or(|c| !c.pipe.has_no_waiters() || c.pipe.in_flight() == 0)
    }

    /// Takes a part of a long value; its reply, once that is whole. The parts of one that nobody waits for any more
    /// are dropped.
    fn part(&mut self, key: usize, part: Part) -> Option<Reply> {
        let c = self.all.get_mut(key)?;
        c.reply.clear();
        if let Some((id, attempt)) = c.pipe.head().flatten() {
            if let Some((shape, length)) = part.head {
                c.passing = true;
                self.news.push_back(NodeEvent::ValueStarted(id, attempt, key, shape, length));
            }
            if c.passing && !part.bytes.is_empty() {
                self.news.push_back(NodeEvent::ValueBytes(id, part.bytes));
            }
        }
        part.tail
    }

    /// The connection, if it passes on this request's answer.
    fn passing(&mut self, key: usize, id: RequestId) -> Option<&mut Connection> {
        let of = |c: &Connection| c.pipe.head().flatten().is_some_and(|(first, _)| first == id);
        self.all.get_mut(key).filter(|c| c.passing && of(c))
    }

    /// Reads nothing more of a connection for now, or goes on.
    pub fn set_paused(&mut self, key: usize, id: RequestId, paused: bool, now: Nanos) {
        let Some(c) = self.passing(key, id) else { return };
        if std::mem::replace(&mut c.paused, paused) && !paused {
            c.heard = now;
            self.again.push(key);
        }
    }

    /// Gives up a long value that nobody waits for any more.
    pub fn stop_streaming(&mut self, key: usize, id: RequestId) {
        if self.passing(key, id).is_some() {
            self.close(key);
        }
    }
}
