//! Opening connections. The addresses of a node race as in RFC 8305 (Happy Eyeballs): a second dial starts beside the
//! first when that fails or takes longer than the connection attempt delay.

use super::connection::Connection;
use super::node::Node;
use super::socket::{Dial, Socket};
use super::{Boxes, NewConnection, QueuedAttempt};
use crate::event_loop::Source;
use crate::io_error::ErrorCause;
use crate::write_history::Endpoint;
use addresses::{Address, ConnectionRace};
use calicosaddle::api::{Nanos, ServerId};
use mio::{Registry, Token};
use pipeline::{ForeignReplyDetector, Pipeline};
use resp::{Protocol, ReplyReader};

/// Why no address of a node is being dialed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DialError {
    /// No descriptor is free.
    NoDescriptor,
    /// No address is left that could be dialed.
    NoAddress,
    /// This machine can't open a socket at the moment, or has no way to any of the addresses.
    Local,
}

/// Dials the addresses of a race in order until one can be dialed.
///
/// # Errors
/// [`DialError::NoAddress`], or [`DialError::Local`] if an address could not be dialed for a cause on this machine.
fn dial(
    node: &mut Node,
    race: &mut ConnectionRace,
    registry: &Registry,
    token: Token,
    now: Nanos,
) -> Result<Dial, DialError> {
    let mut result = DialError::NoAddress;
    while let Some(address) = race.start_next() {
        let opened = node.addresses.address(address).map(|at| open_socket(at, registry, token));
        let cause = match opened {
            Some(Ok(socket)) => return Ok(Dial { address, socket, started_at: now }),
            Some(Err(cause)) => cause,
            None => ErrorCause::Peer,
        };
        if cause.is_local() {
            result = DialError::Local;
        }
        if cause != ErrorCause::LocalShortage {
            node.addresses.connection_failed(address, now);
        }
        race.attempt_failed(address);
    }
    Err(result)
}

/// Opens a socket that connects to an address.
fn open_socket(address: &Address, registry: &Registry, token: Token) -> Result<Socket, ErrorCause> {
    let connected = Socket::connect(address);
    let mut socket = connected.map_err(|error| match address {
        Address::Tcp(_) => ErrorCause::of_connect(&error),
        // EAGAIN says that the node's backlog is full.
        Address::Unix(_) => ErrorCause::of(&error),
    })?;
    socket.register(registry, token).map_err(|error| ErrorCause::of(&error))?;
    Ok(socket)
}

impl Boxes {
    /// Opens a connection to a node, to the required endpoint if there is one. Returns its key.
    ///
    /// # Errors
    /// No descriptor is free, or no address can be dialed.
    pub(super) fn open(
        &mut self,
        server: ServerId,
        required: Option<Endpoint>,
        queued: &QueuedAttempt,
        now: Nanos,
    ) -> Result<(usize, NewConnection), DialError> {
        if self.descriptors() >= self.descriptor_limit && !self.evict_idle() {
            return Err(DialError::NoDescriptor);
        }
        let node = self.nodes.get_mut(&server).ok_or(DialError::NoAddress)?;
        let process_started_at = node.entry.started_at;
        let order = match required {
            Some(endpoint) => vec![endpoint.address],
            None => node.addresses.connection_order(now, queued.query.write),
        };
        let mut race = ConnectionRace::new(order);
        let entry = self.connections.vacant_entry();
        let key = entry.key();
        let token = Source::Node(key).token();
        let link = dial(node, &mut race, &self.registry, token, now)?;
        let remaining = queued.deadline.saturating_sub(now);
        let connection_attempt_delay =
            race.can_start_another().then(|| node.addresses.attempt_delay(link.address, remaining));
        self.last_serial += 1;
        node.connections.push(key);
        let sends_hello = self.hello.is_some() && node.should_send_hello();
        entry.insert(Connection {
            link,
            racing_dial: None,
            race,
            server,
            serial: self.last_serial,
            process_started_at,
            connected: false,
            pipeline: Pipeline::default(),
            write_buffer: Vec::new(),
            long_value: None,
            write_queued: false,
            sends_hello,
            hello_reply: None,
            reader: ReplyReader::new(Protocol::Two),
            reply_bytes: Vec::new(),
            reply_reservation: None,
            waits_for_memory: false,
            last_active: now,
            last_read: now,
            has_unread: false,
            reply_began: 0,
            foreign_replies: ForeignReplyDetector::default(),
            last_reply: 0,
            ready_at: [0; 2],
            idle_before_write: 0,
            streaming: false,
            paused: false,
            has_replied: false,
        });
        Ok((key, NewConnection { serial: self.last_serial, connection_attempt_delay }))
    }

    /// The connection attempt delay is over: dials the next address beside the first, if descriptors allow it.
    pub fn start_race(&mut self, key: usize, serial: u64, now: Nanos) {
        if self.connections.get(key).is_some_and(|c| c.serial == serial) {
            self.dial_racing(key, now);
        }
    }

    /// Starts the racing dial of a connection that is not established. Each node has one racing dial at a time, so that
    /// it never sees more than one connection beyond its limit.
    fn dial_racing(&mut self, key: usize, now: Nanos) {
        let is_racing = |k: &usize| self.connections.get(*k).is_some_and(|c| c.racing_dial.is_some());
        let connecting = self.connections.get(key).filter(|c| !c.connected);
        let Some(node) = connecting.and_then(|c| self.nodes.get(&c.server)) else { return };
        if self.descriptors() >= self.descriptor_limit || node.connections.iter().any(is_racing) {
            return;
        }
        let Some(c) = self.connections.get_mut(key) else { return };
        let Some(node) = self.nodes.get_mut(&c.server) else { return };
        c.racing_dial = dial(node, &mut c.race, &self.registry, Source::NodeRace(key).token(), now).ok();
        self.racing_dials += usize::from(c.racing_dial.is_some());
    }

    /// A race at a node is over: starts the racing dial of the node's next connection whose delay is over.
    pub(super) fn start_next_race(&mut self, server: ServerId, now: Nanos) {
        let Some(node) = self.nodes.get(&server) else { return };
        let is_due = |k: &&usize| {
            self.connections.get(**k).is_some_and(|c| {
                let delay = node.addresses.attempt_delay(c.link.address, Nanos::MAX);
                !c.connected
                    && c.racing_dial.is_none()
                    && c.race.can_start_another()
                    && now.saturating_sub(c.link.started_at) >= delay
            })
        };
        if let Some(key) = node.connections.iter().find(is_due).copied() {
            self.dial_racing(key, now);
        }
    }

    /// One of a connection's dials failed: the other one continues, or the next address is dialed.
    pub(super) fn dial_failed(&mut self, key: usize, is_racing: bool, cause: ErrorCause, now: Nanos) {
        let Some(c) = self.connections.get_mut(key) else { return };
        let Some(node) = self.nodes.get_mut(&c.server) else { return };
        let other = c.racing_dial.take();
        self.racing_dials -= usize::from(other.is_some());
        let failed = if is_racing { other.as_ref().map(|d| d.address) } else { Some(c.link.address) };
        if let Some(id) = failed {
            if cause != ErrorCause::LocalShortage {
                node.addresses.connection_failed(id, now);
            }
            c.race.attempt_failed(id);
        }
        if is_racing {
            self.dial_racing(key, now);
            return;
        }
        let token = Source::Node(key).token();
        let other = other.and_then(|mut d| d.socket.reregister(&self.registry, token).ok().map(|()| d));
        let next = other.map_or_else(|| dial(node, &mut c.race, &self.registry, token, now), Ok);
        match next {
            Ok(link) => c.link = link,
            Err(error) if error == DialError::Local || cause.is_local() => {
                self.close_and_reassign(key, now);
                return;
            }
            Err(_) => {
                self.record_refusal(key, now);
                self.close(key);
                return;
            }
        }
        // After a failure the next dial starts at once; the delay is for dials that may still succeed.
        self.dial_racing(key, now);
    }

    /// Handles readiness of a racing dial's socket; returns whether it won the race and the connection is established.
    pub fn race_ready(&mut self, key: usize, now: Nanos) -> bool {
        let Some(c) = self.connections.get_mut(key).filter(|c| !c.connected) else { return false };
        let Some(racing) = &c.racing_dial else { return false };
        match racing.socket.is_up() {
            Ok(false) => return false,
            Err(error) => {
                self.dial_failed(key, true, ErrorCause::of_connect(&error), now);
                return false;
            }
            Ok(true) => {}
        }
        let Some(mut winner) = c.racing_dial.take() else { return false };
        self.racing_dials -= 1;
        if winner.socket.reregister(&self.registry, Source::Node(key).token()).is_err() {
            return false;
        }
        // The first address had more time and is not connected, so the next connection tries another one first.
        let loser = std::mem::replace(&mut c.link, winner);
        if let Some(node) = self.nodes.get_mut(&c.server) {
            node.addresses.connection_failed(loser.address, now);
        }
        true
    }

    /// Closes a connection that was not established in time.
    pub fn connect_timeout(&mut self, key: usize, serial: u64, now: Nanos) {
        let connecting = self.connections.get(key).filter(|c| c.serial == serial && !c.connected);
        let Some(c) = connecting else { return };
        if let Some(node) = self.nodes.get_mut(&c.server) {
            c.race.in_progress().iter().for_each(|id| node.addresses.connection_failed(*id, now));
        }
        self.close(key);
    }

    /// Records that a node refused a connection or ended it before any reply.
    pub(super) fn record_refusal(&mut self, key: usize, now: Nanos) {
        let Some(server) = self.connections.get(key).map(|c| c.server) else { return };
        let replied = self.replied_connections(server);
        self.nodes.get_mut(&server).into_iter().for_each(|n| n.connection_limit.record_refused(replied, now));
    }

    /// Number of connections to a node that have carried a reply.
    pub(super) fn replied_connections(&self, server: ServerId) -> usize {
        let keys = self.nodes.get(&server).map_or(&[][..], |n| &n.connections);
        keys.iter().filter(|k| self.connections.get(**k).is_some_and(|c| c.has_replied)).count()
    }
}
