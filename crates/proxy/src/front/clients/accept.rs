//! New client connections: the listener, and which idle client makes room for a new one.

use super::{Client, Clients, SLOT_NUMBER_BITS};
use crate::front;
use calicosaddle::api::Nanos;
use mio::net::TcpListener;
use mio::{Interest, Registry, Token};
use resp::CommandParser;
use session::Session;
use std::io;

/// The maximum number of connections accepted in an iteration of the event loop.
const MAX_ACCEPTS: usize = 64;

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

    /// True if the connection limit is not reached, or an idle client can be evicted.
    pub(super) fn can_accept(&self) -> bool {
        self.clients.len() < self.max_clients || self.clients.iter().any(|(_, c)| c.is_idle())
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
            if !self.accepting || !self.can_accept() {
                return Ok(());
            }
            let Some(listener) = &self.listener else { return Ok(()) };
            let mut stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.accepting = false;
                    return Ok(());
                }
                Err(e)
                    if matches!(e.kind(), io::ErrorKind::Interrupted | io::ErrorKind::ConnectionAborted) =>
                {
                    continue
                }
                Err(e) => {
                    self.accepting = false;
                    return Err(e);
                }
            };
            let _ = stream.set_nodelay(true);
            if self.clients.len() >= self.max_clients {
                self.evict();
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
        }
        Ok(())
    }

    /// Closes an idle connection to make room: one that never sent a request, or else the one idle for longest. The
    /// order keeps many connections that send nothing from evicting clients with requests.
    fn evict(&mut self) {
        let idle = self.clients.iter().filter(|(_, c)| c.is_idle());
        let mut idle: Vec<(bool, Nanos, usize)> =
            idle.map(|(key, c)| (c.request_count > 0, c.active_at, key)).collect();
        idle.sort_unstable();
        // Connections with unread input are skipped if possible: closing them would lose a command.
        let closable =
            idle.iter().find(|(_, _, key)| self.clients.get(*key).is_some_and(Client::is_closable));
        if let Some((_, _, key)) = closable.or(idle.first()) {
            self.remove(*key);
        }
    }
}
