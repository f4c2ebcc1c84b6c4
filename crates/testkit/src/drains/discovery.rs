//! A discovery service for one proxy, over HTTP/1.1: whole lists, and long polls for changes. It records when it wrote what, so
//! that a test can tell from when a drain counts as notified.

use super::health_of;
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The longest request head that is read, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// The longest wait of a long poll.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// A node in the list.
#[derive(Clone, Debug)]
struct Entry {
    name: String,
    address: SocketAddr,
    is_draining: bool,
    /// The version of the last change of this entry.
    version: u64,
}

/// The list, and the record of what was written.
#[derive(Debug)]
struct State {
    version: u64,
    entries: Vec<Entry>,
    /// For each node, when a list that says that it drains was first written to the proxy.
    written_at: Vec<Option<Instant>>,
    calls: usize,
    is_frozen: bool,
}

/// A running discovery service.
#[derive(Debug)]
pub struct ListService {
    address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
}

impl ListService {
    /// Starts a service that lists these nodes as up, by this version.
    ///
    /// # Panics
    /// If no socket can be opened.
    pub fn start(version: u64, nodes: &[SocketAddr]) -> Arc<ListService> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a listener");
        let entries = nodes.iter().enumerate().map(|(number, address)| Entry {
            name: format!("s-{number}"),
            address: *address,
            is_draining: false,
            version,
        });
        let state = State {
            version,
            entries: entries.collect(),
            written_at: vec![None; nodes.len()],
            calls: 0,
            is_frozen: false,
        };
        let service = Arc::new(ListService {
            address: listener.local_addr().expect("an address"),
            state: Mutex::new(state),
            changed: Condvar::new(),
        });
        let serving = service.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                std::thread::spawn(move || serving.serve(stream));
            }
        });
        service
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lists a node as draining from now on. A frozen service does not learn of it.
    pub fn drain(&self, node: usize) {
        let mut state = self.lock();
        if state.is_frozen {
            return;
        }
        state.version += 1;
        let version = state.version;
        let entry = &mut state.entries[node];
        (entry.is_draining, entry.version) = (true, version);
        drop(state);
        self.changed.notify_all();
    }

    /// Numbers all versions from 1 again, as a service does that has lost its state.
    pub fn restart_versions(&self) {
        let mut state = self.lock();
        state.version = 1;
        state.entries.iter_mut().for_each(|entry| entry.version = 1);
        drop(state);
        self.changed.notify_all();
    }

    /// Lets the service learn of no further change.
    pub fn freeze(&self) {
        self.lock().is_frozen = true;
    }

    /// When a list in which the node drains was first written.
    pub fn written_at(&self, node: usize) -> Option<Instant> {
        self.lock().written_at[node]
    }

    /// Forgets what was written, as for a new process of the proxy.
    pub fn forget_written(&self) {
        self.lock().written_at.iter_mut().for_each(|at| *at = None);
    }

    /// How many calls have been answered.
    pub fn calls(&self) -> usize {
        self.lock().calls
    }

    fn serve(&self, mut stream: TcpStream) {
        let Some(target) = read_target(&mut stream) else { return };
        let number = |name: &str| -> Option<u64> {
            let (_, query) = target.split_once('?')?;
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
        };
        let since = number("since");
        let wait = Duration::from_millis(number("timeout_ms").unwrap_or(0)).min(MAX_WAIT);
        let body = self.answer(since, wait).to_string();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n", body.len());
        let _ = stream.write_all((head + &body).as_bytes());
    }

    /// The answer to a call, once it is due. It counts as written from now on.
    fn answer(&self, since: Option<u64>, wait: Duration) -> Value {
        let is_waiting = |state: &mut State| since == Some(state.version);
        let waited = self.changed.wait_timeout_while(self.lock(), wait, is_waiting);
        let (mut state, _) = waited.unwrap_or_else(PoisonError::into_inner);
        state.calls += 1;
        let since = since.filter(|since| *since <= state.version);
        let listed: Vec<usize> = (0..state.entries.len())
            .filter(|number| since.is_none_or(|since| state.entries[*number].version > since))
            .collect();
        for number in &listed {
            if state.entries[*number].is_draining {
                state.written_at[*number].get_or_insert_with(Instant::now);
            }
        }
        let hosts: Vec<Value> = listed.iter().map(|number| host_of(&state.entries[*number])).collect();
        json!({"seq": state.version, "whole": since.is_none(), "hosts": hosts})
    }
}

fn host_of(entry: &Entry) -> Value {
    crate::scripted::host(&entry.name, entry.address, health_of(entry.is_draining))
}

/// Reads the head of a request, and returns its target.
fn read_target(stream: &mut TcpStream) -> Option<String> {
    let mut input = Vec::new();
    while !input.windows(4).any(|end| end == b"\r\n\r\n") {
        let mut piece = [0; 2_048];
        let length = stream.read(&mut piece).ok().filter(|length| *length > 0)?;
        input.extend_from_slice(&piece[..length]);
        if input.len() > MAX_HEAD_BYTES {
            return None;
        }
    }
    let head = String::from_utf8_lossy(&input).into_owned();
    head.split(' ').nth(1).map(str::to_owned)
}
