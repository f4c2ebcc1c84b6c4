//! Discovery over HTTP: the whole list once, or a watch that goes on from call to call.
//!
//! Each call has a connection and a deadline of its own. Whatever goes wrong with one, a list that can't be
//! understood too, ends in [`Answer::Failed`]: the old list stands, and the module asks again when it sees fit.

use addresses::Address;
use calicosaddle::api::{server_id, Entry, Nanos, State};
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use serde_json::Value;
use std::fmt;
use std::io::{self, Read, Write};
use std::net::SocketAddr;

const MS: Nanos = 1_000_000;
/// How long a call of a watch waits for news. News of a call that hangs counts as told 2 s after its wait:
/// a short wait finds that out sooner, a long one spares discovery calls.
const WAIT: Nanos = 10_000 * MS;
/// A call whose answer has not come so long after its wait has fallen silent: the watch is begun anew, at once, and what
/// the old call may still say is listened for. Guards against the time at which its news count as told: that is 2 s
/// after its wait, and an answer to the new call may stand in a queue for as long. Calls of a fleet are spread, as their
/// watches began, so that those which all fell silent in one moment are not begun anew in one.
const SILENT: Nanos = 400 * MS;
/// The answer of one that waits comes no later than this after its wait.
const PATIENCE: Nanos = 1_500 * MS;
/// For one that does not wait for news, but stands in the queue of a discovery that may take 2 s over it. Guards against
/// answers that cross with a call given up: they count as told, and nobody has read them.
const QUEUED: Nanos = 2_500 * MS;
/// The longest head of an answer, and the longest body.
const MAX_HEAD: usize = 16 << 10;
const MAX_BODY: usize = 1 << 20;
/// So many answers in a row that are older than the list in force are not believed; a whole list after them is.
/// Guards against a copy of discovery that lags behind the one that answered before: it would bring back boxes that
/// are gone. Danger: a discovery that lost its count would never be heard again, so it is, after some seconds of asking.
const OLDER: u32 = 3;
/// The longest line that tells a chunk's size.
const MAX_CHUNK_LINE: usize = 256;

/// The names that stand in lists for zones and machine kinds, in the order of the settings.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Zones.
    pub zones: Vec<String>,
    /// Machine kinds.
    pub kinds: Vec<String>,
}

/// A cache node in a list.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    /// Its name, the same at every proxy.
    pub name: Box<str>,
    /// What the module is told of it.
    pub entry: Entry,
    /// Where it is, in the order of the list; a removed one may have no address.
    pub dials: Vec<Address>,
    /// What stood among its addresses and is none.
    pub faults: Vec<String>,
}

/// A list, whole or changes only.
#[derive(Clone, Debug, PartialEq)]
pub struct News {
    /// Its version.
    pub version: u64,
    /// All hosts are named (else those that changed).
    pub whole: bool,
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
pub fn read_list(json: &Value, names: &Names) -> Result<News, ListError> {
    let version = json["seq"].as_u64().ok_or(ListError::Field("seq"))?;
    let whole = json["whole"].as_bool().ok_or(ListError::Field("whole"))?;
    let hosts = json["hosts"].as_array().ok_or(ListError::Field("hosts"))?;
    let hosts = hosts.iter().map(|h| read_host(h, names)).collect::<Result<_, _>>()?;
    Ok(News { version, whole, hosts })
}

fn read_host(json: &Value, names: &Names) -> Result<Host, ListError> {
    let host = json["host"].as_str().filter(|h| !h.is_empty()).ok_or(ListError::Field("host"))?;
    let state = match json["health"].as_str() {
        Some("up") => State::Ready,
        Some("draining") => State::Draining,
        Some("removed") => State::Gone,
        // Danger: to take an unknown state for a known one may send work where none is wanted.
        _ => return Err(ListError::Field("health")),
    };
    // Beside `dial`, which is enough, an entry may carry `dials`, an ordered list that is taken instead. One in
    // which nothing can be used is a box without a connection; the list it stands in holds.
    let (dials, faults) = match json["dials"].as_array() {
        Some(all) => addresses::read(all.iter().map(|d| d.as_str().unwrap_or_default())),
        None => {
            let dial: Option<SocketAddr> = json["dial"].as_str().and_then(|d| d.parse().ok());
            if dial.is_none() && state != State::Gone {
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
    let entry = Entry {
        server: server_id(host),
        zone: place(&names.zones, &json["site"]),
        kind: place(&names.kinds, &json["class"]),
        cell: number("block") as u32,
        state,
        weight: json["share"].as_f64().unwrap_or(1.0),
        started: number("born_ms").saturating_mul(MS),
    };
    Ok(Host { name: host.into(), entry, dials, faults })
}

/// What comes of the calls.
#[derive(Debug, PartialEq)]
pub enum Answer {
    /// A list.
    News(News),
    /// A call failed, or the watch ended with it.
    Failed(ListError),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    /// The first call of a watch; it doesn't wait, so that the module soon hears that it is subscribed.
    Begin,
    /// A further one.
    Follow,
    /// The whole list, once.
    Fetch,
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
    purpose: Purpose,
    stream: TcpStream,
    out: Vec<u8>,
    written: usize,
    deadline: Nanos,
    framing: Framing,
    /// Input not yet understood: a head, or a chunk's size.
    pending: Vec<u8>,
    body: Vec<u8>,
}

/// The calls to discovery: at most one of the watch, one that has fallen silent, and one for the whole list.
#[derive(Debug)]
pub struct Discovery {
    address: SocketAddr,
    names: Names,
    version: Option<u64>,
    /// When discovery answered last.
    heard: Option<Nanos>,
    /// Older lists in a row.
    older: u32,
    tokens: [Token; 3],
    watch: Option<Call>,
    fetch: Option<Call>,
    /// The call of a watch that fell silent and was begun anew.
    silent: Option<Call>,
}

impl Discovery {
    /// Nothing asked yet; `version` is that of the list already known, `tokens` are for the watch, for a call for the
    /// whole list, and for one that has fallen silent.
    pub fn new(address: SocketAddr, names: Names, version: Option<u64>, tokens: [Token; 3]) -> Self {
        let (watch, fetch, silent) = (None, None, None);
        Discovery { address, names, version, heard: None, older: 0, tokens, watch, fetch, silent }
    }

    /// Discovery is at another address from now on. Calls that are out end, and the list is known in no
    /// version of the new one's.
    pub fn moved(&mut self, address: SocketAddr) {
        (self.address, self.version, self.older) = (address, None, 0);
        (self.watch, self.fetch, self.silent) = (None, None, None);
    }

    /// The version of the list, and when discovery last said what it is.
    pub fn known(&self) -> (Option<u64>, Option<Nanos>) {
        (self.version, self.heard)
    }

    /// Begins a watch, or begins it anew.
    pub fn subscribe(&mut self, registry: &Registry, now: Nanos) -> Result<(), ListError> {
        self.watch = None;
        self.watch = Some(self.call(registry, Purpose::Begin, now)?);
        Ok(())
    }

    /// Asks for the whole list.
    pub fn fetch(&mut self, registry: &Registry, now: Nanos) -> Result<(), ListError> {
        self.fetch = None;
        self.fetch = Some(self.call(registry, Purpose::Fetch, now)?);
        Ok(())
    }

    fn call(&self, registry: &Registry, purpose: Purpose, now: Nanos) -> Result<Call, ListError> {
        let token = self.tokens[usize::from(purpose == Purpose::Fetch)];
        let (wait, patience) = if purpose == Purpose::Follow { (WAIT, PATIENCE) } else { (0, QUEUED) };
        let query = match self.version {
            Some(version) if purpose != Purpose::Fetch => {
                format!("?since={version}&timeout_ms={}", wait / MS)
            }
            _ => String::new(),
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
            purpose,
            stream,
            out: out.into_bytes(),
            written: 0,
            deadline: now + wait + patience,
            framing: Framing::Head,
            pending: Vec::new(),
            body: Vec::new(),
        })
    }

    /// Drives the call of a token as far as its socket allows; its answer, once there is one.
    pub fn ready(&mut self, registry: &Registry, token: Token, now: Nanos) -> Option<Answer> {
        if token == self.tokens[2] {
            return self.silent_ready(now);
        }
        let slot = if token == self.tokens[0] { &mut self.watch } else { &mut self.fetch };
        let purpose = slot.as_ref()?.purpose;
        let news = match Call::told(slot, &self.names)?.and_then(|n| self.in_order(n)) {
            Ok(news) => news,
            Err(e) => return Some(Answer::Failed(e)),
        };
        (self.version, self.heard) = (Some(news.version), Some(now));
        if purpose != Purpose::Fetch {
            // Danger: a call more than 200 ms after the last answer begins a new watch.
            match self.call(registry, Purpose::Follow, now) {
                Ok(call) => self.watch = Some(call),
                Err(e) => return Some(Answer::Failed(e)),
            }
        }
        // A call that waited in vain says nothing new, but the first one says that the watch has begun.
        let told = purpose != Purpose::Follow || news.whole || !news.hosts.is_empty();
        told.then_some(Answer::News(news))
    }

    /// What a call says that had fallen silent: it counts as told, so it is taken, unless more is known by now. That it
    /// fails or ends is no news.
    fn silent_ready(&mut self, now: Nanos) -> Option<Answer> {
        let news = Call::told(&mut self.silent, &self.names)?.ok()?;
        if self.version.is_some_and(|known| news.version <= known) {
            return None;
        }
        (self.version, self.heard) = (Some(news.version), Some(now));
        Some(Answer::News(news))
    }

    /// The list, unless it is older than the one in force.
    fn in_order(&mut self, news: News) -> Result<News, ListError> {
        match self.version {
            Some(known) if news.version < known && !(news.whole && self.older >= OLDER) => {
                self.older += 1;
                Err(ListError::Older(news.version, known))
            }
            _ => {
                self.older = 0;
                Ok(news)
            }
        }
    }

    /// Begins the watch anew if it has fallen silent; its old call is kept.
    fn begin_anew(&mut self, registry: &Registry, now: Nanos) -> Result<(), ListError> {
        let Some(mut silent) = self.watch.take_if(|c| c.is_silent(now)) else { return Ok(()) };
        let both = Interest::READABLE | Interest::WRITABLE;
        let kept = registry.reregister(&mut silent.stream, self.tokens[2], both);
        kept.map_err(|_| ListError::Http("connection lost"))?;
        self.silent = Some(silent);
        self.watch = Some(self.call(registry, Purpose::Begin, now)?);
        Ok(())
    }

    /// Begins a watch anew that has fallen silent, and ends what has waited too long. Danger: a discovery that is cut
    /// off says nothing at all.
    pub fn sweep(&mut self, registry: &Registry, now: Nanos) -> Option<Answer> {
        self.silent.take_if(|c| c.deadline <= now);
        if let Err(e) = self.begin_anew(registry, now) {
            return Some(Answer::Failed(e));
        }
        let mut over = false;
        for slot in [&mut self.watch, &mut self.fetch] {
            if slot.as_ref().is_some_and(|c| c.deadline <= now) {
                *slot = None;
                over = true;
            }
        }
        over.then_some(Answer::Failed(ListError::Http("no answer in time")))
    }
}

impl Call {
    /// It waits for news, and has said nothing for [`SILENT`] after its wait.
    fn is_silent(&self, now: Nanos) -> bool {
        self.purpose == Purpose::Follow && self.deadline - PATIENCE + SILENT <= now
    }

    /// Drives the call that is there; once it is over, it is gone, and what it told is given.
    fn told(slot: &mut Option<Call>, names: &Names) -> Option<Result<News, ListError>> {
        let call = slot.as_mut()?;
        let read = match call.drive() {
            Ok(false) => return None,
            Ok(true) => serde_json::from_slice(&call.body).map_err(|_| ListError::Json),
            Err(e) => Err(e),
        };
        *slot = None;
        Some(read.and_then(|json| read_list(&json, names)))
    }

    /// Writes and reads what it can; true once the body is whole.
    fn drive(&mut self) -> Result<bool, ListError> {
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
                Ok(n) => self.take(&buffer[..n])?,
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
                            Ok(httparse::Status::Complete((_, n))) if n <= MAX_BODY as u64 => {
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
        if self.body.len() + part.len() > MAX_BODY {
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
