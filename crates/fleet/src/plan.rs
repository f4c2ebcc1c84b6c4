//! The desired state of a fleet: instances, rollout and operations, in the form that the journal stores.

use crate::Outcome;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

/// Number of most recent operations kept in the plan; their ids are recognised when they are submitted again.
pub const MAX_OPERATIONS: usize = 256;
/// Maximum number of instances of one agent.
pub const MAX_INSTANCES: usize = 4_096;

/// Desired state of one instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Intent {
    /// Zone; the policy limits unavailable instances by zone.
    pub zone: String,
    /// Whether a process must run.
    pub running: bool,
    /// Whether the instance must accept no new requests.
    pub drained: bool,
    /// Generation of the desired configuration; the host stores the text of each generation.
    pub generation: u64,
    /// Number of requested restarts. A process started for another incarnation is replaced.
    pub incarnation: u64,
}

/// Limits on the speed of changes. Times are in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// Maximum number of instances that a rollout changes at the same time.
    pub batch: usize,
    /// Maximum number of unavailable instances when a rollout starts to change another one, including that one.
    pub max_unavailable: usize,
    /// The same limit within each zone.
    pub max_unavailable_in_zone: usize,
    /// A rollout pauses when more instances than this have failed.
    pub max_failures: usize,
    /// Time from the start of a process within which it must become ready.
    pub ready_within: u64,
    /// Time that a changed instance must stay ready before the rollout counts it as done.
    pub healthy_for: u64,
    /// Time between SIGTERM and SIGKILL: the longest request deadline plus 0.7 s, as the deployment guide says.
    pub stop_within: u64,
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            batch: 1,
            max_unavailable: 1,
            max_unavailable_in_zone: 1,
            max_failures: 0,
            ready_within: 10_000,
            healthy_for: 1_000,
            stop_within: 3_700,
        }
    }
}

impl Policy {
    /// Checks the limits.
    ///
    /// # Errors
    /// A limit is zero, so that no rollout could make progress.
    pub fn validate(&self) -> Result<(), Rejection> {
        let limits = [
            ("batch", self.batch),
            ("max_unavailable", self.max_unavailable),
            ("max_unavailable_in_zone", self.max_unavailable_in_zone),
        ];
        if let Some((name, _)) = limits.iter().find(|(_, limit)| *limit == 0) {
            return Err(Rejection::Invalid(format!("policy.{name} is 0; it must be at least 1")));
        }
        if self.ready_within == 0 || self.stop_within == 0 {
            return Err(Rejection::Invalid(
                "policy.ready_within and policy.stop_within must be greater than 0 ms".into(),
            ));
        }
        Ok(())
    }
}

/// An instance as a fleet file describes it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DesiredInstance {
    /// Zone.
    pub zone: String,
    /// Generation of its configuration. The host assigns generations; an unchanged text keeps its generation.
    pub generation: u64,
}

/// An operator's command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Command {
    /// Replaces the whole fleet: new instances start, missing ones are removed and a rollout updates the others.
    Apply {
        /// All instances of the fleet by name.
        instances: BTreeMap<String, DesiredInstance>,
        /// Limits on the speed of changes.
        policy: Policy,
    },
    /// Runs these instances.
    Up(Vec<String>),
    /// Stops these instances.
    Down(Vec<String>),
    /// Drains these instances: they accept no new requests.
    Drain(Vec<String>),
    /// Lets these instances serve again.
    Undrain(Vec<String>),
    /// Drains these boxes: no instance sends them new requests.
    DrainBoxes(Vec<String>),
    /// Returns these boxes to the control of discovery.
    UndrainBoxes(Vec<String>),
    /// Restarts these instances, or all if none is named, in a rollout within the policy's limits.
    Restart(Vec<String>),
    /// Pauses the rollout: it changes no further instance.
    Pause,
    /// Resumes the rollout.
    Resume,
    /// Aborts the rollout and rolls back the instances that it changed.
    Abort,
}

/// Why a command was rejected. A rejected command changes nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The fleet has changed since the generation on which the command was based.
    Conflict {
        /// Generation on which the command was based.
        base: u64,
        /// Current generation of the fleet.
        generation: u64,
    },
    /// The command is not valid in the current state.
    Invalid(String),
    /// The command would interrupt service; `--force` overrides this check.
    Unsafe(String),
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Rejection::Conflict { base, generation } => {
                write!(f, "the command is based on generation {base}, ")?;
                write!(f, "but the fleet is at generation {generation}: read its state again and retry")
            }
            Rejection::Invalid(reason) => f.write_str(reason),
            Rejection::Unsafe(reason) => write!(f, "{reason}; --force does it all the same"),
        }
    }
}

impl std::error::Error for Rejection {}

/// An accepted command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Operation {
    /// Id chosen by the operator; a repeated id denotes the same operation.
    pub id: String,
    /// Generation of the fleet that this command created.
    pub generation: u64,
    /// The command.
    pub command: Command,
    /// Final outcome, once the operation has settled.
    pub settled: Option<Outcome>,
}

/// State of a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutState {
    /// In progress.
    Running,
    /// Paused for this reason: no further instance is changed.
    Paused(String),
    /// Aborted; the changed instances are being rolled back.
    RollingBack,
    /// Completed.
    Done,
    /// Aborted, and the rollback is complete.
    Aborted,
}

impl RolloutState {
    /// Whether the rollout is still in progress, paused or rolling back.
    pub fn is_active(&self) -> bool {
        !matches!(self, RolloutState::Done | RolloutState::Aborted)
    }
}

/// A change that is applied to the fleet in batches.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// Id of the operation that started the rollout.
    pub id: String,
    /// Current state.
    pub state: RolloutState,
    /// Target configuration generation and incarnation of each instance, in the order of the rollout.
    pub targets: Vec<(String, (u64, u64))>,
    /// Generation and incarnation of each instance before the rollout changed it.
    pub before: BTreeMap<String, (u64, u64)>,
    /// Instances that are being changed.
    pub current: BTreeSet<String>,
    /// Instances that reached their target and stayed ready.
    pub done: BTreeSet<String>,
    /// Instances whose change failed.
    pub failed: BTreeSet<String>,
    /// It was aborted: when it is resumed after a pause, it goes on rolling back.
    #[serde(default)]
    pub aborted: bool,
}

impl Rollout {
    /// One line that describes the rollout to an operator.
    pub fn summary(&self) -> String {
        let (done, total) = (self.done.len(), self.targets.len());
        let state = match &self.state {
            RolloutState::Running => "running".to_owned(),
            RolloutState::Paused(reason) => format!("paused ({reason})"),
            RolloutState::RollingBack => "rolling back".into(),
            RolloutState::Done => "done".into(),
            RolloutState::Aborted => "aborted".into(),
        };
        let failed =
            if self.failed.is_empty() { String::new() } else { format!(", failed: {:?}", self.failed) };
        format!("{state}, {done} of {total} done{failed}")
    }
}

/// Desired state of the whole fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Number of accepted commands.
    pub generation: u64,
    /// Revision of the set of drained boxes.
    pub revision: u64,
    /// Boxes drained by operators.
    pub drained_boxes: BTreeSet<String>,
    /// Limits on the speed of changes.
    pub policy: Policy,
    /// Desired state of each instance by name.
    pub instances: BTreeMap<String, Intent>,
    /// The current rollout, or the last one.
    pub rollout: Option<Rollout>,
    /// The last [`MAX_OPERATIONS`] operations, oldest first.
    pub operations: VecDeque<Operation>,
}

/// A part of the plan that is written to the journal as one record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RecordKey {
    /// Generation, revision, drained boxes and policy.
    Fleet,
    /// The desired state of one instance.
    Instance(String),
    /// The rollout.
    Rollout,
    /// The operations.
    Operations,
}

/// A journal record: one part of the plan, with the value `null` for a removed instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Part of the plan.
    pub key: RecordKey,
    /// Its JSON value.
    pub value: Value,
}

impl Plan {
    /// Returns the record for the current value of a part.
    pub fn record(&self, key: RecordKey) -> Record {
        let value = match &key {
            RecordKey::Fleet => json!([self.generation, self.revision, self.drained_boxes, self.policy]),
            RecordKey::Instance(name) => json!(self.instances.get(name)),
            RecordKey::Rollout => json!(self.rollout),
            RecordKey::Operations => json!(self.operations),
        };
        Record { key, value }
    }

    /// Returns the records for all parts of the plan.
    pub fn records(&self) -> Vec<Record> {
        let fixed = [RecordKey::Fleet, RecordKey::Rollout, RecordKey::Operations];
        let instances = self.instances.keys().cloned().map(RecordKey::Instance);
        fixed.into_iter().chain(instances).map(|key| self.record(key)).collect()
    }

    /// Replaces one part of the plan by a record from the journal.
    ///
    /// # Errors
    /// The value does not have the form of this part.
    pub fn apply_record(&mut self, record: Record) -> Result<(), serde_json::Error> {
        let value = record.value;
        match record.key {
            RecordKey::Fleet => {
                (self.generation, self.revision, self.drained_boxes, self.policy) =
                    serde_json::from_value(value)?;
            }
            RecordKey::Instance(name) => match serde_json::from_value(value)? {
                Some(intent) => {
                    self.instances.insert(name, intent);
                }
                None => {
                    self.instances.remove(&name);
                }
            },
            RecordKey::Rollout => self.rollout = serde_json::from_value(value)?,
            RecordKey::Operations => self.operations = serde_json::from_value(value)?,
        }
        Ok(())
    }
}

/// Whether `name` is a valid instance name: it becomes part of file paths.
pub fn is_valid_name(name: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    !name.is_empty() && name.len() <= 64 && !name.starts_with('.') && name.chars().all(is_allowed)
}
