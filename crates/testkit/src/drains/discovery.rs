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
/// The time between the bytes of an answer that breaks off and the reset.
const RESET_DELAY: Duration = Duration::from_millis(5);
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

/// What becomes of answers that tell of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivered {
    /// They arrive.
    Whole,
    /// So many in a row are lost before each that arrives: the connection is reset.
    Lost(u32),
    /// So many in a row break off half way, with a reset.
    Halved(u32),
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
    delivered: Delivered,
    /// Answers with changes that were lost since one arrived.
    lost_in_a_row: u32,
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
            delivered: Delivered::Whole,
            lost_in_a_row: 0,
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

    /// Sets what becomes of answers that tell of a change.
    pub fn deliver(&self, delivered: Delivered) {
        self.lock().delivered = delivered;
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
        let (list, arriving_share) = self.answer(since, wait);
        let body = list.to_string();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n", body.len());
        let answer = (head + &body).into_bytes();
        let arriving = (answer.len() as f64 * arriving_share) as usize;
        let _ = stream.write_all(&answer[..arriving]);
        if arriving < answer.len() {
            // What was written has time to arrive before the reset.
            std::thread::sleep(RESET_DELAY);
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
    }

    /// The answer to a call, once it is due, and which share of it arrives. It counts as written from now on.
    fn answer(&self, since: Option<u64>, wait: Duration) -> (Value, f64) {
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
        let list = json!({"seq": state.version, "whole": since.is_none(), "hosts": hosts});
        (list, state.arriving_share(!listed.is_empty()))
    }
}

impl State {
    /// Which share of the next answer arrives.
    fn arriving_share(&mut self, tells_of_change: bool) -> f64 {
        let (lost, share) = match self.delivered {
            Delivered::Whole => (0, 1.0),
            Delivered::Lost(lost) => (lost, 0.0),
            Delivered::Halved(lost) => (lost, 0.5),
        };
        if !tells_of_change {
            return 1.0;
        }
        if self.lost_in_a_row >= lost {
            self.lost_in_a_row = 0;
            return 1.0;
        }
        self.lost_in_a_row += 1;
        share
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
