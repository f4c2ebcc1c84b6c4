//! Random histories of a fleet on a simulated machine with crashes, hangs, lost connections and lost responses. The
//! agent can die between any two of its actions and then resumes from its journal. A failure names the seed.

use fleet::plan::DesiredInstance;
use fleet::{
    Action, Command, Event, Fleet, Millis, Outcome, Plan, Policy, Rejection, Report, Request, Response,
    RolloutState,
};
use std::collections::BTreeMap;

/// Length of one simulated time step.
const STEP_MS: Millis = 20;
/// Marks a request that gets no response.
const NO_RESPONSE: &str = "silent";

/// A simulated process of an instance.
#[derive(Clone, Debug, Default)]
struct Process {
    pid: u32,
    incarnation: u64,
    report: Report,
    ready_at: Millis,
    /// Time at which the process exits.
    exits_at: Option<Millis>,
    /// The process neither responds nor reacts to SIGTERM.
    hung: bool,
    /// The control endpoint is unreachable.
    disconnected: bool,
}

/// The simulated machine and the agent on it.
struct Machine {
    rng: fastrand::Rng,
    now: Millis,
    fleet: Fleet,
    /// Plan as stored in the journal on disk.
    journaled_plan: Plan,
    processes: BTreeMap<String, Process>,
    /// State file of each instance, which outlives its process: revision of the drained boxes, and drained or not.
    state_files: BTreeMap<String, (u64, bool)>,
    next_pid: u32,
    /// Whether a new configuration takes effect only after a restart.
    restart_required: bool,
    /// Generation of a configuration with which processes crash before they become ready.
    crashing_generation: Option<u64>,
    /// Responses in flight with their time of arrival.
    responses: Vec<(Millis, String, Response)>,
    starts: usize,
    /// Number of actions after which the agent dies.
    actions_until_death: Option<usize>,
    agent_deaths: usize,
    boxes: BTreeMap<String, (String, bool)>,
}

fn instance_names(count: usize) -> Vec<String> {
    (0..count).map(|i| format!("n{i:04}")).collect()
}

fn desired_instances(count: usize, generation: u64) -> BTreeMap<String, DesiredInstance> {
    let zone = |i: usize| ["a", "b", "c"][i % 3].to_owned();
    instance_names(count)
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
            journaled_plan: Plan::default(),
            processes: BTreeMap::new(),
            state_files: BTreeMap::new(),
            next_pid: 100,
            restart_required: false,
            crashing_generation: None,
            responses: Vec::new(),
            starts: 0,
            actions_until_death: None,
            agent_deaths: 0,
            boxes: BTreeMap::new(),
        }
    }

    fn handle_event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.fleet.handle(self.now, event, &mut actions);
        self.carry_out(actions);
    }

    fn submit(&mut self, id: &str, base: u64, force: bool, command: Command) -> Result<u64, Rejection> {
        let mut actions = Vec::new();
        let result = self.fleet.submit(self.now, id, base, force, command, &mut actions);
        self.carry_out(actions);
        result
    }

    /// Submits a command based on the current generation, without force.
    fn submit_current(&mut self, id: &str, command: Command) -> Result<u64, Rejection> {
        self.submit(id, self.fleet.plan().generation, false, command)
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        let mut journaled = false;
        for action in actions {
            if let Some(left) = &mut self.actions_until_death {
                if *left == 0 {
                    return self.restart_agent();
                }
                *left -= 1;
            }
            if let Action::WriteJournal(_) = action {
                assert!(!journaled, "more than one journal write in a step");
                journaled = true;
            }
            self.carry_out_one(action);
        }
    }

    /// Simulates the death of the agent and its restart from the journal and the running processes.
    fn restart_agent(&mut self) {
        (self.actions_until_death, self.agent_deaths) = (None, self.agent_deaths + 1);
        self.responses.clear();
        // The records pass through their JSON form, as in the journal.
        let mut plan = Plan::default();
        for record in self.journaled_plan.records() {
            let text = serde_json::to_string(&record).expect("JSON");
            plan.apply_record(serde_json::from_str(&text).expect("JSON")).expect("a plan");
        }
        assert_eq!(plan, self.journaled_plan);
        self.fleet = Fleet::new(plan);
        self.handle_event(Event::BoxesUpdated(self.boxes.clone()));
        for (name, p) in self.processes.clone() {
            self.handle_event(Event::Running { name, pid: p.pid, incarnation: p.incarnation });
        }
    }

    fn carry_out_one(&mut self, action: Action) {
        match action {
            Action::WriteJournal(records) => {
                records.into_iter().for_each(|r| self.journaled_plan.apply_record(r).expect("a record"));
                assert_eq!(&self.journaled_plan, self.fleet.plan(), "the journal differs from the plan");
            }
            Action::Start { name, generation, incarnation, revision, drained } => {
                assert!(!self.processes.contains_key(&name), "{name} is started while its process runs");
                assert_eq!(
                    self.journaled_plan.instances.get(&name).map(|i| i.running),
                    Some(true),
                    "{name} is started without being wanted"
                );
                self.starts += 1;
                self.next_pid += 1;
                let report = Report { generation, revision, drained, ..Report::default() };
                let exits_at = (self.crashing_generation == Some(generation)).then_some(self.now + 60);
                let ready_at = self.now + 40;
                let pid = self.next_pid;
                self.state_files.insert(name.clone(), (revision, drained));
                let process = Process { pid, incarnation, report, ready_at, exits_at, ..Process::default() };
                self.processes.insert(name.clone(), process);
                self.handle_event(Event::Running { name, pid, incarnation });
            }
            Action::Terminate(name) => {
                let now = self.now;
                let process = self.processes.get_mut(&name).expect("a process");
                if !process.hung {
                    process.exits_at = Some(now + 500);
                }
            }
            Action::Kill(name) => {
                self.processes.get_mut(&name).expect("a process").exits_at = Some(self.now);
            }
            Action::SendRequest { name, request } => {
                let restart_required = self.restart_required;
                let process = self.processes.get_mut(&name).expect("a process");
                if process.hung || process.disconnected {
                    return self.responses.push((
                        self.now + 400,
                        name,
                        Response::Rejected(NO_RESPONSE.into()),
                    ));
                }
                let response = match request {
                    Request::SetDrained { revision } => {
                        assert!(
                            revision >= process.report.revision,
                            "the set of drained boxes goes back to an older revision"
                        );
                        process.report.revision = revision;
                        Response::Applied
                    }
                    Request::Reconfigure { .. } if restart_required => Response::RestartRequired,
                    Request::Reconfigure { generation } => {
                        process.report.generation = generation;
                        Response::Applied
                    }
                    Request::Drain | Request::Undrain => {
                        process.report.drained = request == Request::Drain;
                        Response::Applied
                    }
                };
                // The request is applied in any case, but the response may be late.
                let delay = if self.rng.u8(..10) == 0 { 400 } else { 5 };
                self.responses.push((self.now + delay, name, response));
            }
        }
    }

    /// Advances the simulation by one time step.
    fn advance(&mut self) {
        self.now += STEP_MS;
        for (at, name, response) in std::mem::take(&mut self.responses) {
            if at > self.now {
                self.responses.push((at, name, response));
            } else if !self.processes.contains_key(&name) {
            } else if matches!(&response, Response::Rejected(reason) if reason == NO_RESPONSE) {
                self.handle_event(Event::ContactLost { name });
            } else {
                self.handle_event(Event::Responded { name, response });
            }
        }
        let exited: Vec<String> = self
            .processes
            .iter()
            .filter(|(_, p)| p.exits_at.is_some_and(|at| at <= self.now))
            .map(|(n, _)| n.clone())
            .collect();
        for name in exited {
            self.processes.remove(&name);
            self.handle_event(Event::Exited { name, reason: "status 0".into() });
        }
        for (name, mut p) in self.processes.clone() {
            if p.hung || p.disconnected {
                self.handle_event(Event::ContactLost { name });
                continue;
            }
            p.report.ready = self.now >= p.ready_at;
            self.handle_event(Event::Reported { name, report: p.report });
        }
        self.handle_event(Event::Tick);
    }

    fn advance_by(&mut self, duration: Millis) {
        let end = self.now + duration;
        while self.now < end {
            self.advance();
        }
    }

    /// Advances the simulation until a condition holds.
    fn advance_until(&mut self, what: &str, condition: impl Fn(&Machine) -> bool) {
        let end = self.now + 400_000;
        while !condition(self) {
            assert!(self.now < end, "{what}: {:?} {:?}", self.fleet.plan().rollout, self.processes);
            self.advance();
        }
    }

    /// Creates a machine on which all instances run.
    fn with_running_instances(seed: u64, n: usize) -> Machine {
        let mut m = Machine::new(seed);
        m.submit_current("begin", Command::Apply { instances: desired_instances(n, 1), policy: policy() })
            .expect("accepted");
        m.advance_until("all are up", |m| m.outcome("begin") == Outcome::Applied);
        m
    }

    fn outcome(&self, id: &str) -> Outcome {
        self.fleet.operation_status(id).expect("known").outcome
    }

    /// Asserts that an outcome which the fleet reports as final is the one in the journal.
    fn assert_reported_outcome_is_journaled(&self, id: &str) {
        let reported = self.outcome(id);
        let journaled = self.journaled_plan.operations.iter().find(|o| o.id == id).and_then(|o| o.settled);
        let is_final = !matches!(reported, Outcome::Pending | Outcome::Unknown);
        assert!(
            !is_final || journaled == Some(reported),
            "{reported:?} is reported, {journaled:?} journaled"
        );
    }

    fn rollout_state(&self) -> &RolloutState {
        &self.fleet.plan().rollout.as_ref().expect("a rollout").state
    }

    /// Injects a random fault into a random process or the agent.
    fn inject_fault(&mut self) {
        let all: Vec<String> = self.processes.keys().cloned().collect();
        let Some(name) = self.rng.choice(&all).cloned() else { return };
        let now = self.now;
        let actions_until_death = self.rng.usize(..6);
        let kind = self.rng.u8(..8);
        let p = self.processes.get_mut(&name).expect("a process");
        match kind {
            0 | 1 => p.exits_at = Some(now),
            2 => p.hung = true,
            3 | 4 => p.disconnected = true,
            5 => (p.hung, p.disconnected) = (false, false),
            _ => self.actions_until_death = Some(actions_until_death),
        }
    }

    /// Ends all faults.
    fn clear_faults(&mut self) {
        self.actions_until_death = None;
        self.processes.values_mut().for_each(|p| (p.hung, p.disconnected) = (false, false));
    }
}

#[test]
fn random_faults_never_start_an_instance_twice_and_the_fleet_always_converges() {
    let histories = 1_500;
    let (mut agent_deaths, mut starts) = (0, 0);
    for seed in 0..histories {
        let n = 3 + seed as usize % 5;
        let mut m = Machine::with_running_instances(seed, n);
        m.restart_required = seed % 2 == 0;
        let (mut accepted, mut generation) = (0u32, 1);
        for step in 0..40 {
            let one_instance = vec![instance_names(n)[m.rng.usize(..n)].clone()];
            let id = format!("op{step}");
            let command = match m.rng.u8(..12) {
                0 => Command::Down(one_instance),
                1 => Command::Up(one_instance),
                2 => Command::Drain(one_instance),
                3 => Command::Undrain(one_instance),
                4 => Command::DrainBoxes(vec![format!("s-{}", m.rng.u8(..4))]),
                5 => Command::UndrainBoxes(vec![format!("s-{}", m.rng.u8(..4))]),
                6 => Command::Restart(vec![]),
                7 => {
                    generation += 1;
                    Command::Apply {
                        instances: desired_instances(n - m.rng.usize(..2), generation),
                        policy: policy(),
                    }
                }
                8 => Command::Pause,
                9 => Command::Resume,
                10 => Command::Abort,
                _ => Command::Restart(instance_names(n)),
            };
            let base = m.fleet.plan().generation;
            let force = m.rng.bool();
            let result = m.submit(&id, base, force, command.clone());
            // A repeated command is accepted once; another command on the same base is a conflict.
            let known = m.fleet.plan().operations.iter().any(|o| o.id == id);
            if let (Ok(generation), true) = (&result, known) {
                accepted += 1;
                assert_eq!(m.submit(&id, base, true, command).as_ref(), Ok(generation), "seed {seed}");
                let other = m.submit("other", base, true, Command::UndrainBoxes(vec![]));
                assert!(matches!(other, Err(Rejection::Conflict { .. })), "seed {seed}: {other:?}");
            }
            if m.rng.bool() {
                m.inject_fault();
            }
            let duration = m.rng.u64(..800);
            m.advance_by(duration);
        }
        m.clear_faults();
        // A rollout that is still active would not end by itself, for example if it is paused.
        if m.fleet.plan().rollout.as_ref().is_some_and(|r| r.state.is_active()) {
            m.submit_current("last", Command::Abort).expect("accepted");
        }
        m.advance_until(&format!("seed {seed}: the fleet converges"), |m| {
            let plan = m.fleet.plan();
            let running: Vec<&String> =
                plan.instances.iter().filter(|(_, i)| i.running).map(|(n, _)| n).collect();
            let matches_intent = |(name, i): (&String, &fleet::Intent)| {
                m.processes.get(name).is_some_and(|p| {
                    p.incarnation == i.incarnation
                        && p.report.generation == i.generation
                        && p.report.drained == i.drained
                        && p.report.revision == plan.revision
                }) && (i.drained || m.fleet.is_available(name))
            };
            m.processes.keys().eq(running)
                && plan.instances.iter().filter(|(_, i)| i.running).all(matches_intent)
                && plan.rollout.as_ref().is_none_or(|r| !r.state.is_active())
        });
        m.advance_by(100);
        let open: Vec<_> = m.fleet.plan().operations.iter().filter(|o| o.settled.is_none()).collect();
        assert!(open.is_empty(), "seed {seed}: {open:?}");
        assert!(accepted > 0, "seed {seed}: no command was accepted");
        (agent_deaths, starts) = (agent_deaths + m.agent_deaths, starts + m.starts);
    }
    assert!(agent_deaths > 500, "{agent_deaths} deaths of the agent in {histories} histories");
    println!("{histories} histories, {agent_deaths} deaths of the agent, {starts} starts");
}

#[test]
fn a_rollout_never_exceeds_the_limits_on_unavailable_instances() {
    for seed in 0..60 {
        let mut m = Machine::with_running_instances(seed, 12);
        m.submit_current("roll", Command::Restart(vec![])).expect("accepted");
        while m.rollout_state().is_active() {
            // Availability is read from the processes, as an agent that has just started does not know all of it yet.
            let serves = |n: &&String| {
                m.processes.get(*n).is_some_and(|p| p.ready_at <= m.now && p.exits_at.is_none())
            };
            let unavailable: Vec<&String> = m.fleet.plan().instances.keys().filter(|n| !serves(n)).collect();
            assert!(unavailable.len() <= 2, "seed {seed}: {unavailable:?}");
            let zone = |n: &&String| m.fleet.plan().instances[*n].zone.clone();
            assert!(
                unavailable.len() < 2 || zone(&unavailable[0]) != zone(&unavailable[1]),
                "seed {seed}: {unavailable:?} are in the same zone"
            );
            if m.rng.u8(..40) == 0 {
                m.actions_until_death = Some(m.rng.usize(..4));
            }
            m.advance();
            assert!(m.now < 1_000_000, "seed {seed}: the rollout does not end");
        }
        assert_eq!(
            (m.outcome("roll"), m.rollout_state()),
            (Outcome::Applied, &RolloutState::Done),
            "seed {seed}"
        );
        assert_eq!(m.starts, 24, "seed {seed}: each instance is started once and restarted once");
    }
}

#[test]
fn an_agent_death_at_any_step_of_a_rollout_causes_no_second_restart() {
    for actions_until_death in 0..200 {
        let mut m = Machine::with_running_instances(1, 6);
        m.restart_required = true;
        let before = m.starts;
        m.actions_until_death = Some(actions_until_death);
        let base = m.fleet.plan().generation;
        let command = Command::Apply { instances: desired_instances(6, 2), policy: policy() };
        let _ = m.submit("roll", base, false, command.clone());
        // The operator got no response and submits the command again.
        m.submit("roll", base, false, command).expect("accepted once");
        m.advance_until("done", |m| m.outcome("roll") == Outcome::Applied);
        assert_eq!(m.starts - before, 6, "the agent died at action {actions_until_death}");
        assert!(m.processes.values().all(|p| p.report.generation == 2));
    }
}

/// Guards against reporting an outcome before it is in the journal: an agent that dies then would forget it.
#[test]
fn an_operation_is_reported_as_applied_only_once_this_is_in_the_journal() {
    let mut m = Machine::new(11);
    m.submit_current("begin", Command::Apply { instances: desired_instances(2, 1), policy: policy() })
        .expect("accepted");
    let mut steps_as_pending = 0;
    while m.outcome("begin") != Outcome::Applied {
        assert!(steps_as_pending < 1_000, "never applied");
        steps_as_pending += 1;
        // A step without the tick at its end: the instances report, and an operator asks before the next tick.
        m.now += STEP_MS;
        for (name, mut p) in m.processes.clone() {
            p.report.ready = m.now >= p.ready_at;
            m.handle_event(Event::Reported { name, report: p.report });
            m.assert_reported_outcome_is_journaled("begin");
        }
        m.handle_event(Event::Tick);
        m.assert_reported_outcome_is_journaled("begin");
    }
    let before = m.outcome("begin");
    m.restart_agent();
    assert_eq!((m.outcome("begin"), steps_as_pending > 1), (before, true));
}

#[test]
fn a_configuration_that_crashes_pauses_the_rollout_and_can_be_rolled_back() {
    let mut m = Machine::with_running_instances(5, 6);
    (m.restart_required, m.crashing_generation) = (true, Some(2));
    m.submit_current("roll", Command::Apply { instances: desired_instances(6, 2), policy: policy() })
        .expect("accepted");
    m.advance_until("the rollout pauses", |m| matches!(m.rollout_state(), RolloutState::Paused(_)));
    let available = m.fleet.plan().instances.keys().filter(|n| m.fleet.is_available(n)).count();
    assert!(available >= 4, "{available} instances are available");
    let RolloutState::Paused(reason) = m.rollout_state() else { panic!("the rollout is not paused") };
    assert!(reason.contains("ended by itself"), "{reason}");
    m.advance_by(5_000);
    assert!(matches!(m.rollout_state(), RolloutState::Paused(_)));
    m.submit_current("abort", Command::Abort).expect("accepted");
    m.advance_until("the rollback is complete", |m| *m.rollout_state() == RolloutState::Aborted);
    assert!(m.processes.len() == 6 && m.processes.values().all(|p| p.report.generation == 1));
    m.advance_by(40);
    assert_eq!(m.outcome("roll"), Outcome::Failed);
}

/// Guards against a paused rollback that applies the new configuration again when it is resumed.
#[test]
fn a_rollback_that_is_paused_and_resumed_goes_on_rolling_back() {
    let mut m = Machine::with_running_instances(12, 6);
    m.restart_required = true;
    m.submit_current("roll", Command::Apply { instances: desired_instances(6, 2), policy: policy() })
        .expect("accepted");
    let some_changed = |m: &Machine| m.processes.values().any(|p| p.report.generation == 2);
    m.advance_until("an instance is changed", some_changed);
    m.submit_current("abort", Command::Abort).expect("accepted");
    m.submit_current("pause", Command::Pause).expect("accepted");
    m.advance_by(200);
    assert!(matches!(m.rollout_state(), RolloutState::Paused(_)));
    // The direction is in the journal too.
    m.restart_agent();
    m.submit_current("resume", Command::Resume).expect("accepted");
    assert_eq!(*m.rollout_state(), RolloutState::RollingBack);
    m.advance_until("the rollback is complete", |m| *m.rollout_state() == RolloutState::Aborted);
    assert!(m.processes.len() == 6 && m.processes.values().all(|p| p.report.generation == 1));
}

#[test]
fn a_hung_instance_delays_no_other_and_does_not_break_the_limits_on_unavailable_instances() {
    let mut m = Machine::with_running_instances(6, 6);
    m.processes.get_mut("n0003").expect("runs").hung = true;
    m.advance_by(100);
    m.submit_current("drain", Command::DrainBoxes(vec![])).expect("accepted");
    m.advance_by(200);
    let state = m.fleet.operation_status("drain").expect("known");
    assert_eq!((state.outcome, state.instances["n0003"]), (Outcome::Unknown, Outcome::Unknown));
    assert_eq!(state.instances.values().filter(|s| **s == Outcome::Applied).count(), 5);
    // The outcome is resolved as soon as the instance responds again.
    m.processes.get_mut("n0003").expect("runs").hung = false;
    m.advance_until("the outcome is resolved", |m| m.outcome("drain") == Outcome::Applied);
    // A rollout replaces the hung instance and never makes two others unavailable at the same time.
    m.processes.get_mut("n0003").expect("runs").hung = true;
    m.advance_by(100);
    m.submit_current("roll", Command::Restart(vec![])).expect("accepted");
    while m.rollout_state().is_active() {
        let unavailable = m.fleet.plan().instances.keys().filter(|n| !m.fleet.is_available(n)).count();
        assert!(unavailable <= 2, "{unavailable} instances are unavailable");
        m.advance();
    }
    assert_eq!(m.outcome("roll"), Outcome::Applied);
}

#[test]
fn a_drain_of_the_last_instance_or_box_is_rejected_unless_forced() {
    let mut m = Machine::with_running_instances(7, 2);
    m.boxes = [("s-0", "a", true), ("s-1", "a", true), ("s-2", "b", true), ("s-3", "b", false)]
        .map(|(n, z, up)| (n.to_owned(), (z.to_owned(), up)))
        .into();
    m.handle_event(Event::BoxesUpdated(m.boxes.clone()));
    let drain = |names: &[&str]| Command::DrainBoxes(names.iter().map(|n| n.to_string()).collect());
    let is_unsafe =
        |m: &mut Machine, command| matches!(m.submit_current("x", command), Err(Rejection::Unsafe(_)));
    assert!(is_unsafe(&mut m, drain(&["s-2"])), "the only other box of the zone, s-3, is not up");
    assert!(is_unsafe(&mut m, drain(&["s-0", "s-1"])));
    assert!(is_unsafe(&mut m, drain(&["s-9"])), "no instance knows this box");
    m.submit_current("one", drain(&["s-0"])).expect("s-1 is left");
    assert!(is_unsafe(&mut m, drain(&["s-1"])), "s-1 is the last usable box of its zone");
    let generation = m.fleet.plan().generation;
    m.submit("forced", generation, true, drain(&["s-1"])).expect("forced");
    m.submit_current("n0", Command::Drain(vec!["n0000".into()])).expect("n0001 is left");
    m.advance_by(200);
    assert!(is_unsafe(&mut m, Command::Drain(vec!["n0001".into()])));
    assert!(is_unsafe(&mut m, Command::Down(vec!["n0001".into()])));
    assert!(matches!(m.submit_current("x", Command::Drain(vec!["n9".into()])), Err(Rejection::Invalid(_))));
}

#[test]
fn restarts_after_crashes_back_off_exponentially() {
    let mut m = Machine::with_running_instances(8, 1);
    m.crashing_generation = Some(1);
    m.processes.get_mut("n0000").expect("runs").exits_at = Some(m.now);
    let before = m.starts;
    m.advance_by(120_000);
    let starts = m.starts - before;
    // Delays of 0.5, 1, 2, 4, 8, 16, 30, 30, 30 s, each with a jitter of 25 %.
    assert!((7..=12).contains(&starts), "{starts} starts in two minutes");
    m.crashing_generation = None;
    m.advance_until("the instance is available", |m| m.fleet.is_available("n0000"));
    m.advance_by(61_000);
    assert_eq!(m.fleet.observed("n0000").expect("observed").consecutive_crashes, 0);
}

#[test]
fn a_process_of_an_instance_that_was_removed_from_the_plan_is_terminated() {
    let mut m = Machine::with_running_instances(9, 2);
    m.actions_until_death = Some(1);
    let base = m.fleet.plan().generation;
    let _ =
        m.submit("less", base, true, Command::Apply { instances: desired_instances(1, 1), policy: policy() });
    assert_eq!(
        (m.agent_deaths, m.processes.len()),
        (1, 2),
        "the agent must die after the journal write and before the termination of n0001"
    );
    m.advance_until("n0001 is terminated", |m| m.processes.len() == 1);
}

#[test]
#[ignore = "a measurement: cargo test --release -p fleet -- --ignored --nocapture"]
fn measure_rollout_over_two_thousand_instances() {
    for seed in 1..=3 {
        let started = std::time::Instant::now();
        let mut m = Machine::new(seed);
        let policy = Policy {
            batch: 50,
            max_unavailable: 50,
            max_unavailable_in_zone: 50,
            healthy_for: 300,
            ..policy()
        };
        m.submit_current("begin", Command::Apply { instances: desired_instances(2_000, 1), policy })
            .expect("accepted");
        m.advance_until("all are up", |m| m.outcome("begin") == Outcome::Applied);
        let (start_time, rollout_start) = (started.elapsed(), m.now);
        m.submit_current("roll", Command::Restart(vec![])).expect("accepted");
        m.advance_until("done", |m| m.outcome("roll") == Outcome::Applied);
        let (rollout_time, steps) = (started.elapsed() - start_time, (m.now - rollout_start) / STEP_MS);
        let us_per_report = rollout_time.as_secs_f64() * 1e6 / (steps * 2_000) as f64;
        println!(
            "seed {seed}: started in {start_time:?}; rollout took {rollout_time:?} for {} s of simulated time: \
             {us_per_report:.2} us per report and reconciliation, including the simulation itself",
            (m.now - rollout_start) / 1_000
        );
    }
}
