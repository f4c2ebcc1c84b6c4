//! What the stand-ins of all cases share: a clock, the record, RESP2, the start of a proxy by the command of the deploy
//! file, a discovery and a cache node. Standard library only.
#![allow(dead_code)]

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Sends a signal to a process that this test started.
pub fn signal(pid: u32, number: i32) {
    unsafe { kill(pid as i32, number) };
}

/// The record of a run: one line for each event, with the time since the start in milliseconds.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Record {
    pub fn new() -> Record {
        Record { start: Instant::now(), lines: Arc::default() }
    }

    pub fn ms(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1e3
    }

    pub fn add(&self, text: impl Into<String>) -> f64 {
        let at = self.ms();
        self.lines.lock().unwrap().push((at, text.into()));
        at
    }

    /// Writes the record to the file that `RECORD` names.
    pub fn save(&self) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let text: String = lines.iter().map(|(at, line)| format!("{at:10.3} {line}\n")).collect();
        std::fs::write(std::env::var("RECORD").expect("RECORD"), text).expect("the record is written");
    }
}

/// Whether the disruption takes place: not with `TROUBLE=0`.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Ends the test: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
pub fn finish(record: &Record, proxies: Vec<Proxy>, verdict: Result<Vec<String>, String>) -> ! {
    drop(proxies);
    let code = match &verdict {
        Err(reason) => {
            record.add(format!("the case could not run: {reason}"));
            2
        }
        Ok(broken) if broken.is_empty() => {
            record.add("the rule held");
            0
        }
        Ok(broken) => {
            broken.iter().for_each(|line| {
                record.add(format!("broken: {line}"));
            });
            1
        }
    };
    record.save();
    match verdict {
        Err(reason) => println!("could not run: {reason}"),
        Ok(broken) if broken.is_empty() => println!("the rule held"),
        Ok(broken) => {
            println!("the rule was broken {} times; the first: {}", broken.len(), broken[0])
        }
    }
    std::process::exit(code)
}

// ---- RESP2 ----

pub fn command(words: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        out.extend_from_slice(format!("${}\r\n", word.len()).as_bytes());
        out.extend_from_slice(word);
        out.extend_from_slice(b"\r\n");
    }
    out
}

pub fn get(key: &str, id: &str, class: &str, wait_ms: u64) -> Vec<u8> {
    let fields = format!("c={class},d={wait_ms}");
    command(&[b"CACHE.GET", key.as_bytes(), id.as_bytes(), fields.as_bytes()])
}

pub fn set(key: &str, id: &str, class: &str, wait_ms: u64, dedup: &str, value: &[u8]) -> Vec<u8> {
    let fields = format!("c={class},d={wait_ms},k={dedup}");
    command(&[b"CACHE.SET", key.as_bytes(), id.as_bytes(), fields.as_bytes(), value])
}

fn line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = Vec::new();
    reader.read_until(b'\n', &mut line).ok()?;
    if !line.ends_with(b"\r\n") {
        return None;
    }
    line.truncate(line.len() - 2);
    Some(String::from_utf8_lossy(&line).into_owned())
}

/// An answer; a bulk string that is null is `None`.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Line(String),
    Bulk(Option<Vec<u8>>),
    Array(Vec<Answer>),
}

impl Answer {
    /// The value, if the answer serves the request.
    pub fn value(&self) -> Option<&[u8]> {
        match self {
            Answer::Bulk(value) => value.as_deref(),
            Answer::Array(all) => all.first().and_then(Answer::value),
            Answer::Line(_) => None,
        }
    }

    pub fn text(&self) -> String {
        match self {
            Answer::Line(line) => line.clone(),
            served => match served.value() {
                Some(value) if value.len() <= 100 => String::from_utf8_lossy(value).into_owned(),
                Some(value) => format!("a value of {} bytes", value.len()),
                None => "null".into(),
            },
        }
    }
}

/// Reads a whole answer; `None` if the connection ends before.
pub fn answer(reader: &mut impl BufRead) -> Option<Answer> {
    let head = line(reader)?;
    let count = |text: &str| text.parse::<i64>().ok();
    match head.as_bytes().first()? {
        b'$' => match count(&head[1..])? {
            -1 => Some(Answer::Bulk(None)),
            n => {
                let mut bytes = vec![0; n as usize + 2];
                reader.read_exact(&mut bytes).ok()?;
                bytes.truncate(n as usize);
                Some(Answer::Bulk(Some(bytes)))
            }
        },
        b'*' => (0..count(&head[1..])?).map(|_| answer(reader)).collect::<Option<_>>().map(Answer::Array),
        _ => Some(Answer::Line(head)),
    }
}

/// A command as a cache node reads it.
pub struct Request {
    pub write: bool,
    pub key: String,
    pub id: String,
    pub fields: String,
    pub value: Vec<u8>,
}

impl Request {
    /// The value of a field.
    pub fn field(&self, name: &str) -> &str {
        let found = self.fields.split(',').filter_map(|f| f.split_once('=')).find(|(n, _)| *n == name);
        found.map_or("", |(_, value)| value)
    }
}

/// Reads a command; `None` at the end of the connection.
pub fn request(reader: &mut impl BufRead) -> Option<Request> {
    let Answer::Array(words) = answer(reader)? else { return None };
    let mut words = words.into_iter().map(|w| match w {
        Answer::Bulk(Some(bytes)) => bytes,
        _ => Vec::new(),
    });
    let mut text = || String::from_utf8_lossy(&words.next().unwrap_or_default()).into_owned();
    let (name, key, id, fields) = (text(), text(), text(), text());
    Some(Request { write: name == "CACHE.SET", key, id, fields, value: words.next().unwrap_or_default() })
}

/// What a cache node answers to a request: the value belongs to this request alone.
pub fn made_for(key: &str, id: &str) -> String {
    format!("{key}:{id}")
}

pub fn served(value: &[u8], note: &str) -> Vec<u8> {
    let mut out = format!("*3\r\n${}\r\n", value.len()).into_bytes();
    out.extend_from_slice(value);
    out.extend_from_slice(format!("\r\n${}\r\n{note}\r\n$-1\r\n", note.len()).as_bytes());
    out
}

// ---- discovery ----

/// One service that is asked: `GET /catalog/members`, whole or as a watch.
pub struct Discovery {
    pub address: SocketAddr,
    /// The list's version and its hosts as JSON.
    list: Arc<(Mutex<(u64, String)>, Condvar)>,
}

impl Discovery {
    pub fn start(hosts: String) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("an address for discovery");
        let address = listener.local_addr().unwrap();
        let list = Arc::new((Mutex::new((41, hosts)), Condvar::new()));
        let shared = list.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let list = shared.clone();
                std::thread::spawn(move || Discovery::serve(stream, &list));
            }
        });
        Discovery { address, list }
    }

    /// Gives the list another version, with these hosts.
    pub fn set(&self, hosts: String) {
        let mut list = self.list.0.lock().unwrap();
        *list = (list.0 + 1, hosts);
        self.list.1.notify_all();
    }

    fn serve(stream: TcpStream, list: &(Mutex<(u64, String)>, Condvar)) -> Option<()> {
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let first = line(&mut reader)?;
        while !line(&mut reader)?.is_empty() {}
        let number = |name: &str| {
            let at = first.find(name)? + name.len();
            first[at..].split(|c: char| !c.is_ascii_digit()).next()?.parse::<u64>().ok()
        };
        let (lock, changed) = list;
        let mut now = lock.lock().unwrap();
        let since = number("since=");
        if let Some(since) = since {
            let wait = Duration::from_millis(number("timeout_ms=").unwrap_or(0));
            now = changed.wait_timeout_while(now, wait, |list| list.0 <= since).unwrap().0;
        }
        let body = match since {
            Some(since) if now.0 <= since => format!("{{\"seq\":{},\"whole\":false,\"hosts\":[]}}", now.0),
            _ => format!("{{\"seq\":{},\"whole\":true,\"hosts\":[{}]}}", now.0, now.1),
        };
        drop(now);
        let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        (&stream).write_all(text.as_bytes()).ok()
    }
}

/// A cache node's entry in the list.
pub fn host(name: &str, address: SocketAddr, site: &str) -> String {
    format!(
        "{{\"host\":\"{name}\",\"dial\":\"{address}\",\"site\":\"{site}\",\"class\":\"standard\",\"block\":1,\
         \"health\":\"up\",\"share\":1.0,\"born_ms\":0}}"
    )
}

// ---- cache nodes ----

/// Starts a cache node: `serve` has each connection that it accepts, in a thread of its own.
pub fn node(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("an address for a cache node");
    let address = listener.local_addr().unwrap();
    let serve = Arc::new(serve);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream));
        }
    });
    address
}

/// Sets an option of a socket.
pub fn set_option(fd: i32, level: i32, name: i32, value: &[i32]) {
    extern "C" {
        fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    }
    unsafe { setsockopt(fd, level, name, value.as_ptr(), size_of_val(value) as u32) };
}

/// Closes a connection with a reset.
pub fn reset(stream: &TcpStream) {
    use std::os::fd::AsRawFd;
    // SO_LINGER (13) at SOL_SOCKET (1), on and 0 s: the close that follows is a reset.
    set_option(stream.as_raw_fd(), 1, 13, &[1, 0]);
}

// ---- the proxy ----

/// The settings of a small deployment: those of the site `gauteng-swap` but for these.
pub struct Settings {
    pub memory_mb: u64,
    pub sockets: u64,
    pub window_ms: u64,
    /// The data centre of the cache nodes; the proxy's is joburg.
    pub site: &'static str,
    /// The proxies of the deployment; the test starts one of them.
    pub proxies: u32,
    /// `caps.cancelling`.
    pub cancelling: bool,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            memory_mb: 64,
            sockets: 512,
            window_ms: 1_000,
            site: "joburg",
            proxies: 1,
            cancelling: true,
        }
    }
}

impl Settings {
    fn json(&self, index: u32) -> String {
        let (window, proxies) = (self.window_ms * 1_000_000, self.proxies);
        let caps = "\"caps\":{\"attempts_cap\":5,\"cancelling\":CANCELLING,\"conn_idle_ns\":5000000000,\
            \"connect_timeout_ns\":120000000,\"cpu_us_per_request\":0.0,\"cpu_us_per_s\":500000,\"max_open\":20000,\
            \"max_retry_after_ns\":1000000000,\"peer_messages\":false,\"probing\":true,\"retry_after\":true,\
            \"second_copies\":true,\"streams_per_conn\":32}"
            .replace("CANCELLING", if self.cancelling { "true" } else { "false" });
        let classes = format!(
            "\"categories\":[{{\"name\":\"pack-lookup\",\"deadline_ns\":750000000,\"promise_ns\":300000000,\
             \"effect\":\"safe\",\"group\":\"all\",\"dedup_window_ns\":5000000000,\"late_value\":0.0,\"stream\":false,\
             \"value\":1.0}},{{\"name\":\"swap-record\",\"deadline_ns\":1000000000,\"promise_ns\":500000000,\
             \"effect\":\"keyed\",\"group\":\"all\",\"dedup_window_ns\":{window},\"late_value\":0.0,\"stream\":false,\
             \"value\":5.0}}]"
        );
        let rules = "\"rules\":{\"answer_slack_ns\":20000000,\"cold_from\":0.15,\"cold_ns\":24000000000,\
            \"drain_grace_ns\":500000000,\"fall_multiple\":3.0,\"fall_ns\":1000000000,\"must_ask_in_ns\":10000000000}";
        format!(
            "{{{caps},{classes},{rules},\"client_habits\":{{\"marks_retry\":false}},\"customers\":[],\
             \"deductions\":{{\"cross_zone\":0.03,\"late_fail\":0.08,\"origin\":0.05,\"probe\":0.01,\"waste\":0.04}},\
             \"discovery\":\"subscribe\",\"family_info\":{{\"mode\":\"through\",\"origin_fall_multiple\":3.0,\
             \"origin_fall_ns\":3000000000,\"origin_kind\":-1}},\"kind_of_service\":\"cache\",\
             \"localities\":[\"joburg\",\"durban\",\"cape-town\"],\"machine_types\":[\"fast\",\"standard\",\"small\"],\
             \"n_instances\":{proxies},\"over_share_worth\":0.1,\"report\":{{\"columns\":[],\"source\":\"none\"}},\
             \"self_index\":{index},\"weights\":\"rough\",\"worth_by\":\"request\",\"zone\":0}}"
        )
    }
}

/// A proxy that was started by the deploy file's `run`. It is killed on drop.
pub struct Proxy {
    pub address: SocketAddr,
    pub child: Child,
    path: PathBuf,
    variables: [(&'static str, String); 5],
}

impl Proxy {
    /// Starts a proxy that knows these cache nodes, and waits until it answers `PING`.
    pub fn start(settings: &Settings, nodes: &[SocketAddr]) -> (Proxy, Discovery) {
        Proxy::start_as(0, settings, nodes)
    }

    /// The same for the proxy with this number.
    pub fn start_as(index: u32, settings: &Settings, nodes: &[SocketAddr]) -> (Proxy, Discovery) {
        let hosts: Vec<String> =
            nodes.iter().enumerate().map(|(i, at)| host(&format!("s-{i:08x}"), *at, settings.site)).collect();
        let hosts = hosts.join(",");
        let discovery = Discovery::start(hosts.clone());
        let folder = PathBuf::from(std::env::var("SCRATCH").expect("SCRATCH"));
        // A free port; the proxy binds it a moment later.
        let address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let seed =
            std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_nanos() as u64;
        let config = format!(
            "{{\"name\":\"n{index}\",\"listen\":\"{address}\",\"discovery\":\"{}\",\"seed\":\"{seed:016x}\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\
             \"known\":{{\"seq\":41,\"whole\":true,\"hosts\":[{hosts}]}},\"settings\":{}}}",
            discovery.address,
            settings.memory_mb,
            settings.sockets,
            settings.json(index)
        );
        let path = folder.join(format!("config-{index}.json"));
        std::fs::write(&path, config).expect("the configuration is written");
        let variables = [
            ("NODE_NAME", format!("n{index}")),
            ("NODE_LISTEN", address.to_string()),
            ("NODE_DISCOVERY", discovery.address.to_string()),
            ("NODE_CONFIG", path.display().to_string()),
            ("TMPDIR", folder.display().to_string()),
        ];
        let child = Proxy::launch(&variables);
        let proxy = Proxy { address, child, path, variables };
        // A test that hangs could not run.
        let id = proxy.child.id();
        std::thread::spawn(move || {
            sleep_ms(100_000);
            signal(id, SIGKILL);
            println!("could not run: not over within 100 s");
            std::process::exit(2)
        });
        let begun = Instant::now();
        while begun.elapsed() < Duration::from_secs(30) {
            if let Ok(mut stream) = TcpStream::connect(address) {
                let _ = stream.write_all(&command(&[b"PING"]));
                if line(&mut BufReader::new(&stream)).as_deref() == Some("+PONG") {
                    return (proxy, discovery);
                }
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        println!("could not run: the proxy is not ready within 30 s");
        drop(proxy);
        std::process::exit(2)
    }

    fn launch(variables: &[(&'static str, String)]) -> Child {
        Command::new("/bin/sh")
            .args(["-c", &std::env::var("RUN").expect("RUN")])
            .envs(variables.iter().cloned())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("the proxy starts")
    }

    /// Starts the process again, with the same configuration.
    pub fn start_again(&mut self) {
        self.child = Proxy::launch(&self.variables);
    }

    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).expect("the proxy accepts");
        let _ = stream.set_nodelay(true);
        stream
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.path);
    }
}

/// New ids, 16 hexadecimal digits each.
pub fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed))
}

/// The key of a battery pack.
pub fn pack(number: u64) -> String {
    format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// What is known of the requests, by id.
pub type Table<T> = Arc<Mutex<HashMap<String, T>>>;

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}
