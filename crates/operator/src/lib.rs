//! The operator's file, `trestlesill --operator FILE`: options of one installation beyond those that the platform sets.
//! The format is TOML with a version. All faults of a file are reported together, each with its key.
//!
//! Each option is documented where it is declared; `deploy/operator.toml` shows all of them.

mod read;

use read::{FaultList, Section};
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The format version that this build reads.
pub const VERSION: i64 = 1;
/// The maximum size of the file, in bytes.
pub const MAX_FILE: u64 = 1 << 20;
/// The longest path of a Unix-domain socket, in bytes: `sun_path` has 108, the last of them zero (unix(7)).
pub const MAX_SOCKET_PATH: usize = 107;

/// The content of the operator's file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Operator {
    /// `[control]`: the endpoint for inspecting and controlling this instance. Disabled if absent.
    pub control: Option<Control>,
    /// `[clients]`: authentication and permissions of clients.
    pub clients: Clients,
    /// `[boxes]`: the protocol of connections to cache boxes.
    pub boxes: Boxes,
    /// `[pipeline]`: pipelining of commands on connections.
    pub pipeline: Pipeline,
    /// `[shadow]`: copies of reads to candidate boxes that are not in service yet. Disabled if absent, and until it is
    /// started over the control endpoint.
    pub shadow: Option<Shadow>,
}

/// `[clients]`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Clients {
    /// `[[clients.users]]`: if there are any, commands are answered `-NOAUTH` until the client has authenticated
    /// with `AUTH` or `HELLO`. None by default: no authentication.
    pub users: Vec<User>,
}

/// One of `[[clients.users]]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct User {
    /// `name`: 1 to 64 letters, digits and `-_.`, unique. `default` is the user of a connection that has not
    /// authenticated as another one. Required.
    pub name: String,
    /// `password`: a hash as `trestlectl password` prints it: `sha256:SALT:DIGEST`. Required except for `default`:
    /// without it, an unauthenticated client is that user.
    pub password: Option<String>,
    /// `commands`: those of `CACHE.GET` and `CACHE.SET` that the user may call. Both by default.
    pub commands: Option<Vec<String>>,
    /// `tenants`: those that the user may send requests for, by their names in the settings. By default all, and
    /// requests without a tenant.
    pub tenants: Option<Vec<String>>,
}

/// `[boxes]`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Boxes {
    /// `resp3`: each new connection to a box begins with `HELLO 3`. Boxes that refuse it are spoken to in RESP2.
    /// False by default.
    pub resp3: bool,
    /// `user`: the user name sent with `HELLO`, 1 to 64 printable characters; requires `password_file`.
    pub user: Option<String>,
    /// `password_file`: the file with the user's password, read at start; a trailing line end is ignored.
    /// `{name}` is replaced by the instance's name.
    pub password_file: Option<PathBuf>,
    /// `repeat_writes_across_addresses`: a keyed write that may have arrived over one address of a box may be
    /// retried over another address of the same box. By default it is retried only over the same address, or at another
    /// box.
    pub repeat_writes_across_addresses: bool,
}

/// `[pipeline]`.
#[derive(Clone, Debug, PartialEq)]
pub struct Pipeline {
    /// `enabled`: false allows one command at a time on a connection to a box, whatever the other options are. True by
    /// default.
    pub enabled: bool,
    /// `reads`: the depth of a connection to a box at which another read goes elsewhere; 1 to 1,024, and at most
    /// `settings.caps.streams_per_conn`. 1 by default: in a pipeline, unsolicited bytes after one reply can be taken for
    /// the reply to the next command.
    pub reads: Option<usize>,
    /// `writes`: the same for another write.
    pub writes: Option<usize>,
    /// `placing`: the placement of a command on a connection. `fixed`: an idle connection, else a new one, else the least
    /// busy. `expected`: the connection with the earliest expected reply, handshakes included; none if the reply is
    /// expected after the command's target latency. `fixed` by default.
    pub expected_placement: bool,
    /// `handshake_cost`: with `expected`, the factor by which the duration of a handshake is multiplied, to account for
    /// its cost to the box; 0 to 100, 2 by default.
    pub handshake_cost: f64,
    /// `head_quantile`: a connection takes no new command once its oldest one has waited longer than this quantile of the
    /// waiting times of oldest commands there; 0.5 to 1. 1, the default, sets no limit.
    pub head_quantile: f64,
    /// `rest_ms`: the settle delay after a reply, in milliseconds: the connection carries no new command meanwhile, and is
    /// closed if anything arrives; 0 to 50. 0 disables it; another delay grows by itself, up to 50, where unsolicited bytes
    /// arrived later. By default 5 with one command at a time, 0 with pipelining.
    pub settle_delay_ms: Option<u64>,
    /// `apart`: reads, short writes and long writes use separate connections. False by default.
    pub separate_kinds: bool,
    /// `batch_bytes`: commands that are ready together are sent in one write of about this many bytes; 1 to 1,048,576,
    /// 65,536 by default. 1: one command per write.
    pub batch_bytes: usize,
    /// `batch_delay_us`: how long a command waits for others to be sent with it, in microseconds; 0 to 5,000. 0,
    /// the default: until the end of the event loop iteration in which it became ready.
    pub batch_delay_us: u64,
    /// `clients`: commands in progress per client connection; more are answered `-BUSY`. 1 to 1,024, 128 by default.
    pub commands_per_client: usize,
}

impl Default for Pipeline {
    fn default() -> Self {
        Pipeline {
            enabled: true,
            reads: None,
            writes: None,
            expected_placement: false,
            handshake_cost: 2.0,
            head_quantile: 1.0,
            settle_delay_ms: None,
            separate_kinds: false,
            batch_bytes: 64 << 10,
            batch_delay_us: 0,
            commands_per_client: 128,
        }
    }
}

/// `[shadow]`. Requires `[control]`, over which copying is started.
#[derive(Clone, Debug, PartialEq)]
pub struct Shadow {
    /// `candidates`: 1 to 64 addresses, `"IP:PORT"`, none of them a live box's. Required.
    pub candidates: Vec<SocketAddr>,
    /// `classes`: the classes whose reads are copied, by their names in the settings; they must be safe to repeat.
    /// Required.
    pub classes: Vec<String>,
    /// `tenants`: the tenants whose reads are copied, by their names in the settings. By default all, and reads without
    /// a tenant.
    pub tenants: Option<Vec<String>>,
    /// `except_tenants`: all tenants but these. Excludes `tenants`.
    pub except_tenants: Option<Vec<String>>,
    /// `salt`: selects which keys are copied; 0 or more, the same on all proxies. 0 by default.
    pub salt: u64,
    /// `share`: the maximum fraction of the keys that is copied; 0.000001 to 1, 0.1 by default.
    pub share: f64,
    /// `first_share`: the initial fraction, also after copying was interrupted by trouble; 0.000001 to 1, 0.01 by default.
    pub first_share: f64,
    /// `step_seconds`: the minimum time between doublings of the fraction; 1 to 3,600, 30 by default.
    pub step_seconds: u64,
    /// `copies_per_second`: the limit for this proxy in any second; 1 to 10,000, 100 by default.
    pub copies_per_second: usize,
    /// `connections`: connections to candidates, each with one copy at a time; 1 to 256, 8 by default.
    pub connections: usize,
    /// `answer_bytes`: longer values are not compared; 1 to 65,536, 65,536 by default.
    pub answer_bytes: usize,
    /// `held_bytes`: memory for all copies in progress, each counted with the longest answer; up to 64 MiB, 1 MiB by
    /// default.
    pub held_bytes: usize,
    /// `cpu_share`: the fraction of the event loop's time in a second that copying may take; 0.001 to 0.5, 0.02 by
    /// default.
    pub cpu_share: f64,
    /// `misses_per_second`: fetches from the origin that copies of all proxies together may cause in any second; half of
    /// it is divided among the proxies (docs/design/shadow.md). 2 to 1,000,000. Required.
    pub misses_per_second: u32,
    /// `deadline_ms`: the timeout of a copy; 10 to 10,000, 500 by default.
    pub deadline_ms: u64,
    /// `tolerated_different`: the fraction of answers that may differ before a candidate is judged worse; 0 to 1, 0.001
    /// by default.
    pub tolerated_different: f64,
    /// `tolerated_slower`: the fraction by which a candidate's latency quantiles may be longer; 0 to 10, 0.1 by default.
    pub tolerated_slower: f64,
    /// `stop_different`: copying stops if significantly more than this fraction of the answers differs; 0 to 1, 0.05 by
    /// default.
    pub stop_different: f64,
    /// `samples`: how many keys with different answers are kept and reported in plain text; 0 to 64. 0 by default: only
    /// hashes of keys are kept.
    pub samples: usize,
}

/// `[control]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Control {
    /// `socket`: path of the Unix-domain socket, created at start with mode 0600. At most 107 bytes; `{name}` is
    /// replaced by the instance's name. Required.
    pub socket: PathBuf,
    /// `state_file`: the file that keeps drains set through this endpoint across restarts; `{name}` as above. Without
    /// it they end with the process.
    pub state_file: Option<PathBuf>,
    /// `max_connections`: concurrent controllers, 1 to 64; 8 by default. A further one replaces the one that has been
    /// idle for longest.
    pub max_connections: usize,
    /// `allow_uids`: users that may connect besides the instance's own, for where a proxy of the socket makes it
    /// reachable for them. None by default.
    pub allow_uids: Vec<u32>,
}

/// A fault in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The key with its table: `control.socket`. Empty for a fault of the whole file.
    pub key: String,
    /// What is wrong, and what is allowed.
    pub reason: String,
}

/// The error for a file that can't be used, with all of its faults.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidFile {
    /// The path as it was given.
    pub file: String,
    /// At least one.
    pub faults: Vec<Fault>,
}

impl fmt::Display for InvalidFile {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}: ", self.file)?;
        for (i, Fault { key, reason }) in self.faults.iter().enumerate() {
            let separator = if i > 0 { "; " } else { "" };
            let colon = if key.is_empty() { "" } else { ": " };
            write!(f, "{separator}{key}{colon}{reason}")?;
        }
        Ok(())
    }
}

impl std::error::Error for InvalidFile {}

impl Operator {
    /// Reads a file for the instance of this name.
    ///
    /// # Errors
    /// All faults of the file.
    pub fn load(path: &Path, instance: &str) -> Result<Operator, InvalidFile> {
        let file = path.display().to_string();
        let file_fault = |reason: String| InvalidFile {
            file: file.clone(),
            faults: vec![Fault { key: String::new(), reason }],
        };
        let length = std::fs::metadata(path).map_err(|e| file_fault(format!("can't be read: {e}")))?.len();
        if length > MAX_FILE {
            return Err(file_fault(format!("is {length} bytes long; {MAX_FILE} are the most")));
        }
        let text = std::fs::read_to_string(path).map_err(|e| file_fault(format!("can't be read: {e}")))?;
        Operator::parse(&text, instance).map_err(|faults| InvalidFile { file, faults })
    }

    /// Parses the text of a file for the instance of this name.
    ///
    /// # Errors
    /// All faults of the text.
    pub fn parse(text: &str, instance: &str) -> Result<Operator, Vec<Fault>> {
        let table: toml::Table = text.parse().map_err(|e: toml::de::Error| {
            let line = e.span().map_or(1, |s| text[..s.start.min(text.len())].matches('\n').count() + 1);
            vec![Fault { key: String::new(), reason: format!("line {line}: {}", e.message()) }]
        })?;
        let has_control = table.contains_key("control");
        let mut faults = FaultList::default();
        let mut root = Section::root(table);
        let version = root.integer("version", 1..=i64::MAX, &mut faults);
        match version {
            Some(VERSION) => {}
            // The same keys may have another meaning in a later version: the other faults would mislead.
            Some(v) => {
                let reason = format!("is {v}; this build reads version {VERSION}");
                return Err(vec![Fault { key: "version".into(), reason }]);
            }
            None if faults.is_empty() => {
                faults.add("version", format!("is missing; write `version = {VERSION}`"));
            }
            None => {}
        }
        let control =
            root.section("control", &mut faults).and_then(|s| Control::read(s, instance, &mut faults));
        let clients = root.section("clients", &mut faults);
        let clients = clients.map(|s| Clients::read(s, &mut faults)).unwrap_or_default();
        let boxes = root.section("boxes", &mut faults);
        let boxes = boxes.map(|s| Boxes::read(s, instance, &mut faults)).unwrap_or_default();
        let pipeline = root.section("pipeline", &mut faults);
        let pipeline = pipeline.map(|s| Pipeline::read(s, &mut faults)).unwrap_or_default();
        let shadow = root.section("shadow", &mut faults);
        if shadow.is_some() && !has_control {
            faults.add("shadow", "is started over the control endpoint; [control] is missing".into());
        }
        let shadow = shadow.and_then(|s| Shadow::read(s, &mut faults));
        root.finish(&mut faults);
        faults.result(Operator { control, clients, boxes, pipeline, shadow })
    }
}

impl Control {
    fn read(mut section: Section, instance: &str, faults: &mut FaultList) -> Option<Control> {
        let socket = section.required("socket", faults, |s, f| s.path("socket", instance, f));
        if let Some(path) = socket.as_ref().filter(|p| p.as_os_str().len() > MAX_SOCKET_PATH) {
            let length = path.as_os_str().len();
            faults.add(
                &section.key("socket"),
                format!("is {length} bytes long; {MAX_SOCKET_PATH} are the most"),
            );
        }
        let state_file = section.path("state_file", instance, faults);
        if state_file.is_some() && state_file == socket {
            faults.add(&section.key("state_file"), "is the socket's path; it needs one of its own".into());
        }
        let max_connections = section.integer("max_connections", 1..=64, faults).unwrap_or(8) as usize;
        let uids = section.integers("allow_uids", 0..=i64::from(u32::MAX), faults);
        section.finish(faults);
        let allow_uids = uids.into_iter().map(|u| u as u32).collect();
        Some(Control { socket: socket?, state_file, max_connections, allow_uids })
    }
}

/// The commands that users can be permitted.
const COMMANDS: [&str; 2] = ["CACHE.GET", "CACHE.SET"];
/// The longest user name, in bytes.
const MAX_USER_NAME: usize = 64;
/// The maximum number of users.
const MAX_USERS: usize = 256;

impl Clients {
    fn read(mut section: Section, faults: &mut FaultList) -> Clients {
        let mut users: Vec<User> = Vec::new();
        let user_sections = section.sections("users", faults);
        if user_sections.len() > MAX_USERS {
            faults.add(
                &section.key("users"),
                format!("has {} users; {MAX_USERS} are the most", user_sections.len()),
            );
        }
        for user_section in user_sections {
            let key = user_section.key("name");
            let Some(user) = User::read(user_section, faults) else { continue };
            if users.iter().any(|u| u.name == user.name) {
                faults.add(&key, format!("{:?} is another user's as well", user.name));
            }
            users.push(user);
        }
        section.finish(faults);
        Clients { users }
    }
}

impl User {
    fn read(mut section: Section, faults: &mut FaultList) -> Option<User> {
        let name = section.required("name", faults, |s, f| s.string("name", f));
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if let Some(name) = name.as_ref().filter(|n| n.len() > MAX_USER_NAME || !n.chars().all(is_allowed)) {
            let reason = format!("{name:?} is not of 1 to {MAX_USER_NAME} letters, digits, `-`, `_` and `.`");
            faults.add(&section.key("name"), reason);
        }
        let is_default = name.as_deref() == Some("default");
        let read = |s: &mut Section, f: &mut FaultList| s.string("password", f);
        let password =
            if is_default { read(&mut section, faults) } else { section.required("password", faults, read) };
        let commands = section.strings("commands", faults);
        for command in commands.iter().flatten() {
            if !COMMANDS.contains(&&command[..]) {
                let reason =
                    format!("{command:?} is no command of the cache; known: {}", COMMANDS.join(", "));
                faults.add(&section.key("commands"), reason);
            }
        }
        let tenants = section.strings("tenants", faults);
        section.finish(faults);
        Some(User { name: name?, password, commands, tenants })
    }
}

impl Boxes {
    fn read(mut section: Section, instance: &str, faults: &mut FaultList) -> Boxes {
        let resp3 = section.boolean("resp3", faults).unwrap_or(false);
        let user = section.string("user", faults);
        if let Some(user) =
            user.as_ref().filter(|u| u.len() > MAX_USER_NAME || !u.bytes().all(|b| b.is_ascii_graphic()))
        {
            faults.add(
                &section.key("user"),
                format!("{user:?} is not of 1 to {MAX_USER_NAME} printable characters"),
            );
        }
        let repeat_writes_across_addresses =
            section.boolean("repeat_writes_across_addresses", faults).unwrap_or(false);
        let password_file = section.path("password_file", instance, faults);
        if user.is_some() != password_file.is_some() {
            let missing = if user.is_some() { "password_file" } else { "user" };
            faults.add(&section.key(missing), "is missing; user and password_file go together".into());
        } else if user.is_some() && !resp3 {
            faults.add(&section.key("user"), "is named only in greetings; set resp3 = true as well".into());
        }
        section.finish(faults);
        Boxes { resp3, user, password_file, repeat_writes_across_addresses }
    }
}

/// The maximum number of candidates.
const MAX_CANDIDATES: usize = 64;

impl Shadow {
    fn read(mut section: Section, faults: &mut FaultList) -> Option<Shadow> {
        let texts = section.required("candidates", faults, |s, f| s.strings("candidates", f));
        let mut candidates: Vec<SocketAddr> = Vec::new();
        for (i, text) in texts.iter().flatten().enumerate() {
            let key = section.key(&format!("candidates[{i}]"));
            match text.parse() {
                Err(_) => faults.add(&key, format!("{text:?} is no IP:PORT")),
                Ok(address) if candidates.contains(&address) => {
                    faults.add(&key, format!("{text} is named twice"))
                }
                Ok(address) => candidates.push(address),
            }
        }
        if texts.as_ref().is_some_and(|t| t.is_empty() || t.len() > MAX_CANDIDATES) {
            faults.add(&section.key("candidates"), format!("has to name 1 to {MAX_CANDIDATES}"));
        }
        let classes = section.required("classes", faults, |s, f| s.strings("classes", f));
        if classes.as_ref().is_some_and(Vec::is_empty) {
            faults.add(&section.key("classes"), "names none".into());
        }
        let (tenants, except_tenants) =
            (section.strings("tenants", faults), section.strings("except_tenants", faults));
        if tenants.is_some() && except_tenants.is_some() {
            faults.add(&section.key("except_tenants"), "can't stand beside tenants".into());
        }
        let salt = section.integer("salt", 0..=i64::MAX, faults).unwrap_or(0) as u64;
        let share = section.number("share", 1e-6..=1.0, faults).unwrap_or(0.1);
        let first_share = section.number("first_share", 1e-6..=1.0, faults).unwrap_or(0.01);
        let step_seconds = section.integer("step_seconds", 1..=3_600, faults).unwrap_or(30) as u64;
        let copies_per_second =
            section.integer("copies_per_second", 1..=10_000, faults).unwrap_or(100) as usize;
        let connections = section.integer("connections", 1..=256, faults).unwrap_or(8) as usize;
        let answer_bytes = section.integer("answer_bytes", 1..=64 << 10, faults).unwrap_or(64 << 10) as usize;
        let held_bytes = section.integer("held_bytes", 1..=64 << 20, faults).unwrap_or(1 << 20) as usize;
        if held_bytes < answer_bytes {
            faults.add(
                &section.key("held_bytes"),
                format!("is {held_bytes}; one answer may have {answer_bytes}"),
            );
        }
        let cpu_share = section.number("cpu_share", 0.001..=0.5, faults).unwrap_or(0.02);
        let misses_per_second = section
            .required("misses_per_second", faults, |s, f| s.integer("misses_per_second", 2..=1_000_000, f));
        let deadline_ms = section.integer("deadline_ms", 10..=10_000, faults).unwrap_or(500) as u64;
        let tolerated_different = section.number("tolerated_different", 0.0..=1.0, faults).unwrap_or(0.001);
        let tolerated_slower = section.number("tolerated_slower", 0.0..=10.0, faults).unwrap_or(0.1);
        let stop_different = section.number("stop_different", 0.0..=1.0, faults).unwrap_or(0.05);
        let samples = section.integer("samples", 0..=64, faults).unwrap_or(0) as usize;
        section.finish(faults);
        Some(Shadow {
            candidates,
            classes: classes?,
            tenants,
            except_tenants,
            salt,
            share,
            first_share,
            step_seconds,
            copies_per_second,
            connections,
            answer_bytes,
            held_bytes,
            cpu_share,
            misses_per_second: misses_per_second? as u32,
            deadline_ms,
            tolerated_different,
            tolerated_slower,
            stop_different,
            samples,
        })
    }
}

/// The maximum depth of a pipeline, for connections of clients and to boxes.
const MAX_DEPTH: i64 = 1_024;

impl Pipeline {
    fn read(mut section: Section, faults: &mut FaultList) -> Pipeline {
        let default = Pipeline::default();
        let enabled = section.boolean("enabled", faults).unwrap_or(default.enabled);
        let reads = section.integer("reads", 1..=MAX_DEPTH, faults).map(|n| n as usize);
        let writes = section.integer("writes", 1..=MAX_DEPTH, faults).map(|n| n as usize);
        let placing = section.string("placing", faults);
        if let Some(name) = placing.as_ref().filter(|p| !["fixed", "expected"].contains(&&p[..])) {
            faults.add(&section.key("placing"), format!("is {name:?}; \"fixed\" or \"expected\" is allowed"));
        }
        let handshake_cost = section.number("handshake_cost", 0.0..=100.0, faults);
        let head_quantile = section.number("head_quantile", 0.5..=1.0, faults);
        let settle_delay_ms = section.integer("rest_ms", 0..=50, faults);
        let apart = section.boolean("apart", faults).unwrap_or(default.separate_kinds);
        let batch_bytes = section.integer("batch_bytes", 1..=1 << 20, faults);
        let batch_delay_us = section.integer("batch_delay_us", 0..=5_000, faults);
        let clients = section.integer("clients", 1..=MAX_DEPTH, faults);
        section.finish(faults);
        Pipeline {
            enabled,
            reads,
            writes,
            expected_placement: placing.as_deref() == Some("expected"),
            handshake_cost: handshake_cost.unwrap_or(default.handshake_cost),
            head_quantile: head_quantile.unwrap_or(default.head_quantile),
            settle_delay_ms: settle_delay_ms.map(|n| n as u64),
            separate_kinds: apart,
            batch_bytes: batch_bytes.map_or(default.batch_bytes, |n| n as usize),
            batch_delay_us: batch_delay_us.map_or(default.batch_delay_us, |n| n as u64),
            commands_per_client: clients.map_or(default.commands_per_client, |n| n as usize),
        }
    }
}
