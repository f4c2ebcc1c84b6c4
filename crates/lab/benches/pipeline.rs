//! What pipelining does to the slowest answers: real proxies before stand-ins, one command at a time on a connection, the
//! fixed choice of connections and the one by expected time; on a calm day, at what the boxes can just do, under a load
//! that grows past that, and with 19% of the boxes silent. Paired by seed. Takes about eight minutes:
//!
//! ```sh
//! cargo build --release && cargo bench -p trestlelab --bench pipeline [-- FOLDER [DAY]]
//! ```
//!
//! Times count from when a request was meant to start. With FOLDER the logs of times are kept there.

use clap::Parser;
use serde_json::json;
use std::path::PathBuf;
use std::time::Duration;
use testkit::process::{cpu, free_port, Folder, Instance};
use testkit::world::{Fault, Script, World, WorldConfig};
use trestlelab::load::{keep, run, Args};

const BOXES: usize = 16;
const PROXIES: usize = 4;
/// Proxies are told of so many, which leaves each of them two connections to a box.
const TOLD: usize = 12;
const SECONDS: f64 = 5.0;
/// Boxes that fall silent after a second.
const SILENT: [usize; 3] = [1, 6, 11];

/// Behind one another: up to what the stand-ins' settings allow. It has to be said, or all ways are the first.
const WAYS: [(&str, &str); 4] = [
    ("one at a time", "enabled = false"),
    ("fixed", "reads = 8\nwrites = 8"),
    ("expected", "reads = 8\nwrites = 8\nplacing = \"expected\""),
    ("expected, heads", "reads = 8\nwrites = 8\nplacing = \"expected\"\nhead_quantile = 0.99"),
];
struct Day {
    name: &'static str,
    /// Requests a second, one load after another.
    rates: &'static [f64],
    silent: bool,
}

const DAYS: [Day; 4] = [
    Day { name: "calm", rates: &[800.0], silent: false },
    Day { name: "queues", rates: &[2_600.0], silent: false },
    Day { name: "grows", rates: &[800.0, 1_600.0, 2_400.0, 3_200.0], silent: false },
    Day { name: "silent", rates: &[800.0], silent: true },
];

/// Attempts that the silent boxes swallowed: in the first 50 ms since the first of them, to 150 ms, to 500 ms, later.
fn swallowed(world: &World) -> [usize; 4] {
    let mut at: Vec<Duration> = Vec::new();
    for b in SILENT {
        at.extend(world.boxes[b].record().iter().filter(|s| s.answer.is_none()).map(|s| s.at));
    }
    let first = at.iter().min().copied().unwrap_or_default();
    let mut counts = [0; 4];
    for since in at.iter().map(|at| *at - first) {
        counts[[50, 150, 500].into_iter().filter(|ms| since >= Duration::from_millis(*ms)).count()] += 1;
    }
    counts
}

#[derive(Parser)]
struct Line {
    #[command(flatten)]
    args: Args,
}

fn play(day: &Day, way: (&str, &str), seed: u64, kept: Option<&PathBuf>) {
    let world = World::start(WorldConfig::new(seed, BOXES, PROXIES));
    let folder = Folder::new("pipeline").expect("a folder");
    let program = testkit::program("trestlesill");
    let operator = format!("version = 1\n[pipeline]\n{}\n", way.1);
    let mut proxies: Vec<Instance> = (0..PROXIES)
        .map(|i| {
            let mut config = world.proxy_config(i, free_port().expect("a port"));
            config["settings"]["n_instances"] = json!(TOLD);
            Instance::start(&program, &folder.0, &config, Some(&operator)).expect("started")
        })
        .collect();
    proxies.iter_mut().for_each(|p| p.ready(Duration::from_secs(20)).expect("ready"));
    if day.silent {
        let silent = SILENT.into_iter();
        world
            .play(silent.fold(Script::new(), |s, b| s.permanently(Duration::from_secs(1), Fault::Silent(b))));
    }
    let at: Vec<String> = proxies.iter().map(|p| p.address.to_string()).collect();
    let mut before = Totals::default();
    for rate in day.rates {
        let mut line = format!(
            "load {} --rate {rate} --seconds {SECONDS} --seed {seed} --connections 64 --pipeline 4 --keys 2000",
            at.join(" "),
        );
        let day = if day.rates.len() > 1 { format!("{}-{rate}", day.name) } else { day.name.to_owned() };
        if let Some(kept) = kept {
            let name = format!("{day}-{}-{seed}.hlog", way.0.replace([',', ' '], "-"));
            line += &format!(" --hdr {}", kept.join(name).display());
        }
        let args = Line::parse_from(line.split(' ')).args;
        let (outcome, times) = run(&args).expect("a load");
        keep(&args, &times).expect("a log");
        let now = Totals::of(&world, &proxies);
        let sent = outcome.sent.max(1) as f64;
        println!(
            "{day:10} {:16} seed {seed}: p50 {:6.1} p99 {:6.1} p99.9 {:6.1} worst {:6.1} ms; served {:.4} refused {:.4}; a \
             request: {:.3} attempts, {:.4} connections, {:.0} us; late by itself {:.1} ms{}",
            way.0,
            outcome.p50_ms,
            outcome.p99_ms,
            outcome.p999_ms,
            outcome.max_ms,
            outcome.served as f64 / sent,
            outcome.refused as f64 / sent,
            (now.attempts - before.attempts) as f64 / sent,
            (now.opened - before.opened) as f64 / sent,
            (now.used - before.used) / sent * 1e6,
            outcome.own_lag_p99_ms,
            if outcome.fell_behind { ", VOID" } else { "" },
        );
        before = now;
    }
    if day.silent {
        println!("{:10} swallowed in the first 50 ms, to 150, to 500, later: {:?}", "", swallowed(&world));
    }
}

/// What boxes and proxies have counted so far.
#[derive(Default)]
struct Totals {
    attempts: usize,
    opened: usize,
    /// Seconds of a processor.
    used: f64,
}

impl Totals {
    fn of(world: &World, proxies: &[Instance]) -> Totals {
        Totals {
            attempts: world.boxes.iter().map(|b| b.record().len()).sum(),
            opened: world.boxes.iter().map(|b| b.opened()).sum(),
            used: proxies.iter().map(|p| cpu(p.child.id()) / 100.0).sum(),
        }
    }
}

fn main() {
    let mut words = std::env::args().skip(1).filter(|a| a != "--bench");
    let (folder, only) = (words.next().map(PathBuf::from), words.next());
    for day in DAYS.iter().filter(|d| only.as_ref().is_none_or(|o| o == d.name)) {
        for seed in [101, 102, 103] {
            WAYS.into_iter().for_each(|way| play(day, way, seed, folder.as_ref()));
        }
    }
}
