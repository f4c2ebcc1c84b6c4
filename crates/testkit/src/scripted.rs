//! Runs the proxy's binary between a scripted client, scripted cache nodes and a scripted discovery, over loopback.
//! A test drives all of them from one thread and fails if an expected event does not occur within `PATIENCE`.

use crate::process::SystemCallFaults;
use crate::program;
use serde_json::{json, Value};
use std::io::{ErrorKind, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

/// Time limit for each event that a test waits for.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// Returns an address without a listener that is unique across tests and processes. It is computed rather than probed by
/// binding a port: a probe socket could be inherited by a program that another thread starts at the same time.
pub fn unused_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    address_of(std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Address `number` of a process: a loopback host derived from the process id, at a port below the kernel's ephemeral
/// range.
fn address_of(process: u32, number: u32) -> SocketAddr {
    let host = Ipv4Addr::new(127, 16 + (process >> 8) as u8 % 200, process as u8, (number % 254) as u8 + 1);
    let port = 10_000 + u16::try_from(number / 254 % 20_000).expect("below 20,000");
    SocketAddr::new(IpAddr::V4(host), port)
}

/// One or more listeners whose connections a test accepts one by one.
pub struct Server {
    /// Addresses of the listeners.
    pub addresses: Vec<SocketAddr>,
    accepted: Receiver<(usize, TcpStream)>,
}

impl Server {
    /// Starts a server with one listener on an ephemeral port.
    pub fn start() -> Server {
        Server::many(1)
    }

    /// Starts a server with `count` listeners on ephemeral ports.
    pub fn many(count: usize) -> Server {
        let listen = |_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a listener");
        Server::of((0..count).map(listen))
    }

    /// Starts a server on an existing listener.
    pub fn at(listener: TcpListener) -> Server {
        Server::of([listener])
    }

    fn of(listeners: impl IntoIterator<Item = TcpListener>) -> Server {
        let (sender, accepted) = channel();
        let listen = |(at, listener): (usize, TcpListener)| {
            let address = listener.local_addr().expect("an address");
            let sender = sender.clone();
            std::thread::spawn(move || {
                while let Ok((stream, _)) = listener.accept() {
                    if sender.send((at, stream)).is_err() {
                        return;
                    }
                }
            });
            address
        };
        Server { addresses: listeners.into_iter().enumerate().map(listen).collect(), accepted }
    }

    /// Waits for the next connection.
    pub fn accept(&self) -> Peer {
        let (at, stream) = self.accepted.recv_timeout(PATIENCE).expect("a connection");
        Peer { at, ..Peer::new(stream) }
    }

    /// Waits for the next command on any of `peers` or on a new connection, which is appended to them. Returns the
    /// index of the connection and the command.
    pub fn any(&self, peers: &mut Vec<Peer>) -> (usize, Vec<String>) {
        let begun = Instant::now();
        while begun.elapsed() < PATIENCE {
            if let Some(command) = self.soon(peers) {
                return command;
            }
        }
        panic!("no command received within {PATIENCE:?}");
    }

    /// Like [`Server::any`], but polls each connection only once.
    pub fn soon(&self, peers: &mut Vec<Peer>) -> Option<(usize, Vec<String>)> {
        if let Ok((at, stream)) = self.accepted.try_recv() {
            peers.push(Peer { at, ..Peer::new(stream) });
        }
        let i = peers.iter_mut().position(|peer| peer.has_input())?;
        Some((i, peers[i].command()))
    }

    /// Returns true if no connection is waiting to be accepted.
    pub fn is_untouched(&self) -> bool {
        self.accepted.try_recv().is_err()
    }

    /// Waits for the next connection and for the first command on it.
    pub fn command(&self) -> (Peer, Vec<String>) {
        let mut peer = self.accept();
        let command = peer.command();
        (peer, command)
    }
}

/// One end of a connection, with its input buffer.
pub struct Peer {
    /// The socket.
    pub stream: TcpStream,
    /// Index of the server's listener that accepted the connection.
    pub at: usize,
    input: Vec<u8>,
}

impl Peer {
    fn new(stream: TcpStream) -> Peer {
        stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        stream.set_write_timeout(Some(PATIENCE)).expect("a time-out");
        stream.set_nodelay(true).expect("no delay");
        Peer { stream, at: 0, input: Vec::new() }
    }

    /// Connects; panics if the connection is refused or reset.
    pub fn connect(address: SocketAddr) -> Peer {
        Peer::reaches(address).expect("connected")
    }

    /// Connects; returns `None` if the connection is refused or reset, as a server that is down may do while it is being
    /// established.
    pub fn reaches(address: SocketAddr) -> Option<Peer> {
        match TcpStream::connect(address) {
            Ok(stream) => Some(Peer::new(stream)),
            Err(e) if matches!(e.kind(), ErrorKind::ConnectionReset | ErrorKind::ConnectionRefused) => None,
            Err(e) => panic!("cannot connect to {address}: {e}"),
        }
    }

    /// Writes all bytes; panics if the other end has closed.
    pub fn send(&mut self, bytes: impl AsRef<[u8]>) {
        assert!(self.offers(bytes), "connection closed before all bytes were written");
    }

    /// Writes all bytes; returns false if the other end has closed, which it may do at any moment.
    pub fn offers(&mut self, bytes: impl AsRef<[u8]>) -> bool {
        match self.stream.write_all(bytes.as_ref()) {
            Ok(()) => true,
            Err(e) if matches!(e.kind(), ErrorKind::ConnectionReset | ErrorKind::BrokenPipe) => false,
            Err(e) => panic!("cannot write to the connection: {e}"),
        }
    }

    /// Returns true if input is buffered or arrives within 1 ms.
    pub fn has_input(&mut self) -> bool {
        self.has_input_within(Duration::from_millis(1))
    }

    /// Returns true if input is buffered or arrives within this time.
    pub fn has_input_within(&mut self, timeout: Duration) -> bool {
        self.stream.set_read_timeout(Some(timeout)).expect("a time-out");
        let arrived = self.stream.peek(&mut [0]).is_ok_and(|n| n > 0);
        self.stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        arrived || !self.input.is_empty()
    }

    /// Reads more input into the buffer; returns false at the end of the connection.
    fn read_more(&mut self) -> bool {
        let mut buffer = [0; 64 << 10];
        match self.stream.read(&mut buffer) {
            Ok(0) => false,
            Ok(n) => {
                self.input.extend_from_slice(&buffer[..n]);
                true
            }
            Err(e) if e.kind() == ErrorKind::ConnectionReset => false,
            Err(e) => panic!("cannot read from the connection: {e}"),
        }
    }

    /// Waits for the next `length` bytes.
    pub fn take(&mut self, length: usize) -> Vec<u8> {
        while self.input.len() < length {
            assert!(self.read_more(), "connection closed after {:?}", String::from_utf8_lossy(&self.input));
        }
        self.input.drain(..length).collect()
    }

    /// Waits for the next line; returns it without CRLF.
    pub fn line(&mut self) -> String {
        loop {
            if let Some(at) = self.input.windows(2).position(|w| w == b"\r\n") {
                let line = self.take(at + 2);
                return String::from_utf8_lossy(&line[..at]).into_owned();
            }
            assert!(self.read_more(), "connection closed after {:?}", String::from_utf8_lossy(&self.input));
        }
    }

    fn read_bulk_string(&mut self) -> String {
        let head = self.line();
        let Some(length) = head.strip_prefix('$').and_then(|n| n.parse::<i64>().ok()) else { return head };
        let Ok(length) = usize::try_from(length) else { return head };
        let body = self.take(length + 2);
        String::from_utf8_lossy(&body[..length]).into_owned()
    }

    /// Waits for the next command or array; a line of another type is returned as its only element.
    pub fn command(&mut self) -> Vec<String> {
        let head = self.line();
        let Some(count) = head.strip_prefix('*') else { return vec![head] };
        (0..count.parse().expect("a count")).map(|_| self.read_bulk_string()).collect()
    }

    /// Reads once and returns all buffered bytes; empty at the end of the connection.
    pub fn take_some(&mut self) -> Vec<u8> {
        self.read_more();
        std::mem::take(&mut self.input)
    }

    /// Returns all bytes up to the end of the connection.
    pub fn rest(&mut self) -> Vec<u8> {
        while self.read_more() {}
        std::mem::take(&mut self.input)
    }

    /// Returns all bytes up to the end or the reset of the connection, or until nothing comes for a while.
    pub fn rest_until_reset(&mut self) -> Vec<u8> {
        let mut bytes = std::mem::take(&mut self.input);
        let _ = self.stream.read_to_end(&mut bytes);
        bytes
    }

    /// Waits for input and discards it; returns false at the end of the connection.
    pub fn stream_is_open(&mut self) -> bool {
        let open = self.read_more();
        self.input.clear();
        open
    }

    /// Closes the connection with a reset.
    pub fn reset(self) {
        let socket = socket2::SockRef::from(&self.stream);
        socket.set_linger(Some(Duration::ZERO)).expect("linger");
    }

    /// Sends a `CACHE.GET` of a key with a deadline of `wait_ms`.
    pub fn get(&mut self, key: u64, class: &str, wait_ms: u64) {
        let fields = format!("c={class},d={wait_ms}");
        self.send(encode(&["CACHE.GET", &format!("{key:016x}"), &next_request_id(), &fields]));
    }

    /// Sends a `CACHE.SET` of a key with a deadline of `wait_ms` and a fixed idempotency key.
    pub fn set(&mut self, key: u64, class: &str, wait_ms: u64, value: &str) {
        let fields = format!("c={class},d={wait_ms},k=5c0f");
        self.send(encode(&["CACHE.SET", &format!("{key:016x}"), &next_request_id(), &fields, value]));
    }

    /// Answers a discovery request on this connection with a list.
    pub fn list(&mut self, list: &Value) {
        self.send(http(&list.to_string()));
    }

    /// Waits for the next HTTP request; returns its target.
    pub fn request(&mut self) -> String {
        let first = self.line();
        while !self.line().is_empty() {}
        first.split(' ').nth(1).expect("a target").to_owned()
    }
}

/// Connects with a small receive buffer and segments as on an Ethernet, so that the kernel holds little for the connection: over
/// the loopback device it would hold megabytes.
pub fn connect_with_small_buffers(address: SocketAddr) -> TcpStream {
    const RECEIVE_BUFFER_BYTES: usize = 8 << 10;
    const SEGMENT_BYTES: u32 = 1_460;
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("a receive buffer");
    socket.set_tcp_mss(SEGMENT_BYTES).expect("a segment size");
    socket.connect(&address.into()).expect("connected");
    socket.into()
}

/// Returns an address whose accept backlog is full: connections to it stay pending while the returned sockets are held.
pub fn full_backlog() -> (SocketAddr, Vec<socket2::Socket>) {
    let socket =
        || socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    let full = socket();
    full.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("bound");
    full.listen(0).expect("listens");
    let at = full.local_addr().expect("an address").as_socket().expect("ip");
    let mut held = vec![full];
    for _ in 0..4 {
        let pending = socket();
        pending.set_nonblocking(true).expect("non-blocking mode");
        let _ = pending.connect(&at.into());
        held.push(pending);
    }
    (at, held)
}

/// Returns a unique request id.
fn next_request_id() -> String {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Encodes a command as a RESP array of bulk strings.
pub fn encode(args: &[&str]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", args.len());
    args.iter().for_each(|a| out.push_str(&format!("${}\r\n{a}\r\n", a.len())));
    out.into_bytes()
}

/// An HTTP response with status 200 and this body.
pub fn http(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// A cache node's reply to a write.
pub const RECEIPT: &str = "*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n";

/// A cache node's reply to a read that hit.
pub fn hit(value: &str) -> Vec<u8> {
    format!("*3\r\n${}\r\n{value}\r\n$3\r\nhit\r\n$-1\r\n", value.len()).into_bytes()
}

/// A host entry in the format of discovery.
pub fn host(name: &str, address: SocketAddr, health: &str) -> Value {
    json!({"host": name, "dial": address.to_string(), "site": "a", "class": "m1", "block": 0, "health": health,
        "share": 1.0, "born_ms": 0})
}

/// A host list in the format of discovery; `whole` is false for a list of changes.
pub fn list(version: u64, whole: bool, hosts: &[Value]) -> Value {
    json!({"seq": version, "whole": whole, "hosts": hosts})
}

/// A running proxy with a fixed list of cache nodes. Its request classes: `read` is safe, `put` keyed at all nodes,
/// `once` unsafe. The process is killed on drop.
pub struct Proxy {
    /// Address for clients.
    pub address: SocketAddr,
    /// The process.
    pub child: Child,
    path: PathBuf,
    faults: Option<SystemCallFaults>,
}

/// Returns a configuration with these cache nodes and a unique listen address.
pub fn config(nodes: &[SocketAddr]) -> Value {
    let hosts: Vec<Value> = (0..).zip(nodes).map(|(i, a)| host(&format!("s-{i}"), *a, "up")).collect();
    let class = |name: &str, effect: &str| {
        json!({"name": name, "promise_ns": 20_000_000_000u64, "deadline_ns": 20_000_000_000u64, "effect": effect,
            "group": "all", "dedup_window_ns": 5_000_000_000u64, "value": 1.0, "late_value": 0.0, "stream": false})
    };
    json!({
        "name": "n0", "listen": unused_address().to_string(), "discovery": "127.0.0.1:1",
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 1024},
        "known": list(41, true, &hosts),
        "settings": {
            "n_instances": 1, "self_index": 0, "zone": 0, "localities": ["a"], "machine_types": ["m1"],
            "categories": [class("read", "safe"), class("put", "keyed"), class("once", "unsafe")],
            "caps": {"attempts_cap": 3, "cancelling": true, "second_copies": true, "max_open": 1000,
                "streams_per_conn": 32, "conn_idle_ns": 60_000_000_000u64,
                "connect_timeout_ns": 15_000_000_000u64, "max_retry_after_ns": 1_000_000_000u64},
            "rules": {"cold_from": 0.2, "cold_ns": 0, "fall_multiple": 3.0, "fall_ns": 1_000_000_000u64,
                "drain_grace_ns": 500_000_000u64, "must_ask_in_ns": 10_000_000_000u64},
            "discovery": "automatic", "family_info": {"mode": "through", "origin_kind": -1},
            "report": {"columns": []}, "worth_by": "request",
        },
    })
}

/// Starts the proxy's binary with a configuration.
pub fn launch(config: &str) -> Child {
    launch_command(Command::new(program("trestlesill")), config).0
}

/// Returns a unique path in the temporary directory.
pub fn scratch(name: &str) -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!("trestle-{}-{number}-{name}", std::process::id()))
}

fn launch_command(mut program: Command, config: &str) -> (Child, PathBuf) {
    let path = scratch("config.json");
    std::fs::write(&path, config).expect("the configuration is written");
    program.env("NODE_CONFIG", &path).env_remove("NODE_LISTEN").env_remove("NODE_DISCOVERY");
    program.env_remove("NODE_ADMIN_ADDR");
    (crate::spawn(program.stderr(Stdio::piped())).expect("the proxy starts"), path)
}

impl Proxy {
    /// Starts a proxy with these cache nodes.
    pub fn start(nodes: &Server) -> Proxy {
        Proxy::with(nodes, |_| {})
    }

    /// Starts a proxy with these cache nodes and a configuration changed by `edit`.
    pub fn with(nodes: &Server, edit: impl FnOnce(&mut Value)) -> Proxy {
        let mut config = config(&nodes.addresses);
        edit(&mut config);
        Proxy::by(Command::new(program("trestlesill")), config)
    }

    /// Starts a proxy whose file descriptors are limited by `ulimit`, independent of its configuration.
    pub fn starved(nodes: &Server, descriptors: u32) -> Proxy {
        let mut shell = Command::new("/bin/sh");
        let program = format!("ulimit -n {descriptors}; exec {}", program("trestlesill").display());
        shell.args(["-c", &program]);
        Proxy::by(shell, config(&nodes.addresses))
    }

    /// Starts a proxy with these cache nodes, an operator's file and a configuration changed by `edit`.
    pub fn operated(nodes: &Server, operator: &str, edit: impl FnOnce(&mut Value)) -> Proxy {
        let mut config = config(&nodes.addresses);
        edit(&mut config);
        let file = scratch("operator.toml");
        std::fs::write(&file, operator).expect("the operator's file is written");
        let mut command = Command::new(program("trestlesill"));
        command.arg("--operator").arg(&file);
        Proxy::by(command, config)
    }

    /// Starts a proxy that inherits a listening socket, as descriptor 5, with a configuration changed by `edit`. Several
    /// processes may have the same socket.
    pub fn on_socket(socket: &TcpListener, nodes: &Server, edit: impl FnOnce(&mut Value)) -> Proxy {
        let mut config = config(&nodes.addresses);
        config["listen"] = json!(socket.local_addr().expect("an address").to_string());
        edit(&mut config);
        let mut shell = Command::new("/bin/sh");
        let line = format!("exec 5<&0 0</dev/null; exec {}", program("trestlesill").display());
        let inherited = OwnedFd::from(socket.try_clone().expect("a second descriptor"));
        shell.args(["-c", &line]).stdin(Stdio::from(inherited));
        // The descriptor comes by the environment, since the file is the same for all processes.
        shell.env("NODE_LISTEN_FD", "5");
        Proxy::by(shell, config)
    }

    /// Connects a client that this proxy accepts, while `other` listens on the same socket.
    pub fn client_beside(&self, other: &Proxy) -> Peer {
        other.signal("-STOP");
        let mut client = self.client();
        client.send(encode(&["PING"]));
        assert_eq!(client.line(), "+PONG");
        other.signal("-CONT");
        client
    }

    /// Kills the proxy and starts it again with the same arguments and configuration, and the same faults. Returns the log of the
    /// process that was killed.
    pub fn kill_and_start(&mut self) -> String {
        let args: Vec<_> =
            std::fs::read(format!("/proc/{}/cmdline", self.child.id())).expect("a command line");
        let args: Vec<String> =
            args.split(|b| *b == 0).map(|a| String::from_utf8_lossy(a).into_owned()).collect();
        self.child.kill().expect("killed");
        self.wait();
        let mut log = String::new();
        if let Some(mut output) = self.child.stderr.take() {
            output.read_to_string(&mut log).expect("a log");
        }
        let mut command = Command::new(&args[0]);
        command.args(args[1..].iter().filter(|a| !a.is_empty())).env("NODE_CONFIG", &self.path);
        self.faults.iter().for_each(|faults| faults.apply(&mut command));
        self.child = crate::spawn(command.stderr(Stdio::piped())).expect("the proxy starts");
        log
    }

    /// Starts a proxy whose system calls have faults, by the rules of the package `syscall-faults`; `LISTEN` in them stands for
    /// its port for clients. Waits until it listens, and does not connect meanwhile.
    pub fn faulty(nodes: &Server, rules: &str, seed: u64, edit: impl FnOnce(&mut Value)) -> Proxy {
        let mut config = config(&nodes.addresses);
        edit(&mut config);
        Proxy::faulty_with(config, rules, seed)
    }

    /// The same with a whole configuration.
    pub fn faulty_with(config: Value, rules: &str, seed: u64) -> Proxy {
        let address: SocketAddr = config["listen"].as_str().and_then(|a| a.parse().ok()).expect("an address");
        let mut command = Command::new(program("trestlesill"));
        let rules = rules.replace("LISTEN", &address.port().to_string());
        let faults = SystemCallFaults { rules, seed };
        faults.apply(&mut command);
        let mut proxy = Proxy::by(command, config);
        proxy.faults = Some(faults);
        let maps =
            std::fs::read_to_string(format!("/proc/{}/maps", proxy.child.id())).expect("its memory map");
        assert!(maps.contains("libsyscall_faults"), "the library with the faults is not loaded");
        proxy
    }

    /// Returns the text of the configuration file.
    pub fn text(&self) -> String {
        std::fs::read_to_string(&self.path).expect("a configuration")
    }

    /// Starts a proxy through this command with this configuration and waits until it answers.
    pub fn by(program: Command, config: Value) -> Proxy {
        let address = config["listen"].as_str().and_then(|a| a.parse().ok()).expect("an address");
        let (child, path) = launch_command(program, &config.to_string());
        let mut proxy = Proxy { address, child, path, faults: None };
        let begun = Instant::now();
        while !crate::process::answers(address) {
            let ended = proxy.child.try_wait().expect("a child");
            assert!(ended.is_none(), "the proxy exited before it listened: {}", proxy.log());
            assert!(begun.elapsed() < PATIENCE, "the proxy does not listen at {address} within {PATIENCE:?}");
            std::thread::sleep(Duration::from_millis(2));
        }
        proxy
    }

    /// Kills the proxy and returns its log.
    pub fn log(mut self) -> String {
        let _ = self.child.kill();
        let mut text = String::new();
        if let Some(log) = &mut self.child.stderr {
            log.read_to_string(&mut text).expect("a log");
        }
        text
    }

    /// Connects a new client.
    pub fn client(&self) -> Peer {
        Peer::connect(self.address)
    }

    /// Sends the process a signal, as an option of `kill` (`-TERM`).
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().expect("kill runs").success());
    }

    /// Replaces the configuration file atomically and triggers a reload by SIGHUP.
    pub fn reload(&self, config: &str) {
        let new = self.path.with_extension("new");
        std::fs::write(&new, config).expect("the configuration is written");
        std::fs::rename(&new, &self.path).expect("the configuration is replaced");
        self.signal("-HUP");
    }

    /// Waits until the process exits.
    pub fn wait(&mut self) -> ExitStatus {
        let begun = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("waited") {
                return status;
            }
            assert!(begun.elapsed() < PATIENCE, "the proxy does not exit within {PATIENCE:?}");
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// Reads a field of `/proc/PID/status`; sizes are in kB.
    pub fn status(&self, field: &str) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("a status");
        let line = text.lines().find_map(|l| l.strip_prefix(field)).expect("the field");
        line.trim_start_matches(':').split_whitespace().next().and_then(|n| n.parse().ok()).expect("a number")
    }

    /// Asserts that the proxy still answers `PING`.
    pub fn assert_serving(&self) {
        let mut client = self.client();
        client.send(encode(&["PING"]));
        assert_eq!(client.line(), "+PONG");
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Changes a configuration so that the proxy subscribes to this discovery.
pub fn subscribed(config: &mut Value, discovery: &Server) {
    config["discovery"] = json!(discovery.addresses[0].to_string());
    config["settings"]["discovery"] = json!("subscribe");
}

/// Answers each command on a connection, with one write for all commands of one read. Returns, and so closes the
/// connection, when `answer` returns `None`.
pub fn answer_all(
    mut stream: impl std::io::Read + std::io::Write,
    mut answer: impl FnMut(&resp::Command) -> Option<Vec<u8>>,
) {
    let (mut parser, mut buffer) =
        (resp::CommandParser::new(resp::MemoryBudget::new(1 << 20)), vec![0; 64 << 10]);
    while let Ok(n @ 1..) = stream.read(&mut buffer) {
        let (mut piece, mut out) = (&buffer[..n], Vec::new());
        while let (false, Ok((used, command))) = (piece.is_empty(), parser.feed(piece)) {
            piece = &piece[used..];
            let Some(command) = command else { continue };
            let Some(bytes) = answer(&command) else { return };
            out.extend(bytes);
        }
        if stream.write_all(&out).is_err() {
            return;
        }
    }
}

/// Starts a server with a thread per connection; a connection is reset when `answer` returns `None`.
pub fn answering(answer: impl Fn(&resp::Command) -> Option<Vec<u8>> + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a listener");
    let address = listener.local_addr().expect("an address");
    let answer = std::sync::Arc::new(answer);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                answer_all(&stream, |c| {
                    let bytes = answer(c);
                    if bytes.is_none() {
                        let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                    }
                    bytes
                });
            });
        }
    });
    address
}

/// A cache node's reply to a read of a key that it holds.
pub fn cached(command: &resp::Command) -> Vec<u8> {
    hit(&format!("{}:1", String::from_utf8_lossy(command.arg(1))))
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::HashSet;

    #[test]
    fn addresses_are_unique_and_outside_the_ephemeral_port_range() {
        let given: HashSet<SocketAddr> = (0..100_000).map(|n| address_of(4_235, n)).collect();
        assert_eq!(given.len(), 100_000);
        assert!(given.iter().all(|a| a.ip().is_loopback() && (1_024..32_768).contains(&a.port())));
        let other: HashSet<SocketAddr> = (0..1_000).map(|n| address_of(4_236, n)).collect();
        assert!(given.is_disjoint(&other));
    }
}
