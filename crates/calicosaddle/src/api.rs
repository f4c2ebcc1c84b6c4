//! Types between a proxy and the balancer: settings at start, events in, actions out.
//!
//! All times are in nanoseconds. The caller owns clock, sockets and timers; [`crate::Balancer`] owns none of them.

/// A point in time or a duration, in nanoseconds.
pub type Nanos = u64;
/// Stable identity of a server: the same value at every proxy (see [`server_id`]).
pub type ServerId = u64;
/// Identity of a request at this proxy; below 2^52, never used twice.
pub type RequestId = u64;

/// Parameters of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;
/// Odd multiplier that spreads the hash over all bits.
const MIX_MULTIPLIER: u64 = 0xd6e8_feb8_6659_fd93;

/// Derives the identity of a server from its name, so that all proxies agree on it (FNV-1a, then mixed).
pub fn server_id(name: &str) -> ServerId {
    let hash =
        name.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
    let hash = (hash ^ (hash >> 32)).wrapping_mul(MIX_MULTIPLIER);
    hash ^ (hash >> 32)
}

/// Whether requests of a class may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetrySafety {
    /// Idempotent: repeats do no harm.
    #[default]
    Safe,
    /// Carries an idempotency key: servers in the class's deduplication scope drop repeats within its window.
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
    /// An answer within this time has its full value.
    pub latency_target: Nanos,
    /// The client stops waiting after this time, counted over all its tries.
    pub deadline: Nanos,
    /// Whether a request may run again.
    pub retry_safety: RetrySafety,
    /// For keyed classes: which servers drop repeats.
    pub dedup_scope: DedupScope,
    /// For keyed classes: for how long repeats are dropped.
    pub dedup_window: Nanos,
    /// Fraction of the value that an answer after the latency target has.
    pub late_value: f64,
    /// Value of a request, or of a unit of its work.
    pub value: f64,
    /// The answer is streamed.
    pub stream: bool,
}

/// Quota of a tenant.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tenant {
    /// Requests per second over all proxies.
    pub quota_rps: f64,
}

/// Settings of a proxy.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Request classes.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Zone of this proxy.
    pub zone: u32,
    /// Number of proxies.
    pub proxy_count: u32,
    /// Index of this proxy.
    pub proxy_index: u32,
    /// The server list must be requested, by a subscription or polls; otherwise it is pushed.
    pub poll_discovery: bool,
    /// Cache nodes answer a miss as such, and the proxy asks the origin, which is listed as servers of a machine kind
    /// of its own.
    pub cache_aside: bool,
    /// Machine kind of the origin with `cache_aside`.
    pub origin_kind: Option<u32>,
    /// Value of a request over its tenant's quota, as a fraction of the value of its class.
    pub over_quota_value: f64,
    /// Values are per unit of work; otherwise per request.
    pub value_per_work: bool,
    /// Most attempts for a request (0: one).
    pub max_attempts: u32,
    /// Attempts may be cancelled.
    pub allow_cancel: bool,
    /// Servers may be probed.
    pub allow_probe: bool,
    /// A request may have two attempts in flight.
    pub hedging: bool,
    /// Longest wait that a rejection may advise (0: no advice).
    pub max_retry_after: Nanos,
    /// Time-out of a connection attempt.
    pub connect_timeout: Nanos,
    /// Price of work that produced no answer for a client.
    pub waste_price: f64,
    /// Price of an attempt in another zone.
    pub cross_zone_price: f64,
    /// Price of a probe.
    pub probe_price: f64,
    /// Price of open connections: 100 at each server, over all proxies.
    pub connection_price: f64,
    /// Price of new connections: one for each request.
    pub handshake_price: f64,
    /// Fraction of its capacity that a server has when it starts.
    pub slow_start_initial_fraction: f64,
    /// Time until a started server has its whole capacity.
    pub slow_start_duration: Nanos,
    /// A server in slow start is overloaded when it gets more than this multiple of its present capacity.
    pub overload_multiple: f64,
    /// The time for which a server must get that much.
    pub overload_duration: Nanos,
    /// The origin is overloaded when it gets this multiple of its capacity (0: no such limit).
    pub origin_overload_multiple: f64,
    /// The time for which the origin must get that much.
    pub origin_overload_duration: Nanos,
    /// No new requests go to a draining server after this time.
    pub drain_grace: Nanos,
    /// Without a subscription, the server list must be polled within this time.
    pub discovery_poll_interval: Nanos,
    /// Columns of load reports.
    pub load_report_columns: Vec<LoadColumn>,
}

/// A column of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadColumn {
    /// Requests waiting.
    Queue,
    /// Requests waiting or being served.
    Inflight,
    /// Recent service time in milliseconds, without waiting.
    LatencyMs,
    /// Fraction of the cores in use.
    Util,
    /// Anything else.
    Other,
}

/// State of a server in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// Accepts requests.
    #[default]
    Ready,
    /// Finishes its work; gets no new requests.
    Draining,
    /// No longer a member.
    Removed,
}

/// An entry of the server list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerEntry {
    /// Identity of the server.
    pub server: ServerId,
    /// Its zone.
    pub zone: u32,
    /// Its machine kind.
    pub kind: u32,
    /// Its cell.
    pub cell: u32,
    /// Its state.
    pub state: ServerState,
    /// Its size relative to other servers.
    pub weight: f64,
    /// Time of its last start; 0 if it started long ago.
    pub started_at: Nanos,
}

/// What a server list event carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the changed entries.
    Delta,
    /// The whole list.
    Full,
    /// The whole list as it was last received; may be old.
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
    /// Rejected by the server before it began; never ran.
    Rejected,
    /// No answer in time; it may have run.
    Timeout,
    /// No connection; never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// The answer could not be parsed; it may have run.
    Malformed,
    /// Cancelled by this proxy; it may have run.
    Cancelled,
    /// Not sent; never ran.
    NotSent,
    /// No value for the key (cache-aside); never ran.
    Miss,
}

impl Status {
    /// Reports whether the outcome says something about the server.
    pub fn reflects_server(self) -> bool {
        !matches!(self, Status::Cancelled | Status::NotSent)
    }

    /// Returns the status of an attempt for which there was no free connection. `connected` says whether this proxy
    /// has connections to the server.
    ///
    /// That all of them are in use is no fault of the server. If it counted as a failed connection, the server, and
    /// after a few of these its zone, would be ejected for as long as one that is down.
    pub fn without_connection(connected: bool) -> Status {
        if connected {
            Status::NotSent
        } else {
            Status::ConnectFailed
        }
    }

    /// Reports whether this outcome proves that the attempt never ran.
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
    /// Time left until the client stops waiting for this try.
    pub remaining: Nanos,
    /// Expected work, where known.
    pub expected_work: Option<Nanos>,
    /// The client marked it as a retry.
    pub is_retry: bool,
    /// It writes.
    pub write: bool,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Identity of the request.
    pub id: RequestId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// The server that it was sent to.
    pub server: ServerId,
    /// How it ended.
    pub status: Status,
    /// Time from the send.
    pub elapsed: Nanos,
    /// The client has its final answer.
    pub request_complete: bool,
    /// Hit or miss, if the server said so.
    pub hit: Option<bool>,
    /// Load report, in the order of [`Settings::load_report_columns`].
    pub load_report: Vec<f64>,
}

/// What happens at the proxy.
#[derive(Clone, Debug)]
pub enum Event {
    /// A server list was received, or receiving it failed.
    ServerList {
        /// What the entries are.
        kind: ListKind,
        /// The entries.
        entries: Vec<ServerEntry>,
    },
    /// All servers that operators drained, also those that no list names yet. They get no new requests,
    /// regardless of the lists.
    OperatorDrained(Vec<ServerId>),
    /// New settings. Number, names and retry safety of the classes, the zone, the index of this proxy and the place of
    /// the origin must be unchanged.
    Settings(Box<Settings>),
    /// A request arrived.
    Arrival(Request),
    /// An attempt ended.
    Outcome(Outcome),
    /// A probe ended.
    Probed {
        /// Identity of the server.
        server: ServerId,
        /// How it ended.
        status: Status,
        /// Time from the send.
        elapsed: Nanos,
        /// Load report.
        load_report: Vec<f64>,
    },
    /// A timer ran out; carries its token.
    Timer(u64),
    /// The client closed its connection or its time ran out; the request needs no answer.
    Abandoned(RequestId),
    /// A streamed answer began.
    StreamStarted(RequestId),
}

/// What the proxy must do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// Identity of the request.
        id: RequestId,
        /// Identity of the server.
        server: ServerId,
        /// Time-out; 0: until the client stops waiting.
        timeout: Nanos,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// Identity of the request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Reject the request as its final answer: a repeat is harmless.
    Refuse {
        /// Identity of the request.
        id: RequestId,
        /// Advised wait; 0: none.
        retry_after: Nanos,
    },
    /// Fail the request as its final answer: it may or may not have run.
    Fail {
        /// Identity of the request.
        id: RequestId,
    },
    /// Start a timer.
    Timer {
        /// Token of the event when it runs out.
        token: u64,
        /// Time until it runs out.
        delay: Nanos,
    },
    /// Probe a server.
    Probe(ServerId),
    /// Close idle connections to a server.
    CloseIdle(ServerId),
    /// Follow the server list. The balancer never emits it; crate `freshness` does.
    Subscribe,
}
