//! Plays a plan: proxies as real processes before the stand-ins of `testkit`, and judges it by the records of clients and nodes.

use super::hostile::{self, Arena};
use super::plan::{NodeTrouble, Plan, SignalSeries, Trouble};
use crate::Failure;
use serde::Serialize;
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};
use testkit::process::{free_port, Folder, Instance, SystemCallFaults};
use testkit::world::{End, Fault, Load, Mode, Script, Target, World, WorldConfig};

/// Time for a proxy to start and answer `PING`.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// How long after SIGTERM new connections come.
const NEW_CONNECTIONS: Duration = Duration::from_millis(300);
/// SIGKILL comes the longest deadline and this long after SIGTERM.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// The longest deadline of the classes.
const LONGEST_DEADLINE: Duration = Duration::from_millis(1_000);
/// How long after its time an answer may come without being lost, with the protocol's tolerance.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// How often the processes are looked at.
const WATCH_INTERVAL: Duration = Duration::from_millis(50);

/// A broken rule or limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Break {
    /// The rule.
    pub rule: String,
    /// The request, if it is known.
    pub id: Option<String>,
    /// What happened.
    pub what: String,
    /// The path of the request through the records.
    pub path: Vec<String>,
}

/// The result of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Outcome {
    /// Attempts of usual clients, by how they ended.
    pub ends: BTreeMap<String, usize>,
    /// Commands that nodes received.
    pub commands_at_nodes: usize,
    /// Requests of clients that left.
    pub departures: usize,
    /// The highest memory of each proxy, in kB.
    pub peak_memory_kb: Vec<u64>,
    /// The most descriptors that each proxy was seen with.
    pub peak_descriptors: Vec<usize>,
    /// The broken rules.
    pub breaks: Vec<Break>,
}

/// A step in the life of a proxy.
#[derive(Clone, Copy, Debug)]
enum Step {
    Terminate(usize, SignalSeries),
    Move(usize),
    LeaveFront(usize),
    EndTerminated(usize),
    Kill(usize),
    Start(usize),
}

/// A run under way.
struct Run {
    plan: Plan,
    world: World,
    proxies: Vec<Instance>,
    /// Whether each proxy is expected to run.
    running: Vec<bool>,
    /// Whether each proxy has been told to end, and has not been killed yet.
    terminating: Vec<bool>,
    /// Whether clients open new connections to each proxy.
    in_front: Vec<bool>,
    /// Proxies that were killed.
    killed: Vec<usize>,
    /// The list that each proxy has, which its next process is started with.
    known: Vec<serde_json::Value>,
    /// When the load began.
    began: Instant,
    folder: Folder,
    outcome: Outcome,
}

fn io_failure(error: std::io::Error) -> Failure {
    Failure::Io(error.to_string())
}

fn milliseconds(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Plays a plan with this program.
///
/// # Errors
/// A process can't be started, or a file not be written.
pub fn play(plan: &Plan, program: &Path) -> Result<Outcome, Failure> {
    let mut run = Run::start(plan, program)?;
    let mut load = Load::new(plan.rate, run.targets());
    load.patience = ANSWER_GRACE;
    let is_over = Arc::new(AtomicBool::new(false));
    let arena = Arena {
        clock: run.world.clock,
        proxies: run.proxies.iter().map(|proxy| proxy.address).collect(),
        is_over: is_over.clone(),
        departures: hostile::Departures::default(),
    };
    run.world.play(script(plan));
    let load = run.world.load(load);
    let began = Instant::now();
    run.began = began;
    let clients = plan.troubles.iter().cloned().enumerate().map(|(number, trouble)| {
        let (arena, seed) = (arena.clone(), plan.seed.wrapping_add(number as u64));
        std::thread::spawn(move || play_clients(&arena, &trouble, seed, began))
    });
    let clients: Vec<_> = clients.collect();
    let stepped = run.follow_steps(&load, began);
    is_over.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    stepped?;
    load.finish();
    run.judge(&load, &arena)
}

/// Plays the part of a trouble that clients have in it.
fn play_clients(arena: &Arena, trouble: &Trouble, seed: u64, began: Instant) {
    match *trouble {
        Trouble::Crowd { at_ms, proxy, clients, behaviour } => {
            std::thread::sleep(milliseconds(at_ms).saturating_sub(began.elapsed()));
            hostile::crowd(arena, proxy, clients, behaviour, seed);
        }
        Trouble::Leavers { rate, behind_bytes } => hostile::leavers(arena, rate, behind_bytes, seed),
        Trouble::RepeatedIds { rate } => hostile::repeated_ids(arena, rate, seed),
        Trouble::Node { .. }
        | Trouble::SystemCalls { .. }
        | Trouble::Restart { .. }
        | Trouble::Move { .. }
        | Trouble::Kill { .. } => {}
    }
}

/// The faults of nodes, network and discovery.
fn script(plan: &Plan) -> Script {
    let mut script = Script::new();
    for trouble in &plan.troubles {
        let Trouble::Node { at_ms, lasts_ms, node, trouble } = *trouble else { continue };
        let fault = match trouble {
            NodeTrouble::Silent => Fault::Silent(node),
            NodeTrouble::Down => Fault::Down(node),
            NodeTrouble::Resets(share) => Fault::Resets(node, share),
            NodeTrouble::Spoils(share) => Fault::Spoils(node, share),
            NodeTrouble::Drains => Fault::Drain(node),
            NodeTrouble::Cut => Fault::Cut(node % 3),
            NodeTrouble::NoDiscovery => Fault::Discovery(Mode::Down),
            NodeTrouble::LostLists => Fault::Discovery(Mode::LosesAnswers),
        };
        script = script.then(milliseconds(at_ms), milliseconds(lasts_ms), fault);
    }
    script
}

/// The steps of restarts and kills, by time.
fn steps(plan: &Plan) -> Vec<(Duration, Step)> {
    let mut steps = Vec::new();
    for trouble in &plan.troubles {
        match *trouble {
            Trouble::Restart { at_ms, proxy, signals } => {
                let at = milliseconds(at_ms);
                let end = at + LONGEST_DEADLINE + KILL_GRACE;
                steps.push((at, Step::Terminate(proxy, signals)));
                steps.push((at + NEW_CONNECTIONS, Step::LeaveFront(proxy)));
                steps.push((end, Step::EndTerminated(proxy)));
                steps.push((end, Step::Start(proxy)));
            }
            Trouble::Move { at_ms, proxy } => steps.push((milliseconds(at_ms), Step::Move(proxy))),
            Trouble::Kill { at_ms, proxy } => {
                let at = milliseconds(at_ms);
                steps.push((at, Step::Kill(proxy)));
                steps.push((at + milliseconds(1_000), Step::Start(proxy)));
            }
            _ => {}
        }
    }
    steps.sort_by_key(|(at, _)| *at);
    steps
}

impl Run {
    fn start(plan: &Plan, program: &Path) -> Result<Run, Failure> {
        let world = World::start(WorldConfig::new(plan.seed, plan.nodes, plan.proxies));
        let folder = Folder::new("soak").map_err(io_failure)?;
        let rules = plan.troubles.iter().filter_map(|trouble| match trouble {
            Trouble::SystemCalls { rules } => Some(rules.as_str()),
            _ => None,
        });
        let rules = rules.collect::<Vec<_>>().join(";");
        let mut proxies = Vec::new();
        for number in 0..plan.proxies {
            let port = world.discovery.address(number).port().to_string();
            let rules = rules.replace("DISCOVERY", &port);
            let faults = (!rules.is_empty()).then_some(SystemCallFaults { rules, seed: plan.seed });
            let config = configuration(&world, plan, number, free_port().map_err(io_failure)?);
            let started =
                Instance::start_with_faults(program, &folder.0, &config, None, faults).map_err(io_failure)?;
            proxies.push(started);
        }
        for proxy in &mut proxies {
            proxy.ready(READY_TIMEOUT).map_err(io_failure)?;
        }
        Ok(Run {
            plan: plan.clone(),
            running: vec![true; proxies.len()],
            terminating: vec![false; proxies.len()],
            in_front: vec![true; proxies.len()],
            killed: Vec::new(),
            known: (0..plan.proxies).map(|number| world.known(number)).collect(),
            began: Instant::now(),
            outcome: Outcome {
                peak_memory_kb: vec![0; proxies.len()],
                peak_descriptors: vec![0; proxies.len()],
                ..Outcome::default()
            },
            proxies,
            folder,
            world,
        })
    }

    /// The proxies that clients use. One that is ending is used over open connections until it is killed.
    fn targets(&self) -> Vec<Target> {
        let has_process = |number: usize| self.running[number] || self.terminating[number];
        let proxies = self.proxies.iter().enumerate().filter(|(number, _)| has_process(*number));
        let target = |(proxy, instance): (usize, &Instance)| Target {
            proxy,
            address: instance.address,
            takes_new_connections: self.in_front[proxy],
        };
        proxies.map(target).collect()
    }

    /// Follows the steps until the load's time is over, and looks at the processes meanwhile.
    fn follow_steps(&mut self, load: &Load, began: Instant) -> Result<(), Failure> {
        let mut steps = steps(&self.plan).into_iter().peekable();
        let end = Duration::from_secs(self.plan.seconds);
        while began.elapsed() < end || steps.peek().is_some() {
            while let Some((_, step)) = steps.next_if(|(at, _)| *at <= began.elapsed()) {
                self.carry_out(step)?;
                load.front(self.targets());
            }
            self.watch();
            std::thread::sleep(WATCH_INTERVAL);
        }
        Ok(())
    }

    fn carry_out(&mut self, step: Step) -> Result<(), Failure> {
        match step {
            Step::Terminate(number, series) if self.running[number] => {
                (self.running[number], self.terminating[number]) = (false, true);
                let mut signals = series.signals().iter();
                signals.try_for_each(|signal| self.proxies[number].signal(signal)).map_err(io_failure)
            }
            Step::Move(number) if self.running[number] => {
                self.world.discovery.move_proxy(number);
                self.write_configuration(number)?;
                self.proxies[number].signal("-HUP").map_err(io_failure)
            }
            Step::LeaveFront(number) => {
                self.in_front[number] = self.running[number];
                Ok(())
            }
            Step::EndTerminated(number) if !self.running[number] => {
                self.terminating[number] = false;
                self.end_terminated(number)
            }
            Step::Kill(number) if self.running[number] => {
                (self.running[number], self.in_front[number]) = (false, false);
                self.killed.push(number);
                let child = &mut self.proxies[number].child;
                child.kill().and_then(|()| child.wait()).map(|_| ()).map_err(io_failure)
            }
            Step::Start(number) if !self.running[number] => {
                self.write_configuration(number)?;
                self.world.record_start(number, &self.known[number]);
                self.proxies[number].start_again().map_err(io_failure)?;
                self.proxies[number].ready(READY_TIMEOUT).map_err(io_failure)?;
                (self.running[number], self.in_front[number]) = (true, true);
                Ok(())
            }
            // Another step has done it, as the steps of two troubles may overlap.
            Step::Terminate(..) | Step::Move(_) | Step::EndTerminated(_) | Step::Kill(_) | Step::Start(_) => {
                Ok(())
            }
        }
    }

    /// Writes the configuration that a proxy reads at its next start or SIGHUP.
    fn write_configuration(&self, number: usize) -> Result<(), Failure> {
        let address = self.proxies[number].address;
        let mut config = configuration(&self.world, &self.plan, number, address);
        config["known"] = self.known[number].clone();
        let path = self.folder.0.join(format!("{}.json", self.proxies[number].name));
        let next = path.with_extension("next");
        std::fs::write(&next, config.to_string()).map_err(io_failure)?;
        std::fs::rename(next, path).map_err(io_failure)
    }

    /// Checks how a process has ended after SIGTERM, and kills it if it has not.
    fn end_terminated(&mut self, number: usize) -> Result<(), Failure> {
        let child = &mut self.proxies[number].child;
        let status = child.try_wait().map_err(io_failure)?;
        if status.is_none() {
            child.kill().and_then(|()| child.wait()).map_err(io_failure)?;
        }
        if let Some(status) = status.filter(|status| !status.success()) {
            self.limit_broken("crash", format!("proxy {number} ended with {status} after SIGTERM"));
        }
        Ok(())
    }

    /// Whether discovery is down, so that a proxy's list is not the current one.
    fn is_discovery_down(&self) -> bool {
        let now_ms = self.began.elapsed().as_millis() as u64;
        self.plan.troubles.iter().any(|trouble| match *trouble {
            Trouble::Node { at_ms, lasts_ms, trouble: NodeTrouble::NoDiscovery, .. } => {
                (at_ms..at_ms + lasts_ms).contains(&now_ms)
            }
            _ => false,
        })
    }

    fn limit_broken(&mut self, rule: &str, what: String) {
        let is_known = self.outcome.breaks.iter().any(|known| known.rule == rule && known.what == what);
        if !is_known {
            self.outcome.breaks.push(Break { rule: rule.into(), id: None, what, path: Vec::new() });
        }
    }

    /// Looks at memory, descriptors and exits of the processes.
    fn watch(&mut self) {
        for number in 0..self.proxies.len() {
            let ended = self.proxies[number].child.try_wait().ok().flatten();
            if ended.is_none() && !self.is_discovery_down() {
                // A process that is shutting down has new lists, too.
                self.known[number] = self.world.known(number);
            }
            if !self.running[number] {
                continue;
            }
            if let Some(status) = ended {
                self.running[number] = false;
                self.limit_broken("crash", format!("proxy {number} ended by itself with {status}"));
                continue;
            }
            let memory = self.proxies[number].status("VmHWM").unwrap_or(0);
            let descriptors = self.proxies[number].descriptors().unwrap_or(0);
            let peak = &mut self.outcome.peak_memory_kb[number];
            *peak = (*peak).max(memory);
            let peak = &mut self.outcome.peak_descriptors[number];
            *peak = (*peak).max(descriptors);
            if memory > self.plan.memory_mb << 10 {
                self.limit_broken("memory", format!("proxy {number} is over {} MB", self.plan.memory_mb));
            }
            if descriptors as u64 > self.plan.descriptors {
                self.limit_broken(
                    "descriptors",
                    format!("proxy {number} has over {}", self.plan.descriptors),
                );
            }
        }
    }

    /// Judges the run by the records of clients and nodes.
    fn judge(mut self, load: &Load, arena: &Arena) -> Result<Outcome, Failure> {
        self.watch();
        let record = load.record();
        for attempt in &record {
            *self.outcome.ends.entry(format!("{:?}", attempt.end).to_lowercase()).or_default() += 1;
        }
        let departures = arena.departures.lock().unwrap_or_else(PoisonError::into_inner).clone();
        self.outcome.departures = departures.len();
        self.outcome.commands_at_nodes = self.world.boxes.iter().map(|node| node.record().len()).sum();
        let mut broken = self.world.broken(load, self.proxies.len(), &self.killed);
        if self.killed.is_empty() {
            // A new process can't know which ids the one before had in use.
            broken.extend(self.world.ids_used_twice());
        }
        let is_cut = |trouble: &Trouble| matches!(trouble, Trouble::Node { trouble: NodeTrouble::Cut, .. });
        if !self.plan.troubles.iter().any(is_cut) {
            // A cut holds commands up on their way, for which a proxy can do nothing.
            broken.extend(self.world.overstated(load));
            broken.extend(self.world.sent_after_departure(&departures));
        }
        for one in broken {
            let path = one.id.as_deref().map(|id| self.path(load, id)).unwrap_or_default();
            self.outcome.breaks.push(Break { rule: one.rule.into(), id: one.id, what: one.what, path });
        }
        if record.iter().all(|attempt| attempt.end != End::Served) {
            self.limit_broken("service", "nothing was served".into());
        }
        Ok(self.outcome)
    }

    /// The path of a request through the records.
    fn path(&self, load: &Load, id: &str) -> Vec<String> {
        let record = load.record();
        let attempts = record
            .iter()
            .filter(|attempt| attempt.id == id)
            .map(|attempt| (attempt.sent, format!("{attempt:?}")));
        let nodes = self.world.boxes.iter().flat_map(|node| {
            let seen = node.record().into_iter().filter(|seen| seen.id == id);
            seen.map(|seen| (seen.at, format!("{}: {seen:?}", node.config.name))).collect::<Vec<_>>()
        });
        let mut path: Vec<(Duration, String)> = attempts.chain(nodes).collect();
        path.sort();
        path.into_iter().map(|(_, line)| line).collect()
    }
}

/// The configuration of a proxy.
fn configuration(world: &World, plan: &Plan, number: usize, address: SocketAddr) -> serde_json::Value {
    let mut config = world.proxy_config(number, address);
    config["limits"] = json!({"cores": 1.0, "memory_mb": plan.memory_mb, "sockets": plan.descriptors});
    config["settings"]["caps"]["cancelling"] = json!(plan.cancelling);
    for class in config["settings"]["categories"].as_array_mut().into_iter().flatten() {
        class["dedup_window_ns"] = json!(plan.window_ms * 1_000_000);
    }
    config
}
