//! Opening connections.

use super::connection::Connection;
use super::node::Node;
use super::socket::{Dial, Socket};
use super::{Boxes, NewConnection, QueuedAttempt};
use crate::turn::Source;
use addresses::{AddressId, ConnectionRace};
use calicosaddle::api::{Nanos, ServerId};
use mio::{Registry, Token};
use pipeline::Pipeline;
use resp::{Protocol, ReplyReader};

/// Connects to the next address of a race that can be connected to.
fn dial(
    node: &mut Node,
    race: &mut ConnectionRace,
    registry: &Registry,
    token: Token,
    now: Nanos,
) -> Option<Dial> {
    while let Some(over) = race.start_next() {
        let socket = node.book.address(over).map(Socket::connect);
        if let Some(Ok(mut socket)) = socket {
            if socket.register(registry, token).is_ok() {
                return Some(Dial { over, socket, begun: now });
            }
        }
        node.book.connection_failed(over, now);
        race.attempt_failed(over);
    }
    None
}

impl Boxes {
    pub(super) fn open(
        &mut self,
        server: ServerId,
        only: Option<AddressId>,
        job: &QueuedAttempt,
        now: Nanos,
    ) -> (Option<usize>, Option<NewConnection>) {
        if self.descriptors() >= self.limit && !self.evict() {
            return (None, None);
        }
        let Some(node) = self.nodes.get_mut(&server) else { return (None, None) };
        let order = match only {
            Some(id) => vec![id],
            None => node.book.connection_order(now, job.query.write),
        };
        let mut race = ConnectionRace::new(order);
        let entry = self.all.vacant_entry();
        let key = entry.key();
        let token = Source::Box(key).token();
        let Some(link) = dial(node, &mut race, &self.registry, token, now) else { return (None, None) };
        let left = job.deadline.saturating_sub(now);
        let stagger = race.can_start_another().then(|| node.book.attempt_delay(link.over, left));
        self.serial += 1;
        node.connections.push(key);
        let greets = self.hello.is_some() && node.greets();
        entry.insert(Connection {
            link,
            rival: None,
            race,
            node: server,
            serial: self.serial,
            up: false,
            pipe: Pipeline::default(),
            out: Vec::new(),
            long: None,
            dirty: false,
            greets,
            greeting: None,
            reader: ReplyReader::new(Protocol::Two),
            reply: Vec::new(),
            moved: now,
            heard: now,
            unread: false,
            answered: 0,
            ready: 0,
            rested: 0,
            passing: false,
            paused: false,
            used: false,
        });
        (Some(key), Some(NewConnection { serial: self.serial, stagger_delay: stagger }))
    }

    /// Tries the next address beside the one that is not up, if descriptors allow it.
    pub fn start_staggered(&mut self, key: usize, serial: u64, now: Nanos) {
        if self.all.get(key).is_some_and(|c| c.serial == serial) {
            self.begin_rival(key, now);
        }
    }

    /// Dials the next address beside a connection that is not up: one at a time at each node, so that a node never
    /// sees more than one connection beyond those that it is to have, and within the descriptors.
    fn begin_rival(&mut self, key: usize, now: Nanos) {
        let raced = |k: &usize| self.all.get(*k).is_some_and(|c| c.rival.is_some());
        let Some(node) = self.all.get(key).filter(|c| !c.up).and_then(|c| self.nodes.get(&c.node)) else {
            return;
        };
        if self.descriptors() >= self.limit || node.connections.iter().any(raced) {
            return;
        }
        let Some(c) = self.all.get_mut(key) else { return };
        let Some(node) = self.nodes.get_mut(&c.node) else { return };
        c.rival = dial(node, &mut c.race, &self.registry, Source::Rival(key).token(), now);
        self.rivals += usize::from(c.rival.is_some());
    }

    /// A race at a node is over: the next of its connections that has waited long enough may have one.
    pub(super) fn next_rival(&mut self, server: ServerId, now: Nanos) {
        let Some(node) = self.nodes.get(&server) else { return };
        let waits = |k: &&usize| {
            self.all.get(**k).is_some_and(|c| {
                let delay = node.book.attempt_delay(c.link.over, Nanos::MAX);
                !c.up
                    && c.rival.is_none()
                    && c.race.can_start_another()
                    && now.saturating_sub(c.link.begun) >= delay
            })
        };
        if let Some(key) = node.connections.iter().find(waits).copied() {
            self.begin_rival(key, now);
        }
    }

    /// An attempt to connect failed: the other one goes on, or the next begins.
    pub(super) fn dial_failed(&mut self, key: usize, rival: bool, now: Nanos) {
        let Some(c) = self.all.get_mut(key) else { return };
        let Some(node) = self.nodes.get_mut(&c.node) else { return };
        let other = c.rival.take();
        self.rivals -= usize::from(other.is_some());
        let failed = if rival { other.as_ref().map(|d| d.over) } else { Some(c.link.over) };
        if let Some(id) = failed {
            node.book.connection_failed(id, now);
            c.race.attempt_failed(id);
        }
        if rival {
            self.begin_rival(key, now);
            return;
        }
        let token = Source::Box(key).token();
        let other = other.and_then(|mut d| d.socket.reregister(&self.registry, token).ok().map(|()| d));
        match other.or_else(|| dial(node, &mut c.race, &self.registry, token, now)) {
            Some(link) => c.link = link,
            None => {
                self.refused(key, now);
                self.close(key);
                return;
            }
        }
        // What has failed is followed at once; the delay is for what may yet come up.
        self.begin_rival(key, now);
    }

    /// The second address of a connection has news; true if it won, and the connection is up.
    pub fn staggered_ready(&mut self, key: usize, now: Nanos) -> bool {
        let Some(c) = self.all.get_mut(key).filter(|c| !c.up) else { return false };
        let Some(rival) = &c.rival else { return false };
        match rival.socket.is_up() {
            Ok(false) => return false,
            Err(_) => {
                self.dial_failed(key, true, now);
                return false;
            }
            Ok(true) => {}
        }
        let Some(mut rival) = c.rival.take() else { return false };
        self.rivals -= 1;
        if rival.socket.reregister(&self.registry, Source::Box(key).token()).is_err() {
            return false;
        }
        // It had the longer time, and is not up: the next connection goes elsewhere first.
        let slow = std::mem::replace(&mut c.link, rival);
        if let Some(node) = self.nodes.get_mut(&c.node) {
            node.book.connection_failed(slow.over, now);
        }
        true
    }

    /// Ends a connection that did not come up in time.
    pub fn connect_timeout(&mut self, key: usize, serial: u64, now: Nanos) {
        let Some(c) = self.all.get(key).filter(|c| c.serial == serial && !c.up) else { return };
        if let Some(node) = self.nodes.get_mut(&c.node) {
            c.race.in_progress().iter().for_each(|id| node.book.connection_failed(*id, now));
        }
        self.close(key);
    }

    /// A connection's node won't have it.
    pub(super) fn refused(&mut self, key: usize, now: Nanos) {
        let Some(server) = self.all.get(key).map(|c| c.node) else { return };
        let answering = self.answering(server);
        self.nodes.get_mut(&server).into_iter().for_each(|n| n.room.record_refused(answering, now));
    }

    /// Connections to a node that have answered.
    pub(super) fn answering(&self, server: ServerId) -> usize {
        let all = self.nodes.get(&server).map_or(&[][..], |n| &n.connections);
        all.iter().filter(|k| self.all.get(**k).is_some_and(|c| c.used)).count()
    }
}
