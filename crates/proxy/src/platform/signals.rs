//! Signals, delivered through sockets that become readable.

use mio::net::UnixStream;
use mio::{Interest, Registry, Token};
use signal_hook::consts::{SIGHUP, SIGTERM};
use std::io::{self, Read};

/// The signals that a proxy handles.
#[derive(Debug)]
pub struct Signals {
    terminate: UnixStream,
    hangup: UnixStream,
}

/// Returns a registered socket that becomes readable when the signal arrives.
fn register_signal(signal: i32, registry: &Registry, token: Token) -> io::Result<UnixStream> {
    let (mut receiver, sender) = UnixStream::pair()?;
    signal_hook::low_level::pipe::register(signal, sender)?;
    registry.register(&mut receiver, token, Interest::READABLE)?;
    Ok(receiver)
}

/// Reads a signal's socket until it is empty.
fn drain(mut socket: &UnixStream) {
    let mut bytes = [0; 16];
    while socket.read(&mut bytes).is_ok_and(|n| n > 0) {}
}

impl Signals {
    /// Installs handlers for SIGTERM and SIGHUP. Each wakes the event loop under its token.
    ///
    /// # Errors
    /// A socket can't be created or registered, or a handler can't be installed.
    pub fn listen(registry: &Registry, terminate: Token, hangup: Token) -> io::Result<Self> {
        Ok(Signals {
            terminate: register_signal(SIGTERM, registry, terminate)?,
            hangup: register_signal(SIGHUP, registry, hangup)?,
        })
    }

    /// Clears the readiness of SIGTERM.
    pub fn clear_terminate(&self) {
        drain(&self.terminate);
    }

    /// Clears the readiness of SIGHUP.
    pub fn clear_hangup(&self) {
        drain(&self.hangup);
    }
}
