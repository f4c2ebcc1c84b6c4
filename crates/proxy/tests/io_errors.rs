//! What the errors of system calls mean: a table of errno(3).

use rustix::io::Errno;
use std::io;
use trestlesill::io_error::ErrorCause;

/// Guards against a peer that is judged for this machine, and the reverse.
#[test]
fn each_error_has_its_cause() {
    use ErrorCause::{Interrupted, LocalShortage, NoRoute, Peer, WouldBlock};
    for (errno, cause, of_connect) in [
        (Errno::INTR, Interrupted, LocalShortage),
        (Errno::AGAIN, WouldBlock, LocalShortage),
        (Errno::MFILE, LocalShortage, LocalShortage),
        (Errno::NFILE, LocalShortage, LocalShortage),
        (Errno::NOBUFS, LocalShortage, LocalShortage),
        (Errno::NOMEM, LocalShortage, LocalShortage),
        (Errno::NOSPC, LocalShortage, LocalShortage),
        (Errno::ADDRNOTAVAIL, LocalShortage, LocalShortage),
        (Errno::NETUNREACH, NoRoute, NoRoute),
        (Errno::NETDOWN, NoRoute, NoRoute),
        (Errno::CONNREFUSED, Peer, Peer),
        (Errno::CONNRESET, Peer, Peer),
        (Errno::CONNABORTED, Peer, Peer),
        (Errno::PIPE, Peer, Peer),
        (Errno::TIMEDOUT, Peer, Peer),
        (Errno::HOSTUNREACH, Peer, Peer),
        (Errno::PROTO, Peer, Peer),
    ] {
        let error = io::Error::from_raw_os_error(errno.raw_os_error());
        assert_eq!(ErrorCause::of(&error), cause, "{errno:?}");
        assert_eq!(ErrorCause::of_connect(&error), of_connect, "{errno:?}");
        assert_eq!(cause.is_local(), matches!(cause, LocalShortage | NoRoute), "{errno:?}");
    }
    // Errors of the standard library that no call returned.
    assert_eq!(ErrorCause::of(&io::ErrorKind::WriteZero.into()), Peer);
    assert_eq!(ErrorCause::of(&io::ErrorKind::WouldBlock.into()), WouldBlock);
}
