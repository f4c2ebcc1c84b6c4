//! What all cases share: the record, a discovery, cache nodes, clients and the proxy's process. Standard library only.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn sleep(n: u64) {
    std::thread::sleep(ms(n));
}

/// Exit code for a case that could not run.
pub fn cannot_run(why: impl std::fmt::Display) -> ! {
    println!("could not run: {why}");
    cleanup();
    std::process::exit(2)
}

// ---- the record ----

pub struct Record {
    file: Mutex<File>,
    pub start: Instant,
}

impl Record {
    pub fn open(path: &Path) -> Arc<Record> {
        let file = File::create(path).unwrap_or_else(|e| cannot_run(format!("{}: {e}", path.display())));
        Arc::new(Record { file: Mutex::new(file), start: Instant::now() })
    }

    pub fn note(&self, text: impl std::fmt::Display) {
        let at = self.start.elapsed().as_secs_f64() * 1e3;
        let _ = writeln!(self.file.lock().unwrap(), "{at:10.1} ms  {text}");
    }
}

// ---- processes: all are ended, whatever happens ----

static STARTED: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Ends and reaps all processes that this program started.
pub fn cleanup() {
    let mut all = STARTED.lock().unwrap_or_else(|e| e.into_inner());
    for child in all.iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    all.clear();
}

/// Sends a signal to a process that this program started.
pub fn signal(pid: u32, name: &str) {
    let _ = Command::new("kill").arg(format!("-{name}")).arg(pid.to_string()).status();
}

/// Whether the process that this program started has ended.
pub fn has_ended(pid: u32) -> bool {
    let mut all = STARTED.lock().unwrap();
    all.iter_mut().find(|c| c.id() == pid).is_none_or(|c| matches!(c.try_wait(), Ok(Some(_))))
}

/// The process is ended if this program ends without doing so.
fn end_with_parent(command: &mut Command) {
    use std::os::unix::process::CommandExt;
    extern "C" {
        fn prctl(option: i32, value: u64, a: u64, b: u64, c: u64) -> i32;
    }
    // PR_SET_PDEATHSIG is 1, SIGKILL is 9.
    let set = || match unsafe { prctl(1, 9, 0, 0, 0) } {
        0 => Ok(()),
        _ => Err(io::Error::last_os_error()),
    };
    unsafe { command.pre_exec(set) };
}

/// The value of `run` in the deploy file.
pub fn run_command(root: &Path) -> String {
    let file = root.join("deploy/balancer.toml");
    let text =
        std::fs::read_to_string(&file).unwrap_or_else(|e| cannot_run(format!("{}: {e}", file.display())));
    let line =
        text.lines().find(|l| l.trim_start().starts_with("run ") || l.trim_start().starts_with("run="));
    let value = line.and_then(|l| l.split_once('"')).and_then(|(_, rest)| rest.split_once('"'));
    value.map(|(v, _)| v.to_owned()).unwrap_or_else(|| cannot_run("no run command in the deploy file"))
}

/// A free loopback port.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).unwrap_or_else(|e| cannot_run(e))
}

pub struct Proxy {
    pub pid: u32,
    pub listen: SocketAddr,
}

/// Where a case runs.
pub struct Place {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub temp: PathBuf,
    pub trouble: bool,
    pub record: Arc<Record>,
}

impl Place {
    /// From the arguments: the repository's root, the case's folder, a temporary folder.
    pub fn from_args(mut args: impl Iterator<Item = String>) -> Place {
        let mut next = || PathBuf::from(args.next().unwrap_or_else(|| cannot_run("too few arguments")));
        let (root, folder, temp) = (next(), next(), next());
        let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
        let record = Record::open(&folder.join("record.txt"));
        record.note(format!("trouble: {}", if trouble { "on" } else { "off" }));
        Place { root, folder, temp, trouble, record }
    }

    /// Starts a proxy by the deploy file's command, and waits until it answers PING.
    pub fn proxy(
        &self,
        name: &str,
        discovery: SocketAddr,
        known: &str,
        settings: &str,
        memory_mb: u32,
    ) -> Proxy {
        self.proxy_with(name, discovery, known, settings, memory_mb, 1024)
    }

    /// The same, with another limit on descriptors.
    pub fn proxy_with(
        &self,
        name: &str,
        discovery: SocketAddr,
        known: &str,
        settings: &str,
        memory_mb: u32,
        sockets: u32,
    ) -> Proxy {
        let listen = free_address();
        let config = format!(
            "{{\"name\":\"{name}\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{memory_mb},\"sockets\":{sockets}}},\"known\":{known},\"settings\":{settings}}}"
        );
        let path = self.temp.join(format!("{name}.json"));
        std::fs::write(&path, config).unwrap_or_else(|e| cannot_run(e));
        let log = File::create(self.temp.join(format!("{name}.log"))).unwrap_or_else(|e| cannot_run(e));
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(run_command(&self.root)).current_dir(&self.root);
        command.env("NODE_CONFIG", &path).env("NODE_NAME", name).env("NODE_LISTEN", listen.to_string());
        command.env("NODE_DISCOVERY", discovery.to_string()).env("TMPDIR", &self.temp);
        command.stdin(Stdio::null()).stdout(log.try_clone().unwrap()).stderr(log);
        end_with_parent(&mut command);
        let child = command.spawn().unwrap_or_else(|e| cannot_run(format!("the proxy: {e}")));
        let pid = child.id();
        STARTED.lock().unwrap().push(child);
        let until = Instant::now() + Duration::from_secs(20);
        loop {
            if let Ok(mut client) = Client::connect(listen) {
                client.send_words(&["PING"]);
                if matches!(client.answer(ms(2000)), Some(Answer::Simple(text)) if text == "PONG") {
                    break;
                }
            }
            if Instant::now() > until || has_ended(pid) {
                cannot_run("the proxy did not become ready; its build may be missing");
            }
            sleep(20);
        }
        self.record.note(format!("proxy {name}: process {pid}, ready at {listen}"));
        Proxy { pid, listen }
    }
}

// ---- settings ----

/// A class of the settings.
pub struct Class {
    pub name: &'static str,
    pub aim_ms: u64,
    pub deadline_ms: u64,
    pub effect: &'static str,
    pub window_ms: u64,
}

/// The settings of a small deployment, after those of the operators' first site.
pub struct Settings {
    pub classes: Vec<Class>,
    pub proxies: u32,
    pub cancelling: bool,
    pub connect_timeout_ms: u64,
}

impl Settings {
    pub fn json(&self) -> String {
        let classes: Vec<String> = self
            .classes
            .iter()
            .map(|c| {
                format!(
                    "{{\"name\":\"{}\",\"promise_ns\":{},\"deadline_ns\":{},\"effect\":\"{}\",\"group\":\"all\",\
                     \"dedup_window_ns\":{},\"late_value\":0.0,\"value\":1.0,\"stream\":false}}",
                    c.name,
                    c.aim_ms * 1_000_000,
                    c.deadline_ms * 1_000_000,
                    c.effect,
                    c.window_ms * 1_000_000
                )
            })
            .collect();
        format!(
            "{{\"n_instances\":{},\"self_index\":0,\"categories\":[{}],\"customers\":[],\"discovery\":\"subscribe\",\
             \"caps\":{{\"attempts_cap\":5,\"cancelling\":{},\"conn_idle_ns\":5000000000,\"connect_timeout_ns\":{},\
             \"cpu_us_per_request\":0.0,\"cpu_us_per_s\":500000,\"max_open\":20000,\"max_retry_after_ns\":1000000000,\
             \"peer_messages\":false,\"probing\":true,\"retry_after\":true,\"second_copies\":true,\"streams_per_conn\":32}},\
             \"client_habits\":{{\"marks_retry\":false}},\
             \"deductions\":{{\"connection\":0.0,\"cross_zone\":0.03,\"discovery\":0.0,\"handshake\":0.0,\"late_fail\":0.08,\
             \"moves\":0.0,\"origin\":0.05,\"peer\":0.0,\"probe\":0.01,\"waste\":0.04}},\
             \"family_info\":{{\"mode\":\"through\",\"origin_fall_multiple\":3.0,\"origin_fall_ns\":3000000000,\
             \"origin_kind\":-1}},\"kind_of_service\":\"cache\",\"layer\":0,\"layers\":[\"pack-cache\"],\
             \"localities\":[\"joburg\",\"durban\",\"cape-town\"],\"machine_types\":[\"fast\",\"standard\",\"small\"],\
             \"over_share_worth\":0.1,\"report\":{{\"columns\":[],\"source\":\"none\"}},\
             \"rules\":{{\"answer_slack_ns\":20000000,\"cold_from\":0.15,\"cold_ns\":24000000000,\
             \"drain_grace_ns\":500000000,\"fall_multiple\":3.0,\"fall_ns\":1000000000,\"must_ask_in_ns\":10000000000}},\
             \"tick_ns\":5000000,\"weights\":\"rough\",\"worth_by\":\"request\",\"zone\":0}}",
            self.proxies,
            classes.join(","),
            self.cancelling,
            self.connect_timeout_ms * 1_000_000
        )
    }
}

// ---- discovery ----

/// A discovery with a fixed list, and the list as its JSON text.
pub fn discovery(nodes: &[(String, SocketAddr)]) -> (SocketAddr, String) {
    let hosts: Vec<String> = nodes
        .iter()
        .map(|(name, at)| {
            format!(
                "{{\"host\":\"{name}\",\"dial\":\"{at}\",\"site\":\"joburg\",\"class\":\"standard\",\"block\":1,\
                 \"health\":\"up\",\"share\":1.0,\"born_ms\":0}}"
            )
        })
        .collect();
    let list = format!("{{\"seq\":41,\"whole\":true,\"hosts\":[{}]}}", hosts.join(","));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(e));
    let at = listener.local_addr().unwrap();
    let whole = list.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let whole = whole.clone();
            std::thread::spawn(move || serve_list(stream, &whole));
        }
    });
    (at, list)
}

fn serve_list(stream: TcpStream, whole: &str) {
    let Ok(output) = stream.try_clone() else { return };
    let Some(first) = read_head(stream) else { return };
    if query(&first, "since") == Some(41) {
        sleep(query(&first, "timeout_ms").unwrap_or(0).min(60_000));
        write_list(output, "{\"seq\":41,\"whole\":false,\"hosts\":[]}");
    } else {
        write_list(output, whole);
    }
}

/// Lists that change, for a discovery with watches.
pub struct Lists {
    /// The version, and the entries as a JSON array.
    now: Mutex<(u64, String)>,
    changed: Condvar,
}

impl Lists {
    pub fn new() -> Lists {
        Lists { now: Mutex::new((40, "[]".into())), changed: Condvar::new() }
    }

    /// Sets the next list; returns it whole.
    pub fn set(&self, hosts: String) -> String {
        let mut now = self.now.lock().unwrap();
        *now = (now.0 + 1, hosts);
        self.changed.notify_all();
        format!("{{\"seq\":{},\"whole\":true,\"hosts\":{}}}", now.0, now.1)
    }

    /// Answers calls: the whole list if it is newer than the call knows, at once or within its wait.
    pub fn serve(self: &Arc<Lists>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(e));
        let at = listener.local_addr().unwrap();
        let lists = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let lists = lists.clone();
                std::thread::spawn(move || lists.answer(stream));
            }
        });
        at
    }

    fn answer(&self, stream: TcpStream) {
        let Ok(output) = stream.try_clone() else { return };
        let Some(first) = read_head(stream) else { return };
        let since = query(&first, "since");
        let until = Instant::now() + ms(query(&first, "timeout_ms").unwrap_or(0).min(60_000));
        let mut now = self.now.lock().unwrap();
        while since == Some(now.0) && Instant::now() < until {
            now = self.changed.wait_timeout(now, until.saturating_duration_since(Instant::now())).unwrap().0;
        }
        let body = if since == Some(now.0) {
            format!("{{\"seq\":{},\"whole\":false,\"hosts\":[]}}", now.0)
        } else {
            format!("{{\"seq\":{},\"whole\":true,\"hosts\":{}}}", now.0, now.1)
        };
        drop(now);
        write_list(output, &body);
    }
}

/// The first line of an HTTP request, once its head has come.
fn read_head(stream: TcpStream) -> Option<String> {
    let mut input = BufReader::new(stream);
    let mut first = String::new();
    input.read_line(&mut first).ok()?;
    let mut line = String::new();
    while input.read_line(&mut line).is_ok_and(|n| n > 2) {
        line.clear();
    }
    Some(first)
}

fn query(first: &str, key: &str) -> Option<u64> {
    let at = first.find(&format!("{key}="))? + key.len() + 1;
    first[at..].split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
}

fn write_list(mut output: TcpStream, body: &str) {
    let _ = write!(
        output,
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
}

// ---- RESP ----

/// Reads a command, an array of bulk strings; `None` at the end of the stream.
pub fn read_command(input: &mut impl BufRead) -> Option<Vec<Vec<u8>>> {
    let count: usize = read_line(input)?.strip_prefix('*')?.parse().ok()?;
    let mut words = Vec::new();
    for _ in 0..count {
        let length: usize = read_line(input)?.strip_prefix('$')?.parse().ok()?;
        let mut word = vec![0; length + 2];
        input.read_exact(&mut word).ok()?;
        word.truncate(length);
        words.push(word);
    }
    Some(words)
}

fn read_line(input: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    match input.read_line(&mut line) {
        Ok(n) if n > 0 && line.ends_with("\r\n") => Some(line.trim_end().to_owned()),
        _ => None,
    }
}

pub fn text(word: &[u8]) -> String {
    String::from_utf8_lossy(word).into_owned()
}

/// The value of a field of the fourth word of a command.
pub fn field(words: &[Vec<u8>], name: &str) -> Option<String> {
    let fields = text(words.get(3)?);
    fields.split(',').find_map(|f| f.strip_prefix(&format!("{name}=")).map(str::to_owned))
}

/// A node's whole answer: the value, `hit`, no load report.
pub fn served(value: &[u8]) -> Vec<u8> {
    let mut bytes = format!("*3\r\n${}\r\n", value.len()).into_bytes();
    bytes.extend_from_slice(value);
    bytes.extend_from_slice(b"\r\n$3\r\nhit\r\n$-1\r\n");
    bytes
}

#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Simple(String),
    Error(String),
    Bulk(Option<Vec<u8>>),
    Array(Vec<Answer>),
    /// Bytes that are no RESP2.
    Unreadable(String),
    /// The connection ended, within an answer or before it.
    End(&'static str),
}

impl Answer {
    pub fn short(&self) -> String {
        match self {
            Answer::Simple(t) => format!("+{t}"),
            Answer::Error(t) => format!("-{t}"),
            Answer::Bulk(None) => "null".into(),
            Answer::Bulk(Some(b)) if b.len() <= 60 => format!("{:?}", text(b)),
            Answer::Bulk(Some(b)) => format!("{} bytes", b.len()),
            Answer::Array(all) => {
                format!("[{}]", all.iter().map(Answer::short).collect::<Vec<_>>().join(", "))
            }
            Answer::Unreadable(t) => format!("unreadable: {t:?}"),
            Answer::End(how) => format!("connection ended {how}"),
        }
    }

    /// The value or receipt, if this answer serves the request.
    pub fn value(&self) -> Option<&[u8]> {
        match self {
            Answer::Bulk(Some(b)) => Some(b),
            Answer::Array(all) => match all.first() {
                Some(Answer::Bulk(Some(b))) => Some(b),
                _ => None,
            },
            _ => None,
        }
    }
}

// ---- clients ----

pub struct Client {
    pub stream: TcpStream,
    input: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(at: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect_timeout(&at, ms(2000))?;
        stream.set_nodelay(true)?;
        Ok(Client { input: BufReader::new(stream.try_clone()?), stream })
    }

    pub fn from(stream: TcpStream) -> Client {
        let input = BufReader::new(stream.try_clone().unwrap_or_else(|e| cannot_run(e)));
        Client { input, stream }
    }

    pub fn to(at: SocketAddr) -> Client {
        Client::connect(at).unwrap_or_else(|e| cannot_run(format!("no connection to the proxy: {e}")))
    }

    pub fn send_words(&mut self, words: &[&str]) -> bool {
        self.stream.write_all(&encode(words)).is_ok()
    }

    /// All bytes that come until there are none for this long, or the connection ends.
    pub fn all_bytes(&mut self, quiet: Duration) -> Vec<u8> {
        let _ = self.stream.set_read_timeout(Some(quiet));
        let (mut all, mut buffer) = (Vec::new(), [0; 64 << 10]);
        while let Ok(n) = self.input.read(&mut buffer) {
            if n == 0 {
                break;
            }
            all.extend_from_slice(&buffer[..n]);
        }
        all
    }

    /// The next answer; `None` if it does not begin within this time.
    pub fn answer(&mut self, within: Duration) -> Option<Answer> {
        let _ = self.stream.set_read_timeout(Some(within));
        match self.input.fill_buf() {
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => return None,
            Err(_) => return Some(Answer::End("(reset)")),
            Ok([]) => return Some(Answer::End("")),
            Ok(_) => {}
        }
        let _ = self.stream.set_read_timeout(Some(Duration::from_secs(20)));
        Some(read_answer(&mut self.input))
    }
}

pub fn encode(words: &[&str]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        bytes.extend_from_slice(format!("${}\r\n{word}\r\n", word.len()).as_bytes());
    }
    bytes
}

fn read_answer(input: &mut BufReader<TcpStream>) -> Answer {
    let mut line = Vec::new();
    match input.read_until(b'\n', &mut line) {
        Ok(n) if n > 0 => {}
        _ => return Answer::End("within an answer"),
    }
    let line = text(&line).trim_end().to_owned();
    let unreadable = || Answer::Unreadable(line.chars().take(40).collect());
    let (kind, rest) = (line.chars().next().unwrap_or(' '), line.get(1..).unwrap_or(""));
    match kind {
        '+' => Answer::Simple(rest.to_owned()),
        '-' => Answer::Error(rest.to_owned()),
        '$' => match rest.parse::<i64>() {
            Ok(-1) => Answer::Bulk(None),
            Ok(n) if n >= 0 => {
                let mut bytes = vec![0; n as usize + 2];
                match input.read_exact(&mut bytes) {
                    Ok(()) if bytes.ends_with(b"\r\n") => {
                        bytes.truncate(n as usize);
                        Answer::Bulk(Some(bytes))
                    }
                    Ok(()) => Answer::Unreadable("a bulk string does not end where it should".into()),
                    Err(_) => Answer::End("within an answer"),
                }
            }
            _ => unreadable(),
        },
        '*' => match rest.parse::<i64>() {
            Ok(n) if (0..=16).contains(&n) => {
                let mut all = Vec::new();
                for _ in 0..n {
                    match read_answer(input) {
                        bad @ (Answer::Unreadable(_) | Answer::End(_)) => return bad,
                        good => all.push(good),
                    }
                }
                Answer::Array(all)
            }
            _ => unreadable(),
        },
        _ => unreadable(),
    }
}

// ---- cache nodes ----

/// A connection of a node: the node answers its commands in order.
pub struct NodeConn {
    pub stream: TcpStream,
    pub number: usize,
}

impl NodeConn {
    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Resets the connection: what was not read is lost.
    pub fn reset(&self) {
        set_linger_zero(&self.stream);
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn listen(fd: i32, backlog: i32) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn connect(fd: i32, address: *const u8, length: u32) -> i32;
}

/// Makes the close of a socket a reset.
pub fn set_linger_zero(stream: &TcpStream) {
    use std::os::fd::AsRawFd;
    // SOL_SOCKET is 1 and SO_LINGER is 13 on Linux; the value is on, and 0 seconds.
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, [1, 0].as_ptr(), 8) };
}

/// Sets the length of a listener's queue of connections.
pub fn set_queue(listener: &TcpListener, length: i32) {
    use std::os::fd::AsRawFd;
    if unsafe { listen(listener.as_raw_fd(), length) } != 0 {
        cannot_run(io::Error::last_os_error());
    }
}

/// A connection whose segments have the size of a usual network, not of the loopback, and with a small receive buffer.
pub fn connect_small(at: SocketAddr) -> Option<TcpStream> {
    use std::os::fd::FromRawFd;
    let SocketAddr::V4(at) = at else { return None };
    let mut name = [0u8; 16];
    // AF_INET and SOCK_STREAM are 2 and 1 on Linux.
    name[..2].copy_from_slice(&2u16.to_ne_bytes());
    name[2..4].copy_from_slice(&at.port().to_be_bytes());
    name[4..8].copy_from_slice(&at.ip().octets());
    unsafe {
        let fd = socket(2, 1, 0);
        if fd < 0 {
            return None;
        }
        let stream = TcpStream::from_raw_fd(fd);
        // SOL_SOCKET 1, SO_RCVBUF 8; IPPROTO_TCP 6, TCP_MAXSEG 2.
        setsockopt(fd, 1, 8, &8192, 4);
        setsockopt(fd, 6, 2, &1460, 4);
        (connect(fd, name.as_ptr(), 16) == 0).then_some(stream)
    }
}

/// Starts a node: `handle` is called for each CACHE command once its last byte has come; it returns false to close.
pub fn node<F>(handle: F) -> SocketAddr
where
    F: Fn(&mut NodeConn, Vec<Vec<u8>>) -> bool + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(e));
    let at = listener.local_addr().unwrap();
    serve_listener(listener, handle);
    at
}

/// The same, at a listener.
pub fn serve_listener<F>(listener: TcpListener, handle: F)
where
    F: Fn(&mut NodeConn, Vec<Vec<u8>>) -> bool + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            let handle = handle.clone();
            std::thread::spawn(move || serve_node(stream, number, &*handle));
        }
    });
}

pub fn serve_node<F>(stream: TcpStream, number: usize, handle: &F)
where
    F: Fn(&mut NodeConn, Vec<Vec<u8>>) -> bool,
{
    let _ = stream.set_nodelay(true);
    let Ok(input) = stream.try_clone() else { return };
    let mut input = BufReader::new(input);
    let mut conn = NodeConn { stream, number };
    while let Some(words) = read_command(&mut input) {
        let go_on = match text(&words[0]).to_ascii_uppercase().as_str() {
            "CACHE.GET" | "CACHE.SET" => handle(&mut conn, words),
            "PING" => conn.write(b"+PONG\r\n"),
            "CLIENT" | "SELECT" => conn.write(b"+OK\r\n"),
            _ => conn.write(b"-ERR unknown command\r\n"),
        };
        if !go_on {
            return;
        }
    }
}

/// Counts by key.
#[derive(Default)]
pub struct Counts(pub Mutex<HashMap<String, u32>>);

impl Counts {
    /// Adds one and returns the count so far.
    pub fn add(&self, key: &str) -> u32 {
        let mut all = self.0.lock().unwrap();
        let count = all.entry(key.to_owned()).or_default();
        *count += 1;
        *count
    }

    pub fn get(&self, key: &str) -> u32 {
        self.0.lock().unwrap().get(key).copied().unwrap_or(0)
    }
}

/// Ends the case: prints the verdict and exits with 1 if the rule was broken.
pub fn verdict(place: &Place, broken: bool, text: &str) -> ! {
    let word = if broken { "BROKEN" } else { "held" };
    place.record.note(format!("verdict: {word}: {text}"));
    println!("{word}: {text}");
    cleanup();
    std::process::exit(i32::from(broken))
}

/// Random numbers from a seed (xorshift).
pub struct Random(pub u64);

impl Random {
    /// From 0 up to 1.
    pub fn unit(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}

pub fn flag() -> Arc<AtomicBool> {
    Arc::new(AtomicBool::new(false))
}

pub fn is_set(flag: &AtomicBool) -> bool {
    flag.load(Ordering::SeqCst)
}

pub fn set(flag: &AtomicBool) {
    flag.store(true, Ordering::SeqCst)
}
