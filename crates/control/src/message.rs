//! What a controller may ask of a proxy, and what it is told.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// The version of the protocol.
pub const VERSION: u32 = 1;
/// The longest id of a request and the longest name of a box, in bytes.
pub const MAX_ID: usize = 128;
/// Boxes that one page of [`Op::Boxes`] holds at the most.
pub const MAX_PAGE: usize = 256;
/// The shortest and longest interval of a watch, in milliseconds.
pub const WATCH_MS: std::ops::RangeInclusive<u64> = 100..=60_000;

/// One line from a controller.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Request {
    /// The protocol's version.
    pub v: u32,
    /// Comes back with each answer; the controller's to choose.
    pub id: String,
    /// What is asked, with its own fields beside it.
    #[serde(flatten)]
    pub op: Op,
}

/// What a controller can ask.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(tag = "op", rename_all = "kebab-case")]
pub enum Op {
    /// The state of the instance.
    Status,
    /// The boxes as the instance sees them, in the order of their names, from after the one named on.
    Boxes {
        /// The last name of the page before; nothing for the first page.
        #[serde(default)]
        after: String,
        /// How many, at most [`MAX_PAGE`].
        #[serde(default)]
        limit: Option<usize>,
    },
    /// The list of boxes in discovery's form, as a configuration's `known` wants it.
    List,
    /// Take nothing new: close the listener and each connection between requests; answer what is taken.
    Drain,
    /// Serve again after [`Op::Drain`].
    Undrain,
    /// Send these boxes nothing new, whatever discovery says of them.
    DrainBox {
        /// The box's name in discovery.
        #[serde(rename = "box")]
        name: String,
    },
    /// Let discovery decide about a box again.
    UndrainBox {
        /// The box's name in discovery.
        #[serde(rename = "box")]
        name: String,
    },
    /// Replaces the set of boxes drained by operators, as one change.
    SetDrained {
        /// Number of this set. One below that in force is refused, the same number with another set too.
        revision: u64,
        /// All boxes that are to be drained.
        boxes: Vec<String>,
    },
    /// Copies reads to candidates until the lease ends; the same order again prolongs it.
    ShadowStart {
        /// Number of this order. One below that in force is refused, and one under which copying has stopped.
        generation: u64,
        /// The lease, 1,000 to 86,400,000 ms.
        lease_ms: u64,
    },
    /// Copies nothing more, until it is started under a later number.
    ShadowStop {
        /// Number of this order. One below that in force is refused.
        generation: u64,
    },
    /// How copying stands, and what it shows.
    ShadowStatus,
    /// Takes over a configuration: all of it or, if a part of it can't be, nothing.
    Reconfigure {
        /// Number of this configuration; as for [`Op::SetDrained`].
        generation: u64,
        /// The configuration as NODE_CONFIG has it.
        config: Box<Value>,
        /// Only say what would happen.
        #[serde(default)]
        dry_run: bool,
    },
    /// The status now, whenever it changes, and every so many milliseconds.
    Watch {
        /// [`WATCH_MS`]; without it only changes are told.
        #[serde(default)]
        every_ms: Option<u64>,
    },
}

/// One line from a proxy.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Reply {
    /// The protocol's version.
    pub v: u32,
    /// The request's id; empty where none could be read.
    pub id: String,
    /// What came of it.
    #[serde(flatten)]
    pub body: Body,
}

/// What came of a request.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum Body {
    /// Done: the answer.
    Ok(Answer),
    /// Not done.
    Error(Error),
    /// News for who watches; more will follow under this id.
    Event(Box<Status>),
}

/// What is told to who asked.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(untagged)]
pub enum Answer {
    /// To `status`, and to all that changes it.
    Status(Box<Status>),
    /// To `boxes`.
    Boxes(Page),
    /// To `list`.
    KnownList(KnownList),
    /// To `reconfigure`.
    Reconfigured(Reconfigured),
    /// To `shadow-start`, `shadow-stop` and `shadow-status`.
    Shadow(Box<ShadowStatus>),
}

/// How copying to candidates stands, and what it shows.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct ShadowStatus {
    /// How it stands.
    pub status: shadow::Status,
    /// What it shows at this instance alone.
    pub report: shadow::Report,
    /// Keys of answers that differed, the latest first, where the operator wants them.
    pub samples: Vec<shadow::Sample>,
    /// Times by the names of classes, in base64 what `shadow::verdict::LatencyHistograms` writes: those of several
    /// instances can be added.
    pub times: BTreeMap<String, String>,
}

/// What came of a configuration.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Default)]
pub struct Reconfigured {
    /// The generation in force now.
    pub generation: u64,
    /// It is in force (for a dry run: it would be).
    pub applied: bool,
    /// What it changes, by key.
    pub changes: Vec<String>,
    /// Which of these hold only from a restart on. If there are any, nothing was applied.
    pub needs_restart: Vec<String>,
}

/// What an instance does now.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// It listens and knows no box that it could ask.
    Starting,
    /// It serves.
    Ready,
    /// It takes nothing new and answers what it has.
    Draining,
    /// It is drained: it has no client left, and serves nobody until `undrain`.
    Stopped,
}

/// The state of an instance.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Status {
    /// Its name.
    pub name: String,
    /// Its process.
    pub pid: u32,
    /// Start of this process in Unix time, in milliseconds: another one means that it has been restarted.
    pub started_ms: u64,
    /// What it does.
    pub phase: Phase,
    /// The configuration in force.
    pub generation: u64,
    /// The set of drained boxes in force.
    pub revision: u64,
    /// The boxes that operators drained.
    pub drained: Vec<String>,
    /// The list of boxes.
    pub list: List,
    /// Requests taken and not answered.
    pub requests: usize,
    /// Attempts that are out.
    pub attempts: usize,
    /// Connections of clients.
    pub clients: usize,
    /// Connections to boxes.
    pub connections: usize,
    /// Counts since the start.
    pub counters: Counters,
    /// Commands behind one another, over all boxes.
    #[serde(default)]
    pub pipelines: Pipelines,
    /// The boxes that are told to take nothing new and are still known, by name; at most [`MAX_PAGE`].
    pub leaving: Vec<BoxStatus>,
}

/// The edges of the classes of [`Pipelines::depths`]: a connection with fewer commands is in the class before.
pub const DEPTH_CLASS_BOUNDS: [usize; 4] = [1, 2, 4, 8];

/// Connections to boxes, as pipelines.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq, Default)]
pub struct Pipelines {
    /// Connections that carry 0, 1, 2 to 3, 4 to 7, and 8 commands or more.
    pub depths: [usize; 5],
    /// For how long the oldest command that is first on its connection has been the first, in milliseconds.
    pub oldest_head_ms: u64,
    /// Writes that commands left in.
    pub writes: u64,
    /// Commands moved to another connection before a byte of them was written.
    pub moved: u64,
    /// Connections that ended with commands on them.
    pub breaks: u64,
    /// Commands that were written whole on such, and may have run.
    pub uncertain: u64,
    /// Connections that ended for what came when nothing was asked.
    #[serde(default, rename = "surplus")]
    pub unsolicited: u64,
}

impl Pipelines {
    /// Takes in other connections.
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

/// The list of boxes.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Default)]
pub struct List {
    /// Discovery's number of it; nothing before the first list.
    pub version: Option<u64>,
    /// Since it was confirmed last, in milliseconds. One known from the configuration counts from the start.
    pub age_ms: u64,
    /// The last call to discovery failed.
    pub failing: bool,
    /// Boxes in it.
    pub boxes: usize,
    /// Those that take work.
    pub usable: usize,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq, Default)]
pub struct Counters {
    /// Requests taken.
    pub accepted: u64,
    /// Of these served.
    pub served: u64,
    /// Refused, a repeat is harmless.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Their clients left before the answer.
    pub abandoned: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Lists taken.
    pub lists: u64,
    /// Pushes of boxes that speak RESP3.
    #[serde(default)]
    pub pushes: u64,
    /// Wrong passwords of clients.
    #[serde(default)]
    pub wrong_passwords: u64,
}

/// A list in discovery's form.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct KnownList {
    /// `seq`, `whole`, `hosts`; null where no list is known, or where it is too long to be told.
    pub known: Value,
}

/// A page of boxes.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Page {
    /// In the order of their names.
    pub boxes: Vec<BoxStatus>,
    /// There are more.
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
    /// All of them, in the list's order.
    #[serde(default)]
    pub addresses: Vec<String>,
    /// Its zone, by its name in the settings; nothing for one that they don't name.
    pub zone: Option<String>,
    /// What discovery says: `up`, `draining`, `removed`.
    pub listed: String,
    /// An operator drained it.
    pub drained: bool,
    /// Both say that it takes work.
    pub usable: bool,
    /// Connections to it.
    pub connections: usize,
    /// Those of them that speak RESP3.
    #[serde(default)]
    pub resp3: usize,
    /// Attempts on them.
    pub attempts: usize,
    /// The same, as pipelines.
    #[serde(default)]
    pub pipelines: Pipelines,
    /// Attempts begun since this instance knows it.
    pub sent: u64,
    /// Since when the instance knows that it is to get nothing new, in milliseconds; nothing for one in use.
    pub leaving_ms: Option<u64>,
    /// Attempts begun since then.
    pub sent_leaving: u64,
}

/// Why something was not done.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Error {
    /// For programs.
    pub code: Code,
    /// For people: what was wrong, and where.
    pub message: String,
}

impl Error {
    /// An error.
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
    /// The line is too long, not JSON, or no request. The connection ends.
    BadFrame,
    /// The version is another one.
    Version,
    /// The request makes no sense.
    BadRequest,
    /// A later change is in force.
    Stale,
    /// The configuration can't be used.
    BadConfig,
    /// The instance is on its way out.
    Stopping,
    /// What must outlive the process could not be written; nothing was changed.
    Storage,
}

impl Request {
    /// A request.
    pub fn new(id: impl Into<String>, op: Op) -> Self {
        Request { v: VERSION, id: id.into(), op }
    }

    /// Reads one line. An error comes with the request's id, as far as that could be read.
    ///
    /// # Errors
    /// What is wrong with it.
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

/// Writes a message as a line.
pub fn encode_line(message: &impl Serialize) -> Vec<u8> {
    // These types have no maps with other keys than strings: they can always be written.
    let mut line = serde_json::to_vec(message).unwrap_or_default();
    line.push(b'\n');
    line
}
