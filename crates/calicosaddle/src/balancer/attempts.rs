//! Attempts: sending, retries within a budget, hedges, fetches from the origin, and the final rejection or failure.

use super::request::{Attempt, OpenRequest};
use super::server::Server;
use super::{Balancer, MS, SECOND};
use crate::api::*;

/// A greater fraction of errors among the outcomes means that the origin fails.
pub(super) const ORIGIN_ERROR_RATIO: f64 = 0.05;
/// If this fraction of the attempts is rejected, clients are advised to wait for as long as allowed.
const OVERLOAD_REJECTED_RATIO: f64 = 0.2;
/// Most retries and hedges that requests can save up.
pub(super) const MAX_RETRY_BUDGET: f64 = 10.0;
/// Marks timer tokens of hedges; the bits below hold the request id.
pub(super) const HEDGE_TIMER: u64 = 1 << 56;
/// Answers of a class from which its statistics are used.
pub(super) const MIN_ANSWERS: f64 = 5.0;
/// Mean deviations above the mean answer time at which an answer is overdue.
pub(super) const OVERDUE_DEVIATIONS: f64 = 3.5;
/// An attempt is sent only if this fraction of the mean answer time is left for it.
pub(super) const MIN_TIME_FRACTION: f64 = 0.5;
/// Fraction of the time left after which an attempt is overdue: while the class's statistics can't be used yet, and
/// at least, once they can.
const INITIAL_PATIENCE_FRACTION: f64 = 0.5;
const MIN_PATIENCE_FRACTION: f64 = 0.2;

impl Balancer {
    /// Sends an attempt of a request to a server, with a time-out or a hedge timer if another attempt could follow.
    pub(super) fn send_attempt(&mut self, now: Nanos, id: RequestId, i: u32, actions: &mut Vec<Action>) {
        let to_origin = self.is_origin(&self.servers[i as usize]);
        let s = &mut self.servers[i as usize];
        s.inflight += 1.0;
        self.total_inflight += 1.0;
        if s.consecutive_failures >= 1 && s.ejection_backoff > 0 {
            // A half-open probe: no second request before the answer to this one is due.
            s.ejected_until = now + s.ejection_backoff.max(SECOND);
            s.half_open_probe = true;
        }
        let (server, zone, cell) = (s.entry.server, s.entry.zone, s.entry.cell);
        let Some(open) = self.open_requests.get_mut(&id) else { return };
        open.attempts.push(Attempt {
            server,
            zone,
            cell,
            sent_at: now,
            pending: true,
            timed_out: false,
            broken: false,
            may_have_run: false,
        });
        let sent = open.attempts.len() as u32;
        let may_follow = sent < self.settings.max_attempts;
        let stats = self.class_stats.get(open.class).cloned().unwrap_or_default();
        let class = self.settings.classes.get(open.class);
        let retryable =
            class.is_some_and(|c| c.retry_safety != RetrySafety::Unsafe && !c.stream) && !to_origin;
        let left = open.target_at.min(open.deadline).saturating_sub(now) as f64;
        let patience = if stats.answers < MIN_ANSWERS {
            left * INITIAL_PATIENCE_FRACTION
        } else {
            (open.work_scale * (stats.mean + OVERDUE_DEVIATIONS * stats.deviation))
                .max(MIN_PATIENCE_FRACTION * left)
        };
        let mut timeout = 0;
        if retryable && may_follow && patience + stats.mean < left {
            if self.settings.hedging {
                actions.push(Action::Timer { token: HEDGE_TIMER | id, delay: patience as Nanos });
            } else {
                timeout = patience as Nanos;
            }
        }
        actions.push(Action::Send { id, server, timeout });
    }

    /// Chooses the least loaded of the servers that stand for the origin.
    pub(super) fn choose_origin(&self, now: Nanos, open: &OpenRequest) -> Option<u32> {
        let fits =
            |s: &Server| Self::accepts_requests(s) && self.is_origin(s) && self.dedup_allows(now, open, s);
        let all = (0u32..).zip(&self.servers).filter(|(_, s)| fits(s));
        all.min_by(|a, b| a.1.inflight.total_cmp(&b.1.inflight)).map(|(i, _)| i)
    }

    /// Sends a miss to the origin, as far as admission control lets it through. Otherwise the origin would go on with
    /// fetches that no client waits for any more; once overloaded, it would fill no cache and stay overloaded.
    pub(super) fn fetch_from_origin(&mut self, now: Nanos, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open_requests.get_mut(&id) else { return };
        open.likely_hit = false;
        let class = open.class;
        let allowed = open.attempts.len() < self.settings.max_attempts as usize && now < open.deadline;
        let allowed = allowed && self.rejection_probability(now, class, false) < self.random_unit();
        match self.open_requests.get(&id).and_then(|o| self.choose_origin(now, o)) {
            Some(i) if allowed => self.send_attempt(now, id, i, actions),
            _ => {
                // A rejected fetch says nothing about the origin.
                self.open_requests.entry(id).and_modify(|o| o.counts_for_admission = false);
                self.reject_or_fail(id, actions);
            }
        }
    }

    /// Sends another attempt if the number of attempts, the time left and the retry budget allow it; reports whether
    /// it did. `cost` is taken from the budget.
    pub(super) fn retry(&mut self, now: Nanos, id: RequestId, cost: f64, actions: &mut Vec<Action>) -> bool {
        let Some(open) = self.open_requests.remove(&id) else { return true };
        let left = open.deadline.saturating_sub(now) as f64;
        let allowed = (open.attempts.len() as u32) < self.settings.max_attempts
            && self.retry_budget >= cost
            && left > (MIN_TIME_FRACTION * self.stats_of(open.class).mean).max(MS as f64);
        let server = if allowed { self.choose_server(now, &open, 1) } else { None };
        self.open_requests.insert(id, open);
        if let Some(i) = server {
            self.retry_budget -= cost;
            self.send_attempt(now, id, i, actions);
        }
        server.is_some()
    }

    /// Handles the hedge timer of a request: its only pending attempt is overdue.
    pub(super) fn handle_hedge_timer(&mut self, now: Nanos, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open_requests.get(&id) else { return };
        let pending: Vec<ServerId> = open.attempts.iter().filter(|a| a.pending).map(|a| a.server).collect();
        if pending.len() != 1 || open.streaming || now >= open.deadline {
            return;
        }
        let server = pending[0];
        // An overdue answer counts as a failure at once: two of them eject a server that hangs.
        self.record_failure(now, server, 1);
        let allowed = |o: &OpenRequest| o.likely_hit || self.error_ratio <= ORIGIN_ERROR_RATIO;
        if self.settings.hedging && self.open_requests.get(&id).is_some_and(allowed) {
            self.retry(now, id, 1.0, actions);
        }
    }

    /// Gives the final answer to a request that can't be served: a rejection where a repeat by the client does no
    /// harm, else a failure.
    pub(super) fn reject_or_fail(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open_requests.remove(&id) else { return };
        self.record_request_end(&open, 0.0);
        let class = self.settings.classes.get(open.class);
        let ran = open.attempts.iter().any(|a| a.pending || a.may_have_run);
        let harmless = match class.map_or(RetrySafety::Unsafe, |c| c.retry_safety) {
            RetrySafety::Safe => true,
            RetrySafety::Keyed => !ran || class.is_some_and(|c| c.dedup_scope == DedupScope::All),
            RetrySafety::Unsafe => !ran,
        };
        if harmless {
            // While not all requests are admitted, or servers reject attempts, clients are advised to wait: the more
            // is rejected, the longer. Clients that come back at once fill the queues again and get the next request
            // rejected. The cost: after a short overload they stay away longer than needed.
            let limited = self.admission[usize::from(open.likely_hit)].admitted_fraction < 1.0;
            let overload =
                if limited { 1.0 } else { (self.rejected_ratio / OVERLOAD_REJECTED_RATIO).min(1.0) };
            let retry_after = (overload * self.settings.max_retry_after as f64) as Nanos;
            actions.push(Action::Refuse { id, retry_after });
        } else {
            actions.push(Action::Fail { id });
        }
    }
}
