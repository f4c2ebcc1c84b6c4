//! Signals. A handler sets a flag and wakes the event loop through a socket. The write to that socket may fail, as any system
//! call, so the flag alone says what came: the event loop looks at it whenever it wakes, which it does several times a second.

use mio::net::UnixStream;
use mio::{Interest, Registry, Token};
use signal_hook::consts::{SIGHUP, SIGTERM};
use std::io::{self, Read};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// The exit code of a process that is told to end while it starts.
const EXIT_SUCCESS: i32 = 0;

/// The signals that a proxy handles.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    hangup: Signal,
    /// Nothing has been taken from clients yet, so that SIGTERM may end the process at once.
    is_starting: Arc<AtomicBool>,
}

/// One signal.
#[derive(Debug)]
struct Signal {
    number: i32,
    /// Set by the handler.
    has_come: Arc<AtomicBool>,
    /// Readable once the handler has written to it.
    wakeups: Option<UnixStream>,
}

impl Signal {
    /// Installs a handler that notes the signal.
    fn install(number: i32) -> io::Result<Signal> {
        let has_come = Arc::new(AtomicBool::new(false));
        signal_hook::flag::register(number, has_come.clone())?;
        Ok(Signal { number, has_come, wakeups: None })
    }

    /// Has the handler wake the event loop, too.
    fn wake(&mut self, registry: &Registry, token: Token) -> io::Result<()> {
        let (mut receiver, sender) = UnixStream::pair()?;
        registry.register(&mut receiver, token, Interest::READABLE)?;
        signal_hook::low_level::pipe::register(self.number, sender)?;
        self.wakeups = Some(receiver);
        Ok(())
    }

    /// Whether the signal has come since the last call.
    fn take(&self) -> bool {
        let has_come = self.has_come.swap(false, Ordering::AcqRel);
        if has_come {
            self.clear_wakeups();
        }
        has_come
    }

    /// Empties the socket. What is left in it after an error does no harm: the next byte makes it readable again.
    fn clear_wakeups(&self) {
        let Some(mut socket) = self.wakeups.as_ref() else { return };
        let mut bytes = [0; 16];
        while socket.read(&mut bytes).is_ok_and(|length| length > 0) {}
    }
}

impl Signals {
    /// Installs handlers for SIGTERM and SIGHUP. SIGTERM ends the process at once up to [`Signals::finish_start`]; what else comes
    /// from now on is handled once the event loop runs.
    ///
    /// # Errors
    /// A handler can't be installed.
    pub fn install() -> io::Result<Signals> {
        let is_starting = Arc::new(AtomicBool::new(true));
        signal_hook::flag::register_conditional_shutdown(SIGTERM, EXIT_SUCCESS, is_starting.clone())?;
        let (terminate, hangup) = (Signal::install(SIGTERM)?, Signal::install(SIGHUP)?);
        Ok(Signals { terminate, hangup, is_starting })
    }

    /// Has each signal wake an event loop under its token.
    ///
    /// # Errors
    /// A socket can't be created or registered.
    pub fn wake(&mut self, registry: &Registry, terminate: Token, hangup: Token) -> io::Result<()> {
        self.terminate.wake(registry, terminate)?;
        self.hangup.wake(registry, hangup)
    }

    /// Ends the time in which SIGTERM ends the process at once: from now on clients may connect.
    pub fn finish_start(&self) {
        self.is_starting.store(false, Ordering::Release);
    }

    /// Whether SIGTERM has come since the last call.
    pub fn take_terminate(&self) -> bool {
        self.terminate.take()
    }

    /// Whether SIGHUP has come since the last call.
    pub fn take_hangup(&self) -> bool {
        self.hangup.take()
    }
}
