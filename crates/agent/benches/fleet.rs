//! What a fleet of real proxies does on one machine. Takes minutes, prints figures, and fails where a rule breaks:
//!
//! ```sh
//! cargo build --release && cargo bench -p trestle-agent --bench fleet [-- drain rolling learn endpoint agent]
//! ```

use serde_json::{json, Value};
use std::collections::HashMap;
use std::os::unix::net::UnixStream;
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use testkit::agent::Agent;
use testkit::process::{cpu, Folder, Instance};
use testkit::scripted::nobody;
use testkit::world::{Asked, End, Load, Target, World, WorldConfig};

const LONG: Duration = Duration::from_secs(120);
const RUNS: usize = 3;

fn world(boxes: usize, proxies: usize) -> World {
    let mut config = WorldConfig::new(77, boxes, proxies);
    config.boxes.iter_mut().for_each(|b| (b.work, b.cores) = ([Duration::from_millis(20); 2], 4));
    World::start(config)
}

fn fleet(world: &World, proxies: usize) -> Agent {
    let mut agent = Agent::start();
    let mut desired = agent.desired(world, proxies, |_| {});
    desired["policy"] =
        json!({"batch": 2, "max_unavailable": 2, "max_unavailable_in_zone": 1, "healthy_for": 500});
    let id = agent.order(&json!({ "apply": desired }));
    agent.until(&id, "applied", LONG);
    agent.wait("lists are kept", LONG, |a| a.folder.0.join("instances/n0/known.json").exists());
    agent
}

/// Runs the tool against an agent; its exit code.
fn tool(agent: &Agent, args: &[&str]) -> i32 {
    let out =
        Command::new(testkit::program("trestlectl")).arg("--agent").arg(agent.socket()).args(args).output();
    out.expect("runs").status.code().unwrap_or(-1)
}

/// When an instance learned that a box is to get nothing new, on the world's clock.
fn learned(world: &World, agent: &Agent, instance: usize, name: &str) -> Option<Duration> {
    let told = agent.get(&format!("/v1/instances/n{instance}"));
    let now = world.clock.now();
    let boxes = told["boxes"].as_array()?;
    let one = boxes.iter().find(|b| b["box"] == name)?;
    Some(now.saturating_sub(Duration::from_millis(one["leaving_ms"].as_u64()?)))
}

/// The latest send to a box after each proxy's own time, in excess of it.
fn latest(world: &World, number: usize, record: &[Asked], since: &HashMap<usize, Duration>) -> Duration {
    let by_id: HashMap<&str, usize> = record.iter().map(|a| (a.id.as_str(), a.proxy)).collect();
    let excess = |s: &testkit::world::Seen| {
        let at = since.get(by_id.get(s.id.as_str())?)?;
        Some(s.at.saturating_sub(*at))
    };
    world.boxes[number].record().iter().filter_map(excess).max().unwrap_or_default()
}

/// The rules hold.
fn rules(world: &World, load: &Load, record: &[Asked], killed: &[usize]) {
    let served = record.iter().filter(|a| a.end == End::Served).count();
    let proxies = record.iter().map(|a| a.proxy + 1).max().unwrap_or(0);
    let broken = world.broken(load, proxies, killed);
    println!("  tries {}, served {served}, rules broken {}", record.len(), broken.len());
    assert_eq!(broken, []);
}

/// The slowest one percent of the answers begins here, in milliseconds.
fn slowest(record: &[Asked], from: Duration, to: Duration) -> f64 {
    let within = record.iter().filter(|a| a.end == End::Served && a.sent >= from && a.sent < to);
    let mut times: Vec<Duration> = within.map(|a| a.ended - a.sent).collect();
    times.sort_unstable();
    let at = times.len() * 99 / 100;
    times.get(at.min(times.len().saturating_sub(1))).map_or(f64::NAN, |t| t.as_secs_f64() * 1_000.0)
}

fn drain() {
    println!("drain: 20 instances, 30 boxes, 400 requests a second; one box drained through the tool");
    for hard in [false, true] {
        let world = world(30, 20);
        let mut agent = fleet(&world, 20);
        let load = world.load(Load::new(400.0, agent.front()));
        std::thread::sleep(Duration::from_secs(2));
        let before = world.boxes[0].record().len();
        if hard {
            agent.signal("n7", "-STOP");
            agent.signal("n8", "-KILL");
        }
        let begun = world.clock.now();
        let code = tool(&agent, &["drain-box", "s-0", "--wait", if hard { "5" } else { "30" }]);
        if hard {
            assert_eq!(code, 3, "one may not know");
            agent.kill();
            std::thread::sleep(Duration::from_millis(500));
            agent.run(&[], &[]);
            agent.signal("n7", "-CONT");
            agent.wait("all know", LONG, |a| {
                let fleet = a.get("/v1/fleet");
                (0..20).all(|i| fleet["instances"][format!("n{i}")]["revision"] == fleet["revision"])
            });
        } else {
            assert_eq!(code, 0);
        }
        std::thread::sleep(Duration::from_millis(1_500));
        let mut since = HashMap::new();
        for i in 0..20 {
            since.insert(i, learned(&world, &agent, i, "s-0").expect("it knows"));
        }
        // One that came back knows from its start on; what it sent in its earlier life is judged by the command.
        let record = load.finish();
        let last = since.values().max().expect("twenty").saturating_sub(begun);
        let most = latest(&world, 0, &record, &since);
        println!(
            "  {}: {before} requests to it before; the last instance learned after {last:?}; latest send {most:?} after its instance learned",
            if hard { "one stopped, one killed, agent killed" } else { "calm" }
        );
        assert!(most <= Duration::from_millis(550), "{most:?}");
        rules(&world, &load, &record, if hard { &[8] } else { &[] });
    }
}

fn rolling() {
    println!("rolling: 20 instances, 30 boxes, 400 requests a second; slowest 1% without and with a rolling restart");
    for run in 0..RUNS {
        let world = world(30, 20);
        let agent = fleet(&world, 20);
        let load = world.load(Load::new(400.0, agent.front()));
        std::thread::sleep(Duration::from_secs(2));
        let calm = world.clock.now();
        std::thread::sleep(Duration::from_secs(8));
        let from = world.clock.now();
        assert_eq!(tool(&agent, &["restart", "--rolling"]), 0);
        let to = world.clock.now();
        let record = load.finish();
        let (without, with) = (slowest(&record, calm, from), slowest(&record, from, to));
        println!(
            "  run {run}: {:?} long; {without:.1} ms, {with:.1} ms, ratio {:.2}",
            to - from,
            with / without
        );
        rules(&world, &load, &record, &[]);
    }
}

fn learn() {
    println!("learn: from the start of the tool until the last instance has learned, idle fleet");
    for n in [5, 10, 20] {
        let world = world(9, n);
        let agent = fleet(&world, n);
        let times: Vec<String> = (0..RUNS)
            .map(|run| {
                let name = format!("s-{run}");
                let begun = world.clock.now();
                assert_eq!(tool(&agent, &["drain-box", &name]), 0);
                let all = (0..n).map(|i| learned(&world, &agent, i, &name).expect("it knows"));
                format!("{} ms", all.max().expect("some").saturating_sub(begun).as_millis())
            })
            .collect();
        println!("  {n}: {}", times.join(", "));
    }
}

fn memory(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("a process");
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).expect("a peak");
    line.split_whitespace().next().and_then(|n| n.parse().ok()).unwrap_or(0)
}

fn endpoint() {
    println!("endpoint: one proxy, 800 requests a second, CPU of 6 s: without, idle, busy (a watch each 100 ms, and status asked without pause)");
    for run in 0..RUNS {
        let mut spent = Vec::new();
        let mut asked = 0;
        for kind in ["without", "idle", "busy"] {
            let world = world(12, 1);
            let folder = Folder::new("m").expect("a folder");
            let socket = folder.0.join("c.sock");
            let operator = format!("version = 1\n[control]\nsocket = {socket:?}\n");
            let operator = (kind != "without").then_some(operator.as_str());
            let config = world.proxy_config(0, nobody());
            let program = testkit::program("trestlesill");
            let mut proxy = Instance::start(&program, &folder.0, &config, operator).expect("started");
            proxy.ready(LONG).expect("ready");
            let load = world.load(Load::new(800.0, vec![Target { proxy: 0, address: proxy.address }]));
            std::thread::sleep(Duration::from_secs(1));
            let stop = Arc::new(AtomicBool::new(false));
            let count = Arc::new(AtomicU64::new(0));
            let busy = (kind == "busy").then(|| {
                let (stop, count) = (stop.clone(), count.clone());
                let mut watcher = testkit::controller::Controller::connect(&socket);
                watcher.ok(json!({"op": "watch", "every_ms": 100}));
                std::thread::spawn(move || {
                    let mut control = testkit::controller::Controller::connect(&socket);
                    while !stop.load(Ordering::Relaxed) {
                        control.ok(json!({"op": "status"}));
                        count.fetch_add(1, Ordering::Relaxed);
                    }
                    drop(watcher);
                })
            });
            let before = cpu(proxy.child.id());
            std::thread::sleep(Duration::from_secs(6));
            spent.push(cpu(proxy.child.id()) - before);
            stop.store(true, Ordering::Relaxed);
            busy.into_iter().for_each(|b| b.join().expect("it ends"));
            asked = count.load(Ordering::Relaxed);
            load.finish();
        }
        println!(
            "  run {run}: {:?} hundredths of a second; idle/without {:.2}, busy/without {:.2} ({} answers a second)",
            spent,
            spent[1] / spent[0],
            spent[2] / spent[0],
            asked / 6
        );
    }
}

fn agent() {
    println!("agent: 20 idle instances, 10 s, API asked once a second");
    let world = world(30, 20);
    let agent = fleet(&world, 20);
    let pid = agent.child.as_ref().expect("it runs").id();
    for run in 0..RUNS {
        let before = cpu(pid);
        for _ in 0..10 {
            std::thread::sleep(Duration::from_secs(1));
            let _: Value = agent.get("/v1/fleet");
        }
        let spent = cpu(pid) - before;
        println!(
            "  run {run}: {:.2}% of a core in all, {:.3}% an instance; peak {} kB",
            spent / 10.0,
            spent / 200.0,
            memory(pid)
        );
    }
    let began = Instant::now();
    let silent: Vec<UnixStream> =
        (0..300).map(|_| UnixStream::connect(agent.socket()).expect("connected")).collect();
    agent.get("/v1/fleet");
    println!(
        "  behind 300 silent connections: an answer after {:?}; peak {} kB",
        began.elapsed(),
        memory(pid)
    );
    drop(silent);
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).filter(|a| !a.starts_with("--")).collect();
    let all: [(&str, fn()); 5] =
        [("learn", learn), ("drain", drain), ("rolling", rolling), ("endpoint", endpoint), ("agent", agent)];
    for (name, run) in all {
        if args.is_empty() || args.iter().any(|a| a == name) {
            run();
        }
    }
}
