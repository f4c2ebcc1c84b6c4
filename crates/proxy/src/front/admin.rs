//! The admin endpoint: a second address, at which a caller sends one command line per connection and gets one answer.
//!
//! Callers may be silent, send half a line or an endless one, leave their connections open, or be many. So there are at
//! most [`MAX_CALLERS`] connections, each with a time limit; a further caller replaces one that has had its answer, or
//! else the oldest; and input after the line is read and dropped. Too many simultaneous callers would evict each other,
//! but since an answer takes one iteration of the event loop, only a flood of them does.

use crate::platform::start::open_at_start;
use calicosaddle::api::Nanos;
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry, Token};
use slab::Slab;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr};

const MS: Nanos = 1_000_000;
/// The maximum number of connected callers.
pub const MAX_CALLERS: usize = 16;
/// The maximum length of a command line.
const MAX_LINE_BYTES: usize = 128;
/// Time after its acceptance at which a connection is closed, even if it is in use.
const CALL_TIMEOUT: Nanos = 5_000 * MS;
/// The maximum number of connections accepted in an iteration of the event loop.
const MAX_ACCEPTS: usize = 8;

/// A command of an admin caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminCommand {
    /// Asks whether this process accepts clients.
    Ready,
    /// Asks for the metrics.
    ShowStat,
}

impl AdminCommand {
    /// Parses a command line.
    ///
    /// # Errors
    /// The reason why the line is not a command.
    pub fn parse(line: &[u8]) -> Result<AdminCommand, &'static str> {
        match line.trim_ascii() {
            b"ready" => Ok(AdminCommand::Ready),
            b"show-stat" => Ok(AdminCommand::ShowStat),
            b"" => Err("the line is empty; ready and show-stat are understood"),
            _ => Err("unknown call; ready and show-stat are understood"),
        }
    }
}

#[derive(Debug)]
struct Caller {
    stream: TcpStream,
    accepted_at: Nanos,
    line: Vec<u8>,
    output: Vec<u8>,
    written: usize,
    answered: bool,
    /// The answer is written and the sending side is closed.
    lingering: bool,
}

/// The admin endpoint.
#[derive(Debug)]
pub struct Admin {
    listener: TcpListener,
    callers: Slab<Caller>,
    accepting: bool,
}

impl Admin {
    /// Listens at an address.
    ///
    /// # Errors
    /// The address can't be listened at.
    pub fn open(address: SocketAddr, registry: &Registry, token: Token) -> Result<Self, String> {
        let open = || -> io::Result<TcpListener> {
            let mut listener = super::bind(address)?;
            registry.register(&mut listener, token, Interest::READABLE)?;
            Ok(listener)
        };
        let listener = open_at_start(open).map_err(|e| format!("admin_addr {address}: {e}"))?;
        Ok(Admin { listener, callers: Slab::new(), accepting: false })
    }

    /// Notes that the listener has connections to accept.
    pub fn listener_ready(&mut self) {
        self.accepting = true;
    }

    /// True if there may be more connections to accept.
    pub fn has_pending_work(&self) -> bool {
        self.accepting
    }

    /// Accepts up to [`MAX_ACCEPTS`] connections. Each is read once its socket becomes readable.
    pub fn accept(&mut self, registry: &Registry, now: Nanos, token: impl Fn(usize) -> Token) {
        for _ in 0..MAX_ACCEPTS {
            // If descriptors have run out, the next sweep tries again.
            let accepted = super::accept_next(&mut self.accepting, || self.listener.accept());
            let Some(mut stream) = accepted else { return };
            if self.callers.len() >= MAX_CALLERS {
                // Callers that have had their answer are replaced first, then the oldest one.
                let evicted = self.callers.iter().min_by_key(|(_, c)| (!c.lingering, c.accepted_at));
                let evicted = evicted.map(|(key, _)| key);
                evicted.into_iter().for_each(|key| drop(self.callers.try_remove(key)));
            }
            let entry = self.callers.vacant_entry();
            let interest = Interest::READABLE | Interest::WRITABLE;
            if registry.register(&mut stream, token(entry.key()), interest).is_ok() {
                entry.insert(Caller {
                    stream,
                    accepted_at: now,
                    line: Vec::new(),
                    output: Vec::new(),
                    written: 0,
                    answered: false,
                    lingering: false,
                });
            }
        }
    }

    /// Reads what a caller has sent, and returns its command once the line is complete.
    pub fn read_command(
        &mut self,
        key: usize,
        buffer: &mut [u8],
    ) -> Option<Result<AdminCommand, &'static str>> {
        self.flush(key);
        loop {
            let caller = self.callers.get_mut(key)?;
            let n = match caller.stream.read(buffer) {
                Ok(0) => {
                    // A caller may close its sending side and wait for the answer. An incomplete line is not a command.
                    if !caller.answered || caller.lingering {
                        self.callers.try_remove(key);
                    }
                    return None;
                }
                Ok(n) => n,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return None,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(_) => {
                    self.callers.try_remove(key);
                    return None;
                }
            };
            if caller.answered {
                continue;
            }
            let remaining = MAX_LINE_BYTES + 1 - caller.line.len();
            let end = memchr::memchr(b'\n', &buffer[..n]);
            caller.line.extend_from_slice(&buffer[..end.unwrap_or(n).min(remaining)]);
            if caller.line.len() > MAX_LINE_BYTES {
                return Some(Err("the line is too long"));
            }
            if end.is_some() {
                return Some(AdminCommand::parse(&caller.line));
            }
        }
    }

    /// Sends the answer to a command.
    pub fn answer(&mut self, key: usize, text: &str) {
        if let Some(caller) = self.callers.get_mut(key) {
            (caller.output, caller.answered) = (text.as_bytes().to_vec(), true);
            self.flush(key);
        }
    }

    fn flush(&mut self, key: usize) {
        let Some(caller) = self.callers.get_mut(key).filter(|c| c.answered && !c.lingering) else { return };
        while caller.written < caller.output.len() {
            match caller.stream.write(&caller.output[caller.written..]) {
                Ok(n) => caller.written += n,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => {
                    self.callers.try_remove(key);
                    return;
                }
            }
        }
        // Closing a connection with unread input sends a reset, which may overtake the answer. So only the sending side
        // is closed here.
        caller.lingering = true;
        if caller.stream.shutdown(Shutdown::Write).is_err() {
            self.callers.try_remove(key);
        }
    }

    /// Closes connections that have reached their time limit.
    pub fn sweep(&mut self, now: Nanos) {
        self.callers.retain(|_, c| now.saturating_sub(c.accepted_at) < CALL_TIMEOUT);
        self.accepting = true;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_command_is_one_lower_case_word_on_a_line() {
        assert_eq!(AdminCommand::parse(b"ready\r"), Ok(AdminCommand::Ready));
        assert_eq!(AdminCommand::parse(b" show-stat "), Ok(AdminCommand::ShowStat));
        for invalid in [&b""[..], b"READY", b"ready now", b"show-stats", b"\xff"] {
            assert!(AdminCommand::parse(invalid).is_err(), "{invalid:?}");
        }
    }
}
