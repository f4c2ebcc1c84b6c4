//! Admission control: the fraction of requests that is sent at all, by class of traffic.

use super::request::OpenRequest;
use super::{Balancer, MIN_DIVISOR, MS, SECOND};
use crate::api::*;

/// Time constant of the sums of recent results, in seconds.
pub(super) const ADMISSION_MEMORY_S: f64 = 2.0;
/// Ratio of requests served in time below which the admitted fraction is cut: for requests that are not likely
/// hits, and for those that are.
const MIN_IN_TIME_RATIO: [f64; 2] = [0.78, 0.55];
/// The admitted fraction grows again once the ratio exceeds that bound by this much.
const RECOVERY_MARGIN: f64 = 0.15;
/// Interval at which the admitted fractions are updated.
const UPDATE_INTERVAL: Nanos = 250 * MS;
/// Least admitted fraction.
const MIN_ADMITTED_FRACTION: f64 = 0.03;
/// Requests served in time that are assumed beside the recent ones, so that a few results do not decide.
const PRIOR_IN_TIME: f64 = 2.0;
/// What a cut leaves of the admitted fraction.
const CUT_FACTOR: f64 = 0.5;
/// A cut lowers the ceiling too if the admitted fraction exceeded this part of it.
const NEAR_CEILING: f64 = 0.9;
/// The new ceiling, as a part of the admitted fraction that failed.
const CEILING_FACTOR: f64 = 0.85;
/// Growth of the admitted fraction per update: factor and step up to the ceiling, and step above it.
const QUICK_GROWTH_FACTOR: f64 = 1.2;
const QUICK_GROWTH_STEP: f64 = 0.01;
const SLOW_GROWTH_STEP: f64 = 0.005;
/// Bounds of the exponent by which the value of a class for its work changes its rejection probability.
const MIN_VALUE_EXPONENT: f64 = 0.25;
const MAX_VALUE_EXPONENT: f64 = 4.0;

/// Admission of one kind of traffic: likely hits, or all other requests.
#[derive(Clone, Copy, Default)]
pub(super) struct AdmissionControl {
    /// Decaying sums over the requests that were sent: how many ended, and how many of them in time (by value).
    ended: f64,
    in_time: f64,
    pub(super) admitted_fraction: f64,
    /// The admitted fraction grows quickly up to here, and slowly above, where it failed last.
    ceiling: f64,
    /// When the fraction was last cut.
    cut_at: Nanos,
}

impl AdmissionControl {
    /// Admits everything.
    pub(super) fn open() -> Self {
        AdmissionControl { admitted_fraction: 1.0, ceiling: 1.0, ..AdmissionControl::default() }
    }
}

impl Balancer {
    /// Moves the admitted fractions by how many of the admitted requests were served in time.
    ///
    /// Servers that continue work which no client waits for stay overloaded by retries permanently, unless proxies
    /// send less than they receive. Rejected requests don't count, or rejections would cause further rejections.
    fn update_admission(&mut self, now: Nanos) {
        let elapsed = now.saturating_sub(self.admission_updated_at);
        if elapsed < UPDATE_INTERVAL {
            return;
        }
        self.admission_updated_at = now;
        let keep = (-(elapsed as f64) / (ADMISSION_MEMORY_S * SECOND as f64)).exp();
        self.recent_successes *= keep;
        for (control, min_ratio) in self.admission.iter_mut().zip(MIN_IN_TIME_RATIO) {
            let ratio = (control.in_time + PRIOR_IN_TIME) / (control.ended + PRIOR_IN_TIME);
            if ratio < min_ratio {
                // Cut once, then judge only what was sent since the cut. If the fraction were cut further while
                // failures of older requests arrive, and then raised to 1, the load from all proxies together would
                // oscillate between overload and none.
                if control.admitted_fraction > NEAR_CEILING * control.ceiling {
                    control.ceiling = CEILING_FACTOR * control.admitted_fraction;
                }
                control.admitted_fraction =
                    (CUT_FACTOR * control.admitted_fraction).max(MIN_ADMITTED_FRACTION);
                (control.cut_at, control.ended, control.in_time) = (now, 0.0, 0.0);
            } else if ratio > min_ratio + RECOVERY_MARGIN {
                let quick = (QUICK_GROWTH_FACTOR * control.admitted_fraction + QUICK_GROWTH_STEP)
                    .min(control.ceiling);
                control.admitted_fraction = quick.max(control.admitted_fraction + SLOW_GROWTH_STEP).min(1.0);
                control.ceiling = control.ceiling.max(control.admitted_fraction);
            }
            (control.ended, control.in_time) = (control.ended * keep, control.in_time * keep);
        }
    }

    /// Records the end of a request, with the value of its answer (0 without one).
    pub(super) fn record_request_end(&mut self, open: &OpenRequest, value: f64) {
        let control = &mut self.admission[usize::from(open.likely_hit)];
        // A request without an answer counts only if a server was silent: requests that are rejected at once while
        // the origin is down or queues are short would be taken for an overload.
        let silent = open.attempts.iter().any(|a| a.pending || a.timed_out);
        if open.counts_for_admission && (value > 0.0 || silent) && open.arrived_at >= control.cut_at {
            control.ended += 1.0;
            control.in_time += value;
        }
    }

    /// Returns the probability with which a request of a class is rejected unsent: the less value its class has for
    /// its work, the higher.
    pub(super) fn rejection_probability(&mut self, now: Nanos, class: usize, likely_hit: bool) -> f64 {
        self.update_admission(now);
        let admitted = self.admission[usize::from(likely_hit)].admitted_fraction;
        if admitted >= 1.0 {
            return 0.0;
        }
        // The value of a class per unit of its work, or per nanosecond of its mean answer time.
        let density = |index: usize, class_settings: &Class| {
            let work = if self.settings.value_per_work { 1.0 } else { self.stats_of(index).mean.max(1.0) };
            class_settings.value.max(MIN_DIVISOR) / work
        };
        let all = self
            .settings
            .classes
            .iter()
            .enumerate()
            .map(|(index, class_settings)| density(index, class_settings));
        let mean = all.sum::<f64>() / self.settings.classes.len().max(1) as f64;
        let own =
            self.settings.classes.get(class).map_or(mean, |class_settings| density(class, class_settings));
        (1.0 - admitted).powf((own / mean).clamp(MIN_VALUE_EXPONENT, MAX_VALUE_EXPONENT))
    }
}
