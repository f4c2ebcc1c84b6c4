//! Runs a scenario over real sockets: real proxies, the simulated boxes of `testkit` in one thread, and the same sequence
//! of requests as in the model.

use crate::Failure;
use model::{Arrivals, Breach, Ended, Fault, Gathered, Rule, Scenario, Summary};
use serde_json::json;
use std::collections::HashMap;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use testkit::process::{free_port, Folder, Instance};
use testkit::world::{
    AttemptRecord, BoxConfig, End, Fault as BoxFault, Load, Mode, Plan, Script, Target, World, WorldConfig,
};

/// Time for a proxy to start and answer `PING`.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
// Limits of a run over sockets: one thread simulates all boxes, on a machine with few cores.
const MAX_PROXIES: usize = 64;
const MAX_BOXES: usize = 400;
const MAX_REQUESTS_PER_S: f64 = 5_000.0;

fn secs(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

fn ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1e3)
}

/// A step in the lifecycle of the proxies.
#[derive(Clone, Copy, Debug)]
enum Step {
    Kill(usize),
    Start(usize),
    /// The front end adds (true) or removes (false) a proxy.
    Front(usize, bool),
}

/// The fault script for the simulated boxes, and the timed steps for the proxies. An error lists everything in the scenario
/// that can't be run over sockets.
fn plan(scenario: &Scenario, seed: u64) -> Result<(Script, Vec<(Duration, Step)>), Failure> {
    let mut problems = Vec::new();
    let t = &scenario.topology;
    for (key, value, max) in [
        ("topology.proxies", t.proxies as f64, MAX_PROXIES as f64),
        ("topology.boxes", t.boxes as f64, MAX_BOXES as f64),
        ("traffic.rate", scenario.traffic.rate, MAX_REQUESTS_PER_S),
    ] {
        if value > max {
            problems.push(format!("{key}: is {value}, the maximum over sockets is {max}"));
        }
    }
    if scenario.origin.fall_multiple > 0.0 {
        problems.push(
            "origin.fall_multiple: must be 0 over sockets: the simulated origin has no overload model".into(),
        );
    }
    let (mut script, mut steps) = (Script::new(), Vec::new());
    for (number, f) in scenario.faults(seed).iter().enumerate() {
        let (at, lasts) = (secs(f.at_s), f.lasts_s.map(secs));
        let boxes = |w: &model::Which| w.of(seed, number as u64, t.boxes);
        let mut add = |fault: BoxFault| {
            let next = std::mem::take(&mut script);
            script = match lasts {
                Some(lasts) => next.then(at, lasts, fault),
                None => next.permanently(at, fault),
            };
        };
        match &f.fault {
            Fault::Silent { boxes: w } => boxes(w).into_iter().for_each(|b| add(BoxFault::Silent(b))),
            Fault::Down { boxes: w } => boxes(w).into_iter().for_each(|b| add(BoxFault::Down(b))),
            Fault::Resets { boxes: w, part } => {
                boxes(w).into_iter().for_each(|b| add(BoxFault::Resets(b, *part)))
            }
            Fault::Spoils { boxes: w, part } => {
                boxes(w).into_iter().for_each(|b| add(BoxFault::Spoils(b, *part)))
            }
            Fault::Drain { boxes: w } => boxes(w).into_iter().for_each(|b| add(BoxFault::Drain(b))),
            Fault::Cut { zone } => add(BoxFault::Cut(*zone)),
            Fault::NoDiscovery => add(BoxFault::Discovery(Mode::Down)),
            Fault::OriginStops => add(BoxFault::Origin),
            Fault::Roll { boxes: w } => {
                let all = boxes(w);
                let step = lasts.unwrap_or_default() / all.len().max(1) as u32;
                for (i, b) in all.into_iter().enumerate() {
                    let at = at + step * i as u32;
                    script = std::mem::take(&mut script)
                        .then(at, Duration::from_millis(1_200), BoxFault::Drain(b))
                        .then(at + Duration::from_secs(1), Duration::from_millis(200), BoxFault::Down(b));
                }
            }
            Fault::Die { proxies } => {
                let lag = ms(scenario.traffic.front_lag_ms);
                for p in proxies.of(seed, number as u64, t.proxies) {
                    steps.push((at, Step::Kill(p)));
                    steps.push((at + lag, Step::Front(p, false)));
                    if let Some(lasts) = lasts {
                        steps.push((at + lasts, Step::Start(p)));
                        steps.push((at + lasts + lag, Step::Front(p, true)));
                    }
                }
            }
            Fault::Slows { .. } | Fault::Grow { .. } | Fault::Late { .. } | Fault::Surplus { .. } => {
                let kind = format!("{:?}", f.fault);
                let kind = kind.split(' ').next().unwrap_or_default().to_lowercase();
                problems.push(format!("faults.{number}: {kind} is available in the model only"));
            }
        }
    }
    steps.sort_by_key(|(at, _)| *at);
    if problems.is_empty() {
        Ok((script, steps))
    } else {
        Err(Failure::Input(problems.into_iter().map(|p| format!("{}: {p}", scenario.name)).collect()))
    }
}

fn world(scenario: &Scenario, seed: u64) -> WorldConfig {
    let t = &scenario.topology;
    let mut config = WorldConfig::new(seed, t.boxes, t.proxies);
    config.zones = (0..t.zones).map(|z| format!("z{z}")).collect();
    config.distance = ms(t.zone_delay_ms);
    config.origin = (scenario.origin.places, ms(scenario.origin.work_ms));
    config.lag = ms(scenario.discovery.lag_ms);
    let kinds = scenario.kind_of(t.boxes);
    config.boxes = kinds
        .into_iter()
        .enumerate()
        .map(|(i, kind)| {
            let k = &scenario.kinds[kind];
            BoxConfig {
                zone: i % t.zones,
                cores: k.cores,
                speed: k.speed,
                work: [ms(k.read_ms), ms(k.write_ms)],
                queue: k.queue,
                connections: k.connections,
                handshake: ms(k.handshake_ms),
                // Boxes are warm at the start of a run; only a restarted box is cold.
                cold: (k.cold_from < 1.0).then(|| (k.cold_from, secs(k.cold_s))),
                fall: (k.fall_multiple, secs(k.fall_s)),
                idle: secs(t.idle_s),
                ..BoxConfig::new(&format!("s-{i}"))
            }
        })
        .collect();
    config
}

/// The configuration of a proxy, with the scenario's settings.
fn proxy_config(
    world: &World,
    scenario: &Scenario,
    proxy: usize,
    listen: std::net::SocketAddr,
) -> serde_json::Value {
    let (t, kind) = (&scenario.topology, &scenario.kinds[0]);
    let mut c = world.proxy_config(proxy, listen);
    let ns = |ms: f64| (ms * 1e6) as u64;
    for (i, ask) in [&scenario.traffic.read, &scenario.traffic.write].into_iter().enumerate() {
        let class = &mut c["settings"]["categories"][i];
        class["promise_ns"] = json!(ns(ask.aim_ms));
        class["deadline_ns"] = json!(ns(ask.deadline_ms));
        class["value"] = json!(ask.worth);
    }
    let caps = &mut c["settings"]["caps"];
    caps["attempts_cap"] = json!(t.max_attempts);
    caps["second_copies"] = json!(t.second_copies);
    caps["max_open"] = json!(t.max_open);
    caps["streams_per_conn"] = json!(t.streams);
    caps["conn_idle_ns"] = json!(ns(t.idle_s * 1e3));
    caps["connect_timeout_ns"] = json!(ns(t.connect_timeout_ms));
    let rules = &mut c["settings"]["rules"];
    rules["cold_from"] = json!(kind.cold_from);
    rules["cold_ns"] = json!(ns(kind.cold_s * 1e3));
    rules["fall_multiple"] = json!(kind.fall_multiple);
    rules["fall_ns"] = json!(ns(kind.fall_s * 1e3));
    c
}

pub(crate) fn default_program() -> PathBuf {
    std::env::current_exe().map_or_else(|_| "trestlesill".into(), |p| p.with_file_name("trestlesill"))
}

/// Runs a scenario in real time.
pub fn run(scenario: &Scenario, seed: u64, program: Option<&Path>) -> Result<Summary, Failure> {
    let (script, steps) = plan(scenario, seed)?;
    let program = program.map_or_else(default_program, Path::to_owned);
    if !program.is_file() {
        let line = format!(
            "proxy program {} not found: build it, or give its path with --program",
            program.display()
        );
        return Err(Failure::Input(vec![line]));
    }
    let io = |e: std::io::Error| Failure::Io(e.to_string());
    let (t, a) = (&scenario.topology, &scenario.traffic);
    let world = World::start(world(scenario, seed));
    let folder = Folder::new("lab").map_err(io)?;
    let mut proxies = Vec::new();
    for i in 0..t.proxies {
        let config = proxy_config(&world, scenario, i, free_port().map_err(io)?);
        proxies.push(Instance::start(&program, &folder.0, &config, None).map_err(io)?);
    }
    for proxy in &mut proxies {
        proxy.ready(READY_TIMEOUT).map_err(io)?;
    }
    let mut up = vec![true; t.proxies];
    let front = |up: &[bool], proxies: &[Instance]| -> Vec<Target> {
        let all = proxies.iter().enumerate().filter(|(i, _)| up[*i]);
        all.map(|(proxy, p)| Target::new(proxy, p.address)).collect()
    };
    let mut load = Load::new(a.rate, front(&up, &proxies));
    load.retries = a.tries - 1;
    load.plan = Some(Plan {
        requests: Arrivals::new(scenario, seed)
            .map(|r| (Duration::from_nanos(r.at), r.key, r.write))
            .collect(),
        wait: [ms(a.read.wait_ms), ms(a.write.wait_ms)],
        deadline: [ms(a.read.deadline_ms), ms(a.write.deadline_ms)],
        backoff: ms(a.backoff_ms),
    });
    let (opened, begun) = (world.boxes.iter().map(|b| b.opened()).sum::<usize>(), Instant::now());
    let start = world.clock.now();
    world.play(script);
    let load = world.load(load);
    for (at, step) in &steps {
        std::thread::sleep(at.saturating_sub(begun.elapsed()));
        match *step {
            Step::Kill(p) => {
                proxies[p].child.kill().and_then(|()| proxies[p].child.wait()).map(|_| ()).map_err(io)?
            }
            Step::Start(p) => proxies[p].kill_and_start().map_err(io)?,
            Step::Front(p, present) => {
                up[p] = present;
                load.front(front(&up, &proxies));
            }
        }
    }
    std::thread::sleep(secs(scenario.duration_s).saturating_sub(begun.elapsed()));
    std::thread::sleep(ms(a.read.deadline_ms.max(a.write.deadline_ms) + 100.0));
    let record = load.finish();
    let killed: Vec<usize> = steps
        .iter()
        .filter_map(|(_, s)| match s {
            Step::Kill(p) => Some(*p),
            _ => None,
        })
        .collect();
    let mut summary = summarize(scenario, seed, &record, start);
    summary.opened = (world.boxes.iter().map(|b| b.opened()).sum::<usize>() - opened) as u64;
    summary.attempts = world.boxes.iter().map(|b| b.record().len() as u64).sum();
    (summary.fetches, summary.origin_busy) = world.origin.counts();
    for violation in world.broken(&load, proxies.len(), &killed) {
        let rule = match violation.rule {
            "doubled" => Rule::Doubled,
            "drain" => Rule::Drain,
            "cold-box" => Rule::ColdBox,
            _ => Rule::Lost,
        };
        let id = violation.id.as_ref();
        let history = record.iter().filter(|a| id.is_some_and(|id| id.get(..10) == a.id.get(..10)));
        summary.breaches.push(Breach {
            rule,
            at_ms: 0.0,
            request: id.and_then(|id| u32::from_str_radix(id.get(..10)?, 16).ok()),
            what: violation.what,
            times: 1,
            history: history.map(|a| format!("{a:?}")).collect(),
        });
    }
    Ok(summary)
}

/// Groups the tries of each request, and summarizes the requests.
fn summarize(scenario: &Scenario, seed: u64, record: &[AttemptRecord], start: Duration) -> Summary {
    let mut by_number: HashMap<&str, Vec<&AttemptRecord>> = HashMap::new();
    for attempt in record {
        by_number.entry(&attempt.id[..10]).or_default().push(attempt);
    }
    let mut gathered = Gathered::new(scenario, "shipped", seed, "sockets");
    for tries in by_number.into_values() {
        let first = tries.iter().map(|a| a.sent).min().unwrap_or_default();
        let Some(last) = tries.iter().max_by_key(|a| a.tries) else { continue };
        let ended = match last.end {
            End::Served => Ended::Served,
            End::Refused => Ended::Refused,
            End::Failed | End::Wrong => Ended::Failed,
            End::Late | End::Never | End::Lost | End::Nowhere => Ended::Nothing,
        };
        let since = first.saturating_sub(start).as_nanos() as u64;
        gathered.add(since, last.write.is_some(), ended, last.ended.saturating_sub(first).as_nanos() as u64);
    }
    gathered.finish()
}
