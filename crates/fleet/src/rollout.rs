//! Changes that go through the fleet batch by batch, within the policy's bounds.

use crate::plan::{DesiredInstance, Intent, Operation, RecordKey, Rollout, RolloutState};
use crate::{Fleet, Millis, ObservedInstance};
use std::collections::BTreeMap;

impl Fleet {
    /// Takes over a fleet's file: ends and starts what comes and goes, and begins to roll the rest.
    pub(crate) fn apply_instances(
        &mut self,
        operation: &Operation,
        wanted: &BTreeMap<String, DesiredInstance>,
    ) {
        let gone: Vec<String> =
            self.plan.instances.keys().filter(|n| !wanted.contains_key(*n)).cloned().collect();
        for name in gone {
            self.plan.instances.remove(&name);
            self.touch(RecordKey::Instance(name));
        }
        let mut targets = Vec::new();
        for (name, w) in wanted {
            let Some(intent) = self.plan.instances.get_mut(name) else {
                let intent = Intent {
                    zone: w.zone.clone(),
                    running: true,
                    generation: w.generation,
                    ..Intent::default()
                };
                self.plan.instances.insert(name.clone(), intent);
                self.observed.entry(name.clone()).or_default();
                self.touch(RecordKey::Instance(name.clone()));
                continue;
            };
            intent.zone.clone_from(&w.zone);
            if intent.generation != w.generation {
                targets.push((name.clone(), (w.generation, intent.incarnation)));
            }
            self.touch(RecordKey::Instance(name.clone()));
        }
        if !targets.is_empty() {
            self.begin(operation, targets);
        }
    }

    pub(crate) fn begin_restart(&mut self, operation: &Operation, names: &[String]) {
        let all =
            self.plan.instances.iter().filter(|(n, i)| i.running && (names.is_empty() || names.contains(n)));
        let targets = all.map(|(n, i)| (n.clone(), (i.generation, i.incarnation + 1))).collect();
        self.begin(operation, targets);
    }

    fn begin(&mut self, operation: &Operation, targets: Vec<(String, (u64, u64))>) {
        self.plan.rollout = Some(Rollout {
            id: operation.id.clone(),
            state: RolloutState::Running,
            targets,
            before: BTreeMap::new(),
            current: Default::default(),
            done: Default::default(),
            failed: Default::default(),
        });
        self.touch(RecordKey::Rollout);
    }

    pub(crate) fn rollout_state(&mut self, state: RolloutState) {
        if let Some(rollout) = &mut self.plan.rollout {
            rollout.state = state;
            self.touch(RecordKey::Rollout);
        }
    }

    /// What failed is tried again.
    pub(crate) fn resume(&mut self) {
        if let Some(rollout) = &mut self.plan.rollout {
            rollout.current.extend(std::mem::take(&mut rollout.failed));
            // A rollback that was paused goes on back.
            rollout.state = RolloutState::Running;
            self.touch(RecordKey::Rollout);
        }
    }

    /// What was begun goes back to what it was. A restart has nothing to go back to: it only ends.
    pub(crate) fn abort(&mut self) {
        let Some(rollout) = &mut self.plan.rollout else { return };
        rollout.state = RolloutState::RollingBack;
        let back = rollout.before.clone();
        rollout.current = back.keys().cloned().collect();
        for (name, (generation, _)) in back {
            let Some(intent) = self.plan.instances.get_mut(&name) else { continue };
            if intent.generation != generation {
                intent.generation = generation;
                self.touch(RecordKey::Instance(name));
            }
        }
        self.touch(RecordKey::Rollout);
    }

    /// An instance has failed its change: it crashed since it was begun, or is not ready in time.
    fn has_failed(&self, now: Millis, name: &str) -> bool {
        let Some(s) = self.observed.get(name) else { return false };
        let policy = &self.plan.policy;
        let bound = policy.stop_within + policy.ready_within;
        let hung = |s: &ObservedInstance| {
            s.process.is_some() && !self.converged(name) && now >= s.since.max(s.ending.unwrap_or(0)) + bound
        };
        s.consecutive_crashes > 0 || hung(s)
    }

    /// Moves the rollout on as far as the policy allows.
    pub(crate) fn advance(&mut self, now: Millis) {
        let Some(mut rollout) = self.plan.rollout.take_if(|r| r.state.is_active()) else { return };
        let before = rollout.clone();
        let names: Vec<String> = rollout.current.iter().cloned().collect();
        for name in names {
            let wanted = self.plan.instances.get(&name).is_some_and(|i| i.running);
            let drained = self.plan.instances.get(&name).is_some_and(|i| i.drained);
            let since = self.observed.get(&name).and_then(|s| s.ready_since);
            let steady = drained || since.is_some_and(|at| now >= at + self.plan.policy.healthy_for);
            if !wanted || (self.converged(&name) && steady) {
                rollout.current.remove(&name);
                rollout.done.insert(name);
            } else if rollout.state == RolloutState::Running && self.has_failed(now, &name) {
                rollout.current.remove(&name);
                rollout.failed.insert(name);
            }
        }
        if rollout.state == RolloutState::Running && rollout.failed.len() > self.plan.policy.max_failures {
            let why = rollout.failed.iter().next().map(|name| {
                let last_error = self.observed.get(name).and_then(|s| s.last_error.clone());
                format!("{name}: {}", last_error.unwrap_or_else(|| "not ready in time".into()))
            });
            rollout.state = RolloutState::Paused(why.unwrap_or_default());
        }
        match rollout.state {
            RolloutState::Running => {
                self.begin_more(&mut rollout);
                let over = rollout.done.len() + rollout.failed.len() == rollout.targets.len();
                if over && rollout.current.is_empty() {
                    rollout.state = RolloutState::Done;
                }
            }
            RolloutState::RollingBack if rollout.current.is_empty() => rollout.state = RolloutState::Aborted,
            _ => {}
        }
        let changed = rollout != before;
        self.plan.rollout = Some(rollout);
        if changed {
            self.touch(RecordKey::Rollout);
        }
    }

    fn begin_more(&mut self, rollout: &mut Rollout) {
        for (name, target) in rollout.targets.clone() {
            if rollout.current.len() >= self.plan.policy.batch {
                return;
            }
            let over = rollout.done.contains(&name) || rollout.failed.contains(&name);
            if over || rollout.current.contains(&name) {
                continue;
            }
            let Some(intent) = self.plan.instances.get(&name) else {
                rollout.done.insert(name);
                continue;
            };
            // Danger: what is begun in this turn still looks available.
            let out = |n: &String| *n == name || rollout.current.contains(n) || !self.is_available(n);
            let serving = self.plan.instances.iter().filter(|(_, i)| i.running && !i.drained);
            let unavailable: Vec<&Intent> = serving.filter(|(n, _)| out(n)).map(|(_, i)| i).collect();
            let in_zone = unavailable.iter().filter(|i| i.zone == intent.zone).count();
            let policy = &self.plan.policy;
            if unavailable.len() > policy.max_unavailable || in_zone > policy.max_unavailable_in_zone {
                continue;
            }
            rollout.before.insert(name.clone(), (intent.generation, intent.incarnation));
            rollout.current.insert(name.clone());
            if let Some(intent) = self.plan.instances.get_mut(&name) {
                (intent.generation, intent.incarnation) = target;
            }
            // What it did before is not the rollout's doing.
            if let Some(s) = self.observed.get_mut(&name) {
                s.consecutive_crashes = 0;
            }
            self.touch(RecordKey::Instance(name));
        }
    }
}
