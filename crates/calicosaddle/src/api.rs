//! Types between a proxy and the decision module: settings handed over at start, events in, actions out.
//!
//! All times are nanoseconds. The caller owns clock, sockets and timers; [`crate::Balancer`] owns none of them.

/// A point in time or a span, in nanoseconds.
pub type Nanos = u64;
/// Stable identity of a server: the same value at every proxy (see [`server_id`]).
pub type ServerId = u64;
/// Identity of a request at this proxy; below 2^52, never used twice.
pub type RequestId = u64;

/// Derives the identity of a server from its name (FNV-1a, then mixed), so that all proxies agree on it.
pub fn server_id(name: &str) -> ServerId {
    let h = name
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325_u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
    let h = (h ^ (h >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    h ^ (h >> 32)
}

/// May a request of a class run again?
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetrySafety {
    /// Repeats do no harm.
    #[default]
    Safe,
    /// Servers of the class's group drop repeats within its window.
    Keyed,
    /// Must never run twice.
    Unsafe,
}

/// Which servers remember a keyed request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DedupScope {
    /// All servers.
    #[default]
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// A request class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Class {
    /// Full worth is earned up to here.
    pub latency_target: Nanos,
    /// The client gives up here, counted over all its tries.
    pub deadline: Nanos,
    /// Whether it may run again.
    pub retry_safety: RetrySafety,
    /// For keyed classes: who drops repeats.
    pub dedup_scope: DedupScope,
    /// For keyed classes: for how long repeats are dropped.
    pub dedup_window: Nanos,
    /// Part of the worth that a late answer earns.
    pub late_value: f64,
    /// Worth of a request (or of a unit of its work).
    pub value: f64,
    /// The answer is streamed.
    pub stream: bool,
}

/// A tenant's share.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tenant {
    /// Requests a second in its share, over all proxies.
    pub quota_rps: f64,
}

/// What the proxy is told at start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Request classes.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// This proxy's zone.
    pub zone: u32,
    /// How many proxies there are.
    pub proxy_count: u32,
    /// This proxy's number.
    pub proxy_index: u32,
    /// The list of servers must be asked for (else it is pushed).
    pub poll_discovery: bool,
    /// A miss is answered as such and the origin, a kind of its own, is asked by the proxy.
    pub cache_aside: bool,
    /// The machine kind of the origin where `cache_aside`.
    pub origin_kind: Option<u32>,
    /// Worth of a request over its tenant's share, as a part of its class's.
    pub over_quota_value: f64,
    /// Worth counts by work (else by request).
    pub value_per_work: bool,
    /// Most attempts for a request (0: one).
    pub max_attempts: u32,
    /// Attempts may be cancelled.
    pub allow_cancel: bool,
    /// Servers may be probed.
    pub allow_probe: bool,
    /// Two attempts of a request may be out at once.
    pub hedging: bool,
    /// Refusals may advise a wait, at most this long (0: no advice).
    pub max_retry_after: Nanos,
    /// A connection that takes longer is refused.
    pub connect_timeout: Nanos,
    /// Price of work that served no answer.
    pub waste_price: f64,
    /// Price of an attempt crossing zones.
    pub cross_zone_price: f64,
    /// Price of a probe.
    pub probe_price: f64,
    /// Price of open connections: 100 at each server, over all proxies.
    pub connection_price: f64,
    /// Price of new connections: one for each request.
    pub handshake_price: f64,
    /// Part of its capacity that a server starts with.
    pub slow_start_initial_fraction: f64,
    /// A server is warm after this long.
    pub slow_start_duration: Nanos,
    /// A cold server falls when sent more than this multiple of its capacity.
    pub overload_multiple: f64,
    /// For this long.
    pub overload_duration: Nanos,
    /// The origin stops when sent this multiple of its capacity (0: no such limit).
    pub origin_overload_multiple: f64,
    /// For this long.
    pub origin_overload_duration: Nanos,
    /// Nothing new goes to a draining server after this long.
    pub drain_grace: Nanos,
    /// Without a subscription the list must be asked for within this time.
    pub discovery_poll_interval: Nanos,
    /// The columns of load reports.
    pub load_report_columns: Vec<LoadColumn>,
}

/// A column of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadColumn {
    /// Requests waiting.
    Queue,
    /// Requests held.
    Inflight,
    /// Recent service time in milliseconds, without waiting.
    LatencyMs,
    /// Busy part of the cores.
    Util,
    /// Anything else.
    Other,
}

/// State of a server in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// Takes work.
    #[default]
    Ready,
    /// Finishes its work; nothing new may be sent.
    Draining,
    /// Removed.
    Removed,
}

/// An entry of the list of servers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerEntry {
    /// Which server.
    pub server: ServerId,
    /// Its zone.
    pub zone: u32,
    /// Its machine kind.
    pub kind: u32,
    /// Its cell.
    pub cell: u32,
    /// Its state.
    pub state: ServerState,
    /// Size relative to others.
    pub weight: f64,
    /// Time of its last start; 0: long ago.
    pub started_at: Nanos,
}

/// What a list event carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the changed entries.
    Delta,
    /// The whole list.
    Full,
    /// The whole list as it was known last; may be old.
    Cached,
    /// A call failed or the subscription broke; the old list stays.
    Failed,
}

/// How an attempt or probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Served.
    Ok,
    /// The server returned an error; it may have run.
    Error,
    /// Turned away unseen; never ran.
    Rejected,
    /// No answer in time; it may run.
    Timeout,
    /// No connection; never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// The answer came and can't be read; it may have run.
    Malformed,
    /// Called off; it may have run.
    Cancelled,
    /// Not sent; never ran.
    NotSent,
    /// No value for the key (aside); never ran.
    Miss,
}

impl Status {
    /// True if the outcome says something of the server.
    pub fn reflects_server(self) -> bool {
        !matches!(self, Status::Cancelled | Status::NotSent)
    }

    /// What an attempt is called for which there was no connection.
    ///
    /// Danger: where this proxy has connections to the server, that all of them are in use is no fault of the server's.
    /// Told as such, the server, and with a few of them its zone, would be left alone for as long as one that is down.
    pub fn without_connection(connected: bool) -> Status {
        if connected {
            Status::NotSent
        } else {
            Status::ConnectFailed
        }
    }

    /// True if this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Status::Rejected | Status::ConnectFailed | Status::NotSent | Status::Miss)
    }
}

/// A request as it arrives.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Its identity.
    pub id: RequestId,
    /// Index into [`Settings::classes`].
    pub class: u32,
    /// Index into [`Settings::tenants`].
    pub tenant: Option<u32>,
    /// The key, hashed or raw.
    pub key: Option<u64>,
    /// Time left before the client gives up this try.
    pub remaining: Nanos,
    /// Expected work, where known.
    pub expected_work: Option<Nanos>,
    /// Client's repeat, where marked.
    pub is_retry: bool,
    /// It writes.
    pub write: bool,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Request.
    pub id: RequestId,
    /// Attempt number, from 0.
    pub attempt: u32,
    /// Where it was sent.
    pub server: ServerId,
    /// How it ended.
    pub status: Status,
    /// Time from the send.
    pub elapsed: Nanos,
    /// The request is over.
    pub request_complete: bool,
    /// Hit or miss, where told.
    pub hit: Option<bool>,
    /// Load report, in the order of [`Settings::load_report_columns`].
    pub load_report: Vec<f64>,
}

/// What happens at the proxy.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the servers.
    ServerList {
        /// What the entries are.
        kind: ListKind,
        /// The entries.
        entries: Vec<ServerEntry>,
    },
    /// These servers are to get nothing new, whatever lists say of them: all that operators withdrew, also those
    /// that no list names yet.
    OperatorDrained(Vec<ServerId>),
    /// Other settings hold from now on. The classes are the same by number, name and effect, and the zone, this
    /// proxy's number and the place of the origin stay.
    Settings(Box<Settings>),
    /// A request arrived.
    Arrival(Request),
    /// An attempt ended.
    Outcome(Outcome),
    /// A probe ended.
    Probed {
        /// Server.
        server: ServerId,
        /// How it ended.
        status: Status,
        /// Time from the send.
        elapsed: Nanos,
        /// Load report.
        load_report: Vec<f64>,
    },
    /// A timer ran out.
    Timer(u64),
    /// The client left; nothing more is owed.
    Abandoned(RequestId),
    /// A streamed answer began.
    StreamStarted(RequestId),
}

/// What the proxy is to do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt; `timeout` 0 means until the client stops waiting.
    Send {
        /// Request.
        id: RequestId,
        /// Server.
        server: ServerId,
        /// Time-out.
        timeout: Nanos,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// Request.
        id: RequestId,
        /// Attempt.
        attempt: u32,
    },
    /// Final answer: not done, a repeat is harmless.
    Refuse {
        /// Request.
        id: RequestId,
        /// Advised wait; 0: none.
        retry_after: Nanos,
    },
    /// Final answer: failed, nothing promised.
    Fail {
        /// Request.
        id: RequestId,
    },
    /// Wake me.
    Timer {
        /// Token to hand back.
        token: u64,
        /// From now.
        delay: Nanos,
    },
    /// Test a server.
    Probe(ServerId),
    /// Close idle connections to a server.
    CloseIdle(ServerId),
    /// Follow the list. The module never asks for it: crate `freshness` does, beside it.
    Subscribe,
}
