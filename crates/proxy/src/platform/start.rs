//! The start of a process on a machine that lacks something for a moment.

use crate::io_error::ErrorCause;
use std::io;
use std::time::{Duration, Instant};

/// How long a start waits for descriptors, memory and ports. The platform gives up on a process that is not ready after 30 s.
const SHORTAGE_TIMEOUT: Duration = Duration::from_secs(20);
/// How long a start waits for an address that another process has, such as one that is just ending.
const ADDRESS_TIMEOUT: Duration = Duration::from_secs(2);
/// The time between two tries.
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// Opens something that the process can't do without, and tries again while this machine lacks something for it.
///
/// # Errors
/// The last error, if it is of another kind or the time is over.
pub fn open_at_start<T>(mut open: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let began = Instant::now();
    loop {
        let error = match open() {
            Ok(opened) => return Ok(opened),
            Err(error) => error,
        };
        let timeout = match ErrorCause::of(&error) {
            ErrorCause::Interrupted | ErrorCause::LocalShortage => SHORTAGE_TIMEOUT,
            _ if error.kind() == io::ErrorKind::AddrInUse => ADDRESS_TIMEOUT,
            _ => return Err(error),
        };
        if began.elapsed() >= timeout {
            return Err(error);
        }
        std::thread::sleep(RETRY_DELAY);
    }
}
