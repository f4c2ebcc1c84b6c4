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
/// The bits of a timer token from here up hold the kind of the timer, those below the request id.
pub(super) const TIMER_KIND_SHIFT: u32 = 56;
/// Kind of the timers of hedges.
pub(super) const HEDGE_TIMER: u64 = 1 << TIMER_KIND_SHIFT;
/// Answers of a class from which its statistics are used.
pub(super) const MIN_ANSWERS: f64 = 5.0;
/// Mean deviations above the mean answer time at which an answer is overdue.
pub(super) const OVERDUE_DEVIATIONS: f64 = 3.5;
/// An attempt is sent only if this fraction of the mean answer time is left for it.
pub(super) const MIN_TIME_FRACTION: f64 = 0.5;
/// Fraction of the time left after which an attempt is overdue while its class has too few statistics, and the
/// least such fraction once it has enough.
const INITIAL_PATIENCE_FRACTION: f64 = 0.5;
const MIN_PATIENCE_FRACTION: f64 = 0.2;

impl Balancer {
    /// Sends an attempt of a request to a server, with a time-out or a hedge timer if another attempt could follow.
    pub(super) fn send_attempt(&mut self, now: Nanos, id: RequestId, index: u32, actions: &mut Vec<Action>) {
        let to_origin = self.is_origin(&self.servers[index as usize]);
        let server = &mut self.servers[index as usize];
        server.inflight += 1.0;
        self.total_inflight += 1.0;
        if server.consecutive_failures >= 1 && server.ejection_backoff > 0 {
            // A half-open probe: no second request before the answer to this one is due.
            server.ejected_until = now + server.ejection_backoff.max(SECOND);
            server.half_open_probe = true;
        }
        let (server_id, zone, cell) = (server.entry.server, server.entry.zone, server.entry.cell);
        let Some(open) = self.open_requests.get_mut(&id) else { return };
        open.attempts.push(Attempt {
            server: server_id,
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
        actions.push(Action::Send { id, server: server_id, timeout });
    }

    /// Chooses the origin server with the fewest attempts in flight.
    pub(super) fn choose_origin(&self, now: Nanos, open: &OpenRequest) -> Option<u32> {
        let fits = |server: &Server| {
            Self::accepts_requests(server) && self.is_origin(server) && self.dedup_allows(now, open, server)
        };
        let all = (0u32..).zip(&self.servers).filter(|(_, server)| fits(server));
        all.min_by(|left, right| left.1.inflight.total_cmp(&right.1.inflight)).map(|(index, _)| index)
    }

    /// Sends a miss to the origin, as far as admission control allows. Otherwise an overloaded origin would spend its
    /// capacity on fetches that no client waits for any more, fill no cache, and stay overloaded.
    pub(super) fn fetch_from_origin(&mut self, now: Nanos, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open_requests.get_mut(&id) else { return };
        open.likely_hit = false;
        let class = open.class;
        let allowed = open.attempts.len() < self.settings.max_attempts as usize && now < open.deadline;
        let allowed = allowed && self.rejection_probability(now, class, false) < self.random_unit();
        match self.open_requests.get(&id).and_then(|open| self.choose_origin(now, open)) {
            Some(server) if allowed => self.send_attempt(now, id, server, actions),
            _ => {
                // A fetch that was not sent must not count as a failure of the origin.
                self.open_requests.entry(id).and_modify(|open| open.counts_for_admission = false);
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
        if let Some(index) = server {
            self.retry_budget -= cost;
            self.send_attempt(now, id, index, actions);
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
        let allowed = |open: &OpenRequest| open.likely_hit || self.error_ratio <= ORIGIN_ERROR_RATIO;
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
        let may_have_run = open.attempts.iter().any(|a| a.pending || a.may_have_run);
        if class.map_or(!may_have_run, |class| class.may_be_refused(may_have_run)) {
            // While not all requests are admitted, or servers reject attempts, clients are advised to wait: the
            // more is rejected, the longer. Clients that retry at once fill the queues again and cause the next
            // rejections. The cost: after a short overload they wait longer than needed.
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
