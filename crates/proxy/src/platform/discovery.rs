//! The discovery client: long polling over HTTP for the list of cache nodes.
//!
//! `freshness` schedules the polls; this module sends them and parses their responses. Each poll has a connection and a
//! deadline of its own. Any failure, including a list that can't be parsed, ends in [`PollResult::Failed`]: the current
//! list stays in force, and the next poll is scheduled.

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
/// The maximum number of polls in flight: the latest one, and earlier ones that have not been answered.
pub const MAX_POLLS: usize = 4;
/// How long a poll is read after its wait has ended. Discovery counts a list as delivered once it has sent it, so a
/// response that crosses with the end of its poll must still be read.
const RESPONSE_TIMEOUT: Nanos = 2_500 * MS;
/// A response that has begun but is not complete after this time is replaced by another poll, ...
const STALL_TIMEOUT: Nanos = 500 * MS;
/// ... but is read for up to this long as long as more of it arrives.
const MAX_RESPONSE_TIME: Nanos = 10_000 * MS;
/// The maximum size of a response head and of a trailer line, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// The maximum body size is the memory limit divided by this: a body is held several times over while it is parsed, ...
const BODY_MEMORY_DIVISOR: u64 = 16;
/// ... but it is at least this many bytes, enough for about 4,000 cache nodes in indented JSON.
const MIN_BODY_LIMIT_BYTES: usize = 1 << 20;
/// This many consecutive lists older than the one in force are rejected; a full list after them is accepted. A lagging
/// replica of discovery would otherwise bring back removed cache nodes, while a discovery whose counter was reset has
/// to be accepted after some seconds.
const MAX_REJECTED_OLDER_LISTS: u32 = 3;
/// The maximum length of a line with a chunk size, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 256;
/// The size of the read buffer.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// The names of zones and machine types in lists, in the order of the settings.
#[derive(Clone, Debug, Default)]
pub struct TopologyNames {
    /// Names of zones.
    pub zones: Vec<String>,
    /// Names of machine types.
    pub machine_kinds: Vec<String>,
}

/// A cache node in a list.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    /// Its name, which is the same at every proxy.
    pub name: Box<str>,
    /// The entry for the balancer.
    pub entry: ServerEntry,
    /// Its addresses, in the order of the list. A removed node may have none.
    pub addresses: Vec<Address>,
    /// Descriptions of the listed addresses that could not be parsed.
    pub invalid_addresses: Vec<String>,
}

/// A full list of cache nodes, or the changes to an earlier one.
#[derive(Clone, Debug, PartialEq)]
pub struct ListUpdate {
    /// The version of the list.
    pub version: u64,
    /// True if all nodes are listed, false if only those that changed.
    pub full: bool,
    /// The listed nodes.
    pub hosts: Vec<Host>,
}

/// Why a list could not be obtained.
#[derive(Debug, PartialEq, Eq)]
pub enum ListError {
    /// The connection failed, or the response is malformed, truncated or too long.
    Http(&'static str),
    /// Discovery responded with this status instead of 200.
    Status(u16),
    /// The body is not JSON.
    Json,
    /// This field is missing or has an invalid value.
    Field(&'static str),
    /// The list has the first version, which is older than the second one, the version in force.
    Older(u64, u64),
}

impl fmt::Display for ListError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ListError::Http(reason) => write!(f, "bad answer: {reason}"),
            ListError::Status(code) => write!(f, "answered {code}"),
            ListError::Json => write!(f, "not JSON"),
            ListError::Field(name) => write!(f, "{name} is missing or wrong"),
            ListError::Older(received, current) => {
                write!(f, "seq {received} is older than {current}, which is in force")
            }
        }
    }
}

/// Parses a list in discovery's JSON format.
///
/// # Errors
/// A field is missing or has an invalid value.
pub fn read_list(json: &Value, names: &TopologyNames) -> Result<ListUpdate, ListError> {
    let version = json["seq"].as_u64().ok_or(ListError::Field("seq"))?;
    let full = json["whole"].as_bool().ok_or(ListError::Field("whole"))?;
    let hosts = json["hosts"].as_array().ok_or(ListError::Field("hosts"))?;
    let hosts = hosts.iter().map(|host| read_host(host, names)).collect::<Result<_, _>>()?;
    Ok(ListUpdate { version, full, hosts })
}

fn read_host(json: &Value, names: &TopologyNames) -> Result<Host, ListError> {
    let name = json["host"].as_str().filter(|name| !name.is_empty()).ok_or(ListError::Field("host"))?;
    let state = match json["health"].as_str() {
        Some("up") => ServerState::Ready,
        Some("draining") => ServerState::Draining,
        Some("removed") => ServerState::Removed,
        // Treating an unknown state as a known one could send work to a node that must not get any.
        _ => return Err(ListError::Field("health")),
    };
    // An entry has one address in `dial`, or an ordered list in `dials`, which takes precedence. A node without any
    // valid address in `dials` gets no connection, but the rest of the list is used.
    let (addresses, invalid_addresses) = match json["dials"].as_array() {
        Some(all) => addresses::parse_list(all.iter().map(|address| address.as_str().unwrap_or_default())),
        None => {
            let dial: Option<SocketAddr> = json["dial"].as_str().and_then(|d| d.parse().ok());
            if dial.is_none() && state != ServerState::Removed {
                return Err(ListError::Field("dial"));
            }
            (dial.map(Address::Tcp).into_iter().collect(), Vec::new())
        }
    };
    let number = |key: &str| json[key].as_u64().unwrap_or(0);
    // A zone or machine type that is not in the settings equals no other.
    let index_of = |known: &[String], name: &Value| {
        let index = name.as_str().and_then(|n| known.iter().position(|k| k == n)).map(|i| i as u64);
        index.or(name.as_u64()).map_or(u32::MAX, |i| i as u32)
    };
    let entry = ServerEntry {
        server: server_id(name),
        zone: index_of(&names.zones, &json["site"]),
        kind: index_of(&names.machine_kinds, &json["class"]),
        cell: number("block") as u32,
        state,
        weight: json["share"].as_f64().unwrap_or(1.0),
        started_at: number("born_ms").saturating_mul(MS),
    };
    Ok(Host { name: name.into(), entry, addresses, invalid_addresses })
}

/// The result of a poll.
#[derive(Debug, PartialEq)]
pub enum PollResult {
    /// A list was received.
    Update(ListUpdate),
    /// The poll failed, or the watch has ended.
    Failed(ListError),
}

/// How the rest of a response is framed.
#[derive(Clone, Copy, Debug)]
enum Framing {
    /// The head is not complete.
    Head,
    /// The body has this many bytes left.
    Remaining(usize),
    /// The current chunk has this many bytes left; 0 if the line with its size is still to come.
    Chunk(usize),
    /// The line end after a chunk.
    ChunkEnd,
    /// The trailer after the last chunk, with the length of its current line so far.
    Trailer(usize),
    /// The body extends to the end of the connection.
    UntilClose,
    Complete,
}

/// An HTTP request to discovery in flight.
#[derive(Debug)]
struct Poll {
    token: Token,
    stream: TcpStream,
    request: Vec<u8>,
    written: usize,
    /// True for a long poll, which discovery answers when the list changes.
    is_long: bool,
    deadline: Nanos,
    /// When the first and the latest bytes of the response arrived.
    received_at: Option<(Nanos, Nanos)>,
    max_body: usize,
    framing: Framing,
    /// Input that is not complete enough to parse: a head, or the line with a chunk size.
    pending: Vec<u8>,
    body: Vec<u8>,
}

/// The discovery client: the latest poll, and earlier ones that have been replaced but may still be answered.
#[derive(Debug)]
pub struct Discovery {
    address: SocketAddr,
    names: TopologyNames,
    scheduler: PollScheduler,
    version: Option<u64>,
    /// When this client was created, at the start of the process.
    started_at: Nanos,
    /// When discovery last responded with a valid list.
    updated_at: Option<Nanos>,
    /// Until when the list did not have the changes of the last response.
    unlisted_until: Option<Nanos>,
    /// The number of consecutive lists that were older than the one in force.
    older_lists: u32,
    tokens: [Token; MAX_POLLS],
    /// The maximum size of a response body, in bytes.
    max_body: usize,
    latest: Option<Poll>,
    /// The replaced polls, oldest first.
    replaced: Vec<Poll>,
}

impl Discovery {
    /// Creates a client that has sent nothing yet; `version` is that of the list already known.
    pub fn new(config: &Config, version: Option<u64>, now: Nanos, tokens: [Token; MAX_POLLS]) -> Self {
        Discovery {
            address: config.discovery,
            names: config.topology.clone(),
            scheduler: PollScheduler::new(PollConfig::from(&config.settings), config.seed, now),
            version,
            started_at: now,
            updated_at: None,
            unlisted_until: None,
            older_lists: 0,
            tokens,
            max_body: ((config.memory_mb << 20) / BODY_MEMORY_DIVISOR).max(MIN_BODY_LIMIT_BYTES as u64)
                as usize,
            latest: None,
            replaced: Vec::new(),
        }
    }

    /// Switches to discovery at another address. Polls in flight are dropped. The versions of two discovery
    /// services are not comparable, so the next poll requests the full list.
    pub fn change_address(&mut self, address: SocketAddr, now: Nanos) {
        (self.address, self.version, self.older_lists, self.latest) = (address, None, 0, None);
        self.replaced.clear();
        self.scheduler.discovery_moved(now);
    }

    /// Applies new settings.
    pub fn configure(&mut self, config: PollConfig) {
        self.scheduler.configure(config);
    }

    /// The version of the list, and when discovery last responded with a valid list.
    pub fn last_list(&self) -> (Option<u64>, Option<Nanos>) {
        (self.version, self.updated_at)
    }

    /// Until when the list did not have the changes of the last response; `None` if that is not known.
    pub fn unlisted_until(&self) -> Option<Nanos> {
        self.unlisted_until
    }

    /// When the next poll is due.
    pub fn next_wakeup(&self) -> Nanos {
        self.scheduler.next_wakeup()
    }

    /// Starts a poll if one is due. It replaces the one in flight, whose response is still read.
    pub fn start_due_poll(&mut self, registry: &Registry, now: Nanos) -> Option<PollResult> {
        if !self.scheduler.start_if_due(now) {
            return None;
        }
        self.start_poll(registry, None, now).err().map(PollResult::Failed)
    }

    /// Starts a poll: with a `wait` a long poll, otherwise one that is answered at once. If that fails, the next poll is
    /// scheduled.
    fn start_poll(&mut self, registry: &Registry, wait: Option<Nanos>, now: Nanos) -> Result<(), ListError> {
        // Without a free slot the latest poll is dropped, not the oldest: otherwise no poll would live long enough for a
        // slow discovery to respond.
        self.replaced.extend(self.latest.take().filter(|_| self.replaced.len() + 2 <= MAX_POLLS));
        let poll = self.open_poll(registry, wait, now);
        self.latest = Some(poll.inspect_err(|_| self.scheduler.poll_failed(now))?);
        Ok(())
    }

    /// Starts a connection to discovery and prepares the request: for the updates since the known list version, or
    /// for the full list. With `wait` it is a long poll, which discovery may hold for that time until the list changes.
    fn open_poll(&self, registry: &Registry, wait: Option<Nanos>, now: Nanos) -> Result<Poll, ListError> {
        let in_use =
            |token: &Token| self.replaced.iter().chain(&self.latest).any(|poll| poll.token == *token);
        let token = self.tokens.into_iter().find(|token| !in_use(token)).unwrap_or(self.tokens[0]);
        let query = match self.version {
            Some(version) => format!("?since={version}&timeout_ms={}", wait.unwrap_or(0) / MS),
            None => String::new(),
        };
        let address = self.address;
        let request = format!(
            "GET /catalog/members{query} HTTP/1.1\r\nHost: {address}\r\nAccept: application/json\r\n\
             Connection: close\r\n\r\n"
        );
        let no_connection = |_| ListError::Http("no connection");
        let mut stream = TcpStream::connect(address).map_err(no_connection)?;
        registry
            .register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)
            .map_err(no_connection)?;
        Ok(Poll {
            token,
            stream,
            request: request.into_bytes(),
            written: 0,
            is_long: wait.is_some(),
            deadline: now + wait.unwrap_or(0) + RESPONSE_TIMEOUT,
            received_at: None,
            max_body: self.max_body,
            framing: Framing::Head,
            pending: Vec::new(),
            body: Vec::new(),
        })
    }

    /// Reads and writes the poll of a token as far as its socket allows, and returns its result once there is one. The
    /// failure of a replaced poll is not reported.
    pub fn handle_ready(&mut self, registry: &Registry, token: Token, now: Nanos) -> Option<PollResult> {
        let is_latest = self.latest.as_ref().is_some_and(|poll| poll.token == token);
        let (update, was_long) = if is_latest {
            let response = self.latest.as_mut()?.response(&self.names, now)?;
            let was_long = self.latest.take().is_some_and(|poll| poll.is_long);
            match response.and_then(|update| self.check_version(update)) {
                Ok(update) => (update, was_long),
                Err(e) => {
                    self.scheduler.poll_failed(now);
                    return Some(PollResult::Failed(e));
                }
            }
        } else {
            let index = self.replaced.iter().position(|poll| poll.token == token)?;
            let response = self.replaced[index].response(&self.names, now)?;
            self.replaced.remove(index);
            // An older list is ignored: a later poll has delivered a newer one since.
            let update = response.ok().filter(|u| self.version.is_none_or(|known| u.version >= known))?;
            (update, true)
        };
        if self.updated_at.is_none() {
            let elapsed_ms = now.saturating_sub(self.started_at) / MS;
            eprintln!("discovery: first list {elapsed_ms} ms after the start, version {}", update.version);
        }
        let is_newer = self.version != Some(update.version);
        // Discovery answers a long poll as soon as there is something newer. A replaced poll may be answered late.
        let is_prompt = is_latest && was_long;
        self.unlisted_until = self.updated_at.map(|before| if is_prompt { now } else { before });
        (self.version, self.updated_at) = (Some(update.version), Some(now));
        if let Some(wait) = self.scheduler.list_received(now, is_latest) {
            // The next long poll starts at once: discovery counts a poll more than 200 ms after the last response as a
            // new watch. The list just received is used even if it can't start.
            let _ = self.start_poll(registry, Some(wait), now).inspect_err(|e| eprintln!("discovery: {e}"));
        }
        // A long poll that ended without changes is not reported. The response to the first poll always is: it shows
        // that the watch has started.
        let reported = !was_long || is_newer || update.full || !update.hosts.is_empty();
        reported.then_some(PollResult::Update(update))
    }

    /// Rejects a list that is older than the one in force, up to [`MAX_REJECTED_OLDER_LISTS`] times in a row.
    fn check_version(&mut self, update: ListUpdate) -> Result<ListUpdate, ListError> {
        match self.version {
            Some(known)
                if update.version < known
                    && !(update.full && self.older_lists >= MAX_REJECTED_OLDER_LISTS) =>
            {
                self.older_lists += 1;
                Err(ListError::Older(update.version, known))
            }
            _ => {
                self.older_lists = 0;
                Ok(update)
            }
        }
    }

    /// Replaces a poll whose response has stalled, and drops replaced polls that are past their deadline.
    pub fn expire_polls(&mut self, registry: &Registry, now: Nanos) -> Option<PollResult> {
        self.replaced.retain(|poll| !poll.has_expired(now));
        if self.latest.as_ref().is_some_and(|poll| poll.has_stalled(now)) {
            self.scheduler.start_replacement(now);
            return self.start_poll(registry, None, now).err().map(PollResult::Failed);
        }
        None
    }
}

impl Poll {
    /// True if the response began [`STALL_TIMEOUT`] ago and is not complete.
    fn has_stalled(&self, now: Nanos) -> bool {
        self.received_at.is_some_and(|(first, _)| first + STALL_TIMEOUT <= now)
    }

    /// True if the deadline has passed and no response is arriving.
    fn has_expired(&self, now: Nanos) -> bool {
        let is_arriving = self
            .received_at
            .is_some_and(|(first, last)| last + STALL_TIMEOUT > now && first + MAX_RESPONSE_TIME > now);
        self.deadline <= now && !is_arriving
    }

    /// Reads and writes as far as the socket allows, and returns the parsed response once the poll has ended.
    fn response(&mut self, names: &TopologyNames, now: Nanos) -> Option<Result<ListUpdate, ListError>> {
        let json = match self.transfer(now) {
            Ok(false) => return None,
            Ok(true) => serde_json::from_slice(&self.body).map_err(|_| ListError::Json),
            Err(e) => Err(e),
        };
        Some(json.and_then(|json| read_list(&json, names)))
    }

    /// Writes and reads as far as the socket allows. Returns true once the body is complete.
    fn transfer(&mut self, now: Nanos) -> Result<bool, ListError> {
        let lost = ListError::Http("connection lost");
        while self.written < self.request.len() {
            match self.stream.write(&self.request[self.written..]) {
                Ok(n) => self.written += n,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected) => {
                    return Ok(false)
                }
                Err(_) => return Err(lost),
            }
        }
        let mut buffer = [0; READ_BUFFER_BYTES];
        loop {
            match self.stream.read(&mut buffer) {
                Ok(0) if matches!(self.framing, Framing::UntilClose) => return Ok(true),
                Ok(0) => return Err(lost),
                Ok(n) => {
                    self.received_at = Some((self.received_at.map_or(now, |(first, _)| first), now));
                    self.parse(&buffer[..n])?;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(false),
                Err(_) => return Err(lost),
            }
            if matches!(self.framing, Framing::Complete) {
                return Ok(true);
            }
        }
    }

    /// Parses the next bytes of the response.
    fn parse(&mut self, mut input: &[u8]) -> Result<(), ListError> {
        while !input.is_empty() {
            match self.framing {
                Framing::Head => {
                    self.pending.extend_from_slice(input);
                    let Some(head_length) = self.parse_head()? else { return Ok(()) };
                    let pending = std::mem::take(&mut self.pending);
                    return self.parse(&pending[head_length..]);
                }
                Framing::UntilClose => {
                    self.append_body(input)?;
                    return Ok(());
                }
                Framing::Remaining(left) => {
                    let n = left.min(input.len());
                    self.append_body(&input[..n])?;
                    input = &input[n..];
                    self.framing = if left == n { Framing::Complete } else { Framing::Remaining(left - n) };
                }
                Framing::Chunk(0) => {
                    self.pending.push(input[0]);
                    input = &input[1..];
                    if self.pending.ends_with(b"\n") {
                        self.framing = match httparse::parse_chunk_size(&self.pending) {
                            Ok(httparse::Status::Complete((_, 0))) => Framing::Trailer(0),
                            Ok(httparse::Status::Complete((_, n))) if n <= self.max_body as u64 => {
                                Framing::Chunk(n as usize)
                            }
                            _ => return Err(ListError::Http("bad chunk")),
                        };
                        self.pending.clear();
                    } else if self.pending.len() > MAX_CHUNK_LINE_BYTES {
                        return Err(ListError::Http("bad chunk"));
                    }
                }
                Framing::Chunk(left) => {
                    let n = left.min(input.len());
                    self.append_body(&input[..n])?;
                    input = &input[n..];
                    self.framing = if left == n { Framing::ChunkEnd } else { Framing::Chunk(left - n) };
                }
                Framing::ChunkEnd => {
                    match input[0] {
                        b'\r' => {}
                        b'\n' => self.framing = Framing::Chunk(0),
                        _ => return Err(ListError::Http("bad chunk")),
                    }
                    input = &input[1..];
                }
                Framing::Trailer(line_length) => {
                    self.framing = match input[0] {
                        b'\n' if line_length == 0 => Framing::Complete,
                        b'\n' => Framing::Trailer(0),
                        b'\r' => Framing::Trailer(line_length),
                        _ if line_length > MAX_HEAD_BYTES => {
                            return Err(ListError::Http("trailer is too long"))
                        }
                        _ => Framing::Trailer(line_length + 1),
                    };
                    input = &input[1..];
                }
                Framing::Complete => return Ok(()),
            }
        }
        Ok(())
    }

    fn append_body(&mut self, part: &[u8]) -> Result<(), ListError> {
        if self.body.len() + part.len() > self.max_body {
            return Err(ListError::Http("body is too long"));
        }
        self.body.extend_from_slice(part);
        Ok(())
    }

    /// Parses the head once it is complete, sets the framing of the body, and returns the length of the head.
    fn parse_head(&mut self) -> Result<Option<usize>, ListError> {
        if !self.pending.windows(4).any(|w| w == b"\r\n\r\n") {
            let is_too_long = self.pending.len() > MAX_HEAD_BYTES;
            return if is_too_long { Err(ListError::Http("head is too long")) } else { Ok(None) };
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
        let mut framing = Framing::UntilClose;
        for field in head.headers.iter() {
            let value = std::str::from_utf8(field.value).unwrap_or_default().trim();
            if field.name.eq_ignore_ascii_case("transfer-encoding") {
                if !value.eq_ignore_ascii_case("chunked") {
                    return Err(ListError::Http("unknown transfer-encoding"));
                }
                framing = Framing::Chunk(0);
            } else if field.name.eq_ignore_ascii_case("content-length")
                && !matches!(framing, Framing::Chunk(_))
            {
                let n = value.parse().map_err(|_| ListError::Http("bad content-length"))?;
                framing = if n == 0 { Framing::Complete } else { Framing::Remaining(n) };
            }
        }
        self.framing = framing;
        Ok(Some(length))
    }
}
