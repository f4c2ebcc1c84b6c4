//! Measures a fleet of real proxies on one machine. Takes minutes, prints the measurements, and fails if a request is
//! lost, takes effect twice or is sent to a drained box:
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
use testkit::scripted::unused_address;
use testkit::world::{AttemptRecord, End, Load, Target, World, WorldConfig};

/// Time-out of a step on a slow machine.
const STEP_TIMEOUT: Duration = Duration::from_secs(120);
const RUNS: usize = 3;

fn start_world(boxes: usize, proxies: usize) -> World {
    let mut config = WorldConfig::new(77, boxes, proxies);
    config.boxes.iter_mut().for_each(|b| (b.work, b.cores) = ([Duration::from_millis(20); 2], 4));
    World::start(config)
}

fn start_fleet(world: &World, proxies: usize) -> Agent {
    let mut agent = Agent::start();
    let mut desired = agent.desired(world, proxies, |_| {});
    desired["policy"] =
        json!({"batch": 2, "max_unavailable": 2, "max_unavailable_in_zone": 1, "healthy_for": 500});
    let id = agent.order(&json!({ "apply": desired }));
    agent.until(&id, "applied", STEP_TIMEOUT);
    agent.wait("the list of n0 is stored", STEP_TIMEOUT, |a| {
        a.folder.0.join("instances/n0/known.json").exists()
    });
    agent
}

/// Runs `trestlectl` against an agent and returns its exit code.
fn run_trestlectl(agent: &Agent, args: &[&str]) -> i32 {
    let output =
        Command::new(testkit::program("trestlectl")).arg("--agent").arg(agent.socket()).args(args).output();
    output.expect("runs").status.code().unwrap_or(-1)
}

/// Time, on the world's clock, at which an instance received the drain of a box.
fn drain_received_at(world: &World, agent: &Agent, instance: usize, name: &str) -> Option<Duration> {
    let response = agent.get(&format!("/v1/instances/n{instance}"));
    let now = world.clock.now();
    let boxes = response["boxes"].as_array()?;
    let drained = boxes.iter().find(|b| b["box"] == name)?;
    Some(now.saturating_sub(Duration::from_millis(drained["leaving_ms"].as_u64()?)))
}

/// The longest time after a proxy received the drain of a box at which it still sent a request to that box.
fn max_send_delay(
    world: &World,
    box_index: usize,
    record: &[AttemptRecord],
    received_at: &HashMap<usize, Duration>,
) -> Duration {
    let by_id: HashMap<&str, usize> = record.iter().map(|a| (a.id.as_str(), a.proxy)).collect();
    let delay = |s: &testkit::world::Seen| {
        let at = received_at.get(by_id.get(s.id.as_str())?)?;
        Some(s.at.saturating_sub(*at))
    };
    world.boxes[box_index].record().iter().filter_map(delay).max().unwrap_or_default()
}

/// Checks that no request was lost and none took effect twice.
fn check_rules(world: &World, load: &Load, record: &[AttemptRecord], killed: &[usize]) {
    let served = record.iter().filter(|a| a.end == End::Served).count();
    let proxies = record.iter().map(|a| a.proxy + 1).max().unwrap_or(0);
    let violations = world.broken(load, proxies, killed);
    println!("  attempts {}, served {served}, violated rules {}", record.len(), violations.len());
    assert_eq!(violations, []);
}

/// The 99th percentile of the response times of requests sent within a period, in milliseconds.
fn p99_ms(record: &[AttemptRecord], from: Duration, to: Duration) -> f64 {
    let served = record.iter().filter(|a| a.end == End::Served && a.sent >= from && a.sent < to);
    let mut times: Vec<Duration> = served.map(|a| a.ended - a.sent).collect();
    times.sort_unstable();
    let at = times.len() * 99 / 100;
    times.get(at.min(times.len().saturating_sub(1))).map_or(f64::NAN, |t| t.as_secs_f64() * 1_000.0)
}

fn measure_drain() {
    println!("drain: 20 instances, 30 boxes, 400 requests per second; one box drained by trestlectl");
    for with_faults in [false, true] {
        let world = start_world(30, 20);
        let mut agent = start_fleet(&world, 20);
        let load = world.load(Load::new(400.0, agent.front()));
        std::thread::sleep(Duration::from_secs(2));
        let before = world.boxes[0].record().len();
        if with_faults {
            agent.signal("n7", "-STOP");
            agent.signal("n8", "-KILL");
        }
        let started_at = world.clock.now();
        let code =
            run_trestlectl(&agent, &["drain-box", "s-0", "--wait", if with_faults { "5" } else { "30" }]);
        if with_faults {
            assert_eq!(code, 3, "n7 may not have received the drain");
            agent.kill();
            std::thread::sleep(Duration::from_millis(500));
            agent.run(&[], &[]);
            agent.signal("n7", "-CONT");
            agent.wait("all instances have the current set of drained boxes", STEP_TIMEOUT, |a| {
                let fleet = a.get("/v1/fleet");
                (0..20).all(|i| fleet["instances"][format!("n{i}")]["revision"] == fleet["revision"])
            });
        } else {
            assert_eq!(code, 0);
        }
        std::thread::sleep(Duration::from_millis(1_500));
        let mut received_at = HashMap::new();
        for i in 0..20 {
            let received = drain_received_at(&world, &agent, i, "s-0");
            received_at.insert(i, received.expect("the instance has the drain"));
        }
        // For a restarted instance this is the time of its start; the exit code of the command covers the requests of its
        // previous process.
        let record = load.finish();
        let last_received = received_at.values().max().expect("twenty").saturating_sub(started_at);
        let max_delay = max_send_delay(&world, 0, &record, &received_at);
        println!(
            "  {}: {before} requests to the box before; last instance received the drain after {last_received:?}; \
             last request sent {max_delay:?} after its instance received it",
            if with_faults { "one stopped, one killed, agent killed" } else { "no faults" }
        );
        assert!(max_delay <= Duration::from_millis(550), "{max_delay:?}");
        check_rules(&world, &load, &record, if with_faults { &[8] } else { &[] });
    }
}

fn measure_rolling_restart() {
    println!(
        "rolling: 20 instances, 30 boxes, 400 requests per second; p99 without and with a rolling restart"
    );
    for run in 0..RUNS {
        let world = start_world(30, 20);
        let agent = start_fleet(&world, 20);
        let load = world.load(Load::new(400.0, agent.front()));
        std::thread::sleep(Duration::from_secs(2));
        let baseline_start = world.clock.now();
        std::thread::sleep(Duration::from_secs(8));
        let restart_start = world.clock.now();
        assert_eq!(run_trestlectl(&agent, &["restart", "--rolling"]), 0);
        let restart_end = world.clock.now();
        let record = load.finish();
        let without = p99_ms(&record, baseline_start, restart_start);
        let with = p99_ms(&record, restart_start, restart_end);
        println!(
            "  run {run}: took {:?}; {without:.1} ms, {with:.1} ms, ratio {:.2}",
            restart_end - restart_start,
            with / without
        );
        check_rules(&world, &load, &record, &[]);
    }
}

fn measure_drain_propagation() {
    println!("learn: from the start of trestlectl until the last instance has received a drain, idle fleet");
    for n in [5, 10, 20] {
        let world = start_world(9, n);
        let agent = start_fleet(&world, n);
        let times: Vec<String> = (0..RUNS)
            .map(|run| {
                let name = format!("s-{run}");
                let started_at = world.clock.now();
                assert_eq!(run_trestlectl(&agent, &["drain-box", &name]), 0);
                let received_at = (0..n).map(|i| {
                    drain_received_at(&world, &agent, i, &name).expect("the instance has the drain")
                });
                format!("{} ms", received_at.max().expect("some").saturating_sub(started_at).as_millis())
            })
            .collect();
        println!("  {n}: {}", times.join(", "));
    }
}

/// Peak resident memory of a process in kB.
fn peak_memory_kb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("a process");
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).expect("a peak");
    line.split_whitespace().next().and_then(|n| n.parse().ok()).unwrap_or(0)
}

fn measure_control_endpoint() {
    println!(
        "endpoint: one proxy, 800 requests per second, CPU time of 6 s: without, idle, busy \
         (a watch event each 100 ms, and status requests without pause)"
    );
    for run in 0..RUNS {
        let mut cpu_times = Vec::new();
        let mut status_requests = 0;
        for kind in ["without", "idle", "busy"] {
            let world = start_world(12, 1);
            let folder = Folder::new("m").expect("a folder");
            let socket = folder.0.join("c.sock");
            let operator = format!("version = 1\n[control]\nsocket = {socket:?}\n");
            let operator = (kind != "without").then_some(operator.as_str());
            let config = world.proxy_config(0, unused_address());
            let program = testkit::program("trestlesill");
            let mut proxy = Instance::start(&program, &folder.0, &config, operator).expect("started");
            proxy.ready(STEP_TIMEOUT).expect("ready");
            let load = world.load(Load::new(800.0, vec![Target::new(0, proxy.address)]));
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
            cpu_times.push(cpu(proxy.child.id()) - before);
            stop.store(true, Ordering::Relaxed);
            busy.into_iter().for_each(|b| b.join().expect("the thread exits"));
            status_requests = count.load(Ordering::Relaxed);
            load.finish();
        }
        println!(
            "  run {run}: CPU time {:?} in 1/100 s; idle/without {:.2}, busy/without {:.2} ({} responses per second)",
            cpu_times,
            cpu_times[1] / cpu_times[0],
            cpu_times[2] / cpu_times[0],
            status_requests / 6
        );
    }
}

fn measure_agent() {
    println!("agent: 20 idle instances, 10 s, one API request per second");
    let world = start_world(30, 20);
    let agent = start_fleet(&world, 20);
    let pid = agent.child.as_ref().expect("the agent runs").id();
    for run in 0..RUNS {
        let before = cpu(pid);
        for _ in 0..10 {
            std::thread::sleep(Duration::from_secs(1));
            let _: Value = agent.get("/v1/fleet");
        }
        let cpu_time = cpu(pid) - before;
        println!(
            "  run {run}: {:.2}% of a core in total, {:.3}% per instance; peak memory {} kB",
            cpu_time / 10.0,
            cpu_time / 200.0,
            peak_memory_kb(pid)
        );
    }
    let started = Instant::now();
    let idle: Vec<UnixStream> =
        (0..300).map(|_| UnixStream::connect(agent.socket()).expect("connected")).collect();
    agent.get("/v1/fleet");
    println!(
        "  with 300 idle connections: response after {:?}; peak memory {} kB",
        started.elapsed(),
        peak_memory_kb(pid)
    );
    drop(idle);
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).filter(|a| !a.starts_with("--")).collect();
    let measurements: [(&str, fn()); 5] = [
        ("learn", measure_drain_propagation),
        ("drain", measure_drain),
        ("rolling", measure_rolling_restart),
        ("endpoint", measure_control_endpoint),
        ("agent", measure_agent),
    ];
    for (name, run) in measurements {
        if args.is_empty() || args.iter().any(|a| a == name) {
            run();
        }
    }
}
