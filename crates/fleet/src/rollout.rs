//! Rollouts: changes that are applied to the fleet in batches, within the limits of the policy.

use crate::plan::{DesiredInstance, Intent, Operation, RecordKey, Rollout, RolloutState};
use crate::{Fleet, Millis, ObservedInstance};
use std::collections::BTreeMap;

impl Fleet {
    /// Applies a fleet file: removes and adds instances, and starts a rollout for changed configurations.
    pub(crate) fn apply_instances(
        &mut self,
        operation: &Operation,
        desired_instances: &BTreeMap<String, DesiredInstance>,
    ) {
        let removed: Vec<String> =
            self.plan.instances.keys().filter(|n| !desired_instances.contains_key(*n)).cloned().collect();
        for name in removed {
            self.plan.instances.remove(&name);
            self.mark_dirty(RecordKey::Instance(name));
        }
        let mut targets = Vec::new();
        for (name, desired) in desired_instances {
            let Some(intent) = self.plan.instances.get_mut(name) else {
                let intent = Intent {
                    zone: desired.zone.clone(),
                    running: true,
                    generation: desired.generation,
                    ..Intent::default()
                };
                self.plan.instances.insert(name.clone(), intent);
                self.observed.entry(name.clone()).or_default();
                self.mark_dirty(RecordKey::Instance(name.clone()));
                continue;
            };
            intent.zone.clone_from(&desired.zone);
            if intent.generation != desired.generation {
                targets.push((name.clone(), (desired.generation, intent.incarnation)));
            }
            self.mark_dirty(RecordKey::Instance(name.clone()));
        }
        if !targets.is_empty() {
            self.start_rollout(operation, targets);
        }
    }

    /// Starts a rollout that restarts the named running instances, or all of them if no name is given.
    pub(crate) fn start_restart(&mut self, operation: &Operation, names: &[String]) {
        let selected =
            self.plan.instances.iter().filter(|(n, i)| i.running && (names.is_empty() || names.contains(n)));
        let targets = selected.map(|(n, i)| (n.clone(), (i.generation, i.incarnation + 1))).collect();
        self.start_rollout(operation, targets);
    }

    fn start_rollout(&mut self, operation: &Operation, targets: Vec<(String, (u64, u64))>) {
        self.plan.rollout = Some(Rollout {
            id: operation.id.clone(),
            state: RolloutState::Running,
            targets,
            before: BTreeMap::new(),
            current: Default::default(),
            done: Default::default(),
            failed: Default::default(),
            aborted: false,
        });
        self.mark_dirty(RecordKey::Rollout);
    }

    pub(crate) fn set_rollout_state(&mut self, state: RolloutState) {
        if let Some(rollout) = &mut self.plan.rollout {
            rollout.state = state;
            self.mark_dirty(RecordKey::Rollout);
        }
    }

    /// Resumes the rollout in its direction. On the way forward, the failed instances are retried.
    pub(crate) fn resume_rollout(&mut self) {
        let Some(rollout) = &mut self.plan.rollout else { return };
        if rollout.aborted {
            rollout.state = RolloutState::RollingBack;
        } else {
            rollout.current.extend(std::mem::take(&mut rollout.failed));
            rollout.state = RolloutState::Running;
        }
        self.mark_dirty(RecordKey::Rollout);
    }

    /// Rolls changed instances back to their previous configuration. The incarnation is kept, so that aborting a
    /// restart does not restart the instances again.
    pub(crate) fn abort_rollout(&mut self) {
        let Some(rollout) = &mut self.plan.rollout else { return };
        (rollout.state, rollout.aborted) = (RolloutState::RollingBack, true);
        let previous = rollout.before.clone();
        rollout.current = previous.keys().cloned().collect();
        for (name, (generation, _)) in previous {
            let Some(intent) = self.plan.instances.get_mut(&name) else { continue };
            if intent.generation != generation {
                intent.generation = generation;
                self.mark_dirty(RecordKey::Instance(name));
            }
        }
        self.mark_dirty(RecordKey::Rollout);
    }

    /// Whether the change of an instance has failed: it crashed after the change, or did not converge in time.
    fn has_failed(&self, now: Millis, name: &str) -> bool {
        let Some(observed) = self.observed.get(name) else { return false };
        let policy = &self.plan.policy;
        let limit = policy.stop_within + policy.ready_within;
        let timed_out = |observed: &ObservedInstance| {
            observed.process.is_some()
                && !self.has_converged(name)
                && now >= observed.first_seen_at.max(observed.terminating_since.unwrap_or(0)) + limit
        };
        observed.consecutive_crashes > 0 || timed_out(observed)
    }

    /// Advances the rollout as far as the policy allows.
    pub(crate) fn advance_rollout(&mut self, now: Millis) {
        let Some(mut rollout) = self.plan.rollout.take_if(|r| r.state.is_active()) else { return };
        let before = rollout.clone();
        let names: Vec<String> = rollout.current.iter().cloned().collect();
        for name in names {
            let should_run = self.plan.instances.get(&name).is_some_and(|i| i.running);
            let drained = self.plan.instances.get(&name).is_some_and(|i| i.drained);
            let ready_since = self.observed.get(&name).and_then(|observed| observed.ready_since);
            let stable = drained || ready_since.is_some_and(|at| now >= at + self.plan.policy.healthy_for);
            if !should_run || (self.has_converged(&name) && stable) {
                rollout.current.remove(&name);
                rollout.done.insert(name);
            } else if rollout.state == RolloutState::Running && self.has_failed(now, &name) {
                rollout.current.remove(&name);
                rollout.failed.insert(name);
            }
        }
        if rollout.state == RolloutState::Running && rollout.failed.len() > self.plan.policy.max_failures {
            let reason = rollout.failed.iter().next().map(|name| {
                let last_error = self.observed.get(name).and_then(|observed| observed.last_error.clone());
                format!("{name}: {}", last_error.unwrap_or_else(|| "not ready in time".into()))
            });
            rollout.state = RolloutState::Paused(reason.unwrap_or_default());
        }
        match rollout.state {
            RolloutState::Running => {
                self.start_next_instances(&mut rollout);
                let finished = rollout.done.len() + rollout.failed.len() == rollout.targets.len();
                if finished && rollout.current.is_empty() {
                    rollout.state = RolloutState::Done;
                }
            }
            RolloutState::RollingBack if rollout.current.is_empty() => rollout.state = RolloutState::Aborted,
            _ => {}
        }
        let changed = rollout != before;
        self.plan.rollout = Some(rollout);
        if changed {
            self.mark_dirty(RecordKey::Rollout);
        }
    }

    /// Starts to change further instances while the batch and the limits on unavailability allow it.
    fn start_next_instances(&mut self, rollout: &mut Rollout) {
        for (name, target) in rollout.targets.clone() {
            if rollout.current.len() >= self.plan.policy.batch {
                return;
            }
            let finished = rollout.done.contains(&name) || rollout.failed.contains(&name);
            if finished || rollout.current.contains(&name) {
                continue;
            }
            let Some(intent) = self.plan.instances.get(&name) else {
                rollout.done.insert(name);
                continue;
            };
            // Instances that were changed in this call still appear available; without counting them, a call could
            // exceed the limits.
            let is_unavailable =
                |n: &String| *n == name || rollout.current.contains(n) || !self.is_available(n);
            let serving = self.plan.instances.iter().filter(|(_, i)| i.running && !i.drained);
            let unavailable: Vec<&Intent> =
                serving.filter(|(n, _)| is_unavailable(n)).map(|(_, i)| i).collect();
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
            // Earlier crashes do not count as a failure of this rollout.
            if let Some(observed) = self.observed.get_mut(&name) {
                observed.consecutive_crashes = 0;
            }
            self.mark_dirty(RecordKey::Instance(name));
        }
    }
}
