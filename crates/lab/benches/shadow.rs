//! What copying reads to candidates costs: four real proxies before sixteen stand-ins and two candidates, copying off, off
//! once more (the noise), and on; on a calm day and with 19% of the boxes silent. Paired by seed. Takes about two and a half
//! minutes:
//!
//! ```sh
//! cargo build --release && cargo bench -p trestlelab --bench shadow [-- FOLDER]
//! ```
//!
//! Times count from when a request was meant to start. With FOLDER the logs of times are kept there.

use clap::Parser;
use serde_json::{json, Value};
use std::path::PathBuf;
use std::time::Duration;
use testkit::controller::Controller;
use testkit::process::{cpu, free_port, Folder, Instance};
use testkit::world::{Fault, Script, World, WorldConfig};
use trestlelab::load::{keep, run, Args};

const BOXES: usize = 16;
const CANDIDATES: usize = 2;
const PROXIES: usize = 4;
const RATE: f64 = 800.0;
const SECONDS: f64 = 5.0;
/// Boxes that fall silent after a second.
const SILENT: [usize; 3] = [1, 6, 11];

#[derive(Parser)]
struct Line {
    #[command(flatten)]
    args: Args,
}

fn operator(folder: &Folder, i: usize, candidates: &[String]) -> (String, PathBuf) {
    let socket = folder.0.join(format!("n{i}.sock"));
    let named = candidates.iter().map(|c| format!("{c:?}")).collect::<Vec<_>>().join(", ");
    let text = format!(
        "version = 1\n[control]\nsocket = {socket:?}\n[shadow]\ncandidates = [{named}]\nclasses = [\"pack-lookup\"]\n\
         share = 0.2\nfirst_share = 0.2\nmisses_per_second = 400\n"
    );
    (text, socket)
}

fn play(day: &str, what: &str, on: bool, seed: u64, kept: Option<&PathBuf>) {
    let mut config = WorldConfig::new(seed, BOXES + CANDIDATES, PROXIES);
    config.unlisted = CANDIDATES;
    let world = World::start(config);
    let folder = Folder::new("shadow").expect("a folder");
    let program = testkit::program("trestlesill");
    let (live, candidates) = world.boxes.split_at(BOXES);
    let at: Vec<String> = candidates.iter().map(|b| b.addresses[0].to_string()).collect();
    let mut sockets = Vec::new();
    let mut proxies: Vec<Instance> = (0..PROXIES)
        .map(|i| {
            let config = world.proxy_config(i, free_port().expect("a port"));
            let (text, socket) = operator(&folder, i, &at);
            sockets.push(socket);
            Instance::start(&program, &folder.0, &config, Some(&text)).expect("started")
        })
        .collect();
    proxies.iter_mut().for_each(|p| p.ready(Duration::from_secs(20)).expect("ready"));
    let mut controllers: Vec<Controller> = sockets.iter().map(|s| Controller::connect(s)).collect();
    if on {
        for c in &mut controllers {
            c.ok(json!({"op": "shadow-start", "generation": 1, "lease_ms": 60_000}));
        }
    }
    // What a process before this one had sent would be over by then.
    std::thread::sleep(Duration::from_millis(1_600));
    if day == "silent" {
        let silent = SILENT.into_iter();
        world
            .play(silent.fold(Script::new(), |s, b| s.permanently(Duration::from_secs(1), Fault::Silent(b))));
    }
    let used = || proxies.iter().map(|p| cpu(p.child.id()) / 100.0).sum::<f64>();
    let before = used();
    let addresses: Vec<String> = proxies.iter().map(|p| p.address.to_string()).collect();
    let mut line = format!(
        "load {} --rate {RATE} --seconds {SECONDS} --seed {seed} --connections 64 --pipeline 4 --keys 2000",
        addresses.join(" ")
    );
    if let Some(kept) = kept {
        line += &format!(" --hdr {}", kept.join(format!("{day}-{what}-{seed}.hlog")).display());
    }
    let args = Line::parse_from(line.split(' ')).args;
    let (outcome, times) = run(&args).expect("a load");
    keep(&args, &times).expect("a log");
    let sent = outcome.sent.max(1) as f64;
    let used = used() - before;
    let opened: usize = live.iter().map(|b| b.opened()).sum();
    let attempts: usize = live.iter().map(|b| b.record().len()).sum();
    let copies: usize = candidates.iter().map(|b| b.record().len()).sum();
    let told: Vec<Value> = controllers.iter_mut().map(|c| c.ok(json!({"op": "shadow-status"}))).collect();
    let sum =
        |path: [&str; 3]| told.iter().filter_map(|t| t[path[0]][path[1]][path[2]].as_u64()).sum::<u64>();
    println!(
        "{day:6} {what:5} seed {seed}: served {:.4} refused {:.4}; p50 {:5.1} p99 {:5.1} p99.9 {:5.1} worst {:5.1} ms; a \
         request: {:.3} attempts, {:.4} connections, {:.1} us; {copies} copies, {} equal, {} different; late by itself \
         {:.1} ms{}",
        outcome.served as f64 / sent,
        outcome.refused as f64 / sent,
        outcome.p50_ms,
        outcome.p99_ms,
        outcome.p999_ms,
        outcome.max_ms,
        attempts as f64 / sent,
        opened as f64 / sent,
        used / sent * 1e6,
        sum(["report", "tally", "equal"]),
        ["stale", "wrong", "passing", "missing", "surplus"].map(|d| sum(["report", "tally", d])).iter().sum::<u64>(),
        outcome.own_lag_p99_ms,
        if outcome.fell_behind { ", VOID" } else { "" },
    );
}

fn main() {
    let folder = std::env::args().skip(1).find(|a| a != "--bench").map(PathBuf::from);
    for day in ["calm", "silent"] {
        for seed in [201, 202, 203, 204] {
            for (what, on) in [("off", false), ("again", false), ("on", true)] {
                play(day, what, on, seed, folder.as_ref());
            }
        }
    }
}
