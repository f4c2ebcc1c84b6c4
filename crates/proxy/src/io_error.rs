//! What the errors of system calls on sockets and files mean, in one place. No sockets here.
//!
//! The names and meanings are those of section 2 of the Linux manual: accept(2), connect(2), socket(2), send(2), recv(2),
//! epoll_ctl(2), open(2).

use calicosaddle::api::Nanos;
use rustix::io::Errno;
use std::io;

/// How long to wait before a call is made again that failed for lack of something on this machine.
pub const LOCAL_RETRY_DELAY: Nanos = 2_000_000;

/// Where the cause of an error lies, and what follows from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorCause {
    /// A signal came: the call is made again at once.
    Interrupted,
    /// The socket is empty or full: it tells when that changes.
    WouldBlock,
    /// This machine lacks a descriptor, memory, a buffer or a port for the moment: the call is made again after a short wait,
    /// and no peer is judged for it.
    LocalShortage,
    /// This machine has no way to the address: another address is tried, and its node is not judged.
    NoRoute,
    /// The peer or the network between: the connection is lost.
    Peer,
}

impl ErrorCause {
    /// The cause of an error of a transfer, or of accepting or opening a socket or a file.
    pub fn of(error: &io::Error) -> ErrorCause {
        let Some(errno) = Errno::from_io_error(error) else { return ErrorCause::of_kind(error.kind()) };
        match errno {
            Errno::INTR => ErrorCause::Interrupted,
            Errno::AGAIN => ErrorCause::WouldBlock,
            Errno::MFILE
            | Errno::NFILE
            | Errno::NOBUFS
            | Errno::NOMEM
            | Errno::NOSPC
            | Errno::ADDRNOTAVAIL => ErrorCause::LocalShortage,
            Errno::NETUNREACH | Errno::NETDOWN => ErrorCause::NoRoute,
            _ => ErrorCause::Peer,
        }
    }

    /// The cause of an error of connecting over TCP, where EAGAIN says that no local port is free.
    pub fn of_connect(error: &io::Error) -> ErrorCause {
        match ErrorCause::of(error) {
            ErrorCause::WouldBlock | ErrorCause::Interrupted => ErrorCause::LocalShortage,
            cause => cause,
        }
    }

    /// The cause of an error that no system call returned.
    fn of_kind(kind: io::ErrorKind) -> ErrorCause {
        match kind {
            io::ErrorKind::Interrupted => ErrorCause::Interrupted,
            io::ErrorKind::WouldBlock => ErrorCause::WouldBlock,
            _ => ErrorCause::Peer,
        }
    }

    /// Whether the cause is on this machine, so that no peer is judged for it.
    pub fn is_local(self) -> bool {
        matches!(self, ErrorCause::LocalShortage | ErrorCause::NoRoute)
    }
}
