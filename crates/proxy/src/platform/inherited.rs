//! Takes over the listening socket for clients if the platform owns it and passes it to each process that it starts.

use listenfd::ListenFd;
use std::fmt;
use std::net::TcpListener;

/// The environment variable with the number of the descriptor.
pub const DESCRIPTOR_VARIABLE: &str = "NODE_LISTEN_FD";

/// Why an inherited socket can't be used.
#[derive(Debug)]
pub struct InheritError(String);

impl fmt::Display for InheritError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{DESCRIPTOR_VARIABLE}: {}", self.0)
    }
}

impl std::error::Error for InheritError {}

/// Takes over the socket of this descriptor. Call it only once and before any thread is started, because it sets
/// environment variables.
///
/// # Errors
/// The descriptor is not a listening TCP socket.
pub fn take_listener(descriptor: &str) -> Result<TcpListener, InheritError> {
    let error = |reason: String| InheritError(format!("{descriptor:?}: {reason}"));
    let number: u16 = descriptor.parse().map_err(|_| error("is no number of a descriptor".into()))?;
    // `listenfd` reads the variables of systemd's socket activation; `LISTEN_FDS_FIRST_FD` is its own extension.
    std::env::set_var("LISTEN_FDS", "1");
    std::env::set_var("LISTEN_FDS_FIRST_FD", number.to_string());
    std::env::remove_var("LISTEN_PID");
    let listener = ListenFd::from_env().take_tcp_listener(0).map_err(|e| error(e.to_string()))?;
    std::env::remove_var("LISTEN_FDS");
    std::env::remove_var("LISTEN_FDS_FIRST_FD");
    let socket = listener.ok_or_else(|| error("is not open".into()))?;
    let is_listening = socket2::SockRef::from(&socket).is_listener().map_err(|e| error(e.to_string()))?;
    if !is_listening {
        return Err(error("is a connection, not a listening socket".into()));
    }
    socket.set_nonblocking(true).map_err(|e| error(e.to_string()))?;
    Ok(socket)
}
