//! The listening socket for clients, where the platform keeps it and hands it to each process that it starts.

use listenfd::ListenFd;
use std::fmt;
use std::net::TcpListener;

/// Names the descriptor, as a number.
pub const DESCRIPTOR_VARIABLE: &str = "NODE_LISTEN_FD";

/// Why a socket that was handed over can't be used.
#[derive(Debug)]
pub struct InheritError(String);

impl fmt::Display for InheritError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{DESCRIPTOR_VARIABLE}: {}", self.0)
    }
}

impl std::error::Error for InheritError {}

/// Takes the socket of this descriptor over. Call it once, before there are threads.
///
/// # Errors
/// The descriptor is no listening TCP socket.
pub fn take_listener(descriptor: &str) -> Result<TcpListener, InheritError> {
    let fault = |what: String| InheritError(format!("{descriptor:?}: {what}"));
    let number: u16 = descriptor.parse().map_err(|_| fault("is no number of a descriptor".into()))?;
    // The library reads systemd's variables; the first number is its own addition to them.
    std::env::set_var("LISTEN_FDS", "1");
    std::env::set_var("LISTEN_FDS_FIRST_FD", number.to_string());
    std::env::remove_var("LISTEN_PID");
    let taken = ListenFd::from_env().take_tcp_listener(0).map_err(|e| fault(e.to_string()))?;
    std::env::remove_var("LISTEN_FDS");
    std::env::remove_var("LISTEN_FDS_FIRST_FD");
    let socket = taken.ok_or_else(|| fault("is not there".into()))?;
    let listens = socket2::SockRef::from(&socket).is_listener().map_err(|e| fault(e.to_string()))?;
    if !listens {
        return Err(fault("is a connection, not a listening socket".into()));
    }
    socket.set_nonblocking(true).map_err(|e| fault(e.to_string()))?;
    Ok(socket)
}
