//! The plan by which candidates may enter service under the slow start of the balancer.

use crate::Nanos;
use serde::{Deserialize, Serialize};

/// Slow start: the weight of a new box grows linearly from an initial fraction to that of a warm box.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// The initial weight, above 0 and at most 1.
    pub initial_fraction: f64,
    /// The time until the full weight.
    pub duration: Nanos,
}

/// One step of the plan.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Seconds since the first step.
    pub at_seconds: f64,
    /// The weight of each candidate; that of a warm box is 1.
    pub weight: f64,
    /// The share of all keys that each candidate has in this step.
    #[serde(rename = "each")]
    pub share_each: f64,
    /// The share of all keys that the candidates have together.
    #[serde(rename = "all")]
    pub share_all: f64,
}

/// A plan of `count` steps of equal length and a final step, for candidates that join live boxes. No step has a greater
/// weight than slow start allows at its beginning.
pub fn promotion_steps(slow_start: SlowStart, live: usize, candidates: usize, count: usize) -> Vec<Step> {
    let count = if slow_start.duration == 0 { 0 } else { count };
    let fraction = |k: usize| if count == 0 { 1.0 } else { k as f64 / count as f64 };
    let step = |k: usize| {
        let weight = if slow_start.duration == 0 {
            1.0
        } else {
            slow_start.initial_fraction + (1.0 - slow_start.initial_fraction) * fraction(k)
        };
        let all = candidates as f64 * weight / (live as f64 + candidates as f64 * weight);
        let each = if candidates == 0 { 0.0 } else { all / candidates as f64 };
        Step {
            at_seconds: fraction(k) * slow_start.duration as f64 / 1e9,
            weight,
            share_each: each,
            share_all: all,
        }
    };
    (0..=count).map(step).collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::SECOND;

    #[test]
    fn no_step_exceeds_the_slow_start_weight_and_the_last_one_has_full_weight() {
        for (from, live, candidates, count) in
            [(0.15, 16, 2, 6), (1.0, 1, 1, 3), (0.01, 0, 4, 1), (0.5, 9, 0, 2)]
        {
            let slow_start = SlowStart { initial_fraction: from, duration: 24 * SECOND };
            let steps = promotion_steps(slow_start, live, candidates, count);
            assert_eq!(steps.len(), count + 1);
            for s in &steps {
                let allowed = from + (1.0 - from) * s.at_seconds / 24.0;
                assert!(s.weight <= allowed + 1e-9 && s.weight > 0.0, "{s:?}");
                assert!((s.share_each * candidates as f64 - s.share_all).abs() < 1e-9);
            }
            let last = steps.last().expect("one");
            assert_eq!((last.at_seconds, last.weight), (24.0, 1.0));
            let expected_share =
                if candidates == 0 { 0.0 } else { candidates as f64 / (live + candidates) as f64 };
            assert!((last.share_all - expected_share).abs() < 1e-9);
            assert!(steps
                .windows(2)
                .all(|w| w[0].weight <= w[1].weight && w[0].at_seconds < w[1].at_seconds));
        }
        assert_eq!(
            promotion_steps(SlowStart { initial_fraction: 0.2, duration: 0 }, 3, 1, 5).len(),
            1,
            "without slow start there is one step with full weight"
        );
    }
}
