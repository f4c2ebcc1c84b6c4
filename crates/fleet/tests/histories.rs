//! Random histories of a fleet on a simulated machine: crashes, hangs, lost contact, lost answers, and an agent
//! that dies between any two of its actions and goes on from its journal. A failure names the seed.

use fleet::plan::DesiredInstance;
use fleet::{
    Action, Command, Event, Fleet, Millis, Outcome, Plan, Policy, Rejection, Report, Request, Response,
    RolloutState,
};
use std::collections::BTreeMap;

#[derive(Clone, Debug, Default)]
struct Process {
    pid: u32,
    incarnation: u64,
    report: Report,
    ready_at: Millis,
    /// It ends by itself then.
    ends_at: Option<Millis>,
    hung: bool,
    cut: bool,
}

/// The machine, and the agent on it.
struct Machine {
    rng: fastrand::Rng,
    now: Millis,
    fleet: Fleet,
    disk: Plan,
    processes: BTreeMap<String, Process>,
    /// What each instance's state file holds: it outlives the process.
    kept: BTreeMap<String, (u64, bool)>,
    next_pid: u32,
    /// Configurations that hold only from a restart on, and those that never become ready.
    restart: bool,
    bad: Option<u64>,
    /// Answers that are on their way.
    answers: Vec<(Millis, String, Response)>,
    starts: usize,
    /// The agent dies after so many more actions.
    dies_in: Option<usize>,
    deaths: usize,
    boxes: BTreeMap<String, (String, bool)>,
}

fn names(n: usize) -> Vec<String> {
    (0..n).map(|i| format!("n{i:04}")).collect()
}

fn wanted(n: usize, generation: u64) -> BTreeMap<String, DesiredInstance> {
    let zone = |i: usize| ["a", "b", "c"][i % 3].to_owned();
    names(n)
        .into_iter()
        .enumerate()
        .map(|(i, name)| (name, DesiredInstance { zone: zone(i), generation }))
        .collect()
}

fn policy() -> Policy {
    Policy {
        batch: 2,
        max_unavailable: 2,
        healthy_for: 300,
        ready_within: 2_000,
        stop_within: 1_500,
        ..Policy::default()
    }
}

impl Machine {
    fn new(seed: u64) -> Machine {
        Machine {
            rng: fastrand::Rng::with_seed(seed),
            now: 1_000,
            fleet: Fleet::default(),
            disk: Plan::default(),
            processes: BTreeMap::new(),
            kept: BTreeMap::new(),
            next_pid: 100,
            restart: false,
            bad: None,
            answers: Vec::new(),
            starts: 0,
            dies_in: None,
            deaths: 0,
            boxes: BTreeMap::new(),
        }
    }

    fn event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.fleet.handle(self.now, event, &mut actions);
        self.act(actions);
    }

    fn submit(&mut self, id: &str, base: u64, force: bool, command: Command) -> Result<u64, Rejection> {
        let mut actions = Vec::new();
        let done = self.fleet.submit(self.now, id, base, force, command, &mut actions);
        self.act(actions);
        done
    }

    /// Asks as an operator that looks first.
    fn ask(&mut self, id: &str, command: Command) -> Result<u64, Rejection> {
        self.submit(id, self.fleet.plan().generation, false, command)
    }

    fn act(&mut self, actions: Vec<Action>) {
        let mut journaled = false;
        for action in actions {
            if let Some(left) = &mut self.dies_in {
                if *left == 0 {
                    return self.agent_dies();
                }
                *left -= 1;
            }
            if let Action::WriteJournal(_) = action {
                assert!(!journaled, "one journal write a step");
                journaled = true;
            }
            self.one(action);
        }
    }

    fn agent_dies(&mut self) {
        (self.dies_in, self.deaths) = (None, self.deaths + 1);
        self.answers.clear();
        // The journal as text and back.
        let mut plan = Plan::default();
        for record in self.disk.records() {
            let text = serde_json::to_string(&record).expect("JSON");
            plan.apply_record(serde_json::from_str(&text).expect("JSON")).expect("a plan");
        }
        assert_eq!(plan, self.disk);
        self.fleet = Fleet::new(plan);
        self.event(Event::BoxesUpdated(self.boxes.clone()));
        for (name, p) in self.processes.clone() {
            self.event(Event::Running { name, pid: p.pid, incarnation: p.incarnation });
        }
    }

    fn one(&mut self, action: Action) {
        match action {
            Action::WriteJournal(records) => {
                records.into_iter().for_each(|r| self.disk.apply_record(r).expect("a record"));
                assert_eq!(&self.disk, self.fleet.plan(), "the journal has all of the plan");
            }
            Action::Start { name, generation, incarnation, revision, drained } => {
                assert!(!self.processes.contains_key(&name), "{name} is started twice");
                assert_eq!(
                    self.disk.instances.get(&name).map(|i| i.running),
                    Some(true),
                    "{name} is not wanted"
                );
                self.starts += 1;
                self.next_pid += 1;
                let report = Report { generation, revision, drained, ..Report::default() };
                let ends_at = (self.bad == Some(generation)).then_some(self.now + 60);
                let ready_at = self.now + 40;
                let pid = self.next_pid;
                self.kept.insert(name.clone(), (revision, drained));
                let process = Process { pid, incarnation, report, ready_at, ends_at, ..Process::default() };
                self.processes.insert(name.clone(), process);
                self.event(Event::Running { name, pid, incarnation });
            }
            Action::Terminate(name) => {
                let now = self.now;
                let process = self.processes.get_mut(&name).expect("a process");
                if !process.hung {
                    process.ends_at = Some(now + 500);
                }
            }
            Action::Kill(name) => {
                self.processes.get_mut(&name).expect("a process").ends_at = Some(self.now);
            }
            Action::SendRequest { name, request } => {
                let restart = self.restart;
                let process = self.processes.get_mut(&name).expect("a process");
                if process.hung || process.cut {
                    return self.answers.push((self.now + 400, name, Response::Rejected("silent".into())));
                }
                let answer = match request {
                    Request::SetDrained { revision } => {
                        assert!(revision >= process.report.revision, "a set of boxes goes back");
                        process.report.revision = revision;
                        Response::Applied
                    }
                    Request::Reconfigure { .. } if restart => Response::RestartRequired,
                    Request::Reconfigure { generation } => {
                        process.report.generation = generation;
                        Response::Applied
                    }
                    Request::Drain | Request::Undrain => {
                        process.report.drained = request == Request::Drain;
                        Response::Applied
                    }
                };
                // It is done; the answer may be lost.
                let late = if self.rng.u8(..10) == 0 { 400 } else { 5 };
                self.answers.push((self.now + late, name, answer));
            }
        }
    }

    /// Twenty milliseconds pass.
    fn turn(&mut self) {
        self.now += 20;
        for (at, name, answer) in std::mem::take(&mut self.answers) {
            if at > self.now {
                self.answers.push((at, name, answer));
            } else if !self.processes.contains_key(&name) {
            } else if matches!(&answer, Response::Rejected(why) if why == "silent") {
                self.event(Event::ContactLost { name });
            } else {
                self.event(Event::Responded { name, response: answer });
            }
        }
        let ended: Vec<String> = self
            .processes
            .iter()
            .filter(|(_, p)| p.ends_at.is_some_and(|at| at <= self.now))
            .map(|(n, _)| n.clone())
            .collect();
        for name in ended {
            self.processes.remove(&name);
            self.event(Event::Exited { name, reason: "status 0".into() });
        }
        for (name, mut p) in self.processes.clone() {
            if p.hung || p.cut {
                self.event(Event::ContactLost { name });
                continue;
            }
            p.report.ready = self.now >= p.ready_at;
            self.event(Event::Reported { name, report: p.report });
        }
        self.event(Event::Tick);
    }

    fn turns(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.turn();
        }
    }

    fn until(&mut self, what: &str, done: impl Fn(&Machine) -> bool) {
        let end = self.now + 400_000;
        while !done(self) {
            assert!(self.now < end, "{what}: {:?} {:?}", self.fleet.plan().rollout, self.processes);
            self.turn();
        }
    }

    fn up(seed: u64, n: usize) -> Machine {
        let mut m = Machine::new(seed);
        m.ask("begin", Command::Apply { instances: wanted(n, 1), policy: policy() }).expect("taken");
        m.until("all are up", |m| m.outcome("begin") == Outcome::Applied);
        m
    }

    fn outcome(&self, id: &str) -> Outcome {
        self.fleet.operation_status(id).expect("known").outcome
    }

    fn rollout(&self) -> &RolloutState {
        &self.fleet.plan().rollout.as_ref().expect("a rollout").state
    }

    /// Something goes wrong.
    fn fault(&mut self) {
        let all: Vec<String> = self.processes.keys().cloned().collect();
        let Some(name) = self.rng.choice(&all).cloned() else { return };
        let now = self.now;
        let dies = self.rng.usize(..6);
        let kind = self.rng.u8(..8);
        let p = self.processes.get_mut(&name).expect("a process");
        match kind {
            0 | 1 => p.ends_at = Some(now),
            2 => p.hung = true,
            3 | 4 => p.cut = true,
            5 => (p.hung, p.cut) = (false, false),
            _ => self.dies_in = Some(dies),
        }
    }

    fn calm(&mut self) {
        self.dies_in = None;
        self.processes.values_mut().for_each(|p| (p.hung, p.cut) = (false, false));
    }
}

#[test]
fn whatever_happens_nothing_runs_twice_and_all_becomes_as_wanted() {
    let histories = 1_500;
    let (mut deaths, mut starts) = (0, 0);
    for seed in 0..histories {
        let n = 3 + seed as usize % 5;
        let mut m = Machine::up(seed, n);
        m.restart = seed % 2 == 0;
        let (mut taken, mut generation) = (0u32, 1);
        for step in 0..40 {
            let some = vec![names(n)[m.rng.usize(..n)].clone()];
            let id = format!("op{step}");
            let command = match m.rng.u8(..12) {
                0 => Command::Down(some),
                1 => Command::Up(some),
                2 => Command::Drain(some),
                3 => Command::Undrain(some),
                4 => Command::DrainBoxes(vec![format!("s-{}", m.rng.u8(..4))]),
                5 => Command::UndrainBoxes(vec![format!("s-{}", m.rng.u8(..4))]),
                6 => Command::Restart(vec![]),
                7 => {
                    generation += 1;
                    Command::Apply { instances: wanted(n - m.rng.usize(..2), generation), policy: policy() }
                }
                8 => Command::Pause,
                9 => Command::Resume,
                10 => Command::Abort,
                _ => Command::Restart(names(n)),
            };
            let base = m.fleet.plan().generation;
            let force = m.rng.bool();
            let one = m.submit(&id, base, force, command.clone());
            // Said again, and at once on the same base by another: once, and a conflict.
            let known = m.fleet.plan().operations.iter().any(|o| o.id == id);
            if let (Ok(generation), true) = (&one, known) {
                taken += 1;
                assert_eq!(m.submit(&id, base, true, command).as_ref(), Ok(generation), "seed {seed}");
                let other = m.submit("other", base, true, Command::UndrainBoxes(vec![]));
                assert!(matches!(other, Err(Rejection::Conflict { .. })), "seed {seed}: {other:?}");
            }
            if m.rng.bool() {
                m.fault();
            }
            let span = m.rng.u64(..800);
            m.turns(span);
        }
        m.calm();
        // Whatever the operators left unfinished, they finish.
        if m.fleet.plan().rollout.as_ref().is_some_and(|r| r.state.is_active()) {
            m.ask("last", Command::Abort).expect("taken");
        }
        m.until(&format!("seed {seed} settles"), |m| {
            let plan = m.fleet.plan();
            let running: Vec<&String> =
                plan.instances.iter().filter(|(_, i)| i.running).map(|(n, _)| n).collect();
            let as_wanted = |(name, i): (&String, &fleet::Intent)| {
                m.processes.get(name).is_some_and(|p| {
                    p.incarnation == i.incarnation
                        && p.report.generation == i.generation
                        && p.report.drained == i.drained
                        && p.report.revision == plan.revision
                })
            };
            m.processes.keys().eq(running)
                && plan.instances.iter().filter(|(_, i)| i.running).all(as_wanted)
                && plan.rollout.as_ref().is_none_or(|r| !r.state.is_active())
        });
        m.turns(100);
        let open: Vec<_> = m.fleet.plan().operations.iter().filter(|o| o.settled.is_none()).collect();
        assert!(open.is_empty(), "seed {seed}: {open:?}");
        assert!(taken > 0, "seed {seed} took nothing");
        (deaths, starts) = (deaths + m.deaths, starts + m.starts);
    }
    assert!(deaths > 500, "{deaths} deaths of the agent in {histories} histories");
    println!("{histories} histories, {deaths} deaths of the agent, {starts} starts");
}

#[test]
fn a_rollout_never_has_more_out_than_it_may() {
    for seed in 0..60 {
        let mut m = Machine::up(seed, 12);
        m.ask("roll", Command::Restart(vec![])).expect("taken");
        while m.rollout().is_active() {
            // By the processes themselves: an agent that has just begun knows less.
            let serves =
                |n: &&String| m.processes.get(*n).is_some_and(|p| p.ready_at <= m.now && p.ends_at.is_none());
            let out: Vec<&String> = m.fleet.plan().instances.keys().filter(|n| !serves(n)).collect();
            assert!(out.len() <= 2, "seed {seed}: {out:?}");
            let zone = |n: &&String| m.fleet.plan().instances[*n].zone.clone();
            assert!(out.len() < 2 || zone(&out[0]) != zone(&out[1]), "seed {seed}: {out:?} of one zone");
            if m.rng.u8(..40) == 0 {
                m.dies_in = Some(m.rng.usize(..4));
            }
            m.turn();
            assert!(m.now < 1_000_000, "seed {seed} ends");
        }
        assert_eq!((m.outcome("roll"), m.rollout()), (Outcome::Applied, &RolloutState::Done), "seed {seed}");
        assert_eq!(m.starts, 24, "seed {seed}: each started once, and once anew");
    }
}

#[test]
fn the_agent_may_die_at_every_single_step_of_a_rollout() {
    for at in 0..200 {
        let mut m = Machine::up(1, 6);
        m.restart = true;
        let before = m.starts;
        m.dies_in = Some(at);
        let base = m.fleet.plan().generation;
        let command = Command::Apply { instances: wanted(6, 2), policy: policy() };
        let _ = m.submit("roll", base, false, command.clone());
        // The operator heard nothing, and says it again.
        m.submit("roll", base, false, command).expect("taken, once");
        m.until("done", |m| m.outcome("roll") == Outcome::Applied);
        assert_eq!(m.starts - before, 6, "the agent died at action {at}");
        assert!(m.processes.values().all(|p| p.report.generation == 2));
    }
}

#[test]
fn a_configuration_that_does_not_start_pauses_the_rollout_and_goes_back() {
    let mut m = Machine::up(5, 6);
    (m.restart, m.bad) = (true, Some(2));
    m.ask("roll", Command::Apply { instances: wanted(6, 2), policy: policy() }).expect("taken");
    m.until("it pauses", |m| matches!(m.rollout(), RolloutState::Paused(_)));
    let well = m.fleet.plan().instances.keys().filter(|n| m.fleet.is_available(n)).count();
    assert!(well >= 4, "{well} serve");
    let RolloutState::Paused(why) = m.rollout() else { panic!("paused") };
    assert!(why.contains("ended by itself"), "{why}");
    m.turns(5_000);
    assert!(matches!(m.rollout(), RolloutState::Paused(_)));
    m.ask("back", Command::Abort).expect("taken");
    m.until("it is back", |m| *m.rollout() == RolloutState::Aborted);
    assert!(m.processes.len() == 6 && m.processes.values().all(|p| p.report.generation == 1));
    m.turns(40);
    assert_eq!(m.outcome("roll"), Outcome::Failed);
}

#[test]
fn one_that_hangs_holds_up_neither_the_others_nor_the_bound() {
    let mut m = Machine::up(6, 6);
    m.processes.get_mut("n0003").expect("runs").hung = true;
    m.turns(100);
    m.ask("drain", Command::DrainBoxes(vec![])).expect("taken");
    m.turns(200);
    let state = m.fleet.operation_status("drain").expect("known");
    assert_eq!((state.outcome, state.instances["n0003"]), (Outcome::Unknown, Outcome::Unknown));
    assert_eq!(state.instances.values().filter(|s| **s == Outcome::Applied).count(), 5);
    // Unknown is not done; it settles by itself.
    m.processes.get_mut("n0003").expect("runs").hung = false;
    m.until("it settles", |m| m.outcome("drain") == Outcome::Applied);
    // A rollout replaces the one that hangs, and has no other two out meanwhile.
    m.processes.get_mut("n0003").expect("runs").hung = true;
    m.turns(100);
    m.ask("roll", Command::Restart(vec![])).expect("taken");
    while m.rollout().is_active() {
        let out = m.fleet.plan().instances.keys().filter(|n| !m.fleet.is_available(n)).count();
        assert!(out <= 2, "{out} are out");
        m.turn();
    }
    assert_eq!(m.outcome("roll"), Outcome::Applied);
}

#[test]
fn a_drain_that_leaves_nothing_is_refused_unless_forced() {
    let mut m = Machine::up(7, 2);
    m.boxes = [("s-0", "a", true), ("s-1", "a", true), ("s-2", "b", true), ("s-3", "b", false)]
        .map(|(n, z, up)| (n.to_owned(), (z.to_owned(), up)))
        .into();
    m.event(Event::BoxesUpdated(m.boxes.clone()));
    let drain = |names: &[&str]| Command::DrainBoxes(names.iter().map(|n| n.to_string()).collect());
    let refused = |m: &mut Machine, command| matches!(m.ask("x", command), Err(Rejection::Unsafe(_)));
    assert!(refused(&mut m, drain(&["s-2"])), "s-3 is of its zone but not up");
    assert!(refused(&mut m, drain(&["s-0", "s-1"])));
    assert!(refused(&mut m, drain(&["s-9"])), "nobody knows it");
    m.ask("one", drain(&["s-0"])).expect("s-1 is left");
    assert!(refused(&mut m, drain(&["s-1"])), "now it is the last");
    let generation = m.fleet.plan().generation;
    m.submit("forced", generation, true, drain(&["s-1"])).expect("forced");
    m.ask("n0", Command::Drain(vec!["n0000".into()])).expect("n0001 is left");
    m.turns(200);
    assert!(refused(&mut m, Command::Drain(vec!["n0001".into()])));
    assert!(refused(&mut m, Command::Down(vec!["n0001".into()])));
    assert!(matches!(m.ask("x", Command::Drain(vec!["n9".into()])), Err(Rejection::Invalid(_))));
}

#[test]
fn crashes_are_followed_by_longer_and_longer_pauses() {
    let mut m = Machine::up(8, 1);
    m.bad = Some(1);
    m.processes.get_mut("n0000").expect("runs").ends_at = Some(m.now);
    let before = m.starts;
    m.turns(120_000);
    let starts = m.starts - before;
    // 0.5, 1, 2, 4, 8, 16, 30, 30, 30 s and a quarter either way.
    assert!((7..=12).contains(&starts), "{starts} starts in two minutes");
    m.bad = None;
    m.until("it runs", |m| m.fleet.is_available("n0000"));
    m.turns(61_000);
    assert_eq!(m.fleet.observed("n0000").expect("seen").consecutive_crashes, 0);
}

#[test]
fn a_process_that_the_plan_does_not_know_is_ended() {
    let mut m = Machine::up(9, 2);
    m.dies_in = Some(1);
    let base = m.fleet.plan().generation;
    let _ = m.submit("less", base, true, Command::Apply { instances: wanted(1, 1), policy: policy() });
    assert_eq!(
        (m.deaths, m.processes.len()),
        (1, 2),
        "the agent died between its journal and the end of n0001"
    );
    m.until("it ends", |m| m.processes.len() == 1);
}

#[test]
#[ignore = "a measurement: cargo test --release -p fleet -- --ignored --nocapture"]
fn two_thousand_instances() {
    for seed in 1..=3 {
        let begun = std::time::Instant::now();
        let mut m = Machine::new(seed);
        let policy = Policy {
            batch: 50,
            max_unavailable: 50,
            max_unavailable_in_zone: 50,
            healthy_for: 300,
            ..policy()
        };
        m.ask("begin", Command::Apply { instances: wanted(2_000, 1), policy }).expect("taken");
        m.until("all are up", |m| m.outcome("begin") == Outcome::Applied);
        let (up, from) = (begun.elapsed(), m.now);
        m.ask("roll", Command::Restart(vec![])).expect("taken");
        m.until("done", |m| m.outcome("roll") == Outcome::Applied);
        let (rolled, turns) = (begun.elapsed() - up, (m.now - from) / 20);
        let report = rolled.as_secs_f64() * 1e6 / (turns * 2_000) as f64;
        println!("seed {seed}: up in {up:?}; rolled in {rolled:?} for {} s of the machine's: {report:.2} us a report and look, the simulated machine's own work counted", (m.now - from) / 1_000);
    }
}
