//! Which connection an attempt goes by: what the choice is made from, and what follows from it. The choice itself is
//! `pipeline`'s.

use super::connection::Connection;
use super::node::Node;
use super::{Begun, Boxes, Job, News};
use addresses::AddressId;
use calicosaddle::api::{Nanos, ServerId, Status};
use pipeline::{Command, ConnectionState, LatencyContext, Placement, PlacementRequest};

impl Boxes {
    /// Sends an attempt: it will be written at the end of this step of the loop, or when its connection is up.
    /// Returns the connection, and what it is if it is new; nothing if the attempt ended at once.
    pub fn send(&mut self, server: ServerId, job: Job, now: Nanos) -> Option<(usize, Option<Begun>)> {
        if !self.nodes.contains_key(&server) {
            self.end(job, Status::NotSent);
            return None;
        }
        let Some((key, new)) = self.place(server, &job, now) else {
            let connected = self.nodes.get(&server).is_some_and(|n| !n.connections.is_empty());
            self.end(job, Status::without_connection(connected));
            return None;
        };
        self.put(key, job, now);
        Some((key, new))
    }

    /// Puts an attempt on a connection.
    fn put(&mut self, key: usize, job: Job, now: Nanos) {
        let c = &mut self.all[key];
        c.pipe.push(job);
        if c.up && !std::mem::replace(&mut c.dirty, true) {
            if c.ready > now {
                self.resting.insert((c.ready, key));
                return;
            }
            if self.dirty.is_empty() {
                self.since = now;
            }
            self.dirty.push(key);
        }
    }

    /// The address that a write has to go over.
    ///
    /// Danger: a write that may have arrived over one address of a node would be another one over the next, should
    /// the node know repeats by where they come in. It goes over the same address or not at all.
    fn only(&self, node: &Node, job: &Job) -> Option<AddressId> {
        let gone = job.query.sent_via.borrow();
        let gone = gone.iter().find(|(s, _)| *s == node.entry.server).map(|(_, over)| *over);
        gone.filter(|_| !self.across && node.book.len() > 1)
    }

    /// The connection for an attempt, opened if need be.
    fn place(&mut self, server: ServerId, job: &Job, now: Nanos) -> Option<(usize, Option<Begun>)> {
        let node = self.nodes.get(&server)?;
        // One that passes on a long value is held by its client's pace and carries nothing else meanwhile.
        let passing = |k: &&usize| self.all.get(**k).is_some_and(|c| c.passing);
        let held = node.connections.iter().filter(passing).count().min(self.per_node);
        let room =
            node.connections.len() - held < self.per_node && node.room.allows(node.connections.len(), now);
        let only = self.only(node, job);
        let mut place = self.choose(node, job, only, room, now);
        if place == Placement::New {
            if let (Some(key), new) = self.open(server, only, job, now) {
                return Some((key, new));
            }
            // There are no descriptors, or it can't be dialled.
            place = self.choose(self.nodes.get(&server)?, job, only, false, now);
        }
        place.key().map(|key| (key, None))
    }

    fn known<'a>(&'a self, node: &'a Node) -> LatencyContext<'a> {
        LatencyContext { this_box: node.times(), all_boxes: &self.times }
    }

    fn choose(
        &self,
        node: &Node,
        job: &Job,
        only: Option<AddressId>,
        room: bool,
        now: Nanos,
    ) -> Placement<usize> {
        let kind = job.kind();
        let seen = node.connections.iter().filter_map(|key| {
            let c = self.all.get(*key).filter(|c| c.takes(self.fresh, now))?;
            // One that is not up yet may come up over any address.
            let fits = if c.up { node.fits(c, only) } else { only.is_none() };
            fits.then(|| ConnectionState {
                key: *key,
                connected: c.up,
                active_since: if c.up { c.moved } else { c.link.begun },
                writable_at: c.ready,
                depth: c.depth(),
                head_age: c.pipe.head_age(now),
                latency: c.pipe.latency(),
                same_kind: c.pipe.is_uniform(kind),
            })
        });
        pipeline::choose_connection(
            &PlacementRequest { kind, target_time: job.aim, may_open: room },
            seen,
            self.known(node),
            &self.pipes,
            now,
        )
    }

    /// Finds other connections for attempts of which no byte was written.
    pub(super) fn displace(&mut self, server: ServerId, jobs: impl IntoIterator<Item = Job>, now: Nanos) {
        for job in jobs {
            let (id, attempt) = job.tag();
            if let Some((key, new)) = self.send(server, job, now) {
                self.moved(server, id, attempt, key, new);
            }
        }
    }

    fn moved(&mut self, server: ServerId, id: u64, attempt: u32, key: usize, new: Option<Begun>) {
        if let Some(node) = self.nodes.get_mut(&server) {
            node.counts.moved += 1;
        }
        self.news.push_back(News::Moved(id, attempt, key, new));
    }

    /// A connection has nothing to do any more: it takes what waits longest for one that is not up yet.
    pub(super) fn relieve(&mut self, key: usize, now: Nanos) {
        let free = |c: &&Connection| c.up && c.depth() == 0 && c.takes(self.fresh, now);
        let Some(c) = self.all.get(key).filter(free) else { return };
        let Some(node) = self.nodes.get(&c.node) else { return };
        let waits = |k: &&usize| self.all.get(**k).is_some_and(|c| !c.up && c.pipe.has_queued());
        let slow = node.connections.iter().filter(waits).min_by_key(|k| self.all[**k].link.begun);
        let Some(slow) = slow.copied() else { return };
        let fits = |job: &Job| node.fits(c, self.only(node, job));
        if !self.all[slow].pipe.peek_queued().is_some_and(fits) {
            return;
        }
        let server = c.node;
        let Some(job) = self.all[slow].pipe.pop_queued() else { return };
        let (id, attempt) = job.tag();
        self.put(key, job, now);
        self.moved(server, id, attempt, key, None);
    }

    /// What waits unwritten behind a head that has outlasted its history goes elsewhere, if there is elsewhere.
    pub(super) fn pass_by_stalled(&mut self, now: Nanos) {
        let stalled = |(key, c): (usize, &Connection)| {
            let node = self.nodes.get(&c.node)?;
            let age = c.pipe.head_age(now).filter(|_| c.up && c.pipe.has_queued())?;
            let kind = c.pipe.head_kind()?;
            let history = c.pipe.latency();
            pipeline::is_stalled(age, history, kind, self.known(node), &self.pipes).then_some(key)
        };
        let stalled: Vec<usize> = self.all.iter().filter_map(stalled).collect();
        for key in stalled {
            let Some(c) = self.all.get_mut(key) else { continue };
            let (server, jobs) = (c.node, c.pipe.take_queued());
            self.displace(server, jobs, now);
        }
    }
}
