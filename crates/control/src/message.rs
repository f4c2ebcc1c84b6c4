//! Requests of a controller and replies of a proxy.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// The version of the protocol.
pub const VERSION: u32 = 1;
/// The maximum length of a request's id and of a box's name, in bytes.
pub const MAX_ID: usize = 128;
/// The maximum number of boxes in a page of [`Op::Boxes`].
pub const MAX_PAGE: usize = 256;
/// The range of the interval of a watch, in milliseconds.
pub const WATCH_MS: std::ops::RangeInclusive<u64> = 100..=60_000;

/// A request, one line from a controller.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Request {
    /// The protocol's version.
    pub v: u32,
    /// Chosen by the controller, and returned with each reply to this request.
    pub id: String,
    /// The operation; its fields are at the same level as `v` and `id`.
    #[serde(flatten)]
    pub op: Op,
}

/// An operation that a controller can request.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(tag = "op", rename_all = "kebab-case")]
pub enum Op {
    /// Returns the state of the instance.
    Status,
    /// Returns a page of the boxes as the instance sees them, in the order of their names.
    Boxes {
        /// The last name of the previous page; empty for the first page.
        #[serde(default)]
        after: String,
        /// The number of boxes, at most [`MAX_PAGE`].
        #[serde(default)]
        limit: Option<usize>,
    },
    /// Returns the list of boxes in discovery's format, as `known` in a configuration expects it.
    List,
    /// Accepts no new requests: closes the listener, and each connection between requests; requests in progress are
    /// answered.
    Drain,
    /// Serves again after [`Op::Drain`].
    Undrain,
    /// Sends a box no new requests, regardless of its state in discovery.
    DrainBox {
        /// The box's name in discovery.
        #[serde(rename = "box")]
        name: String,
    },
    /// Follows discovery again for a drained box.
    UndrainBox {
        /// The box's name in discovery.
        #[serde(rename = "box")]
        name: String,
    },
    /// Replaces the set of boxes drained by operators in one change.
    SetDrained {
        /// Revision of this set. A lower one than that in force is rejected, as is the same one with another set.
        revision: u64,
        /// All boxes that are to be drained.
        boxes: Vec<String>,
    },
    /// Copies reads to candidates until the lease ends; the same generation again extends the lease.
    ShadowStart {
        /// Generation of this command. A lower one than that in force is rejected, as is one whose copying has stopped.
        generation: u64,
        /// The duration of the lease, 1,000 to 86,400,000 ms.
        lease_ms: u64,
    },
    /// Stops copying until it is started under a later generation.
    ShadowStop {
        /// Generation of this command. A lower one than that in force is rejected.
        generation: u64,
    },
    /// Returns the state and results of copying.
    ShadowStatus,
    /// Applies a configuration: the whole of it, or nothing if a part of it can't be applied.
    Reconfigure {
        /// Generation of this configuration; the rules are those of the revision of [`Op::SetDrained`].
        generation: u64,
        /// The configuration, as in the file that NODE_CONFIG names.
        config: Box<Value>,
        /// Returns what would change, without applying it.
        #[serde(default)]
        dry_run: bool,
    },
    /// Sends the status now, after each change, and at an interval.
    Watch {
        /// The interval in milliseconds, within [`WATCH_MS`]; without it only changes are sent.
        #[serde(default)]
        every_ms: Option<u64>,
    },
}

/// A reply, one line from a proxy.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Reply {
    /// The protocol's version.
    pub v: u32,
    /// The request's id; empty if it could not be read.
    pub id: String,
    /// The outcome.
    #[serde(flatten)]
    pub body: Body,
}

/// The outcome of a request.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum Body {
    /// The request succeeded.
    Ok(Answer),
    /// The request was rejected or failed.
    Error(Error),
    /// An event of a watch; more follow with this id.
    Event(Box<Status>),
}

/// The result of a successful request.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(untagged)]
pub enum Answer {
    /// Of `status`, and of operations that change it.
    Status(Box<Status>),
    /// Of `boxes`.
    Boxes(Page),
    /// Of `list`.
    KnownList(KnownList),
    /// Of `reconfigure`.
    Reconfigured(Reconfigured),
    /// Of `shadow-start`, `shadow-stop` and `shadow-status`.
    Shadow(Box<ShadowStatus>),
}

/// State and results of copying reads to candidates.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct ShadowStatus {
    /// The state of copying.
    pub status: shadow::Status,
    /// The results of this instance alone.
    pub report: shadow::Report,
    /// Keys with different answers, the latest first, if the operator enabled samples.
    pub samples: Vec<shadow::Sample>,
    /// Latency histograms by class name: the bytes of `shadow::verdict::LatencyHistograms` in base64. Those of several
    /// instances can be merged.
    pub times: BTreeMap<String, String>,
}

/// The result of applying a configuration.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Default)]
pub struct Reconfigured {
    /// The generation now in force.
    pub generation: u64,
    /// Whether it is in force; for a dry run, whether it would be.
    pub applied: bool,
    /// The keys that it changes.
    pub changes: Vec<String>,
    /// Those of them that require a restart. If there are any, nothing was applied.
    pub needs_restart: Vec<String>,
}

/// The phase of an instance.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// It listens, and knows no usable box yet.
    Starting,
    /// It serves requests.
    Ready,
    /// It accepts no new requests, and answers those in progress.
    Draining,
    /// It is drained: it has no client connections, and accepts none until `undrain`.
    Stopped,
}

/// The state of an instance.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Status {
    /// The instance's name.
    pub name: String,
    /// Its process id.
    pub pid: u32,
    /// The start of the process in milliseconds of Unix time. A change of it means a restart.
    pub started_ms: u64,
    /// Its phase.
    pub phase: Phase,
    /// The generation of the configuration in force.
    pub generation: u64,
    /// The revision of the set of drained boxes in force.
    pub revision: u64,
    /// Names of the boxes drained by operators.
    pub drained: Vec<String>,
    /// The list of boxes.
    pub list: List,
    /// Requests in progress.
    pub requests: usize,
    /// Attempts in progress.
    pub attempts: usize,
    /// Client connections.
    pub clients: usize,
    /// Connections to boxes.
    pub connections: usize,
    /// Counters since the start.
    pub counters: Counters,
    /// Pipelines of the connections to all boxes.
    #[serde(default)]
    pub pipelines: Pipelines,
    /// The boxes that receive no new requests and are still known, by name; at most [`MAX_PAGE`].
    pub leaving: Vec<BoxStatus>,
}

/// The lower bounds of the classes of [`Pipelines::depths`] from the second on, in commands per connection.
pub const DEPTH_CLASS_BOUNDS: [usize; 4] = [1, 2, 4, 8];

/// Statistics of connections to boxes as pipelines.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq, Default)]
pub struct Pipelines {
    /// Numbers of connections that carry 0, 1, 2 to 3, 4 to 7, and 8 commands or more.
    pub depths: [usize; 5],
    /// The longest time that a command has been the oldest on its connection, in milliseconds.
    pub oldest_head_ms: u64,
    /// Socket writes with commands.
    pub writes: u64,
    /// Commands moved to another connection before any byte of them was written.
    pub moved: u64,
    /// Connections closed with commands in progress.
    pub breaks: u64,
    /// Commands that had been written completely to such connections, and may have been executed.
    pub uncertain: u64,
    /// Connections closed because of unsolicited bytes.
    #[serde(default, rename = "surplus")]
    pub unsolicited: u64,
}

impl Pipelines {
    /// Adds the statistics of other connections.
    pub fn add(&mut self, other: &Pipelines) {
        self.depths.iter_mut().zip(other.depths).for_each(|(sum, n)| *sum += n);
        self.oldest_head_ms = self.oldest_head_ms.max(other.oldest_head_ms);
        self.writes += other.writes;
        self.moved += other.moved;
        self.breaks += other.breaks;
        self.uncertain += other.uncertain;
        self.unsolicited += other.unsolicited;
    }
}

/// The state of the list of boxes.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Default)]
pub struct List {
    /// Its version in discovery; `None` before the first list.
    pub version: Option<u64>,
    /// The time since the last confirmation, in milliseconds. For a list from the configuration, the time since the start.
    pub age_ms: u64,
    /// Whether the last call to discovery failed.
    pub failing: bool,
    /// The number of boxes in it.
    pub boxes: usize,
    /// The number of usable boxes.
    pub usable: usize,
    /// Calls to discovery by their result.
    #[serde(default)]
    pub calls: DiscoveryCalls,
}

/// Calls to discovery since the start, by their result.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq, Default)]
pub struct DiscoveryCalls {
    /// Answered with a list.
    pub answered: u64,
    /// Discovery could not be reached, or turned the call away.
    pub refused: u64,
    /// Discovery had the call, and no usable answer could be read.
    pub answers_lost: u64,
    /// This machine could not make the call.
    pub not_made: u64,
    /// Replaced by another call, as nothing had come.
    pub silent: u64,
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq, Default)]
pub struct Counters {
    /// Requests accepted.
    pub accepted: u64,
    /// Requests served.
    pub served: u64,
    /// Requests refused; they are safe to retry.
    pub refused: u64,
    /// Requests failed.
    pub failed: u64,
    /// Requests whose client disconnected before the answer.
    pub abandoned: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Lists of boxes received.
    pub lists: u64,
    /// RESP3 push messages from boxes.
    #[serde(default)]
    pub pushes: u64,
    /// Failed authentications of clients.
    #[serde(default)]
    pub wrong_passwords: u64,
}

/// A list of boxes in discovery's format.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct KnownList {
    /// An object with `seq`, `whole` and `hosts`; null if no list is known, or if it is too long for a reply.
    pub known: Value,
}

/// A page of boxes.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Page {
    /// The boxes, in the order of their names.
    pub boxes: Vec<BoxStatus>,
    /// Whether more boxes follow.
    pub more: bool,
}

/// A box as an instance sees it.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct BoxStatus {
    /// Its name.
    #[serde(rename = "box")]
    pub name: String,
    /// Its first address.
    pub address: Option<String>,
    /// All of its addresses, in the order of the list.
    #[serde(default)]
    pub addresses: Vec<String>,
    /// Its zone, by its name in the settings; `None` if they don't name it.
    pub zone: Option<String>,
    /// Its state in discovery: `up`, `draining` or `removed`.
    pub listed: String,
    /// Whether an operator drained it.
    pub drained: bool,
    /// Whether it may receive requests, according to both discovery and operators.
    pub usable: bool,
    /// Connections to it.
    pub connections: usize,
    /// Connections to it that use RESP3.
    #[serde(default)]
    pub resp3: usize,
    /// Attempts in progress on them.
    pub attempts: usize,
    /// Pipelines of these connections.
    #[serde(default)]
    pub pipelines: Pipelines,
    /// Attempts sent since this instance has known it.
    pub sent: u64,
    /// The time since the instance learned that the box is to receive no new requests, in milliseconds; `None` for a box
    /// in use.
    pub leaving_ms: Option<u64>,
    /// Attempts sent since then.
    pub sent_leaving: u64,
}

/// The reason why a request was rejected or failed.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Error {
    /// The kind of error, for programs.
    pub code: Code,
    /// A description for people.
    pub message: String,
}

impl Error {
    /// Creates an error.
    pub fn new(code: Code, message: impl Into<String>) -> Self {
        Error { code, message: message.into() }
    }
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Error {}

/// Kinds of errors.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Code {
    /// The line is too long, not JSON, or not a request. The connection is closed.
    BadFrame,
    /// The version of the protocol is not supported.
    Version,
    /// The request is invalid.
    BadRequest,
    /// A later change, or another one with the same number, is in force.
    Stale,
    /// The configuration is invalid.
    BadConfig,
    /// The instance is shutting down.
    Stopping,
    /// The persistent state could not be written; nothing was changed.
    Storage,
}

impl Request {
    /// Creates a request of this version.
    pub fn new(id: impl Into<String>, op: Op) -> Self {
        Request { v: VERSION, id: id.into(), op }
    }

    /// Parses a line.
    ///
    /// # Errors
    /// The error, with the request's id or an empty string if it could not be read.
    pub fn read(line: &[u8]) -> Result<Request, (String, Error)> {
        let json: Value = serde_json::from_slice(line)
            .map_err(|e| (String::new(), Error::new(Code::BadFrame, format!("not JSON: {e}"))))?;
        let id = json["id"].as_str().filter(|id| id.len() <= MAX_ID).map(str::to_owned);
        let Some(id) = id else {
            let message = format!("id is missing, no string, or longer than {MAX_ID} bytes");
            return Err((String::new(), Error::new(Code::BadFrame, message)));
        };
        if json["v"].as_u64() != Some(u64::from(VERSION)) {
            let message = format!("v is {}; this proxy speaks version {VERSION}", json["v"]);
            return Err((id, Error::new(Code::Version, message)));
        }
        match serde_json::from_value(json) {
            Ok(request) => Ok(request),
            Err(e) => Err((id, Error::new(Code::BadRequest, e.to_string()))),
        }
    }
}

/// Encodes a message as a line.
pub fn encode_line(message: &impl Serialize) -> Vec<u8> {
    // Encoding can't fail: all keys of maps in these types are strings.
    let mut line = serde_json::to_vec(message).unwrap_or_default();
    line.push(b'\n');
    line
}
