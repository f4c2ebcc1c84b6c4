//! The control endpoint: a Unix-domain socket over which controllers see and steer this proxy.
//!
//! Guards against controllers that are slow, silent, rude or many: connections, frames, unread answers and time
//! are bounded, and the work for them gets a tenth of the loop's time at the most. It should also catch a tool
//! that asks in a tight loop. Danger: under such a one the endpoint answers slowly; the service does not.

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
/// A frame has to be whole after so long, and answers to be read.
const PATIENCE: Nanos = 2_000 * MS;
/// A controller that asks nothing and watches nothing is let go after this.
const IDLE: Nanos = 60_000 * MS;
/// With more unread answers no further request of a connection is taken; a watcher that reads so little is let go.
const HIGH: usize = MAX_REPLY;
/// Requests of a connection that wait for their turn.
const WAITING: usize = 16;
/// The work of a turn is followed by so many times its length without any.
const REST: Nanos = 9;
/// Connections accepted, and requests taken, in a turn.
const TURN: usize = 8;

/// Why the endpoint can't be had.
#[derive(Debug)]
pub enum StartError {
    /// The path, and what is wrong.
    Socket(PathBuf, String),
    /// The state file, and what is wrong.
    State(PathBuf, String),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            StartError::Socket(path, what) => write!(f, "control.socket {}: {what}", path.display()),
            StartError::State(path, what) => write!(f, "control.state_file {}: {what}", path.display()),
        }
    }
}

impl std::error::Error for StartError {}

/// What must outlive the process, and where it is kept.
#[derive(Debug, Default)]
pub struct PersistentState {
    path: Option<PathBuf>,
    /// As it is in force.
    pub state: State,
}

impl PersistentState {
    /// Reads the state of the process before, if there is one.
    pub fn load(path: Option<PathBuf>) -> Result<PersistentState, StartError> {
        let Some(path) = path else { return Ok(PersistentState::default()) };
        let text = match fs::read_to_string(&path) {
            Ok(text) => text,
            Err(e) if e.kind() == io::ErrorKind::NotFound => {
                return Ok(PersistentState { path: Some(path), state: State::default() })
            }
            Err(e) => return Err(StartError::State(path, format!("can't be read: {e}"))),
        };
        // Danger: to go on without it would send work to a box that an operator drained.
        match State::decode(&text) {
            Ok(state) => Ok(PersistentState { path: Some(path), state }),
            Err(what) => {
                let advice = "mend it, or remove it to start with nothing drained";
                Err(StartError::State(path, format!("{what}; {advice}")))
            }
        }
    }

    /// Puts a state in force once it is written. A process that dies at any point leaves the old file or the
    /// new one; it is not synced, so a machine that dies may lose it.
    pub fn store(&mut self, state: State) -> Result<(), Error> {
        if let Some(path) = &self.path {
            let new = path.with_extension("new");
            let wrote = fs::write(&new, state.encode()).and_then(|()| fs::rename(&new, path));
            wrote.map_err(|e| {
                Error::new(Code::Storage, format!("{}: {e}; nothing changed", path.display()))
            })?;
        }
        self.state = state;
        Ok(())
    }
}

/// A request, or what is wrong with it and the id that it bears.
pub type ParsedRequest = Result<Request, (String, Error)>;

#[derive(Debug)]
struct Watch {
    id: String,
    every: Option<Nanos>,
    told: Nanos,
    change: u64,
}

#[derive(Debug)]
struct Peer {
    stream: UnixStream,
    decoder: Decoder,
    /// Whole requests that wait for their turn.
    waiting: VecDeque<Vec<u8>>,
    out: Vec<u8>,
    written: usize,
    /// It may have input that has not been read.
    readable: bool,
    /// When it last completed a request, or connected; and whether it ever did.
    asked: Nanos,
    spoke: bool,
    /// Since when a frame is half said, and since when answers wait to be read.
    midway: Option<Nanos>,
    unread: Option<Nanos>,
    watch: Option<Watch>,
    /// It is let go once all is written.
    closing: bool,
}

impl Peer {
    /// It has to read before anything more is done for it.
    fn stuck(&self) -> bool {
        self.closing || self.out.len() - self.written > HIGH
    }
}

/// The endpoint.
#[derive(Debug)]
pub struct ControlEndpoint {
    listener: UnixListener,
    path: PathBuf,
    uids: Vec<u32>,
    most: usize,
    peers: Slab<Peer>,
    accepting: bool,
    rest_until: Nanos,
}

fn bind(path: &Path) -> Result<UnixListener, StartError> {
    let fault = |what: String| StartError::Socket(path.to_owned(), what);
    match fs::symlink_metadata(path) {
        Ok(meta) if !meta.file_type().is_socket() => {
            return Err(fault("is there and is no socket; name another path".into()))
        }
        // A socket that nobody answers on was left by a process that was killed.
        Ok(_) => match std::os::unix::net::UnixStream::connect(path) {
            Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => {
                fs::remove_file(path).map_err(|e| fault(format!("left behind, can't be removed: {e}")))?;
            }
            _ => return Err(fault("is in use by another process".into())),
        },
        Err(_) => {}
    }
    // Made for its owner alone from the first moment on, whatever the mask was.
    let mask = rustix::process::umask(rustix::fs::Mode::from_raw_mode(0o177));
    let bound = UnixListener::bind(path);
    rustix::process::umask(mask);
    let listener = bound.map_err(|e| fault(format!("can't be made: {e}")))?;
    fs::set_permissions(path, fs::Permissions::from_mode(0o600))
        .map_err(|e| fault(format!("its mode can't be set: {e}")))?;
    Ok(listener)
}

impl ControlEndpoint {
    /// Listens.
    pub fn open(settings: &operator::Control, registry: &Registry, token: Token) -> Result<Self, StartError> {
        let mut listener = bind(&settings.socket)?;
        registry
            .register(&mut listener, token, Interest::READABLE)
            .map_err(|e| StartError::Socket(settings.socket.clone(), e.to_string()))?;
        let mut uids = settings.allow_uids.clone();
        uids.push(rustix::process::geteuid().as_raw());
        Ok(ControlEndpoint {
            listener,
            path: settings.socket.clone(),
            uids,
            most: settings.max_connections,
            peers: Slab::new(),
            accepting: false,
            rest_until: 0,
        })
    }

    /// Notes that the listener has connections.
    pub fn listener_ready(&mut self) {
        self.accepting = true;
    }

    /// A connection can be read or written.
    pub fn connection_ready(&mut self, key: usize, now: Nanos) {
        if let Some(peer) = self.peers.get_mut(key) {
            peer.readable = true;
        }
        self.flush(key, now);
    }

    /// Has this endpoint work, and when may it be done?
    pub fn work_due(&self) -> Option<Nanos> {
        // Danger: what can't be worked on until its peer reads would have the loop spin.
        let busy = |p: &Peer| !p.stuck() && (p.readable || !p.waiting.is_empty());
        (self.accepting || self.peers.iter().any(|(_, p)| busy(p))).then_some(self.rest_until)
    }

    /// The work of a turn took so long.
    pub fn record_work(&mut self, began: Nanos, now: Nanos) {
        self.rest_until = now + REST * now.saturating_sub(began);
    }

    /// Accepts, reads, and takes the requests whose turn it is.
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
        let mut taken = Vec::new();
        for key in keys {
            let Some(peer) = self.peers.get_mut(key) else { continue };
            if taken.len() == TURN || peer.stuck() {
                continue;
            }
            if let Some(frame) = peer.waiting.pop_front() {
                (peer.asked, peer.spoke) = (now, true);
                taken.push((key, Request::read(&frame)));
            }
        }
        taken
    }

    fn accept(&mut self, registry: &Registry, token: impl Fn(usize) -> Token, now: Nanos) {
        for _ in 0..TURN {
            let accepted = super::next(&mut self.accepting, || self.listener.accept());
            let Some(mut stream) = accepted else { return };
            let known = rustix::net::sockopt::socket_peercred(&stream).map(|c| c.uid.as_raw());
            if !known.is_ok_and(|uid| self.uids.contains(&uid)) {
                continue;
            }
            if self.peers.len() >= self.most {
                // Who never said anything goes first, then who has been silent for longest; a watcher last.
                let order = |p: &Peer| (p.watch.is_some(), p.spoke, p.asked);
                let last = self.peers.iter().min_by_key(|(_, p)| order(p)).map(|(key, _)| key);
                last.into_iter().for_each(|key| self.remove(key));
            }
            let entry = self.peers.vacant_entry();
            let interest = Interest::READABLE | Interest::WRITABLE;
            if registry.register(&mut stream, token(entry.key()), interest).is_err() {
                continue;
            }
            entry.insert(Peer {
                stream,
                decoder: Decoder::new(MAX_REQUEST),
                waiting: VecDeque::new(),
                out: Vec::new(),
                written: 0,
                readable: true,
                asked: now,
                spoke: false,
                midway: None,
                unread: None,
                watch: None,
                closing: false,
            });
        }
    }

    /// Reads one piece of a connection.
    fn read(&mut self, key: usize, buffer: &mut [u8], now: Nanos) {
        let Some(peer) = self.peers.get_mut(key) else { return };
        if !peer.readable || peer.stuck() || peer.waiting.len() >= WAITING {
            return;
        }
        // A piece holds no more requests than may wait, or little more: the shortest has some thirty bytes.
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
                    peer.waiting.extend(frame);
                }
                Err(long) => {
                    let message = format!("the frame is longer than {} bytes", long.limit);
                    peer.closing = true;
                    self.error(key, String::new(), Error::new(Code::BadFrame, message), now);
                    return;
                }
            }
        }
        peer.midway = peer.decoder.has_partial_frame().then_some(peer.midway.unwrap_or(now));
    }

    /// Answers a request.
    pub fn reply(&mut self, key: usize, id: String, body: Body, now: Nanos) {
        let Some(peer) = self.peers.get_mut(key) else { return };
        if matches!(&body, Body::Error(e) if e.code == Code::BadFrame) {
            // What follows a frame that can't be understood can't be either.
            peer.closing = true;
            peer.waiting.clear();
        }
        peer.out.extend(encode_line(&Reply { v: VERSION, id, body }));
        self.flush(key, now);
    }

    /// Answers a request that was not carried out.
    pub fn error(&mut self, key: usize, id: String, error: Error, now: Nanos) {
        self.reply(key, id, Body::Error(error), now);
    }

    /// This connection wants to know of changes.
    pub fn watch(&mut self, key: usize, id: String, every: Option<Nanos>, change: u64, now: Nanos) {
        if let Some(peer) = self.peers.get_mut(key) {
            peer.watch = Some(Watch { id, every, told: now, change });
        }
    }

    /// Tells the watchers whose time has come, or who have not heard of this change.
    pub fn notify_watchers(&mut self, change: u64, status: impl Fn() -> Status, now: Nanos) {
        let due = |w: &Watch| {
            w.change != change || w.every.is_some_and(|every| now.saturating_sub(w.told) >= every)
        };
        let keys: Vec<usize> = self
            .peers
            .iter()
            .filter(|(_, p)| p.watch.as_ref().is_some_and(due))
            .map(|(key, _)| key)
            .collect();
        if keys.is_empty() {
            return;
        }
        let status = status();
        for key in keys {
            let Some(peer) = self.peers.get_mut(key) else { continue };
            if peer.stuck() {
                self.remove(key);
                continue;
            }
            let Some(watch) = &mut peer.watch else { continue };
            (watch.told, watch.change) = (now, change);
            let id = watch.id.clone();
            self.reply(key, id, Body::Event(Box::new(status.clone())), now);
        }
    }

    fn flush(&mut self, key: usize, now: Nanos) {
        let Some(peer) = self.peers.get_mut(key) else { return };
        while peer.written < peer.out.len() {
            match peer.stream.write(&peer.out[peer.written..]) {
                Ok(n) => {
                    peer.written += n;
                    peer.unread = None;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    peer.unread.get_or_insert(now);
                    return;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => {
                    self.remove(key);
                    return;
                }
            }
        }
        peer.out = Vec::new();
        (peer.written, peer.unread) = (0, None);
        if peer.closing {
            self.remove(key);
        }
    }

    fn remove(&mut self, key: usize) {
        self.peers.try_remove(key);
    }

    /// Ends what has waited too long.
    pub fn sweep(&mut self, now: Nanos) {
        let late = |since: Option<Nanos>, most: Nanos| since.is_some_and(|at| now.saturating_sub(at) > most);
        let over = |p: &Peer| {
            let idle = p.watch.is_none() && p.waiting.is_empty() && late(Some(p.asked), IDLE);
            idle || late(p.midway, PATIENCE) || late(p.unread, PATIENCE)
        };
        self.peers.retain(|_, p| !over(p));
    }
}

impl Drop for ControlEndpoint {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.path);
    }
}

/// Checks the interval of a watch.
pub fn watch_interval(every_ms: Option<u64>) -> Result<Option<Nanos>, Error> {
    let range = control::message::WATCH_MS;
    match every_ms {
        Some(ms) if !range.contains(&ms) => {
            let message = format!("every_ms is {ms}; {} to {} is allowed", range.start(), range.end());
            Err(Error::new(Code::BadRequest, message))
        }
        every => Ok(every.map(|ms| ms * MS)),
    }
}

/// Does this change something that a proxy on its way out no longer can?
pub fn requires_running_proxy(op: &Op) -> bool {
    !matches!(
        op,
        Op::Status | Op::List | Op::Boxes { .. } | Op::Watch { .. } | Op::Reconfigure { dry_run: true, .. }
    )
}
