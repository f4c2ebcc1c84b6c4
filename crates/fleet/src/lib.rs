//! Reconciles the desired and the observed state of the proxies that an agent runs on one machine.
//!
//! [`Fleet`] holds the desired state ([`plan`]) and the observed state of each instance, and returns the actions that
//! bring the second to the first. It is level-triggered: each action follows from these two states alone, so an agent
//! that died at any point resumes from its journal and the processes on the machine. This crate uses no clock, file,
//! process or socket. The host passes in events with their times and carries out the actions in order.
//!
//! The host must have written [`Action::WriteJournal`] to disk before it carries out the actions that follow.

pub mod plan;
mod rollout;

pub use plan::{
    Command, Intent, Operation, Plan, Policy, Record, RecordKey, Rejection, Rollout, RolloutState,
};

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Milliseconds on the host's clock.
pub type Millis = u64;

/// Delay before the restart after the first crash. Each further consecutive crash doubles it.
const INITIAL_BACKOFF_MS: Millis = 500;
/// The delay is doubled at most this many times.
const MAX_BACKOFF_DOUBLINGS: u32 = 10;
/// Maximum delay before a restart.
const MAX_BACKOFF_MS: Millis = 30_000;
/// Time that an instance must stay ready until its count of consecutive crashes is reset.
const CRASH_RESET_MS: Millis = 60_000;
const MAX_BOX_NAME_BYTES: usize = 128;

/// State that the control endpoint of an instance last reported.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Whether the instance has a list of boxes and serves, or would serve if it were not drained.
    pub ready: bool,
    /// Whether the instance is drained.
    pub drained: bool,
    /// Generation of the active configuration.
    pub generation: u64,
    /// Revision of the active set of drained boxes.
    pub revision: u64,
}

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// A process of this instance is running; it was either started or found.
    Running {
        /// Name of the instance.
        name: String,
        /// Process id.
        pid: u32,
        /// Incarnation for which the process was started.
        incarnation: u64,
    },
    /// The instance could not be started.
    StartFailed {
        /// Name of the instance.
        name: String,
        /// Description of the error.
        reason: String,
    },
    /// The process of the instance has exited.
    Exited {
        /// Name of the instance.
        name: String,
        /// Description of the exit status.
        reason: String,
    },
    /// The control endpoint of the instance reported its state.
    Reported {
        /// Name of the instance.
        name: String,
        /// Reported state.
        report: Report,
    },
    /// The connection to the control endpoint broke, or a response did not arrive in time.
    ContactLost {
        /// Name of the instance.
        name: String,
    },
    /// The instance responded to the pending request.
    Responded {
        /// Name of the instance.
        name: String,
        /// Its response.
        response: Response,
    },
    /// The boxes that discovery lists, each with its zone and whether it is up.
    BoxesUpdated(BTreeMap<String, (String, bool)>),
    /// A periodic timer fired.
    Tick,
}

/// Response of an instance to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// The request was applied.
    Applied,
    /// The configuration takes effect only after a restart.
    RestartRequired,
    /// The instance rejected the request for this reason.
    Rejected(String),
}

/// An action of the host. Actions are carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Writes these records to disk before any of the actions that follow.
    WriteJournal(Vec<Record>),
    /// Starts an instance. The set of drained boxes must be active before it serves.
    Start {
        /// Name of the instance.
        name: String,
        /// Generation of its configuration.
        generation: u64,
        /// Incarnation of this process.
        incarnation: u64,
        /// Revision of its set of drained boxes.
        revision: u64,
        /// Whether it starts drained.
        drained: bool,
    },
    /// Sends SIGTERM to the process of the instance.
    Terminate(String),
    /// Sends SIGKILL to the process of the instance.
    Kill(String),
    /// Sends a request to the control endpoint; [`Event::Responded`] or [`Event::ContactLost`] follows.
    SendRequest {
        /// Name of the instance.
        name: String,
        /// The request.
        request: Request,
    },
}

/// A request to a control endpoint. All requests are idempotent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Replaces the set of drained boxes by that of the plan.
    SetDrained {
        /// Revision of the set.
        revision: u64,
    },
    /// Activates the configuration of a generation.
    Reconfigure {
        /// Generation of the configuration.
        generation: u64,
    },
    /// Stops accepting new requests.
    Drain,
    /// Accepts requests again.
    Undrain,
}

/// Observed state of one instance.
#[derive(Clone, Debug, Default)]
pub struct ObservedInstance {
    /// Id of the running process, and the incarnation for which it was started.
    pub process: Option<(u32, u64)>,
    /// A start was requested and its result is not yet known.
    starting: bool,
    /// The process was found running instead of being started by this agent process.
    adopted: bool,
    /// Time at which the process was started or found.
    first_seen_at: Millis,
    /// Last report of the control endpoint, which may be outdated if not connected.
    pub report: Option<Report>,
    /// Whether the control endpoint is reachable.
    pub connected: bool,
    /// Request that has not been answered yet.
    pending_request: Option<Request>,
    /// Time of SIGTERM.
    terminating_since: Option<Millis>,
    /// Whether SIGKILL was sent.
    killed: bool,
    /// Time since which the instance has been ready and not drained.
    ready_since: Option<Millis>,
    /// Number of crashes since the instance was last ready for a minute.
    pub consecutive_crashes: u32,
    /// Earliest time of the next start.
    pub retry_at: Millis,
    /// Generation that the instance reported to require a restart.
    restart_required_for: Option<u64>,
    /// Last error, as shown to operators.
    pub last_error: Option<String>,
}

/// Outcome of an operation, for one instance or as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The desired state is reached.
    Applied,
    /// In progress.
    Pending,
    /// Not known, as the instance is not reachable. The outcome is resolved when it is reachable again.
    Unknown,
    /// The instance is not running; the change takes effect when it starts.
    Down,
    /// A later operation replaced this one for the instance.
    Superseded,
    /// The operation failed.
    Failed,
}

/// Status of an operation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperationStatus {
    /// Overall outcome: the worst of all instances.
    pub outcome: Outcome,
    /// Outcome for each affected instance.
    pub instances: BTreeMap<String, Outcome>,
    /// Details for operators; empty if there are none.
    pub detail: String,
}

/// State machine for the fleet of one agent.
#[derive(Debug, Default)]
pub struct Fleet {
    plan: Plan,
    observed: BTreeMap<String, ObservedInstance>,
    /// Zone of each known box, and whether it is up.
    boxes: BTreeMap<String, (String, bool)>,
    /// Parts of the plan that changed since the last journal record.
    dirty: BTreeSet<RecordKey>,
}

impl Fleet {
    /// Creates a fleet that resumes from the plan in its journal. The host must then report each process that runs on
    /// the machine by [`Event::Running`] before the first [`Event::Tick`].
    pub fn new(plan: Plan) -> Self {
        let observed =
            plan.instances.keys().map(|name| (name.clone(), ObservedInstance::default())).collect();
        Fleet { plan, observed, ..Fleet::default() }
    }

    /// Returns the desired state.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Returns the observed state of an instance.
    pub fn observed(&self, name: &str) -> Option<&ObservedInstance> {
        self.observed.get(name)
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        let first_action = actions.len();
        match event {
            Event::Tick => {
                let names: Vec<String> = self.observed.keys().cloned().collect();
                names.iter().for_each(|name| self.reconcile_instance(now, name, actions));
                self.advance_rollout(now);
                // Starts the changes that the rollout has just added without waiting for the next tick.
                let changed: Vec<String> = self.dirty_instances();
                changed.iter().for_each(|name| self.reconcile_instance(now, name, actions));
                self.settle_operations();
            }
            Event::BoxesUpdated(boxes) => self.boxes = boxes,
            Event::Running { name, pid, incarnation } => {
                // Instances that are not in the plan are recorded too, so that their processes are stopped.
                let observed = self.observed.entry(name).or_default();
                let (consecutive_crashes, retry_at, last_error) =
                    (observed.consecutive_crashes, observed.retry_at, observed.last_error.take());
                let (process, adopted) = (Some((pid, incarnation)), !observed.starting);
                *observed = ObservedInstance {
                    process,
                    adopted,
                    first_seen_at: now,
                    consecutive_crashes,
                    retry_at,
                    last_error,
                    ..ObservedInstance::default()
                };
            }
            Event::StartFailed { name, reason } => self.record_crash(now, &name, reason),
            Event::Exited { name, reason } => self.process_exited(now, &name, reason, actions),
            Event::Reported { name, report } => {
                if let Some(observed) =
                    self.observed.get_mut(&name).filter(|observed| observed.process.is_some())
                {
                    let up = report.ready && !report.drained;
                    observed.ready_since = if up { observed.ready_since.or(Some(now)) } else { None };
                    (observed.connected, observed.report) = (true, Some(report));
                    self.reconcile_instance(now, &name, actions);
                }
            }
            Event::ContactLost { name } => {
                if let Some(observed) = self.observed.get_mut(&name) {
                    // The pending request may have been applied; the next report shows whether it was.
                    (observed.connected, observed.pending_request, observed.ready_since) =
                        (false, None, None);
                }
            }
            Event::Responded { name, response } => {
                if let Some(observed) = self.observed.get_mut(&name) {
                    match (observed.pending_request.take(), response) {
                        (Some(Request::Reconfigure { generation }), Response::RestartRequired) => {
                            observed.restart_required_for = Some(generation);
                            self.reconcile_instance(now, &name, actions);
                        }
                        // Sent again only after the next report; sent at once, a request that is always rejected
                        // would loop endlessly.
                        (_, Response::Rejected(reason)) => observed.last_error = Some(reason),
                        _ => {}
                    }
                }
            }
        }
        self.write_journal(first_action, actions);
    }

    /// Inserts the changed parts of the plan before the actions that depend on them.
    fn write_journal(&mut self, at: usize, actions: &mut Vec<Action>) {
        if !self.dirty.is_empty() {
            let keys = std::mem::take(&mut self.dirty);
            let records = keys.into_iter().map(|key| self.plan.record(key)).collect();
            actions.insert(at, Action::WriteJournal(records));
        }
    }

    fn mark_dirty(&mut self, key: RecordKey) {
        self.dirty.insert(key);
    }

    fn dirty_instances(&self) -> Vec<String> {
        let names =
            self.dirty
                .iter()
                .filter_map(|k| if let RecordKey::Instance(n) = k { Some(n.clone()) } else { None });
        names.collect()
    }

    // ---- one instance ----

    fn process_exited(&mut self, now: Millis, name: &str, reason: String, actions: &mut Vec<Action>) {
        let Some(observed) = self.observed.get_mut(name) else { return };
        // A previous agent process may have terminated it. The exit of a found process that does not match its intent
        // therefore does not count as a crash.
        let matches_intent = self.plan.instances.get(name).is_some_and(|i| {
            let same_incarnation = observed.process.is_some_and(|p| p.1 == i.incarnation);
            i.running
                && same_incarnation
                && observed.report.as_ref().is_some_and(|r| r.generation == i.generation)
        });
        let expected = observed.terminating_since.is_some() || (observed.adopted && !matches_intent);
        let (consecutive_crashes, retry_at, last_error) =
            (observed.consecutive_crashes, observed.retry_at, observed.last_error.take());
        *observed =
            ObservedInstance { consecutive_crashes, retry_at, last_error, ..ObservedInstance::default() };
        if expected {
            self.reconcile_instance(now, name, actions);
        } else {
            self.record_crash(now, name, format!("ended by itself: {reason}"));
        }
    }

    fn record_crash(&mut self, now: Millis, name: &str, reason: String) {
        let Some(observed) = self.observed.get_mut(name) else { return };
        let backoff = backoff_after(observed.consecutive_crashes);
        // Jitter of 25 % either way, so that instances that crashed together do not restart together.
        let name_hash = name.bytes().fold(u64::from(observed.consecutive_crashes), |hash, byte| {
            hash.wrapping_mul(31).wrapping_add(u64::from(byte))
        });
        let retry_at = now + backoff * (75 + name_hash % 51) / 100;
        let consecutive_crashes = observed.consecutive_crashes + 1;
        *observed = ObservedInstance {
            consecutive_crashes,
            retry_at,
            last_error: Some(reason),
            ..ObservedInstance::default()
        };
    }

    /// Appends the next action that brings an instance from its observed to its desired state.
    fn reconcile_instance(&mut self, now: Millis, name: &str, actions: &mut Vec<Action>) {
        let Some(observed) = self.observed.get_mut(name) else { return };
        let intent = self.plan.instances.get(name);
        let policy = &self.plan.policy;
        let should_run = intent.is_some_and(|i| i.running);
        let Some((_, incarnation)) = observed.process else {
            match intent {
                Some(intent) if should_run && !observed.starting && now >= observed.retry_at => {
                    observed.starting = true;
                    actions.push(Action::Start {
                        name: name.to_owned(),
                        generation: intent.generation,
                        incarnation: intent.incarnation,
                        revision: self.plan.revision,
                        drained: intent.drained,
                    });
                }
                // Removed from the plan, and its last process has exited.
                None => {
                    self.observed.remove(name);
                }
                _ => {}
            }
            return;
        };
        if let Some(at) = observed.terminating_since {
            if !observed.killed && now >= at + policy.stop_within {
                observed.killed = true;
                actions.push(Action::Kill(name.to_owned()));
            }
            return;
        }
        let Some(intent) = intent.filter(|_| should_run) else {
            observed.terminating_since = Some(now);
            actions.push(Action::Terminate(name.to_owned()));
            return;
        };
        let outdated =
            incarnation != intent.incarnation || observed.restart_required_for == Some(intent.generation);
        // A process that is neither connected nor ready in time is late; one that has not reported either is taken to
        // hang and is restarted.
        let late = observed.ready_since.is_none()
            && !intent.drained
            && !observed.connected
            && now >= observed.first_seen_at + policy.ready_within;
        let hung = late && observed.report.is_none();
        if outdated || hung {
            observed.terminating_since = Some(now);
            if hung {
                observed.last_error =
                    Some(format!("did not respond within {} ms after its start", policy.ready_within));
                observed.consecutive_crashes += 1;
                observed.retry_at = now + backoff_after(observed.consecutive_crashes);
            }
            actions.push(Action::Terminate(name.to_owned()));
            return;
        }
        if observed.ready_since.is_some_and(|at| now >= at + CRASH_RESET_MS) {
            observed.consecutive_crashes = 0;
        }
        let Some(report) =
            observed.report.as_ref().filter(|_| observed.connected && observed.pending_request.is_none())
        else {
            return;
        };
        let Some(request) = next_request(report, intent, self.plan.revision) else { return };
        observed.pending_request = Some(request.clone());
        actions.push(Action::SendRequest { name: name.to_owned(), request });
    }

    /// Whether the observed state of an instance matches its intent.
    fn has_converged(&self, name: &str) -> bool {
        let (Some(observed), Some(intent)) = (self.observed.get(name), self.plan.instances.get(name)) else {
            return false;
        };
        let Some(report) =
            observed.report.as_ref().filter(|_| observed.connected && observed.terminating_since.is_none())
        else {
            return !intent.running && observed.process.is_none();
        };
        intent.running
            && observed.process.is_some_and(|p| p.1 == intent.incarnation)
            && report.generation == intent.generation
            && report.revision >= self.plan.revision
            && report.drained == intent.drained
            && (report.ready || intent.drained)
    }

    /// Whether an instance is reachable, ready and not drained.
    pub fn is_available(&self, name: &str) -> bool {
        self.observed.get(name).is_some_and(|observed| {
            observed.terminating_since.is_none()
                && observed.connected
                && observed.report.as_ref().is_some_and(|r| r.ready && !r.drained)
        })
    }

    // ---- operations ----

    /// Accepts an operator's command. A repeated id denotes the same operation and returns its generation.
    ///
    /// # Errors
    /// The command is based on another generation, names an unknown instance, or would interrupt service without `force`.
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
                Err(Rejection::Invalid(format!("operation id {id} is already used by another command")))
            };
        }
        if base != self.plan.generation {
            return Err(Rejection::Conflict { base, generation: self.plan.generation });
        }
        self.validate(&command, force)?;
        let first_action = actions.len();
        self.plan.generation += 1;
        let operation =
            Operation { id: id.to_owned(), generation: self.plan.generation, command, settled: None };
        self.apply(&operation);
        self.plan.operations.push_back(operation);
        if self.plan.operations.len() > plan::MAX_OPERATIONS {
            self.plan.operations.pop_front();
        }
        self.mark_dirty(RecordKey::Fleet);
        self.mark_dirty(RecordKey::Operations);
        self.advance_rollout(now);
        let names: Vec<String> = self.observed.keys().cloned().collect();
        names.iter().for_each(|name| self.reconcile_instance(now, name, actions));
        self.write_journal(first_action, actions);
        Ok(self.plan.generation)
    }

    /// Checks whether a command would be accepted.
    ///
    /// # Errors
    /// The reason for the rejection.
    pub fn validate(&self, command: &Command, force: bool) -> Result<(), Rejection> {
        let known = |names: &Vec<String>| {
            let unknown = names.iter().find(|n| !self.plan.instances.contains_key(*n));
            unknown.map_or(Ok(()), |n| Err(Rejection::Invalid(format!("there is no instance {n}"))))
        };
        match command {
            Command::Apply { instances, policy } => {
                policy.validate()?;
                validate_instances(instances)?;
                self.require_no_rollout()
            }
            Command::Up(names) | Command::Undrain(names) => known(names),
            Command::Down(names) | Command::Drain(names) => {
                known(names)?;
                self.validate_instance_drain(names, force)
            }
            Command::DrainBoxes(names) => self.validate_box_drain(names, force),
            Command::UndrainBoxes(_) => Ok(()),
            Command::Restart(names) => {
                known(names)?;
                self.require_no_rollout()
            }
            Command::Pause | Command::Resume | Command::Abort => match &self.plan.rollout {
                Some(r) if r.state.is_active() => Ok(()),
                _ => Err(Rejection::Invalid("no rollout is under way".into())),
            },
        }
    }

    /// Rejects the drain or stop of the last available instances unless it is forced.
    fn validate_instance_drain(&self, names: &[String], force: bool) -> Result<(), Rejection> {
        let left = self.plan.instances.keys().filter(|n| self.is_available(n) && !names.contains(*n)).count();
        let affected = names.iter().filter(|n| self.is_available(n)).count();
        if affected > 0 && left == 0 && !force {
            let reason = "no instance would be left that serves".to_owned();
            return Err(Rejection::Unsafe(reason));
        }
        Ok(())
    }

    /// Rejects the drain of unknown boxes and of the last usable boxes of a zone unless it is forced.
    fn validate_box_drain(&self, names: &[String], force: bool) -> Result<(), Rejection> {
        if let Some(invalid) = names.iter().find(|n| n.is_empty() || n.len() > MAX_BOX_NAME_BYTES) {
            let reason = format!("{invalid:?} is no name of a box: 1 to {MAX_BOX_NAME_BYTES} bytes");
            return Err(Rejection::Invalid(reason));
        }
        if force {
            return Ok(());
        }
        let is_usable = |n: &String, up: bool| up && !self.plan.drained_boxes.contains(n);
        for name in names {
            let Some((zone, up)) = self.boxes.get(name) else {
                let reason = format!("no instance knows a box {name}");
                return Err(Rejection::Unsafe(reason));
            };
            let usable_left =
                self.boxes.iter().any(|(n, (z, up))| z == zone && is_usable(n, *up) && !names.contains(n));
            if is_usable(name, *up) && !usable_left {
                return Err(Rejection::Unsafe(format!("no box would be left in zone {zone}")));
            }
        }
        Ok(())
    }

    fn require_no_rollout(&self) -> Result<(), Rejection> {
        match &self.plan.rollout {
            Some(r) if r.state.is_active() => Err(Rejection::Invalid(format!(
                "rollout {} is under way; wait until it is done or abort it",
                r.id
            ))),
            _ => Ok(()),
        }
    }

    fn apply(&mut self, operation: &Operation) {
        match &operation.command {
            Command::Apply { instances, policy } => {
                self.plan.policy = policy.clone();
                self.apply_instances(operation, instances);
            }
            Command::Up(names) => self.update_intents(names, |i| i.running = true),
            Command::Down(names) => self.update_intents(names, |i| i.running = false),
            Command::Drain(names) => self.update_intents(names, |i| i.drained = true),
            Command::Undrain(names) => self.update_intents(names, |i| i.drained = false),
            Command::DrainBoxes(names) => {
                self.plan.drained_boxes.extend(names.iter().cloned());
                self.plan.revision += 1;
            }
            Command::UndrainBoxes(names) => {
                self.plan.drained_boxes.retain(|n| !names.contains(n));
                self.plan.revision += 1;
            }
            Command::Restart(names) => self.start_restart(operation, names),
            Command::Pause => self.set_rollout_state(RolloutState::Paused("by an operator".into())),
            Command::Resume => self.resume_rollout(),
            Command::Abort => self.abort_rollout(),
        }
    }

    fn update_intents(&mut self, names: &[String], change: impl Fn(&mut Intent)) {
        for name in names {
            if let Some(intent) = self.plan.instances.get_mut(name) {
                change(intent);
                self.mark_dirty(RecordKey::Instance(name.clone()));
            }
        }
    }

    /// Returns the status of an operation, or `None` if it is unknown or no longer remembered.
    pub fn operation_status(&self, id: &str) -> Option<OperationStatus> {
        let operation = self.plan.operations.iter().find(|o| o.id == id)?;
        let mut status = self.status_of(operation);
        // A final outcome is recorded at the next tick. An agent that dies before that would not remember it.
        if operation.settled.is_none() && status.outcome.is_final() {
            status.outcome = Outcome::Pending;
        }
        Some(status)
    }

    fn status_of(&self, operation: &Operation) -> OperationStatus {
        let names: Vec<&String> = match &operation.command {
            Command::Up(n) | Command::Down(n) | Command::Drain(n) | Command::Undrain(n) => n.iter().collect(),
            _ => self.plan.instances.keys().collect(),
        };
        let mut detail = String::new();
        let instances: BTreeMap<String, Outcome> =
            names.into_iter().map(|n| (n.clone(), self.instance_outcome(operation, n))).collect();
        let mut outcome = worst_outcome(instances.values().copied());
        let may_have_rollout = matches!(operation.command, Command::Restart(_) | Command::Apply { .. });
        if let Some(r) = self.plan.rollout.as_ref().filter(|r| may_have_rollout && r.id == operation.id) {
            detail = r.summary();
            outcome = match &r.state {
                RolloutState::Done => outcome.worse_of(Outcome::Applied),
                RolloutState::Aborted | RolloutState::RollingBack => Outcome::Failed,
                RolloutState::Running | RolloutState::Paused(_) => Outcome::Pending,
            };
        }
        if let Some(settled) = operation.settled {
            outcome = settled;
        }
        OperationStatus { outcome, instances, detail }
    }

    fn instance_outcome(&self, operation: &Operation, name: &str) -> Outcome {
        let (Some(observed), Some(intent)) = (self.observed.get(name), self.plan.instances.get(name)) else {
            return Outcome::Applied;
        };
        let report = observed.report.as_ref().filter(|_| observed.connected);
        let down = observed.process.is_none() && !observed.starting;
        let outcome_if = |applied: bool| match (report, down) {
            (Some(_), _) if applied => Outcome::Applied,
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
                outcome_if(report.is_some_and(|r| r.revision >= self.plan.revision))
            }
            Command::Drain(_) if down => Outcome::Down,
            Command::Drain(_) => outcome_if(report.is_some_and(|r| r.drained)),
            Command::Undrain(_) if down && !intent.running => Outcome::Down,
            Command::Undrain(_) => outcome_if(report.is_some_and(|r| !r.drained)),
            Command::Down(_) if down => Outcome::Applied,
            Command::Down(_) => Outcome::Pending,
            Command::Pause | Command::Resume | Command::Abort => Outcome::Applied,
            Command::Up(_) | Command::Restart(_) | Command::Apply { .. } => {
                if self.has_converged(name) {
                    Outcome::Applied
                } else if report.is_none()
                    && !down
                    && observed.terminating_since.is_none()
                    && observed.report.is_some()
                {
                    Outcome::Unknown
                } else {
                    Outcome::Pending
                }
            }
        }
    }

    /// Records the outcome of operations that have settled, so that later changes do not affect it.
    fn settle_operations(&mut self) {
        for i in 0..self.plan.operations.len() {
            let operation = &self.plan.operations[i];
            if operation.settled.is_some() {
                continue;
            }
            let outcome = self.status_of(operation).outcome;
            if outcome.is_final() {
                self.plan.operations[i].settled = Some(outcome);
                self.mark_dirty(RecordKey::Operations);
            }
        }
    }
}

/// The delay before a restart, by the number of crashes to back off for; 0 gives [`INITIAL_BACKOFF_MS`].
fn backoff_after(crashes: u32) -> Millis {
    (INITIAL_BACKOFF_MS << crashes.min(MAX_BACKOFF_DOUBLINGS)).min(MAX_BACKOFF_MS)
}

/// Rejects invalid instance names and too many instances.
fn validate_instances(instances: &BTreeMap<String, plan::DesiredInstance>) -> Result<(), Rejection> {
    if instances.len() > plan::MAX_INSTANCES {
        let reason = format!("{} instances; at most {} are allowed", instances.len(), plan::MAX_INSTANCES);
        return Err(Rejection::Invalid(reason));
    }
    if let Some(invalid) = instances.keys().find(|n| !plan::is_valid_name(n)) {
        let reason = format!("{invalid:?} is no name: 1 to 64 of a-z A-Z 0-9 - _ ., not first .");
        return Err(Rejection::Invalid(reason));
    }
    Ok(())
}

/// Returns the next request that brings an instance closer to its intent. The set of drained boxes comes first.
fn next_request(report: &Report, intent: &Intent, revision: u64) -> Option<Request> {
    if report.revision < revision {
        Some(Request::SetDrained { revision })
    } else if report.generation != intent.generation {
        Some(Request::Reconfigure { generation: intent.generation })
    } else if report.drained != intent.drained {
        Some(if intent.drained { Request::Drain } else { Request::Undrain })
    } else {
        None
    }
}

impl Outcome {
    /// Whether it does not change any more.
    fn is_final(self) -> bool {
        !matches!(self, Outcome::Pending | Outcome::Unknown)
    }

    fn worse_of(self, other: Outcome) -> Outcome {
        worst_outcome([self, other].into_iter())
    }
}

/// Returns the worst outcome; a stopped instance counts as applied.
fn worst_outcome(outcomes: impl Iterator<Item = Outcome>) -> Outcome {
    let severity = |outcome: &Outcome| match outcome {
        Outcome::Failed => 5,
        Outcome::Unknown => 4,
        Outcome::Pending => 3,
        Outcome::Superseded => 2,
        Outcome::Applied | Outcome::Down => 1,
    };
    let worst = outcomes.max_by_key(severity).unwrap_or(Outcome::Applied);
    if worst == Outcome::Down {
        Outcome::Applied
    } else {
        worst
    }
}
