//! CPU cost of RESP3 in a proxy, and service of boxes and clients with mixed protocols. Takes minutes, prints
//! measurements, and fails if an invariant is violated:
//!
//! ```sh
//! cargo build --release && cargo bench -p trestlesill --bench resp3 [-- cost world]
//! ```
//!
//! With `OLD_TRESTLESILL` naming the binary of another version, `cost` measures that one as well, in RESP2.

use resp::{CommandParser, MemoryBudget, Protocol};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use testkit::process::{Folder, Instance};
use testkit::scripted::{config, encode, unused_address, PATIENCE};
use testkit::world::{End, Load, Script, Speech, Target, World, WorldConfig};

const RUNS: usize = 3;
/// Length of a measured slice of a case of `cost`, and the number of slices.
const SLICE: Duration = Duration::from_millis(150);
const SLICES: usize = 25;
/// Clients of `cost`: few, so that they do not compete with the proxy for its core.
const CLIENTS: usize = 3;
const RESP3_ENABLED: &str = "version = 1\nboxes.resp3 = true";

// ---- CPU cost per request ----

/// Starts a box that answers at once, in RESP3 after a HELLO.
fn start_box() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a listener");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || answer_all(stream));
        }
    });
    address
}

fn answer_all(mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let (mut parser, mut buffer, mut null) =
        (CommandParser::new(MemoryBudget::new(1 << 20)), [0; 16 << 10], "$-1");
    let value = "v".repeat(100);
    while let Ok(n @ 1..) = stream.read(&mut buffer) {
        let (mut piece, mut out) = (&buffer[..n], String::new());
        while let (false, Ok((used, command))) = (piece.is_empty(), parser.feed(piece)) {
            piece = &piece[used..];
            match command {
                Some(c) if c.arg(0) == b"HELLO" => {
                    null = "_";
                    out.push_str("%1\r\n+proto\r\n:3\r\n");
                }
                Some(_) => out.push_str(&format!("*3\r\n$100\r\n{value}\r\n$3\r\nhit\r\n{null}\r\n")),
                None => {}
            }
        }
        if stream.write_all(out.as_bytes()).is_err() {
            return;
        }
    }
}

/// Sends one request after the other while `turn` is set, until the process exits.
fn send_requests(
    address: SocketAddr,
    number: usize,
    protocol: Protocol,
    turn: &AtomicBool,
    count: &AtomicU64,
) {
    let mut stream = TcpStream::connect(address).expect("connected");
    let _ = stream.set_nodelay(true);
    let mut buffer = [0; 4096];
    if protocol == Protocol::Three {
        stream.write_all(&encode(&["HELLO", "3"])).expect("written");
        let mut seen = Vec::new();
        while !seen.ends_with(b"modules\r\n*0\r\n") {
            let n = stream.read(&mut buffer).expect("an answer");
            seen.extend_from_slice(&buffer[..n]);
        }
    }
    let end: &[u8] = if protocol == Protocol::Three { b"hit\r\n_\r\n" } else { b"hit\r\n$-1\r\n" };
    let mut asked = 0u64;
    loop {
        if !turn.load(Ordering::Relaxed) {
            // Polling costs the proxies no more than a notification would.
            std::thread::sleep(Duration::from_millis(2));
            continue;
        }
        asked += 1;
        let (key, id) = (format!("{:016x}", asked % 500), format!("{number:x}-{asked:x}"));
        stream.write_all(&encode(&["CACHE.GET", &key, &id, "c=read,d=9000"])).expect("written");
        let mut seen = 0;
        while seen < 9 || !buffer[..seen].ends_with(end) {
            let n = stream.read(&mut buffer[seen..]).expect("an answer");
            assert!(n > 0, "closed");
            seen += n;
            assert_ne!(buffer[0], b'-', "{}", String::from_utf8_lossy(&buffer[..seen]));
        }
        count.fetch_add(1, Ordering::Relaxed);
    }
}

/// Returns the CPU time of a process in nanoseconds.
fn cpu_time_ns(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/schedstat")).expect("it runs");
    text.split(' ').next().and_then(|n| n.parse().ok()).expect("a number")
}

/// A proxy with its boxes, and clients that send requests while `turn` is set.
struct Case {
    proxy: Instance,
    turn: Arc<AtomicBool>,
    count: Arc<AtomicU64>,
    _folder: Folder,
}

impl Case {
    fn new(program: &std::path::Path, client: Protocol, operator: Option<&str>) -> Case {
        Case::with(program, client, operator, 1)
    }

    /// Like `new`, with `dials` healthy addresses per box.
    fn with(program: &std::path::Path, client: Protocol, operator: Option<&str>, dials: usize) -> Case {
        let boxes: Vec<SocketAddr> = (0..4).map(|_| start_box()).collect();
        let mut proxy_config = config(&boxes);
        if dials > 1 {
            for (host, first) in
                proxy_config["known"]["hosts"].as_array_mut().into_iter().flatten().zip(&boxes)
            {
                let all = std::iter::once(*first).chain((1..dials).map(|_| start_box()));
                host["dials"] = all.map(|a| a.to_string()).collect();
            }
        }
        let folder = Folder::new("cost").expect("a folder");
        let mut proxy = Instance::start(program, &folder.0, &proxy_config, operator).expect("started");
        proxy.ready(PATIENCE).expect("ready");
        let (turn, count) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        for number in 0..CLIENTS {
            let (turn, count, address) = (turn.clone(), count.clone(), proxy.address);
            std::thread::spawn(move || send_requests(address, number, client, &turn, &count));
        }
        Case { proxy, turn, count, _folder: folder }
    }

    /// Measures one slice and returns the CPU time of the proxy per request in microseconds.
    fn slice(&self) -> f64 {
        self.turn.store(true, Ordering::Relaxed);
        std::thread::sleep(SLICE / 10);
        let before = (cpu_time_ns(self.proxy.child.id()), self.count.load(Ordering::Relaxed));
        std::thread::sleep(SLICE);
        let after = (cpu_time_ns(self.proxy.child.id()), self.count.load(Ordering::Relaxed));
        self.turn.store(false, Ordering::Relaxed);
        std::thread::sleep(SLICE / 10);
        (after.0 - before.0) as f64 / (after.1 - before.1) as f64 / 1e3
    }
}

/// Each run alternates between the cases, slice by slice, and compares their medians, so that other load on the machine
/// affects all cases alike.
fn cost() {
    println!(
        "cost: {CLIENTS} clients, 4 boxes, values of 100 bytes; microseconds of the proxy's core a request"
    );
    let new = testkit::program("trestlesill");
    let old = std::env::var_os("OLD_TRESTLESILL").map(PathBuf::from);
    for run in 0..RUNS {
        let mut cases = vec![
            ("RESP2", Case::new(&new, Protocol::Two, None)),
            ("RESP3 client", Case::new(&new, Protocol::Three, None)),
            ("RESP3 box", Case::new(&new, Protocol::Two, Some(RESP3_ENABLED))),
            ("RESP3 both", Case::new(&new, Protocol::Three, Some(RESP3_ENABLED))),
            ("three addresses", Case::with(&new, Protocol::Two, None, 3)),
            ("RESP2 again", Case::new(&new, Protocol::Two, None)),
        ];
        cases.extend(old.iter().map(|old| ("old RESP2", Case::new(old, Protocol::Two, None))));
        let mut slices = vec![Vec::new(); cases.len()];
        for _ in 0..SLICES {
            for ((_, case), slices) in cases.iter().zip(&mut slices) {
                slices.push(case.slice());
            }
        }
        let median = |all: &mut Vec<f64>| {
            all.sort_by(f64::total_cmp);
            all[all.len() / 2]
        };
        let medians: Vec<f64> = slices.iter_mut().map(median).collect();
        let medians_text =
            cases.iter().zip(&medians).map(|((name, _), m)| format!("{name} {m:.2} ({:.2})", m / medians[0]));
        println!("  run {run}: {}", medians_text.collect::<Vec<_>>().join(", "));
        // Clients must stop before their proxy does.
        cases.iter().for_each(|(_, c)| c.turn.store(false, Ordering::Relaxed));
    }
}

// ---- service with mixed protocols ----

/// Returns the served fraction and the 99th percentile of the latency in milliseconds.
fn world_of(seed: u64, mixed: bool) -> (f64, f64) {
    let mut config = WorldConfig::new(seed, 12, 3);
    if mixed {
        for (one, speech) in
            config.boxes.iter_mut().zip([Speech::Three, Speech::Two, Speech::Closes].into_iter().cycle())
        {
            (one.speech, one.pushes) = (speech, 0.1);
        }
    }
    let world = World::start(config);
    let folder = Folder::new("world").expect("a folder");
    let start = |i| {
        let config = world.proxy_config(i, unused_address());
        let operator = mixed.then_some(RESP3_ENABLED);
        let program = testkit::program("trestlesill");
        let mut proxy = Instance::start(&program, &folder.0, &config, operator).expect("started");
        proxy.ready(PATIENCE).expect("ready");
        proxy
    };
    let proxies: Vec<Instance> = (0..3).map(start).collect();
    let front = proxies.iter().enumerate().map(|(proxy, p)| Target::new(proxy, p.address)).collect();
    let span = Duration::from_secs(12);
    world.play(Script::random(seed, 8, 12, 3, span));
    let mut load = Load::new(300.0, front);
    load.three = if mixed { 0.5 } else { 0.0 };
    let load = world.load(load);
    std::thread::sleep(span);
    let record = load.finish();
    assert_eq!(world.broken(&load, proxies.len(), &[]), []);
    let mut times: Vec<f64> = record
        .iter()
        .filter(|a| a.end == End::Served)
        .map(|a| (a.ended - a.sent).as_secs_f64() * 1e3)
        .collect();
    times.sort_by(f64::total_cmp);
    (times.len() as f64 / record.len() as f64, times[times.len() * 99 / 100])
}

fn world() {
    println!("world: 12 boxes, 3 proxies, 300 requests a second for 12 s, 8 random faults; nothing lost, doubled, wrong");
    for seed in [61, 62, 63] {
        let (two, mixed) = (world_of(seed, false), world_of(seed, true));
        println!(
            "  seed {seed}: served RESP2 {:.3}, mixed {:.3} ({:.3}); slowest 1% from {:.0} ms, mixed {:.0} ms ({:.2})",
            two.0,
            mixed.0,
            mixed.0 / two.0,
            two.1,
            mixed.1,
            mixed.1 / two.1
        );
    }
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).filter(|a| !a.starts_with("--")).collect();
    let all: [(&str, fn()); 2] = [("cost", cost), ("world", world)];
    for (name, run) in all {
        if args.is_empty() || args.iter().any(|a| a == name) {
            run();
        }
    }
}
