//! The choices of an agent that runs many proxies on a machine.
//!
//! [`Fleet`] holds what operators want ([`plan`]) and what is seen of each instance, and says step by step what
//! to do so that the second becomes the first. It is level-triggered: each step follows from the two alone, so an
//! agent that died anywhere goes on from its journal and a look at the machine. No clock, file, process or socket
//! is touched here; the host hands in events with times and carries out actions in their order.
//!
//! The host must have [`Action::WriteJournal`] on disk before it carries out what follows it.

pub mod plan;
mod rollout;

pub use plan::{
    Command, Intent, Operation, Plan, Policy, Record, RecordKey, Rejection, Rollout, RolloutState,
};

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Milliseconds on the host's clock.
pub type Millis = u64;

/// The first pause after a crash; each further one doubles it up to the last.
const BACKOFF: [Millis; 2] = [500, 30_000];
/// An instance that was ready for so long has its crashes forgotten.
const FORGIVEN: Millis = 60_000;

/// What an instance's control endpoint last said.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// It knows boxes and serves, or does so when it is not drained.
    pub ready: bool,
    /// It is drained.
    pub drained: bool,
    /// The configuration in force.
    pub generation: u64,
    /// The set of drained boxes in force.
    pub revision: u64,
}

/// What happens.
#[derive(Clone, Debug)]
pub enum Event {
    /// A process of this instance runs: it was started, or found. It was started for this incarnation.
    Running {
        /// Instance.
        name: String,
        /// Process.
        pid: u32,
        /// What it was started for.
        incarnation: u64,
    },
    /// It could not be started.
    StartFailed {
        /// Instance.
        name: String,
        /// Why.
        reason: String,
    },
    /// Its process has ended.
    Exited {
        /// Instance.
        name: String,
        /// How, for people.
        reason: String,
    },
    /// Its control endpoint told its state.
    Reported {
        /// Instance.
        name: String,
        /// The state.
        report: Report,
    },
    /// The contact to its control endpoint broke, or an answer did not come in time.
    ContactLost {
        /// Instance.
        name: String,
    },
    /// It answered the request that was out.
    Responded {
        /// Instance.
        name: String,
        /// What it said.
        response: Response,
    },
    /// What instances know of boxes: each with its zone and whether discovery says that it takes work.
    BoxesUpdated(BTreeMap<String, (String, bool)>),
    /// Time passes.
    Tick,
}

/// What an instance said to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// It is done.
    Applied,
    /// The configuration holds only from a restart on.
    RestartRequired,
    /// It will not do it.
    Rejected(String),
}

/// What to do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Keep these before anything that follows is done.
    WriteJournal(Vec<Record>),
    /// Start an instance, with its drained boxes in force before it serves.
    Start {
        /// Instance.
        name: String,
        /// Its configuration.
        generation: u64,
        /// What this process is for.
        incarnation: u64,
        /// Its set of drained boxes.
        revision: u64,
        /// It begins drained.
        drained: bool,
    },
    /// Tell its process to end (SIGTERM).
    Terminate(String),
    /// End its process (SIGKILL).
    Kill(String),
    /// Ask its control endpoint for this; [`Event::Responded`] or [`Event::ContactLost`] is to follow.
    SendRequest {
        /// Instance.
        name: String,
        /// What.
        request: Request,
    },
}

/// A request to a control endpoint. Each is the same when made twice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// The plan's set of drained boxes.
    SetDrained {
        /// Its number.
        revision: u64,
    },
    /// The configuration of this generation.
    Reconfigure {
        /// Its number.
        generation: u64,
    },
    /// Take nothing new.
    Drain,
    /// Serve again.
    Undrain,
}

/// What is seen of an instance.
#[derive(Clone, Debug, Default)]
pub struct ObservedInstance {
    /// Its process, and what that was started for.
    pub process: Option<(u32, u64)>,
    /// A start has been asked for and not answered.
    starting: bool,
    /// The process was found, and not started by this agent's process.
    adopted: bool,
    /// When the process was first seen.
    since: Millis,
    /// What it last said, and whether it still speaks.
    pub report: Option<Report>,
    /// It speaks.
    pub connected: bool,
    /// The request that is out.
    sent: Option<Request>,
    /// When it was told to end, and whether it was killed.
    ending: Option<Millis>,
    killed: bool,
    /// Ready since.
    ready_since: Option<Millis>,
    /// Crashes in a row, and when the next start may be.
    pub consecutive_crashes: u32,
    /// No start before this.
    pub retry_at: Millis,
    /// The generation that it said needs a restart.
    needs_restart: Option<u64>,
    /// What went wrong last, for people.
    pub last_error: Option<String>,
}

/// How an operation stands with one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It holds.
    Applied,
    /// Under way.
    Pending,
    /// It may hold or not: there is no contact. It settles by itself when contact is back.
    Unknown,
    /// The instance does not run; it holds from its start on.
    Down,
    /// A later operation wants something else there.
    Superseded,
    /// It went wrong.
    Failed,
}

/// How an operation stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperationStatus {
    /// All in one: the least of its instances.
    pub outcome: Outcome,
    /// Of each instance that it concerns.
    pub instances: BTreeMap<String, Outcome>,
    /// What there is to say, for people.
    pub detail: String,
}

/// The fleet of one agent.
#[derive(Debug, Default)]
pub struct Fleet {
    plan: Plan,
    observed: BTreeMap<String, ObservedInstance>,
    boxes: BTreeMap<String, (String, bool)>,
    dirty: BTreeSet<RecordKey>,
}

impl Fleet {
    /// A fleet that goes on from what its journal has. What runs on the machine is to be told next, by
    /// [`Event::Running`] for each process, before the first [`Event::Tick`].
    pub fn new(plan: Plan) -> Self {
        let observed =
            plan.instances.keys().map(|name| (name.clone(), ObservedInstance::default())).collect();
        Fleet { plan, observed, ..Fleet::default() }
    }

    /// What is wanted.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// What is seen of an instance.
    pub fn observed(&self, name: &str) -> Option<&ObservedInstance> {
        self.observed.get(name)
    }

    /// Takes one event and appends the actions that it calls for.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        let begun = actions.len();
        match event {
            Event::Tick => {
                let names: Vec<String> = self.observed.keys().cloned().collect();
                names.iter().for_each(|name| self.step(now, name, actions));
                self.advance(now);
                // What the rollout has just wanted is begun at once.
                let changed: Vec<String> = self.changed_instances();
                changed.iter().for_each(|name| self.step(now, name, actions));
                self.settle();
            }
            Event::BoxesUpdated(boxes) => self.boxes = boxes,
            Event::Running { name, pid, incarnation } => {
                // One that the plan does not know, or no longer, is seen too, so that it is ended.
                let s = self.observed.entry(name).or_default();
                let (consecutive_crashes, retry_at, last_error) =
                    (s.consecutive_crashes, s.retry_at, s.last_error.take());
                let (process, adopted) = (Some((pid, incarnation)), !s.starting);
                *s = ObservedInstance {
                    process,
                    adopted,
                    since: now,
                    consecutive_crashes,
                    retry_at,
                    last_error,
                    ..ObservedInstance::default()
                };
            }
            Event::StartFailed { name, reason } => self.crashed(now, &name, reason),
            Event::Exited { name, reason } => self.exited(now, &name, reason, actions),
            Event::Reported { name, report } => {
                if let Some(s) = self.observed.get_mut(&name).filter(|s| s.process.is_some()) {
                    let up = report.ready && !report.drained;
                    s.ready_since = if up { s.ready_since.or(Some(now)) } else { None };
                    (s.connected, s.report) = (true, Some(report));
                    self.step(now, &name, actions);
                }
            }
            Event::ContactLost { name } => {
                if let Some(s) = self.observed.get_mut(&name) {
                    // What was asked may have been done: what is heard next will say.
                    (s.connected, s.sent, s.ready_since) = (false, None, None);
                }
            }
            Event::Responded { name, response } => {
                if let Some(s) = self.observed.get_mut(&name) {
                    match (s.sent.take(), response) {
                        (Some(Request::Reconfigure { generation }), Response::RestartRequired) => {
                            s.needs_restart = Some(generation);
                            self.step(now, &name, actions);
                        }
                        // Asked again only when it reports anew: an endless refusal must not spin.
                        (_, Response::Rejected(why)) => s.last_error = Some(why),
                        _ => {}
                    }
                }
            }
        }
        self.write_journal(begun, actions);
    }

    /// Puts what has changed of the plan before all that follows from it.
    fn write_journal(&mut self, at: usize, actions: &mut Vec<Action>) {
        if !self.dirty.is_empty() {
            let keys = std::mem::take(&mut self.dirty);
            let records = keys.into_iter().map(|key| self.plan.record(key)).collect();
            actions.insert(at, Action::WriteJournal(records));
        }
    }

    fn touch(&mut self, key: RecordKey) {
        self.dirty.insert(key);
    }

    fn changed_instances(&self) -> Vec<String> {
        let names =
            self.dirty
                .iter()
                .filter_map(|k| if let RecordKey::Instance(n) = k { Some(n.clone()) } else { None });
        names.collect()
    }

    // ---- one instance ----

    fn exited(&mut self, now: Millis, name: &str, reason: String, actions: &mut Vec<Action>) {
        let Some(s) = self.observed.get_mut(name) else { return };
        // Danger: the agent before this one may have told it to end. A process that is not as it is wanted, and
        // was found, has not crashed.
        let as_wanted = self.plan.instances.get(name).is_some_and(|i| {
            let same = s.process.is_some_and(|p| p.1 == i.incarnation);
            i.running && same && s.report.as_ref().is_some_and(|r| r.generation == i.generation)
        });
        let wanted = s.ending.is_some() || (s.adopted && !as_wanted);
        let (consecutive_crashes, retry_at, last_error) =
            (s.consecutive_crashes, s.retry_at, s.last_error.take());
        *s = ObservedInstance { consecutive_crashes, retry_at, last_error, ..ObservedInstance::default() };
        if wanted {
            self.step(now, name, actions);
        } else {
            self.crashed(now, name, format!("ended by itself: {reason}"));
        }
    }

    fn crashed(&mut self, now: Millis, name: &str, reason: String) {
        let Some(s) = self.observed.get_mut(name) else { return };
        let pause = (BACKOFF[0] << s.consecutive_crashes.min(10)).min(BACKOFF[1]);
        // A quarter either way, so that instances that died as one do not start as one.
        let spread = name
            .bytes()
            .fold(u64::from(s.consecutive_crashes), |h, b| h.wrapping_mul(31).wrapping_add(u64::from(b)));
        let retry_at = now + pause * (75 + spread % 51) / 100;
        let consecutive_crashes = s.consecutive_crashes + 1;
        *s = ObservedInstance {
            consecutive_crashes,
            retry_at,
            last_error: Some(reason),
            ..ObservedInstance::default()
        };
    }

    /// The next step of an instance from what is seen to what is wanted.
    fn step(&mut self, now: Millis, name: &str, actions: &mut Vec<Action>) {
        let Some(s) = self.observed.get_mut(name) else { return };
        let intent = self.plan.instances.get(name);
        let policy = &self.plan.policy;
        let wanted = intent.is_some_and(|i| i.running);
        let Some((_, incarnation)) = s.process else {
            match intent {
                Some(i) if wanted && !s.starting && now >= s.retry_at => {
                    s.starting = true;
                    actions.push(Action::Start {
                        name: name.to_owned(),
                        generation: i.generation,
                        incarnation: i.incarnation,
                        revision: self.plan.revision,
                        drained: i.drained,
                    });
                }
                // Its last process is gone, and so is it.
                None => {
                    self.observed.remove(name);
                }
                _ => {}
            }
            return;
        };
        if let Some(at) = s.ending {
            if !s.killed && now >= at + policy.stop_within {
                s.killed = true;
                actions.push(Action::Kill(name.to_owned()));
            }
            return;
        }
        let Some(intent) = intent.filter(|_| wanted) else {
            s.ending = Some(now);
            actions.push(Action::Terminate(name.to_owned()));
            return;
        };
        let old = incarnation != intent.incarnation || s.needs_restart == Some(intent.generation);
        // One that neither speaks nor becomes ready is no use: it starts anew.
        let late = s.ready_since.is_none()
            && !intent.drained
            && !s.connected
            && now >= s.since + policy.ready_within;
        let hung = late && s.report.is_none();
        if old || hung {
            s.ending = Some(now);
            if hung {
                s.last_error = Some(format!("said nothing within {} ms of its start", policy.ready_within));
                s.consecutive_crashes += 1;
                s.retry_at = now + (BACKOFF[0] << s.consecutive_crashes.min(10)).min(BACKOFF[1]);
            }
            actions.push(Action::Terminate(name.to_owned()));
            return;
        }
        if s.ready_since.is_some_and(|at| now >= at + FORGIVEN) {
            s.consecutive_crashes = 0;
        }
        let Some(report) = s.report.as_ref().filter(|_| s.connected && s.sent.is_none()) else { return };
        let request = if report.revision < self.plan.revision {
            Request::SetDrained { revision: self.plan.revision }
        } else if report.generation != intent.generation {
            Request::Reconfigure { generation: intent.generation }
        } else if report.drained != intent.drained {
            if intent.drained {
                Request::Drain
            } else {
                Request::Undrain
            }
        } else {
            return;
        };
        s.sent = Some(request.clone());
        actions.push(Action::SendRequest { name: name.to_owned(), request });
    }

    /// It runs as it is wanted, and speaks.
    fn converged(&self, name: &str) -> bool {
        let (Some(s), Some(i)) = (self.observed.get(name), self.plan.instances.get(name)) else {
            return false;
        };
        let Some(report) = s.report.as_ref().filter(|_| s.connected && s.ending.is_none()) else {
            return !i.running && s.process.is_none();
        };
        i.running
            && s.process.is_some_and(|p| p.1 == i.incarnation)
            && report.generation == i.generation
            && report.revision >= self.plan.revision
            && report.drained == i.drained
            && (report.ready || i.drained)
    }

    /// It serves, as far as is known.
    pub fn is_available(&self, name: &str) -> bool {
        self.observed.get(name).is_some_and(|s| {
            s.ending.is_none() && s.connected && s.report.as_ref().is_some_and(|r| r.ready && !r.drained)
        })
    }

    // ---- operations ----

    /// Takes an operator's command. The same id twice is one operation.
    ///
    /// # Errors
    /// It was decided on another generation, names what is not there, or would do harm that was not asked for.
    pub fn submit(
        &mut self,
        now: Millis,
        id: &str,
        base: u64,
        force: bool,
        command: Command,
        actions: &mut Vec<Action>,
    ) -> Result<u64, Rejection> {
        if let Some(known) = self.plan.operations.iter().find(|o| o.id == id) {
            return if known.command == command {
                Ok(known.generation)
            } else {
                Err(Rejection::Invalid(format!("operation {id} is another command already")))
            };
        }
        if base != self.plan.generation {
            return Err(Rejection::Conflict { base, generation: self.plan.generation });
        }
        self.validate(&command, force)?;
        let begun = actions.len();
        self.plan.generation += 1;
        let operation =
            Operation { id: id.to_owned(), generation: self.plan.generation, command, settled: None };
        self.apply(&operation);
        self.plan.operations.push_back(operation);
        if self.plan.operations.len() > plan::MAX_OPERATIONS {
            self.plan.operations.pop_front();
        }
        self.touch(RecordKey::Fleet);
        self.touch(RecordKey::Operations);
        self.advance(now);
        let names: Vec<String> = self.observed.keys().cloned().collect();
        names.iter().for_each(|name| self.step(now, name, actions));
        self.write_journal(begun, actions);
        Ok(self.plan.generation)
    }

    /// Would a command be taken?
    ///
    /// # Errors
    /// Why not.
    pub fn validate(&self, command: &Command, force: bool) -> Result<(), Rejection> {
        let known = |names: &Vec<String>| {
            let unknown = names.iter().find(|n| !self.plan.instances.contains_key(*n));
            unknown.map_or(Ok(()), |n| Err(Rejection::Invalid(format!("there is no instance {n}"))))
        };
        match command {
            Command::Apply { instances, policy } => {
                policy.validate()?;
                if instances.len() > plan::MAX_INSTANCES {
                    let reason =
                        format!("{} instances; {} are the most", instances.len(), plan::MAX_INSTANCES);
                    return Err(Rejection::Invalid(reason));
                }
                if let Some(bad) = instances.keys().find(|n| !plan::is_valid_name(n)) {
                    let reason = format!("{bad:?} is no name: 1 to 64 of a-z A-Z 0-9 - _ ., not first .");
                    return Err(Rejection::Invalid(reason));
                }
                self.no_rollout()
            }
            Command::Up(names) | Command::Undrain(names) => known(names),
            Command::Down(names) | Command::Drain(names) => {
                known(names)?;
                let left = self
                    .plan
                    .instances
                    .keys()
                    .filter(|n| self.is_available(n) && !names.contains(*n))
                    .count();
                let hit = names.iter().filter(|n| self.is_available(n)).count();
                if hit > 0 && left == 0 && !force {
                    let reason = "no instance would be left that serves".to_owned();
                    return Err(Rejection::Unsafe(reason));
                }
                Ok(())
            }
            Command::DrainBoxes(names) => {
                if let Some(bad) = names.iter().find(|n| n.is_empty() || n.len() > 128) {
                    return Err(Rejection::Invalid(format!("{bad:?} is no name of a box")));
                }
                if force {
                    return Ok(());
                }
                let takes = |n: &String, up: bool| up && !self.plan.drained_boxes.contains(n);
                for name in names {
                    let Some((zone, up)) = self.boxes.get(name) else {
                        let reason = format!("no instance knows a box {name}");
                        return Err(Rejection::Unsafe(reason));
                    };
                    let left = self
                        .boxes
                        .iter()
                        .any(|(n, (z, up))| z == zone && takes(n, *up) && !names.contains(n));
                    if takes(name, *up) && !left {
                        return Err(Rejection::Unsafe(format!("no box would be left in zone {zone}")));
                    }
                }
                Ok(())
            }
            Command::UndrainBoxes(_) => Ok(()),
            Command::Restart(names) => {
                known(names)?;
                self.no_rollout()
            }
            Command::Pause | Command::Resume | Command::Abort => match &self.plan.rollout {
                Some(r) if r.state.is_active() => Ok(()),
                _ => Err(Rejection::Invalid("no rollout is under way".into())),
            },
        }
    }

    fn no_rollout(&self) -> Result<(), Rejection> {
        match &self.plan.rollout {
            Some(r) if r.state.is_active() => {
                Err(Rejection::Invalid(format!("rollout {} is under way; wait for it or abort it", r.id)))
            }
            _ => Ok(()),
        }
    }

    fn apply(&mut self, operation: &Operation) {
        match &operation.command {
            Command::Apply { instances, policy } => {
                self.plan.policy = policy.clone();
                self.apply_instances(operation, instances);
            }
            Command::Up(names) => self.each(names, |i| i.running = true),
            Command::Down(names) => self.each(names, |i| i.running = false),
            Command::Drain(names) => self.each(names, |i| i.drained = true),
            Command::Undrain(names) => self.each(names, |i| i.drained = false),
            Command::DrainBoxes(names) => {
                self.plan.drained_boxes.extend(names.iter().cloned());
                self.plan.revision += 1;
            }
            Command::UndrainBoxes(names) => {
                self.plan.drained_boxes.retain(|n| !names.contains(n));
                self.plan.revision += 1;
            }
            Command::Restart(names) => self.begin_restart(operation, names),
            Command::Pause => self.rollout_state(RolloutState::Paused("by an operator".into())),
            Command::Resume => self.resume(),
            Command::Abort => self.abort(),
        }
    }

    fn each(&mut self, names: &[String], change: impl Fn(&mut Intent)) {
        for name in names {
            if let Some(intent) = self.plan.instances.get_mut(name) {
                change(intent);
                self.touch(RecordKey::Instance(name.clone()));
            }
        }
    }

    /// How an operation stands now; nothing for one that is not known, or long over.
    pub fn operation_status(&self, id: &str) -> Option<OperationStatus> {
        let operation = self.plan.operations.iter().find(|o| o.id == id)?;
        Some(self.standing(operation))
    }

    fn standing(&self, operation: &Operation) -> OperationStatus {
        let names: Vec<&String> = match &operation.command {
            Command::Up(n) | Command::Down(n) | Command::Drain(n) | Command::Undrain(n) => n.iter().collect(),
            _ => self.plan.instances.keys().collect(),
        };
        let mut detail = String::new();
        let instances: BTreeMap<String, Outcome> =
            names.into_iter().map(|n| (n.clone(), self.standing_at(operation, n))).collect();
        let mut outcome = worst(instances.values().copied());
        let rolls = matches!(operation.command, Command::Restart(_) | Command::Apply { .. });
        if let Some(r) = self.plan.rollout.as_ref().filter(|r| rolls && r.id == operation.id) {
            detail = r.summary();
            outcome = match &r.state {
                RolloutState::Done => outcome.min_with(Outcome::Applied),
                RolloutState::Aborted | RolloutState::RollingBack => Outcome::Failed,
                RolloutState::Running | RolloutState::Paused(_) => Outcome::Pending,
            };
        }
        if let Some(settled) = operation.settled {
            outcome = settled;
        }
        OperationStatus { outcome, instances, detail }
    }

    fn standing_at(&self, operation: &Operation, name: &str) -> Outcome {
        let (Some(s), Some(intent)) = (self.observed.get(name), self.plan.instances.get(name)) else {
            return Outcome::Applied;
        };
        let report = s.report.as_ref().filter(|_| s.connected);
        let down = s.process.is_none() && !s.starting;
        let holds = |holds: bool| match (report, down) {
            (Some(_), _) if holds => Outcome::Applied,
            (None, false) => Outcome::Unknown,
            _ => Outcome::Pending,
        };
        match &operation.command {
            Command::Drain(_) if !intent.drained => Outcome::Superseded,
            Command::Undrain(_) if intent.drained => Outcome::Superseded,
            Command::Up(_) if !intent.running => Outcome::Superseded,
            Command::Down(_) if intent.running => Outcome::Superseded,
            Command::DrainBoxes(_) | Command::UndrainBoxes(_) if down => Outcome::Down,
            Command::DrainBoxes(_) | Command::UndrainBoxes(_) => {
                holds(report.is_some_and(|r| r.revision >= self.plan.revision))
            }
            Command::Drain(_) if down => Outcome::Down,
            Command::Drain(_) => holds(report.is_some_and(|r| r.drained)),
            Command::Undrain(_) if down && !intent.running => Outcome::Down,
            Command::Undrain(_) => holds(report.is_some_and(|r| !r.drained)),
            Command::Down(_) if down => Outcome::Applied,
            Command::Down(_) => Outcome::Pending,
            Command::Pause | Command::Resume | Command::Abort => Outcome::Applied,
            Command::Up(_) | Command::Restart(_) | Command::Apply { .. } => {
                if self.converged(name) {
                    Outcome::Applied
                } else if report.is_none() && !down && s.ending.is_none() && s.report.is_some() {
                    Outcome::Unknown
                } else {
                    Outcome::Pending
                }
            }
        }
    }

    /// Notes which operations are over, so that what comes later does not change how they ended.
    fn settle(&mut self) {
        for i in 0..self.plan.operations.len() {
            let operation = &self.plan.operations[i];
            if operation.settled.is_some() {
                continue;
            }
            let outcome = self.standing(operation).outcome;
            if !matches!(outcome, Outcome::Pending | Outcome::Unknown) {
                self.plan.operations[i].settled = Some(outcome);
                self.touch(RecordKey::Operations);
            }
        }
    }
}

impl Outcome {
    fn min_with(self, other: Outcome) -> Outcome {
        worst([self, other].into_iter())
    }
}

fn worst(all: impl Iterator<Item = Outcome>) -> Outcome {
    let rank = |s: &Outcome| match s {
        Outcome::Failed => 5,
        Outcome::Unknown => 4,
        Outcome::Pending => 3,
        Outcome::Superseded => 2,
        Outcome::Applied | Outcome::Down => 1,
    };
    let worst = all.max_by_key(rank).unwrap_or(Outcome::Applied);
    if worst == Outcome::Down {
        Outcome::Applied
    } else {
        worst
    }
}
