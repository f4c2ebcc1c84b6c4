//! Where operators call: a second address, one line a connection, one answer.
//!
//! Guards against callers that say nothing, half a line, or lines without end, and against many of them: each
//! has a place of a few, the longest silent makes room, and what it sends past a line is read and dropped. It
//! should also catch a tool that leaves its connections open. Danger: more callers at once than there are places
//! would drive each other out; an answer takes one turn of the loop, so that takes a flood.

use calicosaddle::api::Nanos;
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry, Token};
use slab::Slab;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr};

const MS: Nanos = 1_000_000;
/// Calls at once.
pub const MAX_CALLERS: usize = 16;
/// The longest line.
const MAX_LINE: usize = 128;
/// A call is over after so long, whatever its caller does.
const PATIENCE: Nanos = 5_000 * MS;
/// Calls accepted in a turn.
const ACCEPTS: usize = 8;

/// What operators ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminCommand {
    /// Does this process take clients?
    Ready,
    /// The figures.
    ShowStat,
}

impl AdminCommand {
    /// Reads a line.
    ///
    /// # Errors
    /// What is wrong with it.
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
    began: Nanos,
    line: Vec<u8>,
    out: Vec<u8>,
    written: usize,
    answered: bool,
    /// All is written and our side closed.
    lingering: bool,
}

/// The operators' address.
#[derive(Debug)]
pub struct Admin {
    listener: TcpListener,
    callers: Slab<Caller>,
    accepting: bool,
}

impl Admin {
    /// Listens.
    ///
    /// # Errors
    /// The address can't be had.
    pub fn open(address: SocketAddr, registry: &Registry, token: Token) -> Result<Self, String> {
        let open = || -> io::Result<TcpListener> {
            let mut listener = super::bind(address)?;
            registry.register(&mut listener, token, Interest::READABLE)?;
            Ok(listener)
        };
        let listener = open().map_err(|e| format!("admin_addr {address}: {e}"))?;
        Ok(Admin { listener, callers: Slab::new(), accepting: false })
    }

    /// Notes that the listener has calls.
    pub fn listener_ready(&mut self) {
        self.accepting = true;
    }

    /// True if there may be more calls to accept.
    pub fn has_pending_work(&self) -> bool {
        self.accepting
    }

    /// Accepts calls, up to a bound. Each is read when its socket says that it has something.
    pub fn accept(&mut self, registry: &Registry, now: Nanos, token: impl Fn(usize) -> Token) {
        for _ in 0..ACCEPTS {
            // Without descriptors the next sweep tries again.
            let accepted = super::next(&mut self.accepting, || self.listener.accept());
            let Some(mut stream) = accepted else { return };
            if self.callers.len() >= MAX_CALLERS {
                // Who has had the answer goes first, then who has been silent for longest.
                let last = self.callers.iter().min_by_key(|(_, c)| (!c.lingering, c.began));
                let last = last.map(|(key, _)| key);
                last.into_iter().for_each(|key| drop(self.callers.try_remove(key)));
            }
            let entry = self.callers.vacant_entry();
            let interest = Interest::READABLE | Interest::WRITABLE;
            if registry.register(&mut stream, token(entry.key()), interest).is_ok() {
                entry.insert(Caller {
                    stream,
                    began: now,
                    line: Vec::new(),
                    out: Vec::new(),
                    written: 0,
                    answered: false,
                    lingering: false,
                });
            }
        }
    }

    /// Reads what a caller has sent; its call, once the line is whole.
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
                    // A caller may end its sending and wait for the answer; half a line is no call.
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
            let room = MAX_LINE + 1 - caller.line.len();
            let end = memchr::memchr(b'\n', &buffer[..n]);
            caller.line.extend_from_slice(&buffer[..end.unwrap_or(n).min(room)]);
            if caller.line.len() > MAX_LINE {
                return Some(Err("the line is too long"));
            }
            if end.is_some() {
                return Some(AdminCommand::parse(&caller.line));
            }
        }
    }

    /// Answers a call.
    pub fn answer(&mut self, key: usize, text: &str) {
        if let Some(caller) = self.callers.get_mut(key) {
            (caller.out, caller.answered) = (text.as_bytes().to_vec(), true);
            self.flush(key);
        }
    }

    fn flush(&mut self, key: usize) {
        let Some(caller) = self.callers.get_mut(key).filter(|c| c.answered && !c.lingering) else { return };
        while caller.written < caller.out.len() {
            match caller.stream.write(&caller.out[caller.written..]) {
                Ok(n) => caller.written += n,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => {
                    self.callers.try_remove(key);
                    return;
                }
            }
        }
        // Danger: closed with input unread, the answer could be lost to a reset.
        caller.lingering = true;
        if caller.stream.shutdown(Shutdown::Write).is_err() {
            self.callers.try_remove(key);
        }
    }

    /// Ends calls that take too long.
    pub fn sweep(&mut self, now: Nanos) {
        self.callers.retain(|_, c| now.saturating_sub(c.began) < PATIENCE);
        self.accepting = true;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_call_is_one_word_on_a_line() {
        assert_eq!(AdminCommand::parse(b"ready\r"), Ok(AdminCommand::Ready));
        assert_eq!(AdminCommand::parse(b" show-stat "), Ok(AdminCommand::ShowStat));
        for wrong in [&b""[..], b"READY", b"ready now", b"show-stats", b"\xff"] {
            assert!(AdminCommand::parse(wrong).is_err(), "{wrong:?}");
        }
    }
}
