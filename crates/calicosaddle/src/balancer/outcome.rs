//! Outcomes of attempts: how they update the state of servers, and what happens next to the request.

use super::attempts::{MIN_ANSWERS, ORIGIN_ERROR_RATIO, OVERDUE_DEVIATIONS};
use super::latency::ClassStats;
use super::Balancer;
use crate::api::*;

/// Mean deviations above the mean answer time up to which an answer is about as quick as usual.
const USUAL_DEVIATIONS: f64 = 2.0;
/// Weight of an outcome in the moving ratios of refused connections, and of rejected attempts and errors.
const CONNECT_FAILED_GAIN: f64 = 0.02;
const OUTCOME_GAIN: f64 = 0.05;
/// Weight of a hit in the mean hit latency of its server.
const HIT_LATENCY_GAIN: f64 = 0.1;
/// Least weight of an answer in the statistics of its class.
const MIN_CLASS_GAIN: f64 = 0.03;
/// Greatest ratio of answer time to latency target that counts for a latency score.
const MAX_LATENCY_RATIO: f64 = 1.5;
/// An answer is overdue only after this fraction of its latency target.
const MIN_OVERDUE_FRACTION: f64 = 0.5;
/// What a retry takes from the budget after an attempt that cost the servers no work.
const CHEAP_RETRY_COST: f64 = 0.1;
/// With a cache-aside origin, rejected attempts are not retried above this fraction of rejections.
const MAX_RETRIED_REJECTED_RATIO: f64 = 2.0 * ORIGIN_ERROR_RATIO;
/// Failures that a refused connection counts as; a late answer, which is weaker evidence, counts as one.
const CONNECT_FAILED_WEIGHT: u32 = 2;

/// An outcome with the request class and the statistics that it is judged by.
struct OutcomeDetails {
    server: ServerId,
    status: Status,
    hit: Option<bool>,
    /// Time from the send, scaled down to the usual work of the class.
    elapsed: Nanos,
    class: Option<usize>,
    latency_target: Nanos,
    /// Statistics of the class before this outcome.
    usual: ClassStats,
    /// The server is a cache node, or unknown; not the origin.
    from_cache: bool,
}

impl Balancer {
    /// Handles the end of an attempt.
    pub(super) fn handle_outcome(&mut self, now: Nanos, outcome: &Outcome, actions: &mut Vec<Action>) {
        self.release_attempt(now, outcome, actions);
        let details = self.outcome_details(outcome);
        self.record_server_latency(&details);
        self.record_server_health(now, &details);
        self.record_class_time(&details);
        self.record_ratios(&details);
        let Some(open) = self.open_requests.get_mut(&outcome.id) else { return };
        if let Some(attempt) = open.attempts.get_mut(outcome.attempt as usize) {
            attempt.pending = false;
            attempt.timed_out = outcome.status == Status::Timeout;
            attempt.broken = matches!(outcome.status, Status::Reset | Status::Malformed);
            attempt.may_have_run = !outcome.status.never_ran();
        }
        let streaming = open.streaming;
        if let (Some(bucket), false, true) =
            (open.bucket, open.write, details.from_cache && outcome.status.reflects_server())
        {
            // If the server does not say whether it was a hit, an answer about as quick as usual counts as one.
            let quick = (details.elapsed as f64)
                < details.usual.mean + USUAL_DEVIATIONS * details.usual.deviation.max(1.0);
            self.record_hit(
                bucket,
                details.server,
                outcome.status == Status::Ok && outcome.hit.unwrap_or(quick),
            );
        }
        if outcome.request_complete {
            self.complete_request(now, outcome, actions);
            return;
        }
        let Some(open) = self.open_requests.get(&outcome.id) else { return };
        if streaming || open.attempts.iter().any(|a| a.pending) {
            return;
        }
        self.continue_request(now, outcome, details.from_cache, actions);
    }

    /// Frees the place of an attempt at its server and adapts the server's concurrency limit.
    fn release_attempt(&mut self, now: Nanos, outcome: &Outcome, actions: &mut Vec<Action>) {
        let server = outcome.server;
        if let Some(&index) = self.index_by_id.get(&server) {
            let s = &mut self.servers[index as usize];
            match outcome.status {
                Status::Rejected => s.decrease_concurrency_limit(),
                Status::Ok => s.increase_concurrency_limit(),
                // An attempt that was not sent used none of the capacity of a recovering server.
                Status::NotSent => s.slow_start_tokens += 1.0,
                _ => {}
            }
            let held = s.inflight.min(1.0);
            s.inflight -= held;
            self.total_inflight -= held;
            if s.inflight < 1.0 && self.should_close_idle(now, index) {
                actions.push(Action::CloseIdle(server));
            }
        }
    }

    /// Collects what the outcome is judged by, before the outcome changes any statistics.
    fn outcome_details(&self, outcome: &Outcome) -> OutcomeDetails {
        let Outcome { id, server, status, elapsed, hit, .. } = *outcome;
        // The origin is slow for all requests alike: its times are not comparable with those of a cache node, and
        // its silence does not mean that a zone is unreachable.
        let from_cache =
            self.index_by_id.get(&server).is_none_or(|&index| !self.is_origin(&self.servers[index as usize]));
        let class = self.open_requests.get(&id).map(|open| open.class);
        // Scaled by its work: otherwise a server busy with a heavy request would be taken for a silent one.
        let elapsed =
            (elapsed as f64 / self.open_requests.get(&id).map_or(1.0, |open| open.work_scale)) as Nanos;
        let usual = class.map(|class| self.stats_of(class)).unwrap_or_default();
        let latency_target =
            class.and_then(|class| self.settings.classes.get(class)).map_or(0, |class| class.latency_target);
        OutcomeDetails { server, status, hit, elapsed, class, latency_target, usual, from_cache }
    }

    /// Updates latency score and mean hit latency of a server. Misses don't count: their time is the origin's.
    fn record_server_latency(&mut self, details: &OutcomeDetails) {
        if let (Some(&index), true, true) =
            (self.index_by_id.get(&details.server), details.from_cache, details.latency_target > 0)
        {
            let ratio = (details.elapsed as f64 / details.latency_target as f64).min(MAX_LATENCY_RATIO);
            match details.status {
                Status::Ok if details.hit != Some(false) => {
                    self.record_latency_score(index, ratio * ratio);
                    let s = &mut self.servers[index as usize];
                    let gain = if s.mean_hit_latency > 0.0 { HIT_LATENCY_GAIN } else { 1.0 };
                    s.mean_hit_latency += gain * (details.elapsed as f64 - s.mean_hit_latency);
                }
                Status::Rejected => self.record_latency_score(index, 1.0),
                _ => {}
            }
        }
    }

    /// Records what the outcome says about the health of the server.
    fn record_server_health(&mut self, now: Nanos, details: &OutcomeDetails) {
        let (server, elapsed, usual) = (details.server, details.elapsed, &details.usual);
        let overdue = usual.answers > MIN_ANSWERS
            && elapsed as f64
                > (usual.mean + OVERDUE_DEVIATIONS * usual.deviation)
                    .max(MIN_OVERDUE_FRACTION * details.latency_target as f64)
            && details.hit != Some(false);
        match details.status {
            _ if !details.from_cache => {}
            // An answer this late is a sign that requests hang at the server.
            Status::Ok if overdue => self.record_failure(now, server, 1),
            // A silent server also rejects what it has no room for, so a rejection doesn't clear failures.
            Status::Rejected => {}
            Status::Ok | Status::Error | Status::Miss => self.clear_failures(server),
            Status::ConnectFailed => self.record_failure(now, server, CONNECT_FAILED_WEIGHT),
            Status::Reset | Status::Malformed => self.record_broken(now, server),
            // The wait was no longer than usual answers take, so the server is not at fault.
            Status::Timeout
                if usual.answers > MIN_ANSWERS
                    && (elapsed as f64) < usual.mean + USUAL_DEVIATIONS * usual.deviation => {}
            Status::Timeout => self.record_failure(now, server, 1),
            Status::Cancelled | Status::NotSent => {}
        }
    }

    /// Updates the statistics of the class with the time of an answer.
    fn record_class_time(&mut self, details: &OutcomeDetails) {
        let stats = details.class.and_then(|class| self.class_stats.get_mut(class));
        if let (Status::Ok, true, Some(stats)) = (details.status, details.from_cache, stats) {
            stats.answers += 1.0;
            let gain = (1.0 / stats.answers).max(MIN_CLASS_GAIN);
            let difference = details.elapsed as f64 - stats.mean;
            stats.mean += gain * difference;
            stats.deviation += gain * (difference.abs() - stats.deviation);
        }
    }

    /// Updates the moving ratios of outcomes and the count of successes.
    fn record_ratios(&mut self, details: &OutcomeDetails) {
        let is = |status: Status| f64::from(u8::from(details.status == status));
        if details.from_cache && details.status.reflects_server() {
            self.connect_failed_ratio +=
                CONNECT_FAILED_GAIN * (is(Status::ConnectFailed) - self.connect_failed_ratio);
            self.rejected_ratio += OUTCOME_GAIN * (is(Status::Rejected) - self.rejected_ratio);
            self.error_ratio += OUTCOME_GAIN * (is(Status::Error) - self.error_ratio);
        }
        self.recent_successes += is(Status::Ok);
    }

    /// Closes a request whose client got its final answer; cancels attempts that are still pending.
    fn complete_request(&mut self, now: Nanos, outcome: &Outcome, actions: &mut Vec<Action>) {
        let id = outcome.id;
        if let Some(open) = self.open_requests.remove(&id) {
            let late_value = self.settings.classes.get(open.class).map_or(0.0, |c| c.late_value);
            let value = if now <= open.target_at { 1.0 } else { late_value };
            self.record_request_end(&open, if outcome.status == Status::Ok { value } else { 0.0 });
            let pending =
                (0u32..).zip(&open.attempts).filter(|(_, a)| a.pending && self.settings.allow_cancel);
            actions.extend(pending.map(|(attempt, _)| Action::Cancel { id, attempt }));
        }
    }

    /// Decides what happens to a request without a pending attempt: a fetch from the origin, a retry, or the final
    /// answer.
    fn continue_request(
        &mut self,
        now: Nanos,
        outcome: &Outcome,
        from_cache: bool,
        actions: &mut Vec<Action>,
    ) {
        let (id, status) = (outcome.id, outcome.status);
        if status == Status::Miss && self.settings.cache_aside {
            self.fetch_from_origin(now, id, actions);
            return;
        }
        // If the origin fails already, a retry of a failed fetch at another server is one more fetch for it.
        let origin_fails = status == Status::Error && self.error_ratio > ORIGIN_ERROR_RATIO;
        // If proxies fetch, a retry elsewhere after a rejection is a miss and one more fetch.
        let overloaded = status == Status::Rejected
            && self.settings.cache_aside
            && self.rejected_ratio > MAX_RETRIED_REJECTED_RATIO;
        if origin_fails || overloaded || !from_cache {
            self.reject_or_fail(id, actions);
            return;
        }
        // Attempts that were not sent or found no connection cost the servers no work, and the work of a broken
        // connection ends with it. At full cost, a rollout that removes servers before the list says so, or
        // connections that break at random, would use up the budget: requests that the next server could serve would
        // be rejected, and that would be taken for an overload.
        let cheap =
            matches!(status, Status::NotSent | Status::ConnectFailed | Status::Reset | Status::Malformed);
        let cost = if cheap { CHEAP_RETRY_COST } else { 1.0 };
        if !self.retry(now, id, cost, actions) {
            self.reject_or_fail(id, actions);
        }
    }
}
