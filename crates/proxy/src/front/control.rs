//! The control endpoint: a Unix domain socket through which controllers observe and control this proxy.
//!
//! Controllers may be slow, silent, many, or send invalid input. So the number of connections, the size of frames and
//! unread replies, and all waits are limited, and the endpoint gets at most a tenth of the event loop's time. With a
//! controller that sends requests in a tight loop the endpoint responds slowly, but the service to clients does not.

use crate::platform::start::open_at_start;
use calicosaddle::api::Nanos;
use control::message::{encode_line, Body, Code, Error, Status};
use control::{Decoder, Op, Reply, Request, State, MAX_REPLY, MAX_REQUEST, VERSION};
use mio::net::{UnixListener, UnixStream};
use mio::{Interest, Registry, Token};
use slab::Slab;
use std::collections::VecDeque;
use std::fmt;
use std::fs;
use std::io::{self, Read, Write};
use std::os::unix::fs::{FileTypeExt, PermissionsExt};
use std::path::{Path, PathBuf};

const MS: Nanos = 1_000_000;
/// How long a frame may be incomplete, and replies unread.
const IO_TIMEOUT: Nanos = 2_000 * MS;
/// How long a controller without a watch may send no requests before it is disconnected.
const IDLE_TIMEOUT: Nanos = 60_000 * MS;
/// With more unread bytes of replies than this no further requests of a connection are accepted, and a watcher is
/// disconnected.
const MAX_UNREAD_BYTES: usize = MAX_REPLY;
/// The maximum number of queued requests of a connection before no more are read.
const MAX_QUEUED_REQUESTS: usize = 16;
/// After its work the endpoint pauses for this many times as long, so that it gets a tenth of the time.
const PAUSE_FACTOR: Nanos = 9;
/// The maximum number of connections accepted, and of requests executed, in an iteration of the event loop.
const MAX_PER_ITERATION: usize = 8;

/// Why the endpoint can't be opened.
#[derive(Debug)]
pub enum StartError {
    /// The path of the socket, and the reason.
    Socket(PathBuf, String),
    /// The path of the state file, and the reason.
    State(PathBuf, String),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            StartError::Socket(path, reason) => write!(f, "control.socket {}: {reason}", path.display()),
            StartError::State(path, reason) => write!(f, "control.state_file {}: {reason}", path.display()),
        }
    }
}

impl std::error::Error for StartError {}

/// The state that survives a restart of the process, and the file in which it is stored.
#[derive(Debug, Default)]
pub struct PersistentState {
    path: Option<PathBuf>,
    /// The state in force.
    pub state: State,
}

impl PersistentState {
    /// Loads the state that the previous process stored, if there is any.
    ///
    /// # Errors
    /// The file exists and can't be read or decoded.
    pub fn load(path: Option<PathBuf>) -> Result<PersistentState, StartError> {
        let Some(path) = path else { return Ok(PersistentState::default()) };
        let text = match fs::read_to_string(&path) {
            Ok(text) => text,
            Err(e) if e.kind() == io::ErrorKind::NotFound => {
                return Ok(PersistentState { path: Some(path), state: State::default() })
            }
            Err(e) => return Err(StartError::State(path, format!("can't be read: {e}"))),
        };
        // Starting without the state could send work to a box that an operator has drained.
        match State::decode(&text) {
            Ok(state) => Ok(PersistentState { path: Some(path), state }),
            Err(reason) => {
                let advice = "repair the file, or remove it to start without drained boxes";
                Err(StartError::State(path, format!("{reason}; {advice}")))
            }
        }
    }

    /// Stores a state and, if that succeeds, puts it in force. A process that is killed at any point leaves either the
    /// old file or the new one. The file is not synced, so a crash of the machine may lose the change.
    ///
    /// # Errors
    /// The file can't be written; nothing has changed.
    pub fn store(&mut self, state: State) -> Result<(), Error> {
        if let Some(path) = &self.path {
            let temporary = path.with_extension("new");
            let written = fs::write(&temporary, state.encode()).and_then(|()| fs::rename(&temporary, path));
            written.map_err(|e| {
                Error::new(Code::Storage, format!("{}: {e}; nothing changed", path.display()))
            })?;
        }
        self.state = state;
        Ok(())
    }
}

/// A request, or the error in it together with its id.
pub type ParsedRequest = Result<Request, (String, Error)>;

#[derive(Debug)]
struct Watch {
    id: String,
    /// How often an event is sent even without changes.
    interval: Option<Nanos>,
    /// When the last event was sent.
    notified_at: Nanos,
    /// The change that the last event included.
    last_change: u64,
}

#[derive(Debug)]
struct Peer {
    stream: UnixStream,
    decoder: Decoder,
    /// Complete frames that have not been executed.
    queue: VecDeque<Vec<u8>>,
    output: Vec<u8>,
    written: usize,
    /// It may have unread input.
    readable: bool,
    /// When its last request was taken from the queue, or else when it connected.
    last_request_at: Nanos,
    has_sent_request: bool,
    /// Since when a frame has been incomplete.
    partial_since: Option<Nanos>,
    /// Since when the socket has accepted no bytes of the output.
    blocked_since: Option<Nanos>,
    watch: Option<Watch>,
    /// It is disconnected once all output is written.
    closing: bool,
}

impl Peer {
    /// True if it has to read its replies before anything more is done for it, or is being disconnected.
    fn is_blocked(&self) -> bool {
        self.closing || self.output.len() - self.written > MAX_UNREAD_BYTES
    }
}

/// The control endpoint.
#[derive(Debug)]
pub struct ControlEndpoint {
    listener: UnixListener,
    path: PathBuf,
    /// The user ids of the processes that may connect.
    allowed_uids: Vec<u32>,
    max_connections: usize,
    peers: Slab<Peer>,
    accepting: bool,
    paused_until: Nanos,
}

/// Opens a listening socket at a path that only its owner may use. Replaces a socket left by a process that was killed.
fn bind(path: &Path) -> Result<UnixListener, StartError> {
    let error = |reason: String| StartError::Socket(path.to_owned(), reason);
    match fs::symlink_metadata(path) {
        Ok(meta) if !meta.file_type().is_socket() => {
            return Err(error("is there and is no socket; name another path".into()))
        }
        // A socket that refuses connections was left by a process that was killed.
        Ok(_) => match open_at_start(|| std::os::unix::net::UnixStream::connect(path)) {
            Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => {
                fs::remove_file(path).map_err(|e| error(format!("left behind, can't be removed: {e}")))?;
            }
            _ => return Err(error("is in use by another process".into())),
        },
        Err(_) => {}
    }
    // The umask restricts the socket to its owner from its creation on, before its mode is set below.
    let old_mask = rustix::process::umask(rustix::fs::Mode::from_raw_mode(0o177));
    let listener = open_at_start(|| UnixListener::bind(path));
    rustix::process::umask(old_mask);
    let listener = listener.map_err(|e| error(format!("can't be made: {e}")))?;
    fs::set_permissions(path, fs::Permissions::from_mode(0o600))
        .map_err(|e| error(format!("its mode can't be set: {e}")))?;
    Ok(listener)
}

impl ControlEndpoint {
    /// Listens at the configured path.
    ///
    /// # Errors
    /// The socket can't be created or registered.
    pub fn open(settings: &operator::Control, registry: &Registry, token: Token) -> Result<Self, StartError> {
        let mut listener = bind(&settings.socket)?;
        registry
            .register(&mut listener, token, Interest::READABLE)
            .map_err(|e| StartError::Socket(settings.socket.clone(), e.to_string()))?;
        let mut allowed_uids = settings.allow_uids.clone();
        allowed_uids.push(rustix::process::geteuid().as_raw());
        Ok(ControlEndpoint {
            listener,
            path: settings.socket.clone(),
            allowed_uids,
            max_connections: settings.max_connections,
            peers: Slab::new(),
            accepting: false,
            paused_until: 0,
        })
    }

    /// Notes that the listener has connections to accept.
    pub fn listener_ready(&mut self) {
        self.accepting = true;
    }

    /// Handles a connection that can be read or written.
    pub fn connection_ready(&mut self, key: usize, now: Nanos) {
        if let Some(peer) = self.peers.get_mut(key) {
            peer.readable = true;
        }
        self.flush(key, now);
    }

    /// When the endpoint may do its work, if it has any.
    pub fn work_due(&self) -> Option<Nanos> {
        // A blocked connection does not count: the event loop would spin until its peer reads.
        let has_work = |p: &Peer| !p.is_blocked() && (p.readable || !p.queue.is_empty());
        (self.accepting || self.peers.iter().any(|(_, p)| has_work(p))).then_some(self.paused_until)
    }

    /// Starts the pause after work that began at `started_at`.
    pub fn record_work(&mut self, started_at: Nanos, now: Nanos) {
        self.paused_until = now + PAUSE_FACTOR * now.saturating_sub(started_at);
    }

    /// Accepts connections, reads their input, and returns the next request of each, up to [`MAX_PER_ITERATION`].
    pub fn take_requests(
        &mut self,
        registry: &Registry,
        token: impl Fn(usize) -> Token,
        buffer: &mut [u8],
        now: Nanos,
    ) -> Vec<(usize, ParsedRequest)> {
        self.accept(registry, token, now);
        let keys: Vec<usize> = self.peers.iter().map(|(key, _)| key).collect();
        for key in &keys {
            self.read(*key, buffer, now);
        }
        let mut requests = Vec::new();
        for key in keys {
            let Some(peer) = self.peers.get_mut(key) else { continue };
            if requests.len() == MAX_PER_ITERATION || peer.is_blocked() {
                continue;
            }
            if let Some(frame) = peer.queue.pop_front() {
                (peer.last_request_at, peer.has_sent_request) = (now, true);
                requests.push((key, Request::read(&frame)));
            }
        }
        requests
    }

    fn accept(&mut self, registry: &Registry, token: impl Fn(usize) -> Token, now: Nanos) {
        for _ in 0..MAX_PER_ITERATION {
            let accepted = super::accept_next(&mut self.accepting, || self.listener.accept());
            let Some(mut stream) = accepted else { return };
            let uid = rustix::net::sockopt::socket_peercred(&stream).map(|c| c.uid.as_raw());
            if !uid.is_ok_and(|uid| self.allowed_uids.contains(&uid)) {
                continue;
            }
            if self.peers.len() >= self.max_connections {
                // Connections that have sent no request are evicted first, then the longest silent one; watchers last.
                let eviction_order = |p: &Peer| (p.watch.is_some(), p.has_sent_request, p.last_request_at);
                let evicted = self.peers.iter().min_by_key(|(_, p)| eviction_order(p)).map(|(key, _)| key);
                evicted.into_iter().for_each(|key| self.remove(key));
            }
            let entry = self.peers.vacant_entry();
            let interest = Interest::READABLE | Interest::WRITABLE;
            if registry.register(&mut stream, token(entry.key()), interest).is_err() {
                continue;
            }
            entry.insert(Peer {
                stream,
                decoder: Decoder::new(MAX_REQUEST),
                queue: VecDeque::new(),
                output: Vec::new(),
                written: 0,
                readable: true,
                last_request_at: now,
                has_sent_request: false,
                partial_since: None,
                blocked_since: None,
                watch: None,
                closing: false,
            });
        }
    }

    /// Reads one buffer of input from a connection and splits it into frames.
    fn read(&mut self, key: usize, buffer: &mut [u8], now: Nanos) {
        let Some(peer) = self.peers.get_mut(key) else { return };
        if !peer.readable || peer.is_blocked() || peer.queue.len() >= MAX_QUEUED_REQUESTS {
            return;
        }
        // One read may exceed the limit of the queue, but only by a bounded number of requests, as each has 30 bytes or more.
        let n = match peer.stream.read(buffer) {
            Ok(0) => {
                self.remove(key);
                return;
            }
            Ok(n) => n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => return,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                peer.readable = false;
                return;
            }
            Err(_) => {
                self.remove(key);
                return;
            }
        };
        let mut input = &buffer[..n];
        while !input.is_empty() {
            match peer.decoder.feed(input) {
                Ok((used, frame)) => {
                    input = &input[used..];
                    peer.queue.extend(frame);
                }
                Err(too_long) => {
                    let message = format!("the frame is longer than {} bytes", too_long.limit);
                    peer.closing = true;
                    self.error(key, String::new(), Error::new(Code::BadFrame, message), now);
                    return;
                }
            }
        }
        peer.partial_since = peer.decoder.has_partial_frame().then_some(peer.partial_since.unwrap_or(now));
    }

    /// Sends a reply to a request.
    pub fn reply(&mut self, key: usize, id: String, body: Body, now: Nanos) {
        let Some(peer) = self.peers.get_mut(key) else { return };
        if matches!(&body, Body::Error(e) if e.code == Code::BadFrame) {
            // After an invalid frame the boundaries of the following ones are unknown.
            peer.closing = true;
            peer.queue.clear();
        }
        peer.output.extend(encode_line(&Reply { v: VERSION, id, body }));
        self.flush(key, now);
    }

    /// Replies with an error to a request that was not executed.
    pub fn error(&mut self, key: usize, id: String, error: Error, now: Nanos) {
        self.reply(key, id, Body::Error(error), now);
    }

    /// Starts a watch on a connection, which then gets an event for each change.
    pub fn watch(&mut self, key: usize, id: String, interval: Option<Nanos>, change: u64, now: Nanos) {
        if let Some(peer) = self.peers.get_mut(key) {
            peer.watch = Some(Watch { id, interval, notified_at: now, last_change: change });
        }
    }

    /// Sends an event to each watcher that has not been notified of this change or whose interval has passed.
    pub fn notify_watchers(&mut self, change: u64, status: impl Fn() -> Status, now: Nanos) {
        let is_due = |w: &Watch| {
            w.last_change != change
                || w.interval.is_some_and(|interval| now.saturating_sub(w.notified_at) >= interval)
        };
        let keys: Vec<usize> = self
            .peers
            .iter()
            .filter(|(_, p)| p.watch.as_ref().is_some_and(is_due))
            .map(|(key, _)| key)
            .collect();
        if keys.is_empty() {
            return;
        }
        let status = status();
        for key in keys {
            let Some(peer) = self.peers.get_mut(key) else { continue };
            if peer.is_blocked() {
                self.remove(key);
                continue;
            }
            let Some(watch) = &mut peer.watch else { continue };
            (watch.notified_at, watch.last_change) = (now, change);
            let id = watch.id.clone();
            self.reply(key, id, Body::Event(Box::new(status.clone())), now);
        }
    }

    fn flush(&mut self, key: usize, now: Nanos) {
        let Some(peer) = self.peers.get_mut(key) else { return };
        while peer.written < peer.output.len() {
            match peer.stream.write(&peer.output[peer.written..]) {
                Ok(n) => {
                    peer.written += n;
                    peer.blocked_since = None;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    peer.blocked_since.get_or_insert(now);
                    return;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => {
                    self.remove(key);
                    return;
                }
            }
        }
        peer.output = Vec::new();
        (peer.written, peer.blocked_since) = (0, None);
        if peer.closing {
            self.remove(key);
        }
    }

    fn remove(&mut self, key: usize) {
        self.peers.try_remove(key);
    }

    /// Disconnects controllers that have exceeded a time limit.
    pub fn sweep(&mut self, now: Nanos) {
        let exceeded =
            |since: Option<Nanos>, timeout: Nanos| since.is_some_and(|at| now.saturating_sub(at) > timeout);
        let has_expired = |p: &Peer| {
            let is_idle =
                p.watch.is_none() && p.queue.is_empty() && exceeded(Some(p.last_request_at), IDLE_TIMEOUT);
            is_idle || exceeded(p.partial_since, IO_TIMEOUT) || exceeded(p.blocked_since, IO_TIMEOUT)
        };
        self.peers.retain(|_, p| !has_expired(p));
    }
}

impl Drop for ControlEndpoint {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.path);
    }
}

/// Converts and checks the interval of a watch.
///
/// # Errors
/// The interval is out of range.
pub fn watch_interval(every_ms: Option<u64>) -> Result<Option<Nanos>, Error> {
    let range = control::message::WATCH_MS;
    match every_ms {
        Some(ms) if !range.contains(&ms) => {
            let message = format!("every_ms is {ms}; {} to {} is allowed", range.start(), range.end());
            Err(Error::new(Code::BadRequest, message))
        }
        interval => Ok(interval.map(|ms| ms * MS)),
    }
}

/// True for operations that a proxy no longer accepts once it is shutting down.
pub fn requires_running_proxy(op: &Op) -> bool {
    !matches!(
        op,
        Op::Status | Op::List | Op::Boxes { .. } | Op::Watch { .. } | Op::Reconfigure { dry_run: true, .. }
    )
}
