//! `trestlectl dev`: real proxies on loopback, with simulated boxes and discovery.

use serde_json::json;
use signal_hook::consts::{SIGINT, SIGTERM};
use std::io::{self, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use testkit::process::{free_port, Folder, Instance};
use testkit::world::{World, WorldConfig};

/// The timeout for a proxy to answer `PING` after its start.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// How often it is looked whether a signal has come. Its handler sets a flag only: a write that wakes this program may fail.
const SIGNAL_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The time within which a proxy exits by itself after SIGTERM: its longest deadline and 0.7 s more.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(1_800);

/// Options of `trestlectl dev`.
#[derive(Debug, clap::Args)]
pub struct Options {
    /// Number of proxies.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u16).range(1..=64))]
    proxies: u16,
    /// Number of simulated boxes.
    #[arg(long, default_value_t = 9, value_parser = clap::value_parser!(u16).range(1..=200))]
    nodes: u16,
    /// Seed of the random behavior of the simulated boxes and discovery.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Port of the first proxy, if it is free; 0 for any. The default is the port that Redis clients use.
    #[arg(long, default_value_t = 6379)]
    port: u16,
    /// Path of the proxy program; by default `trestlesill` in the folder of this tool.
    #[arg(long)]
    program: Option<PathBuf>,
}

/// The path of the proxy program in the folder of this tool.
fn default_program() -> io::Result<PathBuf> {
    let path = std::env::current_exe()?.with_file_name("trestlesill");
    if path.is_file() {
        return Ok(path);
    }
    Err(io::Error::other(format!(
        "{} does not exist: build it with `cargo build`, or set --program",
        path.display()
    )))
}

/// Prints a line and flushes it. Returns false if standard output is closed.
fn print_event(json: bool, event: &str, name: &str, address: &str) -> bool {
    let line = match (json, name) {
        (true, "") => json!({"event": event}).to_string(),
        (true, _) => json!({"event": event, "name": name, "address": address}).to_string(),
        (false, "") => event.to_owned(),
        (false, _) => format!("{event} {name} {address}"),
    };
    let mut out = io::stdout().lock();
    writeln!(out, "{line}").and_then(|()| out.flush()).is_ok()
}

/// Prints two commands to try: a request with `redis-cli`, and a short load test.
fn print_hints(first: SocketAddr) {
    let port = match first.port() {
        6379 => String::new(),
        port => format!(" -p {port}"),
    };
    print_event(false, &format!("redis-cli{port} CACHE.GET 7f3a9c21e0b4d655 1 c=pack-lookup,d=480"), "", "");
    print_event(false, &format!("target/release/trestlelab load {first} --rate 500 --seconds 5"), "", "");
}

/// Runs until SIGINT or SIGTERM, and leaves no processes or files behind.
pub fn run(options: &Options, json: bool) -> Result<(), Box<dyn std::error::Error>> {
    // Registered before anything is started, so that an early signal leaves no proxies behind.
    let stop_requested = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, stop_requested.clone())?;
    }
    let program = match &options.program {
        Some(path) => path.clone(),
        None => default_program()?,
    };
    let (nodes, proxies) = (usize::from(options.nodes), usize::from(options.proxies));
    let world = World::start(WorldConfig::new(options.seed, nodes, proxies));
    let folder = Folder::new("dev")?;
    let mut running = Vec::new();
    for i in 0..proxies {
        if stop_requested.load(Ordering::Relaxed) {
            break;
        }
        let fixed_address = SocketAddr::from((Ipv4Addr::LOCALHOST, options.port));
        let use_fixed_port = i == 0 && options.port != 0 && TcpListener::bind(fixed_address).is_ok();
        let listen = if use_fixed_port { fixed_address } else { free_port()? };
        running.push(Instance::start(&program, &folder.0, &world.proxy_config(i, listen), None)?);
    }
    for proxy in &mut running {
        if stop_requested.load(Ordering::Relaxed) {
            break;
        }
        proxy.ready(READY_TIMEOUT)?;
        print_event(json, "proxy", &proxy.name, &proxy.address.to_string());
    }
    if !stop_requested.load(Ordering::Relaxed) {
        print_event(json, "ready", "", "");
        if let (false, Some(first)) = (json, running.first()) {
            print_hints(first.address);
        }
    }
    while !stop_requested.load(Ordering::Relaxed) {
        std::thread::sleep(SIGNAL_CHECK_INTERVAL);
    }
    for proxy in &running {
        proxy.signal("-TERM")?;
    }
    let shutdown_started = Instant::now();
    let has_exited = |p: &mut Instance| p.child.try_wait().is_ok_and(|s| s.is_some());
    while shutdown_started.elapsed() < SHUTDOWN_TIMEOUT && !running.iter_mut().all(has_exited) {
        std::thread::sleep(Duration::from_millis(10));
    }
    // Dropping the handles kills the processes that are left.
    Ok(())
}
