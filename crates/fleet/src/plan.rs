//! What operators want of a fleet, as it is kept in the journal.

use crate::Outcome;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

/// Operations that are remembered.
pub const MAX_OPERATIONS: usize = 256;
/// Instances of one agent.
pub const MAX_INSTANCES: usize = 4_096;

/// What an instance is to be.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Intent {
    /// Its zone, for budgets.
    pub zone: String,
    /// It is to run.
    pub running: bool,
    /// It is to take nothing new.
    pub drained: bool,
    /// The configuration that it is to have; the host keeps the text of each.
    pub generation: u64,
    /// Counts the restarts that were asked for: a process of another incarnation is replaced.
    pub incarnation: u64,
}

/// Bounds of changes. Times are in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// Instances that a rollout changes at once.
    pub batch: usize,
    /// Instances that may be unavailable while a rollout begins a further one, that one counted.
    pub max_unavailable: usize,
    /// The same within each zone.
    pub max_unavailable_in_zone: usize,
    /// A rollout pauses when more instances than this failed.
    pub max_failures: usize,
    /// An instance has to be ready so long after its start.
    pub ready_within: u64,
    /// It has to stay ready for so long before the rollout goes on.
    pub healthy_for: u64,
    /// SIGKILL follows SIGTERM after this. By the deployment page, the longest deadline and 0.7 s.
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
    /// # Errors
    /// A value makes no rollout possible.
    pub fn validate(&self) -> Result<(), Rejection> {
        let counts = [
            ("batch", self.batch),
            ("max_unavailable", self.max_unavailable),
            ("max_unavailable_in_zone", self.max_unavailable_in_zone),
        ];
        if let Some((name, _)) = counts.iter().find(|(_, n)| *n == 0) {
            return Err(Rejection::Invalid(format!("policy.{name} is 0; 1 or more is allowed")));
        }
        if self.ready_within == 0 || self.stop_within == 0 {
            return Err(Rejection::Invalid(
                "policy.ready_within and policy.stop_within must be over 0".into(),
            ));
        }
        Ok(())
    }
}

/// An instance as a fleet's file has it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DesiredInstance {
    /// Its zone.
    pub zone: String,
    /// The generation of its configuration; the host numbers them, the same text under the same number.
    pub generation: u64,
}

/// What an operator can ask for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Command {
    /// The whole fleet: instances that are not named end, new ones start, others roll to their configuration.
    Apply {
        /// All instances.
        instances: BTreeMap<String, DesiredInstance>,
        /// Bounds.
        policy: Policy,
    },
    /// Run these.
    Up(Vec<String>),
    /// End these.
    Down(Vec<String>),
    /// These take nothing new.
    Drain(Vec<String>),
    /// These serve again.
    Undrain(Vec<String>),
    /// No instance sends these boxes anything new.
    DrainBoxes(Vec<String>),
    /// Discovery decides about these boxes again.
    UndrainBoxes(Vec<String>),
    /// Restart these one after another, within the policy.
    Restart(Vec<String>),
    /// The rollout begins no further instance.
    Pause,
    /// The rollout goes on.
    Resume,
    /// The rollout ends, and what it changed goes back.
    Abort,
}

/// Why a command was not taken. Nothing has changed then.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// Another operator was first.
    Conflict {
        /// What the command was based on.
        base: u64,
        /// What is in force.
        generation: u64,
    },
    /// It makes no sense.
    Invalid(String),
    /// It would do harm; `--force` asks for it all the same.
    Unsafe(String),
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Rejection::Conflict { base, generation } => {
                write!(f, "based on generation {base}, but {generation} is in force: look again, then decide")
            }
            Rejection::Invalid(why) => f.write_str(why),
            Rejection::Unsafe(why) => write!(f, "{why}; --force does it all the same"),
        }
    }
}

impl std::error::Error for Rejection {}

/// A command that was taken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Operation {
    /// The operator's id of it.
    pub id: String,
    /// The fleet's generation with it.
    pub generation: u64,
    /// What was asked for.
    pub command: Command,
    /// How it ended, once it has.
    pub settled: Option<Outcome>,
}

/// How a rollout stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutState {
    /// It goes on.
    Running,
    /// It begins nothing further, for this reason.
    Paused(String),
    /// It was aborted, and what it changed goes back.
    RollingBack,
    /// All of it is done.
    Done,
    /// It was aborted, and what it changed is as before.
    Aborted,
}

impl RolloutState {
    /// It is under way.
    pub fn is_active(&self) -> bool {
        !matches!(self, RolloutState::Done | RolloutState::Aborted)
    }
}

/// A change that goes through the fleet batch by batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// The operation that began it.
    pub id: String,
    /// How it stands.
    pub state: RolloutState,
    /// What each instance is to become, in this order: configuration and incarnation.
    pub targets: Vec<(String, (u64, u64))>,
    /// What those were that have been begun.
    pub before: BTreeMap<String, (u64, u64)>,
    /// Begun and not yet over.
    pub current: BTreeSet<String>,
    /// Done.
    pub done: BTreeSet<String>,
    /// Failed.
    pub failed: BTreeSet<String>,
}

impl Rollout {
    /// How it stands, for people.
    pub fn summary(&self) -> String {
        let (done, all) = (self.done.len(), self.targets.len());
        let state = match &self.state {
            RolloutState::Running => "running".to_owned(),
            RolloutState::Paused(why) => format!("paused ({why})"),
            RolloutState::RollingBack => "rolling back".into(),
            RolloutState::Done => "done".into(),
            RolloutState::Aborted => "aborted".into(),
        };
        let failed =
            if self.failed.is_empty() { String::new() } else { format!(", failed: {:?}", self.failed) };
        format!("{state}, {done} of {all} done{failed}")
    }
}

/// All that is wanted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Counts the commands that were taken.
    pub generation: u64,
    /// Counts the sets of drained boxes.
    pub revision: u64,
    /// The boxes that operators drained.
    pub drained_boxes: BTreeSet<String>,
    /// Bounds.
    pub policy: Policy,
    /// The instances.
    pub instances: BTreeMap<String, Intent>,
    /// The rollout under way, or the last one.
    pub rollout: Option<Rollout>,
    /// The last operations.
    pub operations: VecDeque<Operation>,
}

/// A part of the plan that changes as one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RecordKey {
    /// Generation, drained boxes, policy.
    Fleet,
    /// An instance.
    Instance(String),
    /// The rollout.
    Rollout,
    /// The operations.
    Operations,
}

/// A part of the plan as the journal keeps it; null for what is gone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Which part.
    pub key: RecordKey,
    /// As it is now.
    pub value: Value,
}

impl Plan {
    /// A part as it is now.
    pub fn record(&self, key: RecordKey) -> Record {
        let value = match &key {
            RecordKey::Fleet => json!([self.generation, self.revision, self.drained_boxes, self.policy]),
            RecordKey::Instance(name) => json!(self.instances.get(name)),
            RecordKey::Rollout => json!(self.rollout),
            RecordKey::Operations => json!(self.operations),
        };
        Record { key, value }
    }

    /// All parts.
    pub fn records(&self) -> Vec<Record> {
        let fixed = [RecordKey::Fleet, RecordKey::Rollout, RecordKey::Operations];
        let instances = self.instances.keys().cloned().map(RecordKey::Instance);
        fixed.into_iter().chain(instances).map(|key| self.record(key)).collect()
    }

    /// Takes a part from the journal.
    ///
    /// # Errors
    /// It is no part of a plan.
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

/// May an instance be called so? It stands in paths.
pub fn is_valid_name(name: &str) -> bool {
    let plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    !name.is_empty() && name.len() <= 64 && !name.starts_with('.') && name.chars().all(plain)
}
