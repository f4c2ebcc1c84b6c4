//! Writing to cache nodes: all that waits on a connection leaves in one go, each attempt checked when its turn comes.

use super::{Boxes, News, KEPT, MS};
use calicosaddle::api::{Nanos, Status};
use resp::{Greeting, Reply};
use std::io::{self, IoSlice, Write};

impl Boxes {
    /// When something is to be written: what the operator has wait for more, or what waits for the end of a rest.
    pub fn due(&self) -> Option<Nanos> {
        self.batch_due().into_iter().chain(self.resting.first().map(|(at, _)| *at)).min()
    }

    fn batch_due(&self) -> Option<Nanos> {
        (!self.dirty.is_empty()).then(|| self.since + self.told.batch_delay_us * 1_000)
    }

    /// Writes to the connections that something was put on; true if there was one.
    ///
    /// Guards against bytes that nobody asked for: each connection that rested is looked at before it is used again,
    /// whatever the loop has heard of it so far, since what is there would pass for the next answer. It should catch
    /// ends that are not yet known as well. It costs a system call for each batch. In RESP3 the bytes may be a push:
    /// they are read first, and a connection that has more of them than that is left alone until the loop has.
    pub fn write(&mut self, now: Nanos) -> bool {
        if self.due().is_none_or(|at| now < at) {
            return false;
        }
        if self.batch_due().is_some_and(|at| at <= now) {
            while let Some(key) = self.dirty.pop() {
                self.look_and_flush(key, now);
            }
        }
        while let Some(over) = self.resting.first().copied().filter(|(at, _)| *at <= now) {
            self.resting.remove(&over);
            self.look_and_flush(over.1, now);
        }
        true
    }

    fn look_and_flush(&mut self, key: usize, now: Nanos) {
        let Some(c) = self.all.get_mut(key).filter(|c| c.ready <= now) else { return };
        if !std::mem::take(&mut c.dirty) {
            // Another connection has come to this place since, or it was written to.
            return;
        }
        if c.pipe.in_flight() > 0 || c.pipe.has_batch() || !c.pipe.has_queued() || c.link.socket.is_quiet() {
            self.flush(key, now);
            return;
        }
        if !c.speaks_three() {
            self.close_and_go_on(key, now);
            return;
        }
        let (server, mut jobs) = (c.node, c.pipe.take_queued());
        self.read(key, false, &mut [0; 4 << 10], now);
        if let Some(c) = self.all.get_mut(key) {
            c.unread = !c.link.socket.is_quiet();
            if !c.unread && !c.midway() {
                jobs.drain(..).for_each(|job| c.pipe.push(job));
                self.flush(key, now);
            }
        }
        self.displace(server, jobs, now);
    }

    /// Writes what the socket takes.
    pub(super) fn flush(&mut self, key: usize, now: Nanos) {
        while let Some(c) = self.all.get_mut(key).filter(|c| c.ready <= now || c.pipe.has_batch()) {
            if !c.pipe.has_batch() && !self.fill(key, now) {
                return;
            }
            let Some(c) = self.all.get_mut(key) else { return };
            let value = c.long.as_ref().map_or(&[][..], |query| query.value());
            let end = if c.long.is_some() { &b"\r\n"[..] } else { &[] };
            let mut skip = c.pipe.batch_progress().1;
            let parts = [&c.out[..], value, end].map(|part| {
                let n = skip.min(part.len());
                skip -= n;
                IoSlice::new(&part[n..])
            });
            let wrote = match c.long {
                Some(_) => c.link.socket.write_vectored(&parts),
                None => c.link.socket.write(&parts[0]),
            };
            match wrote {
                Ok(n) => {
                    c.moved = now;
                    if let Some(node) = self.nodes.get_mut(&c.node) {
                        node.counts.writes += 1;
                    }
                    let (place, written) = ((c.node, c.link.over), &mut self.written);
                    c.pipe.record_written(n, now, |job| {
                        *written += 1;
                        if job.query.write {
                            job.query.sent_via.borrow_mut().push(place);
                        }
                    });
                    if !c.pipe.has_batch() {
                        c.long = None;
                        c.out.clear();
                        c.out.shrink_to(KEPT);
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    // What is not begun is looked at again when there is room.
                    let left = c.pipe.requeue_unstarted();
                    if left <= c.out.len() {
                        c.out.truncate(left);
                        c.long = None;
                    }
                    return;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => {
                    self.close(key);
                    return;
                }
            }
        }
    }

    /// Puts the next commands together; false if none is left.
    fn fill(&mut self, key: usize, now: Nanos) -> bool {
        let Some(c) = self.all.get_mut(key) else { return false };
        c.out.clear();
        while (c.out.is_empty() || c.out.len() < self.told.batch_bytes) && c.long.is_none() {
            let Some(job) = c.pipe.pop_queued() else { break };
            let node = self.nodes.get_mut(&c.node);
            let ready = node.as_ref().is_some_and(|n| n.takes());
            let listed = node.as_ref().is_some_and(|n| n.book.address(c.link.over).is_some());
            // Danger: while it waited, its node may have begun to drain or moved, and its time may have gone by.
            if !ready || !listed || job.until <= now {
                let status = if ready { Status::ConnectFailed } else { Status::NotSent };
                self.news.push_back(News::Ended(job.id, job.attempt, status, Reply::default()));
                continue;
            }
            if !c.pipe.has_batch() {
                // A connection that has just come up has not been idle.
                c.rested = if c.used && c.pipe.in_flight() == 0 { now.saturating_sub(c.moved) } else { 0 };
            }
            let before = c.out.len();
            if std::mem::take(&mut c.greets) {
                // Together with the first request, so that it costs no round trip.
                c.out.extend(self.hello.iter().flatten());
                c.greeting = Some(Greeting::default());
            }
            job.query.encode(((job.until - now) / MS).max(1), &mut c.out);
            let long = pipeline::Command::kind(&job).large_value;
            if job.query.write && !long {
                c.out.extend_from_slice(job.query.value());
                c.out.extend_from_slice(b"\r\n");
            }
            let rest = if long { job.query.value().len() + 2 } else { 0 };
            c.long = long.then(|| job.query.clone());
            c.pipe.add_to_batch(job, c.out.len() - before + rest);
            if let Some(node) = node {
                node.sent += 1;
                node.sent_leaving += u64::from(node.leaving.is_some());
            }
        }
        c.pipe.has_batch()
    }
}
