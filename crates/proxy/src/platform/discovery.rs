//! Discovery over HTTP: a watch that goes on from call to call.
//!
//! When calls begin is planned by `freshness`, what they tell is read here. Each call has a connection and a deadline of
//! its own. Whatever goes wrong with one, a list that can't be understood too, ends in [`PollResult::Failed`]: the old list
//! stands, and the next call is planned.

use super::config::Config;
use addresses::Address;
use calicosaddle::api::{server_id, Nanos, ServerEntry, ServerState};
use freshness::{PollConfig, PollScheduler};
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use serde_json::Value;
use std::fmt;
use std::io::{self, Read, Write};
use std::net::SocketAddr;

const MS: Nanos = 1_000_000;
/// So many calls may be out at once: the latest, and those that fell silent before it.
pub const MAX_POLLS: usize = 4;
/// A call is listened to for so long after its wait. Guards against answers that cross with a call given up: they count
/// as told, and nobody has read them.
const PATIENCE: Nanos = 2_500 * MS;
/// An answer that has begun is whole so long after, or another call begins beside; ...
const WHOLE: Nanos = 500 * MS;
/// ... it is read on for as long as it goes on coming, but no longer than this.
const LONGEST: Nanos = 10_000 * MS;
/// The longest head of an answer.
const MAX_HEAD: usize = 16 << 10;
/// The longest body is this part of the memory, which holds it several times over while it is read, ...
const BODY_PART: u64 = 16;
/// ... and no less than this: some 4,000 boxes, indented.
const LEAST_BODY: usize = 1 << 20;
/// So many answers in a row that are older than the list in force are not believed; a whole list after them is.
/// Guards against a copy of discovery that lags behind the one that answered before: it would bring back boxes that
/// are gone. Danger: a discovery that lost its count would never be heard again, so it is, after some seconds of asking.
const OLDER: u32 = 3;
/// The longest line that tells a chunk's size.
const MAX_CHUNK_LINE: usize = 256;

/// The names that stand in lists for zones and machine kinds, in the order of the settings.
#[derive(Clone, Debug, Default)]
pub struct TopologyNames {
    /// Zones.
    pub zones: Vec<String>,
    /// Machine kinds.
    pub machine_kinds: Vec<String>,
}

/// A cache node in a list.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    /// Its name, the same at every proxy.
    pub name: Box<str>,
    /// What the module is told of it.
    pub entry: ServerEntry,
    /// Where it is, in the order of the list; a removed one may have no address.
    pub addresses: Vec<Address>,
    /// What stood among its addresses and is none.
    pub invalid_addresses: Vec<String>,
}

/// A list, whole or changes only.
#[derive(Clone, Debug, PartialEq)]
pub struct ListUpdate {
    /// Its version.
    pub version: u64,
    /// All hosts are named (else those that changed).
    pub full: bool,
    /// The hosts.
    pub hosts: Vec<Host>,
}

/// Why a list could not be read.
#[derive(Debug, PartialEq, Eq)]
pub enum ListError {
    /// The answer is not HTTP, not whole, or too long.
    Http(&'static str),
    /// Discovery answered with another status than 200.
    Status(u16),
    /// The body is not JSON.
    Json,
    /// A field is missing or makes no sense.
    Field(&'static str),
    /// It is of this version, older than the one in force.
    Older(u64, u64),
}

impl fmt::Display for ListError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ListError::Http(what) => write!(f, "bad answer: {what}"),
            ListError::Status(code) => write!(f, "answered {code}"),
            ListError::Json => write!(f, "not JSON"),
            ListError::Field(name) => write!(f, "{name} is missing or wrong"),
            ListError::Older(told, known) => write!(f, "seq {told} is older than {known}, which is in force"),
        }
    }
}

/// Reads a list in discovery's form.
pub fn read_list(json: &Value, names: &TopologyNames) -> Result<ListUpdate, ListError> {
    let version = json["seq"].as_u64().ok_or(ListError::Field("seq"))?;
    let whole = json["whole"].as_bool().ok_or(ListError::Field("whole"))?;
    let hosts = json["hosts"].as_array().ok_or(ListError::Field("hosts"))?;
    let hosts = hosts.iter().map(|h| read_host(h, names)).collect::<Result<_, _>>()?;
    Ok(ListUpdate { version, full: whole, hosts })
}

fn read_host(json: &Value, names: &TopologyNames) -> Result<Host, ListError> {
    let host = json["host"].as_str().filter(|h| !h.is_empty()).ok_or(ListError::Field("host"))?;
    let state = match json["health"].as_str() {
        Some("up") => ServerState::Ready,
        Some("draining") => ServerState::Draining,
        Some("removed") => ServerState::Removed,
        // Danger: to take an unknown state for a known one may send work where none is wanted.
        _ => return Err(ListError::Field("health")),
    };
    // Beside `dial`, which is enough, an entry may carry `dials`, an ordered list that is taken instead. One in
    // which nothing can be used is a box without a connection; the list it stands in holds.
    let (dials, faults) = match json["dials"].as_array() {
        Some(all) => addresses::parse_list(all.iter().map(|d| d.as_str().unwrap_or_default())),
        None => {
            let dial: Option<SocketAddr> = json["dial"].as_str().and_then(|d| d.parse().ok());
            if dial.is_none() && state != ServerState::Removed {
                return Err(ListError::Field("dial"));
            }
            (dial.map(Address::Tcp).into_iter().collect(), Vec::new())
        }
    };
    let number = |name: &str| json[name].as_u64().unwrap_or(0);
    // A zone or kind that the settings don't name is like no other.
    let place = |all: &[String], name: &Value| {
        let at = name.as_str().and_then(|n| all.iter().position(|z| z == n)).map(|i| i as u64);
        at.or(name.as_u64()).map_or(u32::MAX, |i| i as u32)
    };
    let entry = ServerEntry {
        server: server_id(host),
        zone: place(&names.zones, &json["site"]),
        kind: place(&names.machine_kinds, &json["class"]),
        cell: number("block") as u32,
        state,
        weight: json["share"].as_f64().unwrap_or(1.0),
        started_at: number("born_ms").saturating_mul(MS),
    };
    Ok(Host { name: host.into(), entry, addresses: dials, invalid_addresses: faults })
}

/// What comes of the calls.
#[derive(Debug, PartialEq)]
pub enum PollResult {
    /// A list.
    Update(ListUpdate),
    /// A call failed, or the watch ended with it.
    Failed(ListError),
}

/// The length of an answer's body.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Head,
    Left(usize),
    /// In chunks: what is left of this one; 0 when its size is yet to come.
    Chunks(usize),
    ChunkEnd,
    /// The trailer after the last chunk: how long its line is so far.
    Trailer(usize),
    ToEnd,
    Done,
}

#[derive(Debug)]
struct Call {
    token: Token,
    stream: TcpStream,
    out: Vec<u8>,
    written: usize,
    /// It waits for news.
    waits: bool,
    deadline: Nanos,
    /// When the first and the last bytes of its answer came.
    heard: Option<(Nanos, Nanos)>,
    /// The longest body that it takes.
    most: usize,
    framing: Framing,
    /// Input not yet understood: a head, or a chunk's size.
    pending: Vec<u8>,
    body: Vec<u8>,
}

/// The calls to discovery: the latest, and some that have been given up and may yet say something.
#[derive(Debug)]
pub struct Discovery {
    address: SocketAddr,
    names: TopologyNames,
    follower: PollScheduler,
    version: Option<u64>,
    /// When discovery answered last.
    heard: Option<Nanos>,
    /// Older lists in a row.
    older: u32,
    tokens: [Token; MAX_POLLS],
    /// The longest list that it takes.
    most: usize,
    latest: Option<Call>,
    /// The calls that fell silent: the one that began first comes first.
    silent: Vec<Call>,
}

impl Discovery {
    /// Nothing asked yet; `version` is that of the list already known.
    pub fn new(config: &Config, version: Option<u64>, now: Nanos, tokens: [Token; MAX_POLLS]) -> Self {
        Discovery {
            address: config.discovery,
            names: config.topology.clone(),
            follower: PollScheduler::new(PollConfig::from(&config.settings), config.seed, now),
            version,
            heard: None,
            older: 0,
            tokens,
            most: ((config.memory_mb << 20) / BODY_PART).max(LEAST_BODY as u64) as usize,
            latest: None,
            silent: Vec::new(),
        }
    }

    /// Discovery is at another address from now on. Calls that are out end, and the list is known in no
    /// version of the new one's.
    pub fn change_address(&mut self, address: SocketAddr, now: Nanos) {
        (self.address, self.version, self.older, self.latest) = (address, None, 0, None);
        self.silent.clear();
        self.follower.discovery_moved(now);
    }

    /// Other settings hold from now on.
    pub fn configure(&mut self, terms: PollConfig) {
        self.follower.configure(terms);
    }

    /// The version of the list, and when discovery last said what it is.
    pub fn last_list(&self) -> (Option<u64>, Option<Nanos>) {
        (self.version, self.heard)
    }

    /// When a call is to begin.
    pub fn next_wakeup(&self) -> Nanos {
        self.follower.next_wakeup()
    }

    /// Begins the call that is due. The one that was out is given up, and listened to all the same.
    pub fn start_due_poll(&mut self, registry: &Registry, now: Nanos) -> Option<PollResult> {
        if !self.follower.start_if_due(now) {
            return None;
        }
        self.begin(registry, None, now).err().map(PollResult::Failed)
    }

    /// Begins a call that does not wait, or waits for so long. If that fails, the next one is planned.
    fn begin(&mut self, registry: &Registry, wait: Option<Nanos>, now: Nanos) -> Result<(), ListError> {
        // Danger: with the first of them given up, a discovery that takes its time would never be heard.
        self.silent.extend(self.latest.take().filter(|_| self.silent.len() + 2 <= MAX_POLLS));
        let begun = self.call(registry, wait, now);
        self.latest = Some(begun.inspect_err(|_| self.follower.poll_failed(now))?);
        Ok(())
    }

    fn call(&self, registry: &Registry, wait: Option<Nanos>, now: Nanos) -> Result<Call, ListError> {
        let used = |t: &Token| self.silent.iter().chain(&self.latest).any(|c| c.token == *t);
        let token = self.tokens.into_iter().find(|t| !used(t)).unwrap_or(self.tokens[0]);
        let query = match self.version {
            Some(version) => format!("?since={version}&timeout_ms={}", wait.unwrap_or(0) / MS),
            None => String::new(),
        };
        let address = self.address;
        let out = format!(
            "GET /catalog/members{query} HTTP/1.1\r\nHost: {address}\r\nAccept: application/json\r\n\
             Connection: close\r\n\r\n"
        );
        let failed = |_| ListError::Http("no connection");
        let mut stream = TcpStream::connect(address).map_err(failed)?;
        registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE).map_err(failed)?;
        Ok(Call {
            token,
            stream,
            out: out.into_bytes(),
            written: 0,
            waits: wait.is_some(),
            deadline: now + wait.unwrap_or(0) + PATIENCE,
            heard: None,
            most: self.most,
            framing: Framing::Head,
            pending: Vec::new(),
            body: Vec::new(),
        })
    }

    /// Drives the call of a token as far as its socket allows; its answer, once there is one. That a call which has been
    /// given up fails is no news.
    pub fn handle_ready(&mut self, registry: &Registry, token: Token, now: Nanos) -> Option<PollResult> {
        let latest = self.latest.as_ref().is_some_and(|c| c.token == token);
        let (news, waited) = if latest {
            let told = self.latest.as_mut()?.told(&self.names, now)?;
            let waited = self.latest.take().is_some_and(|c| c.waits);
            match told.and_then(|n| self.in_order(n)) {
                Ok(news) => (news, waited),
                Err(e) => {
                    self.follower.poll_failed(now);
                    return Some(PollResult::Failed(e));
                }
            }
        } else {
            let at = self.silent.iter().position(|c| c.token == token)?;
            let told = self.silent[at].told(&self.names, now)?;
            self.silent.remove(at);
            // What is not newer than what is known by now has been heard since.
            let news = told.ok().filter(|n| self.version.is_none_or(|known| n.version >= known))?;
            (news, true)
        };
        let newer = self.version != Some(news.version);
        (self.version, self.heard) = (Some(news.version), Some(now));
        if let Some(wait) = self.follower.list_received(now, latest) {
            // Danger: a call more than 200 ms after the last answer begins a new watch.
            // The list that was told holds all the same if it can't begin.
            let _ = self.begin(registry, Some(wait), now).inspect_err(|e| eprintln!("discovery: {e}"));
        }
        // A call that waited in vain says nothing new, but the first one says that the watch has begun.
        let told = !waited || newer || news.full || !news.hosts.is_empty();
        told.then_some(PollResult::Update(news))
    }

    /// The list, unless it is older than the one in force.
    fn in_order(&mut self, news: ListUpdate) -> Result<ListUpdate, ListError> {
        match self.version {
            Some(known) if news.version < known && !(news.full && self.older >= OLDER) => {
                self.older += 1;
                Err(ListError::Older(news.version, known))
            }
            _ => {
                self.older = 0;
                Ok(news)
            }
        }
    }

    /// Gives up a call that has stopped in the middle of its answer, and those that nothing is to be heard of any more.
    pub fn expire_polls(&mut self, registry: &Registry, now: Nanos) -> Option<PollResult> {
        self.silent.retain(|c| !c.is_over(now));
        if self.latest.as_ref().is_some_and(|c| c.has_stopped(now)) {
            self.follower.start_replacement(now);
            return self.begin(registry, None, now).err().map(PollResult::Failed);
        }
        None
    }
}

impl Call {
    /// Its answer began, and is not whole though it had time.
    fn has_stopped(&self, now: Nanos) -> bool {
        self.heard.is_some_and(|(first, _)| first + WHOLE <= now)
    }

    /// Nothing more is to be heard: its time is up, and no answer is on its way.
    fn is_over(&self, now: Nanos) -> bool {
        let comes = self.heard.is_some_and(|(first, last)| last + WHOLE > now && first + LONGEST > now);
        self.deadline <= now && !comes
    }

    /// Drives the call; once it is over, what it told is given.
    fn told(&mut self, names: &TopologyNames, now: Nanos) -> Option<Result<ListUpdate, ListError>> {
        let read = match self.drive(now) {
            Ok(false) => return None,
            Ok(true) => serde_json::from_slice(&self.body).map_err(|_| ListError::Json),
            Err(e) => Err(e),
        };
        Some(read.and_then(|json| read_list(&json, names)))
    }

    /// Writes and reads what it can; true once the body is whole.
    fn drive(&mut self, now: Nanos) -> Result<bool, ListError> {
        let lost = ListError::Http("connection lost");
        while self.written < self.out.len() {
            match self.stream.write(&self.out[self.written..]) {
                Ok(n) => self.written += n,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected) => {
                    return Ok(false)
                }
                Err(_) => return Err(lost),
            }
        }
        let mut buffer = [0; 16 << 10];
        loop {
            match self.stream.read(&mut buffer) {
                Ok(0) if matches!(self.framing, Framing::ToEnd) => return Ok(true),
                Ok(0) => return Err(lost),
                Ok(n) => {
                    self.heard = Some((self.heard.map_or(now, |(first, _)| first), now));
                    self.take(&buffer[..n])?;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(false),
                Err(_) => return Err(lost),
            }
            if matches!(self.framing, Framing::Done) {
                return Ok(true);
            }
        }
    }

    fn take(&mut self, mut input: &[u8]) -> Result<(), ListError> {
        while !input.is_empty() {
            match self.framing {
                Framing::Head => {
                    self.pending.extend_from_slice(input);
                    let Some(head) = self.head()? else { return Ok(()) };
                    let pending = std::mem::take(&mut self.pending);
                    return self.take(&pending[head..]);
                }
                Framing::ToEnd => {
                    self.keep(input)?;
                    return Ok(());
                }
                Framing::Left(left) => {
                    let n = left.min(input.len());
                    self.keep(&input[..n])?;
                    input = &input[n..];
                    self.framing = if left == n { Framing::Done } else { Framing::Left(left - n) };
                }
                Framing::Chunks(0) => {
                    self.pending.push(input[0]);
                    input = &input[1..];
                    if self.pending.ends_with(b"\n") {
                        self.framing = match httparse::parse_chunk_size(&self.pending) {
                            Ok(httparse::Status::Complete((_, 0))) => Framing::Trailer(0),
                            Ok(httparse::Status::Complete((_, n))) if n <= self.most as u64 => {
                                Framing::Chunks(n as usize)
                            }
                            _ => return Err(ListError::Http("bad chunk")),
                        };
                        self.pending.clear();
                    } else if self.pending.len() > MAX_CHUNK_LINE {
                        return Err(ListError::Http("bad chunk"));
                    }
                }
                Framing::Chunks(left) => {
                    let n = left.min(input.len());
                    self.keep(&input[..n])?;
                    input = &input[n..];
                    self.framing = if left == n { Framing::ChunkEnd } else { Framing::Chunks(left - n) };
                }
                Framing::ChunkEnd => {
                    match input[0] {
                        b'\r' => {}
                        b'\n' => self.framing = Framing::Chunks(0),
                        _ => return Err(ListError::Http("bad chunk")),
                    }
                    input = &input[1..];
                }
                Framing::Trailer(line) => {
                    self.framing = match input[0] {
                        b'\n' if line == 0 => Framing::Done,
                        b'\n' => Framing::Trailer(0),
                        b'\r' => Framing::Trailer(line),
                        _ if line > MAX_HEAD => return Err(ListError::Http("trailer is too long")),
                        _ => Framing::Trailer(line + 1),
                    };
                    input = &input[1..];
                }
                Framing::Done => return Ok(()),
            }
        }
        Ok(())
    }

    fn keep(&mut self, part: &[u8]) -> Result<(), ListError> {
        if self.body.len() + part.len() > self.most {
            return Err(ListError::Http("body is too long"));
        }
        self.body.extend_from_slice(part);
        Ok(())
    }

    /// Reads the head once it is whole; tells its length and sets the framing of the body.
    fn head(&mut self) -> Result<Option<usize>, ListError> {
        if !self.pending.windows(4).any(|w| w == b"\r\n\r\n") {
            let long = self.pending.len() > MAX_HEAD;
            return if long { Err(ListError::Http("head is too long")) } else { Ok(None) };
        }
        let mut fields = [httparse::EMPTY_HEADER; 64];
        let mut head = httparse::Response::new(&mut fields);
        let Ok(httparse::Status::Complete(length)) = head.parse(&self.pending) else {
            return Err(ListError::Http("bad head"));
        };
        let code = head.code.unwrap_or(0);
        if code != 200 {
            return Err(ListError::Status(code));
        }
        let mut framing = Framing::ToEnd;
        for field in head.headers.iter() {
            let value = std::str::from_utf8(field.value).unwrap_or_default().trim();
            if field.name.eq_ignore_ascii_case("transfer-encoding") {
                if !value.eq_ignore_ascii_case("chunked") {
                    return Err(ListError::Http("unknown transfer-encoding"));
                }
                framing = Framing::Chunks(0);
            } else if field.name.eq_ignore_ascii_case("content-length")
                && !matches!(framing, Framing::Chunks(_))
            {
                let n = value.parse().map_err(|_| ListError::Http("bad content-length"))?;
                framing = if n == 0 { Framing::Done } else { Framing::Left(n) };
            }
        }
        self.framing = framing;
        Ok(Some(length))
    }
}
