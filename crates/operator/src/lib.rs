//! The operator's own file, `trestlesill --operator FILE`: what this installation allows beyond what the
//! platform says. TOML, with a version; all faults of a file are told at once, each with its key.
//!
//! Each option is documented where it is declared; `deploy/operator.toml` shows all of them.

mod read;

use read::{Errors, Section};
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The version of the format that this build reads.
pub const VERSION: i64 = 1;
/// The longest file that is read.
pub const MAX_FILE: u64 = 1 << 20;
/// The longest path of a Unix-domain socket: `sun_path` has 108 bytes, the last of them zero (unix(7)).
pub const MAX_SOCKET_PATH: usize = 107;

/// The operator's file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Operator {
    /// `[control]`: the endpoint through which tools inspect and steer this instance. Off without it.
    pub control: Option<Control>,
    /// `[clients]`: who may ask.
    pub clients: Clients,
    /// `[boxes]`: how cache boxes are spoken to.
    pub boxes: Boxes,
    /// `[pipeline]`: how commands go behind one another.
    pub pipeline: Pipeline,
    /// `[shadow]`: reads that are copied to boxes which are not in service yet. Off without it, and until it is started
    /// over the control endpoint.
    pub shadow: Option<Shadow>,
}

/// `[clients]`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Clients {
    /// `[[clients.users]]`: with any, commands are answered `-NOAUTH` until a client has given a user and a
    /// password by `AUTH` or `HELLO`. None by default: nobody is asked for a password.
    pub users: Vec<User>,
}

/// One of `[[clients.users]]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct User {
    /// `name`: 1 to 64 letters, digits and `-_.`, no two alike. `default` is the user that a connection has before
    /// it names another one. Required.
    pub name: String,
    /// `password`: hashed, as `trestlectl password` writes it: `sha256:SALT:DIGEST`. Required but for `default`:
    /// without one, whoever gives no password is that user.
    pub password: Option<String>,
    /// `commands`: `CACHE.GET` and `CACHE.SET`, those that it may call. All by default.
    pub commands: Option<Vec<String>>,
    /// `tenants`: those that it may ask for, by their names in the settings. All by default, also requests that
    /// name none.
    pub tenants: Option<Vec<String>>,
}

/// `[boxes]`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Boxes {
    /// `resp3`: each new connection to a box is greeted with `HELLO 3`. Boxes that refuse are spoken to in RESP2.
    /// Off by default.
    pub resp3: bool,
    /// `user`: the user that the greeting names, 1 to 64 printable characters; needs `password_file`.
    pub user: Option<String>,
    /// `password_file`: the file that holds its password, read at start; a line end behind it is not part of it.
    /// `{name}` stands for the instance's name.
    pub password_file: Option<PathBuf>,
    /// `repeat_writes_across_addresses`: a keyed write that may have arrived over one address of a box may be
    /// repeated over another address of the same box. Off by default: over the same address, or at another box.
    pub repeat_writes_across_addresses: bool,
}

/// `[pipeline]`.
#[derive(Clone, Debug, PartialEq)]
pub struct Pipeline {
    /// `enabled`: false puts one command at a time on a connection to a box, whatever else stands here. True by
    /// default.
    pub enabled: bool,
    /// `reads`: commands on a connection to a box before another read goes elsewhere; 1 to 1,024, and no more than
    /// `settings.caps.streams_per_conn`. 1 by default: behind one another, a command may be given what a box sent too much
    /// for the one before it.
    pub reads: Option<usize>,
    /// `writes`: the same for another write.
    pub writes: Option<usize>,
    /// `placing`: `fixed` (an idle connection, else a new one, else the least busy) or `expected` (the one on which
    /// the answer is expected first, a handshake counted; none if it is expected past its aim). `fixed` by default.
    pub expected_placement: bool,
    /// `handshake_cost`: with `expected`, the time that a handshake takes counts so many times more, for what it costs
    /// the box; 0 to 100, 2 by default.
    pub handshake_cost: f64,
    /// `head_quantile`: a connection whose first command has waited longer than this part of the first ones there did
    /// takes nothing new; 0.5 to 1. 1, the default: whatever its age.
    pub head_quantile: f64,
    /// `rest_ms`: a connection to a box carries nothing new for so many milliseconds after an answer, and ends if
    /// anything comes meanwhile; 0 to 50. By default 5 where one command at a time goes out, 0 where more do. 0: no rest. Else
    /// it grows by itself, up to 50, where something came later.
    pub settle_delay_ms: Option<u64>,
    /// `apart`: reads, writes and long writes don't share a connection. False by default.
    pub separate_kinds: bool,
    /// `batch_bytes`: commands that are ready together leave in one write of about so many bytes; 1 to 1,048,576,
    /// 65,536 by default. 1: one command a write.
    pub batch_bytes: usize,
    /// `batch_delay_us`: a command waits so long for others that could leave with it, in microseconds; 0 to 5,000. 0,
    /// the default: no longer than the turn of the loop in which it became ready.
    pub batch_delay_us: u64,
    /// `clients`: commands that a client's connection may have open; more are answered `-BUSY`. 1 to 1,024, 128 by
    /// default.
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

/// `[shadow]`. Needs `[control]`: copying is started there.
#[derive(Clone, Debug, PartialEq)]
pub struct Shadow {
    /// `candidates`: 1 to 64 addresses, `"IP:PORT"`, none of them a live box's. Required.
    pub candidates: Vec<SocketAddr>,
    /// `classes`: those whose reads are copied, by their names in the settings; only such as are safe to repeat. Required.
    pub classes: Vec<String>,
    /// `tenants`: those whose reads are copied, by their names in the settings. All by default, also reads that name none.
    pub tenants: Option<Vec<String>>,
    /// `except_tenants`: all but these. Not beside `tenants`.
    pub except_tenants: Option<Vec<String>>,
    /// `salt`: chooses which keys are copied; 0 or more, the same at all proxies. 0 by default.
    pub salt: u64,
    /// `share`: of the keys, that are copied at the most; 0.000001 to 1, 0.1 by default.
    pub share: f64,
    /// `first_share`: that it begins with, and begins with again after trouble; 0.000001 to 1, 0.01 by default.
    pub first_share: f64,
    /// `step_seconds`: the share doubles no sooner than that; 1 to 3,600, 30 by default.
    pub step_seconds: u64,
    /// `copies_per_second`: of this proxy, in any second; 1 to 10,000, 100 by default.
    pub copies_per_second: usize,
    /// `connections`: to candidates, each with one copy at a time; 1 to 256, 8 by default.
    pub connections: usize,
    /// `answer_bytes`: values that are longer are not compared; 1 to 65,536, 65,536 by default.
    pub answer_bytes: usize,
    /// `held_bytes`: that open copies may hold together, counted as the longest answer each; up to 64 MiB, 1 MiB by default.
    pub held_bytes: usize,
    /// `cpu_share`: of the loop's time, that copying may take in a second; 0.001 to 0.5, 0.02 by default.
    pub cpu_share: f64,
    /// `misses_per_second`: fetches from the origin that copies of all proxies together may cause in any second; half of it is
    /// shared out (docs/design/shadow.md). 2 to 1,000,000. Required.
    pub misses_per_second: u32,
    /// `deadline_ms`: a copy is given up after that; 10 to 10,000, 500 by default.
    pub deadline_ms: u64,
    /// `tolerated_different`: share of answers that may differ before a candidate is called worse; 0 to 1, 0.001 by default.
    pub tolerated_different: f64,
    /// `tolerated_slower`: by this part its quantiles may be longer; 0 to 10, 0.1 by default.
    pub tolerated_slower: f64,
    /// `stop_different`: copying stops by itself where more than this share of answers differs, beyond chance; 0 to 1, 0.05
    /// by default.
    pub stop_different: f64,
    /// `samples`: so many keys of answers that differed are kept, and told as they are; 0 to 64. 0 by default: keys are kept
    /// as hashes alone.
    pub samples: usize,
}

/// `[control]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Control {
    /// `socket`: path of the Unix-domain socket, made at start with mode 0600. At most 107 bytes; `{name}` in it
    /// stands for the instance's name. Required.
    pub socket: PathBuf,
    /// `state_file`: where drains set through this endpoint are kept, so that a restarted instance still holds
    /// to them; `{name}` as above. Without it they end with the process.
    pub state_file: Option<PathBuf>,
    /// `max_connections`: controllers at once, 1 to 64; 8 by default. One more drives out the one that has been
    /// silent for longest.
    pub max_connections: usize,
    /// `allow_uids`: users that may connect besides the instance's own, for where a proxy of the socket's mode
    /// makes it reachable for them. None by default.
    pub allow_uids: Vec<u32>,
}

/// One fault of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The key, with its table: `control.socket`. Empty where the fault is the file's.
    pub key: String,
    /// What is wrong, and what would be right.
    pub reason: String,
}

/// A file that can't be used: all that is wrong with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidFile {
    /// The file, as it was named.
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
    /// All that is wrong with it.
    pub fn load(path: &Path, instance: &str) -> Result<Operator, InvalidFile> {
        let file = path.display().to_string();
        let whole = |reason: String| InvalidFile {
            file: file.clone(),
            faults: vec![Fault { key: String::new(), reason }],
        };
        let length = std::fs::metadata(path).map_err(|e| whole(format!("can't be read: {e}")))?.len();
        if length > MAX_FILE {
            return Err(whole(format!("is {length} bytes long; {MAX_FILE} are the most")));
        }
        let text = std::fs::read_to_string(path).map_err(|e| whole(format!("can't be read: {e}")))?;
        Operator::parse(&text, instance).map_err(|faults| InvalidFile { file, faults })
    }

    /// Reads the text of a file for the instance of this name.
    ///
    /// # Errors
    /// All that is wrong with it.
    pub fn parse(text: &str, instance: &str) -> Result<Operator, Vec<Fault>> {
        let table: toml::Table = text.parse().map_err(|e: toml::de::Error| {
            let line = e.span().map_or(1, |s| text[..s.start.min(text.len())].matches('\n').count() + 1);
            vec![Fault { key: String::new(), reason: format!("line {line}: {}", e.message()) }]
        })?;
        let steered = table.contains_key("control");
        let mut errors = Errors::default();
        let mut root = Section::root(table);
        let version = root.integer("version", 1..=i64::MAX, &mut errors);
        match version {
            Some(VERSION) => {}
            // A later version may mean something else by the same keys.
            Some(v) => {
                let reason = format!("is {v}; this build reads version {VERSION}");
                return Err(vec![Fault { key: "version".into(), reason }]);
            }
            None if errors.is_empty() => {
                errors.add("version", format!("is missing; write `version = {VERSION}`"));
            }
            None => {}
        }
        let control =
            root.section("control", &mut errors).and_then(|s| Control::read(s, instance, &mut errors));
        let clients = root.section("clients", &mut errors);
        let clients = clients.map(|s| Clients::read(s, &mut errors)).unwrap_or_default();
        let boxes = root.section("boxes", &mut errors);
        let boxes = boxes.map(|s| Boxes::read(s, instance, &mut errors)).unwrap_or_default();
        let pipeline = root.section("pipeline", &mut errors);
        let pipeline = pipeline.map(|s| Pipeline::read(s, &mut errors)).unwrap_or_default();
        let shadow = root.section("shadow", &mut errors);
        if shadow.is_some() && !steered {
            errors.add("shadow", "is started over the control endpoint; [control] is missing".into());
        }
        let shadow = shadow.and_then(|s| Shadow::read(s, &mut errors));
        root.finish(&mut errors);
        errors.result(Operator { control, clients, boxes, pipeline, shadow })
    }
}

impl Control {
    fn read(mut s: Section, instance: &str, errors: &mut Errors) -> Option<Control> {
        let socket = s.required("socket", errors, |s, e| s.path("socket", instance, e));
        if let Some(path) = socket.as_ref().filter(|p| p.as_os_str().len() > MAX_SOCKET_PATH) {
            let length = path.as_os_str().len();
            errors.add(&s.key("socket"), format!("is {length} bytes long; {MAX_SOCKET_PATH} are the most"));
        }
        let state_file = s.path("state_file", instance, errors);
        if state_file.is_some() && state_file == socket {
            errors.add(&s.key("state_file"), "is the socket's path; it needs one of its own".into());
        }
        let max_connections = s.integer("max_connections", 1..=64, errors).unwrap_or(8) as usize;
        let uids = s.integers("allow_uids", 0..=i64::from(u32::MAX), errors);
        s.finish(errors);
        let allow_uids = uids.into_iter().map(|u| u as u32).collect();
        Some(Control { socket: socket?, state_file, max_connections, allow_uids })
    }
}

/// The commands that users may be allowed.
const COMMANDS: [&str; 2] = ["CACHE.GET", "CACHE.SET"];
/// The longest name of a user.
const MAX_USER: usize = 64;
/// Users at the most.
const MAX_USERS: usize = 256;

impl Clients {
    fn read(mut s: Section, errors: &mut Errors) -> Clients {
        let mut users: Vec<User> = Vec::new();
        let sections = s.sections("users", errors);
        if sections.len() > MAX_USERS {
            errors.add(&s.key("users"), format!("has {} users; {MAX_USERS} are the most", sections.len()));
        }
        for section in sections {
            let key = section.key("name");
            let Some(user) = User::read(section, errors) else { continue };
            if users.iter().any(|u| u.name == user.name) {
                errors.add(&key, format!("{:?} is another user's as well", user.name));
            }
            users.push(user);
        }
        s.finish(errors);
        Clients { users }
    }
}

impl User {
    fn read(mut s: Section, errors: &mut Errors) -> Option<User> {
        let name = s.required("name", errors, |s, e| s.string("name", e));
        let plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if let Some(name) = name.as_ref().filter(|n| n.len() > MAX_USER || !n.chars().all(plain)) {
            let reason = format!("{name:?} is not of 1 to {MAX_USER} letters, digits, `-`, `_` and `.`");
            errors.add(&s.key("name"), reason);
        }
        let open = name.as_deref() == Some("default");
        let read = |s: &mut Section, e: &mut Errors| s.string("password", e);
        let password = if open { read(&mut s, errors) } else { s.required("password", errors, read) };
        let commands = s.strings("commands", errors);
        for command in commands.iter().flatten() {
            if !COMMANDS.contains(&&command[..]) {
                let reason =
                    format!("{command:?} is no command of the cache; known: {}", COMMANDS.join(", "));
                errors.add(&s.key("commands"), reason);
            }
        }
        let tenants = s.strings("tenants", errors);
        s.finish(errors);
        Some(User { name: name?, password, commands, tenants })
    }
}

impl Boxes {
    fn read(mut s: Section, instance: &str, errors: &mut Errors) -> Boxes {
        let resp3 = s.boolean("resp3", errors).unwrap_or(false);
        let user = s.string("user", errors);
        if let Some(user) =
            user.as_ref().filter(|u| u.len() > MAX_USER || !u.bytes().all(|b| b.is_ascii_graphic()))
        {
            errors.add(&s.key("user"), format!("{user:?} is not of 1 to {MAX_USER} printable characters"));
        }
        let across = s.boolean("repeat_writes_across_addresses", errors).unwrap_or(false);
        let password_file = s.path("password_file", instance, errors);
        if user.is_some() != password_file.is_some() {
            let lacks = if user.is_some() { "password_file" } else { "user" };
            errors.add(&s.key(lacks), "is missing; user and password_file go together".into());
        } else if user.is_some() && !resp3 {
            errors.add(&s.key("user"), "is named only in greetings; set resp3 = true as well".into());
        }
        s.finish(errors);
        Boxes { resp3, user, password_file, repeat_writes_across_addresses: across }
    }
}

/// Candidates at the most.
const MAX_CANDIDATES: usize = 64;

impl Shadow {
    fn read(mut s: Section, errors: &mut Errors) -> Option<Shadow> {
        let texts = s.required("candidates", errors, |s, e| s.strings("candidates", e));
        let mut candidates: Vec<SocketAddr> = Vec::new();
        for (i, text) in texts.iter().flatten().enumerate() {
            let key = s.key(&format!("candidates[{i}]"));
            match text.parse() {
                Err(_) => errors.add(&key, format!("{text:?} is no IP:PORT")),
                Ok(address) if candidates.contains(&address) => {
                    errors.add(&key, format!("{text} is named twice"))
                }
                Ok(address) => candidates.push(address),
            }
        }
        if texts.as_ref().is_some_and(|t| t.is_empty() || t.len() > MAX_CANDIDATES) {
            errors.add(&s.key("candidates"), format!("has to name 1 to {MAX_CANDIDATES}"));
        }
        let classes = s.required("classes", errors, |s, e| s.strings("classes", e));
        if classes.as_ref().is_some_and(Vec::is_empty) {
            errors.add(&s.key("classes"), "names none".into());
        }
        let (tenants, except_tenants) = (s.strings("tenants", errors), s.strings("except_tenants", errors));
        if tenants.is_some() && except_tenants.is_some() {
            errors.add(&s.key("except_tenants"), "can't stand beside tenants".into());
        }
        let salt = s.integer("salt", 0..=i64::MAX, errors).unwrap_or(0) as u64;
        let share = s.number("share", 1e-6..=1.0, errors).unwrap_or(0.1);
        let first_share = s.number("first_share", 1e-6..=1.0, errors).unwrap_or(0.01);
        let step_seconds = s.integer("step_seconds", 1..=3_600, errors).unwrap_or(30) as u64;
        let copies_per_second = s.integer("copies_per_second", 1..=10_000, errors).unwrap_or(100) as usize;
        let connections = s.integer("connections", 1..=256, errors).unwrap_or(8) as usize;
        let answer_bytes = s.integer("answer_bytes", 1..=64 << 10, errors).unwrap_or(64 << 10) as usize;
        let held_bytes = s.integer("held_bytes", 1..=64 << 20, errors).unwrap_or(1 << 20) as usize;
        if held_bytes < answer_bytes {
            errors.add(&s.key("held_bytes"), format!("is {held_bytes}; one answer may have {answer_bytes}"));
        }
        let cpu_share = s.number("cpu_share", 0.001..=0.5, errors).unwrap_or(0.02);
        let misses =
            s.required("misses_per_second", errors, |s, e| s.integer("misses_per_second", 2..=1_000_000, e));
        let deadline_ms = s.integer("deadline_ms", 10..=10_000, errors).unwrap_or(500) as u64;
        let tolerated_different = s.number("tolerated_different", 0.0..=1.0, errors).unwrap_or(0.001);
        let tolerated_slower = s.number("tolerated_slower", 0.0..=10.0, errors).unwrap_or(0.1);
        let stop_different = s.number("stop_different", 0.0..=1.0, errors).unwrap_or(0.05);
        let samples = s.integer("samples", 0..=64, errors).unwrap_or(0) as usize;
        s.finish(errors);
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
            misses_per_second: misses? as u32,
            deadline_ms,
            tolerated_different,
            tolerated_slower,
            stop_different,
            samples,
        })
    }
}

/// Commands on one connection at the most, whichever way.
const MAX_DEPTH: i64 = 1_024;

impl Pipeline {
    fn read(mut s: Section, errors: &mut Errors) -> Pipeline {
        let default = Pipeline::default();
        let enabled = s.boolean("enabled", errors).unwrap_or(default.enabled);
        let reads = s.integer("reads", 1..=MAX_DEPTH, errors).map(|n| n as usize);
        let writes = s.integer("writes", 1..=MAX_DEPTH, errors).map(|n| n as usize);
        let placing = s.string("placing", errors);
        if let Some(word) = placing.as_ref().filter(|w| !["fixed", "expected"].contains(&&w[..])) {
            errors.add(&s.key("placing"), format!("is {word:?}; \"fixed\" or \"expected\" is allowed"));
        }
        let cost = s.number("handshake_cost", 0.0..=100.0, errors);
        let quantile = s.number("head_quantile", 0.5..=1.0, errors);
        let rest = s.integer("rest_ms", 0..=50, errors);
        let apart = s.boolean("apart", errors).unwrap_or(default.separate_kinds);
        let bytes = s.integer("batch_bytes", 1..=1 << 20, errors);
        let delay = s.integer("batch_delay_us", 0..=5_000, errors);
        let clients = s.integer("clients", 1..=MAX_DEPTH, errors);
        s.finish(errors);
        Pipeline {
            enabled,
            reads,
            writes,
            expected_placement: placing.as_deref() == Some("expected"),
            handshake_cost: cost.unwrap_or(default.handshake_cost),
            head_quantile: quantile.unwrap_or(default.head_quantile),
            settle_delay_ms: rest.map(|n| n as u64),
            separate_kinds: apart,
            batch_bytes: bytes.map_or(default.batch_bytes, |n| n as usize),
            batch_delay_us: delay.map_or(default.batch_delay_us, |n| n as u64),
            commands_per_client: clients.map_or(default.commands_per_client, |n| n as usize),
        }
    }
}
