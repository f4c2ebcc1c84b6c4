//! Signals as sockets that become readable.

use mio::net::UnixStream;
use mio::{Interest, Registry, Token};
use signal_hook::consts::{SIGHUP, SIGTERM};
use std::io::{self, Read};

/// The signals that a proxy heeds.
#[derive(Debug)]
pub struct Signals {
    terminate: UnixStream,
    hangup: UnixStream,
}

/// A socket that becomes readable when this signal arrives.
fn pipe(signal: i32, registry: &Registry, token: Token) -> io::Result<UnixStream> {
    let (mut read, raised) = UnixStream::pair()?;
    signal_hook::low_level::pipe::register(signal, raised)?;
    registry.register(&mut read, token, Interest::READABLE)?;
    Ok(read)
}

/// Takes all that a signal's socket has.
fn drain(mut pipe: &UnixStream) {
    let mut bytes = [0; 16];
    while pipe.read(&mut bytes).is_ok_and(|n| n > 0) {}
}

impl Signals {
    /// Heeds SIGTERM and SIGHUP from now on; each wakes the loop under its token.
    pub fn listen(registry: &Registry, terminate: Token, hangup: Token) -> io::Result<Self> {
        Ok(Signals {
            terminate: pipe(SIGTERM, registry, terminate)?,
            hangup: pipe(SIGHUP, registry, hangup)?,
        })
    }

    /// SIGTERM has been seen.
    pub fn clear_terminate(&self) {
        drain(&self.terminate);
    }

    /// SIGHUP has been seen.
    pub fn clear_hangup(&self) {
        drain(&self.hangup);
    }
}
