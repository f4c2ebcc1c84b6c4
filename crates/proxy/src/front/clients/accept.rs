//! New client connections: the listener, and which idle client makes room for a new one.

use super::{Client, Clients, MS, SLOT_NUMBER_BITS};
use crate::front;
use calicosaddle::api::Nanos;
use mio::net::TcpListener;
use mio::{Interest, Registry, Token};
use resp::CommandParser;
use session::Session;
use std::io;

/// The maximum number of connections accepted in an iteration of the event loop.
const MAX_ACCEPTS: usize = 64;
/// How far the number of connections may exceed its limit while idle clients have input that is about to be read, so that they
/// can't be evicted. The descriptors are among those that are reserved.
const MAX_EXCESS_CLIENTS: usize = 8;
/// How long a command may have been incomplete where its connection's place is needed for a new one. The time of the
/// request on that is running.
const CROWDED_COMMAND_TIMEOUT: Nanos = 300 * MS;
/// The same for a pause within a value, whose sender may be slow.
const CROWDED_VALUE_TIMEOUT: Nanos = 1_000 * MS;

impl Clients {
    /// Starts to listen, for the first time or again after [`Clients::stop`].
    ///
    /// # Errors
    /// The socket can't be opened or registered.
    pub fn listen(&mut self, registry: &Registry, token: Token) -> io::Result<()> {
        let mut listener = match &self.inherited {
            Some(socket) => TcpListener::from_std(socket.try_clone()?),
            None => front::bind(self.address)?,
        };
        registry.register(&mut listener, token, Interest::READABLE)?;
        (self.listener, self.stopping) = (Some(listener), false);
        Ok(())
    }

    /// When a connection can be accepted: 0 if the connection limit is not reached or an idle client can be evicted, or else
    /// when the first client with an incomplete command can. `None` if all clients have open requests.
    pub(super) fn can_accept_at(&self) -> Option<Nanos> {
        let has_idle = || self.clients.iter().any(|(_, c)| c.is_idle());
        let may_exceed = self.clients.len() < self.max_clients + MAX_EXCESS_CLIENTS;
        if self.clients.len() < self.max_clients || (may_exceed && has_idle()) {
            return Some(0);
        }
        self.clients.iter().filter_map(|(_, c)| c.incomplete_until()).min()
    }

    /// When accepting has to be tried again without an event.
    pub(super) fn next_accept_at(&self) -> Option<Nanos> {
        self.listener.as_ref().filter(|_| self.accepting).and_then(|_| self.can_accept_at())
    }

    /// Records that the listener has connections to accept.
    pub fn listener_ready(&mut self) {
        self.accepting = true;
    }

    /// Accepts up to [`MAX_ACCEPTS`] connections. `max_clients` returns the maximum number of connections, given the
    /// current number.
    ///
    /// # Errors
    /// Descriptors or memory have run out.
    pub fn accept(
        &mut self,
        registry: &Registry,
        now: Nanos,
        token: impl Fn(usize) -> Token,
        mut max_clients: impl FnMut(usize) -> usize,
    ) -> io::Result<()> {
        for _ in 0..MAX_ACCEPTS {
            if self.accepting {
                self.max_clients = max_clients(self.clients.len());
            }
            // While all clients have open requests, new connections wait in the kernel.
            if !self.accepting {
                return Ok(());
            }
            if self.can_accept_at().is_none_or(|at| at > now) {
                self.waiting_since.get_or_insert(now);
                return Ok(());
            }
            let Some(listener) = &self.listener else { return Ok(()) };
            let mut stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    (self.accepting, self.waiting_since) = (false, None);
                    return Ok(());
                }
                Err(e)
                    if matches!(e.kind(), io::ErrorKind::Interrupted | io::ErrorKind::ConnectionAborted) =>
                {
                    continue
                }
                Err(e) => {
                    self.accepting = false;
                    self.waiting_since.get_or_insert(now);
                    return Err(e);
                }
            };
            let _ = stream.set_nodelay(true);
            if self.clients.len() >= self.max_clients {
                self.evict(now);
            }
            let entry = self.clients.vacant_entry();
            let key = entry.key();
            let interest = Interest::READABLE | Interest::WRITABLE;
            if let Err(e) = registry.register(&mut stream, token(key), interest) {
                self.accepting = false;
                return Err(e);
            }
            self.accepted_count += 1;
            let parser = CommandParser::new(self.value_memory.clone());
            let session = Session::new(self.accepted_count, &self.users);
            let first_slot = self.accepted_count << SLOT_NUMBER_BITS;
            entry.insert(Client::new(stream, parser, session, first_slot, now));
            if let Some(since) = self.waiting_since {
                // Its request may have come while it waited.
                self.left_unread(key, since);
            }
        }
        self.waiting_since.get_or_insert(now);
        Ok(())
    }

    /// Closes a connection to make room: an idle one that never sent a request, or else the one idle for longest, or else the
    /// one whose command has been incomplete for longest. The order keeps many connections that send nothing from
    /// evicting clients with requests.
    fn evict(&mut self, now: Nanos) {
        let idle = self.clients.iter().filter(|(_, c)| c.is_idle());
        let mut idle: Vec<(bool, Nanos, usize)> =
            idle.map(|(key, c)| (c.request_count > 0, c.active_at, key)).collect();
        idle.sort_unstable();
        // Closing a connection with unread input would lose a command.
        let closable = idle.iter().map(|(_, _, key)| *key).find(|key| self.clients[*key].is_closable());
        let incomplete = self.clients.iter().filter_map(|(key, c)| Some((c.incomplete_until()?, key)));
        let overdue = incomplete.min().filter(|(until, _)| *until <= now).map(|(_, key)| key);
        if let Some(key) = closable.or(overdue) {
            self.remove(key);
        }
    }
}

impl Client {
    /// Until when it keeps its place with an incomplete command where places are needed; `None` if it has no such command, or
    /// has commands that are not answered.
    fn incomplete_until(&self) -> Option<Nanos> {
        let since = self.partial_since.filter(|_| self.slots.is_empty() && self.unread_bytes() == 0)?;
        Some(match self.parser.in_value() {
            true => self.active_at + CROWDED_VALUE_TIMEOUT,
            false => since + CROWDED_COMMAND_TIMEOUT,
        })
    }
}
